//! The daemons that this daemon considers alive.

use crate::{Heartbeat, Member, MemberId, MemberStatus};
use shaleline_types::{stable_hash, Instance, Millis, Offset, WriterId};
use std::collections::{BTreeMap, BTreeSet};

/// The rounds after its start in which a daemon sends its full description.
const INTRODUCTION_ROUNDS: u64 = 10;

/// The interval of full descriptions after that, in rounds.
const FULL_INTERVAL_ROUNDS: u64 = 32;

/// How many times an update is sent: a base count, and more for each doubling of the members.
const UPDATE_SENDS_BASE: u32 = 4;
const UPDATE_SENDS_PER_DOUBLING: u32 = 3;

/// The maximum number of unknown instances to remember; larger sets are invalid and discarded.
const MAX_UNKNOWN: usize = 1_024;

/// The maximum number of full descriptions that a message requests or returns.
const MAX_ASKED: usize = 4;

/// The settings of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// The number of daemons that receive each round's message.
    pub fanout: usize,
    /// The number of other daemons whose status a message carries.
    pub gossip: usize,
    /// How long a suspected daemon may take to refute the suspicion.
    pub suspicion_timeout: Millis,
    /// The time without any update after which a daemon is considered gone. It is remembered
    /// for twice this time, so that outdated status can't revive it.
    pub silence_timeout: Millis,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            fanout: 2,
            gossip: 5,
            suspicion_timeout: Millis(1_500),
            silence_timeout: Millis(300_000),
        }
    }
}

/// A change of the set of live daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A daemon joined.
    Joined(MemberId),
    /// A daemon left or is considered gone.
    Left(MemberId),
}

/// The state of a daemon, as this daemon sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    Alive,
    /// A call to it failed at this time; it may still refute the suspicion.
    Suspect(Millis),
    Gone,
}

#[derive(Debug, Clone)]
struct KnownMember {
    member: Member,
    updated: Millis,
    liveness: Liveness,
}

impl KnownMember {
    fn is_alive(&self) -> bool {
        self.liveness != Liveness::Gone && !self.member.leaving
    }

    fn to_status(&self) -> MemberStatus {
        MemberStatus {
            suspect: self.liveness != Liveness::Alive,
            ..self.member.to_status()
        }
    }
}

/// The daemons that this daemon knows.
#[derive(Debug)]
pub struct Membership {
    settings: MemberSettings,
    local: Member,
    known: BTreeMap<Instance, KnownMember>,
    /// Instances whose full description is not known.
    unknown: BTreeSet<Instance>,
    /// The instances with an update to spread, and how many more times it is sent.
    updates: BTreeMap<Instance, u32>,
    events: Vec<MemberEvent>,
}

impl Membership {
    /// Creates a membership that contains only this daemon.
    #[must_use]
    pub fn new(settings: MemberSettings, local: Member) -> Self {
        Self {
            settings,
            local,
            known: BTreeMap::new(),
            unknown: BTreeSet::new(),
            updates: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Returns the description of this daemon.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Records the offset up to which this daemon has applied the configuration.
    pub fn set_config(&mut self, next: Offset) {
        self.local.config = self.local.config.max(next);
    }

    /// Marks this daemon as stopping.
    pub fn set_leaving(&mut self) {
        self.local.leaving = true;
    }

    /// Begins a round and returns the message to send.
    pub fn begin_round(&mut self) -> Heartbeat {
        self.local.round += 1;
        let introduce =
            self.local.round < INTRODUCTION_ROUNDS || self.local.round % FULL_INTERVAL_ROUNDS == 0;
        let full = if introduce {
            vec![self.local.clone()]
        } else {
            Vec::new()
        };
        self.message(None, full)
    }

    /// Composes a message. Updates go first, each a bounded number of times; the remaining
    /// room rotates over the other daemons.
    fn message(&mut self, to: Option<&Instance>, full: Vec<Member>) -> Heartbeat {
        let capacity = self.settings.gossip;
        let mut chosen: Vec<Instance> = self.updates.keys().take(capacity).cloned().collect();
        for instance in &chosen {
            if let Some(left) = self.updates.get_mut(instance) {
                *left -= 1;
            }
        }
        self.updates.retain(|_, left| *left > 0);
        let round = self.local.round.to_string();
        let order = |i: &Instance| stable_hash(&[i.as_str(), &round]);
        let mut rest: Vec<&Instance> = self.known.keys().filter(|i| !chosen.contains(i)).collect();
        rest.sort_by_cached_key(|i| order(i));
        let room = capacity - chosen.len();
        chosen.extend(rest.into_iter().take(room).cloned());
        if let Some(to) = to.filter(|t| self.is_doubted(t)) {
            chosen.push(to.clone());
        }
        let statuses = chosen.iter().filter_map(|i| self.known.get(i));
        Heartbeat {
            from: self.local.to_status(),
            others: statuses.map(KnownMember::to_status).collect(),
            full,
            ask: self.unknown.iter().take(MAX_ASKED).cloned().collect(),
        }
    }

    /// Returns whether the instance is suspected or gone, so that a message to it must say so.
    fn is_doubted(&self, instance: &Instance) -> bool {
        let known = self.known.get(instance);
        known.is_some_and(|k| k.liveness != Liveness::Alive)
    }

    /// Schedules an update about a daemon, to be sent often enough to reach all daemons.
    fn spread(&mut self, instance: &Instance) {
        let size = self.known.len().max(1).ilog2();
        self.updates.insert(
            instance.clone(),
            UPDATE_SENDS_BASE + UPDATE_SENDS_PER_DOUBLING * size,
        );
    }

    /// Returns the addresses that receive this round's message: a rotating choice of live
    /// daemons, and one of the listed addresses that belongs to no live daemon.
    #[must_use]
    pub fn targets(&self, listed: &[String]) -> Vec<String> {
        let mut alive: Vec<&Member> = self.alive().filter(|m| m.id != self.local.id).collect();
        let round = self.local.round.to_string();
        let order = |m: &Member| stable_hash(&[&round, m.id.instance.as_str(), &self.local.peer]);
        alive.sort_by_key(|m| order(m));
        let mut to: Vec<String> = alive
            .iter()
            .take(self.settings.fanout)
            .map(|m| m.peer.clone())
            .collect();
        let unknown: Vec<&String> = listed
            .iter()
            .filter(|a| **a != self.local.peer && !alive.iter().any(|m| m.peer == **a))
            .collect();
        if !unknown.is_empty() {
            let index = self.local.round as usize % unknown.len();
            to.push(unknown[index].clone());
        }
        to
    }

    /// Applies a message and returns the response.
    pub fn on_heartbeat(&mut self, message: &Heartbeat, now: Millis) -> Heartbeat {
        self.apply(message, now);
        let asked = message.ask.iter().filter_map(|i| self.describe(i));
        let full = asked.take(MAX_ASKED).collect();
        let to = message.from.id.instance.clone();
        self.message(Some(&to), full)
    }

    /// Applies the response to a message.
    pub fn on_response(&mut self, response: &Heartbeat, now: Millis) {
        self.apply(response, now);
    }

    fn describe(&self, instance: &Instance) -> Option<Member> {
        if *instance == self.local.id.instance {
            return Some(self.local.clone());
        }
        self.known.get(instance).map(|k| k.member.clone())
    }

    fn apply(&mut self, message: &Heartbeat, now: Millis) {
        for member in &message.full {
            self.apply_member(member, now);
        }
        self.apply_status(&message.from, now);
        for status in &message.others {
            self.apply_status(status, now);
        }
    }

    /// Suspects the daemon at this address after a failed call.
    pub fn on_call_failure(&mut self, peer: &str, now: Millis) {
        let failed = |k: &&mut KnownMember| k.member.peer == peer && k.liveness == Liveness::Alive;
        let Some(known) = self.known.values_mut().find(failed) else {
            return;
        };
        known.liveness = Liveness::Suspect(now);
        let instance = known.member.id.instance.clone();
        self.spread(&instance);
    }

    /// Applies a daemon's status. If its full description is not known, it is requested.
    fn apply_status(&mut self, status: &MemberStatus, now: Millis) {
        let instance = &status.id.instance;
        if *instance == self.local.id.instance {
            if status.suspect
                && status.id == self.local.id
                && status.refutations >= self.local.refutations
            {
                self.local.refutations = status.refutations + 1;
            }
            return;
        }
        let known = self.known.get(instance);
        match known.filter(|k| k.member.id == status.id) {
            Some(known) => {
                let update = Member {
                    round: status.round,
                    config: status.config,
                    leaving: status.leaving,
                    refutations: status.refutations,
                    ..known.member.clone()
                };
                self.update(&update, status.suspect, now);
            }
            None if known.is_none_or(|k| k.member.id.incarnation < status.id.incarnation)
                && !status.leaving
                && !status.suspect =>
            {
                self.unknown.insert(instance.clone());
            }
            None => {}
        }
    }

    /// Applies an update about the same incarnation of a known daemon.
    fn update(&mut self, update: &Member, suspect: bool, now: Millis) {
        let instance = update.id.instance.clone();
        let Some(known) = self.known.get_mut(&instance) else {
            return;
        };
        let was_alive = known.is_alive();
        let refuted = update.refutations > known.member.refutations;
        let mut changed = false;
        if refuted && !suspect {
            changed = known.liveness != Liveness::Alive;
            known.liveness = Liveness::Alive;
        } else if suspect
            && update.refutations >= known.member.refutations
            && known.liveness == Liveness::Alive
        {
            known.liveness = Liveness::Suspect(now);
            changed = true;
        }
        let old = &mut known.member;
        old.refutations = old.refutations.max(update.refutations);
        old.config = old.config.max(update.config);
        if update.leaving && !old.leaving {
            old.leaving = true;
            changed = true;
        }
        if update.round > old.round {
            old.round = update.round;
            known.updated = now;
        }
        let is_alive = known.is_alive();
        let id = update.id.clone();
        match (was_alive, is_alive) {
            (false, true) => self.events.push(MemberEvent::Joined(id)),
            (true, false) => self.events.push(MemberEvent::Left(id)),
            _ => {}
        }
        if changed {
            self.spread(&instance);
        }
    }

    /// Applies a full description: of a new daemon, or of a new incarnation.
    fn apply_member(&mut self, update: &Member, now: Millis) {
        let instance = &update.id.instance;
        if *instance == self.local.id.instance {
            return;
        }
        let known = self.known.get(instance);
        if known.is_some_and(|k| k.member.id == update.id) {
            return self.update(update, false, now);
        }
        if known.is_some_and(|k| k.member.id.incarnation > update.id.incarnation) {
            return;
        }
        if let Some(old) = known.filter(|k| k.is_alive()) {
            self.events.push(MemberEvent::Left(old.member.id.clone()));
        }
        if !update.leaving {
            self.events.push(MemberEvent::Joined(update.id.clone()));
        }
        self.unknown.remove(instance);
        let entry = KnownMember {
            member: update.clone(),
            updated: now,
            liveness: Liveness::Alive,
        };
        self.known.insert(instance.clone(), entry);
        self.spread(&update.id.instance);
    }

    /// Marks daemons as gone whose suspicion was not refuted in time, or without any update for
    /// the silence timeout.
    pub fn tick(&mut self, now: Millis) {
        let settings = self.settings;
        let mut gone = Vec::new();
        for known in self.known.values_mut() {
            let silent = now.since(known.updated) > settings.silence_timeout.0;
            let expired = match known.liveness {
                Liveness::Suspect(since) => now.since(since) >= settings.suspicion_timeout.0,
                Liveness::Alive => silent,
                Liveness::Gone => false,
            };
            if expired {
                if known.is_alive() {
                    self.events.push(MemberEvent::Left(known.member.id.clone()));
                }
                known.liveness = Liveness::Gone;
                gone.push(known.member.id.instance.clone());
            }
        }
        for instance in &gone {
            self.spread(instance);
        }
        self.known
            .retain(|_, k| k.is_alive() || now.since(k.updated) <= 2 * settings.silence_timeout.0);
        if self.unknown.len() > MAX_UNKNOWN {
            self.unknown.clear();
        }
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns all daemons that are alive and not leaving, including this one unless it is leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let local = (!self.local.leaving).then_some(&self.local);
        let others = self
            .known
            .values()
            .filter(|k| k.is_alive())
            .map(|k| &k.member);
        local.into_iter().chain(others)
    }

    /// Returns whether the process with this writer identity is alive.
    #[must_use]
    pub fn is_alive(&self, writer: WriterId) -> bool {
        writer == self.local.writer || self.alive().any(|m| m.writer == writer)
    }

    /// Returns the live daemons that have not applied the configuration up to `offset`.
    #[must_use]
    pub fn behind(&self, offset: Offset) -> Vec<&Member> {
        self.alive().filter(|m| m.config <= offset).collect()
    }

    /// Returns the highest configuration offset that any live daemon reports.
    #[must_use]
    pub fn latest_config(&self) -> Offset {
        let all = self.alive().map(|m| m.config);
        all.max().unwrap_or(Offset(0))
    }
}
