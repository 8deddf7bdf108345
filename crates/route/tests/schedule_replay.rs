//! Replays scarce capacity against several orders and checks the one in use.
//!
//! One queue feeds the slots of a few upstreams. The kinds of request, their targets, deadlines and
//! sizes are those of deployments C and D in `docs/HARD-LOAD.md`. The code under test never sees
//! the value of a late answer; the replay only counts with it. The figures are printed with
//! `cargo test --release -p shaleline-route --test schedule_replay -- --nocapture`.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_route::{
    choose, is_hopeless, level, Candidate, FairShares, FreeSlot, Waiting, LATE_INTERVAL,
    LEAST_URGENT_INTERVAL,
};

use shaleline_testkit::cases;
use shaleline_types::{Millis, Org, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    priority: u8,
    target: u64,
    deadline: u64,
    late: f64,
    /// Prompt tokens and output tokens.
    tokens: (u64, u64),
    /// The share of arrivals.
    share: f64,
}

impl Kind {
    /// Its priority, those with long targets after the others.
    fn level(&self, order: Order) -> u8 {
        level(
            self.priority,
            order != Order::Chosen || self.target <= 2_000,
        )
    }
}

/// A deployment, scaled down to a few upstreams.
#[derive(Debug, Clone, Copy)]
struct Deployment {
    kinds: [Kind; 3],
    slots: usize,
    /// Milliseconds for one output token and for one prompt token.
    speed: (f64, f64),
    /// The amplitude and period of the waves of demand.
    wave: (f64, f64),
    /// The number of organisations, and the factor by which the load of one grows in the middle of
    /// the run.
    orgs: usize,
    burst: f64,
}

const fn kind(
    name: &'static str,
    (priority, target, deadline): (u8, u64, u64),
    late: f64,
    tokens: (u64, u64),
    share: f64,
) -> Kind {
    Kind {
        name,
        priority,
        target,
        deadline,
        late,
        tokens,
        share,
    }
}

const C: Deployment = Deployment {
    kinds: [
        kind("a", (0, 500, 10_000), 0.19, (715, 279), 0.45),
        kind("c", (1, 500, 4_000), 0.5, (383, 45), 0.25),
        kind("b", (2, 3_000, 12_000), 0.72, (715, 279), 0.3),
    ],
    slots: 48,
    speed: (5.05, 0.0245),
    wave: (0.27, 11_000.0),
    orgs: 16,
    burst: 7.0,
};

const D: Deployment = Deployment {
    kinds: [
        kind("g", (0, 1_500, 4_000), 0.1, (383, 50), 0.25),
        kind("e", (1, 500, 10_000), 0.1, (715, 280), 0.4),
        kind("f", (1, 4_000, 15_000), 0.1, (715, 280), 0.35),
    ],
    slots: 48,
    speed: (4.43, 0.0262),
    wave: (0.55, 13_000.0),
    orgs: 1,
    burst: 1.0,
};

const END_MS: u64 = 120_000;
/// When the burst of one organisation begins and ends.
const BURST_MS: (u64, u64) = (40_000, 70_000);
/// The time that a prompt and the first event take, which the latest start leaves.
const FIRST_EVENT_MS: u64 = 60;
/// The priority added to retries whose target has passed.
const RETRY_PRIORITY: u8 = 16;

/// The orders that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Order {
    /// Priority, then arrival; retries last.
    Strict,
    /// The earliest latest start, and late ones last.
    EarliestDeadline,
    /// The least time between the end of the work and the deadline.
    LeastSlack,
    /// The most value for each unit of work, where a level of priority doubles the value.
    ValuePerWork,
    /// The module in use.
    Chosen,
}

/// How long a request may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hold {
    /// At most a second, as before.
    Second,
    /// Until its latest start; a retry whose target has passed, for three fifths of its time.
    LatestStart,
    /// Until its deadline.
    Deadline,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    kind: usize,
    org: usize,
    /// When its first attempt arrived.
    first: u64,
    retry: bool,
    /// The actual output relative to the estimate.
    factor: f64,
}

#[derive(Debug, Clone, Copy)]
struct Queued {
    id: u64,
    caller: Caller,
    arrived: u64,
    latest: u64,
    start_by: u64,
    priority: u8,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    callers: f64,
    in_time: f64,
    late: f64,
    value: f64,
    /// Callers that were held longer than an eighth of their target and then refused.
    held: f64,
}

impl Count {
    fn served(&self) -> f64 {
        (self.in_time + self.late) / self.callers
    }
    fn value(&self) -> f64 {
        self.value / self.callers
    }
}

/// The outcome of one run.
struct Outcome {
    kinds: BTreeMap<&'static str, Count>,
    /// Those of the organisation that bursts, and of all others.
    orgs: [Count; 2],
}

struct Replay {
    deployment: Deployment,
    order: Order,
    hold: Hold,
    orgs: Vec<Org>,
    queue: Vec<Queued>,
    fair: FairShares,
    interval: Option<f64>,
    last: Option<u64>,
    departures: u64,
    scarce: Option<(u8, u64)>,
    next: u64,
    busy: BTreeSet<(u64, u64)>,
    arrivals: BTreeMap<(u64, u64), Caller>,
    outcome: Outcome,
}

impl Replay {
    fn kind(&self, caller: &Caller) -> Kind {
        self.deployment.kinds[caller.kind]
    }

    fn service_ms(&self, caller: &Caller) -> f64 {
        let (prompt, output) = self.kind(caller).tokens;
        let (step, read) = self.deployment.speed;
        prompt as f64 * read + output as f64 * step * caller.factor
    }

    fn count(&mut self, caller: &Caller, change: impl Fn(&mut Count)) {
        let name = self.kind(caller).name;
        change(self.outcome.kinds.entry(name).or_default());
        change(&mut self.outcome.orgs[usize::from(caller.org != 0)]);
    }

    fn refuse(&mut self, caller: Caller, now: u64, wait: u64, held: u64) {
        let kind = self.kind(&caller);
        if held > kind.target / 8 {
            self.count(&caller, |c| c.held += 1.0);
        }
        let back = now + wait.max(100);
        let over = self.fair.exceeding(Millis(now));
        let over = over.contains(&self.orgs[caller.org]);
        let passed = caller.first + kind.target < now;
        let known = self.scarce.filter(|(_, at)| now < at + 1_000);
        let counts = !(over || caller.retry && passed);
        if counts && known.is_none_or(|(p, _)| kind.level(self.order) <= p) {
            self.scarce = Some((kind.level(self.order), now));
        }
        if !caller.retry && back < caller.first + kind.deadline {
            let id = self.id();
            let caller = Caller {
                retry: true,
                ..caller
            };
            self.arrivals.insert((back, id), caller);
        }
    }

    fn id(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn arrive(&mut self, caller: Caller, now: u64) {
        let kind = self.kind(&caller);
        let org = self.orgs[caller.org].clone();
        let work = kind.tokens.0 + kind.tokens.1;
        self.fair.on_arrival(&org, 1, work, Millis(now));
        let latest = caller.first + kind.target - FIRST_EVENT_MS;
        let deadline = caller.first + kind.deadline;
        let left = deadline - now;
        let passed = latest < now;
        let start_by = match (self.hold, caller.retry) {
            (Hold::Deadline, _) => deadline - FIRST_EVENT_MS,
            (Hold::Second, false) => (now + 1_000).min(now + kind.target - 100),
            (Hold::LatestStart, _) if !passed => latest,
            _ => now + (left * 3 / 5).min(kind.target * 2),
        };
        let demoted = caller.retry && (passed || self.order == Order::Strict);
        let queued = Queued {
            id: self.id(),
            caller,
            arrived: now,
            latest,
            start_by,
            priority: kind.level(self.order) + if demoted { 2 * RETRY_PRIORITY } else { 0 },
        };
        let own = self.key(&queued, now);
        let ahead = self.queue.iter().filter(|q| match self.order {
            Order::Chosen => {
                q.latest >= now && (q.priority, q.latest) <= (queued.priority, queued.latest)
            }
            _ => self.key(q, now) <= own,
        });
        let ahead = ahead.count() as f64;
        let wait = self.interval.map_or(0.0, |i| i * (ahead + 1.0));
        let expected = now + wait as u64;
        let left = Millis(latest.saturating_sub(now));
        if self.hold != Hold::Deadline && is_hopeless(Millis(wait as u64), left) {
            if let Some(wait) = self.late_wait(&queued, now) {
                let spread = self.next % 50 * 20;
                self.refuse(caller, now, wait + spread, 0);
                return;
            }
        } else if ahead > 0.0 && expected > start_by {
            let spread = self.next % 50 * 20;
            self.refuse(caller, now, expected - start_by + spread, 0);
            return;
        }
        self.queue.push(queued);
    }

    /// The time after which a late request may come back, if it can't start before its deadline:
    /// late ones get at least one slot in [`LATE_INTERVAL`].
    fn late_wait(&self, queued: &Queued, now: u64) -> Option<u64> {
        let late = self
            .queue
            .iter()
            .filter(|q| q.latest < now && q.id != queued.id);
        let ahead = late.filter(|q| q.arrived <= queued.arrived).count() as f64;
        let wait = (ahead + 1.0) * LATE_INTERVAL as f64 * self.interval.unwrap_or(0.0);
        let expected = now + wait as u64;
        (expected > queued.start_by).then_some(expected.saturating_sub(queued.start_by))
    }

    /// The position of a request in the order; the lowest is next.
    fn key(&self, q: &Queued, now: u64) -> [f64; 4] {
        let kind = self.kind(&q.caller);
        let late = f64::from(u8::from(q.latest < now));
        let priority = f64::from(q.priority);
        let latest = q.latest as f64;
        match self.order {
            Order::Strict => [priority, q.arrived as f64, 0.0, 0.0],
            Order::EarliestDeadline => [late, latest, 0.0, 0.0],
            Order::LeastSlack => {
                let end = q.caller.first + kind.deadline;
                [late, end as f64 - self.service_ms(&q.caller), 0.0, 0.0]
            }
            Order::ValuePerWork => {
                let value = 0.5_f64.powf(f64::from(q.priority) / 2.0);
                let work = (kind.tokens.0 + kind.tokens.1) as f64;
                [late, -value / work, latest, 0.0]
            }
            Order::Chosen => {
                let over = self.fair.exceeding(Millis(now));
                let over = over.contains(&self.orgs[q.caller.org]);
                [late, f64::from(u8::from(over)), priority, latest]
            }
        }
    }

    /// The index of the next request.
    fn choose(&self, now: u64) -> Option<usize> {
        let queue = self.queue.iter().enumerate();
        let turn = (self.departures + 1) % LEAST_URGENT_INTERVAL == 0;
        let keys = queue.map(|(i, q)| match (self.order, turn) {
            (_, true) => ([-f64::from(q.priority), q.arrived as f64, 0.0, 0.0], i),
            _ => (self.key(q, now), i),
        });
        match self.order {
            Order::Chosen => self.choose_in_use(now),
            _ => {
                let best = keys.min_by(|a, b| a.partial_cmp(b).expect("no NaN"));
                best.map(|(_, i)| i)
            }
        }
    }

    fn choose_in_use(&self, now: u64) -> Option<usize> {
        let over = self.fair.exceeding(Millis(now));
        let over = |q: &Queued| over.contains(&self.orgs[q.caller.org]);
        let candidates: Vec<Candidate> = self
            .queue
            .iter()
            .map(|q| Candidate {
                id: RequestId(q.id),
                level: q.priority,
                latest: Some(Millis(q.latest)),
                work: {
                    let (prompt, output) = self.kind(&q.caller).tokens;
                    (prompt + output) as f64
                },
                arrived: Millis(q.arrived),
                over: over(q),
                turn: 0.0,
            })
            .collect();
        let waiting = || {
            let all = candidates.iter().map(|c| Waiting {
                level: c.level,
                latest: c.latest,
                over: c.over,
            });
            all.collect()
        };
        let slot = FreeSlot {
            now: Millis(now),
            interval: self.interval,
            departures: self.departures,
            scarce: self
                .scarce
                .filter(|(_, at)| now < at + 1_000)
                .map(|(p, _)| p),
        };
        let choice = choose(&candidates, waiting, &slot)?;
        self.queue.iter().position(|q| RequestId(q.id) == choice.id)
    }

    fn dispatch(&mut self, now: u64) {
        while self.busy.len() < self.deployment.slots {
            let Some(index) = self.choose(now) else {
                self.last = None;
                return;
            };
            let queued = self.queue.swap_remove(index);
            if now > queued.arrived {
                self.departures += 1;
                if let Some(last) = self.last {
                    let gap = (now - last) as f64;
                    let mean = self.interval.map_or(gap, |m| m * 0.9 + gap * 0.1);
                    self.interval = Some(mean);
                }
                self.last = Some(now);
            }
            self.start(&queued, now);
        }
    }

    fn start(&mut self, queued: &Queued, now: u64) {
        let caller = queued.caller;
        let kind = self.kind(&caller);
        let org = self.orgs[caller.org].clone();
        self.fair
            .on_send(&org, 1, kind.tokens.0 + kind.tokens.1, Millis(now));
        let in_time = now <= queued.latest;
        self.count(&caller, |c| {
            c.in_time += f64::from(u8::from(in_time));
            c.late += f64::from(u8::from(!in_time));
            c.value += if in_time { 1.0 } else { kind.late };
        });
        let end = now + self.service_ms(&caller) as u64;
        let id = self.id();
        self.busy.insert((end, id));
    }

    fn run(mut self, load: f64, seed: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let kinds = self.deployment.kinds;
        let mean: f64 = (0..kinds.len())
            .map(|kind| {
                let caller = Caller {
                    kind,
                    org: 0,
                    first: 0,
                    retry: false,
                    factor: 1.0,
                };
                self.service_ms(&caller) * kinds[kind].share
            })
            .sum();
        let per_ms = load * self.deployment.slots as f64 / mean;
        let weights: Vec<f64> = (0..self.deployment.orgs)
            .map(|i| 1.0 / (i as f64 + 2.0))
            .collect();
        let total: f64 = weights.iter().sum();
        let (amplitude, period) = self.deployment.wave;
        for now in 0..END_MS {
            let phase = now as f64 / period * std::f64::consts::TAU;
            let wave = 1.0 + amplitude * phase.sin();
            let bursts = (BURST_MS.0..BURST_MS.1).contains(&now);
            let extra = if bursts {
                self.deployment.burst - 1.0
            } else {
                0.0
            };
            let own = weights[0] / total * extra;
            let rate = per_ms * wave * (1.0 + own);
            let mut left = rate;
            while left > 0.0 {
                if rng.random::<f64>() < left.min(1.0) {
                    let caller = arrival(&mut rng, &kinds, &weights, own, now);
                    self.count(&caller, |c| c.callers += 1.0);
                    let id = self.id();
                    self.arrivals.insert((now, id), caller);
                }
                left -= 1.0;
            }
            while self.busy.first().is_some_and(|(end, _)| *end <= now) {
                self.busy.pop_first();
                self.dispatch(now);
            }
            while let Some(entry) = self.arrivals.first_entry().filter(|e| e.key().0 <= now) {
                let caller = entry.remove();
                self.arrive(caller, now);
            }
            self.dispatch(now);
            let (overdue, queue) = self.queue.iter().partition(|q| q.start_by <= now);
            self.queue = queue;
            let overdue: Vec<Queued> = overdue;
            for queued in overdue {
                self.refuse(queued.caller, now, 100, now - queued.arrived);
            }
        }
        self.outcome
    }
}

fn arrival(rng: &mut SmallRng, kinds: &[Kind], weights: &[f64], extra: f64, now: u64) -> Caller {
    let mut draw = rng.random::<f64>();
    let mut kind = 0;
    while kind + 1 < kinds.len() && draw >= kinds[kind].share {
        draw -= kinds[kind].share;
        kind += 1;
    }
    let total: f64 = weights.iter().sum();
    let mut draw = rng.random::<f64>() * (1.0 + extra) * total;
    let mut org = 0;
    while org + 1 < weights.len() && draw >= weights[org] {
        draw -= weights[org];
        org += 1;
    }
    // What the organisation sends beyond its usual load.
    let org = if draw >= weights[org] { 0 } else { org };
    Caller {
        kind,
        org,
        first: now,
        retry: false,
        factor: rng.random_range(0.5..1.5),
    }
}

fn replay(deployment: Deployment, order: Order, hold: Hold, load: f64, seed: u64) -> Outcome {
    let orgs =
        (0..deployment.orgs).map(|i| Org::from_text(&format!("org{i}")).expect("a valid name"));
    let replay = Replay {
        deployment,
        order,
        hold,
        orgs: orgs.collect(),
        queue: Vec::new(),
        fair: FairShares::default(),
        interval: None,
        last: None,
        departures: 0,
        scarce: None,
        next: 0,
        busy: BTreeSet::new(),
        arrivals: BTreeMap::new(),
        outcome: Outcome {
            kinds: BTreeMap::new(),
            orgs: [Count::default(); 2],
        },
    };
    replay.run(load, seed)
}

const ORDERS: [(Order, Hold); 7] = [
    (Order::Strict, Hold::Second),
    (Order::EarliestDeadline, Hold::LatestStart),
    (Order::LeastSlack, Hold::LatestStart),
    (Order::ValuePerWork, Hold::LatestStart),
    (Order::Chosen, Hold::LatestStart),
    (Order::Chosen, Hold::Second),
    (Order::Chosen, Hold::Deadline),
];

/// Prints the figures of the design note.
#[test]
fn figures() {
    for (name, deployment) in [("C", C), ("D", D)] {
        for load in [0.9, 1.0, 1.15, 1.4] {
            for (order, hold) in ORDERS {
                let o = replay(deployment, order, hold, load, 1);
                print!("{name} {load} {order:?} {hold:?} value={:.3}", o.value());
                for kind in deployment.kinds {
                    let c = o.kinds[kind.name];
                    print!(
                        " {}: in_time={:.2} late={:.2} shed={:.2} value={:.2} held={:.2}",
                        kind.name,
                        c.in_time / c.callers,
                        c.late / c.callers,
                        1.0 - c.served(),
                        c.value(),
                        c.held / c.callers,
                    );
                }
                let [burst, others] = o.orgs;
                let (burst, others) = (burst.value(), others.value());
                println!(" burst={burst:.2} others={others:.2}");
            }
        }
    }
}

impl Outcome {
    /// The mean value of all callers.
    fn value(&self) -> f64 {
        let callers: f64 = self.kinds.values().map(|c| c.callers).sum();
        let value: f64 = self.kinds.values().map(|c| c.value).sum();
        value / callers
    }
}

/// Returns which conditions of `docs/HARD-LOAD.md`, part 7, the order in use does not meet.
fn unmet((deployment, load, seed): (Deployment, f64, u64)) -> Vec<String> {
    let used = replay(deployment, Order::Chosen, Hold::LatestStart, load, seed);
    let before = replay(deployment, Order::Strict, Hold::Second, load, seed);
    let mut unmet = Vec::new();
    // The kinds are listed by urgency.
    for (i, more) in deployment.kinds.iter().enumerate() {
        for less in &deployment.kinds[i + 1..] {
            let (a, b) = (used.kinds[more.name], used.kinds[less.name]);
            if b.served() - a.served() > 0.05 {
                unmet.push(format!(
                    "{} is served less often than {}",
                    more.name, less.name
                ));
            }
            if b.value() - a.value() > 0.15 {
                unmet.push(format!("{} has less value than {}", more.name, less.name));
            }
        }
    }
    if used.value() < before.value() {
        unmet.push(format!(
            "{:.3} of {:.3} before",
            used.value(),
            before.value()
        ));
    }
    let others = [used.orgs[1].value(), before.orgs[1].value()];
    if deployment.orgs > 1 && others[0] < others[1] {
        unmet.push(format!("other organisations have {others:.3?}"));
    }
    unmet
}

// Guards against an order that serves an urgent kind worse than a less urgent one, or callers as a
// whole worse than strict priority does.
cases! { unmet;
    c_below_capacity: (C, 0.9, 1) => Vec::<String>::new(),
    c_at_capacity: (C, 1.0, 1) => Vec::<String>::new(),
    c_above_capacity: (C, 1.15, 1) => Vec::<String>::new(),
    c_far_above_capacity: (C, 1.4, 1) => Vec::<String>::new(),
    c_far_above_capacity_with_other_arrivals: (C, 1.4, 2) => Vec::<String>::new(),
    d_below_capacity: (D, 0.9, 1) => Vec::<String>::new(),
    d_at_capacity: (D, 1.0, 1) => Vec::<String>::new(),
    d_above_capacity: (D, 1.15, 1) => Vec::<String>::new(),
    d_far_above_capacity: (D, 1.4, 1) => Vec::<String>::new(),
    d_far_above_capacity_with_other_arrivals: (D, 1.4, 2) => Vec::<String>::new(),
}
