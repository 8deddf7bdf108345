//! Admission, routing and retries: upstreams fail, hang, leave and send late answers.

use crate::tally::{Invariant, Tally};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    AttemptEnd, Limits, Load, RequestPolicy, Route, RouteAction, RouteEvent, RouteRequest, Router,
    RouterSettings, ShareBook, UpstreamInfo,
};
use shaleline_types::{DataCentre, Millis, Org, RequestId, Service, Upstream};
use std::collections::{BTreeMap, BTreeSet};

const STEPS: u64 = 4_000;
const SETTLE: u64 = 4_000;
const UPSTREAMS: u64 = 4;
const ORGS: u64 = 3;
const ROUTES: u64 = 2;
const SLOTS: usize = 4;
const CONCURRENCY: u64 = 12;

struct RequestState {
    org: Org,
    repeatable: bool,
    /// The current attempt and its upstream.
    current: Option<(u32, Upstream)>,
    /// Attempts that have ended or were cancelled.
    superseded: Vec<u32>,
    /// Whether any attempt may have been executed.
    may_have_run: bool,
    answers: u32,
}

struct Callers {
    router: Router,
    requests: BTreeMap<RequestId, RequestState>,
    leaving: BTreeSet<Upstream>,
    next: u64,
}

pub(crate) fn run(seed: u64, tally: &mut Tally) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let centre = DataCentre::from_text("dc1").expect("the name is valid");
    let settings = RouterSettings {
        queue_limit: 40,
        ..RouterSettings::new(centre)
    };
    let mut callers = Callers {
        router: Router::new(settings, ShareBook::alone("me")),
        requests: BTreeMap::new(),
        leaving: BTreeSet::new(),
        next: 0,
    };
    for step in 0..STEPS + SETTLE {
        tally.next_step();
        let now = Millis(step * 10);
        let settling = step >= STEPS;
        let event = if settling {
            callers.settle(&mut rng, step)
        } else {
            callers.random_event(&mut rng, now, tally)
        };
        if let Some(event) = event {
            callers.step(event, now, tally);
        }
        callers.check_limits(tally);
    }
    let unanswered = callers.requests.values().filter(|a| a.answers == 0).count();
    tally.check(Invariant::Settled, unanswered == 0, || {
        format!("{unanswered} requests have no answer")
    });
}

fn upstream(number: u64) -> Upstream {
    Upstream::from_text(&format!("up-{number}")).expect("the name is valid")
}

fn route(number: u64) -> Route {
    Route::Service(Service::from_text(&format!("s-{number}")).expect("the name is valid"))
}

fn upstream_info(number: u64) -> UpstreamInfo {
    let routes = if number % 2 == 0 {
        vec![route(0)]
    } else {
        vec![route(0), route(1)]
    };
    UpstreamInfo {
        centre: DataCentre::from_text(&format!("dc{number}")).expect("the name is valid"),
        routes,
        version: shaleline_types::SoftwareVersion::default(),
    }
}

impl Callers {
    fn random_event(
        &mut self,
        rng: &mut SmallRng,
        now: Millis,
        tally: &mut Tally,
    ) -> Option<RouteEvent> {
        let number = rng.random_range(0..UPSTREAMS);
        let name = upstream(number);
        Some(match rng.random_range(0..100) {
            0..30 => self.new_request(rng, now),
            30..60 => return self.random_end(rng, tally),
            60..70 => return self.random_first_byte(rng),
            70..72 => return self.stale_end(rng, tally),
            72..76 => {
                tally.count_fault();
                return self.caller_gone(rng);
            }
            76..84 => RouteEvent::Serves {
                upstream: name,
                info: upstream_info(number),
            },
            84..90 => RouteEvent::Report {
                upstream: name,
                load: Load {
                    running: rng.random_range(0..SLOTS + 2),
                    waiting: 0,
                    slots: SLOTS,
                    ..Load::default()
                },
            },
            90..93 => {
                tally.count_fault();
                let on = rng.random_range(0..2) == 0;
                if on {
                    self.leaving.insert(name.clone());
                } else {
                    self.leaving.remove(&name);
                }
                RouteEvent::Leaving { upstream: name, on }
            }
            93..94 => {
                tally.count_fault();
                RouteEvent::Removed(name)
            }
            _ => RouteEvent::Tick,
        })
    }

    /// Returns an event without faults: every upstream serves and every attempt succeeds.
    fn settle(&mut self, rng: &mut SmallRng, step: u64) -> Option<RouteEvent> {
        let number = step % UPSTREAMS;
        let name = upstream(number);
        match step % 5 {
            0 => {
                self.leaving.remove(&name);
                let on = false;
                Some(RouteEvent::Leaving { upstream: name, on })
            }
            1 => Some(RouteEvent::Serves {
                upstream: name,
                info: upstream_info(number),
            }),
            2 => Some(RouteEvent::Report {
                upstream: name,
                load: Load {
                    slots: SLOTS,
                    ..Load::default()
                },
            }),
            3 => Some(RouteEvent::Tick),
            _ => {
                let (id, attempt) = self.in_flight(rng)?;
                let end = AttemptEnd::Whole;
                Some(RouteEvent::Ended { id, attempt, end })
            }
        }
    }

    fn new_request(&mut self, rng: &mut SmallRng, now: Millis) -> RouteEvent {
        self.next += 1;
        let id = RequestId(self.next);
        let org = Org::from_text(&format!("org-{}", rng.random_range(0..ORGS)));
        let org = org.expect("the name is valid");
        let repeatable = rng.random_range(0..2) == 0;
        self.requests.insert(
            id,
            RequestState {
                org: org.clone(),
                repeatable,
                current: None,
                superseded: Vec::new(),
                may_have_run: false,
                answers: 0,
            },
        );
        RouteEvent::Arrive(Box::new(RouteRequest {
            daemon: 0,
            id,
            org,
            route: route(rng.random_range(0..ROUTES)),
            priority: rng.random_range(0..3),
            weight: 1,
            cost: rng.random_range(1..50),
            prefix: Vec::new(),
            block_sizes: Vec::new(),
            due: now.plus(rng.random_range(100..5_000)),
            repeatable,
            target: None,
            limits: Limits {
                rate: 1_000,
                concurrency: CONCURRENCY,
                tokens: 1_000_000,
            },
            policy: RequestPolicy::default(),
            identity: None,
            parts: Vec::new(),
            excluded: BTreeMap::new(),
            version: None,
        }))
    }

    fn in_flight(&self, rng: &mut SmallRng) -> Option<(RequestId, u32)> {
        let current: Vec<(RequestId, u32)> = self
            .requests
            .iter()
            .filter_map(|(id, a)| Some((*id, a.current.as_ref()?.0)))
            .collect();
        (!current.is_empty()).then(|| current[rng.random_range(0..current.len())])
    }

    fn random_end(&mut self, rng: &mut SmallRng, tally: &mut Tally) -> Option<RouteEvent> {
        let (id, attempt) = self.in_flight(rng)?;
        let end = match rng.random_range(0..100) {
            0..70 => AttemptEnd::Whole,
            70..80 => AttemptEnd::NotSent,
            80..85 => AttemptEnd::Refused,
            _ => AttemptEnd::Broken,
        };
        if end != AttemptEnd::Whole {
            tally.count_fault();
        }
        Some(RouteEvent::Ended { id, attempt, end })
    }

    fn random_first_byte(&mut self, rng: &mut SmallRng) -> Option<RouteEvent> {
        let (id, attempt) = self.in_flight(rng)?;
        Some(RouteEvent::FirstByte { id, attempt })
    }

    /// Returns a late answer to a superseded attempt.
    fn stale_end(&mut self, rng: &mut SmallRng, tally: &mut Tally) -> Option<RouteEvent> {
        let stale: Vec<(RequestId, u32)> = self
            .requests
            .iter()
            .filter(|(_, a)| a.answers == 0)
            .flat_map(|(id, a)| a.superseded.iter().map(|o| (*id, *o)))
            .collect();
        if stale.is_empty() {
            return None;
        }
        tally.count_fault();
        let (id, attempt) = stale[rng.random_range(0..stale.len())];
        let end = AttemptEnd::Whole;
        Some(RouteEvent::Ended { id, attempt, end })
    }

    fn caller_gone(&mut self, rng: &mut SmallRng) -> Option<RouteEvent> {
        let open: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, a)| a.answers == 0)
            .map(|(id, _)| *id)
            .collect();
        if open.is_empty() {
            return None;
        }
        let id = open[rng.random_range(0..open.len())];
        if let Some(request) = self.requests.get_mut(&id) {
            request.answers = 1;
            request.current = None;
        }
        Some(RouteEvent::CallerGone(id))
    }

    fn step(&mut self, event: RouteEvent, now: Millis, tally: &mut Tally) {
        let before = self.router.stats().open;
        let stale = self.is_stale(&event);
        if let RouteEvent::Ended { id, attempt, end } = &event {
            self.record_end(*id, *attempt, *end);
        }
        let actions = self.router.step(event, now);
        if stale {
            let after = self.router.stats().open;
            tally.check(
                Invariant::OwnAnswer,
                before == after && actions.is_empty(),
                || "a late answer to a superseded attempt was accepted as the answer".to_owned(),
            );
        }
        for action in actions {
            if let RouteAction::Send { upstream, .. } = &action {
                self.check_slots(upstream, now, tally);
            }
            self.apply_action(action, tally);
        }
    }

    /// Checks that an upstream has a slot for each request sent to it. The probe of an upstream
    /// that hung may exceed the slots by one.
    fn check_slots(&self, upstream: &Upstream, now: Millis, tally: &mut Tally) {
        let all = self.router.upstreams(now);
        for status in all.iter().filter(|b| b.name == upstream.as_str()) {
            tally.check(
                Invariant::Limits,
                status.in_flight <= status.slots + 1,
                || {
                    format!(
                        "{} has {} requests, {} slots",
                        status.name, status.in_flight, status.slots
                    )
                },
            );
        }
    }

    fn is_stale(&self, event: &RouteEvent) -> bool {
        let RouteEvent::Ended { id, attempt, .. } = event else {
            return false;
        };
        self.requests
            .get(id)
            .is_some_and(|a| a.answers == 0 && a.superseded.contains(attempt))
    }

    /// Records the end of an attempt; a whole answer to the current attempt is passed to the
    /// caller.
    fn record_end(&mut self, id: RequestId, attempt: u32, end: AttemptEnd) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let current = request.current.as_ref().is_some_and(|(a, _)| *a == attempt);
        if !current {
            return;
        }
        request.current = None;
        request.superseded.push(attempt);
        request.may_have_run |= matches!(end, AttemptEnd::Broken);
        if end == AttemptEnd::Whole {
            request.answers += 1;
            request.superseded.clear();
        }
    }

    fn apply_action(&mut self, action: RouteAction, tally: &mut Tally) {
        match action {
            RouteAction::Send {
                id,
                attempt,
                upstream,
                ..
            } => {
                let leaving = self.leaving.contains(&upstream);
                tally.check(Invariant::Leaving, !leaving, || {
                    format!("{upstream} received new work while leaving")
                });
                let Some(request) = self.requests.get_mut(&id) else {
                    return;
                };
                let repeated = request.may_have_run && !request.repeatable;
                tally.check(Invariant::Once, !repeated, || {
                    format!("request {id} was sent again although it may have run")
                });
                tally.check(Invariant::Settled, request.answers == 0, || {
                    format!("request {id} was sent after its answer")
                });
                if let Some((superseded, _)) = request.current.replace((attempt, upstream)) {
                    request.superseded.push(superseded);
                }
            }
            RouteAction::Cancel { id, attempt, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.superseded.push(attempt);
                    request.may_have_run = true;
                    request.current = None;
                }
            }
            RouteAction::Refuse { id, .. } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.answers += 1;
                    request.current = None;
                    let answers = request.answers;
                    tally.check(Invariant::Settled, answers == 1, || {
                        format!("request {id} was answered {answers} times")
                    });
                }
            }
        }
    }

    fn check_limits(&mut self, tally: &mut Tally) {
        let mut by_org: BTreeMap<&Org, u64> = BTreeMap::new();
        for request in self.requests.values().filter(|a| a.answers == 0) {
            *by_org.entry(&request.org).or_default() += 1;
        }
        for (org, count) in by_org {
            tally.check(Invariant::Limits, count <= CONCURRENCY, || {
                format!("{org} has {count} concurrent requests, {CONCURRENCY} allowed")
            });
        }
        self.requests
            .retain(|_, a| a.answers == 0 || a.current.is_some());
    }
}
