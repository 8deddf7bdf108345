//! What one plan for the users' engines costs, by their number.

use shaleline_fleet::{
    Catalog, Fleet, Held, LeadTime, LoadWindow, ModelRule, PlanSettings, PlanView, Planner, Rate,
    Rates, Sighting,
};
use shaleline_types::{DataCentre, Megabytes, Millis, Model, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

const NOW: Millis = Millis(1_000_000);

/// Models for each engine, and how many of them an engine holds: as on the largest of the
/// users' deployments.
const MODELS: usize = 2;
const HELD: usize = 3;

/// One model in so many is asked for more than one engine can do.
const HOT: usize = 8;

const PLANS: u32 = 20;

fn model(number: usize) -> Model {
    Model::from_text(&format!("m{number}")).expect("a valid name")
}

fn catalog(models: usize) -> Catalog {
    let rule = ModelRule {
        size: Megabytes(70_000),
        store: Millis(6_000),
        disk: Millis(1_200),
        warm: Millis(600),
        adapters: Vec::new(),
        adapter_size: Megabytes(50),
    };
    Catalog {
        models: (0..models).map(|m| (model(m), rule.clone())).collect(),
        memory: Megabytes(230_000),
        places: 8,
        rate: 20.0,
        slots: 48,
        copies: Megabytes(150_000),
        disk: Megabytes(450_000),
    }
}

fn fleet(engines: usize, models: usize) -> Fleet {
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    let mut fleet = Fleet::default();
    for engine in 0..engines {
        let name = Upstream::from_text(&format!("e{engine}")).expect("a valid name");
        let held = (0..HELD).map(|h| model((engine * HELD + h) % models));
        let held = Held {
            models: held.map(|m| (m, BTreeSet::new())).collect(),
            ..Held::default()
        };
        fleet.sight(&name, &centre, held, Sighting::Listed, NOW);
    }
    fleet
}

fn rates(models: usize) -> Rates {
    let hot = (0..models).step_by(HOT);
    let rate = Rate {
        work: 1_200.0,
        count: 25.0,
    };
    hot.map(|m| ((model(m), None), rate)).collect()
}

/// Microseconds of one plan in which demand asks for more than is held.
pub fn cpu(engines: usize) -> f64 {
    let models = engines * MODELS;
    let (catalog, fleet, rates) = (catalog(models), fleet(engines, models), rates(models));
    let view = PlanView {
        catalog: &catalog,
        fleet: &fleet,
        rates: &rates,
        fence: 1,
        holder: "me",
        lead: LeadTime::Over,
        resting: &BTreeMap::new(),
    };
    let began = Instant::now();
    for _ in 0..PLANS {
        let mut window = LoadWindow::new(Millis(5_000), 1.1);
        let orders = Planner::new(PlanSettings::default()).plan(&view, &mut window, NOW);
        assert!(!orders.is_empty(), "demand asks for more than is held");
    }
    began.elapsed().as_micros() as f64 / f64::from(PLANS)
}
