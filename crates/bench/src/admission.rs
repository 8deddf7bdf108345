//! The cost of finding a request's organisation and charging it, by number of organisations.

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

/// The figures at one number of organisations.
#[derive(Debug, Clone, Serialize)]
pub struct DecisionCost {
    /// Number of organisations, with ten keys each.
    pub orgs: usize,
    /// Time of one decision in microseconds.
    pub us: f64,
    /// Memory of the list of organisations in kilobytes; too low for a small list, which reuses
    /// freed pages.
    pub kb: f64,
}

fn key(org: usize, number: usize) -> String {
    format!("{org:05}-asnmgkcuyj8pjbvk9m-{number}")
}

fn orgs(count: usize) -> Orgs {
    let rule = |org: usize| {
        let rule = OrgRule {
            name: Org::from_text(&format!("org-{org}")).expect("the name is valid"),
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
    Orgs::from_rules((0..count).map(rule)).expect("a valid list")
}

fn measure(count: usize) -> DecisionCost {
    let before = resident_kb();
    let orgs = orgs(count);
    let kb = resident_kb() - before;
    let keys: Vec<String> = (0..DECISIONS)
        .map(|i| key(i * 7_919 % count, i % KEYS))
        .collect();
    let mut allocator = Allocator::new(TOLERANCE);
    let share = AllocatorShare {
        fraction: 1.0,
        daemons: 90,
    };
    let start = Millis(1_000_000);
    allocator.set_share(share, |o| orgs.allowance(o), start);
    let mut credits = Credits::default();
    let own_address = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let mut admitted = 0;
    let started = Instant::now();
    for (number, key) in keys.iter().enumerate() {
        let now = start.plus(1_000 + number as u64 / 100);
        let rule = orgs
            .find(&KeyHash::from_key(key))
            .expect("the key is known");
        let allowance = rule.allowance.expect("the organisation has an allowance");
        let cost = rule.cost(Some(1_800));
        let mut request = GrantRequest::new(rule.name.clone(), cost, &[own_address]);
        let mut step = request.next_step(&mut credits, now);
        if step == GrantStep::Query(own_address) {
            let grant = allocator.request(&rule.name, &allowance, cost, u64::MAX, now);
            step = request.on_grant(grant, &mut credits, now);
        }
        admitted += usize::from(black_box(step) == GrantStep::Admit);
    }
    let us = started.elapsed().as_secs_f64() * 1e6 / DECISIONS as f64;
    assert_eq!(
        admitted, DECISIONS,
        "all organisations are below their allowance"
    );
    DecisionCost {
        orgs: count,
        us,
        kb,
    }
}

/// Measures at each number of organisations.
pub fn run() -> Vec<DecisionCost> {
    SIZES.into_iter().map(measure).collect()
}
