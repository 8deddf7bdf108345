//! Runs the main steps of the demo in order and checks the result of each.

use crate::client::{self, ServiceResponse};
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use awc::Client;
use eyre::{bail, ensure, eyre, Result};
use futures_util::future::{join, join_all};
use shaleline_config::{Fleet, Organisation, Value};
use shaleline_place::Item;
use shaleline_standin::{answer_text, free_addresses, Sample};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const POLL_TIMEOUT: Duration = Duration::from_secs(25);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs steps, prints a line for each and counts those that passed and failed.
#[derive(Default)]
struct StepRunner {
    passed: u32,
    failed: u32,
}

impl StepRunner {
    async fn run_step(&mut self, name: &str, step: impl Future<Output = Result<String>>) -> bool {
        let started = Instant::now();
        let result = step.await;
        let took = started.elapsed().as_millis();
        match result {
            Ok(detail) => {
                self.passed += 1;
                println!("ok   {name}: {detail} ({took} ms)");
                true
            }
            Err(e) => {
                self.failed += 1;
                println!("FAIL {name}: {e:#} ({took} ms)");
                false
            }
        }
    }
}

/// An organisation with its token and the names of its models and adapters.
struct Caller {
    org: Organisation,
    token: String,
    models: Vec<String>,
}

struct Check {
    client: Client,
    cluster: Cluster,
    fleet: Fleet,
    service: &'static str,
    callers: Vec<Caller>,
}

/// Runs the steps. Returns whether all of them passed.
pub async fn run(sample: Sample) -> Result<bool> {
    let mut runner = StepRunner::default();
    let deployment = Deployment::for_sample(sample);
    let mut check = Check {
        client: client::new_client(),
        cluster: Cluster::start(sample, 0)?,
        fleet: deployment.fleet()?,
        service: deployment.service,
        callers: deployment.orgs()?.into_iter().map(new_caller).collect(),
    };
    let ops = deployment.ops()?;
    let ok = runner
        .run_step("three daemons are ready", check.wait_ready())
        .await
        && runner
            .run_step(
                "templates and organisations are in force",
                check.apply_ops(&ops),
            )
            .await
        && runner
            .run_step("each organisation has a token", check.add_tokens())
            .await;
    if ok {
        runner
            .run_step("every model and adapter answers", check.check_models())
            .await;
        runner
            .run_step(
                "streams through each daemon are whole and their own",
                check.check_streams(),
            )
            .await;
        runner
            .run_step(
                "another's model looks like an unknown one",
                check.check_foreign_model(),
            )
            .await;
        runner
            .run_step(
                "a booking sent to two daemons at once runs once",
                check.check_concurrent_calls(),
            )
            .await;
        runner
            .run_step(
                "a daemon is replaced under load and cuts off nothing",
                check.replace_daemon(),
            )
            .await;
        runner
            .run_step("the new daemon knows the booking", check.check_replay())
            .await;
        runner
            .run_step("no accelerator was overfilled", check.check_memory())
            .await;
    }
    let Check { cluster, .. } = check;
    cluster.stop();
    println!("{} passed, {} failed", runner.passed, runner.failed);
    Ok(runner.failed == 0)
}

fn new_caller(org: Organisation) -> Caller {
    let names = |key: &str| match org.values.get(key) {
        Some(Value::Names(names)) => names.clone(),
        _ => Vec::new(),
    };
    let mut models = names("models");
    models.extend(names("adapters"));
    Caller {
        token: format!("demo-{}-{:016x}", org.name, rand::random::<u64>()),
        models,
        org,
    }
}

async fn wait_until<F: Future<Output = bool>>(
    condition: &str,
    mut test: impl FnMut() -> F,
) -> Result<()> {
    let started = Instant::now();
    while !test().await {
        if started.elapsed() > POLL_TIMEOUT {
            bail!("timed out after {POLL_TIMEOUT:?} while waiting for: {condition}");
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

impl Check {
    fn daemon_address(&self, index: usize) -> SocketAddr {
        self.cluster.daemons[index % self.cluster.daemons.len()].caller
    }

    fn find_item(&self, name: &str) -> Result<Item> {
        if let Some(spec) = self.fleet.model(name) {
            return Ok(Item::base(&spec.name, spec.version));
        }
        let spec = self
            .fleet
            .adapter(name)
            .ok_or_else(|| eyre!("the fleet has no model or adapter {name}"))?;
        Ok(Item::base(&spec.base, 1).with_adapter(&spec.name))
    }

    async fn wait_ready(&self) -> Result<String> {
        for daemon in &self.cluster.daemons {
            wait_until("the daemon is ready", || {
                client::is_ready(&self.client, daemon.caller)
            })
            .await?;
        }
        Ok(format!("{}", self.cluster.daemons.len()))
    }

    async fn apply_ops(&self, ops: &[shaleline_config::Op]) -> Result<String> {
        let admin = self.cluster.daemons[0].admin;
        let mut last = 0;
        for (i, op) in ops.iter().enumerate() {
            let id = format!("setup-{i}");
            let response = client::apply_change(&self.client, admin, &id, None, op).await?;
            ensure!(
                response["in_force_on_all"] == true,
                "the change is not in force on all daemons: {response}"
            );
            last = response["accepted_at"].as_u64().unwrap_or(0);
            let repeated = client::apply_change(&self.client, admin, &id, None, op).await?;
            ensure!(
                repeated["accepted_at"] == response["accepted_at"],
                "a repeated change was accepted at another offset"
            );
        }
        Ok(format!("{} changes, the last at offset {last}", ops.len()))
    }

    async fn add_tokens(&self) -> Result<String> {
        let admin = self.cluster.daemons[1].admin;
        for caller in &self.callers {
            client::add_token(&self.client, admin, &caller.org.name, &caller.token).await?;
        }
        Ok(format!("{}", self.callers.len()))
    }

    async fn check_completion(
        &self,
        address: SocketAddr,
        caller: &Caller,
        name: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<()> {
        let text =
            client::stream_completion(&self.client, address, &caller.token, name, prompt, tokens)
                .await?;
        let expected = answer_text(&self.find_item(name)?, prompt, tokens);
        ensure!(
            text == expected,
            "the completion differs from the expected text of the request"
        );
        Ok(())
    }

    async fn check_models(&self) -> Result<String> {
        let mut count = 0;
        for caller in &self.callers {
            for (i, name) in caller.models.iter().enumerate() {
                let address = self.daemon_address(i);
                let last = Rc::new(Cell::new(None));
                let polled = wait_until(name, || {
                    let last = Rc::clone(&last);
                    async move {
                        let result = self
                            .check_completion(address, caller, name, "are you there", 2)
                            .await;
                        let ok = result.is_ok();
                        last.set(result.err());
                        ok
                    }
                })
                .await;
                if let (Err(e), Some(cause)) = (polled, last.take()) {
                    bail!("{e}: {cause:#}");
                }
                count += 1;
            }
        }
        Ok(format!("{count} models and adapters"))
    }

    async fn check_streams(&self) -> Result<String> {
        let mut requests = Vec::new();
        for index in 0..self.cluster.daemons.len() {
            for caller in &self.callers {
                for (i, name) in caller.models.iter().take(6).enumerate() {
                    let prompt = format!("prompt {index} {i} of {}", caller.org.name);
                    let address = self.daemon_address(index);
                    requests.push(async move {
                        self.check_completion(address, caller, name, &prompt, 40)
                            .await
                    });
                }
            }
        }
        let count = requests.len();
        for result in join_all(requests).await {
            result?;
        }
        Ok(format!("{count} streams of 40 tokens"))
    }

    async fn check_foreign_model(&self) -> Result<String> {
        let (own, other) = (&self.callers[0], &self.callers[1]);
        let strip = |text: String, name: &str| {
            let text = text.replace(name, "");
            text.split("\"request_id\"")
                .next()
                .unwrap_or_default()
                .to_owned()
        };
        let name = &other.models[0];
        let address = self.daemon_address(0);
        let foreign = self.check_completion(address, own, name, "hello", 2).await;
        let unknown = self
            .check_completion(address, own, "no-such-model", "hello", 2)
            .await;
        let (Err(foreign), Err(unknown)) = (foreign, unknown) else {
            bail!("a request for a model of another organisation or an unknown model succeeded");
        };
        let foreign = strip(foreign.to_string(), name);
        ensure!(
            foreign == strip(unknown.to_string(), "no-such-model"),
            "the errors for a foreign and an unknown model differ"
        );
        Ok("the same answer".to_owned())
    }

    async fn call_confirm(&self, index: usize, key: &str) -> Result<ServiceResponse> {
        let token = &self.callers[0].token;
        client::call_service(
            &self.client,
            self.daemon_address(index),
            token,
            self.service,
            key,
        )
        .await
    }

    async fn count_runs(&self, key: &str) -> Result<u64> {
        let mut runs = 0;
        for address in &self.cluster.standins.services {
            let counts = client::get_json(&self.client, &format!("http://{address}/runs")).await?;
            runs += counts[key].as_u64().unwrap_or(0);
        }
        Ok(runs)
    }

    async fn check_concurrent_calls(&self) -> Result<String> {
        let (one, two) = join(
            self.call_confirm(0, "booking-1"),
            self.call_confirm(1, "booking-1"),
        )
        .await;
        let (one, two) = (one?, two?);
        ensure!(
            one.status == 200 && two.status == 200,
            "both calls must succeed: {} and {}",
            one.body,
            two.body
        );
        ensure!(
            one.outcome == "run" && two.outcome == "run",
            "both outcomes must be \"run\": {} and {}",
            one.outcome,
            two.outcome
        );
        ensure!(
            one.body == two.body,
            "the two daemons returned different responses"
        );
        let runs = self.count_runs("booking-1").await?;
        ensure!(runs == 1, "the call ran {runs} times instead of once");
        Ok("one run, one answer, told to both".to_owned())
    }

    async fn check_replay(&self) -> Result<String> {
        let last = self.cluster.daemons.len() - 1;
        let again = self.call_confirm(last, "booking-1").await?;
        ensure!(
            again.status == 200 && again.outcome == "run",
            "the replayed call failed: {}",
            again.body
        );
        ensure!(
            self.count_runs("booking-1").await? == 1,
            "the replayed call did not run exactly once"
        );
        Ok("the kept answer, no second run".to_owned())
    }

    /// Checks that streams through all daemons complete while one daemon stops, then starts
    /// another.
    async fn replace_daemon(&mut self) -> Result<String> {
        let leaving = self.cluster.daemons.remove(0);
        let streams = Rc::new(Cell::new(0_u32));
        let stop = Rc::new(Cell::new(false));
        let peer = free_addresses(1)?[0];
        let check = &*self;
        let addresses = [
            leaving.caller,
            check.daemon_address(0),
            check.daemon_address(1),
        ];
        let load = async {
            let tasks = addresses.iter().flat_map(|e| (0..4).map(move |i| (*e, i)));
            let tasks =
                tasks.map(|(e, i)| check.run_load(e, i, Rc::clone(&streams), Rc::clone(&stop)));
            join_all(tasks)
                .await
                .into_iter()
                .collect::<Result<Vec<()>>>()
        };
        let change = async {
            actix_rt::time::sleep(Duration::from_millis(500)).await;
            leaving.begin_stop();
            actix_rt::time::sleep(Duration::from_millis(3_000)).await;
            stop.set(true);
        };
        let (result, ()) = join(load, change).await;
        result?;
        leaving.stop();
        self.cluster.start_daemon(peer, 0)?;
        let new_daemon = self
            .cluster
            .daemons
            .last()
            .map(|d| d.caller)
            .ok_or_else(|| eyre!("no daemon is running"))?;
        wait_until("the daemon is ready", || {
            client::is_ready(&self.client, new_daemon)
        })
        .await?;
        self.wait_serving(new_daemon).await?;
        Ok(format!(
            "{} streams of 60 tokens, none cut off",
            streams.get()
        ))
    }

    async fn wait_serving(&self, new_daemon: SocketAddr) -> Result<()> {
        let caller = &self.callers[0];
        let name = &caller.models[0];
        wait_until("the new daemon answers", || async move {
            self.check_completion(new_daemon, caller, name, "new here", 4)
                .await
                .is_ok()
        })
        .await
    }

    /// Streams completions in sequence until `stop` is set. A stopping daemon refuses new
    /// streams, which a load balancer would send to another daemon, so a refusal ends the
    /// sequence without an error. Streams that have started must complete.
    async fn run_load(
        &self,
        address: SocketAddr,
        task: usize,
        count: Rc<Cell<u32>>,
        stop: Rc<Cell<bool>>,
    ) -> Result<()> {
        let caller = &self.callers[0];
        let name = &caller.models[task % caller.models.len()];
        let mut round = 0;
        while !stop.get() {
            round += 1;
            let prompt = format!("line {task} round {round}");
            match self
                .check_completion(address, caller, name, &prompt, 60)
                .await
            {
                Ok(()) => count.set(count.get() + 1),
                Err(e) if is_stop_refusal(&e) => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    async fn check_memory(&self) -> Result<String> {
        let mut refused = 0;
        for address in &self.cluster.standins.engines {
            let url = format!("http://{address}/v1/refused");
            refused += client::get_json(&self.client, &url)
                .await?
                .as_u64()
                .unwrap_or(0);
        }
        ensure!(
            refused == 0,
            "engines refused {refused} orders for lack of memory"
        );
        Ok(format!(
            "{} engines refused no order",
            self.cluster.standins.engines.len()
        ))
    }
}

/// Returns whether the request was refused without being run because the daemon is stopping or
/// no longer listens.
fn is_stop_refusal(error: &eyre::Report) -> bool {
    let text = error.to_string();
    text.contains("\"leaving\"") || text.contains("onnect")
}
