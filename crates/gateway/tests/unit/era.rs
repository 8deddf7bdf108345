//! Which configuration daemons take over from each other when the store has lost records.

use crate::gossip::{on_datagram, Addressed};
use crate::message::{Datagram, Message};
use crate::state::{Gateway, Platform};
use crate::unit::crashes::cluster::settings;
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use crate::unit::manual_clock::ManualClock;
use crate::{CallerLimits, Table};
use futures_util::FutureExt;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use shaleline_edge::{Clock, TimeSource};
use shaleline_types::{Millis, Position};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
    clock: Rc<ManualClock>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1 + index as u8], 1))
}

/// A daemon of its own data centre that has this version and knows another daemon.
fn daemon(index: usize, version: u64) -> Daemon {
    let clock = Rc::new(ManualClock::default());
    let time: Rc<dyn TimeSource> = clock.clone();
    let (outbox, messages) = mpsc::unbounded_channel();
    let platform = Platform {
        codec: Box::new(StubCodec),
        store: Box::new(UnavailableStore),
    };
    let settings = settings(index, address(index));
    let rng = SmallRng::seed_from_u64(1);
    let gw = Gateway::with_clock(settings, platform, outbox, Clock::from_time(time), rng);
    let gw = gw.expect("a gateway");
    gw.set_table(Table {
        orgs: None,
        version,
        rules: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            head: 16_384,
            body: 1 << 20,
            arrival: Millis(1_000),
            idle: Millis(10_000),
        },
    });
    Daemon {
        gw,
        outbox: messages,
        clock,
    }
}

fn held(version: u64, from: &Daemon) -> Datagram {
    Datagram {
        from: from.gw.me.clone(),
        message: Message::ConfigHeld { version },
    }
}

#[test]
fn a_daemon_takes_over_a_newer_configuration_only() {
    let (mut me, other) = (daemon(0, 21), daemon(1, 29));
    on_datagram(&me.gw, held(21, &other));
    on_datagram(&me.gw, held(17, &other));
    assert_eq!(me.gw.era.newer_config().now_or_never(), None);
    // The other daemon receives the newer version in reply.
    let replies = me.outbox.try_recv().expect("a reply");
    assert!(matches!(
        replies[..],
        [(to, Datagram { message: Message::ConfigHeld { version: 21 }, .. })] if to == address(1)
    ));
    on_datagram(&me.gw, held(29, &other));
    let newer = me.gw.era.newer_config().now_or_never();
    assert_eq!(newer, Some(address(1)));
}

/// The versions that a daemon sends in its reports at this time.
fn offered(daemon: &Daemon, at: u64) -> usize {
    daemon.clock.0.set(at);
    daemon.gw.config_offers(daemon.gw.now()).len()
}

#[test]
fn versions_are_sent_after_the_start_and_in_a_new_era() {
    let (me, other) = (daemon(0, 21), daemon(1, 21));
    on_datagram(&me.gw, held(21, &other));
    assert_eq!(offered(&me, 100), 1);
    assert_eq!(offered(&me, 9_000), 0);
    let known = Position::new(1, 7);
    me.gw.reading.borrow_mut().on_config(known, me.gw.now());
    me.gw.on_era(1);
    me.gw.on_era(2);
    assert_eq!(offered(&me, 10_000), 1);
    assert_eq!(offered(&me, 20_000), 0);
}
