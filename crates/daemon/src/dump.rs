//! The daemon's state as shown to operators. Secrets appear only as hashes.

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
        "snapshot": journal.snapshot_offset(),
        "halt": journal.halt().map(|h| h.to_string()),
        "writers": journal.with_state(|s| s.writers()),
    })
}

/// Returns the whole state.
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
        "log_away": core.is_log_unavailable(),
        "behind_ms": core.config_lag(),
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
        let engine = |(name, ledger): (&Upstream, &shaleline_place::EngineLedger)| {
            json!({
                "engine": name,
                "memory_mb": ledger.memory,
                "promised_mb": ledger.used(),
                "checks": ledger.checks_fence,
                "leaving": ledger.leaving,
                "slots": ledger.slots,
            })
        };
        value["engines"] = c.engines().iter().map(engine).collect();
    });
    value
}

/// Returns the upstreams known to the router, with their addresses.
pub(crate) fn upstreams(core: &Arc<Core>) -> Value {
    let now = core.now();
    let stats = core.router().upstreams(now);
    let directory = core.directory.read().expect("no holder panics");
    let addresses = directory.entries.iter();
    let addresses = addresses.map(|(n, e): (&Upstream, &Entry)| (n.to_string(), json!(e.address)));
    let addresses: serde_json::Map<String, Value> = addresses.collect();
    json!({"known": stats, "addresses": addresses})
}

/// Returns the daemons that this daemon considers alive.
pub(crate) fn members(core: &Arc<Core>) -> Value {
    let members = core.members();
    let alive: Vec<Value> = members.alive().map(|m| json!(m)).collect();
    json!(alive)
}

/// Returns the configuration in force on this daemon, or one organisation's part of it.
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
