//! The rule about servers that have just started, as the operators state it: how many requests all proxies together may
//! send to one in any window. Reckoned from the settings, the list and what this proxy's servers carry, and from nothing of
//! the decisions that it checks.

use dewhead_startup::SlowStartTerms;

/// Under so many requests a window more is put down to chance: by roots of them, and a count on top.
const FEW: f64 = 30.0;
const CHANCE_OF_FEW: (f64, f64) = (3.0, 3.0);
const CHANCE: (f64, f64) = (2.0, 2.0);

/// The rule's limit at this deployment.
pub struct ColdStartLimit {
    terms: SlowStartTerms,
    /// The most connections that a unit of weight has carried for this proxy, near or far.
    max_connections_per_weight: f64,
    /// The most weight that was ready at a time.
    max_ready_weight: f64,
}

/// What this proxy holds at a group of servers.
#[derive(Clone, Copy, Debug)]
pub struct LocationLoad {
    pub connections: usize,
    /// Of the servers that are ready.
    pub ready_weight: f64,
}

impl ColdStartLimit {
    pub fn new(terms: SlowStartTerms) -> ColdStartLimit {
        ColdStartLimit { terms, max_connections_per_weight: 0.0, max_ready_weight: 0.0 }
    }

    /// A window's length, in seconds.
    pub fn window(&self) -> f64 {
        self.terms.window
    }

    /// Whether a server whose process is so many seconds old is still cold.
    pub fn is_cold(&self, age: f64) -> bool {
        age < self.terms.warm_after
    }

    /// Takes in what each location's servers carry now.
    pub fn observe(&mut self, locations: &[LocationLoad]) {
        let weight: f64 = locations.iter().map(|one| one.ready_weight).sum();
        self.max_ready_weight = self.max_ready_weight.max(weight);
        for one in locations.iter().filter(|one| one.ready_weight > 0.0) {
            self.max_connections_per_weight =
                self.max_connections_per_weight.max(one.connections as f64 / one.ready_weight);
        }
    }

    /// The most requests that all proxies may send in a window to a server of this weight and age.
    pub fn max_requests(&self, weight: f64, age: f64) -> f64 {
        let terms = &self.terms;
        let present = terms.cold_share + (1.0 - terms.cold_share) * (age / terms.warm_after).clamp(0.0, 1.0);
        let agreed = if self.max_ready_weight > 0.0 { terms.agreed / self.max_ready_weight } else { 0.0 };
        // What fills a server of this size when it is warm: as much as others of its size carry.
        let fills = weight * agreed.max(self.max_connections_per_weight * terms.proxies);
        let allowed = terms.multiple * terms.window * present * fills / terms.warm_after;
        let (roots, more) = if allowed < FEW { CHANCE_OF_FEW } else { CHANCE };
        allowed + roots * allowed.sqrt() + more
    }
}
