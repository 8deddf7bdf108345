//! The memory ledger, orders to engines and their recovery, and the placement policy.
//!
//! * [`CellMachine`] is replayed from the stream of a cell of engines: who owns it, what
//!   each engine holds in the worst case, which orders are open. It refuses whatever
//!   could promise memory twice or take a model's last replica away.
//! * [`Dispatcher`] turns the ledger and the engines' reports into orders, repeats and
//!   settlements. No order leaves before its intent was replayed as valid.
//! * [`Planner`] proposes loads and unloads by their gain in attainment against the cost
//!   of a move; [`LruPlanner`] and [`StaticPlanner`] are the baselines.
//!
//! The ways that were weighed are in `docs/PLACEMENT.md`.

mod baseline;
mod demand;
mod desired;
mod dispatch;
mod draft;
mod fluid;
mod item;
mod ledger;
mod machine;
mod plan;

pub use baseline::{LruPlanner, StaticPlanner};
pub use demand::Demand;
pub use desired::{DesiredItem, DesiredItems};
pub use dispatch::{Dispatcher, EngineReport, Order, OrderEnd, OrderKind, Resident};
pub use item::Item;
pub use ledger::{EngineLedger, Slot, SlotState};
pub use machine::{CellBody, CellMachine, CellVerdict};
pub use plan::{EngineView, PlanInput, PlanSettings, Planner, Policy, Step};
