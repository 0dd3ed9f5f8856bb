//! A stop that meets a handover. While the old process still sends its clients away, over a minute here, a supervisor
//! signals the service. One that follows the main process (systemd's `KillMode=mixed`, a container's first process)
//! signals the successor alone, and kills all that is left once that has ended; one that signals the whole group
//! (`KillMode=control-group`) tells both. In each way the clients of both processes are owed `MOVE` before SIGKILL, which
//! comes no sooner than the longest guard time and 0.7 s after SIGTERM.
//!
//! What was seen: `dewhead-lab soak --seeds 517` counted 72 to 78 standing connections cut. The successor ended within a
//! second of its SIGTERM with `stopped`, while the old process, which nobody had told, went on for as long as `--leave-in`
//! gave it; and told by a signal of its own it passed that over, as a process that retires counted as one that stops.

mod common;

use common::processes::{Process, ServiceFixture};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

/// The longest guard time of the settings, and what the page adds to it.
const KILLED_AFTER: Duration = Duration::from_millis(2700);
/// Clients that stand at the old process.
const STANDING: u64 = 20;
const LEAVE_IN: &str = "60";

fn signal(process: &Process, signal: Signal) {
    let id = Pid::from_raw(process.0.id() as i32).expect("a process has an id");
    kill_process(id, signal).expect("the process runs");
}

/// An old process whose clients stand, and the one that has taken its place, each with clients of its own.
struct Pair {
    old: Process,
    successor: Process,
    at_old: Vec<TcpStream>,
    at_successor: Vec<TcpStream>,
    _service: ServiceFixture,
}

impl Pair {
    fn new(name: &str) -> Pair {
        let service = ServiceFixture::new(name);
        let config = service.write_configuration("config.json", 256, false);
        let old = service.spawn(&config, &[]);
        service.wait_until_answering(old.0.id());
        let at_old = standing(&service, 0xaaaa_0000);
        let control = service.control_path();
        let take_over = ["--take-over", control.to_str().expect("a path in UTF-8"), "--leave-in", LEAVE_IN];
        let successor = service.spawn(&config, &take_over);
        service.wait_until_answering(successor.0.id());
        let at_successor = standing(&service, 0xbbbb_0000);
        Pair { old, successor, at_old, at_successor, _service: service }
    }
}

fn standing(service: &ServiceFixture, first: u64) -> Vec<TcpStream> {
    let open = |id| {
        let (socket, line) = service.open_call(id).expect("the proxy answers");
        assert_eq!(line, "UP 1\r\n");
        socket
    };
    (first..first + STANDING).map(open).collect()
}

/// How many of these clients are told to move before the supervisor kills.
fn moved(clients: &mut [TcpStream], told: Instant) -> usize {
    let mut count = 0;
    for client in clients {
        let left = (told + KILLED_AFTER).saturating_duration_since(Instant::now());
        client.set_read_timeout(Some(left.max(Duration::from_millis(1)))).expect("a time is set");
        let mut word = String::new();
        let read = BufReader::new(client).read_line(&mut word);
        count += usize::from(read.is_ok() && word == "MOVE\r\n");
    }
    count
}

fn has_ended(process: &mut Process) -> bool {
    process.0.try_wait().expect("a child can be asked").is_some()
}

/// As a supervisor does that follows the main process, once that has ended. One that ends in this very moment has closed
/// its connections by then, though it can't be waited for yet: seen once in twenty plays on a busy machine.
fn kill_what_is_left(processes: &mut [&mut Process]) {
    for process in processes {
        process.0.kill().expect("a child that has ended needs no signal");
    }
}

fn until_ended(process: &mut Process, told: Instant) {
    while !has_ended(process) {
        assert!(told.elapsed() < KILLED_AFTER, "it would have been killed");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_stop_of_the_successor_alone_reaches_the_process_that_retires() {
    let mut pair = Pair::new("stop-successor");
    let told = Instant::now();
    signal(&pair.successor, Signal::TERM);
    until_ended(&mut pair.successor, told);
    kill_what_is_left(&mut [&mut pair.old]);
    assert_eq!(moved(&mut pair.at_old, told), STANDING as usize, "of the old process's clients");
    assert_eq!(moved(&mut pair.at_successor, told), STANDING as usize, "of the successor's clients");
}

#[test]
fn a_stop_of_the_whole_group_reaches_both_processes() {
    let mut pair = Pair::new("stop-both");
    let told = Instant::now();
    signal(&pair.old, Signal::TERM);
    signal(&pair.successor, Signal::TERM);
    until_ended(&mut pair.old, told);
    until_ended(&mut pair.successor, told);
    assert_eq!(moved(&mut pair.at_old, told), STANDING as usize, "of the old process's clients");
    assert_eq!(moved(&mut pair.at_successor, told), STANDING as usize, "of the successor's clients");
}

#[test]
fn a_stop_of_the_old_process_alone_leaves_the_successor_serving() {
    let mut pair = Pair::new("stop-old");
    let told = Instant::now();
    signal(&pair.old, Signal::TERM);
    until_ended(&mut pair.old, told);
    assert_eq!(moved(&mut pair.at_old, told), STANDING as usize, "of the old process's clients");
    assert!(!has_ended(&mut pair.successor), "nobody has told the successor to stop");
    // A connection left alone says nothing.
    let first = &mut pair.at_successor[0];
    first.set_read_timeout(Some(Duration::from_millis(50))).expect("a time is set");
    assert!(first.read(&mut [0; 8]).is_err(), "the successor's clients stand on");
}

/// Three in a row: who retires passes the word on to the one that retires still longer.
#[test]
fn a_stop_reaches_all_that_retire() {
    let service = ServiceFixture::new("stop-three");
    let config = service.write_configuration("config.json", 256, false);
    let control = service.control_path();
    let take_over = ["--take-over", control.to_str().expect("a path in UTF-8"), "--leave-in", LEAVE_IN];
    let mut first = service.spawn(&config, &[]);
    service.wait_until_answering(first.0.id());
    let mut at_first = standing(&service, 0xaaaa_0000);
    let mut second = service.spawn(&config, &take_over);
    service.wait_until_answering(second.0.id());
    // Nobody stands at the second, so that it would have ended by itself at once.
    let mut third = service.spawn(&config, &take_over);
    service.wait_until_answering(third.0.id());
    std::thread::sleep(Duration::from_millis(700));
    let told = Instant::now();
    signal(&third, Signal::TERM);
    until_ended(&mut third, told);
    kill_what_is_left(&mut [&mut second, &mut first]);
    assert_eq!(moved(&mut at_first, told), STANDING as usize);
}

/// A supervisor that stops the service while a successor gets ready waits for both: no process serves on unseen.
#[test]
fn no_place_is_taken_from_a_process_that_has_been_told_to_stop() {
    let service = ServiceFixture::new("stop-first");
    let config = service.write_configuration("config.json", 256, false);
    let old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    let mut at_old = standing(&service, 0xaaaa_0000);
    let mut successor = UnixStream::connect(service.control_path()).expect("the control socket is open");
    successor.write_all(b"{\"do\":\"succeed\"}\n").expect("it reads");
    let mut answers = BufReader::new(successor.try_clone().expect("a socket can be cloned"));
    let mut handed = String::new();
    answers.read_line(&mut handed).expect("it answers");
    let told = Instant::now();
    signal(&old, Signal::TERM);
    while service.control_request("{\"do\":\"status\"}\n").is_ok_and(|status| status["stage"] != "stopping") {
        std::thread::sleep(Duration::from_millis(2));
    }
    successor.write_all(b"{\"do\":\"succeeded\"}\n").expect("it reads");
    let mut answer = String::new();
    answers.read_line(&mut answer).expect("it answers");
    assert!(answer.contains("\"ok\":false") && answer.contains("stopping"), "{answer}");
    assert_eq!(moved(&mut at_old, told), STANDING as usize);
}

/// A signal that comes while a successor waits for what the old process hands on ends that wait with `EINTR`, and the
/// successor gave up: 'control: Interrupted system call' (soak, seed 630). The handover failed, and a stop that a supervisor had
/// sent to the successor was answered with exit code 1 while the old process served on.
#[test]
fn a_successor_that_is_signalled_while_it_waits_goes_on_waiting() {
    let service = ServiceFixture::new("signalled");
    let config = service.write_configuration("config.json", 256, false);
    let control =
        UnixListener::bind(service.control_path()).expect("the test answers in the old process's place");
    let take_over =
        ["--take-over", service.control_path().to_str().expect("a path in UTF-8")].map(str::to_owned);
    let mut successor = service.spawn_with_log(&config, &take_over);
    let (mut asked, _) = control.accept().expect("the successor asks");
    let mut request = String::new();
    BufReader::new(asked.try_clone().expect("a socket can be cloned"))
        .read_line(&mut request)
        .expect("a line");
    for signal_sent in [Signal::HUP, Signal::TERM] {
        signal(&successor, signal_sent);
        std::thread::sleep(Duration::from_millis(50));
    }
    asked.write_all(b"{\"version\":1,\"ok\":false,\"fault\":\"no socket today\"}\n").expect("it still waits");
    let mut told = String::new();
    successor.0.stderr.take().expect("it is read").read_to_string(&mut told).expect("text");
    assert!(told.contains("no socket today"), "{told}");
}
