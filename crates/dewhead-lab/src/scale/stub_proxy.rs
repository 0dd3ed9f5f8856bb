//! Hollow proxies: the shipped control code, each over a connection of its own to discovery, with made-up clients and
//! servers. Many share this process; what they cost is the processor time of its one thread inside their steps.

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

/// How often timers are looked at, in seconds.
const LOOK: f64 = 0.01;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StubSpec {
    pub proxies: usize,
    /// The number of the first, and how many there are in all processes.
    #[serde(rename = "first")]
    pub first_position: usize,
    #[serde(rename = "siblings")]
    pub total_proxies: usize,
    pub discovery: SocketAddr,
    #[serde(rename = "picks")]
    pub calls_per_second: f64,
    #[serde(rename = "standing")]
    pub open_connections: usize,
}

/// What a process has counted, since it was told to go where nothing else is said.
#[derive(Clone, Default, Debug, Serialize, Deserialize)]
pub struct StubCounts {
    pub proxies: usize,
    /// Bytes that came from discovery and processor time in steps that took them up to the first whole list, over all.
    #[serde(rename = "first_bytes")]
    pub first_list_bytes: u64,
    #[serde(rename = "first_cpu")]
    pub first_list_cpu: f64,
    /// Bytes held: before any proxy, once all hold a list, and with their connections.
    #[serde(rename = "empty")]
    pub memory_before_proxies: f64,
    #[serde(rename = "listed")]
    pub memory_with_lists: f64,
    #[serde(rename = "stand")]
    pub memory_with_connections: f64,
    #[serde(rename = "calls")]
    pub watch_requests: u64,
    #[serde(rename = "bytes")]
    pub watch_bytes: u64,
    /// Processor time in steps that took up what discovery wrote, in ticks, and in all that calls need, in seconds.
    pub watch_cpu: f64,
    #[serde(rename = "tick_cpu")]
    pub timer_cpu: f64,
    #[serde(rename = "pick_cpu")]
    pub call_cpu: f64,
    pub steps: u64,
    #[serde(rename = "picks")]
    pub client_calls: u64,
    pub refused: u64,
    pub seconds: f64,
    /// By how much it came late to a look at its timers, at the most.
    #[serde(rename = "late")]
    pub max_delay: f64,
    /// When the last proxy here held each version.
    #[serde(rename = "held")]
    pub version_times: Vec<(u64, f64)>,
    /// When the last of those that started anew held a list again, after they had.
    #[serde(rename = "again")]
    pub max_restart_recovery: f64,
}

/// The settings of hollow and real proxies alike.
pub fn scale_settings(position: usize, total_proxies: usize) -> Result<Value, String> {
    let mut of = Experiment::parse("name = \"scale\"\nabout = \"hollow\"")?;
    of.fleet.zones = vec!["a".into()];
    of.fleet.proxies = total_proxies.max(1);
    Ok(proxy_settings(&of, position))
}

struct Hollow {
    reducer: Reducer,
    position: usize,
    link: Option<(TcpStream, Vec<u8>, bool)>,
    admitted: Option<usize>,
    /// Slots that stand, the oldest first, with a number of their own.
    stands: VecDeque<(usize, u64)>,
    alive: BTreeMap<usize, u64>,
    next_pick: f64,
    version: u64,
    since: f64,
}

struct Process {
    spec: StubSpec,
    settings: Value,
    poll: Poll,
    hollows: Vec<Hollow>,
    counts: StubCounts,
    held: BTreeMap<u64, (usize, f64)>,
    clock: Clock,
    serial: u64,
    open: String,
}

/// What a step was for.
#[derive(Clone, Copy, PartialEq)]
enum For {
    Watch,
    Tick,
    Pick,
}

/// Runs until told to stop; `lines` are commands, and what is told goes to standard output.
pub fn run_process(spec: StubSpec) -> Result<(), String> {
    let (tell, told_lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let Ok(line) = line else { break };
            if tell.send(line).is_err() {
                break;
            }
        }
    });
    let settings = scale_settings(0, spec.total_proxies)?;
    let name = |list: &str| settings[list][0]["name"].as_str().unwrap_or("").to_owned();
    let open = format!("c={},t={},d=2000\r\n", name("trafficTypes"), name("tenants"));
    let poll = Poll::new().map_err(|e| e.to_string())?;
    let mut process = Process {
        poll,
        hollows: Vec::new(),
        counts: StubCounts {
            proxies: spec.proxies,
            memory_before_proxies: resident_memory(std::process::id()),
            ..StubCounts::default()
        },
        held: BTreeMap::new(),
        clock: Clock::default(),
        serial: 0,
        open,
        settings,
        spec,
    };
    process.play(&told_lines)
}

impl Process {
    fn play(&mut self, lines: &Receiver<String>) -> Result<(), String> {
        for at in 0..self.spec.proxies {
            let hollow = self.make(at)?;
            self.hollows.push(hollow);
            self.apply(at, &[]);
        }
        let (mut ready, mut filled, mut go, mut looked) = (false, false, None::<f64>, self.clock.now());
        let mut events = Events::with_capacity(1024);
        loop {
            let _ = self.poll.poll(&mut events, Some(Duration::from_secs_f64(LOOK)));
            for event in events.iter() {
                self.watched(event.token().0, event.is_writable());
            }
            let now = self.clock.now();
            if go.is_some() {
                self.counts.max_delay = self.counts.max_delay.max(now - looked - LOOK);
            }
            looked = now;
            for at in 0..self.hollows.len() {
                if self.hollows[at].reducer.next_due().is_some_and(|due| due <= now) {
                    self.hollows[at].reducer.set_poll_times(now, 0.0);
                    self.step(at, Event::Tick, For::Tick);
                }
                while go.is_some() && self.hollows[at].next_pick <= now {
                    self.hollows[at].next_pick += 1.0 / self.spec.calls_per_second;
                    self.pick(at);
                }
            }
            if !ready && self.hollows.iter().all(|h| h.version > 0) {
                ready = true;
                self.counts.first_list_bytes = self.counts.watch_bytes;
                self.counts.first_list_cpu = self.counts.watch_cpu;
                self.counts.memory_with_lists = resident_memory(std::process::id());
                println!("{}", json!({"ready": self.hollows.len()}));
            }
            // A few at a time, so that what discovery writes is not waited for.
            if ready && !filled {
                filled = true;
                for at in 0..self.hollows.len() {
                    for _ in 0..20 {
                        if self.hollows[at].alive.len() < self.spec.open_connections {
                            self.call(at);
                            filled = false;
                        }
                    }
                }
                if filled {
                    self.counts.memory_with_connections = resident_memory(std::process::id());
                    println!("{}", json!({"filled": true}));
                }
            }
            match lines.try_recv() {
                Ok(line) => match line.split_whitespace().collect::<Vec<_>>()[..] {
                    ["go"] => {
                        let kept = self.counts.clone();
                        self.counts = StubCounts {
                            proxies: kept.proxies,
                            first_list_bytes: kept.first_list_bytes,
                            first_list_cpu: kept.first_list_cpu,
                            memory_before_proxies: kept.memory_before_proxies,
                            memory_with_lists: kept.memory_with_lists,
                            memory_with_connections: kept.memory_with_connections,
                            ..StubCounts::default()
                        };
                        self.held.clear();
                        go = Some(self.clock.now());
                        self.schedule();
                    }
                    ["restart", part] => self.restart(part.parse().unwrap_or(1.0))?,
                    ["stop"] => {
                        let now = self.clock.now();
                        self.counts.seconds = go.map_or(0.0, |at| now - at);
                        let all = self.hollows.len();
                        let whole = self.held.iter().filter(|(_, (count, _))| *count == all);
                        self.counts.version_times = whole.map(|(version, (_, at))| (*version, *at)).collect();
                        println!("{}", serde_json::to_string(&self.counts).map_err(|e| e.to_string())?);
                        return Ok(());
                    }
                    _ => return Err(format!("'{line}' is no command")),
                },
                // Whoever started this has gone.
                Err(TryRecvError::Disconnected) => return Ok(()),
                Err(TryRecvError::Empty) => {}
            }
        }
    }

    fn make(&mut self, at: usize) -> Result<Hollow, String> {
        let now = self.clock.now();
        let position = self.spec.first_position + at;
        self.settings["position"] = position.into();
        let startup = Startup::read(&self.settings)?;
        self.serial += 1;
        let seed = u128::from(self.serial) << 32 | position as u128;
        let most = 2 * self.spec.open_connections + 256;
        let reducer = Reducer::new(now, startup, seed, self.spec.discovery, most, &Value::Null);
        Ok(Hollow {
            reducer,
            position,
            link: None,
            admitted: None,
            stands: VecDeque::new(),
            alive: BTreeMap::new(),
            next_pick: f64::INFINITY,
            version: 0,
            since: now,
        })
    }

    /// Calls come evenly, at another moment at each proxy.
    fn schedule(&mut self) {
        let now = self.clock.now();
        for hollow in &mut self.hollows {
            let part = (hollow.position as f64 * 0.618_034).fract();
            hollow.next_pick = if self.spec.calls_per_second > 0.0 {
                now + part / self.spec.calls_per_second
            } else {
                f64::INFINITY
            };
        }
    }

    fn restart(&mut self, part: f64) -> Result<(), String> {
        for at in 0..((self.hollows.len() as f64 * part).ceil() as usize).min(self.hollows.len()) {
            let hollow = self.make(at)?;
            let next_pick = self.hollows[at].next_pick;
            self.hollows[at] = Hollow { next_pick, ..hollow };
            self.apply(at, &[]);
        }
        Ok(())
    }

    fn step(&mut self, at: usize, event: Event, what: For) {
        let bytes = match event {
            Event::Bytes(_, bytes) => bytes.to_vec(),
            _ => Vec::new(),
        };
        let now = self.clock.now();
        let before = thread_cpu_time();
        self.hollows[at].reducer.step(now, event);
        let took = thread_cpu_time() - before;
        self.counts.steps += 1;
        match what {
            For::Watch => self.counts.watch_cpu += took,
            For::Tick => self.counts.timer_cpu += took,
            For::Pick => self.counts.call_cpu += took,
        }
        self.apply(at, &bytes);
    }

    fn apply(&mut self, at: usize, _bytes: &[u8]) {
        let mut then: VecDeque<(Event<'static>, For)> = VecDeque::new();
        for effect in self.hollows[at].reducer.take_effects() {
            match effect {
                Effect::AssignSession(slot) => self.hollows[at].admitted = Some(slot),
                Effect::Connect(leg, _) => then.push_back((Event::Connected(leg), For::Pick)),
                Effect::SendHead { leg, .. } => {
                    then.push_back((Event::HeadWritten(leg), For::Pick));
                    then.push_back((Event::Bytes(Endpoint::Server(leg), b"UP 1\r\n"), For::Pick));
                }
                Effect::Write(Endpoint::Client(slot), text) => {
                    if text.starts_with(b"UP") {
                        self.serial += 1;
                        let hollow = &mut self.hollows[at];
                        hollow.stands.push_back((slot, self.serial));
                        hollow.alive.insert(slot, self.serial);
                    } else if !text.starts_with(b"MOVE") {
                        self.counts.refused += 1;
                    }
                }
                Effect::ShutdownWrite(end) => {
                    then.push_back((Event::Closed(end, CloseKind::Graceful), For::Pick))
                }
                Effect::Close(Endpoint::Client(slot), _) => drop(self.hollows[at].alive.remove(&slot)),
                Effect::OpenWatch(discovery, since) => self.follow(at, discovery, since),
                Effect::CloseWatch => self.hollows[at].link = None,
                Effect::Close(Endpoint::Server(_), _)
                | Effect::Forward(..)
                | Effect::Write(..)
                | Effect::SetAccepting(_)
                | Effect::Exit => {}
            }
        }
        for (event, what) in then {
            self.step(at, event, what);
        }
    }

    fn follow(&mut self, at: usize, discovery: SocketAddr, since: u64) {
        self.counts.watch_requests += 1;
        self.hollows[at].link = None;
        let opened = TcpStream::connect(discovery).and_then(|mut socket| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut socket, Token(at), interest)?;
            Ok(socket)
        });
        match opened {
            Ok(socket) => {
                let asks = http::watch_request(&discovery.to_string(), since);
                self.hollows[at].link = Some((socket, asks, true));
            }
            Err(_) => self.step(at, Event::WatchLost, For::Watch),
        }
    }

    fn watched(&mut self, at: usize, writable: bool) {
        let Some((socket, asks, connecting)) = self.hollows.get_mut(at).and_then(|h| h.link.as_mut()) else {
            return;
        };
        if *connecting {
            if !writable {
                return;
            }
            if !matches!(socket.take_error(), Ok(None))
                || socket.peer_addr().is_err()
                || socket.write_all(asks).is_err()
            {
                self.hollows[at].link = None;
                return self.step(at, Event::WatchLost, For::Watch);
            }
            *connecting = false;
            self.step(at, Event::WatchOpened, For::Watch);
        }
        let mut piece = [0; 8192];
        loop {
            let Some((socket, _, false)) = self.hollows[at].link.as_mut() else { return };
            match socket.read(&mut piece) {
                Ok(0) => {
                    self.hollows[at].link = None;
                    return self.step(at, Event::WatchLost, For::Watch);
                }
                Ok(n) => {
                    self.counts.watch_bytes += n as u64;
                    self.step(at, Event::WatchBytes(&piece[..n]), For::Watch);
                    self.seen(at);
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.hollows[at].link = None;
                    return self.step(at, Event::WatchLost, For::Watch);
                }
            }
        }
    }

    /// Whether a newer version is held now.
    fn seen(&mut self, at: usize) {
        let now = self.clock.now();
        let hollow = &mut self.hollows[at];
        let version = hollow.reducer.list_version();
        if version <= hollow.version {
            return;
        }
        if hollow.version == 0 {
            self.counts.max_restart_recovery = self.counts.max_restart_recovery.max(now - hollow.since);
        }
        for held in (hollow.version + 1).max(version.saturating_sub(100))..=version {
            let (count, last) = self.held.entry(held).or_insert((0, now));
            *count += 1;
            *last = last.max(now);
        }
        hollow.version = version;
    }

    /// The oldest connection ends, where there are enough, and a new client calls.
    fn pick(&mut self, at: usize) {
        self.counts.client_calls += 1;
        while self.hollows[at].alive.len() >= self.spec.open_connections.max(1) {
            let Some((slot, serial)) = self.hollows[at].stands.pop_front() else { break };
            if self.hollows[at].alive.get(&slot) == Some(&serial) {
                self.step(at, Event::Closed(Endpoint::Client(slot), CloseKind::Graceful), For::Pick);
            }
        }
        self.call(at);
    }

    fn call(&mut self, at: usize) {
        self.step(at, Event::Accepted, For::Pick);
        let Some(slot) = self.hollows[at].admitted.take() else { return };
        self.serial += 1;
        let line = format!("OPEN {:016x} {:016x} {}", self.serial, self.serial, self.open);
        self.step(at, Event::Bytes(Endpoint::Client(slot), line.as_bytes()), For::Pick);
    }
}
