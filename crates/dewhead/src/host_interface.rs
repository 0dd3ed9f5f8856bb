//! What a balancer asks of whatever hosts it. Ids are used here, at the door, and nowhere behind it.

use crate::refusal::Refusal;

pub trait BalancerHost {
    /// Start a leg of a call; `limit` is its time-out in seconds.
    fn send_leg(&self, call: u64, server: u64, limit: f64);
    /// Final answer: rejected. `max_retry_after` is how long the client is asked to wait, in seconds.
    fn reject(&self, call: u64, max_retry_after: Option<f64>);
    /// Final answer: released, with no promise about its effect.
    fn release(&self, call: u64);
    /// Why the answer that comes next, rejected or released, says no. Hosts that keep no counters pass it over.
    fn note_refusal(&self, _call: u64, _why: Refusal) {}
    /// Stop waiting for one leg.
    fn cancel_leg(&self, call: u64, leg: u32);
    /// End a standing connection politely; its client comes again.
    fn relocate(&self, call: u64);
    /// Call `Call::on_timer` at `at`.
    fn set_call_timer(&self, call: u64, at: f64);
    /// Call `Balancer::on_timer` at `at`.
    fn set_timer(&self, at: f64);
    /// Follow the list of servers from now on.
    fn subscribe_to_list(&self);
    /// Ask a server for its load; `Balancer::on_probe_result` tells what came back. False where hosts have no word for it.
    fn probe(&self, server: u64) -> bool;
    /// A line for the operators.
    fn log(&self, text: &str);
}
