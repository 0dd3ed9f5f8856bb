//! Blocks of loopback addresses, one for each run. Several runs on one machine would otherwise interfere: while a node
//! restarts, its port is free for a moment and another run could bind it.

use super::with_context;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The values of N for the blocks 127.N.0.0/16 that runs choose from. The first blocks are left to other programs.
const BLOCKS: std::ops::RangeInclusive<u8> = 2..=250;
/// A run owns a block while it listens on this port of 127.N.255.254.
const CLAIM_PORT: u16 = 61_999;
/// Each proxy has its own address; this many are in one /24 subnet of 256 addresses.
const PROXIES_PER_SUBNET: usize = 250;

/// A block of addresses that this run owns until the value is dropped.
pub(super) struct AddressBlock {
    /// N in 127.N.0.0/16.
    block: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims a block that no other run owns.
    pub(super) fn claim() -> Result<AddressBlock, String> {
        // Runs begin the search at different blocks.
        let start_offset = std::process::id() as usize;
        let blocks: Vec<u8> = BLOCKS.collect();
        for offset in 0..blocks.len() {
            let block = blocks[(start_offset + offset) % blocks.len()];
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, block, 255, 254), CLAIM_PORT)) {
                return Ok(AddressBlock { block, _claim: claim });
            }
        }
        Err("no block of loopback addresses is free; too many runs at once".to_owned())
    }

    /// A name that is unique among the current runs.
    pub(super) fn run_name(&self) -> String {
        format!("{}-{}", std::process::id(), self.block)
    }

    /// The address for listeners of nodes and discovery, with port 0 for any free one.
    pub(super) fn node_address(&self) -> SocketAddr {
        SocketAddr::from(([127, self.block, 0, 1], 0))
    }

    /// An address with a free port for a proxy to listen on. No outgoing connection uses the address, so that the port
    /// is still free when the proxy is restarted.
    pub(super) fn proxy_address(&self, p: usize) -> Result<SocketAddr, String> {
        let (subnet, host) = (1 + (p / PROXIES_PER_SUBNET) as u8, 1 + (p % PROXIES_PER_SUBNET) as u8);
        let bound = TcpListener::bind((Ipv4Addr::new(127, self.block, subnet, host), 0));
        bound.and_then(|listener| listener.local_addr()).map_err(|e| with_context("a port for a proxy", e))
    }
}
