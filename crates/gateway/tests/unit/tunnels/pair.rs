//! Daemons that reach each other, of which only the last one reaches the upstreams.

use super::cut_head::listen_cut;
use crate::gossip::{on_datagram, periodic_messages, Addressed};
use crate::handover::CopyHandler;
use crate::request::Callers;
use crate::roster::EntryRecord;
use crate::start::run_tick;
use crate::state::{Gateway, Platform};
use crate::unit::crashes::cluster::{rule, settings};
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use crate::{
    AnswerHead, Call, CallerLimits, Codec, Entry, ForwardContext, GatewaySettings, Head, Malformed,
    Repeat, RouteRule, ServiceRule, Table,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::{HeaderMap, Request, Response, StatusCode};
use shaleline_edge::{
    Handler, Listener, ListenerControl, Pool, PoolSettings, Reply, ReplyBody, Target,
};
use shaleline_fleet::{Held, Order, OrderReply};
use shaleline_types::{DataCentre, Incarnation, Millis, Position, Service, Upstream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::sync::mpsc;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const UPSTREAMS: usize = 3;
const TICK: Duration = Duration::from_millis(10);
const IDLE: Duration = Duration::from_secs(30);
const HEAD_BYTES: usize = 16_384;

/// How the direct path of the first daemon is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// New connections are refused.
    Refuses,
    /// New connections get no answer.
    Hangs,
}

/// Passes the request's id on and takes every answer for an upstream's.
struct TestCodec;

impl Codec for TestCodec {
    fn table(&self, bytes: &[u8]) -> Result<Table, Malformed> {
        StubCodec.table(bytes)
    }

    fn entry(&self, bytes: &[u8]) -> Result<Entry, Malformed> {
        StubCodec.entry(bytes)
    }

    fn head(&self, headers: &HeaderMap) -> Result<Head, Malformed> {
        let id = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
        Ok(Head {
            id: id.unwrap_or_default().to_owned(),
            ..Head::default()
        })
    }

    fn forward(&self, headers: &HeaderMap, _: &ForwardContext) -> HeaderMap {
        headers.clone()
    }

    fn answer(&self, _: StatusCode, headers: &HeaderMap) -> AnswerHead {
        let id = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
        AnswerHead {
            id: id.map(str::to_owned),
            signed: true,
            ..AnswerHead::default()
        }
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        StubCodec.response_headers(headers)
    }

    fn refusal(&self, id: &str, retry: Option<Millis>) -> HeaderMap {
        StubCodec.refusal(id, retry)
    }

    fn order(&self, order: &Order) -> Call {
        StubCodec.order(order)
    }

    fn order_reply(&self, status: StatusCode) -> OrderReply {
        StubCodec.order_reply(status)
    }

    fn report(&self, upstream: &Upstream) -> Call {
        StubCodec.report(upstream)
    }

    fn held(&self, bytes: &[u8]) -> Result<Held, Malformed> {
        StubCodec.held(bytes)
    }

    fn remaining(&self, report: &[u8]) -> Option<Millis> {
        StubCodec.remaining(report)
    }

    fn ready_path(&self) -> &'static str {
        StubCodec.ready_path()
    }
}

/// The complete answer of an upstream to a request: one event on the stream route.
pub fn whole_body(path: &str, id: &str) -> String {
    match path.starts_with("/stream/") {
        true => format!("data: {id} done\n\n"),
        false => format!("{id} done"),
    }
}

/// Answers every request with its id, and records it.
struct Server(Rc<RefCell<Vec<String>>>);

impl Handler for Server {
    fn handle(
        &self,
        request: Request<hyper::body::Incoming>,
    ) -> Pin<Box<dyn Future<Output = Reply>>> {
        let id = request.headers()[REQUEST_ID].clone();
        let text = id.to_str().expect("a text").to_owned();
        self.0.borrow_mut().push(text.clone());
        let body = whole_body(request.uri().path(), &text);
        let mut reply = Response::new(ReplyBody::from_bytes(Bytes::from(body)));
        reply.headers_mut().insert(REQUEST_ID, id);
        Box::pin(std::future::ready(reply))
    }
}

struct Daemon {
    gw: Rc<Gateway>,
    outbox: mpsc::UnboundedReceiver<Addressed>,
}

pub struct Pair {
    callers: SocketAddr,
    other: Rc<Gateway>,
    runs: Rc<RefCell<Vec<String>>>,
    servers: Vec<ListenerControl>,
    pool: Pool,
    /// Connections and listeners whose queues are full.
    _full: Vec<(StdListener, Vec<StdStream>)>,
}

/// An address of the loopback network that no other test uses.
fn own_ip() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let host = COUNT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 200, (process % 250) as u8, host)
}

fn service() -> Service {
    Service::from_text("svc").expect("a valid name")
}

fn listen(ip: Ipv4Addr, control: ListenerControl, handler: Rc<dyn Handler>) -> SocketAddr {
    let listener = Listener::bind(SocketAddr::from((ip, 0)), control).expect("bound");
    let address = listener.address().expect("an address");
    actix_rt::spawn(listener.run(handler));
    address
}

fn control() -> ListenerControl {
    ListenerControl::new(IDLE, HEAD_BYTES)
}

/// A listener that accepts nothing, with a full queue.
fn full_listener(ip: Ipv4Addr) -> (StdListener, Vec<StdStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let address = SocketAddr::from((ip, 0));
    socket.bind(&address.into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = StdListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let limit = Duration::from_millis(50);
    let mut streams = Vec::new();
    while let Ok(stream) = StdStream::connect_timeout(&address, limit) {
        streams.push(stream);
    }
    (listener, streams)
}

fn closed_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = StdListener::bind((ip, 0)).expect("bound");
    listener.local_addr().expect("an address")
}

fn table() -> Table {
    let route = |name: &str, repeat| RouteRule {
        public: true,
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        repeat,
        services: vec![(service(), 1)],
        ..rule(repeat)
    };
    let rule = ServiceRule {
        connections: 100,
        catalog: None,
    };
    Table {
        orgs: None,
        version: 1,
        rules: vec![
            route("safe", Repeat::Safe),
            route("unsafe", Repeat::Unsafe),
            route("stream", Repeat::Stream { resumable: false }),
        ],
        services: BTreeMap::from([(service(), rule)]),
        limits: CallerLimits {
            head: HEAD_BYTES,
            body: 1 << 20,
            arrival: Millis(1_000),
            idle: Millis(10_000),
        },
    }
}

fn start_daemon(index: usize, addresses: &[SocketAddr]) -> Daemon {
    let ip = own_ip();
    let (outbox, messages) = mpsc::unbounded_channel();
    let platform = Platform {
        codec: Box::new(TestCodec),
        store: Box::new(UnavailableStore),
    };
    let peers = SocketAddr::from((ip, 7_380));
    let settings = GatewaySettings {
        ip,
        ..settings(index, peers)
    };
    let gw = Gateway::new(settings, platform, outbox).expect("a gateway");
    let listener = Listener::bind(peers, control()).expect("bound");
    actix_rt::spawn(listener.run(Rc::new(CopyHandler(Rc::clone(&gw)))));
    gw.set_table(table());
    let record = |(number, address): (usize, &SocketAddr)| EntryRecord {
        name: Upstream::from_text(&format!("i-{number}")).expect("a valid name"),
        position: Position::new(0, 1),
        entry: Some(Entry {
            service: service(),
            address: *address,
            centre: DataCentre::from_text("dc0").expect("a valid name"),
            slots: 6,
            leaving: false,
            held: None,
            incarnation: Incarnation::from_millis(1),
            version: shaleline_types::SoftwareVersion::default(),
            remaining: None,
        }),
    };
    gw.apply_entries(addresses.iter().enumerate().map(record).collect(), gw.now());
    Daemon {
        gw,
        outbox: messages,
    }
}

/// Exchanges the daemons' messages and runs their periodic work.
async fn run(mut daemons: Vec<Daemon>) {
    loop {
        let mut out = Vec::new();
        for daemon in &mut daemons {
            run_tick(&daemon.gw, TICK.as_millis() as u64);
            out.extend(periodic_messages(&daemon.gw));
            while let Ok(messages) = daemon.outbox.try_recv() {
                out.extend(messages);
            }
        }
        for (to, datagram) in out {
            let receiver = daemons.iter().find(|d| d.gw.me.address == to);
            if let Some(daemon) = receiver {
                on_datagram(&daemon.gw, datagram);
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

impl Pair {
    pub async fn start(broken: Break) -> Self {
        Self::start_with(broken, 1).await
    }

    /// Starts this number of daemons whose paths are broken, and one whose paths are not.
    pub async fn start_with(broken: Break, cut: usize) -> Self {
        let runs: Rc<RefCell<Vec<String>>> = Rc::default();
        let controls: Vec<ListenerControl> = (0..UPSTREAMS).map(|_| control()).collect();
        let ip = own_ip();
        let serve = |c: &ListenerControl| listen(ip, c.clone(), Rc::new(Server(Rc::clone(&runs))));
        let addresses: Vec<SocketAddr> = controls.iter().map(serve).collect();
        let pair = Self::start_before(broken, cut, &addresses).await;
        Self {
            runs,
            servers: controls,
            ..pair
        }
    }

    /// Starts the daemons before upstreams whose heads lack their last `missing` bytes.
    pub async fn start_before_cut_heads(broken: Break, missing: usize) -> Self {
        let ip = own_ip();
        let addresses: Vec<SocketAddr> = (0..UPSTREAMS).map(|_| listen_cut(ip, missing)).collect();
        Self::start_before(broken, 1, &addresses).await
    }

    async fn start_before(broken: Break, cut: usize, addresses: &[SocketAddr]) -> Self {
        let ip = own_ip();
        let full: Vec<_> = match broken {
            Break::Refuses => Vec::new(),
            Break::Hangs => (0..UPSTREAMS).map(|_| full_listener(ip)).collect(),
        };
        let unreachable: Vec<SocketAddr> = match broken {
            Break::Refuses => (0..UPSTREAMS).map(|_| closed_address(ip)).collect(),
            Break::Hangs => full
                .iter()
                .map(|(l, _)| l.local_addr().expect("an address"))
                .collect(),
        };
        let daemons = (0..cut).map(|index| start_daemon(index, &unreachable));
        let mut daemons: Vec<Daemon> = daemons.collect();
        daemons.push(start_daemon(cut, addresses));
        for daemon in &daemons {
            for other in daemons.iter().filter(|d| !Rc::ptr_eq(&d.gw, &daemon.gw)) {
                let mut membership = daemon.gw.membership.borrow_mut();
                membership.learn_member(&other.gw.me, daemon.gw.now());
                // Small clusters hear of all daemons in time.
                membership.on_datagram(&other.gw.me, daemon.gw.now());
            }
        }
        let (gw, other) = (Rc::clone(&daemons[0].gw), Rc::clone(&daemons[cut].gw));
        let count = daemons.len();
        let callers = listen(
            gw.settings.ip,
            gw.gate.clone(),
            Rc::new(Callers(Rc::clone(&gw))),
        );
        actix_rt::spawn(run(daemons));
        // The daemons have to receive each other's first reports.
        while gw.membership.borrow().alive() < count {
            tokio::time::sleep(TICK).await;
        }
        Self {
            callers,
            other,
            runs: Rc::default(),
            servers: Vec::new(),
            pool: Pool::new(PoolSettings {
                connect_timeout: Duration::from_secs(5),
                unacked_timeout: Duration::from_secs(5),
                max_connections: 10,
            }),
            _full: full,
        }
    }

    /// Sends a request to the daemon whose path is broken; returns the status and the body.
    pub async fn request(&self, path: &str, id: &str) -> String {
        let mut request = Request::new(Full::new(Bytes::from_static(b"body")));
        *request.method_mut() = hyper::Method::POST;
        *request.uri_mut() = path.parse().expect("a path");
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("h"));
        headers.insert(REQUEST_ID, HeaderValue::from_str(id).expect("a text"));
        let target = Target {
            name: Upstream::from_text("gateway").expect("a valid name"),
            address: self.callers,
        };
        let exchange = self.pool.send(&target, request).await;
        let mut exchange = exchange.expect("the daemon answers");
        let status = exchange.status().as_u16();
        let body = exchange.collect(1 << 20).await.expect("a whole body");
        format!("{status} {}", String::from_utf8_lossy(&body))
    }

    /// The requests that upstreams ran.
    pub fn runs(&self) -> Vec<String> {
        self.runs.borrow().clone()
    }

    /// Marks the other daemon as stopping.
    pub fn stop_other(&self) {
        self.other.stopping.set(true);
    }

    /// Closes all upstreams.
    pub fn close_upstreams(&self) {
        self.servers.iter().for_each(ListenerControl::close);
    }
}
