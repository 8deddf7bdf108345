//! Ownership by log order.

use shaleline_lease::{Keeper, KeeperInput, Lease, LeaseBody, LeaseVerdict};
use shaleline_types::{Instance, Millis, Offset, WriterId};

fn instance() -> Instance {
    Instance::from_text("entry-1").expect("a valid name")
}

fn claim(after: Option<u64>) -> LeaseBody {
    LeaseBody::Claim {
        instance: instance(),
        after: after.map(Offset),
    }
}

fn put(lease: &mut Lease, offset: u64, writer: u64, body: &LeaseBody) -> LeaseVerdict {
    lease.apply(Offset(offset), WriterId(writer), body)
}

fn challenge(fence: u64) -> LeaseBody {
    LeaseBody::Challenge {
        fence: Offset(fence),
    }
}

fn input(lease: &Lease, preferred: bool) -> KeeperInput<'_> {
    KeeperInput {
        lease,
        preferred,
        owner_alive: false,
        stopping: false,
    }
}

#[test]
fn the_first_claim_of_a_free_lease_wins() {
    let mut lease = Lease::default();
    assert_eq!(
        put(&mut lease, 0, 1, &claim(None)),
        LeaseVerdict::Acquired(Offset(0))
    );
    assert_eq!(put(&mut lease, 1, 2, &claim(None)), LeaseVerdict::NoEffect);
    assert_eq!(lease.fence_of(WriterId(1)), Some(Offset(0)));
}

#[test]
fn an_unanswered_challenge_lets_its_challenger_claim_and_nobody_else() {
    let mut lease = Lease::default();
    put(&mut lease, 0, 1, &claim(None));
    assert_eq!(
        put(&mut lease, 1, 2, &challenge(0)),
        LeaseVerdict::Challenged(Offset(1))
    );
    assert_eq!(
        put(&mut lease, 2, 3, &claim(Some(1))),
        LeaseVerdict::NoEffect
    );
    assert_eq!(
        put(&mut lease, 3, 2, &claim(Some(1))),
        LeaseVerdict::Acquired(Offset(3))
    );
    assert_eq!(
        lease.fence_of(WriterId(1)),
        None,
        "a paused holder is not the owner"
    );
}

#[test]
fn a_renewal_between_challenge_and_claim_defeats_the_claim() {
    let mut lease = Lease::default();
    put(&mut lease, 0, 1, &claim(None));
    put(&mut lease, 1, 2, &challenge(0));
    let renew = LeaseBody::Renew { fence: Offset(0) };
    assert_eq!(put(&mut lease, 2, 1, &renew), LeaseVerdict::Renewed);
    assert_eq!(
        put(&mut lease, 3, 2, &claim(Some(1))),
        LeaseVerdict::NoEffect
    );
}

#[test]
fn a_release_hands_over_at_once_and_an_old_holder_cannot_release() {
    let mut lease = Lease::default();
    put(&mut lease, 0, 1, &claim(None));
    let release = LeaseBody::Release { fence: Offset(0) };
    assert_eq!(put(&mut lease, 1, 2, &release), LeaseVerdict::NoEffect);
    assert_eq!(put(&mut lease, 2, 1, &release), LeaseVerdict::Released);
    assert_eq!(
        put(&mut lease, 3, 2, &claim(None)),
        LeaseVerdict::Acquired(Offset(3))
    );
    assert_eq!(put(&mut lease, 4, 1, &release), LeaseVerdict::NoEffect);
}

/// Found by `faults`, seed 3: challenges piled up without bound.
#[test]
fn regression_a_challenger_has_one_open_challenge() {
    let mut lease = Lease::default();
    put(&mut lease, 0, 1, &claim(None));
    put(&mut lease, 1, 2, &challenge(0));
    assert_eq!(
        put(&mut lease, 2, 2, &challenge(0)),
        LeaseVerdict::Challenged(Offset(1))
    );
}

/// Found by `faults`, seed 2: a challenger that was not preferred for a moment forgot its
/// challenge, began again, and nobody ever took over.
#[test]
fn regression_a_challenge_survives_a_moment_without_preference() {
    let mut lease = Lease::default();
    put(&mut lease, 0, 1, &claim(None));
    let mut keeper = Keeper::new(WriterId(2), instance());
    let body = keeper
        .step(input(&lease, true), Millis(0))
        .expect("a challenge");
    let verdict = put(&mut lease, 1, 2, &body);
    keeper.on_verdict(verdict, Millis(10));
    assert_eq!(keeper.step(input(&lease, false), Millis(500)), None);
    assert_eq!(
        keeper.step(input(&lease, true), Millis(1_000)),
        None,
        "not ripe yet"
    );
    assert_eq!(
        keeper.step(input(&lease, true), Millis(1_010)),
        Some(claim(Some(1)))
    );
}

#[test]
fn an_owner_appends_nothing_in_quiet_times() {
    let mut lease = Lease::default();
    put(&mut lease, 0, 1, &claim(None));
    let mut keeper = Keeper::new(WriterId(1), instance());
    for second in 0..1_000 {
        let input = KeeperInput {
            lease: &lease,
            preferred: true,
            owner_alive: true,
            stopping: false,
        };
        assert_eq!(keeper.step(input, Millis(second * 1_000)), None);
    }
}
