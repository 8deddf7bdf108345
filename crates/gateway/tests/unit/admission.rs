//! Whose a request is, and until when a daemon may rely on callers' keys.

use crate::admission::{authenticate, ConfigAge, Revocation};
use crate::message::Ack;
use crate::read_progress::ReadProgress;
use crate::{CostUnit, Head, OrgRule, Orgs, OrgsError, Repeat, RouteRule};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use shaleline_testkit::cases;
use shaleline_types::{ErrorKind, KeyHash, Millis, Org};

const WITHIN: Millis = Millis(5_000);
const APPLY: Millis = Millis(3_000);

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

/// What becomes of a request that shows this key, at a daemon that knows the configuration as of
/// so long ago.
fn judged(
    (key, public, closed, age): (&str, bool, bool, Option<u64>),
) -> Result<String, ErrorKind> {
    let orgs = Orgs::from_rules([rule("a", &["key-a"])]).expect("sound");
    let head = Head {
        key: (!key.is_empty()).then(|| KeyHash::from_key(key)),
        ..Head::default()
    };
    let revocation = Revocation {
        closed,
        within: WITHIN,
    };
    let age: ConfigAge = age.map(Millis);
    let org = authenticate(Some(&orgs), &route(public), &head, revocation, APPLY, age)?;
    Ok(org.map_or("none".to_owned(), |o| o.name.to_string()))
}

fn of(org: &str) -> Result<String, ErrorKind> {
    Ok(org.to_owned())
}

cases! { judged;
    a_known_key: ("key-a", false, true, Some(0)) => of("a"),
    a_known_key_until_the_bound_is_over: ("key-a", false, true, Some(4_999)) => of("a"),
    not_from_then_on: ("key-a", false, true, Some(5_000)) => Err(ErrorKind::KeysStale),
    nor_where_nothing_was_ever_known: ("key-a", false, true, None) => Err(ErrorKind::KeysStale),
    unless_daemons_out_of_touch_go_on: ("key-a", false, false, Some(60_000)) => of("a"),
    an_unknown_key: ("key-b", false, true, Some(2_999)) => Err(ErrorKind::KeyUnknown),
    one_that_may_have_been_added_since: ("key-b", false, true, Some(3_000)) => Err(ErrorKind::KeysStale),
    no_key: ("", false, true, Some(0)) => Err(ErrorKind::KeyUnknown),
    no_key_at_a_daemon_out_of_touch: ("", false, true, None) => Err(ErrorKind::KeyUnknown),
    a_public_route: ("", true, true, None) => of("none"),
    a_public_route_with_a_key: ("key-a", true, true, Some(0)) => of("a"),
    a_public_route_with_a_key_that_may_be_gone: ("key-a", true, true, Some(5_000)) => of("none"),
}

#[test]
fn without_organisations_nobody_needs_a_key() {
    let head = Head::default();
    let revocation = Revocation {
        closed: true,
        within: WITHIN,
    };
    let judged = authenticate(None, &route(false), &head, revocation, APPLY, None);
    assert_eq!(judged, Ok(None));
}

/// Why a list of organisations is not taken.
fn fault(rules: Vec<(OrgRule, Vec<KeyHash>)>) -> Option<String> {
    Orgs::from_rules(rules)
        .err()
        .map(|e: OrgsError| e.to_string())
}

cases! { fault;
    two_with_keys_of_their_own: vec![rule("a", &["k"]), rule("b", &["l"])] => None,
    one_that_lists_its_key_twice: vec![rule("a", &["k", "k"])] => None,
    one_listed_twice: vec![rule("a", &["k"]), rule("a", &["l"])] =>
        Some("organisation a is listed twice".to_owned()),
    two_with_one_key: vec![rule("a", &["k"]), rule("b", &["k"])] =>
        Some("organisations a and b hold the same key".to_owned()),
}

#[test]
fn a_hash_shows_nothing_of_its_key() {
    assert_eq!(format!("{:?}", KeyHash::from_key("secret")), "KeyHash(..)");
}

/// What happens to a follower and to the one that it follows.
#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(u16),
    /// The follower's note arrives.
    Note,
    /// The hub writes a total, which may be held up before it arrives.
    Total(u16),
    /// The hub reads the store, whose answer takes a while.
    Read(u16),
    /// A version is accepted that takes a key away.
    Revoke,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let long = *g.choose(&[1, 50, 400, 4_000]).expect("some");
        let ms = u16::arbitrary(g) % long;
        match u8::arbitrary(g) % 5 {
            0 => Self::Wait(ms),
            1 => Self::Note,
            2 => Self::Total(ms),
            3 => Self::Read(ms),
            _ => Self::Revoke,
        }
    }
}

/// However long answers and notes are on their way, a daemon relies on no key for longer than the
/// bound after the version was accepted that took it away.
fn relies_on_no_key_past_the_bound(steps: Vec<Step>) -> bool {
    let mut now = Millis(1_000_000);
    // Two clocks of which neither knows the other.
    let hub_clock = |now: Millis| Millis(now.0 + 77_000_000);
    let (mut hub, mut follower) = (ReadProgress::default(), ReadProgress::default());
    let (mut version, mut accepted) = (1, Vec::<Millis>::new());
    let mut note: Option<(Millis, Millis)> = None;
    for step in steps {
        match step {
            Step::Wait(ms) => now = now.plus(u64::from(ms)),
            Step::Note => note = Some((now, hub_clock(now))),
            Step::Read(ms) => {
                let asked = hub_clock(now);
                let next = version;
                now = now.plus(u64::from(ms));
                hub.on_config(next, hub_clock(now));
                hub.on_confirmed(next, asked);
            }
            Step::Total(ms) => {
                let (Some(mark), Some((sent, came))) = (certain_mark(&hub, hub_clock(now)), note)
                else {
                    continue;
                };
                let age = hub_clock(now).since(came) as u32;
                let echo = Ack {
                    incarnation: 1,
                    sent,
                    age,
                };
                now = now.plus(u64::from(ms));
                // It takes the configuration over as well.
                follower.on_config(mark.0, now);
                let at = echo.sent.plus(u64::from(echo.age));
                let at = Millis(at.0.saturating_sub(u64::from(mark.1)));
                follower.on_confirmed(mark.0, at);
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
            within: WITHIN,
        };
        let age = follower.confirmed_at().map(|at| Millis(now.since(at)));
        let missed = accepted.get(known as usize - 1);
        if revocation.holds(age) && missed.is_some_and(|at| now.since(*at) >= WITHIN.0) {
            return false;
        }
    }
    true
}

/// What a hub marks of the configuration: its end, and how long ago it was certainly that.
fn certain_mark(hub: &ReadProgress, now: Millis) -> Option<(u64, u32)> {
    let (next, _) = hub.config_known()?;
    let at = hub.confirmed_at()?;
    Some((next, now.since(at) as u32))
}

#[test]
fn nothing_is_admitted_past_the_bound() {
    const SEED: u64 = 20_261_203;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, SEED))
        .tests(4_000)
        .quickcheck(relies_on_no_key_past_the_bound as fn(Vec<Step>) -> bool);
}
