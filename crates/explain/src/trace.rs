//! The lines of all daemons about one request.

use crate::Line;
use shaleline_types::LogEvent;
use std::collections::BTreeSet;

/// The maximum number of related lines, such as the planner's about the model, that are added to
/// the lines of a request.
const MAX_CAUSE_LINES: usize = 8;

/// Whether the line reports a change of the model, or of the requested adapter.
fn is_model_change(line: &Line<'_>, model: &str, asked: &str) -> bool {
    match line.event {
        LogEvent::MovePlanned | LogEvent::ModelAway | LogEvent::ModelBack => {
            [line.get("model"), line.get("victim")].contains(&Some(model))
        }
        LogEvent::OrderSent | LogEvent::OrderSettled | LogEvent::OrderDoubt => {
            let order = line.get("order").unwrap_or_default();
            order.split(' ').any(|word| word == model || word == asked)
        }
        _ => false,
    }
}

/// Whether the line reports a change of the planner's lease, which can explain a missing order.
fn is_lease_change(line: &Line<'_>) -> bool {
    matches!(
        line.event,
        LogEvent::LeaseTaken
            | LogEvent::LeaseLost
            | LogEvent::LeaseInherited
            | LogEvent::LeaseReleaseIgnored
    )
}

/// Whether the line reports that an upstream ended while it ran the request, in any of the caller's
/// attempts, or what followed from it.
fn is_crash(line: &Line<'_>, request: &str) -> bool {
    let about = line.get("request") == Some(request);
    about
        && match line.event {
            LogEvent::RequestSuspected | LogEvent::RequestBlocked | LogEvent::RequestCleared => {
                true
            }
            LogEvent::SendFailed => line.get("failure") == Some("Ended"),
            _ => false,
        }
}

/// Returns the lines about the upstreams that ended while they ran a request, found by the request's
/// identity.
fn crashes<'a>(lines: &[Line<'a>], request: &str) -> Vec<Line<'a>> {
    let about = lines.iter().filter(|l| is_crash(l, request));
    let about: Vec<Line<'a>> = about.cloned().collect();
    let starts: BTreeSet<&str> = about.iter().filter_map(|l| l.get("start")).collect();
    let ended = lines.iter().filter(|l| {
        let start = l.get("start").is_some_and(|s| starts.contains(s));
        l.event == LogEvent::UpstreamEnded && start
    });
    ended.cloned().chain(about).collect()
}

/// Whether the line explains why a request was refused before it was sent to an upstream: its
/// organisation had used up its allowance, or its key was unknown or could not be verified.
fn is_cause(line: &Line<'_>, refused: &Line<'_>) -> bool {
    match refused.get("code") {
        Some("rate-limited") => {
            line.event == LogEvent::AllowanceUsed && line.get("org") == refused.get("org")
        }
        Some("keys-stale") => matches!(
            line.event,
            LogEvent::KeysStale | LogEvent::KeysKnown | LogEvent::LogLost | LogEvent::LogBack
        ),
        Some("key-unknown") => line.event == LogEvent::TableInForce,
        _ => false,
    }
}

/// Returns the last matching lines up to the time of `last`.
fn last_before<'a>(
    lines: &[Line<'a>],
    last: &Line<'a>,
    relevant: impl Fn(&Line<'a>) -> bool,
) -> Vec<Line<'a>> {
    let before = lines.iter().filter(|l| l.time() <= last.time());
    let mut found: Vec<Line<'a>> = before.filter(|l| relevant(l)).cloned().collect();
    found.sort_by_key(Line::time);
    let skipped = found.len().saturating_sub(MAX_CAUSE_LINES);
    found.split_off(skipped)
}

/// Returns the lines about a request and about the upstreams that ended while they ran it, in any
/// attempt. If no engine served its model, the planner's last lines about that model are added; if it
/// was refused for its key or its organisation's allowance, the lines that explain this are added.
/// All lines are sorted by time.
#[must_use]
pub fn trace<'a>(lines: &[Line<'a>], id: &str) -> Vec<Line<'a>> {
    let mut found: Vec<Line<'a>> = lines
        .iter()
        .filter(|l| l.get("id") == Some(id))
        .cloned()
        .collect();
    let request = found.iter().find_map(|l| l.get("request"));
    for line in request.map_or_else(Vec::new, |r| crashes(lines, r)) {
        if !found.contains(&line) {
            found.push(line);
        }
    }
    found.sort_by_key(Line::time);
    let Some(last) = found.last().cloned() else {
        return found;
    };
    let unserved = last.number("serving") == Some(0);
    let causes = match (last.model(), last.asked(), unserved) {
        (Some(model), Some(asked), true) => last_before(lines, &last, |l| {
            is_model_change(l, model, asked) || is_lease_change(l)
        }),
        _ => last_before(lines, &last, |l| is_cause(l, &last)),
    };
    found.splice(0..0, causes);
    found.sort_by_key(Line::time);
    found
}
