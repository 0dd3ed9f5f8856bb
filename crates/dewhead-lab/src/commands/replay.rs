//! `replay`: plays one run again and prints its details.

use super::run::print_run;
use crate::runs::{self, Task};
use argh::FromArgs;
use std::path::PathBuf;

/// Play one run again and print its violations of rules, its annotations and its digest.
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
        let (point, of) = points.get(self.point).ok_or("--point: the matrix has fewer points")?.clone();
        let played = runs::run_task(&Task {
            point,
            experiment: of,
            seed: self.seed,
            proxy: runs::parse_proxy_kind(&self.policy)?,
        });
        print_run(&played);
        for (time, annotation) in &played.annotations {
            println!("{time:>10.3}  {annotation}");
        }
        for (second, (wanted, served)) in played.outcome.demand.iter().zip(&played.outcome.served).enumerate()
        {
            let share = if *wanted > 0.0 { served / wanted } else { 1.0 };
            let bar = "#".repeat((share * 60.0).round().clamp(0.0, 60.0) as usize);
            println!("{second:>6} s  {share:.3}  {bar}");
        }
        println!("digest {}, {} events", played.digest, played.events);
        for breach in &played.violations {
            runs::print_violation(breach, &self.file.display().to_string(), self.seed, &self.policy);
        }
        Ok(played.violations.is_empty())
    }
}
