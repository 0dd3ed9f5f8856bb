//! System calls and files that fail temporarily: accepted work is completed nevertheless.

mod common;

use common::loopback::{fault_environment, read_line, send, server_entry, wait_until, Proxy, StubListener};
use common::settings;
use dewhead_faults::plan::Plan;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Settings with one leg per call, and time limits for it that a busy machine does not exceed.
fn single_leg_settings() -> Value {
    let mut test_settings = settings();
    test_settings["limits"]["mostLegs"] = json!(1);
    test_settings["limits"]["connectTimeout"] = json!(6000.0);
    for index in 0..3 {
        test_settings["trafficTypes"][index]["setupTarget"] = json!(12000.0);
        test_settings["trafficTypes"][index]["guardTime"] = json!(15000.0);
    }
    test_settings
}

/// No descriptor, buffer or local port is available for a moment: a fault of this machine that must count neither
/// against the server nor against the call.
#[test]
fn a_temporary_failure_to_open_a_connection_fails_no_call() {
    let plan = Plan { seed: 5, socket: 0.3, interrupt: 0.1, accept: 0.3, ..Plan::default() };
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy = Proxy::start_with_environment(
        &single_leg_settings(),
        discovery.address,
        known,
        &fault_environment(&plan),
    );
    let mut established = Vec::new();
    for id in 1..=30 {
        let mut client = proxy.open_client(id, "feed", 15_000);
        let server_side = std::thread::scope(|scope| {
            let server_thread = scope.spawn(|| {
                let (leg, first_line) = server.accept_with_first_line();
                send(&leg, "UP 1\r\n");
                (leg, first_line)
            });
            let answer = read_line(&mut client);
            assert_eq!(answer, "UP 1\r\n", "call {id}");
            server_thread.join().expect("the server thread does not panic")
        });
        assert!(server_side.1.starts_with("OPEN "), "{}", server_side.1);
        // Kept open: a connection that is closed without a final line counts as a sign of an overloaded server.
        established.push((client, server_side.0));
    }
}

/// The configuration is written in two steps, and SIGHUP arrives between them.
#[test]
fn a_partly_written_configuration_is_read_again() {
    let (server, old_discovery, new_discovery) =
        (StubListener::new(), StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy = Proxy::start(&settings(), old_discovery.address, known.clone());
    let _watch = old_discovery.accept_watch(2, true, known.clone());
    let new_configuration = proxy
        .read_configuration()
        .replace(&old_discovery.address.to_string(), &new_discovery.address.to_string());
    proxy.write_configuration(&new_configuration[..new_configuration.len() / 2]);
    proxy.send_signal(Signal::HUP);
    proxy.wait_for_log("the new configuration");
    proxy.write_configuration(&new_configuration);
    wait_until("a request to the new discovery", || new_discovery.try_accept_and_close());
}

/// Clients connect when the process is about to exit, and `accept` fails repeatedly: they are answered nevertheless.
#[test]
fn clients_in_the_accept_queue_are_answered_although_accept_fails() {
    let plan = Plan { seed: 9, accept: 0.5, ..Plan::default() };
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy = Proxy::start_with_environment(
        &single_leg_settings(),
        discovery.address,
        known.clone(),
        &fault_environment(&plan),
    );
    let _watch = discovery.accept_watch(2, true, known);
    proxy.send_signal(Signal::TERM);
    proxy.wait_for_log("stopping: 0 sessions are open");
    proxy.send_signal(Signal::STOP);
    let mut clients: Vec<_> = (1..=8).map(|id| proxy.open_client(id, "feed", 2000)).collect();
    // Longer than the time for which the proxy expects further clients after a stop.
    std::thread::sleep(Duration::from_millis(600));
    proxy.send_signal(Signal::CONT);
    let legs: Vec<_> = clients
        .iter()
        .map(|_| {
            let (leg, _) = server.accept_with_first_line();
            send(&leg, "UP 1\r\n");
            leg
        })
        .collect();
    for client in &mut clients {
        assert_eq!(read_line(client), "UP 1\r\n");
    }
    drop(legs);
}

/// Connections to the control socket are accepted although `accept` fails at first; a successor that was not accepted
/// gave up the handover.
#[test]
fn the_control_socket_answers_although_accept_fails() {
    let plan = Plan { seed: 3, accept: 0.7, ..Plan::default() };
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy =
        Proxy::start_with_environment(&settings(), discovery.address, known, &fault_environment(&plan));
    for request in 1..=6 {
        let status = proxy.run_ctl("status").unwrap_or_else(|| panic!("request {request} has no answer"));
        assert!(status.contains("violations"), "{status}");
    }
}

/// A signal handler writes a byte that wakes up the event loop, and the write may fail: `ENOMEM`, `ENOBUFS`, `EINTR`.
/// The signal was lost with it: in one soak of four (seed 517, every 16th `send` fails) a proxy never logged `stopping`
/// after SIGTERM, and was killed 3.7 s later with a hundred clients that had not received `MOVE`.
#[test]
fn a_signal_takes_effect_although_its_wake_up_byte_is_lost() {
    let server = StubListener::new();
    let known = vec![server_entry("s-1", server.address, "ready")];
    for seed in 1..=8 {
        let plan = Plan { seed, interrupt: 0.6, ..Plan::default() };
        let (old_discovery, new_discovery) = (StubListener::new(), StubListener::new());
        let mut proxy = Proxy::start_with_environment(
            &settings(),
            old_discovery.address,
            known.clone(),
            &fault_environment(&plan),
        );
        proxy.write_configuration(
            &proxy
                .read_configuration()
                .replace(&old_discovery.address.to_string(), &new_discovery.address.to_string()),
        );
        proxy.send_signal(Signal::HUP);
        wait_until("a request to the new discovery", || new_discovery.try_accept_and_close());
        proxy.send_signal(Signal::TERM);
        // SIGKILL follows after the longest guard time, 2 s, and 0.7 s.
        let signalled_at = Instant::now();
        wait_until("the exit", || proxy.exited_successfully());
        assert!(
            signalled_at.elapsed() < Duration::from_millis(2700),
            "seed {seed}: {:?}",
            signalled_at.elapsed()
        );
    }
}
