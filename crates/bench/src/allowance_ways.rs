//! The ways to hold organisations to their allowances that `allowances` compares.

use crate::allowances::{State, CENTRES, TOLERANCE};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    Allocator, AllocatorShare, Credits, GrantRequest, GrantResponse, GrantStep, LimitKind, Limits,
    ShareBook,
};
use shaleline_types::Millis;
use std::net::SocketAddr;

/// How daemons divide allowances.
pub(crate) trait Way {
    fn name(&self) -> &'static str;
    /// What time alone brings about.
    fn tick(&mut self, state: &State);
    /// A daemon starts again and knows nothing.
    fn restart(&mut self, state: &State, daemon: usize);
    /// Whether a daemon lets a request in.
    fn admit(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool;
    /// Messages sent, and requests that waited for another daemon.
    fn spent(&self) -> (u64, u64);
}

/// Each daemon has the same part.
pub(crate) struct Equal(Vec<Allocator>);

impl Equal {
    pub(crate) fn new(daemons: usize) -> Self {
        Self((0..daemons).map(|_| Allocator::new(TOLERANCE)).collect())
    }
}

impl Way for Equal {
    fn name(&self) -> &'static str {
        "equal"
    }

    fn tick(&mut self, state: &State) {
        let part = AllocatorShare {
            fraction: 1.0 / state.daemons as f64,
            daemons: state.daemons,
        };
        for granter in &mut self.0 {
            granter.set_share(part, |o| state.limit_of(o), state.now);
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

    fn spent(&self) -> (u64, u64) {
        (0, 0)
    }
}

/// A bucket that a daemon fills from its part; an answer may put it into debt.
#[derive(Clone, Copy)]
struct Level {
    tokens: f64,
    last: Millis,
}

/// Each daemon has the same part and lends what is idle: `ShareBook`.
pub(crate) struct Loans {
    books: Vec<ShareBook>,
    levels: Vec<Vec<Level>>,
    rng: SmallRng,
    messages: u64,
    waited: u64,
}

/// How many others are asked for a loan.
const ASKED: usize = 2;

impl Loans {
    pub(crate) fn new(daemons: usize, seed: u64) -> Self {
        let book = |d: usize| ShareBook::joining(&d.to_string(), Millis(1_000_000));
        Self {
            books: (0..daemons).map(book).collect(),
            levels: vec![Vec::new(); daemons],
            rng: SmallRng::seed_from_u64(seed),
            messages: 0,
            waited: 0,
        }
    }

    fn try_take(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool {
        let limit = state.limits[org].rate as u64;
        let (name, now) = (&state.orgs[org], state.now);
        let part = self.books[daemon].share(name, LimitKind::Tokens, limit, now) as f64;
        let fresh = Level {
            tokens: part,
            last: now,
        };
        let levels = &mut self.levels[daemon];
        levels.resize(state.orgs.len(), fresh);
        let level = &mut levels[org];
        let gained = now.since(level.last) as f64 * part / 1_000.0;
        level.tokens = (level.tokens + gained).min(part);
        level.last = now;
        let admits = part > 0.0 && level.tokens >= 1.0;
        if admits {
            level.tokens -= cost as f64;
        }
        admits
    }
}

impl Way for Loans {
    fn name(&self) -> &'static str {
        "loans"
    }

    fn tick(&mut self, state: &State) {
        if state.now.0 % 1_000 != 0 {
            return;
        }
        let names: Vec<String> = (0..state.daemons).map(|d| d.to_string()).collect();
        for (daemon, book) in self.books.iter_mut().enumerate() {
            let near =
                |other: usize| other == daemon || (state.in_touch(daemon) && state.in_touch(other));
            let members = (0..state.daemons).filter(|d| near(*d));
            let members: Vec<&str> = members.map(|d| names[d].as_str()).collect();
            book.set_members(&members, state.now);
            book.prune(state.now);
        }
    }

    fn restart(&mut self, state: &State, daemon: usize) {
        self.books[daemon] = ShareBook::joining(&daemon.to_string(), state.now);
        self.levels[daemon].clear();
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
        for _ in 0..ASKED {
            let lender = self.rng.random_range(0..state.daemons);
            self.messages += 2;
            if lender == daemon || !state.in_touch(lender) || !state.in_touch(daemon) {
                continue;
            }
            let used = self.levels[lender].get(org);
            let used = used.map_or(0.0, |l| (-l.tokens).max(0.0)) as u64;
            let lent = self.books[lender].lend(name, LimitKind::Tokens, &limits, used, now);
            self.books[daemon].borrow(name, LimitKind::Tokens, lent, now);
        }
        self.try_take(state, daemon, org, cost)
    }

    fn spent(&self) -> (u64, u64) {
        (self.messages, self.waited)
    }
}

/// One daemon of each data centre grants: `Allocator` and `Credits`.
pub(crate) struct Grants {
    granters: Vec<Allocator>,
    credits: Vec<Credits>,
    hubs: Vec<Option<usize>>,
    /// Since when the daemons of each data centre take another one for their hub.
    moved: Vec<Millis>,
    messages: u64,
    waited: u64,
}

/// A hub that does not answer is passed over after so long, and counts no daemon before.
const SILENT_MS: u64 = 1_200;

fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon / 250) as u8, (daemon % 250) as u8], 7_000))
}

impl Grants {
    pub(crate) fn new(daemons: usize) -> Self {
        Self {
            granters: (0..daemons).map(|_| Allocator::new(TOLERANCE)).collect(),
            credits: (0..daemons).map(|_| Credits::default()).collect(),
            hubs: (0..CENTRES).map(Some).collect(),
            moved: vec![Millis(0); CENTRES],
            messages: 0,
            waited: 0,
        }
    }

    fn granters_for(&self, daemon: usize) -> Vec<usize> {
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

impl Way for Grants {
    fn name(&self) -> &'static str {
        "grants"
    }

    fn tick(&mut self, state: &State) {
        for centre in 0..CENTRES {
            let near: Vec<usize> = (centre..state.daemons).step_by(CENTRES).collect();
            let lost = self.hubs[centre].is_none_or(|h| !state.in_touch(h));
            if !lost {
                self.moved[centre] = state.now;
            } else if state.now.since(self.moved[centre]) >= SILENT_MS {
                self.hubs[centre] = near.iter().copied().find(|d| state.in_touch(*d));
                self.moved[centre] = state.now;
            }
            for daemon in &near {
                let votes = match self.hubs[centre] {
                    Some(hub) if hub == *daemon && state.in_touch(hub) => {
                        near.iter().filter(|d| state.in_touch(**d)).count()
                    }
                    // Cut off it counts for itself.
                    _ => usize::from(state.cut[*daemon]),
                };
                let part = AllocatorShare {
                    fraction: votes as f64 / near.len() as f64 / CENTRES as f64,
                    daemons: state.daemons,
                };
                self.granters[*daemon].set_share(part, |o| state.limit_of(o), state.now);
                self.credits[*daemon].prune(state.now);
            }
        }
    }

    fn restart(&mut self, _: &State, daemon: usize) {
        self.granters[daemon] = Allocator::new(TOLERANCE);
        self.credits[daemon] = Credits::default();
    }

    fn admit(&mut self, state: &State, daemon: usize, org: usize, cost: u64) -> bool {
        let (name, limit) = (&state.orgs[org], state.limits[org]);
        let granters = self.granters_for(daemon);
        let addresses: Vec<SocketAddr> = granters.iter().map(|g| address(*g)).collect();
        let mut draw = GrantRequest::new(name.clone(), cost, &addresses);
        let mut step = draw.next_step(&mut self.credits[daemon], state.now);
        let mut asked = false;
        while let GrantStep::Query(at) = step {
            let place = addresses.iter().position(|a| *a == at);
            let granter = granters[place.expect("one of them")];
            let remote = granter != daemon;
            asked |= remote;
            self.messages += 2 * u64::from(remote);
            let reached = !remote || (state.in_touch(daemon) && state.in_touch(granter));
            step = if reached {
                let held = self.credits[daemon].held(name);
                let grant = self.granters[granter].request(name, &limit, cost, held, state.now);
                draw.on_grant(grant, &mut self.credits[daemon], state.now)
            } else {
                draw.next_step(&mut self.credits[daemon], state.now)
            };
        }
        self.waited += u64::from(asked);
        step == GrantStep::Admit
    }

    fn spent(&self) -> (u64, u64) {
        (self.messages, self.waited)
    }
}
