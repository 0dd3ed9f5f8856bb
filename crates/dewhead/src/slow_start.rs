//! Slow start (rule 4): limits what all balancers together send to a server that has just started. Each balancer has
//! its own budget, and the budgets add up to what the settings allow. Beyond the budgets, the balancers take turns.

use crate::state::{Balancer, Server, SlowStart};
use oorandom::Rand64;

/// The cap on what all balancers together send to a server in a window, in multiples of the number of calls that the
/// settings allow. The budget counts a connection's whole load as if it arrived within the warm-up, although the
/// connection adds it over its whole life, so the budget overstates what reaches the server. That is why up to twice
/// the allowed number is sent where that number is small.
const MAX_BUDGET_MULTIPLE: f64 = 2.0;
/// The excess over the allowed number of calls in a window that rule 4 attributes to chance, in square roots of that
/// number. The rule tolerates two calls more, which the balancers send by turns.
const CHANCE_ALLOWANCE_ROOTS: f64 = 2.0;
/// The golden ratio's fractional part. The fractional parts of its multiples are spread evenly from 0 to 1, however
/// many there are.
pub(crate) const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

impl SlowStart {
    /// The share of its full capacity that a server has at this age: the cold share at the start, 1 when warm, and
    /// linear between the two.
    fn capacity_share(&self, age: f64) -> f64 {
        self.cold_share + (1.0 - self.cold_share) * (age / self.warm_after).clamp(0.0, 1.0)
    }
}

impl Balancer {
    /// Rule 4: whether this balancer may send a call to a cold server now.
    ///
    /// This balancer's part of a server is the server's size times this balancer's connections per weight, in which
    /// other zones count as in R_i, or times its part of the tenants' quotas per weight if that is more: a balancer
    /// that was killed, or whose servers were lost, has no connections. The server is filled with that part over its
    /// warm-up. The budget grows at this rate, multiplied by the present capacity share, the overload multiple and the
    /// allowance for chance. Beyond the budget, the balancers take turns.
    pub(crate) fn within_slow_start_budget(&self, now: f64, server: &Server, age: f64) -> bool {
        let allowed = self.allowed_per_window(server, age);
        let rate = self.budget_per_window(allowed) / self.slow_start.window;
        let budget = server.budget.get() + rate * (now - server.budget_updated_at.get()).max(0.0);
        // Budget that stays unused expires. Otherwise many balancers saved it up and sent one server a burst of calls.
        let highest = allowed.max(1.0) + allowed.min(1.0);
        server.budget.set(budget - (budget - highest).ceil().max(0.0));
        server.budget_updated_at.set(now);
        let (turn, owner) = self.turn(now, server);
        server.budget.get() >= 1.0 || (owner == self.position && server.last_turn.get() != turn)
    }

    /// This balancer's part of the calls that the settings allow a cold server in a window.
    fn allowed_per_window(&self, server: &Server, age: f64) -> f64 {
        let zone_factor = self.locality.factor(server.zone, 1.0).max(0.0);
        let quota_per_weight = self.tenant_shares.total_quota
            / self.balancer_count
            / self.peak_near_weight.get().max(f64::MIN_POSITIVE);
        let connections_per_weight = self.connections_per_weight.get().max(quota_per_weight);
        zone_factor
            * connections_per_weight
            * self.server_size(server)
            * self.slow_start.capacity_share(age)
            * self.window_share()
    }

    /// What the settings allow in a window, relative to what a server can hold.
    fn window_share(&self) -> f64 {
        self.slow_start.overload_multiple * self.slow_start.window / self.slow_start.warm_after
    }

    /// The number of calls that this balancer may send in a window: its part of the number for all balancers, which is
    /// what the settings allow plus `CHANCE_ALLOWANCE_ROOTS` square roots of that. A constant multiple exceeded the
    /// limit where dozens of calls are allowed, as the square root is a small part of such a number.
    fn budget_per_window(&self, allowed: f64) -> f64 {
        let allowed_for_all = (self.balancer_count * allowed).max(f64::MIN_POSITIVE);
        let multiple = (1.0 + CHANCE_ALLOWANCE_ROOTS / allowed_for_all.sqrt()).min(MAX_BUDGET_MULTIPLE);
        // However short the warm-up, no more is sent in a window than the server can hold now, as a multiple of that
        // makes it fail.
        allowed * multiple.min(1.0 / self.window_share())
    }

    /// The present turn and the number of the balancer that it belongs to.
    ///
    /// Rule 4 attributes two requests per window to chance, however small a server's capacity. The time since the
    /// server's start is divided into turns of one window each, and in each turn one balancer, the same by every
    /// balancer's computation, may send one request. A window overlaps two turns at most, so the two are not exceeded.
    fn turn(&self, now: f64, server: &Server) -> (f64, f64) {
        let turn = ((now - server.started.get()) / self.slow_start.window).floor();
        (turn, ((rank(0, server.id) + turn * GOLDEN_RATIO).fract() * self.balancer_count).floor())
    }

    /// Charges a sent leg to the server's budget if it started recently. `load` is the leg's load in cores.
    pub(crate) fn record_sent(&self, now: f64, server: &Server, load: f64) {
        if now - server.started.get() < 3.0 * self.slow_start.warm_after {
            // A leg for which there was no budget was sent by its turn, and is charged one connection less.
            let remaining = server.budget.get() - (load / self.mean_load()).max(1.0);
            server.budget.set(remaining + f64::from(u8::from(server.budget.get() < 1.0)));
            server.last_turn.set(self.turn(now, server).0);
        }
        server.last_sent_at.set(now);
    }
}

/// A pseudo-random number from 0 to 1 for a group and a server, the same for every balancer.
pub(crate) fn rank(group: u64, server: u64) -> f64 {
    Rand64::new(u128::from(group) << 32 ^ u128::from(server)).rand_float()
}
