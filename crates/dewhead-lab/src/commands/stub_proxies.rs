//! `hollow`: a process of stub proxies, started by `scale`.

use crate::scale::stub_proxy::{run_process, StubSpec};
use argh::FromArgs;

/// Run stub proxies for a scale run, controlled through standard input; started by `scale`.
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
pub struct StubProxies {
    /// number of proxies and their load, as JSON
    #[argh(positional)]
    spec: String,
}

impl StubProxies {
    /// Runs the command; returns true.
    pub fn execute(&self) -> Result<bool, String> {
        let spec: StubSpec = serde_json::from_str(&self.spec).map_err(|e| e.to_string())?;
        run_process(spec).map(|()| true)
    }
}
