//! The lab: hosts on which the world of `dewhead-world` meets proxies, baselines to measure them against, and what
//! the commands are made of.

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
