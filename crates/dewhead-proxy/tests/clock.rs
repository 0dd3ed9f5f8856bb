//! The wall clock is stepped forward or back by an hour while a proxy runs; all machines read the same wall clock.

mod common;

use common::loopback::{fault_environment, server_entry, Proxy, StubListener};
use common::{server_list, settings};
use dewhead_faults::plan::{ClockStep, Plan};
use dewhead_proxy::state::start_times::WallClock;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// One hour, in seconds.
const HOUR: f64 = 3600.0;
/// Time from the start of the test to the step of the clock, in seconds; by then the proxy serves.
const STEP_DELAY: f64 = 1.0;

/// Unix time by the machine's clock, which is not stepped, in seconds.
fn true_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the time is after 1970").as_secs_f64()
}

/// The age that the proxy logs for a server that started half a second ago and reports its start by the wall clock of
/// that moment, stepped or not.
fn logged_age(by: f64, started_after_the_step: bool) -> String {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let from = true_time() + STEP_DELAY;
    let plan = Plan { step: ClockStep { from, by }, ..Plan::default() };
    let known = vec![server_entry("s-1", server.address, "ready")];
    let proxy = Proxy::start_with_environment(
        &settings(),
        discovery.address,
        known.clone(),
        &fault_environment(&plan),
    );
    let mut watch = discovery.accept_watch(2, true, known);
    while true_time() < from + if started_after_the_step { 0.6 } else { 0.1 } {
        std::thread::sleep(Duration::from_millis(10));
    }
    let started = true_time() - 0.5;
    let reported_start = if started >= from { started + by } else { started };
    let mut new_server = server_entry("s-2", server.address, "ready");
    new_server["born_ms"] = json!((reported_start * 1e3).round());
    writeln!(watch, "{}", server_list(3, false, vec![new_server])).expect("the watch is open");
    proxy.log.wait_for(|line| {
        let (_, age) = line.split_once("weight 1, started ")?;
        (!age.starts_with("inf")).then(|| age.trim_end().to_owned())
    })
}

/// A cold server that is taken for a warm one is sent more than rule 4 allows; a warm one that is taken for cold gets
/// too little traffic for an hour.
#[test]
fn a_step_of_the_wall_clock_does_not_change_the_age_of_a_server() {
    for by in [HOUR, -HOUR] {
        for after in [true, false] {
            let age = logged_age(by, after);
            let correct =
                ["0.5 s ago", "0.6 s ago", "0.7 s ago", "0.8 s ago", "0.9 s ago"].contains(&age.as_str());
            assert!(correct, "clock stepped by {by} s, server started after the step: {after}, age: {age}");
        }
    }
}

/// The latest possible start that is not in the future is used, whether it was written before or after the step.
#[test]
fn a_start_time_is_converted_by_the_offset_under_which_it_was_written() {
    let now = 10_000.0;
    for step in [HOUR, -HOUR] {
        let mut wall = WallClock::default();
        assert_eq!(wall.observe(0.02), None, "a difference within the reading error is no step");
        assert_eq!(wall.to_process_clock(now, now - 5.0), now - 5.0);
        assert_eq!(wall.observe(step), Some(step));
        assert_eq!(wall.to_process_clock(now, now - 5.0), now - 5.0, "written before the step");
        assert_eq!(wall.to_process_clock(now, now - 5.0 + step), now - 5.0, "written after the step");
        assert_eq!(wall.to_process_clock(now, now + 2.0 * HOUR), now, "in the future by every known offset");
    }
}

/// The memory for steps is bounded, however often the clock is stepped.
#[test]
fn only_the_latest_steps_are_kept() {
    let mut wall = WallClock::default();
    for step in 1..=100 {
        assert!(wall.observe(f64::from(step) * HOUR).is_some());
    }
    let now = 1e6;
    assert_eq!(wall.to_process_clock(now, now + 100.0 * HOUR), now);
    assert_eq!(wall.to_process_clock(now, now - 5.0 + 93.0 * HOUR), now - 5.0);
    assert_eq!(
        wall.to_process_clock(now, now - 5.0 + 92.0 * HOUR),
        now - 5.0 - HOUR,
        "its offset is dropped, so the next one applies"
    );
}
