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
    passed: BTreeSet<Instance>,
}

impl CentreHub {
    fn new(now: Millis) -> Self {
        Self {
            hub: None,
            since: now,
            passed: BTreeSet::new(),
        }
    }
}

/// The hubs as this daemon believes.
#[derive(Debug)]
pub(crate) struct HubElection {
    me: Instance,
    /// Whether this daemon stops, and is no hub any more.
    resigned: bool,
    seats: BTreeMap<DataCentre, CentreHub>,
}

impl HubElection {
    pub(crate) fn new(me: Instance) -> Self {
        Self {
            me,
            resigned: false,
            seats: BTreeMap::new(),
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
        if let Some(seat) = self.seats.get_mut(&from.centre) {
            seat.passed.insert(from.instance.clone());
            if seat.hub.as_ref() == Some(&from.instance) {
                seat.hub = None;
            }
        }
    }

    /// Notes that a daemon spoke as the hub of its data centre.
    pub(crate) fn on_hub(&mut self, from: &Sender, peers: &Peers, now: Millis) {
        let better = self.is_better(from, peers, now);
        let Some(seat) = self.seats.get_mut(&from.centre) else {
            return;
        };
        seat.passed.remove(&from.instance);
        if better || seat.hub.as_ref() == Some(&from.instance) {
            seat.hub = Some(from.instance.clone());
            seat.since = now;
        }
    }

    /// Notes that another daemon takes this one for the hub of its data centre. It has the time
    /// to speak for itself that any other has.
    pub(crate) fn on_told(&mut self, hub: &Sender, peers: &Peers, now: Millis) {
        let better = self.is_better(hub, peers, now);
        let Some(seat) = self.seats.get_mut(&hub.centre) else {
            return;
        };
        // Whoever tells has heard it a moment ago, even where this daemon has not.
        seat.passed.remove(&hub.instance);
        if better {
            seat.hub = Some(hub.instance.clone());
            seat.since = now;
        }
    }

    /// Whether a daemon comes before the one that is taken for the hub of its data centre.
    fn is_better(&mut self, from: &Sender, peers: &Peers, now: Millis) -> bool {
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
        if !self.seats.contains_key(centre) {
            self.seats.insert(centre.clone(), CentreHub::new(now));
        }
        let (me, resigned) = (&self.me, self.resigned);
        let seat = self.seats.get_mut(centre)?;
        if let Some(hub) = &seat.hub {
            let heard = peers.get(hub).and_then(|p| p.heard);
            let last = heard.unwrap_or(Millis(0)).max(seat.since);
            let silent = hub != me && now.since(last) >= SILENT_MS;
            // This daemon is the hub only while it knows of none before it.
            let known = hub != me && peers.get(hub).is_some();
            if !silent && known {
                return Some(hub.clone());
            }
            if silent {
                seat.passed.insert(hub.clone());
            }
        }
        let first = |seat: &CentreHub| {
            let able = peers.ranked(centre).filter(|c| *c != me || !resigned);
            let mut candidates = able.filter(|c| !seat.passed.contains(*c));
            candidates.next().cloned()
        };
        let next = first(seat).or_else(|| {
            // Perhaps it was this daemon that could not hear them.
            seat.passed.clear();
            first(seat)
        });
        if next != seat.hub {
            seat.since = now;
            seat.hub.clone_from(&next);
        }
        next
    }
}
