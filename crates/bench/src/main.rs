//! Experiments and measurements.

use std::process::ExitCode;

mod admission;
mod allowance_strategies;
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
mod simulation;
mod slopes;
mod spread;
mod trace;

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
