//! The command line.

use crate::compare::{self, CompareArgs};
use crate::faults::{self, FaultArgs};
use crate::{allowances, overhead, plans, slopes};
use eyre::{bail, eyre, Result};
use getopts::{Matches, Options};
use shaleline_types::Safeguard;

const HELP: &str = "usage: shaleline-bench COMMAND [FLAGS]

  faults     randomised runs with the invariants checked
  compare    policies side by side on the same traces
  slopes     the cost of a unit of state, a message or a decision
  plans      the cost of plans for the users' engines, by number of engines
  allowances strategies that enforce organisations' allowances, side by side
  overhead   the latency that a daemon adds to a request
";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this text");
    options.optflag("", "json", "print JSON");
    options.optflag("", "quick", "compare: five seeds");
    options.optopt("", "plots", "compare: write plots into this folder", "DIR");
    options.optopt("", "seeds", "faults: how many seeds (default 200)", "N");
    options.optopt("", "seed", "faults: this seed only", "N");
    options.optopt(
        "",
        "without",
        "faults: with this safeguard suspended",
        "NAME",
    );
    options.optflag("", "list-safeguards", "faults: list the safeguards");
    options
}

/// Runs a command. Returns whether its checks passed.
pub fn run(args: &[String]) -> Result<bool> {
    let options = options();
    let matches = options.parse(args)?;
    if matches.opt_present("help") || matches.free.is_empty() {
        print!("{}", options.usage(HELP));
        return Ok(true);
    }
    match matches.free[0].as_str() {
        "faults" => faults::run(&fault_args(&matches)?),
        "allowances" => allowances::run(matches.opt_present("json")),
        "overhead" => overhead::run(matches.opt_present("json")),
        "plans" => plans::run(matches.opt_present("json")),
        "slopes" => slopes::run(matches.opt_present("json")),
        "compare" => compare::run(&CompareArgs {
            quick: matches.opt_present("quick"),
            json: matches.opt_present("json"),
            plots: matches.opt_str("plots"),
        }),
        other => bail!("unknown command {other:?}; see --help"),
    }
}

fn fault_args(matches: &Matches) -> Result<FaultArgs> {
    let without = matches.opt_str("without");
    let find = |name: &String| {
        let found = Safeguard::ALL.iter().find(|s| s.as_str() == name);
        found
            .copied()
            .ok_or_else(|| eyre!("unknown safeguard {name:?}; see --list-safeguards"))
    };
    Ok(FaultArgs {
        seeds: matches.opt_get_default("seeds", 200)?,
        seed: matches.opt_get("seed")?,
        without: without.as_ref().map(find).transpose()?,
        list: matches.opt_present("list-safeguards"),
        json: matches.opt_present("json"),
    })
}
