//! The executable of the shaleline daemon.
//!
//! If the platform names a settings file, the daemon runs with the platform's adapter.
//! Otherwise its settings come from flags and environment variables.

use actix_rt::signal::unix::{signal, SignalKind};
use eyre::{Result, WrapErr};
use shaleline_daemon::{start_logging, Daemon, Settings};
use shaleline_gateway::{start, start_journal, Platform, Running};
use shaleline_platform::{NodeFile, PlatformCodec, PlatformStore, StoreSettings, NODE_FILE_VAR};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

/// The interval at which the settings file is read; it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The log level on the platform.
const PLATFORM_LOG_LEVEL: &str = "info";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|a| a == "--help" || a == "-h") {
        print!("{}", Settings::usage());
        return ExitCode::SUCCESS;
    }
    if let (true, Ok(path)) = (args.is_empty(), std::env::var(NODE_FILE_VAR)) {
        return exit_code(read_node(&path), |node| run_on_platform(node, &path));
    }
    let variables: BTreeMap<String, String> = std::env::vars().collect();
    let settings = Settings::from_args(&args, &variables);
    exit_code(settings.map_err(eyre::Report::from), run)
}

/// Returns exit code 2 if the settings are invalid and 1 if the daemon fails.
fn exit_code<T>(settings: Result<T>, run: impl FnOnce(T) -> Result<()>) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("shalelined: {e:#}");
            return ExitCode::from(2);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shalelined: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_node(path: &str) -> Result<NodeFile> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))?;
    Ok(NodeFile::from_text(&text)?)
}

fn run_on_platform(node: NodeFile, path: &str) -> Result<()> {
    start_journal(PLATFORM_LOG_LEVEL)?;
    actix_rt::System::new().block_on(async {
        let store = PlatformStore::new(StoreSettings {
            address: node.store,
            timeout: node.gateway.policy.store_timeout,
        });
        let platform = Platform {
            codec: Box::new(PlatformCodec),
            store: Box::new(store),
        };
        let running = start(node.gateway.clone(), platform).await?;
        tokio::select! {
            stop = wait_for_signal() => stop?,
            never = follow_settings(&running, path, node) => never?,
        }
        running.stop().await;
        Ok(())
    })
}

fn run(settings: Settings) -> Result<()> {
    start_logging(settings.log_level())?;
    let daemon = Daemon::start(settings)?;
    println!(
        "callers at {}, operators at {}, peers at {}",
        daemon.caller, daemon.admin, daemon.peer
    );
    actix_rt::System::new().block_on(wait_for_signal())?;
    daemon.stop();
    Ok(())
}

/// Applies changes of the settings file, on a hangup signal and periodically.
async fn follow_settings(running: &Running, path: &str, mut node: NodeFile) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("signals")?;
    let mut refused = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {}
        }
        match read_node(path) {
            Ok(next) if next != node => {
                running.update(&next.gateway);
                node = next;
            }
            Ok(_) => refused.clear(),
            Err(e) => {
                let reason = format!("{e:#}");
                if refused != reason {
                    running.refuse_update(&reason);
                    refused = reason;
                }
            }
        }
    }
}

/// Waits for a signal that requests a planned stop.
async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
