//! Whether an upstream ended when a send to it broke off.
//!
//! A connection breaks for many reasons: it was reset, its way was cut, the upstream hangs, sheds
//! connections or breaks off one answer. Only where nothing listens at its address any more, and
//! nobody said that it would leave, did it end under what it had to do.

use crate::journal::emit;
use crate::state::Gateway;
use shaleline_edge::ProbeOutcome;
use shaleline_route::AttemptNumber;
use shaleline_types::{Incarnation, IncarnationTag, LogEvent, Millis, Upstream};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OnceCell;

/// How long a connection may take that shows whether an upstream still listens: a refusal takes
/// one way there and back, some milliseconds; the caller waits meanwhile. A second one follows where
/// the first gets no answer: on a link that loses one packet in forty an end would go unseen as often.
const LIMITS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(90)];

/// What was seen holds for sends that broke off within so long: they end with the upstream, at one
/// moment, and are noticed within one round of tasks of a busy instance.
const SAME_MS: u64 = 300;

/// What was seen last of an upstream, and when that was asked.
type Seen = Rc<OnceCell<ProbeOutcome>>;

/// What was seen of upstreams to which sends broke off.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    looks: HashMap<IncarnationTag, (Millis, Seen)>,
}

impl CrashProbes {
    /// The look at a start of an upstream, which sends that break off together share.
    fn look(&mut self, start: IncarnationTag, now: Millis) -> Seen {
        self.looks.retain(|_, (at, _)| now.since(*at) < SAME_MS);
        let (_, seen) = self
            .looks
            .entry(start)
            .or_insert_with(|| (now, Seen::default()));
        Rc::clone(seen)
    }
}

/// One send: to which upstream, and which start of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SentAttempt {
    pub(crate) attempt: AttemptNumber,
    pub(crate) upstream: Upstream,
    pub(crate) start: IncarnationTag,
}

impl Gateway {
    /// A send that begins now. Which start of the upstream it is for is asked before it: when the
    /// send breaks off, the next start may be known already.
    pub(crate) fn begin_send(&self, attempt: AttemptNumber, upstream: &Upstream) -> SentAttempt {
        let listed = self.roster.borrow().get(upstream).map(|e| e.incarnation);
        let incarnation = listed.unwrap_or_default();
        SentAttempt {
            attempt,
            start: IncarnationTag::of(upstream, self.latest(upstream, incarnation)),
            upstream: upstream.clone(),
        }
    }

    /// What an engine said of itself may be newer than its entry.
    fn latest(&self, upstream: &Upstream, listed: Incarnation) -> Incarnation {
        let seen = self.start_of(upstream).1;
        match seen.compare_to(listed) {
            std::cmp::Ordering::Greater => seen,
            _ => listed,
        }
    }

    /// Whether the upstream ended under a send that broke off there.
    pub(crate) async fn has_crashed(&self, sent: &SentAttempt) -> bool {
        // One that leaves ends as planned, whatever it still does.
        if self.roster.borrow().is_leaving(&sent.upstream) {
            return false;
        }
        let Some(target) = self.target(&sent.upstream) else {
            return false;
        };
        let seen = self.crash_probes.borrow_mut().look(sent.start, self.now());
        let reach = seen.get_or_init(|| async {
            let mut reach = ProbeOutcome::Unreachable;
            for limit in LIMITS {
                if reach == ProbeOutcome::Unreachable {
                    reach = self.pool.probe(&target, limit).await;
                }
            }
            self.log_look(sent, reach);
            reach
        });
        *reach.await == ProbeOutcome::Refused
    }

    fn log_look(&self, sent: &SentAttempt, reach: ProbeOutcome) {
        if reach != ProbeOutcome::Refused {
            return;
        }
        let detail = format!("upstream={} start={}", sent.upstream, sent.start);
        emit(LogEvent::UpstreamEnded, &detail);
    }
}
