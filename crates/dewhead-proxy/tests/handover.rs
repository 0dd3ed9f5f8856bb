//! A process takes another's place under load: no connect refused, nothing taken lost, and whoever dies on the way leaves
//! the other serving.

mod common;

use common::processes::{Process, ServiceFixture};
use dewhead_proxy::reducer::Event;
use dewhead_proxy::state::handover_state;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How many calls a thread made, and what went wrong.
type Caller = thread::JoinHandle<(u64, Vec<String>)>;

/// Clients that come without a break, on several threads, until told to stop.
fn load(service: &ServiceFixture) -> (Arc<AtomicBool>, Vec<Caller>) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let stop = Arc::new(AtomicBool::new(false));
    let one = |_| {
        let (stop, listen) = (stop.clone(), service.listen);
        let service = ServiceFixture { dir: PathBuf::new(), listen, server: listen };
        thread::spawn(move || {
            let (mut calls, mut wrong) = (0, Vec::new());
            while !stop.load(Ordering::Relaxed) {
                calls += 1;
                match service.open_call(NEXT.fetch_add(1, Ordering::Relaxed)) {
                    Ok((_, line)) if line == "UP 1\r\n" => {}
                    other => wrong.push(format!("{other:?}")),
                }
            }
            (calls, wrong)
        })
    };
    let threads = (0..3).map(one).collect();
    (stop, threads)
}

#[test]
fn a_successor_takes_over_under_load_and_no_connect_is_refused() {
    let service = ServiceFixture::new("handover");
    let config = service.write_configuration("config.json", 256, false);
    let mut old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    let (standing, line) = service.open_call(0xffff_0000).unwrap();
    assert_eq!(line, "UP 1\r\n");
    let (stop, threads) = load(&service);
    let control = service.control_path();
    let mut now = old.0.id();
    // One after the other, each from the one before.
    let mut heirs: Vec<Process> = Vec::new();
    for round in 0..4 {
        let heir = service.spawn(&config, &["--take-over", control.to_str().unwrap(), "--leave-in", "0.3"]);
        let status = service.wait_until_answering(heir.0.id());
        assert_ne!(heir.0.id(), now);
        assert_eq!(
            (&status["stage"], &status["list_version"]),
            (&json!("ready"), &json!(1)),
            "round {round}"
        );
        now = heir.0.id();
        heirs.push(heir);
    }
    // Who stood at the first is told to move, and the process ends by itself.
    let mut word = String::new();
    BufReader::new(standing).read_line(&mut word).unwrap();
    assert_eq!(word, "MOVE\r\n");
    assert!(old.0.wait().unwrap().success());
    stop.store(true, Ordering::Relaxed);
    let (mut calls, mut wrong) = (0, Vec::new());
    for thread in threads {
        let (n, faults) = thread.join().unwrap();
        calls += n;
        wrong.extend(faults);
    }
    assert!(wrong.is_empty(), "{} of {calls} calls went wrong: {}", wrong.len(), wrong[0]);
    assert!(calls > 50, "{calls} calls are no load");
    for heir in heirs.iter_mut().rev().skip(1) {
        assert!(heir.0.wait().unwrap().success(), "each ends once its place is taken");
    }
}

#[test]
fn a_successor_that_fails_or_dies_leaves_the_old_one_serving() {
    let service = ServiceFixture::new("heirless");
    let config = service.write_configuration("config.json", 256, false);
    let old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    let control = service.control_path();
    let take_over = ["--take-over", control.to_str().unwrap()];
    // A faulty configuration ends it before it has asked for anything.
    let faulty = service.write_configuration("faulty.json", 256, true);
    assert!(!service.spawn(&faulty, &take_over).0.wait().unwrap().success());
    // One that is given the socket and goes without a word, at whatever moment.
    for asks in ["{\"do\":\"succeed\"}\n", "{\"do\":\"suc", "{\"do\":\"succeed\",\"version\":9}\n"] {
        let mut heir = UnixStream::connect(&control).unwrap();
        heir.write_all(asks.as_bytes()).unwrap();
        if asks.ends_with('\n') {
            let _ = heir.read(&mut [0; 8]).unwrap();
        }
    }
    // Somebody who was not given it can't take the place; and two can't be about to.
    assert_eq!(service.control_request("{\"do\":\"succeeded\"}\n").unwrap()["ok"], false);
    let mut first = UnixStream::connect(&control).unwrap();
    first.write_all(b"{\"do\":\"succeed\"}\n").unwrap();
    let _ = first.read(&mut [0; 8]).unwrap();
    assert_eq!(service.control_request("{\"do\":\"succeed\"}\n").unwrap()["ok"], false);
    drop(first);
    // A real one, killed at any time after its start.
    for wait in [0, 2, 5, 10] {
        let heir = service.spawn(&config, &take_over);
        thread::sleep(Duration::from_millis(wait));
        drop(heir);
        let serves = service.open_call(0xeeee_0000 + wait).map(|(_, line)| line);
        // It may have taken the place already; then it is gone, and nobody serves until the next start.
        if !matches!(serves.as_deref(), Ok("UP 1\r\n")) {
            return;
        }
    }
    service.wait_until_answering(old.0.id());
}

#[test]
fn a_handover_has_room_while_descriptors_are_used_up() {
    let service = ServiceFixture::new("full");
    let config = service.write_configuration("config.json", 64, false);
    let old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    // Until it refuses.
    let mut held = Vec::new();
    while let Ok((socket, line)) = service.open_call(0xdddd_0000 + held.len() as u64) {
        if line != "UP 1\r\n" {
            break;
        }
        held.push(socket);
        assert!(held.len() < 64, "64 descriptors hold no more than 64 clients");
    }
    assert!(!held.is_empty());
    let told = service.control_request("{\"do\":\"handover\"}\n").unwrap();
    assert_eq!(told["ok"], true, "{told}");
    let began = Instant::now();
    while service.control_request("{\"do\":\"status\"}\n").is_ok_and(|s| s["process"] == old.0.id()) {
        assert!(began.elapsed() < Duration::from_secs(20), "the place is not taken");
        thread::sleep(Duration::from_millis(5));
    }
    // The new one has room.
    let (_, line) = service.open_call(0xcccc_0000).unwrap();
    assert_eq!(line, "UP 1\r\n");
    let mut status = None;
    while status.is_none() {
        status = service.control_request("{\"do\":\"status\"}\n").ok();
    }
    // It is nobody's child here, so that it is told to end by its id.
    let id = status.unwrap()["process"].to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
}

#[test]
fn what_is_handed_on_is_taken_up_as_far_as_it_makes_sense() {
    let mut stand = common::Stand::ready(4);
    let (_, leg) = stand.standing();
    stand.tell(Event::Closed(
        dewhead_proxy::reducer::Endpoint::Server(leg),
        dewhead_proxy::reducer::CloseKind::Abortive,
    ));
    let told = stand.reducer.export_state(stand.now);
    let read = handover_state::decode(&told).expect("it is this version's");
    assert_eq!(read.list["hosts"].as_array().unwrap().len(), 4);
    assert!(!read.servers.is_empty());
    // Another process, with the list that was handed on.
    let mut next = common::Stand::new(256, read.list.clone());
    next.reducer.import_state(next.now + 1.0, &read);
    let again = handover_state::decode(&next.reducer.export_state(next.now + 1.0)).unwrap();
    let limits = |h: &handover_state::HandoverState| {
        h.servers.iter().filter_map(|s| s.limit.map(|l| (s.server, l.0))).collect::<Vec<_>>()
    };
    assert!(!limits(&read).is_empty(), "a limit was learned: {told}");
    assert_eq!(limits(&again), limits(&read));
    let (aged, fresh) = (again.servers[0].limit.unwrap().1, read.servers[0].limit.unwrap().1);
    assert!((aged - fresh - 1.0).abs() < 1e-6, "it is a second older: {fresh}, {aged}");
    // Nonsense, another version and old news take nothing down and bring nothing in.
    assert!(handover_state::decode(&json!({"version": 99})).is_none());
    let mut bad = told.clone();
    bad["servers"][0]["limit"] = json!([-1e300, "x"]);
    bad["servers"].as_array_mut().unwrap().push(json!("x"));
    bad["paces"] = json!({"x": [], "7": [1e300, 0, 1, -5]});
    let mut other = common::Stand::new(256, read.list.clone());
    other.reducer.import_state(other.now, &handover_state::decode(&bad).unwrap());
    assert!(limits(&handover_state::decode(&other.reducer.export_state(other.now)).unwrap()).is_empty());
    let mut late = common::Stand::new(256, read.list.clone());
    late.reducer.import_state(late.now + 1e4, &read);
    assert!(limits(&handover_state::decode(&late.reducer.export_state(late.now + 1e4)).unwrap()).is_empty());
    // A server that has started anew is unknown.
    let mut anew = read.list.clone();
    for host in anew["hosts"].as_array_mut().unwrap() {
        host["born_ms"] = json!(999_000);
    }
    let mut started = common::Stand::new(256, anew);
    started.reducer.import_state(started.now, &read);
    assert!(limits(&handover_state::decode(&started.reducer.export_state(started.now)).unwrap()).is_empty());
}
