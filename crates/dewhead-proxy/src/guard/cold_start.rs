//! The operators' limit for servers that have just started: how many requests all proxies together may send to one in
//! any window. It is calculated from the settings, the server list and the connections at this proxy's servers,
//! independently of the decisions that it checks.

use dewhead_startup::SlowStartSettings;

/// Below this many requests in a window, the larger tolerance for random variation applies.
const SMALL_COUNT: f64 = 30.0;
/// Tolerance for random variation: a multiple of the square root of the expected number of requests, and a number of
/// requests on top.
const SMALL_COUNT_TOLERANCE: (f64, f64) = (3.0, 3.0);
const TOLERANCE: (f64, f64) = (2.0, 2.0);

/// The limit for this deployment.
pub struct ColdStartLimit {
    settings: SlowStartSettings,
    /// The most connections of this proxy per unit of ready weight so far, in any zone.
    max_connections_per_weight: f64,
    /// The most weight that was ready at the same time, over all zones.
    max_ready_weight: f64,
}

/// This proxy's connections at the servers of one zone, and the weight of those servers.
#[derive(Clone, Copy, Debug)]
pub struct ZoneLoad {
    /// Open connections to its servers.
    pub connections: usize,
    /// The sum of the weights of its ready servers.
    pub ready_weight: f64,
}

impl ColdStartLimit {
    /// The limit by these settings, before anything was observed.
    pub fn new(settings: SlowStartSettings) -> ColdStartLimit {
        ColdStartLimit { settings, max_connections_per_weight: 0.0, max_ready_weight: 0.0 }
    }

    /// The length of the window, in seconds.
    pub fn window(&self) -> f64 {
        self.settings.window
    }

    /// Whether a server whose process is `age` seconds old is still cold.
    pub fn is_cold(&self, age: f64) -> bool {
        age < self.settings.warm_after
    }

    /// Records the present load of each zone.
    pub fn observe(&mut self, zone_loads: &[ZoneLoad]) {
        let ready_weight: f64 = zone_loads.iter().map(|zone| zone.ready_weight).sum();
        self.max_ready_weight = self.max_ready_weight.max(ready_weight);
        for zone in zone_loads.iter().filter(|zone| zone.ready_weight > 0.0) {
            self.max_connections_per_weight =
                self.max_connections_per_weight.max(zone.connections as f64 / zone.ready_weight);
        }
    }

    /// The most requests that all proxies together may send within a window to a server of this weight whose process is
    /// `age` seconds old.
    pub fn max_requests(&self, weight: f64, age: f64) -> f64 {
        let settings = &self.settings;
        let capacity_share =
            settings.cold_share + (1.0 - settings.cold_share) * (age / settings.warm_after).clamp(0.0, 1.0);
        let quota_per_weight =
            if self.max_ready_weight > 0.0 { settings.total_quota / self.max_ready_weight } else { 0.0 };
        // The connections that fill a warm server of this size, estimated from what others of its size carry.
        let full_connections =
            weight * quota_per_weight.max(self.max_connections_per_weight * settings.proxies);
        let allowed = settings.overload_multiple * settings.window * capacity_share * full_connections
            / settings.warm_after;
        let (root_multiple, margin) = if allowed < SMALL_COUNT { SMALL_COUNT_TOLERANCE } else { TOLERANCE };
        allowed + root_multiple * allowed.sqrt() + margin
    }
}
