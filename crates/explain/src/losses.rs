//! Counts of served and unserved requests, by model.

use crate::Line;
use shaleline_types::LogEvent;
use std::collections::BTreeMap;
use std::fmt;

/// The outcomes of the requests for one model or plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Finished requests; each retry by the caller counts as a request.
    pub requests: u64,
    /// Requests that received a complete response.
    pub served: u64,
    /// Requests refused while no engine served the model.
    pub unserved: u64,
    /// Requests refused because the engines were full or too slow for the deadline.
    pub overloaded: u64,
    /// Requests that may have run and received no complete response.
    pub failed: u64,
    /// The total time of unmet demand for the model, in milliseconds.
    pub unserved_ms: u64,
}

impl Tally {
    /// Returns the number of requests that received no complete response.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.requests - self.served
    }
}

/// The outcomes of the requests for one base model or adapter, counted apart from those for other
/// adapters of the same model.
#[derive(Debug, Clone, Default)]
struct TargetTally {
    requests: u64,
    served: u64,
    /// The reason that the planner reported last for not serving it.
    why: Option<String>,
}

/// The outcomes by model, with adapters counted under their model, and the models and adapters that
/// were never served.
#[derive(Debug, Clone, Default)]
pub struct Losses {
    models: BTreeMap<String, Tally>,
    targets: BTreeMap<String, TargetTally>,
}

/// A model or adapter with fewer requests is not listed as never served.
const NEVER_SERVED_MIN_REQUESTS: u64 = 4;

/// The reason shown where the planner reported none.
const UNKNOWN: &str = "the planner did not know of it";

/// Requests to plain services are counted together under this name.
const SERVICES: &str = "(services)";

impl Losses {
    /// Adds a line to the counts.
    pub fn record(&mut self, line: &Line<'_>) {
        if line.event == LogEvent::ModelBack {
            if let (Some(model), Some(away)) = (line.get("model"), line.number("away_ms")) {
                self.tally(model).unserved_ms += away;
            }
            return;
        }
        if let (LogEvent::AdapterAway | LogEvent::ModelAway, Some(name)) =
            (line.event, line.get("model"))
        {
            let free = line.get("free").map(|f| format!("model-away free={f}"));
            let why = line.get("why").map(str::to_owned).or(free);
            self.target(name).why = why;
            return;
        }
        // A request that was refused before its target was read has no `asked` field.
        if line.get("asked").is_none() {
            return;
        }
        let name = line.model().unwrap_or(SERVICES);
        let no_engine = line.number("serving") == Some(0);
        let tally = self.tally(name);
        match line.event {
            LogEvent::RequestEnded => tally.served += 1,
            LogEvent::RequestRefused if no_engine => tally.unserved += 1,
            LogEvent::RequestRefused => tally.overloaded += 1,
            LogEvent::RequestFailed => tally.failed += 1,
            _ => return,
        }
        tally.requests += 1;
        if let Some(asked) = line.asked() {
            let target = self.target(asked);
            target.requests += 1;
            target.served += u64::from(line.event == LogEvent::RequestEnded);
        }
    }

    fn target(&mut self, name: &str) -> &mut TargetTally {
        self.targets.entry(name.to_owned()).or_default()
    }

    /// Returns the models and adapters with several requests of which none was served, by descending
    /// number of requests: the name, that number, and the last reason that the planner reported.
    #[must_use]
    pub fn never_served(&self) -> Vec<(&str, u64, &str)> {
        let never = self.targets.iter();
        let never = never.filter(|(_, k)| k.requests >= NEVER_SERVED_MIN_REQUESTS && k.served == 0);
        let mut never: Vec<_> = never
            .map(|(name, k)| {
                (
                    name.as_str(),
                    k.requests,
                    k.why.as_deref().unwrap_or(UNKNOWN),
                )
            })
            .collect();
        never.sort_by_key(|(_, requests, _)| std::cmp::Reverse(*requests));
        never
    }

    fn tally(&mut self, name: &str) -> &mut Tally {
        self.models.entry(name.to_owned()).or_default()
    }

    /// Returns the outcomes of each model, by descending number of lost requests.
    #[must_use]
    pub fn by_loss(&self) -> Vec<(&str, Tally)> {
        let mut models: Vec<_> = self.models.iter().map(|(m, t)| (m.as_str(), *t)).collect();
        models.sort_by_key(|(_, t)| std::cmp::Reverse(t.lost()));
        models
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = ["tries", "served", "away", "crowded", "failed", "away_ms"];
        write!(f, "{:24}", "model")?;
        for name in columns {
            write!(f, "{name:>9}")?;
        }
        for (name, t) in self.by_loss() {
            write!(f, "\n{name:24}")?;
            for figure in [
                t.requests,
                t.served,
                t.unserved,
                t.overloaded,
                t.failed,
                t.unserved_ms,
            ] {
                write!(f, "{figure:>9}")?;
            }
        }
        for (name, requests, why) in self.never_served() {
            write!(f, "\nnever served: {name} tries={requests} why={why:?}")?;
        }
        Ok(())
    }
}
