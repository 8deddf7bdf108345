//! Tests of authentication, and of how long a daemon may rely on the API keys that it knows.

use crate::admission::{authenticate, ConfigAge, Revocation};
use crate::message::Ack;
use crate::read_progress::ReadProgress;
use crate::{CostUnit, Head, OrgRule, Orgs, OrgsError, Repeat, RouteRule};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_testkit::cases;
use shaleline_types::{ErrorKind, KeyHash, Millis, Org, Position};

const REVOCATION_BOUND: Millis = Millis(5_000);
const APPLY_BOUND: Millis = Millis(3_000);

fn rule(name: &str, keys: &[&str]) -> (OrgRule, Vec<KeyHash>) {
    let rule = OrgRule {
        name: Org::from_text(name).expect("a valid name"),
        priority: None,
        allowance: None,
        counting: CostUnit::Requests,
    };
    (rule, keys.iter().map(|k| KeyHash::from_key(k)).collect())
}

fn route(public: bool) -> RouteRule {
    RouteRule {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        repeat: Repeat::Safe,
        timeout: Millis(5_000),
        target: Millis(800),
        pause: None,
        priority: 1,
        public,
        attempts: 1,
        services: Vec::new(),
    }
}

/// The result of a request with this key, at a daemon whose configuration was confirmed this many
/// milliseconds ago.
fn authenticated(
    (key, public, closed, age): (&str, bool, bool, Option<u64>),
) -> Result<String, ErrorKind> {
    let orgs = Orgs::from_rules([rule("a", &["key-a"])]).expect("valid rules");
    let head = Head {
        key: (!key.is_empty()).then(|| KeyHash::from_key(key)),
        ..Head::default()
    };
    let revocation = Revocation {
        closed,
        within: REVOCATION_BOUND,
    };
    let age: ConfigAge = age.map(Millis);
    let org = authenticate(
        Some(&orgs),
        &route(public),
        &head,
        revocation,
        APPLY_BOUND,
        age,
    )?;
    Ok(org.map_or("none".to_owned(), |o| o.name.to_string()))
}

fn accepted_as(org: &str) -> Result<String, ErrorKind> {
    Ok(org.to_owned())
}

cases! { authenticated;
    a_known_key: ("key-a", false, true, Some(0)) => accepted_as("a"),
    a_known_key_within_the_bound: ("key-a", false, true, Some(4_999)) => accepted_as("a"),
    a_known_key_at_the_bound: ("key-a", false, true, Some(5_000)) => Err(ErrorKind::KeysStale),
    a_known_key_without_any_confirmation: ("key-a", false, true, None) => Err(ErrorKind::KeysStale),
    a_known_key_past_the_bound_where_daemons_fail_open: ("key-a", false, false, Some(60_000)) => accepted_as("a"),
    an_unknown_key: ("key-b", false, true, Some(2_999)) => Err(ErrorKind::KeyUnknown),
    an_unknown_key_that_may_have_been_added: ("key-b", false, true, Some(3_000)) => Err(ErrorKind::KeysStale),
    no_key: ("", false, true, Some(0)) => Err(ErrorKind::KeyUnknown),
    no_key_without_any_confirmation: ("", false, true, None) => Err(ErrorKind::KeyUnknown),
    a_public_route: ("", true, true, None) => accepted_as("none"),
    a_public_route_with_a_key: ("key-a", true, true, Some(0)) => accepted_as("a"),
    a_public_route_with_a_key_that_may_be_revoked: ("key-a", true, true, Some(5_000)) => accepted_as("none"),
}

#[test]
fn without_organisations_no_key_is_needed() {
    let head = Head::default();
    let revocation = Revocation {
        closed: true,
        within: REVOCATION_BOUND,
    };
    let authenticated = authenticate(None, &route(false), &head, revocation, APPLY_BOUND, None);
    assert_eq!(authenticated, Ok(None));
}

/// The error of an invalid list of organisations.
fn error_text(rules: Vec<(OrgRule, Vec<KeyHash>)>) -> Option<String> {
    Orgs::from_rules(rules)
        .err()
        .map(|e: OrgsError| e.to_string())
}

cases! { error_text;
    two_with_separate_keys: vec![rule("a", &["k"]), rule("b", &["l"])] => None,
    one_with_a_duplicate_key: vec![rule("a", &["k", "k"])] => None,
    a_duplicate_organisation: vec![rule("a", &["k"]), rule("a", &["l"])] =>
        Some("organisation a is listed twice".to_owned()),
    two_with_the_same_key: vec![rule("a", &["k"]), rule("b", &["k"])] =>
        Some("organisations a and b hold the same key".to_owned()),
}

#[test]
fn a_key_hash_hides_its_key() {
    assert_eq!(format!("{:?}", KeyHash::from_key("secret")), "KeyHash(..)");
}

/// One event at a follower or at its hub.
#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u16),
    /// A report of the follower arrives at the hub.
    Report,
    /// The hub sends its report, which arrives after a delay.
    HubReport(u16),
    /// The hub reads the store, which answers after a delay.
    Read(u16),
    /// A version that revokes a key is accepted.
    Revoke,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let limit = *g.choose(&[1, 50, 400, 4_000]).expect("a choice");
        let ms = u16::arbitrary(g) % limit;
        match u8::arbitrary(g) % 5 {
            0 => Self::Wait(ms),
            1 => Self::Report,
            2 => Self::HubReport(ms),
            3 => Self::Read(ms),
            _ => Self::Revoke,
        }
    }
}

/// Whatever the delays of answers and reports, a daemon uses no key for longer than the bound after
/// the version that revokes it was accepted.
fn uses_no_revoked_key_past_the_bound(steps: Vec<Step>) -> bool {
    let mut now = Millis(1_000_000);
    // The clocks of the two daemons have unrelated origins.
    let hub_clock = |now: Millis| Millis(now.0 + 77_000_000);
    let (mut hub, mut follower) = (ReadProgress::default(), ReadProgress::default());
    let (mut version, mut accepted) = (1, Vec::<Millis>::new());
    let mut report: Option<(Millis, Millis)> = None;
    for step in steps {
        match step {
            Step::Wait(ms) => now = now.plus(u64::from(ms)),
            Step::Report => report = Some((now, hub_clock(now))),
            Step::Read(ms) => {
                let requested = hub_clock(now);
                let next = Position::new(0, version);
                now = now.plus(u64::from(ms));
                hub.on_config(next, hub_clock(now));
                hub.on_confirmed(next, requested);
            }
            Step::HubReport(ms) => {
                let (Some(position), Some((sent, received))) =
                    (confirmed_position(&hub, hub_clock(now)), report)
                else {
                    continue;
                };
                let age = hub_clock(now).since(received) as u32;
                let ack = Ack {
                    incarnation: 1,
                    sent,
                    age,
                };
                now = now.plus(u64::from(ms));
                // The follower copies the configuration as well.
                follower.on_config(position.0, now);
                let at = ack.sent.plus(u64::from(ack.age));
                let at = Millis(at.0.saturating_sub(u64::from(position.1)));
                follower.on_confirmed(position.0, at);
            }
            Step::Revoke => {
                version += 1;
                accepted.push(now);
            }
        }
        let Some(known) = follower.config_known().map(|(next, _)| next) else {
            continue;
        };
        let revocation = Revocation {
            closed: true,
            within: REVOCATION_BOUND,
        };
        let age = follower.confirmed_at().map(|at| Millis(now.since(at)));
        let revoked_at = accepted.get(known.offset() as usize - 1);
        if revocation.holds(age)
            && revoked_at.is_some_and(|at| now.since(*at) >= REVOCATION_BOUND.0)
        {
            return false;
        }
    }
    true
}

/// The hub's read position in the configuration: its end, and the time since it was confirmed.
fn confirmed_position(hub: &ReadProgress, now: Millis) -> Option<(Position, u32)> {
    let (next, _) = hub.config_known()?;
    let at = hub.confirmed_at()?;
    Some((next, now.since(at) as u32))
}

#[test]
fn no_revoked_key_is_accepted_past_the_bound() {
    const SEED: u64 = 20_261_203;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, SEED))
        .tests(4_000)
        .quickcheck(uses_no_revoked_key_past_the_bound as fn(Vec<Step>) -> bool);
}
