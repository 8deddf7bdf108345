//! Load, experiments and reports.

use std::process::ExitCode;

mod admission;
mod allowance_ways;
mod allowances;
mod args;
mod compare;
mod costs;
mod faults;
mod fit;
mod fleet;
mod overhead;
mod parallel;
mod plans;
mod plot;
mod rig;
mod slopes;
mod spread;
mod trace;
mod world;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args::run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("shaleline-bench: {e:#}");
            ExitCode::from(2)
        }
    }
}
