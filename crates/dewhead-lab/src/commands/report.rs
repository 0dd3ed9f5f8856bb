//! `report`: makes an HTML page of the results of runs.

use crate::report::{self, ReportedRun};
use argh::FromArgs;
use std::path::PathBuf;

/// Make a self-contained HTML page, DIR/report.html, of the runs written to DIR.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// folder that run --out wrote
    #[argh(positional)]
    dir: PathBuf,
}

impl Report {
    /// Runs the command; returns true.
    pub fn execute(&self) -> Result<bool, String> {
        let path = self.dir.join("runs.jsonl");
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let runs: Vec<ReportedRun> = text
            .lines()
            .enumerate()
            .map(|(n, line)| {
                serde_json::from_str(line).map_err(|e| format!("{}, line {}: {e}", path.display(), n + 1))
            })
            .collect::<Result<_, _>>()?;
        let page = report::render_page(&runs)?;
        let page_path = self.dir.join("report.html");
        std::fs::write(&page_path, page).map_err(|e| format!("{}: {e}", page_path.display()))?;
        println!("{}", page_path.display());
        Ok(true)
    }
}
