//! Elects the hub of each data centre.
//!
//! The hub is the first of its daemons that is not silent. Daemons elect by their own knowledge;
//! where they disagree this costs extra messages or store calls.

use crate::message::Sender;
use crate::peers::Peers;
use shaleline_types::{DataCentre, Instance, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// A hub that has sent nothing for this long is passed over: four of its messages.
pub(crate) const SILENT_MS: u64 = 1_200;

/// The hub of a data centre, and when it started to be expected to send messages.
#[derive(Debug, Clone)]
struct CentreHub {
    hub: Option<Instance>,
    since: Millis,
    /// The daemons that were silent, until they send messages as a hub.
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

/// The hubs as this daemon sees them.
#[derive(Debug)]
pub(crate) struct HubElection {
    me: Instance,
    /// Whether this daemon stops and is no longer a hub.
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

    /// Records that this daemon stops and is no longer a hub.
    pub(crate) fn resign(&mut self) {
        self.resigned = true;
    }

    /// Whether this daemon has resigned.
    pub(crate) fn has_resigned(&self) -> bool {
        self.resigned
    }

    /// Records that a hub has resigned.
    pub(crate) fn on_resigned(&mut self, from: &Sender) {
        if let Some(state) = self.centres.get_mut(&from.centre) {
            state.passed_over.insert(from.instance.clone());
            if state.hub.as_ref() == Some(&from.instance) {
                state.hub = None;
            }
        }
    }

    /// Records that a daemon sent a message as the hub of its data centre.
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

    /// Records that another daemon lists `hub` as the hub of its data centre. The listed hub gets
    /// the same time as any other to send a message itself.
    pub(crate) fn on_reported(&mut self, hub: &Sender, peers: &Peers, now: Millis) {
        let better = self.outranks(hub, peers, now);
        let Some(state) = self.centres.get_mut(&hub.centre) else {
            return;
        };
        // The daemon that lists the hub has received messages from it recently, even if this one
        // has not.
        state.passed_over.remove(&hub.instance);
        if better {
            state.hub = Some(hub.instance.clone());
            state.since = now;
        }
    }

    /// Whether a daemon ranks before the current hub of its data centre.
    fn outranks(&mut self, from: &Sender, peers: &Peers, now: Millis) -> bool {
        let current = self.hub(&from.centre, peers, now);
        let before = |hub: &Instance| peers.rank(&from.instance) < peers.rank(hub);
        current.is_none_or(|hub| before(&hub))
    }

    /// The hub of a data centre as this daemon sees it now.
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
            // This daemon is the hub only while it knows of none that ranks before it.
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
            // All daemons are passed over: this daemon's own link may have been the fault, so try
            // them again.
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
