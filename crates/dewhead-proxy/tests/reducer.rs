//! The reducer under random events, and a plain case of each thing that a proxy must not get wrong.

mod common;

use common::{discovery_address, host_entry, server_list, Harness};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Any events in any order. The stand fails on a touch of a closed end; here each call's answers are counted, rule 3 is
/// checked at each leg, and at the end nothing may be left over.
fn keeps_rules(seed: u64) -> bool {
    let mut dice = oorandom::Rand64::new(u128::from(seed));
    let mut health = ["ready"; 6];
    let mut stand = Harness::with_ready_servers(6);
    let mut version = 1;
    let mut follows = 0;
    // When each call was taken, by client slot; out of it once the client is closed.
    let mut taken: BTreeMap<usize, f64> = BTreeMap::new();
    for _ in 0..600 {
        if stand.watch_requests.len() > follows {
            // A watch that is opened, also anew after a silence, tells the whole list.
            follows = stand.watch_requests.len();
            let whole = server_list(version, true, (0..6).map(|at| host_entry(at, health[at])).collect());
            stand.open_watch(&whole.to_string());
        }
        let pick = |dice: &mut oorandom::Rand64, keys: Vec<usize>| {
            (!keys.is_empty()).then(|| keys[dice.rand_range(0..keys.len() as u64) as usize])
        };
        let (clients, legs) = (stand.clients.keys().copied().collect(), stand.legs.keys().copied().collect());
        let (client, leg) = (pick(&mut dice, clients), pick(&mut dice, legs));
        let before = stand.dialed_ports.len();
        match (dice.rand_range(0..16), client, leg) {
            (0 | 1, ..) => {
                let kind = ["feed", "order", "note", "none"][dice.rand_range(0..4) as usize];
                if stand.accepting {
                    let slot = stand.start_call(kind);
                    taken.insert(slot, stand.now);
                }
            }
            (2, Some(client), _) => stand.client_sends(client, "M 1 x\r\nM 2"),
            (3, Some(client), _) => {
                let how = if dice.rand_float() < 0.5 { CloseKind::Graceful } else { CloseKind::Abortive };
                stand.deliver(Event::Closed(Endpoint::Client(client), how));
            }
            (4 | 5, _, Some(leg)) => stand.connect_leg(leg),
            (6 | 7, _, Some(leg)) => stand.server_sends(leg, "UP 77\r\nLOAD 9000.5\r\n"),
            (8, _, Some(leg)) => {
                let said = ["BUSY\r\n", "ERR\r\n", "MOVE\r\n", "BYE\r\n", "odd\r\n", "M half", "UP"];
                stand.server_sends(leg, said[dice.rand_range(0..said.len() as u64) as usize]);
            }
            (9, _, Some(leg)) => stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Graceful)),
            (10, _, Some(leg)) => stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Abortive)),
            (11, _, Some(leg)) => stand.deliver(Event::ConnectFailed(leg)),
            (12, ..) if stand.watch_open => {
                let at = dice.rand_range(0..6) as usize;
                health[at] = ["ready", "draining", "gone"][dice.rand_range(0..3) as usize];
                version += 1;
                let line = format!("{}\n", server_list(version, false, vec![host_entry(at, health[at])]));
                stand.deliver(Event::WatchBytes(line.as_bytes()));
            }
            _ => stand.advance(dice.rand_float() * 0.3),
        }
        for port in &stand.dialed_ports[before..] {
            assert_eq!(health[port - 9000], "ready", "rule 3: a leg to a server that drains or is gone");
        }
        taken.retain(|slot, _| stand.clients.contains_key(slot));
        for (slot, at) in &taken {
            let got = stand.received(*slot);
            let answered = got.starts_with("UP ") || got.starts_with("BUSY") || got.starts_with("ERR");
            assert!(answered || stand.now < at + 1.5, "rule 1: no answer by the guard time");
            let last_words =
                got.lines().filter(|l| ["ERR", "MOVE"].contains(l) || l.starts_with("BUSY")).count();
            let passed_on = got.starts_with("UP ");
            assert!(last_words <= 1 || passed_on, "rule 1: two answers");
        }
    }
    for client in stand.clients.keys().copied().collect::<Vec<_>>() {
        stand.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Graceful));
    }
    stand.advance(10.0);
    assert_eq!(
        stand.reducer.violations(),
        0,
        "the guard found a promise broken: {:?}",
        stand.reducer.status(stand.now)["violations"]
    );
    assert_eq!(stand.reducer.open_counts(), (0, 0, 0), "something was not given back");
    true
}

#[test]
fn any_events_keep_the_rules_and_leave_nothing_over() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(150)
        .quickcheck(keeps_rules as fn(u64) -> bool);
}

#[test]
fn the_head_goes_on_with_another_waiting_time_only() {
    let mut stand = Harness::with_ready_servers(1);
    stand.start_call("feed");
    let leg = stand.last_leg();
    stand.connect_leg(leg);
    let (figure, got) = (stand.legs[&leg].timeout_ms, stand.legs[&leg].received.clone());
    assert!((1..=1500).contains(&figure));
    let line = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500,g=5c0f6e1a2b3d4c59,x=1\r\n";
    assert_eq!(String::from_utf8_lossy(&got), line.replace("1500", &figure.to_string()));
}

/// Whether a once-only call may be sent again hangs on the head's last byte alone.
#[test]
fn a_once_only_call_is_sent_again_only_if_it_never_ran() {
    let mut stand = Harness::with_ready_servers(3);
    let client = stand.start_call("order");
    let leg = stand.last_leg();
    stand.deliver(Event::Connected(leg));
    stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Abortive));
    assert_eq!(stand.dialed_ports.len(), 2, "broken before the last byte: it never ran");
    let leg = stand.last_leg();
    stand.connect_leg(leg);
    stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Abortive));
    assert_eq!(stand.dialed_ports.len(), 2, "broken after it: it may have run");
    assert_eq!(stand.received(client), "ERR\r\n");
}

#[test]
fn every_bad_answer_of_a_server_is_a_failed_leg() {
    for said in ["odd\r\n", "ERR\r\n", "BYE\r\n", &"x".repeat(5000)] {
        let mut stand = Harness::with_ready_servers(2);
        let client = stand.start_call("order");
        let leg = stand.last_leg();
        stand.connect_leg(leg);
        stand.server_sends(leg, said);
        assert_eq!((stand.received(client).as_str(), stand.legs.len()), ("ERR\r\n", 0));
    }
}

#[test]
fn a_client_moves_only_between_two_lines() {
    let mut stand = Harness::with_ready_servers(2);
    let (client, leg) = stand.establish_call();
    let other = 9001 + 9000 - stand.legs[&leg].port;
    stand.server_sends(leg, "M 1 hal");
    let gone = server_list(2, false, vec![host_entry(stand.legs[&leg].port - 9000, "gone")]);
    stand.open_watch(&gone.to_string());
    assert_eq!(stand.received(client), "UP 1\r\nM 1 hal");
    stand.server_sends(leg, "f\r\nM 2");
    assert_eq!(stand.received(client), "UP 1\r\nM 1 half\r\nMOVE\r\n");
    assert!(stand.legs.is_empty() && stand.clients[&client].write_shut_down);
    stand.start_call("feed");
    assert_eq!(stand.dialed_ports.last(), Some(&other));
}

/// Seen on no day yet, as the bench's servers end their lines: a move must not wait for ever for half a line.
#[test]
fn a_server_that_stops_within_a_line_does_not_hold_a_move_back() {
    let mut stand = Harness::with_ready_servers(1);
    let (client, leg) = stand.establish_call();
    stand.server_sends(leg, "M 1 hal");
    stand.client_sends(client, "M 2\r\n");
    stand.advance(3.0);
    assert!(!stand.legs.is_empty(), "it waits for the line");
    stand.advance(1.0);
    assert!(stand.legs.is_empty() && stand.clients[&client].write_shut_down);
    assert_eq!(stand.received(client), "UP 1\r\nM 1 hal");
}

#[test]
fn a_silent_connection_is_moved_and_an_answering_one_is_not() {
    let mut stand = Harness::with_ready_servers(1);
    let ((quiet, _), (well, leg)) = (stand.establish_call(), stand.establish_call());
    // Waited for as long as a guard time, the connections of a lost zone stood at nothing for three seconds each.
    for beat in 0..6 {
        stand.client_sends(quiet, "M\r\n");
        stand.client_sends(well, "M\r\n");
        stand.server_sends(leg, "M\r\n");
        stand.advance(0.5);
        assert_eq!(
            stand.received(quiet).ends_with("MOVE\r\n"),
            beat >= 1,
            "a line may be held back for a second"
        );
        if beat == 1 {
            stand.deliver(Event::Closed(Endpoint::Client(quiet), CloseKind::Graceful));
            break;
        }
    }
    assert_eq!(stand.received(well), "UP 1\r\nM\r\nM\r\n");
}

#[test]
fn either_sides_end_ends_the_other_in_the_same_way() {
    let mut stand = Harness::with_ready_servers(1);
    let (client, leg) = stand.establish_call();
    stand.server_sends(leg, "BYE\r\n");
    stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Graceful));
    assert_eq!(stand.received(client), "UP 1\r\nBYE\r\n");
    assert!(stand.clients[&client].write_shut_down && stand.legs.is_empty());
    let (client, leg) = stand.establish_call();
    stand.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Graceful));
    assert!(stand.legs[&leg].write_shut_down, "the client's end goes on");
    stand.server_sends(leg, "M last\r\n");
    assert_eq!(stand.received(client), "UP 1\r\nM last\r\n");
    stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Graceful));
    assert_eq!(stand.closed_clients.last().unwrap().closed, Some(CloseKind::Graceful));
    let (client, leg) = stand.establish_call();
    stand.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Abortive));
    assert!(!stand.legs.contains_key(&leg));
    assert_eq!(stand.closed_clients.last().unwrap().closed, Some(CloseKind::Abortive));
}

/// Seen on days with servers that drop connections: a client cut off waits longer than one that is told to move.
#[test]
fn a_client_whose_server_is_lost_is_told_to_move_unless_within_a_line() {
    for how in [CloseKind::Abortive, CloseKind::Graceful] {
        let mut stand = Harness::with_ready_servers(1);
        let (client, leg) = stand.establish_call();
        stand.deliver(Event::Closed(Endpoint::Server(leg), how));
        assert_eq!(stand.received(client), "UP 1\r\nMOVE\r\n");
        let mut stand = Harness::with_ready_servers(1);
        let (client, leg) = stand.establish_call();
        stand.server_sends(leg, "M 1 hal");
        stand.deliver(Event::Closed(Endpoint::Server(leg), how));
        let ended =
            stand.clients.get(&client).is_none_or(|c| c.write_shut_down && c.received == b"UP 1\r\nM 1 hal");
        assert!(ended, "ended as the server was, with no word amid a line");
    }
}

#[test]
fn a_connection_from_before_goes_back_to_its_server_and_nowhere_else() {
    let mut stand = Harness::with_ready_servers(3);
    let line = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=shop-a,d=4294967,at=s-2\r\n";
    let client = stand.connect_and_send(line);
    let leg = stand.last_leg();
    stand.deliver(Event::ConnectFailed(leg));
    stand.advance(0.2);
    assert_eq!(stand.dialed_ports, [9002, 9002]);
    let leg = stand.last_leg();
    stand.connect_leg(leg);
    stand.server_sends(leg, "UP 5\r\n");
    assert_eq!(stand.received(client), "UP 5\r\n");
}

#[test]
fn what_clients_send_amiss_gets_one_failing_line() {
    let head = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655";
    for line in [
        "GET / HTTP/1.1\r\n".to_owned(),
        format!("{head} c=none,d=100\r\n"),
        format!("{head} c=feed,t=nobody,d=100\r\n"),
        format!("{head} c=feed,d=x\r\n"),
        format!("{head}\r\n"),
        "OPEN 9b1f 7f3a c=feed,d=100\r\n".to_owned(),
        format!("{head} c=feed,d=100\r\nM early\r\n"),
        "x".repeat(5000),
    ] {
        let mut stand = Harness::with_ready_servers(1);
        let client = stand.connect_and_send(&line);
        assert_eq!(stand.received(client), "ERR\r\n", "{line}");
        assert!(stand.legs.is_empty() && stand.clients[&client].write_shut_down);
        stand.advance(10.0);
        assert!(stand.clients.is_empty(), "the socket is given back even if the client stays");
    }
    let mut stand = Harness::with_ready_servers(1);
    let client = stand.start_call("feed");
    stand.client_sends(client, "M early\r\n");
    assert_eq!(stand.received(client), "ERR\r\n", "bytes before UP");
}

/// On the rude days such connections were owed an end within three seconds, and had it after the longest guard time.
#[test]
fn who_begins_nothing_is_ended_within_three_seconds_whatever_it_says_meanwhile() {
    let mut stand = Harness::with_ready_servers(1);
    let (silent, half, pings) = (stand.connect(), stand.connect_and_send("OPEN 9b1f03aa"), stand.connect());
    for beat in 0..29 {
        if beat % 5 == 0 {
            stand.client_sends(half, "5");
        }
        if beat % 9 == 0 {
            stand.client_sends(pings, "PING\r\n");
        }
        stand.advance(0.1);
    }
    assert!(!stand.clients.contains_key(&silent) && !stand.clients.contains_key(&pings));
    assert_eq!(stand.received(half), "ERR\r\n");
    let flood = stand.connect_and_send(&"PING\r\n".repeat(500));
    assert!(stand.received(flood).len() < 50 && stand.received(flood).ends_with("ERR\r\n"));
    let nowhere =
        stand.connect_and_send("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,d=4294967,at=s-9\r\n");
    (0..29).for_each(|_| stand.advance(0.1));
    assert_eq!(stand.received(nowhere), "ERR\r\n", "put back at a server that nobody knows");
}

#[test]
fn the_id_of_another_open_request_gets_no_leg_until_that_one_has_ended() {
    let mut stand = Harness::with_ready_servers(1);
    let line = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,d=1500\r\n";
    let first = stand.connect_and_send(line);
    let second = stand.connect_and_send(&line.replace("9b1f", "9B1F"));
    assert_eq!((stand.received(second).as_str(), stand.dialed_ports.len()), ("ERR\r\n", 1));
    let leg = stand.last_leg();
    stand.connect_leg(leg);
    stand.server_sends(leg, "UP 1\r\n");
    let third = stand.connect_and_send(line);
    assert_eq!((stand.received(third).as_str(), stand.dialed_ports.len()), ("ERR\r\n", 1));
    stand.server_sends(leg, "BYE\r\n");
    stand.deliver(Event::Closed(Endpoint::Server(leg), CloseKind::Graceful));
    assert_eq!(stand.received(first), "UP 1\r\nBYE\r\n");
    stand.connect_and_send(line);
    assert_eq!(stand.dialed_ports.len(), 2);
}

/// Hundreds connect and say nothing, or do not go once they are answered, and the descriptors are theirs.
#[test]
fn those_who_only_hold_descriptors_give_them_up_to_usual_clients() {
    let mut stand = Harness::with_ready_servers(1);
    let mut taken = 0;
    for round in 0..400 {
        if stand.accepting {
            if round % 2 == 0 {
                stand.connect();
            } else {
                stand.connect_and_send("x\r\n");
            }
        }
        if round % 8 == 0 {
            if stand.accepting {
                let client = stand.start_call("feed");
                assert!(stand.received(client).is_empty(), "a usual client found no room in round {round}");
                let leg = stand.last_leg();
                stand.connect_leg(leg);
                stand.server_sends(leg, "UP 1\r\n");
                taken += 1;
                stand.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Abortive));
            }
            stand.advance(0.05);
        }
    }
    assert_eq!(taken, 50, "of as many usual clients");
}

#[test]
fn ping_is_answered_once_there_is_a_list() {
    let mut stand = Harness::new(256, serde_json::Value::Null);
    let client = stand.connect_and_send("PING\r\n");
    assert_eq!(stand.received(client), "");
    stand.open_watch(&server_list(3, true, vec![host_entry(0, "ready")]).to_string());
    let client = stand.connect_and_send("PING\r\nPING\r\n");
    assert_eq!(stand.received(client), "PONG\r\nPONG\r\n");
}

#[test]
fn without_descriptors_calls_are_rejected_and_then_not_accepted() {
    let mut stand = Harness::new(64, server_list(1, true, vec![host_entry(0, "ready")]));
    let mut busy = 0;
    while stand.accepting {
        let client = stand.start_call("feed");
        busy += usize::from(stand.received(client).starts_with("BUSY"));
    }
    assert!(busy > 0);
    let (sessions, legs, _) = stand.reducer.open_counts();
    assert!(sessions + legs <= 64);
    let all: Vec<usize> = stand.clients.keys().copied().collect();
    all.into_iter()
        .for_each(|client| stand.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Graceful)));
    assert!(stand.accepting, "accepted again once descriptors are back");
}

#[test]
fn bad_discovery_leaves_the_list_as_it_is_and_is_asked_again() {
    for bad in [
        "HTTP/1.1 500 No\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\n\r\nnot json\n".to_owned(),
        "no http at all\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n\r\n{}\n", server_list(9, true, vec![host_entry(0, "odd")])),
        "HTTP/1.1 200 OK\r\n\r\n{\"seq\":9,\"whole\":true}\n".to_owned(),
        // A line without an end.
        format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(2 << 20)),
        // An older version than is held.
        format!("HTTP/1.1 200 OK\r\n\r\n{}\n", server_list(0, true, vec![])),
    ] {
        let mut stand = Harness::with_ready_servers(1);
        stand.deliver(Event::WatchOpened);
        stand.deliver(Event::WatchBytes(bad.as_bytes()));
        stand.start_call("feed");
        assert_eq!(stand.dialed_ports, [9000], "{bad}");
        stand.advance(4.0);
        stand.advance(4.0);
        assert!(
            stand.watch_requests.len() > 1
                && stand.watch_requests.iter().all(|f| *f == (discovery_address(1), 1)),
            "{bad}"
        );
    }
}

/// Discovery's word counts as told six seconds after it was due, whether or not the watch brought it.
#[test]
fn a_watch_that_goes_silent_is_asked_for_twice_within_six_seconds() {
    let mut stand = Harness::with_ready_servers(1);
    stand.open_watch("");
    let before = stand.watch_requests.len();
    (0..30).for_each(|_| stand.advance(0.1));
    assert!(stand.watch_requests.len() > before && !stand.watch_open, "asked again after three seconds");
    (0..30).for_each(|_| stand.advance(0.1));
    assert!(stand.watch_requests.len() > before + 1, "and again, as nobody answers");
}

/// Proxies of a fleet that restarted in one moment, and a discovery that answers so many calls a second, ends each after
/// two seconds and takes four times as many as it can answer in that time. How many have a list after each second.
fn let_in(mode: &str, proxies: u64, a_second: f64, seconds: usize) -> Vec<usize> {
    let told = server_list(2, true, vec![host_entry(0, "ready"), host_entry(1, "ready")]);
    let mut settings = common::settings();
    settings["membershipMode"] = mode.into();
    let known = server_list(1, true, vec![host_entry(0, "ready")]);
    let mut fleet: Vec<Harness> = (0..proxies)
        .map(|seed| Harness::at_process_start(u128::from(seed), &settings, 256, known.clone()))
        .collect();
    let mut asked = vec![0; fleet.len()];
    // Whose call, its number, when it came, and whether it was ended.
    let mut queue: std::collections::VecDeque<(usize, usize, f64, bool)> = Default::default();
    let turn_away = |stand: &mut Harness| {
        stand.deliver(Event::WatchOpened);
        stand.deliver(Event::WatchBytes(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
    };
    let mut held = std::collections::BTreeSet::new();
    let (mut by_second, mut done) = (Vec::new(), 0.0);
    for step in 0..seconds * 20 {
        let now = step as f64 * 0.05;
        for (at, stand) in fleet.iter_mut().enumerate() {
            if stand.watch_requests.len() > asked[at] {
                asked[at] = stand.watch_requests.len();
                stand.watch_open = true;
                if (queue.len() as f64) < 8.0 * a_second {
                    queue.push_back((at, asked[at], now, false));
                } else {
                    turn_away(stand);
                }
            }
        }
        for (at, number, since, ended) in
            queue.iter_mut().filter(|(_, _, since, ended)| !ended && now - since > 2.0)
        {
            *ended = true;
            if fleet[*at].watch_open && asked[*at] == *number && now > *since {
                turn_away(&mut fleet[*at]);
            }
        }
        // Work for a call that nobody waits for any longer is done all the same.
        done += a_second * 0.05;
        while done >= 1.0 {
            done -= 1.0;
            let Some((at, number, _, ended)) = queue.pop_front() else { break };
            if !ended && fleet[at].watch_open && asked[at] == number {
                fleet[at].open_watch(&told.to_string());
                held.insert(at);
            }
        }
        for (at, stand) in fleet.iter_mut().enumerate() {
            // What keeps a watch alive.
            if held.contains(&at) && step % 20 == 0 {
                stand.deliver(Event::WatchBytes(b"\n"));
            }
            stand.advance(0.05);
        }
        if step % 20 == 19 {
            by_second.push(held.len());
        }
    }
    by_second
}

/// A hundred proxies asked again within a second or two, gave each call up after one, and kept a discovery that takes
/// more calls than it can answer busy with those: 11 of 100 learned of the servers that a release had started. Asked as
/// seldom as the six seconds allow, one that takes a call of each in 2 to 6 s lets them in; see the page for one that
/// takes longer.
#[test]
fn a_fleet_that_restarts_in_one_moment_is_let_in_by_a_discovery_that_is_overbooked() {
    for mode in ["automatic", "subscribe"] {
        for (a_second, by) in [(50.0, 3), (33.0, 6), (25.0, 8), (20.0, 12), (16.0, 18)] {
            let held = let_in(mode, 100, a_second, by);
            println!("{mode}, {a_second} calls a second: {held:?}");
            assert!(held[by - 1] >= 90, "{mode}, {a_second} calls a second: {held:?} of 100 hold a list");
        }
    }
}

/// A discovery that had turned one call away and then was gone was asked as seldom as one that still did.
#[test]
fn only_the_last_call_tells_whether_discovery_turns_calls_away() {
    let mut stand = Harness::with_ready_servers(1);
    let before = stand.watch_requests.len();
    stand.watch_open = true;
    stand.deliver(Event::WatchOpened);
    stand.deliver(Event::WatchBytes(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
    (0..48).for_each(|_| stand.advance(0.1));
    assert_eq!(stand.watch_requests.len(), before, "it is left alone for nearly five seconds");
    (0..9).for_each(|_| stand.advance(0.1));
    assert_eq!(stand.watch_requests.len(), before + 1);
    stand.deliver(Event::WatchLost);
    (0..4).for_each(|_| stand.advance(0.1));
    assert_eq!(stand.watch_requests.len(), before + 2, "gone, it is asked again soon");
}

/// A reload ended the process, and its successor would have gone on asking the old address for versions that the new
/// discovery does not count.
#[test]
fn a_new_discovery_is_followed_at_once_whatever_it_counts() {
    for opened in [false, true] {
        let mut stand =
            Harness::new(256, server_list(40, true, (0..3).map(|n| host_entry(n, "ready")).collect()));
        let (client, leg) = stand.establish_call();
        let held = stand.legs[&leg].port;
        if opened {
            stand.open_watch(&server_list(41, false, vec![]).to_string());
        } else {
            stand.deliver(Event::WatchLost);
        }
        stand.deliver(Event::Reconfigured(discovery_address(2), 200));
        assert_eq!(stand.watch_requests.last(), Some(&(discovery_address(2), 0)));
        stand.start_call("feed");
        assert_eq!(stand.dialed_ports.len(), 2, "the list held serves till the new one comes");
        let others: Vec<usize> = (0..3).filter(|n| 9000 + n != held).collect();
        stand.open_watch(
            &server_list(3, true, vec![host_entry(held - 9000, "ready"), host_entry(others[0], "ready")])
                .to_string(),
        );
        for _ in 0..12 {
            stand.start_call("feed");
            assert_ne!(stand.dialed_ports.last(), Some(&(9000 + others[1])), "what it does not name is gone");
        }
        assert_eq!(stand.received(client), "UP 1\r\n", "what stands stays");
        (0..30).for_each(|_| stand.advance(0.1));
        assert_eq!(
            stand.watch_requests.last(),
            Some(&(discovery_address(2), 3)),
            "silent, it is asked again where it is now"
        );
    }
}

#[test]
fn a_stop_sends_everybody_away_politely_and_ends() {
    let mut stand = Harness::with_ready_servers(2);
    let clients: Vec<usize> = (0..40).map(|_| stand.establish_call().0).collect();
    stand.deliver(Event::Stop);
    stand.advance(0.4);
    assert!(
        clients.iter().all(|c| !stand.received(*c).contains("MOVE")),
        "others still come: who moves now may come back"
    );
    let (late, _) = stand.establish_call();
    let mut moved = Vec::new();
    for _ in 0..20 {
        stand.advance(0.1);
        let now =
            stand.clients.iter().filter(|(_, c)| c.received.ends_with(b"MOVE\r\n")).map(|(slot, _)| *slot);
        let now: Vec<usize> = now.collect();
        now.iter().for_each(|c| stand.deliver(Event::Closed(Endpoint::Client(*c), CloseKind::Graceful)));
        moved.push(now.len());
    }
    assert_eq!(moved.iter().sum::<usize>(), 41, "all of them, {late} too");
    assert!(moved.iter().filter(|n| **n > 0).count() > 4, "not all at once: {moved:?}");
    assert!(stand.exited);
}

/// Seen on loaded days: servers tell nothing of what messages take, lines come back at once all the same, and the
/// module kept sending to servers that were overdriven. Their set-ups take several times as long as usual.
#[test]
fn a_server_whose_set_ups_take_much_longer_than_usual_is_relieved() {
    let mut stand = Harness::with_ready_servers(2);
    let setups = |stand: &mut Harness, count: usize, slow: f64| {
        for _ in 0..count {
            let client = stand.start_call("feed");
            let leg = stand.last_leg();
            stand.connect_leg(leg);
            let at_slow = stand.legs[&leg].port == 9000;
            stand.advance(if at_slow { slow } else { 0.01 });
            stand.server_sends(leg, "UP 1\r\nLOAD 100000\r\n");
            assert!(stand.clients.contains_key(&client));
            stand.advance(0.1);
        }
    };
    let moved =
        |stand: &Harness| stand.clients.values().filter(|c| c.received.ends_with(b"MOVE\r\n")).count();
    setups(&mut stand, 40, 0.012);
    assert_eq!(moved(&stand), 0, "set-ups vary a little by themselves");
    setups(&mut stand, 12, 0.12);
    assert!(moved(&stand) > 0);
    let before = stand.dialed_ports.len();
    setups(&mut stand, 8, 0.12);
    let to_slow = stand.dialed_ports[before..].iter().filter(|port| **port == 9000).count();
    assert!(to_slow <= 2, "{to_slow} of 8 calls still went there");
}

/// On the reload day one slow set-up was told again with each line that passed, every second for half a minute.
#[test]
fn a_slow_set_up_is_not_told_again_when_only_lines_pass() {
    // The other one has room, without which nobody is moved.
    let mut stand = Harness::with_ready_servers(2);
    stand.advance(5.0);
    let mut standing = Vec::new();
    for took in [0.01; 80].into_iter().chain([0.12; 16]) {
        let client = stand.start_call("feed");
        if stand.received(client).is_empty() {
            let leg = stand.last_leg();
            stand.connect_leg(leg);
            stand.advance(if stand.legs[&leg].port == 9000 { took } else { 0.01 });
            stand.server_sends(leg, "UP 1\r\nLOAD 100000\r\n");
            standing.push((client, leg));
        }
    }
    let moved =
        |stand: &Harness| stand.clients.values().filter(|c| c.received.ends_with(b"MOVE\r\n")).count();
    assert!(moved(&stand) > 0, "the slow set-ups themselves were told");
    let mut told = Vec::new();
    standing.retain(|(client, leg)| {
        stand.legs.contains_key(leg) && !stand.clients[client].received.ends_with(b"MOVE\r\n")
    });
    for _ in 0..8 {
        stand.advance(1.0);
        for (client, leg) in &standing {
            stand.client_sends(*client, "M\r\n");
            stand.server_sends(*leg, "M\r\n");
        }
        let stays = |client| stand.clients.get(client).is_some_and(|c| !c.received.ends_with(b"MOVE\r\n"));
        told.push(standing.iter().filter(|(client, _)| stays(client)).count());
    }
    // The first rounds may still show what the last set-ups told.
    assert!(told[2..].iter().all(|stay| *stay == told[2]), "who stays is moved by no slow set-up: {told:?}");
    assert!(standing.len() > 20);
}

/// On the reload day a proxy just started met hundreds of clients at once, took their queue for slow servers, cut each
/// to the little that it held by then, and turned clients away for ten seconds.
#[test]
fn a_crowd_that_meets_a_proxy_just_started_is_not_turned_away() {
    for (age, turned_away) in [(0.5, false), (6.0, true)] {
        let mut stand = Harness::with_ready_servers(2);
        stand.advance(age);
        let mut busy = 0;
        for at in 0..40 {
            let client = stand.start_call("feed");
            busy += usize::from(stand.received(client).starts_with("BUSY"));
            if stand.received(client).is_empty() {
                let leg = stand.last_leg();
                stand.connect_leg(leg);
                stand.advance(0.004 * f64::from(at.min(25)));
                stand.server_sends(leg, "UP 1\r\nLOAD 100000\r\n");
            }
        }
        assert_eq!(busy > 0, turned_away, "{busy} of forty, {age} s after the start");
    }
}

/// Found by the lab's hunt: the list of a discovery that had started anew was left aside until it had counted past the
/// old one, and what it drained meanwhile went on being sent to.
#[test]
fn discovery_that_counts_anew_is_believed_but_brings_nothing_back() {
    let held = |at: u64| {
        server_list(at, true, vec![host_entry(0, "ready"), host_entry(1, "ready"), host_entry(2, "draining")])
    };
    let mut stand = Harness::new(256, held(40));
    let to = |stand: &mut Harness| {
        let before = stand.dialed_ports.len();
        for _ in 0..30 {
            stand.start_call("feed");
        }
        let mut to = stand.dialed_ports[before..].to_vec();
        to.sort_unstable();
        to.dedup();
        to
    };
    assert_eq!(to(&mut stand), [9000, 9001]);
    // It counts from one: one server drains, one is drained no more or the list is old, and one is new.
    let anew = vec![
        host_entry(0, "ready"),
        host_entry(1, "draining"),
        host_entry(2, "ready"),
        host_entry(3, "ready"),
    ];
    stand.open_watch(&server_list(1, true, anew).to_string());
    assert_eq!(to(&mut stand), [9000, 9003]);
    stand.deliver(Event::WatchBytes(
        format!("{}\n", server_list(2, false, vec![host_entry(2, "ready")])).as_bytes(),
    ));
    assert_eq!(to(&mut stand), [9000, 9002, 9003], "a change names it, and it serves again");
}

/// Folded to 32 bits, these two names gave one number: a drain of the one left the other, which was ready, unused.
#[test]
fn a_drain_of_one_server_is_no_drain_of_another() {
    let named = |name: &str, n: usize, health: &str| {
        let mut one = host_entry(n, health);
        one["host"] = name.into();
        one
    };
    let (one, other) = ("s-00009ebb", "s-00016d13");
    let mut stand =
        Harness::new(256, server_list(1, true, vec![named(one, 0, "ready"), named(other, 1, "ready")]));
    stand.open_watch(&server_list(2, false, vec![named(one, 0, "draining")]).to_string());
    for _ in 0..4 {
        stand.start_call("feed");
    }
    assert_eq!(stand.dialed_ports, vec![9001; 4], "all go to the one that does not drain");
}

/// A list of 8,500 servers was over the longest line: it was asked for again for ever, and nobody was ever served.
#[test]
fn a_list_of_many_thousands_of_servers_is_taken_up() {
    let mut stand = Harness::with_ready_servers(1);
    let many = (0..12_000).map(|n| {
        let mut one = host_entry(0, "ready");
        one["host"] = format!("s-{n:08x}.some-hall.example").into();
        one
    });
    stand.open_watch(&server_list(2, true, many.collect()).to_string());
    assert_eq!(stand.reducer.status(stand.now)["servers_ready"], 12_000);
}

/// One that is too long is refused, and what is held stays; it is not written over and over.
#[test]
fn a_list_that_is_too_long_leaves_what_is_held() {
    let mut stand = Harness::with_ready_servers(1);
    let before = stand.watch_requests.len();
    stand.watch_open = true;
    stand.deliver(Event::WatchOpened);
    stand.deliver(Event::WatchBytes(b"HTTP/1.1 200 OK\r\n\r\n"));
    let piece = vec![b' '; 1 << 20];
    for _ in 0..6 {
        if stand.watch_open {
            stand.deliver(Event::WatchBytes(&piece));
        }
    }
    assert!(!stand.watch_open, "it is given up");
    (0..48).for_each(|_| stand.advance(0.1));
    assert_eq!(stand.watch_requests.len(), before, "and left alone for a while");
    (0..9).for_each(|_| stand.advance(0.1));
    assert_eq!(stand.watch_requests.len(), before + 1);
    stand.start_call("feed");
    assert_eq!(stand.dialed_ports, [9000]);
}
