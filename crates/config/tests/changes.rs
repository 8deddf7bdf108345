//! Tests of configuration changes: conflicts, repeated changes and validation.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_config::{
    AcceleratorSpec, AdapterSpec, Change, ConfigMachine, Fleet, ModelSpec, Op, Organisation, Param,
    ParamKind, Setting, Settings, Template, Value, Verdict, View,
};
use shaleline_log::{Position, StateMachine};
use shaleline_testkit::cases;
use shaleline_types::{
    Adapter, ChangeId, ErrorKind, Megabytes, Millis, Model, Offset, Org, TemplateName, TokenHash,
    WriterId,
};

struct Log {
    machine: ConfigMachine,
    next: u64,
}

impl Log {
    fn new() -> Self {
        let mut log = Self {
            machine: ConfigMachine::default(),
            next: 0,
        };
        assert!(accepted(&log.apply("fleet", None, Op::PutFleet(fleet(2)))));
        assert!(accepted(&log.apply(
            "template",
            None,
            Op::PutTemplate(Box::new(template(9)))
        )));
        log
    }

    fn apply(&mut self, id: &str, base: Option<Offset>, op: Op) -> Verdict {
        let at = Position {
            offset: Offset(self.next),
            time: Millis(self.next),
            writer: WriterId(1),
        };
        self.next += 1;
        let change = Change {
            id: ChangeId::from_text(id).expect("a valid id"),
            by: "ada".to_owned(),
            base,
            op,
        };
        self.machine.apply(at, &change)
    }

    fn current_version(&self, object: &str) -> Option<Offset> {
        self.machine.current_version(object)
    }
}

fn accepted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted(_))
}

fn refusal(verdict: &Verdict) -> (ErrorKind, String) {
    match verdict {
        Verdict::Refused(r) => (r.kind, r.faults.join("; ")),
        Verdict::Accepted(at) => panic!("accepted at {at}"),
    }
}

fn fleet(accelerators: u32) -> Fleet {
    let model = |name: &str, size| ModelSpec {
        name: Model::from_text(name).expect("a valid name"),
        version: 1,
        size: Megabytes(size),
        kv: Megabytes(0),
    };
    Fleet {
        accelerators: vec![AcceleratorSpec {
            count: accelerators,
            memory: Megabytes(100),
        }],
        models: vec![model("small", 40), model("large", 90)],
        adapters: vec![AdapterSpec {
            name: Adapter::from_text("tuned").expect("a valid name"),
            base: Model::from_text("small").expect("a valid name"),
            size: Megabytes(5),
        }],
        services: Vec::new(),
    }
}

fn template(max_priority: u64) -> Template {
    let param = |name: &str| Setting::Param {
        param: name.to_owned(),
    };
    let fixed = |n| Setting::Fixed(Value::Integer(n));
    let names = |name: &str| Param {
        name: name.to_owned(),
        kind: ParamKind::Names {
            allowed: Vec::new(),
            most: 4,
        },
        default: Some(Value::Names(Vec::new())),
    };
    Template {
        name: TemplateName::from_text("standard").expect("a valid name"),
        params: vec![
            names("models"),
            names("adapters"),
            Param {
                name: "priority".to_owned(),
                kind: ParamKind::Integer {
                    min: 0,
                    max: max_priority,
                },
                default: Some(Value::Integer(0)),
            },
        ],
        settings: Settings {
            models: param("models"),
            adapters: param("adapters"),
            services: Setting::Fixed(Value::Names(Vec::new())),
            priority: param("priority"),
            weight: fixed(1),
            patience: fixed(1_000),
            rate: fixed(10),
            concurrency: fixed(10),
            tokens: fixed(10),
        },
    }
}

fn org(name: &str, values: &[(&str, Value)]) -> Op {
    let values = values.iter().map(|(k, v)| ((*k).to_owned(), v.clone()));
    Op::PutOrganisation(Organisation {
        name: Org::from_text(name).expect("a valid name"),
        template: TemplateName::from_text("standard").expect("a valid name"),
        values: values.collect(),
    })
}

fn names(list: &[&str]) -> Value {
    Value::Names(list.iter().map(|n| (*n).to_owned()).collect())
}

fn first_fault(values: &[(&str, Value)]) -> String {
    let verdict = Log::new().apply("c", None, org("o", values));
    match verdict {
        Verdict::Accepted(_) => "accepted".to_owned(),
        Verdict::Refused(r) => r.faults[0].clone(),
    }
}

cases! { first_fault;
    a_valid_organisation: &[("models", names(&["small"]))] => "accepted",
    an_unknown_parameter: &[("colour", Value::Integer(1))]
        => "organisation o: the template has no parameter colour",
    a_number_out_of_bounds: &[("priority", Value::Integer(10))]
        => "organisation o: parameter priority is 10, outside 0 to 9",
    a_value_of_the_wrong_kind: &[("priority", names(&["x"]))]
        => "organisation o: parameter priority has a value of the wrong kind",
    too_many_names: &[("models", names(&["a", "b", "c", "d", "e"]))]
        => "organisation o: parameter models has 5 names, 4 allowed",
    an_unknown_model: &[("models", names(&["none"]))] => "organisation o: no model none",
    an_adapter_without_its_model: &[("adapters", names(&["tuned"]))]
        => "organisation o: adapter tuned needs model small",
}

#[test]
fn of_two_conflicting_changes_one_is_refused_with_the_changed_fields() {
    let mut log = Log::new();
    log.apply("create", None, org("o", &[]));
    let base = log.current_version("organisation/o");
    assert!(accepted(&log.apply(
        "one",
        base,
        org("o", &[("priority", Value::Integer(1))])
    )));
    let refused = log.apply("two", base, org("o", &[("priority", Value::Integer(2))]));
    let (kind, text) = refusal(&refused);
    assert_eq!(kind, ErrorKind::Conflict);
    assert!(
        text.contains("ada changed values.priority by change one"),
        "{text}"
    );
}

#[test]
fn a_repeated_change_has_one_effect_and_one_verdict() {
    let mut log = Log::new();
    let first = log.apply("same", None, org("o", &[]));
    let again = log.apply("same", None, org("o", &[]));
    assert_eq!(first, again);
    assert_eq!(log.current_version("organisation/o"), Some(Offset(2)));
}

#[test]
fn a_template_change_is_applied_atomically() {
    let mut log = Log::new();
    log.apply("a", None, org("a", &[("priority", Value::Integer(3))]));
    log.apply("b", None, org("b", &[("priority", Value::Integer(8))]));
    let base = log.current_version("template/standard");
    let before = log.machine.clone();
    let verdict = log.apply("narrow", base, Op::PutTemplate(Box::new(template(5))));
    let (_, text) = refusal(&verdict);
    assert!(text.contains("organisation b"), "{text}");
    assert_eq!(log.machine.templates(), before.templates());
    assert_eq!(log.machine.organisations(), before.organisations());
}

#[test]
fn removing_a_template_in_use_is_refused() {
    let mut log = Log::new();
    log.apply("a", None, org("a", &[]));
    let base = log.current_version("template/standard");
    let name = TemplateName::from_text("standard").expect("a valid name");
    let verdict = log.apply("remove", base, Op::RemoveTemplate(name));
    assert_eq!(refusal(&verdict).1, "template standard is used by a");
}

#[test]
fn models_that_do_not_fit_the_accelerators_are_refused() {
    let mut log = Log::new();
    let both = names(&["small", "large"]);
    assert!(accepted(&log.apply(
        "fits",
        None,
        org("o", &[("models", both.clone())])
    )));
    let base = log.current_version("fleet");
    let verdict = log.apply("shrink", base, Op::PutFleet(fleet(1)));
    assert!(refusal(&verdict).1.contains("fits no accelerator"));
}

#[test]
fn a_removed_organisation_loses_its_tokens_and_cannot_be_recreated_unnoticed() {
    let mut log = Log::new();
    log.apply("a", None, org("a", &[]));
    let token = TokenHash::from_token("t");
    let name = Org::from_text("a").expect("a valid name");
    log.apply(
        "token",
        None,
        Op::AddToken {
            org: name.clone(),
            token: token.clone(),
        },
    );
    let view = View::from_machine(&log.machine, Offset(log.next));
    assert!(view.caller(&token).is_some());
    let base = log.current_version("organisation/a");
    log.apply("remove", base, Op::RemoveOrganisation(name));
    let view = View::from_machine(&log.machine, Offset(log.next));
    assert!(view.caller(&token).is_none());
    assert_eq!(
        refusal(&log.apply("back", None, org("a", &[]))).0,
        ErrorKind::Conflict
    );
}

/// Selects a subset of five names.
#[derive(Debug, Clone, Copy)]
struct Selection([bool; 5]);

impl Arbitrary for Selection {
    fn arbitrary(g: &mut Gen) -> Self {
        Self([(); 5].map(|()| bool::arbitrary(g)))
    }
}

#[test]
fn a_change_is_accepted_exactly_if_it_is_within_the_bounds() {
    fn accepted_iff_valid(priority: u64, models: Selection) -> bool {
        let mut log = Log::new();
        let list = ["small", "large", "none", "small", "large"];
        let chosen: Vec<&str> = list
            .iter()
            .zip(models.0)
            .filter(|(_, on)| *on)
            .map(|(n, _)| *n)
            .collect();
        let values = [
            ("priority", Value::Integer(priority)),
            ("models", names(&chosen)),
        ];
        let is_valid = priority <= 9 && chosen.len() <= 4 && !chosen.contains(&"none");
        accepted(&log.apply("c", None, org("o", &values))) == is_valid
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(16, 7))
        .tests(300)
        .quickcheck(accepted_iff_valid as fn(u64, Selection) -> bool);
}

#[test]
fn a_serialised_state_round_trips() {
    let mut log = Log::new();
    log.apply("a", None, org("a", &[("models", names(&["small"]))]));
    let text = serde_json::to_string(&log.machine).expect("it serializes");
    let back: ConfigMachine = serde_json::from_str(&text).expect("it parses");
    assert_eq!(back, log.machine);
}
