//! Decides which engine holds which model and adapter, and which daemon may order it.
//!
//! * [`Claim`] is the lease of the one planner, kept in the platform's log: whoever
//!   appends a record at the expected end of the topic holds it, and the record's offset
//!   is the fencing token.
//! * [`Fleet`] is what is believed of every engine, orders in doubt counted at their worst.
//! * [`Planner`] proposes [`Order`]s from the fleet, the [`Catalog`] and the [`Demand`];
//!   [`ServicePlanners`] keeps one for each service.
//! * [`UnmetDemand`] is what callers asked for in vain, until it is served.
//! * [`LoadWindow`] keeps loads from the weight store under its rate.
//!
//! Nothing here reads a clock or a socket. `docs/PLACEMENT.md` has the ways weighed.

mod absence;
mod adapt;
mod board;
mod catalog;
mod changes;
mod choice;
mod churn;
mod claim;
mod demand;
mod draft;
mod engine;
mod exposure;
mod fleet;
mod flow;
mod handover;
mod holders;
mod moves;
mod note;
mod numbers;
mod order;
mod planner;
mod row;
mod services;
mod shortage;
mod snapshot;
mod spread;
mod unmet;
mod waits;
mod window;

pub use catalog::{Catalog, ModelRule};
pub use claim::{Claim, ClaimAction, ClaimSettings, ClaimView, Renewal, Vacancy};
pub use demand::{Demand, Rate, Rates};
pub use engine::{Engine, Held, Sighting};
pub use fleet::Fleet;
pub use handover::{Handover, LastOrders};
pub use note::{PlanNote, WaitReason};
pub use order::{Order, OrderKind, OrderReply};
pub use planner::{PlanSettings, PlanView, Planner};
pub use services::ServicePlanners;
pub use spread::LeadTime;
pub use unmet::{Unmet, UnmetByKey, UnmetDemand};
pub use window::LoadWindow;
