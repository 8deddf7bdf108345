//! Runs the platform's stand-ins as a separate process.

use eyre::{eyre, Result, WrapErr};
use getopts::Options;
use shaleline_standin::{Sample, Standins};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shaleline-standin: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "show this text");
    options.optopt(
        "",
        "port",
        "port of log and list; the others follow (default 7100)",
        "PORT",
    );
    options.optopt(
        "",
        "sample",
        "small, mraznik or agencia (default small)",
        "NAME",
    );
    options.optopt("", "seed", "seed of whatever is random (default 1)", "N");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(&args)?;
    if matches.opt_present("help") {
        print!("{}", options.usage("usage: shaleline-standin [FLAGS]"));
        return Ok(());
    }
    let name = matches
        .opt_str("sample")
        .unwrap_or_else(|| "small".to_owned());
    let sample = Sample::from_name(&name).ok_or_else(|| eyre!("no sample {name:?}"))?;
    let mut settings = sample.settings();
    settings.port = matches.opt_get_default("port", 7_100).wrap_err("--port")?;
    settings.seed = matches.opt_get_default("seed", 1).wrap_err("--seed")?;
    let standins = Standins::start(settings)?;
    println!("log and list at {}", standins.platform);
    for address in &standins.engines {
        println!("engine at {address}");
    }
    for address in &standins.services {
        println!("service at {address}");
    }
    standins.join();
    Ok(())
}
