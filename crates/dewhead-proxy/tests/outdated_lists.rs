//! A list that is behind undoes nothing that the proxy was told: in whatever way the proxy comes to it, whatever its
//! number is, and whether it is a whole list or a change. A server that did come back is used again.

mod common;

use common::loopback::{read_line, send, server_entry, Proxy, StubListener};
use common::{discovery_address, host_entry, server_list, settings, Harness, Leg};
use dewhead_proxy::reducer::{CloseKind, Endpoint, Event};
use dewhead_proxy::state::handover_state;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::Write;

/// The version in which the proxy is told.
const TOLD_VERSION: u64 = 42;
/// The most by which a list can be behind, in seconds.
const MAX_LAG_SECONDS: f64 = 60.0;
/// The server that is withdrawn or restarted; the others stay ready.
const CHANGED_SERVER: usize = 2;
const SERVERS: usize = 4;

/// The whole list with this entry of the changed server; none leaves it out.
fn whole_list(changed: Option<Value>) -> Vec<Value> {
    (0..SERVERS)
        .filter_map(|n| if n == CHANGED_SERVER { changed.clone() } else { Some(host_entry(n, "ready")) })
        .collect()
}

/// The changed server's entry.
fn entry(health: &str) -> Value {
    host_entry(CHANGED_SERVER, health)
}

/// The changed server's entry after its process started at this time by the wall clock, in seconds.
fn entry_started_at(health: &str, started_at: f64) -> Value {
    let mut entry = entry(health);
    entry["born_ms"] = json!(started_at * 1000.0);
    entry
}

/// Writes a version on the open watch.
fn write_version(harness: &mut Harness, number: u64, whole: bool, hosts: Vec<Value>) {
    let line = format!("{}\n", server_list(number, whole, hosts));
    harness.deliver(Event::WatchBytes(line.as_bytes()));
}

/// Whether any of some new calls is sent to the changed server. The calls are ended.
fn is_used(harness: &mut Harness) -> bool {
    let count_before = harness.dialed_ports.len();
    let clients: Vec<usize> = (0..4 * SERVERS).map(|_| harness.start_call("feed")).collect();
    let ports: BTreeSet<usize> = harness.dialed_ports[count_before..].iter().copied().collect();
    for client in
        clients.into_iter().filter(|client| harness.clients.contains_key(client)).collect::<Vec<_>>()
    {
        harness.deliver(Event::Closed(Endpoint::Client(client), CloseKind::Graceful));
    }
    assert!(ports.len() >= SERVERS - 1, "the other servers are used: {ports:?}");
    ports.contains(&(9000 + CHANGED_SERVER))
}

/// Lets this many seconds pass, in which the open watch brings an empty line every second.
fn pass_time(harness: &mut Harness, seconds: f64) {
    let until = harness.now + seconds;
    while harness.now < until {
        harness.advance(1.0_f64.min(until - harness.now));
        harness.deliver(Event::WatchBytes(b"\n"));
    }
}

/// A harness whose servers are all ready, the changed one with this entry, and whose watch is open.
fn harness_with_watch(changed: Value) -> Harness {
    let mut harness =
        Harness::new(256, server_list(TOLD_VERSION - 2, true, whole_list(Some(changed.clone()))));
    harness.open_watch(&server_list(TOLD_VERSION - 1, true, whole_list(Some(changed))).to_string());
    assert!(is_used(&mut harness), "a ready server is used");
    harness
}

/// The ways in which a proxy that was told something comes to a discovery that is behind.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Route {
    /// The watch is lost and opened again at the same address.
    SameDiscovery,
    /// A new configuration names another address.
    NewDiscovery,
    /// The watch is lost before that.
    NewDiscoveryAfterLostWatch,
    /// Several configurations in a row; those between them have no list.
    SeveralMoves,
    /// Several configurations, each with a list that is behind.
    SeveralOutdatedLists,
}

const ROUTES: [Route; 5] = [
    Route::SameDiscovery,
    Route::NewDiscovery,
    Route::NewDiscoveryAfterLostWatch,
    Route::SeveralMoves,
    Route::SeveralOutdatedLists,
];

/// Leads the proxy to a discovery whose first version is this one.
fn follow(harness: &mut Harness, route: Route, number: u64, whole: bool, changed: Option<Value>) {
    let hosts = if whole { whole_list(changed) } else { changed.into_iter().collect() };
    let line = server_list(number, whole, hosts).to_string();
    if matches!(route, Route::SameDiscovery | Route::NewDiscoveryAfterLostWatch) {
        harness.deliver(Event::WatchLost);
        harness.advance(2.0);
    }
    let addresses = match route {
        Route::SameDiscovery => 0,
        Route::NewDiscovery | Route::NewDiscoveryAfterLostWatch => 1,
        Route::SeveralMoves | Route::SeveralOutdatedLists => 3,
    };
    for n in 0..addresses {
        harness.deliver(Event::Reconfigured(discovery_address(2 + n), 256));
        if route == Route::SeveralOutdatedLists {
            harness.open_watch(&line);
        }
    }
    if route != Route::SeveralOutdatedLists {
        harness.open_watch(&line);
    }
}

/// All first versions of a discovery that is behind. On the same count, a change with a higher number is a later one.
fn outdated_versions() -> Vec<(Route, u64, bool)> {
    let mut versions = Vec::new();
    for route in ROUTES {
        for number in [1, TOLD_VERSION - 1, TOLD_VERSION, TOLD_VERSION + 1, 9000] {
            versions.push((route, number, true));
            if route != Route::SameDiscovery || number <= TOLD_VERSION {
                versions.push((route, number, false));
            }
        }
    }
    versions
}

/// Review case 3: after SIGHUP, the whole list of a discovery that was behind made draining servers ready again, as drains
/// were kept only in a list whose number was lower than that of the version held, and no version was held any more.
#[test]
fn a_list_that_is_behind_makes_no_draining_server_ready() {
    for (route, number, whole) in outdated_versions() {
        let mut harness = harness_with_watch(entry("ready"));
        write_version(&mut harness, TOLD_VERSION, false, vec![entry("draining")]);
        follow(&mut harness, route, number, whole, Some(entry("ready")));
        let case = format!("{route:?}, version {number}, whole: {whole}");
        assert!(!is_used(&mut harness), "{case}: used at once");
        pass_time(&mut harness, 30.0);
        assert!(!is_used(&mut harness), "{case}: used after 30 s");
        let mut heavier = entry("ready");
        heavier["share"] = json!(0.5);
        if route != Route::SameDiscovery {
            write_version(&mut harness, 9001, false, vec![heavier]);
            assert!(!is_used(&mut harness), "{case}: another weight does not make it ready");
        }
        assert_eq!(harness.reducer.violations(), 0, "{case}");
    }
}

/// The list of the process before this one, in the configuration, has told of the drain.
#[test]
fn a_list_that_is_behind_makes_no_server_ready_that_was_draining_before_the_start() {
    for number in [1, TOLD_VERSION, 9000] {
        let known = server_list(TOLD_VERSION, true, whole_list(Some(entry("draining"))));
        let mut harness = Harness::new(256, known);
        assert!(!is_used(&mut harness));
        harness.open_watch(&server_list(number, true, whole_list(Some(entry("ready")))).to_string());
        assert!(!is_used(&mut harness), "version {number}");
    }
}

/// A server that was drained and did come back is used again at once, or at the latest after the time by which a list
/// can be behind.
#[test]
fn a_drained_server_that_came_back_is_used_again() {
    for (route, number, whole) in outdated_versions() {
        let case = format!("{route:?}, version {number}, whole: {whole}");
        let drained_harness = || {
            let mut harness = harness_with_watch(entry("ready"));
            write_version(&mut harness, TOLD_VERSION, false, vec![entry("draining")]);
            follow(&mut harness, route, number, whole, Some(entry("ready")));
            harness
        };
        // A change that is ignored leaves the watch at the version held.
        let next = number.max(TOLD_VERSION) + 1;

        let mut harness = drained_harness();
        let restarted_at = harness.now;
        write_version(&mut harness, next, false, vec![entry_started_at("ready", restarted_at)]);
        assert!(is_used(&mut harness), "{case}: restarted");

        let mut harness = drained_harness();
        write_version(&mut harness, next, false, vec![entry("draining")]);
        write_version(&mut harness, next + 1, false, vec![entry("ready")]);
        assert!(is_used(&mut harness), "{case}: drained and made ready by the same discovery");

        let mut harness = drained_harness();
        write_version(&mut harness, next, false, vec![entry("ready")]);
        assert!(is_used(&mut harness), "{case}: named by a later change");

        let mut harness = harness_with_watch(entry("ready"));
        write_version(&mut harness, TOLD_VERSION, false, vec![entry("draining")]);
        let restarted = entry_started_at("ready", harness.now + 1.0);
        harness.deliver(Event::WatchLost);
        // A long outage of discovery.
        pass_time(&mut harness, 3.0 * MAX_LAG_SECONDS);
        follow(&mut harness, route, next, whole, Some(restarted));
        assert!(is_used(&mut harness), "{case}: restarted while the watch was lost");

        if whole {
            let mut harness = drained_harness();
            pass_time(&mut harness, MAX_LAG_SECONDS + 1.0);
            assert!(is_used(&mut harness), "{case}: after the time by which a list can be behind");
            assert_eq!(harness.reducer.status(harness.now)["servers_held_down"], 0, "{case}");
        }
    }
}

/// On real connections: a proxy is told of a drain, moved by SIGHUP to a discovery that is behind, and sends its calls to
/// the other server.
#[test]
fn after_a_new_configuration_no_call_is_sent_to_a_server_whose_drain_was_told() {
    let (ready_server, draining_server) = (StubListener::new(), StubListener::new());
    let (old_discovery, new_discovery) = (StubListener::new(), StubListener::new());
    let hosts = |health| {
        vec![
            server_entry("s-1", ready_server.address, "ready"),
            server_entry("s-2", draining_server.address, health),
        ]
    };
    let proxy = Proxy::start(&settings(), old_discovery.address, hosts("ready"));
    let mut old_watch = old_discovery.accept_watch(41, true, hosts("ready"));
    writeln!(old_watch, "{}", server_list(42, false, vec![hosts("draining").remove(1)])).unwrap();
    proxy.wait_for_log("is Draining");
    let (old_address, new_address) = (old_discovery.address.to_string(), new_discovery.address.to_string());
    proxy.write_configuration(&proxy.read_configuration().replace(&old_address, &new_address));
    proxy.send_signal(Signal::HUP);
    let _new_watch = new_discovery.accept_watch(41, true, hosts("ready"));
    proxy.wait_for_log("whole list 41 after 0");
    let mut established = Vec::new();
    for id in 1..=8 {
        let mut client = proxy.open_client(id, "feed", 2000);
        let (server, _) = ready_server.accept_with_first_line();
        send(&server, "UP 1\r\n");
        assert_eq!(read_line(&mut client), "UP 1\r\n");
        established.push((client, server));
    }
    assert!(!draining_server.try_accept_and_close(), "a call is sent to the draining server");
}

/// How many of some calls that are not answered are sent to the changed server.
fn burst_size(harness: &mut Harness) -> usize {
    let count_before = harness.dialed_ports.len();
    for _ in 0..100 {
        harness.start_call("feed");
    }
    harness.dialed_ports[count_before..].iter().filter(|port| **port == 9000 + CHANGED_SERVER).count()
}

/// A process that takes over from the one of the harness now.
fn successor_of(harness: &Harness) -> Harness {
    let exported = harness.reducer.export_state(harness.now);
    let state = handover_state::decode(&exported).expect("the state has the supported version");
    let mut successor = Harness::start_at(harness.now, 7, &settings(), 256, state.list.clone());
    successor.reducer.import_state(successor.now, &state);
    // Within the grace period the list that was handed over is used, whether or not discovery has answered.
    successor.advance(0.2);
    successor
}

/// A list that was behind had a server that had just started as one that had started before, or long ago: the operators'
/// limit for cold servers no longer applied to it, and a successor sent it as much as a warm one.
#[test]
fn a_list_that_is_behind_makes_no_cold_server_warm() {
    for (route, number, whole) in outdated_versions() {
        for outdated in [entry("ready"), entry_started_at("ready", 400.0)] {
            let case = format!("{route:?}, version {number}, whole: {whole}, {outdated}");
            let mut harness = harness_with_watch(outdated.clone());
            harness.advance(2.0);
            let started_at = harness.now - 1.0;
            write_version(&mut harness, TOLD_VERSION, false, vec![entry_started_at("ready", started_at)]);
            let mut in_time = successor_of(&harness);
            follow(&mut harness, route, number, whole, Some(outdated));
            let listed = harness.reducer.export_state(harness.now)["list"]["hosts"].clone();
            let changed = format!("s-{CHANGED_SERVER}");
            let entry = listed.as_array().unwrap().iter().find(|e| e["host"] == *changed).unwrap();
            assert_eq!(entry["born_ms"], json!(started_at * 1000.0), "{case}: the start that is handed over");
            let mut successor = successor_of(&harness);
            let (limit, sent) = (burst_size(&mut in_time), burst_size(&mut successor));
            assert!(sent <= limit + 2, "{case}: the successor sends {sent} calls, {limit} to a cold server");
        }
    }
}

/// The earlier process of a server was draining or is gone in a list that was behind, and the new one was not used.
#[test]
fn a_list_that_is_behind_withdraws_no_restarted_server() {
    for (route, number, whole) in outdated_versions() {
        for outdated in [entry_started_at("draining", 400.0), entry_started_at("gone", 400.0)] {
            let case = format!("{route:?}, version {number}, whole: {whole}, {outdated}");
            let restarted_harness = || {
                let mut harness = harness_with_watch(entry("ready"));
                harness.advance(2.0);
                let restarted = entry_started_at("ready", harness.now - 1.0);
                write_version(&mut harness, TOLD_VERSION, false, vec![restarted]);
                pass_time(&mut harness, 30.0);
                harness
            };
            let mut harness = restarted_harness();
            let leg = establish_call_at_changed_server(&mut harness);
            follow(&mut harness, route, number, whole, Some(outdated.clone()));
            assert!(harness.legs.contains_key(&leg), "{case}: the client is moved");

            let mut harness = restarted_harness();
            follow(&mut harness, route, number, whole, Some(outdated));
            assert!(is_used(&mut harness), "{case}");
            // What the same discovery tells of the present process counts.
            let next = number.max(TOLD_VERSION) + 1;
            let draining = entry_started_at("draining", harness.now);
            write_version(&mut harness, next, false, vec![draining]);
            assert!(!is_used(&mut harness), "{case}: drained");
        }
    }
}

/// An entry without a start time, or with 0, may be about the present process, however short ago that started.
#[test]
fn a_withdrawal_that_tells_no_start_counts_for_a_restarted_server() {
    for health in ["draining", "gone"] {
        for without_start in [json!(0), Value::Null] {
            let mut harness = harness_with_watch(entry("ready"));
            let restarted = entry_started_at("ready", harness.now - 30.0);
            write_version(&mut harness, TOLD_VERSION, false, vec![restarted]);
            assert!(is_used(&mut harness));
            let mut withdrawn = entry(health);
            withdrawn["born_ms"] = without_start;
            write_version(&mut harness, TOLD_VERSION + 1, false, vec![withdrawn]);
            assert!(!is_used(&mut harness), "{health}");
        }
    }
}

/// Establishes a call at the changed server, ends those that went elsewhere, and returns its leg.
fn establish_call_at_changed_server(harness: &mut Harness) -> usize {
    let clients: Vec<usize> = (0..4 * SERVERS).map(|_| harness.start_call("feed")).collect();
    let at_changed_server = |(_, leg): &(&usize, &Leg)| leg.port == 9000 + CHANGED_SERVER;
    let leg = *harness.legs.iter().find(at_changed_server).expect("a call at the changed server").0;
    harness.connect_leg(leg);
    harness.server_sends(leg, "UP 1\r\n");
    let Some(Endpoint::Client(client)) = harness.reducer.client_of(leg) else { panic!("no client") };
    for other in clients.into_iter().filter(|other| *other != client) {
        harness.deliver(Event::Closed(Endpoint::Client(other), CloseKind::Graceful));
    }
    leg
}

/// How the proxy is told that the changed server is removed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Removal {
    /// A change names it as gone.
    Named,
    /// A change names it as gone after it was draining.
    NamedAfterDrain,
    /// A whole list leaves it out.
    LeftOut,
}

const REMOVALS: [Removal; 3] = [Removal::Named, Removal::NamedAfterDrain, Removal::LeftOut];

/// A harness whose proxy was told that the changed server, with this entry before, is removed.
fn harness_after_removal(removal: Removal, ready: Value) -> Harness {
    let mut harness = harness_with_watch(ready.clone());
    let with_health = |health: &str| {
        let mut entry = ready.clone();
        entry["health"] = json!(health);
        vec![entry]
    };
    if removal == Removal::NamedAfterDrain {
        write_version(&mut harness, TOLD_VERSION - 1, false, with_health("draining"));
    }
    match removal {
        Removal::LeftOut => write_version(&mut harness, TOLD_VERSION, true, whole_list(None)),
        _ => write_version(&mut harness, TOLD_VERSION, false, with_health("gone")),
    }
    assert!(!is_used(&mut harness), "{removal:?}");
    harness
}

/// A server that the proxy was told is gone was listed again by a discovery that was behind, and sent calls.
#[test]
fn a_list_that_is_behind_brings_no_removed_server_back() {
    for removal in REMOVALS {
        for (route, number, whole) in outdated_versions() {
            for ready in [entry("ready"), entry_started_at("ready", 900.0)] {
                let case = format!("{removal:?}, {route:?}, version {number}, whole: {whole}, {ready}");
                let mut harness = harness_after_removal(removal, ready.clone());
                follow(&mut harness, route, number, whole, Some(ready.clone()));
                assert!(!is_used(&mut harness), "{case}: used at once");
                pass_time(&mut harness, 30.0);
                assert!(!is_used(&mut harness), "{case}: used after 30 s");
                assert_eq!(harness.reducer.violations(), 0, "{case}");
            }
        }
    }
}

/// A server that was removed and did come back is used again at once, or at the latest after the time by which a list can
/// be behind.
#[test]
fn a_removed_server_that_came_back_is_used_again() {
    for removal in REMOVALS {
        for (route, number, whole) in outdated_versions() {
            let case = format!("{removal:?}, {route:?}, version {number}, whole: {whole}");
            let removed_harness = |listed: Option<Value>| {
                let mut harness = harness_after_removal(removal, entry("ready"));
                follow(&mut harness, route, number, whole, listed);
                harness
            };
            // A change that is ignored leaves the watch at the version held.
            let next = number.max(TOLD_VERSION) + 1;

            let mut harness = removed_harness(Some(entry("ready")));
            let restarted = entry_started_at("ready", harness.now);
            write_version(&mut harness, next, false, vec![restarted]);
            assert!(is_used(&mut harness), "{case}: restarted");

            let mut harness = removed_harness(Some(entry("ready")));
            write_version(&mut harness, next, false, vec![entry("gone")]);
            write_version(&mut harness, next + 1, false, vec![entry("ready")]);
            assert!(is_used(&mut harness), "{case}: removed and listed by the same discovery");

            let mut harness = removed_harness(Some(entry("ready")));
            write_version(&mut harness, next, false, vec![entry("ready")]);
            assert!(is_used(&mut harness), "{case}: named by a later change");

            if whole {
                let mut harness = removed_harness(None);
                write_version(&mut harness, next, true, whole_list(Some(entry("ready"))));
                assert!(is_used(&mut harness), "{case}: the later list has it, the one before did not");

                let mut harness = removed_harness(Some(entry("ready")));
                pass_time(&mut harness, MAX_LAG_SECONDS + 1.0);
                assert!(is_used(&mut harness), "{case}: after the time by which a list can be behind");
                assert_eq!(harness.reducer.status(harness.now)["hold_downs"], 0, "{case}");
            }
        }
    }
}

/// On one watch, the list says that most servers are gone, and a later one has them again.
#[test]
fn servers_that_a_wrong_list_left_out_are_used_as_soon_as_the_watch_lists_them_again() {
    for wrong_list in [whole_list(None), vec![host_entry(0, "ready")], vec![]] {
        let mut harness = harness_with_watch(entry("ready"));
        write_version(&mut harness, TOLD_VERSION, true, wrong_list);
        pass_time(&mut harness, 8.0);
        write_version(&mut harness, TOLD_VERSION + 1, true, whole_list(Some(entry("ready"))));
        assert!(is_used(&mut harness));
    }
}

/// A discovery that counts anew has not heard of all servers when it is asked first.
#[test]
fn servers_that_a_discovery_has_not_heard_of_yet_are_used_as_soon_as_it_lists_them() {
    for is_watch_lost in [false, true] {
        for route in ROUTES {
            let mut harness = harness_with_watch(entry("ready"));
            follow(&mut harness, route, 1, true, None);
            assert!(!is_used(&mut harness));
            if is_watch_lost {
                harness.deliver(Event::WatchLost);
                harness.advance(2.0);
                harness.open_watch(&server_list(2, true, whole_list(Some(entry("ready")))).to_string());
            } else {
                write_version(&mut harness, 2, false, vec![entry("ready")]);
            }
            assert!(is_used(&mut harness), "{route:?}, watch lost: {is_watch_lost}");
        }
    }
}

/// What is kept of removed servers is bounded, however many come and go, and is given up in time.
#[test]
fn what_is_kept_of_removed_servers_is_bounded() {
    let mut harness = harness_with_watch(entry("ready"));
    for version in 0..4 {
        let named = |n: usize| {
            let mut entry = host_entry(n, "ready");
            entry["host"] = json!(format!("s-{version}-{n}"));
            entry
        };
        let hosts: Vec<Value> = (0..6000).map(named).collect();
        write_version(&mut harness, TOLD_VERSION + version, true, hosts);
    }
    let count = |harness: &Harness| harness.reducer.status(harness.now)["hold_downs"].as_u64().unwrap();
    assert!((12_000..=16_384).contains(&count(&harness)), "{} are kept", count(&harness));
    pass_time(&mut harness, MAX_LAG_SECONDS + 1.0);
    assert_eq!(count(&harness), 0);
}

/// A successor took the list that its predecessor had from a discovery that was behind, and sent calls to servers that the
/// predecessor had been told are draining or gone.
#[test]
fn a_successor_holds_down_what_its_predecessor_held_down() {
    for (route, number, whole) in outdated_versions() {
        let case = format!("{route:?}, version {number}, whole: {whole}");
        let mut drained = harness_with_watch(entry("ready"));
        write_version(&mut drained, TOLD_VERSION, false, vec![entry("draining")]);
        for mut harness in [drained, harness_after_removal(Removal::Named, entry("ready"))] {
            follow(&mut harness, route, number, whole, Some(entry("ready")));
            pass_time(&mut harness, 10.0);
            let next = number.max(TOLD_VERSION) + 1;
            let mut successor = successor_of(&successor_of(&harness));
            assert!(!is_used(&mut successor), "{case}: used at once");
            successor.open_watch(&server_list(next, true, whole_list(Some(entry("ready")))).to_string());
            assert!(!is_used(&mut successor), "{case}: used after a whole list");
            pass_time(&mut successor, 30.0);
            assert!(!is_used(&mut successor), "{case}: used after 40 s");
            pass_time(&mut successor, MAX_LAG_SECONDS - 30.0);
            assert!(is_used(&mut successor), "{case}: after the time by which a list can be behind");

            let mut successor = successor_of(&harness);
            let restarted = entry_started_at("ready", successor.now);
            successor.open_watch(&server_list(next, false, vec![restarted]).to_string());
            assert!(is_used(&mut successor), "{case}: restarted");
        }
    }
}

/// A successor with another discovery asked that for the changes since the version of its predecessor's discovery.
#[test]
fn a_successor_asks_another_discovery_for_the_whole_list() {
    let mut harness = harness_with_watch(entry("ready"));
    write_version(&mut harness, TOLD_VERSION, false, vec![entry("draining")]);
    harness.deliver(Event::Reconfigured(discovery_address(2), 256));
    harness.open_watch(&server_list(TOLD_VERSION, true, whole_list(Some(entry("draining")))).to_string());
    // Its configuration names the address of the first discovery.
    let mut successor = successor_of(&harness);
    assert_eq!(successor.watch_requests.last(), Some(&(discovery_address(1), 0)));
    successor.open_watch(&server_list(TOLD_VERSION + 1, false, vec![entry("ready")]).to_string());
    assert!(!is_used(&mut successor), "the change of a discovery that may be behind");
}

/// State of another build, or damaged state, holds down what can be read of it, and for no longer than usual.
#[test]
fn handed_over_withdrawals_are_imported_only_as_far_as_they_are_valid() {
    let mut harness = harness_with_watch(entry("ready"));
    write_version(&mut harness, TOLD_VERSION, false, vec![entry("gone")]);
    let exported = harness.reducer.export_state(harness.now);
    for (withdrawn, hold_down_count) in [
        (Value::Null, 0),
        (json!("x"), 0),
        (json!([{"server": -1}, 7, exported["withdrawn"][0]]), 1),
        (json!([with_end(&exported, json!(1e300))]), 1),
        (json!([with_end(&exported, Value::Null)]), 1),
        (json!([with_end(&exported, json!(-1e300))]), 0),
    ] {
        let mut state = exported.clone();
        state["withdrawn"] = withdrawn.clone();
        let state = handover_state::decode(&state).expect("the state has the supported version");
        let mut successor = Harness::start_at(harness.now, 7, &settings(), 256, state.list.clone());
        successor.reducer.import_state(successor.now, &state);
        successor.advance(0.5);
        successor.open_watch("");
        let count = |successor: &Harness| successor.reducer.status(successor.now)["hold_downs"].clone();
        assert_eq!(count(&successor), hold_down_count, "{withdrawn}");
        pass_time(&mut successor, MAX_LAG_SECONDS);
        assert_eq!(count(&successor), 0, "{withdrawn}");
    }
}

/// The first withdrawn server of the state, with this time until its hold-down ends.
fn with_end(exported: &Value, ends_in: Value) -> Value {
    let mut withdrawn = exported["withdrawn"][0].clone();
    withdrawn["ends_in"] = ends_in;
    withdrawn
}

/// The list of a discovery that counted anew and had heard of no server yet was ignored, as were the changes that followed it,
/// drains among them, until its number had passed the old one.
#[test]
fn changes_after_an_empty_list_of_a_discovery_that_counts_anew_are_applied() {
    for watch_is_lost in [false, true] {
        let mut harness = harness_with_watch(entry("ready"));
        if watch_is_lost {
            harness.deliver(Event::WatchLost);
            harness.advance(2.0);
            harness.open_watch(&server_list(0, true, vec![]).to_string());
        } else {
            write_version(&mut harness, 0, true, vec![]);
        }
        assert!(is_used(&mut harness), "the list held stays");
        write_version(&mut harness, 1, false, vec![entry("draining")]);
        assert!(!is_used(&mut harness));
        // On that count, an earlier change is ignored.
        write_version(&mut harness, 1, false, vec![entry("ready")]);
        assert!(!is_used(&mut harness));
        let restarted = entry_started_at("ready", harness.now);
        write_version(&mut harness, 2, false, vec![restarted]);
        assert!(is_used(&mut harness));
    }
}

/// The time for which a removed server is held down began at the first removal, although a later list removed it again.
#[test]
fn a_server_that_is_removed_again_is_held_down_anew() {
    for removal in REMOVALS {
        let mut harness = harness_after_removal(removal, entry("ready"));
        for (version, listed) in [(30, Some(entry("ready"))), (20, None), (10, Some(entry("ready")))] {
            follow(&mut harness, Route::NewDiscovery, version, true, listed);
            pass_time(&mut harness, 0.4 * MAX_LAG_SECONDS);
        }
        pass_time(&mut harness, 0.1 * MAX_LAG_SECONDS);
        assert!(!is_used(&mut harness), "{removal:?}: 0.9 of the time after the second removal");
        pass_time(&mut harness, 0.2 * MAX_LAG_SECONDS);
        assert!(is_used(&mut harness), "{removal:?}: 1.1 of it");
    }
}

/// Timers are kept in whole microseconds. One that was due less than a microsecond before the end of a hold-down was set again
/// for the same moment, for ever.
#[test]
fn the_end_of_a_hold_down_is_found_when_its_timer_is_due_shortly_before() {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut harness = harness_with_watch(entry("ready"));
        harness.advance(0.0000005);
        write_version(&mut harness, TOLD_VERSION, false, vec![entry("gone")]);
        let until = harness.now + MAX_LAG_SECONDS;
        pass_time(&mut harness, MAX_LAG_SECONDS - 0.5);
        harness.now = until - 0.0000003;
        harness.deliver(Event::Tick);
        harness.advance(0.01);
        sender.send(harness.reducer.status(harness.now)["hold_downs"].clone()).unwrap();
    });
    let hold_downs = receiver.recv_timeout(std::time::Duration::from_secs(20));
    assert_eq!(hold_downs, Ok(json!(0)), "the step does not end");
}
