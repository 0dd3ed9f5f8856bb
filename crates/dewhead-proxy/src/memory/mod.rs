//! What is kept: sessions and legs in slabs, sockets with the bytes that wait for them, addresses and timers.

pub mod counters;
pub mod known;
pub mod links;
pub mod pace;
pub mod servers;
pub mod sessions;
pub mod start_times;
pub mod timers;
