//! How daemons find each other.
//!
//! A daemon that starts says so to the few addresses that its settings name, and is told who the
//! hubs are; whom it follows learns of it by what it tells. Where none of these answers, it lists
//! itself in the store and reads the list, in which every hub stands.

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

/// The pause between two greetings: one or its answer may be lost, and whoever is greeted may
/// still be starting.
const HELLO_INTERVAL: Duration = Duration::from_millis(150);

/// Daemons that start together do so within 300 ms of each other. One that has run for so long
/// has been greeted by all of them and knows who the hubs are. With a part of the others known
/// most of 91 daemons took themselves for hubs.
pub(crate) const KNOWS_HUBS_AFTER_MS: u64 = 400;

/// Where nobody has answered a greeting for so long, the store's list has to do: twice what those
/// greeted take to know the others where all start together.
const HELLO_TIMEOUT: Duration = Duration::from_millis(900);

/// Daemons tell each other their load every 300 ms at the most. Who reads the store for
/// whom is clear so long after a daemon was told of the others.
const SETTLE_LIMIT: Duration = Duration::from_millis(700);

/// How often a daemon looks whether it has become a hub that is not listed yet.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// How a daemon is listed for the others.
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

/// Finds the others, and lists this daemon for them once it is a hub.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut health = StoreHealth::new("members");
    let answered = !gw.settings.seeds.is_empty() && send_hello(&gw).await;
    let mut registered = false;
    if !answered {
        register(&gw, &mut health).await;
        registered = true;
        read_members(&gw, &mut health).await;
    }
    // One that starts alone hears of its hub at once.
    let contacted = || gw.mesh.borrow().has_hub_contact();
    if gw.settings.first_start {
        wait_for(contacted, SETTLE_LIMIT).await;
    }
    gw.hub_ready.set(true);
    while !registered {
        tokio::time::sleep(HUB_CHECK_INTERVAL).await;
        let now = gw.now();
        registered = gw.mesh.borrow_mut().is_hub(now);
    }
    if answered {
        register(&gw, &mut health).await;
    }
}

/// Greets the addresses of the settings until somebody answers; whether anybody did.
async fn send_hello(gw: &Gateway) -> bool {
    let seeds = gw.settings.seeds.iter();
    let others: Vec<SocketAddr> = seeds.copied().filter(|s| *s != gw.me.address).collect();
    let known = || gw.hubs_known.get() || gw.mesh.borrow().has_hub_contact();
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

/// Lists this daemon in the store.
async fn register(gw: &Gateway, health: &mut StoreHealth) {
    let value = MemberRecord::of(&gw.me);
    let key = gw.me.instance.as_str();
    loop {
        let registered = gw.store.append(Topic::Members, key, &value, None).await;
        health.record(gw, &registered);
        if registered.is_ok() {
            return;
        }
        health.back_off(gw, false, || false).await;
    }
}

/// Learns of those listed in the store.
async fn read_members(gw: &Gateway, health: &mut StoreHealth) {
    let contacted = || gw.mesh.borrow().has_hub_contact();
    let started = Duration::from_millis(KNOWS_HUBS_AFTER_MS);
    wait_for(contacted, started).await;
    // One that can't read the list goes on alone after so long.
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
            gw.mesh.borrow_mut().learn_member(&from, now);
        }
        Err(e) => emit(
            LogEvent::EntrySkipped,
            &format!("member={instance} reason=\"{e}\""),
        ),
    }
}

/// Waits until something holds, for so long at the most.
async fn wait_for(condition: impl Fn() -> bool, limit: Duration) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let start = tokio::time::Instant::now();
    while !condition() && start.elapsed() < limit {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Gateway {
    /// Whether this daemon can tell one that starts who the others are.
    pub(crate) fn knows_others(&self) -> bool {
        let runs = self.now().since(self.started) >= KNOWS_HUBS_AFTER_MS;
        runs || self.mesh.borrow().has_hub_contact()
    }
}
