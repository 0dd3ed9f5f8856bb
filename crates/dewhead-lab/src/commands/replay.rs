//! `replay`: repeats one run and prints its details.

use super::run::print_run;
use crate::runs::{self, Task};
use argh::FromArgs;
use std::path::PathBuf;

/// Repeat one run and print its violations of rules, its annotations and its digest.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// experiment file
    #[argh(positional)]
    file: PathBuf,
    /// seed of the run
    #[argh(option)]
    seed: u64,
    /// policy that places connections (see run --who); dewhead if not given
    #[argh(option, long = "who", default = "String::from(\"dewhead\")")]
    policy: String,
    /// index of the point of the matrix, from 0; 0 if not given
    #[argh(option, default = "0")]
    point: usize,
}

impl Replay {
    /// Runs the command; returns whether no rule was violated.
    pub fn execute(&self) -> Result<bool, String> {
        let experiment = runs::read_experiment(&self.file)?;
        let points = experiment.matrix_points().map_err(|e| format!("{}: {e}", self.file.display()))?;
        let (point, point_experiment) =
            points.get(self.point).ok_or("--point: the matrix has fewer points")?.clone();
        let result = runs::run_task(&Task {
            point,
            experiment: point_experiment,
            seed: self.seed,
            proxy: runs::parse_proxy_kind(&self.policy)?,
        });
        print_run(&result);
        for (time, annotation) in &result.annotations {
            println!("{time:>10.3}  {annotation}");
        }
        for (second, (demanded, served)) in
            result.outcome.demand.iter().zip(&result.outcome.served).enumerate()
        {
            let share = if *demanded > 0.0 { served / demanded } else { 1.0 };
            let bar = "#".repeat((share * 60.0).round().clamp(0.0, 60.0) as usize);
            println!("{second:>6} s  {share:.3}  {bar}");
        }
        println!("digest {}, {} events", result.digest, result.events);
        for violation in &result.violations {
            runs::print_violation(violation, &self.file.display().to_string(), self.seed, &self.policy);
        }
        Ok(result.violations.is_empty())
    }
}
