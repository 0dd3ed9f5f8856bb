//! Two rare events that meet: each test puts them in the order in which something that is owed was lost.

mod common;

use common::{host_entry, server_list, Harness};
use dewhead_proxy::reducer::Event;

/// SIGKILL comes this long after SIGTERM at the earliest where the longest guard time is 2 s.
const KILLED_AFTER: f64 = 2.7;

fn request(id: u64) -> String {
    format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n")
}

/// A successor has taken the place and clients leave over half a minute; then the service manager ends the process.
#[test]
fn a_stop_during_a_hand_over_keeps_the_times_of_a_stop() {
    let mut stand = Harness::with_ready_servers(2);
    let clients: Vec<usize> = (0..20).map(|_| stand.establish_call().0).collect();
    stand.deliver(Event::Retire(30.0));
    stand.advance(1.0);
    stand.deliver(Event::Stop);
    let told = stand.now;
    while stand.now < told + KILLED_AFTER && !stand.exited {
        stand.advance(0.05);
    }
    assert!(stand.exited, "it would have been killed");
    let cut_off =
        clients.iter().filter(|c| stand.clients.get(c).is_some_and(|c| !c.received.ends_with(b"MOVE\r\n")));
    assert_eq!(cut_off.count(), 0, "clients cut off without MOVE");
}

/// A sign of life is not given any more, but the request that came with it has been read.
#[test]
fn a_request_behind_a_sign_of_life_is_answered_at_a_stop() {
    let mut stand = Harness::with_ready_servers(2);
    stand.deliver(Event::Stop);
    let client = stand.connect_and_send(&format!("PING\r\n{}", request(1)));
    assert!(!stand.clients[&client].write_shut_down, "closed with a request read and no answer");
    let leg = stand.last_leg();
    stand.connect_leg(leg);
    stand.server_sends(leg, "UP 1\r\n");
    assert_eq!(stand.received(client), "UP 1\r\n");
}

/// Requests are read but not sent before discovery has spoken; clients that come meanwhile need room.
#[test]
fn a_request_that_waits_for_the_list_is_not_closed_to_make_room() {
    let known = server_list(1, true, vec![host_entry(0, "ready")]);
    let mut stand = Harness::at_process_start(7, &common::settings(), 64, known);
    let early = stand.connect_and_send(&request(1));
    stand.advance(0.11);
    for _ in 0..50 {
        if stand.accepting {
            stand.connect();
        }
    }
    assert!(stand.closed_clients.is_empty(), "closed with a request read and no answer");
    stand.advance(0.1);
    // No descriptor is left for a leg; that it is told so is an answer.
    assert!(stand.received(early).starts_with("BUSY"), "{}", stand.received(early));
}
