//! The interface through which a balancer acts. The program that embeds the library implements it.
//!
//! Calls and servers are named by their ids here; inside the library they are references.

use crate::refusal::Refusal;

/// The operations that a balancer requests from the program that embeds it. All times are in seconds.
pub trait BalancerHost {
    /// Starts a leg of a call at a server; it times out after `timeout`.
    fn send_leg(&self, call: u64, server: u64, timeout: f64);
    /// Gives the final answer "rejected". `retry_after` is how long the client should wait before it tries again;
    /// `None` sets no wait.
    fn reject(&self, call: u64, retry_after: Option<f64>);
    /// Gives the final answer "released", which leaves open whether the call has run.
    fn release(&self, call: u64);
    /// Reports, just before `reject` or `release`, the reason for it. Hosts without refusal counters ignore it.
    fn note_refusal(&self, _call: u64, _reason: Refusal) {}
    /// Cancels one leg of a call.
    fn cancel_leg(&self, call: u64, leg: u32);
    /// Closes an established connection in an orderly way, so that its client connects again.
    fn relocate(&self, call: u64);
    /// Requests that `Call::on_timer` is called at the time `at`.
    fn set_call_timer(&self, call: u64, at: f64);
    /// Requests that `Balancer::on_timer` is called at the time `at`.
    fn set_timer(&self, at: f64);
    /// Subscribes to the list of servers.
    fn subscribe_to_list(&self);
    /// Requests a server's load; the answer arrives through `Balancer::on_probe_result`. Returns false if the host's
    /// protocol has no probes.
    fn probe(&self, server: u64) -> bool;
    /// Writes a line to the operators' log.
    fn log(&self, text: &str);
}
