//! `soak`: runs real proxies under overlapping troubles and failing system calls, for many seeds.

use crate::runs;
use crate::soak::{Scenario, ScenarioSize, SoakResult};
use crate::sockets;
use argh::FromArgs;
use std::path::PathBuf;

/// Run real proxies under two or three overlapping troubles and failing system calls, drawn for each seed. Exit code 2
/// if a rule was violated, a proxy's own checks reported a violation, or a process panicked.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// seeds: 3, 1..10 or 1,4,9; 1..5 if not given
    #[argh(option, default = "String::from(\"1..5\")")]
    seeds: String,
    /// number of proxies; 12 if not given
    #[argh(option, default = "12")]
    proxies: usize,
    /// number of nodes; 16 if not given
    #[argh(option, default = "16")]
    nodes: usize,
    /// duration of each run in seconds; 20 if not given
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// the proxy's binary; the one next to this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// a folder for the proxies' logs, with a subfolder for each seed; a temporary one if not given
    #[argh(option)]
    logs: Option<PathBuf>,
    /// print the drawn experiments without playing them
    #[argh(switch)]
    draw: bool,
}

impl Soak {
    /// Runs the command; returns whether all seeds passed.
    pub fn execute(&self) -> Result<bool, String> {
        let size = ScenarioSize { proxies: self.proxies, nodes: self.nodes, seconds: self.seconds };
        let days: Vec<Scenario> =
            runs::parse_seeds(&self.seeds)?.into_iter().map(|seed| Scenario::generate(size, seed)).collect();
        if self.draw {
            for day in &days {
                println!(
                    "# --faults {}\n{}",
                    day.fault_plan,
                    toml::to_string(&day.experiment).map_err(|e| e.to_string())?
                );
            }
            return Ok(true);
        }
        let proxy = self.proxy.clone().map_or_else(sockets::find_proxy_binary, Ok)?;
        let library = sockets::find_faults_library()?;
        let temporary_logs = std::env::temp_dir().join(format!("dewhead-soak-{}", std::process::id()));
        let logs = self.logs.as_ref().unwrap_or(&temporary_logs);
        let mut all_sound = true;
        for day in &days {
            let verdict = day.run(&proxy, &library, &logs.join(day.seed.to_string()))?;
            print_verdict(&verdict);
            all_sound &= verdict.passed();
        }
        if self.logs.is_none() {
            // An error is ignored: the folder is in the system's folder for temporary files.
            let _ = std::fs::remove_dir_all(&temporary_logs);
        }
        Ok(all_sound)
    }
}

/// Prints the outcome of one seed.
fn print_verdict(verdict: &SoakResult) {
    let late = if verdict.is_late() { "  LATE, times unreliable" } else { "" };
    println!(
        "seed {:>3}{late}  service {:.3}  completed {}  unanswered {}  breaches {}  violations and panics {}  lab late {:.3} s  \
         {}  --faults {}",
        verdict.seed,
        verdict.service,
        verdict.completed,
        verdict.unanswered,
        verdict.violations.len(),
        verdict.process_failures.len(),
        verdict.lateness,
        verdict.troubles.join("; "),
        verdict.fault_plan,
    );
    for breach in &verdict.violations {
        let call = breach.call.as_deref().unwrap_or("none");
        println!(
            "  breach of {:?} at {:.3} s, proxy {}, call {call}: {}",
            breach.rule, breach.at, breach.proxy, breach.description
        );
        for (time, annotation) in &breach.trace {
            println!("    {time:>10.4}  {annotation}");
        }
    }
    verdict.process_failures.iter().for_each(|line| println!("  {line}"));
}
