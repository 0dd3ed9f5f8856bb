//! `compare`: paired differences between two policies or builds on the same seeds, with confidence intervals.

use crate::runs::{self, ComparedRun, Task};
use crate::stats;
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Compare two policies on the same seeds, or a policy and another build of this program, given as lab:PATH.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// experiment files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// the first side: a policy (see run --who), or lab:PATH for another build of this program; dewhead if not given
    #[argh(option, default = "String::from(\"dewhead\")")]
    a: String,
    /// the second side, in the same form
    #[argh(option)]
    b: String,
    /// seeds: 3, 1..10 or 1,4,9; 1..10 if not given
    #[argh(option, default = "String::from(\"1..10\")")]
    seeds: String,
}

/// For each run: point of the matrix, seed, service, service in the worst ten seconds, and number of rule violations.
type RunFigures = Vec<(String, u64, f64, f64, usize)>;

impl Compare {
    /// Runs the command; returns whether neither side violated a rule.
    pub fn execute(&self) -> Result<bool, String> {
        if self.files.is_empty() {
            return Err("compare: no experiment file given".into());
        }
        println!(
            "differences are {} minus {}, paired by seed, with 95 % confidence intervals",
            self.a, self.b
        );
        let mut no_violations = true;
        for file in &self.files {
            let (a, b) = (self.run_figures(file, &self.a)?, self.run_figures(file, &self.b)?);
            let pairs: Vec<_> = a
                .iter()
                .filter_map(|x| b.iter().find(|y| (&y.0, y.1) == (&x.0, x.1)).map(|y| (x, y)))
                .collect();
            if pairs.len() < a.len().max(b.len()) {
                return Err(format!("{}: the two sides did not carry out the same runs", file.display()));
            }
            no_violations &= pairs.iter().all(|(x, y)| x.4 + y.4 == 0);
            let mut points: Vec<&str> = pairs.iter().map(|(x, _)| x.0.as_str()).collect();
            points.dedup();
            for point in points {
                let at_point: Vec<_> = pairs.iter().filter(|(x, _)| x.0 == point).collect();
                let difference_of = |f: fn(&(String, u64, f64, f64, usize)) -> f64| {
                    let values: Vec<(f64, f64)> = at_point.iter().map(|(x, y)| (f(x), f(y))).collect();
                    let differences: Vec<f64> = values.iter().map(|(x, y)| x - y).collect();
                    let mean_of =
                        |n: fn(&(f64, f64)) -> f64| stats::mean(&values.iter().map(n).collect::<Vec<_>>());
                    (mean_of(|p| p.0), mean_of(|p| p.1), stats::confidence_interval(&differences))
                };
                let (service, worst) = (difference_of(|x| x.2), difference_of(|x| x.3));
                let format_difference =
                    |(first, second, (difference, half_width)): (f64, f64, (f64, f64))| {
                        let noise_mark = if difference.abs() > half_width { "" } else { " (noise)" };
                        format!(
                            "{first:.4} against {second:.4}: {difference:+.4} +- {half_width:.4}{noise_mark}"
                        )
                    };
                let name = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
                println!(
                    "{name} {point}\n    service     {}\n    worst 10 s  {}",
                    format_difference(service),
                    format_difference(worst)
                );
            }
        }
        Ok(no_violations)
    }

    /// The figures of all runs of an experiment with one side.
    fn run_figures(&self, file: &Path, side: &str) -> Result<RunFigures, String> {
        if let Some(other_build) = side.strip_prefix("lab:") {
            return run_other_build(Path::new(other_build), file, &self.seeds);
        }
        let (experiment, proxy_kind) = (runs::read_experiment(file)?, runs::parse_proxy_kind(side)?);
        let points = experiment.matrix_points().map_err(|e| format!("{}: {e}", file.display()))?;
        let seeds = runs::parse_seeds(&self.seeds)?;
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
        let results = runs::run_tasks(&tasks, true);
        Ok(results
            .into_iter()
            .map(|r| (r.point, r.seed, r.outcome.service, r.outcome.worst_ten_seconds, r.violations.len()))
            .collect())
    }
}

/// Runs the experiment with another build of this program, which uses its own version of the control code.
fn run_other_build(other_build: &Path, file: &Path, seeds: &str) -> Result<RunFigures, String> {
    let output_dir = std::env::temp_dir().join(format!("dewhead-lab-{}", std::process::id()));
    let status = Command::new(other_build)
        .args(["run", "--quiet", "--seeds", seeds, "--out"])
        .arg(&output_dir)
        .arg(file)
        .stdout(std::process::Stdio::null())
        .status()
        .map_err(|e| format!("{}: {e}", other_build.display()))?;
    if status.code().is_none_or(|c| c == 1) {
        return Err(format!("{}: exited with {status}", other_build.display()));
    }
    let path = output_dir.join("runs.jsonl");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    // If the folder can't be removed, a later process with the same id overwrites it.
    let _ = std::fs::remove_dir_all(&output_dir);
    text.lines()
        .map(|line| {
            let run: ComparedRun =
                serde_json::from_str(line).map_err(|e| format!("{}: {e}", path.display()))?;
            Ok((
                run.point,
                run.seed,
                run.outcome.service,
                run.outcome.worst_ten_seconds,
                run.violations.len(),
            ))
        })
        .collect()
}
