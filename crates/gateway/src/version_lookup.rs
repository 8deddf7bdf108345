//! Tells the hubs at which software version streams began, and asks them.

use crate::dispatch::Ticket;
use crate::job::Job;
use crate::journal::emit;
use crate::membership::Audience;
use crate::message::{Message, Sender, VersionMessage};
use crate::refuse::Refusal;
use crate::state::Gateway;
use crate::stream_versions::{Found, Knowledge, LookUp, LookUpStep, Origin, StreamKey};
use shaleline_types::{ErrorKind, LogEvent, Millis, Service, SoftwareVersion, Upstream};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// The age up to which the list of upstreams counts as current.
const MAX_LIST_AGE_MS: u64 = 1_500;

/// The interval at which the listed versions are recorded.
const OBSERVE_MS: u64 = 500;

/// Added to the longest timeout of a route, and to a caller's own timeout: a caller returns some time
/// after its stream broke off.
const RETURN_MS: u64 = 5_000;

/// The most streams in a datagram.
const STREAMS_PER_DATAGRAM: usize = 20;

struct Pending {
    key: StreamKey,
    service: Service,
    look_up: LookUp,
    sender: oneshot::Sender<Option<Found>>,
}

/// The questions that hubs have not answered yet.
#[derive(Default)]
pub(crate) struct LookUps {
    next_number: u64,
    pending: BTreeMap<u64, Pending>,
    observed: Millis,
}

impl LookUps {
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Gateway {
    fn is_list_current(&self) -> bool {
        let known = self.reading.borrow().entries_known_at();
        known.is_some_and(|at| self.now().since(at) < MAX_LIST_AGE_MS)
    }

    /// Records that an upstream of a version is listed. Where it is the second version of its
    /// service, the hubs are told of the streams that began before.
    pub(crate) fn on_version_listed(&self, service: &Service, version: &SoftwareVersion) {
        let now = self.now();
        let mut versions = self.stream_versions.borrow_mut();
        if !versions.on_listed(service, version, now) {
            return;
        }
        let own = versions.own(service, now);
        drop(versions);
        for streams in own.chunks(STREAMS_PER_DATAGRAM) {
            self.tell_hubs(streams);
        }
    }

    /// Tells the hubs of all streams of this daemon, which stops.
    pub(crate) fn tell_streams(&self) {
        let now = self.now();
        let versions = self.stream_versions.borrow();
        let services = versions.services();
        let own: Vec<(StreamKey, Origin)> = services.flat_map(|s| versions.own(s, now)).collect();
        drop(versions);
        for streams in own.chunks(STREAMS_PER_DATAGRAM) {
            self.tell_hubs(streams);
        }
    }

    fn tell_hubs(&self, streams: &[(StreamKey, Origin)]) {
        let targets = self.look_up_targets();
        let now = self.now();
        let versions = self.stream_versions.borrow();
        let lifetime = versions.is_lifetime_extended(now);
        let lifetime = lifetime.then(|| VersionMessage::Lifetime(versions.lifetime(now)));
        drop(versions);
        // The lifetime goes first, since a stream is remembered for as long as the hub knows then.
        let began = VersionMessage::Began(streams.to_vec());
        for message in lifetime.into_iter().chain([began]) {
            let messages = targets
                .iter()
                .map(|t| (*t, Message::Versions(message.clone())));
            self.send(messages.collect());
        }
    }

    fn look_up_targets(&self) -> Vec<SocketAddr> {
        let mut membership = self.membership.borrow_mut();
        membership.hub_broadcast_targets(Audience::Hubs, self.now())
    }

    /// Records where the stream of a request began.
    pub(crate) fn record_stream(&self, job: &Job, upstream: &Upstream, version: &SoftwareVersion) {
        let Some(service) = self.service_of(upstream) else {
            return;
        };
        self.on_version_listed(&service, version);
        self.record_patience(job);
        let now = self.now();
        let origin = Origin {
            service,
            version: version.clone(),
        };
        let ids = [Some(&job.head.id), job.head.resumes.as_ref()];
        let ids = ids.into_iter().flatten().filter(|id| !id.is_empty());
        let streams: Vec<(StreamKey, Origin)> =
            ids.map(|id| (StreamKey::of(id), origin.clone())).collect();
        let mut versions = self.stream_versions.borrow_mut();
        for (key, origin) in &streams {
            versions.record(*key, origin.clone(), true, now);
        }
        let told = versions.is_told(&origin.service, now);
        drop(versions);
        if told && !streams.is_empty() {
            self.tell_hubs(&streams);
        }
    }

    /// Records for how long the caller of a request may resume its stream.
    fn record_patience(&self, job: &Job) {
        if let Some(patience) = job.head.patience {
            let mut versions = self.stream_versions.borrow_mut();
            versions.extend_lifetime(patience.plus(RETURN_MS), self.now());
        }
    }

    /// Records that the stream of a request has ended.
    pub(crate) fn on_stream_ended(&self, job: &Job) {
        let key = StreamKey::of(&job.head.id);
        self.stream_versions.borrow_mut().on_ended(key, self.now());
    }

    /// Binds a request that resumes a stream to the version that began the stream.
    pub(crate) async fn bind_resumed(&self, mut job: Job) -> Result<Job, Refusal> {
        let resumes = job.head.resumes.clone();
        let Some(resumed) = resumes.filter(|_| job.rule.repeat.is_stream()) else {
            return Ok(job);
        };
        self.record_patience(&job);
        let found = self.look_up(StreamKey::of(&resumed), &job.service);
        let found = self.clock.timeout_at(job.deadline, found).await;
        let Some(Found { service, version }) = found.and_then(Result::ok).flatten() else {
            let detail = format!(
                "id={} resumes={resumed} service={} hubs={}",
                job.head.id,
                job.service,
                self.look_up_targets().len()
            );
            emit(LogEvent::StreamUnknown, &detail);
            return Err(Refusal::new(ErrorKind::VersionUnavailable));
        };
        let began = service.filter(|s| job.rule.services.iter().any(|(name, _)| name == s));
        job.service = began.unwrap_or(job.service);
        job.bound = Some(version);
        Ok(job)
    }

    /// Finds out the version that began a stream.
    pub(crate) fn look_up(
        &self,
        key: StreamKey,
        service: &Service,
    ) -> oneshot::Receiver<Option<Found>> {
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let own = self.knowledge(key, service);
        let targets = self.look_up_targets();
        let hubs = self.membership.borrow_mut().hubs(now);
        let mut look_ups = self.look_ups.borrow_mut();
        let number = look_ups.next_number;
        look_ups.next_number += 1;
        let pending = Pending {
            key,
            service: service.clone(),
            look_up: LookUp::new(own, &targets, hubs, now),
            sender,
        };
        look_ups.pending.insert(number, pending);
        drop(look_ups);
        // No hub is asked about a stream that is known here.
        self.step_look_up(number);
        self.ask(number, targets);
        self.first_request.notify_one();
        receiver
    }

    fn knowledge(&self, key: StreamKey, service: &Service) -> Knowledge {
        let (fresh, now) = (self.is_list_current(), self.now());
        let versions = self.stream_versions.borrow();
        versions.knowledge(key, service, fresh, now)
    }

    fn ask(&self, number: u64, targets: Vec<SocketAddr>) {
        let look_ups = self.look_ups.borrow();
        let Some(pending) = look_ups.pending.get(&number) else {
            return;
        };
        let message = |t: SocketAddr| {
            let question = VersionMessage::Question {
                ticket: Ticket {
                    incarnation: self.me.incarnation,
                    id: number,
                },
                key: pending.key,
                service: pending.service.clone(),
            };
            (t, Message::Versions(question))
        };
        self.send(targets.into_iter().map(message).collect());
    }

    fn step_look_up(&self, number: u64) {
        let mut look_ups = self.look_ups.borrow_mut();
        let Some(pending) = look_ups.pending.get_mut(&number) else {
            return;
        };
        match pending.look_up.step(self.now()) {
            LookUpStep::Wait => {}
            LookUpStep::Ask(targets) => {
                drop(look_ups);
                self.ask(number, targets);
            }
            LookUpStep::Done(found) => {
                if let Some(pending) = look_ups.pending.remove(&number) {
                    // The caller may have left.
                    pending.sender.send(found).ok();
                }
            }
        }
    }

    /// Answers another daemon's question about a stream.
    pub(crate) fn handle_question(
        &self,
        from: &Sender,
        ticket: Ticket,
        key: StreamKey,
        service: &Service,
    ) {
        let answer = self.knowledge(key, service);
        let reply = VersionMessage::Reply(ticket, answer);
        self.send(vec![(from.address, Message::Versions(reply))]);
    }

    /// Handles a hub's answer to a question about a stream.
    pub(crate) fn handle_reply(&self, from: &Sender, ticket: Ticket, answer: Knowledge) {
        if ticket.incarnation != self.me.incarnation {
            return;
        }
        let mut look_ups = self.look_ups.borrow_mut();
        if let Some(pending) = look_ups.pending.get_mut(&ticket.id) {
            pending.look_up.on_answer(from.address, answer);
        }
        drop(look_ups);
        self.step_look_up(ticket.id);
    }

    /// Records for how long streams of another daemon may be resumed.
    pub(crate) fn handle_lifetime(&self, lifetime: Millis) {
        let mut versions = self.stream_versions.borrow_mut();
        versions.extend_lifetime(lifetime, self.now());
    }

    /// Records where streams of other daemons began.
    pub(crate) fn handle_began(&self, streams: Vec<(StreamKey, Origin)>) {
        let now = self.now();
        for (key, origin) in streams {
            self.on_version_listed(&origin.service, &origin.version);
            let mut versions = self.stream_versions.borrow_mut();
            versions.record(key, origin, false, now);
        }
    }

    /// Asks again where hubs have not answered, and records the versions that are listed.
    pub(crate) fn tick_versions(&self) {
        let numbers: Vec<u64> = self.look_ups.borrow().pending.keys().copied().collect();
        numbers.into_iter().for_each(|n| self.step_look_up(n));
        let now = self.now();
        if now.since(self.look_ups.borrow().observed) < OBSERVE_MS {
            return;
        }
        self.look_ups.borrow_mut().observed = now;
        let table = self.table();
        let timeouts = table.iter().flat_map(|t| &t.rules).map(|r| r.timeout);
        if let Some(longest) = timeouts.max() {
            let lifetime = longest.plus(RETURN_MS);
            self.stream_versions
                .borrow_mut()
                .set_lifetime(lifetime, now);
        }
        if !self.is_list_current() {
            return;
        }
        let roster = self.roster.borrow();
        let listed = roster.iter().map(|(_, e)| (&e.service, &e.version));
        let listed: std::collections::BTreeSet<(&Service, &SoftwareVersion)> = listed.collect();
        for (service, version) in listed {
            self.on_version_listed(service, version);
        }
        self.stream_versions.borrow_mut().on_current_list(now);
    }
}
