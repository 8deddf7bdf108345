//! Runs daemons and stand-ins in one process, as a demonstration for new users.
//!
//! Without flags it starts one of the sample deployments on loopback and prints commands to
//! try. With `--check` it runs the main steps itself and exits with success only if all of
//! them pass.

mod check;
mod client;
mod cluster;
mod deployment;
mod guide;

use eyre::{eyre, Result};
use getopts::Options;
use shaleline_standin::Sample;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("shaleline-demo: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<bool> {
    let mut options = Options::new();
    options.optflag("h", "help", "show this text");
    options.optflag("", "check", "go through the main steps and exit");
    options.optopt("", "sample", "mraznik or agencia (default mraznik)", "NAME");
    options.optopt(
        "",
        "log-level",
        "level of the daemons' log (default off)",
        "LEVEL",
    );
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(&args)?;
    if matches.opt_present("help") {
        print!("{}", options.usage("usage: shaleline-demo [FLAGS]"));
        return Ok(true);
    }
    let name = matches
        .opt_str("sample")
        .unwrap_or_else(|| "mraznik".to_owned());
    let sample = Sample::from_name(&name).filter(|s| *s != Sample::Small);
    let sample =
        sample.ok_or_else(|| eyre!("unknown sample {name:?}; expected mraznik or agencia"))?;
    let level = matches
        .opt_str("log-level")
        .unwrap_or_else(|| "off".to_owned());
    shaleline_daemon::start_logging(&level)?;
    if matches.opt_present("check") {
        return actix_rt::System::new().block_on(check::run(sample));
    }
    guide::run(sample)?;
    Ok(true)
}
