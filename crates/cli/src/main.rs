//! The operator's command-line tool.
//!
//! Each command is one call of a daemon's administration API. A change bears an id, so
//! that repeating a call whose answer was lost is harmless.

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
        Ok(args::Parsed::Run(run)) => finish(&run),
        Err(e) => {
            eprintln!("shaleline: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn finish(run: &args::Run) -> ExitCode {
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
