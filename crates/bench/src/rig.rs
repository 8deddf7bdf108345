//! Daemons and stand-ins that run in this process for a measurement.

use awc::Client;
use eyre::{bail, eyre, Result};
use serde_json::{json, Value};
use shaleline_config::{
    AcceleratorSpec, Fleet, ModelSpec, Op, Organisation, Setting, Settings, Template,
    Value as Param,
};
use shaleline_daemon::{Daemon, Settings as DaemonSettings};
use shaleline_standin::{free_addresses, EngineSpec, Pace, StandinSettings, Standins};
use shaleline_types::{
    DataCentre, InvalidName, Megabytes, Model, Org, TemplateName, TokenHash, Upstream,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const OPERATOR: &str = "bench-operator-token";
/// The token of the caller.
pub const CALLER: &str = "bench-caller-token";
/// The model that the engines serve.
pub const MODEL: &str = "bench-model";
const TIMEOUT: Duration = Duration::from_secs(30);
const UNLIMITED: u64 = 1_000_000;

/// A running set of daemons and stand-ins.
pub struct Rig {
    /// The stand-ins.
    pub standins: Standins,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    changes: u64,
}

fn engine(index: usize) -> Result<EngineSpec, InvalidName> {
    Ok(EngineSpec {
        name: Upstream::from_text(&format!("engine-{index}"))?,
        centre: DataCentre::from_text("dc1")?,
        memory: Megabytes(80_000),
        checks: true,
        slots: 4_096,
        blocks: 64,
        pace: Pace {
            block: 0.0,
            step: 0.0,
            more: 0.0,
        },
    })
}

impl Rig {
    /// Starts `engines` engines that answer without delay and `daemons` daemons with
    /// `workers` serving threads each, and waits until all daemons are ready.
    pub async fn start(daemons: usize, workers: usize, engines: usize) -> Result<Self> {
        let specs = (0..engines).map(engine).collect::<Result<_, _>>()?;
        let standins = Standins::start(StandinSettings {
            engines: specs,
            log_rate: 100_000,
            append_ms: 1,
            ..StandinSettings::default()
        })?;
        let peers = free_addresses(daemons)?;
        let seeds: Vec<String> = peers.iter().take(3).map(SocketAddr::to_string).collect();
        let mut rig = Self {
            standins,
            daemons: Vec::new(),
            changes: 0,
        };
        for (i, peer) in peers.iter().enumerate() {
            let settings = rig.settings(i, *peer, workers, &seeds.join(","))?;
            rig.daemons.push(Daemon::start(settings)?);
        }
        let client = Client::default();
        let started = Instant::now();
        for daemon in &rig.daemons {
            let url = format!("http://{}/readyz", daemon.caller);
            while !client
                .get(&url)
                .send()
                .await
                .is_ok_and(|a| a.status().is_success())
            {
                if started.elapsed() > TIMEOUT {
                    bail!("a daemon was not ready before the timeout");
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(rig)
    }

    fn settings(
        &self,
        index: usize,
        peer: SocketAddr,
        workers: usize,
        seeds: &str,
    ) -> Result<DaemonSettings> {
        let pairs = [
            ("instance", format!("entry-{index}")),
            ("centre", "dc1".to_owned()),
            ("listen", "127.0.0.1:0".to_owned()),
            ("admin-listen", "127.0.0.1:0".to_owned()),
            ("peer-listen", peer.to_string()),
            ("platform", self.standins.platform.to_string()),
            ("peer-secret", "bench-peer-secret".to_owned()),
            (
                "admin-hash",
                TokenHash::from_token(OPERATOR).as_hex().to_owned(),
            ),
            ("seeds", seeds.to_owned()),
            ("workers", workers.to_string()),
            ("store-rate", "100".to_owned()),
            ("grace", "1".to_owned()),
            ("log-rate", "10000".to_owned()),
        ];
        let flag = |(name, value): &(&str, String)| [format!("--{name}"), value.clone()];
        let args: Vec<String> = pairs.iter().flat_map(flag).collect();
        DaemonSettings::from_args(&args, &BTreeMap::new()).map_err(|e| eyre!("{e}"))
    }

    /// Submits a change to the first daemon and returns the answer.
    pub async fn change(&mut self, op: &Op, base: Option<u64>, wait: u64) -> Result<Value> {
        self.changes += 1;
        let body = json!({"id": format!("bench-{}", self.changes), "base": base, "op": op,
            "wait_ms": wait});
        let url = format!("http://{}/admin/changes", self.daemons[0].admin);
        let client = Client::builder().timeout(TIMEOUT).finish();
        let sent = client
            .post(url)
            .bearer_auth(OPERATOR)
            .send_json(&body)
            .await;
        let mut answer = sent.map_err(|e| eyre!("{e}"))?;
        let ok = answer.status().is_success();
        let body: Value = answer.json().await?;
        if ok {
            return Ok(body);
        }
        bail!("{body}")
    }

    /// Returns the offset up to which a daemon has applied the configuration.
    pub async fn applied(&self, index: usize, client: &Client) -> Result<u64> {
        let url = format!("http://{}/admin/state", self.daemons[index].admin);
        let sent = client.get(url).bearer_auth(OPERATOR).send().await;
        let mut answer = sent.map_err(|e| eyre!("{e}"))?;
        let body: Value = answer.json().limit(16 << 20).await?;
        Ok(body["config"]["next"].as_u64().unwrap_or(0))
    }

    /// Sets up one organisation with one model, and waits until the model is served.
    pub async fn set_up(&mut self) -> Result<()> {
        for op in setup_ops()? {
            self.change(&op, None, 0).await?;
        }
        let client = Client::default();
        let started = Instant::now();
        while !self.is_serving(&client).await {
            if started.elapsed() > TIMEOUT {
                bail!("the model did not answer before the timeout");
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn is_serving(&self, client: &Client) -> bool {
        let url = format!("http://{}/v1/completions", self.daemons[0].caller);
        let body = json!({"model": MODEL, "prompt": "ready?", "max_tokens": 1});
        let sent = client.post(url).bearer_auth(CALLER).send_json(&body).await;
        sent.is_ok_and(|a| a.status().is_success())
    }

    /// Stops the daemons, then the stand-ins.
    pub fn stop(self) {
        for daemon in &self.daemons {
            daemon.begin_stop();
        }
        for daemon in self.daemons {
            daemon.join();
        }
        self.standins.stop();
    }
}

/// Returns a template without effective limits.
pub fn unlimited_template() -> Result<Template> {
    let fixed = |n| Setting::Fixed(Param::Integer(n));
    let names = |list: &[&str]| {
        Setting::Fixed(Param::Names(list.iter().map(|n| (*n).to_owned()).collect()))
    };
    Ok(Template {
        name: TemplateName::from_text("open")?,
        params: Vec::new(),
        settings: Settings {
            models: names(&[MODEL]),
            adapters: names(&[]),
            services: names(&[]),
            priority: fixed(1),
            weight: fixed(1),
            patience: fixed(10_000),
            rate: fixed(UNLIMITED),
            concurrency: fixed(UNLIMITED),
            tokens: fixed(UNLIMITED * UNLIMITED),
        },
    })
}

/// Returns an organisation that uses the unlimited template.
pub fn unlimited_org(name: &str) -> Result<Organisation> {
    Ok(Organisation {
        name: Org::from_text(name)?,
        template: TemplateName::from_text("open")?,
        values: BTreeMap::new(),
    })
}

/// Returns the changes that configure one organisation with one model.
pub fn setup_ops() -> Result<Vec<Op>> {
    let fleet = Fleet {
        accelerators: vec![AcceleratorSpec {
            count: 1,
            memory: Megabytes(80_000),
        }],
        models: vec![ModelSpec {
            name: Model::from_text(MODEL)?,
            version: 1,
            size: Megabytes(10_000),
            kv: Megabytes(0),
        }],
        ..Fleet::default()
    };
    let org = unlimited_org("bench")?;
    Ok(vec![
        Op::PutFleet(fleet),
        Op::PutTemplate(Box::new(unlimited_template()?)),
        Op::PutOrganisation(org.clone()),
        Op::AddToken {
            org: org.name,
            token: TokenHash::from_token(CALLER),
        },
    ])
}
