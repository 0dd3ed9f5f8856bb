//! Handling of the predecessor in the event loop, while it still moves its own clients away.
//!
//! A supervisor may signal only this process. A stop signal is therefore passed on, and this process ends after its
//! predecessor, as many supervisors kill the remaining processes of a service once its main process has ended.

use super::{EventLoop, PREDECESSOR};
use crate::control::predecessor::RetiringPredecessor;
use log::{info, warn};
use std::os::unix::net::UnixStream;

/// The predecessor receives its stop request a moment after this process and may take as long to stop, so this process
/// waits this much longer. Otherwise, if clients stay connected until the end, both processes end at the same time, and
/// either may be the first.
const PREDECESSOR_MARGIN_SECONDS: f64 = 0.05;

impl EventLoop {
    /// Watches the predecessor on the connection over which this process took over.
    pub fn follow_predecessor(&mut self, stream: UnixStream) {
        match RetiringPredecessor::follow(stream, self.poll.registry(), PREDECESSOR) {
            Ok(predecessor) => self.predecessor = Some(predecessor),
            // The predecessor ends by itself. Only a stop signal to this process before that does not reach it.
            Err(e) => warn!("the predecessor can't be watched: {e}"),
        }
    }

    /// Handles readiness of the connection to the predecessor: its end, or a response.
    pub(super) fn predecessor_ready(&mut self) {
        let Some(predecessor) = &mut self.predecessor else { return };
        predecessor.flush();
        if predecessor.has_ended() {
            info!("the predecessor has ended");
            self.predecessor = None;
        }
    }

    /// Sends the predecessor a stop request, as this process has received one.
    pub(super) fn stop_predecessor(&mut self, now: f64) {
        self.predecessor_deadline = Some(now + self.reducer.max_stop_duration() + PREDECESSOR_MARGIN_SECONDS);
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.stop();
        }
    }

    /// Whether this process still has to wait for the predecessor to end.
    pub(super) fn waits_for_predecessor(&self, now: f64) -> bool {
        self.predecessor.is_some() && self.predecessor_deadline.is_none_or(|at| now < at)
    }

    /// Counts a violation if this process ends before the predecessor, which may then be killed before its clients have
    /// moved.
    pub(super) fn leave_predecessor(&mut self) {
        if self.predecessor.take().is_some() {
            self.reducer.record_predecessor_left();
        }
    }
}
