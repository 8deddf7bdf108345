//! Who may rely on a hub's reading.

use crate::message::Mark;
use crate::reading::Reading;
use shaleline_testkit::cases;
use shaleline_types::Millis;

const NOW: Millis = Millis(1_000_000);
const HUB: u64 = 7;

fn mark(changes: u64, age: u32) -> Mark {
    Mark {
        config: 5,
        config_age: age,
        changes,
        changes_age: age,
    }
}

#[derive(Clone, Copy)]
enum Step {
    /// The hub marks so many messages sent, read so long ago.
    Mark(u64, u32),
    /// A message of changes came.
    Changes(u64),
    /// This daemon read all entries itself.
    Read,
    /// The hub started anew.
    Restart,
}

use Step::{Changes, Mark as Marked, Read, Restart};

/// Whether the daemon needs no read of its own after these steps.
fn follows(steps: &[Step]) -> bool {
    let mut reading = Reading::default();
    let mut life = HUB;
    for step in steps {
        match *step {
            Marked(changes, age) => reading.on_mark(life, mark(changes, age), NOW),
            Changes(number) => {
                reading.on_changes(life, number);
            }
            Read => {
                let position = reading.position();
                reading.on_entries(position, NOW);
            }
            Restart => life += 1,
        }
    }
    reading.follows_entries(NOW)
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
    not_after_the_hub_started_anew: &[Marked(3, 0), Read, Restart, Marked(3, 0)] => false,
}
