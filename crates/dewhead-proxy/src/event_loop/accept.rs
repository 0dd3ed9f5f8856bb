//! Accepting clients, and the queue of those not accepted yet when the process ends.

use super::EventLoop;
use crate::reducer::{CloseKind, Endpoint, Event};
use log::warn;
use std::io;
use std::time::Duration;

/// So many clients are accepted before those who are in have their turn.
const ACCEPTS: usize = 32;
/// Where accepting fails, it is tried again after this, in seconds.
pub(super) const ACCEPT_PAUSE: f64 = 0.05;
/// At the end accepting is tried so often, after this pause, while it fails: the process is killed 0.1 s later.
const LAST_ACCEPTS: u32 = 10;
const LAST_PAUSE: Duration = Duration::from_millis(5);

impl EventLoop {
    /// Who came in time and was not accepted yet would be reset with the listener. Accepting may fail for a moment; and
    /// where time is up, what those who are in have sent is read and answered here, or not at all.
    pub(super) fn empty_queue(&mut self, now: f64) {
        for _ in 0..LAST_ACCEPTS {
            while self.accept(now) {}
            if self.accept_from.is_none() {
                break;
            }
            std::thread::sleep(LAST_PAUSE);
        }
        for slot in 0..self.clients.len() {
            self.read(now, Endpoint::Client(slot));
        }
    }

    /// Accepts some; whether more may wait.
    pub(super) fn accept(&mut self, now: f64) -> bool {
        self.accept_from = None;
        for _ in 0..ACCEPTS {
            if !self.accepting {
                break;
            }
            let Some(listener) = &self.listener else { return false };
            match listener.accept() {
                Ok((socket, _)) => {
                    self.accept_failed = false;
                    self.fresh = Some(socket);
                    self.tell(now, Event::Accepted, &[]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    if !std::mem::replace(&mut self.accept_failed, true) {
                        warn!("accepting: {e}");
                    }
                    self.accept_from = Some(now + ACCEPT_PAUSE);
                    return false;
                }
            }
        }
        // More may wait: for the next turn, or where no descriptors are left for when there are.
        self.accept_from = Some(now);
        self.accepting
    }

    pub(super) fn admit(&mut self, now: f64, slot: usize) {
        match self.fresh.take() {
            Some(socket) => self.keep(Endpoint::Client(slot), socket, false),
            None => self.tell(now, Event::Closed(Endpoint::Client(slot), CloseKind::Abortive), &[]),
        }
    }
}
