//! `table`: compares dewhead with the baseline policies over many experiments, as a Markdown table.

use crate::runs::{self, Task};
use crate::{policy, stats};
use argh::FromArgs;
use std::path::PathBuf;

/// Print a Markdown table of the service of all policies in the given experiments, and where dewhead lies between the
/// policies random (0) and top (1).
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
pub struct Table {
    /// experiment files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// seeds: 3, 1..10 or 1,4,9; 1..10 if not given
    #[argh(option, default = "String::from(\"1..10\")")]
    seeds: String,
}

impl Table {
    /// Runs the command; returns whether dewhead violated no rule.
    pub fn execute(&self) -> Result<bool, String> {
        let seeds = runs::parse_seeds(&self.seeds)?;
        let names: Vec<&str> =
            std::iter::once("dewhead").chain(policy::NAMED_POLICIES.iter().map(|(n, _)| *n)).collect();
        println!("| experiment | {} | place | worst 10 s | breaches |", names.join(" | "));
        println!("| --- |{}", " --- |".repeat(names.len() + 3));
        let mut no_violations = true;
        for file in &self.files {
            let experiment = runs::read_experiment(file)?;
            for (point, experiment) in
                experiment.matrix_points().map_err(|e| format!("{}: {e}", file.display()))?
            {
                let mut tasks = Vec::new();
                for name in &names {
                    let proxy_kind = runs::parse_proxy_kind(name)?;
                    tasks.extend(seeds.iter().map(|s| Task {
                        point: point.clone(),
                        experiment: experiment.clone(),
                        seed: *s,
                        proxy: proxy_kind,
                    }));
                }
                let results = runs::run_tasks(&tasks, true);
                let runs_of =
                    |name: &str| results.iter().filter(|r| r.proxy_name == name).collect::<Vec<_>>();
                let service =
                    |name: &str| -> Vec<f64> { runs_of(name).iter().map(|p| p.outcome.service).collect() };
                let cells: Vec<String> =
                    names.iter().map(|n| format!("{:.3}", stats::mean(&service(n)))).collect();
                let (random, top) = (stats::mean(&service("random")), stats::mean(&service("top")));
                let relative_service = (stats::mean(&service("dewhead")) - random) / (top - random);
                // The ratio is meaningless where random does almost as well as top.
                let relative_service =
                    if top - random > 0.01 { format!("{relative_service:.2}") } else { "-".into() };
                let worst: Vec<f64> =
                    runs_of("dewhead").iter().map(|p| p.outcome.worst_ten_seconds).collect();
                let violation_counts: Vec<String> = names
                    .iter()
                    .map(|n| runs_of(n).iter().map(|p| p.violations.len()).sum::<usize>())
                    .map(|n| n.to_string())
                    .collect();
                no_violations &= runs_of("dewhead").iter().all(|p| p.violations.is_empty());
                let label = if point.is_empty() {
                    experiment.name.clone()
                } else {
                    format!("{}, {point}", experiment.name)
                };
                let columns = (cells.join(" | "), stats::mean(&worst), violation_counts.join("/"));
                println!(
                    "| {label} | {} | {relative_service} | {:.3} | {} |",
                    columns.0, columns.1, columns.2
                );
            }
        }
        Ok(no_violations)
    }
}
