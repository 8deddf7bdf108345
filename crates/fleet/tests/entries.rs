//! List entries that are older than what is known of their engine.

use shaleline_fleet::{Fleet, Held, HeldSource, Order, OrderKind, OrderReply};
use shaleline_testkit::cases;
use shaleline_types::{Adapter, DataCentre, Incarnation, Millis, Model, Upstream};
use std::collections::BTreeSet;

const NOW: Millis = Millis(1_000_000);

/// An entry that is read this long after a change was written after it.
const LAG: u64 = 2_500;

/// The start time of the engine.
const STARTED: Incarnation = Incarnation::from_millis(1_000);

fn model() -> Model {
    Model::from_text("m").expect("a valid name")
}

fn adapter() -> Adapter {
    Adapter::from_text("a").expect("a valid name")
}

fn engine() -> Upstream {
    Upstream::from_text("e1").expect("a valid name")
}

/// The engine holds the model, with the adapter if `with_adapter` is set.
fn held(seq: u64, with_adapter: bool) -> Held {
    let adapters: BTreeSet<Adapter> = with_adapter.then(adapter).into_iter().collect();
    Held {
        models: [(model(), adapters)].into(),
        seq,
        incarnation: STARTED,
        ..Held::default()
    }
}

fn list(fleet: &mut Fleet, held: Held, now: Millis) {
    let centre = DataCentre::from_text("dc1").expect("a valid name");
    fleet.observe(&engine(), &centre, held, HeldSource::Listed, now);
}

/// An engine that has reported the model with its adapter.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    list(&mut fleet, held(0, true), NOW);
    fleet.report(&engine(), held(3, true), NOW, NOW);
    fleet
}

fn unload_order(adapter: Option<Adapter>) -> Order {
    Order {
        engine: engine(),
        kind: OrderKind::Unload,
        model: model(),
        adapter,
        incarnation: STARTED,
        expect: 3,
        fence: 7,
        holder: "me".to_owned(),
    }
}

fn is_unloaded_by_order(fleet: &mut Fleet) {
    let order = unload_order(Some(adapter()));
    fleet.record_sent(&order, NOW);
    fleet.record_reply(&order, OrderReply::Done, NOW);
}

fn is_no_longer_reported(fleet: &mut Fleet) {
    fleet.report(&engine(), held(4, false), NOW, NOW);
}

fn is_reported_absent(fleet: &mut Fleet) {
    fleet.record_absent(&engine(), &model(), Some(&adapter()), NOW);
}

fn unload_is_refused(fleet: &mut Fleet) {
    let order = unload_order(Some(adapter()));
    fleet.record_sent(&order, NOW);
    fleet.record_reply(&order, OrderReply::Conflict, NOW);
    fleet.report(&engine(), held(3, true), NOW, NOW);
}

fn is_loaded_again(fleet: &mut Fleet) {
    is_no_longer_reported(fleet);
    fleet.report(&engine(), held(5, true), NOW, NOW);
}

fn restarts_with_it(fleet: &mut Fleet) {
    is_unloaded_by_order(fleet);
    let again = Held {
        incarnation: Incarnation::from_millis(NOW.0),
        ..held(0, true)
    };
    list(fleet, again, NOW);
}

/// Whether the adapter counts as held after an entry that lists it is read at this time.
fn counts_as_held((after, read): (fn(&mut Fleet), u64)) -> bool {
    let mut fleet = fleet();
    after(&mut fleet);
    let listed = Held {
        incarnation: fleet
            .get(&engine())
            .expect("it is known")
            .held()
            .incarnation,
        ..held(0, true)
    };
    list(&mut fleet, listed, NOW.plus(read));
    fleet.serves_adapter(&model(), &adapter())
}

cases! { counts_as_held;
    an_old_entry_restores_no_unloaded_adapter: (is_unloaded_by_order, 900) => false,
    an_old_entry_restores_no_adapter_that_a_report_lacks: (is_no_longer_reported, 900) => false,
    an_old_entry_restores_no_adapter_that_is_reported_absent: (is_reported_absent, 900) => false,
    a_later_entry_restores_an_unloaded_adapter: (is_unloaded_by_order, LAG) => true,
    a_later_entry_restores_an_adapter_that_a_report_lacked: (is_no_longer_reported, LAG) => true,
    an_adapter_that_was_not_unloaded_stays: (unload_is_refused, 900) => true,
    an_adapter_that_was_loaded_again_stays: (is_loaded_again, 900) => true,
    an_entry_of_a_new_incarnation_counts: (restarts_with_it, 900) => true,
}

fn no_longer_reports_the_model(fleet: &mut Fleet) {
    let none = Held {
        seq: 5,
        incarnation: STARTED,
        ..Held::default()
    };
    fleet.report(&engine(), none, NOW, NOW);
}

/// Whether the model counts as served after an entry that lists it is read at this time.
fn is_served((after, read): (fn(&mut Fleet), u64)) -> bool {
    let mut fleet = fleet();
    after(&mut fleet);
    list(&mut fleet, held(0, true), NOW.plus(read));
    fleet.replicas(&model()) > 0
}

cases! { is_served;
    an_old_entry_restores_no_model_that_a_report_lacks: (no_longer_reports_the_model, 900) => false,
    a_later_entry_restores_a_model_that_a_report_lacked: (no_longer_reports_the_model, LAG) => true,
}
