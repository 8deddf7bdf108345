//! Tests of what a selecting daemon makes of sends that another daemon gives back.

use super::suspended::Daemon;
use crate::dispatch::{Ask, AskNote, EndNote, ProgressNote, Ticket};
use shaleline_testkit::cases;

const TICKET: Ticket = Ticket {
    incarnation: 2,
    id: 1,
};

/// Whether an upstream counts as leaving here after another daemon has given a send back.
fn counts_as_leaving(end: EndNote) -> Option<bool> {
    let daemon = Daemon::start();
    daemon.list(1, true);
    let (gw, other) = (&daemon.gw, daemon.gw.me.clone());
    let request = daemon.request(1);
    gw.handle_ask(&other, Ask::plain(TICKET, AskNote::of(&request, gw.now())));
    assert_eq!(daemon.sent(), 1);
    gw.handle_progress(TICKET, ProgressNote::Ended(1, end));
    let leaving = gw.router.borrow().is_leaving(&daemon.upstream());
    leaving
}

cases! {
    counts_as_leaving;
    a_daemon_that_has_not_read_of_a_restart_does_not_keep_all_from_the_upstream:
        EndNote::Leaving => Some(false),
    rest_of_another_daemon_is_no_leaving: EndNote::Resting(30_000) => Some(false),
}
