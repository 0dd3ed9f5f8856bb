//! `run`: runs an experiment for each seed and each point of its matrix.

use crate::runs::{self, RunResult, Task};
use crate::simulated::ProxyKind;
use crate::sockets::{self, FaultInjection, LaunchOptions};
use argh::FromArgs;
use dewhead_faults::plan::Plan;
use std::path::PathBuf;

/// Run an experiment for each seed and each point of its matrix. Exit code 2 if a rule was violated.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// experiment file
    #[argh(positional)]
    file: PathBuf,
    /// seeds: 3, 1..10 or 1,4,9; those in the file if not given
    #[argh(option)]
    seeds: Option<String>,
    /// policy that places connections: dewhead (if not given), random, round-robin, least-own, two-choices or top
    #[argh(option, long = "who", default = "String::from(\"dewhead\")")]
    policy: String,
    /// host of the run: virtual (simulated time, if not given) or sockets
    #[argh(option, default = "String::from(\"virtual\")")]
    host: String,
    /// on sockets: the proxy's binary; the one next to this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// on sockets: a folder for the proxies' logs
    #[argh(option)]
    logs: Option<PathBuf>,
    /// on sockets: system calls that fail in the proxies' processes, as
    /// short=0.3,interrupt=0.05,accept=0.05,socket=0.02,connect=0.05,open=0.2,step_from=15,step_by=3600,seed=1;
    /// probabilities, and seconds from the start
    #[argh(option)]
    faults: Option<Plan>,
    /// folder in which to write the runs as JSON lines; nowhere if not given
    #[argh(option)]
    out: Option<PathBuf>,
    /// print nothing but violations of rules
    #[argh(switch, short = 'q')]
    quiet: bool,
}

impl Run {
    /// Runs the command; returns whether no rule was violated.
    pub fn execute(&self) -> Result<bool, String> {
        let experiment = runs::read_experiment(&self.file)?;
        let points = experiment.matrix_points().map_err(|e| format!("{}: {e}", self.file.display()))?;
        let seeds = self.seeds.as_deref().map_or(Ok(experiment.seeds.clone()), runs::parse_seeds)?;
        let proxy_kind = runs::parse_proxy_kind(&self.policy)?;
        let tasks: Vec<Task> = points
            .iter()
            .flat_map(|(point, experiment)| {
                seeds.iter().map(|seed| Task {
                    point: point.clone(),
                    experiment: experiment.clone(),
                    seed: *seed,
                    proxy: proxy_kind,
                })
            })
            .collect();
        let results = match self.host.as_str() {
            "virtual" => runs::run_tasks(&tasks, !self.quiet),
            "sockets" => self.run_on_sockets(&tasks)?,
            other => return Err(format!("--host: '{other}' is neither virtual nor sockets")),
        };
        if let Some(dir) = &self.out {
            runs::write_runs(dir, &points, &results)?;
        }
        if !self.quiet {
            println!("{}: {}", experiment.name, experiment.description);
            results.iter().for_each(print_run);
        }
        let file = self.file.display().to_string();
        for run in &results {
            for violation in &run.violations {
                runs::print_violation(violation, &file, run.seed, &run.proxy_name);
            }
        }
        Ok(results.iter().all(|p| p.violations.is_empty()))
    }
}

impl Run {
    /// Runs the tasks one after the other, because each needs the whole machine.
    fn run_on_sockets(&self, tasks: &[Task]) -> Result<Vec<RunResult>, String> {
        if tasks.iter().any(|t| t.proxy != ProxyKind::Dewhead) {
            return Err("--who: on sockets the proxy decides; name a build with --proxy".into());
        }
        let proxy = self.proxy.clone().map_or_else(sockets::find_proxy_binary, Ok)?;
        if let Some(dir) = &self.logs {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        let fault_injection = |plan: &Plan| {
            Ok::<_, String>(FaultInjection { library: sockets::find_faults_library()?, plan: *plan })
        };
        let faults = self.faults.as_ref().map(fault_injection).transpose()?;
        let execute_task = |task: &Task| {
            let options = LaunchOptions {
                proxy_binary: proxy.clone(),
                log_dir: self.logs.clone(),
                faults: faults.clone(),
            };
            let result = sockets::run_experiment(&task.experiment, &task.point, task.seed, options)?;
            if result.late {
                eprintln!(
                    "seed {}: the lab was up to {:.3} s late, so that its times are unreliable",
                    task.seed, result.lateness
                );
            }
            Ok(result)
        };
        tasks.iter().map(execute_task).collect()
    }
}

/// Prints the outcome of a run as one line.
pub fn print_run(run: &RunResult) {
    let (outcome, counts) = (&run.outcome, &run.outcome.counts);
    let point = if run.point.is_empty() { String::new() } else { format!("  [{}]", run.point) };
    println!(
        "seed {:>3}  service {:.4}  worst 10 s {:.3}  worst type {:.3}  set-up p50 {:>4.0} ms p99 {:>5.0} ms  \
         completed {}  rejected {}  failed {}  moved {}  broken {}  fallen {}  breaches {}  {:.0} s/s{point}",
        run.seed,
        outcome.service,
        outcome.worst_ten_seconds,
        outcome.worst_type,
        outcome.setup_times[0] * 1e3,
        outcome.setup_times[1] * 1e3,
        counts.completed,
        counts.rejected,
        counts.failed + counts.unanswered,
        counts.moved,
        counts.broken,
        counts.nodes_crashed,
        run.violations.len(),
        run.outcome.demand.len() as f64 / run.wall_seconds.max(1e-9),
    );
}
