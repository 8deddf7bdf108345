//! Passes a stream on to its caller, and resumes it at another upstream if its route allows that.

use crate::attempt::{self, idle_timeout, Failure, Opened, StartedStream};
use crate::crash_probe::SentAttempt;
use crate::event_pace::EventPace;
use crate::events::{EventSplitter, EventTooLarge};
use crate::job::Job;
use crate::refuse::log_end;
use crate::request::Permit;
use crate::state::Gateway;
use crate::table::Repeat;
use bytes::Bytes;
use shaleline_edge::{Chunk, Framing};
use shaleline_route::{AttemptEnd, RouteAction};
use shaleline_types::{LogEvent, Millis};
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
enum PartEnd {
    /// The upstream completed it.
    Whole,
    /// The upstream broke it off, or the router gave up the upstream.
    Broken(Failure),
    /// The caller left.
    CallerLeft,
    /// The deadline has passed.
    Late,
}

impl Relay {
    /// Passes the stream on to its end, in whole events. Dropping the sender without an end breaks
    /// the stream off, so that it never looks complete when it is not.
    pub(crate) async fn run(mut self, started: StartedStream) {
        let StartedStream {
            opened,
            mut events,
            first,
        } = started;
        let resumable = self.job.rule.repeat == Repeat::Stream { resumable: true };
        let mut ended = self.forward(opened, first, &mut events).await;
        while let (PartEnd::Broken(failure), true) = (&ended, resumable) {
            events.drop_partial();
            let (failure, last) = (*failure, events.last_id().map(str::to_owned));
            match self.resume(failure, last).await {
                Some(opened) => ended = self.forward(opened, None, &mut events).await,
                None => break,
            }
        }
        self.finish(&ended).await;
    }

    async fn forward(
        &mut self,
        mut opened: Opened,
        first: Option<Bytes>,
        events: &mut EventSplitter,
    ) -> PartEnd {
        let mut next = first;
        let mut pace = EventPace::default();
        let mut has_events = next.is_some();
        let limit = self.job.deadline;
        self.permit.framing = Some(opened.exchange.framing());
        loop {
            if let Some(whole) = next.take() {
                let arrived = self.gw.now();
                pace.on_event(arrived);
                if self.sender.send(Chunk::Data(whole)).await.is_err() {
                    return PartEnd::CallerLeft;
                }
                pace.on_accepted(Millis(self.gw.now().since(arrived)));
            }
            let piece = tokio::select! {
                piece = opened.exchange.next() => piece,
                () = self.sender.closed() => return PartEnd::CallerLeft,
                () = self.gw.clock.sleep_until(limit) => return PartEnd::Late,
            };
            match piece {
                Ok(Some(bytes)) => {
                    self.permit.progress(self.sent.attempt);
                    next = match events.push(&bytes) {
                        Ok(whole) => whole,
                        Err(EventTooLarge) => return PartEnd::Broken(Failure::Garbled),
                    };
                    has_events |= next.is_some();
                    self.permit.in_event = events.has_partial();
                }
                Ok(None)
                    if events.has_partial()
                        || (!has_events && opened.exchange.framing() == Framing::Close) =>
                {
                    return PartEnd::Broken(Failure::Truncated);
                }
                Ok(None) => {
                    self.permit.event_pace(self.sent.attempt, &pace);
                    return self.close(opened).await;
                }
                Err(e) => return PartEnd::Broken(e.into()),
            }
        }
    }

    /// Ends the part of the stream that comes from an upstream, after its last event.
    async fn close(&self, opened: Opened) -> PartEnd {
        match self.gw.check_end(&self.sent, &opened.exchange).await {
            Ok(()) => {
                opened.exchange.finish(idle_timeout(&opened.answer));
                PartEnd::Whole
            }
            Err(failure) => PartEnd::Broken(failure),
        }
    }

    /// Resumes the stream at another upstream after the last complete event.
    async fn resume(&mut self, failure: Failure, last: Option<String>) -> Option<Opened> {
        let (gw, job) = (Rc::clone(&self.gw), Rc::clone(&self.job));
        if let Some(version) = &self.permit.version {
            gw.bind_request(self.permit.id(), version);
        }
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
            let sent = gw.begin_send(attempt, &upstream);
            if self.permit.gives_back(&sent) {
                continue;
            }
            self.sent = sent;
            self.permit.sends += 1;
            self.permit.last_upstream = Some(upstream.clone());
            self.permit.reached += 1;
            let opened = attempt::open(&gw, &job, &self.sent, last.as_deref());
            let failure = match gw.clock.timeout_at(job.deadline, opened).await? {
                Ok(_) if gw.has_new_version(&self.sent) => Failure::Garbled,
                Ok(opened) if opened.status.is_success() => {
                    self.permit.slowdown(self.sent.attempt, &opened.answer);
                    return Some(opened);
                }
                Ok(_) => Failure::Broken,
                Err(failure) => failure,
            };
            attempt::fail(&gw, &job, &mut self.permit, &self.sent, failure).await;
        }
    }

    async fn finish(self, ended: &PartEnd) {
        let (event, code) = match ended {
            PartEnd::Whole => (LogEvent::RequestEnded, "ok"),
            PartEnd::CallerLeft => (LogEvent::RequestEnded, "caller-left"),
            PartEnd::Late => (LogEvent::RequestFailed, "timed-out"),
            PartEnd::Broken(_) => (LogEvent::RequestFailed, "broken-stream"),
        };
        let Self {
            gw,
            job,
            mut permit,
            sent,
            sender,
        } = self;
        if matches!(ended, PartEnd::Whole) {
            permit.end(sent.attempt, AttemptEnd::Whole);
            gw.record_slot_time(&job, permit.time_to_first(&job));
            // A caller that has just left has its complete answer nevertheless.
            sender.send(Chunk::End).await.ok();
        }
        // Dropping the sender shows the caller at once that its stream is broken.
        drop(sender);
        match ended {
            PartEnd::Broken(failure) if !job.is_idempotent() => {
                attempt::fail(&gw, &job, &mut permit, &sent, *failure).await;
            }
            _ => {}
        }
        gw.on_stream_ended(&job);
        gw.metrics.count_request(code);
        log_end(&gw, &job, &permit, event, code);
    }
}
