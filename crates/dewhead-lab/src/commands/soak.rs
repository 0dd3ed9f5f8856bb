//! `soak`: real processes under overlapping troubles and failing system calls, over many seeds.

use crate::runs;
use crate::soak::{Scenario, ScenarioSize, SoakResult};
use crate::sockets;
use argh::FromArgs;
use std::path::PathBuf;

/// Soak real proxies: two or three troubles that overlap, and system calls that fail, drawn for each seed. Exit code 2
/// where a rule was broken, the proxies' own guard found a promise broken, or a process panicked.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// seeds: 3, 1..10 or 1,4,9; 1..5 if not given
    #[argh(option, default = "String::from(\"1..5\")")]
    seeds: String,
    /// how many proxies; 12 if not given
    #[argh(option, default = "12")]
    proxies: usize,
    /// how many nodes; 16 if not given
    #[argh(option, default = "16")]
    nodes: usize,
    /// how long a day lasts, in seconds; 20 if not given
    #[argh(option, default = "20.0")]
    seconds: f64,
    /// the proxy's binary; the one beside this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// a folder for the proxies' logs, one below it for each seed; a temporary one if not given
    #[argh(option)]
    logs: Option<PathBuf>,
    /// print the drawn days as experiments, and play none
    #[argh(switch)]
    draw: bool,
}

impl Soak {
    pub fn carry_out(&self) -> Result<bool, String> {
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
        let temporary = std::env::temp_dir().join(format!("dewhead-soak-{}", std::process::id()));
        let logs = self.logs.as_ref().unwrap_or(&temporary);
        let mut sound = true;
        for day in &days {
            let verdict = day.run(&proxy, &library, &logs.join(day.seed.to_string()))?;
            tell(&verdict);
            sound &= verdict.passed();
        }
        if self.logs.is_none() {
            // What is left of it is in a folder for such.
            let _ = std::fs::remove_dir_all(&temporary);
        }
        Ok(sound)
    }
}

fn tell(verdict: &SoakResult) {
    let late = if verdict.is_late() { "  LATE, says little" } else { "" };
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
        for (at, what) in &breach.trace {
            println!("    {at:>10.4}  {what}");
        }
    }
    verdict.process_failures.iter().for_each(|line| println!("  {line}"));
}
