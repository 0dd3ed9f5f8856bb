//! Stub proxies: each runs the shipped control code over its own connection to discovery, with generated clients and
//! servers. Many share one process; their cost is the processor time that its single thread spends in their steps.

use super::{resident_memory, thread_cpu_time, Clock};
use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use dewhead_proxy::wire::http;
use dewhead_startup::Startup;
use dewhead_world::experiment::Experiment;
use dewhead_world::settings::proxy_settings;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

/// Interval at which timers are checked, in seconds.
const POLL_INTERVAL_SECONDS: f64 = 0.01;

/// What one process of stub proxies runs, passed to it as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StubSpec {
    /// Number of stub proxies in this process.
    pub proxies: usize,
    /// Position of the first of them among all proxies.
    #[serde(rename = "first")]
    pub first_position: usize,
    /// Number of proxies in all processes, real ones included.
    #[serde(rename = "siblings")]
    pub total_proxies: usize,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Calls per second at each proxy.
    #[serde(rename = "picks")]
    pub calls_per_second: f64,
    /// Connections that stay open at each proxy.
    #[serde(rename = "standing")]
    pub open_connections: usize,
}

/// Counts of one process of stub proxies, summed over them. Counting starts at the `go` command unless noted otherwise.
#[derive(Clone, Default, Debug, Serialize, Deserialize)]
pub struct StubCounts {
    /// Number of stub proxies in this process.
    pub proxies: usize,
    /// Bytes received from discovery until every proxy had its first full list; counted from the start.
    #[serde(rename = "first_bytes")]
    pub first_list_bytes: u64,
    /// Processor time in seconds of the steps that took those bytes.
    #[serde(rename = "first_cpu")]
    pub first_list_cpu: f64,
    /// Resident memory in bytes before any proxy was created.
    #[serde(rename = "empty")]
    pub memory_before_proxies: f64,
    /// Resident memory in bytes once every proxy had a server list.
    #[serde(rename = "listed")]
    pub memory_with_lists: f64,
    /// Resident memory in bytes once every proxy also had its open connections.
    #[serde(rename = "stand")]
    pub memory_with_connections: f64,
    /// Watches requested from discovery.
    #[serde(rename = "calls")]
    pub watch_requests: u64,
    /// Bytes received from discovery.
    #[serde(rename = "bytes")]
    pub watch_bytes: u64,
    /// Processor time of steps that handled data from discovery, in seconds.
    pub watch_cpu: f64,
    /// Processor time of steps that handled timers, in seconds.
    #[serde(rename = "tick_cpu")]
    pub timer_cpu: f64,
    /// Processor time of steps that handled calls, in seconds.
    #[serde(rename = "pick_cpu")]
    pub call_cpu: f64,
    /// Steps of all kinds.
    pub steps: u64,
    /// Calls made at the scheduled rate.
    #[serde(rename = "picks")]
    pub client_calls: u64,
    /// Answers to clients other than `UP` and `MOVE`.
    pub refused: u64,
    /// Duration from the `go` command to the `stop` command, in seconds.
    pub seconds: f64,
    /// Largest delay of a timer check beyond its interval, in seconds.
    #[serde(rename = "late")]
    pub max_delay: f64,
    /// Each list version that every proxy here received, with the Unix time at which the last one did.
    #[serde(rename = "held")]
    pub version_times: Vec<(u64, f64)>,
    /// Longest time from the restart of a proxy to its first server list, in seconds.
    #[serde(rename = "again")]
    pub max_restart_recovery: f64,
}

/// The settings that both stub and real proxies use.
pub fn scale_settings(position: usize, total_proxies: usize) -> Result<Value, String> {
    let mut experiment = Experiment::parse("name = \"scale\"\nabout = \"hollow\"")?;
    experiment.fleet.zones = vec!["a".into()];
    experiment.fleet.proxies = total_proxies.max(1);
    Ok(proxy_settings(&experiment, position))
}

/// One stub proxy.
struct StubProxy {
    reducer: Reducer,
    position: usize,
    /// The connection to discovery, the request to send on it, and whether it is still connecting.
    watch: Option<(TcpStream, Vec<u8>, bool)>,
    /// The slot assigned to the last accepted client, until its call is made.
    assigned_slot: Option<usize>,
    /// Slots of open calls, oldest first, with the serial number of the call; closed calls are not removed.
    calls_by_age: VecDeque<(usize, u64)>,
    /// Serial number of the open call in each slot.
    open_calls: BTreeMap<usize, u64>,
    /// Unix time of the next scheduled call.
    next_call: f64,
    /// Version of the server list; 0 before the first.
    version: u64,
    /// Unix time at which the proxy was created.
    created_at: f64,
}

/// The stub proxies of this process and what they share.
struct Process {
    spec: StubSpec,
    settings: Value,
    poll: Poll,
    proxies: Vec<StubProxy>,
    counts: StubCounts,
    /// For each list version, how many proxies have received it and the Unix time at which the last one did.
    version_arrivals: BTreeMap<u64, (usize, f64)>,
    clock: Clock,
    serial: u64,
    /// The options at the end of an `OPEN` line.
    call_options: String,
}

/// What a step handles; selects the count that its processor time is added to.
#[derive(Clone, Copy, PartialEq)]
enum StepKind {
    Watch,
    Timer,
    Call,
}

/// Runs stub proxies until the command `stop` or the end of standard input. Commands are lines of standard input;
/// events and counts go to standard output as JSON.
pub fn run_process(spec: StubSpec) -> Result<(), String> {
    let (command_sender, commands) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let Ok(line) = line else { break };
            if command_sender.send(line).is_err() {
                break;
            }
        }
    });
    let settings = scale_settings(0, spec.total_proxies)?;
    let first_entry_name = |list: &str| settings[list][0]["name"].as_str().unwrap_or("").to_owned();
    let call_options =
        format!("c={},t={},d=2000\r\n", first_entry_name("trafficTypes"), first_entry_name("tenants"));
    let poll = Poll::new().map_err(|e| e.to_string())?;
    let mut process = Process {
        poll,
        proxies: Vec::new(),
        counts: StubCounts {
            proxies: spec.proxies,
            memory_before_proxies: resident_memory(std::process::id()),
            ..StubCounts::default()
        },
        version_arrivals: BTreeMap::new(),
        clock: Clock::default(),
        serial: 0,
        call_options,
        settings,
        spec,
    };
    process.run(&commands)
}

impl Process {
    fn run(&mut self, commands: &Receiver<String>) -> Result<(), String> {
        for i in 0..self.spec.proxies {
            let proxy = self.new_proxy(i)?;
            self.proxies.push(proxy);
            self.apply(i, &[]);
        }
        let (mut all_listed, mut all_connected, mut measure_start, mut last_poll) =
            (false, false, None::<f64>, self.clock.now());
        let mut events = Events::with_capacity(1024);
        loop {
            let _ = self.poll.poll(&mut events, Some(Duration::from_secs_f64(POLL_INTERVAL_SECONDS)));
            for event in events.iter() {
                self.handle_watch_ready(event.token().0, event.is_writable());
            }
            let now = self.clock.now();
            if measure_start.is_some() {
                self.counts.max_delay = self.counts.max_delay.max(now - last_poll - POLL_INTERVAL_SECONDS);
            }
            last_poll = now;
            for i in 0..self.proxies.len() {
                if self.proxies[i].reducer.next_due().is_some_and(|due| due <= now) {
                    self.proxies[i].reducer.set_poll_times(now, 0.0);
                    self.step(i, Event::Tick, StepKind::Timer);
                }
                while measure_start.is_some() && self.proxies[i].next_call <= now {
                    self.proxies[i].next_call += 1.0 / self.spec.calls_per_second;
                    self.replace_oldest_call(i);
                }
            }
            if !all_listed && self.proxies.iter().all(|p| p.version > 0) {
                all_listed = true;
                self.counts.first_list_bytes = self.counts.watch_bytes;
                self.counts.first_list_cpu = self.counts.watch_cpu;
                self.counts.memory_with_lists = resident_memory(std::process::id());
                println!("{}", json!({"ready": self.proxies.len()}));
            }
            // Opens at most 20 connections per proxy between polls, so that data from discovery is not delayed.
            if all_listed && !all_connected {
                all_connected = true;
                for i in 0..self.proxies.len() {
                    for _ in 0..20 {
                        if self.proxies[i].open_calls.len() < self.spec.open_connections {
                            self.start_call(i);
                            all_connected = false;
                        }
                    }
                }
                if all_connected {
                    self.counts.memory_with_connections = resident_memory(std::process::id());
                    println!("{}", json!({"filled": true}));
                }
            }
            match commands.try_recv() {
                Ok(line) => match line.split_whitespace().collect::<Vec<_>>()[..] {
                    ["go"] => {
                        let previous = self.counts.clone();
                        self.counts = StubCounts {
                            proxies: previous.proxies,
                            first_list_bytes: previous.first_list_bytes,
                            first_list_cpu: previous.first_list_cpu,
                            memory_before_proxies: previous.memory_before_proxies,
                            memory_with_lists: previous.memory_with_lists,
                            memory_with_connections: previous.memory_with_connections,
                            ..StubCounts::default()
                        };
                        self.version_arrivals.clear();
                        measure_start = Some(self.clock.now());
                        self.schedule_calls();
                    }
                    ["restart", fraction] => self.restart(fraction.parse().unwrap_or(1.0))?,
                    ["stop"] => {
                        let now = self.clock.now();
                        self.counts.seconds = measure_start.map_or(0.0, |start| now - start);
                        let proxy_count = self.proxies.len();
                        let complete =
                            self.version_arrivals.iter().filter(|(_, (count, _))| *count == proxy_count);
                        self.counts.version_times =
                            complete.map(|(version, (_, time))| (*version, *time)).collect();
                        println!("{}", serde_json::to_string(&self.counts).map_err(|e| e.to_string())?);
                        return Ok(());
                    }
                    _ => return Err(format!("unknown command '{line}'")),
                },
                // The parent process closed its end of the pipe.
                Err(TryRecvError::Disconnected) => return Ok(()),
                Err(TryRecvError::Empty) => {}
            }
        }
    }

    /// Creates the stub proxy with index `i`.
    fn new_proxy(&mut self, i: usize) -> Result<StubProxy, String> {
        let now = self.clock.now();
        let position = self.spec.first_position + i;
        self.settings["position"] = position.into();
        let startup = Startup::parse(&self.settings)?;
        self.serial += 1;
        let seed = u128::from(self.serial) << 32 | position as u128;
        let max_sockets = 2 * self.spec.open_connections + 256;
        let reducer = Reducer::new(now, startup, seed, self.spec.discovery, max_sockets, &Value::Null);
        Ok(StubProxy {
            reducer,
            position,
            watch: None,
            assigned_slot: None,
            calls_by_age: VecDeque::new(),
            open_calls: BTreeMap::new(),
            next_call: f64::INFINITY,
            version: 0,
            created_at: now,
        })
    }

    /// Schedules the first call of each proxy; the golden ratio spreads the phases of proxies evenly over the interval.
    fn schedule_calls(&mut self) {
        let now = self.clock.now();
        for proxy in &mut self.proxies {
            let fraction = (proxy.position as f64 * 0.618_034).fract();
            proxy.next_call = if self.spec.calls_per_second > 0.0 {
                now + fraction / self.spec.calls_per_second
            } else {
                f64::INFINITY
            };
        }
    }

    /// Replaces the given fraction of the proxies by new ones without a server list.
    fn restart(&mut self, fraction: f64) -> Result<(), String> {
        for i in 0..((self.proxies.len() as f64 * fraction).ceil() as usize).min(self.proxies.len()) {
            let proxy = self.new_proxy(i)?;
            let next_call = self.proxies[i].next_call;
            self.proxies[i] = StubProxy { next_call, ..proxy };
            self.apply(i, &[]);
        }
        Ok(())
    }

    /// Passes an event to a proxy, measures the step, and carries out its effects.
    fn step(&mut self, i: usize, event: Event, kind: StepKind) {
        let bytes = match event {
            Event::Bytes(_, bytes) => bytes.to_vec(),
            _ => Vec::new(),
        };
        let now = self.clock.now();
        let before = thread_cpu_time();
        self.proxies[i].reducer.step(now, event);
        let cpu_time = thread_cpu_time() - before;
        self.counts.steps += 1;
        match kind {
            StepKind::Watch => self.counts.watch_cpu += cpu_time,
            StepKind::Timer => self.counts.timer_cpu += cpu_time,
            StepKind::Call => self.counts.call_cpu += cpu_time,
        }
        self.apply(i, &bytes);
    }

    /// Carries out the effects of a step: connections to servers succeed at once and servers answer `UP 1`.
    fn apply(&mut self, i: usize, _bytes: &[u8]) {
        let mut follow_ups: VecDeque<(Event<'static>, StepKind)> = VecDeque::new();
        for effect in self.proxies[i].reducer.take_effects() {
            match effect {
                Effect::AssignSession(slot) => self.proxies[i].assigned_slot = Some(slot),
                Effect::Connect(leg, _) => follow_ups.push_back((Event::Connected(leg), StepKind::Call)),
                Effect::SendHead { leg, .. } => {
                    follow_ups.push_back((Event::HeadWritten(leg), StepKind::Call));
                    follow_ups.push_back((Event::Bytes(Endpoint::Server(leg), b"UP 1\r\n"), StepKind::Call));
                }
                Effect::Write(Endpoint::Client(slot), bytes) => {
                    if bytes.starts_with(b"UP") {
                        self.serial += 1;
                        let proxy = &mut self.proxies[i];
                        proxy.calls_by_age.push_back((slot, self.serial));
                        proxy.open_calls.insert(slot, self.serial);
                    } else if !bytes.starts_with(b"MOVE") {
                        self.counts.refused += 1;
                    }
                }
                Effect::ShutdownWrite(endpoint) => {
                    follow_ups.push_back((Event::Closed(endpoint, CloseKind::Graceful), StepKind::Call))
                }
                Effect::Close(Endpoint::Client(slot), _) => drop(self.proxies[i].open_calls.remove(&slot)),
                Effect::OpenWatch(discovery, since) => self.open_watch(i, discovery, since),
                Effect::CloseWatch => self.proxies[i].watch = None,
                Effect::Close(Endpoint::Server(_), _)
                | Effect::Forward(..)
                | Effect::Write(..)
                | Effect::SetAccepting(_)
                | Effect::OpenHedge(..)
                | Effect::CloseHedge(_)
                | Effect::PromoteHedge(_)
                | Effect::DemoteWatch(_)
                | Effect::Exit => {}
            }
        }
        for (event, kind) in follow_ups {
            self.step(i, event, kind);
        }
    }

    /// Connects to discovery to watch changes since a version.
    fn open_watch(&mut self, i: usize, discovery: SocketAddr, since: u64) {
        self.counts.watch_requests += 1;
        self.proxies[i].watch = None;
        let opened = TcpStream::connect(discovery).and_then(|mut socket| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut socket, Token(i), interest)?;
            Ok(socket)
        });
        match opened {
            Ok(socket) => {
                let request = http::watch_request(&discovery.to_string(), since);
                self.proxies[i].watch = Some((socket, request, true));
            }
            Err(_) => self.step(i, Event::WatchLost, StepKind::Watch),
        }
    }

    /// Handles a poll event on the connection to discovery.
    fn handle_watch_ready(&mut self, i: usize, writable: bool) {
        let Some((socket, request, connecting)) = self.proxies.get_mut(i).and_then(|p| p.watch.as_mut())
        else {
            return;
        };
        if *connecting {
            if !writable {
                return;
            }
            if !matches!(socket.take_error(), Ok(None))
                || socket.peer_addr().is_err()
                || socket.write_all(request).is_err()
            {
                self.proxies[i].watch = None;
                return self.step(i, Event::WatchLost, StepKind::Watch);
            }
            *connecting = false;
            self.step(i, Event::WatchOpened, StepKind::Watch);
        }
        let mut buffer = [0; 8192];
        loop {
            let Some((socket, _, false)) = self.proxies[i].watch.as_mut() else { return };
            match socket.read(&mut buffer) {
                Ok(0) => {
                    self.proxies[i].watch = None;
                    return self.step(i, Event::WatchLost, StepKind::Watch);
                }
                Ok(count) => {
                    self.counts.watch_bytes += count as u64;
                    self.step(i, Event::WatchBytes(&buffer[..count]), StepKind::Watch);
                    self.record_version(i);
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.proxies[i].watch = None;
                    return self.step(i, Event::WatchLost, StepKind::Watch);
                }
            }
        }
    }

    /// Records the list versions that a proxy has received since the last call of this function.
    fn record_version(&mut self, i: usize) {
        let now = self.clock.now();
        let proxy = &mut self.proxies[i];
        let version = proxy.reducer.list_version();
        if version <= proxy.version {
            return;
        }
        if proxy.version == 0 {
            self.counts.max_restart_recovery = self.counts.max_restart_recovery.max(now - proxy.created_at);
        }
        for received in (proxy.version + 1).max(version.saturating_sub(100))..=version {
            let (count, last) = self.version_arrivals.entry(received).or_insert((0, now));
            *count += 1;
            *last = last.max(now);
        }
        proxy.version = version;
    }

    /// Closes the oldest connections down to one below the number to keep open, then makes a new call.
    fn replace_oldest_call(&mut self, i: usize) {
        self.counts.client_calls += 1;
        while self.proxies[i].open_calls.len() >= self.spec.open_connections.max(1) {
            let Some((slot, serial)) = self.proxies[i].calls_by_age.pop_front() else { break };
            if self.proxies[i].open_calls.get(&slot) == Some(&serial) {
                self.step(i, Event::Closed(Endpoint::Client(slot), CloseKind::Graceful), StepKind::Call);
            }
        }
        self.start_call(i);
    }

    /// Accepts a client that makes a call.
    fn start_call(&mut self, i: usize) {
        self.step(i, Event::Accepted, StepKind::Call);
        let Some(slot) = self.proxies[i].assigned_slot.take() else { return };
        self.serial += 1;
        let line = format!("OPEN {:016x} {:016x} {}", self.serial, self.serial, self.call_options);
        self.step(i, Event::Bytes(Endpoint::Client(slot), line.as_bytes()), StepKind::Call);
    }
}
