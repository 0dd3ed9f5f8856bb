//! Clients, servers, discovery and stops in any order, on the reducer, by fixed seeds. After every step: one final answer a
//! call and nothing after it, no line for a client that is gone (the stand fails on it) or to a server that was told to drain,
//! no second leg where the effect forbids it; and at the end slots, descriptors and timers are all given back.

mod common;

use common::{host_entry, server_list, settings, Harness};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use oorandom::Rand64;
use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use std::collections::BTreeMap;

const KINDS: [&str; 3] = ["feed", "order", "note"];
const SERVERS: usize = 5;

/// What the test knows of a call that is open.
struct Open {
    kind: &'static str,
    since: f64,
    /// A leg had its whole line and did not say that it never ran.
    may_have_run: bool,
}

/// A leg whose head has gone out: for whom, and whether its last byte has.
struct Asked {
    client: usize,
    whole: bool,
}

struct Play {
    stand: Harness,
    health: [&'static str; SERVERS],
    calls: BTreeMap<usize, Open>,
    asked: BTreeMap<usize, Asked>,
    heads: usize,
    version: u64,
}

impl Play {
    /// Tells the event, and then checks all that it brought. `never_ran` is the leg that the event says that of.
    fn tell(&mut self, event: Event, never_ran: Option<usize>) {
        let before: Vec<usize> = self.asked.keys().copied().collect();
        let dialled = self.stand.dialed_ports.len();
        self.stand.deliver(event);
        for leg in before {
            // A slot in use may be the next one's; it has no head yet then.
            let same = self.stand.legs.get(&leg).is_some_and(|s| !s.received.is_empty());
            if !same {
                let ended = self.asked.remove(&leg).unwrap();
                if let Some(call) = self.calls.get_mut(&ended.client) {
                    call.may_have_run |= ended.whole && never_ran != Some(leg);
                }
            }
        }
        for (client, leg, port) in self.stand.sent_heads[self.heads..].iter().copied() {
            assert_eq!(self.health[port - 9000], "ready", "rule 3: sent to a server that was told to drain");
            let call = &self.calls[&client];
            assert!(call.kind != "order" || !call.may_have_run, "rule 2: a once-only call that may have run");
            assert!(!self.asked.values().any(|a| a.client == client), "two legs at once");
            self.asked.insert(leg, Asked { client, whole: false });
        }
        self.heads = self.stand.sent_heads.len();
        for port in &self.stand.dialed_ports[dialled..] {
            assert_eq!(
                self.health[port - 9000],
                "ready",
                "rule 3: dialled at a server that was told to drain"
            );
        }
        self.calls.retain(|client, _| self.stand.clients.contains_key(client));
        for (client, call) in &self.calls {
            let got = self.stand.received(*client);
            let last = got.lines().filter(|l| *l == "ERR" || *l == "MOVE" || l.starts_with("BUSY")).count();
            // What a server says from UP on passes as it is; the stand fails on a word after the last one.
            assert!(last <= 1 || got.starts_with("UP "), "rule 1: two last words: {got:?}");
            let unsafe_to_reject = call.may_have_run && call.kind != "feed";
            assert!(
                !(got.starts_with("BUSY") && unsafe_to_reject),
                "rule 2: a reject of one that may have run"
            );
            assert!(!got.is_empty() || self.stand.now < call.since + 1.51, "rule 1: no answer in time");
        }
    }

    fn advance(&mut self, by: f64) {
        self.stand.now += by;
        self.tell(Event::Tick, None);
    }

    fn open(&mut self, kind: &'static str) {
        if self.stand.accepting {
            let slot = self.stand.connect();
            self.calls.insert(slot, Open { kind, since: self.stand.now, may_have_run: false });
            self.version += 1;
            let line =
                format!("OPEN {:016x} 7f3a9c21e0b4d655 c={kind},t=shop-a,d=1500\r\n", self.version << 8);
            self.tell(Event::Bytes(Endpoint::Client(slot), line.as_bytes()), None);
        }
    }

    /// Discovery's next word, on a watch that it opens if none is.
    fn server_list(&mut self, at: Option<usize>) {
        self.version += 1;
        let hosts = match at {
            Some(at) => vec![host_entry(at, self.health[at])],
            None => (0..SERVERS).map(|at| host_entry(at, self.health[at])).collect(),
        };
        let told = server_list(self.version, at.is_none(), hosts);
        if !self.stand.watch_open {
            self.stand.watch_open = true;
            self.tell(Event::WatchOpened, None);
            self.tell(Event::WatchBytes(b"HTTP/1.1 200 OK\r\n\r\n"), None);
        }
        self.tell(Event::WatchBytes(format!("{told}\n").as_bytes()), None);
    }
}

fn owes_nothing(seed: u64) -> bool {
    let mut dice = Rand64::new(u128::from(seed));
    let mut told = settings();
    told["membershipMode"] = json!(if seed.is_multiple_of(2) { "automatic" } else { "subscribe" });
    told["trafficTypes"][2]["keyScope"] = json!("zone");
    let known = server_list(1, true, (0..SERVERS).map(|n| host_entry(n, "ready")).collect());
    let mut play = Play {
        stand: Harness::with_settings(u128::from(seed), &told, 200, known),
        health: ["ready"; SERVERS],
        calls: BTreeMap::new(),
        asked: BTreeMap::new(),
        heads: 0,
        version: 1,
    };
    play.server_list(None);
    let stop = 200 + dice.rand_range(0..300);
    for step in 0..600 {
        let mut one =
            |of: Vec<usize>| (!of.is_empty()).then(|| of[dice.rand_range(0..of.len() as u64) as usize]);
        let client = one(play.stand.clients.keys().copied().collect());
        let leg = one(play.stand.legs.keys().copied().collect());
        let up = leg.filter(|l| play.asked.get(l).is_some_and(|a| a.whole));
        let how = if dice.rand_float() < 0.5 { CloseKind::Graceful } else { CloseKind::Abortive };
        match (dice.rand_range(0..20), client, leg) {
            (0..=2, ..) => play.open(KINDS[dice.rand_range(0..3) as usize]),
            (3, Some(client), _) => play.tell(Event::Closed(Endpoint::Client(client), how), None),
            (4, Some(client), _) => play.tell(Event::Bytes(Endpoint::Client(client), b"M 1\r\n"), None),
            (5..=7, _, Some(leg)) => match play.asked.get(&leg).map(|a| a.whole) {
                // The head's last byte may come later than its first.
                None => play.tell(Event::Connected(leg), None),
                Some(false) => {
                    play.asked.get_mut(&leg).unwrap().whole = true;
                    play.tell(Event::HeadWritten(leg), None);
                }
                Some(true) => {}
            },
            (8 | 9, ..) => {
                if let Some(leg) = up {
                    play.tell(Event::Bytes(Endpoint::Server(leg), b"UP 1\r\nM 1\r\n"), None);
                }
            }
            (10, _, Some(leg)) => {
                let said = ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "UP 1\r\nBYE\r\n", "UP", "M half"];
                let said = said[dice.rand_range(0..6) as usize];
                let full = said.starts_with("BUSY").then_some(leg);
                play.tell(Event::Bytes(Endpoint::Server(leg), said.as_bytes()), full);
            }
            (11 | 12, _, Some(leg)) => play.tell(Event::Closed(Endpoint::Server(leg), how), None),
            (13, _, Some(leg)) if !play.asked.contains_key(&leg) => {
                play.tell(Event::ConnectFailed(leg), None)
            }
            (14 | 15, ..) => {
                let at = dice.rand_range(0..SERVERS as u64) as usize;
                play.health[at] = ["ready", "ready", "draining", "gone"][dice.rand_range(0..4) as usize];
                play.server_list(Some(at));
            }
            (16, ..) if dice.rand_float() < 0.3 => {
                play.stand.watch_open = false;
                play.tell(Event::WatchLost, None);
                play.advance(0.2);
                play.server_list(None);
            }
            (17, ..) if dice.rand_float() < 0.1 => play.tell(Event::Drain(0.5), None),
            (17, ..) => play.tell(Event::Undrain, None),
            _ => play.advance(dice.rand_float() * 0.2),
        }
        if step == stop && seed.is_multiple_of(3) {
            let at = play.stand.now;
            play.tell(Event::Stop, None);
            // A fifth of the plays stop while the rest of the events go on; time goes on faster.
            while play.stand.now < at + 2.54 && !play.stand.exited {
                play.open(KINDS[dice.rand_range(0..3) as usize]);
                play.advance(0.07);
            }
            let all: Vec<usize> = play.stand.clients.keys().copied().collect();
            for client in all {
                let (got, done) = (play.stand.received(client), play.stand.clients[&client].write_shut_down);
                let owed = !done && play.calls.get(&client).is_some_and(|c| c.since < at + 2.4);
                assert!(!owed, "at a stop's end one is owed its last word: {got:?}");
            }
            break;
        }
    }
    for client in play.stand.clients.keys().copied().collect::<Vec<_>>() {
        play.tell(Event::Closed(Endpoint::Client(client), CloseKind::Abortive), None);
    }
    play.advance(10.0);
    assert_eq!(play.stand.reducer.violations(), 0, "the guard found a promise broken");
    assert_eq!(play.stand.reducer.open_counts(), (0, 0, 0), "a slot or a descriptor was not given back");
    let waiting = play.stand.reducer.timer_count();
    assert!(waiting <= 8, "{waiting} timers wait, and nothing is open");
    true
}

#[test]
fn in_any_order_nothing_is_owed() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 40))
        .tests(300)
        .quickcheck(owes_nothing as fn(u64) -> bool);
}
