//! Random interleavings of events from clients, servers, discovery and stops on the reducer, from fixed seeds. Checked
//! after every step: at most one final answer for each call and nothing after it, no write to a client that is gone (on
//! which the harness panics), no request to a server that was reported as draining or gone, and no second leg where the
//! call's idempotency forbids it. At the end all slots and descriptors must be free, and at most 8 timers may be
//! pending.

mod common;

use common::{host_entry, server_list, settings, Harness};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use oorandom::Rand64;
use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use std::collections::BTreeMap;

/// The traffic types of the settings: repeatable, once-only and referenced.
const TRAFFIC_TYPES: [&str; 3] = ["feed", "order", "note"];
/// Number of servers.
const SERVERS: usize = 5;

/// What the test records of an open call.
struct OpenCall {
    traffic_type: &'static str,
    started_at: f64,
    /// Whether a leg was sent the whole head and did not report that the call never ran.
    may_have_run: bool,
}

/// A leg that was sent a request head: the client's slot, and whether the last byte of the head is written.
struct SentLeg {
    client: usize,
    head_written: bool,
}

/// One random run: the harness, and the state that the checks need.
struct RandomRun {
    harness: Harness,
    /// The health of each server by the latest list.
    health: [&'static str; SERVERS],
    /// Open calls, by client slot.
    calls: BTreeMap<usize, OpenCall>,
    /// Open legs that were sent a request head, by leg slot.
    sent_legs: BTreeMap<usize, SentLeg>,
    /// Number of sent heads that were checked already.
    heads_checked: usize,
    /// The latest version of the list; it also numbers the calls.
    version: u64,
}

impl RandomRun {
    /// Delivers the event and checks all its effects. `never_ran` is the leg that the event reports as not run.
    fn deliver(&mut self, event: Event, never_ran: Option<usize>) {
        let legs_before: Vec<usize> = self.sent_legs.keys().copied().collect();
        let dialed_before = self.harness.dialed_ports.len();
        self.harness.deliver(event);
        for leg in legs_before {
            // The slot may be reused by another leg, which has not been sent a head yet.
            let still_open = self.harness.legs.get(&leg).is_some_and(|l| !l.received.is_empty());
            if !still_open {
                let ended_leg = self.sent_legs.remove(&leg).unwrap();
                if let Some(call) = self.calls.get_mut(&ended_leg.client) {
                    call.may_have_run |= ended_leg.head_written && never_ran != Some(leg);
                }
            }
        }
        for (client, leg, port) in self.harness.sent_heads[self.heads_checked..].iter().copied() {
            assert_eq!(
                self.health[port - 9000],
                "ready",
                "rule 3: sent to a server that is draining or gone"
            );
            let call = &self.calls[&client];
            assert!(
                call.traffic_type != "order" || !call.may_have_run,
                "rule 2: a once-only call that may have run is sent again"
            );
            assert!(!self.sent_legs.values().any(|sent| sent.client == client), "two legs at the same time");
            self.sent_legs.insert(leg, SentLeg { client, head_written: false });
        }
        self.heads_checked = self.harness.sent_heads.len();
        for port in &self.harness.dialed_ports[dialed_before..] {
            assert_eq!(
                self.health[port - 9000],
                "ready",
                "rule 3: a leg to a server that is draining or gone"
            );
        }
        self.calls.retain(|client, _| self.harness.clients.contains_key(client));
        for (client, call) in &self.calls {
            let text = self.harness.received(*client);
            let final_answers =
                text.lines().filter(|l| *l == "ERR" || *l == "MOVE" || l.starts_with("BUSY")).count();
            // Bytes from a server are forwarded unchanged from `UP` on; the harness panics on a write after the last
            // answer.
            assert!(final_answers <= 1 || text.starts_with("UP "), "rule 1: two final answers: {text:?}");
            let unsafe_to_reject = call.may_have_run && call.traffic_type != "feed";
            assert!(
                !(text.starts_with("BUSY") && unsafe_to_reject),
                "rule 2: a call that may have run is rejected"
            );
            assert!(
                !text.is_empty() || self.harness.now < call.started_at + 1.51,
                "rule 1: no answer in time"
            );
        }
    }

    /// Advances the clock by this many seconds.
    fn advance(&mut self, seconds: f64) {
        self.harness.now += seconds;
        self.deliver(Event::Tick, None);
    }

    /// Connects a client that sends a call of this traffic type, if the proxy accepts clients.
    fn start_call(&mut self, traffic_type: &'static str) {
        if self.harness.accepting {
            let slot = self.harness.connect();
            self.calls
                .insert(slot, OpenCall { traffic_type, started_at: self.harness.now, may_have_run: false });
            self.version += 1;
            let line = format!(
                "OPEN {:016x} 7f3a9c21e0b4d655 c={traffic_type},t=shop-a,d=1500\r\n",
                self.version << 8
            );
            self.deliver(Event::Bytes(Endpoint::Client(slot), line.as_bytes()), None);
        }
    }

    /// Discovery sends its next version, which names this server or all of them. Opens the watch first if none is open.
    fn send_list(&mut self, changed: Option<usize>) {
        self.version += 1;
        let hosts = match changed {
            Some(n) => vec![host_entry(n, self.health[n])],
            None => (0..SERVERS).map(|n| host_entry(n, self.health[n])).collect(),
        };
        let update = server_list(self.version, changed.is_none(), hosts);
        if !self.harness.watch_open {
            self.harness.watch_open = true;
            self.deliver(Event::WatchOpened, None);
            self.deliver(Event::WatchBytes(b"HTTP/1.1 200 OK\r\n\r\n"), None);
        }
        self.deliver(Event::WatchBytes(format!("{update}\n").as_bytes()), None);
    }
}

/// Delivers random events in random order, and checks at the end that nothing is left open.
fn meets_all_obligations(seed: u64) -> bool {
    let mut rng = Rand64::new(u128::from(seed));
    let mut settings_json = settings();
    settings_json["membershipMode"] = json!(if seed.is_multiple_of(2) { "automatic" } else { "subscribe" });
    settings_json["trafficTypes"][2]["keyScope"] = json!("zone");
    let remembered = server_list(1, true, (0..SERVERS).map(|n| host_entry(n, "ready")).collect());
    let mut run = RandomRun {
        harness: Harness::with_settings(u128::from(seed), &settings_json, 200, remembered),
        health: ["ready"; SERVERS],
        calls: BTreeMap::new(),
        sent_legs: BTreeMap::new(),
        heads_checked: 0,
        version: 1,
    };
    run.send_list(None);
    let stop_step = 200 + rng.rand_range(0..300);
    for step in 0..600 {
        let mut pick = |slots: Vec<usize>| {
            (!slots.is_empty()).then(|| slots[rng.rand_range(0..slots.len() as u64) as usize])
        };
        let client = pick(run.harness.clients.keys().copied().collect());
        let leg = pick(run.harness.legs.keys().copied().collect());
        let leg_with_head = leg.filter(|l| run.sent_legs.get(l).is_some_and(|sent| sent.head_written));
        let kind = if rng.rand_float() < 0.5 { CloseKind::Graceful } else { CloseKind::Abortive };
        match (rng.rand_range(0..20), client, leg) {
            (0..=2, ..) => run.start_call(TRAFFIC_TYPES[rng.rand_range(0..3) as usize]),
            (3, Some(client), _) => run.deliver(Event::Closed(Endpoint::Client(client), kind), None),
            (4, Some(client), _) => run.deliver(Event::Bytes(Endpoint::Client(client), b"M 1\r\n"), None),
            (5..=7, _, Some(leg)) => match run.sent_legs.get(&leg).map(|sent| sent.head_written) {
                // The last byte of the head may be written later than its first.
                None => run.deliver(Event::Connected(leg), None),
                Some(false) => {
                    run.sent_legs.get_mut(&leg).unwrap().head_written = true;
                    run.deliver(Event::HeadWritten(leg), None);
                }
                Some(true) => {}
            },
            (8 | 9, ..) => {
                if let Some(leg) = leg_with_head {
                    run.deliver(Event::Bytes(Endpoint::Server(leg), b"UP 1\r\nM 1\r\n"), None);
                }
            }
            (10, _, Some(leg)) => {
                let answers = ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "UP 1\r\nBYE\r\n", "UP", "M half"];
                let answer = answers[rng.rand_range(0..6) as usize];
                let full_leg = answer.starts_with("BUSY").then_some(leg);
                run.deliver(Event::Bytes(Endpoint::Server(leg), answer.as_bytes()), full_leg);
            }
            (11 | 12, _, Some(leg)) => run.deliver(Event::Closed(Endpoint::Server(leg), kind), None),
            (13, _, Some(leg)) if !run.sent_legs.contains_key(&leg) => {
                run.deliver(Event::ConnectFailed(leg), None)
            }
            (14 | 15, ..) => {
                let n = rng.rand_range(0..SERVERS as u64) as usize;
                run.health[n] = ["ready", "ready", "draining", "gone"][rng.rand_range(0..4) as usize];
                run.send_list(Some(n));
            }
            (16, ..) if rng.rand_float() < 0.3 => {
                run.harness.watch_open = false;
                run.deliver(Event::WatchLost, None);
                run.advance(0.2);
                run.send_list(None);
            }
            (17, ..) if rng.rand_float() < 0.1 => run.deliver(Event::Drain(0.5), None),
            (17, ..) => run.deliver(Event::Undrain, None),
            _ => run.advance(rng.rand_float() * 0.2),
        }
        if step == stop_step && seed.is_multiple_of(3) {
            let stopped_at = run.harness.now;
            run.deliver(Event::Stop, None);
            // A third of the runs end with a stop, during which only new calls arrive, one every 0.07 s.
            while run.harness.now < stopped_at + 2.54 && !run.harness.exited {
                run.start_call(TRAFFIC_TYPES[rng.rand_range(0..3) as usize]);
                run.advance(0.07);
            }
            let open_clients: Vec<usize> = run.harness.clients.keys().copied().collect();
            for client in open_clients {
                let (text, answered) =
                    (run.harness.received(client), run.harness.clients[&client].write_shut_down);
                let unanswered = !answered
                    && run.calls.get(&client).is_some_and(|call| call.started_at < stopped_at + 2.4);
                assert!(!unanswered, "a client has no final answer at the end of a stop: {text:?}");
            }
            break;
        }
    }
    for client in run.harness.clients.keys().copied().collect::<Vec<_>>() {
        run.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Abortive), None);
    }
    run.advance(10.0);
    assert_eq!(run.harness.reducer.violations(), 0, "the guard found violations");
    assert_eq!(run.harness.reducer.open_counts(), (0, 0, 0), "a slot or a descriptor was not freed");
    let timers = run.harness.reducer.timer_count();
    assert!(timers <= 8, "{timers} timers are pending although nothing is open");
    true
}

#[test]
fn events_in_any_order_meet_all_obligations() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 40))
        .tests(300)
        .quickcheck(meets_all_obligations as fn(u64) -> bool);
}
