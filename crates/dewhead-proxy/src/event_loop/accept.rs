//! Accepting clients, including those still in the listen queue when the process ends.

use super::EventLoop;
use crate::reducer::{CloseKind, Endpoint, Event};
use log::warn;
use std::io;
use std::time::Duration;

/// Most clients accepted in one iteration, so that connected clients are served in between.
const MAX_ACCEPTS_PER_ITERATION: usize = 32;
/// Pause before accepting is tried again after a failure.
pub(super) const ACCEPT_RETRY_SECONDS: f64 = 0.05;
/// While accepting fails at the end of the process, it is tried this many times, with this pause in between. A stopping
/// process is killed 0.1 s after its latest exit time (see `reducer::shutdown`), so these attempts must take less.
const FINAL_ACCEPT_ROUNDS: u32 = 10;
const FINAL_ACCEPT_PAUSE: Duration = Duration::from_millis(5);

impl EventLoop {
    /// Accepts the clients in the listen queue and reads from all clients. Closing the listener would reset clients
    /// that connected in time and are not accepted yet. Accepting may fail temporarily. At the latest exit time, this
    /// is the last opportunity to read and answer what connected clients have sent.
    pub(super) fn accept_remaining(&mut self, now: f64) {
        for _ in 0..FINAL_ACCEPT_ROUNDS {
            while self.accept(now) {}
            if self.accept_at.is_none() {
                break;
            }
            std::thread::sleep(FINAL_ACCEPT_PAUSE);
        }
        for slot in 0..self.clients.len() {
            self.read(now, Endpoint::Client(slot));
        }
    }

    /// Accepts clients, up to `MAX_ACCEPTS_PER_ITERATION`. Returns whether more may be pending.
    pub(super) fn accept(&mut self, now: f64) -> bool {
        self.accept_at = None;
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if !self.accepting {
                break;
            }
            let Some(listener) = &self.listener else { return false };
            match listener.accept() {
                Ok((socket, _)) => {
                    self.accept_failure_logged = false;
                    self.accepted_socket = Some(socket);
                    self.dispatch(now, Event::Accepted, &[]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    if !std::mem::replace(&mut self.accept_failure_logged, true) {
                        warn!("accepting a client failed: {e}");
                    }
                    self.accept_at = Some(now + ACCEPT_RETRY_SECONDS);
                    return false;
                }
            }
        }
        // More may be pending. They are accepted in the next iteration, or once descriptors are free again.
        self.accept_at = Some(now);
        self.accepting
    }

    /// Stores the client connection accepted last in the slot that the reducer assigned.
    pub(super) fn store_accepted(&mut self, now: f64, slot: usize) {
        match self.accepted_socket.take() {
            Some(socket) => self.register(Endpoint::Client(slot), socket, false),
            None => self.dispatch(now, Event::Closed(Endpoint::Client(slot), CloseKind::Abortive), &[]),
        }
    }
}
