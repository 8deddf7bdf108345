//! The configuration in force, as the gateway uses it.

use crate::Orgs;
use shaleline_fleet::Catalog;
use shaleline_route::Allowance;
use shaleline_types::{Millis, Org, Service};
use std::collections::BTreeMap;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// It is idempotent.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// Its answer is a stream, which may go on elsewhere only where `resumable`.
    Stream {
        /// Whether another upstream may go on after the last event.
        resumable: bool,
    },
}

impl Repeat {
    /// Whether the request may be sent again after it may have run.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// What requests on one path prefix of one host get.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// The route's name, for logs.
    pub name: String,
    /// The host it belongs to.
    pub host: String,
    /// The start of the paths it covers; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may run.
    pub repeat: Repeat,
    /// The longest time from arrival to the end of the answer.
    pub timeout: Millis,
    /// The time within which an answer is worth most.
    pub target: Millis,
    /// The longest pause within a stream with which its answer is still on time, where the
    /// route declares one.
    pub pause: Option<Millis>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Whether it takes requests that show no key.
    pub public: bool,
    /// How many upstreams one request may reach.
    pub attempts: u32,
    /// The services that answer, each with its weight.
    pub services: Vec<(Service, u64)>,
}

impl RouteRule {
    /// The service for a request, by weight; `draw` is a random number.
    #[must_use]
    pub fn pick(&self, draw: u64) -> Option<&Service> {
        let total: u64 = self.services.iter().map(|(_, w)| w).sum();
        let mut left = draw.checked_rem(total)?;
        for (service, weight) in &self.services {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// What is set for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The connections that one of its upstreams takes from all daemons together.
    pub connections: usize,
    /// What its engines may hold; absent for a plain service.
    pub catalog: Option<Catalog>,
}

/// What callers may send and how long they may be idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head: usize,
    /// The largest body, in bytes.
    pub body: usize,
    /// The longest time for a request to arrive.
    pub arrival: Millis,
    /// The longest time that a connection may be idle.
    pub idle: Millis,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Its version; a later one is larger.
    pub version: u64,
    /// The routes.
    pub rules: Vec<RouteRule>,
    /// The services.
    pub services: BTreeMap<Service, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The organisations; without them callers need no key.
    pub orgs: Option<Orgs>,
}

impl Table {
    /// The route for a path: among those of the host the one with the longest prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let fits = |r: &&RouteRule| r.host == host && path.starts_with(&r.prefix);
        let rules = self.rules.iter().filter(fits);
        rules.max_by_key(|r| r.prefix.len())
    }

    /// What an organisation may use over all daemons; none without a limit.
    #[must_use]
    pub fn allowance(&self, org: &Org) -> Option<Allowance> {
        self.orgs.as_ref()?.allowance(org)
    }

    /// What the engines of the service may hold.
    #[must_use]
    pub fn catalog(&self, service: &Service) -> Option<&Catalog> {
        self.services.get(service)?.catalog.as_ref()
    }
}
