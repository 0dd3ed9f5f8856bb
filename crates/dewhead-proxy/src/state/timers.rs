//! All timers, in one ordered queue. The caller of `set` owns the timer and ends it by `cancel`; a due timer is removed
//! by `pop`.

use std::collections::BTreeMap;

/// A handle for a running timer: its due time in microseconds and its serial number. It is made by `set` alone and is
/// not `Clone`, so that a timer is cancelled at most once.
#[derive(Debug)]
pub struct Timer(u64, u64);

impl Timer {
    /// When it is due, in seconds.
    pub fn due(&self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// Running timers, each with a value that identifies its purpose.
pub struct Timers<T> {
    /// By due time in microseconds, then by serial number.
    due: BTreeMap<(u64, u64), T>,
    /// The serial number of the latest timer.
    last_serial: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { due: BTreeMap::new(), last_serial: 0 }
    }
}

impl<T> Timers<T> {
    /// Starts a timer that is due at `at`, in seconds.
    pub fn set(&mut self, at: f64, value: T) -> Timer {
        self.last_serial += 1;
        // Whole microseconds, as floating-point numbers are not totally ordered.
        let key = ((at.max(0.0) * 1e6) as u64, self.last_serial);
        self.due.insert(key, value);
        Timer(key.0, key.1)
    }

    /// Removes a timer; one that was removed by `pop` already is ignored.
    pub fn cancel(&mut self, timer: Timer) {
        self.due.remove(&(timer.0, timer.1));
    }

    /// Removes the next timer that is due by `now`, in seconds, and returns its value.
    pub fn pop(&mut self, now: f64) -> Option<T> {
        let entry = self.due.first_entry()?;
        if entry.key().0 as f64 <= now * 1e6 {
            Some(entry.remove())
        } else {
            None
        }
    }

    /// How many timers are running.
    pub fn count(&self) -> usize {
        self.due.len()
    }

    /// When the next timer is due, in seconds.
    pub fn next(&self) -> Option<f64> {
        self.due.first_key_value().map(|((at, _), _)| *at as f64 / 1e6)
    }
}
