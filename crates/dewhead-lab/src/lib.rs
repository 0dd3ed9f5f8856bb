//! Experiments on dewhead proxies: hosts that connect the simulated clients and nodes of `dewhead-world` to proxies, in
//! simulated time or over loopback sockets; baseline proxies for comparison; and the code behind the commands.

pub mod baseline;
pub mod commands;
pub mod hunt;
pub mod policy;
pub mod report;
pub mod runs;
pub mod scale;
pub mod simulated;
pub mod soak;
pub mod sockets;
pub mod stats;
