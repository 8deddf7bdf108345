//! The shaleline daemon as a process.
//!
//! Where the platform names a settings file, the daemon serves there through its adapter;
//! otherwise its settings are flags and environment variables.

use actix_rt::signal::unix::{signal, SignalKind};
use eyre::{Result, WrapErr};
use shaleline_daemon::{start_logging, Daemon, Settings};
use shaleline_gateway::{start, start_journal, Border};
use shaleline_platform::{NodeFile, PlatformCodec, PlatformStore, StoreSettings, NODE_FILE};
use std::collections::BTreeMap;
use std::process::ExitCode;

/// How much is logged on the platform.
const PLATFORM_LEVEL: &str = "info";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|a| a == "--help" || a == "-h") {
        print!("{}", Settings::usage());
        return ExitCode::SUCCESS;
    }
    if let (true, Ok(path)) = (args.is_empty(), std::env::var(NODE_FILE)) {
        return to_code(read_node(&path), run_on_platform);
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

fn run_on_platform(node: NodeFile) -> Result<()> {
    start_journal(PLATFORM_LEVEL)?;
    actix_rt::System::new().block_on(async {
        let store = PlatformStore::new(StoreSettings {
            address: node.store,
            timeout: node.gateway.policy.store_timeout,
        });
        let border = Border {
            codec: Box::new(PlatformCodec),
            store: Box::new(store),
        };
        let running = start(node.gateway, border).await?;
        wait_for_signal().await?;
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

/// Waits for the signals that ask for a planned stop.
async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("signals")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("signals")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("signals")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            // The settings that may change while a process runs are followed elsewhere.
            _ = hangup.recv() => {}
        }
    }
}
