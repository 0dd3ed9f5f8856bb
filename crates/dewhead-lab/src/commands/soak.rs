//! `soak`: runs real proxies under overlapping troubles and failing system calls, for many seeds.

use crate::runs;
use crate::soak::{Scenario, ScenarioSize, SoakResult};
use crate::sockets;
use argh::FromArgs;
use std::path::PathBuf;

/// Run real proxies under two or three overlapping troubles and failing system calls, drawn for each seed. Exit code 2
/// if a rule was violated, a proxy's own checks reported a violation, or a process panicked or exited with an error.
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
    /// print the drawn experiments without running them
    #[argh(switch)]
    draw: bool,
}

impl Soak {
    /// Runs the command; returns whether all seeds passed.
    pub fn execute(&self) -> Result<bool, String> {
        let size = ScenarioSize { proxies: self.proxies, nodes: self.nodes, seconds: self.seconds };
        let scenarios: Vec<Scenario> =
            runs::parse_seeds(&self.seeds)?.into_iter().map(|seed| Scenario::generate(size, seed)).collect();
        if self.draw {
            for scenario in &scenarios {
                println!(
                    "# --faults {}\n{}",
                    scenario.fault_plan,
                    toml::to_string(&scenario.experiment).map_err(|e| e.to_string())?
                );
            }
            return Ok(true);
        }
        let proxy = self.proxy.clone().map_or_else(sockets::find_proxy_binary, Ok)?;
        let library = sockets::find_faults_library()?;
        let temporary_logs = std::env::temp_dir().join(format!("dewhead-soak-{}", std::process::id()));
        let logs = self.logs.as_ref().unwrap_or(&temporary_logs);
        let mut all_passed = true;
        for scenario in &scenarios {
            let result = scenario.run(&proxy, &library, &logs.join(scenario.seed.to_string()))?;
            print_result(&result);
            all_passed &= result.passed();
        }
        if self.logs.is_none() {
            // An error is ignored: the folder is in the system's folder for temporary files.
            let _ = std::fs::remove_dir_all(&temporary_logs);
        }
        Ok(all_passed)
    }
}

/// Prints the outcome of one seed.
fn print_result(result: &SoakResult) {
    let late = if result.is_late() { "  LATE, times unreliable" } else { "" };
    println!(
        "seed {:>3}{late}  service {:.3}  completed {}  unanswered {}  breaches {}  violations and panics {}  lab late {:.3} s  \
         {}  --faults {}",
        result.seed,
        result.service,
        result.completed,
        result.unanswered,
        result.violations.len(),
        result.process_failures.len(),
        result.lateness,
        result.troubles.join("; "),
        result.fault_plan,
    );
    for violation in &result.violations {
        let call = violation.call.as_deref().unwrap_or("none");
        println!(
            "  breach of {:?} at {:.3} s, proxy {}, call {call}: {}",
            violation.rule, violation.at, violation.proxy, violation.description
        );
        for (time, annotation) in &violation.trace {
            println!("    {time:>10.4}  {annotation}");
        }
    }
    result.process_failures.iter().for_each(|line| println!("  {line}"));
}
