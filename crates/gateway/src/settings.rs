//! What a gateway must be told before it starts.

use crate::Revocation;
use shaleline_route::Tolerance;
use shaleline_types::{DataCentre, Instance, Millis};
use std::net::{Ipv4Addr, SocketAddr};

/// The addresses that a gateway listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether this daemon takes work.
    pub ready: SocketAddr,
    /// For other daemons; datagrams.
    pub peers: SocketAddr,
    /// For metrics and the state dump.
    pub metrics: SocketAddr,
}

/// The bounds that the platform gives.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The time within which a leaving upstream must get no new work.
    pub drain: Millis,
    /// The time within which an accepted configuration must be in force.
    pub apply: Millis,
    /// The time from the request to stop to the kill.
    pub grace: Millis,
    /// The time that must pass between the orders of two planners.
    pub lease: Millis,
    /// The part of a service's requests that may be sent again, and what may come on
    /// top, over all daemons, in `window`.
    pub retry_ratio: f64,
    /// See `retry_ratio`.
    pub retry_extra: f64,
    /// The window that loads from the weight store are counted in.
    pub load_window: Millis,
    /// By how much the store's rate may be passed in that window.
    pub load_over: f64,
    /// What holds for keys that are taken away.
    pub revocation: Revocation,
    /// By how much allowances may be passed.
    pub tolerance: Tolerance,
}

/// All settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This instance.
    pub instance: Instance,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its data centre.
    pub centre: DataCentre,
    /// How many data centres there are, each of which keeps a part of the allowances.
    pub centres: usize,
    /// Where it listens.
    pub listen: Listen,
    /// Where some other daemons listen for their peers; any of them may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
    /// Its part of a processor.
    pub cores: f64,
    /// Whether the whole system starts for the first time: then no caller waits yet.
    pub first_start: bool,
    /// The platform's bounds.
    pub bounds: Bounds,
    /// How the gateway decides.
    pub policy: Policy,
}

impl GatewaySettings {
    /// How long a read of the configuration waits for a change. One that is cut off from the
    /// store notices at the end of a wait; those who follow it must then still have the time to
    /// look elsewhere within the bound.
    #[must_use]
    pub fn config_wait(&self, apply: Millis) -> Millis {
        /// What noticing, asking other hubs and reading take.
        const ELSEWHERE_MS: u64 = 1_200;
        /// Longer waits save little, as one daemon waits for all.
        const MOST_MS: u64 = 1_500;
        let wait = apply.0.saturating_sub(ELSEWHERE_MS).min(MOST_MS);
        self.policy.config_wait.max(Millis(wait))
    }

    /// How long the one that reads for all waits for a change. What callers' keys are relied on by is
    /// as old as the beginning of its last read.
    #[must_use]
    pub fn read_wait(&self, bounds: &Bounds) -> Millis {
        match bounds.revocation.closed {
            true => self.policy.config_wait,
            false => self.config_wait(bounds.apply),
        }
    }

    /// How well this instance can serve as a hub. A hub of 30 daemons sends some 3 Mbit/s
    /// in bursts and reads the store for them.
    #[must_use]
    pub fn strength(&self) -> u8 {
        /// Links and processors at which the bursts do no harm to requests.
        const LINKS: [f64; 2] = [50.0, 100.0];
        const CORES: f64 = 0.24;
        let links = LINKS.iter().filter(|l| self.link_mbps >= **l).count() as u8;
        links + u8::from(self.cores >= CORES)
    }
}

/// The figures that decide, each with its unit and where it comes from. They are the
/// baselines' switches too: `docs/MEASUREMENTS.md` compares them.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// How often the upstreams' entries are read: within the drain bound of 2 s a read
    /// may fail once.
    pub read_interval: Millis,
    /// How long a read of the configuration waits for a change at the least; see
    /// [`GatewaySettings::config_wait`].
    pub config_wait: Millis,
    /// How long a call to the store may take beyond what it waits.
    pub store_timeout: Millis,
    /// What a prompt token costs before anything was measured, in milliseconds: the data
    /// sheet's 19.1 tokens a millisecond.
    pub token_ms: f64,
    /// Whether this daemon may plan for the engines.
    pub plans: bool,
    /// How often the planner looks at the fleet.
    pub plan_interval: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            read_interval: Millis(700),
            config_wait: Millis(800),
            store_timeout: Millis(700),
            token_ms: 0.052,
            plans: true,
            plan_interval: Millis(250),
        }
    }
}
