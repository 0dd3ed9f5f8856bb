//! What lies between machines: latency, messages cut anywhere, cut zones, slow links. Order on one link is kept.

use crate::chance::Chance;
use crate::experiment::Network as Ways;

pub struct Network {
    ways: Ways,
    chance: Chance,
    /// Pairs of zones that hear nothing of each other, lower first; one leaves when its cut ends.
    cut: Vec<(usize, usize)>,
    /// By how much all links are slower.
    pub slower: f64,
}

impl Network {
    pub fn new(ways: &Ways, chance: Chance) -> Network {
        Network { ways: ways.clone(), chance, cut: Vec::new(), slower: 1.0 }
    }

    /// One way between a proxy and a node, or another machine.
    pub fn between(&mut self, one: usize, other: usize) -> f64 {
        let range = if one == other { self.ways.same } else { self.ways.cross };
        self.chance.within(range)
    }

    pub fn to_client(&mut self) -> f64 {
        self.chance.within(self.ways.client)
    }

    /// How long a message takes on a link of this latency now.
    pub fn takes(&mut self, latency: f64) -> f64 {
        latency * self.slower * (1.0 + self.ways.jitter * self.chance.part())
    }

    /// Where a message of so many bytes is cut, if it is.
    pub fn cut_at(&mut self, length: usize) -> Option<usize> {
        if length > 1 && self.ways.cuts > 0.0 && self.chance.happens(self.ways.cuts) {
            Some(1 + self.chance.place(length - 1))
        } else {
            None
        }
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cut.push((one.min(other), one.max(other)));
    }

    pub fn mend(&mut self, one: usize, other: usize) {
        let pair = (one.min(other), one.max(other));
        if let Some(at) = self.cut.iter().position(|c| *c == pair) {
            self.cut.swap_remove(at);
        }
    }

    pub fn is_cut(&self, one: usize, other: usize) -> bool {
        !self.cut.is_empty() && self.cut.contains(&(one.min(other), one.max(other)))
    }
}
