//! Who chooses the upstream for a request, and word of it between the two.
//!
//! A request of this daemon goes to the daemon that chooses for its model or service, or to the
//! router here; requests of others come to the router here. `dispatch` and `desk` decide.

use crate::dispatch::{Answer, AskNote, EndNote, ProgressNote, Step, Ticket};
use crate::job::{org, LIMITS};
use crate::message::{Message, Sender, Tag};
use crate::peer_requests::OPEN_INTERVAL_MS;
use crate::selector::Selector;
use crate::state::Gateway;
use shaleline_route::{AttemptEnd, AttemptNumber, Route, RouteAction, RouteEvent, RouteRequest};
use shaleline_types::{Adapter, ErrorKind, Model, RequestId, Upstream};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What is shared among those that choose: a model with its adapters, or a service.
fn key_of(route: &Route) -> &str {
    match route {
        Route::Model { model, .. } => model.as_str(),
        Route::Service(service) => service.as_str(),
    }
}

impl Gateway {
    /// Asks for an upstream, here or there.
    pub(crate) fn request_upstream(&self, ask: RouteRequest) {
        let now = self.now();
        let answers = |hub| self.delegated.borrow().trusts(hub, now);
        let key = key_of(&ask.route);
        let chooser = self.mesh.borrow_mut().chooser(key, answers, now);
        if self.refuse_suspect(&ask, chooser == Selector::NoHub) {
            return;
        }
        match chooser {
            Selector::Remote(to) => {
                let message = self.delegated.borrow_mut().ask(ask, to, now);
                self.send(vec![(to, message)]);
            }
            Selector::Local | Selector::NoHub => self.route(RouteEvent::Arrive(Box::new(ask))),
        }
    }

    /// Notes the first byte of an answer.
    pub(crate) fn on_first_byte(&self, id: RequestId, attempt: AttemptNumber) {
        if !self.report(id, ProgressNote::FirstByte(attempt)) {
            self.route(RouteEvent::FirstByte { id, attempt });
        }
    }

    /// Notes that more of an answer came from an upstream.
    pub(crate) fn on_progress(&self, id: RequestId, attempt: AttemptNumber, from: &Upstream) {
        if self.delegated.borrow().has(id) {
            self.active_upstreams
                .borrow_mut()
                .insert(Tag::of_upstream(from));
        } else {
            self.route(RouteEvent::Progress { id, attempt });
        }
    }

    /// Notes how a send ended.
    pub(crate) fn on_end(&self, id: RequestId, attempt: AttemptNumber, end: AttemptEnd) {
        if !self.report(id, ProgressNote::Ended(attempt, EndNote::of(end))) {
            self.route(RouteEvent::Ended { id, attempt, end });
        }
    }

    /// Notes that the caller of a request has gone.
    pub(crate) fn on_caller_gone(&self, id: RequestId) {
        if !self.report(id, ProgressNote::Gone) {
            self.route(RouteEvent::CallerGone(id));
        }
    }

    /// Notes that an engine does not hold what a request asked it for.
    pub(crate) fn report_missing(
        &self,
        id: RequestId,
        engine: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let to = self.delegated.borrow().chooser_of(id);
        let message = Message::Missing {
            engine: engine.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        self.send(to.map(|t| (t, message)).into_iter().collect());
    }

    /// Tells whoever chose for a request what became of it; false where that is this daemon.
    fn report(&self, id: RequestId, what: ProgressNote) -> bool {
        let message = self.delegated.borrow_mut().report(id, what, self.now());
        let remote = message.is_some();
        self.send(message.into_iter().collect());
        remote
    }

    /// Asks again for what has no answer, and gives up the requests of daemons that are gone.
    pub(crate) fn tick_selection(&self) {
        let now = self.now();
        let steps = self.delegated.borrow_mut().tick(now);
        for step in steps {
            match step {
                Step::Tell(to, message) => self.send(vec![(to, *message)]),
                // Another one is asked where there is one; each has its own time to answer.
                Step::Decide(ask) => self.request_upstream(*ask),
                Step::GiveUp(id) => self.deliver(&RouteAction::Refuse {
                    id,
                    kind: ErrorKind::UpstreamFailed,
                    retry: None,
                }),
            }
        }
        let gone = self.peer_requests.borrow_mut().tick(now);
        gone.into_iter().for_each(|id| self.close_guest(id));
        if now.since(self.open_reported.get()) >= OPEN_INTERVAL_MS {
            self.open_reported.set(now);
            self.tell_open();
        }
    }

    /// Tells those that choose for this daemon what is open.
    fn tell_open(&self) {
        let open = self.delegated.borrow().open();
        let alive: Vec<Tag> = std::mem::take(&mut *self.active_upstreams.borrow_mut())
            .into_iter()
            .collect();
        let mut told = self.open_receivers.borrow_mut();
        let ended: Vec<SocketAddr> = told
            .iter()
            .filter(|t| !open.contains_key(*t))
            .copied()
            .collect();
        *told = open.keys().copied().collect::<BTreeSet<SocketAddr>>();
        drop(told);
        let open = open
            .into_iter()
            .chain(ended.into_iter().map(|e| (e, Vec::new())));
        let messages = open.map(|(to, requests)| {
            let alive = alive.clone();
            (to, Message::Open { requests, alive })
        });
        self.send(messages.collect());
    }

    fn close_guest(&self, id: RequestId) {
        self.peer_requests.borrow_mut().close(id);
        self.route(RouteEvent::CallerGone(id));
    }

    fn answer(&self, to: SocketAddr, ticket: Ticket, answer: Answer) {
        self.send(vec![(to, Message::Answer(ticket, answer))]);
    }

    /// Takes in a request of another daemon.
    pub(crate) fn handle_ask(&self, from: &Sender, ticket: Ticket, note: AskNote) {
        let now = self.now();
        if !self.peer_requests.borrow().knows(ticket) {
            let id = self.next_id();
            self.peer_requests
                .borrow_mut()
                .open(ticket, from.address, id, now);
            self.first_request.notify_one();
            let ask = note.into_ask(id, org(), LIMITS, now);
            self.route(RouteEvent::Arrive(Box::new(ask)));
            // What was decided has been answered.
            if self.peer_requests.borrow_mut().answer(ticket, now) != Answer::Queued {
                return;
            }
        }
        self.handle_poll(from, ticket);
    }

    /// Says again what was decided about a request of another daemon.
    pub(crate) fn handle_poll(&self, from: &Sender, ticket: Ticket) {
        let answer = self.peer_requests.borrow_mut().answer(ticket, self.now());
        self.answer(from.address, ticket, answer);
    }

    /// Takes in what became of a request of another daemon.
    pub(crate) fn handle_progress(&self, ticket: Ticket, what: ProgressNote) {
        let Some(id) = self.peer_requests.borrow().find(ticket) else {
            return;
        };
        match what {
            ProgressNote::FirstByte(attempt) => self.route(RouteEvent::FirstByte { id, attempt }),
            ProgressNote::Gone => self.close_guest(id),
            ProgressNote::Ended(attempt, end) => {
                let end = end.to_end();
                if end == AttemptEnd::NotSent {
                    self.note_unreached(id);
                }
                self.peer_requests.borrow_mut().wait(id);
                self.route(RouteEvent::Ended { id, attempt, end });
                if matches!(end, AttemptEnd::Whole | AttemptEnd::Cancelled) {
                    self.peer_requests.borrow_mut().close(id);
                }
            }
        }
    }

    /// An engine refused another daemon's connection.
    fn note_unreached(&self, id: RequestId) {
        let at = self.router.borrow().upstream_of(id).cloned();
        if let Some(at) = at {
            self.with_fleet(&at, |f| f.record_unreachable(&at, self.now()));
        }
    }

    /// Takes in what another daemon has open.
    pub(crate) fn handle_open(&self, from: &Sender, requests: &[u64], alive: &[Tag]) {
        let now = self.now();
        let ended = self
            .peer_requests
            .borrow_mut()
            .on_open(from.incarnation, requests, now);
        ended.into_iter().for_each(|id| self.close_guest(id));
        let names = self.upstream_tags.borrow();
        let mut router = self.router.borrow_mut();
        for upstream in alive.iter().filter_map(|t| names.get(t)) {
            router.record_activity(upstream, now);
        }
    }

    /// Takes in what another daemon chose for a request of this one.
    pub(crate) fn handle_answer(&self, ticket: Ticket, answer: Answer) {
        let actions = self
            .delegated
            .borrow_mut()
            .on_answer(ticket, answer, self.now());
        for action in actions {
            match &action {
                RouteAction::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } if self.is_out_of_use(upstream) => {
                    self.on_end(*id, *attempt, AttemptEnd::Refused);
                }
                _ => self.deliver(&action),
            }
        }
    }

    /// Whether this daemon knows that an upstream gets no new work, or does not know it.
    fn is_out_of_use(&self, upstream: &Upstream) -> bool {
        self.roster.borrow().is_leaving(upstream)
    }

    /// Gives an action to the request that it is about, of this daemon or of another.
    pub(crate) fn deliver(&self, action: &RouteAction) {
        let (RouteAction::Send { id, .. }
        | RouteAction::Cancel { id, .. }
        | RouteAction::Refuse { id, .. }) = action;
        let id = *id;
        if self.notify_request(id, action) {
            return;
        }
        let answer = Answer::of(action);
        let reply = self
            .peer_requests
            .borrow_mut()
            .decide(id, answer, self.now());
        // A request that has just ended needs no more actions.
        if let Some((to, ticket, answer)) = reply {
            self.answer(to, ticket, answer);
        }
    }

    /// Takes back that an engine holds something.
    pub(crate) fn handle_missing(
        &self,
        engine: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let now = self.now();
        self.with_fleet(engine, |f| f.record_absent(engine, model, adapter, now));
    }

    /// Stops choosing for others: this daemon stops.
    pub(crate) fn resign(&self) {
        let told = self.mesh.borrow_mut().resign(self.now());
        let messages = told.into_iter().map(|t| (t, Message::Resigned));
        self.send(messages.collect());
    }
}
