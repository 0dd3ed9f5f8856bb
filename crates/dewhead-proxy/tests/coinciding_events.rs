//! Coinciding rare events: each test has them in an order in which a client did not get its answer or its `MOVE`.

mod common;

use common::{host_entry, server_list, Harness};
use dewhead_proxy::reducer::Event;

/// The earliest SIGKILL after SIGTERM where the longest guard time is 2 s, in seconds.
const KILLED_AFTER_S: f64 = 2.7;

/// The first line of a call.
fn request_line(id: u64) -> String {
    format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=feed,t=shop-a,d=1500\r\n")
}

/// A successor serves already and clients are moved away over half a minute when the service manager stops the process.
#[test]
fn a_stop_during_a_retirement_keeps_the_time_limits_of_a_stop() {
    let mut harness = Harness::with_ready_servers(2);
    let clients: Vec<usize> = (0..20).map(|_| harness.establish_call().0).collect();
    harness.deliver(Event::Retire(30.0));
    harness.advance(1.0);
    harness.deliver(Event::Stop);
    let stopped_at = harness.now;
    while harness.now < stopped_at + KILLED_AFTER_S && !harness.exited {
        harness.advance(0.05);
    }
    assert!(harness.exited, "the process has not exited before it is killed");
    let cut_off =
        clients.iter().filter(|c| harness.clients.get(c).is_some_and(|c| !c.received.ends_with(b"MOVE\r\n")));
    assert_eq!(cut_off.count(), 0, "clients cut off without `MOVE`");
}

/// During a stop `PING` is no longer answered, but the request that arrived with it has been read.
#[test]
fn a_request_behind_a_ping_is_answered_during_a_stop() {
    let mut harness = Harness::with_ready_servers(2);
    harness.deliver(Event::Stop);
    let client = harness.connect_and_send(&format!("PING\r\n{}", request_line(1)));
    assert!(!harness.clients[&client].write_shut_down, "closed with a request read and no answer");
    let leg = harness.last_leg();
    harness.connect_leg(leg);
    harness.server_sends(leg, "UP 1\r\n");
    assert_eq!(harness.received(client), "UP 1\r\n");
}

/// Before discovery has answered, requests are read but not sent; clients that connect meanwhile need descriptors.
#[test]
fn a_request_that_waits_for_the_list_is_not_closed_to_free_descriptors() {
    let remembered = server_list(1, true, vec![host_entry(0, "ready")]);
    let mut harness = Harness::at_process_start(7, &common::settings(), 64, remembered);
    let waiting_client = harness.connect_and_send(&request_line(1));
    harness.advance(0.11);
    for _ in 0..50 {
        if harness.accepting {
            harness.connect();
        }
    }
    assert!(harness.closed_clients.is_empty(), "closed with a request read and no answer");
    harness.open_watch("");
    // No descriptor is left for a leg; the rejection is an answer.
    assert!(harness.received(waiting_client).starts_with("BUSY"), "{}", harness.received(waiting_client));
}
