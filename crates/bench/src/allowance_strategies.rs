//! The strategies to enforce allowances that `allowances` compares.

use crate::allowances::{State, CENTRES, TOLERANCE};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    Allocator, AllocatorShare, Credits, GrantRequest, GrantResponse, GrantStep, LimitKind, Limits,
    ShareBook,
};
use shaleline_types::Millis;
use std::net::SocketAddr;

/// How daemons share the allowances of organisations.
pub(crate) trait Strategy {
    fn name(&self) -> &'static str;
    /// Runs the periodic work.
    fn tick(&mut self, state: &State);
    /// Restarts a daemon, which loses its state.
    fn restart(&mut self, state: &State, daemon: usize);
    /// Returns whether a daemon admits a request.
    fn admit(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool;
    /// Returns the messages sent and the requests that waited for another daemon.
    fn message_counts(&self) -> (u64, u64);
}

/// Each daemon enforces an equal share of each allowance.
pub(crate) struct EqualShares(Vec<Allocator>);

impl EqualShares {
    pub(crate) fn new(daemons: usize) -> Self {
        Self((0..daemons).map(|_| Allocator::new(TOLERANCE)).collect())
    }
}

impl Strategy for EqualShares {
    fn name(&self) -> &'static str {
        "equal"
    }

    fn tick(&mut self, state: &State) {
        let share = AllocatorShare {
            fraction: 1.0 / state.daemons as f64,
            daemons: state.daemons,
        };
        for allocator in &mut self.0 {
            allocator.set_share(share, |o| state.limit_of(o), state.now);
        }
    }

    fn restart(&mut self, _: &State, daemon: usize) {
        self.0[daemon] = Allocator::new(TOLERANCE);
    }

    fn admit(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool {
        let (name, limit) = (&state.orgs[org], &state.limits[org]);
        let grant = self.0[daemon].request(name, limit, cost, u64::MAX, state.now);
        matches!(grant, GrantResponse::Granted(_))
    }

    fn message_counts(&self) -> (u64, u64) {
        (0, 0)
    }
}

/// A token bucket that refills at the rate of the daemon's share; the cost of an answer may
/// make it negative.
#[derive(Clone, Copy)]
struct Bucket {
    tokens: f64,
    last: Millis,
}

/// Each daemon has an equal share and lends the idle part of it, with `ShareBook`.
pub(crate) struct Loans {
    books: Vec<ShareBook>,
    buckets: Vec<Vec<Bucket>>,
    rng: SmallRng,
    messages: u64,
    waited: u64,
}

/// Number of daemons that a request tries to borrow from.
const LENDERS: usize = 2;

impl Loans {
    pub(crate) fn new(daemons: usize, seed: u64) -> Self {
        let book = |d: usize| ShareBook::joining(&d.to_string(), Millis(1_000_000));
        Self {
            books: (0..daemons).map(book).collect(),
            buckets: vec![Vec::new(); daemons],
            rng: SmallRng::seed_from_u64(seed),
            messages: 0,
            waited: 0,
        }
    }

    fn try_take(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool {
        let limit = state.limits[org].rate as u64;
        let (name, now) = (&state.orgs[org], state.now);
        let share = self.books[daemon].share(name, LimitKind::Tokens, limit, now) as f64;
        let full = Bucket {
            tokens: share,
            last: now,
        };
        let buckets = &mut self.buckets[daemon];
        buckets.resize(state.orgs.len(), full);
        let bucket = &mut buckets[org];
        let gained = now.since(bucket.last) as f64 * share / 1_000.0;
        bucket.tokens = (bucket.tokens + gained).min(share);
        bucket.last = now;
        let admitted = share > 0.0 && bucket.tokens >= 1.0;
        if admitted {
            bucket.tokens -= cost as f64;
        }
        admitted
    }
}

impl Strategy for Loans {
    fn name(&self) -> &'static str {
        "loans"
    }

    fn tick(&mut self, state: &State) {
        if state.now.0 % 1_000 != 0 {
            return;
        }
        let names: Vec<String> = (0..state.daemons).map(|d| d.to_string()).collect();
        for (daemon, book) in self.books.iter_mut().enumerate() {
            let local = |other: usize| {
                other == daemon || (state.is_connected(daemon) && state.is_connected(other))
            };
            let members = (0..state.daemons).filter(|d| local(*d));
            let members: Vec<&str> = members.map(|d| names[d].as_str()).collect();
            book.set_members(&members, state.now);
            book.prune(state.now);
        }
    }

    fn restart(&mut self, state: &State, daemon: usize) {
        self.books[daemon] = ShareBook::joining(&daemon.to_string(), state.now);
        self.buckets[daemon].clear();
    }

    fn admit(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool {
        if self.try_take(state, daemon, org, cost) {
            return true;
        }
        self.waited += 1;
        let (name, now) = (&state.orgs[org], state.now);
        let rate = state.limits[org].rate as u64;
        let limits = Limits {
            rate: u64::MAX,
            concurrency: u64::MAX,
            tokens: rate,
        };
        for _ in 0..LENDERS {
            let lender = self.rng.random_range(0..state.daemons);
            self.messages += 2;
            if lender == daemon || !state.is_connected(lender) || !state.is_connected(daemon) {
                continue;
            }
            let used = self.buckets[lender].get(org);
            let used = used.map_or(0.0, |b| (-b.tokens).max(0.0)) as u64;
            let lent = self.books[lender].lend(name, LimitKind::Tokens, &limits, used, now);
            self.books[daemon].borrow(name, LimitKind::Tokens, lent, now);
        }
        self.try_take(state, daemon, org, cost)
    }

    fn message_counts(&self) -> (u64, u64) {
        (self.messages, self.waited)
    }
}

/// One daemon of each data centre allocates, with `Allocator` and `Credits`.
pub(crate) struct Grants {
    allocators: Vec<Allocator>,
    credits: Vec<Credits>,
    hubs: Vec<Option<usize>>,
    /// When the hub of each data centre was last connected or was replaced.
    hub_seen: Vec<Millis>,
    messages: u64,
    waited: u64,
}

/// Time until an unreachable hub is replaced; until then no daemon of its data centre has a
/// share.
const HUB_TIMEOUT_MS: u64 = 1_200;

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon / 250) as u8, (daemon % 250) as u8], 7_000))
}

impl Grants {
    pub(crate) fn new(daemons: usize) -> Self {
        Self {
            allocators: (0..daemons).map(|_| Allocator::new(TOLERANCE)).collect(),
            credits: (0..daemons).map(|_| Credits::default()).collect(),
            hubs: (0..CENTRES).map(Some).collect(),
            hub_seen: vec![Millis(0); CENTRES],
            messages: 0,
            waited: 0,
        }
    }

    fn allocators_for(&self, daemon: usize) -> Vec<usize> {
        let own = daemon % CENTRES;
        let others = (0..CENTRES).filter(|c| *c != own);
        let hubs = [own].into_iter().chain(others);
        let mut all: Vec<usize> = hubs.filter_map(|c| self.hubs[c]).collect();
        if !all.contains(&daemon) {
            all.push(daemon);
        }
        all
    }
}

impl Strategy for Grants {
    fn name(&self) -> &'static str {
        "grants"
    }

    fn tick(&mut self, state: &State) {
        for centre in 0..CENTRES {
            let local: Vec<usize> = (centre..state.daemons).step_by(CENTRES).collect();
            let lost = self.hubs[centre].is_none_or(|h| !state.is_connected(h));
            if !lost {
                self.hub_seen[centre] = state.now;
            } else if state.now.since(self.hub_seen[centre]) >= HUB_TIMEOUT_MS {
                self.hubs[centre] = local.iter().copied().find(|d| state.is_connected(*d));
                self.hub_seen[centre] = state.now;
            }
            for daemon in &local {
                let votes = match self.hubs[centre] {
                    Some(hub) if hub == *daemon && state.is_connected(hub) => {
                        local.iter().filter(|d| state.is_connected(**d)).count()
                    }
                    // An isolated daemon counts only itself.
                    _ => usize::from(state.isolated[*daemon]),
                };
                let share = AllocatorShare {
                    fraction: votes as f64 / local.len() as f64 / CENTRES as f64,
                    daemons: state.daemons,
                };
                self.allocators[*daemon].set_share(share, |o| state.limit_of(o), state.now);
                self.credits[*daemon].prune(state.now);
            }
        }
    }

    fn restart(&mut self, _: &State, daemon: usize) {
        self.allocators[daemon] = Allocator::new(TOLERANCE);
        self.credits[daemon] = Credits::default();
    }

    fn admit(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool {
        let (name, limit) = (&state.orgs[org], state.limits[org]);
        let allocators = self.allocators_for(daemon);
        let addresses: Vec<SocketAddr> = allocators.iter().map(|a| address(*a)).collect();
        let mut request = GrantRequest::new(name.clone(), cost, &addresses);
        let mut step = request.next_step(&mut self.credits[daemon], state.now);
        let mut remote_query = false;
        while let GrantStep::Query(at) = step {
            let index = addresses.iter().position(|a| *a == at);
            let allocator = allocators[index.expect("the address is of an allocator")];
            let remote = allocator != daemon;
            remote_query |= remote;
            self.messages += 2 * u64::from(remote);
            let reached = !remote || (state.is_connected(daemon) && state.is_connected(allocator));
            step = if reached {
                let held = self.credits[daemon].held(name);
                let grant = self.allocators[allocator].request(name, &limit, cost, held, state.now);
                request.on_grant(grant, &mut self.credits[daemon], state.now)
            } else {
                request.next_step(&mut self.credits[daemon], state.now)
            };
        }
        self.waited += u64::from(remote_query);
        step == GrantStep::Admit
    }

    fn message_counts(&self) -> (u64, u64) {
        (self.messages, self.waited)
    }
}
