//! Decides which engine holds which model and adapter, and which daemon may send the orders.
//!
//! * [`PlannerLease`] is the lease of the single planner, kept in the platform's log: the daemon
//!   that appends a record at the expected end of the topic holds it, and the record's offset is
//!   the fencing token. [`last_effective`] finds the record that counts where daemons of earlier
//!   releases write to the topic too.
//! * [`Fleet`] is the known state of every engine; unconfirmed orders count at their worst case.
//! * [`Planner`] proposes [`Order`]s from the fleet, the [`Catalog`] and the [`Demand`];
//!   [`ServicePlanners`] keeps one planner for each service.
//! * [`UnmetDemand`] records the requests that no engine could serve, until they are served.
//! * [`LoadWindow`] keeps loads from the weight store under its rate limit.
//!
//! Nothing here reads a clock or a socket. `docs/PLACEMENT.md` lists the alternatives considered.

mod adapters;
mod best_move;
mod blocking;
mod catalog;
mod changes;
mod churn;
mod demand;
mod distribution;
mod draft;
mod engine;
mod engine_summary;
mod exposure;
mod fleet;
mod handover;
mod holders;
mod lease_history;
mod model_absence;
mod model_index;
mod moves;
mod order;
mod plan_note;
mod planner;
mod planner_lease;
mod prefetch;
mod room;
mod room_note;
mod services;
mod shortage;
mod slot_times;
mod snapshot;
mod unanswered;
mod unmet;
mod valuation;
mod waits;
mod warmup;
mod window;

pub use catalog::{Catalog, ModelProfile};
pub use demand::{Demand, Rate, Rates};
pub use engine::{Engine, Held, HeldSource};
pub use fleet::Fleet;
pub use handover::{Handover, LastOrders};
pub use lease_history::{last_effective, LeaseChange, LeaseEntry};
pub use order::{Order, OrderKind, OrderReply};
pub use plan_note::{PlanNote, WaitReason};
pub use planner::{PlanSettings, PlanView, Planner};
pub use planner_lease::{
    PlannerGap, PlannerLease, PlannerLeaseAction, PlannerLeaseRelease, PlannerLeaseRenewal,
    PlannerLeaseSettings, PlannerLeaseView,
};
pub use room_note::RoomNote;
pub use services::ServicePlanners;
pub use slot_times::{engine_work, SlotTimes};
pub use unmet::{Unmet, UnmetByKey, UnmetDemand};
pub use warmup::WarmupPhase;
pub use window::LoadWindow;
