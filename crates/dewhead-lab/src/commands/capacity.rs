//! `capacity`: prints the table of docs/CAPACITY.md.

use crate::scale::capacity;
use argh::FromArgs;
use std::path::PathBuf;

/// Print the table of docs/CAPACITY.md, computed from stored results and targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// results file written by `scale --out`
    #[argh(positional)]
    results: PathBuf,
    /// targets file (TOML)
    #[argh(positional)]
    targets: PathBuf,
}

impl Capacity {
    /// Runs the command; returns true.
    pub fn execute(&self) -> Result<bool, String> {
        let read_file =
            |path: &PathBuf| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
        print!("{}", capacity::capacity_table(&read_file(&self.results)?, &read_file(&self.targets)?)?);
        Ok(true)
    }
}
