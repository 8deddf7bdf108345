//! Passes a long answer that is no stream on to its caller as it arrives.
//!
//! An answer that is collected first takes memory for as long as it has not ended, and a faulty upstream
//! may never end it. The caller's pace limits how much is read from the upstream.

use crate::attempt::{self, idle_timeout, Failure, Opened};
use crate::crash_probe::SentAttempt;
use crate::job::Job;
use crate::refuse::log_end;
use crate::request::Permit;
use crate::state::Gateway;
use bytes::Bytes;
use shaleline_edge::Chunk;
use shaleline_route::AttemptEnd;
use shaleline_types::LogEvent;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The size up to which parts that have arrived are joined, in bytes.
const PART_BYTES: usize = 16_384;

/// A long answer on its way to its caller.
pub(crate) struct LongAnswer {
    pub(crate) gw: Rc<Gateway>,
    pub(crate) job: Rc<Job>,
    pub(crate) permit: Permit,
    pub(crate) sent: SentAttempt,
    pub(crate) sender: mpsc::Sender<Chunk>,
}

/// How a long answer ended.
enum End {
    Whole,
    /// The upstream broke it off.
    Broken(Failure),
    CallerLeft,
    /// The deadline has passed.
    Late,
}

impl LongAnswer {
    /// Passes the answer on to its end. Dropping the sender without an end breaks the answer off, so
    /// that it never looks complete when it is not.
    pub(crate) async fn run(mut self, opened: Opened, first: Bytes) {
        let end = self.forward(opened, first).await;
        self.finish(end).await;
    }

    async fn forward(&mut self, mut opened: Opened, first: Bytes) -> End {
        let limit = self.job.deadline;
        let mut next = Some(first);
        while let Some(part) = next {
            let sent = self.sender.send(Chunk::Data(part));
            match self.gw.clock.timeout_at(limit, sent).await {
                Some(Ok(())) => {}
                Some(Err(_)) => return End::CallerLeft,
                None => return End::Late,
            }
            let part = tokio::select! {
                part = opened.exchange.next_joined(PART_BYTES) => part,
                () = self.sender.closed() => return End::CallerLeft,
                () = self.gw.clock.sleep_until(limit) => return End::Late,
            };
            next = match part {
                Ok(part) => part,
                Err(e) => return End::Broken(e.into()),
            };
            self.permit.progress(self.sent.attempt);
        }
        match self.gw.check_end(&self.sent, &opened.exchange).await {
            Ok(()) => {
                opened.exchange.finish(idle_timeout(&opened.answer));
                End::Whole
            }
            Err(failure) => End::Broken(failure),
        }
    }

    async fn finish(self, end: End) {
        let Self {
            gw,
            job,
            mut permit,
            sent,
            sender,
        } = self;
        let (event, code) = match &end {
            End::Whole => (LogEvent::RequestEnded, "ok"),
            End::CallerLeft => (LogEvent::RequestEnded, "caller-left"),
            End::Late => (LogEvent::RequestFailed, "timed-out"),
            End::Broken(_) => (LogEvent::RequestFailed, "broken-answer"),
        };
        if matches!(end, End::Whole) {
            permit.end(sent.attempt, AttemptEnd::Whole);
            // A caller that has just left has its complete answer nevertheless.
            sender.send(Chunk::End).await.ok();
        }
        // Dropping the sender shows the caller at once that its answer is broken off.
        drop(sender);
        if let End::Broken(failure) = end {
            attempt::fail(&gw, &job, &mut permit, &sent, failure).await;
        }
        gw.metrics.count_request(code);
        log_end(&gw, &job, &permit, event, code);
    }
}
