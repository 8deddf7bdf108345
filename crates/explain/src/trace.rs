//! What all daemons wrote about one request.

use crate::Line;
use shaleline_types::LogEvent;
use std::collections::BTreeSet;

/// So many of the planner's lines about the model are shown before the request's last.
const PLANS: usize = 8;

/// Whether the line tells what became of a model, or of the adapter that is asked for.
fn is_about(line: &Line<'_>, model: &str, asked: &str) -> bool {
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

/// Who planned when, which an order that is missing hangs on.
fn is_lease(line: &Line<'_>) -> bool {
    matches!(
        line.event,
        LogEvent::LeaseTaken | LogEvent::LeaseLost | LogEvent::LeaseInherited
    )
}

/// What tells that an upstream ended under a request, in any of its caller's attempts, and what came
/// of that.
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

/// The lines about the upstreams that ended under a request, by the request's identity.
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

/// Whether the line tells why a request was refused that was never asked an upstream for: its
/// organisation had used up its allowance, or its key could not be relied on.
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

/// The last of the lines up to that time that tell of something.
fn last_before<'a>(
    lines: &[Line<'a>],
    last: &Line<'a>,
    about: impl Fn(&Line<'a>) -> bool,
) -> Vec<Line<'a>> {
    let before = lines.iter().filter(|l| l.time() <= last.time());
    let mut found: Vec<Line<'a>> = before.filter(|l| about(l)).cloned().collect();
    found.sort_by_key(Line::time);
    let skipped = found.len().saturating_sub(PLANS);
    found.split_off(skipped)
}

/// The lines about a request, about the upstreams that ended under it in any attempt, and where no
/// engine served what it asked for, the planner's last lines about that model before; where it was
/// refused for its key or its organisation's allowance, what led to that. All by their time.
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
        (Some(model), Some(asked), true) => {
            last_before(lines, &last, |l| is_about(l, model, asked) || is_lease(l))
        }
        _ => last_before(lines, &last, |l| is_cause(l, &last)),
    };
    found.splice(0..0, causes);
    found.sort_by_key(Line::time);
    found
}
