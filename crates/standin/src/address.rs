//! Free addresses on loopback, for processes that need each other's address before they start.

use eyre::{ensure, Result};
use rand::Rng;
use std::net::{SocketAddr, TcpListener};

/// The first port of the range. The range lies below the usual ephemeral ports, so that no
/// outgoing connection takes an address between its choice and its use.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 10_000;

/// Returns addresses that no process listens at.
///
/// # Errors
/// Fails if there are fewer than `count` free addresses.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let start = rand::rng().random_range(0..PORT_COUNT);
    let ports = (0..PORT_COUNT).map(|i| FIRST_PORT + (start + i) % PORT_COUNT);
    let addresses = ports.map(|p| SocketAddr::from(([127, 0, 0, 1], p)));
    let free: Vec<SocketAddr> = addresses
        .filter(|a| TcpListener::bind(a).is_ok())
        .take(count)
        .collect();
    ensure!(free.len() == count, "fewer than {count} free addresses");
    Ok(free)
}
