//! `report`: a page of what runs came to.

use crate::report::{self, ReportedRun};
use argh::FromArgs;
use std::path::PathBuf;

/// Make one self-contained page, DIR/report.html, of the runs that were written to DIR.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// the folder that run --out wrote
    #[argh(positional)]
    dir: PathBuf,
}

impl Report {
    pub fn carry_out(&self) -> Result<bool, String> {
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
        let to = self.dir.join("report.html");
        std::fs::write(&to, page).map_err(|e| format!("{}: {e}", to.display()))?;
        println!("{}", to.display());
        Ok(true)
    }
}
