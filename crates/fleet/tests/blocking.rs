//! Which engine loads weights while callers wait for adapters.
//!
//! An engine that loads weights takes no adapter for seconds. If it is the only one that serves a
//! model, callers of the model's other adapters are refused until it is done.

mod shared;

use shaleline_fleet::{
    Fleet, Held, HeldSource, LoadWindow, PlanSettings, PlanView, Planner, Rate, Rates, UnmetByKey,
    WarmupPhase,
};
use shaleline_testkit::cases;
use shaleline_types::{DataCentre, Millis, Upstream};
use shared::{adapter, model};
use std::collections::BTreeMap;

const NOW: Millis = Millis(1_000_000);

/// The callers a second of each adapter, by model. The engine of `b` has more work, so that it
/// would be the second choice.
const CALLERS: [(&str, &str, f32); 3] = [("a", "a1", 1.0), ("a", "a2", 1.0), ("b", "a1", 4.0)];

/// The work of one request, in milliseconds.
const REQUEST_WORK: f32 = 20.0;

/// The model of each engine, and the adapter in its only slot.
type Engines = &'static [(&'static str, &'static str)];

fn fleet(engines: Engines) -> Fleet {
    let mut fleet = Fleet::default();
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    for (number, (name, in_use)) in engines.iter().enumerate() {
        let held = Held {
            models: [(model(name), [adapter(in_use)].into())].into(),
            ..Held::default()
        };
        let engine = Upstream::from_text(&format!("e{}", number + 1)).expect("a valid name");
        fleet.observe(&engine, &centre, held, HeldSource::Listed, NOW);
    }
    fleet
}

/// The orders about weights if callers request two adapters of `a`, and no engine serves `absent`.
fn ordered(engines: Engines) -> Vec<String> {
    let served = engines.iter().map(|(m, _)| *m);
    let models: Vec<&str> = served.chain(["absent"]).collect();
    let catalog = shared::catalog(&models, &["a1", "a2"]);
    let callers = CALLERS.iter().filter(|(m, ..)| models.contains(m));
    let rate = |count: f32| Rate {
        work: count * REQUEST_WORK,
        count,
    };
    let rates: Rates = callers
        .map(|(m, a, count)| ((model(m), Some(adapter(a))), rate(*count)))
        .collect();
    let view = PlanView {
        warmup: WarmupPhase::Over,
        catalog: &catalog,
        fleet: &fleet(engines),
        rates: &rates,
        unmet: &UnmetByKey::new(),
        fence: 7,
        holder: "me",
        cooldowns: &BTreeMap::new(),
        after_failure: false,
    };
    let mut window = LoadWindow::new(Millis(5_000), 1.1);
    let orders = Planner::new(PlanSettings::default()).plan(&view, &mut window, NOW);
    let weights = orders.iter().filter(|o| o.adapter.is_none());
    weights.map(ToString::to_string).collect()
}

fn loads_at(engine: &str) -> Vec<String> {
    vec![format!("load absent at {engine} expecting 0")]
}

cases! { ordered;
    the_only_engine_of_a_waiting_adapter_is_spared: &[("a", "a1"), ("b", "a1")] => loads_at("e2"),
    the_order_of_engines_does_not_matter: &[("b", "a1"), ("a", "a1")] => loads_at("e1"),
    a_model_without_a_replica_is_loaded_all_the_same: &[("a", "a1")] => loads_at("e1"),
}
