//! What is to happen, in the order of its time; what falls on one instant happens in the order it was put in.

use slab::Slab;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Small, as the heap moves its entries about; what is to happen lies still in a slot until then.
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
    /// Reversed, as the heap gives its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

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
    pub fn push(&mut self, at: f64, what: T) {
        self.order += 1;
        let slot = self.slots.insert(what);
        self.heap.push(Entry { at, order: self.order, slot });
    }

    /// When the next is due.
    pub fn next_time(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.at)
    }

    /// The next, if it is due by now.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, T)> {
        if self.next_time()? > now {
            return None;
        }
        let entry = self.heap.pop()?;
        Some((entry.at, self.slots.remove(entry.slot)))
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
