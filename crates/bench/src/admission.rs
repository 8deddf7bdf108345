//! What it takes to find out whose a request is and to charge it, by the number of organisations.

use crate::allowances::TOLERANCE;
use crate::costs::resident_kb;
use serde::Serialize;
use shaleline_gateway::{CostUnit, OrgRule, Orgs};
use shaleline_route::{Allocator, AllocatorShare, Allowance, Credits, GrantRequest, GrantStep};
use shaleline_types::{KeyHash, Millis, Org};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

const SIZES: [usize; 4] = [1_000, 10_000, 20_000, 40_000];
const KEYS: usize = 10;
const DECISIONS: usize = 200_000;

/// What was measured at a number of organisations.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// How many organisations, with ten keys each.
    pub orgs: usize,
    /// The time of one decision, in microseconds.
    pub us: f64,
    /// The memory of the list of organisations, in kilobytes; of a small one reused pages hide it.
    pub kb: f64,
}

fn key(org: usize, number: usize) -> String {
    format!("{org:05}-asnmgkcuyj8pjbvk9m-{number}")
}

fn orgs(count: usize) -> Orgs {
    let rule = |org: usize| {
        let rule = OrgRule {
            name: Org::from_text(&format!("org-{org}")).expect("a valid name"),
            priority: Some(1),
            allowance: Some(Allowance {
                rate: 1e9,
                burst: 1e9,
            }),
            counting: CostUnit::Tokens { plain: 200 },
        };
        let keys = (0..KEYS).map(|k| KeyHash::from_key(&key(org, k)));
        (rule, keys.collect())
    };
    Orgs::from_rules((0..count).map(rule)).expect("a sound list")
}

fn measure(count: usize) -> Decision {
    let before = resident_kb();
    let orgs = orgs(count);
    let kb = resident_kb() - before;
    let shown: Vec<String> = (0..DECISIONS)
        .map(|i| key(i * 7_919 % count, i % KEYS))
        .collect();
    let mut granter = Allocator::new(TOLERANCE);
    let part = AllocatorShare {
        fraction: 1.0,
        daemons: 90,
    };
    let start = Millis(1_000_000);
    granter.set_share(part, |o| orgs.allowance(o), start);
    let mut credits = Credits::default();
    let me = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let mut admitted = 0;
    let begun = Instant::now();
    for (number, key) in shown.iter().enumerate() {
        let now = start.plus(1_000 + number as u64 / 100);
        let rule = orgs.find(&KeyHash::from_key(key)).expect("a known key");
        let allowance = rule.allowance.expect("a limit");
        let cost = rule.cost(Some(1_800));
        let mut draw = GrantRequest::new(rule.name.clone(), cost, &[me]);
        let mut step = draw.next_step(&mut credits, now);
        if step == GrantStep::Query(me) {
            let grant = granter.request(&rule.name, &allowance, cost, u64::MAX, now);
            step = draw.on_grant(grant, &mut credits, now);
        }
        admitted += usize::from(black_box(step) == GrantStep::Admit);
    }
    let us = begun.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    assert_eq!(admitted, DECISIONS, "all are below their allowance");
    Decision {
        orgs: count,
        us,
        kb,
    }
}

/// Measures at all sizes.
pub fn run() -> Vec<Decision> {
    SIZES.into_iter().map(measure).collect()
}
