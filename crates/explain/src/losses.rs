//! What callers asked for and did not get, by model.

use crate::Line;
use shaleline_types::LogEvent;
use std::collections::BTreeMap;
use std::fmt;

/// What became of the requests for one model or plain service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that ended; one that comes back is a request of its own.
    pub tries: u64,
    /// Requests that got a whole answer.
    pub served: u64,
    /// Requests refused while no engine served the model.
    pub away: u64,
    /// Requests refused by engines that were full or too slow for the deadline.
    pub crowded: u64,
    /// Requests that may have run and got no whole answer.
    pub failed: u64,
    /// For how long callers asked for the model in vain, in milliseconds.
    pub away_ms: u64,
}

impl Tally {
    /// The requests that got no whole answer.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.tries - self.served
    }
}

/// What became of the requests for one model or adapter, whatever else its model was asked for.
#[derive(Debug, Clone, Default)]
struct Key {
    tries: u64,
    served: u64,
    /// Why it was not served, as the planner said last.
    why: Option<String>,
}

/// The tallies of all models, an adapter's with its model's, and what was never served.
#[derive(Debug, Clone, Default)]
pub struct Losses {
    models: BTreeMap<String, Tally>,
    keys: BTreeMap<String, Key>,
}

/// What was asked for less often is not missed for being never served.
const ASKED_OFTEN: u64 = 4;

/// Where the planner never spoke of what callers asked for.
const UNKNOWN: &str = "the planner did not know of it";

/// The requests to plain services stand under this name.
const SERVICES: &str = "(services)";

impl Losses {
    /// Takes a line into account.
    pub fn note(&mut self, line: &Line<'_>) {
        if line.event == LogEvent::ModelBack {
            if let (Some(model), Some(away)) = (line.get("model"), line.number("away_ms")) {
                self.tally(model).away_ms += away;
            }
            return;
        }
        if let (LogEvent::AdapterAway | LogEvent::ModelAway, Some(name)) =
            (line.event, line.get("model"))
        {
            let free = line.get("free").map(|f| format!("model-away free={f}"));
            let why = line.get("why").map(str::to_owned).or(free);
            self.key(name).why = why;
            return;
        }
        // A request that was refused before it was looked at says not what it asked for.
        if line.get("asked").is_none() {
            return;
        }
        let name = line.model().unwrap_or(SERVICES);
        let unserved = line.number("serving") == Some(0);
        let tally = self.tally(name);
        match line.event {
            LogEvent::RequestEnded => tally.served += 1,
            LogEvent::RequestRefused if unserved => tally.away += 1,
            LogEvent::RequestRefused => tally.crowded += 1,
            LogEvent::RequestFailed => tally.failed += 1,
            _ => return,
        }
        tally.tries += 1;
        if let Some(asked) = line.asked() {
            let key = self.key(asked);
            key.tries += 1;
            key.served += u64::from(line.event == LogEvent::RequestEnded);
        }
    }

    fn key(&mut self, name: &str) -> &mut Key {
        self.keys.entry(name.to_owned()).or_default()
    }

    /// The models and adapters that were asked for several times and never served, most asked for
    /// first: how often, and why, as the planner said last.
    #[must_use]
    pub fn never_served(&self) -> Vec<(&str, u64, &str)> {
        let never = self.keys.iter();
        let never = never.filter(|(_, k)| k.tries >= ASKED_OFTEN && k.served == 0);
        let mut never: Vec<_> = never
            .map(|(name, k)| (name.as_str(), k.tries, k.why.as_deref().unwrap_or(UNKNOWN)))
            .collect();
        never.sort_by_key(|(_, tries, _)| std::cmp::Reverse(*tries));
        never
    }

    fn tally(&mut self, name: &str) -> &mut Tally {
        self.models.entry(name.to_owned()).or_default()
    }

    /// The models, those that lost most first.
    #[must_use]
    pub fn by_loss(&self) -> Vec<(&str, Tally)> {
        let mut models: Vec<_> = self.models.iter().map(|(m, t)| (m.as_str(), *t)).collect();
        models.sort_by_key(|(_, t)| std::cmp::Reverse(t.lost()));
        models
    }
}

impl fmt::Display for Losses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = ["tries", "served", "away", "crowded", "failed", "away_ms"];
        write!(f, "{:24}", "model")?;
        for name in head {
            write!(f, "{name:>9}")?;
        }
        for (name, t) in self.by_loss() {
            write!(f, "\n{name:24}")?;
            for figure in [t.tries, t.served, t.away, t.crowded, t.failed, t.away_ms] {
                write!(f, "{figure:>9}")?;
            }
        }
        for (name, tries, why) in self.never_served() {
            write!(f, "\nnever served: {name} tries={tries} why={why:?}")?;
        }
        Ok(())
    }
}
