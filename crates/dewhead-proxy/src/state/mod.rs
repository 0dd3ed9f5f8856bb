//! The state that a proxy keeps: sessions and legs, sockets with their write buffers, servers, timers, counters,
//! failures of the watch, and what is handed over to a successor.

pub mod buffered_socket;
pub mod counters;
pub mod handover_state;
pub mod servers;
pub mod sessions;
pub mod set_up_latency;
pub mod start_times;
pub mod timers;
pub mod watch_failure;
