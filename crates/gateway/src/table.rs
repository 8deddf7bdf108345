//! The configuration in force, as the gateway uses it.

use crate::Orgs;
use shaleline_fleet::Catalog;
use shaleline_route::Allowance;
use shaleline_types::{Millis, Org, Service};
use std::collections::BTreeMap;

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent.
    Safe,
    /// The request runs at most once.
    Unsafe,
    /// The answer is a stream, which may continue at another upstream only if `resumable`.
    Stream {
        /// Whether another upstream may continue after the last event.
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

/// The rule for requests on one path prefix of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// The route's name, for logs.
    pub name: String,
    /// The host it belongs to.
    pub host: String,
    /// The prefix of the paths it covers; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// The longest time from arrival to the end of the answer.
    pub timeout: Millis,
    /// The time within which an answer is worth most.
    pub target: Millis,
    /// The longest pause within a stream with which its answer is still on time, if the route
    /// declares one.
    pub pause: Option<Millis>,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether it accepts requests without a key.
    pub public: bool,
    /// The number of upstreams that one request may reach.
    pub attempts: u32,
    /// The services that answer, each with its weight.
    pub services: Vec<(Service, u64)>,
}

impl RouteRule {
    /// Selects the service for a request by weight; `draw` is a random number.
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

/// The settings of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The connections that one of its upstreams accepts from all daemons together.
    pub connections: usize,
    /// The models that its engines may hold; none for a plain service.
    pub catalog: Option<Catalog>,
}

/// Limits on callers' requests and connections.
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
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The organisations; without them callers need no key.
    pub orgs: Option<Orgs>,
}

impl Table {
    /// The route for a path: the one of the host with the longest matching prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let fits = |r: &&RouteRule| r.host == host && path.starts_with(&r.prefix);
        let rules = self.rules.iter().filter(fits);
        rules.max_by_key(|r| r.prefix.len())
    }

    /// The allowance of an organisation over all daemons; none if it is unlimited.
    #[must_use]
    pub fn allowance(&self, org: &Org) -> Option<Allowance> {
        self.orgs.as_ref()?.allowance(org)
    }

    /// Whether the configuration lists the service or routes requests to it.
    #[must_use]
    pub fn has_service(&self, service: &Service) -> bool {
        let mut routed = self.rules.iter().flat_map(|r| &r.services);
        self.services.contains_key(service) || routed.any(|(s, _)| s == service)
    }

    /// The models that the service's engines may hold.
    #[must_use]
    pub fn catalog(&self, service: &Service) -> Option<&Catalog> {
        self.services.get(service)?.catalog.as_ref()
    }
}
