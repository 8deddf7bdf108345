//! Sends and receives the daemons' datagrams.

use crate::journal::emit;
use crate::peers::{Datagram, LoadNote, Message, UpstreamNote};
use crate::state::Gateway;
use shaleline_route::{PeerLoad, RouteEvent};
use shaleline_types::{LogEvent, Upstream};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The largest datagram that is read.
const MOST_BYTES: usize = 65_536;

/// A datagram that a network carries in one piece, headers taken off.
const ONE_PACKET: usize = 1_400;

/// What is sent between two notes of load.
pub(crate) type Outbox = mpsc::UnboundedReceiver<(Option<SocketAddr>, Message)>;

/// Sends what is put into the outbox, and this daemon's load at a steady pace.
pub(crate) async fn send(gw: Rc<Gateway>, socket: Rc<UdpSocket>, mut outbox: Outbox) {
    let mut ticks = tokio::time::interval(Duration::from_millis(
        gw.settings.policy.gossip_every.0.max(1),
    ));
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                gw.share_budget();
                let note = load_note(&gw);
                send_one(&gw, &socket, None, Message::Load(note)).await;
                pass_loads(&gw);
            }
            Some((to, message)) = outbox.recv() => {
                send_one(&gw, &socket, to, message).await;
            }
        }
    }
}

async fn send_one(gw: &Gateway, socket: &UdpSocket, to: Option<SocketAddr>, message: Message) {
    let now = gw.now();
    let targets = match to {
        Some(address) => vec![address],
        None => gw.peers.borrow_mut().targets(now),
    };
    if targets.is_empty() {
        return;
    }
    let datagram = Datagram {
        from: gw.me.clone(),
        message,
    };
    let bytes = match postcard::to_stdvec(&datagram) {
        Ok(bytes) => bytes,
        Err(e) => {
            emit(LogEvent::PeerMessageBad, &format!("reason=\"{e}\""));
            return;
        }
    };
    for target in targets {
        // Datagrams may be lost anyway; what they say is said again.
        socket.send_to(&bytes, target).await.ok();
    }
}

/// What this daemon tells of its load. What does not fit into one packet is left out, the
/// least first: it is told again.
fn load_note(gw: &Gateway) -> LoadNote {
    let now = gw.now();
    let router = gw.router.borrow();
    let clamp = |ms: f64| ms.clamp(0.0, f64::from(u16::MAX)) as u16;
    let note = |l: PeerLoad| UpstreamNote {
        running: l.running.min(usize::from(u16::MAX)) as u16,
        urgent: clamp(l.urgent),
        backlog: clamp(l.backlog),
    };
    let loads = router.names().filter_map(|n| {
        let load = router.own_load(n)?;
        (load.running > 0).then(|| (n.clone(), note(load)))
    });
    let mut upstreams: Vec<(Upstream, UpstreamNote)> = loads.collect();
    upstreams.sort_by_key(|(_, n)| std::cmp::Reverse((n.backlog, n.running)));
    let mut rates = gw.demand.borrow_mut().rates(now);
    let room = |u: &Vec<(Upstream, UpstreamNote)>, r: usize| u.len() * 18 + r * 24 <= ONE_PACKET;
    while !room(&upstreams, rates.len()) && upstreams.len() > rates.len() {
        upstreams.pop();
    }
    while !room(&upstreams, rates.len()) {
        let least = rates.iter().min_by(|a, b| a.1.total_cmp(b.1));
        let Some(key) = least.map(|(k, _)| k.clone()) else {
            break;
        };
        rates.remove(&key);
    }
    LoadNote {
        fence: gw.claim.borrow().fence(now),
        upstreams,
        rates,
    }
}

/// Tells the router what the others have.
fn pass_loads(gw: &Gateway) {
    let loads = gw.peers.borrow().loads(gw.now());
    let names: Vec<Upstream> = gw.router.borrow().names().cloned().collect();
    for upstream in names {
        let load = loads.get(&upstream).copied().unwrap_or_default();
        gw.route(RouteEvent::Peers { upstream, load });
    }
}

/// Takes in other daemons' datagrams for as long as the process lives.
pub(crate) async fn receive(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            // An earlier datagram reached nobody; the socket itself is sound.
            tokio::task::yield_now().await;
            continue;
        };
        match postcard::from_bytes::<Datagram>(&buffer[..len]) {
            Ok(datagram) => take(&gw, datagram, from),
            Err(e) => emit(
                LogEvent::PeerMessageBad,
                &format!("from={from} reason=\"{e}\""),
            ),
        }
    }
}

fn take(gw: &Gateway, datagram: Datagram, address: SocketAddr) {
    let now = gw.now();
    let from = datagram.from;
    if from == gw.me {
        return;
    }
    if gw.peers.borrow_mut().hear(&from, address, now) {
        let detail = format!("instance={} life={:016x}", from.instance, from.life);
        emit(LogEvent::MemberJoined, &detail);
        // It may not know of this daemon yet.
        let note = load_note(gw);
        gw.outbox.send((Some(address), Message::Load(note))).ok();
    }
    match datagram.message {
        Message::Load(note) => {
            if note.fence.is_some() {
                gw.claim.borrow_mut().heard(now);
            }
            gw.peers.borrow_mut().note(&from, note);
        }
        Message::Want { model, adapter } => {
            gw.wants.borrow_mut().insert((model, adapter), now);
            gw.plan_now.notify_one();
        }
        Message::Retire { engine, model } => {
            gw.with_fleet(&engine, |f| f.note_absent(&engine, &model, None, now));
        }
        Message::Held { engine, held } => {
            gw.with_fleet(&engine, |f| f.report(&engine, held, now));
        }
    }
}
