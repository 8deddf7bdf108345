//! Selects the upstream for a request, here or at a hub, and exchanges the messages for it.
//!
//! A request of this daemon goes to the hub that selects for its model or service, or to the local
//! router; requests that other daemons delegate go to the local router. The decisions are in
//! `dispatch` and `peer_requests`.

use crate::dispatch::{
    Answer, Ask, EndNote, Exclusion, MeasurementNote, OrderNote, ProgressNote, Step, Ticket,
};
use crate::job::{org, LIMITS};
use crate::journal::emit;
use crate::message::{Message, Sender, Tag};
use crate::peer_requests::OPEN_INTERVAL_MS;
use crate::selector::Selector;
use crate::state::Gateway;
use shaleline_route::{
    AttemptEnd, AttemptNumber, Measurement, Route, RouteAction, RouteEvent, RouteRequest,
};
use shaleline_types::{Adapter, ErrorKind, LogEvent, Millis, Model, RequestId, Upstream};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The key by which hubs share the selection: a model with its adapters, or a service.
fn sharing_key(route: &Route) -> &str {
    match route {
        Route::Model { model, .. } => model.as_str(),
        Route::Service(service) => service.as_str(),
    }
}

impl Gateway {
    /// Requests an upstream, from the local router or from a hub.
    pub(crate) fn request_upstream(&self, mut request: RouteRequest) {
        let now = self.now();
        request.excluded = self.resting();
        let available = |hub| self.delegated.borrow().is_available(hub, now);
        let key = sharing_key(&request.route);
        let selector = self.membership.borrow_mut().selector(key, available, now);
        self.log_first_selection(selector);
        if self.refuse_suspect(&request, selector == Selector::NoHub) {
            return;
        }
        match selector {
            Selector::Remote(to) => {
                let message = self.delegated.borrow_mut().ask(request, to, now);
                self.send(vec![(to, message)]);
            }
            Selector::Local | Selector::NoHub => self.admit_to_router(request),
        }
    }

    /// Logs what this daemon knows of the others when it first needs an upstream.
    fn log_first_selection(&self, selector: Selector) {
        if self.has_selected.replace(true) {
            return;
        }
        let now = self.now();
        let centres = self.settings.centres;
        let members = self.membership.borrow_mut().log_detail(centres, now);
        let maxima = self.upstream_limits.borrow().fragile_services().len();
        let uptime = now.since(self.started);
        let selectors = self.selectors();
        let detail = format!(
            "selector={selector} up_ms={uptime} {members} selectors={selectors} fragile_services={maxima}"
        );
        emit(LogEvent::FirstSelection, &detail);
    }

    /// Passes a request to the local router, and logs if it is refused at once.
    fn admit_to_router(&self, request: RouteRequest) {
        let (id, route, daemon) = (request.id, request.route.clone(), request.daemon);
        let before = self.router.borrow().stats().refused;
        self.route(RouteEvent::Arrive(Box::new(request)));
        let router = self.router.borrow();
        let now = self.now();
        if router.stats().refused == before || !self.log_budget.take(now) {
            return;
        }
        let state = router.occupancy(&route, now);
        let detail = format!(
            "number={} daemon={daemon:016x} route={route} upstreams={} open={} full={} overdue={} lost={} queued={}",
            id.0, state.upstreams, state.open, state.full, state.overdue, state.lost, state.queued,
        );
        emit(LogEvent::SelectionRefused, &detail);
    }

    /// Records the first byte of an answer.
    pub(crate) fn on_first_byte(&self, id: RequestId, attempt: AttemptNumber) {
        if !self.report(id, ProgressNote::FirstByte(attempt)) {
            self.route(RouteEvent::FirstByte { id, attempt });
        }
    }

    /// Records how fast the upstream of an attempt works.
    pub(crate) fn on_measured(
        &self,
        id: RequestId,
        attempt: AttemptNumber,
        measurement: Measurement,
    ) {
        let note = MeasurementNote::of(&measurement);
        if !self.report(id, ProgressNote::Measured(attempt, note)) {
            self.route(RouteEvent::Measured {
                id,
                attempt,
                measurement,
            });
        }
    }

    /// Records that more of an answer arrived from an upstream.
    pub(crate) fn on_progress(&self, id: RequestId, attempt: AttemptNumber, from: &Upstream) {
        self.with_paths(from, |p| p.on_bytes(from));
        if self.delegated.borrow().has(id) {
            self.active_upstreams
                .borrow_mut()
                .insert(Tag::of_upstream(from));
        } else {
            self.route(RouteEvent::Progress { id, attempt });
        }
    }

    /// Records how an attempt ended.
    pub(crate) fn on_end(&self, id: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        if end == AttemptEnd::Whole {
            let parts = self.delegated.borrow().parts_of(id);
            self.router.borrow_mut().record_answered(&parts, self.now());
        }
        if !self.report(id, ProgressNote::Ended(attempt, EndNote::of(end))) {
            self.exclude_upstream(id, attempt, end);
            self.route(RouteEvent::Ended { id, attempt, end });
        }
    }

    /// Records that the caller of a request left.
    pub(crate) fn on_caller_gone(&self, id: RequestId) {
        if !self.report(id, ProgressNote::Gone) {
            self.route(RouteEvent::CallerGone(id));
        }
    }

    /// Reports to the hub that an engine does not hold the model or adapter that a request needs.
    pub(crate) fn report_missing(
        &self,
        id: RequestId,
        engine: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let to = self.delegated.borrow().hub_of(id);
        let message = Message::Missing {
            engine: engine.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        self.send(to.map(|t| (t, message)).into_iter().collect());
    }

    /// Reports the progress of a request to its hub; returns false if this daemon selects for it.
    fn report(&self, id: RequestId, what: ProgressNote) -> bool {
        let message = self.delegated.borrow_mut().report(id, what, self.now());
        let remote = message.is_some();
        self.send(message.into_iter().collect());
        remote
    }

    /// Resends unanswered messages and cancels the requests of daemons that are gone.
    pub(crate) fn tick_selection(&self) {
        let now = self.now();
        let steps = self.delegated.borrow_mut().tick(now);
        for step in steps {
            match step {
                Step::Send(to, message) => self.send(vec![(to, *message)]),
                // The next hub is asked if there is one; each hub has its own time to answer.
                Step::SelectHere(request) => self.request_upstream(*request),
                Step::Fail(id) => self.deliver(&RouteAction::Refuse {
                    id,
                    kind: ErrorKind::UpstreamFailed,
                    retry: None,
                }),
            }
        }
        let gone = self.peer_requests.borrow_mut().tick(now);
        gone.into_iter().for_each(|id| self.close_peer_request(id));
        if now.since(self.open_reported.get()) >= OPEN_INTERVAL_MS {
            self.open_reported.set(now);
            self.report_open();
        }
    }

    /// Reports the open requests of this daemon to their hubs.
    fn report_open(&self) {
        let open = self.delegated.borrow().open();
        let alive: Vec<Tag> = std::mem::take(&mut *self.active_upstreams.borrow_mut())
            .into_iter()
            .collect();
        let mut receivers = self.open_receivers.borrow_mut();
        let ended: Vec<SocketAddr> = receivers
            .iter()
            .filter(|t| !open.contains_key(*t))
            .copied()
            .collect();
        *receivers = open.keys().copied().collect::<BTreeSet<SocketAddr>>();
        drop(receivers);
        let open = open
            .into_iter()
            .chain(ended.into_iter().map(|e| (e, Vec::new())));
        let messages = open.map(|(to, requests)| {
            let alive = alive.clone();
            (to, Message::Open { requests, alive })
        });
        self.send(messages.collect());
    }

    fn close_peer_request(&self, id: RequestId) {
        self.peer_requests.borrow_mut().remove(id);
        self.route(RouteEvent::CallerGone(id));
    }

    fn answer(&self, to: SocketAddr, ticket: Ticket, answer: Answer) {
        self.send(vec![(to, Message::Answer(ticket, answer))]);
    }

    /// Handles a request that a daemon of the earlier release delegates.
    pub(crate) fn handle_ask(&self, from: &Sender, ask: Ask) {
        self.handle_ordered_ask(from, ask, OrderNote::unknown());
    }

    /// Handles a request that another daemon delegates.
    pub(crate) fn handle_ordered_ask(&self, from: &Sender, ask: Ask, order: OrderNote) {
        let (now, ticket) = (self.now(), ask.ticket);
        if !self.peer_requests.borrow().contains(ticket) {
            let id = self.next_id();
            self.peer_requests
                .borrow_mut()
                .open(ticket, from.address, id, now);
            self.first_request.notify_one();
            let mut request = ask.note.into_route_request(id, org(), LIMITS, now);
            request.daemon = ticket.incarnation;
            request.excluded = self.resolve_exclusions(&ask.excluded);
            request.version = ask.version;
            request.parts = ask.parts;
            order.apply(&mut request, now);
            self.admit_to_router(request);
            // The router's decision has been sent as the answer already.
            if self.peer_requests.borrow_mut().answer(ticket, now) != Answer::Queued {
                return;
            }
        }
        self.handle_poll(from, ticket);
    }

    /// Returns until when the upstreams are excluded. Those that this daemon does not know, it does
    /// not select either.
    fn resolve_exclusions(&self, excluded: &[Exclusion]) -> BTreeMap<Upstream, Millis> {
        let now = self.now();
        let names = self.upstream_tags.borrow();
        let known = excluded.iter().filter_map(|(tag, left)| {
            let name = names.get(tag)?;
            Some((name.clone(), now.plus(u64::from(*left))))
        });
        known.collect()
    }

    /// Sends the last answer to a request of another daemon again.
    pub(crate) fn handle_poll(&self, from: &Sender, ticket: Ticket) {
        let answer = self.peer_requests.borrow_mut().answer(ticket, self.now());
        self.answer(from.address, ticket, answer);
    }

    /// Handles the progress of a request of another daemon.
    pub(crate) fn handle_progress(&self, ticket: Ticket, what: ProgressNote) {
        let Some(id) = self.peer_requests.borrow().find(ticket) else {
            return;
        };
        match what {
            ProgressNote::FirstByte(attempt) => self.route(RouteEvent::FirstByte { id, attempt }),
            ProgressNote::Measured(attempt, note) => self.route(RouteEvent::Measured {
                id,
                attempt,
                measurement: note.to_measurement(),
            }),
            ProgressNote::Gone => self.close_peer_request(id),
            ProgressNote::Ended(attempt, end) => self.handle_end(id, attempt, end.to_end()),
        }
    }

    /// Handles the end of an attempt of another daemon's request. One that is not the current attempt
    /// says nothing about the upstream that was selected since: the message was late or duplicated.
    fn handle_end(&self, id: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        let is_over = matches!(end, AttemptEnd::Whole | AttemptEnd::Cancelled);
        if !is_over && !self.router.borrow().is_latest(id, attempt) {
            return;
        }
        let end = self.reconcile_leaving(id, end);
        if end == AttemptEnd::NotSent {
            self.record_refused_connection(id);
        }
        self.exclude_upstream(id, attempt, end);
        self.peer_requests.borrow_mut().set_queued(id);
        self.route(RouteEvent::Ended { id, attempt, end });
        if is_over {
            self.peer_requests.borrow_mut().remove(id);
        }
    }

    /// Records that an upstream takes nothing from the daemon of a request, for all of that
    /// daemon's requests.
    fn exclude_upstream(&self, id: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        let AttemptEnd::Resting(wait) = end else {
            return;
        };
        let requests = self.peer_requests.borrow();
        let mut router = self.router.borrow_mut();
        let Some(upstream) = router.upstream_of_attempt(id, attempt).cloned() else {
            return;
        };
        let daemon = requests.daemon_of(id);
        let until = self.now().plus(wait.0);
        router.exclude(&upstream, until, |other| {
            requests.daemon_of(other) == daemon
        });
    }

    /// Replaces the end of another daemon's send that did not happen because its upstream is
    /// leaving, if that is not known here. One of the two daemons is about to learn of it, or of a
    /// later incarnation, so that only this request avoids the upstream for a while.
    fn reconcile_leaving(&self, id: RequestId, end: AttemptEnd) -> AttemptEnd {
        let router = self.router.borrow();
        let known = router.upstream_of(id).is_none_or(|at| self.is_leaving(at));
        match end {
            AttemptEnd::Leaving if !known => AttemptEnd::Unfit,
            end => end,
        }
    }

    /// Records that an engine refused another daemon's connection.
    fn record_refused_connection(&self, id: RequestId) {
        let at = self.router.borrow().upstream_of(id).cloned();
        if let Some(at) = at {
            self.with_fleet(&at, |f| f.record_unreachable(&at, self.now()));
        }
    }

    /// Handles another daemon's report of its open requests.
    pub(crate) fn handle_open(&self, from: &Sender, requests: &[u64], alive: &[Tag]) {
        let now = self.now();
        let ended = self
            .peer_requests
            .borrow_mut()
            .on_open(from.incarnation, requests, now);
        ended.into_iter().for_each(|id| self.close_peer_request(id));
        let names = self.upstream_tags.borrow();
        let mut router = self.router.borrow_mut();
        for upstream in alive.iter().filter_map(|t| names.get(t)) {
            router.record_activity(upstream, now);
        }
    }

    /// Handles a hub's answer about a request of this daemon.
    pub(crate) fn handle_answer(&self, ticket: Ticket, answer: Answer) {
        if let Answer::SendDoubtful { upstream, .. } = &answer {
            self.doubt_paths(upstream);
        }
        let actions = self
            .delegated
            .borrow_mut()
            .on_answer(ticket, answer, self.now());
        actions.iter().for_each(|a| self.deliver(a));
    }

    /// Delivers an action to its request, of this daemon or of another one.
    pub(crate) fn deliver(&self, action: &RouteAction) {
        let (RouteAction::Send { id, .. }
        | RouteAction::Cancel { id, .. }
        | RouteAction::Refuse { id, .. }) = action;
        let id = *id;
        let doubtful = self.router.borrow().is_doubtful(id, self.now());
        if let (true, RouteAction::Send { upstream, .. }) = (doubtful, action) {
            self.doubt_own_paths(id, upstream);
        }
        if self.notify_request(id, action) {
            return;
        }
        let answer = match doubtful {
            true => Answer::of(action).into_doubtful(),
            false => Answer::of(action),
        };
        let reply = self
            .peer_requests
            .borrow_mut()
            .set_answer(id, answer, self.now());
        // A request that has just ended needs no more actions.
        if let Some((to, ticket, answer)) = reply {
            self.answer(to, ticket, answer);
        }
    }

    /// Doubts this daemon's paths if it is its own request that is sent.
    fn doubt_own_paths(&self, id: RequestId, upstream: &Upstream) {
        if self.peer_requests.borrow().daemon_of(id).is_none() {
            self.doubt_paths(upstream);
        }
    }

    /// Records that an engine does not hold a model or adapter.
    pub(crate) fn handle_missing(
        &self,
        engine: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let now = self.now();
        self.with_fleet(engine, |f| f.record_absent(engine, model, adapter, now));
    }

    /// Stops selecting for other daemons, because this daemon stops.
    pub(crate) fn resign(&self) {
        let receivers = self.membership.borrow_mut().resign(self.now());
        let messages = receivers.into_iter().map(|t| (t, Message::Resigned));
        self.send(messages.collect());
    }
}
