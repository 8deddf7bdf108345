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

/// The lines about a request, about the upstreams that ended under it in any attempt, and where no
/// engine served what it asked for, the planner's last lines about that model before; all by
/// their time.
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
    if let (Some(model), Some(asked), true) = (last.model(), last.asked(), unserved) {
        let mut plans: Vec<Line<'a>> = lines
            .iter()
            .filter(|l| is_about(l, model, asked) || is_lease(l))
            .filter(|l| l.time() <= last.time())
            .cloned()
            .collect();
        plans.sort_by_key(Line::time);
        let skipped = plans.len().saturating_sub(PLANS);
        found.splice(0..0, plans.into_iter().skip(skipped));
        found.sort_by_key(Line::time);
    }
    found
}
