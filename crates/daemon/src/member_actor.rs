//! Exchanges heartbeats, and restores a peer's state while the log is unavailable.

use crate::core::Core;
use crate::emit::emit;
use crate::journal::Journal;
use actix::prelude::*;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use shaleline_border::{InstanceKind, InstanceList};
use shaleline_log::{pick_snapshot, StateMachine, StoredRecord};
use shaleline_peer::{
    DemandReport, Heartbeat, LoanRequest, MemberEvent, PeerApiClient, RelayRequest,
};
use shaleline_types::{LogEvent, Offset};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const LIST_INTERVAL_ROUNDS: u64 = 2;

/// The maximum number of limits borrowed in a round, and of daemons asked for each.
const MAX_BORROWED: usize = 8;
const MAX_LENDERS: usize = 2;

/// The interval of demand reports to the cell's owner, in rounds.
const DEMAND_INTERVAL_ROUNDS: u64 = 3;

/// The actor that exchanges heartbeats.
pub(crate) struct MemberActor {
    pub(crate) core: Arc<Core>,
    pub(crate) list: Rc<dyn InstanceList>,
}

impl Actor for MemberActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let rounds = rounds(Arc::clone(&self.core), Rc::clone(&self.list));
        ctx.spawn(rounds.into_actor(self));
    }
}

/// The clients of other daemons, kept while those daemons are alive.
#[derive(Default)]
pub(crate) struct Peers {
    clients: HashMap<String, HttpClient>,
}

impl Peers {
    pub(crate) fn client(&mut self, address: &str) -> Option<HttpClient> {
        if let Some(client) = self.clients.get(address) {
            return Some(client.clone());
        }
        let builder = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT);
        let client = builder.build(format!("http://{address}")).ok()?;
        self.clients.insert(address.to_owned(), client.clone());
        Some(client)
    }

    fn retain(&mut self, alive: &[String]) {
        self.clients.retain(|address, _| alive.contains(address));
    }
}

async fn rounds(core: Arc<Core>, list: Rc<dyn InstanceList>) {
    let mut peers = Peers::default();
    let mut listed = core.settings.seeds.clone();
    let mut round = 0;
    loop {
        round += 1;
        if round % LIST_INTERVAL_ROUNDS == 1 {
            refresh_list(&core, &list, &mut listed).await;
        }
        let message = core.members().begin_round();
        let targets = core.members().targets(&listed);
        let calls = targets.iter().filter_map(|t| Some((t, peers.client(t)?)));
        let calls = calls.map(|(to, client)| send_heartbeat(&core, to, client, message.clone()));
        futures_util::future::join_all(calls).await;
        finish_round(&core);
        restore_from_peers(&core, &mut peers).await;
        borrow(&core, &mut peers).await;
        if round % DEMAND_INTERVAL_ROUNDS == 0 {
            report_demand(&core, &mut peers).await;
        }
        let alive: Vec<String> = core.members().alive().map(|m| m.peer.clone()).collect();
        peers.retain(&alive);
        actix_rt::time::sleep(ROUND_INTERVAL).await;
    }
}

async fn refresh_list(core: &Arc<Core>, list: &Rc<dyn InstanceList>, listed: &mut Vec<String>) {
    let Ok(all) = list.list().await else {
        return;
    };
    let daemons = all.into_iter().filter(|l| l.kind == InstanceKind::Daemon);
    *listed = daemons.map(|l| l.address).collect();
    listed.extend(core.settings.seeds.iter().cloned());
    listed.sort_unstable();
    listed.dedup();
}

/// Sends a heartbeat to one daemon and applies the response, or records the failure.
pub(crate) async fn send_heartbeat(
    core: &Arc<Core>,
    to: &str,
    client: HttpClient,
    message: Heartbeat,
) {
    let secret = core.settings.secret.clone();
    let response = client.heartbeat(secret, message).await;
    let now = core.now();
    match response {
        Ok(response) => core.members().on_response(&response, now),
        Err(_) => core.members().on_call_failure(to, now),
    }
}

/// Applies the results of a round.
pub(crate) fn finish_round(core: &Arc<Core>) {
    let now = core.now();
    let (events, latest_config, own) = {
        let mut members = core.members();
        members.tick(now);
        (
            members.take_events(),
            members.latest_config(),
            members.local().config,
        )
    };
    for event in &events {
        match event {
            MemberEvent::Joined(id) => emit(LogEvent::MemberJoined, id.instance.as_str()),
            MemberEvent::Left(id) => emit(LogEvent::MemberLeft, id.instance.as_str()),
        }
    }
    core.divide_shares();
    core.record_config_lag(latest_config > own);
}

/// Restores the state of peers while the log is unavailable, if their offset is higher.
async fn restore_from_peers(core: &Arc<Core>, peers: &mut Peers) {
    if !core.is_log_unavailable() {
        return;
    }
    let others: Vec<String> = {
        let members = core.members();
        let local = members.local().id.clone();
        let others = members.alive().filter(|m| m.id != local);
        others.map(|m| m.peer.clone()).collect()
    };
    for address in others.iter().take(2) {
        if let Some(client) = peers.client(address) {
            restore_state(core, &client, &core.config).await;
            restore_state(core, &client, &core.cell).await;
        }
    }
}

async fn restore_state<M: StateMachine>(
    core: &Arc<Core>,
    client: &HttpClient,
    journal: &Journal<M>,
) {
    let request = RelayRequest {
        stream: journal.stream().clone(),
        next: journal.next(),
    };
    let secret = core.settings.secret.clone();
    let Ok(chunks) = client.relay(secret, request).await else {
        return;
    };
    let record = |(i, text): (usize, String)| StoredRecord {
        offset: Offset(i as u64),
        text,
    };
    let records: Vec<StoredRecord> = chunks.into_iter().enumerate().map(record).collect();
    if let Some(snapshot) = pick_snapshot(&records) {
        if journal.restore(&snapshot, true) {
            let detail = format!("stream {} to {}", journal.stream(), snapshot.covers());
            emit(LogEvent::PeerBoot, &detail);
        }
    }
}

/// Borrows parts of the limits that were exceeded since the last round. Requests refused in the
/// meantime received a retry-after time.
async fn borrow(core: &Arc<Core>, peers: &mut Peers) {
    let exceeded = core.router().take_exceeded();
    let others: Vec<String> = {
        let members = core.members();
        let local = members.local().id.clone();
        let others = members.alive().filter(|m| m.id != local);
        others.map(|m| m.peer.clone()).collect()
    };
    if others.is_empty() {
        return;
    }
    let turn = core.now().0 as usize / ROUND_INTERVAL.as_millis() as usize;
    for (i, (org, kind)) in exceeded.into_iter().take(MAX_BORROWED).enumerate() {
        for k in 0..MAX_LENDERS.min(others.len()) {
            let Some(client) = peers.client(&others[(turn + i + k) % others.len()]) else {
                continue;
            };
            let requested = core.now();
            let request = LoanRequest {
                org: org.clone(),
                limit: kind.as_str().to_owned(),
            };
            let lent = client.lend(core.settings.secret.clone(), request).await;
            if let Ok(amount) = lent {
                core.router().shares().borrow(&org, kind, amount, requested);
            }
        }
    }
}

/// Reports the demand of this daemon's callers to the owner of the cell.
async fn report_demand(core: &Arc<Core>, peers: &mut Peers) {
    let owner = core.cell.with(|c| c.lease().holder().map(|h| h.writer));
    let Some(owner) = owner.filter(|w| *w != core.writer) else {
        return;
    };
    let rates = core.demand().own_rates(core.now());
    let member = core.members().alive().find(|m| m.writer == owner).cloned();
    let Some(member) = member.filter(|_| !rates.is_empty()) else {
        return;
    };
    if let Some(client) = peers.client(&member.peer) {
        let report = DemandReport {
            writer: core.writer,
            rates,
        };
        let _ = client.demand(core.settings.secret.clone(), report).await;
    }
}
