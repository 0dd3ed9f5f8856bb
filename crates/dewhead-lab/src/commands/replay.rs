//! `replay`: one run again, with all that was seen of it.

use super::run::tell;
use crate::runs::{self, Task};
use argh::FromArgs;
use std::path::PathBuf;

/// Play one run again and tell its breaches, its marks and its digest.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Replay {
    /// the experiment's file
    #[argh(positional)]
    file: PathBuf,
    /// the seed
    #[argh(option)]
    seed: u64,
    /// who decides
    #[argh(option, default = "String::from(\"dewhead\")")]
    who: String,
    /// which point of the matrix, from 0
    #[argh(option, default = "0")]
    point: usize,
}

impl Replay {
    pub fn carry_out(&self) -> Result<bool, String> {
        let of = runs::read_experiment(&self.file)?;
        let points = of.matrix_points().map_err(|e| format!("{}: {e}", self.file.display()))?;
        let (point, of) = points.get(self.point).ok_or("--point: the matrix has fewer points")?.clone();
        let played = runs::run_task(&Task {
            point,
            experiment: of,
            seed: self.seed,
            proxy: runs::parse_proxy_kind(&self.who)?,
        });
        tell(&played);
        for (at, what) in &played.annotations {
            println!("{at:>10.3}  {what}");
        }
        for (second, (wanted, served)) in played.outcome.demand.iter().zip(&played.outcome.served).enumerate()
        {
            let share = if *wanted > 0.0 { served / wanted } else { 1.0 };
            let bar = "#".repeat((share * 60.0).round().clamp(0.0, 60.0) as usize);
            println!("{second:>6} s  {share:.3}  {bar}");
        }
        println!("digest {}, {} events", played.digest, played.events);
        for breach in &played.violations {
            runs::print_violation(breach, &self.file.display().to_string(), self.seed, &self.who);
        }
        Ok(played.violations.is_empty())
    }
}
