//! A proxy that follows the four rules for proxies, places connections by one of the policies of `policy` and
//! does not adapt to results. Dewhead is compared with it, and faulty variants of it test the auditor.

use crate::policy::{Policy, SharedSnapshots};
use crate::simulated::Proxy;
use dewhead::types::{Idempotency, RepeatScope, ServerState, TrafficType};
use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event};
use dewhead_proxy::wire::answers::{parse_server_message, ServerMessage};
use dewhead_proxy::wire::first_line::{parse_first_line, FirstLine};
use dewhead_proxy::wire::http::WatchResponse;
use dewhead_proxy::wire::lines::{first_line_end, trim_line_end, LineScanner};
use dewhead_proxy::wire::server_list::{parse_list, server_id, Entry};
use dewhead_startup::{KnownNames, Startup};
use dewhead_world::experiment::Experiment;
use oorandom::Rand64;
use serde_json::Value;
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a faulty proxy does wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// Sends `ERR` after a `BUSY`.
    AnswersTwice,
    /// Sometimes closes a client's connection without an answer.
    ClosesUnanswered,
    /// Sometimes never answers a call and keeps its connection open.
    NeverAnswers,
    /// Sometimes confirms a call that no server has confirmed.
    FabricatesAnswers,
    /// Continues to start legs at draining nodes.
    IgnoresDrains,
    /// Starts all legs at the node that was started last.
    FloodsColdNodes,
    /// Starts a second leg while the first is still open.
    OverlapsLegs,
    /// Starts more legs than are allowed.
    ExceedsMaxLegs,
    /// Repeats once-only calls after a leg that may have run.
    RepeatsOnceOnly,
    /// Rejects once-only calls that may have run.
    RejectsPossiblyExecuted,
    /// Repeats referenced calls that may have run outside their scope.
    IgnoresRepeatScope,
    /// Sometimes closes established connections.
    ClosesEstablished,
    /// Sometimes delays client lines by two seconds.
    DelaysLines,
    /// Sometimes changes a client line.
    CorruptsLines,
    /// Keeps the connections of clients whose server has closed.
    KeepsOrphanedClients,
    /// Ends its process on a stop while connections are established.
    ExitsImmediately,
}

/// All faults.
pub const ALL_FAULTS: [Fault; 16] = [
    Fault::AnswersTwice,
    Fault::ClosesUnanswered,
    Fault::NeverAnswers,
    Fault::FabricatesAnswers,
    Fault::IgnoresDrains,
    Fault::FloodsColdNodes,
    Fault::OverlapsLegs,
    Fault::ExceedsMaxLegs,
    Fault::RepeatsOnceOnly,
    Fault::RejectsPossiblyExecuted,
    Fault::IgnoresRepeatScope,
    Fault::ClosesEstablished,
    Fault::DelaysLines,
    Fault::CorruptsLines,
    Fault::KeepsOrphanedClients,
    Fault::ExitsImmediately,
];

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    AwaitingFirstLine,
    SettingUp,
    Established,
    /// The last message is written; the client is to close the connection.
    Closing,
}

/// A client's connection and its call. Times are in seconds of Unix time.
struct Session {
    stage: Stage,
    /// What the client has sent up to and including its first line.
    head: Vec<u8>,
    /// Where the timeout stands in the first line.
    timeout_range: std::ops::Range<usize>,
    traffic_type: usize,
    deadline: f64,
    setup_deadline: f64,
    /// The node that the client names, if its connection is to be restored there.
    fixed_node: Option<u64>,
    leg: Option<usize>,
    legs_started: u32,
    tried_nodes: Vec<u64>,
    /// The zone, the cell and the end time of the first leg that may have run the call.
    first_possible_run: Option<(usize, u64, f64)>,
    /// When the oldest client line without a reply from the server was received.
    unanswered_since: Option<f64>,
    /// The load that the server last reported for this connection, or before that the client's hint, in standard
    /// cores.
    load: f64,
    server_lines: LineScanner,
    /// Whether the client is moved at the next end of a server line.
    move_pending: bool,
    /// The id of the timer that applies; older ones are ignored when they expire.
    timer_id: u64,
    /// The id of the session's first timer, which distinguishes the session from later ones in the same slot.
    session_id: u64,
}

/// An attempt to set up a call at a node, then the connection itself.
struct Leg {
    session: usize,
    node: u64,
    head_written: bool,
    established: bool,
    /// What the server has sent, until the connection is established.
    answer: Vec<u8>,
    /// Whether the server has sent `BYE` or `MOVE`.
    end_announced: bool,
    deadline: f64,
    /// Client bytes that the fault `DelaysLines` keeps back.
    delayed: Vec<u8>,
}

struct Node {
    name: String,
    zone: usize,
    cell: u64,
    address: SocketAddr,
    ready: bool,
    started: Option<f64>,
    /// Legs of this proxy, in all stages.
    legs: u32,
    /// How many more legs may be started while the node is cold, as of `cold_budget_at`.
    cold_budget: f64,
    cold_budget_at: f64,
}

/// What is due when a timer expires.
enum Timer {
    /// A session's timeout: its slot and the timer's id.
    Session(usize, u64),
    /// A leg's timeout: its slot and the timer's id.
    Leg(usize, u64),
    /// A client is moved because the proxy stops: the session's slot and id.
    MoveForStop(usize, u64),
    /// The watch is opened again unless it is open.
    Watch,
    Rebalance,
    Exit,
    /// Delayed bytes are written to this leg.
    WriteDelayed(usize),
}

/// The baseline proxy; its interface is the same as the reducer's.
pub struct BaselineProxy {
    policy: Policy,
    fault: Option<Fault>,
    snapshots: SharedSnapshots,
    random: Rand64,
    traffic_types: Vec<TrafficType>,
    known_names: KnownNames,
    groups: bool,
    max_legs: u32,
    max_retry_after: f64,
    connect_timeout: f64,
    max_guard_time: f64,
    warm_up_time: f64,
    proxy_count: f64,
    cross_zone_cost: f64,
    home_zone: usize,
    nodes: BTreeMap<u64, Node>,
    round_robin_index: usize,
    sessions: Slab<Session>,
    legs: Slab<Leg>,
    last_id: u64,
    timers: BTreeMap<(u64, u64), Timer>,
    watch_response: Option<WatchResponse>,
    list_version: u64,
    discovery: SocketAddr,
    stopping_since: Option<f64>,
    effects: Vec<Effect>,
}

/// A client is moved when its server has not answered a line for this long, in seconds.
const SERVER_SILENCE_TIMEOUT: f64 = 5.0;
/// Delay before a lost watch is opened again, in seconds.
const WATCH_RETRY_DELAY: f64 = 0.3;
/// A watch that is not open after this time is opened again, in seconds.
const WATCH_OPEN_TIMEOUT: f64 = 2.6;
/// Interval at which the oracle moves connections off overloaded nodes, in seconds.
const REBALANCE_INTERVAL: f64 = 0.25;
/// Utilisation up to which the oracle fills a node.
const MAX_UTILISATION: f64 = 0.93;
/// A proxy with an intermittent fault misbehaves once in this many occasions on average.
const FAULT_ODDS: u64 = 7;

impl BaselineProxy {
    /// A proxy that has just been started with the list of nodes that an earlier process stored.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: f64,
        startup: Startup,
        experiment: &Experiment,
        position: usize,
        seed: u128,
        discovery: SocketAddr,
        stored_list: &Value,
        policy: Policy,
        fault: Option<Fault>,
        snapshots: SharedSnapshots,
    ) -> BaselineProxy {
        let (connect_timeout, max_guard_time, groups) =
            (startup.connect_timeout, startup.longest_guard_time, startup.groups);
        let (traffic_types, known_names) = startup.into_traffic_types_and_names();
        let mut proxy = BaselineProxy {
            policy,
            fault,
            snapshots,
            random: Rand64::new(seed),
            traffic_types,
            known_names,
            groups,
            max_legs: experiment.rules.max_legs,
            max_retry_after: experiment.rules.max_retry_after,
            connect_timeout,
            max_guard_time,
            warm_up_time: experiment.machines.iter().map(|m| m.warm_up_time[1]).fold(0.0, f64::max),
            proxy_count: experiment.fleet.proxies as f64,
            cross_zone_cost: experiment.rules.cross_zone_cost,
            home_zone: position % experiment.fleet.zones.len(),
            nodes: BTreeMap::new(),
            round_robin_index: 0,
            sessions: Slab::new(),
            legs: Slab::new(),
            last_id: 0,
            timers: BTreeMap::new(),
            watch_response: None,
            list_version: 0,
            discovery,
            stopping_since: None,
            effects: Vec::new(),
        };
        proxy.apply_list(now, stored_list);
        proxy.open_watch(now);
        if policy == Policy::Oracle {
            proxy.schedule(now + REBALANCE_INTERVAL, Timer::Rebalance);
        }
        proxy
    }

    /// Schedules a timer; its id is `last_id + 1` before the call and `last_id` after it.
    fn schedule(&mut self, at: f64, timer: Timer) {
        self.last_id += 1;
        self.timers.insert(((at.max(0.0) * 1e6) as u64, self.last_id), timer);
    }

    fn open_watch(&mut self, now: f64) {
        self.effects.push(Effect::OpenWatch(self.discovery, self.list_version));
        self.schedule(now + WATCH_OPEN_TIMEOUT, Timer::Watch);
    }

    /// Whether a proxy with this fault misbehaves on this occasion.
    fn misbehaves(&mut self, fault: Fault) -> bool {
        self.fault == Some(fault) && self.random.rand_u64().is_multiple_of(FAULT_ODDS)
    }

    /// Applies a list of nodes from discovery, either the whole list or the changes.
    fn apply_list(&mut self, now: f64, list: &Value) {
        let Ok((version, complete, entries)) = parse_list(list, &self.known_names.zones) else { return };
        self.list_version = version;
        let names: Vec<String> = list["hosts"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|h| h["host"].as_str().unwrap_or("").to_owned())
            .collect();
        if complete {
            let removed: Vec<u64> =
                self.nodes.keys().copied().filter(|id| !entries.iter().any(|e| e.server.id == *id)).collect();
            removed.into_iter().for_each(|id| self.remove_node(now, id));
        }
        for (Entry { server: listed, address, .. }, name) in entries.into_iter().zip(names) {
            let ready = listed.state == ServerState::Ready || self.fault == Some(Fault::IgnoresDrains);
            match (listed.state, address) {
                (ServerState::Gone, _) | (_, None) => self.remove_node(now, listed.id),
                (_, Some(address)) => {
                    let legs = self.nodes.get(&listed.id).map_or(0, |n| n.legs);
                    let node = Node {
                        name,
                        zone: listed.zone,
                        cell: listed.cell,
                        address,
                        ready,
                        started: listed.started,
                        legs,
                        cold_budget: 0.0,
                        cold_budget_at: now,
                    };
                    self.nodes.insert(listed.id, node);
                }
            }
        }
    }

    /// Removes a node and moves its clients.
    fn remove_node(&mut self, now: f64, id: u64) {
        if self.nodes.remove(&id).is_some() && self.fault != Some(Fault::IgnoresDrains) {
            let sessions: Vec<usize> = self
                .legs
                .iter()
                .filter(|(_, l)| l.node == id && l.established)
                .map(|(_, l)| l.session)
                .collect();
            sessions.into_iter().for_each(|key| self.move_client(now, key));
        }
    }

    /// Chooses a node for a call by the policy, among the nodes that the rules allow.
    fn pick(&mut self, now: f64, key: usize) -> Option<u64> {
        let session = &self.sessions[key];
        let traffic_type = &self.traffic_types[session.traffic_type];
        let ignores_scope = self.fault == Some(Fault::IgnoresRepeatScope);
        let allowed = |node: &Node| match (traffic_type.idempotency, session.first_possible_run) {
            (Idempotency::Repeatable, _) | (_, None) => true,
            (Idempotency::OnceOnly, Some(_)) => self.fault == Some(Fault::RepeatsOnceOnly),
            (Idempotency::Referenced(_), _) if ignores_scope => true,
            (Idempotency::Referenced(scope), Some((zone, cell, at))) => {
                now - at < 0.8 * traffic_type.repeat_window
                    && match scope {
                        RepeatScope::All => true,
                        RepeatScope::Zone => zone == node.zone,
                        RepeatScope::Cell => zone == node.zone && cell == node.cell,
                    }
            }
        };
        if self.fault == Some(Fault::FloodsColdNodes) {
            let newest = self.nodes.iter().filter(|(_, n)| n.ready && n.started.is_some());
            let newest = newest.max_by(|a, b| a.1.started.partial_cmp(&b.1.started).unwrap());
            if let Some((id, _)) = newest {
                return Some(*id);
            }
        }
        let mut candidates: Vec<u64> = self
            .nodes
            .iter()
            .filter(|(id, n)| {
                n.ready && !session.tried_nodes.contains(id) && allowed(n) && self.may_take_connection(now, n)
            })
            .map(|(id, _)| *id)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let legs = |id: &u64| self.nodes[id].legs;
        match self.policy {
            Policy::Random => Some(candidates[self.random.rand_range(0..candidates.len() as u64) as usize]),
            Policy::RoundRobin => {
                self.round_robin_index += 1;
                Some(candidates[self.round_robin_index % candidates.len()])
            }
            Policy::LeastOwnConnections => {
                let fewest = candidates.iter().map(legs).min()?;
                candidates.retain(|id| self.nodes[id].legs == fewest);
                Some(candidates[self.random.rand_range(0..candidates.len() as u64) as usize])
            }
            Policy::TwoChoices => {
                let first = candidates[self.random.rand_range(0..candidates.len() as u64) as usize];
                let second = candidates[self.random.rand_range(0..candidates.len() as u64) as usize];
                Some(if legs(&first) <= legs(&second) { first } else { second })
            }
            Policy::Oracle => self.pick_least_utilised(&candidates, self.sessions[key].load),
        }
    }

    /// Chooses the node whose actual utilisation with this load added is lowest, and nodes of the proxy's own zone
    /// before others of similar utilisation. Queueing delay adds to utilisation; a node must stay below
    /// `MAX_UTILISATION`.
    fn pick_least_utilised(&self, candidates: &[u64], load: f64) -> Option<u64> {
        let mut snapshots = self.snapshots.borrow_mut();
        let mut best: Option<(f64, u64, usize)> = None;
        for id in candidates {
            let name = &self.nodes[id].name;
            let Some(index) = snapshots.iter().position(|(n, _)| n == name) else { continue };
            let state = &snapshots[index].1;
            if !state.up || state.error_share > 0.0 || state.capacity <= 0.0 {
                continue;
            }
            let crossing_cost = if state.zone == self.home_zone { 0.0 } else { self.cross_zone_cost };
            let utilisation = (state.load + load) / state.capacity + 0.2 * state.queueing_delay;
            if utilisation < MAX_UTILISATION
                && best.is_none_or(|(lowest, ..)| utilisation + crossing_cost < lowest)
            {
                best = Some((utilisation + crossing_cost, *id, index));
            }
        }
        let (_, id, index) = best?;
        // The other proxies see the added load before the next snapshot.
        snapshots[index].1.load += load;
        Some(id)
    }

    /// Whether a leg may be started at this node now, as far as slow start is concerned.
    fn may_take_connection(&self, now: f64, node: &Node) -> bool {
        let age = node.started.map_or(f64::INFINITY, |s| now - s);
        age >= self.warm_up_time || self.cold_budget(now, node) >= 1.0
    }

    /// How many legs may be started at a cold node now. The budget of all proxies together grows by 2 per second, that
    /// of a single proxy by at least 0.1 per second; unused budget is kept up to 1.5.
    fn cold_budget(&self, now: f64, node: &Node) -> f64 {
        (node.cold_budget + (now - node.cold_budget_at).max(0.0) * (2.0 / self.proxy_count).max(0.1)).min(1.5)
    }

    /// Starts the next leg of a call, or fails the call if no leg or node is left.
    fn start_next_leg(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        let allowed_legs = self.max_legs + u32::from(self.fault == Some(Fault::ExceedsMaxLegs)) * 2;
        if session.legs_started >= allowed_legs || now >= session.deadline {
            return self.fail(now, key);
        }
        let Some(id) = session.fixed_node.or_else(|| self.pick(now, key)) else { return self.fail(now, key) };
        if !self.nodes.contains_key(&id) {
            return self.fail(now, key);
        }
        let session = &mut self.sessions[key];
        let time_left = session.deadline - now;
        let is_last = session.legs_started + 1 >= self.max_legs || session.fixed_node.is_some();
        let limit = if is_last {
            time_left
        } else {
            ((session.setup_deadline - now) / 2.0).max(time_left / 8.0).min(time_left)
        };
        session.legs_started += 1;
        session.tried_nodes.push(id);
        let node = self.nodes.get_mut(&id).expect("the node is known");
        node.legs += 1;
        if node.started.is_some() {
            let age = (now - node.cold_budget_at).max(0.0);
            node.cold_budget = (node.cold_budget + age * (2.0 / self.proxy_count).max(0.1)).min(1.5) - 1.0;
            node.cold_budget_at = now;
        }
        let address = node.address;
        let leg = self.legs.insert(Leg {
            session: key,
            node: id,
            head_written: false,
            established: false,
            answer: Vec::new(),
            end_announced: false,
            deadline: now + limit,
            delayed: Vec::new(),
        });
        self.sessions[key].leg = Some(leg);
        self.effects.push(Effect::Connect(leg, address));
        let timer_id = self.last_id + 1;
        self.sessions[key].timer_id = timer_id;
        self.schedule(now + self.connect_timeout.min(limit), Timer::Leg(leg, timer_id));
    }

    /// Removes a leg and, if its call is not established, starts the next one.
    fn finish_leg(&mut self, now: f64, leg: usize, may_have_run: bool) {
        let key = self.legs[leg].session;
        self.remove_leg(leg, CloseKind::Abortive, may_have_run, now);
        if self.sessions[key].stage == Stage::SettingUp {
            self.start_next_leg(now, key);
        }
    }

    /// Removes a leg and closes its connection to the server.
    fn remove_leg(&mut self, leg: usize, kind: CloseKind, may_have_run: bool, now: f64) {
        let removed = self.legs.remove(leg);
        if let Some(node) = self.nodes.get_mut(&removed.node) {
            node.legs = node.legs.saturating_sub(1);
            if may_have_run && removed.head_written {
                let run = (node.zone, node.cell, now);
                self.sessions[removed.session].first_possible_run.get_or_insert(run);
            }
        }
        let session = &mut self.sessions[removed.session];
        if session.leg == Some(leg) {
            session.leg = None;
        }
        self.effects.push(Effect::Close(Endpoint::Server(leg), kind));
    }

    /// Answers a call that no server has accepted: `BUSY` if the client may repeat it elsewhere, otherwise `ERR`.
    fn fail(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        let traffic_type = &self.traffic_types[session.traffic_type];
        let repeatable = match traffic_type.idempotency {
            Idempotency::Repeatable | Idempotency::Referenced(RepeatScope::All) => true,
            _ => session.first_possible_run.is_none() || self.fault == Some(Fault::RejectsPossiblyExecuted),
        };
        if self.misbehaves(Fault::ClosesUnanswered) {
            return self.send_last_message(now, key, b"");
        }
        if !repeatable {
            return self.send_last_message(now, key, b"ERR\r\n");
        }
        let mut message = format!("BUSY {}\r\n", (self.max_retry_after * 1e3).ceil()).into_bytes();
        if self.fault == Some(Fault::AnswersTwice) {
            message.extend_from_slice(b"ERR\r\n");
        }
        self.send_last_message(now, key, &message);
    }

    /// Writes the last message to a client and ends sending to it.
    fn send_last_message(&mut self, now: f64, key: usize, message: &[u8]) {
        if let Some(leg) = self.sessions[key].leg {
            self.remove_leg(leg, CloseKind::Graceful, false, now);
        }
        if !message.is_empty() {
            self.effects.push(Effect::Write(Endpoint::Client(key), message.to_vec()));
        }
        self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key)));
        self.sessions[key].stage = Stage::Closing;
        let id = self.last_id + 1;
        self.sessions[key].timer_id = id;
        self.schedule(now + self.max_guard_time, Timer::Session(key, id));
    }

    /// Closes a client's connection and its leg.
    fn close_session(&mut self, now: f64, key: usize, kind: CloseKind) {
        if let Some(leg) = self.sessions[key].leg {
            self.remove_leg(leg, CloseKind::Graceful, false, now);
        }
        self.sessions.remove(key);
        self.effects.push(Effect::Close(Endpoint::Client(key), kind));
    }

    /// Sends `MOVE` to an established client, at the next end of a server line if the last line is not complete.
    fn move_client(&mut self, now: f64, key: usize) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        if session.stage != Stage::Established {
            return;
        }
        if session.server_lines.is_between_lines() {
            self.send_last_message(now, key, b"MOVE\r\n");
        } else {
            session.move_pending = true;
        }
    }

    fn on_client_bytes(&mut self, now: f64, key: usize, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            Stage::AwaitingFirstLine => {
                session.head.extend_from_slice(bytes);
                let end = match first_line_end(&session.head) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.send_last_message(now, key, b"ERR\r\n"),
                };
                let name_options = (&self.known_names, self.groups);
                match parse_first_line(
                    &session.head[..end],
                    now,
                    self.max_guard_time,
                    name_options.0,
                    name_options.1,
                ) {
                    Ok(FirstLine::Ping) => {
                        session.head.drain(..end);
                        if self.stopping_since.is_some() || self.nodes.is_empty() {
                            return self.send_last_message(now, key, b"");
                        }
                        self.effects.push(Effect::Write(Endpoint::Client(key), b"PONG\r\n".to_vec()));
                    }
                    Ok(FirstLine::Open { request: open_request, wait_range, server_range, .. }) => {
                        session.timeout_range = wait_range;
                        session.traffic_type = open_request.traffic_type;
                        session.deadline = open_request.deadline;
                        session.setup_deadline =
                            now + self.traffic_types[open_request.traffic_type].setup_target;
                        session.load = open_request.load_hint.unwrap_or(0.0);
                        let fixed_node = server_range
                            .map(|range| std::str::from_utf8(&session.head[range]).map_or(0, server_id));
                        session.fixed_node = fixed_node;
                        session.stage = Stage::SettingUp;
                        if self.misbehaves(Fault::NeverAnswers) {
                            return;
                        }
                        if self.misbehaves(Fault::FabricatesAnswers) {
                            return self.send_last_message(now, key, b"UP 0\r\n");
                        }
                        self.start_next_leg(now, key);
                        if self.fault == Some(Fault::OverlapsLegs) && self.sessions[key].leg.is_some() {
                            self.sessions[key].fixed_node = None;
                            self.start_next_leg(now, key);
                        }
                    }
                    Err(_) => self.send_last_message(now, key, b"ERR\r\n"),
                }
            }
            Stage::SettingUp => {}
            Stage::Established => {
                if session.unanswered_since.is_none() {
                    session.unanswered_since = Some(now);
                    let id = self.last_id + 1;
                    session.timer_id = id;
                    self.schedule(now + SERVER_SILENCE_TIMEOUT, Timer::Session(key, id));
                }
                let Some(leg) = self.sessions[key].leg else { return };
                if self.misbehaves(Fault::DelaysLines) {
                    self.legs[leg].delayed.extend_from_slice(bytes);
                    return self.schedule(now + 2.0, Timer::WriteDelayed(leg));
                }
                if !self.legs[leg].delayed.is_empty() {
                    return self.legs[leg].delayed.extend_from_slice(bytes);
                }
                if self.misbehaves(Fault::CorruptsLines) {
                    let mut changed = bytes.to_vec();
                    changed[0] ^= 1;
                    return self.effects.push(Effect::Write(Endpoint::Server(leg), changed));
                }
                self.effects.push(Effect::Forward(Endpoint::Server(leg), 0..bytes.len()));
            }
            Stage::Closing => {}
        }
    }

    fn on_server_bytes(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(key) = self.legs.get(leg).map(|l| l.session) else { return };
        if !self.owns_leg(key, leg) {
            return;
        }
        let current = &mut self.legs[leg];
        if current.established {
            current.end_announced =
                scan_server_lines(&mut self.sessions[key], bytes) || current.end_announced;
            self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len()));
            if self.sessions[key].move_pending {
                self.move_client(now, key);
            } else if self.fault == Some(Fault::ClosesEstablished)
                && self.random.rand_u64().is_multiple_of(200)
            {
                self.close_session(now, key, CloseKind::Graceful);
            }
            return;
        }
        current.answer.extend_from_slice(bytes);
        let Ok(Some(end)) = first_line_end(&current.answer) else { return };
        match parse_server_message(trim_line_end(&current.answer[..end])) {
            ServerMessage::Up => {
                current.established = true;
                let received = std::mem::take(&mut current.answer);
                let session = &mut self.sessions[key];
                (session.stage, session.timer_id) = (Stage::Established, 0);
                if self.fault != Some(Fault::OverlapsLegs) {
                    session.head = Vec::new();
                }
                self.legs[leg].end_announced = scan_server_lines(&mut self.sessions[key], &received);
                self.effects.push(Effect::Write(Endpoint::Client(key), received));
                if let Some(stop) = self.stopping_since {
                    self.schedule_move_for_stop(key, stop);
                }
            }
            ServerMessage::Busy => self.finish_leg(now, leg, false),
            _ => self.finish_leg(now, leg, true),
        }
    }

    fn on_server_closed(&mut self, now: f64, leg: usize) {
        let Some(current) = self.legs.get(leg) else { return };
        let (key, established, head_written) = (current.session, current.established, current.head_written);
        if !self.owns_leg(key, leg) {
            return;
        }
        if !established {
            return self.finish_leg(now, leg, head_written);
        }
        if self.fault == Some(Fault::KeepsOrphanedClients) {
            self.sessions[key].timer_id = 0;
            return;
        }
        if current.end_announced {
            self.send_last_message(now, key, b"");
        } else {
            self.move_client(now, key);
        }
    }

    /// Whether this is the session's current leg. Only a proxy with the fault `OverlapsLegs` has others.
    fn owns_leg(&self, key: usize, leg: usize) -> bool {
        self.sessions.get(key).is_some_and(|s| s.leg == Some(leg))
    }

    /// Schedules the move of a client after a stop: 0.6 s after it plus a random part of half the maximum guard time.
    fn schedule_move_for_stop(&mut self, key: usize, stop: f64) {
        let at = stop + 0.6 + 0.5 * self.max_guard_time * self.random.rand_float();
        self.schedule(at, Timer::MoveForStop(key, self.sessions[key].session_id));
    }

    fn stop(&mut self, now: f64) {
        if self.fault == Some(Fault::ExitsImmediately) {
            return self.effects.push(Effect::Exit);
        }
        self.stopping_since = Some(now);
        let established: Vec<usize> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Established).map(|(k, _)| k).collect();
        established.into_iter().for_each(|key| self.schedule_move_for_stop(key, now));
        self.schedule(now + self.max_guard_time + 0.6, Timer::Exit);
    }

    /// Moves this proxy's share of the excess load off overloaded nodes, starting with the connections of the highest
    /// load. Only the oracle does this.
    fn rebalance(&mut self, now: f64) {
        self.schedule(now + REBALANCE_INTERVAL, Timer::Rebalance);
        let overloaded: Vec<(u64, f64)> = {
            let snapshots = self.snapshots.borrow();
            let mut overloaded = Vec::new();
            for (id, node) in &self.nodes {
                let state = snapshots.iter().find(|(name, _)| *name == node.name).map(|(_, state)| *state);
                let Some(state) = state.filter(|s| s.up && s.load > s.capacity) else { continue };
                overloaded.push((*id, (state.load - MAX_UTILISATION * state.capacity) / self.proxy_count));
            }
            overloaded
        };
        for (id, excess) in overloaded {
            let mut sessions: Vec<(usize, f64)> = self
                .legs
                .iter()
                .filter(|(_, l)| l.node == id && l.established)
                .map(|(_, l)| (l.session, self.sessions[l.session].load))
                .collect();
            sessions.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut remaining = excess;
            for (key, load) in sessions {
                if remaining > 0.0 && load > 0.0 && load < 2.0 * remaining {
                    remaining -= load;
                    self.move_client(now, key);
                }
            }
        }
    }

    fn on_timer(&mut self, now: f64, timer: Timer) {
        match timer {
            Timer::Session(key, id) => {
                let Some(session) = self.sessions.get(key).filter(|s| s.timer_id == id) else { return };
                match session.stage {
                    Stage::AwaitingFirstLine | Stage::Closing => {
                        self.close_session(now, key, CloseKind::Graceful)
                    }
                    Stage::SettingUp => {}
                    Stage::Established => match session.unanswered_since {
                        Some(since) if now - since >= SERVER_SILENCE_TIMEOUT - 1e-3 => {
                            self.move_client(now, key)
                        }
                        Some(since) => {
                            let id = self.last_id + 1;
                            self.sessions[key].timer_id = id;
                            self.schedule(since + SERVER_SILENCE_TIMEOUT, Timer::Session(key, id));
                        }
                        None => {}
                    },
                }
            }
            Timer::Leg(leg, id) => {
                let Some(current) = self.legs.get(leg) else { return };
                let (key, head_written) = (current.session, current.head_written);
                if self.owns_leg(key, leg) && self.sessions[key].timer_id == id && !current.established {
                    self.finish_leg(now, leg, head_written);
                }
            }
            Timer::MoveForStop(key, session_id) => {
                if self.sessions.get(key).is_some_and(|s| s.session_id == session_id) {
                    self.move_client(now, key);
                }
            }
            Timer::Watch => {
                if self.watch_response.is_none() {
                    self.effects.push(Effect::CloseWatch);
                    self.open_watch(now);
                }
            }
            Timer::Rebalance => self.rebalance(now),
            Timer::Exit => self.effects.push(Effect::Exit),
            Timer::WriteDelayed(leg) => {
                if let Some(current) = self.legs.get_mut(leg) {
                    let delayed = std::mem::take(&mut current.delayed);
                    self.effects.push(Effect::Write(Endpoint::Server(leg), delayed));
                }
            }
        }
    }
}

/// Scans lines of a server for loads and replies; returns whether one of them was `BYE` or `MOVE`.
fn scan_server_lines(session: &mut Session, bytes: &[u8]) -> bool {
    let mut end_announced = false;
    let (load, unanswered_since) = (&mut session.load, &mut session.unanswered_since);
    session.server_lines.feed(bytes, |line, _| match parse_server_message(line) {
        ServerMessage::Load(reported) => *load = reported,
        ServerMessage::Bye | ServerMessage::Move => end_announced = true,
        _ => *unanswered_since = None,
    });
    end_announced
}

impl Proxy for BaselineProxy {
    fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted => {
                let id = self.last_id + 1;
                let key = self.sessions.insert(Session {
                    stage: Stage::AwaitingFirstLine,
                    head: Vec::new(),
                    timeout_range: 0..0,
                    traffic_type: 0,
                    deadline: now,
                    setup_deadline: now,
                    fixed_node: None,
                    leg: None,
                    legs_started: 0,
                    tried_nodes: Vec::new(),
                    first_possible_run: None,
                    unanswered_since: None,
                    load: 0.0,
                    server_lines: LineScanner::default(),
                    move_pending: false,
                    timer_id: id,
                    session_id: id,
                });
                self.schedule(now + 2.5, Timer::Session(key, id));
                self.effects.push(Effect::AssignSession(key));
            }
            Event::Bytes(Endpoint::Client(key), bytes) => self.on_client_bytes(now, key, bytes),
            Event::Bytes(Endpoint::Server(leg), bytes) => self.on_server_bytes(now, leg, bytes),
            Event::LastBytes(endpoint, bytes, kind) => {
                self.step(now, Event::Bytes(endpoint, bytes));
                self.step(now, Event::Closed(endpoint, kind));
            }
            Event::Closed(Endpoint::Client(key), kind) => {
                if self.sessions.contains(key) {
                    self.close_session(now, key, kind);
                }
            }
            Event::Closed(Endpoint::Server(leg), _) => self.on_server_closed(now, leg),
            Event::Connected(leg) => {
                let Some(current) = self.legs.get(leg) else { return };
                let (session, deadline) = (current.session, current.deadline);
                if !self.sessions.contains(session) {
                    return;
                }
                let timeout_ms = ((deadline - now) * 1e3).max(1.0) as u64;
                let timeout_range = self.sessions[session].timeout_range.clone();
                self.effects.push(Effect::SendHead { leg, session, timeout_range, timeout_ms });
            }
            Event::ConnectFailed(leg) | Event::ConnectNotStarted(leg) => {
                if self.legs.contains(leg) {
                    self.finish_leg(now, leg, false);
                }
            }
            Event::HeadWritten(leg) => {
                let Some(current) = self.legs.get_mut(leg) else { return };
                current.head_written = true;
                let (key, deadline) = (current.session, current.deadline);
                let id = self.last_id + 1;
                let Some(session) = self.sessions.get_mut(key) else { return };
                session.timer_id = id;
                self.schedule(deadline, Timer::Leg(leg, id));
            }
            Event::WatchOpened => self.watch_response = Some(WatchResponse::default()),
            Event::WatchBytes(bytes) => {
                let Some(mut response) = self.watch_response.take() else { return };
                let mut lists: Vec<Value> = Vec::new();
                let more =
                    response.feed(bytes, |line| lists.extend(serde_json::from_slice::<Value>(line).ok()));
                if matches!(more, Ok(true)) {
                    self.watch_response = Some(response);
                }
                lists.iter().for_each(|list| self.apply_list(now, list));
            }
            // The baseline makes no hedged requests.
            Event::HedgeBytes(..) | Event::HedgeLost(_) => {}
            Event::WatchLost | Event::WatchRefused => {
                self.watch_response = None;
                self.schedule(now + WATCH_RETRY_DELAY, Timer::Watch);
            }
            Event::Tick => {
                while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 as f64 <= now * 1e6) {
                    let timer = entry.remove();
                    self.on_timer(now, timer);
                }
            }
            Event::Stop => self.stop(now),
            // These events come over the control socket, which a baseline proxy does not have.
            Event::Drain(_) | Event::Undrain | Event::Retire(_) => {}
            Event::Reconfigured(discovery, _) => {
                (self.discovery, self.list_version, self.watch_response) = (discovery, 0, None);
                self.open_watch(now);
            }
        }
        let is_idle = self.sessions.is_empty();
        if self.stopping_since.is_some_and(|at| now >= at + 0.5) && is_idle {
            self.effects.push(Effect::Exit);
        }
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn next_due(&self) -> Option<f64> {
        self.timers.first_key_value().map(|((at, _), _)| *at as f64 / 1e6)
    }

    fn session_head(&self, session: usize) -> &[u8] {
        self.sessions.get(session).map_or(&[], |s| &s.head)
    }
}
