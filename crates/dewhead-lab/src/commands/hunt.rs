//! `hunt`: searches the worst days.

use crate::hunt::{self, Finding};
use crate::runs;
use argh::FromArgs;
use dewhead_world::experiment::Experiment;
use indicatif::ProgressBar;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Search combinations of troubles for the days on which dewhead loses most against the top, and shrink them.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
pub struct Hunt {
    /// the experiment whose fleet, load and rules are kept; the plain one if not given
    #[argh(option)]
    base: Option<PathBuf>,
    /// for how many minutes; 30 if not given
    #[argh(option, default = "30.0")]
    minutes: f64,
    /// stop after so many rounds of 16 days, whatever the time, so that the hunt can be repeated exactly
    #[argh(option)]
    rounds: Option<usize>,
    /// the seed of the search
    #[argh(option, default = "1")]
    seed: u64,
    /// how many of the worst are shrunk and kept
    #[argh(option, default = "3")]
    keep: usize,
    /// where they are written, as worst-1.toml and so on
    #[argh(option)]
    out: Option<PathBuf>,
}

impl Hunt {
    pub fn carry_out(&self) -> Result<bool, String> {
        let base = match &self.base {
            Some(path) => runs::read_experiment(path)?,
            None => Experiment::default(),
        };
        let end = Instant::now() + Duration::from_secs_f64((self.minutes * 60.0).clamp(0.0, 1e6));
        let bar = ProgressBar::new_spinner();
        let best = hunt::search(&base, self.seed, |round, played, best| {
            let worst = best.first().map_or(0.0, |f| f.loss);
            bar.set_message(format!("{played} days played, the worst loses {worst:.3}"));
            bar.tick();
            self.rounds.map_or(Instant::now() < end, |most| round < most)
        });
        bar.finish_and_clear();
        let mut sound = true;
        for (n, find) in best.iter().enumerate() {
            println!("{}", tells(n + 1, find));
            sound &= find.violations == 0;
        }
        if let Some(dir) = &self.out {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
            for (n, find) in best.iter().take(self.keep).enumerate() {
                let mut small = hunt::shrink(find);
                let kinds = hunt::trouble_kinds(&small.experiment).join(", ");
                small.experiment.name = format!("worst-{}", n + 1);
                small.experiment.description = format!(
                    "found by a hunt and shrunk: {kinds}; the top reaches {:.3} there and dewhead {:.3}",
                    small.oracle_service, small.dewhead_service
                );
                small.experiment.seeds = vec![small.seed];
                let text = toml::to_string(&small.experiment).map_err(|e| e.to_string())?;
                let path = dir.join(format!("worst-{}.toml", n + 1));
                std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
                println!("{}: {}", path.display(), tells(n + 1, &small));
            }
        }
        Ok(sound)
    }
}

fn tells(place: usize, find: &Finding) -> String {
    let troubles: Vec<String> = find
        .experiment
        .troubles
        .iter()
        .map(|t| {
            format!("{} at {} for {} (part {}, size {})", t.kind, t.at, t.duration, t.fraction, t.magnitude)
        })
        .collect();
    format!(
        "{place}. loses {:.3}: top {:.3}, dewhead {:.3}, breaches {}, load {}; {}",
        find.loss,
        find.oracle_service,
        find.dewhead_service,
        find.violations,
        find.experiment.load.utilisation,
        troubles.join("; ")
    )
}
