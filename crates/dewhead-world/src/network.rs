//! The network between machines: latency, messages split in transit, zone cuts and slow links. The order on
//! each link is kept.

use crate::experiment::Network as NetworkSettings;
use crate::random::RandomStream;

/// The state of the network.
pub struct Network {
    settings: NetworkSettings,
    random: RandomStream,
    /// Pairs of zones that are cut off from each other, the lower first. A pair is stored once for each cut.
    cuts: Vec<(usize, usize)>,
    /// Multiplies the latency of all links.
    pub latency_factor: f64,
}

impl Network {
    /// Creates the network without cuts.
    pub fn new(settings: &NetworkSettings, random: RandomStream) -> Network {
        Network { settings: settings.clone(), random, cuts: Vec::new(), latency_factor: 1.0 }
    }

    /// Draws the one-way latency between two zones, in seconds.
    pub fn latency_between(&mut self, zone: usize, other_zone: usize) -> f64 {
        let range = if zone == other_zone { self.settings.within_zone } else { self.settings.cross_zone };
        self.random.uniform_in(range)
    }

    /// Draws the one-way latency between a client and a proxy, in seconds.
    pub fn client_latency(&mut self) -> f64 {
        self.random.uniform_in(self.settings.client)
    }

    /// Draws the time that a message takes now on a link of this latency, in seconds.
    pub fn transit_time(&mut self, latency: f64) -> f64 {
        latency * self.latency_factor * (1.0 + self.settings.jitter * self.random.uniform())
    }

    /// Draws the position at which a message of this length is split, if it is.
    pub fn split_point(&mut self, length: usize) -> Option<usize> {
        if length > 1 && self.settings.split_share > 0.0 && self.random.bernoulli(self.settings.split_share) {
            Some(1 + self.random.index(length - 1))
        } else {
            None
        }
    }

    /// Cuts two zones off from each other.
    pub fn cut(&mut self, zone: usize, other_zone: usize) {
        self.cuts.push((zone.min(other_zone), zone.max(other_zone)));
    }

    /// Ends one cut between two zones.
    pub fn restore(&mut self, zone: usize, other_zone: usize) {
        let pair = (zone.min(other_zone), zone.max(other_zone));
        if let Some(at) = self.cuts.iter().position(|c| *c == pair) {
            self.cuts.swap_remove(at);
        }
    }

    /// Whether two zones are cut off from each other.
    pub fn is_cut(&self, zone: usize, other_zone: usize) -> bool {
        !self.cuts.is_empty() && self.cuts.contains(&(zone.min(other_zone), zone.max(other_zone)))
    }
}
