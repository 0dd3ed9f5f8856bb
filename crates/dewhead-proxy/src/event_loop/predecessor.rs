//! The loop's part with the process whose place this one has taken, and which still sends its own clients away.
//!
//! A supervisor may know this process alone: its signal is passed on, and this process ends after its predecessor, as
//! many supervisors kill what is left of a service once its main process has ended.

use super::{EventLoop, PREDECESSOR};
use crate::control::predecessor::RetiringPredecessor;
use log::{info, warn};
use std::os::unix::net::UnixStream;

/// It was told to stop a moment after this process and may take as long; this one waits so much longer, in seconds. Where
/// clients stay to the last, both would else end at the same time, and either one first.
const LATER: f64 = 0.05;

impl EventLoop {
    /// Follows the process whose place was taken, on the connection on which it was.
    pub fn follow_predecessor(&mut self, stream: UnixStream) {
        match RetiringPredecessor::follow(stream, self.poll.registry(), PREDECESSOR) {
            Ok(predecessor) => self.predecessor = Some(predecessor),
            // It ends by itself; only a stop before that would not reach it.
            Err(e) => warn!("the process whose place was taken can't be followed: {e}"),
        }
    }

    /// Something came from it: its end, or an answer.
    pub(super) fn hear_predecessor(&mut self) {
        let Some(predecessor) = &mut self.predecessor else { return };
        predecessor.flush();
        if predecessor.has_ended() {
            info!("the process whose place was taken has ended");
            self.predecessor = None;
        }
    }

    /// This process has been told to stop, and so it is.
    pub(super) fn stop_predecessor(&mut self, now: f64) {
        self.predecessor_ends_by = Some(now + self.reducer.max_stop_duration() + LATER);
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.stop();
        }
    }

    /// Whether this process has to outlive it still.
    pub(super) fn waits_for_predecessor(&self, now: f64) -> bool {
        self.predecessor.is_some() && self.predecessor_ends_by.is_none_or(|at| now < at)
    }

    /// This process ends; one that is left behind may be killed with clients that were not told to move.
    pub(super) fn leave_predecessor(&mut self) {
        if self.predecessor.take().is_some() {
            self.reducer.record_predecessor_left();
        }
    }
}
