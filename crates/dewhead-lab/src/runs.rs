//! One run of an experiment, what is kept of it, and many of them side by side.

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

/// A run to be played.
#[derive(Clone)]
pub struct Task {
    /// Where in the matrix, in words.
    pub point: String,
    pub experiment: Experiment,
    pub seed: u64,
    pub proxy: ProxyKind,
}

/// What a run came to, as a line of JSON has it.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    pub experiment: String,
    pub point: String,
    pub seed: u64,
    #[serde(rename = "who")]
    pub proxy_name: String,
    pub host: &'static str,
    pub outcome: Outcome,
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// On sockets: by how much the lab itself was late at the worst, in seconds; a run is marked late beyond a quarter
    /// of the shortest setup target.
    pub lateness: f64,
    pub late: bool,
    /// The trace's digest, in simulated time.
    pub digest: String,
    pub events: u64,
    /// Seconds that it took, by the clock.
    #[serde(rename = "took")]
    pub wall_seconds: f64,
    /// By the second: load, capacity and connections of each node, then connections of each proxy.
    pub nodes: Vec<Vec<(f32, f32, u32)>>,
    pub proxies: Vec<Vec<u32>>,
    #[serde(rename = "marks")]
    pub annotations: Vec<(f64, String)>,
}

/// What other builds' labs wrote, as far as it is compared.
#[derive(Clone, Debug, Deserialize)]
pub struct ComparedRun {
    pub experiment: String,
    pub point: String,
    pub seed: u64,
    #[serde(rename = "who")]
    pub proxy_name: String,
    pub outcome: ComparedOutcome,
    #[serde(rename = "breaches", default)]
    pub violations: Vec<serde_json::Value>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ComparedOutcome {
    pub service: f64,
    #[serde(rename = "worst_ten")]
    pub worst_ten_seconds: f64,
    pub worst_type: f64,
}

/// Who decides, by name.
pub fn parse_proxy_kind(name: &str) -> Result<ProxyKind, String> {
    if name == "dewhead" {
        return Ok(ProxyKind::Dewhead);
    }
    let found = policy::NAMED_POLICIES.iter().find(|(n, _)| *n == name);
    found.map(|(_, policy)| ProxyKind::Baseline(*policy)).ok_or_else(|| {
        let names: Vec<&str> = policy::NAMED_POLICIES.iter().map(|(n, _)| *n).collect();
        format!("'{name}' is nobody who decides; there are dewhead, {}", names.join(", "))
    })
}

pub fn proxy_kind_name(who: ProxyKind) -> String {
    match who {
        ProxyKind::Dewhead => "dewhead".into(),
        ProxyKind::Baseline(policy) => {
            policy::NAMED_POLICIES.iter().find(|(_, p)| *p == policy).map_or("?", |(n, _)| n).into()
        }
        ProxyKind::Faulty(fault) => format!("broken: {fault:?}"),
    }
}

/// Plays one in simulated time.
pub fn run_task(task: &Task) -> RunResult {
    let began = Instant::now();
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
        wall_seconds: began.elapsed().as_secs_f64(),
        nodes: std::mem::take(&mut world.service.nodes),
        proxies: std::mem::take(&mut world.service.proxies),
        annotations: std::mem::take(&mut world.service.annotations),
    }
}

/// Plays all of them over the cores, the order of the results that of the tasks.
pub fn run_tasks(tasks: &[Task], bar: bool) -> Vec<RunResult> {
    let progress = if bar { ProgressBar::new(tasks.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos}/{len} runs, {eta} left") {
        progress.set_style(style);
    }
    let played = tasks
        .par_iter()
        .map(|task| {
            let played = run_task(task);
            progress.inc(1);
            played
        })
        .collect();
    progress.finish_and_clear();
    played
}

/// Seeds as the command line has them: `3`, `1..10` (both ends played) or `1,4,9`.
pub fn parse_seeds(text: &str) -> Result<Vec<u64>, String> {
    let one = |s: &str| s.trim().parse::<u64>().map_err(|_| format!("--seeds: '{s}' is no whole number"));
    if let Some((from, to)) = text.split_once("..") {
        let (from, to) = (one(from)?, one(to.trim_start_matches('='))?);
        if from > to || to - from >= 10_000 {
            return Err("--seeds: A..B goes from the lesser to the greater, 10000 at the most".into());
        }
        return Ok((from..=to).collect());
    }
    text.split(',').map(one).collect()
}

/// Reads an experiment's file; a fault names the file and the key.
pub fn read_experiment(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Experiment::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes runs as JSON lines, and each point's experiment, so that any run can be played again.
pub fn write_runs(dir: &Path, points: &[(String, Experiment)], played: &[RunResult]) -> Result<(), String> {
    let fault = |e: std::io::Error| format!("{}: {e}", dir.display());
    std::fs::create_dir_all(dir).map_err(fault)?;
    for (n, (_, of)) in points.iter().enumerate() {
        let text = toml::to_string(of).map_err(|e| e.to_string())?;
        std::fs::write(dir.join(format!("point-{n}.toml")), text).map_err(fault)?;
    }
    let mut file = std::io::BufWriter::new(std::fs::File::create(dir.join("runs.jsonl")).map_err(fault)?);
    for one in played {
        let line = serde_json::to_string(one).map_err(|e| e.to_string())?;
        writeln!(file, "{line}").map_err(fault)?;
    }
    file.flush().map_err(fault)
}

/// What a breach comes with: the whole story of the call, and how to see it again.
pub fn print_violation(breach: &Violation, file: &str, seed: u64, who: &str) {
    let call = breach.call.as_deref().map_or(String::new(), |c| format!(", call {c}"));
    println!(
        "breach of {:?} at {:.3} s, proxy {}{call}: {}",
        breach.rule, breach.at, breach.proxy, breach.description
    );
    for (at, what) in &breach.trace {
        println!("    {at:>10.4}  {what}");
    }
    println!("    to see it again: dewhead-lab replay {file} --seed {seed} --who {who}");
}
