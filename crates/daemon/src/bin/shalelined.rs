//! The shaleline daemon as a process.
//!
//! Where the platform names a settings file, the daemon serves there through its adapter;
//! otherwise its settings are flags and environment variables.

use actix_rt::signal::unix::{signal, SignalKind};
use eyre::{Result, WrapErr};
use shaleline_daemon::{start_logging, Daemon, Settings};
use shaleline_gateway::{start, start_journal, Platform, Running};
use shaleline_platform::{NodeFile, PlatformCodec, PlatformStore, StoreSettings, NODE_FILE_VAR};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

/// How much is logged on the platform.
const PLATFORM_LEVEL: &str = "info";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|a| a == "--help" || a == "-h") {
        print!("{}", Settings::usage());
        return ExitCode::SUCCESS;
    }
    if let (true, Ok(path)) = (args.is_empty(), std::env::var(NODE_FILE_VAR)) {
        return to_code(read_node(&path), |node| run_on_platform(node, &path));
    }
    let variables: BTreeMap<String, String> = std::env::vars().collect();
    let settings = Settings::from_args(&args, &variables);
    to_code(settings.map_err(eyre::Report::from), run)
}

/// Exits with 2 where the settings are wrong and with 1 where the daemon fails.
fn to_code<T>(settings: Result<T>, run: impl FnOnce(T) -> Result<()>) -> ExitCode {
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
    start_journal(PLATFORM_LEVEL)?;
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

/// Takes changes of the settings file over, told by a signal or not.
async fn follow_settings(running: &Running, path: &str, mut node: NodeFile) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup()).wrap_err("signals")?;
    let mut refused = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_EVERY) => {}
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

/// Waits for the signals that ask for a planned stop.
async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
