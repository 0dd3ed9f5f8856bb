//! All chance of a world. Each subject draws from a stream of its own, so that two plays of one seed that differ in what
//! proxies decide still meet the same clients, loads and troubles.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg64;

/// What a stream is for.
#[derive(Clone, Copy, Debug)]
pub enum StreamPurpose {
    Arrivals = 1,
    Client,
    Fleet,
    Node,
    Network,
    Front,
    Discovery,
    Trouble,
    Proxy,
    Search,
}

#[derive(Clone, Debug)]
pub struct RandomStream(Pcg64);

impl RandomStream {
    /// The `n`-th stream for this purpose.
    pub fn new(seed: u64, what: StreamPurpose, n: u64) -> RandomStream {
        let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ n.wrapping_mul(0xd134_2543_de82_ef95);
        RandomStream(Pcg64::seed_from_u64(mixed ^ (what as u64) << 56))
    }

    /// From 0 to 1, without 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    pub fn bernoulli(&mut self, share: f64) -> bool {
        self.uniform() < share
    }

    pub fn uniform_in(&mut self, [least, most]: [f64; 2]) -> f64 {
        least + (most - least) * self.uniform()
    }

    /// A place in a list of so many; 0 for an empty one.
    pub fn index(&mut self, of: usize) -> usize {
        ((self.uniform() * of as f64) as usize).min(of.saturating_sub(1))
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.random::<u64>()
    }

    /// A gap between events that come at random, by its mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let one: f64 = Exp1.sample(&mut self.0);
        one * mean
    }

    /// Around 1, with this sigma of the logarithm; the mean is 1.
    pub fn lognormal(&mut self, sigma: f64) -> f64 {
        match LogNormal::new(-sigma * sigma / 2.0, sigma) {
            Ok(spread) if sigma > 0.0 => spread.sample(&mut self.0),
            _ => 1.0,
        }
    }

    /// With a heavy tail of this shape (over 1), the mean 1; capped at 200 times the mean, as nobody stays for ever.
    pub fn pareto(&mut self, shape: f64) -> f64 {
        match Pareto::new((shape - 1.0) / shape, shape) {
            Ok(tail) if shape > 1.0 => tail.sample(&mut self.0).min(200.0),
            _ => 1.0,
        }
    }

    /// A place by weights; the last where they sum to nothing.
    pub fn weighted_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut left = self.uniform() * weights.clone().sum::<f64>();
        let mut last = 0;
        for (at, weight) in weights.enumerate() {
            last = at;
            left -= weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
