//! Tests of copies of a large configuration that daemons take from each other over slow links.

use crate::config_record::ConfigRecord;
use crate::handover::{self, CopyHandler};
use crate::state::{Gateway, Platform};
use crate::unit::crashes::cluster::settings;
use crate::unit::crashes::null_platform::{StubCodec, UnavailableStore};
use futures_util::future::join_all;
use hyper::body::Incoming;
use hyper::header::ACCEPT_ENCODING;
use hyper::Request;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shaleline_edge::{Clock, Handler, Listener, ListenerControl, Reply};
use shaleline_testkit::{cases, limit_link};
use shaleline_types::Position;
use std::fmt::Write;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Bandwidths in bytes a millisecond: of the slowest links, and of those of the weaker hubs.
const TEN_MBPS: u64 = 1_250;
const TWENTY_FIVE_MBPS: u64 = 3_125;

const ROUTES: usize = 4_249;

const KNOWN: Position = Position::new(0, 3);

fn gateway(index: usize) -> Rc<Gateway> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1 + index as u16));
    let platform = Platform {
        codec: Box::new(StubCodec),
        store: Box::new(UnavailableStore),
    };
    let (outbox, _) = mpsc::unbounded_channel();
    let rng = SmallRng::seed_from_u64(index as u64);
    let settings = settings(index, address);
    Gateway::with_clock(settings, platform, outbox, Clock::default(), rng).expect("a gateway")
}

/// A configuration of that many routes, as the operator writes it.
fn large_config(routes: usize) -> Vec<u8> {
    let mut rng = SmallRng::seed_from_u64(17);
    let mut text = String::from("{\"version\":17,\"routes\":[");
    for _ in 0..routes {
        let (name, prefix): (u32, u32) = (rng.random(), rng.random());
        let route = format!(
            "{{\"name\":\"r-{name:07x}\",\"host\":\"bora60.example\",\"path-prefix\":\"/{prefix:07x}/\",\
             \"kind\":\"stream\",\"timeout-ms\":15000,\"target-latency-ms\":4000,\"priority\":1,\
             \"service\":\"huvo11a\",\"max-attempts\":1,\"sticky\":true,\"resumable\":false,\
             \"gap-aim-ms\":200}},"
        );
        text.write_str(&route).expect("written");
    }
    text.push_str("]}");
    text.into_bytes()
}

/// A hub of an earlier release, which sends copies as they are.
struct EarlierRelease(CopyHandler);

impl Handler for EarlierRelease {
    fn handle(&self, mut request: Request<Incoming>) -> Pin<Box<dyn Future<Output = Reply>>> {
        request.headers_mut().remove(ACCEPT_ENCODING);
        self.0.handle(request)
    }
}

/// A hub that has this record as its configuration.
fn hub(record: &[u8], earlier: bool) -> SocketAddr {
    let gw = gateway(0);
    *gw.config_record.borrow_mut() = Some(Rc::new(ConfigRecord::new(record)));
    gw.reading.borrow_mut().on_config(KNOWN.next(), gw.now());
    let copies = CopyHandler(gw);
    let handler: Rc<dyn Handler> = match earlier {
        true => Rc::new(EarlierRelease(copies)),
        false => Rc::new(copies),
    };
    let control = ListenerControl::new(Duration::from_secs(30), 16_384);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, control).expect("bound");
    let address = listener.address().expect("an address");
    actix_rt::spawn(listener.run(handler));
    address
}

/// The number of followers that receive the configuration of their hub over a link that they share.
fn served_followers((followers, bandwidth, earlier): (usize, u64, bool)) -> usize {
    actix_rt::System::new().block_on(async {
        let record = large_config(ROUTES);
        let link = limit_link(hub(&record, earlier), bandwidth).await;
        let gateways: Vec<Rc<Gateway>> = (1..=followers).map(gateway).collect();
        let copies = gateways.iter().map(|gw| handover::config_of(gw, link));
        let copies = join_all(copies).await;
        let whole = copies.iter().flatten();
        whole.filter(|c| c.record.as_ref() == Some(&record)).count()
    })
}

cases! {
    served_followers;
    large_configurations_arrive_over_a_slow_link: (1, TEN_MBPS, false) => 1,
    large_configurations_of_an_earlier_release_arrive_over_a_slow_link: (1, TEN_MBPS, true) => 1,
    large_configurations_reach_all_followers_of_a_hub: (18, TWENTY_FIVE_MBPS, false) => 18,
}

/// A copy whose bytes stop arriving takes up its reader only for a while.
#[test]
fn an_unfinished_copy_is_given_up() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            let count = stream.read(&mut [0; 4_096]).await.expect("a request");
            assert!(count > 0);
            let part = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nabc";
            stream.write_all(part).await.expect("written");
            std::future::pending::<()>().await;
        });
        let copy = handover::config_of(&gateway(1), address).await;
        assert!(copy.is_err());
    });
}
