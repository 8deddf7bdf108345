//! Who is taken for the hub of each data centre.
//!
//! The first of its daemons that is not silent. A wrong belief costs messages or calls.

use crate::message::Sender;
use crate::peers::Peers;
use shaleline_types::{DataCentre, Instance, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// A hub that was not heard of for so long is passed over: four of its messages.
pub(crate) const SILENT_MS: u64 = 1_200;

/// Who is taken for the hub of a data centre, and since when it is expected to speak.
#[derive(Debug, Clone)]
struct CentreHub {
    hub: Option<Instance>,
    since: Millis,
    /// Those that were silent, until they speak as a hub.
    passed_over: BTreeSet<Instance>,
}

impl CentreHub {
    fn new(now: Millis) -> Self {
        Self {
            hub: None,
            since: now,
            passed_over: BTreeSet::new(),
        }
    }
}

/// The hubs as this daemon believes.
#[derive(Debug)]
pub(crate) struct HubElection {
    me: Instance,
    /// Whether this daemon stops, and is no hub any more.
    resigned: bool,
    centres: BTreeMap<DataCentre, CentreHub>,
}

impl HubElection {
    pub(crate) fn new(me: Instance) -> Self {
        Self {
            me,
            resigned: false,
            centres: BTreeMap::new(),
        }
    }

    /// Notes that this daemon stops: it is no hub any more.
    pub(crate) fn resign(&mut self) {
        self.resigned = true;
    }

    /// Whether this daemon has resigned.
    pub(crate) fn has_resigned(&self) -> bool {
        self.resigned
    }

    /// Notes that a hub has resigned.
    pub(crate) fn on_resigned(&mut self, from: &Sender) {
        if let Some(state) = self.centres.get_mut(&from.centre) {
            state.passed_over.insert(from.instance.clone());
            if state.hub.as_ref() == Some(&from.instance) {
                state.hub = None;
            }
        }
    }

    /// Notes that a daemon spoke as the hub of its data centre.
    pub(crate) fn on_hub_message(&mut self, from: &Sender, peers: &Peers, now: Millis) {
        let better = self.outranks(from, peers, now);
        let Some(state) = self.centres.get_mut(&from.centre) else {
            return;
        };
        state.passed_over.remove(&from.instance);
        if better || state.hub.as_ref() == Some(&from.instance) {
            state.hub = Some(from.instance.clone());
            state.since = now;
        }
    }

    /// Notes that another daemon takes this one for the hub of its data centre. It has the time
    /// to speak for itself that any other has.
    pub(crate) fn on_reported(&mut self, hub: &Sender, peers: &Peers, now: Millis) {
        let better = self.outranks(hub, peers, now);
        let Some(state) = self.centres.get_mut(&hub.centre) else {
            return;
        };
        // Whoever tells has heard it a moment ago, even where this daemon has not.
        state.passed_over.remove(&hub.instance);
        if better {
            state.hub = Some(hub.instance.clone());
            state.since = now;
        }
    }

    /// Whether a daemon comes before the one that is taken for the hub of its data centre.
    fn outranks(&mut self, from: &Sender, peers: &Peers, now: Millis) -> bool {
        let current = self.hub(&from.centre, peers, now);
        let before = |hub: &Instance| peers.rank(&from.instance) < peers.rank(hub);
        current.is_none_or(|hub| before(&hub))
    }

    /// Who is taken for the hub of a data centre now.
    pub(crate) fn hub(
        &mut self,
        centre: &DataCentre,
        peers: &Peers,
        now: Millis,
    ) -> Option<Instance> {
        if !self.centres.contains_key(centre) {
            self.centres.insert(centre.clone(), CentreHub::new(now));
        }
        let (me, resigned) = (&self.me, self.resigned);
        let state = self.centres.get_mut(centre)?;
        if let Some(hub) = &state.hub {
            let last_datagram = peers.get(hub).and_then(|p| p.last_datagram);
            let last = last_datagram.unwrap_or(Millis(0)).max(state.since);
            let silent = hub != me && now.since(last) >= SILENT_MS;
            // This daemon is the hub only while it knows of none before it.
            let known = hub != me && peers.get(hub).is_some();
            if !silent && known {
                return Some(hub.clone());
            }
            if silent {
                state.passed_over.insert(hub.clone());
            }
        }
        let first = |state: &CentreHub| {
            let able = peers.ranked(centre).filter(|c| *c != me || !resigned);
            let mut candidates = able.filter(|c| !state.passed_over.contains(*c));
            candidates.next().cloned()
        };
        let next = first(state).or_else(|| {
            // Perhaps it was this daemon that could not hear them.
            state.passed_over.clear();
            first(state)
        });
        if next != state.hub {
            state.since = now;
            state.hub.clone_from(&next);
        }
        next
    }
}
