//! The wall clock is set forward or back by an hour while a proxy runs; all machines read the same one.

mod common;

use common::loopback::{fault_environment, server_entry, Proxy, StubListener};
use common::{list, settings};
use dewhead_faults::plan::{ClockStep, Plan};
use dewhead_proxy::state::start_times::WallClock;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HOUR: f64 = 3600.0;
/// By when after its start the proxy serves.
const STEP_AFTER: f64 = 1.0;

/// The machine's clock, which no step has changed.
fn true_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("it is past 1970").as_secs_f64()
}

/// How old the proxy takes a server to be that started half a second ago by its own, wrong, clock.
fn age_told(by: f64, started_after_the_step: bool) -> String {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let from = true_time() + STEP_AFTER;
    let plan = Plan { step: ClockStep { from, by }, ..Plan::default() };
    let known = vec![server_entry("s-1", server.address, "ready")];
    let mut proxy = Proxy::start_with_environment(
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
    let shown = if started >= from { started + by } else { started };
    let mut fresh = server_entry("s-2", server.address, "ready");
    fresh["born_ms"] = json!((shown * 1e3).round());
    writeln!(watch, "{}", list(3, false, vec![fresh])).expect("the watch is open");
    loop {
        let line = common::loopback::read_line(&mut proxy.log);
        if let Some((_, age)) =
            line.split_once("weight 1, started ").filter(|(_, age)| !age.starts_with("inf"))
        {
            return age.trim_end().to_owned();
        }
    }
}

/// Warm by mistake, a server that has just started is sent more than rule 4 allows; cold by mistake, it is spared for an hour.
#[test]
fn the_age_of_a_server_does_not_follow_a_step_of_the_wall_clock() {
    for by in [HOUR, -HOUR] {
        for after in [true, false] {
            let age = age_told(by, after);
            let sound =
                ["0.5 s ago", "0.6 s ago", "0.7 s ago", "0.8 s ago", "0.9 s ago"].contains(&age.as_str());
            assert!(sound, "clock stepped by {by} s, started after it: {after}: taken to be started {age}");
        }
    }
}

/// The latest start that is not in the future holds, whichever side of a step it was written on.
#[test]
fn a_start_is_put_on_the_own_clock_by_the_step_it_was_written_under() {
    let now = 10_000.0;
    for step in [HOUR, -HOUR] {
        let mut wall = WallClock::default();
        assert_eq!(wall.observe(0.02), None, "less than a reading may be wrong by");
        assert_eq!(wall.to_process_clock(now, now - 5.0), now - 5.0);
        assert_eq!(wall.observe(step), Some(step));
        assert_eq!(wall.to_process_clock(now, now - 5.0), now - 5.0, "written before the step");
        assert_eq!(wall.to_process_clock(now, now - 5.0 + step), now - 5.0, "written after it");
        assert_eq!(wall.to_process_clock(now, now + 2.0 * HOUR), now, "not by any clock that was seen");
    }
}

/// A clock that is set again and again takes no more room for it.
#[test]
fn only_the_latest_steps_are_remembered() {
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
        "forgotten: by the one after it"
    );
}
