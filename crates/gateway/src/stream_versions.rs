//! Remembers at which software version resumable streams began, over all attempts of their callers.
//!
//! A caller may resume its stream at any daemon, which then has to find out the version that began
//! it. The daemon of a stream reports it to the hubs before the first event is passed on; hubs keep
//! the record for as long as a caller may resume the stream, and don't repeat it. A daemon that
//! doesn't know a stream asks the hubs. While all upstreams of a service have one version, that
//! version is the answer, and nothing is reported.
//!
//! What all daemons would forget when they are killed together is in the store
//! ([`crate::version_store`]): the versions that each service has or recently had. Hubs read it.
//!
//! A version that is not known stays unknown: a stream whose version was guessed may hold events
//! that don't fit together. [`docs/design/stream-versions.md`](../../../docs/design/stream-versions.md) has the design.

use crate::stream_lifetime::StreamLifetime;
use crate::version_store::VersionRecord;
use serde::{Deserialize, Serialize};
use shaleline_types::{stable_hash, Millis, Service, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// The most streams that are remembered, which takes some megabytes.
const MAX_STREAMS: usize = 20_000;

/// The time for which the end of a stream may not have reached its caller.
const LINGER_MS: u64 = 5_000;

/// The longest time without a current list of upstreams after which its history counts as known.
const MAX_GAP_MS: u64 = 3_000;

/// The interval at which unanswered questions are sent again, and the time after which missing
/// answers are not waited for: the caller waits meanwhile.
const RESEND_MS: u64 = 40;
const ANSWER_TIMEOUT_MS: u64 = 130;

/// Identifies a stream: a hash of the id of the caller's attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct StreamKey(u64);

impl StreamKey {
    pub(crate) fn of(id: &str) -> Self {
        Self(stable_hash(&[id]))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Origin {
    pub(crate) service: Service,
    pub(crate) version: SoftwareVersion,
}

/// What a daemon answers to a question about a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Knowledge {
    /// The stream began there.
    Began(Origin),
    /// The stream is not known, and its service has had this version alone for as long as the
    /// stream can have existed.
    Only(SoftwareVersion),
    /// The stream is not known, and its service has had several versions.
    Several,
    /// Neither the stream nor the versions of its service are known for long enough.
    Nothing,
}

#[derive(Debug, Clone)]
struct Known {
    origin: Origin,
    since: Millis,
    /// When a stream of this daemon ended, if it did.
    ended: Option<Millis>,
    /// Whether it is a stream of this daemon.
    own: bool,
}

/// The records of the store that have been read.
#[derive(Debug)]
struct ReadRecords {
    at: Millis,
    /// The services whose records are complete.
    complete: BTreeSet<Service>,
}

/// The versions of streams, and the versions that services have had.
#[derive(Debug, Default)]
pub(crate) struct StreamVersions {
    streams: HashMap<StreamKey, Known>,
    /// The streams in the order in which they were recorded.
    order: VecDeque<(Millis, StreamKey)>,
    /// When each version of a service was last listed.
    listed: BTreeMap<Service, BTreeMap<SoftwareVersion, Millis>>,
    /// Since when the list of upstreams has been known without a gap, and when it last was.
    known_since: Option<Millis>,
    observed: Millis,
    lifetime: StreamLifetime,
    /// The records of the store; none where they were not read, or where the list of upstreams was not
    /// known for some time since.
    records: Option<ReadRecords>,
}

impl StreamVersions {
    /// Sets the time for which the configuration in force lets a caller resume a stream.
    pub(crate) fn set_lifetime(&mut self, lifetime: Millis, now: Millis) {
        self.lifetime.set(lifetime, now);
    }

    /// Records that a caller may resume a stream for that long, whatever the configuration says.
    pub(crate) fn extend_lifetime(&mut self, lifetime: Millis, now: Millis) {
        self.lifetime.extend(lifetime, now);
    }

    /// The time for which the longest stream that is in progress or broken off may be resumed.
    pub(crate) fn lifetime(&self, now: Millis) -> Millis {
        self.lifetime.get(now)
    }

    /// Whether that is longer than the configuration in force shows to the other daemons.
    pub(crate) fn is_lifetime_extended(&self, now: Millis) -> bool {
        self.lifetime.is_extended(now)
    }

    /// Adds what the store has of each service. What is read counts as listed now: for how long a
    /// version was gone when its record was written is not known.
    pub(crate) fn on_records(&mut self, records: &BTreeMap<Service, VersionRecord>, now: Millis) {
        for (service, record) in records {
            for version in &record.versions {
                self.on_listed(service, version, now);
            }
            self.extend_lifetime(record.lifetime, now);
        }
        let complete = records.iter().filter(|(_, r)| r.complete);
        self.records = Some(ReadRecords {
            at: now,
            complete: complete.map(|(service, _)| service.clone()).collect(),
        });
    }

    /// Whether the records of the store are known.
    pub(crate) fn has_records(&self) -> bool {
        self.records.is_some()
    }

    /// The record of a service that the store should have; none while too little is known for one.
    pub(crate) fn to_record(&self, service: &Service, now: Millis) -> Option<VersionRecord> {
        let versions = self.listed.get(service).filter(|v| !v.is_empty())?;
        Some(VersionRecord {
            versions: versions.keys().cloned().collect(),
            lifetime: self.lifetime.known(now)?,
            complete: self.knows_history(service, now),
        })
    }

    /// Records that the list of upstreams is current, and drops versions that were last listed
    /// before any stream that may be resumed.
    pub(crate) fn on_current_list(&mut self, now: Millis) {
        if self.known_since.is_none() || now.since(self.observed) > MAX_GAP_MS {
            self.known_since = Some(now);
            let records = self.records.take();
            self.records = records.filter(|r| now.since(r.at) <= MAX_GAP_MS);
        }
        self.observed = now;
        let lifetime = self.lifetime(now).0;
        for versions in self.listed.values_mut() {
            versions.retain(|_, at| now.since(*at) < lifetime);
        }
    }

    /// Records that an upstream of a version is listed. Returns whether its service has several
    /// versions only since now.
    pub(crate) fn on_listed(
        &mut self,
        service: &Service,
        version: &SoftwareVersion,
        now: Millis,
    ) -> bool {
        let versions = self.listed.entry(service.clone()).or_default();
        let known = versions.insert(version.clone(), now).is_some();
        !known && versions.len() == 2
    }

    /// Records where a stream began.
    pub(crate) fn record(&mut self, key: StreamKey, origin: Origin, own: bool, now: Millis) {
        let was_own = self.streams.get(&key).is_some_and(|k| k.own);
        let known = Known {
            origin,
            since: now,
            ended: None,
            own: own || was_own,
        };
        self.streams.insert(key, known);
        self.order.push_back((now, key));
        let lifetime = self.lifetime(now).0;
        while let Some((at, key)) = self.order.front().copied() {
            if self.order.len() <= MAX_STREAMS && now.since(at) < lifetime {
                return;
            }
            self.order.pop_front();
            if self.streams.get(&key).is_some_and(|k| k.since == at) {
                self.streams.remove(&key);
            }
        }
    }

    /// Records that a stream of this daemon has ended.
    pub(crate) fn on_ended(&mut self, key: StreamKey, now: Millis) {
        if let Some(known) = self.streams.get_mut(&key) {
            known.ended = Some(now);
        }
    }

    /// What is known of a stream; `fresh` says whether the list of upstreams is current.
    pub(crate) fn knowledge(
        &self,
        key: StreamKey,
        service: &Service,
        fresh: bool,
        now: Millis,
    ) -> Knowledge {
        let stream = self.streams.get(&key);
        if let Some(known) = stream.filter(|k| now.since(k.since) < self.lifetime(now).0) {
            return Knowledge::Began(known.origin.clone());
        }
        let mut versions = self
            .listed
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::keys);
        let (first, second) = (versions.next(), versions.next());
        match (first, second) {
            (Some(_), Some(_)) => Knowledge::Several,
            (Some(version), None) if fresh && self.knows_history(service, now) => {
                Knowledge::Only(version.clone())
            }
            _ => Knowledge::Nothing,
        }
    }

    /// Whether all versions are known with which a stream of a service may have begun. The time for
    /// which this daemon has known the list does not show that alone: it has not seen the deadlines
    /// of callers whose streams began before.
    fn knows_history(&self, service: &Service, now: Millis) -> bool {
        let records = self.records.as_ref();
        records.is_some_and(|r| r.complete.contains(service) || self.has_observed(now))
    }

    /// Whether the list has been known for as long as a stream may be resumed.
    fn has_observed(&self, now: Millis) -> bool {
        self.known_since
            .is_some_and(|at| now.since(at) >= self.lifetime(now).0)
    }

    /// Whether the hubs have to be told of the streams of a service.
    pub(crate) fn is_told(&self, service: &Service, now: Millis) -> bool {
        let count = self.listed.get(service).map_or(0, BTreeMap::len);
        count != 1 || !self.has_observed(now)
    }

    /// The services of which upstreams are or were listed.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Service> {
        self.listed.keys()
    }

    /// The streams of a service at this daemon that may still be resumed elsewhere.
    pub(crate) fn own(&self, service: &Service, now: Millis) -> Vec<(StreamKey, Origin)> {
        let resumable = |k: &Known| {
            let ended = k.ended.is_some_and(|at| now.since(at) >= LINGER_MS);
            k.own && !ended && k.origin.service == *service
        };
        let own = self.streams.iter().filter(|(_, k)| resumable(k));
        own.map(|(key, k)| (*key, k.origin.clone())).collect()
    }
}

/// The hubs that may know of a version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hubs {
    /// The number of data centres, each of which has one.
    pub(crate) centres: usize,
    /// Whether this daemon is one.
    pub(crate) own: bool,
}

impl Hubs {
    /// Whether so few hubs have answered that they and this daemon may be cut off from the list
    /// together: then all of them lack the same version.
    fn is_minority(self, answered: usize) -> bool {
        2 * (answered + usize::from(self.own)) <= self.centres
    }
}

/// A question about a stream to the hubs.
#[derive(Debug)]
pub(crate) struct LookUp {
    /// What each hub answered, if it did.
    answers: BTreeMap<SocketAddr, Option<Knowledge>>,
    own: Knowledge,
    hubs: Hubs,
    since: Millis,
    asked: Millis,
}

/// The next action for a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LookUpStep {
    /// Wait for answers.
    Wait,
    /// Ask these hubs again.
    Ask(Vec<SocketAddr>),
    /// The stream began there, as far as that is known.
    Done(Option<Found>),
}

/// The version to which a resumed stream is bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Found {
    /// The service in which it began, if that is known.
    pub(crate) service: Option<Service>,
    pub(crate) version: SoftwareVersion,
}

impl LookUp {
    pub(crate) fn new(own: Knowledge, asked: &[SocketAddr], hubs: Hubs, now: Millis) -> Self {
        Self {
            answers: asked.iter().map(|h| (*h, None)).collect(),
            own,
            hubs,
            since: now,
            asked: now,
        }
    }

    pub(crate) fn on_answer(&mut self, from: SocketAddr, answer: Knowledge) {
        if let Some(known) = self.answers.get_mut(&from) {
            *known = Some(answer);
        }
    }

    /// Decides as soon as a daemon knows the stream, all have answered, or it takes too long.
    pub(crate) fn step(&mut self, now: Millis) -> LookUpStep {
        let all: Vec<&Knowledge> = self.answers.values().flatten().chain([&self.own]).collect();
        let began = all.iter().find_map(|k| match k {
            Knowledge::Began(origin) => Some(origin),
            _ => None,
        });
        if let Some(origin) = began {
            return LookUpStep::Done(Some(Found {
                service: Some(origin.service.clone()),
                version: origin.version.clone(),
            }));
        }
        let silent = self.answers.iter().filter(|(_, a)| a.is_none());
        let silent: Vec<SocketAddr> = silent.map(|(hub, _)| *hub).collect();
        if silent.is_empty() || now.since(self.since) >= ANSWER_TIMEOUT_MS {
            let cut_off = self.hubs.is_minority(self.answers.len() - silent.len());
            return LookUpStep::Done(only(&all).filter(|_| !cut_off));
        }
        if now.since(self.asked) < RESEND_MS {
            return LookUpStep::Wait;
        }
        self.asked = now;
        LookUpStep::Ask(silent)
    }
}

/// The only version that daemons know of a service.
fn only(all: &[&Knowledge]) -> Option<Found> {
    let mut found: Option<&SoftwareVersion> = None;
    for knowledge in all {
        match knowledge {
            Knowledge::Began(_) | Knowledge::Nothing => {}
            Knowledge::Several => return None,
            Knowledge::Only(version) if found.is_some_and(|f| f != version) => return None,
            Knowledge::Only(version) => found = Some(version),
        }
    }
    found.map(|version| Found {
        service: None,
        version: version.clone(),
    })
}
