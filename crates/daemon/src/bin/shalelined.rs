//! The shaleline daemon as a process.

use actix_rt::signal::unix::{signal, SignalKind};
use eyre::{Result, WrapErr};
use shaleline_daemon::{start_logging, Daemon, Settings};
use std::collections::BTreeMap;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.iter().any(|a| a == "--help" || a == "-h") {
        print!("{}", Settings::usage());
        return ExitCode::SUCCESS;
    }
    let variables: BTreeMap<String, String> = std::env::vars().collect();
    let settings = match Settings::from_args(&args, &variables) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("shalelined: {e}");
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
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
