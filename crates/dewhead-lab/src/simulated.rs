//! The host in simulated time: runs a whole fleet of shipped reducers or of baseline proxies in one process on one
//! thread. All bytes and times are determined by the seed.

use crate::baseline::{BaselineProxy, Fault};
use crate::policy::{self, Policy, SharedSnapshots};
use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use dewhead_proxy::state::handover_state;
use dewhead_proxy::state::hedged_requests::HEDGE_SLOTS;
use dewhead_proxy::wire::http;
use dewhead_startup::Startup;
use dewhead_world::discovery::EPOCH;
use dewhead_world::experiment::Experiment;
use dewhead_world::settings::proxy_settings;
use dewhead_world::world::{self, LinkKey, Signal, Target, World};
use serde_json::Value;
use slotmap::SecondaryMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;

/// The interface of a proxy: implemented by the shipped reducer and by the lab's baseline proxy. Times are in seconds
/// of Unix time.
pub trait Proxy {
    /// Handles an event.
    fn step(&mut self, now: f64, event: Event);
    /// Returns the effects of the events handled since the last call, in order.
    fn take_effects(&mut self) -> Vec<Effect>;
    /// When the next timer expires.
    fn next_due(&self) -> Option<f64>;
    /// A session's first line, for `Effect::SendHead`.
    fn session_head(&self, session: usize) -> &[u8];
    /// The state for a successor process; `None` if the proxy does not support handover.
    fn export_state(&self, _now: f64) -> Option<Value> {
        None
    }
}

impl Proxy for Reducer {
    fn step(&mut self, now: f64, event: Event) {
        Reducer::step(self, now, event);
    }
    fn take_effects(&mut self) -> Vec<Effect> {
        Reducer::take_effects(self)
    }
    fn next_due(&self) -> Option<f64> {
        Reducer::next_due(self)
    }
    fn session_head(&self, session: usize) -> &[u8] {
        Reducer::session_head(self, session)
    }
    fn export_state(&self, now: f64) -> Option<Value> {
        Some(Reducer::export_state(self, now))
    }
}

/// Which implementation runs as the proxies.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProxyKind {
    /// The shipped reducer.
    Dewhead,
    /// The baseline proxy with this policy.
    Baseline(Policy),
    /// A baseline proxy with a fault, to test the auditor.
    Faulty(Fault),
}

/// What a link is to the process that has it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LinkEnd {
    /// A client's connection, with the session's slot.
    Client(usize),
    /// A connection to a server, with the leg's slot.
    Leg(usize),
    /// The watch on discovery.
    Watch,
    /// A hedged request for the watch, with its slot.
    Hedge(usize),
}

/// A simulated process of a proxy.
struct Process {
    /// The index of its proxy.
    proxy_index: usize,
    proxy: Box<dyn Proxy>,
    clients: Vec<Option<LinkKey>>,
    legs: Vec<Option<LinkKey>>,
    watch: Option<LinkKey>,
    /// The list version after which changes are requested on the watch.
    watch_version: u64,
    /// Hedged requests for the watch, with the list version of each, by slot.
    hedges: [Option<(LinkKey, u64)>; HEDGE_SLOTS],
    accepting: bool,
    /// Clients in the listener's accept queue.
    accept_queue: VecDeque<LinkKey>,
    /// An accepted client that has no session yet.
    unassigned: Option<LinkKey>,
    /// When the process's next timer is due, by its own clock.
    wake_at: Option<f64>,
}

/// Connects the simulated world to proxies in this process.
pub struct SimulatedHost {
    /// The world of clients, nodes and discovery.
    pub world: World,
    proxy_kind: ProxyKind,
    /// Running processes by number; the numbers of ended ones are not reused.
    processes: Vec<Option<Process>>,
    /// For each proxy, the number of the process that listens.
    current: Vec<Option<usize>>,
    /// For each link, the number of its process and what it is to that process.
    links: SecondaryMap<LinkKey, (usize, LinkEnd)>,
    /// When the processes' next timers are due, earliest first, with their numbers; entries that differ from the
    /// process's `wake_at` are skipped.
    wake_queue: BinaryHeap<Reverse<(u64, usize)>>,
    snapshots: SharedSnapshots,
    /// A reused buffer for the world's effects.
    effects: Vec<world::Effect>,
    /// When the oracle's snapshots were taken, in seconds from the start.
    snapshots_at: f64,
    /// Seconds from the start of the run.
    now: f64,
    /// How many events have been processed; a measure of speed.
    pub events: u64,
}

/// The oracle's snapshots are at most this old, in seconds.
const SNAPSHOT_INTERVAL: f64 = 0.01;

/// Added to timers, in seconds: half of the microsecond to which proxies round theirs down.
const TIMER_ROUNDING: f64 = 5e-7;

/// The address of a node in simulated time.
fn node_address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (node >> 8) as u8, node as u8], 8081))
}

/// The address in simulated time that stands for a discovery agent's address of this index.
fn agent_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (index >> 8) as u8, index as u8], 8500))
}

/// The index of a node, or of one of a discovery agent's addresses, from the address.
fn address_index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(high) << 8 | usize::from(low)
        }
        std::net::IpAddr::V6(_) => 0,
    }
}

/// Stores a link in a slot of a list that grows as needed.
fn set_slot(list: &mut Vec<Option<LinkKey>>, slot: usize, key: LinkKey) {
    if list.len() <= slot {
        list.resize(slot + 1, None);
    }
    list[slot] = Some(key);
}

impl SimulatedHost {
    /// A host at the start of a run.
    pub fn new(experiment: &Experiment, seed: u64, proxy_kind: ProxyKind) -> SimulatedHost {
        let mut world = World::new(experiment, seed);
        world.set_node_addresses(|_, n| node_address(n).to_string());
        let proxies = world.proxies.len();
        SimulatedHost {
            world,
            proxy_kind,
            processes: Vec::new(),
            current: vec![None; proxies],
            links: SecondaryMap::new(),
            wake_queue: BinaryHeap::new(),
            snapshots: SharedSnapshots::default(),
            effects: Vec::new(),
            snapshots_at: -1.0,
            now: 0.0,
            events: 0,
        }
    }

    /// Runs until this time, in seconds from the start.
    pub fn run(&mut self, until: f64) {
        loop {
            let world_at = self.world.next_event_time().unwrap_or(f64::INFINITY);
            let process = self.next_process();
            let process_at = process.map_or(f64::INFINITY, |(due, _)| due - EPOCH);
            if world_at.min(process_at) > until {
                break;
            }
            self.events += 1;
            if let Some((due, p)) = process.filter(|_| process_at <= world_at) {
                self.now = self.now.max(process_at);
                self.wake_queue.pop();
                if let Some(process) = &mut self.processes[p] {
                    process.wake_at = None;
                }
                self.deliver(p, due, Event::Tick, &[]);
            } else {
                self.now = self.now.max(world_at);
                self.world.step(world_at);
            }
            self.apply_world_effects();
        }
    }

    /// How many sessions are open in all processes.
    pub fn open_sessions(&self) -> usize {
        self.processes.iter().flatten().map(|p| p.clients.iter().flatten().count()).sum()
    }

    /// When the earliest timer of all processes is due, by their clock, and the number of its process.
    fn next_process(&mut self) -> Option<(f64, usize)> {
        while let Some(Reverse((bits, p))) = self.wake_queue.peek().copied() {
            let due = f64::from_bits(bits);
            if self.processes[p].as_ref().is_some_and(|process| process.wake_at == Some(due)) {
                return Some((due, p));
            }
            self.wake_queue.pop();
        }
        None
    }

    /// Applies the world's effects until there are none left.
    fn apply_world_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        loop {
            self.world.take_effects(&mut effects);
            if effects.is_empty() {
                break;
            }
            for effect in effects.drain(..) {
                self.apply_world_effect(effect);
            }
        }
        self.effects = effects;
    }

    /// The proxies' clock: Unix time in seconds.
    fn clock(&self) -> f64 {
        EPOCH + self.now
    }

    fn apply_world_effect(&mut self, effect: world::Effect) {
        let clock = self.clock();
        match effect {
            world::Effect::Start(proxy_index, stored_list) => self.start(proxy_index, &stored_list),
            world::Effect::Signal(proxy_index, Signal::Stop | Signal::StopGroup) => {
                // The serving process passes the signal on to the retiring ones.
                for process in self.processes_of(proxy_index) {
                    self.deliver(process, clock, Event::Stop, &[]);
                }
            }
            // The configuration is unchanged, so that there is nothing to reload; a new one comes with `Reconfigure`.
            world::Effect::Signal(_, Signal::Reload) => {}
            world::Effect::Signal(proxy_index, Signal::Kill) => {
                self.current[proxy_index] = None;
                for process in self.processes_of(proxy_index) {
                    self.processes[process] = None;
                }
                self.links.retain(|_, (process, _)| self.processes[*process].is_some());
                self.world.on_exit(self.now, proxy_index);
            }
            world::Effect::Reconfigure(proxy_index, address) => {
                let event = Event::Reconfigured(agent_address(address), self.world.experiment.proxy.sockets);
                if let Some(p) = self.current[proxy_index] {
                    self.deliver(p, clock, event, &[]);
                }
            }
            world::Effect::Handover(proxy_index, leave_in) => self.hand_over(proxy_index, leave_in),
            world::Effect::Connect(key, proxy_index) => {
                let Some(p) = self.current[proxy_index] else { return };
                if let Some(process) = &mut self.processes[p] {
                    process.accept_queue.push_back(key);
                    self.accept(p);
                }
            }
            world::Effect::Established(key) => match self.owner_of(key) {
                Some((p, LinkEnd::Leg(leg))) => self.deliver(p, clock, Event::Connected(leg), &[]),
                Some((p, LinkEnd::Watch)) => {
                    let version = self.processes[p].as_ref().map_or(0, |process| process.watch_version);
                    self.world.on_bytes(self.now, key, &http::watch_request("discovery", version));
                    self.deliver(p, clock, Event::WatchOpened, &[]);
                }
                Some((p, LinkEnd::Hedge(slot))) => {
                    let hedge = self.processes[p].as_ref().and_then(|process| process.hedges[slot]);
                    if let Some((_, version)) = hedge {
                        self.world.on_bytes(self.now, key, &http::watch_request("discovery", version));
                    }
                }
                _ => {}
            },
            world::Effect::Refused(key) => match self.remove_refused(key) {
                Some((p, LinkEnd::Leg(leg))) => self.deliver(p, clock, Event::ConnectFailed(leg), &[]),
                Some((p, LinkEnd::Watch)) => self.lose_watch(p),
                Some((p, LinkEnd::Hedge(slot))) => self.lose_hedge(p, slot),
                _ => {}
            },
            world::Effect::Bytes(key, bytes) => match self.owner_of(key) {
                Some((p, LinkEnd::Client(slot))) => {
                    self.deliver(p, clock, Event::Bytes(Endpoint::Client(slot), &bytes), &bytes);
                }
                Some((p, LinkEnd::Leg(leg))) => {
                    self.deliver(p, clock, Event::Bytes(Endpoint::Server(leg), &bytes), &bytes)
                }
                Some((p, LinkEnd::Watch)) => self.deliver(p, clock, Event::WatchBytes(&bytes), &[]),
                Some((p, LinkEnd::Hedge(slot))) => {
                    self.deliver(p, clock, Event::HedgeBytes(slot, &bytes), &[])
                }
                None => {}
            },
            world::Effect::End(key, kind) => {
                let kind =
                    if kind == world::EndKind::Broken { CloseKind::Abortive } else { CloseKind::Graceful };
                match self.owner_of(key) {
                    Some((p, LinkEnd::Client(slot))) => {
                        self.deliver(p, clock, Event::Closed(Endpoint::Client(slot), kind), &[])
                    }
                    Some((p, LinkEnd::Leg(leg))) => {
                        self.deliver(p, clock, Event::Closed(Endpoint::Server(leg), kind), &[])
                    }
                    Some((p, LinkEnd::Watch)) => {
                        self.links.remove(key);
                        self.world.on_end(self.now, key, world::EndKind::Closed);
                        self.lose_watch(p);
                    }
                    Some((p, LinkEnd::Hedge(slot))) => {
                        self.links.remove(key);
                        self.world.on_end(self.now, key, world::EndKind::Closed);
                        self.lose_hedge(p, slot);
                    }
                    None => {}
                }
            }
        }
    }

    /// The process of a link and what the link is to it.
    fn owner_of(&self, key: LinkKey) -> Option<(usize, LinkEnd)> {
        self.links.get(key).copied()
    }

    /// Removes a link that the world has already released, and returns what `owner_of` does.
    fn remove_refused(&mut self, key: LinkKey) -> Option<(usize, LinkEnd)> {
        self.links.remove(key)
    }

    /// Notifies a process that its watch is closed.
    fn lose_watch(&mut self, p: usize) {
        if let Some(process) = &mut self.processes[p] {
            process.watch = None;
            let clock = self.clock();
            self.deliver(p, clock, Event::WatchLost, &[]);
        }
    }

    /// Notifies a process that a hedged request is closed.
    fn lose_hedge(&mut self, p: usize, slot: usize) {
        if let Some(process) = &mut self.processes[p] {
            process.hedges[slot] = None;
            let clock = self.clock();
            self.deliver(p, clock, Event::HedgeLost(slot), &[]);
        }
    }

    /// Starts the process of a proxy that has none.
    fn start(&mut self, proxy_index: usize, stored_list: &Value) {
        if self.current[proxy_index].is_none() {
            self.start_process(proxy_index, stored_list, None);
            self.world.on_listening(self.now, proxy_index);
        }
    }

    /// Starts a new process of a proxy with the state of the current one, which then retires.
    fn hand_over(&mut self, proxy_index: usize, leave_in: f64) {
        let clock = self.clock();
        let Some(old) = self.current[proxy_index] else { return };
        let Some(exported) =
            self.processes[old].as_ref().and_then(|process| process.proxy.export_state(clock))
        else {
            return;
        };
        let Some(state) = handover_state::decode(&exported) else { return };
        let list = state.list.clone();
        self.start_process(proxy_index, &list, Some(&state));
        self.deliver(old, clock, Event::Retire(leave_in), &[]);
    }

    /// Starts a process of a proxy, from the state of its predecessor if there is one.
    fn start_process(
        &mut self,
        proxy_index: usize,
        stored_list: &Value,
        inherited: Option<&handover_state::HandoverState>,
    ) {
        let clock = self.clock();
        let (experiment, seed) = (&self.world.experiment, u128::from(self.world.proxy_seed(proxy_index)));
        let startup = Startup::parse(&proxy_settings(experiment, proxy_index))
            .expect("the world generates valid settings");
        let discovery = agent_address(self.world.discovery_address(proxy_index));
        let baseline = |policy, fault, startup| {
            let snapshots = self.snapshots.clone();
            Box::new(BaselineProxy::new(
                clock,
                startup,
                experiment,
                proxy_index,
                seed,
                discovery,
                stored_list,
                policy,
                fault,
                snapshots,
            ))
        };
        let proxy: Box<dyn Proxy> = match self.proxy_kind {
            ProxyKind::Dewhead => {
                let mut reducer =
                    Reducer::new(clock, startup, seed, discovery, experiment.proxy.sockets, stored_list);
                if let Some(state) = inherited {
                    reducer.import_state(clock, state);
                }
                Box::new(reducer)
            }
            ProxyKind::Baseline(policy) => baseline(policy, None, startup),
            ProxyKind::Faulty(fault) => baseline(Policy::LeastOwnConnections, Some(fault), startup),
        };
        let process = Process {
            proxy_index,
            proxy,
            clients: Vec::new(),
            legs: Vec::new(),
            watch: None,
            watch_version: 0,
            hedges: Default::default(),
            accepting: true,
            accept_queue: VecDeque::new(),
            unassigned: None,
            wake_at: None,
        };
        self.current[proxy_index] = Some(self.processes.len());
        self.processes.push(Some(process));
        self.apply_proxy_effects(self.processes.len() - 1, clock, &[]);
    }

    /// The numbers of a proxy's processes: the serving one and the retiring ones.
    fn processes_of(&self, proxy_index: usize) -> Vec<usize> {
        let belongs_to_proxy = |process: &Option<Process>| {
            process.as_ref().is_some_and(|process| process.proxy_index == proxy_index)
        };
        (0..self.processes.len()).filter(|n| belongs_to_proxy(&self.processes[*n])).collect()
    }

    /// Removes a process that has exited; its proxy has exited with the last of its processes.
    fn end_process(&mut self, p: usize) {
        let Some(process) = self.processes[p].take() else { return };
        let proxy_index = process.proxy_index;
        let ends = process.clients.iter().chain(&process.legs).flatten().chain(&process.watch);
        let links: Vec<LinkKey> =
            ends.chain(&process.accept_queue).chain(&process.unassigned).copied().collect();
        for key in &links {
            self.links.remove(*key);
        }
        let was_serving = self.current[proxy_index] == Some(p);
        if was_serving {
            self.current[proxy_index] = None;
        }
        if self.processes_of(proxy_index).is_empty() {
            return self.world.on_exit(self.now, proxy_index);
        }
        if was_serving {
            self.world.on_listener_closed(self.now, proxy_index);
        }
        for key in links {
            self.world.on_end(self.now, key, world::EndKind::Broken);
        }
    }

    /// Lets a process accept the clients in its queue.
    fn accept(&mut self, p: usize) {
        while let Some(process) = self.processes[p].as_mut().filter(|process| process.accepting) {
            let Some(key) = process.accept_queue.pop_front() else { return };
            process.unassigned = Some(key);
            let clock = self.clock();
            self.deliver(p, clock, Event::Accepted, &[]);
        }
    }

    /// Delivers an event to a process, with the bytes that its effects may refer to, and applies the effects.
    fn deliver(&mut self, p: usize, clock: f64, event: Event, bytes: &[u8]) {
        if self.proxy_kind == ProxyKind::Baseline(Policy::Oracle)
            && self.now - self.snapshots_at >= SNAPSHOT_INTERVAL
        {
            self.snapshots_at = self.now;
            *self.snapshots.borrow_mut() = policy::snapshot_nodes(&self.world, self.now);
        }
        let Some(process) = &mut self.processes[p] else { return };
        // As in the proxy's event loop, expired timers are handled before events of sockets.
        if !matches!(event, Event::Tick) && process.proxy.next_due().is_some_and(|at| at <= clock) {
            process.proxy.step(clock, Event::Tick);
            self.apply_proxy_effects(p, clock, &[]);
        }
        let Some(process) = &mut self.processes[p] else { return };
        process.proxy.step(clock, event);
        self.apply_proxy_effects(p, clock, bytes);
    }

    /// The link of a process's client or leg.
    fn link(&self, p: usize, end: Endpoint) -> Option<LinkKey> {
        let process = self.processes[p].as_ref()?;
        match end {
            Endpoint::Client(slot) => *process.clients.get(slot)?,
            Endpoint::Server(leg) => *process.legs.get(leg)?,
        }
    }

    /// Sends bytes from a process on one of its links.
    fn send(&mut self, p: usize, end: Endpoint, bytes: &[u8]) {
        if let Some(key) = self.link(p, end).filter(|_| !bytes.is_empty()) {
            self.world.on_bytes(self.now, key, bytes);
        }
    }

    /// Applies the effects of a process, and those that follow from them.
    fn apply_proxy_effects(&mut self, p: usize, clock: f64, bytes: &[u8]) {
        let mut written: Vec<usize> = Vec::new();
        let proxy_index = self.processes[p].as_ref().map_or(0, |process| process.proxy_index);
        let effects = self.processes[p].as_mut().map_or(Vec::new(), |process| process.proxy.take_effects());
        let mut accept = false;
        let mut exit = false;
        for effect in effects {
            match effect {
                Effect::AssignSession(slot) => {
                    if let Some(process) = &mut self.processes[p] {
                        if let Some(key) = process.unassigned.take() {
                            set_slot(&mut process.clients, slot, key);
                            self.links.insert(key, (p, LinkEnd::Client(slot)));
                        }
                    }
                }
                Effect::Connect(leg, address) => {
                    let key = self.world.on_dial(self.now, proxy_index, Target::Node(address_index(address)));
                    self.links.insert(key, (p, LinkEnd::Leg(leg)));
                    if let Some(process) = &mut self.processes[p] {
                        set_slot(&mut process.legs, leg, key);
                    }
                }
                Effect::SendHead { leg, session, timeout_range, timeout_ms } => {
                    let Some(process) = &self.processes[p] else { continue };
                    let head = process.proxy.session_head(session);
                    let text = if timeout_range.is_empty() {
                        head.to_vec()
                    } else {
                        [
                            &head[..timeout_range.start],
                            timeout_ms.to_string().as_bytes(),
                            &head[timeout_range.end..],
                        ]
                        .concat()
                    };
                    self.send(p, Endpoint::Server(leg), &text);
                    written.push(leg);
                }
                Effect::Forward(end, range) => self.send(p, end, &bytes[range]),
                Effect::Write(end, text) => self.send(p, end, &text),
                Effect::ShutdownWrite(end) => {
                    if let Some(key) = self.link(p, end) {
                        self.world.on_end(self.now, key, world::EndKind::Finished);
                    }
                }
                Effect::Close(end, kind) => {
                    if let Some(key) = self.link(p, end) {
                        let kind = if kind == CloseKind::Abortive {
                            world::EndKind::Broken
                        } else {
                            world::EndKind::Closed
                        };
                        self.links.remove(key);
                        self.world.on_end(self.now, key, kind);
                        if let Some(process) = &mut self.processes[p] {
                            match end {
                                Endpoint::Client(slot) => process.clients[slot] = None,
                                Endpoint::Server(leg) => process.legs[leg] = None,
                            }
                        }
                    }
                }
                Effect::SetAccepting(accepting) => {
                    if let Some(process) = &mut self.processes[p] {
                        process.accepting = accepting;
                        accept |= accepting;
                    }
                }
                Effect::OpenWatch(address, version) => {
                    self.close_watch(p);
                    let key =
                        self.world.on_dial(self.now, proxy_index, Target::Agent(address_index(address)));
                    self.links.insert(key, (p, LinkEnd::Watch));
                    if let Some(process) = &mut self.processes[p] {
                        (process.watch, process.watch_version) = (Some(key), version);
                    }
                }
                Effect::CloseWatch => self.close_watch(p),
                Effect::OpenHedge(slot, address, version) => {
                    self.close_hedge(p, slot);
                    let key =
                        self.world.on_dial(self.now, proxy_index, Target::Agent(address_index(address)));
                    self.links.insert(key, (p, LinkEnd::Hedge(slot)));
                    if let Some(process) = &mut self.processes[p] {
                        process.hedges[slot] = Some((key, version));
                    }
                }
                Effect::CloseHedge(slot) => self.close_hedge(p, slot),
                Effect::PromoteHedge(slot) => {
                    self.close_watch(p);
                    if let Some(process) = &mut self.processes[p] {
                        if let Some((key, version)) = process.hedges[slot].take() {
                            (process.watch, process.watch_version) = (Some(key), version);
                            self.links.insert(key, (p, LinkEnd::Watch));
                        }
                    }
                }
                Effect::DemoteWatch(slot) => {
                    self.close_hedge(p, slot);
                    if let Some(process) = &mut self.processes[p] {
                        if let Some(key) = process.watch.take() {
                            process.hedges[slot] = Some((key, process.watch_version));
                            self.links.insert(key, (p, LinkEnd::Hedge(slot)));
                        }
                    }
                }
                Effect::Exit => exit = true,
            }
        }
        if exit {
            return self.end_process(p);
        }
        if let Some(process) = &mut self.processes[p] {
            // Proxies keep timers in whole microseconds; waking slightly later ensures that they have expired.
            let wake_at = process.proxy.next_due().map(|at| at.max(clock) + TIMER_ROUNDING);
            if wake_at != process.wake_at {
                process.wake_at = wake_at;
                // The bit patterns of positive floating-point numbers have the order of the numbers.
                self.wake_queue.extend(wake_at.map(|at| Reverse((at.to_bits(), p))));
            }
        }
        for leg in written {
            if let Some(process) = &mut self.processes[p] {
                process.proxy.step(clock, Event::HeadWritten(leg));
                self.apply_proxy_effects(p, clock, &[]);
            }
        }
        if accept {
            self.accept(p);
        }
    }

    /// Closes a process's hedged request.
    fn close_hedge(&mut self, p: usize, slot: usize) {
        let hedge = self.processes[p].as_mut().and_then(|process| process.hedges[slot].take());
        if let Some((key, _)) = hedge {
            self.links.remove(key);
            self.world.on_end(self.now, key, world::EndKind::Closed);
        }
    }

    /// Closes a process's watch.
    fn close_watch(&mut self, p: usize) {
        if let Some(key) = self.processes[p].as_mut().and_then(|process| process.watch.take()) {
            self.links.remove(key);
            self.world.on_end(self.now, key, world::EndKind::Closed);
        }
    }
}
