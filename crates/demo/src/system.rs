//! Three daemons and the stand-ins in this process.

use eyre::{eyre, Result};
use shaleline_daemon::{Daemon, Settings};
use shaleline_standin::{free_addresses, Sample, Standins};
use shaleline_types::TokenHash;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The operator's token of the demo; it guards nothing but this process's loopback.
pub const OPERATOR: &str = "demo-operator-token";
const SECRET: &str = "demo-peer-secret-only";

/// How many daemons the demo runs.
pub const DAEMONS: usize = 3;

/// The demo's processes.
pub struct System {
    /// The stand-ins.
    pub standins: Standins,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    seeds: String,
    started: usize,
}

impl System {
    /// Brings all up. `port` is the first of the ports to use; 0 for any.
    pub fn start(sample: Sample, port: u16) -> Result<Self> {
        let mut settings = sample.settings();
        settings.port = port;
        let standins = Standins::start(settings)?;
        let peers = free_addresses(DAEMONS)?;
        let seeds: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
        let mut system = Self {
            standins,
            daemons: Vec::new(),
            seeds: seeds.join(","),
            started: 0,
        };
        for (i, peer) in peers.iter().enumerate() {
            let base = if port == 0 {
                0
            } else {
                port + 100 + 10 * i as u16
            };
            system.add(*peer, base)?;
        }
        Ok(system)
    }

    /// Starts one more daemon.
    pub fn add(&mut self, peer: SocketAddr, port: u16) -> Result<()> {
        self.started += 1;
        let number = self.started;
        let admin = if port == 0 { 0 } else { port + 1 };
        let pairs = [
            ("instance", format!("entry-{number}")),
            ("centre", format!("dc{}", (number - 1) % 3 + 1)),
            ("listen", format!("127.0.0.1:{port}")),
            ("admin-listen", format!("127.0.0.1:{admin}")),
            ("peer-listen", peer.to_string()),
            ("platform", self.standins.platform.to_string()),
            ("seeds", self.seeds.clone()),
            ("peer-secret", SECRET.to_owned()),
            (
                "admin-hash",
                TokenHash::from_token(OPERATOR).as_hex().to_owned(),
            ),
            ("store-rate", "20".to_owned()),
        ];
        let flag = |(name, value): &(&str, String)| [format!("--{name}"), value.clone()];
        let args: Vec<String> = pairs.iter().flat_map(flag).collect();
        let settings = Settings::from_args(&args, &BTreeMap::new()).map_err(|e| eyre!("{e}"))?;
        self.daemons.push(Daemon::start(settings)?);
        Ok(())
    }

    /// Stops all, the daemons first.
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
