//! The operator's command-line tool.
//!
//! Most commands call a daemon's administration API. A change carries an id, so that it is safe
//! to repeat a call whose response was lost.

mod args;
mod client;
mod command;
mod file;
mod saved;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args::parse(&args) {
        Ok(args::Parsed::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(args::Parsed::Run(run)) => execute(&run),
        Err(e) => {
            eprintln!("shaleline: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn execute(run: &args::Run) -> ExitCode {
    let result = actix_rt::System::new().block_on(command::run(run));
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("shaleline: {e:#}");
            ExitCode::FAILURE
        }
    }
}
