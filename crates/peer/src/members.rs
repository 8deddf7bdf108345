//! Who is alive, as this daemon believes.

use crate::{Heartbeat, Member, MemberId, MemberStatus};
use shaleline_types::{stable_hash, Instance, Millis, Offset, WriterId};
use std::collections::{BTreeMap, BTreeSet};

/// Rounds for which a daemon counts as new and introduces itself in full.
const NEW_BEATS: u64 = 10;

/// Rounds between two introductions after that.
const FULL_EVERY: u64 = 32;

/// How often news is told: a few times, and more among many.
const NEWS_BASE: u32 = 4;
const NEWS_MORE: u32 = 3;

/// Names of unknown daemons that are kept; more are nonsense and are dropped.
const MOST_STRANGERS: usize = 1_024;

/// How many unknown daemons a message asks about.
const MOST_ASKED: usize = 4;

/// What an operator sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// How many daemons each round's message goes to.
    pub fanout: usize,
    /// How many others a message tells of.
    pub gossip: usize,
    /// How long a daemon to which a call failed may take to deny that it is gone.
    pub suspicion_timeout: Millis,
    /// How long a daemon may not be heard of at all; one that is gone is remembered for
    /// twice as long, so that late news can't revive it.
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

/// A change in who is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// A daemon joined.
    Joined(MemberId),
    /// A daemon left or fell silent.
    Left(MemberId),
}

/// What is believed of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Belief {
    Alive,
    /// A call to it failed; it has until the suspicion ends to deny.
    Suspect(Millis),
    Gone,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    heard: Millis,
    belief: Belief,
}

impl Known {
    fn is_alive(&self) -> bool {
        self.belief != Belief::Gone && !self.member.leaving
    }

    fn to_status(&self) -> MemberStatus {
        MemberStatus {
            suspect: self.belief != Belief::Alive,
            ..self.member.to_status()
        }
    }
}

/// The daemons that this one knows of.
#[derive(Debug)]
pub struct Membership {
    settings: MemberSettings,
    me: Member,
    known: BTreeMap<Instance, Known>,
    /// Instances that were heard of and are not known in full.
    strangers: BTreeSet<Instance>,
    /// Whom there is news of, and how often that is still to be told.
    news: BTreeMap<Instance, u32>,
    events: Vec<MemberEvent>,
}

impl Membership {
    /// Knows only itself.
    #[must_use]
    pub fn new(settings: MemberSettings, me: Member) -> Self {
        Self {
            settings,
            me,
            known: BTreeMap::new(),
            strangers: BTreeSet::new(),
            news: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// This daemon.
    #[must_use]
    pub fn local(&self) -> &Member {
        &self.me
    }

    /// Notes how far this daemon has applied the configuration.
    pub fn set_config(&mut self, next: Offset) {
        self.me.config = self.me.config.max(next);
    }

    /// Notes that this daemon is stopping.
    pub fn set_leaving(&mut self) {
        self.me.leaving = true;
    }

    /// Begins a round: the message to send.
    pub fn begin_round(&mut self) -> Heartbeat {
        self.me.round += 1;
        let introduce = self.me.round < NEW_BEATS || self.me.round % FULL_EVERY == 0;
        let full = if introduce {
            vec![self.me.clone()]
        } else {
            Vec::new()
        };
        self.message(None, full)
    }

    /// News go first, each a bounded number of times; the rest is filled in turn.
    fn message(&mut self, to: Option<&Instance>, full: Vec<Member>) -> Heartbeat {
        let most = self.settings.gossip;
        let mut chosen: Vec<Instance> = self.news.keys().take(most).cloned().collect();
        for instance in &chosen {
            if let Some(left) = self.news.get_mut(instance) {
                *left -= 1;
            }
        }
        self.news.retain(|_, left| *left > 0);
        let round = self.me.round.to_string();
        let turn = |i: &Instance| stable_hash(&[i.as_str(), &round]);
        let mut rest: Vec<&Instance> = self.known.keys().filter(|i| !chosen.contains(i)).collect();
        rest.sort_by_cached_key(|i| turn(i));
        let room = most - chosen.len();
        chosen.extend(rest.into_iter().take(room).cloned());
        if let Some(to) = to.filter(|t| self.doubts(t)) {
            chosen.push(to.clone());
        }
        let pulses = chosen.iter().filter_map(|i| self.known.get(i));
        Heartbeat {
            from: self.me.to_status(),
            others: pulses.map(Known::to_status).collect(),
            full,
            ask: self.strangers.iter().take(MOST_ASKED).cloned().collect(),
        }
    }

    /// Whether the instance should be told that it is believed gone.
    fn doubts(&self, instance: &Instance) -> bool {
        let known = self.known.get(instance);
        known.is_some_and(|k| k.belief != Belief::Alive)
    }

    /// Passes news of a daemon on, as often as it takes to reach all.
    fn spread(&mut self, instance: &Instance) {
        let size = self.known.len().max(1).ilog2();
        self.news
            .insert(instance.clone(), NEWS_BASE + NEWS_MORE * size);
    }

    /// Whom this round's message goes to: some that are alive, in turn, and one of the
    /// listed addresses that nobody alive answers at.
    #[must_use]
    pub fn targets(&self, listed: &[String]) -> Vec<String> {
        let mut alive: Vec<&Member> = self.alive().filter(|m| m.id != self.me.id).collect();
        let round = self.me.round.to_string();
        let turn = |m: &Member| stable_hash(&[&round, m.id.instance.as_str(), &self.me.peer]);
        alive.sort_by_key(|m| turn(m));
        let mut to: Vec<String> = alive
            .iter()
            .take(self.settings.fanout)
            .map(|m| m.peer.clone())
            .collect();
        let unknown: Vec<&String> = listed
            .iter()
            .filter(|a| **a != self.me.peer && !alive.iter().any(|m| m.peer == **a))
            .collect();
        if !unknown.is_empty() {
            let index = self.me.round as usize % unknown.len();
            to.push(unknown[index].clone());
        }
        to
    }

    /// Takes a message and returns the answer.
    pub fn on_heartbeat(&mut self, message: &Heartbeat, now: Millis) -> Heartbeat {
        self.take(message, now);
        let asked = message.ask.iter().filter_map(|i| self.in_full(i));
        let full = asked.take(MOST_ASKED).collect();
        let to = message.from.id.instance.clone();
        self.message(Some(&to), full)
    }

    /// Takes the answer to a message.
    pub fn on_response(&mut self, answer: &Heartbeat, now: Millis) {
        self.take(answer, now);
    }

    fn in_full(&self, instance: &Instance) -> Option<Member> {
        if *instance == self.me.id.instance {
            return Some(self.me.clone());
        }
        self.known.get(instance).map(|k| k.member.clone())
    }

    fn take(&mut self, message: &Heartbeat, now: Millis) {
        for member in &message.full {
            self.learn(member, now);
        }
        self.hear(&message.from, now);
        for pulse in &message.others {
            self.hear(pulse, now);
        }
    }

    /// A call to the daemon at this address failed.
    pub fn on_call_failure(&mut self, peer: &str, now: Millis) {
        let failed = |k: &&mut Known| k.member.peer == peer && k.belief == Belief::Alive;
        let Some(known) = self.known.values_mut().find(failed) else {
            return;
        };
        known.belief = Belief::Suspect(now);
        let instance = known.member.id.instance.clone();
        self.spread(&instance);
    }

    /// Takes a pulse. Of one that is not known in full, more is asked for.
    fn hear(&mut self, pulse: &MemberStatus, now: Millis) {
        let instance = &pulse.id.instance;
        if *instance == self.me.id.instance {
            if pulse.suspect && pulse.id == self.me.id && pulse.refutations >= self.me.refutations {
                self.me.refutations = pulse.refutations + 1;
            }
            return;
        }
        let known = self.known.get(instance);
        match known.filter(|k| k.member.id == pulse.id) {
            Some(known) => {
                let news = Member {
                    round: pulse.round,
                    config: pulse.config,
                    leaving: pulse.leaving,
                    refutations: pulse.refutations,
                    ..known.member.clone()
                };
                self.update(&news, pulse.suspect, now);
            }
            None if known.is_none_or(|k| k.member.id.incarnation < pulse.id.incarnation)
                && !pulse.leaving
                && !pulse.suspect =>
            {
                self.strangers.insert(instance.clone());
            }
            None => {}
        }
    }

    /// Takes news of the same life of a known daemon.
    fn update(&mut self, news: &Member, suspect: bool, now: Millis) {
        let instance = news.id.instance.clone();
        let Some(known) = self.known.get_mut(&instance) else {
            return;
        };
        let was_alive = known.is_alive();
        let denied = news.refutations > known.member.refutations;
        let mut changed = false;
        if denied && !suspect {
            changed = known.belief != Belief::Alive;
            known.belief = Belief::Alive;
        } else if suspect
            && news.refutations >= known.member.refutations
            && known.belief == Belief::Alive
        {
            known.belief = Belief::Suspect(now);
            changed = true;
        }
        let old = &mut known.member;
        old.refutations = old.refutations.max(news.refutations);
        old.config = old.config.max(news.config);
        if news.leaving && !old.leaving {
            old.leaving = true;
            changed = true;
        }
        if news.round > old.round {
            old.round = news.round;
            known.heard = now;
        }
        let is_alive = known.is_alive();
        let id = news.id.clone();
        match (was_alive, is_alive) {
            (false, true) => self.events.push(MemberEvent::Joined(id)),
            (true, false) => self.events.push(MemberEvent::Left(id)),
            _ => {}
        }
        if changed {
            self.spread(&instance);
        }
    }

    /// Takes a daemon in full: a new one, or a new life.
    fn learn(&mut self, news: &Member, now: Millis) {
        let instance = &news.id.instance;
        if *instance == self.me.id.instance {
            return;
        }
        let known = self.known.get(instance);
        if known.is_some_and(|k| k.member.id == news.id) {
            return self.update(news, false, now);
        }
        if known.is_some_and(|k| k.member.id.incarnation > news.id.incarnation) {
            return;
        }
        if let Some(old) = known.filter(|k| k.is_alive()) {
            self.events.push(MemberEvent::Left(old.member.id.clone()));
        }
        if !news.leaving {
            self.events.push(MemberEvent::Joined(news.id.clone()));
        }
        self.strangers.remove(instance);
        let entry = Known {
            member: news.clone(),
            heard: now,
            belief: Belief::Alive,
        };
        self.known.insert(instance.clone(), entry);
        self.spread(&news.id.instance);
    }

    /// Time passed: whoever was suspected for too long, or not heard of for very long,
    /// counts as gone.
    pub fn tick(&mut self, now: Millis) {
        let settings = self.settings;
        let mut gone = Vec::new();
        for known in self.known.values_mut() {
            let silent = now.since(known.heard) > settings.silence_timeout.0;
            let over = match known.belief {
                Belief::Suspect(since) => now.since(since) >= settings.suspicion_timeout.0,
                Belief::Alive => silent,
                Belief::Gone => false,
            };
            if over {
                if known.is_alive() {
                    self.events.push(MemberEvent::Left(known.member.id.clone()));
                }
                known.belief = Belief::Gone;
                gone.push(known.member.id.instance.clone());
            }
        }
        for instance in &gone {
            self.spread(instance);
        }
        self.known
            .retain(|_, k| k.is_alive() || now.since(k.heard) <= 2 * settings.silence_timeout.0);
        if self.strangers.len() > MOST_STRANGERS {
            self.strangers.clear();
        }
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// All that are alive and not leaving; this daemon among them unless it is leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let me = (!self.me.leaving).then_some(&self.me);
        let others = self
            .known
            .values()
            .filter(|k| k.is_alive())
            .map(|k| &k.member);
        me.into_iter().chain(others)
    }

    /// Whether the process that writes under this identity is alive.
    #[must_use]
    pub fn is_alive(&self, writer: WriterId) -> bool {
        writer == self.me.writer || self.alive().any(|m| m.writer == writer)
    }

    /// Those that are alive and have not applied the configuration up to `offset`.
    #[must_use]
    pub fn behind(&self, offset: Offset) -> Vec<&Member> {
        self.alive().filter(|m| m.config <= offset).collect()
    }

    /// The furthest that any daemon has applied the configuration.
    #[must_use]
    pub fn latest_config(&self) -> Offset {
        let all = self.alive().map(|m| m.config);
        all.max().unwrap_or(Offset(0))
    }
}
