//! `hunt`: searches for combinations of troubles that dewhead handles worst.

use crate::hunt::{self, Finding};
use crate::runs;
use argh::FromArgs;
use dewhead_world::experiment::Experiment;
use indicatif::ProgressBar;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Search for the combinations of troubles under which dewhead loses most against the policy top, and shrink them to
/// the troubles that matter.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
pub struct Hunt {
    /// experiment file that gives fleet, load and rules; the default experiment if not given
    #[argh(option)]
    base: Option<PathBuf>,
    /// duration of the search in minutes; 30 if not given
    #[argh(option, default = "30.0")]
    minutes: f64,
    /// stop after this number of rounds of 16 combinations instead of by time, so that the search is reproducible
    #[argh(option)]
    rounds: Option<usize>,
    /// seed of the search; 1 if not given
    #[argh(option, default = "1")]
    seed: u64,
    /// number of the worst combinations to shrink and write; 3 if not given
    #[argh(option, default = "3")]
    keep: usize,
    /// folder in which to write them as worst-1.toml and so on; nowhere if not given
    #[argh(option)]
    out: Option<PathBuf>,
}

impl Hunt {
    /// Runs the command; returns whether no combination that was found violated a rule.
    pub fn execute(&self) -> Result<bool, String> {
        let base = match &self.base {
            Some(path) => runs::read_experiment(path)?,
            None => Experiment::default(),
        };
        let end = Instant::now() + Duration::from_secs_f64((self.minutes * 60.0).clamp(0.0, 1e6));
        let progress = ProgressBar::new_spinner();
        let findings = hunt::search(&base, self.seed, |round, evaluated, worst_so_far| {
            let highest_loss = worst_so_far.first().map_or(0.0, |f| f.loss);
            progress
                .set_message(format!("{evaluated} combinations played, the worst loses {highest_loss:.3}"));
            progress.tick();
            self.rounds.map_or(Instant::now() < end, |limit| round < limit)
        });
        progress.finish_and_clear();
        let mut no_violations = true;
        for (i, finding) in findings.iter().enumerate() {
            println!("{}", summary(i + 1, finding));
            no_violations &= finding.violations == 0;
        }
        if let Some(dir) = &self.out {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            for (i, finding) in findings.iter().take(self.keep).enumerate() {
                let mut shrunk = hunt::shrink(finding);
                let kinds = hunt::trouble_kinds(&shrunk.experiment).join(", ");
                shrunk.experiment.name = format!("worst-{}", i + 1);
                shrunk.experiment.description = format!(
                    "found by a hunt and shrunk: {kinds}; the top reaches {:.3} there and dewhead {:.3}",
                    shrunk.oracle_service, shrunk.dewhead_service
                );
                shrunk.experiment.seeds = vec![shrunk.seed];
                let text = toml::to_string(&shrunk.experiment).map_err(|e| e.to_string())?;
                let path = dir.join(format!("worst-{}.toml", i + 1));
                std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
                println!("{}: {}", path.display(), summary(i + 1, &shrunk));
            }
        }
        Ok(no_violations)
    }
}

/// A finding as one line of text.
fn summary(rank: usize, finding: &Finding) -> String {
    let troubles: Vec<String> = finding
        .experiment
        .troubles
        .iter()
        .map(|t| {
            format!("{} at {} for {} (part {}, size {})", t.kind, t.at, t.duration, t.fraction, t.magnitude)
        })
        .collect();
    format!(
        "{rank}. loses {:.3}: top {:.3}, dewhead {:.3}, breaches {}, load {}; {}",
        finding.loss,
        finding.oracle_service,
        finding.dewhead_service,
        finding.violations,
        finding.experiment.load.utilisation,
        troubles.join("; ")
    )
}
