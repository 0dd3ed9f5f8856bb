//! `run`: plays an experiment over its seeds and its matrix.

use crate::runs::{self, RunResult, Task};
use crate::simulated::ProxyKind;
use crate::sockets::{self, FaultInjection, LaunchOptions};
use argh::FromArgs;
use dewhead_faults::plan::Plan;
use std::path::PathBuf;

/// Play an experiment; exit code 2 where a rule was broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// the experiment's file
    #[argh(positional)]
    file: PathBuf,
    /// seeds: 3, 1..10 or 1,4,9; the file's if not given
    #[argh(option)]
    seeds: Option<String>,
    /// who decides: dewhead (if not given), random, round-robin, least-own, two-choices or top
    #[argh(option, default = "String::from(\"dewhead\")")]
    who: String,
    /// where it is played: virtual (in simulated time, if not given) or sockets
    #[argh(option, default = "String::from(\"virtual\")")]
    host: String,
    /// on sockets: the proxy's binary; the one beside this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// on sockets: a folder for the proxies' logs
    #[argh(option)]
    logs: Option<PathBuf>,
    /// on sockets: system calls that fail in the proxies' processes, as short=0.3,interrupt=0.05,accept=0.05,socket=0.02,
    /// connect=0.05,open=0.2,step_from=15,step_by=3600,seed=1; probabilities, and seconds from the start
    #[argh(option)]
    faults: Option<Plan>,
    /// where to write the runs as JSON lines
    #[argh(option)]
    out: Option<PathBuf>,
    /// say nothing but breaches
    #[argh(switch, short = 'q')]
    quiet: bool,
}

impl Run {
    pub fn carry_out(&self) -> Result<bool, String> {
        let of = runs::read_experiment(&self.file)?;
        let points = of.matrix_points().map_err(|e| format!("{}: {e}", self.file.display()))?;
        let seeds = self.seeds.as_deref().map_or(Ok(of.seeds.clone()), runs::parse_seeds)?;
        let who = runs::parse_proxy_kind(&self.who)?;
        let tasks: Vec<Task> = points
            .iter()
            .flat_map(|(point, of)| {
                seeds.iter().map(|seed| Task {
                    point: point.clone(),
                    experiment: of.clone(),
                    seed: *seed,
                    proxy: who,
                })
            })
            .collect();
        let played = match self.host.as_str() {
            "virtual" => runs::run_tasks(&tasks, !self.quiet),
            "sockets" => self.on_sockets(&tasks)?,
            other => return Err(format!("--host: '{other}' is neither virtual nor sockets")),
        };
        if let Some(dir) = &self.out {
            runs::write_runs(dir, &points, &played)?;
        }
        if !self.quiet {
            println!("{}: {}", of.name, of.description);
            played.iter().for_each(tell);
        }
        let file = self.file.display().to_string();
        for one in &played {
            for breach in &one.violations {
                runs::print_violation(breach, &file, one.seed, &one.proxy_name);
            }
        }
        Ok(played.iter().all(|p| p.violations.is_empty()))
    }
}

impl Run {
    /// One after the other, as each wants the machine for itself.
    fn on_sockets(&self, tasks: &[Task]) -> Result<Vec<RunResult>, String> {
        if tasks.iter().any(|t| t.proxy != ProxyKind::Dewhead) {
            return Err("--who: on sockets the proxy decides; name a build with --proxy".into());
        }
        let proxy = self.proxy.clone().map_or_else(sockets::find_proxy_binary, Ok)?;
        if let Some(dir) = &self.logs {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        let inject = |plan: &Plan| {
            Ok::<_, String>(FaultInjection { library: sockets::find_faults_library()?, plan: *plan })
        };
        let faults = self.faults.as_ref().map(inject).transpose()?;
        let one = |task: &Task| {
            let programs = LaunchOptions {
                proxy_binary: proxy.clone(),
                log_dir: self.logs.clone(),
                faults: faults.clone(),
            };
            let played = sockets::run_experiment(&task.experiment, &task.point, task.seed, programs)?;
            if played.late {
                eprintln!(
                    "seed {}: the lab came {:.3} s late at the worst, so that times say little",
                    task.seed, played.lateness
                );
            }
            Ok(played)
        };
        tasks.iter().map(one).collect()
    }
}

/// A run in one line.
pub fn tell(one: &RunResult) {
    let (o, c) = (&one.outcome, &one.outcome.counts);
    let point = if one.point.is_empty() { String::new() } else { format!("  [{}]", one.point) };
    println!(
        "seed {:>3}  service {:.4}  worst 10 s {:.3}  worst type {:.3}  set-up p50 {:>4.0} ms p99 {:>5.0} ms  \
         completed {}  rejected {}  failed {}  moved {}  broken {}  fallen {}  breaches {}  {:.0} s/s{point}",
        one.seed,
        o.service,
        o.worst_ten_seconds,
        o.worst_type,
        o.setup_times[0] * 1e3,
        o.setup_times[1] * 1e3,
        c.completed,
        c.rejected,
        c.failed + c.unanswered,
        c.moved,
        c.broken,
        c.nodes_crashed,
        one.violations.len(),
        one.outcome.demand.len() as f64 / one.wall_seconds.max(1e-9),
    );
}
