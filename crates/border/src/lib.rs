//! The border between shaleline and the platform it runs on.
//!
//! Three traits, and [`shaleline_log::LogService`] beside them, are all that an adapter
//! for another dialect has to implement; nothing else changes. The weight store is met
//! through its limits alone, which are settings of the daemon.
//!
//! * [`InstanceList`]: the lagging list of live and leaving instances.
//! * [`Engines`]: reports, orders, generation and cancellation at model engines.
//! * [`Services`]: calls to plain services.
//!
//! The types are also the wire format of the stand-ins, as `docs/PLATFORM.md` has it.

mod engine;
mod list;
mod report;
mod service;

pub use engine::{Engines, GenerateEvent, GenerateRequest, GenerateStream, SendError};
pub use list::{InstanceKind, InstanceList, ListError, ListedInstance};
pub use report::{CacheEvents, UpstreamReport};
pub use service::{ServiceCall, ServiceResponse, Services};
