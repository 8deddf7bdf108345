//! Membership and the calls between daemons.
//!
//! * [`Membership`] decides which daemons are alive, from heartbeats that daemons gossip each
//!   round and from the platform's delayed list.
//! * [`PeerApi`] defines the calls over `jsonrpsee`: heartbeats, loans of limits, demand
//!   reports, and the log's state for a daemon that can't reach the log.
//!
//! This crate provides no consensus: every decision that needs agreement goes through the log.
//! `docs/MEMBERSHIP.md` compares the alternatives.

mod api;
mod member;
mod members;

pub use api::{DemandReport, LoanRequest, PeerApiClient, PeerApiServer, RelayRequest};
pub use member::{Heartbeat, Member, MemberId, MemberStatus};
pub use members::{MemberEvent, MemberSettings, Membership};
