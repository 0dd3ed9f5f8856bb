//! The process's clock: monotonic, and set to Unix time at the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Two clocks that are read one after the other are compared only if no more than this passed in between.
const MAX_READ_GAP: Duration = Duration::from_millis(10);

/// Counts seconds since 1970 from the wall clock's time at the start, without following its steps.
pub struct Clock {
    started_at: Instant,
    /// Unix time at the start, in seconds.
    start_time: f64,
}

/// The wall clock, in seconds since 1970; 0 before that, as discovery reports no start times from before 1970 either.
fn wall() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

impl Clock {
    /// A clock that is set to the wall clock now.
    pub fn start() -> Clock {
        Clock { started_at: Instant::now(), start_time: wall() }
    }

    /// The current time, in seconds; monotonic.
    pub fn now(&self) -> f64 {
        self.start_time + self.started_at.elapsed().as_secs_f64()
    }

    /// How many seconds the wall clock is ahead of this one: the sum of its steps since the start. `None` where the
    /// process was delayed between reading the two.
    pub fn wall_clock_offset(&self) -> Option<f64> {
        let before = Instant::now();
        let wall = wall();
        let own = self.now();
        (before.elapsed() <= MAX_READ_GAP).then_some(wall - own)
    }
}
