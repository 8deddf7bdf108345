//! Binds requests to the software version of the upstream that began their stream.
//!
//! What two versions write does not fit together, and upstreams don't check which version began a
//! stream. The router that selects keeps to the binding; the daemon that sends checks it again,
//! because the message that binds a request at a hub may be lost.

use crate::crash_probe::SentAttempt;
use crate::dispatch::Ask;
use crate::message::{Sender, VersionMessage};
use crate::request::Permit;
use crate::state::Gateway;
use shaleline_route::{AttemptEnd, RouteEvent};
use shaleline_types::{RequestId, SoftwareVersion, Upstream};

impl Gateway {
    /// The version of an upstream's software by its latest entry.
    pub(crate) fn version_of(&self, upstream: &Upstream) -> SoftwareVersion {
        let roster = self.roster.borrow();
        let entry = roster.get(upstream);
        entry.map(|e| e.version.clone()).unwrap_or_default()
    }

    /// Whether a later entry of an attempt's upstream has another version, so that it is not known
    /// which one answers.
    pub(crate) fn has_new_version(&self, sent: &SentAttempt) -> bool {
        let roster = self.roster.borrow();
        let entry = roster.get(&sent.upstream);
        entry.is_some_and(|e| e.version != sent.version)
    }

    /// Binds a request at the router that selects its upstreams.
    pub(crate) fn bind_request(&self, id: RequestId, version: &SoftwareVersion) {
        let message = self.delegated.borrow_mut().bind(id, version);
        match message {
            Some(message) => self.send(vec![message]),
            None => self.route(RouteEvent::Bound {
                id,
                version: version.clone(),
            }),
        }
    }

    /// Handles another daemon's message.
    pub(crate) fn on_version_message(&self, from: &Sender, message: VersionMessage) {
        match message {
            VersionMessage::Ask(ticket, note, version, excluded) => {
                let ask = Ask {
                    excluded,
                    version: Some(version),
                    ..Ask::plain(ticket, *note)
                };
                self.handle_ask(from, ask);
            }
            VersionMessage::Bound(ticket, version) => {
                let id = self.peer_requests.borrow().find(ticket);
                if let Some(id) = id {
                    self.route(RouteEvent::Bound { id, version });
                }
            }
            VersionMessage::Began(streams) => self.handle_began(streams),
            VersionMessage::Question {
                ticket,
                key,
                service,
            } => self.handle_question(from, ticket, key, &service),
            VersionMessage::Reply(ticket, answer) => self.handle_reply(from, ticket, answer),
            VersionMessage::Lifetime(lifetime) => self.handle_lifetime(lifetime),
        }
    }
}

impl Permit {
    /// Gives an attempt back that must not be sent: its upstream has another version, or it has
    /// crashed during the request and may have started again with one. Returns whether it did.
    pub(crate) fn gives_back(&mut self, sent: &SentAttempt) -> bool {
        let Some(version) = &self.version else {
            return false;
        };
        if *version == sent.version && !self.crashed.contains(&sent.start) {
            return false;
        }
        self.end(sent.attempt, AttemptEnd::Unfit);
        true
    }
}
