//! When discovery is asked again: soon enough for what it has had since its last line, after each way in which a watch
//! can end and a request can fail, and no more often than an overloaded discovery can bear.

mod common;

use common::discovery::{deliver_fault, too_long_chunk, Fault, CHUNKED_HEAD, EMPTY_LINE_CHUNK};
use common::loopback::{read_line, server_entry, Proxy, StubListener};
use common::{discovery_address, host_entry, server_list, settings, Harness, UNAVAILABLE_RESPONSE};
use dewhead_proxy::reducer::Event;
use dewhead_proxy::state::handover_state;
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

/// A change counts as known this many seconds after discovery has it, whether or not it was delivered.
const KNOWN_AFTER_SECONDS: f64 = 6.0;
/// What a discovery at a new address has counts as known this many seconds after the new configuration.
const NEW_DISCOVERY_KNOWN_AFTER_SECONDS: f64 = 4.0;
/// The grace period of a drain.
const GRACE: Duration = Duration::from_millis(500);
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
        Fault { connects: false, closes: true, ..Fault::new("not connected", b"") },
        Fault { closes: true, ..Fault::new("reset before the head", b"") },
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
    if fault.connects {
        harness.deliver(Event::WatchOpened);
    }
    if fault.delay == 0.0 {
        deliver_fault(harness, fault);
    }
    advance_to_next_request(harness, fault);
}

/// A harness in this mode of listing, with a remembered list.
fn harness_in_mode(seed: u128, mode: &str) -> Harness {
    let mut settings_json = settings();
    settings_json["membershipMode"] = json!(mode);
    Harness::with_settings(seed, &settings_json, 256, server_list(1, true, vec![host_entry(0, "ready")]))
}

/// A harness whose watch has been open for `open_seconds` and has just delivered an empty line.
fn harness_with_watch(seed: u128, mode: &str, open_seconds: f64) -> Harness {
    let mut harness = harness_in_mode(seed, mode);
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

/// Two requests fail after a silent watch, and the second one is refused with less than the usual pause left.
#[test]
fn a_request_refused_after_an_unanswered_one_is_repeated_within_six_seconds_of_the_last_line() {
    let refusal = Fault::new("refused with 503 at once", UNAVAILABLE_RESPONSE);
    let late_refusal =
        Fault { delay: 0.5, ..Fault::new("refused with 503 after half a second", UNAVAILABLE_RESPONSE) };
    for (seed, second) in (0..20).flat_map(|seed| [(seed, &refusal), (seed, &late_refusal)]) {
        let mut harness = harness_with_watch(seed, "automatic", 9.0);
        let last_line_at = harness.now;
        let unanswered = Fault::new("unanswered", b"");
        advance_to_next_request(&mut harness, &Fault { delay: f64::MAX, ..unanswered.clone() });
        fail_request(&mut harness, &unanswered);
        let refused_from = harness.now + second.delay;
        fail_request(&mut harness, second);
        let (delay, pause) = (harness.now - last_line_at, harness.now - refused_from);
        assert!(delay < KNOWN_AFTER_SECONDS, "{}: asked again {delay:.2} s after the last line", second.name);
        assert!(pause > 0.15, "{}: asked again {pause:.2} s after the refusal", second.name);
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
    let proxy = Proxy::start(&settings(), discovery.address, hosts("ready"));
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
    let proxy = Proxy::start(&settings(), old_discovery.address, hosts("ready"));
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

/// What a discovery that fails in this way writes when the watch is opened, and repeatedly after that.
fn failing_watch_bytes(failure: &str) -> (&'static [u8], &'static [u8]) {
    match failure {
        "silent" => (b"", b""),
        "a head that never ends" => (b"HTTP/1.1 200 OK\r\n", b"X"),
        _ => (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
    }
}

/// A change that a silent watch misses counts as known six seconds after the watch fell silent, and the watch opened in
/// its place may fail too. Any byte used to extend the deadline: a line that arrived in pieces and never ended kept a
/// failed watch open for ever.
#[test]
fn a_failed_watch_and_a_failed_reopening_are_replaced_within_six_seconds() {
    for mode in ["automatic", "subscribe"] {
        for failure in ["silent", "a head that never ends", "a line that never ends"] {
            for seed in 0..20 {
                let mut harness = harness_in_mode(seed, mode);
                harness.open_watch(&server_list(2, true, vec![host_entry(0, "ready")]).to_string());
                let (silent_since, mut requests_seen) = (harness.now, harness.watch_requests.len());
                let (first_bytes, further_bytes) = failing_watch_bytes(failure);
                // The watch that is open already is past its response head.
                let mut repeated_bytes = if failure == "silent" { further_bytes } else { b" " };
                while harness.now < silent_since + 5.8 {
                    harness.advance(0.05);
                    if harness.watch_requests.len() > requests_seen && harness.watch_requests.len() < 4 {
                        requests_seen = harness.watch_requests.len();
                        harness.watch_open = true;
                        harness.deliver(Event::WatchOpened);
                        if !first_bytes.is_empty() {
                            harness.deliver(Event::WatchBytes(first_bytes));
                        }
                        repeated_bytes = further_bytes;
                    }
                    if harness.watch_open && harness.watch_requests.len() < 4 && !repeated_bytes.is_empty() {
                        harness.deliver(Event::WatchBytes(repeated_bytes));
                    }
                }
                let requests = harness.watch_requests.len() - 1;
                assert!(
                    requests >= 2,
                    "{mode}, {failure}: requested {requests} times since, of which the first failed"
                );
            }
        }
    }
}

/// The head of a successful response.
const OK_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

/// All faults of discovery that are tested.
fn discovery_faults() -> Vec<Fault> {
    vec![
        Fault { connects: false, closes: true, ..Fault::new("refused", b"") },
        Fault::new("503 at once", UNAVAILABLE_RESPONSE),
        Fault { delay: 2.0, ..Fault::new("503 after its time-out", UNAVAILABLE_RESPONSE) },
        Fault::new("silent", b""),
        Fault { closes: true, ..Fault::new("closed within the head", b"HTTP/1.1 20") },
        Fault::new("silent within the head", b"HTTP/1.1 20"),
        Fault { closes: true, ..Fault::new("closed within the list", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":9,") },
        Fault::new("silent within the list", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":9,"),
        Fault { repeated_bytes: b" ".to_vec(), ..Fault::new("a list that never ends", OK_RESPONSE_HEAD) },
        Fault::new("not JSON", b"HTTP/1.1 200 OK\r\n\r\nnone\n"),
        Fault::new("invalid list", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":-1}\n"),
        Fault {
            closes: true,
            ..Fault::new("empty list", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":0,\"whole\":true,\"hosts\":[]}\n")
        },
    ]
}

/// Whatever fault discovery had before, its list counts as known six seconds after it can be reached. Where it had
/// refused requests for 25 s, it was not asked again for up to 10.5 s more; 9 of 40 processes had not even asked within
/// six seconds.
#[test]
fn after_any_discovery_fault_the_watch_is_requested_within_six_seconds_of_recovery() {
    let mut longest_delays: Vec<(f64, &str)> = Vec::new();
    for mode in ["automatic", "subscribe"] {
        for fault in discovery_faults() {
            for (seed, readdressed) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
                let mut harness = harness_in_mode(seed, mode);
                harness.open_watch(&server_list(2, true, vec![host_entry(0, "ready")]).to_string());
                harness.advance(0.3);
                if readdressed {
                    harness.deliver(Event::Reconfigured(discovery_address(2), 200));
                } else {
                    harness.deliver(Event::WatchLost);
                }
                let (failed_at, mut requests_seen) = (harness.now, if readdressed { 2 } else { 1 });
                // Spread over the seeds, so that recovery falls into every phase of the fault.
                let recovered_at = failed_at + 3.0 + f64::from(seed as u32) * 1.13;
                let (mut requested_at, mut answered_after) = (f64::INFINITY, None);
                while answered_after.is_none() && harness.now < recovered_at + 20.0 {
                    harness.advance(0.02);
                    if harness.watch_requests.len() > requests_seen {
                        requests_seen = harness.watch_requests.len();
                        requested_at = harness.now;
                        if harness.now >= recovered_at {
                            harness
                                .open_watch(&server_list(30, true, vec![host_entry(1, "ready")]).to_string());
                            answered_after = Some(harness.now - recovered_at);
                            break;
                        }
                        harness.watch_open = true;
                        if fault.connects {
                            harness.deliver(Event::WatchOpened);
                        }
                        if fault.delay == 0.0 {
                            deliver_fault(&mut harness, &fault);
                        }
                        continue;
                    }
                    if fault.delay > 0.0 && harness.now - requested_at >= fault.delay {
                        deliver_fault(&mut harness, &fault);
                    }
                    if harness.watch_open && !fault.repeated_bytes.is_empty() {
                        harness.deliver(Event::WatchBytes(&fault.repeated_bytes));
                    }
                }
                let delay = answered_after.unwrap_or(f64::INFINITY);
                match longest_delays.iter_mut().find(|(_, name)| *name == fault.name) {
                    Some(entry) => entry.0 = entry.0.max(delay),
                    None => longest_delays.push((delay, fault.name)),
                }
                assert!(delay <= 5.8, "{mode}, {}: requested {delay:.2} s after the recovery", fault.name);
            }
        }
    }
    println!("{longest_delays:.2?}");
}

/// Between the loss of the watch and the new list, the current list is outdated, while everything that discovery has
/// counts as known. A watch that had been open for long was requested again only after up to 0.15 s, which exceeds a
/// grace period of 0.1 s, and a list in the mode `subscribe` only after up to 3.7 s.
#[test]
fn a_lost_watch_that_was_open_is_requested_again_at_once() {
    for mode in ["automatic", "subscribe"] {
        for seed in 0..20 {
            let mut harness = harness_in_mode(seed, mode);
            harness.open_watch(&server_list(2, true, vec![host_entry(0, "ready")]).to_string());
            harness.advance(1.0);
            harness.deliver(Event::WatchBytes(b"\n"));
            let requests_before = harness.watch_requests.len();
            harness.deliver(Event::WatchLost);
            harness.advance(0.0);
            assert_eq!(harness.watch_requests.len(), requests_before + 1, "{mode}: requested at once");
            // A discovery that closes each connection at once is asked again only after a pause.
            for _ in 0..100 {
                harness.deliver(Event::WatchLost);
                harness.advance(0.01);
            }
            assert!(
                harness.watch_requests.len() < requests_before + 14,
                "{mode}: requested {} times in a second",
                harness.watch_requests.len() - requests_before
            );
        }
    }
}
