//! Parsing of saved lines, counts of lost requests, and the causes of a refusal.

use shaleline_explain::{trace, Line, Losses, Tally};
use shaleline_testkit::cases;

/// Lines of two daemons as a log collector saves them, among them one without an event.
const LOG: &str = r#"
7.2 entry-1 time=13:44:32.210 level=INFO event=5005 name=MovePlanned model=idle upstream=e1 value=12.0 asked=0.00 far=false loads=8 victim=frost victim_asked=15.09
7.3 entry-1 time=13:44:32.258 level=INFO event=5001 name=OrderSent order="unload frost at e1 expecting 17" fence=1 reply=Accepted
7.4 entry-1 time=13:44:32.300 level=INFO event=5006 name=ModelAway model=frost away_ms=0 asked=14.58 coming=0 copies=2 free=1 dropping=0 loads=0
7.5 entry-2 time=13:44:32.400 level=INFO event=8202 name=RequestRefused id=r1 code=no-upstream route=ab asked=models/frost+a1 serving=0 sends=0
7.6 entry-2 time=13:44:32.500 level=INFO event=8202 name=RequestRefused id=r2 code=deadline-unmet route=ab asked=models/other serving=3 sends=0
7.7 entry-2 time=13:44:32.600 level=INFO event=8201 name=RequestEnded id=r3 code=ok route=ab asked=models/other serving=3 sends=1
7.8 entry-2 time=13:44:32.700 level=INFO event=8204 name=SendFailed id=r4 upstream=e2 send=1 failure=Broken
7.9 entry-2 time=13:44:32.800 level=WARN event=8203 name=RequestFailed id=r4 code=upstream-failed route=cd asked=services/pay serving=2 sends=1
a line of a library without an event
8.0 entry-2 time=13:44:32.900 level=INFO event=8202 name=RequestRefused id=r5 code=no-route reason="no route: event=9 of none"
9.9 entry-1 time=13:44:34.900 level=INFO event=5007 name=ModelBack model=frost away_ms=2600
"#;

fn lines() -> Vec<Line<'static>> {
    LOG.lines().filter_map(Line::from_text).collect()
}

#[test]
fn only_lines_with_an_event_are_read() {
    assert_eq!(lines().len(), 10);
}

fn tally_of(model: &str) -> Option<Tally> {
    let mut losses = Losses::default();
    lines().iter().for_each(|l| losses.record(l));
    let models = losses.by_loss();
    models.iter().find(|(m, _)| *m == model).map(|(_, t)| *t)
}

cases! { tally_of;
    refused_while_no_engine_serves_the_model: "frost" => Some(Tally {
        requests: 1,
        unserved: 1,
        unserved_ms: 2_600,
        ..Tally::default()
    }),
    refused_by_full_engines: "other" => Some(Tally {
        requests: 2,
        served: 1,
        overloaded: 1,
        ..Tally::default()
    }),
    plain_services_are_counted_together: "(services)" => Some(Tally {
        requests: 1,
        failed: 1,
        ..Tally::default()
    }),
    model_without_requests: "idle" => None,
}

/// Returns the event numbers of the lines that are shown for a request.
fn shown(id: &str) -> Vec<u16> {
    let shown = trace(&lines(), id);
    shown.iter().map(|l| l.event.number()).collect()
}

cases! { shown;
    // The planner's lines about the model come first.
    request_for_an_unserved_model: "r1" => vec![5005, 5001, 5006, 8202],
    request_refused_by_full_engines: "r2" => vec![8202],
    failed_request: "r4" => vec![8204, 8203],
    request_without_lines: "r9" => Vec::<u16>::new(),
}

/// Returns a field of a line; a quoted value may contain spaces and equals signs.
fn field((text, key): (&str, &str)) -> Option<String> {
    Line::from_text(text)?.get(key).map(str::to_owned)
}

cases! { field;
    quoted: ("event=5001 order=\"load a at b\" reply=Accepted", "order") => Some("load a at b".to_owned()),
    after_a_quoted_one: ("event=5001 order=\"load a=b\" reply=Accepted", "reply") => Some("Accepted".to_owned()),
    an_open_quote_ends_the_fields: ("event=5001 order=\"load", "order") => None,
    an_unknown_event: ("event=1 a=b", "a") => None,
    malformed_event_number: ("event=x a=b", "a") => None,
}

/// Two attempts of one request at two daemons, during each of which an engine ended, and a third
/// attempt that is refused.
const CRASHES: &str = "\
time=10:00:01.000 event=8204 name=SendFailed id=a1 request=0f0f0f0f upstream=i-1 start=11 failure=Ended
time=10:00:01.000 event=8103 name=UpstreamEnded upstream=i-1 start=11
time=10:00:01.001 event=8204 name=SendFailed id=b1 request=77777777 upstream=i-1 start=11 failure=Ended
time=10:00:02.000 event=8103 name=UpstreamEnded upstream=i-2 start=22
time=10:00:02.001 event=8104 name=RequestSuspected request=0f0f0f0f upstream=i-2 start=22
time=10:00:02.500 event=8103 name=UpstreamEnded upstream=i-9 start=99
time=10:00:03.000 event=8105 name=RequestBlocked request=0f0f0f0f
time=10:00:04.000 event=8203 name=RequestFailed id=a3 request=0f0f0f0f code=ends-upstreams serving=3";

#[test]
fn trace_of_a_blocked_request_includes_the_upstreams_that_ended() {
    let lines: Vec<Line<'_>> = CRASHES.lines().filter_map(Line::from_text).collect();
    let found = trace(&lines, "a3");
    let times: Vec<&str> = found.iter().map(Line::time).collect();
    let want = [
        "10:00:01.000",
        "10:00:01.000",
        "10:00:02.000",
        "10:00:02.001",
        "10:00:03.000",
        "10:00:04.000",
    ];
    assert_eq!(times, want);
    assert!(found.iter().all(|l| l.get("start") != Some("99")));
}

/// Each of three adapters has four refused requests; one is then served, and for another the planner
/// reports a reason.
#[test]
fn adapters_never_served_are_listed_with_the_reason() {
    let mut log = Vec::new();
    for adapter in ["a1", "a2", "a3"] {
        for _ in 0..4 {
            log.push(format!(
                "time=1 level=INFO event=8202 name=RequestRefused id=r code=no-upstream asked=models/frost+{adapter} serving=0"
            ));
        }
    }
    log.push(
        "time=2 level=INFO event=8201 name=RequestEnded id=r code=ok asked=models/frost+a1 serving=1"
            .to_owned(),
    );
    log.push(
        "time=3 level=INFO event=5009 name=AdapterAway model=frost+a2 waited_ms=900 asked=0.40 serving=1 why=no-place"
            .to_owned(),
    );
    let mut losses = Losses::default();
    let lines = log.iter().filter_map(|l| Line::from_text(l));
    lines.for_each(|l| losses.record(&l));
    let never = losses.never_served();
    let expected = [
        ("frost+a2", 4, "no-place"),
        ("frost+a3", 4, "the planner did not know of it"),
    ];
    assert_eq!(never, expected);
}

const REFUSED: &str = "\
time=10:00:00.500 event=3101 name=TableInForce version=7 before=5
time=10:00:01.000 event=8205 name=AllowanceUsed org=a cost=1800 part=0.333 retry_ms=70 config=7
time=10:00:01.500 event=8205 name=AllowanceUsed org=b cost=1800 part=0.333 retry_ms=70 config=7
time=10:00:02.000 event=8202 name=RequestRefused id=q1 code=rate-limited org=a
time=10:00:03.000 event=2001 name=LogLost topic=config error=Lost
time=10:00:07.000 event=3106 name=KeysStale config=7 age_ms=5000
time=10:00:08.000 event=8202 name=RequestRefused id=q2 code=keys-stale org=none
time=10:00:09.000 event=3107 name=KeysKnown config=7 age_ms=90
time=10:00:09.500 event=8202 name=RequestRefused id=q3 code=key-unknown org=none";

/// Returns the event numbers of a refused request's trace.
fn explained(id: &str) -> Vec<u16> {
    let lines: Vec<Line<'_>> = REFUSED.lines().filter_map(Line::from_text).collect();
    trace(&lines, id).iter().map(|l| l.event.number()).collect()
}

cases! { explained;
    an_allowance_that_was_used_up: "q1" => vec![8205, 8202],
    stale_keys_after_the_log_was_lost: "q2" => vec![2001, 3106, 8202],
    an_unknown_key: "q3" => vec![3101, 8202],
}
