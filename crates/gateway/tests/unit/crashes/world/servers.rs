//! The upstreams: how they run requests, end, and start again.

use super::{Kind, World};
use crate::attempt::Failure;
use crate::roster::EntryRecord;
use crate::Entry;
use shaleline_route::AttemptEnd;
use shaleline_types::{DataCentre, Incarnation, Service, Upstream};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An upstream's entry lapses so long after its end, and it starts again so long after.
const LAPSES: u64 = 3_600;
const STARTS: u64 = 2_000;

/// Entries are known to daemons so long after they were written.
const READ: (u64, u64) = (50, 900);

/// One start of an upstream.
pub(super) struct Server {
    pub(super) name: Upstream,
    pub(super) incarnation: Incarnation,
    pub(super) up: bool,
    /// Requests there: the call, when it begins, and when it ends or ends the upstream.
    pub(super) work: Vec<(usize, u64, u64)>,
}

impl World {
    pub(super) fn seen(&mut self, server: usize, listed: bool) -> EntryRecord {
        self.count += 1;
        let Server {
            name, incarnation, ..
        } = &self.servers[server];
        let entry = Entry {
            service: Service::from_text("svc").expect("a valid name"),
            address: SocketAddr::from(([10, 1, 0, (server % 250) as u8], 80)),
            centre: DataCentre::from_text(&format!("dc{}", server % 3)).expect("a valid name"),
            slots: 24,
            leaving: false,
            held: None,
            incarnation: *incarnation,
        };
        EntryRecord {
            name: name.clone(),
            offset: self.count,
            entry: listed.then_some(entry),
        }
    }

    pub(super) fn publish(&mut self, server: usize, listed: bool, after: u64) {
        let seen = self.seen(server, listed);
        for daemon in 0..self.daemons.len() {
            let at = self.now() + after + self.draw(READ);
            self.count += 1;
            let key = (at, self.count);
            self.entries.insert(key, (daemon, seen.clone()));
        }
    }

    pub(super) fn start_server(&mut self) {
        let number = self.servers.len();
        let name = Upstream::from_text(&format!("i-{number}")).expect("a valid name");
        self.servers.push(Server {
            name,
            incarnation: Incarnation::from_millis(self.now()),
            up: true,
            work: Vec::new(),
        });
        self.publish(number, true, 0);
    }

    /// Ends an upstream: all that is there breaks off, and connections are refused.
    pub fn end_server(&mut self, server: usize) {
        let Server { up, work, .. } = &mut self.servers[server];
        if !std::mem::replace(up, false) {
            return;
        }
        let work = std::mem::take(work);
        self.publish(server, false, LAPSES);
        self.starts.push((self.now() + STARTS, server));
        for (call, ..) in work {
            self.fail(call, Failure::Ended);
        }
    }

    /// Resets all that is under way at an upstream, which goes on.
    pub fn reset_server(&mut self, server: usize) {
        let work = std::mem::take(&mut self.servers[server].work);
        for (call, ..) in work {
            self.fail(call, Failure::Broken);
        }
    }

    /// The upstreams that run.
    pub fn up(&self) -> Vec<usize> {
        let up = (0..self.servers.len()).filter(|s| self.servers[*s].up);
        up.collect()
    }

    /// The upstreams at which a request is.
    pub fn places(&self, name: u64) -> BTreeSet<usize> {
        let has = |s: &Server| s.work.iter().any(|(c, ..)| self.calls[*c].name == name);
        let found = (0..self.servers.len()).filter(|s| has(&self.servers[*s]));
        found.collect()
    }

    /// Every second upstream that ended starts again under another name, the others under theirs.
    pub(super) fn start_again(&mut self) {
        let now = self.now();
        let due: Vec<usize> = self
            .starts
            .iter()
            .filter(|s| s.0 <= now)
            .map(|s| s.1)
            .collect();
        self.starts.retain(|s| s.0 > now);
        for server in due {
            if server % 2 == 0 {
                self.start_server();
                continue;
            }
            self.servers[server].up = true;
            self.servers[server].incarnation = Incarnation::from_millis(now);
            self.publish(server, true, LAPSES - STARTS + 1);
        }
    }

    pub(super) fn work(&mut self) {
        let now = self.now();
        for server in 0..self.servers.len() {
            let work = &self.servers[server].work;
            let done: Vec<usize> = work.iter().filter(|w| w.2 <= now).map(|w| w.0).collect();
            let fatal = done.iter().any(|c| self.calls[*c].kind == Kind::Fatal);
            if fatal {
                self.fatal_ends += 1;
                self.end_server(server);
                continue;
            }
            self.servers[server].work.retain(|w| w.2 > now);
            for call in done {
                let call = &mut self.calls[call];
                if let (Some(permit), Some(sent)) = (&mut call.permit, &call.sent) {
                    permit.end(sent.attempt, AttemptEnd::Whole);
                    call.sent = None;
                }
            }
        }
    }
}
