//! Tests of lease ownership by log order.

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

fn apply(lease: &mut Lease, offset: u64, writer: u64, body: &LeaseBody) -> LeaseVerdict {
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
        apply(&mut lease, 0, 1, &claim(None)),
        LeaseVerdict::Acquired(Offset(0))
    );
    assert_eq!(
        apply(&mut lease, 1, 2, &claim(None)),
        LeaseVerdict::NoEffect
    );
    assert_eq!(lease.fence_of(WriterId(1)), Some(Offset(0)));
}

#[test]
fn only_the_challenger_can_claim_after_an_unanswered_challenge() {
    let mut lease = Lease::default();
    apply(&mut lease, 0, 1, &claim(None));
    assert_eq!(
        apply(&mut lease, 1, 2, &challenge(0)),
        LeaseVerdict::Challenged(Offset(1))
    );
    assert_eq!(
        apply(&mut lease, 2, 3, &claim(Some(1))),
        LeaseVerdict::NoEffect
    );
    assert_eq!(
        apply(&mut lease, 3, 2, &claim(Some(1))),
        LeaseVerdict::Acquired(Offset(3))
    );
    assert_eq!(
        lease.fence_of(WriterId(1)),
        None,
        "a paused holder is not the owner"
    );
}

#[test]
fn a_renewal_between_challenge_and_claim_voids_the_claim() {
    let mut lease = Lease::default();
    apply(&mut lease, 0, 1, &claim(None));
    apply(&mut lease, 1, 2, &challenge(0));
    let renew = LeaseBody::Renew { fence: Offset(0) };
    assert_eq!(apply(&mut lease, 2, 1, &renew), LeaseVerdict::Renewed);
    assert_eq!(
        apply(&mut lease, 3, 2, &claim(Some(1))),
        LeaseVerdict::NoEffect
    );
}

#[test]
fn a_release_frees_the_lease_at_once_and_a_previous_holder_cannot_release() {
    let mut lease = Lease::default();
    apply(&mut lease, 0, 1, &claim(None));
    let release = LeaseBody::Release { fence: Offset(0) };
    assert_eq!(apply(&mut lease, 1, 2, &release), LeaseVerdict::NoEffect);
    assert_eq!(apply(&mut lease, 2, 1, &release), LeaseVerdict::Released);
    assert_eq!(
        apply(&mut lease, 3, 2, &claim(None)),
        LeaseVerdict::Acquired(Offset(3))
    );
    assert_eq!(apply(&mut lease, 4, 1, &release), LeaseVerdict::NoEffect);
}

/// Guards against an unbounded number of open challenges, which a challenger created when it
/// appended a challenge again while its first one was open. Found by `faults` with seed 3.
#[test]
fn regression_a_challenger_has_one_open_challenge() {
    let mut lease = Lease::default();
    apply(&mut lease, 0, 1, &claim(None));
    apply(&mut lease, 1, 2, &challenge(0));
    assert_eq!(
        apply(&mut lease, 2, 2, &challenge(0)),
        LeaseVerdict::Challenged(Offset(1))
    );
}

/// Guards against a lease that is never taken over. A challenger that was briefly not preferred
/// discarded its challenge and started again. Found by `faults` with seed 2.
#[test]
fn regression_a_challenge_is_kept_while_its_challenger_is_briefly_not_preferred() {
    let mut lease = Lease::default();
    apply(&mut lease, 0, 1, &claim(None));
    let mut keeper = Keeper::new(WriterId(2), instance());
    let body = keeper
        .step(input(&lease, true), Millis(0))
        .expect("a challenge");
    let verdict = apply(&mut lease, 1, 2, &body);
    keeper.on_verdict(verdict, Millis(10));
    assert_eq!(keeper.step(input(&lease, false), Millis(500)), None);
    assert_eq!(
        keeper.step(input(&lease, true), Millis(1_000)),
        None,
        "the challenge has not timed out"
    );
    assert_eq!(
        keeper.step(input(&lease, true), Millis(1_010)),
        Some(claim(Some(1)))
    );
}

#[test]
fn an_unchallenged_owner_appends_nothing() {
    let mut lease = Lease::default();
    apply(&mut lease, 0, 1, &claim(None));
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
