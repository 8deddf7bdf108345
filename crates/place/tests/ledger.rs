//! The ledger, the orders and the placement policy.

use shaleline_lease::LeaseBody;
use shaleline_log::{Position, StateMachine};
use shaleline_place::{
    CellBody, CellMachine, CellVerdict, Demand, DesiredItem, DesiredItems, Dispatcher,
    EngineReport, EngineView, Item, OrderEnd, OrderKind, PlanInput, Planner, Policy, Resident,
    SlotState, Step,
};
use shaleline_types::{DataCentre, Instance, Megabytes, Millis, Model, Offset, Upstream, WriterId};
use std::collections::BTreeMap;

const OWNER: u64 = 1;

struct Cell {
    machine: CellMachine,
    next: u64,
}

fn engine(number: u64) -> Upstream {
    Upstream::from_text(&format!("engine-{number}")).expect("a valid name")
}

fn item(name: &str, version: u32) -> Item {
    Item::base(&Model::from_text(name).expect("a valid name"), version)
}

fn sizes(items: &[(&str, u64)]) -> BTreeMap<Item, Megabytes> {
    items
        .iter()
        .map(|(n, m)| (item(n, 1), Megabytes(*m)))
        .collect()
}

fn adopt(
    number: u64,
    incarnation_number: u64,
    checks_fence: bool,
    resident: &[(&str, u64)],
) -> CellBody {
    CellBody::Adopt {
        fence: Offset(0),
        engine: engine(number),
        incarnation: incarnation_number,
        memory: Megabytes(100),
        checks_fence,
        resident: sizes(resident),
        loading: BTreeMap::new(),
    }
}

fn load(number: u64, name: &str, size: u64) -> CellBody {
    CellBody::Load {
        fence: Offset(0),
        engine: engine(number),
        item: item(name, 1),
        size: Megabytes(size),
    }
}

fn unload(number: u64, name: &str) -> CellBody {
    CellBody::Unload {
        fence: Offset(0),
        engine: engine(number),
        item: item(name, 1),
        retired: false,
    }
}

fn settled(number: u64, name: &str, order: u64, done: bool) -> CellBody {
    CellBody::Settled {
        fence: Offset(0),
        engine: engine(number),
        item: item(name, 1),
        order: Offset(order),
        done,
    }
}

fn resend(number: u64, name: &str) -> CellBody {
    CellBody::Resend {
        fence: Offset(0),
        engine: engine(number),
        item: item(name, 1),
    }
}

impl Cell {
    fn new() -> Self {
        let mut cell = Self {
            machine: CellMachine::default(),
            next: 0,
        };
        cell.put(&CellBody::Lease(LeaseBody::Claim {
            instance: Instance::from_text("entry").expect("a valid name"),
            after: None,
        }));
        cell
    }

    fn put(&mut self, body: &CellBody) -> CellVerdict {
        self.put_by(OWNER, body)
    }

    fn put_by(&mut self, writer: u64, body: &CellBody) -> CellVerdict {
        let at = Position {
            offset: Offset(self.next),
            time: Millis(0),
            writer: WriterId(writer),
        };
        self.next += 1;
        self.machine.apply(at, body)
    }

    fn state(&self, number: u64, name: &str) -> Option<SlotState> {
        self.machine.engines()[&engine(number)].state_of(&item(name, 1))
    }
}

#[test]
fn only_the_owner_may_order() {
    let mut cell = Cell::new();
    assert_eq!(
        cell.put_by(2, &adopt(1, 1, false, &[])),
        CellVerdict::NotOwner
    );
    assert_eq!(cell.put(&adopt(1, 1, false, &[])), CellVerdict::Noted);
}

#[test]
fn a_load_counts_from_its_intent_on_and_is_refused_beyond_the_memory() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[("a", 50)]));
    assert_eq!(cell.put(&load(1, "b", 51)), CellVerdict::NoMemory);
    assert_eq!(cell.put(&load(1, "b", 50)), CellVerdict::Granted(Offset(3)));
    assert_eq!(cell.machine.engines()[&engine(1)].free(), Megabytes(0));
}

#[test]
fn an_unload_frees_memory_only_once_it_is_reported() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[("a", 60)]));
    cell.put(&adopt(2, 1, false, &[("a", 60)]));
    assert_eq!(cell.put(&unload(1, "a")), CellVerdict::Granted(Offset(3)));
    assert_eq!(cell.machine.engines()[&engine(1)].free(), Megabytes(40));
    cell.put(&settled(1, "a", 3, true));
    assert_eq!(cell.machine.engines()[&engine(1)].free(), Megabytes(100));
}

#[test]
fn the_last_replica_stays_until_another_reports_ready() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[("a", 60)]));
    cell.put(&adopt(2, 1, false, &[]));
    assert_eq!(cell.put(&unload(1, "a")), CellVerdict::LastReplica);
    let order = cell.next;
    cell.put(&load(2, "a", 60));
    assert_eq!(
        cell.put(&unload(1, "a")),
        CellVerdict::LastReplica,
        "a load that was ordered is not ready yet"
    );
    cell.put(&settled(2, "a", order, true));
    assert!(matches!(cell.put(&unload(1, "a")), CellVerdict::Granted(_)));
}

#[test]
fn a_load_sent_twice_to_an_engine_that_ignores_fencing_is_pinned() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[]));
    cell.put(&adopt(2, 1, false, &[("a", 40)]));
    let order = cell.next;
    cell.put(&load(1, "a", 40));
    assert_eq!(
        cell.put(&resend(1, "a")),
        CellVerdict::Granted(Offset(order))
    );
    cell.put(&settled(1, "a", order, true));
    assert_eq!(
        cell.put(&unload(1, "a")),
        CellVerdict::Void,
        "a late copy of the load would restore it"
    );
}

#[test]
fn a_new_incarnation_still_counts_what_old_orders_may_load() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[]));
    cell.put(&load(1, "a", 70));
    cell.put(&adopt(1, 2, false, &[]));
    assert_eq!(cell.state(1, "a"), Some(SlotState::Unconfirmed));
    assert_eq!(cell.put(&load(1, "b", 40)), CellVerdict::NoMemory);
    assert!(
        matches!(cell.put(&load(1, "a", 70)), CellVerdict::Granted(_)),
        "the unconfirmed item may be loaded"
    );
}

/// A load was granted in a new incarnation before the engine had seen a newer fencing number, and
/// an old copy of an order filled the same memory.
#[test]
fn regression_an_engine_that_checks_fencing_gets_no_load_before_its_no_op() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, true, &[]));
    assert_eq!(cell.put(&load(1, "a", 40)), CellVerdict::Void);
    cell.put(&CellBody::FenceConfirmed {
        fence: Offset(0),
        engine: engine(1),
        incarnation: 1,
        resident: BTreeMap::new(),
    });
    assert!(matches!(
        cell.put(&load(1, "a", 40)),
        CellVerdict::Granted(_)
    ));
}

fn report(checks_fence: bool, resident: &[(&str, u64)], loading: &[(&str, u64)]) -> EngineReport {
    let list = |items: &[(&str, u64)]| {
        items
            .iter()
            .map(|(n, m)| Resident {
                item: item(n, 1),
                size: Megabytes(*m),
            })
            .collect()
    };
    EngineReport {
        incarnation: 1,
        memory: Megabytes(100),
        checks_fence,
        leaving: false,
        resident: list(resident),
        loading: list(loading),
        orders: BTreeMap::new(),
    }
}

/// Runs the dispatcher once and applies the records that it appends.
fn reconcile(cell: &mut Cell, d: &mut Dispatcher, r: &EngineReport, now: u64) -> Vec<CellBody> {
    d.set_fence(Some(Offset(0)));
    let reports = BTreeMap::from([(engine(1), r.clone())]);
    let bodies = d.records(&cell.machine, &reports, Millis(now));
    for body in &bodies {
        let verdict = cell.put(body);
        d.on_verdict(body, verdict, &cell.machine, Millis(now));
    }
    bodies
}

/// A no-op order was confirmed while an older load still ran, which was then missing from the
/// ledger.
#[test]
fn regression_a_no_op_confirmation_waits_for_running_loads() {
    let mut cell = Cell::new();
    let mut d = Dispatcher::default();
    let busy = report(true, &[], &[("a", 40)]);
    reconcile(&mut cell, &mut d, &busy, 0);
    reconcile(&mut cell, &mut d, &busy, 1);
    let touch = d.take_orders().remove(0);
    assert_eq!(touch.kind, OrderKind::NoOp);
    let mut seen = busy;
    seen.orders.insert(touch.number, OrderEnd::Done);
    assert!(reconcile(&mut cell, &mut d, &seen, 2).is_empty());
    seen.resident = std::mem::take(&mut seen.loading);
    assert!(matches!(
        reconcile(&mut cell, &mut d, &seen, 3)[0],
        CellBody::FenceConfirmed { .. }
    ));
    assert_eq!(cell.state(1, "a"), Some(SlotState::Resident));
}

#[test]
fn an_order_is_sent_only_after_its_intent_and_resent_after_a_timeout() {
    let mut cell = Cell::new();
    let mut d = Dispatcher::default();
    let r = report(false, &[], &[]);
    reconcile(&mut cell, &mut d, &r, 0);
    let step = Step::Load {
        engine: engine(1),
        item: item("a", 1),
        size: Megabytes(40),
    };
    let body = d.steps(&[step]).remove(0);
    assert!(
        d.take_orders().is_empty(),
        "no order is sent before its intent is replayed"
    );
    let verdict = cell.put(&body);
    d.on_verdict(&body, verdict, &cell.machine, Millis(1));
    let order = d.take_orders().remove(0);
    assert_eq!(CellVerdict::Granted(order.number), verdict);
    reconcile(&mut cell, &mut d, &r, 2);
    assert!(d.take_orders().is_empty());
    reconcile(&mut cell, &mut d, &r, 5_000);
    assert_eq!(
        d.take_orders(),
        [order],
        "the order is resent under the same number"
    );
}

#[test]
fn a_successor_resends_an_open_order_under_its_number() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[]));
    let number = cell.next;
    cell.put(&load(1, "a", 40));
    let mut successor = Dispatcher::default();
    reconcile(&mut cell, &mut successor, &report(false, &[], &[]), 0);
    assert_eq!(successor.take_orders()[0].number, Offset(number));
}

fn views(count: u64) -> BTreeMap<Upstream, EngineView> {
    let view = |i: u64| EngineView {
        centre: DataCentre::from_text(&format!("dc{i}")).expect("a valid name"),
        capacity: 100.0,
        alive: true,
    };
    (1..=count).map(|i| (engine(i), view(i))).collect()
}

fn desired(items: &[(Item, u64)]) -> DesiredItems {
    let desired_items = |(item, size): &(Item, u64)| DesiredItem {
        item: item.clone(),
        size: Megabytes(*size),
    };
    DesiredItems::from_items(items.iter().map(desired_items))
}

fn plan(cell: &Cell, desired: &DesiredItems, demand: &Demand) -> Vec<Step> {
    let views = views(cell.machine.engines().len() as u64);
    let plan = PlanInput {
        ledgers: cell.machine.engines(),
        views: &views,
        desired,
        demand,
        load_limit: 8,
    };
    Planner::default().plan(plan, Millis(1_000))
}

#[test]
fn an_item_on_no_engine_is_loaded_first() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[]));
    let steps = plan(&cell, &desired(&[(item("a", 1), 40)]), &Demand::default());
    assert!(matches!(&steps[0], Step::Load { item: i, .. } if *i == item("a", 1)));
}

/// An engine has memory for one of two models that no engine holds. Callers wait for the smaller
/// one; in order of size, the larger one without demand was loaded and they kept waiting.
#[test]
fn an_item_in_demand_is_loaded_before_an_idle_one() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[]));
    let mut demand = Demand::default();
    demand.record(&item("asked", 1).model, 50.0, Millis(1_000));
    let desired_items = desired(&[(item("idle", 1), 60), (item("asked", 1), 50)]);
    let steps = plan(&cell, &desired_items, &demand);
    assert!(matches!(&steps[0], Step::Load { item: i, .. } if *i == item("asked", 1)));
}

#[test]
fn a_new_version_is_loaded_before_the_old_one_is_unloaded() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[("a", 40)]));
    let desired_items = desired(&[(item("a", 2), 40)]);
    let steps = plan(&cell, &desired_items, &Demand::default());
    assert!(matches!(&steps[0], Step::Load { item: i, .. } if i.version == 2));
    let order = cell.next;
    cell.put(&CellBody::Load {
        fence: Offset(0),
        engine: engine(1),
        item: item("a", 2),
        size: Megabytes(40),
    });
    cell.put(&CellBody::Settled {
        fence: Offset(0),
        engine: engine(1),
        item: item("a", 2),
        order: Offset(order),
        done: true,
    });
    let steps = plan(&cell, &desired_items, &Demand::default());
    assert!(matches!(&steps[0], Step::Unload { item: i, retired: false, .. } if i.version == 1));
}

#[test]
fn a_model_over_its_engines_target_gets_another_replica() {
    let mut cell = Cell::new();
    cell.put(&adopt(1, 1, false, &[("a", 40)]));
    cell.put(&adopt(2, 1, false, &[("b", 40)]));
    let mut demand = Demand::default();
    demand.record(&item("a", 1).model, 3_000.0, Millis(1_000));
    let desired_items = desired(&[(item("a", 1), 40), (item("b", 1), 40)]);
    let steps = plan(&cell, &desired_items, &demand);
    let on_two = |s: &Step| matches!(s, Step::Load { engine: e, item: i, .. } if *e == engine(2) && *i == item("a", 1));
    assert!(steps.iter().any(on_two), "{steps:?}");
}
