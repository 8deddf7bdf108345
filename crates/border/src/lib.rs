//! The border between shaleline and the platform it runs on.
//!
//! An adapter for another platform protocol implements the three traits of this crate and
//! [`shaleline_log::LogService`]; nothing else changes. There is no trait for the weight store:
//! only its limits matter, and they are settings of the daemon.
//!
//! * [`InstanceList`]: the delayed list of live and leaving instances.
//! * [`Engines`]: reports, orders, generation and cancellation at model engines.
//! * [`Services`]: calls to plain services.
//!
//! The types also define the wire format of the stand-ins; see `docs/PLATFORM.md`.

mod engine;
mod list;
mod report;
mod service;

pub use engine::{Engines, GenerateEvent, GenerateRequest, GenerateStream, SendError};
pub use list::{InstanceKind, InstanceList, ListError, ListedInstance};
pub use report::{CacheEvents, UpstreamReport};
pub use service::{ServiceCall, ServiceResponse, Services};
