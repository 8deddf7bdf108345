//! The platform's published protocols over HTTP, as implemented by the stand-ins.
//!
//! [`HttpPlatform`] implements the traits of `shaleline_border`. Support for another protocol is a
//! separate crate like this one.

mod http;
mod log;
mod service;

pub use http::HttpPlatform;
pub use log::{AppendRequest, AppendResponse};
