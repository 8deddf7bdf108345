//! The platform's published protocols over HTTP, as the stand-ins speak them.
//!
//! [`HttpPlatform`] implements the border's traits with `awc`. An adapter for another
//! dialect is a crate like this one.

mod http;
mod log;

pub use http::HttpPlatform;
pub use log::{AppendRequest, AppendResponse};
