//! A test harness that drives the reducer without sockets, in place of the event loop. It records what each connection
//! was sent, and panics as soon as the reducer uses a connection that is closed or writes after shutting it down.

#![allow(dead_code)]

pub mod discovery;
pub mod loopback;
pub mod processes;

use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use dewhead_startup::Startup;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A response of discovery that refuses the request because of overload.
pub const UNAVAILABLE_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The zones of the settings.
pub const ZONES: [&str; 2] = ["east", "west"];

/// Settings with three traffic types, one of each idempotency, and two tenants.
pub fn settings() -> Value {
    let traffic_type = |name: &str, idempotency: &str, guard_time_ms: f64| {
        json!({"name": name, "idempotency": idempotency, "keyScope": "cell", "repeatWindow": 2000.0,
               "setupTarget": 300.0, "guardTime": guard_time_ms, "revenue": 1.0})
    };
    json!({
        "azs": ZONES, "locality": "east", "position": 0, "siblings": 2, "membershipMode": "automatic",
        "trafficTypes": [traffic_type("feed", "retryable", 2000.0), traffic_type("order", "fragile", 1500.0),
                         traffic_type("note", "dedup", 1500.0)],
        "tenants": [{"name": "shop-a", "share": 0.5}, {"name": "shop-b", "share": 0.5}],
        "deductions": {"crossZone": 0.0, "moves": 0.01},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": 3, "secondCopies": false, "cancel": true, "retryAfter": true, "maxRetryAfter": 1500.0,
                   "connectTimeout": 200.0},
        "obligations": {"coldShare": 0.2, "cold": 8000.0, "fallMultiple": 2.5, "tipAfter": 2000.0},
        "specifics": {"messageAim": [100.0, 100.0, 100.0], "groups": false}
    })
}

/// The entry of server `n` in the server list; it listens on port 9000 + `n`.
pub fn host_entry(n: usize, health: &str) -> Value {
    json!({"host": format!("s-{n}"), "dial": format!("127.0.0.1:{}", 9000 + n), "site": ZONES[n % 2], "class": "m",
           "block": n / 2, "health": health, "share": 1.0, "born_ms": 0})
}

/// A version of the server list as discovery sends it: a whole list, or only the entries that changed.
pub fn server_list(version: u64, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"seq": version, "whole": whole, "hosts": hosts})
}

/// The address of the n-th discovery.
pub fn discovery_address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8500 + n))
}

/// A client's connection as the client sees it.
#[derive(Default)]
pub struct Client {
    /// All bytes that the client was sent.
    pub received: Vec<u8>,
    /// Whether the proxy has shut the connection down for writing.
    pub write_shut_down: bool,
    /// How the proxy closed the connection; none while it is open.
    pub closed: Option<CloseKind>,
}

/// A leg's connection as its server sees it.
#[derive(Default)]
pub struct Leg {
    /// The port that the leg was connected to.
    pub port: usize,
    /// All bytes that the server was sent.
    pub received: Vec<u8>,
    /// The waiting time in the request head that the server was sent, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the proxy has shut the connection down for writing.
    pub write_shut_down: bool,
}

/// The reducer with a clock that the test advances, and the connections that its effects opened.
pub struct Harness {
    /// The reducer under test.
    pub reducer: Reducer,
    /// The time of the next event, in seconds.
    pub now: f64,
    /// Open client connections, by session slot.
    pub clients: BTreeMap<usize, Client>,
    /// Open legs, by leg slot.
    pub legs: BTreeMap<usize, Leg>,
    /// Clients that were closed, in the order of closing.
    pub closed_clients: Vec<Client>,
    /// The ports of all legs so far, in the order of connecting.
    pub dialed_ports: Vec<usize>,
    /// Request heads that were sent: the client's slot, the leg, the port.
    pub sent_heads: Vec<(usize, usize, usize)>,
    /// Whether the reducer accepts clients.
    pub accepting: bool,
    /// Whether the reducer has requested the process's exit.
    pub exited: bool,
    /// Requests for the watch: the address, and the version since which changes were requested.
    pub watch_requests: Vec<(SocketAddr, u64)>,
    /// Whether a watch is open or requested, so that bytes from discovery reach the reducer.
    pub watch_open: bool,
    /// Hedged requests for the watch: the slot, the address and the version.
    pub hedge_requests: Vec<(usize, SocketAddr, u64)>,
    /// The slots of the hedged requests that wait for an answer.
    pub open_hedges: BTreeSet<usize>,
    /// The open requests for the watch, numbered from 0 in the order in which they were made, by the slot of a hedged one and
    /// `None` for the watch.
    pub open_requests: BTreeMap<Option<usize>, usize>,
    /// How many requests for the watch were made, hedged or not.
    pub request_count: usize,
    /// The slot that the reducer assigned to the client that connected last.
    assigned_slot: Option<usize>,
    /// The id of the latest call; each call has a different one.
    last_call_id: u64,
}

impl Harness {
    /// A harness with the default settings and seed, and this remembered server list.
    pub fn new(descriptors: usize, remembered: Value) -> Harness {
        Harness::with_settings(7, &settings(), descriptors, remembered)
    }

    /// A harness at 1000 s on its clock, whose remembered list discovery has confirmed.
    pub fn with_settings(seed: u128, settings: &Value, descriptors: usize, remembered: Value) -> Harness {
        let mut harness = Harness::at_process_start(seed, settings, descriptors, remembered);
        harness.open_watch("");
        harness.advance(1000.0 - harness.now);
        harness
    }

    /// A harness at the start of the process, before the remembered list is confirmed.
    pub fn at_process_start(seed: u128, settings: &Value, descriptors: usize, remembered: Value) -> Harness {
        Harness::start_at(999.5, seed, settings, descriptors, remembered)
    }

    /// A harness at the start of a process that starts at this time.
    pub fn start_at(
        started_at: f64,
        seed: u128,
        settings: &Value,
        descriptors: usize,
        remembered: Value,
    ) -> Harness {
        let startup = Startup::parse(settings).expect("the settings are valid");
        let mut harness = Harness {
            reducer: Reducer::new(started_at, startup, seed, discovery_address(1), descriptors, &remembered),
            now: started_at,
            clients: BTreeMap::new(),
            legs: BTreeMap::new(),
            closed_clients: Vec::new(),
            dialed_ports: Vec::new(),
            sent_heads: Vec::new(),
            accepting: true,
            exited: false,
            watch_requests: Vec::new(),
            watch_open: false,
            hedge_requests: Vec::new(),
            open_hedges: BTreeSet::new(),
            open_requests: BTreeMap::new(),
            request_count: 0,
            assigned_slot: None,
            last_call_id: 0x9b1f_03aa_5c7e_2d40,
        };
        harness.apply_effects(&[]);
        harness
    }

    /// A harness whose remembered list has `n` ready servers.
    pub fn with_ready_servers(n: usize) -> Harness {
        Harness::new(256, server_list(1, true, (0..n).map(|i| host_entry(i, "ready")).collect()))
    }

    /// Delivers an event to the reducer and carries out its effects.
    pub fn deliver(&mut self, event: Event) {
        let bytes = match event {
            Event::Bytes(_, bytes) => bytes.to_vec(),
            _ => Vec::new(),
        };
        self.reducer.step(self.now, event);
        self.apply_effects(&bytes);
    }

    /// Opens the watch and delivers this as its first line.
    pub fn open_watch(&mut self, line: &str) {
        self.watch_open = true;
        self.deliver(Event::WatchOpened);
        self.deliver(Event::WatchBytes(format!("HTTP/1.1 200 OK\r\n\r\n{line}\n").as_bytes()));
    }

    /// Records bytes that the reducer wrote to a connection.
    fn record_write(&mut self, endpoint: Endpoint, bytes: &[u8]) {
        match endpoint {
            Endpoint::Client(slot) => {
                let client = self.clients.get_mut(&slot).expect("the client is connected");
                assert!(!client.write_shut_down, "a write to a client after the shutdown");
                client.received.extend_from_slice(bytes);
            }
            Endpoint::Server(slot) => {
                let leg = self.legs.get_mut(&slot).expect("the leg is open");
                assert!(!leg.write_shut_down, "a write to a server after the shutdown");
                leg.received.extend_from_slice(bytes);
            }
        }
    }

    /// Carries out the reducer's effects; `event_bytes` are the bytes of the event that caused them.
    fn apply_effects(&mut self, event_bytes: &[u8]) {
        for effect in self.reducer.take_effects() {
            match effect {
                Effect::AssignSession(slot) => {
                    self.assigned_slot = Some(slot);
                    assert!(
                        self.clients.insert(slot, Client::default()).is_none(),
                        "a session slot was assigned twice"
                    );
                }
                Effect::Connect(leg, address) => {
                    let port = usize::from(address.port());
                    self.dialed_ports.push(port);
                    let new_leg = Leg { port, ..Leg::default() };
                    assert!(self.legs.insert(leg, new_leg).is_none(), "a leg slot was assigned twice");
                }
                Effect::SendHead { leg, session, timeout_range, timeout_ms } => {
                    let head = self.reducer.session_head(session);
                    let bytes = [
                        &head[..timeout_range.start],
                        timeout_ms.to_string().as_bytes(),
                        &head[timeout_range.end..],
                    ]
                    .concat();
                    self.record_write(Endpoint::Server(leg), &bytes);
                    assert!(self.clients.contains_key(&session), "a head was sent for a client that is gone");
                    self.sent_heads.push((session, leg, self.legs[&leg].port));
                    self.legs.get_mut(&leg).unwrap().timeout_ms = timeout_ms;
                }
                Effect::Forward(endpoint, range) => self.record_write(endpoint, &event_bytes[range]),
                Effect::Write(endpoint, bytes) => self.record_write(endpoint, &bytes),
                Effect::ShutdownWrite(Endpoint::Client(slot)) => {
                    self.clients.get_mut(&slot).expect("the client is connected").write_shut_down = true
                }
                Effect::ShutdownWrite(Endpoint::Server(slot)) => {
                    self.legs.get_mut(&slot).expect("the leg is open").write_shut_down = true
                }
                Effect::Close(Endpoint::Client(slot), kind) => {
                    let mut client = self.clients.remove(&slot).expect("the client is connected");
                    client.closed = Some(kind);
                    self.closed_clients.push(client);
                }
                Effect::Close(Endpoint::Server(slot), _) => {
                    drop(self.legs.remove(&slot).expect("the leg is open"))
                }
                Effect::SetAccepting(on) => self.accepting = on,
                Effect::OpenWatch(address, since) => {
                    self.watch_requests.push((address, since));
                    self.record_request(None);
                }
                Effect::CloseWatch => {
                    self.watch_open = false;
                    self.open_requests.remove(&None);
                }
                Effect::OpenHedge(slot, address, since) => {
                    self.hedge_requests.push((slot, address, since));
                    self.open_hedges.insert(slot);
                    self.record_request(Some(slot));
                }
                Effect::CloseHedge(slot) => {
                    self.open_requests.remove(&Some(slot));
                    assert!(self.open_hedges.remove(&slot), "a hedged request is closed that is not open")
                }
                Effect::PromoteHedge(slot) => {
                    assert!(self.open_hedges.remove(&slot), "a hedged request is used that is not open");
                    self.watch_open = true;
                    let request = self.open_requests.remove(&Some(slot)).expect("the request is open");
                    self.open_requests.insert(None, request);
                }
                Effect::DemoteWatch(slot) => {
                    self.open_hedges.insert(slot);
                    let request = self.open_requests.remove(&None).expect("the watch was requested");
                    self.open_requests.insert(Some(slot), request);
                    self.watch_open = false;
                }
                Effect::Exit => self.exited = true,
            }
        }
        let (sessions, legs, used) = self.reducer.open_counts();
        assert_eq!(legs, self.legs.len(), "the reducer's legs differ from the open connections to servers");
        assert_eq!(
            sessions,
            self.clients.len(),
            "the reducer's sessions differ from the open client connections"
        );
        assert_eq!(used, sessions + legs, "descriptors are miscounted");
    }

    /// Records a request for the watch, made on the connection of this slot, or of the watch.
    fn record_request(&mut self, slot: Option<usize>) {
        self.open_requests.insert(slot, self.request_count);
        self.request_count += 1;
    }

    /// Connects a client and returns its slot.
    pub fn connect(&mut self) -> usize {
        self.deliver(Event::Accepted);
        self.assigned_slot.take().expect("the client was assigned a slot")
    }

    /// Connects a client that sends this first line, and returns its slot.
    pub fn connect_and_send(&mut self, line: &str) -> usize {
        let slot = self.connect();
        self.client_sends(slot, line);
        slot
    }

    /// Connects a client that sends a call of this traffic type, and returns its slot.
    pub fn start_call(&mut self, traffic_type: &str) -> usize {
        self.last_call_id += 1;
        self.connect_and_send(&format!(
            "OPEN {:016x} 7f3a9c21e0b4d655 c={traffic_type},t=shop-a,d=1500,g=5c0f6e1a2b3d4c59,x=1\r\n",
            self.last_call_id
        ))
    }

    /// Delivers bytes from a client.
    pub fn client_sends(&mut self, slot: usize, text: &str) {
        self.deliver(Event::Bytes(Endpoint::Client(slot), text.as_bytes()));
    }

    /// Delivers bytes from a leg's server.
    pub fn server_sends(&mut self, leg: usize, text: &str) {
        self.deliver(Event::Bytes(Endpoint::Server(leg), text.as_bytes()));
    }

    /// The open leg with the highest slot.
    pub fn last_leg(&self) -> usize {
        *self.legs.keys().next_back().expect("a leg is open")
    }

    /// Reports the leg as connected, and its request head as written.
    pub fn connect_leg(&mut self, leg: usize) {
        self.deliver(Event::Connected(leg));
        self.deliver(Event::HeadWritten(leg));
    }

    /// Establishes a call; returns its client's slot and its leg.
    pub fn establish_call(&mut self) -> (usize, usize) {
        let client = self.start_call("feed");
        let leg = self.last_leg();
        self.connect_leg(leg);
        self.server_sends(leg, "UP 1\r\n");
        (client, leg)
    }

    /// Advances the clock by this many seconds and runs the timers that are due.
    pub fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        self.deliver(Event::Tick);
    }

    /// The text that the client was sent so far.
    pub fn received(&self, client: usize) -> String {
        String::from_utf8_lossy(&self.clients[&client].received).into_owned()
    }
}
