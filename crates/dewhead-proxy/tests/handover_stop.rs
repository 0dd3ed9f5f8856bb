//! A stop during a handover. While the old process still moves its clients away, over a minute here, a supervisor
//! signals the service. A supervisor that tracks the main process (systemd's `KillMode=mixed`, or a container's first
//! process) signals the successor alone, and kills the remaining processes once it has ended; one that signals the
//! whole group (`KillMode=control-group`) signals both. In each case the clients of both processes must receive `MOVE`
//! before SIGKILL, which is sent no sooner than the longest guard time and 0.7 s after SIGTERM.
//!
//! The failure: `dewhead-lab soak --seeds 517` counted 72 to 78 established connections that were cut off. The
//! successor ended within a second of its SIGTERM with `stopped`, while the old process, which got no signal, continued
//! for the time given by `--leave-in`. A signal to the old process itself was ignored, as a retiring process was
//! treated as one that stops already.

mod common;

use common::processes::{Process, ServiceFixture};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

/// Time from SIGTERM to SIGKILL: the longest guard time of the settings, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(2700);
/// Number of established clients at each process.
const CLIENTS: u64 = 20;
/// Time over which the old process moves its clients away, in seconds.
const LEAVE_IN_SECONDS: &str = "60";

fn send_signal(process: &Process, signal: Signal) {
    let process_id = Pid::from_raw(process.0.id() as i32).expect("a process has an id");
    kill_process(process_id, signal).expect("the process runs");
}

/// An old process and the successor that has taken over from it, each with established clients.
struct ProcessPair {
    old: Process,
    successor: Process,
    old_clients: Vec<TcpStream>,
    successor_clients: Vec<TcpStream>,
    _service: ServiceFixture,
}

impl ProcessPair {
    fn new(name: &str) -> ProcessPair {
        let service = ServiceFixture::new(name);
        let config = service.write_configuration("config.json", 256, false);
        let old = service.spawn(&config, &[]);
        service.wait_until_answering(old.0.id());
        let old_clients = establish_clients(&service, 0xaaaa_0000);
        let control = service.control_path();
        let take_over =
            ["--take-over", control.to_str().expect("a path in UTF-8"), "--leave-in", LEAVE_IN_SECONDS];
        let successor = service.spawn(&config, &take_over);
        service.wait_until_answering(successor.0.id());
        let successor_clients = establish_clients(&service, 0xbbbb_0000);
        ProcessPair { old, successor, old_clients, successor_clients, _service: service }
    }
}

/// Opens established clients with ids from `first_id` on.
fn establish_clients(service: &ServiceFixture, first_id: u64) -> Vec<TcpStream> {
    let open = |id| {
        let (socket, line) = service.open_call(id).expect("the proxy answers");
        assert_eq!(line, "UP 1\r\n");
        socket
    };
    (first_id..first_id + CLIENTS).map(open).collect()
}

/// The number of these clients that receive `MOVE` before the supervisor sends SIGKILL.
fn count_moved(clients: &mut [TcpStream], signalled_at: Instant) -> usize {
    let mut count = 0;
    for client in clients {
        let time_left = (signalled_at + KILL_DELAY).saturating_duration_since(Instant::now());
        client
            .set_read_timeout(Some(time_left.max(Duration::from_millis(1))))
            .expect("the time-out can be set");
        let mut answer = String::new();
        let read = BufReader::new(client).read_line(&mut answer);
        count += usize::from(read.is_ok() && answer == "MOVE\r\n");
    }
    count
}

fn has_ended(process: &mut Process) -> bool {
    process.0.try_wait().expect("the state of a child can be read").is_some()
}

/// Kills the remaining processes, as a supervisor that tracks the main process does once that has ended. A process that
/// is exiting at this moment has closed its connections already, though it can't be waited for yet: this occurred once
/// in twenty runs on a busy machine.
fn kill_remaining(processes: &mut [&mut Process]) {
    for process in processes {
        process.0.kill().expect("a child that has ended needs no signal");
    }
}

fn wait_until_ended(process: &mut Process, signalled_at: Instant) {
    while !has_ended(process) {
        assert!(signalled_at.elapsed() < KILL_DELAY, "the process would have been killed");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_stop_of_the_successor_alone_also_stops_the_retiring_process() {
    let mut pair = ProcessPair::new("stop-successor");
    let signalled_at = Instant::now();
    send_signal(&pair.successor, Signal::TERM);
    wait_until_ended(&mut pair.successor, signalled_at);
    kill_remaining(&mut [&mut pair.old]);
    assert_eq!(
        count_moved(&mut pair.old_clients, signalled_at),
        CLIENTS as usize,
        "the old process's clients that received MOVE"
    );
    assert_eq!(
        count_moved(&mut pair.successor_clients, signalled_at),
        CLIENTS as usize,
        "the successor's clients that received MOVE"
    );
}

#[test]
fn a_stop_of_the_whole_group_stops_both_processes() {
    let mut pair = ProcessPair::new("stop-both");
    let signalled_at = Instant::now();
    send_signal(&pair.old, Signal::TERM);
    send_signal(&pair.successor, Signal::TERM);
    wait_until_ended(&mut pair.old, signalled_at);
    wait_until_ended(&mut pair.successor, signalled_at);
    assert_eq!(
        count_moved(&mut pair.old_clients, signalled_at),
        CLIENTS as usize,
        "the old process's clients that received MOVE"
    );
    assert_eq!(
        count_moved(&mut pair.successor_clients, signalled_at),
        CLIENTS as usize,
        "the successor's clients that received MOVE"
    );
}

#[test]
fn a_stop_of_the_old_process_alone_leaves_the_successor_serving() {
    let mut pair = ProcessPair::new("stop-old");
    let signalled_at = Instant::now();
    send_signal(&pair.old, Signal::TERM);
    wait_until_ended(&mut pair.old, signalled_at);
    assert_eq!(
        count_moved(&mut pair.old_clients, signalled_at),
        CLIENTS as usize,
        "the old process's clients that received MOVE"
    );
    assert!(!has_ended(&mut pair.successor), "the successor was not signalled");
    // Nothing is sent on an established connection that is to stay.
    let client = &mut pair.successor_clients[0];
    client.set_read_timeout(Some(Duration::from_millis(50))).expect("the time-out can be set");
    assert!(client.read(&mut [0; 8]).is_err(), "the successor's clients stay connected");
}

/// With three successive processes, a retiring process passes the stop on to the one that retired before it.
#[test]
fn a_stop_reaches_all_retiring_processes() {
    let service = ServiceFixture::new("stop-three");
    let config = service.write_configuration("config.json", 256, false);
    let control = service.control_path();
    let take_over =
        ["--take-over", control.to_str().expect("a path in UTF-8"), "--leave-in", LEAVE_IN_SECONDS];
    let mut first = service.spawn(&config, &[]);
    service.wait_until_answering(first.0.id());
    let mut first_clients = establish_clients(&service, 0xaaaa_0000);
    let mut second = service.spawn(&config, &take_over);
    service.wait_until_answering(second.0.id());
    // The second process has no client, so it would end by itself at once.
    let mut third = service.spawn(&config, &take_over);
    service.wait_until_answering(third.0.id());
    std::thread::sleep(Duration::from_millis(700));
    let signalled_at = Instant::now();
    send_signal(&third, Signal::TERM);
    wait_until_ended(&mut third, signalled_at);
    kill_remaining(&mut [&mut second, &mut first]);
    assert_eq!(count_moved(&mut first_clients, signalled_at), CLIENTS as usize);
}

/// A supervisor stops the service while a successor starts. It waits for both, so no process may keep serving without
/// its knowledge.
#[test]
fn a_stopping_process_refuses_to_be_taken_over() {
    let service = ServiceFixture::new("stop-first");
    let config = service.write_configuration("config.json", 256, false);
    let old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    let mut old_clients = establish_clients(&service, 0xaaaa_0000);
    let mut successor = UnixStream::connect(service.control_path()).expect("the control socket is open");
    successor.write_all(b"{\"do\":\"succeed\"}\n").expect("the request can be sent");
    let mut answers = BufReader::new(successor.try_clone().expect("a socket can be cloned"));
    let mut handed_over = String::new();
    answers.read_line(&mut handed_over).expect("an answer arrives");
    let signalled_at = Instant::now();
    send_signal(&old, Signal::TERM);
    while service.control_request("{\"do\":\"status\"}\n").is_ok_and(|status| status["stage"] != "stopping") {
        std::thread::sleep(Duration::from_millis(2));
    }
    successor.write_all(b"{\"do\":\"succeeded\"}\n").expect("the request can be sent");
    let mut answer = String::new();
    answers.read_line(&mut answer).expect("an answer arrives");
    assert!(answer.contains("\"ok\":false") && answer.contains("stopping"), "{answer}");
    assert_eq!(count_moved(&mut old_clients, signalled_at), CLIENTS as usize);
}

/// A signal that arrives while a successor waits for the handed-over state interrupts that wait with `EINTR`, and the
/// successor gave up: 'control: Interrupted system call' (soak, seed 630). The handover failed, and a successor that a
/// supervisor had signalled to stop exited with code 1 while the old process kept serving.
#[test]
fn a_signal_does_not_interrupt_a_successor_that_waits_for_the_state() {
    let service = ServiceFixture::new("signalled");
    let config = service.write_configuration("config.json", 256, false);
    let control = UnixListener::bind(service.control_path()).expect("the test can play the old process");
    let take_over =
        ["--take-over", service.control_path().to_str().expect("a path in UTF-8")].map(str::to_owned);
    let mut successor = service.spawn_with_log(&config, &take_over);
    let (mut connection, _) = control.accept().expect("the successor connects");
    let mut request = String::new();
    BufReader::new(connection.try_clone().expect("a socket can be cloned"))
        .read_line(&mut request)
        .expect("the request can be read");
    for signal_sent in [Signal::HUP, Signal::TERM] {
        send_signal(&successor, signal_sent);
        std::thread::sleep(Duration::from_millis(50));
    }
    connection
        .write_all(b"{\"version\":1,\"ok\":false,\"fault\":\"no socket available\"}\n")
        .expect("the successor still waits");
    let mut log = String::new();
    successor
        .0
        .stderr
        .take()
        .expect("standard error is piped")
        .read_to_string(&mut log)
        .expect("the log is UTF-8");
    assert!(log.contains("no socket available"), "{log}");
}
