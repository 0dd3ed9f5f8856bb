//! The cold-start rule as the operators state it: how many calls all proxies together may send to a node that
//! has just started, in any window. The limit is computed from the settings that proxies are given and from
//! the node's size alone.

use crate::experiment::Experiment;
use crate::settings::{assumed_cold_share, assumed_warm_up_time};
use std::collections::VecDeque;

/// Below this number of calls per window the wider tolerance applies.
const SMALL_COUNT_LIMIT: f64 = 30.0;
/// Tolerances for the random variation of the number of calls: multiples of the square root of the limit, and
/// calls on top of that; for small limits and for the others.
const SMALL_COUNT_TOLERANCE: (f64, f64) = (3.0, 3.0);
const COUNT_TOLERANCE: (f64, f64) = (2.0, 2.0);

/// The parameters of the rule, from the settings. Times are seconds.
pub(super) struct ColdStartRule {
    cold_share: f64,
    warm_up_time: f64,
    overload_multiple: f64,
    window: f64,
    /// Mean load of a connection, in standard cores.
    mean_load: f64,
}

/// The calls sent to one node since its last start, by proxies that had been informed of the start.
#[derive(Default)]
pub(super) struct ColdNode {
    started: f64,
    /// Times of the calls within the last window.
    call_times: VecDeque<f64>,
    /// Whether a violation has been reported for this start; there is one at most.
    reported: bool,
}

impl ColdStartRule {
    /// Computes the parameters for an experiment.
    pub(super) fn new(experiment: &Experiment) -> ColdStartRule {
        let total_share: f64 = experiment.traffic.iter().map(|t| t.share).sum();
        let load: f64 = experiment.traffic.iter().map(|t| t.share * t.load * (1.0 - t.idle)).sum();
        ColdStartRule {
            cold_share: assumed_cold_share(experiment),
            warm_up_time: assumed_warm_up_time(experiment),
            overload_multiple: experiment.rules.overload_multiple,
            window: experiment.rules.overload_window,
            mean_load: load / total_share,
        }
    }

    /// The largest number of calls allowed in a window that ends at this age of the process, for a node of
    /// this many standard cores.
    fn max_calls(&self, age: f64, cores: f64) -> f64 {
        let present = self.cold_share + (1.0 - self.cold_share) * (age / self.warm_up_time).clamp(0.0, 1.0);
        let allowed =
            self.overload_multiple * self.window * present * cores / self.mean_load / self.warm_up_time;
        let (root_factor, extra) =
            if allowed < SMALL_COUNT_LIMIT { SMALL_COUNT_TOLERANCE } else { COUNT_TOLERANCE };
        allowed + root_factor * allowed.sqrt() + extra
    }
}

impl ColdNode {
    /// Records a call to the node whose process started at `started`. Returns the number of calls in the
    /// window and the limit when the limit is exceeded for the first time since that start.
    pub(super) fn record_call(
        &mut self,
        now: f64,
        started: f64,
        cores: f64,
        rule: &ColdStartRule,
    ) -> Option<(usize, f64)> {
        if started != self.started {
            *self = ColdNode { started, ..ColdNode::default() };
        }
        let age = now - started;
        if age >= rule.warm_up_time || self.reported {
            return None;
        }
        while self.call_times.front().is_some_and(|at| *at <= now - rule.window) {
            self.call_times.pop_front();
        }
        self.call_times.push_back(now);
        let limit = rule.max_calls(age, cores);
        self.reported = self.call_times.len() as f64 > limit;
        self.reported.then_some((self.call_times.len(), limit))
    }
}
