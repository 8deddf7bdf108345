//! Stand-ins for the platform: log, weight store, instance list, engine, plain service. They
//! implement the platform's interfaces and inject faults on request; they model no network,
//! process or cluster.
//!
//! [`Standins::start`] starts all of them on loopback. Each server injects a fault that is
//! sent with `POST /fault`: [`LogFault`], [`EngineFault`], [`ServiceFault`]. [`MemoryLog`] is
//! the log without its server, for tests and experiments.

mod address;
mod engine_server;
mod engine_state;
mod fault;
mod log_state;
mod platform_server;
mod sample;
mod service_server;
mod start;
mod store;
mod text;

pub use address::free_addresses;
pub use engine_state::{EngineSpec, EngineState, Pace};
pub use fault::{EngineFault, LogFault, ServiceFault};
pub use log_state::{AppendError, MemoryLog};
pub use sample::Sample;
pub use service_server::ServiceSpec;
pub use start::{StandinSettings, Standins};
pub use store::{StoreSpec, WeightStore};
pub use text::{answer_text, token_text};
