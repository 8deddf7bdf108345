//! The interface to plain services.

use crate::SendError;
use futures_util::future::LocalBoxFuture;

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: String,
    /// The path below the service's root, with its query.
    pub path: String,
    /// The content type, if any.
    pub mime: Option<String>,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The complete response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub mime: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Access to plain services, each replica identified by its address.
pub trait Services {
    /// Makes a call on a new connection, so that a failure to connect can be distinguished
    /// from a later one.
    fn call<'a>(
        &'a self,
        address: &'a str,
        call: &'a ServiceCall,
    ) -> LocalBoxFuture<'a, Result<ServiceResponse, SendError>>;
}
