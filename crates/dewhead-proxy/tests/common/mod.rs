//! A stand for the reducer without sockets: it plays the loop's part, keeps book of what each end was told, and fails
//! the moment the reducer touches an end that is closed or says more than one last word.

#![allow(dead_code)]

pub mod loopback;
pub mod processes;

use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use dewhead_startup::Startup;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const ZONES: [&str; 2] = ["east", "west"];

/// Three traffic types, one of each effect; two shops.
pub fn settings() -> Value {
    let kind = |name: &str, effect: &str, guard: f64| {
        json!({"name": name, "idempotency": effect, "keyScope": "cell", "repeatWindow": 2000.0, "setupTarget": 300.0,
               "guardTime": guard, "revenue": 1.0})
    };
    json!({
        "azs": ZONES, "locality": "east", "position": 0, "siblings": 2, "membershipMode": "automatic",
        "trafficTypes": [kind("feed", "retryable", 2000.0), kind("order", "fragile", 1500.0), kind("note", "dedup", 1500.0)],
        "tenants": [{"name": "shop-a", "share": 0.5}, {"name": "shop-b", "share": 0.5}],
        "deductions": {"crossZone": 0.0, "moves": 0.01},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": 3, "secondCopies": false, "cancel": true, "retryAfter": true, "maxRetryAfter": 1500.0,
                   "connectTimeout": 200.0},
        "obligations": {"coldShare": 0.2, "cold": 8000.0, "fallMultiple": 2.5, "tipAfter": 2000.0},
        "specifics": {"messageAim": [100.0, 100.0, 100.0], "groups": false}
    })
}

pub fn host(n: usize, health: &str) -> Value {
    json!({"host": format!("s-{n}"), "dial": format!("127.0.0.1:{}", 9000 + n), "site": ZONES[n % 2], "class": "m",
           "block": n / 2, "health": health, "share": 1.0, "born_ms": 0})
}

pub fn list(seq: u64, whole: bool, hosts: Vec<Value>) -> Value {
    json!({"seq": seq, "whole": whole, "hosts": hosts})
}

/// Where the n-th discovery is.
pub fn discovery(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8500 + n))
}

#[derive(Default)]
pub struct Client {
    pub got: Vec<u8>,
    pub finished: bool,
    pub closed: Option<CloseKind>,
}

#[derive(Default)]
pub struct Server {
    pub to: usize,
    pub got: Vec<u8>,
    pub figure: u64,
    pub finished: bool,
}

pub struct Stand {
    pub reducer: Reducer,
    pub now: f64,
    pub clients: BTreeMap<usize, Client>,
    pub servers: BTreeMap<usize, Server>,
    /// Clients that are closed, by the order of closing.
    pub past: Vec<Client>,
    /// Legs dialled so far, by port.
    pub dialled: Vec<usize>,
    /// Heads that went out: the client's slot, the leg, the port.
    pub heads: Vec<(usize, usize, usize)>,
    pub accepting: bool,
    pub exit: bool,
    /// Where discovery was asked so far, and for the changes since which version.
    pub follows: Vec<(SocketAddr, u64)>,
    /// Whether the watch is open, so that what is told on it arrives.
    pub watching: bool,
    admitted: Option<usize>,
    /// Calls made so far; each has an id of its own.
    calls: u64,
}

impl Stand {
    pub fn new(descriptors: usize, known: Value) -> Stand {
        Stand::of(7, &settings(), descriptors, known)
    }

    /// At 1000 s on its clock, when clients are heard, whether or not discovery has said anything by then.
    pub fn of(seed: u128, settings: &Value, descriptors: usize, known: Value) -> Stand {
        let mut stand = Stand::unheard(seed, settings, descriptors, known);
        stand.later(1000.0 - stand.now);
        stand
    }

    /// In its first moment.
    pub fn unheard(seed: u128, settings: &Value, descriptors: usize, known: Value) -> Stand {
        let startup = Startup::parse(settings).expect("the settings are sound");
        let began = 999.5;
        let mut stand = Stand {
            reducer: Reducer::new(began, startup, seed, discovery(1), descriptors, &known),
            now: began,
            clients: BTreeMap::new(),
            servers: BTreeMap::new(),
            past: Vec::new(),
            dialled: Vec::new(),
            heads: Vec::new(),
            accepting: true,
            exit: false,
            follows: Vec::new(),
            watching: false,
            admitted: None,
            calls: 0x9b1f_03aa_5c7e_2d40,
        };
        stand.apply(&[]);
        stand
    }

    pub fn ready(n: usize) -> Stand {
        Stand::new(256, list(1, true, (0..n).map(|i| host(i, "ready")).collect()))
    }

    pub fn tell(&mut self, event: Event) {
        let bytes = match event {
            Event::Bytes(_, bytes) => bytes.to_vec(),
            _ => Vec::new(),
        };
        self.reducer.step(self.now, event);
        self.apply(&bytes);
    }

    /// Discovery opens the watch and writes this first.
    pub fn watch(&mut self, told: &str) {
        self.watching = true;
        self.tell(Event::WatchOpened);
        self.tell(Event::WatchBytes(format!("HTTP/1.1 200 OK\r\n\r\n{told}\n").as_bytes()));
    }

    fn say(&mut self, end: Endpoint, text: &[u8]) {
        match end {
            Endpoint::Client(slot) => {
                let client = self.clients.get_mut(&slot).expect("a client that is open");
                assert!(!client.finished, "a word after the last one");
                client.got.extend_from_slice(text);
            }
            Endpoint::Server(slot) => {
                let server = self.servers.get_mut(&slot).expect("a leg that is out");
                assert!(!server.finished, "a line after the end");
                server.got.extend_from_slice(text);
            }
        }
    }

    fn apply(&mut self, bytes: &[u8]) {
        for effect in self.reducer.take_effects() {
            match effect {
                Effect::AssignSession(slot) => {
                    self.admitted = Some(slot);
                    assert!(self.clients.insert(slot, Client::default()).is_none(), "a slot given twice");
                }
                Effect::Connect(leg, to) => {
                    let to = usize::from(to.port());
                    self.dialled.push(to);
                    let fresh = Server { to, ..Server::default() };
                    assert!(self.servers.insert(leg, fresh).is_none(), "a slot given twice");
                }
                Effect::SendHead { leg, session, timeout_range, timeout_ms } => {
                    let head = self.reducer.session_head(session);
                    let text = [
                        &head[..timeout_range.start],
                        timeout_ms.to_string().as_bytes(),
                        &head[timeout_range.end..],
                    ]
                    .concat();
                    self.say(Endpoint::Server(leg), &text);
                    assert!(self.clients.contains_key(&session), "a head for a client that is gone");
                    self.heads.push((session, leg, self.servers[&leg].to));
                    self.servers.get_mut(&leg).unwrap().figure = timeout_ms;
                }
                Effect::Forward(end, range) => self.say(end, &bytes[range]),
                Effect::Write(end, text) => self.say(end, &text),
                Effect::ShutdownWrite(Endpoint::Client(slot)) => {
                    self.clients.get_mut(&slot).expect("open").finished = true
                }
                Effect::ShutdownWrite(Endpoint::Server(slot)) => {
                    self.servers.get_mut(&slot).expect("open").finished = true
                }
                Effect::Close(Endpoint::Client(slot), how) => {
                    let mut client = self.clients.remove(&slot).expect("a client that is open");
                    client.closed = Some(how);
                    self.past.push(client);
                }
                Effect::Close(Endpoint::Server(slot), _) => {
                    drop(self.servers.remove(&slot).expect("a leg that is out"))
                }
                Effect::SetAccepting(on) => self.accepting = on,
                Effect::OpenWatch(at, since) => self.follows.push((at, since)),
                Effect::CloseWatch => self.watching = false,
                Effect::Exit => self.exit = true,
            }
        }
        let (sessions, legs, used) = self.reducer.open_counts();
        assert_eq!(legs, self.servers.len(), "a leg without its socket, or the other way round");
        assert_eq!(sessions, self.clients.len(), "a session without its socket, or the other way round");
        assert_eq!(used, sessions + legs, "descriptors are miscounted");
    }

    pub fn connect(&mut self) -> usize {
        self.tell(Event::Accepted);
        self.admitted.take().expect("a slot for the client")
    }

    /// A client that has sent its first line.
    pub fn open(&mut self, line: &str) -> usize {
        let slot = self.connect();
        self.client_says(slot, line);
        slot
    }

    pub fn call(&mut self, kind: &str) -> usize {
        self.calls += 1;
        self.open(&format!(
            "OPEN {:016x} 7f3a9c21e0b4d655 c={kind},t=shop-a,d=1500,g=5c0f6e1a2b3d4c59,x=1\r\n",
            self.calls
        ))
    }

    pub fn client_says(&mut self, slot: usize, text: &str) {
        self.tell(Event::Bytes(Endpoint::Client(slot), text.as_bytes()));
    }

    pub fn server_says(&mut self, leg: usize, text: &str) {
        self.tell(Event::Bytes(Endpoint::Server(leg), text.as_bytes()));
    }

    /// The newest leg out.
    pub fn leg(&self) -> usize {
        *self.servers.keys().next_back().expect("a leg that is out")
    }

    pub fn connected(&mut self, leg: usize) {
        self.tell(Event::Connected(leg));
        self.tell(Event::HeadWritten(leg));
    }

    /// A call that stands, and its leg.
    pub fn standing(&mut self) -> (usize, usize) {
        let client = self.call("feed");
        let leg = self.leg();
        self.connected(leg);
        self.server_says(leg, "UP 1\r\n");
        (client, leg)
    }

    pub fn later(&mut self, by: f64) {
        self.now += by;
        self.tell(Event::Tick);
    }

    pub fn got(&self, client: usize) -> String {
        String::from_utf8_lossy(&self.clients[&client].got).into_owned()
    }
}
