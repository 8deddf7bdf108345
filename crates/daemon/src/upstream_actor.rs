//! Polls the list of instances and the upstreams' reports.

use crate::core::Core;
use crate::directory::Entry;
use crate::emit::emit;
use actix::prelude::*;
use shaleline_border::{Engines, InstanceKind, InstanceList, ListedInstance, UpstreamReport};
use shaleline_place::{Item, SlotState};
use shaleline_route::{Load, Route, RouteEvent, UpstreamInfo};
use shaleline_types::{LogEvent, Service, Upstream};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(250);
const LIST_INTERVAL_POLLS: u64 = 4;

/// The time without a report after which an upstream is removed from routing.
const REPORT_TIMEOUT_MS: u64 = 3_000;

/// The actor that polls the instance list and the upstreams.
pub(crate) struct UpstreamActor {
    pub(crate) core: Arc<Core>,
    pub(crate) list: Rc<dyn InstanceList>,
    pub(crate) engines: Rc<dyn Engines>,
}

impl Actor for UpstreamActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let core = Arc::clone(&self.core);
        let polls = polls(core, Rc::clone(&self.list), Rc::clone(&self.engines));
        ctx.spawn(polls.into_actor(self));
    }
}

async fn polls(core: Arc<Core>, list: Rc<dyn InstanceList>, engines: Rc<dyn Engines>) {
    let mut leaving = BTreeSet::new();
    let mut round = 0_u64;
    loop {
        if round % LIST_INTERVAL_POLLS == 0 {
            if let Ok(listed) = list.list().await {
                apply_list(&core, &listed, &mut leaving);
            }
        }
        round += 1;
        let targets: Vec<(Upstream, String)> = {
            let directory = core.directory.read().expect("no holder panics");
            let pair = |(n, e): (&Upstream, &Entry)| (n.clone(), e.address.clone());
            directory.entries.iter().map(pair).collect()
        };
        let calls = targets.iter().map(|(_, address)| engines.report(address));
        let reports = futures_util::future::join_all(calls).await;
        for ((name, _), report) in targets.iter().zip(reports) {
            match report {
                Ok(report) => apply_report(&core, name, report),
                Err(_) => on_report_failure(&core, name),
            }
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Applies the list. Upstreams that it marks as leaving, or that an operator drains, get no new
/// requests; upstreams that it no longer contains are removed.
fn apply_list(core: &Arc<Core>, listed: &[ListedInstance], leaving: &mut BTreeSet<Upstream>) {
    let upstreams = listed.iter().filter(|l| l.kind != InstanceKind::Daemon);
    let mut present = BTreeSet::new();
    let view = core.view();
    for line in upstreams {
        let Ok(name) = Upstream::from_text(&line.name) else {
            continue;
        };
        update_entry(core, &name, line);
        let on = line.leaving || view.drained.contains(&line.name);
        let changed = if on {
            leaving.insert(name.clone())
        } else {
            leaving.remove(&name)
        };
        if changed {
            if on {
                emit(LogEvent::UpstreamLeaving, name.as_str());
            }
            let upstream = name.clone();
            core.route(RouteEvent::Leaving { upstream, on });
        }
        present.insert(name);
    }
    let gone: Vec<Upstream> = {
        let mut directory = core.directory.write().expect("no holder panics");
        let names = directory.entries.keys().filter(|n| !present.contains(*n));
        let gone: Vec<Upstream> = names.cloned().collect();
        directory.entries.retain(|n, _| present.contains(n));
        gone
    };
    for name in gone {
        core.route(RouteEvent::Removed(name.clone()));
        if leaving.remove(&name) {
            let on = false;
            core.route(RouteEvent::Leaving { upstream: name, on });
        }
    }
}

fn update_entry(core: &Arc<Core>, name: &Upstream, line: &ListedInstance) {
    let mut directory = core.directory.write().expect("no holder panics");
    let fresh = || Entry {
        address: line.address.clone(),
        kind: line.kind,
        centre: line.centre.clone(),
        service: line.service.clone(),
        report: None,
        reported: None,
    };
    let entry = directory.entries.entry(name.clone()).or_insert_with(fresh);
    if entry.address != line.address {
        *entry = fresh();
    }
}

fn apply_report(core: &Arc<Core>, name: &Upstream, report: UpstreamReport) {
    let now = core.now();
    let info = {
        let mut directory = core.directory.write().expect("no holder panics");
        let Some(entry) = directory.entries.get_mut(name) else {
            return;
        };
        entry.reported = Some(now);
        entry.report.clone_from(&report.engine);
        UpstreamInfo {
            centre: entry.centre.clone(),
            routes: routes(core, name, entry),
            version: shaleline_types::SoftwareVersion::default(),
        }
    };
    let memory = report.engine.as_ref().map_or(0, |e| e.memory.0);
    if report.used > memory {
        emit(LogEvent::Overcommit, name.as_str());
    }
    let upstream = name.clone();
    core.route(RouteEvent::Serves { upstream, info });
    if !report.cache.blocks.is_empty() {
        core.route(RouteEvent::Cached {
            upstream: name.clone(),
            blocks: report.cache.blocks,
        });
    }
    let load = Load {
        running: report.running,
        waiting: report.waiting,
        slots: report.slots,
        leaving: report.leaving,
        ..Load::default()
    };
    let upstream = name.clone();
    core.route(RouteEvent::Report { upstream, load });
}

/// Returns the routes that an upstream serves. An engine serves the ready items that it is not
/// ordered to unload.
fn routes(core: &Arc<Core>, name: &Upstream, entry: &Entry) -> Vec<Route> {
    if entry.kind == InstanceKind::Service {
        let service = entry.service.as_deref().map(Service::from_text);
        return service.into_iter().flatten().map(Route::Service).collect();
    }
    let resident = entry.report.iter().flat_map(|r| r.resident.iter());
    let unloading: BTreeSet<Item> = core.cell.with(|cell| {
        let slots = cell.engines().get(name).map(|b| &b.slots);
        let leaving = slots.into_iter().flatten();
        let leaving = leaving.filter(|(_, s)| s.state == SlotState::Unloading);
        leaving.map(|(i, _)| i.clone()).collect()
    });
    let ready = resident
        .map(|r| &r.item)
        .filter(|i| !unloading.contains(*i));
    let route = |i: &Item| Route::Model {
        model: i.model.clone(),
        adapter: i.adapter.clone(),
    };
    ready.map(route).collect()
}

/// Removes an upstream from routing if its last report is too old, until it reports again.
fn on_report_failure(core: &Arc<Core>, name: &Upstream) {
    let now = core.now();
    let expired = {
        let directory = core.directory.read().expect("no holder panics");
        let reported = directory.entries.get(name).and_then(|e| e.reported);
        reported.is_some_and(|at| now.since(at) > REPORT_TIMEOUT_MS)
    };
    if expired {
        if let Some(entry) = core
            .directory
            .write()
            .expect("no holder panics")
            .entries
            .get_mut(name)
        {
            entry.reported = None;
            entry.report = None;
        }
        core.route(RouteEvent::Removed(name.clone()));
    }
}
