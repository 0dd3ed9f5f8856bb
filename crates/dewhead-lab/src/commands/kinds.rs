//! `kinds`: the troubles that there are.

use argh::FromArgs;
use dewhead_world::troubles::KINDS;

/// List the kinds of trouble that an experiment can name.
#[derive(FromArgs)]
#[argh(subcommand, name = "kinds")]
pub struct Kinds {}

impl Kinds {
    pub fn carry_out(&self) -> Result<bool, String> {
        for kind in KINDS {
            println!("{:<18} {}", kind.name, kind.about);
        }
        Ok(true)
    }
}
