//! How the daemons of a cluster find each other when they start, as `discovery` does between
//! processes: from the addresses of the settings, and otherwise from the members in the store.

use super::cluster::{Cluster, Daemon, DAEMON_DOWN_MS};
use crate::discovery::{HELLO_INTERVAL, HELLO_TIMEOUT};
use crate::message::Message;
use rand::seq::index::sample;
use rand::Rng;

/// The time from when a daemon has found the others until it has the configuration.
const COPY_MS: u64 = 50;

/// What a daemon does to find the others.
#[derive(Debug, Clone, Copy)]
pub struct Discovery {
    started: u64,
    next_hello: u64,
    /// When it serves callers.
    ready: Option<u64>,
}

impl Cluster {
    /// Starts a daemon that knows no other one.
    pub(super) fn start_alone(&mut self, index: usize) -> Daemon {
        let mut daemon = self.start_unknown(index);
        daemon.discovery = Some(Discovery {
            started: self.now(),
            next_hello: self.now(),
            ready: None,
        });
        daemon
    }

    /// Kills a daemon that starts again after some time and has to find the others.
    pub fn replace(&mut self, index: usize, down_ms: u64) {
        self.registered.extend(self.hubs());
        self.kill(index);
        let until = self.now() + down_ms;
        let daemon = &mut self.daemons[index];
        daemon.down_until = until;
        daemon.disturbed_until = until;
    }

    /// Replaces a share of the daemons at once.
    pub fn replace_share(&mut self, share: f64, rng: &mut impl Rng) {
        let count = (self.daemons() as f64 * share) as usize;
        for index in sample(rng, self.daemons(), count) {
            self.replace(index, DAEMON_DOWN_MS);
        }
    }

    /// Lets a daemon go on with finding the others.
    pub(super) fn discover(&mut self, index: usize) {
        let now = self.now();
        if now == self.daemons[index].down_until {
            self.daemons[index] = self.start_alone(index);
        }
        let Some(mut state) = self.daemons[index].discovery else {
            return;
        };
        let gw = self.daemons[index].gw.clone();
        if let Some(ready) = state.ready {
            if now >= ready {
                self.daemons[index].discovery = None;
            }
            return;
        }
        let answered = gw.hubs_known.get() || gw.membership.borrow().has_hub_contact();
        let late = now >= state.started + HELLO_TIMEOUT.as_millis() as u64;
        if !answered && late {
            self.read_members(index);
        }
        if answered || late {
            state.ready = Some(now + COPY_MS);
        } else if now >= state.next_hello {
            state.next_hello = now + HELLO_INTERVAL.as_millis() as u64;
            let seeds = gw.settings.seeds.iter().filter(|s| **s != gw.me.address);
            let hello = seeds.map(|s| (*s, Message::Hello));
            gw.send(hello.collect());
        }
        self.daemons[index].discovery = Some(state);
    }

    /// Learns the daemons that are registered in the store, among them this one.
    fn read_members(&mut self, index: usize) {
        self.registered.insert(index);
        let gw = &self.daemons[index].gw;
        for other in self.registered.iter().filter(|i| **i != index) {
            let member = &self.daemons[*other].gw.me;
            gw.membership.borrow_mut().learn_member(member, gw.now());
        }
    }
}
