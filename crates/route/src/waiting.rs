//! Requests that wait or hang: they are sent as soon as there is room, moved, or given up.

use crate::queue::RouteQueue;
use crate::router::Open;
use crate::upstream::Flight;
use crate::{RouteAction, Router};
use shaleline_types::{ErrorKind, Millis, RequestId, Upstream};

/// How often old state is dropped, in milliseconds.
const PRUNE_EVERY: u64 = 1_000;

/// One in so many places that become free goes to the least urgent request that waits: with urgent work
/// alone on an upstream that has too much of it, all other would wait until its time is over.
const LEAST_URGENT_EVERY: u64 = 16;

impl Router {
    /// Serves what waits for this upstream, while it has room.
    pub(crate) fn pump(&mut self, upstream: &Upstream, now: Millis, out: &mut Vec<RouteAction>) {
        while let Some(id) = self.next_for(upstream, now) {
            let Some(open) = self.open.get(&id) else {
                return;
            };
            let (route, priority, org) = (
                open.ask.route.clone(),
                open.ask.priority,
                open.ask.org.clone(),
            );
            if let Some(queue) = self.queues.get_mut(&route) {
                queue.remove(priority, &org, id);
                queue.on_departure(now);
            }
            if let Some(back) = self.backs.get_mut(upstream) {
                back.departures += 1;
            }
            self.send(id, upstream, now, out);
        }
    }

    /// The most urgent request that may go there, the organisation served least first; now and then the
    /// least urgent one.
    pub(crate) fn next_for(&self, upstream: &Upstream, now: Millis) -> Option<RequestId> {
        let back = self.backs.get(upstream)?;
        if !back.has_room(now) {
            return None;
        }
        let queues = back.routes.iter().filter_map(|r| self.queues.get(r));
        let heads = queues.flat_map(RouteQueue::heads);
        let allowed = heads.filter(|h| {
            let open = self.open.get(&h.id);
            let in_time = open.is_none_or(|o| self.chooser(&o.ask, now).allows(back, &o.ask));
            let refusing = open.is_some_and(|o| back.is_refusing(&o.ask.route, now));
            // After a suspension its time may be over before the next tick gives it up.
            let due = open.is_none_or(|o| o.ask.due > now);
            let may_go = due && open.is_none_or(|o| self.may_go(&o.ask, upstream, back));
            in_time && !refusing && back.has_room_for(h.org, now) && may_go
        });
        let least_urgent = (back.departures + 1) % LEAST_URGENT_EVERY == 0;
        let best = allowed.min_by(|a, b| {
            let (a, b) = match least_urgent && a.priority != b.priority {
                true => (b, a),
                false => (a, b),
            };
            let start = |h: &crate::queue::Head<'_>| back.start_of(h.org);
            a.priority
                .cmp(&b.priority)
                .then(start(a).total_cmp(&start(b)))
                .then(a.id.cmp(&b.id))
        })?;
        Some(best.id)
    }

    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        self.refuse_overdue(now, out);
        self.refuse_barred(now, out);
        self.move_stalled(now, out);
        self.pump_all(now, out);
        if now.since(self.pruned) >= PRUNE_EVERY {
            self.pruned = now;
            self.backs.values_mut().for_each(|b| b.prune(now));
            self.limiter.prune(now);
            self.drop_old_crashes(now);
            self.shares.prune(now);
        }
    }

    /// Serves what waits wherever there is room by now.
    pub(crate) fn pump_all(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        if self.queues.values().all(RouteQueue::is_empty) {
            return;
        }
        let names: Vec<Upstream> = self.backs.keys().cloned().collect();
        for name in names {
            self.pump(&name, now, out);
        }
    }

    /// What can no longer start in time gets its final answer now.
    pub(crate) fn refuse_overdue(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let overdue: Vec<RequestId> = self.queues.values().flat_map(|q| q.overdue(now)).collect();
        for id in overdue {
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            let ask = open.ask.clone();
            let served = self.is_served(&ask.route);
            self.unqueue(&ask);
            let kind = match (served, open_was_sent(self.open.get(&id))) {
                (_, true) => ErrorKind::BrokenStream,
                (true, false) => ErrorKind::DeadlineUnmet,
                (false, false) => ErrorKind::NoUpstream,
            };
            self.give_up(id, kind, out);
        }
    }

    /// Opens the breaker of an upstream from which nothing comes while requests hang, and
    /// sends those elsewhere that may be repeated.
    pub(crate) fn move_stalled(&mut self, now: Millis, out: &mut Vec<RouteAction>) {
        let mut stalled = Vec::new();
        let working = self.backs.iter_mut().filter(|(_, b)| !b.flights.is_empty());
        for (name, back) in working {
            let quiet = now.since(back.last_byte);
            let hangs =
                |f: &Flight| !f.answered && now.since(f.sent) >= f.stall && quiet >= f.stall;
            if !back.flights.values().any(hangs) {
                continue;
            }
            self.stats.opened += u64::from(back.breaker.trip(now));
            let ids = back
                .flights
                .iter()
                .filter(|(_, f)| hangs(f))
                .map(|(id, _)| *id);
            stalled.extend(ids.map(|id| (id, name.clone())));
        }
        for (id, upstream) in stalled {
            self.move_one(id, &upstream, now, out);
        }
    }

    pub(crate) fn move_one(
        &mut self,
        id: RequestId,
        from: &Upstream,
        now: Millis,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let elsewhere = self.choose(open, now).filter(|u| u != from);
        let most = open
            .ask
            .policy
            .max_attempts
            .unwrap_or(self.settings.max_attempts);
        let may_move = open.ask.repeatable && open.reached < most;
        let Some(upstream) = elsewhere.filter(|_| may_move) else {
            return;
        };
        let attempt = open.attempt;
        if let Some(back) = self.backs.get_mut(from) {
            back.on_end(id);
        }
        out.push(RouteAction::Cancel {
            id,
            attempt,
            upstream: from.clone(),
        });
        self.send(id, &upstream, now, out);
    }

    /// Takes every waiting request back, for a daemon that stops and has waited enough.
    pub fn refuse_waiting(&mut self, out: &mut Vec<RouteAction>) {
        let ids: Vec<RequestId> = self.queues.values().flat_map(RouteQueue::ids).collect();
        self.queues.clear();
        for id in ids {
            self.give_up(id, ErrorKind::Leaving, out);
        }
    }
}

fn open_was_sent(open: Option<&Open>) -> bool {
    open.is_some_and(|o| o.attempt > 0 && o.first)
}
