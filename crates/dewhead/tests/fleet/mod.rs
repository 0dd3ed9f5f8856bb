//! A simulation of many balancers over the same servers during a rolling release, with clients that reconnect. It
//! measures what all balancers together send to a cold server. A server's capacity is a number of mean connections in
//! proportion to its weight; it drops the newest connections beyond that.

use dewhead::host_interface::BalancerHost;
use dewhead::state::{Balancer, Call, LegPolicy, ListSubscription, Locality, SlowStart, TenantShares};
use dewhead::types::{
    CallRequest, Idempotency, LegOutcome, ListUpdate, ServerEntry, ServerState, Tenant, TrafficType,
};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The capacity of a warm server of weight 1 in mean connections, unless a scenario says otherwise.
const SERVER_CAPACITY: f64 = 16.0;
/// The cost of a group at each server that has any of its connections, in mean connections.
const GROUP_COST: f64 = 3.0;
/// The simulation's time step in seconds.
const STEP: f64 = 0.05;
/// Rule 4: the share of its full capacity that a server has when it starts, 0 to 1.
const COLD_SHARE: f64 = 0.13;
/// Rule 4: the age in seconds at which a server has its full capacity.
const WARM_AFTER: f64 = 24.0;
/// Rule 4: the multiple of its present capacity in a window at which a server fails.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Rule 4: the length of a window in seconds.
const WINDOW: f64 = 1.5;

fn traffic_type() -> TrafficType {
    TrafficType {
        idempotency: Idempotency::Repeatable,
        repeat_window: 2.0,
        setup_target: 0.5,
        message_target: 0.1,
        guard_time: 3.0,
        revenue: 1.0,
    }
}

fn ready_server(id: u64, weight: f64, started: Option<f64>) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, state: ServerState::Ready, weight, started }
}

/// The settings of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub balancer_count: usize,
    /// The number of balancers according to the balancers' settings.
    pub configured_balancers: usize,
    pub server_count: usize,
    /// The capacity of a warm server of weight 1 in mean connections.
    pub server_capacity: f64,
    /// The connections at the start, relative to the capacity of all servers.
    pub initial_load: f64,
    /// The tenants' quotas relative to the capacity of all servers; `None` if there are no quotas.
    pub quota_share: Option<f64>,
    /// The number of groups of connections, which have unequal sizes; 0 for none.
    pub group_count: usize,
    /// Whether some balancers have several times as many clients as others.
    pub uneven_clients: bool,
    /// The time in seconds at which half of the clients disconnect at once and reconnect.
    pub burst_at: Option<f64>,
    /// Whether all balancers are restarted, a tenth at a time, and adopt their established connections again.
    pub restarts: bool,
    /// Every n-th balancer receives changes of the list 2 s later than the others.
    pub late_every: Option<usize>,
    /// The simulated time in seconds.
    pub duration: f64,
    pub seed: u128,
}

impl Scenario {
    /// A plain release.
    pub fn new(balancer_count: usize, seed: u128) -> Scenario {
        Scenario {
            balancer_count,
            configured_balancers: balancer_count,
            server_count: 40,
            server_capacity: SERVER_CAPACITY,
            initial_load: 0.35,
            quota_share: None,
            group_count: 0,
            uneven_clients: false,
            burst_at: None,
            restarts: false,
            late_every: None,
            duration: 30.0,
            seed,
        }
    }
}

/// What a simulation has measured.
#[derive(Debug)]
pub struct Outcome {
    /// The most that any cold server was sent in a window, relative to rule 4's limit.
    pub peak_ratio: f64,
    /// The server's age in seconds, the calls sent and the calls allowed in that window.
    pub peak_window: (f64, usize, f64),
    /// The most relative to the limit with three square roots and three calls where fewer than 30 are allowed.
    pub peak_ratio_as_stated: f64,
    /// The connections at the end on servers that the release has started.
    pub on_new_servers: usize,
    /// The calls that were refused over the whole simulation.
    pub refused_calls: usize,
}

/// Queues the legs and relocations that the balancers request.
#[derive(Default)]
struct QueueingHost {
    /// The call and the server of each leg.
    sent_legs: RefCell<VecDeque<(u64, u64)>>,
    relocated_calls: RefCell<VecDeque<u64>>,
}

impl BalancerHost for QueueingHost {
    fn send_leg(&self, call: u64, server: u64, _: f64) {
        self.sent_legs.borrow_mut().push_back((call, server));
    }
    fn reject(&self, _: u64, _: Option<f64>) {}
    fn release(&self, _: u64) {}
    fn cancel_leg(&self, _: u64, _: u32) {}
    fn relocate(&self, call: u64) {
        self.relocated_calls.borrow_mut().push_back(call);
    }
    fn set_call_timer(&self, _: u64, _: f64) {}
    fn set_timer(&self, _: f64) {}
    fn subscribe_to_list(&self) {}
    fn probe(&self, _: u64) -> bool {
        false
    }
    fn log(&self, _: &str) {}
}

struct Client {
    group: Option<u64>,
    /// When the client connects next, if it has no connection.
    connects_at: f64,
    /// The balancer, the call and the server of the established connection.
    connection: Option<(usize, Rc<Call>, u64)>,
}

struct SimulatedServer {
    entry: ServerEntry,
    /// When a draining server has closed its last connection.
    drained_at: f64,
    /// The connected clients in the order of their connections, the newest last.
    clients: Vec<usize>,
    /// When calls were sent here.
    sent_at: Vec<f64>,
}

/// The state of a simulation.
pub struct Fleet {
    scenario: Scenario,
    now: Rc<Cell<f64>>,
    rng: Rand64,
    host: Rc<QueueingHost>,
    balancers: Vec<Rc<Balancer>>,
    clients: Vec<Client>,
    client_by_call: BTreeMap<u64, usize>,
    servers: BTreeMap<u64, SimulatedServer>,
    /// Changes of the list that are not delivered yet: the time, the balancer and the entry.
    pending_updates: Vec<(f64, usize, ServerEntry)>,
    last_call_id: u64,
    refused_calls: usize,
}

impl Fleet {
    /// Builds and starts the balancer at this position.
    fn build_balancer(&self, position: usize) -> Rc<Balancer> {
        let total_capacity = self.scenario.server_capacity * self.scenario.server_count as f64 * 2.0;
        let tenants = match self.scenario.quota_share {
            Some(share) => vec![Tenant { share: 1.0, quota_connections: share * total_capacity }],
            None => Vec::new(),
        };
        let leg_policy =
            LegPolicy { max_legs: 3, two_at_once: false, may_cancel: true, max_retry_after: Some(1.0) };
        let balancer = Balancer::new(
            self.scenario.seed << 16 | position as u128 | (self.last_call_id as u128) << 64,
            self.host.clone(),
            position,
            self.scenario.configured_balancers,
            vec![traffic_type()],
            TenantShares::new(tenants, 0.1),
            ListSubscription::new(false, 10.0),
            Locality::new(0, 0.0, 0.01),
            1,
            SlowStart {
                cold_share: COLD_SHARE,
                warm_after: WARM_AFTER,
                overload_multiple: OVERLOAD_MULTIPLE,
                window: WINDOW,
            },
            leg_policy,
            if self.scenario.group_count > 0 { 1.0 } else { 0.0 },
            false,
            false,
        );
        balancer.start(self.now.get());
        let entries: Vec<ServerEntry> = self.servers.values().map(|s| s.entry.clone()).collect();
        balancer.on_list_update(self.now.get(), ListUpdate::Full, &entries);
        balancer
    }

    /// Runs a scenario.
    pub fn simulate(scenario: Scenario) -> Outcome {
        let mut fleet = Fleet {
            now: Rc::new(Cell::new(100.0)),
            rng: Rand64::new(scenario.seed),
            host: Rc::default(),
            balancers: Vec::new(),
            clients: Vec::new(),
            client_by_call: BTreeMap::new(),
            servers: BTreeMap::new(),
            pending_updates: Vec::new(),
            last_call_id: 0,
            refused_calls: 0,
            scenario,
        };
        let scenario = fleet.scenario.clone();
        for id in 0..scenario.server_count as u64 {
            // Weights of 1 and 3 by turns, 2 in the mean.
            let entry = ready_server(1 + id * 7, if id % 2 == 0 { 3.0 } else { 1.0 }, None);
            fleet.add_server(entry);
        }
        fleet.balancers =
            (0..scenario.balancer_count).map(|position| fleet.build_balancer(position)).collect();
        let client_count =
            (scenario.initial_load * scenario.server_capacity * 2.0 * scenario.server_count as f64) as usize;
        for _ in 0..client_count {
            // A group's size is in proportion to one over its number, so that the first is about as large as the second
            // and the third together.
            let sizes = (1..=scenario.group_count).map(|g| 1.0 / g as f64).sum::<f64>();
            let mut draw = fleet.rng.rand_float() * sizes;
            let group = (1..=scenario.group_count as u64).find(|g| {
                draw -= 1.0 / *g as f64;
                draw <= 0.0
            });
            let connects_at = 100.0 + 3.0 * fleet.rng.rand_float();
            fleet.clients.push(Client { group, connects_at, connection: None });
        }
        fleet.run()
    }

    fn add_server(&mut self, entry: ServerEntry) {
        let server = SimulatedServer {
            entry: entry.clone(),
            drained_at: f64::INFINITY,
            clients: Vec::new(),
            sent_at: Vec::new(),
        };
        self.servers.insert(entry.id, server);
    }

    /// Schedules the delivery of a changed entry to all balancers.
    fn announce(&mut self, entry: &ServerEntry) {
        for position in 0..self.scenario.balancer_count {
            let late = self.scenario.late_every.is_some_and(|n| position % n == 0);
            self.pending_updates.push((
                self.now.get() + if late { 2.5 } else { 0.5 },
                position,
                entry.clone(),
            ));
        }
    }

    fn run(mut self) -> Outcome {
        let steps = (self.scenario.duration / STEP) as usize;
        let batch = self.scenario.server_count / 10;
        for step in 0..steps {
            let elapsed = step as f64 * STEP;
            let now = 100.0 + elapsed;
            self.now.set(now);
            // From 5 s on, a tenth of the servers starts to drain every 2 s until half have; their successors start 2 s
            // later.
            if step % 40 == 0 && (5.0..15.0).contains(&elapsed) {
                let first = (elapsed / 2.0 - 3.0).max(0.0) as usize * batch;
                let draining: Vec<u64> = self.servers.keys().copied().skip(first).take(batch).collect();
                for id in draining {
                    let server = self.servers.get_mut(&id).unwrap();
                    server.drained_at = now + 4.0;
                    server.entry.state = ServerState::Draining;
                    let entry = server.entry.clone();
                    self.announce(&entry);
                    let successor = ready_server(id + 1_000_000, entry.weight, Some(now + 2.0));
                    self.add_server(successor.clone());
                    self.pending_updates.extend((0..self.scenario.balancer_count).map(|position| {
                        let late = self.scenario.late_every.is_some_and(|n| position % n == 0);
                        (now + if late { 4.5 } else { 2.5 }, position, successor.clone())
                    }));
                }
            }
            let due_updates: Vec<_> = self.pending_updates.extract_if(.., |u| u.0 <= now).collect();
            for (_, position, entry) in due_updates {
                self.balancers[position].on_list_update(now, ListUpdate::Delta, &[entry]);
            }
            if self.scenario.restarts && step % 30 == 0 {
                let tenth = step / 30;
                let positions: Vec<usize> = (0..self.scenario.balancer_count)
                    .filter(|position| position % 10 == tenth.wrapping_sub(4))
                    .collect();
                positions.into_iter().for_each(|position| self.restart(position));
            }
            if self.scenario.burst_at.is_some_and(|at| (at / STEP) as usize == step) {
                for client in (0..self.clients.len()).step_by(2) {
                    self.disconnect(client, LegOutcome::Cancelled, 0.2);
                }
            }
            self.close_connections(now);
            for client in 0..self.clients.len() {
                if self.clients[client].connection.is_none() && self.clients[client].connects_at <= now {
                    self.connect(client);
                }
            }
        }
        self.outcome()
    }

    /// Restarts a balancer, which adopts its established connections again.
    fn restart(&mut self, position: usize) {
        self.last_call_id += 1;
        self.balancers[position] = self.build_balancer(position);
        let now = self.now.get();
        for client in 0..self.clients.len() {
            let Some((balancer, _, server)) = self.clients[client].connection.clone() else { continue };
            if balancer == position {
                self.last_call_id += 1;
                let request = CallRequest {
                    traffic_type: 0,
                    tenant: None,
                    deadline: now + 3.0,
                    load_hint: None,
                    group: self.clients[client].group,
                };
                let call = self.balancers[position].adopt_connection(now, self.last_call_id, request, server);
                self.client_by_call.insert(self.last_call_id, client);
                self.clients[client].connection = Some((position, call, server));
            }
        }
    }

    /// Ends a client's connection, if it has one. The client reconnects after `mean_absence` seconds in the mean.
    fn disconnect(&mut self, client: usize, outcome: LegOutcome, mean_absence: f64) {
        let now = self.now.get();
        if let Some((_, call, server)) = self.clients[client].connection.take() {
            call.on_leg_ended(now, 0, outcome, true);
            self.servers.get_mut(&server).unwrap().clients.retain(|c| *c != client);
            self.clients[client].connects_at = now + mean_absence * (0.5 + self.rng.rand_float());
        }
    }

    /// Closes the connections that draining servers give up, that overloaded servers drop and that balancers relocate.
    fn close_connections(&mut self, now: f64) {
        let ids: Vec<u64> = self.servers.keys().copied().collect();
        for id in ids {
            let server = &self.servers[&id];
            let started = server.entry.started.unwrap_or(f64::NEG_INFINITY);
            let capacity_share = (COLD_SHARE + (1.0 - COLD_SHARE) * (now - started) / WARM_AFTER).min(1.0);
            let capacity = self.scenario.server_capacity * server.entry.weight * capacity_share;
            if server.entry.state == ServerState::Draining {
                let steps_left = ((server.drained_at - now) / STEP).max(1.0);
                let count = (server.clients.len() as f64 / steps_left).ceil() as usize;
                let oldest: Vec<usize> = server.clients.iter().take(count).copied().collect();
                oldest.into_iter().for_each(|c| self.disconnect(c, LegOutcome::Cancelled, 0.3));
            }
            loop {
                let server = &self.servers[&id];
                let groups: BTreeSet<u64> =
                    server.clients.iter().filter_map(|c| self.clients[*c].group).collect();
                let load = server.clients.len() as f64 + GROUP_COST * groups.len() as f64;
                match server.clients.last() {
                    // A server always has capacity for one connection and its group.
                    Some(newest) if load > capacity.max(1.0 + GROUP_COST) => {
                        let newest = *newest;
                        self.disconnect(newest, LegOutcome::Broken, 0.5);
                    }
                    _ => break,
                }
            }
        }
        loop {
            let Some(call) = self.host.relocated_calls.borrow_mut().pop_front() else { break };
            if let Some(client) = self.client_by_call.remove(&call) {
                self.disconnect(client, LegOutcome::Cancelled, 0.3);
            }
        }
    }

    /// Passes a call of the client to a random balancer.
    fn connect(&mut self, client: usize) {
        let now = self.now.get();
        let draw = self.rng.rand_float();
        // If clients are uneven, an eighth of the balancers has half of the clients.
        let fraction = if self.scenario.uneven_clients && draw < 0.5 { draw / 4.0 } else { draw };
        let position = (fraction * self.scenario.balancer_count as f64) as usize;
        self.last_call_id += 1;
        let request = CallRequest {
            traffic_type: 0,
            tenant: None,
            deadline: now + 3.0,
            load_hint: None,
            group: self.clients[client].group,
        };
        let call = self.balancers[position].accept_call(now, self.last_call_id, request);
        let sent_leg = self.host.sent_legs.borrow_mut().pop_front();
        match sent_leg {
            Some((_, id)) => {
                let server = self.servers.get_mut(&id).unwrap();
                server.sent_at.push(now);
                server.clients.push(client);
                call.on_established(now, 0);
                self.client_by_call.insert(self.last_call_id, client);
                self.clients[client].connection = Some((position, call, id));
            }
            None => {
                self.refused_calls += 1;
                self.clients[client].connects_at = now + 0.5 + self.rng.rand_float();
            }
        }
    }

    fn outcome(self) -> Outcome {
        let mut outcome = Outcome {
            peak_ratio: 0.0,
            peak_window: (0.0, 0, 0.0),
            peak_ratio_as_stated: 0.0,
            on_new_servers: 0,
            refused_calls: self.refused_calls,
        };
        for server in self.servers.values() {
            let Some(started) = server.entry.started else { continue };
            outcome.on_new_servers += server.clients.len();
            for (first, window_start) in server.sent_at.iter().enumerate() {
                let age = window_start - started;
                let sent =
                    server.sent_at[first..].iter().take_while(|at| **at <= window_start + WINDOW).count();
                // The mean share of its capacity that the server has during the window.
                let capacity_share =
                    COLD_SHARE + (1.0 - COLD_SHARE) * ((age + WINDOW / 2.0) / WARM_AFTER).min(1.0);
                let allowed = OVERLOAD_MULTIPLE
                    * WINDOW
                    * self.scenario.server_capacity
                    * server.entry.weight
                    * capacity_share
                    / WARM_AFTER;
                let ratio = sent as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0);
                let (roots, extra_calls) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
                let ratio_as_stated = sent as f64 / (allowed + roots * allowed.sqrt() + extra_calls);
                if age < WARM_AFTER {
                    outcome.peak_ratio_as_stated = outcome.peak_ratio_as_stated.max(ratio_as_stated);
                }
                if age < WARM_AFTER && ratio > outcome.peak_ratio {
                    (outcome.peak_ratio, outcome.peak_window) = (ratio, (age, sent, allowed));
                }
            }
        }
        outcome
    }
}
