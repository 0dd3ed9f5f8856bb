//! What lies between machines: latency, messages cut anywhere, cut zones, slow links. Order on one link is kept.

use crate::experiment::Network as NetworkSettings;
use crate::random::RandomStream;

pub struct Network {
    ways: NetworkSettings,
    random: RandomStream,
    /// Pairs of zones that hear nothing of each other, lower first; one leaves when its cut ends.
    cut: Vec<(usize, usize)>,
    /// By how much all links are slower.
    pub latency_factor: f64,
}

impl Network {
    pub fn new(ways: &NetworkSettings, random: RandomStream) -> Network {
        Network { ways: ways.clone(), random, cut: Vec::new(), latency_factor: 1.0 }
    }

    /// One way between a proxy and a node, or another machine.
    pub fn latency_between(&mut self, one: usize, other: usize) -> f64 {
        let range = if one == other { self.ways.within_zone } else { self.ways.cross_zone };
        self.random.uniform_in(range)
    }

    pub fn client_latency(&mut self) -> f64 {
        self.random.uniform_in(self.ways.client)
    }

    /// How long a message takes on a link of this latency now.
    pub fn transit_time(&mut self, latency: f64) -> f64 {
        latency * self.latency_factor * (1.0 + self.ways.jitter * self.random.uniform())
    }

    /// Where a message of so many bytes is cut, if it is.
    pub fn split_point(&mut self, length: usize) -> Option<usize> {
        if length > 1 && self.ways.split_share > 0.0 && self.random.bernoulli(self.ways.split_share) {
            Some(1 + self.random.index(length - 1))
        } else {
            None
        }
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cut.push((one.min(other), one.max(other)));
    }

    pub fn restore(&mut self, one: usize, other: usize) {
        let pair = (one.min(other), one.max(other));
        if let Some(at) = self.cut.iter().position(|c| *c == pair) {
            self.cut.swap_remove(at);
        }
    }

    pub fn is_cut(&self, one: usize, other: usize) -> bool {
        !self.cut.is_empty() && self.cut.contains(&(one.min(other), one.max(other)))
    }
}
