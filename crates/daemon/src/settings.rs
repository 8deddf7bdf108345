//! Settings from flags and environment variables, all validated at the start.

use crate::flag::Flag;
use getopts::{Matches, Options};
use shaleline_types::{DataCentre, Instance, InvalidName, Millis, Stream, TokenHash};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

const MIN_SECRET_BYTES: usize = 16;
const MAX_SHARDS: u32 = 1_024;

/// All errors of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The error messages, each with the name of its flag.
    pub faults: Vec<String>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} errors in the settings:", self.faults.len())?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// A daemon's settings. `docs/CONFIGURATION.md` lists them.
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) instance: Instance,
    pub(crate) centre: DataCentre,
    pub(crate) listen: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) platform: String,
    pub(crate) secret: String,
    pub(crate) admin_hash: Option<TokenHash>,
    pub(crate) seeds: Vec<String>,
    pub(crate) cell: Stream,
    pub(crate) workers: usize,
    pub(crate) shards: u32,
    pub(crate) once_wait: Millis,
    pub(crate) queue: usize,
    pub(crate) stall: Millis,
    pub(crate) body_limit: usize,
    pub(crate) token_limit: u32,
    pub(crate) log_rate: u64,
    pub(crate) lag: Millis,
    pub(crate) snapshot_records: u64,
    pub(crate) snapshot_age: Millis,
    pub(crate) store_rate: f64,
    pub(crate) store_concurrency: usize,
    pub(crate) engine_rate: f64,
    pub(crate) move_weight: f64,
    pub(crate) grace: Millis,
    pub(crate) stop_limit: Millis,
    pub(crate) log_level: String,
}

impl Settings {
    /// Reads the settings. Flags take precedence over environment variables, and those over
    /// defaults.
    ///
    /// # Errors
    /// [`SettingsError`] with all errors.
    pub fn from_args(
        args: &[String],
        variables: &BTreeMap<String, String>,
    ) -> Result<Self, SettingsError> {
        let mut options = Options::new();
        for flag in Flag::ALL {
            options.optopt("", flag.name, flag.help, "VALUE");
        }
        let matches = options.parse(args).map_err(|e| SettingsError {
            faults: vec![e.to_string()],
        })?;
        let mut reader = Reader {
            matches,
            variables,
            faults: Vec::new(),
        };
        for extra in reader.matches.free.clone() {
            reader.faults.push(format!("{extra:?} is not a flag"));
        }
        let settings = reader.settings();
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError {
                faults: reader.faults,
            }),
        }
    }

    /// Returns the log specification.
    #[must_use]
    pub fn log_level(&self) -> &str {
        &self.log_level
    }

    /// Returns the help text with all flags.
    #[must_use]
    pub fn usage() -> String {
        let mut text = String::from("usage: shalelined [FLAGS]\n\n");
        for flag in Flag::ALL {
            let default = flag
                .default
                .map_or("required".to_owned(), |d| format!("default {d:?}"));
            text.push_str(&format!(
                "  --{:<18} {} ({default}; {})\n",
                flag.name,
                flag.help,
                flag.variable()
            ));
        }
        text
    }
}

struct Reader<'a> {
    matches: Matches,
    variables: &'a BTreeMap<String, String>,
    faults: Vec<String>,
}

impl Reader<'_> {
    fn text(&mut self, name: &'static str) -> Option<String> {
        let flag = Flag::ALL.iter().find(|f| f.name == name)?;
        let given = self.matches.opt_str(name);
        let value = given.or_else(|| self.variables.get(&flag.variable()).cloned());
        let value = value.or_else(|| flag.default.map(str::to_owned));
        if value.is_none() {
            let variable = flag.variable();
            self.faults
                .push(format!("--{name} or {variable} must be given"));
        }
        value
    }

    fn checked<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Result<T, String>,
    ) -> Option<T> {
        let text = self.text(name)?;
        match parse(&text) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.push(format!("--{name}: {fault}"));
                None
            }
        }
    }

    fn named<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Result<T, InvalidName>,
    ) -> Option<T> {
        self.checked(name, |t| parse(t).map_err(|e| e.to_string()))
    }

    fn number<T: FromStr + PartialOrd + fmt::Display + Copy>(
        &mut self,
        name: &'static str,
        min: T,
        max: T,
    ) -> Option<T> {
        self.checked(name, |text| {
            let value: T = text
                .parse()
                .map_err(|_| format!("{text:?} is not a number"))?;
            if value < min || value > max {
                return Err(format!("{value} is outside {min} to {max}"));
            }
            Ok(value)
        })
    }

    fn address(&mut self, name: &'static str) -> Option<SocketAddr> {
        self.checked(name, |t| {
            t.parse()
                .map_err(|_| format!("{t:?} is not an IP:PORT address"))
        })
    }

    fn millis(&mut self, name: &'static str) -> Option<Millis> {
        self.number(name, 1, u64::from(u32::MAX)).map(Millis)
    }

    fn seeds(&mut self) -> Option<Vec<String>> {
        self.checked("seeds", |text| {
            let parts = text.split(',').filter(|p| !p.is_empty());
            let check = |p: &str| match p.parse::<SocketAddr>() {
                Ok(_) => Ok(p.to_owned()),
                Err(_) => Err(format!("{p:?} is not an IP:PORT address")),
            };
            parts.map(check).collect()
        })
    }

    /// Reads all settings before it returns, so that all errors are reported at once.
    fn settings(&mut self) -> Option<Settings> {
        let instance = self.named("instance", Instance::from_text);
        let centre = self.named("centre", DataCentre::from_text);
        let cell = self.named("cell", Stream::from_text);
        let listen = self.address("listen");
        let admin = self.address("admin-listen");
        let peer = self.address("peer-listen");
        let platform = self.address("platform");
        let seeds = self.seeds();
        let secret = self.checked("peer-secret", |t| {
            let valid = t.len() >= MIN_SECRET_BYTES;
            valid
                .then(|| t.to_owned())
                .ok_or_else(|| format!("shorter than {MIN_SECRET_BYTES} characters"))
        });
        let admin_hash = self.checked("admin-hash", |t| match t {
            "" => Ok(None),
            t => TokenHash::from_hex(t)
                .map(Some)
                .ok_or("not 64 hexadecimal digits".to_owned()),
        });
        let workers = self.number("workers", 1, 256);
        let shards = self.number("once-shards", 1, MAX_SHARDS);
        let once_wait = self.millis("once-wait");
        let queue = self.number("queue", 1, 1_000_000);
        let stall = self.millis("stall");
        let body_limit = self.number("body-limit", 1_024, 64 << 20);
        let token_limit = self.number("token-limit", 1, 1_000_000);
        let log_rate = self.number("log-rate", 1, 1_000_000);
        let lag = self.millis("lag");
        let snapshot_records = self.number("snapshot-records", 10, 10_000_000);
        let snapshot_age = self.millis("snapshot-age");
        let store_rate = self.number("store-rate", 0.001, 100_000.0);
        let store_concurrency = self.number("store-at-once", 1, 100_000);
        let engine_rate = self.number("engine-rate", 1.0, 1e9);
        let move_weight = self.number("move-weight", 0.0, 1e6);
        let grace = self.millis("grace");
        let stop_limit = self.millis("stop-limit");
        let log_level = self.text("log-level");
        Some(Settings {
            instance: instance?,
            centre: centre?,
            listen: listen?,
            admin: admin?,
            peer: peer?,
            platform: platform?.to_string(),
            secret: secret?,
            admin_hash: admin_hash?,
            seeds: seeds?,
            cell: cell?,
            workers: workers?,
            shards: shards?,
            once_wait: once_wait?,
            queue: queue?,
            stall: stall?,
            body_limit: body_limit?,
            token_limit: token_limit?,
            log_rate: log_rate?,
            lag: lag?,
            snapshot_records: snapshot_records?,
            snapshot_age: snapshot_age?,
            store_rate: store_rate?,
            store_concurrency: store_concurrency?,
            engine_rate: engine_rate?,
            move_weight: move_weight?,
            grace: grace?,
            stop_limit: stop_limit?,
            log_level: log_level?,
        })
    }
}
