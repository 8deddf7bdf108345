//! The number of heartbeat rounds until an update reaches every daemon, and their cost.

use serde::Serialize;
use shaleline_peer::{Member, MemberId, MemberSettings, Membership};
use shaleline_types::{DataCentre, Instance, Millis, Offset, WriterId};
use std::collections::BTreeMap;
use std::time::Instant;

const ROUND_MS: u64 = 1_000;
const WARM_UP: u64 = 120;
const MAX_ROUNDS: u64 = 120;

/// The figures at one number of daemons.
#[derive(Debug, Clone, Serialize)]
pub struct Rounds {
    /// Number of daemons.
    pub daemons: usize,
    /// Rounds until every daemon knows_death that every other has applied an offset.
    pub rounds: u64,
    /// Bytes of heartbeats and answers per second and daemon.
    pub bytes: f64,
    /// CPU time per second and daemon in microseconds, including serialization.
    pub cpu_us: f64,
    /// Maximum number of live daemons that one daemon considers dead.
    pub missed: usize,
    /// Rounds until every daemon has detected the death of one.
    pub death: u64,
}

fn member(number: usize) -> Member {
    Member {
        id: MemberId {
            instance: Instance::from_text(&format!("entry-{number}")).expect("the name is valid"),
            incarnation: 1_700_000_000_000,
        },
        writer: WriterId(number as u64 + 1),
        centre: DataCentre::from_text(&format!("dc{}", number % 27)).expect("the name is valid"),
        peer: format!("10.0.{}.{}:7400", number / 250, number % 250),
        caller: format!("10.0.{}.{}:7500", number / 250, number % 250),
        round: 0,
        config: Offset(0),
        leaving: false,
        refutations: 0,
    }
}

struct Network {
    all: Vec<Membership>,
    by_address: BTreeMap<String, usize>,
    addresses: Vec<String>,
    bytes: u64,
    busy: f64,
    dead: Option<usize>,
}

impl Network {
    fn round(&mut self, now: Millis) {
        for i in (0..self.all.len())
            .filter(|i| self.dead != Some(*i))
            .collect::<Vec<_>>()
        {
            let started = Instant::now();
            let message = self.all[i].begin_round();
            let text = serde_json::to_string(&message).unwrap_or_default();
            let targets = self.all[i].targets(&self.addresses);
            for to in targets
                .iter()
                .filter_map(|t| self.by_address.get(t).copied())
                .collect::<Vec<_>>()
            {
                if self.dead == Some(to) {
                    let address = self.all[to].local().peer.clone();
                    self.all[i].on_call_failure(&address, now);
                    continue;
                }
                let Ok(message) = serde_json::from_str(&text) else {
                    continue;
                };
                let answer = self.all[to].on_heartbeat(&message, now);
                let reply = serde_json::to_string(&answer).unwrap_or_default();
                self.bytes += (text.len() + reply.len()) as u64;
                self.all[i].on_response(&answer, now);
            }
            self.all[i].tick(now);
            self.all[i].take_events();
            self.busy += started.elapsed().as_secs_f64() * 1e6;
        }
    }
}

fn measure(daemons: usize) -> Rounds {
    let members: Vec<Member> = (0..daemons).map(member).collect();
    let mut network = Network {
        by_address: members
            .iter()
            .enumerate()
            .map(|(i, m)| (m.peer.clone(), i))
            .collect(),
        addresses: members.iter().map(|m| m.peer.clone()).collect(),
        all: members
            .into_iter()
            .map(|m| Membership::new(MemberSettings::default(), m))
            .collect(),
        bytes: 0,
        busy: 0.0,
        dead: None,
    };
    let mut now = Millis(0);
    for _ in 0..WARM_UP {
        now = now.plus(ROUND_MS);
        network.round(now);
    }
    (network.bytes, network.busy) = (0, 0.0);
    for members in &mut network.all {
        members.set_config(Offset(1));
    }
    let mut rounds = 0;
    while rounds < MAX_ROUNDS && network.all.iter().any(|m| !m.behind(Offset(0)).is_empty()) {
        rounds += 1;
        now = now.plus(ROUND_MS);
        network.round(now);
    }
    let missed = network
        .all
        .iter()
        .map(|m| daemons - m.alive().count())
        .max()
        .unwrap_or(0);
    let (bytes, busy) = (network.bytes, network.busy);
    network.dead = Some(daemons / 2);
    let dead_writer = network.all[daemons / 2].local().writer;
    let mut death = 0;
    let knows_death = |(i, m): (usize, &Membership)| i == daemons / 2 || !m.is_alive(dead_writer);
    while death < MAX_ROUNDS && !network.all.iter().enumerate().all(knows_death) {
        death += 1;
        now = now.plus(ROUND_MS);
        network.round(now);
    }
    let total = rounds.max(1) as f64 * daemons as f64;
    Rounds {
        daemons,
        rounds,
        bytes: bytes as f64 / total,
        cpu_us: busy / total,
        missed,
        death,
    }
}

/// Measures at each number of daemons.
pub fn run(sizes: &[usize]) -> Vec<Rounds> {
    sizes.iter().map(|s| measure(*s)).collect()
}
