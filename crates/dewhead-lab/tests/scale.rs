//! Tests of the claims behind docs/CAPACITY.md, and of plans, targets and fits. The shipped control code of some
//! proxies is fed by a model of discovery; lines, bytes, entries and allocations are counted instead of time, so that
//! the outcome is the same in every run. Each claim is also shown to fail when a fault is planted in the model.

use dewhead_lab::scale::stub_proxy::scale_settings;
use dewhead_lab::scale::{capacity, fit, plan::Plan};
use dewhead_proxy::reducer::{Effect, Event, Reducer};
use dewhead_startup::Startup;
use serde_json::{json, Value};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::net::SocketAddr;

/// Counts allocations and allocated bytes of each thread.
struct CountingAllocator;

thread_local! {
    static ALLOCATIONS_AND_BYTES: Cell<(u64, u64)> = const { Cell::new((0, 0)) };
}

// Passes every call on to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = ALLOCATIONS_AND_BYTES.try_with(|a| a.set((a.get().0 + 1, a.get().1 + layout.size() as u64)));
        System.alloc(layout)
    }
    unsafe fn dealloc(&self, address: *mut u8, layout: Layout) {
        System.dealloc(address, layout);
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// A fault planted in the model of discovery.
#[derive(Clone, Copy, PartialEq)]
enum PlantedFault {
    None,
    /// Each change is sent as the full list.
    FullListForChange,
    /// A proxy that reconnects gets the full list instead of the changes since its version.
    FullListForReconnect,
    /// Each change is sent to each proxy as often as there are proxies.
    DuplicateLines,
}

/// Proxies and a model of the discovery service that they watch.
struct Fleet {
    proxies: Vec<Reducer>,
    /// Name, health and version of the last change of each server.
    servers: Vec<(String, &'static str, u64)>,
    version: u64,
    fault: PlantedFault,
    now: f64,
    /// Counts since the last reset: lines and bytes sent, entries in them, allocations and allocated bytes in the
    /// proxies' steps.
    lines: u64,
    bytes: u64,
    entries: u64,
    allocations: u64,
    allocated: u64,
}

impl Fleet {
    fn new(proxies: usize, servers: usize, fault: PlantedFault) -> Fleet {
        let discovery = SocketAddr::from(([127, 0, 0, 1], 8500));
        let reducers = (0..proxies).map(|n| {
            let startup = Startup::parse(&scale_settings(n, proxies).unwrap()).unwrap();
            Reducer::new(1000.0, startup, n as u128, discovery, 256, &Value::Null)
        });
        let named_servers = (0..servers).map(|n| (format!("s-{n:08x}"), "ready", 1));
        let mut fleet = Fleet {
            proxies: reducers.collect(),
            servers: named_servers.collect(),
            version: 1,
            fault,
            now: 1000.0,
            lines: 0,
            bytes: 0,
            entries: 0,
            allocations: 0,
            allocated: 0,
        };
        (0..proxies).for_each(|i| fleet.answer_watch(i));
        fleet
    }

    /// Sets the counts to zero.
    fn reset(&mut self) {
        (self.lines, self.bytes, self.entries, self.allocations, self.allocated) = (0, 0, 0, 0, 0);
    }

    /// Passes an event to a proxy and counts what it allocates.
    fn step(&mut self, i: usize, event: Event) {
        let before = ALLOCATIONS_AND_BYTES.get();
        self.proxies[i].step(self.now, event);
        let after = ALLOCATIONS_AND_BYTES.get();
        self.allocations += after.0 - before.0;
        self.allocated += after.1 - before.1;
    }

    /// A line of the watch with the full list or the servers changed after a version, and its number of entries.
    fn line(&self, since: u64, full: bool) -> (String, u64) {
        let hosts: Vec<Value> = self
            .servers
            .iter()
            .filter(|(_, _, changed)| full || *changed > since)
            .map(|(name, health, _)| {
                json!({"host": name, "dial": "127.0.0.1:9000", "site": "a", "class": "m", "block": 1, "health": health,
                       "share": 1.0, "born_ms": 0})
            })
            .collect();
        let entries = hosts.len() as u64;
        (json!({"seq": self.version, "whole": full, "hosts": hosts}).to_string() + "\n", entries)
    }

    /// Sends a line to a proxy and counts it.
    fn write(&mut self, i: usize, (line, entries): &(String, u64)) {
        self.lines += 1;
        self.bytes += line.len() as u64;
        self.entries += entries;
        self.step(i, Event::WatchBytes(line.as_bytes()));
    }

    /// Answers the watch that a proxy has opened, from the version that it names.
    fn answer_watch(&mut self, i: usize) {
        let since_version = self.proxies[i].take_effects().into_iter().find_map(|e| match e {
            Effect::OpenWatch(_, since) => Some(since),
            _ => None,
        });
        let since = since_version.expect("the proxy opens a watch");
        self.step(i, Event::WatchOpened);
        self.step(i, Event::WatchBytes(b"HTTP/1.1 200 OK\r\n\r\n"));
        let full = since == 0 || self.fault == PlantedFault::FullListForReconnect;
        let line = self.line(since, full);
        self.write(i, &line);
    }

    /// Toggles a server between ready and draining and sends the change to all proxies.
    fn change(&mut self, server: usize) {
        self.version += 1;
        let entry = &mut self.servers[server];
        entry.1 = if entry.1 == "ready" { "draining" } else { "ready" };
        entry.2 = self.version;
        let line = self.line(self.version - 1, self.fault == PlantedFault::FullListForChange);
        let copies = if self.fault == PlantedFault::DuplicateLines { self.proxies.len() } else { 1 };
        for i in 0..self.proxies.len() {
            (0..copies).for_each(|_| self.write(i, &line));
        }
    }

    /// Each proxy loses its watch and opens a new one.
    fn reconnect_all(&mut self) {
        for i in 0..self.proxies.len() {
            self.step(i, Event::WatchLost);
            // 10 s is longer than any pause before a reconnect.
            self.proxies[i].set_poll_times(self.now + 10.0, 0.0);
            self.proxies[i].step(self.now + 10.0, Event::Tick);
            self.answer_watch(i);
        }
        self.now += 10.0;
    }

    /// Whether every proxy has the current version of the list.
    fn all_up_to_date(&self) -> bool {
        self.proxies.iter().all(|p| p.list_version() == self.version)
    }
}

/// Lines, bytes, entries and allocations per proxy and change.
fn cost_per_change(proxies: usize, servers: usize, fault: PlantedFault) -> (f64, f64, f64, f64) {
    let mut fleet = Fleet::new(proxies, servers, fault);
    fleet.change(0);
    fleet.reset();
    (0..8).for_each(|n| fleet.change(n % servers));
    assert!(fleet.all_up_to_date());
    let proxy_changes = 8.0 * proxies as f64;
    let costs =
        [fleet.lines, fleet.bytes, fleet.entries, fleet.allocations].map(|x| x as f64 / proxy_changes);
    (costs[0], costs[1], costs[2], costs[3])
}

/// Whether the number of lines per proxy and change grows with the number of proxies.
fn cost_grows_with_proxies(fault: PlantedFault) -> bool {
    cost_per_change(40, 50, fault).0 > cost_per_change(4, 50, fault).0
}

/// Whether bytes, entries or allocations per change grow with the length of the list.
fn cost_grows_with_servers(fault: PlantedFault) -> bool {
    let (small, large) = (cost_per_change(4, 50, fault), cost_per_change(4, 2000, fault));
    large.1 > 1.2 * small.1 || large.2 > small.2 || large.3 > 1.5 * small.3 + 4.0
}

/// Whether a reconnect costs more than the entries that changed while the proxy was disconnected.
fn reconnect_costs_full_list(fault: PlantedFault) -> bool {
    let mut fleet = Fleet::new(4, 500, fault);
    fleet.change(3);
    fleet.reconnect_all();
    fleet.reset();
    // Two servers change while no proxy is connected.
    let version_before = fleet.version;
    fleet.servers[1] = (fleet.servers[1].0.clone(), "draining", version_before + 1);
    fleet.servers[2] = (fleet.servers[2].0.clone(), "draining", version_before + 2);
    fleet.version = version_before + 2;
    fleet.reconnect_all();
    assert!(fleet.all_up_to_date());
    fleet.entries > 2 * 4
}

#[test]
fn cost_of_a_change_per_proxy_is_independent_of_the_number_of_proxies() {
    assert!(!cost_grows_with_proxies(PlantedFault::None));
    assert!(cost_grows_with_proxies(PlantedFault::DuplicateLines), "the planted fault is not detected");
}

#[test]
fn cost_of_a_change_is_independent_of_the_number_of_servers() {
    println!(
        "{:?} {:?}",
        cost_per_change(4, 50, PlantedFault::None),
        cost_per_change(4, 2000, PlantedFault::None)
    );
    assert!(!cost_grows_with_servers(PlantedFault::None));
    assert!(cost_grows_with_servers(PlantedFault::FullListForChange), "the planted fault is not detected");
}

#[test]
fn cost_of_a_reconnect_depends_on_the_missed_changes() {
    assert!(!reconnect_costs_full_list(PlantedFault::None));
    assert!(
        reconnect_costs_full_list(PlantedFault::FullListForReconnect),
        "the planted fault is not detected"
    );
}

/// Ten times the servers cost about ten times the allocations and bytes.
#[test]
fn allocations_for_a_full_list_are_linear_in_its_length() {
    let first_list = |servers: usize| {
        let fleet = Fleet::new(1, servers, PlantedFault::None);
        (fleet.allocations as f64, fleet.allocated as f64)
    };
    let (small, large) = (first_list(200), first_list(2000));
    println!("{small:?} {large:?}");
    assert!(large.0 < 11.0 * small.0 && large.1 < 13.0 * small.1, "{small:?}, {large:?}");
}

/// Reads a file of the repository.
fn read_repository_file(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn the_shipped_plan_parses_and_errors_name_the_key() {
    let text = read_repository_file("scale/fleet.toml");
    let plan = Plan::parse(&text).unwrap();
    let runs = plan.runs();
    assert!(runs.len() > 20 && runs.iter().filter(|(_, trouble)| trouble.is_some()).count() == 4);
    for (from, to, key) in [
        ("seconds = 4.0", "seconds = 0.0", "seconds"),
        ("processes = 3", "processes = 0", "processes"),
        ("real = 2", "unreal = 2", "unreal"),
        ("servers = 3000", "servers = 3000000", "largest.servers"),
        ("troubles = [", "troubles = [\"none-such\", ", "troubles[0]"),
    ] {
        let error = Plan::parse(&text.replace(from, to)).unwrap_err();
        assert!(error.contains(key) && !error.contains('\n'), "{to}: {error}");
    }
}

/// Guards against a table in docs/CAPACITY.md that no longer matches the stored results and targets.
#[test]
fn the_capacity_page_holds_the_table_of_the_stored_results() {
    let table = capacity::capacity_table(
        &read_repository_file("scale/results.jsonl"),
        &read_repository_file("scale/targets.toml"),
    )
    .unwrap();
    let page = read_repository_file("docs/CAPACITY.md");
    for line in table.lines() {
        assert!(page.contains(line), "docs/CAPACITY.md lacks this line of `dewhead-lab capacity`:\n{line}");
    }
}

#[test]
fn invalid_targets_and_results_are_reported() {
    let (results, targets) =
        (read_repository_file("scale/results.jsonl"), read_repository_file("scale/targets.toml"));
    let error =
        capacity::capacity_table(&results, &targets.replace("proxies = 7300", "proxies = 0")).unwrap_err();
    assert_eq!(error, "key 'proxies': is not above 0");
    let error = capacity::capacity_table(&results, &targets.replace("zones", "zonen")).unwrap_err();
    assert!(error.contains("zonen"), "{error}");
    let error = capacity::capacity_table("{}\nnone\n", &targets).err().unwrap();
    assert!(error.starts_with("line "), "{error}");
}

/// Figures on an exact line give the intercept and slope of that line.
#[test]
fn a_fit_recovers_an_exact_line() {
    let runs: Vec<_> = capacity::parse_results(&read_repository_file("scale/results.jsonl")).unwrap();
    let model = fit::COST_MODELS.iter().find(|m| m.name == "first list, bytes").unwrap();
    let mut exact = runs.clone();
    exact.iter_mut().for_each(|r| r.first_list_bytes = 7.0 + 3.0 * r.servers);
    let line = model.fit(exact.iter()).unwrap();
    assert!((line.intercept.0 - 7.0).abs() < 1e-3 && (line.slopes[0].0 - 3.0).abs() < 1e-6, "{line:?}");
    assert!((line.predict(&[1000.0]) - 3007.0).abs() < 1e-2);
}
