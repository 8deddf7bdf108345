//! Serves callers on the users' platform.
//!
//! A request's way, top down:
//!
//! 1. `request` reads it, finds its route in the [`Table`] and asks for an upstream; `job` says how
//!    long it waits and who goes first. For each model and service one daemon chooses with the
//!    router of `shaleline_route`: `choosing` asks it (`chooser` says which), by what `dispatch`
//!    and `desk` decide.
//!    `admit` finds out whose it is and charges it: `admission` decides by the keys of `orgs`,
//!    `allowance` asks those that keep a part of the allowances.
//! 2. `attempt` sends it and checks that the answer is its own; `relay` passes a stream on
//!    and resumes it; `refuse` answers where no upstream did.
//!
//! Around it:
//!
//! * `follow` keeps up with the platform's [`Store`], which it calls through `store_health`;
//!   `roster` decides which upstreams there are, `skipped_records` bounds what is said of records that
//!   name none.
//! * `membership` decides which daemons tell which others what, in the messages of `message`: `peers`
//!   is who there is, `hub_election` who is a hub, `allowance_share` which part of the allowances a daemon keeps;
//!   `gossip` sends and receives them, `read_progress` is who reads the store, `handover` passes
//!   on what was read, `discovery` is how daemons find each other.
//! * `planner` plans with `shaleline_fleet` when `planner_lease` holds the planner's claim, which `isolation`
//!   makes a daemon give up that hears too few others; `orders`
//!   gives the orders, `tag_index` names what the others told to be asked for, `announced` is what they
//!   were told.
//! * `ended` tells whether an upstream ended when a send to it broke off, `suspects` tells the
//!   others under which requests upstreams ended, `blocked_store` keeps that in the store.
//! * `pulse` tells how late this process runs, and `ready` whether it should take work.
//! * `control` answers the balancer and shows metrics and state; `start` brings all up
//!   and down.
//!
//! The platform's own words are met through [`Codec`] and [`Store`] alone.
//! `docs/PLATFORM.md` has the design.

mod admission;
mod admit;
mod allowance;
mod allowance_share;
mod announced;
mod attempt;
mod blocked_store;
mod codec;
mod control;
mod crash_probe;
mod discovery;
mod dispatch;
mod events;
mod follow;
mod gossip;
mod handover;
mod hub_election;
mod isolation;
mod job;
mod journal;
mod membership;
mod message;
mod metrics;
mod orders;
mod orgs;
mod peer_requests;
mod peers;
mod planner;
mod planner_lease;
mod read_progress;
mod ready;
mod refuse;
mod relay;
mod request;
mod roster;
mod selection;
mod selector;
mod settings;
mod skipped_records;
mod stall;
mod start;
mod state;
mod store;
mod store_health;
mod suspects;
mod table;
mod tag_index;

pub use admission::Revocation;
pub use codec::{AnswerHead, Call, Codec, Entry, ForwardContext, Head, Malformed};
pub use journal::start_journal;
pub use orgs::{CostUnit, OrgRule, Orgs, OrgsError};
pub use settings::{Bounds, GatewaySettings, Listen, Policy};
pub use start::{start, Running};
pub use state::Platform;
pub use store::{Batch, Record, Store, StoreError, StoreResult, Topic};
pub use table::{CallerLimits, Repeat, RouteRule, ServiceRule, Table};

#[cfg(test)]
#[path = "../tests/unit"]
mod unit {
    mod admission;
    #[path = "catalogue/main.rs"]
    mod catalogue;
    mod choosing;
    #[path = "crashes/main.rs"]
    mod crashes;
    mod events;
    mod hand;
    mod identity;
    mod job;
    mod mesh;
    mod reading;
    mod ready;
    mod roster;
    mod start;
    mod suspended;
}
