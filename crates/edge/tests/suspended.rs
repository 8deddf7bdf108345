//! Tests of a suspended instance: the boot time advances, the monotonic clock and timers do not.
//!
//! Without the boot clock, a daemon suspended for four seconds took its connections, deadlines and
//! everything it had read to be four seconds younger than they were.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use shaleline_edge::{Clock, Pool, PoolSettings, SuspensionDetector, Target, TimeSource};
use shaleline_testkit::cases;
use shaleline_types::Upstream;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A boot time that the test advances while the monotonic clock stands still.
#[derive(Default)]
struct ManualBootTime(Cell<u64>);

impl TimeSource for ManualBootTime {
    fn elapsed(&self) -> Duration {
        Duration::from_millis(self.0.get())
    }
}

fn clock() -> (Rc<ManualBootTime>, Clock) {
    let boot = Rc::new(ManualBootTime::default());
    let time: Rc<dyn TimeSource> = boot.clone();
    (boot, Clock::from_time(time))
}

/// Returns the suspensions detected, in milliseconds, one per observation. An observation is the
/// boot time and the monotonic time.
fn suspended(observations: &[(u64, u64)]) -> Vec<u64> {
    let mut detector = SuspensionDetector::default();
    let mut observe = |(boot, monotonic): &(u64, u64)| {
        let millis = Duration::from_millis;
        let found = detector.observe(millis(*boot), millis(*monotonic));
        found.map_or(0, |m| m.0)
    };
    observations.iter().map(&mut observe).collect()
}

cases! { suspended;
    clocks_that_agree: &[(10, 10), (2_000, 2_000)] => vec![0, 0],
    a_stall_is_not_a_suspension: &[(10, 10), (5_000, 4_990)] => vec![0, 0],
    a_suspension: &[(10, 10), (4_020, 20), (4_030, 30)] => vec![0, 4_000, 0],
    two_suspensions: &[(10, 10), (1_020, 20), (3_030, 30)] => vec![0, 1_000, 2_000],
    a_suspension_before_the_process_started: &[(9_000, 10), (9_010, 20)] => vec![0, 0],
}

#[test]
fn a_sleeping_task_wakes_after_a_suspension() {
    actix_rt::System::new().block_on(async {
        let (boot, clock) = clock();
        let until = clock.now().plus(60_000);
        let sleeper = actix_rt::spawn({
            let clock = clock.clone();
            async move { clock.timeout_at(until, std::future::pending::<()>()).await }
        });
        clock.detect_suspension();
        tokio::task::yield_now().await;
        boot.0.set(60_000);
        assert!(clock.detect_suspension().is_some());
        assert_eq!(sleeper.await.expect("it ends"), None);
    });
}

#[test]
fn an_expired_idle_connection_is_not_reused() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address: SocketAddr = listener.local_addr().expect("an address");
        actix_rt::spawn(answer(listener));
        let (boot, clock) = clock();
        let settings = PoolSettings {
            connect_timeout: Duration::from_secs(5),
            unacked_timeout: Duration::from_secs(5),
            max_connections: 4,
        };
        let pool = Pool::with_clock(settings, clock);
        let target = Target {
            name: Upstream::from_text("up").expect("a valid name"),
            address,
        };
        fetch(&pool, &target).await;
        fetch(&pool, &target).await;
        assert_eq!(pool.opened(), 1);
        boot.0.set(4_000);
        fetch(&pool, &target).await;
        assert_eq!(pool.opened(), 2);
    });
}

/// Sends one request; the connection may stay idle for three seconds.
async fn fetch(pool: &Pool, target: &Target) {
    let request = Request::get("/").body(Full::new(Bytes::new()));
    let exchange = pool.send(target, request.expect("valid")).await;
    let mut exchange = exchange.expect("an answer");
    exchange.collect(100).await.expect("a whole answer");
    exchange.finish(Duration::from_secs(3));
}

/// Answers every request.
async fn answer(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        actix_rt::spawn(async move {
            let mut buffer = [0; 1_024];
            while matches!(stream.read(&mut buffer).await, Ok(1..)) {
                let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                if stream.write_all(ok).await.is_err() {
                    return;
                }
            }
        });
    }
}
