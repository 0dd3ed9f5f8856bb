//! System calls and files that fail for a moment: what was taken on is done all the same.

mod common;

use common::loopback::{fault_environment, read_line, send, server_entry, wait_until, Proxy, StubListener};
use common::settings;
use dewhead_faults::plan::Plan;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// One attempt a call, and time enough for it on a busy machine.
fn one_attempt() -> Value {
    let mut told = settings();
    told["limits"]["mostLegs"] = json!(1);
    told["limits"]["connectTimeout"] = json!(6000.0);
    for at in 0..3 {
        told["trafficTypes"][at]["setupTarget"] = json!(12000.0);
        told["trafficTypes"][at]["guardTime"] = json!(15000.0);
    }
    told
}

/// No descriptor, buffer or local port for a moment: that is this machine's trouble, and neither the server's nor the call's.
#[test]
fn a_connection_that_cannot_be_begun_for_a_moment_costs_no_call() {
    let plan = Plan { seed: 5, socket: 0.3, interrupt: 0.1, accept: 0.3, ..Plan::default() };
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy =
        Proxy::start_with_environment(&one_attempt(), discovery.address, known, &fault_environment(&plan));
    let mut standing = Vec::new();
    for id in 1..=30 {
        let mut client = proxy.open_client(id, "feed", 15_000);
        let asked = std::thread::scope(|scope| {
            let answered = scope.spawn(|| {
                let (served, head) = server.accept_with_first_line();
                send(&served, "UP 1\r\n");
                (served, head)
            });
            let answer = read_line(&mut client);
            assert_eq!(answer, "UP 1\r\n", "call {id}");
            answered.join().expect("the server was asked")
        });
        assert!(asked.1.starts_with("OPEN "), "{}", asked.1);
        // One that ends without a word would tell of a server that is overloaded.
        standing.push((client, asked.0));
    }
}

/// The configuration is written in two halves, and the signal comes between them.
#[test]
fn a_new_configuration_that_is_half_written_is_read_again() {
    let (server, old, new) = (StubListener::new(), StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let mut proxy = Proxy::start(&settings(), old.address, known.clone());
    let _watch = old.accept_watch(2, true, known.clone());
    let whole = proxy.read_configuration().replace(&old.address.to_string(), &new.address.to_string());
    proxy.write_configuration(&whole[..whole.len() / 2]);
    proxy.send_signal(Signal::HUP);
    proxy.wait_for_log("the new configuration");
    proxy.write_configuration(&whole);
    wait_until("the new discovery is asked", || new.try_accept_and_close());
}

/// Clients that came while the process was about to end: accepting them fails again and again, and they are answered.
#[test]
fn who_waits_in_the_queue_is_answered_though_accepting_fails() {
    let plan = Plan { seed: 9, accept: 0.5, ..Plan::default() };
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let mut proxy = Proxy::start_with_environment(
        &one_attempt(),
        discovery.address,
        known.clone(),
        &fault_environment(&plan),
    );
    let _watch = discovery.accept_watch(2, true, known);
    proxy.send_signal(Signal::TERM);
    proxy.wait_for_log("stopping: 0 sessions are open");
    proxy.send_signal(Signal::STOP);
    let mut clients: Vec<_> = (1..=8).map(|id| proxy.open_client(id, "feed", 2000)).collect();
    // Until nobody comes any more by its clock.
    std::thread::sleep(Duration::from_millis(600));
    proxy.send_signal(Signal::CONT);
    let standing: Vec<_> = clients
        .iter()
        .map(|_| {
            let (served, _) = server.accept_with_first_line();
            send(&served, "UP 1\r\n");
            served
        })
        .collect();
    for client in &mut clients {
        assert_eq!(read_line(client), "UP 1\r\n");
    }
    drop(standing);
}

/// Visitors of the control socket come in though accepting fails; a successor that was not let in gave the hand-over up.
#[test]
fn the_control_socket_answers_though_accepting_fails() {
    let plan = Plan { seed: 3, accept: 0.7, ..Plan::default() };
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy =
        Proxy::start_with_environment(&settings(), discovery.address, known, &fault_environment(&plan));
    for visit in 1..=6 {
        let status = proxy.run_ctl("status").unwrap_or_else(|| panic!("visit {visit} has no answer"));
        assert!(status.contains("violations"), "{status}");
    }
}

/// A signal's handler writes a byte that wakes the loop, and writing it may fail: `ENOMEM`, `ENOBUFS`, `EINTR`. The signal
/// was lost with it: on one soak of four (seed 517, every 16th `send` fails) a proxy never logged `stopping` after SIGTERM, and
/// was killed 3.7 s later with a hundred clients that had not been told to move.
#[test]
fn a_signal_counts_though_the_byte_that_tells_of_it_is_lost() {
    let server = StubListener::new();
    let known = vec![server_entry("s-1", server.address, "ready")];
    for seed in 1..=8 {
        let plan = Plan { seed, interrupt: 0.6, ..Plan::default() };
        let (old, new) = (StubListener::new(), StubListener::new());
        let mut proxy =
            Proxy::start_with_environment(&settings(), old.address, known.clone(), &fault_environment(&plan));
        proxy.write_configuration(
            &proxy.read_configuration().replace(&old.address.to_string(), &new.address.to_string()),
        );
        proxy.send_signal(Signal::HUP);
        wait_until("the new discovery is asked", || new.try_accept_and_close());
        proxy.send_signal(Signal::TERM);
        // The kill comes after the longest guard time, 2 s, and 0.7 s.
        let told = Instant::now();
        wait_until("the end", || proxy.exited_successfully());
        assert!(told.elapsed() < Duration::from_millis(2700), "seed {seed}: {:?}", told.elapsed());
    }
}
