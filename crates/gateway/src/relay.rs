//! Passes a stream on to its caller, and resumes it elsewhere where its route allows that.

use crate::attempt::{self, idle_timeout, Failure, Opened};
use crate::crash_probe::SentAttempt;
use crate::events::EventSplitter;
use crate::job::Job;
use crate::refuse::log_end;
use crate::request::Permit;
use crate::state::Gateway;
use crate::table::Repeat;
use bytes::Bytes;
use shaleline_edge::Chunk;
use shaleline_route::{AttemptEnd, RouteAction};
use shaleline_types::LogEvent;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A stream on its way to its caller.
pub(crate) struct Relay {
    pub(crate) gw: Rc<Gateway>,
    pub(crate) job: Rc<Job>,
    pub(crate) permit: Permit,
    pub(crate) sent: SentAttempt,
    pub(crate) sender: mpsc::Sender<Chunk>,
}

/// How the part of a stream that comes from one upstream ended.
enum Part {
    /// The upstream ended it.
    Whole,
    /// The upstream broke it off, or the router gave the upstream up.
    Broken(Failure),
    /// The caller left.
    Left,
    /// Its time is over.
    Late,
}

impl Relay {
    /// Passes the stream on to its end. Dropping the sender without an end breaks it off,
    /// so that it never looks whole when it is not.
    pub(crate) async fn run(mut self, opened: Opened, first: Option<Bytes>) {
        let resumable = self.job.rule.repeat == Repeat::Stream { resumable: true };
        let mut events = resumable.then(EventSplitter::default);
        let mut part = self.pass(opened, first, &mut events).await;
        while let (Part::Broken(failure), Some(splitter)) = (&part, &mut events) {
            splitter.drop_torn();
            let (failure, last) = (*failure, splitter.last_id().map(str::to_owned));
            match self.resume(failure, last).await {
                Some(opened) => part = self.pass(opened, None, &mut events).await,
                None => break,
            }
        }
        self.finish(&part).await;
    }

    async fn pass(
        &mut self,
        mut opened: Opened,
        first: Option<Bytes>,
        events: &mut Option<EventSplitter>,
    ) -> Part {
        let mut next = first;
        let limit = self.job.deadline;
        loop {
            if let Some(bytes) = next.take() {
                self.permit.progress(self.sent.attempt);
                let whole = match events {
                    Some(splitter) => splitter.push(&bytes),
                    None => Some(bytes),
                };
                let Some(whole) = whole else {
                    continue;
                };
                if self.sender.send(Chunk::Data(whole)).await.is_err() {
                    return Part::Left;
                }
            }
            let piece = tokio::select! {
                piece = opened.exchange.next() => piece,
                () = self.sender.closed() => return Part::Left,
                () = self.gw.clock.sleep_until(limit) => return Part::Late,
            };
            match piece {
                Ok(Some(bytes)) => next = Some(bytes),
                Ok(None) => {
                    let torn = events.as_ref().is_some_and(EventSplitter::is_torn);
                    if torn {
                        return Part::Broken(Failure::Garbled);
                    }
                    opened.exchange.finish(idle_timeout(&opened.answer));
                    return Part::Whole;
                }
                Err(e) => return Part::Broken(e.into()),
            }
        }
    }

    /// Opens the stream at another upstream after the last whole event.
    async fn resume(&mut self, failure: Failure, last: Option<String>) -> Option<Opened> {
        let (gw, job) = (Rc::clone(&self.gw), Rc::clone(&self.job));
        attempt::fail(&gw, &job, &mut self.permit, &self.sent, failure).await;
        loop {
            let next = self.permit.next();
            let action = gw.clock.timeout_at(job.deadline, next).await??;
            let RouteAction::Send {
                attempt, upstream, ..
            } = action
            else {
                if matches!(action, RouteAction::Cancel { .. }) {
                    continue;
                }
                return None;
            };
            if gw.recheck(&job).is_err() {
                return None;
            }
            self.sent = gw.begin_send(attempt, &upstream);
            self.permit.sends += 1;
            self.permit.last = Some(upstream.clone());
            self.permit.reached += 1;
            let opened = attempt::open(&gw, &job, &upstream, last.as_deref());
            let failure = match gw.clock.timeout_at(job.deadline, opened).await? {
                Ok(opened) if opened.status.is_success() => return Some(opened),
                Ok(_) => Failure::Broken,
                Err(failure) => failure,
            };
            attempt::fail(&gw, &job, &mut self.permit, &self.sent, failure).await;
        }
    }

    async fn finish(self, part: &Part) {
        let (event, code) = match part {
            Part::Whole => (LogEvent::RequestEnded, "ok"),
            Part::Left => (LogEvent::RequestEnded, "caller-left"),
            Part::Late => (LogEvent::RequestFailed, "timed-out"),
            Part::Broken(_) => (LogEvent::RequestFailed, "broken-stream"),
        };
        let Self {
            gw,
            job,
            mut permit,
            sent,
            sender,
        } = self;
        if matches!(part, Part::Whole) {
            permit.end(sent.attempt, AttemptEnd::Whole);
            // A caller that left just now has its whole answer all the same.
            sender.send(Chunk::End).await.ok();
        }
        // The caller learns at once that its stream is broken.
        drop(sender);
        match part {
            Part::Broken(failure) if !job.is_idempotent() => {
                attempt::fail(&gw, &job, &mut permit, &sent, *failure).await;
            }
            _ => {}
        }
        gw.metrics.count_request(code);
        log_end(&gw, &job, &permit, event, code);
    }
}
