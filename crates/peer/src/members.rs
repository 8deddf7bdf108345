//! Who is alive, as this daemon believes.

use crate::{Heartbeat, Member, MemberId};
use shaleline_types::{stable_hash, Instance, Millis, Offset, WriterId};
use std::collections::BTreeMap;

/// What an operator sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// How many daemons each round's message goes to.
    pub fanout: usize,
    /// How many others a message tells of.
    pub gossip: usize,
    /// How long a daemon may be silent before it counts as gone.
    pub silence: Millis,
    /// How long a daemon that is gone is remembered, so that late news can't revive it.
    pub memory: Millis,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            fanout: 2,
            gossip: 6,
            silence: Millis(3_000),
            memory: Millis(60_000),
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

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    heard: Millis,
    alive: bool,
}

/// The daemons that this one knows of.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    me: Member,
    known: BTreeMap<Instance, Known>,
    events: Vec<MemberEvent>,
}

impl Members {
    /// Knows only itself.
    #[must_use]
    pub fn new(settings: MemberSettings, me: Member) -> Self {
        Self {
            settings,
            me,
            known: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// This daemon.
    #[must_use]
    pub fn me(&self) -> &Member {
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
    pub fn beat(&mut self) -> Heartbeat {
        self.me.beat += 1;
        self.message(None)
    }

    fn message(&self, to: Option<&Instance>) -> Heartbeat {
        let told = |k: &&Known| Some(&k.member.id.instance) != to && (k.alive || k.member.leaving);
        let mut fresh: Vec<&Known> = self.known.values().filter(told).collect();
        let round = self.me.beat.to_string();
        let turn = |k: &Known| stable_hash(&[k.member.id.instance.as_str(), &round]);
        fresh.sort_by_key(|k| turn(k));
        let others = fresh.iter().take(self.settings.gossip);
        Heartbeat {
            from: self.me.clone(),
            others: others.map(|k| k.member.clone()).collect(),
        }
    }

    /// Whom this round's message goes to: some that are alive, in turn, and one of the
    /// listed addresses that nobody alive answers at.
    #[must_use]
    pub fn targets(&self, listed: &[String]) -> Vec<String> {
        let mut alive: Vec<&Member> = self.alive().filter(|m| m.id != self.me.id).collect();
        let round = self.me.beat.to_string();
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
            let index = self.me.beat as usize % unknown.len();
            to.push(unknown[index].clone());
        }
        to
    }

    /// Takes a message and returns the answer.
    pub fn on_heartbeat(&mut self, message: &Heartbeat, now: Millis) -> Heartbeat {
        self.learn(&message.from, now);
        for other in &message.others {
            self.learn(other, now);
        }
        self.message(Some(&message.from.id.instance))
    }

    /// Takes the answer to a message.
    pub fn on_answer(&mut self, answer: &Heartbeat, now: Millis) {
        self.on_heartbeat(answer, now);
    }

    fn learn(&mut self, news: &Member, now: Millis) {
        if news.id.instance == self.me.id.instance {
            return;
        }
        let known = self.known.get(&news.id.instance);
        let fresher = known.is_none_or(|k| {
            let old = (k.member.id.born, k.member.beat);
            (news.id.born, news.beat) > old
        });
        if !fresher {
            return;
        }
        let replaced = known.filter(|k| k.alive && k.member.id != news.id);
        if let Some(old) = replaced {
            self.events.push(MemberEvent::Left(old.member.id.clone()));
        }
        let was_alive = known.is_some_and(|k| k.alive && k.member.id == news.id);
        let alive = !news.leaving;
        match (was_alive, alive) {
            (false, true) => self.events.push(MemberEvent::Joined(news.id.clone())),
            (true, false) => self.events.push(MemberEvent::Left(news.id.clone())),
            _ => {}
        }
        let entry = Known {
            member: news.clone(),
            heard: now,
            alive,
        };
        self.known.insert(news.id.instance.clone(), entry);
    }

    /// Time passed: whoever was silent for too long counts as gone.
    pub fn tick(&mut self, now: Millis) {
        for known in self.known.values_mut() {
            let silent = now.since(known.heard) > self.settings.silence.0;
            if known.alive && silent {
                known.alive = false;
                self.events.push(MemberEvent::Left(known.member.id.clone()));
            }
        }
        let memory = self.settings.memory.0;
        self.known
            .retain(|_, k| k.alive || now.since(k.heard) <= memory);
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// All that are alive and not leaving; this daemon among them unless it is leaving.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let me = (!self.me.leaving).then_some(&self.me);
        let others = self.known.values().filter(|k| k.alive).map(|k| &k.member);
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
    pub fn furthest(&self) -> Offset {
        let all = self.alive().map(|m| m.config);
        all.max().unwrap_or(Offset(0))
    }
}
