//! The polite stop, and the drain that can be taken back.

use super::{Due, Reducer, STILL_COMING};
use crate::memory::sessions::{LegStage, Stage};
use dewhead::terms::Ending;
use log::info;

/// A process that is told to stop is let live for the longest guard time, but no more than this, and 0.7 s.
const WAITED_FOR: f64 = 3.0;
/// After that time all who still wait have had their answer; a little later all who stand are told to move, and so much
/// later the process ends.
const ANSWERED: f64 = 0.4;
const LAST_WORD: f64 = 0.45;
const ENDED: f64 = 0.6;

impl Reducer {
    /// Told by a signal to end. During a hand-over the signal's times hold from then on: whoever sent it waits no longer.
    pub(super) fn stop(&mut self, now: f64) {
        if self.stops {
            return;
        }
        info!("stopping: {} sessions are open", self.sessions.len());
        self.stops = true;
        self.ends = true;
        self.spread = self.default_drain_spread();
        self.send_all_away(now);
        self.end_after(now, self.longest_guard.min(WAITED_FOR));
    }

    /// How long a stop that a signal has asked for takes at the most, in seconds.
    pub fn max_stop_duration(&self) -> f64 {
        self.longest_guard.min(WAITED_FOR) + ENDED
    }

    /// All is over after so many seconds. Guard times longer than that, 4.8 s at one site, were waited for, and who
    /// waited, stood or came late was cut off with the process.
    pub(super) fn end_after(&mut self, now: f64, seconds: f64) {
        self.timers.set(now + STILL_COMING, Due::Empty);
        self.timers.set(now + seconds + LAST_WORD, Due::LastWord);
        self.timers.set(now + seconds + ENDED, Due::Exit);
        let by = now + seconds + ANSWERED;
        self.answered_by = Some(self.answered_by.map_or(by, |earlier| earlier.min(by)));
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.hurry(now, key));
    }

    /// A call that waits while the process ends has its answer in time for its client to read it.
    pub(super) fn hurry(&mut self, now: f64, key: usize) {
        let Some(by) = self.answered_by else { return };
        let session = &mut self.sessions[key];
        match session.stage {
            Stage::Waiting => {}
            Stage::Returning => {
                if let Some((_, wanted)) = &mut session.returning {
                    wanted.until = wanted.until.min(by);
                }
            }
            _ => return,
        }
        if let Some(call) = &session.call {
            call.hurry(by);
        }
        let legs: Vec<usize> = session.legs.iter().map(|(_, leg)| *leg).collect();
        for leg in legs {
            let out = &mut self.legs[leg];
            if out.until > by {
                out.until = by;
                // One that is not up yet may have less time already.
                let at = match out.stage {
                    // Its timer dials it, and ends it in time.
                    LegStage::Queued => continue,
                    LegStage::Connecting => out.up_by.min(by),
                    _ => by,
                };
                if let Some(old) = out.timer.replace(self.timers.set(at.max(now), Due::Leg(leg))) {
                    self.timers.cancel(old);
                }
            }
        }
    }

    /// Who still stands is told to move while there is time to read it.
    pub(super) fn say_last_word(&mut self, now: f64) {
        for key in self.standing() {
            self.move_away(now, key, Ending::Cancelled);
        }
    }

    /// Whether nothing is open and nobody comes any more, or time is up.
    pub fn is_finished(&self, now: f64) -> bool {
        let all_came = self.stopping.is_some_and(|at| now >= at + STILL_COMING);
        self.time_is_up || (self.ends && all_came && self.sessions.is_empty())
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
    pub fn default_drain_spread(&self) -> f64 {
        0.5 * self.longest_guard.min(WAITED_FOR)
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
        let last = self.answered_by.map_or(f64::INFINITY, |by| by + LAST_WORD - ANSWERED);
        (stop + STILL_COMING + 0.1 + self.spread * self.chance.rand_float()).min(last)
    }
}
