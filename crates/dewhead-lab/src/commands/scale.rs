//! `scale`: runs stub proxies beside real ones at many sizes and fits the cost models.

use crate::scale::fit;
use crate::scale::plan::Plan;
use crate::scale::run::{run_point, RunResult};
use argh::FromArgs;
use std::io::Write;
use std::path::PathBuf;

/// Run stub proxies beside real ones at each point of a plan, and fit the cost of each unit.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {
    /// plan file (TOML)
    #[argh(positional)]
    file: PathBuf,
    /// file in which to write the results as JSON lines; nowhere if not given
    #[argh(option)]
    out: Option<PathBuf>,
    /// the real proxy's binary; the one next to this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
}

impl Scale {
    /// Runs the command; returns whether the fitted models predict the largest run.
    pub fn execute(&self) -> Result<bool, String> {
        let with_file = |e: String| format!("{}: {e}", self.file.display());
        let text = std::fs::read_to_string(&self.file).map_err(|e| with_file(e.to_string()))?;
        let plan = Plan::parse(&text).map_err(with_file)?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let proxy = self.proxy.clone().unwrap_or_else(|| program.with_file_name("dewhead"));
        if plan.real_proxies > 0 && !proxy.is_file() {
            return Err(format!("{}: no such program; build it, or name it with --proxy", proxy.display()));
        }
        let mut out = match &self.out {
            Some(path) => Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?),
            None => None,
        };
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, stop.clone()).map_err(|e| e.to_string())?;
        }
        let runs = plan.runs();
        println!("{}: {} runs of {} s", plan.name, runs.len(), plan.seconds);
        let mut results: Vec<RunResult> = Vec::new();
        for (i, (point, trouble)) in runs.iter().enumerate() {
            let settings = (plan.seconds, plan.processes, plan.real_proxies);
            let result = run_point(*point, *trouble, settings, (&program, &proxy), &stop)?;
            println!("{:3} {}", i + 1, fit::summary(&result));
            if let Some(out) = &mut out {
                let line = serde_json::to_string(&result).map_err(|e| e.to_string())?;
                writeln!(out, "{line}").map_err(|e| e.to_string())?;
            }
            results.push(result);
        }
        let model_holds = fit::print_report(&results);
        if results.iter().any(|r| r.late) {
            println!("times of runs marked LATE are unreliable: repeat them on an otherwise idle machine");
        }
        Ok(model_holds)
    }
}
