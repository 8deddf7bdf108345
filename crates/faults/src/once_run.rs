//! Keyed requests: callers repeat, daemons die, answers are lost, the log is late.

use crate::history::{is_linearizable, OnceEvent, OnceSpec, Operation};
use crate::tally::{Invariant, Tally};
use crate::world::{Event, Retention, World};
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
const MOST_OPERATIONS: usize = 60;

/// One caller's request and how it was answered.
struct Call {
    key: u64,
    called: u64,
    answered: Option<u64>,
    event: Option<OnceEvent>,
    not_run: bool,
}

/// An attempt at a process.
struct Live {
    node: usize,
    attempt: Attempt,
    asked: Option<Ticket>,
    watching: Option<WriterId>,
    /// When the service's answer arrives, and how the send ends.
    sending: Option<(u64, SendOutcome)>,
}

struct Callers {
    calls: Vec<Call>,
    live: BTreeMap<usize, Live>,
    tickets: BTreeMap<(WriterId, Ticket), usize>,
    /// The attempts that the service ran, by key.
    ran: BTreeMap<u64, Vec<u64>>,
    dead: BTreeSet<WriterId>,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world: World<OnceMachine> = World::new(NODES, Retention::Covered);
    let mut callers = Callers {
        calls: Vec::new(),
        live: BTreeMap::new(),
        tickets: BTreeMap::new(),
        ran: BTreeMap::new(),
        dead: BTreeSet::new(),
    };
    let mut writers: Vec<WriterId> = world.nodes.iter().map(|n| n.writer).collect();
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS {
            world.heal();
        }
        if step < STEPS && rng.random_range(0..20) == 0 {
            callers.call(&mut world, &mut rng, tally);
        }
        callers.time_passes(&mut world, &mut rng, tally);
        for event in world.step(&mut rng, tally) {
            match event {
                Event::Done { node, done } => {
                    let writer = world.nodes[node].writer;
                    if let Some(id) = callers.tickets.remove(&(writer, done.ticket)) {
                        let event = AttemptEvent::Judged(done.verdict);
                        callers.step(&mut world, id, event, &mut rng, tally);
                    }
                }
                Event::Replaced { node } => {
                    callers.dead.insert(writers[node]);
                    writers[node] = world.nodes[node].writer;
                    callers.live.retain(|_, l| l.node != node);
                }
                Event::Reverted { node } => tally.check(Invariant::Once, false, || {
                    format!("the journal of process {node} went back")
                }),
            }
        }
        if step > STEPS && world.is_quiet() && callers.live.is_empty() {
            break;
        }
    }
    callers.conclude(&world, tally);
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
    fn call(&mut self, world: &mut World<OnceMachine>, rng: &mut SmallRng, tally: &mut Tally) {
        let node = rng.random_range(0..NODES);
        if !world.is_up(node) {
            return;
        }
        let key = rng.random_range(0..KEYS) + KEYS * (world.step / 800);
        let id = self.calls.len();
        self.calls.push(Call {
            key,
            called: world.step,
            answered: None,
            event: None,
            not_run: false,
        });
        let attempt = Attempt::new(key_of(key), RequestId(id as u64), "request".to_owned());
        let known = world.nodes[node]
            .replica
            .machine()
            .known(attempt.key(), "request");
        self.live.insert(
            id,
            Live {
                node,
                attempt,
                asked: None,
                watching: None,
                sending: None,
            },
        );
        let event = known.map_or(AttemptEvent::Start, AttemptEvent::Known);
        self.step(world, id, event, rng, tally);
    }

    fn step(
        &mut self,
        world: &mut World<OnceMachine>,
        id: usize,
        event: AttemptEvent,
        rng: &mut SmallRng,
        tally: &mut Tally,
    ) {
        let now = world.now();
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        live.asked = None;
        live.watching = None;
        let actions = live.attempt.step(event, now);
        let node = live.node;
        for action in actions {
            match action {
                AttemptAction::Append(body) => self.append(world, id, node, body),
                AttemptAction::Send => self.send(world, id, rng, tally),
                AttemptAction::Watch(writer) => {
                    if let Some(live) = self.live.get_mut(&id) {
                        live.watching = Some(writer);
                    }
                }
                AttemptAction::Answer { answer, kept } => {
                    let ran = attempt_in(&answer);
                    let event = if kept {
                        OnceEvent::Kept(ran)
                    } else {
                        OnceEvent::Ran(ran)
                    };
                    self.answered(id, event, world.step);
                }
                AttemptAction::Fail(kind) => {
                    let not_run = kind.answer().outcome == Outcome::NotRun;
                    self.calls[id].not_run = not_run;
                    let ran = self.attempt_ran(id);
                    let event = if ran && !not_run {
                        OnceEvent::Ran(id as u64)
                    } else {
                        OnceEvent::Nothing
                    };
                    self.answered(id, event, world.step);
                }
            }
        }
        let done = self.live.get(&id).is_some_and(|l| l.attempt.is_done());
        if done {
            self.live.remove(&id);
        }
    }

    fn append(&mut self, world: &mut World<OnceMachine>, id: usize, node: usize, body: OnceBody) {
        let asks = matches!(body, OnceBody::Begun { .. });
        let n = &mut world.nodes[node];
        let ticket = n.replica.submit(Priority::Once, body);
        if !asks {
            return;
        }
        self.tickets.insert((n.writer, ticket), id);
        if let Some(live) = self.live.get_mut(&id) {
            live.asked = Some(ticket);
        }
    }

    fn answered(&mut self, id: usize, event: OnceEvent, step: u64) {
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

    /// The send reaches the service or not, and its answer comes or not.
    fn send(
        &mut self,
        world: &World<OnceMachine>,
        id: usize,
        rng: &mut SmallRng,
        tally: &mut Tally,
    ) {
        let key = self.calls[id].key;
        let dice = rng.random_range(0..100);
        let end = match dice {
            0..60 => SendOutcome::Answered(answer_of(id as u64)),
            60..75 => SendOutcome::NotSent,
            _ => SendOutcome::Unknown,
        };
        if end != SendOutcome::NotSent && dice < 90 {
            let ran = self.ran.entry(key).or_default();
            ran.push(id as u64);
            let count = ran.len();
            tally.check(Invariant::Once, count == 1, || {
                format!("key {key} ran {count} times")
            });
            let told = self.calls[id].not_run;
            tally.check(Invariant::NotRun, !told, || {
                format!("attempt {id} at key {key} ran after its caller was told that it did not")
            });
        }
        if !matches!(end, SendOutcome::Answered(_)) {
            tally.fault();
        }
        let due = world.step + rng.random_range(0..60);
        if let Some(live) = self.live.get_mut(&id) {
            live.sending = Some((due, end));
        }
    }

    fn time_passes(
        &mut self,
        world: &mut World<OnceMachine>,
        rng: &mut SmallRng,
        tally: &mut Tally,
    ) {
        let ids: Vec<usize> = self.live.keys().copied().collect();
        for id in ids {
            let Some(event) = self.next_event(world, id, rng) else {
                continue;
            };
            if event == AttemptEvent::Deadline && rng.random_range(0..2) == 0 {
                self.withdraw(world, id);
            }
            self.step(world, id, event, rng, tally);
        }
    }

    /// What comes next for an attempt, if anything does now.
    fn next_event(
        &mut self,
        world: &World<OnceMachine>,
        id: usize,
        rng: &mut SmallRng,
    ) -> Option<AttemptEvent> {
        let live = self.live.get_mut(&id)?;
        if !world.is_up(live.node) {
            return None;
        }
        if let Some((due, _)) = live.sending {
            if due > world.step {
                return None;
            }
            return live.sending.take().map(|(_, end)| AttemptEvent::Sent(end));
        }
        if let Some(writer) = live.watching {
            let machine = world.nodes[live.node].replica.machine();
            return match machine.get(live.attempt.key()) {
                Some(KeyState::Finished(answer)) => {
                    Some(AttemptEvent::OtherFinished(answer.clone()))
                }
                Some(KeyState::Free) | None => Some(AttemptEvent::OtherAbandoned),
                Some(KeyState::Lost) => Some(AttemptEvent::OtherLost),
                Some(KeyState::Begun { .. }) if self.dead.contains(&writer) => {
                    Some(AttemptEvent::OtherLost)
                }
                Some(KeyState::Begun { .. }) => {
                    (rng.random_range(0..300) == 0).then_some(AttemptEvent::Deadline)
                }
            };
        }
        let waits = live.asked.is_some();
        (waits && rng.random_range(0..80) == 0).then_some(AttemptEvent::Deadline)
    }

    fn withdraw(&mut self, world: &mut World<OnceMachine>, id: usize) {
        if let Some(live) = self.live.get(&id) {
            if let Some(ticket) = live.asked {
                world.nodes[live.node]
                    .replica
                    .withdraw(Priority::Once, ticket);
            }
        }
    }

    fn conclude(&self, world: &World<OnceMachine>, tally: &mut Tally) {
        let diverged = world.diverged();
        tally.check(Invariant::Once, diverged.is_empty(), || {
            format!("the journals of {diverged:?} differ")
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
                    "a caller of key {} got the answer of attempt {ran}",
                    call.key
                )
            });
        }
        let keys: BTreeSet<u64> = self.calls.iter().map(|c| c.key).collect();
        for key in keys {
            self.check_history(key, world.step, tally);
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
                event: call.event.or(ran).unwrap_or(OnceEvent::Nothing),
            }
        };
        let operations: Vec<_> = own.take(MOST_OPERATIONS).map(operation).collect();
        let holds = is_linearizable::<OnceSpec>(&operations);
        tally.check(Invariant::Once, holds, || {
            format!("the calls of key {key} are not linearizable")
        });
    }
}
