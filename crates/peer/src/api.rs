//! The calls between daemons. Each call carries the secret that the daemons share.

use crate::Heartbeat;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use shaleline_types::{Model, Offset, Org, Stream, WriterId};
use std::collections::BTreeMap;

/// Requests a loan of the unused part of another daemon's limit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The organisation.
    pub org: Org,
    /// The limit: `rate`, `concurrency` or `tokens`.
    pub limit: String,
}

/// Requests another daemon's state of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The stream.
    pub stream: Stream,
    /// The offset of the next record that the calling daemon has not applied.
    pub next: Offset,
}

/// Reports the demand of a daemon's callers to the owner of the cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandReport {
    /// The daemon.
    pub writer: WriterId,
    /// The requested tokens per second of each model.
    pub rates: BTreeMap<Model, f64>,
}

#[rpc(server, client)]
pub trait PeerApi {
    /// Exchanges membership status.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, secret: String, message: Heartbeat) -> RpcResult<Heartbeat>;

    /// Lends a part of a limit and returns its amount, zero if nothing can be lent.
    #[method(name = "lend")]
    async fn lend(&self, secret: String, request: LoanRequest) -> RpcResult<u64>;

    /// Records the demand of another daemon's callers.
    #[method(name = "demand")]
    async fn demand(&self, secret: String, report: DemandReport) -> RpcResult<()>;

    /// Returns a snapshot at a later offset than the calling daemon's, as chunks of text. The
    /// list is empty if this daemon has not applied more records.
    #[method(name = "relay")]
    async fn relay(&self, secret: String, request: RelayRequest) -> RpcResult<Vec<String>>;
}
