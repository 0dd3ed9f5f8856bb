//! Races between events on real connections. Each test forces, step by step, the order of events that once failed, so
//! that it occurs in every run. SIGSTOP and SIGCONT stand for a process that is busy elsewhere.

mod common;

use common::loopback::{
    read_line, read_rest, send, server_entry, wait_until, Proxy, StubListener, STEP_TIMEOUT,
};
use common::{server_list, settings};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Settings under which connections may take long to be established, and calls wait for them.
fn slow_connect_settings() -> Value {
    let mut test_settings = settings();
    test_settings["limits"]["connectTimeout"] = json!(6000.0);
    for index in 0..3 {
        test_settings["trafficTypes"][index]["setupTarget"] = json!(12000.0);
        test_settings["trafficTypes"][index]["guardTime"] = json!(15000.0);
    }
    test_settings
}

/// Settings under which connects and legs have the whole guard time, so that they don't time out on a busy machine.
fn lenient_settings() -> Value {
    let mut test_settings = settings();
    test_settings["limits"]["connectTimeout"] = json!(6000.0);
    for index in 0..3 {
        test_settings["trafficTypes"][index]["setupTarget"] = json!(4000.0);
    }
    test_settings
}

/// A connection is established after the server list has marked its server as draining: the server receives nothing,
/// and the call goes to another server.
#[test]
fn a_leg_established_after_its_server_began_to_drain_sends_no_first_line() {
    for traffic_type in ["feed", "order", "note"] {
        let (mut first, second, discovery) =
            (StubListener::with_full_backlog(), StubListener::new(), StubListener::new());
        let proxy = Proxy::start(
            &slow_connect_settings(),
            discovery.address,
            vec![server_entry("s-1", first.address, "ready")],
        );
        let mut watch = discovery.accept_watch(2, true, vec![server_entry("s-1", first.address, "ready")]);
        let mut client = proxy.open_client(1, traffic_type, 15_000);
        wait_until("the leg is dialled", || first.has_pending_connect());
        let drained = vec![
            server_entry("s-1", first.address, "draining"),
            server_entry("s-2", second.address, "ready"),
        ];
        writeln!(watch, "{}", server_list(3, false, drained)).unwrap();
        // Another call, served by the new server, shows that the list has been read.
        let mut other = proxy.open_client(2, traffic_type, 15_000);
        let (leg, _) = second.accept_with_first_line();
        send(&leg, "UP 2\r\n");
        assert_eq!(read_line(&mut other), "UP 2\r\n");
        assert_eq!(
            read_rest(first.free_backlog_and_accept()),
            "",
            "{traffic_type}: nothing is sent to a draining server"
        );
        let (leg, first_line) = second.accept_with_first_line();
        assert!(first_line.starts_with("OPEN 0000000000000001 "), "{first_line}");
        send(&leg, "UP 1\r\n");
        assert_eq!(read_line(&mut client), "UP 1\r\n");
    }
}

/// The connection to the server is established and the client closes while the process is busy. Both events are in one
/// batch, the server's first, and the first line was sent for a client that had closed long before.
#[test]
fn no_first_line_is_sent_for_a_client_that_closed_during_the_connect() {
    type Close = fn(TcpStream);
    let close_kinds: [(&str, Close); 3] = [
        ("closed", |socket| drop(socket)),
        ("shut down its sending side", |socket| {
            socket.shutdown(Shutdown::Write).unwrap();
            std::mem::forget(socket);
        }),
        ("reset", |socket| {
            socket2::SockRef::from(&socket).set_linger(Some(Duration::ZERO)).unwrap();
            drop(socket);
        }),
    ];
    for (close_kind, close) in close_kinds {
        let (mut server, discovery) = (StubListener::with_full_backlog(), StubListener::new());
        let proxy = Proxy::start(
            &slow_connect_settings(),
            discovery.address,
            vec![server_entry("s-1", server.address, "ready")],
        );
        let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
        let client = proxy.open_client(1, "feed", 15_000);
        wait_until("the leg is dialled", || server.has_pending_connect());
        proxy.send_signal(Signal::STOP);
        let leg = server.free_backlog_and_accept();
        let client_address = client.get_ref().local_addr().unwrap();
        close(client.into_inner());
        wait_until("the client's close", || proxy.has_received_close_from(client_address));
        proxy.send_signal(Signal::CONT);
        assert_eq!(read_rest(leg), "", "sent for a client that has {close_kind}");
    }
}

/// Clients that have sent their first line and close before they are accepted, as happens to a burst of clients in a
/// long accept queue.
#[test]
fn no_first_line_is_sent_for_clients_that_closed_before_they_were_accepted() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let proxy = Proxy::start(
        &slow_connect_settings(),
        discovery.address,
        vec![server_entry("s-1", server.address, "ready")],
    );
    let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
    proxy.send_signal(Signal::STOP);
    for id in 0..40 {
        drop(proxy.open_client(id, "feed", 15_000));
    }
    let mut remaining_client = proxy.open_client(99, "feed", 15_000);
    proxy.send_signal(Signal::CONT);
    loop {
        let mut leg = std::io::BufReader::new(server.accept());
        let mut first_line = String::new();
        let _ = std::io::BufRead::read_line(&mut leg, &mut first_line);
        if !first_line.is_empty() {
            assert!(
                first_line.starts_with("OPEN 0000000000000063 "),
                "sent for a client that has closed: {first_line}"
            );
            send(&leg, "UP 9\r\n");
            assert_eq!(read_line(&mut remaining_client), "UP 9\r\n");
            return;
        }
    }
}

/// A process that was paused for longer than the time limits of lines and legs must read what is in its socket
/// buffers before it applies these limits. Healthy connections were taken for silent ones and moved, and answered legs
/// timed out.
#[test]
fn after_a_pause_pending_input_is_read_before_time_limits_apply() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let mut test_settings = lenient_settings();
    // The time limit of a leg is two seconds.
    test_settings["trafficTypes"][0]["setupTarget"] = json!(4000.0);
    test_settings["trafficTypes"][0]["guardTime"] = json!(9000.0);
    let proxy =
        Proxy::start(&test_settings, discovery.address, vec![server_entry("s-1", server.address, "ready")]);
    let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
    let mut client = proxy.open_client(1, "feed", 9000);
    let (mut established_leg, _) = server.accept_with_first_line();
    send(&established_leg, "UP 1\r\n");
    assert_eq!(read_line(&mut client), "UP 1\r\n");
    let mut second_client = proxy.open_client(2, "feed", 9000);
    let (waiting_leg, _) = server.accept_with_first_line();
    send(&client, "M 1\r\n");
    assert_eq!(read_line(&mut established_leg), "M 1\r\n");
    proxy.send_signal(Signal::STOP);
    send(&established_leg, "M 1\r\n");
    send(&waiting_leg, "UP 2\r\n");
    // This time has to pass: it is longer than the allowed silence, and than the time limit of the leg.
    std::thread::sleep(Duration::from_millis(2300));
    proxy.send_signal(Signal::CONT);
    assert_eq!(read_line(&mut second_client), "UP 2\r\n");
    assert_eq!(read_line(&mut client), "M 1\r\n");
    send(&client, "M 2\r\n");
    assert_eq!(read_line(&mut established_leg), "M 2\r\n");
    send(&established_leg, "M 2\r\n");
    assert_eq!(read_line(&mut client), "M 2\r\n", "the client is still connected to the same server");
}

/// A client that connects when the process has nothing left to do and is about to exit: it was reset when the listener
/// was closed.
#[test]
fn a_client_in_the_accept_queue_is_answered_before_the_process_exits() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let mut proxy = Proxy::start(
        &lenient_settings(),
        discovery.address,
        vec![server_entry("s-1", server.address, "ready")],
    );
    let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
    proxy.send_signal(Signal::TERM);
    proxy.wait_for_log("stopping: 0 sessions are open");
    proxy.send_signal(Signal::STOP);
    let mut client = proxy.open_client(1, "feed", 2000);
    // Longer than the time for which the proxy expects further clients after a stop.
    std::thread::sleep(Duration::from_millis(600));
    proxy.send_signal(Signal::CONT);
    let (leg, _) = server.accept_with_first_line();
    send(&leg, "UP 1\r\n");
    assert_eq!(read_line(&mut client), "UP 1\r\n");
    assert_eq!(read_line(&mut client), "MOVE\r\n");
    drop(client);
    wait_until("the exit", || proxy.exited_successfully());
}

/// Guard times longer than the three seconds that a planned stop waits for, with one established client, one whose
/// server does not answer, and one that arrives after the stop began.
#[test]
fn at_a_planned_stop_every_client_gets_its_final_answer_before_sigkill() {
    let mut test_settings = lenient_settings();
    for index in 0..3 {
        test_settings["trafficTypes"][index]["guardTime"] = json!(4800.0);
    }
    test_settings["limits"]["mostLegs"] = json!(1);
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let mut proxy =
        Proxy::start(&test_settings, discovery.address, vec![server_entry("s-1", server.address, "ready")]);
    let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
    let mut established_client = proxy.open_client(1, "feed", 9000);
    let (leg, _) = server.accept_with_first_line();
    send(&leg, "UP 1\r\n");
    assert_eq!(read_line(&mut established_client), "UP 1\r\n");
    let mut unanswered_client = proxy.open_client(2, "order", 9000);
    let (_unanswered_leg, _) = server.accept_with_first_line();
    proxy.send_signal(Signal::TERM);
    let signalled_at = Instant::now();
    proxy.wait_for_log("stopping: 2 sessions are open");
    let mut late_client = proxy.open_client(3, "note", 9000);
    let (_late_leg, _) = server.accept_with_first_line();
    assert_eq!(read_line(&mut established_client), "MOVE\r\n");
    assert_eq!(read_line(&mut unanswered_client), "ERR\r\n", "the call may have run");
    assert_eq!(read_line(&mut late_client), "ERR\r\n");
    drop((established_client, unanswered_client, late_client));
    wait_until("the exit", || proxy.exited_successfully());
    let elapsed = signalled_at.elapsed();
    assert!(elapsed < Duration::from_millis(3700), "it would have been killed: it took {elapsed:?}");
}

/// A discovery that sends a byte now and then of a line that never ends: any byte postponed the watch's time-out.
#[test]
fn a_watch_with_an_unterminated_line_is_abandoned() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let _proxy = Proxy::start(
        &lenient_settings(),
        discovery.address,
        vec![server_entry("s-1", server.address, "ready")],
    );
    let mut watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
    let started_at = Instant::now();
    wait_until("another watch", || {
        let _ = watch.write_all(b" ");
        discovery.listener.accept().is_ok()
    });
    let elapsed = started_at.elapsed();
    assert!(
        elapsed < Duration::from_secs(6),
        "missed changes count as announced after six seconds; it took {elapsed:?}"
    );
}

/// A server resets its connection right after `UP`, closes it with its answer, or closes it within the answer: the
/// client gets complete lines from the server, then `MOVE` or `ERR` if the server broke off, and one end.
#[test]
fn an_answer_followed_at_once_by_a_close_gives_the_client_one_outcome() {
    // What the server sends, whether it resets, and everything that the client may receive.
    let cases: [(&str, bool, &[&str]); 5] = [
        ("UP 1\r\nBYE\r\n", false, &["UP 1\r\nBYE\r\n"]),
        ("UP 1\r\nMOVE\r\n", false, &["UP 1\r\nMOVE\r\n"]),
        ("UP 1\r\n", false, &["UP 1\r\nMOVE\r\n"]),
        // The answer is read before the reset, or is lost by it.
        ("UP 1\r\n", true, &["UP 1\r\nMOVE\r\n", "ERR\r\n"]),
        ("UP 1", false, &["ERR\r\n"]),
    ];
    for (answer, resets, allowed) in cases {
        let (server, discovery) = (StubListener::new(), StubListener::new());
        let proxy = Proxy::start(
            &lenient_settings(),
            discovery.address,
            vec![server_entry("s-1", server.address, "ready")],
        );
        let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
        let client = proxy.open_client(1, "order", 2000);
        let (leg, _) = server.accept_with_first_line();
        send(&leg, answer);
        if resets {
            socket2::SockRef::from(leg.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(leg);
        let received = read_rest(client);
        assert!(allowed.contains(&received.as_str()), "{answer:?}, reset {resets}: {received:?}");
    }
}

/// Clients that send a large amount of data at once and close, ten times as many as there are descriptors: clients that
/// connect after them are served, and all descriptors are released.
#[test]
fn clients_that_send_much_and_close_do_not_block_later_clients() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let proxy = Proxy::start(
        &lenient_settings(),
        discovery.address,
        vec![server_entry("s-1", server.address, "ready")],
    );
    let _watch = discovery.accept_watch(2, true, vec![server_entry("s-1", server.address, "ready")]);
    let (large_input, mut established) = (vec![b'x'; 64 << 10], Vec::new());
    for round in 0..10 {
        for _ in 0..256 {
            let Ok(mut socket) = TcpStream::connect(proxy.address) else { continue };
            socket.set_nonblocking(true).unwrap();
            let _ = socket.write(&large_input);
        }
        let mut client = proxy.open_client(round, "feed", 2000);
        let (leg, _) = server.accept_with_first_line();
        send(&leg, "UP 1\r\n");
        assert_eq!(read_line(&mut client), "UP 1\r\n", "round {round}");
        established.push((client, leg));
    }
    let mut silent_client = TcpStream::connect(proxy.address).unwrap();
    silent_client.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    assert_eq!(silent_client.read(&mut [0]).unwrap(), 0, "a client that sends nothing is closed");
}
