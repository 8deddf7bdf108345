//! Membership and the calls between daemons.
//!
//! * [`Membership`] decides who is alive, from heartbeats that a few daemons exchange each
//!   round and pass on, and from the platform's lagging list.
//! * [`PeerApi`] is the calls themselves, over `jsonrpsee`: heartbeats, loans of limits,
//!   and the log's records and snapshots for a daemon that can't reach the log.
//!
//! Nothing is agreed upon here: whatever must be goes through the log. The ways that
//! were weighed are in `docs/MEMBERSHIP.md`.

mod api;
mod member;
mod members;

pub use api::{DemandReport, LoanRequest, PeerApiClient, PeerApiServer, RelayRequest};
pub use member::{Heartbeat, Member, MemberId, MemberStatus};
pub use members::{MemberEvent, MemberSettings, Membership};
