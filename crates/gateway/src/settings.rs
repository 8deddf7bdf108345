//! The settings of a gateway.

use crate::Revocation;
use shaleline_route::Tolerance;
use shaleline_types::{DataCentre, Instance, Millis};
use std::net::{Ipv4Addr, SocketAddr};

/// The addresses that a gateway listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the balancer's readiness check.
    pub ready: SocketAddr,
    /// The address for datagrams of other daemons.
    pub peers: SocketAddr,
    /// The address for metrics and the state dump.
    pub metrics: SocketAddr,
}

/// The bounds that the platform sets.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// The time within which a leaving upstream must get no new work.
    pub drain: Millis,
    /// The time within which an accepted configuration must be in force.
    pub apply: Millis,
    /// The time from the request to stop until the process is killed.
    pub grace: Millis,
    /// The time that must pass between the orders of two planners that both run.
    pub lease: Millis,
    /// Whether engines reject orders with a lower fencing token than one they have seen.
    pub fencing: bool,
    /// The fraction of a service's requests that may be sent again, over all daemons in a window;
    /// `retry_extra` is added to it.
    pub retry_ratio: f64,
    /// The number of requests that may be sent again on top of `retry_ratio`.
    pub retry_extra: f64,
    /// The window in which loads from the weight store are counted.
    pub load_window: Millis,
    /// By how much the weight store's rate may be exceeded in that window.
    pub load_over: f64,
    /// The rule for revoked keys.
    pub revocation: Revocation,
    /// By how much allowances may be exceeded.
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
    /// The number of data centres, each of which keeps a share of the allowances.
    pub centres: usize,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// The peer addresses of some other daemons; any of them may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
    /// Its share of processor cores.
    pub cores: f64,
    /// The memory that its process may take in bytes, or 0 if that is not known.
    pub memory: usize,
    /// Whether the whole system starts for the first time, so that no caller waits yet.
    pub first_start: bool,
    /// The platform's bounds.
    pub bounds: Bounds,
    /// The parameters of the gateway's decisions.
    pub policy: Policy,
}

impl GatewaySettings {
    /// How long a read of the configuration waits for a change. A daemon that is cut off from the
    /// store notices it at the end of a wait; the daemons that follow it must then still have the
    /// time to switch to another hub within the bound.
    #[must_use]
    pub fn config_wait(&self, apply: Millis) -> Millis {
        /// Time for noticing a failure, asking other hubs and reading.
        const FAILOVER_MS: u64 = 1_200;
        /// Longer waits save little, because one daemon waits for all.
        const MAX_WAIT_MS: u64 = 1_500;
        let wait = apply.0.saturating_sub(FAILOVER_MS).min(MAX_WAIT_MS);
        self.policy.config_wait.max(Millis(wait))
    }

    /// How long the daemon that reads for all waits for a change. The configuration is confirmed as
    /// of the beginning of its last read, and callers' keys rely on that age.
    #[must_use]
    pub fn read_wait(&self, bounds: &Bounds) -> Millis {
        match bounds.revocation.closed {
            true => self.policy.config_wait,
            false => self.config_wait(bounds.apply),
        }
    }

    /// A score of how well this instance can serve as a hub. A hub of 30 daemons sends some 3
    /// Mbit/s in bursts and reads the store for them.
    #[must_use]
    pub fn strength(&self) -> u8 {
        /// Link bandwidths in Mbit/s and processor cores with which the bursts do not delay
        /// requests.
        const LINKS_MBPS: [f64; 2] = [50.0, 100.0];
        const CORES: f64 = 0.24;
        let links = LINKS_MBPS.iter().filter(|l| self.link_mbps >= **l).count() as u8;
        links + u8::from(self.cores >= CORES)
    }
}

/// Parameters of the gateway's decisions. They also switch it to the baselines that
/// `docs/MEASUREMENTS.md` compares.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Interval at which the upstreams' entries are read: one read may fail within the drain bound
    /// of 2 s.
    pub read_interval: Millis,
    /// The least time that a read of the configuration waits for a change; see
    /// [`GatewaySettings::config_wait`].
    pub config_wait: Millis,
    /// The time that a call to the store may take beyond its wait.
    pub store_timeout: Millis,
    /// The initial estimate of a prompt token's cost to an engine, in milliseconds.
    pub token_ms: f64,
    /// Whether this daemon may plan for the engines.
    pub plans: bool,
    /// Interval at which the planner checks the fleet.
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
