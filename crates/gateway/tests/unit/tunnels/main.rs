//! Tests that callers of a daemon which does not reach the upstreams are served through another
//! one that does, with real connections.

mod cut_head;
mod pair;

use pair::{whole_body, Break, Pair};
use shaleline_testkit::cases;

const REQUESTS: usize = 12;

/// The number of daemons whose paths are broken where all but one are.
const ALL_BUT_ONE: usize = 5;

fn unserved((broken, path): (Break, &'static str)) -> Vec<String> {
    unserved_among((broken, path, 1))
}

/// The requests at a daemon that are not served, where `cut` daemons don't reach the upstreams.
fn unserved_among((broken, path, cut): (Break, &'static str, usize)) -> Vec<String> {
    actix_rt::System::new().block_on(async {
        let pair = Pair::start_with(broken, cut).await;
        let mut unserved = Vec::new();
        for number in 0..REQUESTS {
            let id = format!("r{number}");
            let answer = pair.request(path, &id).await;
            if answer != format!("200 {}", whole_body(path, &id)) {
                unserved.push(answer);
            }
        }
        unserved
    })
}

cases! {
    unserved;
    callers_of_a_daemon_whose_connections_are_refused_are_served:
        (Break::Refuses, "/safe/x") => Vec::<String>::new(),
    what_may_not_be_repeated_is_served_where_connections_are_refused:
        (Break::Refuses, "/unsafe/x") => Vec::<String>::new(),
    streams_are_served_where_connections_are_refused:
        (Break::Refuses, "/stream/x") => Vec::<String>::new(),
    callers_of_a_daemon_whose_connections_hang_are_served:
        (Break::Hangs, "/safe/x") => Vec::<String>::new(),
    what_may_not_be_repeated_is_served_where_connections_hang:
        (Break::Hangs, "/unsafe/x") => Vec::<String>::new(),
}

cases! {
    unserved_among;
    the_one_daemon_that_is_refused_no_connection_serves_for_all:
        (Break::Refuses, "/unsafe/x", ALL_BUT_ONE) => Vec::<String>::new(),
    the_one_daemon_whose_connections_open_serves_for_all:
        (Break::Hangs, "/unsafe/x", ALL_BUT_ONE) => Vec::<String>::new(),
}

/// The status that a caller gets through a tunnel where the head of the answer lacks its last bytes.
fn status_with_missing((path, missing): (&'static str, usize)) -> String {
    actix_rt::System::new().block_on(async {
        let pair = Pair::start_before_cut_heads(Break::Refuses, missing).await;
        let answer = pair.request(path, "r1").await;
        answer.split(' ').next().unwrap_or_default().to_owned()
    })
}

cases! { status_with_missing;
    a_head_that_lacks_a_byte_behind_a_tunnel_is_a_failure: ("/unsafe/x", 1) => "502",
    a_head_that_lacks_its_last_line_behind_a_tunnel_is_a_failure: ("/unsafe/x", 2) => "502",
    a_length_that_is_cut_behind_a_tunnel_is_a_failure: ("/unsafe/x", 5) => "502",
    a_head_that_lacks_its_length_behind_a_tunnel_is_a_failure: ("/unsafe/x", 22) => "502",
    a_head_of_a_stream_that_is_cut_behind_a_tunnel_is_a_failure: ("/stream/x", 2) => "502",
    a_status_line_that_is_cut_behind_a_tunnel_is_a_failure: ("/unsafe/x", 50) => "502",
}

#[test]
fn each_request_runs_once_through_a_tunnel() {
    actix_rt::System::new().block_on(async {
        let pair = Pair::start(Break::Refuses).await;
        for number in 0..REQUESTS {
            pair.request("/unsafe/x", &format!("r{number}")).await;
        }
        let mut runs = pair.runs();
        let count = runs.len();
        runs.sort();
        runs.dedup();
        assert_eq!((count, runs.len()), (REQUESTS, REQUESTS));
    });
}

#[test]
fn a_daemon_that_stops_opens_no_tunnel() {
    actix_rt::System::new().block_on(async {
        let pair = Pair::start(Break::Refuses).await;
        pair.stop_other();
        let answer = pair.request("/unsafe/x", "r1").await;
        assert!(answer.starts_with("503"), "{answer}");
    });
}

#[test]
fn an_upstream_that_both_daemons_find_closed_counts_as_crashed() {
    actix_rt::System::new().block_on(async {
        let pair = Pair::start(Break::Refuses).await;
        pair.close_upstreams();
        let answer = pair.request("/unsafe/x", "r1").await;
        assert!(answer.starts_with("503"), "{answer}");
    });
}
