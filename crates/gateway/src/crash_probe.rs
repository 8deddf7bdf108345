//! Finds out whether an upstream crashed when an attempt broke off.
//!
//! A connection breaks for many reasons: it was reset, the network failed, or the upstream hangs,
//! sheds connections or breaks off one answer. An upstream counts as crashed only if nothing
//! listens at its address any more and it was not announced that it would leave.
//!
//! An answer that ends with its connection is complete only if its upstream is known to run on: it
//! listens, and its removal, if one was announced, has not come.

use crate::attempt::Failure;
use crate::journal::emit;
use crate::state::Gateway;
use shaleline_edge::{Exchange, Framing, ProbeOutcome, Target};
use shaleline_route::AttemptNumber;
use shaleline_types::{Incarnation, IncarnationTag, LogEvent, Millis, SoftwareVersion, Upstream};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::OnceCell;

/// Timeouts of the connections that show whether an upstream still listens. A refusal takes one
/// round trip of some milliseconds, and the caller waits meanwhile. A second connection follows if
/// the first gets no answer: with one, a link that loses one packet in forty would hide one crash
/// in forty.
const PROBE_TIMEOUTS: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(90)];

/// Time for which a probe's result holds for other attempts that broke off: they break off together
/// with the upstream, and are noticed within one round of tasks of a busy instance.
const PROBE_VALID_MS: u64 = 300;

/// The result of a probe, which several attempts may wait for.
pub(crate) type ProbeResult = Rc<OnceCell<ProbeOutcome>>;

/// The recent probes of upstreams, each with its time.
#[derive(Debug, Default)]
pub(crate) struct CrashProbes {
    probes: HashMap<IncarnationTag, (Millis, ProbeResult)>,
}

impl CrashProbes {
    /// The probe of an incarnation of an upstream, which attempts that break off together share. A
    /// connection that was accepted shows nothing for attempts that broke off after it.
    pub(crate) fn probe(&mut self, start: IncarnationTag, now: Millis) -> ProbeResult {
        let is_valid = |at: &Millis, seen: &ProbeResult| {
            now.since(*at) < PROBE_VALID_MS && seen.get() != Some(&ProbeOutcome::Accepted)
        };
        self.probes.retain(|_, (at, seen)| is_valid(at, seen));
        let (_, seen) = self
            .probes
            .entry(start)
            .or_insert_with(|| (now, ProbeResult::default()));
        Rc::clone(seen)
    }
}

/// An attempt, with its upstream, the upstream's incarnation and the version of its software.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SentAttempt {
    pub(crate) attempt: AttemptNumber,
    pub(crate) upstream: Upstream,
    pub(crate) start: IncarnationTag,
    pub(crate) incarnation: Incarnation,
    pub(crate) version: SoftwareVersion,
    /// The address that it is sent to, which remains known once the upstream's entry is removed.
    pub(crate) target: Option<Target>,
}

impl Gateway {
    /// Records the beginning of an attempt. The upstream's incarnation is read before the attempt:
    /// when it breaks off, the next incarnation may be known already.
    pub(crate) fn begin_send(&self, attempt: AttemptNumber, upstream: &Upstream) -> SentAttempt {
        let listed = self.roster.borrow().get(upstream).map(|e| e.incarnation);
        let incarnation = listed.unwrap_or_default();
        SentAttempt {
            attempt,
            start: IncarnationTag::of(upstream, self.latest(upstream, incarnation)),
            incarnation: self.incarnation_of(upstream),
            upstream: upstream.clone(),
            version: self.version_of(upstream),
            target: self.target(upstream),
        }
    }

    /// Whether a later incarnation of the attempt's upstream is known.
    fn has_started_again(&self, sent: &SentAttempt) -> bool {
        let known = self.incarnation_of(&sent.upstream);
        known.compare_to(sent.incarnation) == std::cmp::Ordering::Greater
    }

    /// The latest known incarnation of an upstream. It is unknown if entries have no start time:
    /// not every daemon sees the engines' own reports.
    pub(crate) fn incarnation_of(&self, upstream: &Upstream) -> Incarnation {
        let listed = self.roster.borrow().get(upstream).map(|e| e.incarnation);
        match listed {
            Some(listed) if listed != Incarnation::default() => self.latest(upstream, listed),
            _ => Incarnation::default(),
        }
    }

    /// The latest incarnation known: an engine's own report may be newer than its entry.
    fn latest(&self, upstream: &Upstream, listed: Incarnation) -> Incarnation {
        let seen = self.start_of(upstream).1;
        match seen.compare_to(listed) {
            std::cmp::Ordering::Greater => seen,
            _ => listed,
        }
    }

    /// Checks that an answer which ended with its connection did not end because the upstream crashed
    /// or was removed: the system closes the connections of a process that ends, which looks the same.
    /// Where it can't be found out, the answer counts as truncated.
    ///
    /// # Errors
    /// [`Failure::Ended`] if the upstream crashed, [`Failure::Truncated`] if the answer may be
    /// incomplete for another reason.
    pub(crate) async fn check_end(
        &self,
        sent: &SentAttempt,
        exchange: &Exchange,
    ) -> Result<(), Failure> {
        if exchange.framing() != Framing::Close {
            return Ok(());
        }
        if self.has_started_again(sent) {
            return Err(Failure::Ended);
        }
        if self.may_be_removed(sent) {
            return Err(Failure::Truncated);
        }
        match self.probe_upstream(sent).await {
            // The removal may have come meanwhile.
            ProbeOutcome::Accepted if !self.may_be_removed(sent) => Ok(()),
            ProbeOutcome::Refused if !self.is_leaving(&sent.upstream) => Err(Failure::Ended),
            _ => Err(Failure::Truncated),
        }
    }

    /// Whether the upstream crashed during the attempt.
    pub(crate) async fn has_crashed(&self, sent: &SentAttempt) -> bool {
        // An upstream that leaves ends as planned, whatever it is still doing.
        if self.is_leaving(&sent.upstream) {
            return false;
        }
        self.probe_upstream(sent).await == ProbeOutcome::Refused
    }

    /// Whether the upstream of an attempt still listens.
    async fn probe_upstream(&self, sent: &SentAttempt) -> ProbeOutcome {
        let Some(target) = &sent.target else {
            return ProbeOutcome::Unreachable;
        };
        let seen = self.crash_probes.borrow_mut().probe(sent.start, self.now());
        let reach = seen.get_or_init(|| async {
            let mut reach = ProbeOutcome::Unreachable;
            for limit in PROBE_TIMEOUTS {
                if reach == ProbeOutcome::Unreachable {
                    let connect = self.connect_directly(target);
                    reach = self.pool.probe_by(connect, limit).await;
                }
            }
            // The path from this daemon may reset connections while the upstream runs.
            let accepted = reach == ProbeOutcome::Accepted;
            self.record_direct(&target.name, accepted);
            if !accepted && self.is_reached_by_others(target).await {
                reach = ProbeOutcome::Unreachable;
            }
            self.log_crash(sent, reach);
            reach
        });
        *reach.await
    }

    fn log_crash(&self, sent: &SentAttempt, reach: ProbeOutcome) {
        if reach != ProbeOutcome::Refused || self.is_leaving(&sent.upstream) {
            return;
        }
        let detail = format!("upstream={} start={}", sent.upstream, sent.start);
        emit(LogEvent::UpstreamEnded, &detail);
    }
}
