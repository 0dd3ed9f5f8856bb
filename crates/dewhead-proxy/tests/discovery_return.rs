//! The agent of discovery is silent while discovery is down, and answers nothing that it was asked meanwhile. What it has at
//! the return counts as known at once, so that each process must ask it anew within the grace period of a drain.

mod common;

use common::discovery::{CHUNKED_HEAD, EMPTY_LINE_CHUNK};
use common::loopback::{read_line, server_entry, Proxy, StubListener};
use common::{discovery_address, host_entry, server_list, settings, Harness, UNAVAILABLE_RESPONSE};
use dewhead_proxy::reducer::Event;
use dewhead_proxy::state::handover_state;
use dewhead_proxy::state::hedged_requests::OVERDUE_SLOT;
use serde_json::{json, Value};
use std::io::Write;
use std::time::{Duration, Instant};

/// The grace period of a drain, in seconds.
const GRACE_SECONDS: f64 = 0.5;
/// A process may be held up for this many seconds between reading its clock and writing.
const HOLD_UP_SECONDS: f64 = 0.15;
/// The agent must be asked within this many seconds of the return.
const ASKED_WITHIN_SECONDS: f64 = GRACE_SECONDS - HOLD_UP_SECONDS;
/// The step of the simulated clock, in seconds.
const STEP_SECONDS: f64 = 0.01;

/// What the agent does while discovery is down.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Outage {
    /// It accepts connections and writes nothing.
    Silent,
    /// Connections are refused.
    Refused,
    /// Connections are reset after the request.
    CutOff,
    /// It stops within the first line.
    SlowFirstLine,
}

const OUTAGES: [Outage; 4] = [Outage::Silent, Outage::Refused, Outage::CutOff, Outage::SlowFirstLine];

/// Settings with lists that are pushed, and the grace period.
fn pushed_settings() -> Value {
    let mut settings_json = settings();
    settings_json["obligations"]["stopSendingWithin"] = json!(1000.0 * GRACE_SECONDS);
    settings_json
}

/// A proxy and its agent.
struct Agent {
    harness: Harness,
    outage: Outage,
    watches_seen: usize,
    hedges_seen: usize,
}

impl Agent {
    /// The agent of a proxy whose requests so far were answered.
    fn new(harness: Harness, outage: Outage) -> Agent {
        let (watches_seen, hedges_seen) = (harness.watch_requests.len(), harness.hedge_requests.len());
        Agent { harness, outage, watches_seen, hedges_seen }
    }

    /// The agent of a proxy that has an answered watch, whose last line came `age` seconds ago.
    fn with_watch(seed: u128, outage: Outage, age: f64) -> Agent {
        let known = server_list(1, true, vec![host_entry(0, "ready")]);
        let mut harness = Harness::at_process_start(seed, &pushed_settings(), 256, known);
        harness.watch_open = true;
        harness.deliver(Event::WatchOpened);
        harness.deliver(Event::WatchBytes(CHUNKED_HEAD));
        for _ in 0..3 {
            harness.deliver(Event::WatchBytes(EMPTY_LINE_CHUNK));
            harness.advance(2.0);
        }
        harness.deliver(Event::WatchBytes(EMPTY_LINE_CHUNK));
        harness.advance(age);
        Agent::new(harness, outage)
    }

    /// Carries out the outage for the requests that were made since the last call; returns how many there were.
    fn fail_new_requests(&mut self) -> usize {
        let mut count = 0;
        while self.watches_seen < self.harness.watch_requests.len() {
            self.watches_seen += 1;
            count += 1;
            self.harness.watch_open = true;
            if self.outage != Outage::Refused {
                self.harness.deliver(Event::WatchOpened);
            }
            match self.outage {
                Outage::Silent => {}
                Outage::Refused | Outage::CutOff => self.harness.deliver(Event::WatchLost),
                Outage::SlowFirstLine => {
                    self.harness.deliver(Event::WatchBytes(&[CHUNKED_HEAD, b"fff\r\n{\"seq\":9,"].concat()))
                }
            }
        }
        while self.hedges_seen < self.harness.hedge_requests.len() {
            let (slot, ..) = self.harness.hedge_requests[self.hedges_seen];
            self.hedges_seen += 1;
            count += 1;
            match self.outage {
                Outage::Silent => {}
                Outage::Refused | Outage::CutOff => {
                    self.harness.open_hedges.remove(&slot);
                    self.harness.deliver(Event::HedgeLost(slot));
                }
                Outage::SlowFirstLine => self
                    .harness
                    .deliver(Event::HedgeBytes(slot, &[CHUNKED_HEAD, b"fff\r\n{\"seq\":9,"].concat())),
            }
        }
        count
    }

    /// Lets this many seconds of the outage pass; returns the number of requests.
    fn be_down(&mut self, seconds: f64) -> usize {
        let until = self.harness.now + seconds;
        let mut count = self.fail_new_requests();
        while self.harness.now < until {
            self.harness.advance(STEP_SECONDS);
            count += self.fail_new_requests();
        }
        count
    }

    /// Discovery is back; returns after how many seconds the agent is asked.
    fn asked_after(&mut self) -> f64 {
        let returned_at = self.harness.now;
        while self.harness.watch_requests.len() == self.watches_seen
            && self.harness.hedge_requests.len() == self.hedges_seen
        {
            assert!(self.harness.now < returned_at + 20.0, "not asked again");
            self.harness.advance(STEP_SECONDS);
        }
        self.harness.now - returned_at
    }

    /// Answers the hedged or unhedged request that was made last with a drain; returns whether it is applied.
    fn answer_with_drain(&mut self) -> bool {
        let list = server_list(2, true, vec![host_entry(0, "draining")]).to_string();
        if self.harness.watch_requests.len() > self.watches_seen {
            self.harness.open_watch(&list);
        } else {
            let (slot, ..) = *self.harness.hedge_requests.last().unwrap();
            let answer = format!("HTTP/1.1 200 OK\r\n\r\n{list}\n");
            self.harness.deliver(Event::HedgeBytes(slot, answer.as_bytes()));
        }
        self.harness.reducer.list_version() == 2 && self.harness.open_hedges.is_empty()
    }
}

/// While discovery was down the agent was asked once in 2.2 s, and after refused connections once in up to 1.2 s.
#[test]
fn an_agent_is_asked_within_the_grace_period_of_discoverys_return() {
    for outage in OUTAGES {
        for (seed, age) in [(1, 0.0), (2, 0.7), (3, 1.4), (4, 1.95)] {
            for step in 0..40 {
                // The watch is found silent 2.1 s after its last line; before that nothing shows that discovery was down.
                let down_for = 2.2 - age + 0.37 * f64::from(step);
                let mut agent = Agent::with_watch(seed, outage, age);
                agent.be_down(down_for);
                let delay = agent.asked_after();
                assert!(
                    delay <= ASKED_WITHIN_SECONDS,
                    "{outage:?}, {age} s after a line, down for {down_for:.2} s: asked {delay:.2} s after the return"
                );
                assert!(
                    agent.answer_with_drain(),
                    "{outage:?}: the answer is applied, and other requests are given up"
                );
            }
        }
    }
}

/// A process that starts while discovery is down does not know whether that is slow or overloaded: it gives it the two
/// seconds in which it would refuse a request.
#[test]
fn a_process_that_starts_while_discovery_is_down_asks_in_time_after_two_seconds() {
    for outage in OUTAGES {
        for seed in 0..10 {
            for step in 0..30 {
                let down_for = 0.05 + 0.23 * f64::from(step);
                let known = server_list(1, true, vec![host_entry(0, "ready")]);
                let start = Harness::at_process_start(seed, &pushed_settings(), 256, known);
                let mut agent = Agent { watches_seen: 0, ..Agent::new(start, outage) };
                agent.be_down(down_for);
                let delay = agent.asked_after();
                let limit = (2.2 - down_for).max(ASKED_WITHIN_SECONDS);
                assert!(
                    delay <= limit,
                    "{outage:?}, down for {down_for:.2} s: asked {delay:.2} s after the return"
                );
                assert!(agent.answer_with_drain());
            }
        }
    }
}

/// A new configuration and a handover begin with a request of their own, which must not begin the wait anew.
#[test]
fn a_new_configuration_or_a_handover_while_discovery_is_down_delays_no_request() {
    for outage in OUTAGES {
        for (seed, before) in [(1, 2.5), (2, 3.4), (3, 6.0), (4, 9.1)] {
            for step in 0..20 {
                let after = 0.13 * f64::from(step);
                let mut agent = Agent::with_watch(seed, outage, 1.0);
                agent.be_down(before);
                agent.harness.deliver(Event::Reconfigured(discovery_address(1), 256));
                agent.be_down(after);
                let delay = agent.asked_after();
                assert!(
                    delay <= ASKED_WITHIN_SECONDS,
                    "{outage:?}, SIGHUP {after:.2} s before: {delay:.2} s"
                );

                let mut agent = Agent::with_watch(seed, outage, 1.0);
                agent.be_down(before);
                let exported = agent.harness.reducer.export_state(agent.harness.now);
                let state = handover_state::decode(&exported).expect("the state has the supported version");
                let started_at = agent.harness.now;
                let mut successor =
                    Harness::start_at(started_at, seed + 9, &pushed_settings(), 256, state.list.clone());
                successor.reducer.import_state(started_at, &state);
                let mut agent = Agent { watches_seen: 0, ..Agent::new(successor, outage) };
                agent.be_down(after);
                let delay = agent.asked_after();
                assert!(
                    delay <= ASKED_WITHIN_SECONDS,
                    "{outage:?}, handover {after:.2} s before: {delay:.2} s"
                );
            }
        }
    }
}

/// What a discovery at another address has counts as known four seconds after the new configuration.
#[test]
fn a_new_discovery_that_is_down_is_asked_within_four_seconds_and_then_within_the_grace_period() {
    for outage in OUTAGES {
        for step in 0..40 {
            let down_for = 0.2 * f64::from(step);
            let mut agent = Agent::with_watch(5, outage, 1.0);
            agent.harness.deliver(Event::Reconfigured(discovery_address(2), 256));
            agent.be_down(down_for);
            let delay = agent.asked_after();
            let limit = (4.0 - down_for).max(ASKED_WITHIN_SECONDS);
            assert!(
                delay <= limit,
                "{outage:?}, down for {down_for:.2} s: asked {delay:.2} s after the return"
            );
        }
    }
}

/// What it costs: a silent agent is asked three to four times a second, and one that refuses a request as rarely as before.
#[test]
fn a_silent_agent_is_asked_at_most_four_times_a_second_and_a_refusing_one_rarely() {
    for seed in 0..20 {
        let mut agent = Agent::with_watch(seed, Outage::Silent, 2.0);
        let count = agent.be_down(10.0);
        println!("{count} requests to a silent agent in 10 s");
        assert!((28..=45).contains(&count), "{count} requests in 10 s");
        // The next hedged request is refused.
        agent.asked_after();
        let (watches, hedges) = (agent.harness.watch_requests.len(), agent.harness.hedge_requests.len());
        if hedges > agent.hedges_seen {
            let (slot, ..) = agent.harness.hedge_requests[hedges - 1];
            agent.harness.deliver(Event::HedgeBytes(slot, UNAVAILABLE_RESPONSE));
        } else {
            agent.harness.open_watch("");
            agent.harness.deliver(Event::WatchBytes(UNAVAILABLE_RESPONSE));
            continue;
        }
        (0..100).for_each(|_| agent.harness.advance(STEP_SECONDS));
        assert!(agent.harness.watch_requests.len() <= watches + 1, "the watch alone is requested");
        assert_eq!(agent.harness.hedge_requests.len(), hedges, "no further hedged request for a second");
    }
}

/// An answer that takes longer than the interval between hedged requests is still used. Beside a watch that is being
/// answered one more list is received at the most, and the first one that is complete is used.
#[test]
fn the_first_complete_answer_is_used_and_ends_the_hedged_requests() {
    let mut agent = Agent::with_watch(1, Outage::Silent, 2.0);
    agent.be_down(5.0);
    let slots: Vec<usize> = agent.harness.open_hedges.iter().copied().collect();
    assert_eq!(slots, [0, 1, 2, 3, OVERDUE_SLOT], "as many requests wait as are allowed, and an overdue one");
    let start = b"HTTP/1.1 200 OK\r\n\r\n{\"seq\":2,";
    for slot in &slots[..3] {
        agent.harness.deliver(Event::HedgeBytes(*slot, start));
    }
    assert_eq!(
        agent.harness.open_hedges,
        [slots[2], slots[3], OVERDUE_SLOT].into(),
        "the second answer is given up for the third"
    );
    let entries = json!([host_entry(0, "draining")]);
    let rest = format!("\"whole\":true,\"hosts\":{entries}}}\n");
    agent.harness.deliver(Event::HedgeBytes(slots[2], rest.as_bytes()));
    assert_eq!(agent.harness.reducer.list_version(), 2);
    assert!(agent.harness.open_hedges.is_empty() && agent.harness.watch_open);
}

/// On real connections: an agent is silent for four seconds and then has a drain.
#[test]
fn a_drain_is_known_within_the_grace_period_of_discoverys_return() {
    let (server, discovery) = (StubListener::new(), StubListener::new());
    let hosts = |health| vec![server_entry("s-1", server.address, health)];
    let proxy = Proxy::start(&pushed_settings(), discovery.address, hosts("ready"));
    let mut connections = vec![discovery.accept_watch(2, true, hosts("ready"))];
    let returns_at = Instant::now() + Duration::from_secs(4);
    while Instant::now() < returns_at {
        if let Ok((socket, _)) = discovery.listener.accept() {
            connections.push(socket);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let (mut request, request_line) = discovery.accept_with_first_line();
    assert!(request_line.starts_with("GET /v1/servers?follow=1&since=2 "), "{request_line}");
    while read_line(&mut request) != "\r\n" {}
    let list = server_list(3, false, hosts("draining"));
    write!(request.get_mut(), "HTTP/1.1 200 OK\r\n\r\n{list}\n").unwrap();
    proxy.wait_for_log("is Draining");
    let delay = returns_at.elapsed();
    assert!(delay < Duration::from_secs_f64(GRACE_SECONDS), "known {delay:.2?} after the return");
}
