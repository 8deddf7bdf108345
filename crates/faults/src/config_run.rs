//! Configuration: operators concurrently change the same organisations through
//! different daemons.

use crate::cluster::{Cluster, Event, Retention};
use crate::history::{is_linearizable, ConfigEvent, ConfigSpec, Operation};
use crate::tally::{Invariant, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_config::{
    Change, ConfigMachine, Fleet, Op, Organisation, Setting, Settings, Template, Value, Verdict,
};
use shaleline_log::{Priority, Ticket};
use shaleline_types::{ChangeId, ErrorKind, Offset, Org, TemplateName, WriterId};
use std::collections::BTreeMap;

const NODES: usize = 4;
const ORGS: u64 = 3;
const STEPS: u64 = 4_000;
const SETTLE: u64 = 2_000;

/// Maximum operations of one object that the linearizability checker is given.
const MAX_OPERATIONS: usize = 60;

type StateMachine = ConfigMachine;

/// A change that an operator requested.
struct ChangeCall {
    change: Change,
    called: u64,
    answered: Option<u64>,
    verdict: Option<Verdict>,
}

struct Operators {
    calls: Vec<ChangeCall>,
    tickets: BTreeMap<(WriterId, Ticket), usize>,
    /// The highest version of each object in force at each process.
    shown: BTreeMap<(usize, String), Offset>,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cluster: Cluster<StateMachine> = Cluster::new(NODES, Retention::Covered);
    let mut operators = Operators {
        calls: Vec::new(),
        tickets: BTreeMap::new(),
        shown: BTreeMap::new(),
    };
    for (i, op) in [Op::PutFleet(Fleet::default()), template()]
        .into_iter()
        .enumerate()
    {
        let change = change(&format!("setup-{i}"), None, op);
        cluster.nodes[0].replica.submit(Priority::Config, change);
    }
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS {
            cluster.heal();
        }
        if step < STEPS && rng.random_range(0..25) == 0 {
            operators.submit_change(&mut cluster, &mut rng);
        }
        for event in cluster.step(&mut rng, tally) {
            operators.on_event(&cluster, event, tally);
        }
        if step % 16 == 0 {
            operators.check_versions(&cluster, tally);
        }
        if step > STEPS && cluster.is_quiescent() {
            break;
        }
    }
    operators.check_final_state(&cluster, tally);
}

fn change(id: &str, base: Option<Offset>, op: Op) -> Change {
    Change {
        id: ChangeId::from_text(id).expect("the id is valid"),
        by: "operator".to_owned(),
        base,
        op,
    }
}

fn fixed(n: u64) -> Setting {
    Setting::Fixed(Value::Integer(n))
}

fn template() -> Op {
    let none = || Setting::Fixed(Value::Names(Vec::new()));
    Op::PutTemplate(Box::new(Template {
        name: TemplateName::from_text("t").expect("the name is valid"),
        params: Vec::new(),
        settings: Settings {
            models: none(),
            adapters: none(),
            services: none(),
            priority: fixed(1),
            weight: fixed(1),
            patience: fixed(1_000),
            rate: fixed(1),
            concurrency: fixed(1),
            tokens: fixed(1),
        },
    }))
}

fn org_name(number: u64) -> Org {
    Org::from_text(&format!("org-{number}")).expect("the name is valid")
}

impl Operators {
    /// Submits a change that is based on one daemon's state, or repeats an unanswered change
    /// through a random daemon.
    fn submit_change(&mut self, cluster: &mut Cluster<StateMachine>, rng: &mut SmallRng) {
        let node = rng.random_range(0..NODES);
        if !cluster.is_up(node) {
            return;
        }
        let unanswered: Vec<usize> = (0..self.calls.len())
            .filter(|i| self.calls[*i].verdict.is_none())
            .collect();
        let repeat = !unanswered.is_empty() && rng.random_range(0..4) == 0;
        let index = if repeat {
            unanswered[rng.random_range(0..unanswered.len())]
        } else {
            let Some(change) = self.new_change(cluster, node, rng) else {
                return;
            };
            self.calls.push(ChangeCall {
                change,
                called: cluster.step,
                answered: None,
                verdict: None,
            });
            self.calls.len() - 1
        };
        let n = &mut cluster.nodes[node];
        let ticket = n
            .replica
            .submit(Priority::Config, self.calls[index].change.clone());
        self.tickets.insert((n.writer, ticket), index);
    }

    fn new_change(
        &self,
        cluster: &Cluster<StateMachine>,
        node: usize,
        rng: &mut SmallRng,
    ) -> Option<Change> {
        let machine = cluster.nodes[node].replica.machine();
        if machine.templates().is_empty() {
            return None;
        }
        let name = org_name(rng.random_range(0..ORGS));
        let base = machine.current_version(&format!("organisation/{name}"));
        let op = if base.is_some() && rng.random_range(0..10) == 0 {
            Op::RemoveOrganisation(name)
        } else {
            Op::PutOrganisation(Organisation {
                name,
                template: TemplateName::from_text("t").expect("the name is valid"),
                values: BTreeMap::new(),
            })
        };
        Some(change(&format!("change-{}", self.calls.len()), base, op))
    }

    fn on_event(
        &mut self,
        cluster: &Cluster<StateMachine>,
        event: Event<Verdict>,
        tally: &mut Tally,
    ) {
        match event {
            Event::Done { node, done } => {
                let writer = cluster.nodes[node].writer;
                if let Some(index) = self.tickets.remove(&(writer, done.ticket)) {
                    self.answer(index, done.verdict, cluster.step, tally);
                }
            }
            Event::Replaced { node } => self.shown.retain(|(n, _), _| *n != node),
            Event::Reverted { node } => tally.check(Invariant::Config, false, || {
                format!("process {node} reverted to an earlier configuration")
            }),
        }
    }

    fn answer(&mut self, index: usize, verdict: Verdict, step: u64, tally: &mut Tally) {
        let call = &mut self.calls[index];
        if let Some(earlier) = &call.verdict {
            tally.check(Invariant::Config, *earlier == verdict, || {
                format!("{}: {earlier:?}, then {verdict:?}", call.change.id)
            });
            return;
        }
        call.verdict = Some(verdict);
        call.answered = Some(step);
    }

    /// Checks that no version in force at a process goes back.
    fn check_versions(&mut self, cluster: &Cluster<StateMachine>, tally: &mut Tally) {
        for (i, node) in cluster.nodes.iter().enumerate() {
            for (object, version) in node.replica.machine().versions() {
                let shown = self
                    .shown
                    .entry((i, object.clone()))
                    .or_insert(version.version);
                let monotonic = version.version >= *shown;
                tally.check(Invariant::Config, monotonic, || {
                    format!(
                        "process {i}: {object} went from {shown} to {}",
                        version.version
                    )
                });
                *shown = version.version;
            }
        }
    }

    fn check_final_state(&mut self, cluster: &Cluster<StateMachine>, tally: &mut Tally) {
        let diverged = cluster.diverged();
        tally.check(
            Invariant::Config,
            diverged.is_empty() && cluster.is_quiescent(),
            || format!("not in force on all processes: {diverged:?} differ"),
        );
        let reference = cluster.reference();
        for call in &mut self.calls {
            if call.verdict.is_none() {
                call.verdict = reference.machine().verdict_of(&call.change.id).cloned();
            }
        }
        self.check_winners(tally);
        for number in 0..ORGS {
            self.check_history(&org_name(number), cluster.step, tally);
        }
    }

    /// Checks that at most one change based on the same version is accepted.
    fn check_winners(&self, tally: &mut Tally) {
        let mut winners: BTreeMap<(String, Option<Offset>), u64> = BTreeMap::new();
        for call in &self.calls {
            if matches!(call.verdict, Some(Verdict::Accepted(_))) {
                let key = (call.change.op.object(), call.change.base);
                *winners.entry(key).or_default() += 1;
            }
        }
        for ((object, base), count) in winners {
            tally.check(Invariant::Config, count == 1, || {
                format!("{count} changes of {object} from {base:?} were accepted")
            });
        }
    }

    /// Checks that the changes of one object are linearizable as compare-and-swap.
    fn check_history(&self, org: &Org, last: u64, tally: &mut Tally) {
        if !tally.is_clean() {
            return;
        }
        let mut operations = Vec::new();
        let changes = self.calls.iter().filter(|a| a.change.op.org() == Some(org));
        for call in changes.take(MAX_OPERATIONS) {
            let base = call.change.base.map_or(0, |b| b.0 + 1);
            let event = match &call.verdict {
                Some(Verdict::Accepted(at)) => ConfigEvent::Accepted {
                    base,
                    version: at.0 + 1,
                },
                Some(Verdict::Refused(r)) if r.kind == ErrorKind::Conflict => {
                    ConfigEvent::Refused { base }
                }
                _ => continue,
            };
            operations.push(Operation {
                called: call.called,
                answered: call.answered.unwrap_or(last + 1),
                event,
            });
        }
        let holds = is_linearizable::<ConfigSpec>(&operations);
        tally.check(Invariant::Config, holds, || {
            format!("the changes of {org} are not linearizable")
        });
    }
}
