//! How daemons find each other: each lists itself in the store once and reads the list.

use crate::journal::emit;
use crate::link::Link;
use crate::message::Sender;
use crate::state::Gateway;
use crate::store::{Record, Topic};
use serde::{Deserialize, Serialize};
use shaleline_types::{DataCentre, Instance, LogEvent};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Daemons that start together do so within 300 ms of each other: the list is read so long
/// after a daemon has listed itself, when all of them stand there. With a part of the list
/// most of 91 daemons took themselves for hubs.
const LIST_DELAY: Duration = Duration::from_millis(400);

/// Daemons tell each other their load every 300 ms at the most. Who reads the store for
/// whom is clear so long after a daemon has read the list.
const SETTLE: Duration = Duration::from_millis(700);

/// A daemon that can't read the list goes on alone after so long.
const LISTING: Duration = Duration::from_millis(2_500);

/// How a daemon is listed for the others.
#[derive(Debug, Serialize, Deserialize)]
struct MemberRecord {
    centre: DataCentre,
    strength: u8,
    address: SocketAddr,
    life: u64,
}

/// Lists this daemon for the others and learns of those listed before.
pub(crate) async fn run(gw: Rc<Gateway>) {
    let mut link = Link::new("members");
    let record = MemberRecord {
        centre: gw.me.centre.clone(),
        strength: gw.me.strength,
        address: gw.settings.listen.peers,
        life: gw.me.life,
    };
    let value = serde_json::to_vec(&record).expect("an address and a number serialize");
    loop {
        let key = gw.me.instance.as_str();
        let listed = gw.store.append(Topic::Members, key, &value, None).await;
        link.note(&gw, &listed);
        if listed.is_ok() {
            break;
        }
        link.pause(&gw, false, || false).await;
    }
    let heard = || gw.mesh.borrow().has_heard();
    wait_for(heard, LIST_DELAY).await;
    loop {
        let all = gw.store.newest(Topic::Members).await;
        link.note(&gw, &all);
        match all {
            Ok(batch) => {
                batch.records.iter().for_each(|r| learn(&gw, r));
                gw.listed_peers.set(true);
                return;
            }
            Err(_) => link.pause(&gw, false, || false).await,
        }
    }
}

fn learn(gw: &Gateway, record: &Record) {
    let Ok(instance) = Instance::from_text(&record.key) else {
        return;
    };
    let value = record.value.as_deref().unwrap_or_default();
    match serde_json::from_slice::<MemberRecord>(value) {
        Ok(member) if instance != gw.me.instance => {
            let from = Sender {
                instance,
                centre: member.centre,
                life: member.life,
                address: member.address,
                strength: member.strength,
            };
            let now = gw.now();
            gw.mesh.borrow_mut().learn(&from, now);
        }
        Ok(_) => {}
        Err(e) => emit(
            LogEvent::EntrySkipped,
            &format!("member={instance} reason=\"{e}\""),
        ),
    }
}

/// Waits until something holds, for so long at the most.
async fn wait_for(holds: impl Fn() -> bool, most: Duration) {
    const LOOK: Duration = Duration::from_millis(50);
    let start = tokio::time::Instant::now();
    while !holds() && start.elapsed() < most {
        tokio::time::sleep(LOOK).await;
    }
}

/// Waits until this daemon knows which of the others reads the store for it. One that was
/// started alone hears of its hub at once.
pub(crate) async fn settle(gw: &Gateway) {
    let heard = || gw.mesh.borrow().has_heard();
    wait_for(|| gw.listed_peers.get() || heard(), LISTING).await;
    wait_for(heard, SETTLE).await;
    gw.settled.set(true);
}
