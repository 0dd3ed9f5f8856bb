//! Soak tests: randomly drawn scenarios on real processes in which two or three troubles overlap and system calls fail.
//! The auditor, the proxies' own invariant checks and the exit status of the processes decide whether a run passes.

use crate::sockets::{FaultInjection, LaunchOptions, SocketHost};
use dewhead_faults::plan::{ClockStep, Plan};
use dewhead_world::audit::Violation;
use dewhead_world::experiment::{Experiment, Trouble};
use dewhead_world::random::{RandomStream, StreamPurpose};
use std::path::{Path, PathBuf};

/// Kinds of trouble that have an effect on processes on loopback.
const PROCESS_TROUBLE_KINDS: &[&str] = &[
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
/// Each scenario has one of these in addition, drawn from a separate random stream: a series of signals, a stop during
/// a handover, or connection resets.
const SIGNAL_AND_RESET_KINDS: &[&str] = &["signal-series", "handover-stop", "resets"];
/// The share of scenarios in which many clients stay connected without a request.
const IDLE_CROWD_SHARE: f64 = 1.0 / 3.0;
/// The range of the number of such clients at each proxy.
const IDLE_CROWD_CLIENTS: [f64; 2] = [300.0, 1200.0];
/// The proxies' limit of file descriptors in these scenarios.
const IDLE_CROWD_MAX_DESCRIPTORS: usize = 1024;
/// The range of the interval between the lines of a client, in seconds.
const LINE_INTERVAL: [f64; 2] = [0.1, 0.5];
/// The share of clients that go on writing after `MOVE`, at most.
const MAX_IGNORE_MOVE_SHARE: f64 = 0.5;
/// Limits of the number of overlapping troubles in a scenario.
const MIN_TROUBLES: usize = 2;
const MAX_TROUBLES: usize = 3;
/// All troubles of a scenario begin within this time, in seconds.
const TROUBLE_START_SPREAD: f64 = 3.0;
/// The range of the earliest start of a trouble, in seconds from the start of the run.
const FIRST_TROUBLE_START: [f64; 2] = [4.0, 6.0];
/// The size of clock steps, in seconds.
const CLOCK_STEP: f64 = 3600.0;
/// Above this lateness, in seconds, the lab may attribute its own delay to the proxies.
const MAX_LATENESS: f64 = 0.2;
/// The text that a proxy logs when one of its invariants is violated.
const VIOLATION_LOG_TEXT: &str = "invariant violated";
/// The text that the standard library prints on a panic.
const PANIC_LOG_TEXT: &str = "panicked at";

/// A soak scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed that the scenario was drawn from and is run with.
    pub seed: u64,
    /// The fleet, the load and the troubles.
    pub experiment: Experiment,
    /// The system calls that fail in the proxies' processes.
    pub fault_plan: Plan,
}

/// How large the scenarios are.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioSize {
    /// The number of proxies.
    pub proxies: usize,
    /// The number of nodes.
    pub nodes: usize,
    /// The length of a run, in seconds.
    pub seconds: f64,
}

/// The result of one scenario.
#[derive(Debug)]
pub struct SoakResult {
    /// The scenario's seed.
    pub seed: u64,
    /// The troubles with their start and duration.
    pub troubles: Vec<String>,
    /// The system calls that failed in the proxies' processes.
    pub fault_plan: Plan,
    /// Revenue served within the message target, as a fraction of the demand.
    pub service: f64,
    /// The number of completed calls.
    pub completed: u64,
    /// The number of calls without an answer.
    pub unanswered: u64,
    /// Violations of the proxies' rules that the auditor found.
    pub violations: Vec<Violation>,
    /// Processes that ended with an error, and lines of the proxies' logs that report a violated invariant or a panic.
    pub process_failures: Vec<String>,
    /// The longest delay, in seconds, with which the lab handled one of its own events.
    pub lateness: f64,
}

impl SoakResult {
    /// Whether the lab was so late that it may have caused the results itself.
    pub fn is_late(&self) -> bool {
        self.lateness > MAX_LATENESS
    }

    /// Whether there were neither violations nor failed processes.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.process_failures.is_empty()
    }
}

fn round_to_hundredths(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

/// Draws a trouble of this kind, with a fraction and a magnitude that have an effect for it.
fn draw_trouble(random: &mut RandomStream, kind: &str, earliest: f64, seconds: f64) -> Trouble {
    let magnitude = match kind {
        "bad-clients" => random.uniform_in([10.0, 40.0]),
        "slow-network" | "discovery-late" | "signal-series" => random.uniform_in([2.0, 8.0]),
        "idle-crowd" => random.uniform_in(IDLE_CROWD_CLIENTS),
        _ => random.uniform_in([1.0, 4.0]),
    };
    let fraction = match kind {
        "restart-stop" | "restart-kill" | "reconfigure" | "handover" | "signal-series" | "handover-stop" => {
            random.uniform_in([0.3, 1.0])
        }
        _ => random.uniform_in([0.2, 0.5]),
    };
    Trouble {
        kind: kind.to_owned(),
        at: round_to_hundredths(earliest + random.uniform_in([0.0, TROUBLE_START_SPREAD])),
        duration: round_to_hundredths(random.uniform_in([1.0, seconds * 0.4])),
        fraction: round_to_hundredths(fraction),
        magnitude: round_to_hundredths(magnitude),
        at_a_time: 1 + random.index(3),
        zone: None,
        subject: None,
    }
}

/// Adds what is drawn from a separate random stream, so that the other draws of a seed do not depend on it.
fn add_signals_and_crowds(random: &mut RandomStream, experiment: &mut Experiment, earliest: f64) {
    experiment.clients.line_interval = round_to_hundredths(random.uniform_in(LINE_INTERVAL));
    experiment.clients.ignore_move_share =
        round_to_hundredths(random.uniform_in([0.0, MAX_IGNORE_MOVE_SHARE]));
    let kind = SIGNAL_AND_RESET_KINDS[random.index(SIGNAL_AND_RESET_KINDS.len())];
    experiment.troubles.push(draw_trouble(random, kind, earliest, experiment.seconds));
    if random.uniform_in([0.0, 1.0]) < IDLE_CROWD_SHARE {
        experiment.proxy.sockets = IDLE_CROWD_MAX_DESCRIPTORS;
        experiment.troubles.push(draw_trouble(random, "idle-crowd", earliest, experiment.seconds));
    }
}

/// Draws the failing system calls. Each kind of failing call occurs in half of the scenarios and a clock step in two
/// thirds, so that their combinations vary.
fn draw_fault_plan(random: &mut RandomStream, seed: u64, earliest: f64) -> Plan {
    let probability = |random: &mut RandomStream, max: f64| {
        let occurs = random.uniform_in([0.0, 1.0]) < 0.5;
        if occurs {
            round_to_hundredths(random.uniform_in([0.01, max]))
        } else {
            0.0
        }
    };
    let (short, interrupt) = (probability(random, 0.4), probability(random, 0.2));
    let (accept, socket, connect, open) = (
        probability(random, 0.3),
        probability(random, 0.1),
        probability(random, 0.1),
        probability(random, 0.5),
    );
    let by = [0.0, CLOCK_STEP, -CLOCK_STEP][random.index(3)];
    let step = ClockStep { from: earliest, by };
    let unreachable = probability(random, 1.0);
    Plan { seed, short, interrupt, accept, socket, connect, open, unreachable, step }
}

impl Scenario {
    /// Draws the scenario of this seed.
    pub fn generate(size: ScenarioSize, seed: u64) -> Scenario {
        let mut random = RandomStream::new(seed, StreamPurpose::Search, 0);
        let earliest = round_to_hundredths(random.uniform_in(FIRST_TROUBLE_START));
        let count = MIN_TROUBLES + random.index(MAX_TROUBLES - MIN_TROUBLES + 1);
        let mut experiment =
            Experiment { name: format!("soak-{seed}"), seconds: size.seconds, ..Experiment::default() };
        (experiment.fleet.proxies, experiment.fleet.nodes) = (size.proxies, size.nodes);
        experiment.load.utilisation = round_to_hundredths(random.uniform_in([0.2, 0.4]));
        let mut kinds = PROCESS_TROUBLE_KINDS.to_vec();
        while experiment.troubles.len() < count {
            let kind = kinds.remove(random.index(kinds.len()));
            experiment.troubles.push(draw_trouble(&mut random, kind, earliest, size.seconds));
        }
        let fault_plan = draw_fault_plan(&mut random, seed, earliest);
        add_signals_and_crowds(
            &mut RandomStream::new(seed, StreamPurpose::Search, 1),
            &mut experiment,
            earliest,
        );
        Scenario { seed, experiment, fault_plan }
    }

    /// Runs the scenario with processes of this proxy binary, into each of which the fault library is loaded. Their
    /// logs are written to `log_dir`, which is emptied first.
    ///
    /// # Errors
    ///
    /// The lab itself fails: the binary is missing, no port is free, the folder can't be written, or a proxy does not
    /// start.
    pub fn run(&self, proxy_binary: &Path, library: &Path, log_dir: &Path) -> Result<SoakResult, String> {
        let io_error = |e: std::io::Error| format!("{}: {e}", log_dir.display());
        if log_dir.exists() {
            std::fs::remove_dir_all(log_dir).map_err(io_error)?;
        }
        std::fs::create_dir_all(log_dir).map_err(io_error)?;
        let faults = Some(FaultInjection { library: library.to_owned(), plan: self.fault_plan });
        let options = LaunchOptions {
            proxy_binary: proxy_binary.to_owned(),
            log_dir: Some(log_dir.to_owned()),
            faults,
        };
        let mut host = SocketHost::new(&self.experiment, self.seed, options)?;
        host.run(self.experiment.seconds, |_, _| {})?;
        let outcome = host.world.outcome();
        let result = SoakResult {
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
        let process_failures =
            result.process_failures.iter().cloned().chain(find_logged_failures(log_dir)?).collect();
        Ok(SoakResult { process_failures, ..result })
    }
}

/// The lines of the processes' logs that report violated invariants or panics, prefixed with the name of the log.
fn find_logged_failures(log_dir: &Path) -> Result<Vec<String>, String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", log_dir.display());
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in std::fs::read_dir(log_dir).map_err(io_error)? {
        files.push(entry.map_err(io_error)?.path());
    }
    files.sort();
    let mut found = Vec::new();
    for file in files {
        let text = std::fs::read(&file).map_err(io_error)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let text = String::from_utf8_lossy(&text);
        let lines =
            text.lines().filter(|line| line.contains(VIOLATION_LOG_TEXT) || line.contains(PANIC_LOG_TEXT));
        found.extend(lines.map(|line| format!("{name}: {line}")));
    }
    Ok(found)
}
