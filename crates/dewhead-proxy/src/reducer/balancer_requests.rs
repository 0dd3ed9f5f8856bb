//! The door between the balancer and the reducer: what is asked for waits here until the step goes on.

use dewhead::outward::Outward;
use dewhead::refusal::Refusal;
use std::cell::RefCell;
use std::collections::VecDeque;

pub enum Asked {
    Send(u64, u64, f64),
    Reject(u64, Option<f64>),
    Release(u64),
    Refused(u64, Refusal),
    Withdraw(u64, u32),
    Relocate(u64),
    WakeCall(u64, f64),
    Wake(f64),
    Follow,
    Remark(String),
}

#[derive(Default)]
pub struct Door {
    pub asked: RefCell<VecDeque<Asked>>,
}

impl Door {
    fn ask(&self, what: Asked) {
        self.asked.borrow_mut().push_back(what);
    }
}

impl Outward for Door {
    fn send(&self, call: u64, server: u64, limit: f64) {
        self.ask(Asked::Send(call, server, limit));
    }
    fn reject(&self, call: u64, stay_away: Option<f64>) {
        self.ask(Asked::Reject(call, stay_away));
    }
    fn release(&self, call: u64) {
        self.ask(Asked::Release(call));
    }
    fn refused(&self, call: u64, why: Refusal) {
        self.ask(Asked::Refused(call, why));
    }
    fn withdraw(&self, call: u64, leg: u32) {
        self.ask(Asked::Withdraw(call, leg));
    }
    fn relocate(&self, call: u64) {
        self.ask(Asked::Relocate(call));
    }
    fn wake_call(&self, call: u64, at: f64) {
        self.ask(Asked::WakeCall(call, at));
    }
    fn wake(&self, at: f64) {
        self.ask(Asked::Wake(at));
    }
    fn follow_list(&self) {
        self.ask(Asked::Follow);
    }
    // Servers on sockets have no word for it.
    fn probe(&self, _: u64) -> bool {
        false
    }
    fn remark(&self, text: &str) {
        self.ask(Asked::Remark(text.to_owned()));
    }
}
