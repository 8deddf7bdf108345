//! Simulated upstreams, which run requests, crash and restart.

use super::{Cluster, Kind};
use crate::attempt::Failure;
use crate::roster::EntryRecord;
use crate::Entry;
use shaleline_route::AttemptEnd;
use shaleline_types::{DataCentre, Incarnation, Position, Service, Upstream};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The times after a crash at which an upstream's entry expires and at which it restarts.
const ENTRY_EXPIRY_MS: u64 = 3_600;
const RESTART_MS: u64 = 2_000;

/// The bounds of the delay between the write of an entry and the read by a daemon.
const READ_DELAY_MS: (u64, u64) = (50, 900);

/// An upstream.
pub(super) struct Server {
    pub(super) name: Upstream,
    pub(super) incarnation: Incarnation,
    pub(super) up: bool,
    /// The running requests: the call, its start, and the time at which it completes or crashes the
    /// upstream.
    pub(super) work: Vec<(usize, u64, u64)>,
}

impl Cluster {
    pub(super) fn entry_record(&mut self, server: usize, listed: bool) -> EntryRecord {
        self.event_count += 1;
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
            version: shaleline_types::SoftwareVersion::default(),
            remaining: None,
        };
        EntryRecord {
            name: name.clone(),
            position: Position::new(0, self.event_count),
            entry: listed.then_some(entry),
        }
    }

    pub(super) fn publish(&mut self, server: usize, listed: bool, after: u64) {
        let record = self.entry_record(server, listed);
        for daemon in 0..self.daemons.len() {
            let at = self.now() + after + self.draw(READ_DELAY_MS);
            self.event_count += 1;
            let key = (at, self.event_count);
            self.entries.insert(key, (daemon, record.clone()));
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

    /// Crashes an upstream: its requests are interrupted, and connections are refused.
    pub fn crash_server(&mut self, server: usize) {
        let Server { up, work, .. } = &mut self.servers[server];
        if !std::mem::replace(up, false) {
            return;
        }
        let work = std::mem::take(work);
        self.publish(server, false, ENTRY_EXPIRY_MS);
        self.restarts.push((self.now() + RESTART_MS, server));
        for (call, ..) in work {
            self.fail(call, Failure::Ended);
        }
    }

    /// Resets all connections of an upstream, which goes on running.
    pub fn reset_server(&mut self, server: usize) {
        let work = std::mem::take(&mut self.servers[server].work);
        for (call, ..) in work {
            self.fail(call, Failure::Broken);
        }
    }

    /// The upstreams that are running.
    pub fn running_servers(&self) -> Vec<usize> {
        let running = (0..self.servers.len()).filter(|s| self.servers[*s].up);
        running.collect()
    }

    /// The upstreams that run a request.
    pub fn servers_running(&self, name: u64) -> BTreeSet<usize> {
        let runs_request = |s: &Server| s.work.iter().any(|(c, ..)| self.calls[*c].name == name);
        let found = (0..self.servers.len()).filter(|s| runs_request(&self.servers[*s]));
        found.collect()
    }

    /// Restarts the crashed upstreams whose restart is due, every second one under a new name.
    pub(super) fn restart_due(&mut self) {
        let now = self.now();
        let due: Vec<usize> = self
            .restarts
            .iter()
            .filter(|s| s.0 <= now)
            .map(|s| s.1)
            .collect();
        self.restarts.retain(|s| s.0 > now);
        for server in due {
            if server % 2 == 0 {
                self.start_server();
                continue;
            }
            self.servers[server].up = true;
            self.servers[server].incarnation = Incarnation::from_millis(now);
            self.publish(server, true, ENTRY_EXPIRY_MS - RESTART_MS + 1);
        }
    }

    /// Reports the first byte of an answer. Fatal requests crash their upstream before it.
    fn begin_answer(&mut self, call: usize) {
        let call = &mut self.calls[call];
        if call.kind == Kind::Fatal || std::mem::replace(&mut call.begun, true) {
            return;
        }
        if let (Some(permit), Some(sent)) = (&mut call.permit, &call.sent) {
            permit.first_byte(sent.attempt);
        }
    }

    pub(super) fn complete_work(&mut self) {
        let now = self.now();
        for server in 0..self.servers.len() {
            let work = &self.servers[server].work;
            let done: Vec<usize> = work.iter().filter(|w| w.2 <= now).map(|w| w.0).collect();
            let fatal = done.iter().any(|c| self.calls[*c].kind == Kind::Fatal);
            if fatal {
                self.fatal_crashes += 1;
                self.crash_server(server);
                continue;
            }
            let begun: Vec<usize> = work.iter().filter(|w| w.1 <= now).map(|w| w.0).collect();
            begun.into_iter().for_each(|call| self.begin_answer(call));
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
