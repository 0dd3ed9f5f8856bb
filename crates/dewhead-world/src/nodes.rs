//! A node's machine as a fluid queue: work arrives, is queued and gets done. Only the load of connections is
//! modelled here; the connections themselves are in `node_connections`.

use crate::experiment::{Machine, NodeBehaviour, Rules};
use crate::random::RandomStream;
use std::collections::VecDeque;

/// The state of a node's process or machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NodeState {
    /// Serves and accepts calls.
    Up,
    /// Serves its connections and accepts no calls.
    Draining,
    /// No process runs: connections are refused.
    Dead,
    /// The machine has vanished: nothing is answered.
    Silent,
}

/// A connection setup. It is done once its own work and all work queued before it are done.
struct PendingSetup<C> {
    /// The value of `Node::requested_work` up to which work must be done.
    required_work: f64,
    /// The earliest end, as one core needs this long.
    earliest_end: f64,
    connection: C,
}

/// A node: its machine, the load of its connections and its queued work.
pub struct Node<C> {
    /// Index of the zone.
    pub zone: usize,
    /// Number of the cell.
    pub cell: u64,
    /// The current state.
    pub state: NodeState,
    /// When the process last started; negative infinity for the first process.
    pub started_at: f64,
    /// Fraction of the machine's capacity used by another service.
    pub neighbour_share: f64,
    /// Fraction of new connections that are answered with an error immediately.
    pub error_share: f64,
    /// Capacity of all cores when warm, in standard cores.
    pub warm_capacity: f64,
    /// Capacity of one core when warm, in standard cores.
    pub core_speed: f64,
    /// Limit of the number of connections.
    pub max_connections: usize,
    /// Number of connections, including those being set up.
    pub connections: usize,
    cold_share: f64,
    warm_up_time: f64,
    /// Load of the established connections, in standard cores.
    load: f64,
    /// Revenue rate of the connections that count as served, by traffic type.
    revenue_rate: Vec<f64>,
    /// Work requested since the start, and the part of it that is not done yet, in core-seconds.
    requested_work: f64,
    queued_work: f64,
    /// The time up to which the queue has been advanced.
    advanced_to: f64,
    pending_setups: VecDeque<PendingSetup<C>>,
    /// Samples while cold: the time, the work requested and the work possible until then.
    cold_samples: VecDeque<(f64, f64, f64)>,
    /// Connections received while cold: the time, the proxy and the load.
    pub cold_arrivals: VecDeque<(f64, usize, f64)>,
    /// Work that the capacity has allowed since the start, in core-seconds.
    possible_work: f64,
}

impl<C> Node<C> {
    /// Creates a node on a machine of this type, with random values from its ranges.
    pub fn new(
        machine: &Machine,
        behaviour: &NodeBehaviour,
        zone: usize,
        cell: u64,
        traffic_types: usize,
        random: &mut RandomStream,
    ) -> Node<C> {
        let speed = random.uniform_in(machine.speed);
        Node {
            zone,
            cell,
            state: NodeState::Up,
            started_at: f64::NEG_INFINITY,
            neighbour_share: 0.0,
            error_share: 0.0,
            warm_capacity: speed * machine.cores,
            core_speed: speed,
            max_connections: (behaviour.connections_per_core * machine.cores) as usize,
            connections: 0,
            cold_share: random.uniform_in(machine.cold_share),
            warm_up_time: random.uniform_in(machine.warm_up_time),
            load: 0.0,
            revenue_rate: vec![0.0; traffic_types],
            requested_work: 0.0,
            queued_work: 0.0,
            advanced_to: 0.0,
            pending_setups: VecDeque::new(),
            cold_samples: VecDeque::new(),
            cold_arrivals: VecDeque::new(),
            possible_work: 0.0,
        }
    }

    /// Starts a new process: cold, without connections or work.
    pub fn start(&mut self, now: f64) {
        self.state = NodeState::Up;
        self.started_at = now;
        self.reset(now);
    }

    /// Discards all connections and work, because the process has ended.
    pub fn reset(&mut self, now: f64) {
        self.connections = 0;
        self.load = 0.0;
        self.revenue_rate.iter_mut().for_each(|w| *w = 0.0);
        self.queued_work = 0.0;
        self.advanced_to = now;
        self.pending_setups.clear();
        self.cold_samples.clear();
        self.cold_arrivals.clear();
    }

    /// Whether the process has not reached its full capacity yet.
    pub fn is_cold(&self, now: f64) -> bool {
        now - self.started_at < self.warm_up_time
    }

    /// The current capacity, in standard cores.
    pub fn capacity(&self, now: f64) -> f64 {
        let age = ((now - self.started_at) / self.warm_up_time).clamp(0.0, 1.0);
        self.warm_capacity * (self.cold_share + (1.0 - self.cold_share) * age) * (1.0 - self.neighbour_share)
    }

    /// The load of the established connections, in standard cores.
    pub fn load(&self) -> f64 {
        self.load
    }

    /// Advances the queue to `now`.
    pub fn advance(&mut self, now: f64) {
        let elapsed = now - self.advanced_to;
        if elapsed <= 0.0 {
            return;
        }
        let capacity = self.capacity((self.advanced_to + now) / 2.0);
        self.advanced_to = now;
        self.requested_work += self.load * elapsed;
        self.possible_work += capacity * elapsed;
        self.queued_work = (self.queued_work + (self.load - capacity) * elapsed).max(0.0);
    }

    /// The time until work that is requested now is done, in seconds.
    pub fn queueing_delay(&self, now: f64) -> f64 {
        self.queued_work / self.capacity(now).max(1e-9)
    }

    /// Changes the load by `delta` standard cores.
    pub fn change_load(&mut self, now: f64, delta: f64) {
        self.advance(now);
        self.load = (self.load + delta).max(0.0);
    }

    /// Changes the revenue rate that counts as served.
    pub fn add_served(&mut self, traffic_type: usize, revenue_rate: f64) {
        self.revenue_rate[traffic_type] = (self.revenue_rate[traffic_type] + revenue_rate).max(0.0);
    }

    /// The revenue rate that counts as served, by traffic type.
    pub fn served_revenue(&self) -> &[f64] {
        &self.revenue_rate
    }

    /// Queues the setup of a connection.
    pub fn begin_setup(&mut self, now: f64, work: f64, connection: C) {
        self.advance(now);
        self.requested_work += work;
        self.queued_work += work;
        self.pending_setups.push_back(PendingSetup {
            required_work: self.requested_work,
            earliest_end: now + work / self.core_speed,
            connection,
        });
    }

    /// The time at which the next setup is done if the load stays the same.
    pub fn next_setup_time(&self) -> Option<f64> {
        let next = self.pending_setups.front()?;
        let remaining = (next.required_work - (self.requested_work - self.queued_work)).max(0.0);
        Some(
            (self.advanced_to + remaining / self.capacity(self.advanced_to).max(1e-9)).max(next.earliest_end),
        )
    }

    /// Removes the next setup and returns its connection, if it is done by now.
    pub fn pop_finished_setup(&mut self, now: f64) -> Option<C> {
        self.advance(now);
        let next = self.pending_setups.front()?;
        let remaining = next.required_work - (self.requested_work - self.queued_work);
        if remaining > 1e-6 * self.warm_capacity || next.earliest_end > now + 1e-9 {
            return None;
        }
        self.pending_setups.pop_front().map(|s| s.connection)
    }

    /// Whether a cold process crashes: whether the work requested over the rule's window exceeds the rule's
    /// multiple of the work possible.
    pub fn check_cold_overload(&mut self, now: f64, rules: &Rules) -> bool {
        if !self.is_cold(now) {
            self.cold_samples.clear();
            self.cold_arrivals.clear();
            return false;
        }
        self.advance(now);
        self.cold_samples.push_back((now, self.requested_work, self.possible_work));
        while self.cold_samples.get(1).is_some_and(|(at, ..)| *at <= now - rules.overload_window) {
            self.cold_samples.pop_front();
        }
        while self.cold_arrivals.front().is_some_and(|(at, ..)| *at < now - rules.overload_window) {
            self.cold_arrivals.pop_front();
        }
        let Some((window_start, requested, possible)) = self.cold_samples.front() else { return false };
        let spans_window = now - window_start >= rules.overload_window * 0.99;
        // The tolerance for random variation is a tenth of a second of a warm machine's work.
        spans_window
            && self.requested_work - requested
                > rules.overload_multiple * (self.possible_work - possible) + 0.1 * self.warm_capacity
    }
}
