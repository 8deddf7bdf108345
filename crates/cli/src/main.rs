//! The operator's command-line tool.
//!
//! Most commands call a daemon's administration API. A change carries an id, so that it is safe
//! to repeat a call whose response was lost.

mod args;
mod check;
mod client;
mod command;
mod file;
mod output;
mod saved;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args::parse(&args) {
        Ok(args::Parsed::Help(text)) => print(&text),
        Ok(args::Parsed::Run(run)) => execute(&run),
        Err(e) => {
            eprintln!("shaleline: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn print(text: &str) -> ExitCode {
    match output::write(&mut std::io::stdout(), text) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shaleline: can't write the result: {e}");
            ExitCode::FAILURE
        }
    }
}

fn execute(run: &args::Run) -> ExitCode {
    let result = actix_rt::System::new().block_on(command::run(run));
    match result {
        Ok(text) => print(&format!("{text}\n")),
        Err(e) => {
            eprintln!("shaleline: {e:#}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit"]
mod unit {
    mod check;
    mod output;
}
