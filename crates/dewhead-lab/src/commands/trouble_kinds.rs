//! `kinds`: lists the kinds of trouble.

use argh::FromArgs;
use dewhead_world::troubles::TROUBLE_KINDS;

/// List the kinds of trouble that an experiment can name.
#[derive(FromArgs)]
#[argh(subcommand, name = "kinds")]
pub struct TroubleKinds {}

impl TroubleKinds {
    /// Runs the command; returns true.
    pub fn execute(&self) -> Result<bool, String> {
        for kind in TROUBLE_KINDS {
            println!("{:<18} {}", kind.name, kind.description);
        }
        Ok(true)
    }
}
