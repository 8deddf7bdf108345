//! What upstreams say in their answers about the requests that they take.

use crate::crash_probe::SentAttempt;
use crate::journal::emit;
use crate::state::Gateway;
use crate::AnswerHead;
use shaleline_types::LogEvent;

impl Gateway {
    /// Records what an upstream says in an answer, unless another one answered.
    pub(crate) fn record_answer(&self, sent: &SentAttempt, answer: &AnswerHead) {
        let other = answer.instance.as_deref();
        if other.is_some_and(|i| i != sent.upstream.as_str()) {
            return;
        }
        self.record_limits(&sent.upstream, answer);
        if answer.leaving {
            self.log_leaving_answer(sent);
        }
    }

    fn log_leaving_answer(&self, sent: &SentAttempt) {
        if !self.log_budget.take(self.now()) {
            return;
        }
        let (upstream, start) = (&sent.upstream, sent.start);
        let known = self.roster.borrow().is_leaving(upstream);
        let detail = format!("upstream={upstream} start={start} known={known}");
        emit(LogEvent::LeavingAnswer, &detail);
    }
}
