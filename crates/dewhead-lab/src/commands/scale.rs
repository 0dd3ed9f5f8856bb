//! `scale`: hollow proxies beside real ones at many sizes, then what each unit costs.

use crate::scale::fit;
use crate::scale::plan::Plan;
use crate::scale::run::{run_point, RunResult};
use argh::FromArgs;
use std::io::Write;
use std::path::PathBuf;

/// Run hollow proxies beside real ones at each size of a plan, and fit what each unit costs.
#[derive(FromArgs)]
#[argh(subcommand, name = "scale")]
pub struct Scale {
    /// the plan's file
    #[argh(positional)]
    file: PathBuf,
    /// where to write the runs as JSON lines; nowhere if not given
    #[argh(option)]
    out: Option<PathBuf>,
    /// the real proxy's binary; the one beside this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
}

impl Scale {
    pub fn execute(&self) -> Result<bool, String> {
        let named = |e: String| format!("{}: {e}", self.file.display());
        let text = std::fs::read_to_string(&self.file).map_err(|e| named(e.to_string()))?;
        let plan = Plan::parse(&text).map_err(named)?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let proxy = self.proxy.clone().unwrap_or_else(|| program.with_file_name("dewhead"));
        if plan.real_proxies > 0 && !proxy.is_file() {
            return Err(format!(
                "{}: there is no such program; build it, or name it with --proxy",
                proxy.display()
            ));
        }
        let mut out = match &self.out {
            Some(path) => Some(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?),
            None => None,
        };
        let stopped = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
            signal_hook::flag::register(signal, stopped.clone()).map_err(|e| e.to_string())?;
        }
        let runs = plan.runs();
        println!("{}: {} runs of {} s", plan.name, runs.len(), plan.seconds);
        let mut told: Vec<RunResult> = Vec::new();
        for (at, (point, trouble)) in runs.iter().enumerate() {
            let sizes = (plan.seconds, plan.processes, plan.real_proxies);
            let one = run_point(*point, *trouble, sizes, (&program, &proxy), &stopped)?;
            println!("{:3} {}", at + 1, fit::summary(&one));
            if let Some(out) = &mut out {
                let line = serde_json::to_string(&one).map_err(|e| e.to_string())?;
                writeln!(out, "{line}").map_err(|e| e.to_string())?;
            }
            told.push(one);
        }
        let sound = fit::print_report(&told);
        if told.iter().any(|t| t.late) {
            println!("runs marked late tell little of times: give the machine to them alone");
        }
        Ok(sound)
    }
}
