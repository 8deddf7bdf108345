//! Configuration: operators race for the same organisations through different daemons.

use crate::history::{is_linearizable, ConfigEvent, ConfigSpec, Operation};
use crate::tally::{Invariant, Tally};
use crate::world::{Event, Retention, World};
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

/// The most operations of one object that the checker of histories is given.
const MOST_OPERATIONS: usize = 60;

type StateMachine = ConfigMachine;

/// A change that an operator asked for.
struct Asked {
    change: Change,
    called: u64,
    answered: Option<u64>,
    verdict: Option<Verdict>,
}

struct Operators {
    asked: Vec<Asked>,
    tickets: BTreeMap<(WriterId, Ticket), usize>,
    /// The highest version of each object that each process has shown.
    shown: BTreeMap<(usize, String), Offset>,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world: World<StateMachine> = World::new(NODES, Retention::Covered);
    let mut operators = Operators {
        asked: Vec::new(),
        tickets: BTreeMap::new(),
        shown: BTreeMap::new(),
    };
    for (i, op) in [Op::PutFleet(Fleet::default()), template()]
        .into_iter()
        .enumerate()
    {
        let change = change(&format!("setup-{i}"), None, op);
        world.nodes[0].replica.submit(Priority::Config, change);
    }
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        if !tally.is_clean() {
            return;
        }
        if step == STEPS {
            world.heal();
        }
        if step < STEPS && rng.random_range(0..25) == 0 {
            operators.ask(&mut world, &mut rng);
        }
        for event in world.step(&mut rng, tally) {
            operators.on_event(&world, event, tally);
        }
        if step % 16 == 0 {
            operators.look(&world, tally);
        }
        if step > STEPS && world.is_quiet() {
            break;
        }
    }
    operators.conclude(&world, tally);
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
    /// An operator changes an organisation as one daemon shows it, or repeats a change
    /// that had no answer through another daemon.
    fn ask(&mut self, world: &mut World<StateMachine>, rng: &mut SmallRng) {
        let node = rng.random_range(0..NODES);
        if !world.is_up(node) {
            return;
        }
        let open: Vec<usize> = (0..self.asked.len())
            .filter(|i| self.asked[*i].verdict.is_none())
            .collect();
        let repeat = !open.is_empty() && rng.random_range(0..4) == 0;
        let index = if repeat {
            open[rng.random_range(0..open.len())]
        } else {
            let Some(change) = self.fresh(world, node, rng) else {
                return;
            };
            self.asked.push(Asked {
                change,
                called: world.step,
                answered: None,
                verdict: None,
            });
            self.asked.len() - 1
        };
        let n = &mut world.nodes[node];
        let ticket = n
            .replica
            .submit(Priority::Config, self.asked[index].change.clone());
        self.tickets.insert((n.writer, ticket), index);
    }

    fn fresh(
        &self,
        world: &World<StateMachine>,
        node: usize,
        rng: &mut SmallRng,
    ) -> Option<Change> {
        let machine = world.nodes[node].replica.machine();
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
        Some(change(&format!("change-{}", self.asked.len()), base, op))
    }

    fn on_event(&mut self, world: &World<StateMachine>, event: Event<Verdict>, tally: &mut Tally) {
        match event {
            Event::Done { node, done } => {
                let writer = world.nodes[node].writer;
                if let Some(index) = self.tickets.remove(&(writer, done.ticket)) {
                    self.answer(index, done.verdict, world.step, tally);
                }
            }
            Event::Replaced { node } => self.shown.retain(|(n, _), _| *n != node),
            Event::Reverted { node } => tally.check(Invariant::Config, false, || {
                format!("the configuration of process {node} went back")
            }),
        }
    }

    fn answer(&mut self, index: usize, verdict: Verdict, step: u64, tally: &mut Tally) {
        let asked = &mut self.asked[index];
        if let Some(earlier) = &asked.verdict {
            tally.check(Invariant::Config, *earlier == verdict, || {
                format!("{}: {earlier:?}, then {verdict:?}", asked.change.id)
            });
            return;
        }
        asked.verdict = Some(verdict);
        asked.answered = Some(step);
    }

    /// Looks at what each process has in force.
    fn look(&mut self, world: &World<StateMachine>, tally: &mut Tally) {
        for (i, node) in world.nodes.iter().enumerate() {
            for (object, version) in node.replica.machine().versions() {
                let shown = self
                    .shown
                    .entry((i, object.clone()))
                    .or_insert(version.version);
                let forward = version.version >= *shown;
                tally.check(Invariant::Config, forward, || {
                    format!(
                        "process {i}: {object} went from {shown} to {}",
                        version.version
                    )
                });
                *shown = version.version;
            }
        }
    }

    fn conclude(&mut self, world: &World<StateMachine>, tally: &mut Tally) {
        let diverged = world.diverged();
        tally.check(
            Invariant::Config,
            diverged.is_empty() && world.is_quiet(),
            || format!("not in force everywhere: processes {diverged:?} differ"),
        );
        let reference = world.reference();
        for asked in &mut self.asked {
            if asked.verdict.is_none() {
                asked.verdict = reference.machine().verdict_of(&asked.change.id).cloned();
            }
        }
        self.check_winners(tally);
        for number in 0..ORGS {
            self.check_history(&org_name(number), world.step, tally);
        }
    }

    /// Of the changes made from one version, one wins at the most.
    fn check_winners(&self, tally: &mut Tally) {
        let mut winners: BTreeMap<(String, Option<Offset>), u64> = BTreeMap::new();
        for asked in &self.asked {
            if matches!(asked.verdict, Some(Verdict::Accepted(_))) {
                let key = (asked.change.op.object(), asked.change.base);
                *winners.entry(key).or_default() += 1;
            }
        }
        for ((object, base), count) in winners {
            tally.check(Invariant::Config, count == 1, || {
                format!("{count} changes of {object} from {base:?} were accepted")
            });
        }
    }

    /// The changes of one object are linearizable as compare-and-swap.
    fn check_history(&self, org: &Org, last: u64, tally: &mut Tally) {
        if !tally.is_clean() {
            return;
        }
        let mut operations = Vec::new();
        let own = self.asked.iter().filter(|a| a.change.op.org() == Some(org));
        for asked in own.take(MOST_OPERATIONS) {
            let base = asked.change.base.map_or(0, |b| b.0 + 1);
            let event = match &asked.verdict {
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
                called: asked.called,
                answered: asked.answered.unwrap_or(last + 1),
                event,
            });
        }
        let holds = is_linearizable::<ConfigSpec>(&operations);
        tally.check(Invariant::Config, holds, || {
            format!("the changes of {org} are not linearizable")
        });
    }
}
