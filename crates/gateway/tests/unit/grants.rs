//! Tests that a grant of an organisation's allowance is returned once at most.
//!
//! The network may duplicate datagrams. A duplicated return was credited twice, and a duplicated
//! grant was returned although its request used it: the organisation then got more than its
//! allowance.

use crate::dispatch::Ticket;
use crate::gossip::{on_datagram, periodic_messages, Outbox};
use crate::message::{Datagram, GrantReply, Message, Sender};
use crate::state::{Gateway, Platform};
use crate::unit::crashes::{cluster, null_platform};
use crate::unit::manual_clock::ManualClock;
use crate::{CallerLimits, CostUnit, OrgRule, Orgs, Table};
use futures_util::poll;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::{Clock, TimeSource};
use shaleline_route::Allowance;
use shaleline_testkit::cases;
use shaleline_types::{Millis, Org};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use tokio::sync::mpsc;

const BURST: f64 = 1_000.0;
const COST: u64 = 100;

fn org() -> Org {
    Org::from_text("acme").expect("a valid name")
}

fn rule() -> OrgRule {
    OrgRule {
        name: org(),
        priority: None,
        allowance: Some(Allowance {
            rate: 100.0,
            burst: BURST,
        }),
        counting: CostUnit::Tokens { plain: COST },
    }
}

fn table() -> Table {
    Table {
        version: 1,
        rules: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            head: 16_384,
            body: 1 << 20,
            arrival: Millis(1_000),
            idle: Millis(10_000),
        },
        orgs: Some(Orgs::from_rules([(rule(), Vec::new())]).expect("valid rules")),
    }
}

struct Daemon {
    gw: Rc<Gateway>,
    outbox: Outbox,
    manual_clock: Rc<ManualClock>,
}

impl Daemon {
    fn start(index: usize) -> Self {
        let platform = Platform {
            codec: Box::new(null_platform::StubCodec),
            store: Box::new(null_platform::UnavailableStore),
        };
        let address = SocketAddr::from(([10, 0, 0, index as u8 + 1], 1));
        let (sender, outbox) = mpsc::unbounded_channel();
        let manual_clock = Rc::new(ManualClock::default());
        let time: Rc<dyn TimeSource> = manual_clock.clone();
        let rng = SmallRng::seed_from_u64(index as u64);
        let settings = cluster::settings(index, address);
        let gw = Gateway::with_clock(settings, platform, sender, Clock::from_time(time), rng);
        let gw = gw.expect("a gateway");
        assert!(gw.set_table(table()));
        Self {
            gw,
            outbox,
            manual_clock,
        }
    }

    /// Starts a daemon that asks the given one for grants.
    fn start_asker(allocator: &Self) -> Self {
        let asker = Self::start(0);
        let now = asker.gw.now();
        let known = &asker.gw.membership;
        known.borrow_mut().learn_member(&allocator.gw.me, now);
        asker
    }

    fn receive(&self, from: &Sender, message: &Message) {
        let (from, message) = (from.clone(), message.clone());
        on_datagram(&self.gw, Datagram { from, message });
    }

    /// The messages about grants that were sent since the last call.
    fn sent(&mut self) -> Vec<Message> {
        let sent = std::iter::from_fn(|| self.outbox.try_recv().ok()).flatten();
        let about_grants = |m: &Message| {
            matches!(
                m,
                Message::GrantRequest { .. }
                    | Message::GrantReply(..)
                    | Message::GrantReturned { .. }
                    | Message::GrantUnused { .. }
            )
        };
        sent.map(|(_, d)| d.message).filter(about_grants).collect()
    }

    /// What is left of the allowance.
    fn level(&self) -> f64 {
        let allowances = self.gw.allowances.borrow();
        let mut levels = allowances.allocator.levels();
        levels.next().map_or(0.0, |(_, level)| level)
    }
}

/// An allocator that has held its share for long enough to grant, and a daemon that asks it.
fn allocator_and_asker() -> (Daemon, Daemon) {
    const HELD_MS: u64 = 20_000;
    let allocator = Daemon::start(3);
    let mut asker = Daemon::start_asker(&allocator);
    exchange([&allocator, &asker], HELD_MS);
    asker.sent();
    (allocator, asker)
}

/// An allocator that has granted the cost of a request to another daemon, that daemon, and the grant.
async fn granted() -> (Daemon, Daemon, Message) {
    let (mut allocator, mut asker) = allocator_and_asker();
    let rule = rule();
    let mut charge = Box::pin(asker.gw.charge(&rule, Some(COST)));
    assert!(poll!(&mut charge).is_pending());
    drop(charge);
    let request = asker.sent().pop().expect("a request for a grant");
    // Other requests use most of the allowance, so that its capacity does not hide a second credit.
    for id in [100, 101] {
        let mut other = request.clone();
        if let Message::GrantRequest { ticket, cost, .. } = &mut other {
            (ticket.id, *cost) = (id, 3 * COST);
        }
        allocator.receive(&asker.gw.me, &other);
    }
    allocator.receive(&asker.gw.me, &request);
    let reply = allocator.sent().pop().expect("an answer");
    assert!(
        matches!(reply, Message::GrantReply(_, GrantReply::Granted(..))),
        "{reply:?}"
    );
    (allocator, asker, reply)
}

/// Returns how often the cost of a request whose caller left is credited, if its grant arrives this
/// often and each return is delivered that often.
fn credited((grants, returns): (usize, usize)) -> u64 {
    actix_rt::System::new().block_on(async {
        let (allocator, mut asker, reply) = granted().await;
        let before = allocator.level();
        for _ in 0..grants {
            asker.receive(&allocator.gw.me, &reply);
        }
        for message in asker.sent() {
            for _ in 0..returns {
                allocator.receive(&asker.gw.me, &message);
            }
        }
        let Message::GrantReply(_, GrantReply::Granted(_, amount)) = reply else {
            panic!("{reply:?}");
        };
        ((allocator.level() - before) / amount as f64).round() as u64
    })
}

cases! { credited;
    a_grant_that_is_too_late_is_returned: (1, 1) => 1,
    a_grant_whose_return_is_lost_is_not_credited: (1, 0) => 0,
    // The datagram that returns a grant was duplicated.
    a_return_that_arrives_twice_counts_once: (1, 2) => 1,
    // The datagram that grants was duplicated.
    a_grant_that_arrives_twice_is_returned_once: (2, 1) => 1,
}

/// A duplicated grant must not be returned: its request uses it.
#[test]
fn a_grant_that_is_used_is_not_returned_when_it_arrives_again() {
    actix_rt::System::new().block_on(async {
        let (mut allocator, mut asker) = allocator_and_asker();
        let (gw, rule) = (Rc::clone(&asker.gw), rule());
        let mut charge = Box::pin(gw.charge(&rule, Some(COST)));
        assert!(poll!(&mut charge).is_pending());
        let request = asker.sent().pop().expect("a request for a grant");
        allocator.receive(&asker.gw.me, &request);
        let reply = allocator.sent().pop().expect("an answer");
        asker.receive(&allocator.gw.me, &reply);
        assert!(matches!(poll!(&mut charge), Poll::Ready(Ok(Some(_)))));
        asker.receive(&allocator.gw.me, &reply);
        assert!(asker.sent().is_empty());
    });
}

/// Lets two daemons of a data centre exchange their periodic messages for this long.
fn exchange(daemons: [&Daemon; 2], millis: u64) {
    const INTERVAL_MS: u64 = 100;
    for _ in 0..millis / INTERVAL_MS {
        for (this, other) in [(daemons[0], daemons[1]), (daemons[1], daemons[0])] {
            let clock = &this.manual_clock.0;
            clock.set(clock.get() + INTERVAL_MS);
            for (to, datagram) in periodic_messages(&this.gw) {
                if to == other.gw.me.address {
                    on_datagram(&other.gw, datagram);
                }
            }
        }
    }
}

/// Returns how many requests a hub grants when it resumes after a suspension of 4 s: the other daemon
/// may report to another hub by then. `is_informed` says whether it updates its share first.
fn granted_after_suspension(is_informed: bool) -> usize {
    const SUSPENDED_MS: u64 = 4_000;
    const REQUESTS: u64 = 50;
    let (mut hub, other) = allocator_and_asker();
    assert!(hub.gw.allowances.borrow().allocator.share().fraction > 0.9);
    let request = |id: u64| Message::GrantRequest {
        ticket: Ticket {
            incarnation: other.gw.me.incarnation,
            id,
        },
        org: org(),
        cost: COST,
        held: u64::MAX,
    };
    (0..REQUESTS).for_each(|id| hub.receive(&other.gw.me, &request(id)));
    hub.sent();
    let clock = &hub.manual_clock.0;
    clock.set(clock.get() + SUSPENDED_MS);
    if is_informed {
        hub.gw.share_allowances();
    }
    let ids = REQUESTS..2 * REQUESTS;
    ids.for_each(|id| hub.receive(&other.gw.me, &request(id)));
    let granted = |m: &Message| matches!(m, Message::GrantReply(_, GrantReply::Granted(..)));
    hub.sent().iter().filter(|m| granted(m)).count()
}

/// A hub that was suspended granted by the share that it held before, until its next tick.
#[test]
fn a_hub_that_resumes_grants_by_its_present_share() {
    assert_eq!(
        granted_after_suspension(false),
        granted_after_suspension(true)
    );
}
