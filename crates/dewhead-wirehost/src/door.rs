//! What a balancer asks for, written as the wire's actions.

use dewhead::host_interface::BalancerHost;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;

/// The actions of one batch, from all instances, in the order they were taken.
pub type Output = Rc<RefCell<String>>;

pub struct Door {
    pub who: String,
    pub output: Output,
    tokens: Cell<u64>,
    /// Which call a timer is for; none for the balancer's own. An entry goes when its timer fires.
    timers: RefCell<HashMap<u64, Option<u64>>>,
}

impl Door {
    pub fn new(who: &str, output: Output) -> Door {
        Door { who: who.to_owned(), output, tokens: Cell::new(0), timers: RefCell::default() }
    }

    /// Whose timer has fired, if it is one of ours.
    pub fn fired(&self, token: u64) -> Option<Option<u64>> {
        self.timers.borrow_mut().remove(&token)
    }

    fn action(&self, name: &str, fields: std::fmt::Arguments) {
        let mut output = self.output.borrow_mut();
        if !output.ends_with('[') {
            output.push(',');
        }
        // Writing to a string does not fail.
        let _ = write!(output, "{{\"{name}\":{{\"who\":\"{}\"{fields}}}}}", self.who);
    }

    fn timer(&self, at: f64, call: Option<u64>) {
        let token = self.tokens.get() + 1;
        self.tokens.set(token);
        self.timers.borrow_mut().insert(token, call);
        self.action("WAKE_ME", format_args!(",\"instant\":{:.3},\"name\":{token}", at * 1000.0));
    }
}

impl BalancerHost for Door {
    fn send_leg(&self, call: u64, server: u64, limit: f64) {
        let limit = limit * 1000.0;
        self.action(
            "CALL_OUT",
            format_args!(",\"txn\":\"{call:016x}\",\"server\":{server},\"limit\":{limit:.3}"),
        );
    }

    fn reject(&self, call: u64, stay_away: Option<f64>) {
        let backoff = stay_away.unwrap_or(0.0) * 1000.0;
        self.action("SAY_NO", format_args!(",\"txn\":\"{call:016x}\",\"backoff\":{backoff:.3}"));
    }

    fn release(&self, call: u64) {
        self.action("GIVE_UP", format_args!(",\"txn\":\"{call:016x}\""));
    }

    fn cancel_leg(&self, call: u64, leg: u32) {
        self.action("WITHDRAW", format_args!(",\"txn\":\"{call:016x}\",\"roundNo\":{leg}"));
    }

    fn relocate(&self, call: u64) {
        self.action("RELOCATE", format_args!(",\"txn\":\"{call:016x}\""));
    }

    fn set_call_timer(&self, call: u64, at: f64) {
        self.timer(at, Some(call));
    }

    fn set_timer(&self, at: f64) {
        self.timer(at, None);
    }

    fn subscribe_to_list(&self) {
        self.action("KEEP_INFORMED", format_args!(",\"active\":true"));
    }

    fn probe(&self, server: u64) -> bool {
        self.action("SOUND_OUT", format_args!(",\"server\":{server}"));
        true
    }

    fn log(&self, text: &str) {
        let text = serde_json::Value::from(text);
        self.action("TRACE", format_args!(",\"reasonText\":{text}"));
    }
}
