//! The process's clock: monotonic, and on the scale of Unix time as it was at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Two clocks read one after the other are compared only where no more than this lies between.
const APART: Duration = Duration::from_millis(10);

/// Seconds since 1970 as they were told at the start, counted on by a clock that never steps.
pub struct Clock {
    began: Instant,
    offset: f64,
}

fn wall() -> f64 {
    // Before 1970 nothing is told of when servers started, either.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

impl Clock {
    pub fn start() -> Clock {
        Clock { began: Instant::now(), offset: wall() }
    }

    /// Seconds, monotonic.
    pub fn now(&self) -> f64 {
        self.offset + self.began.elapsed().as_secs_f64()
    }

    /// By how many seconds the wall clock is ahead of this one: what it has been stepped by since the start. `None` where
    /// the process was held up between reading the two.
    pub fn wall_clock_offset(&self) -> Option<f64> {
        let before = Instant::now();
        let wall = wall();
        let own = self.now();
        (before.elapsed() <= APART).then_some(wall - own)
    }
}
