//! The ids of requests that may have run at a server although their client has no answer from it. If such an id comes again,
//! it must not be sent on: it would run twice.

use std::collections::{BTreeMap, VecDeque};

/// The most ids that are kept; the oldest is forgotten for a further one.
const MAX_IDS: usize = 4096;
/// For how long an id is kept, in multiples of the longest guard time.
const RETENTION: f64 = 20.0;

/// Ids of requests that may have run, with the time until which they are kept.
pub struct AbandonedRequests {
    retention_seconds: f64,
    /// When each id is forgotten, in seconds.
    forgotten_at: BTreeMap<u64, f64>,
    /// The ids in the order in which they were added, each with the time at which that addition is forgotten.
    order: VecDeque<(u64, f64)>,
}

impl AbandonedRequests {
    /// None yet. The longest guard time is in seconds.
    pub fn new(longest_guard_time: f64) -> AbandonedRequests {
        AbandonedRequests {
            retention_seconds: RETENTION * longest_guard_time,
            forgotten_at: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Adds the id of a request that may have run.
    pub fn add(&mut self, now: f64, id: u64) {
        self.forget(now);
        let until = now + self.retention_seconds;
        self.forgotten_at.insert(id, until);
        self.order.push_back((id, until));
    }

    /// Whether a request with this id may have run.
    pub fn contains(&mut self, now: f64, id: u64) -> bool {
        self.forget(now);
        self.forgotten_at.contains_key(&id)
    }

    /// Forgets the ids whose time is over, and the oldest of too many.
    fn forget(&mut self, now: f64) {
        while let Some((id, until)) = self.order.front().copied() {
            if until > now && self.order.len() < MAX_IDS {
                return;
            }
            self.order.pop_front();
            // An id that was added again since has a later time.
            if self.forgotten_at.get(&id) == Some(&until) {
                self.forgotten_at.remove(&id);
            }
        }
    }
}
