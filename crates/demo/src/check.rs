//! The main steps, one after the other.

use crate::client::{self, Called};
use crate::deployment::Deployment;
use crate::system::System;
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

const PATIENCE: Duration = Duration::from_secs(25);
const POLL: Duration = Duration::from_millis(50);

/// Prints a line per step and counts.
#[derive(Default)]
struct Tally {
    passed: u32,
    failed: u32,
}

impl Tally {
    async fn step(&mut self, name: &str, step: impl Future<Output = Result<String>>) -> bool {
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

/// One caller's organisation.
struct Caller {
    org: Organisation,
    token: String,
    models: Vec<String>,
}

struct Check {
    client: Client,
    system: System,
    fleet: Fleet,
    service: &'static str,
    callers: Vec<Caller>,
}

/// Goes through the steps. Returns whether all hold.
pub async fn run(sample: Sample) -> Result<bool> {
    let mut tally = Tally::default();
    let deployment = Deployment::of(sample);
    let mut check = Check {
        client: client::new_client(),
        system: System::start(sample, 0)?,
        fleet: deployment.fleet()?,
        service: deployment.service,
        callers: deployment.orgs()?.into_iter().map(caller).collect(),
    };
    let ops = deployment.ops()?;
    let ok = tally.step("three daemons are ready", check.ready()).await
        && tally
            .step(
                "templates and organisations are in force",
                check.publish(&ops),
            )
            .await
        && tally
            .step("each organisation has a token", check.tokens())
            .await;
    if ok {
        tally
            .step("every model and adapter answers", check.reach_all())
            .await;
        tally
            .step(
                "streams through each daemon are whole and their own",
                check.streams(),
            )
            .await;
        tally
            .step("another's model looks like an unknown one", check.foreign())
            .await;
        tally
            .step(
                "a booking sent to two daemons at once runs once",
                check.book(),
            )
            .await;
        tally
            .step(
                "a daemon is replaced under load and cuts off nothing",
                check.replace(),
            )
            .await;
        tally
            .step("the new daemon knows the booking", check.book_again())
            .await;
        tally
            .step("no accelerator was overfilled", check.memory())
            .await;
    }
    let Check { system, .. } = check;
    system.stop();
    println!("{} passed, {} failed", tally.passed, tally.failed);
    Ok(tally.failed == 0)
}

fn caller(org: Organisation) -> Caller {
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

async fn until<F: Future<Output = bool>>(what: &str, mut test: impl FnMut() -> F) -> Result<()> {
    let started = Instant::now();
    while !test().await {
        if started.elapsed() > PATIENCE {
            bail!("not within {PATIENCE:?}: {what}");
        }
        actix_rt::time::sleep(POLL).await;
    }
    Ok(())
}

impl Check {
    fn entry(&self, index: usize) -> SocketAddr {
        self.system.daemons[index % self.system.daemons.len()].caller
    }

    fn item(&self, name: &str) -> Result<Item> {
        if let Some(spec) = self.fleet.model(name) {
            return Ok(Item::base(&spec.name, spec.version));
        }
        let spec = self
            .fleet
            .adapter(name)
            .ok_or_else(|| eyre!("no model {name}"))?;
        Ok(Item::base(&spec.base, 1).with_adapter(&spec.name))
    }

    async fn ready(&self) -> Result<String> {
        for daemon in &self.system.daemons {
            until("ready", || client::is_ready(&self.client, daemon.caller)).await?;
        }
        Ok(format!("{}", self.system.daemons.len()))
    }

    async fn publish(&self, ops: &[shaleline_config::Op]) -> Result<String> {
        let admin = self.system.daemons[0].admin;
        let mut last = 0;
        for (i, op) in ops.iter().enumerate() {
            let id = format!("setup-{i}");
            let answer = client::change(&self.client, admin, &id, None, op).await?;
            ensure!(answer["in_force_on_all"] == true, "not in force: {answer}");
            last = answer["accepted_at"].as_u64().unwrap_or(0);
            let again = client::change(&self.client, admin, &id, None, op).await?;
            ensure!(
                again["accepted_at"] == answer["accepted_at"],
                "a repeat differs"
            );
        }
        Ok(format!("{} changes, the last at offset {last}", ops.len()))
    }

    async fn tokens(&self) -> Result<String> {
        let admin = self.system.daemons[1].admin;
        for caller in &self.callers {
            client::add_token(&self.client, admin, &caller.org.name, &caller.token).await?;
        }
        Ok(format!("{}", self.callers.len()))
    }

    async fn ask(
        &self,
        entry: SocketAddr,
        caller: &Caller,
        name: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<()> {
        let text =
            client::complete(&self.client, entry, &caller.token, name, prompt, tokens).await?;
        let want = answer_text(&self.item(name)?, prompt, tokens);
        ensure!(
            text == want,
            "the answer is not the whole answer to its own request"
        );
        Ok(())
    }

    async fn reach_all(&self) -> Result<String> {
        let mut count = 0;
        for caller in &self.callers {
            for (i, name) in caller.models.iter().enumerate() {
                let entry = self.entry(i);
                let last = Rc::new(Cell::new(None));
                let tried = until(name, || {
                    let last = Rc::clone(&last);
                    async move {
                        let result = self.ask(entry, caller, name, "are you there", 2).await;
                        let ok = result.is_ok();
                        last.set(result.err());
                        ok
                    }
                })
                .await;
                if let (Err(e), Some(cause)) = (tried, last.take()) {
                    bail!("{e}: {cause:#}");
                }
                count += 1;
            }
        }
        Ok(format!("{count} models and adapters"))
    }

    async fn streams(&self) -> Result<String> {
        let mut asks = Vec::new();
        for index in 0..self.system.daemons.len() {
            for caller in &self.callers {
                for (i, name) in caller.models.iter().take(6).enumerate() {
                    let prompt = format!("prompt {index} {i} of {}", caller.org.name);
                    let entry = self.entry(index);
                    asks.push(async move { self.ask(entry, caller, name, &prompt, 40).await });
                }
            }
        }
        let count = asks.len();
        for result in join_all(asks).await {
            result?;
        }
        Ok(format!("{count} streams of 40 tokens"))
    }

    async fn foreign(&self) -> Result<String> {
        let (own, other) = (&self.callers[0], &self.callers[1]);
        let strip = |text: String, name: &str| {
            let text = text.replace(name, "");
            text.split("\"request_id\"")
                .next()
                .unwrap_or_default()
                .to_owned()
        };
        let name = &other.models[0];
        let entry = self.entry(0);
        let foreign = self.ask(entry, own, name, "hello", 2).await;
        let unknown = self.ask(entry, own, "no-such-model", "hello", 2).await;
        let (Err(foreign), Err(unknown)) = (foreign, unknown) else {
            bail!("a model that is not its own answered");
        };
        let foreign = strip(foreign.to_string(), name);
        ensure!(
            foreign == strip(unknown.to_string(), "no-such-model"),
            "the answers differ"
        );
        Ok("the same answer".to_owned())
    }

    async fn confirm(&self, entry: usize, key: &str) -> Result<Called> {
        let token = &self.callers[0].token;
        client::call(&self.client, self.entry(entry), token, self.service, key).await
    }

    async fn runs(&self, key: &str) -> Result<u64> {
        let mut runs = 0;
        for address in &self.system.standins.services {
            let counts = client::get(&self.client, &format!("http://{address}/runs")).await?;
            runs += counts[key].as_u64().unwrap_or(0);
        }
        Ok(runs)
    }

    async fn book(&self) -> Result<String> {
        let (one, two) = join(self.confirm(0, "booking-1"), self.confirm(1, "booking-1")).await;
        let (one, two) = (one?, two?);
        ensure!(
            one.status == 200 && two.status == 200,
            "{} and {}",
            one.body,
            two.body
        );
        ensure!(
            one.outcome == "run" && two.outcome == "run",
            "{} {}",
            one.outcome,
            two.outcome
        );
        ensure!(one.body == two.body, "the answers differ");
        let runs = self.runs("booking-1").await?;
        ensure!(runs == 1, "it ran {runs} times");
        Ok("one run, one answer, told to both".to_owned())
    }

    async fn book_again(&self) -> Result<String> {
        let last = self.system.daemons.len() - 1;
        let again = self.confirm(last, "booking-1").await?;
        ensure!(
            again.status == 200 && again.outcome == "run",
            "{}",
            again.body
        );
        ensure!(self.runs("booking-1").await? == 1, "it ran again");
        Ok("the kept answer, no second run".to_owned())
    }

    /// Streams go on through all daemons while one is stopped and another started.
    async fn replace(&mut self) -> Result<String> {
        let leaving = self.system.daemons.remove(0);
        let streams = Rc::new(Cell::new(0_u32));
        let stop = Rc::new(Cell::new(false));
        let peer = free_addresses(1)?[0];
        let this = &*self;
        let entries = [leaving.caller, this.entry(0), this.entry(1)];
        let load = async {
            let lines = entries.iter().flat_map(|e| (0..4).map(move |i| (*e, i)));
            let lines =
                lines.map(|(e, i)| this.load_line(e, i, Rc::clone(&streams), Rc::clone(&stop)));
            join_all(lines)
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
        self.system.add(peer, 0)?;
        let fresh = self
            .system
            .daemons
            .last()
            .map(|d| d.caller)
            .ok_or_else(|| eyre!("no daemon"))?;
        until("ready", || client::is_ready(&self.client, fresh)).await?;
        self.ask_fresh(fresh).await?;
        Ok(format!(
            "{} streams of 60 tokens, none cut off",
            streams.get()
        ))
    }

    async fn ask_fresh(&self, fresh: SocketAddr) -> Result<()> {
        let caller = &self.callers[0];
        let name = &caller.models[0];
        until("the new daemon answers", || async move {
            self.ask(fresh, caller, name, "new here", 4).await.is_ok()
        })
        .await
    }

    /// Streams one after the other. A daemon that stops refuses new ones, which then
    /// stays with the balancer; whatever it has begun it ends.
    async fn load_line(
        &self,
        entry: SocketAddr,
        line: usize,
        count: Rc<Cell<u32>>,
        stop: Rc<Cell<bool>>,
    ) -> Result<()> {
        let caller = &self.callers[0];
        let name = &caller.models[line % caller.models.len()];
        let mut round = 0;
        while !stop.get() {
            round += 1;
            let prompt = format!("line {line} round {round}");
            match self.ask(entry, caller, name, &prompt, 60).await {
                Ok(()) => count.set(count.get() + 1),
                Err(e) if is_clean_refusal(&e) => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    async fn memory(&self) -> Result<String> {
        let mut refused = 0;
        for address in &self.system.standins.engines {
            let url = format!("http://{address}/v1/refused");
            refused += client::get(&self.client, &url).await?.as_u64().unwrap_or(0);
        }
        ensure!(
            refused == 0,
            "engines refused {refused} orders for lack of memory"
        );
        Ok(format!(
            "{} engines refused no order",
            self.system.standins.engines.len()
        ))
    }
}

/// Whether a daemon refused as not run because it stops, or no longer listens.
fn is_clean_refusal(error: &eyre::Report) -> bool {
    let text = error.to_string();
    text.contains("\"leaving\"") || text.contains("onnect")
}
