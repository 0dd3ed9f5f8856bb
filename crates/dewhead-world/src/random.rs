//! The random numbers of a world. Each subject has its own stream, so that two runs with the same seed have
//! the same clients, loads and troubles even if the proxies decide differently.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64;

/// The subject of a stream.
#[derive(Clone, Copy, Debug)]
pub enum StreamPurpose {
    /// Arrivals of clients.
    Arrivals = 1,
    /// The properties and decisions of one client.
    Client,
    /// The machines of the fleet.
    Fleet,
    /// Loads, setup work and errors of the nodes.
    Node,
    /// Latency and message splitting.
    Network,
    /// The front layer.
    Front,
    /// Discovery.
    Discovery,
    /// One trouble.
    Trouble,
    /// The start and the seed of one process of a proxy.
    Proxy,
    /// Drawn experiments.
    Search,
}

/// A seeded stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomStream(Pcg64);

impl RandomStream {
    /// The stream of this purpose with this index.
    pub fn new(seed: u64, purpose: StreamPurpose, index: u64) -> RandomStream {
        let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ index.wrapping_mul(0xd134_2543_de82_ef95);
        RandomStream(Pcg64::seed_from_u64(mixed ^ (purpose as u64) << 56))
    }

    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// True with the given probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Uniform in a range.
    pub fn uniform_in(&mut self, [low, high]: [f64; 2]) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// A uniform index into a list of this length; 0 for an empty list.
    pub fn index(&mut self, length: usize) -> usize {
        ((self.uniform() * length as f64) as usize).min(length.saturating_sub(1))
    }

    /// 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// Exponentially distributed with this mean, as the time between independent events.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let unit: f64 = Exp1.sample(&mut self.0);
        unit * mean
    }

    /// Lognormally distributed with mean 1 and this standard deviation of the logarithm.
    pub fn lognormal(&mut self, sigma: f64) -> f64 {
        match LogNormal::new(-sigma * sigma / 2.0, sigma) {
            Ok(distribution) if sigma > 0.0 => distribution.sample(&mut self.0),
            _ => 1.0,
        }
    }

    /// Pareto distributed with mean 1 and this shape (over 1), limited to 200 so that no lifetime is
    /// unbounded.
    pub fn pareto(&mut self, shape: f64) -> f64 {
        match Pareto::new((shape - 1.0) / shape, shape) {
            Ok(distribution) if shape > 1.0 => distribution.sample(&mut self.0).min(200.0),
            _ => 1.0,
        }
    }

    /// An index with probability proportional to its weight; the last one if the weights sum to 0.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut remaining = self.uniform() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (position, weight) in weights.enumerate() {
            last = position;
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
        last
    }
}
