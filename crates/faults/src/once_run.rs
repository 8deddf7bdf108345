//! Keyed requests: callers repeat them, daemons fail, answers are lost and log appends are
//! delayed.

use crate::cluster::{Cluster, Event, Retention};
use crate::history::{is_linearizable, OnceEvent, OnceSpec, Operation};
use crate::tally::{Invariant, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_log::{Priority, Ticket};
use shaleline_once::{
    Attempt, AttemptAction, AttemptEvent, KeptAnswer, KeyState, OnceBody, OnceKey, OnceMachine,
    SendOutcome,
};
use shaleline_types::{Org, Outcome, RequestId, WriterId};
use std::collections::{BTreeMap, BTreeSet};

const NODES: usize = 4;
const KEYS: u64 = 6;
const STEPS: u64 = 4_000;
const SETTLE: u64 = 2_000;
const MAX_OPERATIONS: usize = 60;

/// One caller's request and its answer.
struct Call {
    key: u64,
    called: u64,
    answered: Option<u64>,
    event: Option<OnceEvent>,
    not_run: bool,
}

/// An unfinished attempt and the process that makes it.
struct ActiveAttempt {
    node: usize,
    attempt: Attempt,
    ticket: Option<Ticket>,
    watching: Option<WriterId>,
    /// The step at which the send ends, and its outcome.
    sending: Option<(u64, SendOutcome)>,
}

struct Callers {
    calls: Vec<Call>,
    active: BTreeMap<usize, ActiveAttempt>,
    tickets: BTreeMap<(WriterId, Ticket), usize>,
    /// The attempts that the service executed, by key.
    ran: BTreeMap<u64, Vec<u64>>,
    replaced: BTreeSet<WriterId>,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster: Cluster<OnceMachine> = Cluster::new(NODES, Retention::Covered);
    let mut callers = Callers {
        calls: Vec::new(),
        active: BTreeMap::new(),
        tickets: BTreeMap::new(),
        ran: BTreeMap::new(),
        replaced: BTreeSet::new(),
    };
    let mut writers: Vec<WriterId> = cluster.nodes.iter().map(|n| n.writer).collect();
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS {
            cluster.heal();
        }
        if step < STEPS && rng.random_range(0..20) == 0 {
            callers.call(&mut cluster, &mut rng, tally);
        }
        callers.advance(&mut cluster, &mut rng, tally);
        for event in cluster.step(&mut rng, tally) {
            match event {
                Event::Done { node, done } => {
                    let writer = cluster.nodes[node].writer;
                    if let Some(id) = callers.tickets.remove(&(writer, done.ticket)) {
                        let event = AttemptEvent::Judged(done.verdict);
                        callers.step(&mut cluster, id, event, &mut rng, tally);
                    }
                }
                Event::Replaced { node } => {
                    callers.replaced.insert(writers[node]);
                    writers[node] = cluster.nodes[node].writer;
                    callers.active.retain(|_, a| a.node != node);
                }
                Event::Reverted { node } => tally.check(Invariant::Once, false, || {
                    format!("process {node} reverted to an earlier journal")
                }),
            }
        }
        if step > STEPS && cluster.is_quiescent() && callers.active.is_empty() {
            break;
        }
    }
    callers.check_final_state(&cluster, tally);
}

fn key_of(number: u64) -> OnceKey {
    let org = Org::from_text("org").expect("the name is valid");
    OnceKey::from_parts(&org, "services/alerts", &number.to_string())
}

fn answer_of(attempt: u64) -> KeptAnswer {
    KeptAnswer {
        status: 200,
        mime: "text/plain".to_owned(),
        body: Some(attempt.to_string()),
    }
}

fn attempt_in(answer: &KeptAnswer) -> u64 {
    let body = answer.body.as_deref().unwrap_or_default();
    body.parse().unwrap_or(u64::MAX)
}

impl Callers {
    fn call(&mut self, cluster: &mut Cluster<OnceMachine>, rng: &mut SmallRng, tally: &mut Tally) {
        let node = rng.random_range(0..NODES);
        if !cluster.is_up(node) {
            return;
        }
        let key = rng.random_range(0..KEYS) + KEYS * (cluster.step / 800);
        let id = self.calls.len();
        self.calls.push(Call {
            key,
            called: cluster.step,
            answered: None,
            event: None,
            not_run: false,
        });
        let attempt = Attempt::new(key_of(key), RequestId(id as u64), "request".to_owned());
        let known = cluster.nodes[node]
            .replica
            .machine()
            .known(attempt.key(), "request");
        self.active.insert(
            id,
            ActiveAttempt {
                node,
                attempt,
                ticket: None,
                watching: None,
                sending: None,
            },
        );
        let event = known.map_or(AttemptEvent::Start, AttemptEvent::Known);
        self.step(cluster, id, event, rng, tally);
    }

    fn step(
        &mut self,
        cluster: &mut Cluster<OnceMachine>,
        id: usize,
        event: AttemptEvent,
        rng: &mut SmallRng,
        tally: &mut Tally,
    ) {
        let now = cluster.now();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        active.ticket = None;
        active.watching = None;
        let actions = active.attempt.step(event, now);
        let node = active.node;
        for action in actions {
            match action {
                AttemptAction::Append(body) => self.append(cluster, id, node, body),
                AttemptAction::Send => self.send(cluster, id, rng, tally),
                AttemptAction::Watch(writer) => {
                    if let Some(active) = self.active.get_mut(&id) {
                        active.watching = Some(writer);
                    }
                }
                AttemptAction::Answer { answer, kept } => {
                    let ran = attempt_in(&answer);
                    let event = if kept {
                        OnceEvent::Kept(ran)
                    } else {
                        OnceEvent::Ran(ran)
                    };
                    self.record_answer(id, event, cluster.step);
                }
                AttemptAction::Fail(kind) => {
                    let not_run = kind.answer().outcome == Outcome::NotRun;
                    self.calls[id].not_run = not_run;
                    let ran = self.attempt_ran(id);
                    let event = if ran && !not_run {
                        OnceEvent::Ran(id as u64)
                    } else {
                        OnceEvent::NotRun
                    };
                    self.record_answer(id, event, cluster.step);
                }
            }
        }
        let done = self.active.get(&id).is_some_and(|a| a.attempt.is_done());
        if done {
            self.active.remove(&id);
        }
    }

    fn append(
        &mut self,
        cluster: &mut Cluster<OnceMachine>,
        id: usize,
        node: usize,
        body: OnceBody,
    ) {
        let needs_verdict = matches!(body, OnceBody::Begun { .. });
        let n = &mut cluster.nodes[node];
        let ticket = n.replica.submit(Priority::Once, body);
        if !needs_verdict {
            return;
        }
        self.tickets.insert((n.writer, ticket), id);
        if let Some(active) = self.active.get_mut(&id) {
            active.ticket = Some(ticket);
        }
    }

    fn record_answer(&mut self, id: usize, event: OnceEvent, step: u64) {
        let call = &mut self.calls[id];
        if call.answered.is_none() {
            call.answered = Some(step);
            call.event = Some(event);
        }
    }

    fn attempt_ran(&self, id: usize) -> bool {
        let ran = self.ran.get(&self.calls[id].key);
        ran.is_some_and(|a| a.contains(&(id as u64)))
    }

    /// Sends the request; at random the service does not receive it or its answer is lost.
    fn send(
        &mut self,
        cluster: &Cluster<OnceMachine>,
        id: usize,
        rng: &mut SmallRng,
        tally: &mut Tally,
    ) {
        let key = self.calls[id].key;
        let choice = rng.random_range(0..100);
        let end = match choice {
            0..60 => SendOutcome::Answered(answer_of(id as u64)),
            60..75 => SendOutcome::NotSent,
            _ => SendOutcome::Unknown,
        };
        if end != SendOutcome::NotSent && choice < 90 {
            let ran = self.ran.entry(key).or_default();
            ran.push(id as u64);
            let count = ran.len();
            tally.check(Invariant::Once, count == 1, || {
                format!("key {key} ran {count} times")
            });
            let reported = self.calls[id].not_run;
            tally.check(Invariant::NotRun, !reported, || {
                format!("attempt {id} at key {key} ran although it was reported to its caller as not run")
            });
        }
        if !matches!(end, SendOutcome::Answered(_)) {
            tally.count_fault();
        }
        let due = cluster.step + rng.random_range(0..60);
        if let Some(active) = self.active.get_mut(&id) {
            active.sending = Some((due, end));
        }
    }

    fn advance(
        &mut self,
        cluster: &mut Cluster<OnceMachine>,
        rng: &mut SmallRng,
        tally: &mut Tally,
    ) {
        let ids: Vec<usize> = self.active.keys().copied().collect();
        for id in ids {
            let Some(event) = self.next_event(cluster, id, rng) else {
                continue;
            };
            if event == AttemptEvent::Deadline && rng.random_range(0..2) == 0 {
                self.withdraw(cluster, id);
            }
            self.step(cluster, id, event, rng, tally);
        }
    }

    /// Returns the next event of an attempt, if there is one at this step.
    fn next_event(
        &mut self,
        cluster: &Cluster<OnceMachine>,
        id: usize,
        rng: &mut SmallRng,
    ) -> Option<AttemptEvent> {
        let active = self.active.get_mut(&id)?;
        if !cluster.is_up(active.node) {
            return None;
        }
        if let Some((due, _)) = active.sending {
            if due > cluster.step {
                return None;
            }
            return active
                .sending
                .take()
                .map(|(_, end)| AttemptEvent::Sent(end));
        }
        if let Some(writer) = active.watching {
            let machine = cluster.nodes[active.node].replica.machine();
            return match machine.get(active.attempt.key()) {
                Some(KeyState::Finished(answer)) => {
                    Some(AttemptEvent::OtherFinished(answer.clone()))
                }
                Some(KeyState::Free) | None => Some(AttemptEvent::OtherAbandoned),
                Some(KeyState::Lost) => Some(AttemptEvent::OtherLost),
                Some(KeyState::Begun { .. }) if self.replaced.contains(&writer) => {
                    Some(AttemptEvent::OtherLost)
                }
                Some(KeyState::Begun { .. }) => {
                    (rng.random_range(0..300) == 0).then_some(AttemptEvent::Deadline)
                }
            };
        }
        let waiting = active.ticket.is_some();
        (waiting && rng.random_range(0..80) == 0).then_some(AttemptEvent::Deadline)
    }

    fn withdraw(&mut self, cluster: &mut Cluster<OnceMachine>, id: usize) {
        if let Some(active) = self.active.get(&id) {
            if let Some(ticket) = active.ticket {
                cluster.nodes[active.node]
                    .replica
                    .withdraw(Priority::Once, ticket);
            }
        }
    }

    fn check_final_state(&self, cluster: &Cluster<OnceMachine>, tally: &mut Tally) {
        let diverged = cluster.diverged();
        tally.check(Invariant::Once, diverged.is_empty(), || {
            format!("the journals of processes {diverged:?} differ")
        });
        for call in &self.calls {
            let Some(OnceEvent::Kept(ran)) = call.event else {
                continue;
            };
            let own = self
                .ran
                .get(&call.key)
                .is_some_and(|a| a.first() == Some(&ran));
            tally.check(Invariant::OwnAnswer, own, || {
                format!(
                    "a caller of key {} received the answer of attempt {ran}, which was not the one executed",
                    call.key
                )
            });
        }
        let keys: BTreeSet<u64> = self.calls.iter().map(|c| c.key).collect();
        for key in keys {
            self.check_history(key, cluster.step, tally);
        }
    }

    fn check_history(&self, key: u64, last: u64, tally: &mut Tally) {
        if !tally.is_clean() {
            return;
        }
        let own = self.calls.iter().enumerate().filter(|(_, c)| c.key == key);
        let operation = |(id, call): (usize, &Call)| {
            let ran = self.attempt_ran(id).then_some(OnceEvent::Ran(id as u64));
            Operation {
                called: call.called,
                answered: call.answered.unwrap_or(last + 1),
                event: call.event.or(ran).unwrap_or(OnceEvent::NotRun),
            }
        };
        let operations: Vec<_> = own.take(MAX_OPERATIONS).map(operation).collect();
        let holds = is_linearizable::<OnceSpec>(&operations);
        tally.check(Invariant::Once, holds, || {
            format!("the calls of key {key} are not linearizable")
        });
    }
}
