//! The calls between daemons. Each bears the secret that the daemons share.

use crate::Heartbeat;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use shaleline_types::{Model, Offset, Org, Stream, WriterId};
use std::collections::BTreeMap;

/// Asks for a part of a limit that the other daemon does not use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The organisation.
    pub org: Org,
    /// The limit: `rate`, `concurrency` or `tokens`.
    pub limit: String,
}

/// Asks for the records of a stream that the other daemon has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The stream.
    pub stream: Stream,
    /// The offset of the next record that the asking daemon has not applied.
    pub next: Offset,
}

/// Tells the owner of the cell what a daemon's callers ask for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandReport {
    /// The daemon.
    pub writer: WriterId,
    /// Tokens a second that are asked of each model.
    pub rates: BTreeMap<Model, f64>,
}

#[rpc(server, client)]
pub trait PeerApi {
    /// Exchanges news of who is alive.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, secret: String, message: Heartbeat) -> RpcResult<Heartbeat>;

    /// Lends a part of a limit; zero if there is none to lend.
    #[method(name = "lend")]
    async fn lend(&self, secret: String, request: LoanRequest) -> RpcResult<u64>;

    /// Takes note of what a daemon's callers ask for.
    #[method(name = "demand")]
    async fn demand(&self, secret: String, report: DemandReport) -> RpcResult<()>;

    /// A snapshot that reaches further than the asking daemon, as chunks of text; none if
    /// this one is no further.
    #[method(name = "relay")]
    async fn relay(&self, secret: String, request: RelayRequest) -> RpcResult<Vec<String>>;
}
