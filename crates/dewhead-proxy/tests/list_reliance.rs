//! A list that discovery has not confirmed: what the agent has counts as known at once, so that no server is chosen by
//! the list while discovery may still answer, and it is used all the same once discovery counts as down.

mod common;

use common::loopback::{read_line, send, server_entry, Proxy, StubListener};
use common::{discovery_address, host_entry, server_list, settings, Harness, UNAVAILABLE_RESPONSE};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use dewhead_proxy::state::handover_state;
use serde_json::{json, Value};
use std::io::Write;
use std::time::{Duration, Instant};

/// For how long requests may still be sent to a server that drains, in seconds.
const GRACE_SECONDS: f64 = 0.5;
/// What discovery has counts as known after this many seconds, whether or not it has arrived.
const KNOWN_AFTER_SECONDS: f64 = 6.0;
/// The step of the simulated clock, in seconds.
const STEP_SECONDS: f64 = 0.01;
/// A client comes once in this many steps.
const STEPS_BETWEEN_CLIENTS: usize = 10;
/// The size of a piece of an answer.
const PIECE_BYTES: usize = 20;
/// The port of the server that drains.
const DRAINED_PORT: usize = 9001;

/// What discovery does with a request.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Discovery {
    /// It answers this many seconds after each request.
    AnswersAfter(f64),
    /// It begins its answer at once, and writes a piece of it every 0.2 s, until this many seconds after the request.
    AnswersInPieces(f64),
    /// It refuses the first request with 503, and answers the next ones at once.
    RefusesFirst,
    /// It resets the connection of the first request, and answers the next ones this many seconds after they were made.
    CutsFirst(f64),
    /// It writes nothing.
    Silent,
    /// Nobody listens.
    Unreachable,
}

/// A request that discovery has received.
struct Request {
    made_at: f64,
    bytes_sent: usize,
    done: bool,
}

/// A client, and what it was answered.
struct Caller {
    slot: usize,
    came_at: f64,
    answer: String,
}

/// A proxy with three servers, one of which has begun to drain, and a discovery that has this.
struct Fixture {
    harness: Harness,
    discovery: Discovery,
    /// The answer, with its head and its line end.
    answer: Vec<u8>,
    /// The requests since this was created, the first of which has this number.
    requests: Vec<Request>,
    first_request: usize,
    callers: Vec<Caller>,
    /// When the first `PING` was answered with `PONG`.
    ready_at: Option<f64>,
    started_at: f64,
}

/// Settings with lists that are pushed, and clients that wait for three seconds.
fn pushed_settings() -> Value {
    let mut settings_json = settings();
    settings_json["obligations"]["stopSendingWithin"] = json!(1000.0 * GRACE_SECONDS);
    for n in 0..3 {
        settings_json["trafficTypes"][n]["guardTime"] = json!(3000.0);
    }
    settings_json
}

/// The list before the drain.
fn remembered_list() -> Value {
    server_list(1, true, (0..3).map(|n| host_entry(n, "ready")).collect())
}

impl Fixture {
    /// A process that starts with the list from before the change.
    fn at_start(seed: u128, discovery: Discovery, health: &str) -> Fixture {
        Fixture::new(
            Harness::at_process_start(seed, &pushed_settings(), 256, remembered_list()),
            discovery,
            health,
        )
    }

    /// A process whose watch is open.
    fn with_watch(seed: u128, discovery: Discovery) -> Fixture {
        let mut harness = Harness::at_process_start(seed, &pushed_settings(), 256, remembered_list());
        harness.open_watch("");
        harness.advance(1.0);
        harness.deliver(Event::WatchBytes(b"\n"));
        let first_request = harness.request_count;
        Fixture { first_request, ..Fixture::new(harness, discovery, "draining") }
    }

    fn new(harness: Harness, discovery: Discovery, health: &str) -> Fixture {
        let list = server_list(2, false, vec![host_entry(1, health)]);
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{list}\n").into_bytes();
        let started_at = harness.now;
        Fixture {
            harness,
            discovery,
            answer,
            requests: Vec::new(),
            first_request: 0,
            callers: Vec::new(),
            ready_at: None,
            started_at,
        }
    }

    /// Takes in the requests that were made since the last call, and refuses them or resets their connections where
    /// discovery does.
    fn accept_requests(&mut self) {
        while self.first_request + self.requests.len() < self.harness.request_count {
            let is_first = self.requests.is_empty();
            self.requests.push(Request { made_at: self.harness.now, bytes_sent: 0, done: false });
            let Some(slot) = self.connection_of(self.requests.len() - 1) else { continue };
            if self.discovery == Discovery::Unreachable {
                self.end_connection(slot, Event::WatchRefused);
                continue;
            }
            if slot.is_none() {
                self.harness.watch_open = true;
                self.harness.deliver(Event::WatchOpened);
            }
            match self.discovery {
                Discovery::RefusesFirst if is_first => {
                    self.harness.deliver(Event::WatchBytes(UNAVAILABLE_RESPONSE));
                }
                Discovery::CutsFirst(_) if is_first => self.end_connection(slot, Event::WatchLost),
                _ => {}
            }
        }
    }

    /// Where the proxy waits for the answer to the n-th request, if it still does.
    fn connection_of(&self, n: usize) -> Option<Option<usize>> {
        let mut open = self.harness.open_requests.iter();
        open.find(|(_, request)| **request == self.first_request + n).map(|(slot, _)| *slot)
    }

    /// Ends the connection of a request, with this event if it is the watch.
    fn end_connection(&mut self, slot: Option<usize>, event: Event) {
        self.harness.open_requests.remove(&slot);
        match slot {
            Some(slot) => {
                self.harness.open_hedges.remove(&slot);
                self.harness.deliver(Event::HedgeLost(slot));
            }
            None => self.harness.deliver(event),
        }
    }

    /// Writes to the connection of the n-th request, if it is still open.
    fn write(&mut self, n: usize, bytes: &[u8]) {
        match self.connection_of(n) {
            Some(None) => self.harness.deliver(Event::WatchBytes(bytes)),
            Some(Some(slot)) => self.harness.deliver(Event::HedgeBytes(slot, bytes)),
            None => {}
        }
    }

    /// Writes what discovery has to write now.
    fn answer_requests(&mut self) {
        for n in 0..self.requests.len() {
            let Request { made_at, bytes_sent, done } = self.requests[n];
            let age = self.harness.now - made_at;
            let (complete_after, in_pieces) = match self.discovery {
                Discovery::AnswersAfter(seconds) | Discovery::CutsFirst(seconds) => (seconds, false),
                Discovery::AnswersInPieces(seconds) => (seconds, true),
                Discovery::RefusesFirst => (0.0, false),
                Discovery::Silent | Discovery::Unreachable => (f64::INFINITY, false),
            };
            if done || self.harness.reducer.list_version() == 2 {
                continue;
            }
            let length = self.answer.len();
            let bytes_due = match () {
                () if age >= complete_after => length,
                () if in_pieces => ((age / 0.2) as usize * PIECE_BYTES).min(length - 1),
                () => 0,
            };
            if bytes_due > bytes_sent {
                self.requests[n].bytes_sent = bytes_due;
                self.requests[n].done = bytes_due == length;
                let piece = self.answer[bytes_sent..bytes_due].to_vec();
                self.write(n, &piece);
            }
        }
    }

    /// Lets this many seconds pass. Clients come, whether or not a front would send them.
    fn run(&mut self, seconds: f64) {
        let steps = (seconds / STEP_SECONDS).round() as usize;
        for step in 0..steps {
            self.accept_requests();
            self.answer_requests();
            if step % STEPS_BETWEEN_CLIENTS == 0 {
                let slot = self.harness.start_call("feed");
                self.callers.push(Caller { slot, came_at: self.harness.now, answer: String::new() });
                self.ping();
            }
            self.harness.advance(STEP_SECONDS);
            self.serve_legs();
            for caller in self.callers.iter_mut().filter(|caller| caller.answer.is_empty()) {
                caller.answer = self.harness.received(caller.slot);
            }
        }
    }

    /// Sends a `PING` on a connection of its own, which is closed.
    fn ping(&mut self) {
        let ping = self.harness.connect_and_send("PING\r\n");
        if self.ready_at.is_none() && self.harness.received(ping) == "PONG\r\n" {
            self.ready_at = Some(self.harness.now);
        }
        self.harness.deliver(Event::Closed(Endpoint::Client(ping), CloseKind::Graceful));
    }

    /// Every server accepts what it is sent.
    fn serve_legs(&mut self) {
        let fresh: Vec<usize> = self
            .harness
            .legs
            .iter()
            .filter(|(_, leg)| leg.received.is_empty())
            .map(|(slot, _)| *slot)
            .collect();
        for leg in fresh {
            self.harness.connect_leg(leg);
            if self.harness.legs.contains_key(&leg) {
                self.harness.server_sends(leg, "UP 1\r\n");
            }
        }
    }

    /// How many requests were sent to the draining server.
    fn drained_count(&self) -> usize {
        self.harness.sent_heads.iter().filter(|(_, _, port)| *port == DRAINED_PORT).count()
    }

    /// Asserts that each client whose time is over was answered, and returns how many were served.
    fn served_count(&self) -> usize {
        let overdue = self.harness.now - 1.6;
        for caller in self.callers.iter().filter(|caller| caller.came_at < overdue) {
            assert!(!caller.answer.is_empty(), "{:?}: a client is not answered", self.discovery);
        }
        self.callers.iter().filter(|caller| caller.answer.starts_with("UP")).count()
    }
}

/// A new process took its remembered list for a told one after 0.19 s: it sent requests to a draining server for as long as
/// discovery took to answer.
#[test]
fn a_new_process_chooses_no_server_before_a_slow_discovery_answers() {
    for delay in [0.1, 0.4, 0.9, 1.5, 2.4, 4.0] {
        for health in ["draining", "gone"] {
            for seed in 0..4 {
                let mut fixture = Fixture::at_start(seed, Discovery::AnswersAfter(delay), health);
                fixture.run(7.0);
                assert_eq!(
                    fixture.drained_count(),
                    0,
                    "{health}, {delay} s: requests to the withdrawn server"
                );
                let ready_after = fixture.ready_at.expect("it serves") - fixture.started_at;
                assert!(
                    ready_after >= delay && ready_after < delay + 0.2,
                    "{delay} s: ready after {ready_after}"
                );
                assert!(fixture.served_count() > 20, "served: {}", fixture.served_count());
            }
        }
    }
}

/// After a first request that was refused or cut off, a new process served by its remembered list until it asked again.
#[test]
fn a_new_process_chooses_no_server_after_a_request_that_was_refused_or_cut_off() {
    for discovery in [
        Discovery::RefusesFirst,
        Discovery::CutsFirst(0.0),
        Discovery::CutsFirst(1.5),
        Discovery::CutsFirst(3.0),
    ] {
        for seed in 0..4 {
            let mut fixture = Fixture::at_start(seed, discovery, "draining");
            fixture.run(8.0);
            assert_eq!(fixture.drained_count(), 0, "{discovery:?}: requests to the draining server");
            let ready_after = fixture.ready_at.expect("it serves") - fixture.started_at;
            assert!(ready_after < KNOWN_AFTER_SECONDS, "{discovery:?}: ready after {ready_after:.2} s");
        }
    }
}

/// Fleets that are killed while discovery is down serve: by the time at which a change counts as known in any case, or at
/// once where nobody listens at discovery's address. Until then each client is told to come again in its time.
#[test]
fn a_new_process_serves_by_its_remembered_list_while_discovery_is_down() {
    for (discovery, latest) in [(Discovery::Silent, KNOWN_AFTER_SECONDS), (Discovery::Unreachable, 0.1)] {
        let mut fixture = Fixture::at_start(1, discovery, "draining");
        fixture.run(8.0);
        let ready_after = fixture.ready_at.expect("it serves") - fixture.started_at;
        assert!(ready_after < latest, "{discovery:?}: ready after {ready_after:.2} s");
        assert!(fixture.served_count() > 20, "{discovery:?}: served {}", fixture.served_count());
        let first_answer = &fixture.callers[0].answer;
        let expected = if discovery == Discovery::Silent { "BUSY " } else { "UP " };
        assert!(first_answer.starts_with(expected), "{discovery:?}: {first_answer:?}");
    }
}

/// A request for the watch was given up after 2.2 s, so that a discovery that takes longer for each answer was never heard.
#[test]
fn a_discovery_that_takes_longer_than_the_interval_between_requests_is_heard() {
    for mode in ["automatic", "subscribe"] {
        for discovery in [
            Discovery::AnswersAfter(2.4),
            Discovery::AnswersAfter(4.0),
            Discovery::AnswersAfter(5.5),
            Discovery::AnswersInPieces(3.0),
        ] {
            for seed in 0..4 {
                let mut settings_json = pushed_settings();
                settings_json["membershipMode"] = json!(mode);
                let harness = Harness::at_process_start(seed, &settings_json, 256, remembered_list());
                let mut fixture = Fixture::new(harness, discovery, "draining");
                fixture.run(KNOWN_AFTER_SECONDS);
                assert_eq!(fixture.harness.reducer.list_version(), 2, "{mode}, {discovery:?}: not heard");
                assert!(fixture.harness.open_hedges.is_empty(), "{mode}, {discovery:?}");
            }
        }
    }
}

/// An overdue request that is left open gives way to a later one once changes count as known, as an agent never answers what
/// it was asked while discovery was down.
#[test]
fn an_overdue_request_that_is_never_answered_gives_way_to_a_later_one() {
    let mut fixture = Fixture::at_start(1, Discovery::Silent, "draining");
    fixture.run(9.0);
    // What was asked before the return is never answered.
    fixture.requests.iter_mut().for_each(|request| request.done = true);
    fixture.discovery = Discovery::AnswersAfter(4.0);
    fixture.run(11.0);
    assert_eq!(fixture.harness.reducer.list_version(), 2, "not heard");
}

/// A process whose watch is reset, and whose discovery is slow to answer the next request, sent requests to a draining server
/// until then. Within the grace period the list is used; a discovery that does not answer counts as down after 2.1 s.
#[test]
fn a_process_whose_watch_was_lost_chooses_no_server_before_a_slow_discovery_answers() {
    for discovery in [
        Discovery::AnswersAfter(0.0),
        Discovery::AnswersAfter(0.9),
        Discovery::AnswersAfter(1.5),
        Discovery::Silent,
        Discovery::Unreachable,
    ] {
        let mut fixture = Fixture::with_watch(1, discovery);
        let lost_at = fixture.harness.now;
        fixture.harness.deliver(Event::WatchLost);
        fixture.run(GRACE_SECONDS);
        let count_within_grace = fixture.drained_count();
        fixture.run(1.5);
        let late_count = fixture.drained_count() - count_within_grace;
        match discovery {
            Discovery::Unreachable => assert!(late_count > 0, "nobody listens: the list is used"),
            _ => assert_eq!(late_count, 0, "{discovery:?}: requests to the draining server"),
        }
        fixture.run(2.0);
        assert_eq!(
            fixture.ready_at.map(|at| at - lost_at < 0.1),
            Some(true),
            "{discovery:?}: PING is answered"
        );
        // Every client of the last second is served.
        let last_second = fixture.harness.now - 1.0;
        for caller in fixture.callers.iter().filter(|caller| caller.came_at > last_second) {
            assert!(caller.answer.starts_with("UP"), "{discovery:?}: {:?}", caller.answer);
        }
        fixture.served_count();
    }
}

/// A successor that discovery does not answer took the list that was handed over for a told one after 0.19 s. It answers
/// `PING`, as its predecessor accepts nobody any more, and keeps requests until discovery answers or counts as down.
#[test]
fn a_successor_chooses_no_server_after_the_grace_period_before_a_slow_discovery_answers() {
    for (discovery, is_confirmed) in [
        (Discovery::AnswersAfter(1.5), true),
        (Discovery::Silent, true),
        (Discovery::AnswersAfter(1.5), false),
    ] {
        let mut predecessor = Harness::at_process_start(1, &pushed_settings(), 256, remembered_list());
        if is_confirmed {
            predecessor.open_watch("");
        }
        let exported = predecessor.reducer.export_state(predecessor.now);
        let state = handover_state::decode(&exported).expect("the state has the supported version");
        let mut harness = Harness::start_at(predecessor.now, 2, &pushed_settings(), 256, state.list.clone());
        harness.reducer.import_state(predecessor.now, &state);
        let mut fixture = Fixture::new(harness, discovery, "draining");
        fixture.run(GRACE_SECONDS);
        let count_within_grace = fixture.drained_count();
        fixture.run(1.5);
        assert_eq!(
            fixture.drained_count(),
            count_within_grace,
            "{discovery:?}: requests to the draining server"
        );
        if !is_confirmed {
            assert_eq!(count_within_grace, 0, "the predecessor's list was not confirmed either");
        }
        assert_eq!(fixture.ready_at == Some(fixture.started_at), is_confirmed, "PING");
        fixture.run(2.0);
        assert!(fixture.served_count() > 0, "{discovery:?}");
    }
}

/// A request behind a `PING` on one connection waits as well, and is answered in its time; a stop does not cut it off.
#[test]
fn a_request_that_waits_for_discovery_is_answered_whatever_comes_first() {
    let open = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n";
    for (first_line, confirmed, answer) in [
        (format!("PING\r\n{open}"), true, "PONG\r\nUP 1\r\n"),
        (format!("PING\r\n{open}"), false, "BUSY "),
        (open.to_owned(), true, "UP 1\r\n"),
        (open.to_owned(), false, "BUSY "),
        ("OPEN none\r\n".to_owned(), false, "ERR\r\n"),
    ] {
        for stops in [false, true] {
            let mut fixture = Fixture::at_start(1, Discovery::Silent, "draining");
            let client = fixture.harness.connect_and_send(&first_line);
            fixture.harness.advance(0.2);
            if stops {
                fixture.harness.deliver(Event::Stop);
            }
            if confirmed {
                fixture.harness.open_watch("");
                fixture.serve_legs();
            }
            fixture.harness.advance(1.0);
            let received = fixture.harness.received(client);
            let expected = if stops { answer.trim_start_matches("PONG\r\n") } else { answer };
            assert!(received.starts_with(expected), "{first_line:?}, stops: {stops}: {received:?}");
        }
    }
}

/// A time to come again is named only where the settings allow it.
#[test]
fn a_request_that_waited_in_vain_is_rejected_with_the_time_that_the_settings_allow() {
    for (allowed, answer) in [(true, "BUSY 1000\r\n"), (false, "BUSY\r\n")] {
        let mut settings_json = pushed_settings();
        settings_json["limits"]["retryAfter"] = json!(allowed);
        settings_json["limits"]["maxRetryAfter"] = json!(1000.0);
        let mut harness = Harness::at_process_start(1, &settings_json, 256, remembered_list());
        let client = harness.start_call("feed");
        harness.advance(0.4);
        assert_eq!(harness.received(client), answer);
    }
}

/// A new configuration that names the same discovery does not make a remembered list a told one.
#[test]
fn a_new_configuration_does_not_confirm_a_remembered_list() {
    for address in [1, 2] {
        let mut fixture = Fixture::at_start(1, Discovery::AnswersAfter(1.5), "draining");
        fixture.run(1.0);
        fixture.harness.deliver(Event::Reconfigured(discovery_address(address), 256));
        fixture.run(4.0);
        assert_eq!(fixture.drained_count(), 0, "requests to the draining server");
        assert!(fixture.ready_at.is_some());
    }
}

/// On real connections: a process that is killed and started again with its old list, while a server drains and discovery
/// takes 1.5 s for its answer.
#[test]
fn a_restarted_process_serves_once_a_slow_discovery_has_answered() {
    let (ready_server, drained_server, discovery) =
        (StubListener::new(), StubListener::new(), StubListener::new());
    let hosts = |health| {
        vec![
            server_entry("s-1", ready_server.address, "ready"),
            server_entry("s-2", drained_server.address, health),
        ]
    };
    let mut patient_settings = pushed_settings();
    patient_settings["trafficTypes"][0]["setupTarget"] = json!(3000.0);
    let mut proxy = Proxy::start(&patient_settings, discovery.address, hosts("ready"));
    let started_at = Instant::now();
    let (mut request, _) = discovery.accept_with_first_line();
    while read_line(&mut request) != "\r\n" {}
    let mut clients: Vec<_> = (1..=20).map(|id| proxy.open_client(id, "feed", 3000)).collect();
    std::thread::sleep(Duration::from_millis(1500).saturating_sub(started_at.elapsed()));
    assert!(ready_server.listener.accept().is_err(), "a server was chosen before discovery answered");
    let list = server_list(2, false, vec![server_entry("s-2", drained_server.address, "draining")]);
    write!(request.get_mut(), "HTTP/1.1 200 OK\r\n\r\n{list}\n").unwrap();
    proxy.wait_until_serving();
    let legs: Vec<_> = clients.iter().map(|_| ready_server.accept_with_first_line().0).collect();
    legs.iter().for_each(|leg| send(leg, "UP 1\r\n"));
    for client in &mut clients {
        assert_eq!(read_line(client), "UP 1\r\n");
    }
    assert!(drained_server.listener.accept().is_err(), "a request to the draining server");
}
