//! What the capacity page rests on, counted by work alone: no time, and the same verdict each time. The shipped control code of
//! some proxies against a list kept here; each claim is shown to fail on a planted fault.

use dewhead_lab::scale::stub_proxy::scale_settings;
use dewhead_lab::scale::{capacity, fit, plan::Plan};
use dewhead_proxy::reducer::{Effect, Event, Reducer};
use dewhead_startup::Startup;
use serde_json::{json, Value};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::net::SocketAddr;

/// Counts what each thread allocates.
struct Counting;

thread_local! {
    static ALLOCATED: Cell<(u64, u64)> = const { Cell::new((0, 0)) };
}

// Hands everything on to the system's own, and counts.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = ALLOCATED.try_with(|a| a.set((a.get().0 + 1, a.get().1 + layout.size() as u64)));
        System.alloc(layout)
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        System.dealloc(at, layout);
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// A fault planted in the stand-in, or none.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Each change is written as the whole list.
    WholeForChange,
    /// What changed since a version is not looked for: whoever comes back gets all.
    WholeForReturn,
    /// Each proxy is told of each change as often as there are proxies.
    Echoes,
}

struct Fleet {
    proxies: Vec<Reducer>,
    servers: Vec<(String, &'static str, u64)>,
    version: u64,
    fault: Fault,
    now: f64,
    /// Since counted: lines and bytes written, entries in them, allocations and their bytes in proxies' steps.
    lines: u64,
    bytes: u64,
    entries: u64,
    allocations: u64,
    allocated: u64,
}

impl Fleet {
    fn new(proxies: usize, servers: usize, fault: Fault) -> Fleet {
        let at = SocketAddr::from(([127, 0, 0, 1], 8500));
        let made = (0..proxies).map(|n| {
            let startup = Startup::read(&scale_settings(n, proxies).unwrap()).unwrap();
            Reducer::new(1000.0, startup, n as u128, at, 256, &Value::Null)
        });
        let named = (0..servers).map(|n| (format!("s-{n:08x}"), "ready", 1));
        let mut fleet = Fleet {
            proxies: made.collect(),
            servers: named.collect(),
            version: 1,
            fault,
            now: 1000.0,
            lines: 0,
            bytes: 0,
            entries: 0,
            allocations: 0,
            allocated: 0,
        };
        (0..proxies).for_each(|at| fleet.open(at));
        fleet
    }

    fn reset(&mut self) {
        (self.lines, self.bytes, self.entries, self.allocations, self.allocated) = (0, 0, 0, 0, 0);
    }

    fn step(&mut self, at: usize, event: Event) {
        let before = ALLOCATED.get();
        self.proxies[at].step(self.now, event);
        let after = ALLOCATED.get();
        self.allocations += after.0 - before.0;
        self.allocated += after.1 - before.1;
    }

    fn line(&self, since: u64, whole: bool) -> (String, u64) {
        let hosts: Vec<Value> = self
            .servers
            .iter()
            .filter(|(_, _, changed)| whole || *changed > since)
            .map(|(name, health, _)| {
                json!({"host": name, "dial": "127.0.0.1:9000", "site": "a", "class": "m", "block": 1, "health": health,
                       "share": 1.0, "born_ms": 0})
            })
            .collect();
        let entries = hosts.len() as u64;
        (json!({"seq": self.version, "whole": whole, "hosts": hosts}).to_string() + "\n", entries)
    }

    fn write(&mut self, at: usize, (line, entries): &(String, u64)) {
        self.lines += 1;
        self.bytes += line.len() as u64;
        self.entries += entries;
        self.step(at, Event::WatchBytes(line.as_bytes()));
    }

    /// Answers the call that the proxy has made, by the version that it names.
    fn open(&mut self, at: usize) {
        let asked = self.proxies[at].take_effects().into_iter().find_map(|e| match e {
            Effect::OpenWatch(_, since) => Some(since),
            _ => None,
        });
        let since = asked.expect("it asks");
        self.step(at, Event::WatchOpened);
        self.step(at, Event::WatchBytes(b"HTTP/1.1 200 OK\r\n\r\n"));
        let whole = since == 0 || self.fault == Fault::WholeForReturn;
        let line = self.line(since, whole);
        self.write(at, &line);
    }

    fn change(&mut self, server: usize) {
        self.version += 1;
        let entry = &mut self.servers[server];
        entry.1 = if entry.1 == "ready" { "draining" } else { "ready" };
        entry.2 = self.version;
        let line = self.line(self.version - 1, self.fault == Fault::WholeForChange);
        let times = if self.fault == Fault::Echoes { self.proxies.len() } else { 1 };
        for at in 0..self.proxies.len() {
            (0..times).for_each(|_| self.write(at, &line));
        }
    }

    /// Each proxy loses its watch and asks again.
    fn lose_all(&mut self) {
        for at in 0..self.proxies.len() {
            self.step(at, Event::WatchLost);
            // Long past any pause.
            self.proxies[at].set_poll_times(self.now + 10.0, 0.0);
            self.proxies[at].step(self.now + 10.0, Event::Tick);
            self.open(at);
        }
        self.now += 10.0;
    }

    fn all_hold(&self) -> bool {
        self.proxies.iter().all(|p| p.list_version() == self.version)
    }
}

/// A proxy's lines, bytes and entries for one change.
fn a_change(proxies: usize, servers: usize, fault: Fault) -> (f64, f64, f64, f64) {
    let mut fleet = Fleet::new(proxies, servers, fault);
    fleet.change(0);
    fleet.reset();
    (0..8).for_each(|n| fleet.change(n % servers));
    assert!(fleet.all_hold());
    let each = 8.0 * proxies as f64;
    let all = [fleet.lines, fleet.bytes, fleet.entries, fleet.allocations].map(|x| x as f64 / each);
    (all[0], all[1], all[2], all[3])
}

/// Claim: what a change costs a proxy does not grow with the number of proxies.
fn grows_with_proxies(fault: Fault) -> bool {
    a_change(40, 50, fault).0 > a_change(4, 50, fault).0
}

/// Claim: a change costs what changed, not the whole list: bytes, entries and allocations.
fn grows_with_servers(fault: Fault) -> bool {
    let (few, many) = (a_change(4, 50, fault), a_change(4, 2000, fault));
    many.1 > 1.2 * few.1 || many.2 > few.2 || many.3 > 1.5 * few.3 + 4.0
}

/// Claim: a return costs what changed meanwhile.
fn a_return_costs_the_list(fault: Fault) -> bool {
    let mut fleet = Fleet::new(4, 500, fault);
    fleet.change(3);
    fleet.lose_all();
    fleet.reset();
    // Two servers change while nobody follows.
    let held = fleet.version;
    fleet.servers[1] = (fleet.servers[1].0.clone(), "draining", held + 1);
    fleet.servers[2] = (fleet.servers[2].0.clone(), "draining", held + 2);
    fleet.version = held + 2;
    fleet.lose_all();
    assert!(fleet.all_hold());
    fleet.entries > 2 * 4
}

#[test]
fn a_change_costs_each_proxy_the_same_however_many_there_are() {
    assert!(!grows_with_proxies(Fault::None));
    assert!(grows_with_proxies(Fault::Echoes), "the planted fault is found");
}

#[test]
fn a_change_costs_what_changed_however_many_servers_there_are() {
    println!("{:?} {:?}", a_change(4, 50, Fault::None), a_change(4, 2000, Fault::None));
    assert!(!grows_with_servers(Fault::None));
    assert!(grows_with_servers(Fault::WholeForChange), "the planted fault is found");
}

#[test]
fn a_return_costs_what_changed_meanwhile() {
    assert!(!a_return_costs_the_list(Fault::None));
    assert!(a_return_costs_the_list(Fault::WholeForReturn), "the planted fault is found");
}

/// What a proxy allocates for a whole list grows evenly with it: ten times the servers, ten times the bytes.
#[test]
fn a_whole_list_costs_evenly() {
    let first = |servers: usize| {
        let fleet = Fleet::new(1, servers, Fault::None);
        (fleet.allocations as f64, fleet.allocated as f64)
    };
    let (few, many) = (first(200), first(2000));
    println!("{few:?} {many:?}");
    assert!(many.0 < 11.0 * few.0 && many.1 < 13.0 * few.1, "{few:?}, {many:?}");
}

fn shipped(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../../{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn a_plan_is_read_or_its_key_is_named() {
    let text = shipped("scale/fleet.toml");
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
        let fault = Plan::parse(&text.replace(from, to)).unwrap_err();
        assert!(fault.contains(key) && !fault.contains('\n'), "{to}: {fault}");
    }
}

/// The page's table is the one that the kept results and targets give.
#[test]
fn the_page_holds_what_the_kept_results_say() {
    let table =
        capacity::capacity_table(&shipped("scale/results.jsonl"), &shipped("scale/targets.toml")).unwrap();
    let page = shipped("docs/CAPACITY.md");
    for line in table.lines() {
        assert!(page.contains(line), "docs/CAPACITY.md lacks this line of `dewhead-lab capacity`:\n{line}");
    }
}

#[test]
fn targets_and_results_that_can_not_be_meant_are_named() {
    let (results, targets) = (shipped("scale/results.jsonl"), shipped("scale/targets.toml"));
    let fault =
        capacity::capacity_table(&results, &targets.replace("proxies = 7300", "proxies = 0")).unwrap_err();
    assert_eq!(fault, "key 'proxies': is not above 0");
    let fault = capacity::capacity_table(&results, &targets.replace("zones", "zonen")).unwrap_err();
    assert!(fault.contains("zonen"), "{fault}");
    let fault = capacity::capacity_table("{}\nnone\n", &targets).err().unwrap();
    assert!(fault.starts_with("line "), "{fault}");
}

/// A line through figures that lie on one gives that line back.
#[test]
fn a_fit_gives_a_line_back() {
    let runs: Vec<_> = capacity::parse_results(&shipped("scale/results.jsonl")).unwrap();
    let term = fit::COST_MODELS.iter().find(|t| t.name == "first list, bytes").unwrap();
    let mut straight = runs.clone();
    straight.iter_mut().for_each(|t| t.first_list_bytes = 7.0 + 3.0 * t.servers);
    let line = term.fit(straight.iter()).unwrap();
    assert!((line.intercept.0 - 7.0).abs() < 1e-3 && (line.slopes[0].0 - 3.0).abs() < 1e-6, "{line:?}");
    assert!((line.predict(&[1000.0]) - 3007.0).abs() < 1e-2);
}
