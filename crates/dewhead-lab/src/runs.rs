//! Single runs of an experiment, their results, and running many of them in parallel.

use crate::policy;
use crate::simulated::{ProxyKind, SimulatedHost};
use dewhead_world::audit::Violation;
use dewhead_world::experiment::Experiment;
use dewhead_world::service::Outcome;
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::path::Path;
use std::time::Instant;

/// One run to be carried out.
#[derive(Clone)]
pub struct Task {
    /// The label of the point in the experiment's matrix; empty if there is no matrix.
    pub point: String,
    /// The experiment at this point.
    pub experiment: Experiment,
    /// The seed of all random draws.
    pub seed: u64,
    /// Which proxy implementation is run.
    pub proxy: ProxyKind,
}

/// The result of a run; written as one line of JSON.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The experiment's name.
    pub experiment: String,
    /// The label of the matrix point.
    pub point: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The proxy implementation; on sockets, the path of the proxy's binary.
    #[serde(rename = "who")]
    pub proxy_name: String,
    /// `simulated` or `sockets`.
    pub host: &'static str,
    /// Service metrics; the shares are those from the time at which the service has settled.
    pub outcome: Outcome,
    /// Violations of the proxies' rules that the auditor found.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// On sockets: the longest delay, in seconds, with which the lab handled one of its own events.
    pub lateness: f64,
    /// Whether `lateness` exceeds a quarter of the shortest setup target, so that measured times are unreliable.
    pub late: bool,
    /// In simulated time: a digest of the event trace, equal for equal runs.
    pub digest: String,
    /// In simulated time: how many events were processed.
    pub events: u64,
    /// How long the run took in real time, in seconds.
    #[serde(rename = "took")]
    pub wall_seconds: f64,
    /// For each node, once a second: load, capacity and connections.
    pub nodes: Vec<Vec<(f32, f32, u32)>>,
    /// For each proxy, once a second: connections.
    pub proxies: Vec<Vec<u32>>,
    /// Notable events: the time in seconds and a description.
    #[serde(rename = "marks")]
    pub annotations: Vec<(f64, String)>,
}

/// The part of a run's JSON line that `compare` reads; the line may come from another build of the lab.
#[derive(Clone, Debug, Deserialize)]
pub struct ComparedRun {
    /// The experiment's name.
    pub experiment: String,
    /// The label of the matrix point.
    pub point: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The proxy implementation.
    #[serde(rename = "who")]
    pub proxy_name: String,
    /// The metrics that are compared.
    pub outcome: ComparedOutcome,
    /// Violations of the proxies' rules; only their number is used.
    #[serde(rename = "breaches", default)]
    pub violations: Vec<serde_json::Value>,
}

/// The part of a run's service metrics that `compare` reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ComparedOutcome {
    /// Revenue served within the message target, as a fraction of the demand.
    pub service: f64,
    /// The same in the worst ten seconds.
    #[serde(rename = "worst_ten")]
    pub worst_ten_seconds: f64,
    /// The same for the worst traffic type.
    pub worst_type: f64,
}

/// The proxy implementation of this name, as `--who` takes it.
pub fn parse_proxy_kind(name: &str) -> Result<ProxyKind, String> {
    if name == "dewhead" {
        return Ok(ProxyKind::Dewhead);
    }
    let found = policy::NAMED_POLICIES.iter().find(|(n, _)| *n == name);
    found.map(|(_, policy)| ProxyKind::Baseline(*policy)).ok_or_else(|| {
        let names: Vec<&str> = policy::NAMED_POLICIES.iter().map(|(n, _)| *n).collect();
        format!("unknown proxy '{name}'; there are dewhead, {}", names.join(", "))
    })
}

/// The name of a proxy implementation in results.
pub fn proxy_kind_name(proxy: ProxyKind) -> String {
    match proxy {
        ProxyKind::Dewhead => "dewhead".into(),
        ProxyKind::Baseline(policy) => {
            policy::NAMED_POLICIES.iter().find(|(_, p)| *p == policy).map_or("?", |(n, _)| n).into()
        }
        ProxyKind::Faulty(fault) => format!("broken: {fault:?}"),
    }
}

/// Carries out one run in simulated time.
pub fn run_task(task: &Task) -> RunResult {
    let started = Instant::now();
    let mut host = SimulatedHost::new(&task.experiment, task.seed, task.proxy);
    host.run(task.experiment.seconds);
    let world = &mut host.world;
    RunResult {
        experiment: task.experiment.name.clone(),
        point: task.point.clone(),
        seed: task.seed,
        proxy_name: proxy_kind_name(task.proxy),
        host: "simulated",
        outcome: world.outcome(),
        violations: std::mem::take(&mut world.audit.violations),
        lateness: 0.0,
        late: false,
        digest: format!("{:08x}", world.digest()),
        events: host.events,
        wall_seconds: started.elapsed().as_secs_f64(),
        nodes: std::mem::take(&mut world.service.nodes),
        proxies: std::mem::take(&mut world.service.proxies),
        annotations: std::mem::take(&mut world.service.annotations),
    }
}

/// Carries out all runs in simulated time, in parallel on all cores; results have the order of the tasks.
pub fn run_tasks(tasks: &[Task], show_progress: bool) -> Vec<RunResult> {
    let progress = if show_progress { ProgressBar::new(tasks.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left") {
        progress.set_style(style);
    }
    let results = tasks
        .par_iter()
        .map(|task| {
            let result = run_task(task);
            progress.inc(1);
            result
        })
        .collect();
    progress.finish_and_clear();
    results
}

/// Parses the seeds of a command line: `3`, `1..10` (both ends included) or `1,4,9`.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let parse =
        |s: &str| s.trim().parse::<u64>().map_err(|_| format!("--seeds: '{s}' is not a whole number"));
    if let Some((from, to)) = text.split_once("..") {
        let (from, to) = (parse(from)?, parse(to.trim_start_matches('='))?);
        if from > to || to - from >= 10_000 {
            return Err("--seeds: in A..B, A must not exceed B, and at most 10000 seeds are taken".into());
        }
        return Ok((from..=to).collect());
    }
    text.split(',').map(parse).collect()
}

/// Reads an experiment's file; an error names the file and the key.
pub fn read_experiment(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Experiment::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes the runs to `runs.jsonl` and the experiment of each matrix point to `point-N.toml`, so that any run can be
/// replayed.
pub fn write_runs(dir: &Path, points: &[(String, Experiment)], results: &[RunResult]) -> Result<(), String> {
    let io_error = |e: std::io::Error| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(io_error)?;
    for (n, (_, experiment)) in points.iter().enumerate() {
        let text = toml::to_string(experiment).map_err(|e| e.to_string())?;
        std::fs::write(dir.join(format!("point-{n}.toml")), text).map_err(io_error)?;
    }
    let mut file = std::io::BufWriter::new(std::fs::File::create(dir.join("runs.jsonl")).map_err(io_error)?);
    for result in results {
        let line = serde_json::to_string(result).map_err(|e| e.to_string())?;
        writeln!(file, "{line}").map_err(io_error)?;
    }
    file.flush().map_err(io_error)
}

/// Prints a violation with the trace of its call and the command that reproduces it.
pub fn print_violation(violation: &Violation, file: &str, seed: u64, proxy_name: &str) {
    let call = violation.call.as_deref().map_or(String::new(), |c| format!(", call {c}"));
    println!(
        "breach of {:?} at {:.3} s, proxy {}{call}: {}",
        violation.rule, violation.at, violation.proxy, violation.description
    );
    for (at, event) in &violation.trace {
        println!("    {at:>10.4}  {event}");
    }
    println!("    to see it again: dewhead-lab replay {file} --seed {seed} --who {proxy_name}");
}
