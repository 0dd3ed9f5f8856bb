//! Addresses of the loopback range that are one run's alone, so that several runs on one machine don't meet: a port that
//! is left for a moment, as a node's is that restarts, would else be another run's.

use super::told;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The second numbers of the blocks 127.N.0.0/16 that runs choose from. The first block is everybody's.
const BLOCKS: std::ops::RangeInclusive<u8> = 2..=250;
/// Whoever listens at this port of a block's last address holds the block.
const CLAIMED_AT: u16 = 61_999;
/// Proxies have an address each, so many in a block of 256.
const PROXIES_A_ROW: usize = 250;

/// A block of addresses; it is given back with the value.
pub(super) struct Claim {
    block: u8,
    _held: TcpListener,
}

impl Claim {
    /// Takes a block that no other run holds.
    pub(super) fn take() -> Result<Claim, String> {
        // Not all begin at the same one.
        let first = std::process::id() as usize;
        let blocks: Vec<u8> = BLOCKS.collect();
        for at in 0..blocks.len() {
            let block = blocks[(first + at) % blocks.len()];
            if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, block, 255, 254), CLAIMED_AT)) {
                return Ok(Claim { block, _held: held });
            }
        }
        Err("no block of loopback addresses is free: too many runs at once".to_owned())
    }

    /// What no other run is called while this one lasts.
    pub(super) fn name(&self) -> String {
        format!("{}-{}", std::process::id(), self.block)
    }

    /// Where nodes and discovery listen, at any free port.
    pub(super) fn node(&self) -> SocketAddr {
        SocketAddr::from(([127, self.block, 0, 1], 0))
    }

    /// Where a proxy listens. No connection goes out from there, so that one that starts again finds its port free.
    pub(super) fn proxy(&self, p: usize) -> Result<SocketAddr, String> {
        let (row, place) = (1 + (p / PROXIES_A_ROW) as u8, 1 + (p % PROXIES_A_ROW) as u8);
        let free = TcpListener::bind((Ipv4Addr::new(127, self.block, row, place), 0));
        free.and_then(|listener| listener.local_addr()).map_err(|e| told("a port for a proxy", e))
    }
}
