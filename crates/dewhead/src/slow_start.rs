//! Slow start, rule 4: how much a server that has just started is sent by all balancers together. Each balancer spends a
//! budget of its own, which adds up to what the settings allow, and takes turns with the others beyond it.

use crate::state::{Balancer, Server, SlowStart};
use oorandom::Rand64;

/// Balancers send no more than this many times what the settings allow a server in a window, however few that are: a
/// connection asks its load all its life, and counts here as if it asked for all of it in the warm-up.
const MOST_OF_ALLOWED: f64 = 2.0;
/// Roots of what is allowed that rule 4 puts down to chance in a window. The two calls that it adds go to turns.
const CHANCE_ROOTS: f64 = 2.0;
/// The golden section: its multiples spread evenly between 0 and 1, however many there are.
pub(crate) const GOLDEN: f64 = 0.618_033_988_749_895;

impl SlowStart {
    /// 1 when warm, the cold share at the start, evenly between.
    fn present(&self, age: f64) -> f64 {
        self.cold_share + (1.0 - self.cold_share) * (age / self.warm_after).clamp(0.0, 1.0)
    }
}

impl Balancer {
    /// Rule 4: this balancer's part of what a cold server can take. It holds so many near connections for a server's
    /// weight, by the part of the price as in R_i, or its part of what shops have agreed on is as many: one whose
    /// servers were lost, or that was killed, holds none. One that starts is filled over its warm-up; the budget fills
    /// at that pace times the present share, the multiple and what the rule puts down to chance. Beyond it there are turns.
    pub(crate) fn within_budget(&self, now: f64, server: &Server, age: f64) -> bool {
        let part = self.part_of_a_window(server, age);
        let fill = self.budget_of_a_window(part) / self.slow_start.window;
        let budget = server.budget.get() + fill * (now - server.budget_at.get()).max(0.0);
        // What finds no call for a while lapses: what many balancers had saved up came to one server in a burst.
        let most = part.max(1.0) + part.min(1.0);
        server.budget.set(budget - (budget - most).ceil().max(0.0));
        server.budget_at.set(now);
        let (turn, whose) = self.turn(now, server);
        server.budget.get() >= 1.0 || (whose == self.position && server.turn.get() != turn)
    }

    /// This balancer's part of the calls in a window that the settings allow a cold server.
    fn part_of_a_window(&self, server: &Server, age: f64) -> f64 {
        let near = self.place.factor(server.zone, 1.0).max(0.0);
        let agreed = self.shares.standing / self.siblings / self.most_near.get().max(f64::MIN_POSITIVE);
        let held = self.held_by_weight.get().max(agreed);
        near * held * self.size(server) * self.slow_start.present(age) * self.window_share()
    }

    /// What the settings allow in a window, as a part of what a server can hold.
    fn window_share(&self) -> f64 {
        self.slow_start.overload_multiple * self.slow_start.window / self.slow_start.warm_after
    }

    /// What this balancer sends in a window: its part of what all may, which is what the settings allow and the roots of
    /// that which the rule puts down to chance. A constant multiple was over the limit where dozens of calls are allowed,
    /// as the roots are a small part there.
    fn budget_of_a_window(&self, part: f64) -> f64 {
        let allowed = (self.siblings * part).max(f64::MIN_POSITIVE);
        let multiple = (1.0 + CHANCE_ROOTS / allowed.sqrt()).min(MOST_OF_ALLOWED);
        // However short the warm-up, a window brings no more than the server can hold now: a multiple of that
        // makes it fall.
        part * multiple.min(1.0 / self.window_share())
    }

    /// Rule 4 puts two requests a window down to chance, however little a server can do. Turns of a window each, which
    /// all balancers reckon alike, let one of them send one: two turns meet in any window, whoever else there is.
    fn turn(&self, now: f64, server: &Server) -> (f64, f64) {
        let turn = ((now - server.started.get()) / self.slow_start.window).floor();
        (turn, ((rank(0, server.id) + turn * GOLDEN).fract() * self.siblings).floor())
    }

    pub(crate) fn count_sent(&self, now: f64, server: &Server, load: f64) {
        if now - server.started.get() < 3.0 * self.slow_start.warm_after {
            // What no budget was left for went by its turn.
            let left = server.budget.get() - (load / self.mean_load()).max(1.0);
            server.budget.set(left + f64::from(u8::from(server.budget.get() < 1.0)));
            server.turn.set(self.turn(now, server).0);
        }
        server.tried_at.set(now);
    }
}

/// A figure from 0 to 1 that is any balancer's for this group and server.
pub(crate) fn rank(group: u64, server: u64) -> f64 {
    Rand64::new(u128::from(group) << 32 ^ u128::from(server)).rand_float()
}
