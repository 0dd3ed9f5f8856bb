//! `hollow`: a process of hollow proxies, started by `scale`.

use crate::scale::hollow::{run, Spec};
use argh::FromArgs;

/// Hollow proxies for a scale run, told what to do on standard input; `scale` starts it.
#[derive(FromArgs)]
#[argh(subcommand, name = "hollow")]
pub struct Hollow {
    /// what to be, as JSON
    #[argh(positional)]
    spec: String,
}

impl Hollow {
    pub fn carry_out(&self) -> Result<bool, String> {
        let spec: Spec = serde_json::from_str(&self.spec).map_err(|e| e.to_string())?;
        run(spec).map(|()| true)
    }
}
