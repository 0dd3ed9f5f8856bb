//! When servers started, on this process's own clock. Discovery reports start times by the wall clock, which may be
//! stepped; a step must not change how long ago a server started.

/// A change of the wall clock's offset by more than this is a step, in seconds; smaller ones are reading errors.
const MIN_STEP: f64 = 0.1;
/// How many of the latest steps are kept.
const MAX_STEPS: usize = 8;
/// How far in the future a server's start time may be, in seconds: the clocks of two machines differ.
const MAX_CLOCK_SKEW: f64 = 1.0;

/// The wall clock's offset from the process's clock.
pub struct WallClock {
    /// In seconds, the latest last: how far the wall clock was ahead after each step.
    offsets: Vec<f64>,
}

impl Default for WallClock {
    /// The process's clock is set to the wall clock at the start.
    fn default() -> WallClock {
        WallClock { offsets: vec![0.0] }
    }
}

impl WallClock {
    /// Records that the wall clock is this many seconds ahead now. Returns by how much it was stepped, if it was.
    pub fn observe(&mut self, offset: f64) -> Option<f64> {
        let before = self.offsets.last().copied().unwrap_or(0.0);
        if (offset - before).abs() <= MIN_STEP {
            return None;
        }
        if self.offsets.len() == MAX_STEPS {
            self.offsets.remove(0);
        }
        self.offsets.push(offset);
        Some(offset - before)
    }

    /// Converts a start time by the wall clock to the process's clock, both in seconds. The time may have been written
    /// before or after a step: of the possible results the latest that is not in the future is used, so that a server
    /// that has just started is never treated as warm.
    pub fn to_process_clock(&self, now: f64, wall_time: f64) -> f64 {
        let possible =
            self.offsets.iter().map(|offset| wall_time - offset).filter(|at| *at <= now + MAX_CLOCK_SKEW);
        possible.reduce(f64::max).unwrap_or(now)
    }
}
