//! The balancer's requests to its host. They are queued here, as the balancer makes them while the reducer calls it,
//! and carried out by the reducer after that call.

use dewhead::host_interface::BalancerHost;
use dewhead::refusal::Refusal;
use std::cell::RefCell;
use std::collections::VecDeque;

/// One call of the balancer's host interface, with its arguments.
pub enum BalancerRequest {
    /// Start a leg: call, server, and time-out in seconds.
    SendLeg(u64, u64, f64),
    /// Reject a call, with the seconds after which its client may try again.
    Reject(u64, Option<f64>),
    /// Release a call, which leaves open whether it has run.
    Release(u64),
    /// Count the reason why a call gets no further attempt.
    NoteRefusal(u64, Refusal),
    /// Cancel one leg of a call, by its number in the call.
    CancelLeg(u64, u32),
    /// Move the client of an established call away.
    Relocate(u64),
    /// Set a call's timer.
    SetCallTimer(u64, f64),
    /// Set the balancer's timer.
    SetBalancerTimer(f64),
    /// Subscribe to the list of servers.
    SubscribeToList,
    /// Log a message for the operators.
    LogMessage(String),
}

/// The host interface that the balancer is given: a queue in the order of the calls.
#[derive(Default)]
pub struct RequestQueue {
    /// The requests that are not carried out yet.
    pub pending: RefCell<VecDeque<BalancerRequest>>,
}

impl RequestQueue {
    fn enqueue(&self, request: BalancerRequest) {
        self.pending.borrow_mut().push_back(request);
    }
}

impl BalancerHost for RequestQueue {
    fn send_leg(&self, call: u64, server: u64, timeout: f64) {
        self.enqueue(BalancerRequest::SendLeg(call, server, timeout));
    }
    fn reject(&self, call: u64, retry_after: Option<f64>) {
        self.enqueue(BalancerRequest::Reject(call, retry_after));
    }
    fn release(&self, call: u64) {
        self.enqueue(BalancerRequest::Release(call));
    }
    fn note_refusal(&self, call: u64, reason: Refusal) {
        self.enqueue(BalancerRequest::NoteRefusal(call, reason));
    }
    fn cancel_leg(&self, call: u64, leg: u32) {
        self.enqueue(BalancerRequest::CancelLeg(call, leg));
    }
    fn relocate(&self, call: u64) {
        self.enqueue(BalancerRequest::Relocate(call));
    }
    fn set_call_timer(&self, call: u64, at: f64) {
        self.enqueue(BalancerRequest::SetCallTimer(call, at));
    }
    fn set_timer(&self, at: f64) {
        self.enqueue(BalancerRequest::SetBalancerTimer(at));
    }
    fn subscribe_to_list(&self) {
        self.enqueue(BalancerRequest::SubscribeToList);
    }
    // The protocol of servers on sockets has no message for a probe.
    fn probe(&self, _: u64) -> bool {
        false
    }
    fn log(&self, text: &str) {
        self.enqueue(BalancerRequest::LogMessage(text.to_owned()));
    }
}
