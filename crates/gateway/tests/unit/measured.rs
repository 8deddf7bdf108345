//! What daemons measure of upstreams, and what a hub learns from it.

use super::suspended::Daemon;
use crate::dispatch::{Ask, AskNote, EndNote, MeasurementNote, ProgressNote, Ticket};
use crate::event_pace::EventPace;
use serde::{Deserialize, Serialize};
use shaleline_route::{AttemptNumber, Measurement};
use shaleline_testkit::cases;
use shaleline_types::Millis;

/// What happens to a stream at its daemon.
#[derive(Clone, Copy)]
enum Step {
    /// An event arrives at this time.
    Event(u64),
    /// The caller takes this long to accept one.
    Accept(u64),
}

use Step::{Accept, Event};

fn pace(steps: &[Step]) -> Option<(u32, u64)> {
    let mut pace = EventPace::default();
    for step in steps {
        match *step {
            Event(at) => pace.on_event(Millis(at)),
            Accept(waited) => pace.on_accepted(Millis(waited)),
        }
    }
    pace.to_measurement().map(|m| (m.intervals, m.elapsed.0))
}

// A slow caller, or a stream of two events, must not make its engine look slow.
cases! {
    pace;
    a_stream_is_measured_from_its_first_to_its_last_event:
        &[Event(10), Accept(0), Event(60), Event(110), Event(170)] => Some((3, 160)),
    a_short_stream_is_not_measured: &[Event(10), Event(60), Event(110)] => None,
    a_stream_without_events_is_not_measured: &[] => None,
    a_stream_that_its_caller_holds_up_is_not_measured:
        &[Event(10), Event(60), Accept(400), Event(460), Event(460), Event(500)] => None,
}

const TICKET: Ticket = Ticket {
    incarnation: 2,
    id: 1,
};

/// The speed of an upstream at a hub after another daemon has reported the slowdown that it named,
/// for an attempt.
fn speed_percent((attempt, slowdown): (AttemptNumber, Option<u32>)) -> u64 {
    let daemon = Daemon::start();
    daemon.list(1, true);
    let (gw, other) = (&daemon.gw, daemon.gw.me.clone());
    let request = daemon.request(1);
    gw.handle_ask(&other, Ask::plain(TICKET, AskNote::of(&request, gw.now())));
    let note = MeasurementNote::of(&Measurement {
        slowdown,
        ..Measurement::default()
    });
    gw.handle_progress(TICKET, ProgressNote::Measured(attempt, note));
    let stats = gw.router.borrow().upstreams(gw.now());
    stats[0].speed_percent
}

cases! {
    speed_percent;
    a_hub_learns_what_another_daemon_read: (1, Some(250)) => 171,
    a_report_without_a_figure_changes_nothing: (1, None) => 100,
    a_report_of_an_attempt_that_never_was_changes_nothing: (2, Some(250)) => 100,
}

/// The progress that a daemon of the earlier release reports and understands.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierProgress {
    FirstByte(AttemptNumber),
    Ended(AttemptNumber, EndNote),
    Gone,
}

/// What a daemon of the earlier release decodes from this daemon's progress.
fn earlier(note: ProgressNote) -> Option<EarlierProgress> {
    let bytes = postcard::to_stdvec(&note).expect("it is encoded");
    postcard::from_bytes(&bytes).ok()
}

fn measured() -> ProgressNote {
    ProgressNote::Measured(1, MeasurementNote::of(&Measurement::default()))
}

// Daemons of the earlier release run alongside.
cases! {
    earlier;
    the_first_byte_is_understood: ProgressNote::FirstByte(3) => Some(EarlierProgress::FirstByte(3)),
    an_end_is_understood:
        ProgressNote::Ended(3, EndNote::Whole) => Some(EarlierProgress::Ended(3, EndNote::Whole)),
    that_a_caller_left_is_understood: ProgressNote::Gone => Some(EarlierProgress::Gone),
    a_measurement_is_dropped: measured() => None,
}
