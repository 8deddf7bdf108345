//! Who chooses the upstream for a request, and word of it between the two.
//!
//! A request of this daemon goes to the daemon that chooses for its model or service, or to the
//! router here; requests of others come to the router here. `dispatch` and `desk` decide.

use crate::chooser::Chooser;
use crate::desk::OPEN_EVERY_MS;
use crate::dispatch::{Answer, AskNote, EndNote, Progressed, Step, Ticket};
use crate::job::{org, LIMITS};
use crate::message::{Message, Sender, Tag};
use crate::state::Gateway;
use shaleline_route::{Ask, AttemptNumber, End, Route, RouteAction, RouteEvent};
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
    pub(crate) fn ask_for(&self, ask: Ask) {
        let now = self.now();
        let answers = |hub| self.asked.borrow().trusts(hub, now);
        let key = key_of(&ask.route);
        let chooser = self.mesh.borrow_mut().chooser(key, answers, now);
        if self.refuse_suspect(&ask, chooser == Chooser::Nobody) {
            return;
        }
        match chooser {
            Chooser::Other(to) => {
                let message = self.asked.borrow_mut().ask(ask, to, now);
                self.send(vec![(to, message)]);
            }
            Chooser::Me | Chooser::Nobody => self.route(RouteEvent::Arrive(Box::new(ask))),
        }
    }

    /// Notes the first byte of an answer.
    pub(crate) fn on_first_byte(&self, id: RequestId, attempt: AttemptNumber) {
        if !self.report(id, Progressed::FirstByte(attempt)) {
            self.route(RouteEvent::FirstByte { id, attempt });
        }
    }

    /// Notes that more of an answer came from an upstream.
    pub(crate) fn on_progress(&self, id: RequestId, attempt: AttemptNumber, from: &Upstream) {
        if self.asked.borrow().has(id) {
            self.alive.borrow_mut().insert(Tag::of_upstream(from));
        } else {
            self.route(RouteEvent::Progress { id, attempt });
        }
    }

    /// Notes how a send ended.
    pub(crate) fn on_end(&self, id: RequestId, attempt: AttemptNumber, end: End) {
        if !self.report(id, Progressed::Ended(attempt, EndNote::of(end))) {
            self.route(RouteEvent::Ended { id, attempt, end });
        }
    }

    /// Notes that the caller of a request has gone.
    pub(crate) fn on_caller_gone(&self, id: RequestId) {
        if !self.report(id, Progressed::Gone) {
            self.route(RouteEvent::CallerGone(id));
        }
    }

    /// Notes that an engine does not hold what a request asked it for.
    pub(crate) fn tell_missing(
        &self,
        id: RequestId,
        engine: &Upstream,
        model: &Model,
        adapter: Option<&Adapter>,
    ) {
        let to = self.asked.borrow().chooser_of(id);
        let message = Message::Missing {
            engine: engine.clone(),
            model: model.clone(),
            adapter: adapter.cloned(),
        };
        self.send(to.map(|t| (t, message)).into_iter().collect());
    }

    /// Tells whoever chose for a request what became of it; false where that is this daemon.
    fn report(&self, id: RequestId, what: Progressed) -> bool {
        let message = self.asked.borrow_mut().report(id, what, self.now());
        let remote = message.is_some();
        self.send(message.into_iter().collect());
        remote
    }

    /// Asks again for what has no answer, and gives up the requests of daemons that are gone.
    pub(crate) fn drive_choosing(&self) {
        let now = self.now();
        let steps = self.asked.borrow_mut().tick(now);
        for step in steps {
            match step {
                Step::Tell(to, message) => self.send(vec![(to, *message)]),
                // Another one is asked where there is one; each has its own time to answer.
                Step::Decide(ask) => self.ask_for(*ask),
                Step::GiveUp(id) => self.hand(&RouteAction::Refuse {
                    id,
                    kind: ErrorKind::UpstreamFailed,
                    retry: None,
                }),
            }
        }
        let gone = self.desk.borrow_mut().tick(now);
        gone.into_iter().for_each(|id| self.close_guest(id));
        if now.since(self.told_open.get()) >= OPEN_EVERY_MS {
            self.told_open.set(now);
            self.tell_open();
        }
    }

    /// Tells those that choose for this daemon what is open.
    fn tell_open(&self) {
        let open = self.asked.borrow().open();
        let alive: Vec<Tag> = std::mem::take(&mut *self.alive.borrow_mut())
            .into_iter()
            .collect();
        let mut told = self.open_at.borrow_mut();
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
        self.desk.borrow_mut().close(id);
        self.route(RouteEvent::CallerGone(id));
    }

    fn answer(&self, to: SocketAddr, ticket: Ticket, answer: Answer) {
        self.send(vec![(to, Message::Answer(ticket, answer))]);
    }

    /// Takes in a request of another daemon.
    pub(crate) fn take_ask(&self, from: &Sender, ticket: Ticket, note: AskNote) {
        let now = self.now();
        if !self.desk.borrow().knows(ticket) {
            let id = self.next_id();
            self.desk.borrow_mut().open(ticket, from.address, id, now);
            self.first_request.notify_one();
            let ask = note.into_ask(id, org(), LIMITS, now);
            self.route(RouteEvent::Arrive(Box::new(ask)));
            // What was decided has been answered.
            if self.desk.borrow_mut().answer(ticket, now) != Answer::Queued {
                return;
            }
        }
        self.take_poll(from, ticket);
    }

    /// Says again what was decided about a request of another daemon.
    pub(crate) fn take_poll(&self, from: &Sender, ticket: Ticket) {
        let answer = self.desk.borrow_mut().answer(ticket, self.now());
        self.answer(from.address, ticket, answer);
    }

    /// Takes in what became of a request of another daemon.
    pub(crate) fn take_progressed(&self, ticket: Ticket, what: Progressed) {
        let Some(id) = self.desk.borrow().find(ticket) else {
            return;
        };
        match what {
            Progressed::FirstByte(attempt) => self.route(RouteEvent::FirstByte { id, attempt }),
            Progressed::Gone => self.close_guest(id),
            Progressed::Ended(attempt, end) => {
                let end = end.to_end();
                if end == End::NotSent {
                    self.note_unreached(id);
                }
                self.desk.borrow_mut().wait(id);
                self.route(RouteEvent::Ended { id, attempt, end });
                if matches!(end, End::Whole | End::Cancelled) {
                    self.desk.borrow_mut().close(id);
                }
            }
        }
    }

    /// An engine refused another daemon's connection.
    fn note_unreached(&self, id: RequestId) {
        let at = self.router.borrow().upstream_of(id).cloned();
        if let Some(at) = at {
            self.with_fleet(&at, |f| f.note_unreachable(&at, self.now()));
        }
    }

    /// Takes in what another daemon has open.
    pub(crate) fn take_open(&self, from: &Sender, requests: &[u64], alive: &[Tag]) {
        let now = self.now();
        let ended = self
            .desk
            .borrow_mut()
            .on_open(from.incarnation, requests, now);
        ended.into_iter().for_each(|id| self.close_guest(id));
        let names = self.upstream_tags.borrow();
        let mut router = self.router.borrow_mut();
        for upstream in alive.iter().filter_map(|t| names.get(t)) {
            router.note_alive(upstream, now);
        }
    }

    /// Takes in what another daemon chose for a request of this one.
    pub(crate) fn take_answer(&self, ticket: Ticket, answer: Answer) {
        let actions = self
            .asked
            .borrow_mut()
            .on_answer(ticket, answer, self.now());
        for action in actions {
            match &action {
                RouteAction::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } if self.is_out_of_use(upstream) => self.on_end(*id, *attempt, End::Refused),
                _ => self.hand(&action),
            }
        }
    }

    /// Whether this daemon knows that an upstream gets no new work, or does not know it.
    fn is_out_of_use(&self, upstream: &Upstream) -> bool {
        self.roster.borrow().is_leaving(upstream)
    }

    /// Gives an action to the request that it is about, of this daemon or of another.
    pub(crate) fn hand(&self, action: &RouteAction) {
        let (RouteAction::Send { id, .. }
        | RouteAction::Cancel { id, .. }
        | RouteAction::Refuse { id, .. }) = action;
        let id = *id;
        if self.tell_request(id, action) {
            return;
        }
        let answer = Answer::of(action);
        let reply = self.desk.borrow_mut().decide(id, answer, self.now());
        // A request that has just ended needs no more actions.
        if let Some((to, ticket, answer)) = reply {
            self.answer(to, ticket, answer);
        }
    }

    /// Takes back that an engine holds something.
    pub(crate) fn take_missing(&self, engine: &Upstream, model: &Model, adapter: Option<&Adapter>) {
        let now = self.now();
        self.with_fleet(engine, |f| f.note_absent(engine, model, adapter, now));
    }

    /// Stops choosing for others: this daemon stops.
    pub(crate) fn resign(&self) {
        let told = self.mesh.borrow_mut().resign(self.now());
        let messages = told.into_iter().map(|t| (t, Message::Resigned));
        self.send(messages.collect());
    }
}
