//! `compare`: two who decide, or two builds, on the same seeds; paired differences with their confidence.

use crate::runs::{self, ComparedRun, Task};
use crate::stats;
use argh::FromArgs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Compare two on the same seeds: who decides, or an earlier build's lab as lab:PATH.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// the experiments' files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// the one: dewhead, a baseline, top, or lab:PATH for another build of this program
    #[argh(option, default = "String::from(\"dewhead\")")]
    a: String,
    /// the other
    #[argh(option)]
    b: String,
    /// seeds: 3, 1..10 or 1,4,9
    #[argh(option, default = "String::from(\"1..10\")")]
    seeds: String,
}

type Figures = Vec<(String, u64, f64, f64, usize)>;

impl Compare {
    pub fn carry_out(&self) -> Result<bool, String> {
        if self.files.is_empty() {
            return Err("compare: no experiment's file is named".into());
        }
        println!(
            "differences are {} less {}, paired by seed, with 95 in a hundred confidence",
            self.a, self.b
        );
        let mut sound = true;
        for file in &self.files {
            let (a, b) = (self.figures(file, &self.a)?, self.figures(file, &self.b)?);
            let pairs: Vec<_> = a
                .iter()
                .filter_map(|x| b.iter().find(|y| (&y.0, y.1) == (&x.0, x.1)).map(|y| (x, y)))
                .collect();
            if pairs.len() < a.len().max(b.len()) {
                return Err(format!("{}: the two did not play the same runs", file.display()));
            }
            sound &= pairs.iter().all(|(x, y)| x.4 + y.4 == 0);
            let mut points: Vec<&str> = pairs.iter().map(|(x, _)| x.0.as_str()).collect();
            points.dedup();
            for point in points {
                let at: Vec<_> = pairs.iter().filter(|(x, _)| x.0 == point).collect();
                let of = |f: fn(&(String, u64, f64, f64, usize)) -> f64| {
                    let both: Vec<(f64, f64)> = at.iter().map(|(x, y)| (f(x), f(y))).collect();
                    let differences: Vec<f64> = both.iter().map(|(x, y)| x - y).collect();
                    let means =
                        |n: fn(&(f64, f64)) -> f64| stats::mean(&both.iter().map(n).collect::<Vec<_>>());
                    (means(|p| p.0), means(|p| p.1), stats::confidence_interval(&differences))
                };
                let (service, worst) = (of(|x| x.2), of(|x| x.3));
                let tells = |(x, y, (d, w)): (f64, f64, (f64, f64))| {
                    let clear = if d.abs() > w { "" } else { " (noise)" };
                    format!("{x:.4} against {y:.4}: {d:+.4} +- {w:.4}{clear}")
                };
                let name = file.file_stem().map_or_else(String::new, |s| s.to_string_lossy().into_owned());
                println!(
                    "{name} {point}\n    service     {}\n    worst 10 s  {}",
                    tells(service),
                    tells(worst)
                );
            }
        }
        Ok(sound)
    }

    fn figures(&self, file: &Path, who: &str) -> Result<Figures, String> {
        if let Some(lab) = who.strip_prefix("lab:") {
            return other_lab(Path::new(lab), file, &self.seeds);
        }
        let (of, who) = (runs::read_experiment(file)?, runs::parse_proxy_kind(who)?);
        let points = of.matrix_points().map_err(|e| format!("{}: {e}", file.display()))?;
        let seeds = runs::parse_seeds(&self.seeds)?;
        let tasks: Vec<Task> = points
            .iter()
            .flat_map(|(point, of)| {
                seeds.iter().map(|seed| Task {
                    point: point.clone(),
                    experiment: of.clone(),
                    seed: *seed,
                    proxy: who,
                })
            })
            .collect();
        let played = runs::run_tasks(&tasks, true);
        Ok(played
            .into_iter()
            .map(|p| (p.point, p.seed, p.outcome.service, p.outcome.worst_ten_seconds, p.violations.len()))
            .collect())
    }
}

/// Another build plays the same with its own reducer.
fn other_lab(lab: &Path, file: &Path, seeds: &str) -> Result<Figures, String> {
    let dir = std::env::temp_dir().join(format!("dewhead-lab-{}", std::process::id()));
    let status = Command::new(lab)
        .args(["run", "--quiet", "--seeds", seeds, "--out"])
        .arg(&dir)
        .arg(file)
        .stdout(std::process::Stdio::null())
        .status()
        .map_err(|e| format!("{}: {e}", lab.display()))?;
    if status.code().is_none_or(|c| c == 1) {
        return Err(format!("{}: it ended with {status}", lab.display()));
    }
    let path = dir.join("runs.jsonl");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    // The folder is this process's own; if it can't be removed, the next run of this id writes over it.
    let _ = std::fs::remove_dir_all(&dir);
    text.lines()
        .map(|line| {
            let read: ComparedRun =
                serde_json::from_str(line).map_err(|e| format!("{}: {e}", path.display()))?;
            Ok((
                read.point,
                read.seed,
                read.outcome.service,
                read.outcome.worst_ten_seconds,
                read.violations.len(),
            ))
        })
        .collect()
}
