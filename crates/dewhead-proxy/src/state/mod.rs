//! The state that a proxy keeps: sessions and legs, the lines of servers, sockets with their write buffers, servers and which of them are held
//! down, timers, counters, when discovery is asked again after a failure, and what is handed over to a successor.

pub mod abandoned_requests;
pub mod buffered_socket;
pub mod counters;
pub mod handover_state;
pub mod hedged_requests;
pub mod hold_down;
pub mod request_schedule;
pub mod server_lines;
pub mod servers;
pub mod sessions;
pub mod set_up_latency;
pub mod start_times;
pub mod timers;
pub mod watch_failure;
