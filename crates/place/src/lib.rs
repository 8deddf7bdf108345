//! The memory ledger, orders to engines and their recovery, and the placement policy.
//!
//! * [`CellMachine`] is replayed from the stream of a cell of engines: its owner, the memory that
//!   each engine uses in the worst case, and the open orders. It refuses records that could promise
//!   memory twice or remove a model's last replica.
//! * [`Dispatcher`] derives orders, resends and settlements from the ledger and the engines'
//!   reports. No order is sent before its intent was replayed as valid.
//! * [`Planner`] proposes loads and unloads by their gain in attainment against the cost of a move;
//!   [`LruPlanner`] and [`StaticPlanner`] are the baselines.
//!
//! `docs/PLACEMENT.md` compares the alternatives.

mod baseline;
mod demand;
mod desired;
mod dispatch;
mod draft;
mod item;
mod ledger;
mod machine;
mod plan;
mod spread;

pub use baseline::{LruPlanner, StaticPlanner};
pub use demand::Demand;
pub use desired::{DesiredItem, DesiredItems};
pub use dispatch::{Dispatcher, EngineReport, Order, OrderEnd, OrderKind, Resident};
pub use item::Item;
pub use ledger::{EngineLedger, Slot, SlotState};
pub use machine::{CellBody, CellMachine, CellVerdict};
pub use plan::{EngineView, PlanInput, PlanSettings, Planner, Policy, Step};
