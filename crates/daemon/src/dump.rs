//! What a daemon shows of its state on request. No secret is in it but as a hash.

use crate::core::Core;
use crate::directory::Entry;
use crate::journal::Journal;
use serde_json::{json, Value};
use shaleline_config::{ConfigMachine, Role};
use shaleline_log::StateMachine;
use shaleline_types::{Org, Upstream};
use std::sync::Arc;

fn journal<M: StateMachine>(journal: &Journal<M>) -> Value {
    json!({
        "stream": journal.stream(),
        "next": journal.next(),
        "pending": journal.pending(),
        "caught_up": journal.is_caught_up(),
        "snapshot": journal.snapped(),
        "halt": journal.halt().map(|h| h.to_string()),
        "writers": journal.with_state(|s| s.writers()),
    })
}

/// The whole state.
pub(crate) fn state(core: &Arc<Core>) -> Value {
    let once = |j: &Journal<_>| {
        let mut value = journal(j);
        value["keys"] = json!(j.with(shaleline_once::OnceMachine::len));
        value
    };
    json!({
        "instance": core.settings.instance,
        "centre": core.settings.centre,
        "writer": core.writer,
        "ready": core.is_ready(),
        "leaving": core.is_leaving(),
        "in_flight": core.in_flight(),
        "log_away": core.is_log_away(),
        "behind_ms": core.behind_for(),
        "config": journal(&core.config),
        "cell": cell(core),
        "once": core.once.iter().map(once).collect::<Vec<_>>(),
        "router": core.router().stats(),
        "upstreams": upstreams(core),
        "members": members(core),
    })
}

fn cell(core: &Arc<Core>) -> Value {
    let mut value = journal(&core.cell);
    core.cell.with(|c| {
        value["owner"] = json!(c.lease().holder());
        let engine = |(name, book): (&Upstream, &shaleline_place::EngineLedger)| {
            json!({
                "engine": name,
                "memory_mb": book.memory,
                "promised_mb": book.used(),
                "checks": book.checks_fence,
                "leaving": book.leaving,
                "slots": book.slots,
            })
        };
        value["engines"] = c.engines().iter().map(engine).collect();
    });
    value
}

/// The upstreams as the router knows them, with their addresses.
pub(crate) fn upstreams(core: &Arc<Core>) -> Value {
    let now = core.now();
    let stats = core.router().upstreams(now);
    let directory = core.directory.read().expect("no holder panics");
    let addresses = directory.entries.iter();
    let addresses = addresses.map(|(n, e): (&Upstream, &Entry)| (n.to_string(), json!(e.address)));
    let addresses: serde_json::Map<String, Value> = addresses.collect();
    json!({"known": stats, "addresses": addresses})
}

/// The daemons that are alive, as this one believes.
pub(crate) fn members(core: &Arc<Core>) -> Value {
    let members = core.members();
    let alive: Vec<Value> = members.alive().map(|m| json!(m)).collect();
    json!(alive)
}

/// The configuration in force here, or one organisation's part of it.
pub(crate) fn config(core: &Arc<Core>, role: &Role) -> Value {
    core.config.with_state(|state| {
        let machine = state.machine();
        match role {
            Role::Organisation(org) => organisation(machine, org),
            Role::Read | Role::All => json!({
                "next": state.next(),
                "fleet": machine.fleet(),
                "templates": machine.templates(),
                "organisations": machine.organisations(),
                "tokens": machine.tokens(),
                "operators": machine.operators(),
                "drained": machine.drained(),
                "versions": machine.versions(),
            }),
        }
    })
}

fn organisation(machine: &ConfigMachine, org: &Org) -> Value {
    let object = format!("organisation/{org}");
    let own = machine.organisations().get(org);
    let versions = machine.versions().get(&object);
    json!({
        "organisations": {org.as_str(): own},
        "versions": {object: versions},
    })
}
