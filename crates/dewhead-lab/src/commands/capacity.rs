//! `capacity`: the capacity page's table, made of a scale run's results and the operators' targets.

use crate::scale::capacity;
use argh::FromArgs;
use std::path::PathBuf;

/// Print the table of docs/CAPACITY.md from kept results and targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// what `scale --out` wrote
    #[argh(positional)]
    results: PathBuf,
    /// the operators' targets
    #[argh(positional)]
    targets: PathBuf,
}

impl Capacity {
    pub fn execute(&self) -> Result<bool, String> {
        let read =
            |path: &PathBuf| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
        print!("{}", capacity::capacity_table(&read(&self.results)?, &read(&self.targets)?)?);
        Ok(true)
    }
}
