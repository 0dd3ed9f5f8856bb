//! The instant in which something is still owed, on a clock that the test moves: legs that come up late, a planned stop,
//! a watch that dies, a start with an old list. Each test fails without the mend that its comment tells of.

mod common;

use common::{discovery_address, host_entry, server_list, settings, Harness};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use serde_json::{json, Value};

const KINDS: [&str; 3] = ["feed", "order", "note"];

fn told(stand: &mut Harness, hosts: Vec<Value>) {
    stand.open_watch(&server_list(9, false, hosts).to_string());
}

/// `connected` wrote the head without another look: a leg dialled before a drain was told and up after it was sent past the
/// grace wherever connections may take longer than that to come up (100 ms at one site, 400 ms the other way).
#[test]
fn a_leg_that_comes_up_after_its_server_changed_is_not_asked() {
    type Change = fn(&mut Harness, usize);
    let changes: [(&str, Change); 5] = [
        ("drains", |stand, n| told(stand, vec![host_entry(n, "draining")])),
        ("is gone", |stand, n| told(stand, vec![host_entry(n, "gone")])),
        ("started anew, and is cold", |stand, n| {
            let mut anew = host_entry(n, "ready");
            anew["born_ms"] = json!(999_990.0);
            told(stand, vec![anew]);
        }),
        ("moved", |stand, n| {
            let mut moved = host_entry(n, "ready");
            moved["dial"] = json!("127.0.0.1:9099");
            told(stand, vec![moved]);
        }),
        ("is gone from a whole list", |stand, n| {
            let others = (0..3).filter(|other| *other != n).map(|other| host_entry(other, "ready")).collect();
            stand.open_watch(&server_list(9, true, others).to_string());
        }),
    ];
    for kind in KINDS {
        for (what, change) in changes {
            let mut stand = Harness::with_ready_servers(3);
            let client = stand.start_call(kind);
            let leg = stand.last_leg();
            let first = stand.dialed_ports[0];
            change(&mut stand, first - 9000);
            stand.deliver(Event::Connected(leg));
            assert_eq!(stand.sent_heads, [], "{kind}: its server {what}");
            assert_eq!(
                stand.dialed_ports.len(),
                2,
                "{kind}: it never ran, and goes elsewhere when its server {what}"
            );
            assert!(what == "moved" || stand.dialed_ports[1] != first, "{kind}: {what}");
            let leg = stand.last_leg();
            stand.connect_leg(leg);
            stand.server_sends(leg, "UP 3\r\n");
            assert_eq!(stand.received(client), "UP 3\r\n");
        }
    }
}

/// The mark of a referenced call is remembered for a while from its first send. A repeat dialled within that time, and up
/// after it, was sent all the same.
#[test]
fn a_repeat_that_comes_up_after_the_mark_is_forgotten_is_not_sent() {
    let mut told = settings();
    told["trafficTypes"][2]["repeatWindow"] = json!(500.0);
    told["limits"]["connectTimeout"] = json!(1000.0);
    told["limits"]["mostLegs"] = json!(2);
    let mut stand = Harness::with_settings(7, &told, 256, server_list(1, true, vec![host_entry(0, "ready")]));
    let client = stand.start_call("note");
    let leg = stand.last_leg();
    stand.connect_leg(leg);
    stand.advance(0.1);
    stand.server_sends(leg, "ERR\r\n");
    assert_eq!(stand.dialed_ports.len(), 2, "sent again while the mark is remembered");
    let leg = stand.last_leg();
    stand.advance(0.45);
    stand.deliver(Event::Connected(leg));
    assert_eq!(stand.sent_heads.len(), 1, "the second is not sent");
    assert_eq!(stand.received(client), "ERR\r\n", "no reject, as the first may have run");
}

/// An `UP` that comes before the head's last byte is nobody's answer to it: it was passed on, and the call stood at a server
/// that had never read it.
#[test]
fn what_a_server_says_before_it_has_the_whole_line_is_no_answer() {
    for kind in KINDS {
        for said in ["UP 1\r\n", "ERR\r\n", "MOVE\r\n", "UP", "\r\n", "BUSY\r\n"] {
            let mut stand = Harness::with_ready_servers(2);
            let client = stand.start_call(kind);
            let leg = stand.last_leg();
            stand.deliver(Event::Connected(leg));
            stand.server_sends(leg, said);
            assert_eq!(stand.received(client), "", "{kind}: {said:?}");
            assert_eq!(stand.dialed_ports.len(), 2, "{kind}: it never ran, and is sent again after {said:?}");
        }
    }
}

/// Whatever a server does once it has the whole line, a call has one outcome: sent again where its effect allows that, and
/// else one answer.
#[test]
fn every_spoilt_answer_after_the_whole_line_has_one_outcome() {
    // What comes, whether the connection ends with it, and whether that says that it never ran.
    let line = "x".repeat(4096);
    let cases: [(&str, Option<CloseKind>, bool); 9] = [
        ("BUSY\r\nUP 1\r\n", None, true),
        ("ERR\r\nBUSY\r\n", None, false),
        ("UP 1", Some(CloseKind::Graceful), false),
        ("UP 1", Some(CloseKind::Abortive), false),
        ("BUSY", Some(CloseKind::Graceful), false),
        ("", Some(CloseKind::Abortive), false),
        ("BYE\r\n", Some(CloseKind::Graceful), false),
        ("MOVE\r\n", Some(CloseKind::Graceful), false),
        (&line, None, false),
    ];
    for kind in KINDS {
        for (said, end, never_ran) in cases {
            let mut stand = Harness::with_ready_servers(2);
            let client = stand.start_call(kind);
            let leg = stand.last_leg();
            stand.connect_leg(leg);
            stand.server_sends(leg, said);
            // After a whole line the leg has ended, and its end falls on nobody.
            if let Some(how) = end.filter(|_| stand.dialed_ports.len() == 1 && stand.legs.contains_key(&leg))
            {
                stand.deliver(Event::Closed(Endpoint::Server(leg), how));
            }
            let again = never_ran || kind != "order";
            assert_eq!(stand.dialed_ports.len(), 1 + usize::from(again), "{kind}: {said:.9?} {end:?}");
            let wanted = if again { "" } else { "ERR\r\n" };
            assert_eq!(stand.received(client), wanted, "{kind}: {said:.9?} {end:?}");
        }
    }
}

/// Guard times of 3.2 and 4.8 s, as one customer has them, and SIGKILL 3.7 s after SIGTERM: the process meant to end after
/// 5.4 s, and whoever waited or stood then was cut off with it. Deadlines of a quarter of a second the other way.
#[test]
fn at_a_planned_stop_nobody_is_owed_anything_when_the_process_is_killed() {
    for (guards, killed) in [([3200.0, 4800.0, 4000.0], 3.7), ([250.0, 200.0, 150.0], 0.95)] {
        let mut told = settings();
        for (at, guard) in guards.iter().enumerate() {
            told["trafficTypes"][at]["guardTime"] = json!(guard);
        }
        let mut stand = Harness::with_settings(
            7,
            &told,
            256,
            server_list(1, true, (0..3).map(|n| host_entry(n, "ready")).collect()),
        );
        let id = std::cell::Cell::new(1);
        let line = |kind: &str, more: &str| {
            id.set(id.get() + 1);
            format!("OPEN {:016x} 7f3a9c21e0b4d655 c={kind},t=shop-a,d=9000{more}\r\n", id.get())
        };
        let mut owed = Vec::new();
        let standing: Vec<(usize, usize)> = (0..20).map(|_| stand.establish_call()).collect();
        // One is within a line, whose rest comes when others have left.
        let (_, slow) = standing[3];
        stand.server_sends(slow, "M 1 ha");
        for kind in KINDS {
            // A server that hangs with the line, and one whose connection does not come up.
            let asked = stand.connect_and_send(&line(kind, ""));
            let leg = stand.last_leg();
            stand.connect_leg(leg);
            owed.extend([asked, stand.connect_and_send(&line(kind, ""))]);
        }
        owed.push(stand.connect_and_send(&line("feed", ",at=s-2")));
        stand.deliver(Event::Stop);
        let stop = stand.now;
        let (mut late, mut whole) = (None, false);
        while stand.now < stop + killed - 0.06 {
            stand.advance(0.025);
            if stand.now > stop + 0.3 && owed.len() < 8 {
                owed.push(stand.connect_and_send(&line("order", "")));
                let client = stand.connect_and_send(&line("feed", ""));
                late = Some((client, stand.last_leg()));
            }
            if let Some((client, leg)) = late.filter(|_| stand.now > stop + killed - 0.3) {
                if stand.legs.contains_key(&leg) {
                    stand.connect_leg(leg);
                    stand.server_sends(leg, "UP 8\r\n");
                    let got = stand.received(client);
                    assert!(got.is_empty() || got == "UP 8\r\n" || got.ends_with("MOVE\r\n"), "{got}");
                }
                late = None;
            }
            if stand.now > stop + 0.65 && !std::mem::replace(&mut whole, true) {
                stand.server_sends(slow, "lf\r\n");
            }
        }
        for client in &owed {
            let got = stand.received(*client);
            assert!(got == "ERR\r\n" || got.starts_with("BUSY"), "{killed}: {got:?} for one that waited");
        }
        for (client, _) in &standing {
            assert!(stand.received(*client).ends_with("MOVE\r\n"), "{killed}: one that stood is cut off");
        }
        assert!(
            stand.clients.values().all(|c| c.write_shut_down),
            "{killed}: nobody stands or waits any more"
        );
        stand.advance(0.05);
        assert!(stand.exited, "{killed}: over by then");
    }
}

/// The agent that is dead in this way: what it writes on a watch that is opened, and later, again and again.
fn dead(kind: &str) -> (&'static [u8], &'static [u8]) {
    match kind {
        "silent" => (b"", b""),
        "a head that never ends" => (b"HTTP/1.1 200 OK\r\n", b"X"),
        _ => (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
    }
}

/// What a silent watch misses counts as told six seconds after it fell silent, and the opening in its place may be dead too.
/// Any byte put the end off: a line in pieces that never ended kept a dead watch for ever.
#[test]
fn a_dead_watch_and_a_dead_opening_are_got_over_within_six_seconds() {
    for mode in ["automatic", "subscribe"] {
        for kind in ["silent", "a head that never ends", "a line that never ends"] {
            for seed in 0..20 {
                let mut told = settings();
                told["membershipMode"] = json!(mode);
                let mut stand = Harness::with_settings(
                    seed,
                    &told,
                    256,
                    server_list(1, true, vec![host_entry(0, "ready")]),
                );
                stand.open_watch(&server_list(2, true, vec![host_entry(0, "ready")]).to_string());
                let (fell_silent, mut seen) = (stand.now, stand.watch_requests.len());
                let (first, then) = dead(kind);
                // On the watch that was open, no head can come any more.
                let mut drip = if kind == "silent" { then } else { b" " };
                while stand.now < fell_silent + 5.8 {
                    stand.advance(0.05);
                    if stand.watch_requests.len() > seen && stand.watch_requests.len() < 4 {
                        seen = stand.watch_requests.len();
                        stand.watch_open = true;
                        stand.deliver(Event::WatchOpened);
                        if !first.is_empty() {
                            stand.deliver(Event::WatchBytes(first));
                        }
                        drip = then;
                    }
                    if stand.watch_open && stand.watch_requests.len() < 4 && !drip.is_empty() {
                        stand.deliver(Event::WatchBytes(drip));
                    }
                }
                let openings = stand.watch_requests.len() - 1;
                assert!(
                    openings >= 2,
                    "{mode}, {kind}: opened {openings} times since, of which the first was dead"
                );
            }
        }
    }
}

/// What a call to discovery meets while that is not well: bytes at once, bytes later, and whether the connection then ends.
struct Unwell {
    name: &'static str,
    refused: bool,
    at_once: &'static [u8],
    later: Option<(f64, &'static [u8])>,
    /// Written again and again.
    drip: &'static [u8],
    ends: bool,
}

const AWAY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\n\r\n";

fn unwell() -> Vec<Unwell> {
    let one = |name, at_once| Unwell { name, refused: false, at_once, later: None, drip: b"", ends: false };
    vec![
        Unwell { refused: true, ..one("refused", b"") },
        one("503 at once", AWAY),
        Unwell { later: Some((2.0, AWAY)), ..one("503 after its time-out", b"") },
        one("silent", b""),
        Unwell { ends: true, ..one("cut off in the head", b"HTTP/1.1 20") },
        one("silent in the head", b"HTTP/1.1 20"),
        Unwell { ends: true, ..one("cut off in the list", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":9,") },
        one("silent in the list", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":9,"),
        Unwell { drip: b" ", ..one("a list that drips", HEAD) },
        one("no JSON", b"HTTP/1.1 200 OK\r\n\r\nnone\n"),
        one("one that was not understood", b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":-1}\n"),
        Unwell {
            ends: true,
            ..one(
                "a list that names nobody",
                b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":0,\"whole\":true,\"hosts\":[]}\n",
            )
        },
    ]
}

/// Whatever discovery did before, what it has counts as told six seconds after it can be reached. Where it had turned calls
/// away for 25 s it was left alone for up to 10.5 s more; 9 of 40 processes had not even asked within six.
#[test]
fn whatever_discovery_did_it_is_asked_again_within_six_seconds_of_being_well() {
    let mut worst: Vec<(f64, &str)> = Vec::new();
    for mode in ["automatic", "subscribe"] {
        for how in unwell() {
            for (seed, moved) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
                let mut told = settings();
                told["membershipMode"] = json!(mode);
                let mut stand = Harness::with_settings(
                    seed,
                    &told,
                    256,
                    server_list(1, true, vec![host_entry(0, "ready")]),
                );
                stand.open_watch(&server_list(2, true, vec![host_entry(0, "ready")]).to_string());
                stand.advance(0.3);
                if moved {
                    stand.deliver(Event::Reconfigured(discovery_address(2), 200));
                } else {
                    stand.deliver(Event::WatchLost);
                }
                let (from, mut seen) = (stand.now, if moved { 2 } else { 1 });
                // By turns well again at any moment of what it does.
                let well_at = from + 3.0 + f64::from(seed as u32) * 1.13;
                let (mut asked_at, mut heard_at) = (f64::INFINITY, None);
                while heard_at.is_none() && stand.now < well_at + 20.0 {
                    stand.advance(0.02);
                    if stand.watch_requests.len() > seen {
                        seen = stand.watch_requests.len();
                        asked_at = stand.now;
                        if stand.now >= well_at {
                            stand
                                .open_watch(&server_list(30, true, vec![host_entry(1, "ready")]).to_string());
                            heard_at = Some(stand.now - well_at);
                            break;
                        }
                        stand.watch_open = !how.refused;
                        if how.refused {
                            stand.deliver(Event::WatchLost);
                            continue;
                        }
                        stand.deliver(Event::WatchOpened);
                        if !how.at_once.is_empty() {
                            stand.deliver(Event::WatchBytes(how.at_once));
                        }
                        if how.ends && stand.watch_open {
                            stand.deliver(Event::WatchLost);
                        }
                        continue;
                    }
                    if let Some((after, text)) = how.later.filter(|_| stand.watch_open) {
                        if stand.now - asked_at >= after {
                            stand.deliver(Event::WatchBytes(text));
                        }
                    }
                    if stand.watch_open && !how.drip.is_empty() {
                        stand.deliver(Event::WatchBytes(how.drip));
                    }
                }
                let after = heard_at.unwrap_or(f64::INFINITY);
                match worst.iter_mut().find(|(_, name)| *name == how.name) {
                    Some(one) => one.0 = one.0.max(after),
                    None => worst.push((after, how.name)),
                }
                assert!(after <= 5.8, "{mode}, {}: heard {after:.2} s after it was well", how.name);
            }
        }
    }
    println!("{worst:.2?}");
}

/// Between losing the watch and the new list the list held is old, and what the agent has counts as told: a watch that had
/// been open for long was left alone for up to 0.15 s, past a grace of 0.1 s, and an asked-for list for up to 3.7 s.
#[test]
fn a_watch_that_was_open_is_asked_for_anew_in_the_moment_it_is_lost() {
    for mode in ["automatic", "subscribe"] {
        for seed in 0..20 {
            let mut told = settings();
            told["membershipMode"] = json!(mode);
            let mut stand =
                Harness::with_settings(seed, &told, 256, server_list(1, true, vec![host_entry(0, "ready")]));
            stand.open_watch(&server_list(2, true, vec![host_entry(0, "ready")]).to_string());
            stand.advance(1.0);
            stand.deliver(Event::WatchBytes(b"\n"));
            let before = stand.watch_requests.len();
            stand.deliver(Event::WatchLost);
            stand.advance(0.0);
            assert_eq!(stand.watch_requests.len(), before + 1, "{mode}: asked at once");
            // A discovery that ends each call at once is not asked without a pause.
            for _ in 0..100 {
                stand.deliver(Event::WatchLost);
                stand.advance(0.01);
            }
            assert!(
                stand.watch_requests.len() < before + 14,
                "{mode}: {} times in a second",
                stand.watch_requests.len() - before
            );
        }
    }
}

/// What the agent has counts as told from the first moment of a new process, whose list is the one from before it ended. A
/// client that came before the agent's answer was sent to a server that drained.
#[test]
fn a_process_that_starts_hears_discovery_before_its_first_client() {
    let held = || server_list(1, true, (0..2).map(|n| host_entry(n, "ready")).collect());
    for drained in 0..2 {
        let mut stand = Harness::at_process_start(7, &settings(), 256, held());
        let client = stand.start_call("order");
        let ping = stand.connect_and_send("PING\r\n");
        assert_eq!((stand.dialed_ports.len(), stand.received(ping).as_str()), (0, ""));
        told(&mut stand, vec![host_entry(drained, "draining")]);
        assert_eq!(stand.dialed_ports, [9001 - drained]);
        assert_eq!((stand.received(ping).as_str(), stand.received(client).as_str()), ("PONG\r\n", ""));
    }
    // One that says nothing is not waited for: setting a call up must still be in time.
    let mut stand = Harness::at_process_start(7, &settings(), 256, held());
    let (client, gone) = (stand.start_call("feed"), stand.start_call("feed"));
    stand.deliver(Event::Closed(Endpoint::Client(gone), CloseKind::Graceful));
    stand.advance(0.15);
    assert_eq!(stand.dialed_ports.len(), 1, "for the one that stayed");
    assert_eq!(stand.received(client), "");
}
