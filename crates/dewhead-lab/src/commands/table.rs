//! `table`: the module against the baselines and the top, over many experiments, as a table for a page.

use crate::runs::{self, Task};
use crate::{policy, stats};
use argh::FromArgs;
use std::path::PathBuf;

/// A table of all who decide over these experiments, and where the module lies between random and the top.
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Table {
    /// the experiments' files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// seeds: 3, 1..10 or 1,4,9
    #[argh(option, default = "String::from(\"1..10\")")]
    seeds: String,
}

impl Table {
    pub fn carry_out(&self) -> Result<bool, String> {
        let seeds = runs::parse_seeds(&self.seeds)?;
        let names: Vec<&str> =
            std::iter::once("dewhead").chain(policy::NAMED_POLICIES.iter().map(|(n, _)| *n)).collect();
        println!("| experiment | {} | place | worst 10 s | breaches |", names.join(" | "));
        println!("| --- |{}", " --- |".repeat(names.len() + 3));
        let mut sound = true;
        for file in &self.files {
            let of = runs::read_experiment(file)?;
            for (point, of) in of.matrix_points().map_err(|e| format!("{}: {e}", file.display()))? {
                let mut tasks = Vec::new();
                for name in &names {
                    let who = runs::parse_proxy_kind(name)?;
                    tasks.extend(seeds.iter().map(|s| Task {
                        point: point.clone(),
                        experiment: of.clone(),
                        seed: *s,
                        proxy: who,
                    }));
                }
                let played = runs::run_tasks(&tasks, true);
                let of_name = |name: &str| played.iter().filter(|p| p.proxy_name == name).collect::<Vec<_>>();
                let service =
                    |name: &str| -> Vec<f64> { of_name(name).iter().map(|p| p.outcome.service).collect() };
                let cells: Vec<String> =
                    names.iter().map(|n| format!("{:.3}", stats::mean(&service(n)))).collect();
                let (random, top) = (stats::mean(&service("random")), stats::mean(&service("top")));
                let place = (stats::mean(&service("dewhead")) - random) / (top - random);
                // Where random does as well as the top, there is nothing in between.
                let place = if top - random > 0.01 { format!("{place:.2}") } else { "-".into() };
                let worst: Vec<f64> =
                    of_name("dewhead").iter().map(|p| p.outcome.worst_ten_seconds).collect();
                let broken: Vec<String> = names
                    .iter()
                    .map(|n| of_name(n).iter().map(|p| p.violations.len()).sum::<usize>())
                    .map(|n| n.to_string())
                    .collect();
                sound &= of_name("dewhead").iter().all(|p| p.violations.is_empty());
                let label = if point.is_empty() { of.name.clone() } else { format!("{}, {point}", of.name) };
                let line = (cells.join(" | "), stats::mean(&worst), broken.join("/"));
                println!("| {label} | {} | {place} | {:.3} | {} |", line.0, line.1, line.2);
            }
        }
        Ok(sound)
    }
}
