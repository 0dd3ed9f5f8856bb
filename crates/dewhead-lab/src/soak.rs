//! The soak: days on real processes in which two or three troubles overlap and system calls fail, drawn from a seed and
//! judged by the auditor, by the proxies' own guard and by what is left over.

use crate::sockets::{FaultInjection, LaunchOptions, SocketHost};
use dewhead_faults::plan::{ClockStep, Plan};
use dewhead_world::audit::Violation;
use dewhead_world::experiment::{Experiment, Trouble};
use dewhead_world::random::{RandomStream, StreamPurpose};
use std::path::{Path, PathBuf};

/// Kinds that mean something to a fleet of processes on loopback.
const KINDS: &[&str] = &[
    "restart-stop",
    "restart-kill",
    "reconfigure",
    "drain",
    "node-restart",
    "node-silent",
    "fast-errors",
    "bad-clients",
    "reconnect",
    "discovery-silent",
    "discovery-restart",
    "discovery-late",
    "zone-cut",
    "slow-network",
    "handover",
];
/// What a day has one of besides, drawn apart from the others: signals in series, a stop that meets a handover, resets.
const SIGNALS_AND_RESETS: &[&str] = &["signal-series", "handover-stop", "resets"];
/// The part of the days that have an idle crowd; how many come to a proxy; and the descriptors that it has then.
const CROWDED_DAYS: f64 = 1.0 / 3.0;
const CROWD: [f64; 2] = [300.0, 1200.0];
const CROWDED_DESCRIPTORS: usize = 1024;
/// Seconds between the lines of a client, and the most of them that go on writing after `MOVE`.
const LINE_EVERY: [f64; 2] = [0.1, 0.5];
const MOST_LINGERING: f64 = 0.5;
/// Troubles of a day, at the least and at the most; they begin within `OVERLAP` seconds of each other.
const FEWEST: usize = 2;
const MOST: usize = 3;
const OVERLAP: f64 = 3.0;
/// When the first begins, in seconds from the start.
const BEGINS: [f64; 2] = [4.0, 6.0];
const HOUR: f64 = 3600.0;
/// A lab later than this, in seconds, may take its own delay for the proxies'.
const MOST_LATE: f64 = 0.2;
/// What the proxies' guard writes for a broken promise.
const VIOLATION: &str = "invariant violated";
/// What a process that ends by a panic writes.
const PANIC: &str = "panicked at";

/// A day to be soaked.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub experiment: Experiment,
    pub fault_plan: Plan,
}

/// How large the days are.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioSize {
    pub proxies: usize,
    pub nodes: usize,
    pub seconds: f64,
}

/// What one day came to.
#[derive(Debug)]
pub struct SoakResult {
    pub seed: u64,
    pub troubles: Vec<String>,
    pub fault_plan: Plan,
    pub service: f64,
    pub completed: u64,
    pub unanswered: u64,
    pub violations: Vec<Violation>,
    /// Processes that ended badly, and lines of the proxies' logs that tell of a broken promise or a panic.
    pub process_failures: Vec<String>,
    /// By how much the lab itself came late at the worst, in seconds.
    pub lateness: f64,
}

impl SoakResult {
    /// Whether the lab came so late that what it saw may be its own doing.
    pub fn is_late(&self) -> bool {
        self.lateness > MOST_LATE
    }

    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.process_failures.is_empty()
    }
}

fn hundredths(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

fn trouble(chance: &mut RandomStream, kind: &str, begins: f64, seconds: f64) -> Trouble {
    let size = match kind {
        "bad-clients" => chance.uniform_in([10.0, 40.0]),
        "slow-network" | "discovery-late" | "signal-series" => chance.uniform_in([2.0, 8.0]),
        "idle-crowd" => chance.uniform_in(CROWD),
        _ => chance.uniform_in([1.0, 4.0]),
    };
    let part = match kind {
        "restart-stop" | "restart-kill" | "reconfigure" | "handover" | "signal-series" | "handover-stop" => {
            chance.uniform_in([0.3, 1.0])
        }
        _ => chance.uniform_in([0.2, 0.5]),
    };
    Trouble {
        kind: kind.to_owned(),
        at: hundredths(begins + chance.uniform_in([0.0, OVERLAP])),
        duration: hundredths(chance.uniform_in([1.0, seconds * 0.4])),
        fraction: hundredths(part),
        magnitude: hundredths(size),
        at_a_time: 1 + chance.index(3),
        zone: None,
        subject: None,
    }
}

/// What is drawn apart, so that the rest of a seed's day stays what it was.
fn add_signals_and_crowds(chance: &mut RandomStream, of: &mut Experiment, begins: f64) {
    of.clients.line_interval = hundredths(chance.uniform_in(LINE_EVERY));
    of.clients.ignore_move_share = hundredths(chance.uniform_in([0.0, MOST_LINGERING]));
    let kind = SIGNALS_AND_RESETS[chance.index(SIGNALS_AND_RESETS.len())];
    of.troubles.push(trouble(chance, kind, begins, of.seconds));
    if chance.uniform_in([0.0, 1.0]) < CROWDED_DAYS {
        of.proxy.sockets = CROWDED_DESCRIPTORS;
        of.troubles.push(trouble(chance, "idle-crowd", begins, of.seconds));
    }
}

/// Each fault is in one day of two, so that days differ in what meets.
fn plan(chance: &mut RandomStream, seed: u64, begins: f64) -> Plan {
    let drawn = |chance: &mut RandomStream, most: f64| {
        let happens = chance.uniform_in([0.0, 1.0]) < 0.5;
        if happens {
            hundredths(chance.uniform_in([0.01, most]))
        } else {
            0.0
        }
    };
    let (short, interrupt) = (drawn(chance, 0.4), drawn(chance, 0.2));
    let (accept, socket, connect, open) =
        (drawn(chance, 0.3), drawn(chance, 0.1), drawn(chance, 0.1), drawn(chance, 0.5));
    let by = [0.0, HOUR, -HOUR][chance.index(3)];
    let step = ClockStep { from: begins, by };
    let unreachable = drawn(chance, 1.0);
    Plan { seed, short, interrupt, accept, socket, connect, open, unreachable, step }
}

impl Scenario {
    /// The day that this seed draws.
    pub fn generate(size: ScenarioSize, seed: u64) -> Scenario {
        let mut chance = RandomStream::new(seed, StreamPurpose::Search, 0);
        let begins = hundredths(chance.uniform_in(BEGINS));
        let count = FEWEST + chance.index(MOST - FEWEST + 1);
        let mut of =
            Experiment { name: format!("soak-{seed}"), seconds: size.seconds, ..Experiment::default() };
        (of.fleet.proxies, of.fleet.nodes) = (size.proxies, size.nodes);
        of.load.utilisation = hundredths(chance.uniform_in([0.2, 0.4]));
        let mut kinds = KINDS.to_vec();
        while of.troubles.len() < count {
            let kind = kinds.remove(chance.index(kinds.len()));
            of.troubles.push(trouble(&mut chance, kind, begins, size.seconds));
        }
        let plan = plan(&mut chance, seed, begins);
        add_signals_and_crowds(&mut RandomStream::new(seed, StreamPurpose::Search, 1), &mut of, begins);
        Scenario { seed, experiment: of, fault_plan: plan }
    }

    /// Plays it on the proxy's binary; the logs of its processes go to this folder, which is emptied first.
    ///
    /// # Errors
    ///
    /// The lab's own: no binary, no ports, no folder, a proxy that does not start.
    pub fn run(&self, proxy: &Path, library: &Path, logs: &Path) -> Result<SoakResult, String> {
        let fault = |e: std::io::Error| format!("{}: {e}", logs.display());
        if logs.exists() {
            std::fs::remove_dir_all(logs).map_err(fault)?;
        }
        std::fs::create_dir_all(logs).map_err(fault)?;
        let faults = Some(FaultInjection { library: library.to_owned(), plan: self.fault_plan });
        let programs =
            LaunchOptions { proxy_binary: proxy.to_owned(), log_dir: Some(logs.to_owned()), faults };
        let mut host = SocketHost::new(&self.experiment, self.seed, programs)?;
        host.run(self.experiment.seconds, |_, _| {})?;
        let outcome = host.world.outcome();
        let verdict = SoakResult {
            seed: self.seed,
            troubles: self
                .experiment
                .troubles
                .iter()
                .map(|t| format!("{} at {} for {}", t.kind, t.at, t.duration))
                .collect(),
            fault_plan: self.fault_plan,
            service: outcome.service,
            completed: outcome.counts.completed,
            unanswered: outcome.counts.unanswered,
            violations: std::mem::take(&mut host.world.audit.violations),
            process_failures: std::mem::take(&mut host.crashes),
            lateness: host.lateness,
        };
        drop(host);
        let faults = verdict.process_failures.iter().cloned().chain(told_faults(logs)?).collect();
        Ok(SoakResult { process_failures: faults, ..verdict })
    }
}

/// What the processes' logs tell of broken promises and panics.
fn told_faults(logs: &Path) -> Result<Vec<String>, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", logs.display());
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(logs).map_err(fault)? {
        files.push(entry.map_err(fault)?.path());
    }
    files.sort();
    let mut found = Vec::new();
    for file in files {
        let text = std::fs::read(&file).map_err(fault)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let text = String::from_utf8_lossy(&text);
        let lines = text.lines().filter(|line| line.contains(VIOLATION) || line.contains(PANIC));
        found.extend(lines.map(|line| format!("{name}: {line}")));
    }
    Ok(found)
}
