//! Handover: a process takes over from another under load without refusing a connect or losing an accepted call. A
//! successor that fails on the way leaves the old process serving.

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

/// A thread that returns the number of its calls, and the failed ones.
type CallerThread = thread::JoinHandle<(u64, Vec<String>)>;

/// Starts threads that open one call after another until the flag is set.
fn start_load(service: &ServiceFixture) -> (Arc<AtomicBool>, Vec<CallerThread>) {
    static NEXT_CALL_ID: AtomicU64 = AtomicU64::new(1);
    let stop = Arc::new(AtomicBool::new(false));
    let start_thread = |_| {
        let (stop, listen) = (stop.clone(), service.listen);
        let service = ServiceFixture { dir: PathBuf::new(), listen, server: listen };
        thread::spawn(move || {
            let (mut calls, mut failed_calls) = (0, Vec::new());
            while !stop.load(Ordering::Relaxed) {
                calls += 1;
                match service.open_call(NEXT_CALL_ID.fetch_add(1, Ordering::Relaxed)) {
                    Ok((_, line)) if line == "UP 1\r\n" => {}
                    other => failed_calls.push(format!("{other:?}")),
                }
            }
            (calls, failed_calls)
        })
    };
    let threads = (0..3).map(start_thread).collect();
    (stop, threads)
}

/// Each of four successors takes over from the one before it.
#[test]
fn successors_take_over_under_load_without_a_failed_call() {
    let service = ServiceFixture::new("handover");
    let config = service.write_configuration("config.json", 256, false);
    let mut old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    let (established, line) = service.open_call(0xffff_0000).unwrap();
    assert_eq!(line, "UP 1\r\n");
    let (stop, threads) = start_load(&service);
    let control = service.control_path();
    let mut serving_id = old.0.id();
    let mut successors: Vec<Process> = Vec::new();
    for round in 0..4 {
        let successor =
            service.spawn(&config, &["--take-over", control.to_str().unwrap(), "--leave-in", "0.3"]);
        let status = service.wait_until_answering(successor.0.id());
        assert_ne!(successor.0.id(), serving_id);
        assert_eq!(
            (&status["stage"], &status["list_version"]),
            (&json!("ready"), &json!(1)),
            "round {round}"
        );
        serving_id = successor.0.id();
        successors.push(successor);
    }
    // The client of the first process receives `MOVE`, and that process exits by itself.
    let mut answer = String::new();
    BufReader::new(established).read_line(&mut answer).unwrap();
    assert_eq!(answer, "MOVE\r\n");
    assert!(old.0.wait().unwrap().success());
    stop.store(true, Ordering::Relaxed);
    let (mut calls, mut failed_calls) = (0, Vec::new());
    for thread in threads {
        let (thread_calls, thread_failures) = thread.join().unwrap();
        calls += thread_calls;
        failed_calls.extend(thread_failures);
    }
    assert!(failed_calls.is_empty(), "{} of {calls} calls failed: {}", failed_calls.len(), failed_calls[0]);
    assert!(calls > 50, "{calls} calls are too little load");
    for successor in successors.iter_mut().rev().skip(1) {
        assert!(successor.0.wait().unwrap().success(), "each exits once the next has taken over");
    }
}

#[test]
fn a_successor_that_fails_leaves_the_old_process_serving() {
    let service = ServiceFixture::new("failed-successor");
    let config = service.write_configuration("config.json", 256, false);
    let old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    let control = service.control_path();
    let take_over = ["--take-over", control.to_str().unwrap()];
    // With a faulty configuration a successor exits before it sends a request.
    let faulty_config = service.write_configuration("faulty.json", 256, true);
    assert!(!service.spawn(&faulty_config, &take_over).0.wait().unwrap().success());
    // A successor that closes the connection without notice, at different points of the handover.
    for request in ["{\"do\":\"succeed\"}\n", "{\"do\":\"suc", "{\"do\":\"succeed\",\"version\":9}\n"] {
        let mut successor = UnixStream::connect(&control).unwrap();
        successor.write_all(request.as_bytes()).unwrap();
        if request.ends_with('\n') {
            let _ = successor.read(&mut [0; 8]).unwrap();
        }
    }
    // Without a request for the socket nobody can take over, and only one handover is possible at a time.
    assert_eq!(service.control_request("{\"do\":\"succeeded\"}\n").unwrap()["ok"], false);
    let mut first_successor = UnixStream::connect(&control).unwrap();
    first_successor.write_all(b"{\"do\":\"succeed\"}\n").unwrap();
    let _ = first_successor.read(&mut [0; 8]).unwrap();
    assert_eq!(service.control_request("{\"do\":\"succeed\"}\n").unwrap()["ok"], false);
    drop(first_successor);
    // A real successor that is killed at different times after its start.
    for delay_ms in [0, 2, 5, 10] {
        let successor = service.spawn(&config, &take_over);
        thread::sleep(Duration::from_millis(delay_ms));
        drop(successor);
        let answer = service.open_call(0xeeee_0000 + delay_ms).map(|(_, line)| line);
        // It may have taken over before it was killed; then no process serves until the next start.
        if !matches!(answer.as_deref(), Ok("UP 1\r\n")) {
            return;
        }
    }
    service.wait_until_answering(old.0.id());
}

#[test]
fn a_handover_succeeds_while_descriptors_are_exhausted() {
    let service = ServiceFixture::new("full");
    let config = service.write_configuration("config.json", 64, false);
    let old = service.spawn(&config, &[]);
    service.wait_until_answering(old.0.id());
    // Opens calls until one is refused.
    let mut established = Vec::new();
    while let Ok((socket, line)) = service.open_call(0xdddd_0000 + established.len() as u64) {
        if line != "UP 1\r\n" {
            break;
        }
        established.push(socket);
        assert!(established.len() < 64, "64 descriptors are enough for fewer than 64 clients");
    }
    assert!(!established.is_empty());
    let answer = service.control_request("{\"do\":\"handover\"}\n").unwrap();
    assert_eq!(answer["ok"], true, "{answer}");
    let started_at = Instant::now();
    while service.control_request("{\"do\":\"status\"}\n").is_ok_and(|s| s["process"] == old.0.id()) {
        assert!(started_at.elapsed() < Duration::from_secs(20), "the successor does not take over");
        thread::sleep(Duration::from_millis(5));
    }
    // The successor has free descriptors.
    let (_, line) = service.open_call(0xcccc_0000).unwrap();
    assert_eq!(line, "UP 1\r\n");
    let mut status = None;
    while status.is_none() {
        status = service.control_request("{\"do\":\"status\"}\n").ok();
    }
    // The successor is not a child of this process, so it is stopped by its process id.
    let process_id = status.unwrap()["process"].to_string();
    assert!(Command::new("kill").args(["-TERM", &process_id]).status().unwrap().success());
}

#[test]
fn handed_over_state_is_imported_only_as_far_as_it_is_valid() {
    let mut harness = common::Harness::with_ready_servers(4);
    let (_, leg) = harness.establish_call();
    harness.deliver(Event::Closed(
        dewhead_proxy::reducer::Endpoint::Server(leg),
        dewhead_proxy::reducer::CloseKind::Abortive,
    ));
    let exported = harness.reducer.export_state(harness.now);
    let decoded = handover_state::decode(&exported).expect("the state has the supported version");
    assert_eq!(decoded.list["hosts"].as_array().unwrap().len(), 4);
    assert!(!decoded.servers.is_empty());
    // Another process, with the handed-over list.
    let mut successor = common::Harness::new(256, decoded.list.clone());
    successor.reducer.import_state(successor.now + 1.0, &decoded);
    let exported_again =
        handover_state::decode(&successor.reducer.export_state(successor.now + 1.0)).unwrap();
    let limits = |state: &handover_state::HandoverState| {
        state.servers.iter().filter_map(|s| s.limit.map(|l| (s.server, l.0))).collect::<Vec<_>>()
    };
    assert!(!limits(&decoded).is_empty(), "no limit was learned: {exported}");
    assert_eq!(limits(&exported_again), limits(&decoded));
    let (imported_age, original_age) =
        (exported_again.servers[0].limit.unwrap().1, decoded.servers[0].limit.unwrap().1);
    assert!(
        (imported_age - original_age - 1.0).abs() < 1e-6,
        "not one second older: {original_age}, {imported_age}"
    );
    // Invalid values, another version and outdated state cause no failure and are not imported.
    assert!(handover_state::decode(&json!({"version": 99})).is_none());
    let mut invalid = exported.clone();
    invalid["servers"][0]["limit"] = json!([-1e300, "x"]);
    invalid["servers"].as_array_mut().unwrap().push(json!("x"));
    invalid["paces"] = json!({"x": [], "7": [1e300, 0, 1, -5]});
    let mut with_invalid_state = common::Harness::new(256, decoded.list.clone());
    with_invalid_state
        .reducer
        .import_state(with_invalid_state.now, &handover_state::decode(&invalid).unwrap());
    assert!(limits(
        &handover_state::decode(&with_invalid_state.reducer.export_state(with_invalid_state.now)).unwrap()
    )
    .is_empty());
    let mut with_outdated_state = common::Harness::new(256, decoded.list.clone());
    with_outdated_state.reducer.import_state(with_outdated_state.now + 1e4, &decoded);
    assert!(limits(
        &handover_state::decode(&with_outdated_state.reducer.export_state(with_outdated_state.now + 1e4))
            .unwrap()
    )
    .is_empty());
    // What was learned of a server that has restarted is not imported.
    let mut restarted_list = decoded.list.clone();
    for host in restarted_list["hosts"].as_array_mut().unwrap() {
        host["born_ms"] = json!(999_000);
    }
    let mut with_restarted_servers = common::Harness::new(256, restarted_list);
    with_restarted_servers.reducer.import_state(with_restarted_servers.now, &decoded);
    assert!(limits(
        &handover_state::decode(&with_restarted_servers.reducer.export_state(with_restarted_servers.now))
            .unwrap()
    )
    .is_empty());
}
