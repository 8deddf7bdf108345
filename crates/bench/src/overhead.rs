//! `overhead`: the latency of a request via_daemon a daemon against a direct call of the engine.

use crate::rig::{Rig, CALLER, MODEL};
use awc::Client;
use eyre::{eyre, Result};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use shaleline_border::GenerateRequest;
use shaleline_place::Item;
use shaleline_types::{Model, RequestId};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WARM_UP: usize = 300;
const SEQUENTIAL: usize = 4_000;
const LOAD_THREADS: usize = 3;
const LOAD_CONNECTIONS: usize = 24;
const LOAD_TIME: Duration = Duration::from_secs(5);
const TOKENS: u32 = 2;

/// Latencies in microseconds and throughput in requests per second.
#[derive(Debug, Serialize)]
struct Figures {
    direct_p50_us: u64,
    direct_p99_us: u64,
    daemon_p50_us: u64,
    daemon_p99_us: u64,
    added_p50_us: i64,
    added_p99_us: i64,
    direct_per_second: f64,
    daemon_per_second: f64,
}

/// The destination of the measured requests.
#[derive(Debug, Clone)]
enum Target {
    Engine(SocketAddr),
    Daemon(SocketAddr),
}

impl Target {
    /// Sends one request and waits for its whole answer.
    async fn send(&self, client: &Client, number: u64) -> Result<()> {
        let sent = match self {
            Self::Engine(address) => {
                let request = GenerateRequest {
                    id: RequestId(number),
                    attempt: 1,
                    item: Item::base(&Model::from_text(MODEL)?, 1),
                    prompt: "a short prompt".to_owned(),
                    tokens: TOKENS,
                    from: 0,
                    priority: 1,
                    blocks: Vec::new(),
                };
                let url = format!("http://{address}/v1/generate");
                client.post(url).send_json(&request).await
            }
            Self::Daemon(address) => {
                let body =
                    json!({"model": MODEL, "prompt": "a short prompt", "max_tokens": TOKENS});
                let url = format!("http://{address}/v1/completions");
                client.post(url).bearer_auth(CALLER).send_json(&body).await
            }
        };
        let mut answer = sent.map_err(|e| eyre!("{e}"))?;
        answer.body().await?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(eyre!("status {}", answer.status()))
    }
}

/// Measures and prints the figures.
pub fn run(as_json: bool) -> Result<bool> {
    let figures = actix_rt::System::new().block_on(measure())?;
    if as_json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
        return Ok(true);
    }
    println!(
        "direct:  p50 {} us, p99 {} us, {:.0} requests/s",
        figures.direct_p50_us, figures.direct_p99_us, figures.direct_per_second
    );
    println!(
        "daemon:  p50 {} us, p99 {} us, {:.0} requests/s",
        figures.daemon_p50_us, figures.daemon_p99_us, figures.daemon_per_second
    );
    println!(
        "added:   p50 {} us, p99 {} us",
        figures.added_p50_us, figures.added_p99_us
    );
    Ok(true)
}

async fn measure() -> Result<Figures> {
    let mut rig = Rig::start(1, 4, 2).await?;
    rig.set_up().await?;
    let daemon = Target::Daemon(rig.daemons[0].caller);
    let engine = Target::Engine(find_holder(&rig).await?);
    let direct = sequential(&engine).await?;
    let via_daemon = sequential(&daemon).await?;
    let direct_rate = load(&engine)?;
    let daemon_rate = load(&daemon)?;
    rig.stop();
    let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q);
    let added = |q: f64| at(&via_daemon, q) as i64 - at(&direct, q) as i64;
    Ok(Figures {
        direct_p50_us: at(&direct, 0.5),
        direct_p99_us: at(&direct, 0.99),
        daemon_p50_us: at(&via_daemon, 0.5),
        daemon_p99_us: at(&via_daemon, 0.99),
        added_p50_us: added(0.5),
        added_p99_us: added(0.99),
        direct_per_second: direct_rate,
        daemon_per_second: daemon_rate,
    })
}

/// Returns the engine that holds the model.
async fn find_holder(rig: &Rig) -> Result<SocketAddr> {
    let client = Client::default();
    for address in &rig.standins.engines {
        if Target::Engine(*address).send(&client, 1).await.is_ok() {
            return Ok(*address);
        }
    }
    Err(eyre!("no engine holds the model"))
}

/// Measures the latency of sequential requests.
async fn sequential(target: &Target) -> Result<Histogram<u64>> {
    let client = Client::default();
    let mut histogram = Histogram::new(3)?;
    for i in 0..WARM_UP + SEQUENTIAL {
        let started = Instant::now();
        target.send(&client, i as u64).await?;
        if i >= WARM_UP {
            histogram.record(started.elapsed().as_micros() as u64)?;
        }
    }
    Ok(histogram)
}

/// Measures the throughput of a fixed number of connections over a fixed time.
fn load(target: &Target) -> Result<f64> {
    let threads: Vec<_> = (0..LOAD_THREADS)
        .map(|t| {
            let target = target.clone();
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    let deadline = Instant::now() + LOAD_TIME;
                    let connections = (0..LOAD_CONNECTIONS).map(|c| {
                        run_connection(&target, (t * LOAD_CONNECTIONS + c) as u64, deadline)
                    });
                    join_all(connections).await.into_iter().sum::<Result<u64>>()
                })
            })
        })
        .collect();
    let mut sum = 0;
    for thread in threads {
        sum += thread.join().map_err(|_| eyre!("a load thread failed"))??;
    }
    Ok(sum as f64 / LOAD_TIME.as_secs_f64())
}

async fn run_connection(target: &Target, number: u64, deadline: Instant) -> Result<u64> {
    let client = Client::default();
    let mut count = 0;
    while Instant::now() < deadline {
        target.send(&client, number * 1_000_000 + count).await?;
        count += 1;
    }
    Ok(count)
}
