//! The polite stop.

use super::{Due, Reducer, STILL_COMING};
use crate::memory::sessions::Stage;
use log::info;

impl Reducer {
    pub(super) fn stop(&mut self, now: f64) {
        if self.stopping.is_some() {
            return;
        }
        info!("stopping: {} sessions are open", self.sessions.len());
        self.stopping = Some(now);
        let standing: Vec<usize> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Standing).map(|(key, _)| key).collect();
        for key in standing {
            let at = self.leave_at(now);
            let wake = self.timers.set(at, Due::Leave(key));
            self.replace_wake(key, Some(wake));
        }
        self.timers.set(now + STILL_COMING, Due::Empty);
        self.timers.set(now + self.longest_guard + 0.6, Due::Exit);
    }

    /// When a connection leaves at a stop: spread out, after clients have ceased to come and well before the end.
    pub(super) fn leave_at(&mut self, stop: f64) -> f64 {
        stop + STILL_COMING + 0.1 + 0.5 * self.longest_guard * self.chance.rand_float()
    }
}
