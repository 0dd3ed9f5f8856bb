//! Writes a balancer's requests to its host as actions on the simulator's wire.

use dewhead::host_interface::BalancerHost;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;

/// The actions of one batch, from all instances, in the order in which they were requested.
pub type Output = Rc<RefCell<String>>;

/// Writes the actions of one instance.
pub struct ActionWriter {
    /// The instance's name on the wire.
    pub instance: String,
    /// Where the actions are written.
    pub output: Output,
    /// The latest timer token.
    last_token: Cell<u64>,
    /// By timer token: the call that the timer is for, or none for a timer of the balancer. An entry is removed when
    /// its timer fires.
    timers: RefCell<HashMap<u64, Option<u64>>>,
}

impl ActionWriter {
    /// A writer for the instance of this name.
    pub fn new(instance: &str, output: Output) -> ActionWriter {
        ActionWriter {
            instance: instance.to_owned(),
            output,
            last_token: Cell::new(0),
            timers: RefCell::default(),
        }
    }

    /// Removes a timer that has fired and returns the call that it is for; the outer `None` if this instance has no
    /// such timer.
    pub fn take_timer(&self, token: u64) -> Option<Option<u64>> {
        self.timers.borrow_mut().remove(&token)
    }

    /// Appends an action; `fields` begins with a comma, or is empty.
    fn action(&self, name: &str, fields: std::fmt::Arguments) {
        let mut output = self.output.borrow_mut();
        if !output.ends_with('[') {
            output.push(',');
        }
        // Writing to a string never fails.
        let _ = write!(output, "{{\"{name}\":{{\"who\":\"{}\"{fields}}}}}", self.instance);
    }

    /// Requests a timer for `at`, in seconds.
    fn request_timer(&self, at: f64, call: Option<u64>) {
        let token = self.last_token.get() + 1;
        self.last_token.set(token);
        self.timers.borrow_mut().insert(token, call);
        self.action("WAKE_ME", format_args!(",\"instant\":{:.3},\"name\":{token}", at * 1000.0));
    }
}

impl BalancerHost for ActionWriter {
    fn send_leg(&self, call: u64, server: u64, timeout: f64) {
        let limit = timeout * 1000.0;
        self.action(
            "CALL_OUT",
            format_args!(",\"txn\":\"{call:016x}\",\"server\":{server},\"limit\":{limit:.3}"),
        );
    }

    fn reject(&self, call: u64, retry_after: Option<f64>) {
        let backoff = retry_after.unwrap_or(0.0) * 1000.0;
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
        self.request_timer(at, Some(call));
    }

    fn set_timer(&self, at: f64) {
        self.request_timer(at, None);
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
