//! Exchanges heartbeats, and takes a peer's state where the log can't be reached.

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

const ROUND: Duration = Duration::from_millis(1_000);
const CALL: Duration = Duration::from_millis(800);
const LIST_ROUNDS: u64 = 2;

/// Limits that are borrowed in a round, and daemons that are asked for each.
const MOST_BORROWED: usize = 8;
const LENDERS: usize = 2;

/// Rounds between two reports of demand to the cell's owner.
const DEMAND_ROUNDS: u64 = 3;

/// The actor of membership.
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

/// Clients of other daemons, kept while they are used.
#[derive(Default)]
pub(crate) struct Peers {
    clients: HashMap<String, HttpClient>,
}

impl Peers {
    pub(crate) fn client(&mut self, address: &str) -> Option<HttpClient> {
        if let Some(client) = self.clients.get(address) {
            return Some(client.clone());
        }
        let builder = HttpClientBuilder::default().request_timeout(CALL);
        let client = builder.build(format!("http://{address}")).ok()?;
        self.clients.insert(address.to_owned(), client.clone());
        Some(client)
    }

    fn keep(&mut self, used: &[String]) {
        self.clients.retain(|address, _| used.contains(address));
    }
}

async fn rounds(core: Arc<Core>, list: Rc<dyn InstanceList>) {
    let mut peers = Peers::default();
    let mut listed = core.settings.seeds.clone();
    let mut round = 0;
    loop {
        round += 1;
        if round % LIST_ROUNDS == 1 {
            refresh_list(&core, &list, &mut listed).await;
        }
        let message = core.members().begin_round();
        let targets = core.members().targets(&listed);
        let calls = targets.iter().filter_map(|t| Some((t, peers.client(t)?)));
        let calls = calls.map(|(to, client)| beat(&core, to, client, message.clone()));
        futures_util::future::join_all(calls).await;
        settle(&core);
        follow_peers(&core, &mut peers).await;
        borrow(&core, &mut peers).await;
        if round % DEMAND_ROUNDS == 0 {
            tell_demand(&core, &mut peers).await;
        }
        let known: Vec<String> = core.members().alive().map(|m| m.peer.clone()).collect();
        peers.keep(&known);
        actix_rt::time::sleep(ROUND).await;
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

/// Sends a message to one daemon and takes its answer, or notes that there was none.
pub(crate) async fn beat(core: &Arc<Core>, to: &str, client: HttpClient, message: Heartbeat) {
    let secret = core.settings.secret.clone();
    let answer = client.heartbeat(secret, message).await;
    let now = core.now();
    match answer {
        Ok(answer) => core.members().on_response(&answer, now),
        Err(_) => core.members().on_call_failure(to, now),
    }
}

/// Draws the conclusions of a round.
pub(crate) fn settle(core: &Arc<Core>) {
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
    core.share_out();
    core.note_behind(latest_config > own);
}

/// A daemon that is behind, or has no state at all because the log is away, takes a
/// peer's state with the offset it reaches.
async fn follow_peers(core: &Arc<Core>, peers: &mut Peers) {
    if !core.is_log_away() {
        return;
    }
    let others: Vec<String> = {
        let members = core.members();
        let me = members.local().id.clone();
        let others = members.alive().filter(|m| m.id != me);
        others.map(|m| m.peer.clone()).collect()
    };
    for address in others.iter().take(2) {
        if let Some(client) = peers.client(address) {
            take_state(core, &client, &core.config).await;
            take_state(core, &client, &core.cell).await;
        }
    }
}

async fn take_state<M: StateMachine>(core: &Arc<Core>, client: &HttpClient, journal: &Journal<M>) {
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

/// Borrows parts of the limits that stood in the way since the last round. Whoever was
/// refused meanwhile was told when to come back.
async fn borrow(core: &Arc<Core>, peers: &mut Peers) {
    let short = core.router().take_exceeded();
    let others: Vec<String> = {
        let members = core.members();
        let me = members.local().id.clone();
        let others = members.alive().filter(|m| m.id != me);
        others.map(|m| m.peer.clone()).collect()
    };
    if others.is_empty() {
        return;
    }
    let turn = core.now().0 as usize / ROUND.as_millis() as usize;
    for (i, (org, kind)) in short.into_iter().take(MOST_BORROWED).enumerate() {
        for k in 0..LENDERS.min(others.len()) {
            let Some(client) = peers.client(&others[(turn + i + k) % others.len()]) else {
                continue;
            };
            let asked = core.now();
            let request = LoanRequest {
                org: org.clone(),
                limit: kind.as_str().to_owned(),
            };
            let lent = client.lend(core.settings.secret.clone(), request).await;
            if let Ok(amount) = lent {
                core.router().shares().borrow(&org, kind, amount, asked);
            }
        }
    }
}

/// Tells the owner of the cell what this daemon's callers ask for.
async fn tell_demand(core: &Arc<Core>, peers: &mut Peers) {
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
