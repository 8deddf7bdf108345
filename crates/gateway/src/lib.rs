//! Serves callers on the users' platform.
//!
//! The path of a request:
//!
//! 1. `request` reads it, finds its route in the [`Table`] and requests an upstream; `job` decides
//!    its waiting time and priority. For each model and service one daemon selects with the router
//!    of `shaleline_route`: `selection` exchanges the messages with that daemon, which `selector`
//!    finds. `dispatch` has the requests for which a hub selects, `peer_requests` those for which
//!    this daemon does.
//!    `admit` authenticates and charges it: `admission` decides by the keys of `orgs`, and
//!    `allowance` asks the daemons that keep a share of the allowances.
//! 2. `attempt` sends it and checks that the answer belongs to it; `relay` passes a stream on and
//!    resumes it, and `long_answer` passes on an answer that is too long to be held; `refuse` answers if no upstream did.
//!
//! Around it:
//!
//! * `follow` follows the platform's [`Store`], which it calls through `store_health`; `roster`
//!   keeps the list of upstreams, `era` notices that the store came back from an older copy, and `skipped_records` limits the log lines about records that
//!   name none.
//! * `membership` decides which daemons exchange which data, in the messages of `message`: `peers`
//!   lists the daemons, `hub_election` selects the hubs, and `allowance_share` computes the share
//!   of the allowances that a daemon keeps; `gossip` sends and receives the messages,
//!   `read_progress` decides which daemon reads the store, `entries_check` compares what two daemons know, `handover` passes on what was read, and
//!   `discovery` finds other daemons.
//! * `planner` plans with `shaleline_fleet` while `planner_lease` holds the planner lease, which a
//!   daemon gives up if `isolation` finds it in contact with too few others; `orders` sends the
//!   orders, `tag_index` identifies demand that others reported, `wanted` has the adapters that they
//!   report as wanted by `wanted_reports`, and `announced` has what was announced to them.
//! * `paths` decides which upstreams of a service this daemon reaches itself, and `tunnels` reaches the
//!   others through another daemon, which `relays` selects; `path_checks` finds out which paths work, and
//!   `network` opens the connections. `by_service` keeps such state for each service.
//! * `crash_probe` finds out whether an upstream crashed when an attempt broke off, `suspects`
//!   reports to the others during which requests upstreams crashed, and `blocked_store` keeps that
//!   in the store.
//! * `upstream_limits` keeps the limits that upstreams name in their answers, and `permits` keeps to
//!   them.
//! * `eligibility` decides whether this daemon may send to an upstream now, whoever selected it.
//! * `version_binding` keeps a stream to the software version that began it. `stream_versions` has
//!   the versions of streams that callers may resume, for as long as `stream_lifetime` says, and
//!   `version_lookup` asks the hubs for them; `version_store` keeps the versions of services in the
//!   store.
//! * `stall` detects stalls of this process, and `ready` decides whether it should take work.
//! * `control` answers the balancer and serves metrics and state; `start` starts and stops the
//!   gateway.
//!
//! The platform's formats are accessed through [`Codec`] and [`Store`] alone.
//! `docs/PLATFORM.md` has the design.

mod admission;
mod admit;
mod allowance;
mod allowance_share;
mod announced;
mod attempt;
mod blocked_store;
mod by_service;
mod codec;
mod config_check;
mod config_record;
mod control;
mod crash_probe;
mod discovery;
mod dispatch;
mod eligibility;
mod entries_check;
mod era;
mod event_pace;
mod events;
mod follow;
mod gossip;
mod handover;
mod hub_election;
mod isolation;
mod job;
mod journal;
mod long_answer;
mod membership;
mod message;
mod metrics;
mod network;
mod open_grants;
mod orders;
mod orgs;
mod path_checks;
mod paths;
mod peer_requests;
mod peers;
mod permits;
mod planner;
mod planner_lease;
mod planner_watch;
mod read_progress;
mod ready;
mod refuse;
mod relay;
mod relays;
mod removals;
mod request;
mod roster;
mod selection;
mod selector;
mod settings;
mod shares;
mod skipped_records;
mod stall;
mod start;
mod state;
mod store;
mod store_health;
mod stream_lifetime;
mod stream_versions;
mod suspects;
mod table;
mod tag_index;
mod tunnels;
mod upstream_limits;
mod version_binding;
mod version_lookup;
mod version_store;
mod wanted;
mod wanted_reports;

pub use admission::Revocation;
pub use codec::{AnswerHead, Call, Codec, Entry, ForwardContext, Head, Malformed, RetryAfter};
pub use config_check::{check_table, compare_tables, Finding, Severity};
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
    #[path = "broken_paths/main.rs"]
    mod broken_paths;
    #[path = "catalogue/main.rs"]
    mod catalogue;
    mod crash_probe;
    #[path = "crashes/main.rs"]
    mod crashes;
    mod eligibility;
    mod era;
    mod events;
    mod grants;
    mod handover;
    mod identity;
    mod job;
    mod late_release;
    #[path = "limits/main.rs"]
    mod limits;
    #[path = "lists/main.rs"]
    mod lists;
    #[path = "lost_services/main.rs"]
    mod lost_services;
    mod manual_clock;
    mod measured;
    mod membership;
    mod one_daemon;
    mod paths;
    mod planner_watch;
    mod read_progress;
    mod ready;
    mod relays;
    mod removals;
    mod roster;
    mod selection;
    mod service_limits;
    mod skipped_records;
    mod start;
    #[path = "stream_versions/main.rs"]
    mod stream_versions;
    mod suspended;
    #[path = "tunnels/main.rs"]
    mod tunnels;
    mod waiting_retries;
    mod wanted;
}
