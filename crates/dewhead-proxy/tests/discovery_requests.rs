//! When discovery is asked again: soon enough for what it has had since its last line, after each way in which a watch
//! can end and a request can fail, and rarely enough that a whole fleet does not keep an overloaded discovery busy.

mod common;

use common::loopback::{read_line, server_entry, Proxy, StubListener};
use common::{discovery_address, host_entry, server_list, settings, Harness, UNAVAILABLE_RESPONSE};
use dewhead_proxy::reducer::Event;
use dewhead_proxy::state::handover_state;
use rustix::process::Signal;
use serde_json::json;
use std::collections::{BTreeSet, VecDeque};
use std::io::Write;
use std::time::{Duration, Instant};

/// A change counts as known this many seconds after discovery has it, whether or not it was delivered.
const KNOWN_AFTER_SECONDS: f64 = 6.0;
/// What a discovery at a new address has counts as known this many seconds after the new configuration.
const NEW_DISCOVERY_KNOWN_AFTER_SECONDS: f64 = 4.0;
/// The grace period of a drain.
const GRACE: Duration = Duration::from_millis(500);
/// The head of a watch in chunks.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk with an empty line, which discovery writes while nothing changes.
const EMPTY_LINE_CHUNK: &[u8] = b"1\r\n\n\r\n";

/// How an open watch ends, or how a request for one fails.
#[derive(Clone)]
struct Fault {
    name: &'static str,
    /// Written this many seconds after the request, or when an open watch ends.
    bytes: Vec<u8>,
    delay: f64,
    /// Written each half second after that.
    repeated_bytes: Vec<u8>,
    /// Whether the connection is closed or reset after the bytes.
    closes: bool,
}

impl Fault {
    fn new(name: &'static str, bytes: &[u8]) -> Fault {
        Fault { name, bytes: bytes.to_vec(), delay: 0.0, repeated_bytes: Vec::new(), closes: false }
    }
}

/// A chunk that holds a line longer than any that is read.
fn too_long_chunk() -> Vec<u8> {
    let size = 5 << 20;
    [format!("{size:x}\r\n").into_bytes(), vec![b' '; size]].concat()
}

/// All ways in which an open watch can end, but for too long a list, which would be too long again at once.
fn watch_ends() -> Vec<Fault> {
    vec![
        Fault::new("falls silent", b""),
        Fault { closes: true, ..Fault::new("is closed or reset", b"") },
        Fault { closes: true, ..Fault::new("is reset within a line", b"20\r\n{\"seq\":9,") },
        Fault::new("falls silent within a line", b"20\r\n{\"seq\":9,"),
        Fault::new("ends as a response", b"0\r\n\r\n"),
        Fault::new("is not in chunks", b"zz\r\n"),
        Fault::new("holds no JSON", b"5\r\nnone\n\r\n"),
        Fault::new("holds an invalid list", b"b\r\n{\"seq\":-1}\n\r\n"),
    ]
}

/// All ways in which a request can fail.
fn request_faults() -> Vec<Fault> {
    let begun_list = || [CHUNKED_HEAD, b"ffffff\r\n{\"seq\":9,"].concat();
    vec![
        Fault { closes: true, ..Fault::new("refused or reset before the head", b"") },
        Fault { closes: true, ..Fault::new("reset within the head", b"HTTP/1.1 20") },
        Fault { closes: true, ..Fault::new("broken off within the list", &begun_list()) },
        Fault { closes: true, delay: 2.0, ..Fault::new("broken off late", &begun_list()) },
        Fault::new("refused with 503 at once", UNAVAILABLE_RESPONSE),
        Fault { delay: 2.0, ..Fault::new("refused with 503 after two seconds", UNAVAILABLE_RESPONSE) },
        Fault::new("unanswered", b""),
        Fault::new("unanswered within the head", b"HTTP/1.1 20"),
        Fault::new("unanswered within the list", &begun_list()),
        Fault {
            repeated_bytes: vec![b' '; 4096],
            ..Fault::new("answered with a list that does not end", &begun_list())
        },
        Fault::new("no HTTP", b"none\r\n\r\n"),
        Fault::new("no JSON", &[CHUNKED_HEAD, b"5\r\nnone\n\r\n"].concat()),
        Fault::new("an invalid list", &[CHUNKED_HEAD, b"b\r\n{\"seq\":-1}\n\r\n"].concat()),
        Fault::new("too long a list", &[CHUNKED_HEAD, &too_long_chunk()].concat()),
    ]
}

/// Delivers bytes of the watch, and its end.
fn deliver_fault(harness: &mut Harness, fault: &Fault) {
    if !fault.bytes.is_empty() && harness.watch_open {
        harness.deliver(Event::WatchBytes(&fault.bytes));
    }
    if fault.closes && harness.watch_open {
        harness.deliver(Event::WatchLost);
    }
}

/// Advances until discovery is asked again, while it goes on with the fault of the last request.
fn advance_to_next_request(harness: &mut Harness, fault: &Fault) {
    let (started_at, request_count) = (harness.now, harness.watch_requests.len());
    let mut repeat_at = started_at + fault.delay + 0.5;
    let mut is_delivered = fault.delay == 0.0;
    while harness.watch_requests.len() == request_count {
        assert!(harness.now < started_at + 20.0, "{}: not asked again", fault.name);
        harness.advance(0.02);
        let is_open = harness.watch_open && harness.watch_requests.len() == request_count;
        if is_open && !is_delivered && harness.now >= started_at + fault.delay {
            is_delivered = true;
            deliver_fault(harness, fault);
        }
        if is_open && !fault.repeated_bytes.is_empty() && harness.now >= repeat_at {
            repeat_at += 0.5;
            harness.deliver(Event::WatchBytes(&fault.repeated_bytes));
        }
    }
}

/// Lets the request that was made last fail in this way, and advances until discovery is asked again.
fn fail_request(harness: &mut Harness, fault: &Fault) {
    harness.watch_open = true;
    if !fault.name.starts_with("refused or reset") {
        harness.deliver(Event::WatchOpened);
    }
    if fault.delay == 0.0 {
        deliver_fault(harness, fault);
    }
    advance_to_next_request(harness, fault);
}

/// A harness whose watch has been open for `open_seconds` and has just delivered an empty line.
fn harness_with_watch(seed: u128, mode: &str, open_seconds: f64) -> Harness {
    let mut settings_json = settings();
    settings_json["membershipMode"] = json!(mode);
    let known = server_list(1, true, vec![host_entry(0, "ready")]);
    let mut harness = Harness::with_settings(seed, &settings_json, 256, known);
    harness.watch_open = true;
    harness.deliver(Event::WatchOpened);
    harness.deliver(Event::WatchBytes(CHUNKED_HEAD));
    let until = harness.now + open_seconds;
    while harness.now < until {
        harness.deliver(Event::WatchBytes(EMPTY_LINE_CHUNK));
        harness.advance(0.5_f64.min(until - harness.now));
    }
    harness.deliver(Event::WatchBytes(EMPTY_LINE_CHUNK));
    harness
}

/// Discovery was asked again 5 to 5.6 s after a request that it refused, although the watch had been silent for 2.6 s
/// before that request: drains that counted as known after six seconds were learned of after 7.6 to 8.2 s.
#[test]
fn a_failed_request_after_a_failed_watch_is_repeated_within_six_seconds_of_the_last_line() {
    for mode in ["automatic", "subscribe"] {
        for end in watch_ends() {
            for fault in request_faults() {
                for (seed, open_seconds) in [(1, 0.0), (2, 1.0), (3, 9.0), (4, 0.0), (5, 9.0)] {
                    let mut harness = harness_with_watch(seed, mode, open_seconds);
                    let last_line_at = harness.now;
                    harness.advance(0.1);
                    deliver_fault(&mut harness, &end);
                    advance_to_next_request(&mut harness, &Fault { delay: f64::MAX, ..end.clone() });
                    fail_request(&mut harness, &fault);
                    let delay = harness.now - last_line_at;
                    assert!(
                        delay < KNOWN_AFTER_SECONDS,
                        "{mode}, the watch {}, the request {}: asked again {delay:.2} s after the last line",
                        end.name,
                        fault.name
                    );
                }
            }
        }
    }
}

/// A list that is too long may be shorter before the six seconds are over, but is not to be written over and over.
#[test]
fn a_discovery_whose_list_is_too_long_is_asked_again_within_six_seconds_and_rarely() {
    let end = Fault::new("holds too long a list", &too_long_chunk());
    let answer = Fault::new("too long a list", &[CHUNKED_HEAD, &too_long_chunk()].concat());
    for (seed, open_seconds) in (0..10).flat_map(|seed| [(seed, 0.0), (seed, 1.0), (seed, 9.0)]) {
        let mut harness = harness_with_watch(seed, "automatic", open_seconds);
        let last_line_at = harness.now;
        deliver_fault(&mut harness, &end);
        advance_to_next_request(&mut harness, &Fault { delay: f64::MAX, ..end.clone() });
        assert!(
            harness.now - last_line_at < KNOWN_AFTER_SECONDS,
            "asked after {:.2} s",
            harness.now - last_line_at
        );
        (0..3).for_each(|_| fail_request(&mut harness, &answer));
        assert!(
            harness.now - last_line_at > 2.0 * 4.98,
            "three times within {:.2} s",
            harness.now - last_line_at
        );
    }
}

/// The same after a start, where nothing has been heard yet.
#[test]
fn a_failed_request_of_a_new_process_is_repeated_within_six_seconds() {
    for fault in request_faults() {
        for seed in 0..10 {
            let known = server_list(1, true, vec![host_entry(0, "ready")]);
            let mut harness = Harness::at_process_start(seed, &settings(), 256, known);
            let started_at = harness.now;
            fail_request(&mut harness, &fault);
            let delay = harness.now - started_at;
            assert!(delay < KNOWN_AFTER_SECONDS, "{}: asked again after {delay:.2} s", fault.name);
        }
    }
}

/// A discovery at a new address that refused its first request was asked again after 5 to 5.6 s, while what it has counts
/// as known four seconds after the new configuration, or earlier where the watch had been silent before.
#[test]
fn a_failed_request_after_a_new_configuration_is_repeated_within_four_seconds() {
    for mode in ["automatic", "subscribe"] {
        for fault in request_faults() {
            for (seed, silent_seconds) in [(1, 0.0), (2, 1.9), (3, 2.5), (4, 5.5), (5, 20.0)] {
                let mut harness = harness_with_watch(seed, mode, 9.0);
                let last_line_at = harness.now;
                while harness.now < last_line_at + silent_seconds {
                    harness.advance(0.1);
                }
                let reconfigured_at = harness.now;
                harness.deliver(Event::Reconfigured(discovery_address(2), 200));
                fail_request(&mut harness, &fault);
                assert_eq!(harness.watch_requests.last(), Some(&(discovery_address(2), 0)));
                let delay = harness.now - reconfigured_at;
                assert!(
                    delay < NEW_DISCOVERY_KNOWN_AFTER_SECONDS,
                    "{mode}, silent for {silent_seconds} s, {}: asked again {delay:.2} s after the new configuration",
                    fault.name
                );
                if silent_seconds < 3.0 {
                    let delay = harness.now - last_line_at;
                    assert!(delay < KNOWN_AFTER_SECONDS, "{}: {delay:.2} s after the last line", fault.name);
                }
            }
        }
    }
}

/// A successor that took over from a process whose watch had fallen silent counted the six seconds from its own start.
#[test]
fn a_failed_request_after_a_handover_is_repeated_within_six_seconds_of_the_predecessors_last_line() {
    for fault in request_faults() {
        for (seed, silent_seconds) in [(1, 0.0), (2, 1.0), (3, 1.9), (4, 2.5), (5, 2.5), (6, 20.0)] {
            let mut predecessor = harness_with_watch(seed, "automatic", 9.0);
            let last_line_at = predecessor.now;
            while predecessor.now < last_line_at + silent_seconds {
                predecessor.advance(0.1);
            }
            let exported = predecessor.reducer.export_state(predecessor.now);
            let state = handover_state::decode(&exported).expect("the state has the supported version");
            let started_at = predecessor.now + 0.1;
            let mut successor = Harness::start_at(started_at, seed, &settings(), 256, state.list.clone());
            successor.reducer.import_state(started_at, &state);
            fail_request(&mut successor, &fault);
            let limit = if silent_seconds < 3.0 { last_line_at } else { started_at } + KNOWN_AFTER_SECONDS;
            assert!(
                successor.now < limit,
                "silent for {silent_seconds} s, {}: asked again {:.2} s too late",
                fault.name,
                successor.now - limit
            );
        }
    }
}

/// An overloaded discovery is asked as rarely as the six seconds allow: once more for what was missed before the refused
/// request, and after that in intervals of five seconds or more.
#[test]
fn an_overloaded_discovery_is_asked_once_more_in_time_and_rarely_after_that() {
    let refusal = Fault::new("refused with 503 at once", UNAVAILABLE_RESPONSE);
    for seed in 0..20 {
        let mut harness = harness_with_watch(seed, "automatic", 9.0);
        advance_to_next_request(&mut harness, &Fault { delay: f64::MAX, ..refusal.clone() });
        fail_request(&mut harness, &refusal);
        for _ in 0..4 {
            let requested_at = harness.now;
            fail_request(&mut harness, &refusal);
            let interval = harness.now - requested_at;
            assert!((4.98..KNOWN_AFTER_SECONDS).contains(&interval), "asked again after {interval:.2} s");
        }
        let status = harness.reducer.status(harness.now);
        assert_eq!(
            status["counters"]["watch_failures"],
            json!({"line_overdue": 1, "status_not_200": 5}),
            "each failure is counted under its reason"
        );
        assert_eq!(status["counters"]["watch_requests"], 7);
    }
}

/// On real connections: the watch falls silent, the first request after that is refused, and the second one is answered
/// with a drain, in time for the grace period of the drain.
#[test]
fn a_drain_is_known_in_time_after_a_silent_watch_and_a_refused_request() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let hosts = |health| vec![server_entry("s-1", server.address, health)];
    let mut proxy = Proxy::start(&settings(), discovery.address, hosts("ready"));
    let _silent_watch = discovery.accept_watch(2, true, hosts("ready"));
    let last_line_at = Instant::now();
    refuse_request(&discovery);
    let _watch = discovery.accept_watch(3, true, hosts("draining"));
    proxy.wait_for_log("is Draining");
    let delay = last_line_at.elapsed();
    assert!(delay < Duration::from_secs_f64(KNOWN_AFTER_SECONDS) + GRACE, "known after {delay:.2?}");
}

/// The same on real connections after SIGHUP: the new discovery refuses its first request.
#[test]
fn a_drain_is_known_in_time_after_a_new_configuration_and_a_refused_request() {
    let (server, old_discovery, new_discovery) =
        (StubListener::new(), StubListener::new(), StubListener::new());
    let hosts = |health| vec![server_entry("s-1", server.address, health)];
    let mut proxy = Proxy::start(&settings(), old_discovery.address, hosts("ready"));
    let _old_watch = old_discovery.accept_watch(2, true, hosts("ready"));
    let (old_address, new_address) = (old_discovery.address.to_string(), new_discovery.address.to_string());
    proxy.write_configuration(&proxy.read_configuration().replace(&old_address, &new_address));
    let reconfigured_at = Instant::now();
    proxy.send_signal(Signal::HUP);
    refuse_request(&new_discovery);
    let _watch = new_discovery.accept_watch(3, true, hosts("draining"));
    proxy.wait_for_log("is Draining");
    let delay = reconfigured_at.elapsed();
    let limit = Duration::from_secs_f64(NEW_DISCOVERY_KNOWN_AFTER_SECONDS) + GRACE;
    assert!(delay < limit, "known after {delay:.2?}");
}

/// Accepts the next request for the watch and refuses it.
fn refuse_request(discovery: &StubListener) {
    let (mut lines, _) = discovery.accept_with_first_line();
    while read_line(&mut lines) != "\r\n" {}
    lines.get_mut().write_all(UNAVAILABLE_RESPONSE).unwrap();
}

/// What makes all proxies of a fleet ask discovery at the same time.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Cause {
    /// They start.
    Restart,
    /// Their watches fall silent after the same line.
    SilentWatches,
    /// A new configuration names another discovery.
    Reconfiguration,
}

/// A fleet of proxies and an overloaded discovery: it answers `requests_per_second` requests a second, refuses each that
/// is unanswered after two seconds, and queues four times as many as it can answer in that time.
struct OverloadedDiscovery {
    fleet: Vec<Harness>,
    requests_per_second: f64,
    requests_seen: Vec<usize>,
    /// For each queued request: the proxy, the request's number, when it arrived, whether it was refused.
    queue: VecDeque<(usize, usize, f64, bool)>,
    /// The part of a request that can be answered so far.
    capacity: f64,
    /// Proxies that hold the new list.
    with_list: BTreeSet<usize>,
}

/// A fleet must have its lists after this many seconds: five of the six-second periods.
const FLEET_RECOVERY_SECONDS: usize = 30;
/// The step of the simulated clock, in seconds.
const STEP_SECONDS: f64 = 0.05;
/// After this many seconds discovery refuses a request that it has not answered.
const DISCOVERY_TIMEOUT_SECONDS: f64 = 2.0;

impl OverloadedDiscovery {
    fn new(cause: Cause, mode: &str, proxies: u64, requests_per_second: f64) -> OverloadedDiscovery {
        let mut settings_json = settings();
        settings_json["membershipMode"] = mode.into();
        let remembered = server_list(1, true, vec![host_entry(0, "ready")]);
        let mut fleet: Vec<Harness> = (0..proxies)
            .map(|seed| Harness::at_process_start(u128::from(seed), &settings_json, 256, remembered.clone()))
            .collect();
        let mut requests_seen = vec![0; fleet.len()];
        for (harness, seen) in fleet.iter_mut().zip(&mut requests_seen).filter(|_| cause != Cause::Restart) {
            harness.open_watch("");
            *seen = harness.watch_requests.len();
            if cause == Cause::Reconfiguration {
                harness.deliver(Event::Reconfigured(discovery_address(2), 200));
            } else {
                // All find their watches silent in the next step.
                harness.advance(2.6 - STEP_SECONDS);
            }
        }
        OverloadedDiscovery {
            fleet,
            requests_per_second,
            requests_seen,
            queue: VecDeque::new(),
            capacity: 0.0,
            with_list: BTreeSet::new(),
        }
    }

    fn refuse(&mut self, proxy: usize) {
        self.fleet[proxy].deliver(Event::WatchOpened);
        self.fleet[proxy].deliver(Event::WatchBytes(UNAVAILABLE_RESPONSE));
    }

    /// Whether the proxy still waits for the answer to its request of this number.
    fn awaits_answer(&self, proxy: usize, number: usize) -> bool {
        self.fleet[proxy].watch_open && self.requests_seen[proxy] == number
    }

    /// Queues the requests that the proxies have made, or refuses them.
    fn accept_requests(&mut self, now: f64) {
        for proxy in 0..self.fleet.len() {
            if self.fleet[proxy].watch_requests.len() == self.requests_seen[proxy] {
                continue;
            }
            self.requests_seen[proxy] = self.fleet[proxy].watch_requests.len();
            self.fleet[proxy].watch_open = true;
            if (self.queue.len() as f64) < 4.0 * DISCOVERY_TIMEOUT_SECONDS * self.requests_per_second {
                self.queue.push_back((proxy, self.requests_seen[proxy], now, false));
            } else {
                self.refuse(proxy);
            }
        }
    }

    /// Refuses the requests that have waited for too long; they stay in the queue.
    fn refuse_overdue(&mut self, now: f64) {
        for i in 0..self.queue.len() {
            let (proxy, number, arrived_at, refused) = self.queue[i];
            if refused || now - arrived_at <= DISCOVERY_TIMEOUT_SECONDS {
                continue;
            }
            self.queue[i].3 = true;
            if self.awaits_answer(proxy, number) {
                self.refuse(proxy);
            }
        }
    }

    /// Answers as many requests as a step allows; abandoned ones use up capacity as well.
    fn answer(&mut self) {
        let new_list = server_list(2, true, vec![host_entry(0, "ready"), host_entry(1, "ready")]).to_string();
        self.capacity += self.requests_per_second * STEP_SECONDS;
        while self.capacity >= 1.0 {
            self.capacity -= 1.0;
            let Some((proxy, number, _, refused)) = self.queue.pop_front() else { break };
            if !refused && self.awaits_answer(proxy, number) {
                self.fleet[proxy].open_watch(&new_list);
                self.with_list.insert(proxy);
            }
        }
    }

    /// Returns how many proxies hold a list after each second.
    fn count_lists_by_second(mut self, seconds: usize) -> Vec<usize> {
        let mut counts_by_second = Vec::new();
        for step in 0..seconds * 20 {
            let now = step as f64 * STEP_SECONDS;
            self.accept_requests(now);
            self.refuse_overdue(now);
            self.answer();
            for (proxy, harness) in self.fleet.iter_mut().enumerate() {
                // The empty lines that keep a watch open.
                if self.with_list.contains(&proxy) && step % 20 == 0 {
                    harness.deliver(Event::WatchBytes(b"\n"));
                }
                harness.advance(STEP_SECONDS);
            }
            if step % 20 == 19 {
                counts_by_second.push(self.with_list.len());
            }
        }
        counts_by_second
    }
}

/// A hundred proxies that repeated their requests after a second or two, and gave each up after one, kept a discovery
/// that accepts more requests than it can answer busy with abandoned ones: 11 of 100 learned of the servers that a
/// release had started. Asked as seldom as the six seconds allow, a discovery that needs 2 to 6 s for one request of
/// each proxy gives at least 90 of them a list. The results for a slower one are in docs/standing.md.
#[test]
fn a_fleet_that_restarts_at_once_gets_its_lists_from_an_overloaded_discovery() {
    for mode in ["automatic", "subscribe"] {
        for (requests_per_second, seconds) in [(50.0, 3), (33.0, 6), (25.0, 8), (20.0, 12), (16.0, 18)] {
            let discovery = OverloadedDiscovery::new(Cause::Restart, mode, 100, requests_per_second);
            let counts = discovery.count_lists_by_second(seconds);
            println!("{mode}, {requests_per_second} requests a second: {counts:?}");
            assert!(
                counts[seconds - 1] >= 90,
                "{mode}, {requests_per_second} requests a second: {counts:?} of 100 hold a list"
            );
        }
    }
}

/// All watches of a fleet fall silent after the same line, or a new configuration names another discovery, which is
/// overloaded by the requests that follow. Each proxy asks once more in time for what it has missed, and the fleet is
/// still given its lists: asked twice in each six seconds, a discovery that needs five seconds or more for one request
/// of each proxy never answered most of them.
#[test]
fn a_fleet_that_loses_its_watches_at_once_gets_its_lists_from_an_overloaded_discovery() {
    for (cause, mode) in [
        (Cause::SilentWatches, "automatic"),
        (Cause::SilentWatches, "subscribe"),
        (Cause::Reconfiguration, "automatic"),
        (Cause::Reconfiguration, "subscribe"),
    ] {
        for requests_per_second in [50.0, 33.0, 25.0, 20.0, 17.0] {
            let discovery = OverloadedDiscovery::new(cause, mode, 100, requests_per_second);
            let counts = discovery.count_lists_by_second(FLEET_RECOVERY_SECONDS);
            println!("{cause:?}, {mode}, {requests_per_second} requests a second: {counts:?}");
            assert!(
                counts[FLEET_RECOVERY_SECONDS - 1] >= 90,
                "{cause:?}, {mode}, {requests_per_second} requests a second: {counts:?} of 100 hold a list"
            );
        }
    }
}
