//! What is to happen, in the order of its time; what falls on one instant happens in the order it was put in.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    order: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    /// Reversed, as the heap gives its greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

pub struct Queue<T> {
    heap: BinaryHeap<Entry<T>>,
    order: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Queue<T> {
    pub fn put(&mut self, at: f64, what: T) {
        self.order += 1;
        self.heap.push(Entry { at, order: self.order, what });
    }

    /// When the next is due.
    pub fn next(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.at)
    }

    /// The next, if it is due by now.
    pub fn due(&mut self, now: f64) -> Option<(f64, T)> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|e| (e.at, e.what))
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}
