//! A node's machine: work that comes in, piles up and is done, as a fluid. No connections here, only what they ask.

use crate::experiment::{Machine, NodeBehaviour, Rules};
use crate::random::RandomStream;
use std::collections::VecDeque;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NodeState {
    Up,
    /// Serves what it has, takes nothing new.
    Draining,
    /// The process is gone: connects are refused.
    Dead,
    /// The machine has vanished: nothing comes back.
    Silent,
}

/// A connection being set up: done once all work that was there before it, and its own, is done.
struct PendingSetup<C> {
    mark: f64,
    /// One core takes so long for it at the least.
    earliest: f64,
    connection: C,
}

pub struct Node<C> {
    pub zone: usize,
    pub cell: u64,
    pub state: NodeState,
    /// When the process last started; long ago at the beginning.
    pub started_at: f64,
    /// The part of the machine that a neighbour takes.
    pub neighbour_share: f64,
    /// The part of new connections that it answers with an error at once.
    pub error_share: f64,
    /// What all warm cores do, and one of them, in standard cores.
    pub warm_capacity: f64,
    pub core_speed: f64,
    pub max_connections: usize,
    /// Connections held, those being set up among them.
    pub connections: usize,
    cold_share: f64,
    warm_after: f64,
    /// Load asked by what stands.
    load: f64,
    /// Worth of what stands and is counted, by traffic type.
    revenue_rate: Vec<f64>,
    /// Work asked since the start, and how much of it is not done yet, in core-seconds.
    asked: f64,
    pile: f64,
    at: f64,
    set_ups: VecDeque<PendingSetup<C>>,
    /// While cold: what was asked by when, what could be done by then, and who brought how much.
    cold: VecDeque<(f64, f64, f64)>,
    pub cold_arrivals: VecDeque<(f64, usize, f64)>,
    able: f64,
}

impl<C> Node<C> {
    pub fn new(
        machine: &Machine,
        ways: &NodeBehaviour,
        zone: usize,
        cell: u64,
        traffic_types: usize,
        random: &mut RandomStream,
    ) -> Node<C> {
        let core = random.uniform_in(machine.speed);
        Node {
            zone,
            cell,
            state: NodeState::Up,
            started_at: f64::NEG_INFINITY,
            neighbour_share: 0.0,
            error_share: 0.0,
            warm_capacity: core * machine.cores,
            core_speed: core,
            max_connections: (ways.connections_per_core * machine.cores) as usize,
            connections: 0,
            cold_share: random.uniform_in(machine.cold_share),
            warm_after: random.uniform_in(machine.warm_up_time),
            load: 0.0,
            revenue_rate: vec![0.0; traffic_types],
            asked: 0.0,
            pile: 0.0,
            at: 0.0,
            set_ups: VecDeque::new(),
            cold: VecDeque::new(),
            cold_arrivals: VecDeque::new(),
            able: 0.0,
        }
    }

    /// The process starts anew: cold, with nothing in hand.
    pub fn start(&mut self, now: f64) {
        self.state = NodeState::Up;
        self.started_at = now;
        self.reset(now);
    }

    /// All that it held is gone with its process.
    pub fn reset(&mut self, now: f64) {
        self.connections = 0;
        self.load = 0.0;
        self.revenue_rate.iter_mut().for_each(|w| *w = 0.0);
        self.pile = 0.0;
        self.at = now;
        self.set_ups.clear();
        self.cold.clear();
        self.cold_arrivals.clear();
    }

    pub fn is_cold(&self, now: f64) -> bool {
        now - self.started_at < self.warm_after
    }

    /// What it can do now.
    pub fn capacity(&self, now: f64) -> f64 {
        let age = ((now - self.started_at) / self.warm_after).clamp(0.0, 1.0);
        self.warm_capacity * (self.cold_share + (1.0 - self.cold_share) * age) * (1.0 - self.neighbour_share)
    }

    pub fn load(&self) -> f64 {
        self.load
    }

    /// Moves its work on to `now`.
    pub fn advance(&mut self, now: f64) {
        let gap = now - self.at;
        if gap <= 0.0 {
            return;
        }
        let able = self.capacity((self.at + now) / 2.0);
        self.at = now;
        self.asked += self.load * gap;
        self.able += able * gap;
        self.pile = (self.pile + (self.load - able) * gap).max(0.0);
    }

    /// How long what is asked now waits until it is done.
    pub fn queueing_delay(&self, now: f64) -> f64 {
        self.pile / self.capacity(now).max(1e-9)
    }

    /// The load of what stands changes.
    pub fn change_load(&mut self, now: f64, by: f64) {
        self.advance(now);
        self.load = (self.load + by).max(0.0);
    }

    /// A connection stands here from now on as far as clients are served, or no longer.
    pub fn add_served(&mut self, traffic_type: usize, revenue_rate: f64) {
        self.revenue_rate[traffic_type] = (self.revenue_rate[traffic_type] + revenue_rate).max(0.0);
    }

    /// The worth of what stands, by traffic type.
    pub fn served_revenue(&self) -> &[f64] {
        &self.revenue_rate
    }

    /// A new connection's set-up begins.
    pub fn begin_setup(&mut self, now: f64, work: f64, connection: C) {
        self.advance(now);
        self.asked += work;
        self.pile += work;
        self.set_ups.push_back(PendingSetup {
            mark: self.asked,
            earliest: now + work / self.core_speed,
            connection,
        });
    }

    /// When the next set-up is done, as things stand.
    pub fn next_setup_time(&self) -> Option<f64> {
        let first = self.set_ups.front()?;
        let left = (first.mark - (self.asked - self.pile)).max(0.0);
        Some((self.at + left / self.capacity(self.at).max(1e-9)).max(first.earliest))
    }

    /// The next set-up, if it is done by now.
    pub fn pop_finished_setup(&mut self, now: f64) -> Option<C> {
        self.advance(now);
        let first = self.set_ups.front()?;
        let left = first.mark - (self.asked - self.pile);
        if left > 1e-6 * self.warm_capacity || first.earliest > now + 1e-9 {
            return None;
        }
        self.set_ups.pop_front().map(|s| s.connection)
    }

    /// Whether a cold process falls over: asked more, within the rule's time, than so many times what it could do.
    pub fn check_cold_overload(&mut self, now: f64, rules: &Rules) -> bool {
        if !self.is_cold(now) {
            self.cold.clear();
            self.cold_arrivals.clear();
            return false;
        }
        self.advance(now);
        self.cold.push_back((now, self.asked, self.able));
        while self.cold.get(1).is_some_and(|(at, ..)| *at <= now - rules.overload_window) {
            self.cold.pop_front();
        }
        while self.cold_arrivals.front().is_some_and(|(at, ..)| *at < now - rules.overload_window) {
            self.cold_arrivals.pop_front();
        }
        let Some((since, asked, able)) = self.cold.front() else { return false };
        let whole = now - since >= rules.overload_window * 0.99;
        // A little slack for chance: a tenth of a second of a warm machine's work.
        whole && self.asked - asked > rules.overload_multiple * (self.able - able) + 0.1 * self.warm_capacity
    }
}
