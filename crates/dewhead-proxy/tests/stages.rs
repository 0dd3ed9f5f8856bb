//! The life of a process: every stage and what happens in it, a real process's words to its manager, and its control
//! socket.

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

const ALL: [StageEvent; 10] = [
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

fn life(told: &[StageEvent]) -> (Stage, Vec<StageAction>) {
    let mut life = StageMachine::default();
    let acts = told.iter().flat_map(|t| life.handle(*t)).filter(|a| *a != StageAction::ReportStage).collect();
    (life.stage(), acts)
}

#[test]
fn readiness_waits_for_a_list() {
    assert_eq!(life(&[StageEvent::Listening]), (Stage::Waiting, vec![]));
    assert_eq!(
        life(&[StageEvent::Listening, StageEvent::ServerListHeld(true)]),
        (Stage::Ready, vec![StageAction::NotifyReady])
    );
    assert_eq!(
        life(&[StageEvent::ServerListHeld(true), StageEvent::Listening]),
        (Stage::Ready, vec![StageAction::NotifyReady])
    );
    assert_eq!(
        life(&[StageEvent::Listening, StageEvent::ServerListHeld(true), StageEvent::ServerListHeld(false)]).0,
        Stage::Waiting
    );
}

#[test]
fn a_reload_asked_for_too_early_comes_later_and_one_while_stopping_tells_nothing() {
    let early = life(&[
        StageEvent::ReloadRequested,
        StageEvent::ServerListHeld(true),
        StageEvent::Listening,
        StageEvent::ReloadFinished,
    ]);
    assert_eq!(
        early,
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
    let late = life(&[
        StageEvent::Listening,
        StageEvent::StopRequested,
        StageEvent::ReloadRequested,
        StageEvent::ReloadFinished,
        StageEvent::StopRequested,
    ]);
    assert_eq!(
        late,
        (
            Stage::Stopping,
            vec![StageAction::NotifyStopping, StageAction::Stop, StageAction::ReloadConfiguration]
        )
    );
    let cut = life(&[
        StageEvent::Listening,
        StageEvent::ServerListHeld(true),
        StageEvent::ReloadRequested,
        StageEvent::StopRequested,
        StageEvent::ReloadFinished,
        StageEvent::Finished,
    ]);
    assert_eq!(cut.0, Stage::Stopped, "a stop in the middle of a reload");
}

#[test]
fn from_every_stage_a_stop_leads_to_the_end_and_nothing_leads_back() {
    // All words of up to five things told, from the beginning.
    let mut words: Vec<Vec<StageEvent>> = vec![Vec::new()];
    for _ in 0..5 {
        let longer =
            words.iter().flat_map(|w| ALL.map(|t| [w.clone(), vec![t]].concat())).collect::<Vec<_>>();
        words = longer;
        for word in &words {
            let (stage, acts) = life(word);
            let stops = acts.iter().filter(|a| **a == StageAction::Stop).count();
            let last = word
                .iter()
                .position(|t| matches!(t, StageEvent::StopRequested | StageEvent::SuccessorTookOver));
            // A process that retires is stopped by a signal like any other, while it is there.
            let over = last
                .and_then(|at| word[at..].iter().position(|t| *t == StageEvent::Finished).map(|n| at + n));
            let signalled = word[..over.unwrap_or(word.len())].contains(&StageEvent::StopRequested);
            assert_eq!(stops, usize::from(signalled), "{word:?}");
            let ended = matches!(stage, Stage::Retiring | Stage::Stopping | Stage::Stopped);
            assert_eq!(ended, last.is_some(), "{word:?}: {stage:?}");
            let after = acts.iter().skip_while(|a| **a != StageAction::Stop);
            assert!(
                !after.clone().any(|a| matches!(
                    a,
                    StageAction::NotifyReady | StageAction::Drain | StageAction::Undrain
                )),
                "{word:?}"
            );
            if acts.contains(&StageAction::NotifyReady) {
                assert!(
                    word.contains(&StageEvent::ServerListHeld(true)) && word.contains(&StageEvent::Listening),
                    "{word:?}"
                );
            }
        }
    }
}

#[test]
fn a_drain_sends_all_away_over_its_time_and_can_be_taken_back() {
    let mut stand = Harness::with_ready_servers(3);
    let clients: Vec<usize> = (0..40).map(|_| stand.establish_call().0).collect();
    stand.deliver(Event::Drain(20.0));
    let ping = stand.connect();
    stand.client_sends(ping, "PING\r\n");
    assert_eq!(stand.received(ping), "", "a front is not told to go on");
    for _ in 0..100 {
        stand.advance(0.1);
    }
    let moved = |stand: &Harness| {
        clients.iter().filter(|c| stand.clients.get(c).is_none_or(|c| c.write_shut_down)).count()
    };
    let halfway = moved(&stand);
    assert!((10..=30).contains(&halfway), "{halfway} of 40 after half the time");
    stand.deliver(Event::Undrain);
    let ping = stand.connect();
    stand.client_sends(ping, "PING\r\n");
    assert_eq!(stand.received(ping), "PONG\r\n");
    for _ in 0..300 {
        stand.advance(0.1);
    }
    assert_eq!(moved(&stand), halfway, "who had not left stays");
    assert!(!stand.exited, "a drain is no end");
    stand.deliver(Event::Stop);
    for _ in 0..40 {
        stand.advance(0.1);
    }
    assert!(stand.exited && moved(&stand) == 40);
}

#[test]
fn requests_are_read_and_faults_name_what_is_wrong() {
    assert_eq!(protocol::parse_request(r#"{"do":"status"}"#), Ok(Request::Status));
    assert_eq!(
        protocol::parse_request(protocol::format_request("drain", Some(3.0), None).trim()),
        Ok(Request::Drain(Some(3.0)))
    );
    for (line, named) in [
        ("status", "JSON"),
        ("{}", "'do'"),
        (r#"{"do":"dance"}"#, "'dance'"),
        (r#"{"do":"status","version":9}"#, "version 9"),
        (r#"{"do":"drain","seconds":-1}"#, "'seconds'"),
        (r#"{"do":"drain","seconds":"x"}"#, "'seconds'"),
    ] {
        assert!(protocol::parse_request(line).unwrap_err().contains(named), "{line}");
    }
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn asked(socket: &std::path::Path, line: &str) -> serde_json::Value {
    let mut stream = UnixStream::connect(socket).expect("the control socket is open");
    stream.write_all(line.as_bytes()).unwrap();
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).unwrap();
    serde_json::from_str(&answer).expect("an answer is JSON")
}

#[test]
fn a_real_process_tells_its_manager_and_answers_its_operators() {
    let dir = std::env::temp_dir().join(format!("dewhead-stages-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (manager, control, path) = (dir.join("notify"), dir.join("control"), dir.join("config.json"));
    let told = UnixDatagram::bind(&manager).unwrap();
    told.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (listen, closed) = (free.local_addr().unwrap(), "127.0.0.1:1");
    drop(free);
    // A socket that a dead process left behind is in the way of nobody.
    drop(std::os::unix::net::UnixListener::bind(&control).unwrap());
    let configured = |known: serde_json::Value| {
        json!({"name": "p", "listen": listen.to_string(), "discovery": closed, "seed": "7", "known": known,
               "control": control, "settings": settings()})
    };
    std::fs::write(&path, configured(server_list(1, true, vec![host_entry(1, "ready")])).to_string())
        .unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_dewhead"))
        .args(["serve", "--config"])
        .arg(&path)
        .env("NOTIFY_SOCKET", &manager)
        .env("WATCHDOG_USEC", "400000")
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut process = Process(child);
    let mut heard = String::new();
    let mut until = |wanted: &str| {
        while !heard.contains(wanted) {
            let mut some = [0; 512];
            let n = told
                .recv(&mut some)
                .unwrap_or_else(|e| panic!("'{wanted}' was not told, but '{heard}': {e}"));
            heard.push_str(&String::from_utf8_lossy(&some[..n]));
            heard.push('\n');
        }
        std::mem::take(&mut heard)
    };
    until("READY=1");
    let began = Instant::now();
    until("WATCHDOG=1");
    until("WATCHDOG=1");
    assert!(began.elapsed() < Duration::from_secs(2), "signs of life come in time");
    assert_eq!(std::fs::metadata(&control).unwrap().permissions().mode() & 0o777, 0o600);
    let status = asked(&control, "{\"do\":\"status\"}\n");
    assert_eq!(
        (&status["ok"], &status["stage"], &status["servers_known"]),
        (&json!(true), &json!("ready"), &json!(1))
    );
    assert_eq!(asked(&control, "{\"do\":\"undrain\"}\n")["ok"], false);
    assert_eq!(asked(&control, "nonsense\n")["ok"], false);
    assert_eq!(asked(&control, "{\"do\":\"drain\",\"seconds\":1}\n")["stage"], "draining");
    let pong = |wanted: &str| {
        let mut front = TcpStream::connect(listen).unwrap();
        front.write_all(b"PING\r\n").unwrap();
        let mut answer = vec![0; wanted.len()];
        let got = front.read(&mut answer).unwrap();
        assert_eq!(&answer[..got], wanted.as_bytes());
    };
    pong("");
    assert_eq!(asked(&control, "{\"do\":\"undrain\"}\n")["stage"], "ready");
    pong("PONG\r\n");
    asked(&control, "{\"do\":\"reload\"}\n");
    let reloaded = until("RELOADING=1") + &until("READY=1");
    assert!(reloaded.contains("MONOTONIC_USEC="), "{reloaded}");
    let ctl = |args: &[&str]| {
        let run = Command::new(env!("CARGO_BIN_EXE_dewhead"))
            .arg("ctl")
            .args(args)
            .arg("--socket")
            .arg(&control)
            .output();
        let run = run.unwrap();
        (run.status.success(), String::from_utf8_lossy(&run.stdout).into_owned())
    };
    let (well, text) = ctl(&["status"]);
    assert!(well && text.contains("stage: ready"), "{text}");
    assert!(!ctl(&["dance"]).0);
    assert!(ctl(&["connections", "--json"]).1.starts_with('{'));
    // SIGTERM, by the standard library's means: the shell's kill.
    let kill = |signal: &str| {
        let done = Command::new("kill").args([signal, &process.0.id().to_string()]).status();
        assert!(done.unwrap().success());
    };
    kill("-TERM");
    kill("-TERM");
    until("STOPPING=1");
    assert!(process.0.wait().unwrap().success());
    assert!(!control.exists(), "the socket's file goes with its process");
    std::fs::remove_dir_all(&dir).unwrap();
}
