//! Free addresses on loopback, for processes that must know each other's beforehand.

use eyre::{ensure, Result};
use rand::Rng;
use std::net::{SocketAddr, TcpListener};

/// Below what systems draw the ports of outgoing connections from, so that none of those
/// takes an address between its choice and its use.
const FIRST: u16 = 20_000;
const COUNT: u16 = 10_000;

/// Addresses that nobody listens at now.
///
/// # Errors
/// Where there are not so many.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let start = rand::rng().random_range(0..COUNT);
    let ports = (0..COUNT).map(|i| FIRST + (start + i) % COUNT);
    let addresses = ports.map(|p| SocketAddr::from(([127, 0, 0, 1], p)));
    let free: Vec<SocketAddr> = addresses
        .filter(|a| TcpListener::bind(a).is_ok())
        .take(count)
        .collect();
    ensure!(
        free.len() == count,
        "{count} free addresses are not to be had"
    );
    Ok(free)
}
