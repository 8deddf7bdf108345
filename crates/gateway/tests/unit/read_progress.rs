//! Tests of when a follower may rely on its hub's reads of the store.

use crate::message::ReadPosition;
use crate::read_progress::{Freshness, ReadProgress};
use shaleline_testkit::cases;
use shaleline_types::Millis;

const NOW: Millis = Millis(1_000_000);

fn at(offset: u64) -> shaleline_types::Position {
    shaleline_types::Position::new(0, offset)
}
const HUB: u64 = 7;

fn position(changes: u64, age: u32) -> ReadPosition {
    ReadPosition {
        confirmed_age: None,
        config: at(5),
        config_age: age,
        changes,
        changes_age: age,
        reads_store: true,
    }
}

/// Guards against unneeded reads of the store: when a new version appeared, a hub that follows
/// another reported the age of its copy of the previous version, thirty seconds, although later
/// read positions had confirmed it, and 281 daemons read the store themselves.
#[test]
fn a_confirmed_configuration_has_the_age_of_its_confirmation() {
    let mut reading = ReadProgress::default();
    reading.on_config_copied(at(5), NOW);
    reading.on_position(HUB, position(0, 200), NOW.plus(30_000));
    let newer = ReadPosition {
        config: at(6),
        ..position(0, 0)
    };
    reading.on_position(HUB, newer, NOW.plus(30_100));
    assert_eq!(reading.config_known(), Some((at(5), NOW.plus(29_800))));
}

/// Guards against rejected API keys: a daemon that learned of a newer configuration stopped
/// relying on any key at once, before it had received that configuration.
#[test]
fn a_reported_newer_configuration_does_not_void_the_confirmation_of_the_known_one() {
    let mut reading = ReadProgress::default();
    reading.on_config(at(5), NOW);
    reading.on_confirmed(at(5), NOW);
    reading.on_confirmed(at(6), NOW.plus(300));
    assert_eq!(reading.confirmed_at(), Some(NOW));
    reading.on_config(at(6), NOW.plus(400));
    assert_eq!(reading.confirmed_at(), Some(NOW));
    reading.on_confirmed(at(6), NOW.plus(300));
    assert_eq!(reading.confirmed_at(), Some(NOW.plus(300)));
}

#[derive(Clone, Copy)]
enum Step {
    /// The hub reports its read position: the number of messages sent and the age of its read.
    Position(u64, u32),
    /// The message of changes with this number arrives.
    Changes(u64),
    /// This daemon reads all entries itself.
    Read,
    /// This daemon copies the hub's entries as of this message, with the age of the hub's read.
    Copied(u64, u64),
    /// The hub restarts.
    Restart,
}

use Step::{Changes, Copied, Position, Read, Restart};

/// Whether the daemon can rely on its hub and needs no read of its own after these steps.
fn follows(steps: &[Step]) -> bool {
    let mut reading = ReadProgress::default();
    let mut incarnation = HUB;
    for step in steps {
        match *step {
            Position(changes, age) => reading.on_position(incarnation, position(changes, age), NOW),
            Changes(number) => {
                reading.on_changes(incarnation, number);
            }
            Read => {
                let position = reading.followed_position();
                reading.on_entries(position, NOW);
            }
            Copied(last, age) => reading.on_entries_copied(incarnation, last, Millis(NOW.0 - age)),
            Restart => incarnation += 1,
        }
    }
    let fresh = Freshness::from_bounds(Millis(2_000), Millis(800), Millis(120));
    reading.followed_entries(fresh, NOW).is_some()
}

/// Guards against repeated copies: a follower copied the configuration again and again until the
/// first read position of its hub arrived.
#[test]
fn a_copied_configuration_needs_no_further_read() {
    let fresh = Freshness::from_bounds(Millis(2_000), Millis(800), Millis(120));
    let mut reading = ReadProgress::default();
    assert_eq!(reading.followed_config(fresh, NOW), None);
    reading.on_config_copied(at(5), Millis(NOW.0 - 100));
    assert_eq!(reading.followed_config(fresh, NOW), Some(at(5)));
    assert_eq!(reading.followed_config(fresh, NOW.plus(2_000)), None);
}

cases! { follows;
    not_before_any_read: &[Position(3, 0)] => false,
    after_its_own_read: &[Position(3, 0), Read, Position(3, 0)] => true,
    with_every_later_message: &[Position(3, 0), Read, Changes(4), Position(4, 0)] => true,
    // A read position that overtook its message made all daemons read the store.
    not_until_a_sent_message_arrives: &[Position(3, 0), Read, Position(4, 0)] => false,
    once_the_overtaken_message_arrives: &[Position(3, 0), Read, Position(4, 0), Changes(4)] => true,
    not_with_a_message_missing: &[Position(3, 0), Read, Changes(5), Position(5, 0)] => false,
    again_after_a_read_that_covers_the_missing_message:
        &[Position(3, 0), Read, Changes(5), Position(5, 0), Read, Changes(6), Position(6, 0)] => true,
    not_where_the_hubs_read_is_old: &[Position(3, 0), Read, Position(3, 2_000)] => false,
    after_a_copy_of_the_hubs_entries: &[Copied(3, 0)] => true,
    after_a_copy_with_every_later_message: &[Copied(3, 0), Changes(4), Position(4, 0)] => true,
    not_after_a_copy_with_a_message_missing: &[Copied(3, 0), Changes(5), Position(5, 0)] => false,
    not_after_a_copy_of_an_old_read: &[Copied(3, 2_000)] => false,
    after_a_copy_from_a_restarted_hub: &[Position(3, 0), Read, Restart, Copied(1, 0)] => true,
    not_after_a_restart_of_the_hub: &[Position(3, 0), Read, Restart, Position(3, 0)] => false,
}
