//! Exchanges the causes of crashes among daemons: the requests, and parts of prompts, during which
//! upstreams crashed.
//!
//! A daemon that sees an upstream crash during a request reports it at once to the daemon that
//! selects for the request and to all hubs, as any datagram may be lost and any hub may fail. Where
//! more than one upstream crashed during the request, hubs send it to all daemons. Hubs send a
//! digest of these requests with each tick. A daemon with a different digest sends its own notes
//! and receives those that it lacks: one that has just started, was cut off, or missed a datagram.
//! `docs/CRASHES.md` compares the alternatives and their cost.

use crate::crash_probe::SentAttempt;
use crate::job::Job;
use crate::journal::emit;
use crate::membership::Audience;
use crate::message::{Message, Sender};
use crate::state::Gateway;
use shaleline_route::{CrashNote, RouteAction, RouteRequest, MAX_CRASHES};
use shaleline_types::{ErrorKind, Fingerprint, Identity, LogEvent};
use std::net::SocketAddr;

/// The most notes in a datagram; one has about seventy bytes.
const NOTES_PER_DATAGRAM: usize = 12;

/// The shortest interval between two exchanges of notes after differing digests. New notes are sent
/// in any case.
const SYNC_INTERVAL_MS: u64 = 500;

/// The name and digest of a request or part in log lines.
fn label(cause: &Fingerprint) -> String {
    match cause.is_part() {
        true => format!("part={cause}"),
        false => format!("request={cause}"),
    }
}

impl Gateway {
    /// Refuses a request that must not be sent at all, or not by this daemon alone. While the
    /// daemon that selects for a request does not answer, a request during which upstreams crashed
    /// is refused, since this daemon does not know where its other copies are.
    pub(crate) fn refuse_suspect(&self, request: &RouteRequest, alone: bool) -> bool {
        let router = self.router.borrow();
        let crash_count = router.crash_count(request);
        let kind = match crash_count {
            0 => return false,
            MAX_CRASHES.. if alone || router.is_request_blocked(request) => {
                ErrorKind::EndsUpstreams
            }
            _ if alone => ErrorKind::NoUpstream,
            // Whether a part of the prompt was answered just now, the hub knows better.
            _ => return false,
        };
        drop(router);
        let (id, retry) = (request.id, None);
        self.deliver(&RouteAction::Refuse { id, kind, retry });
        true
    }

    /// Records that an upstream crashed during a request of this daemon, and reports it to the
    /// hubs; `begun` is whether the upstream had begun its answer. The daemon that selected the
    /// upstream learns how the attempt ended.
    pub(crate) fn record_crash(&self, job: &Job, sent: &SentAttempt, begun: bool) {
        let parts = match begun {
            true => Vec::new(),
            false => job.shared_parts(),
        };
        let mut router = self.router.borrow_mut();
        let suspects = router.suspects(job.identity, &parts, sent.start);
        drop(router);
        let note = |identity: Identity| CrashNote {
            identity,
            ended: [sent.start].into(),
            cleared: [].into(),
            age: 0,
        };
        for suspect in &suspects {
            if self.log_budget.take(self.now()) {
                let detail = format!(
                    "{} upstream={} start={}",
                    label(&suspect.request),
                    sent.upstream,
                    sent.start
                );
                emit(LogEvent::RequestSuspected, &detail);
            }
        }
        self.on_crash_notes(None, suspects.into_iter().map(note).collect());
    }

    /// Sends the notes that this daemon's router has added.
    pub(crate) fn publish_crashes(&self) {
        let notes = self.router.borrow_mut().take_crash_notes();
        for note in &notes {
            self.log_status(&note.identity.request);
        }
        self.broadcast_crashes(None, &notes);
    }

    /// Merges the notes of another daemon, or of this one, and forwards those that are new.
    pub(crate) fn on_crash_notes(&self, from: Option<&Sender>, notes: Vec<CrashNote>) {
        let mut actions = Vec::new();
        let now = self.now();
        let new_notes = self
            .router
            .borrow_mut()
            .merge_crashes(notes, now, &mut actions);
        actions.iter().for_each(|a| self.deliver(a));
        for note in &new_notes {
            self.log_status(&note.identity.request);
        }
        self.broadcast_crashes(from, &new_notes);
    }

    fn log_status(&self, request: &Fingerprint) {
        let router = self.router.borrow();
        let (known, blocked) = router.crashes().counts();
        self.metrics.record_suspects(known, blocked);
        let event = match router.crashes().crash_count(request) {
            0 => LogEvent::RequestCleared,
            MAX_CRASHES.. => LogEvent::RequestBlocked,
            _ => return,
        };
        emit(event, &label(request));
    }

    fn broadcast_crashes(&self, from: Option<&Sender>, notes: &[CrashNote]) {
        let (repeated, single): (Vec<&CrashNote>, Vec<&CrashNote>) =
            notes.iter().partition(|n| n.ended.len() > 1);
        self.send_notes(from, Audience::All, &repeated);
        self.send_notes(from, Audience::Hubs, &single);
    }

    fn send_notes(&self, from: Option<&Sender>, audience: Audience, notes: &[&CrashNote]) {
        let now = self.now();
        if notes.is_empty() {
            return;
        }
        let mut membership = self.membership.borrow_mut();
        let targets = match from {
            Some(from) => membership.forward_targets(from, audience, now),
            None => membership.hub_broadcast_targets(audience, now),
        };
        drop(membership);
        for target in targets {
            self.send_crashes(target, notes.iter().copied(), false);
        }
    }

    fn send_crashes<'a>(
        &self,
        to: SocketAddr,
        notes: impl Iterator<Item = &'a CrashNote>,
        request_reply: bool,
    ) {
        let notes: Vec<CrashNote> = notes.cloned().collect();
        let messages = notes.chunks(NOTES_PER_DATAGRAM).map(|n| {
            let notes = n.to_vec();
            (to, Message::Crashes { notes })
        });
        let request = request_reply.then_some((to, Message::CrashesRequest { all: false }));
        self.send(messages.chain(request).collect());
    }

    /// Compares a hub's digest of these requests with this daemon's own, and exchanges notes where
    /// they differ.
    pub(crate) fn on_crashes_digest(&self, from: &Sender, digest: u64) {
        let now = self.now();
        let own = self.router.borrow().crashes().digest();
        let recent = now.since(self.crashes_synced.get()) < SYNC_INTERVAL_MS;
        if own == digest || recent {
            return;
        }
        self.crashes_synced.set(now);
        let notes = self.router.borrow().crashes().repeated(now);
        self.send_crashes(from.address, notes.iter(), true);
    }

    /// Sends the notes that concern every daemon, or all notes to a new hub: the previous hub of
    /// its data centre, which may be gone, knew of requests during which a single upstream crashed.
    pub(crate) fn on_crashes_request(&self, from: &Sender, all: bool) {
        let router = self.router.borrow();
        let now = self.now();
        let notes = match all {
            true => router.crashes().all(now),
            false => router.crashes().repeated(now),
        };
        drop(router);
        self.send_crashes(from.address, notes.iter(), false);
    }
}
