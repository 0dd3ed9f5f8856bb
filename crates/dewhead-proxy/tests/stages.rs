//! The stages of a process and the actions in each, the notifications of a real process to its service manager, and its
//! control socket.

mod common;

use common::{host_entry, server_list, settings, Harness};
use dewhead_proxy::control::protocol::{self, Request};
use dewhead_proxy::lifecycle::stages::{Stage, StageAction, StageEvent, StageMachine};
use dewhead_proxy::reducer::Event;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixDatagram, UnixStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Every event.
const ALL_EVENTS: [StageEvent; 10] = [
    StageEvent::Listening,
    StageEvent::ServerListHeld(true),
    StageEvent::ServerListHeld(false),
    StageEvent::ReloadRequested,
    StageEvent::ReloadFinished,
    StageEvent::DrainRequested,
    StageEvent::UndrainRequested,
    StageEvent::StopRequested,
    StageEvent::SuccessorTookOver,
    StageEvent::Finished,
];

/// Applies these events to a new process. Returns the final stage, and the actions without `ReportStage`.
fn apply_events(events: &[StageEvent]) -> (Stage, Vec<StageAction>) {
    let mut machine = StageMachine::default();
    let actions = events
        .iter()
        .flat_map(|event| machine.handle(*event))
        .filter(|action| *action != StageAction::ReportStage)
        .collect();
    (machine.stage(), actions)
}

#[test]
fn a_process_is_ready_only_with_a_server_list() {
    assert_eq!(apply_events(&[StageEvent::Listening]), (Stage::Waiting, vec![]));
    assert_eq!(
        apply_events(&[StageEvent::Listening, StageEvent::ServerListHeld(true)]),
        (Stage::Ready, vec![StageAction::NotifyReady])
    );
    assert_eq!(
        apply_events(&[StageEvent::ServerListHeld(true), StageEvent::Listening]),
        (Stage::Ready, vec![StageAction::NotifyReady])
    );
    assert_eq!(
        apply_events(&[
            StageEvent::Listening,
            StageEvent::ServerListHeld(true),
            StageEvent::ServerListHeld(false)
        ])
        .0,
        Stage::Waiting
    );
}

#[test]
fn an_early_reload_is_deferred_and_one_while_stopping_is_not_notified() {
    let early_reload = apply_events(&[
        StageEvent::ReloadRequested,
        StageEvent::ServerListHeld(true),
        StageEvent::Listening,
        StageEvent::ReloadFinished,
    ]);
    assert_eq!(
        early_reload,
        (
            Stage::Ready,
            vec![
                StageAction::NotifyReady,
                StageAction::NotifyReloading,
                StageAction::ReloadConfiguration,
                StageAction::NotifyReady
            ]
        )
    );
    let late_reload = apply_events(&[
        StageEvent::Listening,
        StageEvent::StopRequested,
        StageEvent::ReloadRequested,
        StageEvent::ReloadFinished,
        StageEvent::StopRequested,
    ]);
    assert_eq!(
        late_reload,
        (
            Stage::Stopping,
            vec![StageAction::NotifyStopping, StageAction::Stop, StageAction::ReloadConfiguration]
        )
    );
    let stopped_in_reload = apply_events(&[
        StageEvent::Listening,
        StageEvent::ServerListHeld(true),
        StageEvent::ReloadRequested,
        StageEvent::StopRequested,
        StageEvent::ReloadFinished,
        StageEvent::Finished,
    ]);
    assert_eq!(stopped_in_reload.0, Stage::Stopped, "a stop during a reload");
}

#[test]
fn a_stop_ends_every_stage_and_is_never_reverted() {
    // All sequences of up to five events, from the start of the process.
    let mut sequences: Vec<Vec<StageEvent>> = vec![Vec::new()];
    for _ in 0..5 {
        let extended = sequences
            .iter()
            .flat_map(|sequence| ALL_EVENTS.map(|event| [sequence.clone(), vec![event]].concat()))
            .collect::<Vec<_>>();
        sequences = extended;
        for sequence in &sequences {
            let (stage, actions) = apply_events(sequence);
            let stop_count = actions.iter().filter(|action| **action == StageAction::Stop).count();
            let stop_index = sequence
                .iter()
                .position(|event| matches!(event, StageEvent::StopRequested | StageEvent::SuccessorTookOver));
            // A signal stops a retiring process like any other, until it has ended.
            let end_index = stop_index.and_then(|start| {
                sequence[start..]
                    .iter()
                    .position(|event| *event == StageEvent::Finished)
                    .map(|offset| start + offset)
            });
            let signalled =
                sequence[..end_index.unwrap_or(sequence.len())].contains(&StageEvent::StopRequested);
            assert_eq!(stop_count, usize::from(signalled), "{sequence:?}");
            let ended = matches!(stage, Stage::Retiring | Stage::Stopping | Stage::Stopped);
            assert_eq!(ended, stop_index.is_some(), "{sequence:?}: {stage:?}");
            let after_stop = actions.iter().skip_while(|action| **action != StageAction::Stop);
            assert!(
                !after_stop.clone().any(|action| matches!(
                    action,
                    StageAction::NotifyReady | StageAction::Drain | StageAction::Undrain
                )),
                "{sequence:?}"
            );
            if actions.contains(&StageAction::NotifyReady) {
                assert!(
                    sequence.contains(&StageEvent::ServerListHeld(true))
                        && sequence.contains(&StageEvent::Listening),
                    "{sequence:?}"
                );
            }
        }
    }
}

#[test]
fn a_drain_moves_clients_gradually_and_can_be_cancelled() {
    let mut harness = Harness::with_ready_servers(3);
    let clients: Vec<usize> = (0..40).map(|_| harness.establish_call().0).collect();
    harness.deliver(Event::Drain(20.0));
    let ping = harness.connect();
    harness.client_sends(ping, "PING\r\n");
    assert_eq!(harness.received(ping), "", "a draining process answers no PING of a front");
    for _ in 0..100 {
        harness.advance(0.1);
    }
    let count_moved = |harness: &Harness| {
        clients
            .iter()
            .filter(|client| harness.clients.get(client).is_none_or(|client| client.write_shut_down))
            .count()
    };
    let moved_halfway = count_moved(&harness);
    assert!((10..=30).contains(&moved_halfway), "{moved_halfway} of 40 moved after half the time");
    harness.deliver(Event::Undrain);
    let ping = harness.connect();
    harness.client_sends(ping, "PING\r\n");
    assert_eq!(harness.received(ping), "PONG\r\n");
    for _ in 0..300 {
        harness.advance(0.1);
    }
    assert_eq!(count_moved(&harness), moved_halfway, "clients that had not been moved stay");
    assert!(!harness.exited, "a drain does not end the process");
    harness.deliver(Event::Stop);
    for _ in 0..40 {
        harness.advance(0.1);
    }
    assert!(harness.exited && count_moved(&harness) == 40);
}

#[test]
fn control_requests_are_parsed_and_errors_name_the_fault() {
    assert_eq!(protocol::parse_request(r#"{"do":"status"}"#), Ok(Request::Status));
    assert_eq!(
        protocol::parse_request(protocol::format_request("drain", Some(3.0), None).trim()),
        Ok(Request::Drain(Some(3.0)))
    );
    for (line, named_fault) in [
        ("status", "JSON"),
        ("{}", "'do'"),
        (r#"{"do":"dance"}"#, "'dance'"),
        (r#"{"do":"status","version":9}"#, "version 9"),
        (r#"{"do":"drain","seconds":-1}"#, "'seconds'"),
        (r#"{"do":"drain","seconds":"x"}"#, "'seconds'"),
    ] {
        assert!(protocol::parse_request(line).unwrap_err().contains(named_fault), "{line}");
    }
}

/// A process that is killed when this is dropped, so that none outlives its test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends one line to the control socket and returns the answer.
fn control_request(socket: &std::path::Path, line: &str) -> serde_json::Value {
    let mut stream = UnixStream::connect(socket).expect("the control socket is open");
    stream.write_all(line.as_bytes()).unwrap();
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).unwrap();
    serde_json::from_str(&answer).expect("the answer is JSON")
}

#[test]
fn a_real_process_notifies_its_service_manager_and_answers_control_requests() {
    let dir = std::env::temp_dir().join(format!("dewhead-stages-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (notify_path, control, config_path) =
        (dir.join("notify"), dir.join("control"), dir.join("config.json"));
    let notify_socket = UnixDatagram::bind(&notify_path).unwrap();
    notify_socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let port_reservation = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (listen, closed_address) = (port_reservation.local_addr().unwrap(), "127.0.0.1:1");
    drop(port_reservation);
    // A socket file that an earlier process left behind must not prevent the start.
    drop(std::os::unix::net::UnixListener::bind(&control).unwrap());
    let configuration = |known: serde_json::Value| {
        json!({"name": "p", "listen": listen.to_string(), "discovery": closed_address, "seed": "7", "known": known,
               "control": control, "settings": settings()})
    };
    std::fs::write(
        &config_path,
        configuration(server_list(1, true, vec![host_entry(1, "ready")])).to_string(),
    )
    .unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_dewhead"))
        .args(["serve", "--config"])
        .arg(&config_path)
        .env("NOTIFY_SOCKET", &notify_path)
        .env("WATCHDOG_USEC", "400000")
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut process = Process(child);
    let mut received = String::new();
    let mut wait_for_notification = |expected: &str| {
        while !received.contains(expected) {
            let mut buffer = [0; 512];
            let length = notify_socket
                .recv(&mut buffer)
                .unwrap_or_else(|e| panic!("'{expected}' was not received, but '{received}': {e}"));
            received.push_str(&String::from_utf8_lossy(&buffer[..length]));
            received.push('\n');
        }
        std::mem::take(&mut received)
    };
    wait_for_notification("READY=1");
    let started_at = Instant::now();
    wait_for_notification("WATCHDOG=1");
    wait_for_notification("WATCHDOG=1");
    assert!(started_at.elapsed() < Duration::from_secs(2), "watchdog notifications arrive too late");
    assert_eq!(std::fs::metadata(&control).unwrap().permissions().mode() & 0o777, 0o600);
    let status = control_request(&control, "{\"do\":\"status\"}\n");
    assert_eq!(
        (&status["ok"], &status["stage"], &status["servers_known"]),
        (&json!(true), &json!("ready"), &json!(1))
    );
    assert_eq!(control_request(&control, "{\"do\":\"undrain\"}\n")["ok"], false);
    assert_eq!(control_request(&control, "nonsense\n")["ok"], false);
    assert_eq!(control_request(&control, "{\"do\":\"drain\",\"seconds\":1}\n")["stage"], "draining");
    let expect_answer_to_ping = |expected: &str| {
        let mut front = TcpStream::connect(listen).unwrap();
        front.write_all(b"PING\r\n").unwrap();
        let mut answer = vec![0; expected.len()];
        let length = front.read(&mut answer).unwrap();
        assert_eq!(&answer[..length], expected.as_bytes());
    };
    expect_answer_to_ping("");
    assert_eq!(control_request(&control, "{\"do\":\"undrain\"}\n")["stage"], "ready");
    expect_answer_to_ping("PONG\r\n");
    control_request(&control, "{\"do\":\"reload\"}\n");
    let reloaded = wait_for_notification("RELOADING=1") + &wait_for_notification("READY=1");
    assert!(reloaded.contains("MONOTONIC_USEC="), "{reloaded}");
    let run_ctl = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_dewhead"))
            .arg("ctl")
            .args(arguments)
            .arg("--socket")
            .arg(&control)
            .output();
        let output = output.unwrap();
        (output.status.success(), String::from_utf8_lossy(&output.stdout).into_owned())
    };
    let (succeeded, text) = run_ctl(&["status"]);
    assert!(succeeded && text.contains("stage: ready"), "{text}");
    assert!(!run_ctl(&["dance"]).0);
    assert!(run_ctl(&["connections", "--json"]).1.starts_with('{'));
    // The standard library cannot send SIGTERM, so the `kill` program does.
    let send_signal = |signal: &str| {
        let status = Command::new("kill").args([signal, &process.0.id().to_string()]).status();
        assert!(status.unwrap().success());
    };
    send_signal("-TERM");
    send_signal("-TERM");
    wait_for_notification("STOPPING=1");
    assert!(process.0.wait().unwrap().success());
    assert!(!control.exists(), "the socket file remains after the process has ended");
    std::fs::remove_dir_all(&dir).unwrap();
}
