//! Serves the calls of other daemons.

use crate::core::Core;
use crate::journal::Journal;
use eyre::{Result, WrapErr};
use jsonrpsee::core::{async_trait, RpcResult};
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use shaleline_log::StateMachine;
use shaleline_peer::{DemandReport, Heartbeat, LoanRequest, PeerApiServer, RelayRequest};
use shaleline_route::{LimitKind, Limits};
use shaleline_types::{Offset, TokenHash};
use std::net::TcpListener;
use std::sync::Arc;

const DENIED: i32 = -32_001;
const MAX_BODY_BYTES: u32 = 64 << 20;

struct PeerService {
    core: Arc<Core>,
    secret: TokenHash,
}

impl PeerService {
    fn check(&self, secret: &str) -> RpcResult<()> {
        if TokenHash::from_token(secret).matches(&self.secret) {
            return Ok(());
        }
        Err(ErrorObjectOwned::owned(DENIED, "denied", None::<()>))
    }
}

/// Returns the chunks of a snapshot if this daemon has applied records beyond `next`.
fn chunks<M: StateMachine>(journal: &Journal<M>, next: Offset) -> Vec<String> {
    if journal.next() <= next || journal.halt().is_some() {
        return Vec::new();
    }
    journal.to_snapshot().to_chunks()
}

fn limit_kind(text: &str) -> Option<LimitKind> {
    LimitKind::ALL.into_iter().find(|k| k.as_str() == text)
}

#[async_trait]
impl PeerApiServer for PeerService {
    async fn heartbeat(&self, secret: String, message: Heartbeat) -> RpcResult<Heartbeat> {
        self.check(&secret)?;
        let now = self.core.now();
        Ok(self.core.members().on_heartbeat(&message, now))
    }

    async fn lend(&self, secret: String, request: LoanRequest) -> RpcResult<u64> {
        self.check(&secret)?;
        let view = self.core.view();
        let tenant = view.tenants().find(|t| t.org == request.org);
        let (Some(tenant), Some(kind)) = (tenant, limit_kind(&request.limit)) else {
            return Ok(0);
        };
        let limits = Limits {
            rate: tenant.rate,
            concurrency: tenant.concurrency,
            tokens: tenant.tokens,
        };
        let now = self.core.now();
        Ok(self.core.router().lend(&request.org, kind, &limits, now))
    }

    async fn demand(&self, secret: String, report: DemandReport) -> RpcResult<()> {
        self.check(&secret)?;
        self.core.record_remote_demand(report.writer, report.rates);
        Ok(())
    }

    async fn relay(&self, secret: String, request: RelayRequest) -> RpcResult<Vec<String>> {
        self.check(&secret)?;
        let core = &self.core;
        if request.stream == *core.config.stream() {
            return Ok(chunks(&core.config, request.next));
        }
        if request.stream == *core.cell.stream() {
            return Ok(chunks(&core.cell, request.next));
        }
        Ok(Vec::new())
    }
}

/// Starts to serve other daemons on a listener.
pub(crate) async fn serve(core: &Arc<Core>, listener: TcpListener) -> Result<ServerHandle> {
    listener.set_nonblocking(true)?;
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_BODY_BYTES)
        .max_response_body_size(MAX_BODY_BYTES)
        .http_only()
        .build();
    let builder = Server::builder().set_config(config);
    let server = builder
        .build_from_tcp(listener)
        .wrap_err("can't start the peer server")?;
    let service = PeerService {
        core: Arc::clone(core),
        secret: TokenHash::from_token(&core.settings.secret),
    };
    Ok(server.start(service.into_rpc()))
}
