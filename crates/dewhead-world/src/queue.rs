//! The event queue, ordered by time. Events of the same time keep the order in which they were added.

use slab::Slab;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A heap entry. The event itself stays in a slot, since the heap moves its entries.
struct Entry {
    at: f64,
    order: u64,
    slot: usize,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    /// Reversed, because the heap returns its greatest entry first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// A queue of events with their times.
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry>,
    order: u64,
    slots: Slab<T>,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), order: 0, slots: Slab::new() }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub fn push(&mut self, at: f64, event: T) {
        self.order += 1;
        let slot = self.slots.insert(event);
        self.heap.push(Entry { at, order: self.order, slot });
    }

    /// The time of the next event.
    pub fn next_time(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.at)
    }

    /// Removes the next event if it is due by `now`, and returns its time and the event.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, T)> {
        if self.next_time()? > now {
            return None;
        }
        let entry = self.heap.pop()?;
        Some((entry.at, self.slots.remove(entry.slot)))
    }

    /// The number of events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether there are no events.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
