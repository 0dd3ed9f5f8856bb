//! The rule about cold nodes as the operators state it: how many requests all proxies together may send to one that has
//! just started, in any window. Reckoned from the settings that proxies are given and from the node's size alone.

use crate::experiment::Experiment;
use crate::settings::{told_cold_share, told_warm_after};
use std::collections::VecDeque;

/// Under so many requests a window more is put down to chance: by roots of them, and a count on top.
const FEW: f64 = 30.0;
const CHANCE_OF_FEW: (f64, f64) = (3.0, 3.0);
const CHANCE: (f64, f64) = (2.0, 2.0);

/// The settings' figures. Times are seconds.
pub(super) struct ColdStartRule {
    cold_share: f64,
    warm_after: f64,
    multiple: f64,
    window: f64,
    /// What a connection asks in the mean, in standard cores.
    mean_load: f64,
}

/// What was sent to one node since it last started, by proxies that had been told of the start.
#[derive(Default)]
pub(super) struct ColdNode {
    started: f64,
    /// When, within the last window.
    sent: VecDeque<f64>,
    /// A start counts once.
    broken: bool,
}

impl ColdStartRule {
    pub(super) fn of(of: &Experiment) -> ColdStartRule {
        let shares: f64 = of.traffic.iter().map(|t| t.share).sum();
        let load: f64 = of.traffic.iter().map(|t| t.share * t.load * (1.0 - t.idle)).sum();
        ColdStartRule {
            cold_share: told_cold_share(of),
            warm_after: told_warm_after(of),
            multiple: of.rules.overload_multiple,
            window: of.rules.overload_window,
            mean_load: load / shares,
        }
    }

    /// The most requests in a window that ends when the process is so old, at a node with so many standard cores.
    fn most(&self, age: f64, cores: f64) -> f64 {
        let present = self.cold_share + (1.0 - self.cold_share) * (age / self.warm_after).clamp(0.0, 1.0);
        let allowed = self.multiple * self.window * present * cores / self.mean_load / self.warm_after;
        let (roots, more) = if allowed < FEW { CHANCE_OF_FEW } else { CHANCE };
        allowed + roots * allowed.sqrt() + more
    }
}

impl ColdNode {
    /// A request goes to the node, whose process has started at this time; what the window then holds and may hold, where
    /// that is too much for the first time.
    pub(super) fn sent(
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
        if age >= rule.warm_after || self.broken {
            return None;
        }
        while self.sent.front().is_some_and(|at| *at <= now - rule.window) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        let most = rule.most(age, cores);
        self.broken = self.sent.len() as f64 > most;
        self.broken.then_some((self.sent.len(), most))
    }
}
