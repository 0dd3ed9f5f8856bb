//! The polite stop, and the drain that can be taken back.

use super::{Due, Reducer, STILL_COMING};
use crate::memory::sessions::Stage;
use log::info;

impl Reducer {
    pub(super) fn stop(&mut self, now: f64) {
        if self.ends {
            return;
        }
        info!("stopping: {} sessions are open", self.sessions.len());
        self.ends = true;
        self.spread = self.usual_spread();
        self.send_all_away(now);
        self.timers.set(now + STILL_COMING, Due::Empty);
        self.timers.set(now + self.longest_guard + 0.6, Due::Exit);
    }

    pub(super) fn drain(&mut self, now: f64, spread: f64) {
        if self.ends {
            return;
        }
        info!("draining: {} sessions are open", self.sessions.len());
        self.spread = spread.max(0.0);
        self.send_all_away(now);
    }

    /// Over how long clients are sent away where nobody says.
    pub fn usual_spread(&self) -> f64 {
        0.5 * self.longest_guard
    }

    /// Serves again; who has not left yet stays.
    pub(super) fn undrain(&mut self) {
        if self.ends || self.stopping.take().is_none() {
            return;
        }
        info!("serving again: {} sessions are open", self.sessions.len());
        self.standing().into_iter().for_each(|key| self.replace_wake(key, None));
    }

    fn standing(&self) -> Vec<usize> {
        self.sessions.iter().filter(|(_, s)| s.stage == Stage::Standing).map(|(key, _)| key).collect()
    }

    pub(super) fn send_all_away(&mut self, now: f64) {
        self.stopping = Some(now);
        for key in self.standing() {
            let at = self.leave_at(now);
            let wake = self.timers.set(at, Due::Leave(key));
            self.replace_wake(key, Some(wake));
        }
    }

    /// When a connection leaves at a stop: spread out, after clients have ceased to come and well before the end.
    pub(super) fn leave_at(&mut self, stop: f64) -> f64 {
        stop + STILL_COMING + 0.1 + self.spread * self.chance.rand_float()
    }
}
