//! A cluster of three daemons and the stand-ins, all in this process.

use eyre::{eyre, Result};
use shaleline_daemon::{Daemon, Settings};
use shaleline_standin::{free_addresses, Sample, Standins};
use shaleline_types::TokenHash;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The operator token of the demo. It protects only the loopback ports of this process.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
const PEER_SECRET: &str = "demo-peer-secret-only";

/// The number of daemons that the demo runs.
pub const DAEMON_COUNT: usize = 3;

/// The daemons and stand-ins of the demo.
pub struct Cluster {
    /// The stand-ins of the engines, services and platform.
    pub standins: Standins,
    /// The daemons that are running, in the order in which they were started.
    pub daemons: Vec<Daemon>,
    seeds: String,
    started_count: usize,
}

impl Cluster {
    /// Starts the stand-ins and daemons. `port` is the first port to use; with 0, the operating
    /// system assigns the ports.
    pub fn start(sample: Sample, port: u16) -> Result<Self> {
        let mut settings = sample.settings();
        settings.port = port;
        let standins = Standins::start(settings)?;
        let peers = free_addresses(DAEMON_COUNT)?;
        let seeds: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
        let mut cluster = Self {
            standins,
            daemons: Vec::new(),
            seeds: seeds.join(","),
            started_count: 0,
        };
        for (i, peer) in peers.iter().enumerate() {
            let daemon_port = if port == 0 {
                0
            } else {
                port + 100 + 10 * i as u16
            };
            cluster.start_daemon(*peer, daemon_port)?;
        }
        Ok(cluster)
    }

    /// Starts another daemon. `peer` is its address for peers and `port` its port for callers.
    pub fn start_daemon(&mut self, peer: SocketAddr, port: u16) -> Result<()> {
        self.started_count += 1;
        let number = self.started_count;
        let admin = if port == 0 { 0 } else { port + 1 };
        let pairs = [
            ("instance", format!("entry-{number}")),
            ("centre", format!("dc{}", (number - 1) % 3 + 1)),
            ("listen", format!("127.0.0.1:{port}")),
            ("admin-listen", format!("127.0.0.1:{admin}")),
            ("peer-listen", peer.to_string()),
            ("platform", self.standins.platform.to_string()),
            ("seeds", self.seeds.clone()),
            ("peer-secret", PEER_SECRET.to_owned()),
            (
                "admin-hash",
                TokenHash::from_token(OPERATOR_TOKEN).as_hex().to_owned(),
            ),
            ("store-rate", "20".to_owned()),
        ];
        let to_flag = |(name, value): &(&str, String)| [format!("--{name}"), value.clone()];
        let args: Vec<String> = pairs.iter().flat_map(to_flag).collect();
        let settings = Settings::from_args(&args, &BTreeMap::new()).map_err(|e| eyre!("{e}"))?;
        self.daemons.push(Daemon::start(settings)?);
        Ok(())
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
