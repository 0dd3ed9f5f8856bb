//! Time limits of the reducer, on a clock that the test advances: legs that connect late, a planned stop, a start with an
//! outdated list. Each test fails without the fix for the failure that its comment describes.

mod common;

use common::{host_entry, server_list, settings, Harness};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use serde_json::{json, Value};

/// The traffic types of the settings: repeatable, once-only and referenced.
const TRAFFIC_TYPES: [&str; 3] = ["feed", "order", "note"];

/// Opens the watch with a change of these entries.
fn announce_changes(harness: &mut Harness, hosts: Vec<Value>) {
    harness.open_watch(&server_list(9, false, hosts).to_string());
}

/// The request head was written on connecting without checking the server again: a leg that was started before a drain
/// was announced and connected after it was still sent its request, even after the drain's grace period where
/// connecting may take longer than that (400 ms at one site, with a grace period of 100 ms).
#[test]
fn a_leg_that_connects_after_its_server_changed_is_not_sent_the_request() {
    type Change = fn(&mut Harness, usize);
    let changes: [(&str, Change); 5] = [
        ("is draining", |harness, n| announce_changes(harness, vec![host_entry(n, "draining")])),
        ("is gone", |harness, n| announce_changes(harness, vec![host_entry(n, "gone")])),
        ("restarted and is cold", |harness, n| {
            let mut restarted = host_entry(n, "ready");
            restarted["born_ms"] = json!(999_990.0);
            announce_changes(harness, vec![restarted]);
        }),
        ("has another address", |harness, n| {
            let mut readdressed = host_entry(n, "ready");
            readdressed["dial"] = json!("127.0.0.1:9099");
            announce_changes(harness, vec![readdressed]);
        }),
        ("is missing from a whole list", |harness, n| {
            let others = (0..3).filter(|other| *other != n).map(|other| host_entry(other, "ready")).collect();
            harness.open_watch(&server_list(9, true, others).to_string());
        }),
    ];
    for traffic_type in TRAFFIC_TYPES {
        for (change_name, change) in changes {
            let mut harness = Harness::with_ready_servers(3);
            let client = harness.start_call(traffic_type);
            let leg = harness.last_leg();
            let first_port = harness.dialed_ports[0];
            change(&mut harness, first_port - 9000);
            harness.deliver(Event::Connected(leg));
            assert_eq!(harness.sent_heads, [], "{traffic_type}: its server {change_name}");
            assert_eq!(
                harness.dialed_ports.len(),
                2,
                "{traffic_type}: the call never ran, and is sent elsewhere when its server {change_name}"
            );
            assert!(
                change_name == "has another address" || harness.dialed_ports[1] != first_port,
                "{traffic_type}: {change_name}"
            );
            let leg = harness.last_leg();
            harness.connect_leg(leg);
            harness.server_sends(leg, "UP 3\r\n");
            assert_eq!(harness.received(client), "UP 3\r\n");
        }
    }
}

/// Servers recognise a repeat of a referenced call for the repeat window, counted from its first send. A repeat whose
/// leg was started within the window but connected after it was still sent.
#[test]
fn a_repeat_that_connects_after_the_repeat_window_is_not_sent() {
    let mut settings_json = settings();
    settings_json["trafficTypes"][2]["repeatWindow"] = json!(500.0);
    settings_json["limits"]["connectTimeout"] = json!(1000.0);
    settings_json["limits"]["mostLegs"] = json!(2);
    let mut harness =
        Harness::with_settings(7, &settings_json, 256, server_list(1, true, vec![host_entry(0, "ready")]));
    let client = harness.start_call("note");
    let leg = harness.last_leg();
    harness.connect_leg(leg);
    harness.advance(0.1);
    harness.server_sends(leg, "ERR\r\n");
    assert_eq!(harness.dialed_ports.len(), 2, "repeated within the repeat window");
    let leg = harness.last_leg();
    harness.advance(0.45);
    harness.deliver(Event::Connected(leg));
    assert_eq!(harness.sent_heads.len(), 1, "the repeat is not sent");
    assert_eq!(harness.received(client), "ERR\r\n", "not rejected, as the first attempt may have run");
}

/// An `UP` that arrives before the last byte of the head is written cannot be the answer to it. It was forwarded, and
/// the call counted as established at a server that had never read it.
#[test]
fn bytes_from_a_server_before_the_whole_head_is_written_are_no_answer() {
    for traffic_type in TRAFFIC_TYPES {
        for answer in ["UP 1\r\n", "ERR\r\n", "MOVE\r\n", "UP", "\r\n", "BUSY\r\n"] {
            let mut harness = Harness::with_ready_servers(2);
            let client = harness.start_call(traffic_type);
            let leg = harness.last_leg();
            harness.deliver(Event::Connected(leg));
            harness.server_sends(leg, answer);
            assert_eq!(harness.received(client), "", "{traffic_type}: {answer:?}");
            assert_eq!(
                harness.dialed_ports.len(),
                2,
                "{traffic_type}: the call never ran, and is sent again after {answer:?}"
            );
        }
    }
}

/// Whatever a server does once it has the whole head, a call has one outcome: it is sent again where its idempotency
/// allows that, and gets one answer otherwise.
#[test]
fn every_failed_answer_after_the_whole_head_has_exactly_one_outcome() {
    // The server's bytes, how the connection ends after them if it does, and whether they state that the call never
    // ran.
    let long_line = "x".repeat(4096);
    let cases: [(&str, Option<CloseKind>, bool); 9] = [
        ("BUSY\r\nUP 1\r\n", None, true),
        ("ERR\r\nBUSY\r\n", None, false),
        ("UP 1", Some(CloseKind::Graceful), false),
        ("UP 1", Some(CloseKind::Abortive), false),
        ("BUSY", Some(CloseKind::Graceful), false),
        ("", Some(CloseKind::Abortive), false),
        ("BYE\r\n", Some(CloseKind::Graceful), false),
        ("MOVE\r\n", Some(CloseKind::Graceful), false),
        (&long_line, None, false),
    ];
    for traffic_type in TRAFFIC_TYPES {
        for (answer, end, never_ran) in cases {
            let mut harness = Harness::with_ready_servers(2);
            let client = harness.start_call(traffic_type);
            let leg = harness.last_leg();
            harness.connect_leg(leg);
            harness.server_sends(leg, answer);
            // A whole line has ended the leg already; its connection is then closed and no end is delivered.
            if let Some(kind) =
                end.filter(|_| harness.dialed_ports.len() == 1 && harness.legs.contains_key(&leg))
            {
                harness.deliver(Event::Closed(Endpoint::Server(leg), kind));
            }
            let repeated = never_ran || traffic_type != "order";
            assert_eq!(
                harness.dialed_ports.len(),
                1 + usize::from(repeated),
                "{traffic_type}: {answer:.9?} {end:?}"
            );
            let expected = if repeated { "" } else { "ERR\r\n" };
            assert_eq!(harness.received(client), expected, "{traffic_type}: {answer:.9?} {end:?}");
        }
    }
}

/// With guard times of 3.2 and 4.8 s, as at one site, and SIGKILL 3.7 s after SIGTERM, the process was to exit after
/// 5.4 s, and clients that were waiting or established then were cut off when it was killed. The second case has guard
/// times of a quarter of a second and less.
#[test]
fn a_planned_stop_answers_or_moves_every_client_before_the_process_is_killed() {
    for (guard_times, killed_after) in [([3200.0, 4800.0, 4000.0], 3.7), ([250.0, 200.0, 150.0], 0.95)] {
        let mut settings_json = settings();
        for (index, guard_time) in guard_times.iter().enumerate() {
            settings_json["trafficTypes"][index]["guardTime"] = json!(guard_time);
        }
        let mut harness = Harness::with_settings(
            7,
            &settings_json,
            256,
            server_list(1, true, (0..3).map(|n| host_entry(n, "ready")).collect()),
        );
        let last_id = std::cell::Cell::new(1);
        let request_line = |traffic_type: &str, more_fields: &str| {
            last_id.set(last_id.get() + 1);
            format!(
                "OPEN {:016x} 7f3a9c21e0b4d655 c={traffic_type},t=shop-a,d=9000{more_fields}\r\n",
                last_id.get()
            )
        };
        let mut waiting = Vec::new();
        let established: Vec<(usize, usize)> = (0..20).map(|_| harness.establish_call()).collect();
        // One server has sent half a line; the rest arrives when other clients have been moved.
        let (_, mid_line_leg) = established[3];
        harness.server_sends(mid_line_leg, "M 1 ha");
        for traffic_type in TRAFFIC_TYPES {
            // One call whose server received the head and does not answer, and one whose leg does not connect.
            let sent = harness.connect_and_send(&request_line(traffic_type, ""));
            let leg = harness.last_leg();
            harness.connect_leg(leg);
            waiting.extend([sent, harness.connect_and_send(&request_line(traffic_type, ""))]);
        }
        waiting.push(harness.connect_and_send(&request_line("feed", ",at=s-2")));
        harness.deliver(Event::Stop);
        let stopped_at = harness.now;
        let (mut late_call, mut line_completed) = (None, false);
        while harness.now < stopped_at + killed_after - 0.06 {
            harness.advance(0.025);
            if harness.now > stopped_at + 0.3 && waiting.len() < 8 {
                waiting.push(harness.connect_and_send(&request_line("order", "")));
                let client = harness.connect_and_send(&request_line("feed", ""));
                late_call = Some((client, harness.last_leg()));
            }
            if let Some((client, leg)) = late_call.filter(|_| harness.now > stopped_at + killed_after - 0.3) {
                if harness.legs.contains_key(&leg) {
                    harness.connect_leg(leg);
                    harness.server_sends(leg, "UP 8\r\n");
                    let text = harness.received(client);
                    assert!(text.is_empty() || text == "UP 8\r\n" || text.ends_with("MOVE\r\n"), "{text}");
                }
                late_call = None;
            }
            if harness.now > stopped_at + 0.65 && !std::mem::replace(&mut line_completed, true) {
                harness.server_sends(mid_line_leg, "lf\r\n");
            }
        }
        for client in &waiting {
            let text = harness.received(*client);
            assert!(
                text == "ERR\r\n" || text.starts_with("BUSY"),
                "killed after {killed_after} s: a waiting client received {text:?}"
            );
        }
        for (client, _) in &established {
            assert!(
                harness.received(*client).ends_with("MOVE\r\n"),
                "killed after {killed_after} s: an established client is cut off"
            );
        }
        assert!(
            harness.clients.values().all(|c| c.write_shut_down),
            "killed after {killed_after} s: a client is still waiting or established"
        );
        harness.advance(0.05);
        assert!(harness.exited, "killed after {killed_after} s: the process has not exited");
    }
}

/// What discovery has counts as known from the start of a new process, whose remembered list is older. A client that
/// connected before discovery's answer was sent to a server that was draining.
#[test]
fn a_new_process_gives_discovery_a_limited_time_to_answer_before_it_serves_clients() {
    let remembered = || server_list(1, true, (0..2).map(|n| host_entry(n, "ready")).collect());
    for drained in 0..2 {
        let mut harness = Harness::at_process_start(7, &settings(), 256, remembered());
        let client = harness.start_call("order");
        let ping = harness.connect_and_send("PING\r\n");
        assert_eq!((harness.dialed_ports.len(), harness.received(ping).as_str()), (0, ""));
        announce_changes(&mut harness, vec![host_entry(drained, "draining")]);
        assert_eq!(harness.dialed_ports, [9001 - drained]);
        assert_eq!((harness.received(ping).as_str(), harness.received(client).as_str()), ("PONG\r\n", ""));
    }
    // While discovery is silent, a call waits for as long as it can be served in its time, and is then rejected with the time
    // to come again.
    let mut harness = Harness::at_process_start(7, &settings(), 256, remembered());
    let (client, closed_client) = (harness.start_call("feed"), harness.start_call("feed"));
    harness.deliver(Event::Closed(Endpoint::Client(closed_client), CloseKind::Graceful));
    harness.advance(0.25);
    assert_eq!(harness.received(client), "");
    harness.advance(0.1);
    assert!(harness.received(client).starts_with("BUSY "), "{:?}", harness.received(client));
    // Six seconds after the start, what discovery has counts as known whether or not it has arrived.
    harness.advance(5.2);
    let (late_client, closed_client) = (harness.start_call("feed"), harness.start_call("feed"));
    harness.deliver(Event::Closed(Endpoint::Client(closed_client), CloseKind::Graceful));
    assert!(harness.dialed_ports.is_empty(), "a server is chosen by an unconfirmed list");
    harness.advance(0.25);
    assert_eq!(harness.dialed_ports.len(), 1, "a leg for the client that stayed only");
    assert_eq!(harness.received(late_client), "");
}
