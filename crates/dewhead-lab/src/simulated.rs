//! The host in simulated time: whole fleets of real reducers, or of plain proxies, in one process, on one thread, with
//! every byte and every moment set by the seed.

use crate::baseline::{BaselineProxy, Fault};
use crate::policy::{self, Policy, SharedSnapshots};
use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use dewhead_proxy::state::handover_state;
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

/// What runs as a proxy: the reducer that is shipped, or a plain one of the lab's.
pub trait Proxy {
    fn step(&mut self, now: f64, event: Event);
    fn take_effects(&mut self) -> Vec<Effect>;
    fn next_due(&self) -> Option<f64>;
    /// A session's first line, for `Effect::SendHead`.
    fn session_head(&self, session: usize) -> &[u8];
    /// What it hands to one that takes its place; none where it can't be.
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

/// Who decides at the proxies.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProxyKind {
    Dewhead,
    Baseline(Policy),
    /// A plain proxy that is broken on purpose, to try the auditor.
    Faulty(Fault),
}

/// Which of a process's ends a link is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum At {
    Client(usize),
    Leg(usize),
    Watch,
}

struct Process {
    /// Which proxy's it is.
    of: usize,
    proxy: Box<dyn Proxy>,
    clients: Vec<Option<LinkKey>>,
    legs: Vec<Option<LinkKey>>,
    watch: Option<LinkKey>,
    /// Versions asked for on the watch once it is up.
    since: u64,
    accepting: bool,
    /// Clients in the listener's queue.
    waiting: VecDeque<LinkKey>,
    fresh: Option<LinkKey>,
    due: Option<f64>,
}

/// The host.
pub struct SimulatedHost {
    pub world: World,
    who: ProxyKind,
    /// Processes that run, by their numbers; a number is not used again.
    processes: Vec<Option<Process>>,
    /// Each proxy's process that listens.
    current: Vec<Option<usize>>,
    at: SecondaryMap<LinkKey, (usize, At)>,
    /// When processes want to be woken, soonest first; entries that no longer hold are passed over.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    truths: SharedSnapshots,
    /// The world's effects while they are carried out; the buffer is kept.
    effects: Vec<world::Effect>,
    looked: f64,
    now: f64,
    /// Things that happened, for the measure of speed.
    pub events: u64,
}

/// What the top sees is so old at the most.
const LOOK: f64 = 0.01;

/// Half a microsecond.
const TIMER_GRAIN: f64 = 5e-7;

fn node_address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (node >> 8) as u8, node as u8], 8081))
}

fn agent_address(address: usize) -> SocketAddr {
    SocketAddr::from(([10, 2, (address >> 8) as u8, address as u8], 8500))
}

/// Which node, or which of discovery's addresses, an address is.
fn place(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(high) << 8 | usize::from(low)
        }
        std::net::IpAddr::V6(_) => 0,
    }
}

fn put(list: &mut Vec<Option<LinkKey>>, slot: usize, key: LinkKey) {
    if list.len() <= slot {
        list.resize(slot + 1, None);
    }
    list[slot] = Some(key);
}

impl SimulatedHost {
    pub fn new(of: &Experiment, seed: u64, who: ProxyKind) -> SimulatedHost {
        let mut world = World::new(of, seed);
        world.set_node_addresses(|_, n| node_address(n).to_string());
        let proxies = world.proxies.len();
        SimulatedHost {
            world,
            who,
            processes: Vec::new(),
            current: vec![None; proxies],
            at: SecondaryMap::new(),
            due: BinaryHeap::new(),
            truths: SharedSnapshots::default(),
            effects: Vec::new(),
            looked: -1.0,
            now: 0.0,
            events: 0,
        }
    }

    /// Plays until this second.
    pub fn run(&mut self, until: f64) {
        loop {
            let world = self.world.next_event_time().unwrap_or(f64::INFINITY);
            let process = self.next_process();
            let at = process.map_or(f64::INFINITY, |(due, _)| due - EPOCH);
            if world.min(at) > until {
                break;
            }
            self.events += 1;
            if let Some((due, p)) = process.filter(|_| at <= world) {
                self.now = self.now.max(at);
                self.due.pop();
                if let Some(process) = &mut self.processes[p] {
                    process.due = None;
                }
                self.tell(p, due, Event::Tick, &[]);
            } else {
                self.now = self.now.max(world);
                self.world.step(world);
            }
            self.carry_out();
        }
    }

    /// Sessions that processes hold.
    pub fn open_sessions(&self) -> usize {
        self.processes.iter().flatten().map(|p| p.clients.iter().flatten().count()).sum()
    }

    /// The process to be woken next, and when by its own clock.
    fn next_process(&mut self) -> Option<(f64, usize)> {
        while let Some(Reverse((bits, p))) = self.due.peek().copied() {
            let due = f64::from_bits(bits);
            if self.processes[p].as_ref().is_some_and(|one| one.due == Some(due)) {
                return Some((due, p));
            }
            self.due.pop();
        }
        None
    }

    /// What the world asks for, until it asks for nothing more.
    fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        loop {
            self.world.take_effects(&mut effects);
            if effects.is_empty() {
                break;
            }
            for effect in effects.drain(..) {
                self.world_effect(effect);
            }
        }
        self.effects = effects;
    }

    fn clock(&self) -> f64 {
        EPOCH + self.now
    }

    fn world_effect(&mut self, effect: world::Effect) {
        let clock = self.clock();
        match effect {
            world::Effect::Start(p, known) => self.start(p, &known),
            world::Effect::Signal(p, Signal::Stop | Signal::StopGroup) => {
                // The process that serves passes it on to those that retire.
                for process in self.processes_of(p) {
                    self.tell(process, clock, Event::Stop, &[]);
                }
            }
            // There is no other configuration to be read.
            world::Effect::Signal(_, Signal::Reload) => {}
            world::Effect::Signal(p, Signal::Kill) => {
                self.current[p] = None;
                for process in self.processes_of(p) {
                    self.processes[process] = None;
                }
                self.at.retain(|_, (process, _)| self.processes[*process].is_some());
                self.world.on_exit(self.now, p);
            }
            world::Effect::Reconfigure(p, address) => {
                let event = Event::Reconfigured(agent_address(address), self.world.experiment.proxy.sockets);
                if let Some(p) = self.current[p] {
                    self.tell(p, clock, event, &[]);
                }
            }
            world::Effect::Handover(p, leave_in) => self.hand_over(p, leave_in),
            world::Effect::Connect(key, p) => {
                let Some(p) = self.current[p] else { return };
                if let Some(process) = &mut self.processes[p] {
                    process.waiting.push_back(key);
                    self.accept(p);
                }
            }
            world::Effect::Established(key) => match self.whose(key) {
                Some((p, At::Leg(leg))) => self.tell(p, clock, Event::Connected(leg), &[]),
                Some((p, At::Watch)) => {
                    let since = self.processes[p].as_ref().map_or(0, |one| one.since);
                    self.world.on_bytes(self.now, key, &http::watch_request("discovery", since));
                    self.tell(p, clock, Event::WatchOpened, &[]);
                }
                _ => {}
            },
            world::Effect::Refused(key) => match self.refused(key) {
                Some((p, At::Leg(leg))) => self.tell(p, clock, Event::ConnectFailed(leg), &[]),
                Some((p, At::Watch)) => self.lose_watch(p),
                _ => {}
            },
            world::Effect::Bytes(key, bytes) => match self.whose(key) {
                Some((p, At::Client(slot))) => {
                    self.tell(p, clock, Event::Bytes(Endpoint::Client(slot), &bytes), &bytes);
                }
                Some((p, At::Leg(leg))) => {
                    self.tell(p, clock, Event::Bytes(Endpoint::Server(leg), &bytes), &bytes)
                }
                Some((p, At::Watch)) => self.tell(p, clock, Event::WatchBytes(&bytes), &[]),
                None => {}
            },
            world::Effect::End(key, how) => {
                let how =
                    if how == world::EndKind::Broken { CloseKind::Abortive } else { CloseKind::Graceful };
                match self.whose(key) {
                    Some((p, At::Client(slot))) => {
                        self.tell(p, clock, Event::Closed(Endpoint::Client(slot), how), &[])
                    }
                    Some((p, At::Leg(leg))) => {
                        self.tell(p, clock, Event::Closed(Endpoint::Server(leg), how), &[])
                    }
                    Some((p, At::Watch)) => {
                        self.at.remove(key);
                        self.world.on_end(self.now, key, world::EndKind::Closed);
                        self.lose_watch(p);
                    }
                    None => {}
                }
            }
        }
    }

    fn whose(&self, key: LinkKey) -> Option<(usize, At)> {
        self.at.get(key).copied()
    }

    /// A link that the world has given back already.
    fn refused(&mut self, key: LinkKey) -> Option<(usize, At)> {
        self.at.remove(key)
    }

    fn lose_watch(&mut self, p: usize) {
        if let Some(process) = &mut self.processes[p] {
            process.watch = None;
            let clock = self.clock();
            self.tell(p, clock, Event::WatchLost, &[]);
        }
    }

    fn start(&mut self, p: usize, known: &Value) {
        if self.current[p].is_none() {
            self.begin(p, known, None);
            self.world.on_listening(self.now, p);
        }
    }

    /// A new process takes a running one's place, with what that has learned.
    fn hand_over(&mut self, p: usize, leave_in: f64) {
        let clock = self.clock();
        let Some(old) = self.current[p] else { return };
        let Some(handed) = self.processes[old].as_ref().and_then(|one| one.proxy.export_state(clock)) else {
            return;
        };
        let Some(handed) = handover_state::decode(&handed) else { return };
        let list = handed.list.clone();
        self.begin(p, &list, Some(&handed));
        self.tell(old, clock, Event::Retire(leave_in), &[]);
    }

    fn begin(&mut self, p: usize, known: &Value, handed: Option<&handover_state::HandoverState>) {
        let clock = self.clock();
        let (of, seed) = (&self.world.experiment, u128::from(self.world.proxy_seed(p)));
        let startup = Startup::read(&proxy_settings(of, p)).expect("the settings are the world's own");
        let discovery = agent_address(self.world.discovery_address(p));
        let plain = |policy, fault, startup| {
            let truths = self.truths.clone();
            Box::new(BaselineProxy::new(clock, startup, of, p, seed, discovery, known, policy, fault, truths))
        };
        let proxy: Box<dyn Proxy> = match self.who {
            ProxyKind::Dewhead => {
                let mut reducer = Reducer::new(clock, startup, seed, discovery, of.proxy.sockets, known);
                if let Some(handed) = handed {
                    reducer.import_state(clock, handed);
                }
                Box::new(reducer)
            }
            ProxyKind::Baseline(policy) => plain(policy, None, startup),
            ProxyKind::Faulty(fault) => plain(Policy::LeastOwnConnections, Some(fault), startup),
        };
        let process = Process {
            of: p,
            proxy,
            clients: Vec::new(),
            legs: Vec::new(),
            watch: None,
            since: 0,
            accepting: true,
            waiting: VecDeque::new(),
            fresh: None,
            due: None,
        };
        self.current[p] = Some(self.processes.len());
        self.processes.push(Some(process));
        self.apply(self.processes.len() - 1, clock, &[]);
    }

    /// The processes of a proxy, the one that serves and those that retire.
    fn processes_of(&self, p: usize) -> Vec<usize> {
        let its = |one: &Option<Process>| one.as_ref().is_some_and(|one| one.of == p);
        (0..self.processes.len()).filter(|n| its(&self.processes[*n])).collect()
    }

    /// A process has ended by itself; its proxy is gone with the last.
    fn end(&mut self, p: usize) {
        let Some(process) = self.processes[p].take() else { return };
        let of = process.of;
        let ends = process.clients.iter().chain(&process.legs).flatten().chain(&process.watch);
        let held: Vec<LinkKey> = ends.chain(&process.waiting).chain(&process.fresh).copied().collect();
        for key in &held {
            self.at.remove(*key);
        }
        let served = self.current[of] == Some(p);
        if served {
            self.current[of] = None;
        }
        if self.processes_of(of).is_empty() {
            return self.world.on_exit(self.now, of);
        }
        if served {
            self.world.on_listener_closed(self.now, of);
        }
        for key in held {
            self.world.on_end(self.now, key, world::EndKind::Broken);
        }
    }

    fn accept(&mut self, p: usize) {
        while let Some(process) = self.processes[p].as_mut().filter(|one| one.accepting) {
            let Some(key) = process.waiting.pop_front() else { return };
            process.fresh = Some(key);
            let clock = self.clock();
            self.tell(p, clock, Event::Accepted, &[]);
        }
    }

    fn tell(&mut self, p: usize, clock: f64, event: Event, bytes: &[u8]) {
        if self.who == ProxyKind::Baseline(Policy::Oracle) && self.now - self.looked >= LOOK {
            self.looked = self.now;
            *self.truths.borrow_mut() = policy::snapshot_nodes(&self.world, self.now);
        }
        let Some(process) = &mut self.processes[p] else { return };
        // As the loop does: timers that are due come before what the sockets have.
        if !matches!(event, Event::Tick) && process.proxy.next_due().is_some_and(|at| at <= clock) {
            process.proxy.step(clock, Event::Tick);
            self.apply(p, clock, &[]);
        }
        let Some(process) = &mut self.processes[p] else { return };
        process.proxy.step(clock, event);
        self.apply(p, clock, bytes);
    }

    fn link(&self, p: usize, end: Endpoint) -> Option<LinkKey> {
        let process = self.processes[p].as_ref()?;
        match end {
            Endpoint::Client(slot) => *process.clients.get(slot)?,
            Endpoint::Server(leg) => *process.legs.get(leg)?,
        }
    }

    fn say(&mut self, p: usize, end: Endpoint, bytes: &[u8]) {
        if let Some(key) = self.link(p, end).filter(|_| !bytes.is_empty()) {
            self.world.on_bytes(self.now, key, bytes);
        }
    }

    /// Carries out what a process asks for, and what it asks for meanwhile.
    fn apply(&mut self, p: usize, clock: f64, bytes: &[u8]) {
        let mut written: Vec<usize> = Vec::new();
        let of = self.processes[p].as_ref().map_or(0, |one| one.of);
        let effects = self.processes[p].as_mut().map_or(Vec::new(), |one| one.proxy.take_effects());
        let mut accept = false;
        let mut exit = false;
        for effect in effects {
            match effect {
                Effect::AssignSession(slot) => {
                    if let Some(process) = &mut self.processes[p] {
                        if let Some(key) = process.fresh.take() {
                            put(&mut process.clients, slot, key);
                            self.at.insert(key, (p, At::Client(slot)));
                        }
                    }
                }
                Effect::Connect(leg, to) => {
                    let key = self.world.on_dial(self.now, of, Target::Node(place(to)));
                    self.at.insert(key, (p, At::Leg(leg)));
                    if let Some(process) = &mut self.processes[p] {
                        put(&mut process.legs, leg, key);
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
                    self.say(p, Endpoint::Server(leg), &text);
                    written.push(leg);
                }
                Effect::Forward(end, range) => self.say(p, end, &bytes[range]),
                Effect::Write(end, text) => self.say(p, end, &text),
                Effect::ShutdownWrite(end) => {
                    if let Some(key) = self.link(p, end) {
                        self.world.on_end(self.now, key, world::EndKind::Finished);
                    }
                }
                Effect::Close(end, how) => {
                    if let Some(key) = self.link(p, end) {
                        let how = if how == CloseKind::Abortive {
                            world::EndKind::Broken
                        } else {
                            world::EndKind::Closed
                        };
                        self.at.remove(key);
                        self.world.on_end(self.now, key, how);
                        if let Some(process) = &mut self.processes[p] {
                            match end {
                                Endpoint::Client(slot) => process.clients[slot] = None,
                                Endpoint::Server(leg) => process.legs[leg] = None,
                            }
                        }
                    }
                }
                Effect::SetAccepting(on) => {
                    if let Some(process) = &mut self.processes[p] {
                        process.accepting = on;
                        accept |= on;
                    }
                }
                Effect::OpenWatch(to, since) => {
                    self.unfollow(p);
                    let key = self.world.on_dial(self.now, of, Target::Agent(place(to)));
                    self.at.insert(key, (p, At::Watch));
                    if let Some(process) = &mut self.processes[p] {
                        (process.watch, process.since) = (Some(key), since);
                    }
                }
                Effect::CloseWatch => self.unfollow(p),
                Effect::Exit => exit = true,
            }
        }
        if exit {
            return self.end(p);
        }
        if let Some(process) = &mut self.processes[p] {
            // A little later, as timers are kept in whole microseconds.
            let due = process.proxy.next_due().map(|at| at.max(clock) + TIMER_GRAIN);
            if due != process.due {
                process.due = due;
                // Times are positive, so that their bits order as they do.
                self.due.extend(due.map(|at| Reverse((at.to_bits(), p))));
            }
        }
        for leg in written {
            if let Some(process) = &mut self.processes[p] {
                process.proxy.step(clock, Event::HeadWritten(leg));
                self.apply(p, clock, &[]);
            }
        }
        if accept {
            self.accept(p);
        }
    }

    fn unfollow(&mut self, p: usize) {
        if let Some(key) = self.processes[p].as_mut().and_then(|one| one.watch.take()) {
            self.at.remove(key);
            self.world.on_end(self.now, key, world::EndKind::Closed);
        }
    }
}
