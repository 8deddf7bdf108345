//! Parsing of the command line.

use eyre::{bail, eyre, Result};
use getopts::Options;

const HELP: &str = "usage: shaleline [FLAGS] COMMAND

  fleet put FILE             set models, adapters, services and accelerators
  template put FILE          create or replace a template
  template remove NAME       remove a template that nothing is made from
  org put FILE               create or change an organisation
  org remove NAME            remove an organisation and its tokens
  token new ORG              make a caller's token; it is shown once
  token revoke ORG HASH      withdraw a token
  operator put NAME ROLE     make an operator: read, all, or organisation:NAME
  operator remove NAME       remove an operator
  drain NAME                 no new work for an instance or upstream
  undrain NAME               allow it again
  show                       the configuration in force
  state                      a daemon's state
  members                    the daemons that are alive
  upstreams                  the upstreams
  hash TOKEN                 the hash of a token, for --admin-hash; asks nobody
  check FILE [IN-FORCE]      what is wrong with a configuration for the platform's store, and what
                             it changes; asks nobody
  losses LOG...              what callers of each model did not get, from saved logs; asks nobody
  explain ID LOG...          what all daemons wrote about a request, and why its model was away

Files are TOML, or JSON where the name ends in .json.
";

/// The commands that run without contacting a daemon.
const LOCAL_COMMANDS: [&str; 4] = ["hash", "check", "losses", "explain"];

/// A command and the daemon that it is sent to.
#[derive(Debug, Clone)]
pub struct Run {
    /// The address of the daemon's administration API, `IP:PORT`.
    pub admin: String,
    /// The operator's token.
    pub token: String,
    /// How long to wait until a change is in force on all daemons, in milliseconds.
    pub wait: u64,
    /// The version that a change is based on; the current one by default.
    pub base: Option<u64>,
    /// The id of the change; a random one by default.
    pub change: Option<String>,
    /// The command and its arguments.
    pub words: Vec<String>,
}

/// The result of parsing the command line.
pub enum Parsed {
    /// The help text to print.
    Help(String),
    /// The command to run.
    Run(Run),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this text");
    options.optopt(
        "",
        "admin",
        "IP:PORT of a daemon for operators (or SHALELINE_ADMIN)",
        "ADDR",
    );
    options.optopt(
        "",
        "token",
        "operator's token (or SHALELINE_TOKEN)",
        "TOKEN",
    );
    options.optopt(
        "",
        "wait",
        "wait so many ms until in force on all daemons (default 5000)",
        "MS",
    );
    options.optopt(
        "",
        "base",
        "version that the change is made from (default: the current one)",
        "N",
    );
    options.optopt("", "change-id", "id of the change (default: drawn)", "ID");
    options
}

/// Parses the command line; the environment supplies the address and the token by default.
pub fn parse(args: &[String]) -> Result<Parsed> {
    let options = options();
    let matches = options.parse(args)?;
    if matches.opt_present("help") || matches.free.is_empty() {
        return Ok(Parsed::Help(options.usage(HELP)));
    }
    let local = LOCAL_COMMANDS.contains(&matches.free[0].as_str());
    let setting = |flag: &str, variable: &str| {
        let given = matches
            .opt_str(flag)
            .or_else(|| std::env::var(variable).ok());
        match given {
            Some(value) => Ok(value),
            None if local => Ok(String::new()),
            None => Err(eyre!("--{flag} or {variable} must be given")),
        }
    };
    let wait = matches.opt_get_default("wait", 5_000)?;
    let base = matches.opt_get::<u64>("base")?;
    let admin = setting("admin", "SHALELINE_ADMIN")?;
    if !local && admin.parse::<std::net::SocketAddr>().is_err() {
        bail!("--admin: {admin:?} is not of the form IP:PORT");
    }
    Ok(Parsed::Run(Run {
        admin,
        token: setting("token", "SHALELINE_TOKEN")?,
        wait,
        base,
        change: matches.opt_str("change-id"),
        words: matches.free,
    }))
}
