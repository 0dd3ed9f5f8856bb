//! When servers started, on the process's own clock. Discovery tells it by the wall clock, which may be stepped; how long
//! ago that was must not change with it.

/// The wall clock has been stepped where it differs by more than this from what it was; less is the reading's own error.
const STEP: f64 = 0.1;
/// So many of the latest steps are remembered.
const MOST_STEPS: usize = 8;
/// A server can't have started later than now, but for what machines' clocks differ by.
const SKEW: f64 = 1.0;

/// By how much the wall clock has been ahead of the process's own, the latest last.
pub struct WallClock {
    ahead: Vec<f64>,
}

impl Default for WallClock {
    /// The process's clock starts by the wall clock.
    fn default() -> WallClock {
        WallClock { ahead: vec![0.0] }
    }
}

impl WallClock {
    /// The wall clock is this many seconds ahead now. Returns by how much it was stepped, if it was.
    pub fn observe(&mut self, ahead: f64) -> Option<f64> {
        let before = self.ahead.last().copied().unwrap_or(0.0);
        if (ahead - before).abs() <= STEP {
            return None;
        }
        if self.ahead.len() == MOST_STEPS {
            self.ahead.remove(0);
        }
        self.ahead.push(ahead);
        Some(ahead - before)
    }

    /// When a server started on the process's clock, where the wall clock showed `born`, in seconds. It may have been
    /// written before or after a step: the latest time that is not in the future holds, so that a server that has just
    /// started is never taken for one that is warm.
    pub fn to_process_clock(&self, now: f64, born: f64) -> f64 {
        let possible = self.ahead.iter().map(|ahead| born - ahead).filter(|at| *at <= now + SKEW);
        possible.reduce(f64::max).unwrap_or(now)
    }
}
