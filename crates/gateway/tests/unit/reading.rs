//! Who may rely on a hub's reading.

use crate::message::ReadPosition;
use crate::read_progress::{Freshness, ReadProgress};
use shaleline_testkit::cases;
use shaleline_types::Millis;

const NOW: Millis = Millis(1_000_000);
const HUB: u64 = 7;

fn mark(changes: u64, age: u32) -> ReadPosition {
    ReadPosition {
        confirmed_age: None,
        config: 5,
        config_age: age,
        changes,
        changes_age: age,
        reads_store: true,
    }
}

/// At a new version a hub that followed told that it had known the one before since it copied
/// it, thirty seconds before, and 281 daemons read the store by themselves.
#[test]
fn what_is_marked_as_the_newest_was_known_a_moment_ago() {
    let mut reading = ReadProgress::default();
    reading.on_config_copied(5, NOW);
    reading.on_position(HUB, mark(0, 200), NOW.plus(30_000));
    let newer = ReadPosition {
        config: 6,
        ..mark(0, 0)
    };
    reading.on_position(HUB, newer, NOW.plus(30_100));
    assert_eq!(reading.config_known(), Some((5, NOW.plus(29_800))));
}

/// A daemon that was told of a newer configuration relied on no key at once, before it had it.
#[test]
fn word_of_a_newer_configuration_does_not_make_the_older_one_uncertain() {
    let mut reading = ReadProgress::default();
    reading.on_config(5, NOW);
    reading.on_confirmed(5, NOW);
    reading.on_confirmed(6, NOW.plus(300));
    assert_eq!(reading.confirmed_at(), Some(NOW));
    reading.on_config(6, NOW.plus(400));
    assert_eq!(reading.confirmed_at(), Some(NOW));
    reading.on_confirmed(6, NOW.plus(300));
    assert_eq!(reading.confirmed_at(), Some(NOW.plus(300)));
}

#[derive(Clone, Copy)]
enum Step {
    /// The hub marks so many messages sent, read so long ago.
    ReadPosition(u64, u32),
    /// A message of changes came.
    Changes(u64),
    /// This daemon read all entries itself.
    Read,
    /// This daemon copied the hub's entries as of this message, read so long ago.
    Copy(u64, u64),
    /// The hub started anew.
    Restart,
}

use Step::{Changes, Copy as Copied, Read, ReadPosition as Marked, Restart};

/// Whether the daemon needs no read of its own after these steps.
fn follows(steps: &[Step]) -> bool {
    let mut reading = ReadProgress::default();
    let mut life = HUB;
    for step in steps {
        match *step {
            Marked(changes, age) => reading.on_position(life, mark(changes, age), NOW),
            Changes(number) => {
                reading.on_changes(life, number);
            }
            Read => {
                let position = reading.followed_position();
                reading.on_entries(position, NOW);
            }
            Copied(number, age) => reading.on_entries_copied(life, number, Millis(NOW.0 - age)),
            Restart => life += 1,
        }
    }
    let fresh = Freshness::from_bounds(Millis(2_000), Millis(800), Millis(120));
    reading.follows_entries(fresh, NOW)
}

/// A follower copied the configuration over and over until its hub's first mark came.
#[test]
fn a_copied_configuration_needs_no_further_read() {
    let fresh = Freshness::from_bounds(Millis(2_000), Millis(800), Millis(120));
    let mut reading = ReadProgress::default();
    assert_eq!(reading.followed_config(fresh, NOW), None);
    reading.on_config_copied(5, Millis(NOW.0 - 100));
    assert_eq!(reading.followed_config(fresh, NOW), Some(5));
    assert_eq!(reading.followed_config(fresh, NOW.plus(2_000)), None);
}

cases! { follows;
    not_before_anything_was_read: &[Marked(3, 0)] => false,
    after_a_read_of_its_own: &[Marked(3, 0), Read, Marked(3, 0)] => true,
    with_every_message_since: &[Marked(3, 0), Read, Changes(4), Marked(4, 0)] => true,
    // A mark that overtook its message made all daemons read.
    not_until_a_marked_message_came: &[Marked(3, 0), Read, Marked(4, 0)] => false,
    once_the_overtaken_message_came: &[Marked(3, 0), Read, Marked(4, 0), Changes(4)] => true,
    not_with_a_message_missing: &[Marked(3, 0), Read, Changes(5), Marked(5, 0)] => false,
    again_after_reading_for_the_missing_one:
        &[Marked(3, 0), Read, Changes(5), Marked(5, 0), Read, Changes(6), Marked(6, 0)] => true,
    not_where_the_hub_read_long_ago: &[Marked(3, 0), Read, Marked(3, 2_000)] => false,
    after_a_copy_of_the_hubs_entries: &[Copied(3, 0)] => true,
    after_a_copy_and_every_message_since: &[Copied(3, 0), Changes(4), Marked(4, 0)] => true,
    not_after_a_copy_with_a_message_missing: &[Copied(3, 0), Changes(5), Marked(5, 0)] => false,
    not_after_a_copy_of_what_was_read_long_ago: &[Copied(3, 2_000)] => false,
    after_a_copy_from_a_hub_that_started_anew: &[Marked(3, 0), Read, Restart, Copied(1, 0)] => true,
    not_after_the_hub_started_anew: &[Marked(3, 0), Read, Restart, Marked(3, 0)] => false,
}
