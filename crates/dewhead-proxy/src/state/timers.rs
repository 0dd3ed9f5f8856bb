//! All timers, in one structure. Who sets one owns it and gives it back by `cancel`; one that falls due is gone.

use std::collections::BTreeMap;

/// A timer that runs; made by `set` alone, so that it can be given back once.
#[derive(Debug)]
pub struct Timer(u64, u64);

pub struct Timers<T> {
    due: BTreeMap<(u64, u64), T>,
    made: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { due: BTreeMap::new(), made: 0 }
    }
}

impl<T> Timers<T> {
    pub fn set(&mut self, at: f64, what: T) -> Timer {
        self.made += 1;
        // Whole microseconds, which order as times do.
        let key = ((at.max(0.0) * 1e6) as u64, self.made);
        self.due.insert(key, what);
        Timer(key.0, key.1)
    }

    pub fn cancel(&mut self, timer: Timer) {
        self.due.remove(&(timer.0, timer.1));
    }

    /// The next that is due, taken out.
    pub fn pop(&mut self, now: f64) -> Option<T> {
        let entry = self.due.first_entry()?;
        if entry.key().0 as f64 <= now * 1e6 {
            Some(entry.remove())
        } else {
            None
        }
    }

    /// How many wait.
    pub fn count(&self) -> usize {
        self.due.len()
    }

    /// When the next falls due.
    pub fn next(&self) -> Option<f64> {
        self.due.first_key_value().map(|((at, _), _)| *at as f64 / 1e6)
    }
}
