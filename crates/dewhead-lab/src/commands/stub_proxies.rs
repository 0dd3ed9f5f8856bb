//! `hollow`: a process of hollow proxies, started by `scale`.

use crate::scale::stub_proxy::{run_process, StubSpec};
use argh::FromArgs;

/// Hollow proxies for a scale run, told what to do on standard input; `scale` starts it.
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
pub struct StubProxies {
    /// what to be, as JSON
    #[argh(positional)]
    spec: String,
}

impl StubProxies {
    pub fn execute(&self) -> Result<bool, String> {
        let spec: StubSpec = serde_json::from_str(&self.spec).map_err(|e| e.to_string())?;
        run_process(spec).map(|()| true)
    }
}
