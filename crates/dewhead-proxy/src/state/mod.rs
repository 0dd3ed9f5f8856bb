//! What is kept: sessions and legs in slabs, sockets with the bytes that wait for them, addresses and timers.

pub mod buffered_socket;
pub mod counters;
pub mod handover_state;
pub mod servers;
pub mod sessions;
pub mod set_up_latency;
pub mod start_times;
pub mod timers;
