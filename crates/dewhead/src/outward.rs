//! What a balancer asks of whatever hosts it. Ids are used here, at the door, and nowhere behind it.

use crate::refusal::Refusal;

pub trait Outward {
    /// Start a leg of a call; `limit` is its time-out in seconds.
    fn send(&self, call: u64, server: u64, limit: f64);
    /// Final answer: rejected. `stay_away` is how long the client is asked to wait, in seconds.
    fn reject(&self, call: u64, stay_away: Option<f64>);
    /// Final answer: released, with no promise about its effect.
    fn release(&self, call: u64);
    /// Why the answer that comes next, rejected or released, says no. Hosts that keep no counters pass it over.
    fn refused(&self, _call: u64, _why: Refusal) {}
    /// Stop waiting for one leg.
    fn withdraw(&self, call: u64, leg: u32);
    /// End a standing connection politely; its client comes again.
    fn relocate(&self, call: u64);
    /// Call `Call::woken` at `at`.
    fn wake_call(&self, call: u64, at: f64);
    /// Call `Balancer::woken` at `at`.
    fn wake(&self, at: f64);
    /// Follow the list of servers from now on.
    fn follow_list(&self);
    /// Ask a server for its load; `Balancer::probed` tells what came back. False where hosts have no word for it.
    fn probe(&self, server: u64) -> bool;
    /// A line for the operators.
    fn remark(&self, text: &str);
}
