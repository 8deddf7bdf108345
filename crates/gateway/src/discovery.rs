//! Finds the other daemons at the start.
//!
//! A daemon that starts sends [`Message::Hello`] to the few addresses of its settings and receives
//! the list of hubs; its hub learns of it from its load reports. Where no address answers, it
//! registers in the store and reads the members there, which include every hub. Hubs register again
//! after the store has come back from an older copy, which may lack them.

use crate::journal::emit;
use crate::message::{Message, Sender};
use crate::state::Gateway;
use crate::store::{Record, Topic};
use crate::store_health::StoreHealth;
use serde::{Deserialize, Serialize};
use shaleline_types::{DataCentre, Instance, LogEvent};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The interval between two hello messages: one or its answer may be lost, and the addressee may
/// still be starting.
pub(crate) const HELLO_INTERVAL: Duration = Duration::from_millis(150);

/// A daemon that has run for this long knows the hubs: daemons that start together do so within 300
/// ms of each other, and all of them have sent it a hello by then. If daemons answered before
/// they know all others, most of them would take themselves for hubs.
pub(crate) const KNOWS_HUBS_AFTER_MS: u64 = 400;

/// The time without an answer after which the daemon falls back on the members in the store: twice
/// what the addressees need to learn of the others where all start together.
pub(crate) const HELLO_TIMEOUT: Duration = Duration::from_millis(900);

/// The time after a daemon learned of the others by which it is settled which daemon reads the
/// store for which: daemons send their load at least every 300 ms.
const SETTLE_LIMIT: Duration = Duration::from_millis(700);

/// The interval at which a daemon checks whether it has become a hub that is not registered yet.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// A daemon's entry among the members in the store.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecord {
    centre: DataCentre,
    strength: u8,
    address: SocketAddr,
    #[serde(rename = "life")]
    incarnation: u64,
}

impl MemberRecord {
    fn of(me: &Sender) -> Vec<u8> {
        let record = Self {
            centre: me.centre.clone(),
            strength: me.strength,
            address: me.address,
            incarnation: me.incarnation,
        };
        serde_json::to_vec(&record).expect("an address and a number serialize")
    }
}

/// Finds the other daemons, and registers this one once it is a hub.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("members");
    let answered = !gw.settings.seeds.is_empty() && send_hello(&gw).await;
    // The era of the store in which this daemon has registered.
    let mut registered = None;
    if !answered {
        register(&gw, &mut health).await;
        registered = Some(gw.era.get());
        read_members(&gw, &mut health).await;
    }
    // A daemon that starts later than the others receives its hub's messages at once.
    let contacted = || gw.membership.borrow().has_hub_contact();
    if gw.settings.first_start {
        wait_for(contacted, SETTLE_LIMIT).await;
    }
    gw.hub_ready.set(true);
    loop {
        tokio::time::sleep(HUB_CHECK_INTERVAL).await;
        let now = gw.now();
        let is_new = registered != Some(gw.era.get());
        if is_new && gw.membership.borrow_mut().is_hub(now) {
            register(&gw, &mut health).await;
            registered = Some(gw.era.get());
        }
    }
}

/// Sends a hello to the addresses of the settings until one of them answers. Returns whether one
/// did.
async fn send_hello(gw: &Gateway) -> bool {
    let seeds = gw.settings.seeds.iter();
    let others: Vec<SocketAddr> = seeds.copied().filter(|s| *s != gw.me.address).collect();
    let known = || gw.hubs_known.get() || gw.membership.borrow().has_hub_contact();
    let start = tokio::time::Instant::now();
    while start.elapsed() < HELLO_TIMEOUT {
        let hello = others.iter().map(|seed| (*seed, Message::Hello));
        gw.send(hello.collect());
        wait_for(known, HELLO_INTERVAL).await;
        if known() {
            return true;
        }
    }
    false
}

/// Registers this daemon in the store.
async fn register(gw: &Gateway, health: &mut StoreHealth) {
    let value = MemberRecord::of(&gw.me);
    let key = gw.me.instance.as_str();
    loop {
        let registered = gw.store.append(Topic::Members, key, &value, None).await;
        health.record(gw, &registered);
        gw.check_era();
        if registered.is_ok() {
            return;
        }
        health.back_off(gw, false, || false).await;
    }
}

/// Learns the daemons that are registered in the store.
async fn read_members(gw: &Gateway, health: &mut StoreHealth) {
    let contacted = || gw.membership.borrow().has_hub_contact();
    let started = Duration::from_millis(KNOWS_HUBS_AFTER_MS);
    wait_for(contacted, started).await;
    // The number of reads after which a daemon that can't read the members goes on without them.
    const MAX_READS: usize = 3;
    for _ in 0..MAX_READS {
        let all = gw.store.newest(Topic::Members).await;
        health.record(gw, &all);
        match all {
            Ok(batch) => {
                batch.records.iter().for_each(|r| learn_record(gw, r));
                return;
            }
            Err(_) => health.back_off(gw, false, || false).await,
        }
    }
}

fn learn_record(gw: &Gateway, record: &Record) {
    let Ok(instance) = Instance::from_text(&record.key) else {
        return;
    };
    let value = record.value.as_deref().unwrap_or_default();
    match serde_json::from_slice::<MemberRecord>(value) {
        Ok(member) => {
            let from = Sender {
                instance,
                centre: member.centre,
                incarnation: member.incarnation,
                address: member.address,
                strength: member.strength,
            };
            let now = gw.now();
            gw.membership.borrow_mut().learn_member(&from, now);
        }
        Err(e) => emit(
            LogEvent::EntrySkipped,
            &format!("member={instance} reason=\"{e}\""),
        ),
    }
}

/// Waits until the condition holds, up to the limit.
async fn wait_for(condition: impl Fn() -> bool, limit: Duration) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let start = tokio::time::Instant::now();
    while !condition() && start.elapsed() < limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Gateway {
    /// Whether this daemon can list the others to a daemon that starts.
    pub(crate) fn knows_others(&self) -> bool {
        let runs = self.now().since(self.started) >= KNOWS_HUBS_AFTER_MS;
        runs || self.membership.borrow().has_hub_contact()
    }
}
