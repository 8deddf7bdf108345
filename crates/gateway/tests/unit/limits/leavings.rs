//! Records which daemons send requests to engines that are leaving.

use std::collections::BTreeMap;

/// The time after an answer that says that an engine is leaving, from which no request may reach it
/// from the daemon that passed the answer on.
const DRAIN_MS: u64 = 2_000;

/// The answers that say that an engine is leaving, and the requests that reach it late.
#[derive(Debug, Default)]
pub struct Leavings {
    /// When a daemon passed on the first such answer of an engine.
    answered: BTreeMap<(usize, usize), u64>,
    /// When any daemon did.
    first: BTreeMap<usize, u64>,
    late: Vec<String>,
    late_elsewhere: Vec<String>,
}

impl Leavings {
    pub fn on_answer(&mut self, engine: usize, daemon: usize, now: u64) {
        self.answered.entry((engine, daemon)).or_insert(now);
        self.first.entry(engine).or_insert(now);
    }

    /// Records a request that reaches any engine.
    pub fn on_arrival(&mut self, engine: usize, daemon: usize, now: u64) {
        let since = |at: Option<&u64>| at.map(|a| now - a).filter(|s| *s > DRAIN_MS);
        let describe = |age| format!("{engine} got a request from {daemon} {age} ms later");
        let own = since(self.answered.get(&(engine, daemon)));
        self.late.extend(own.map(describe));
        let elsewhere = since(self.first.get(&engine));
        self.late_elsewhere.extend(elsewhere.map(describe));
    }

    pub fn on_restart(&mut self, daemon: usize) {
        self.answered.retain(|(_, d), _| *d != daemon);
    }

    /// The number of engines of which daemons passed on such an answer.
    pub fn engines(&self) -> usize {
        self.first.len()
    }

    /// The first request that a daemon sent late although it passed on an answer.
    pub fn late(&self) -> Option<&str> {
        self.late.first().map(String::as_str)
    }

    /// The first request that any daemon sent late.
    pub fn late_elsewhere(&self) -> Option<&str> {
        self.late_elsewhere.first().map(String::as_str)
    }
}
