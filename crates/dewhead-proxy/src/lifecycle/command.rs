//! The command line.

use super::configuration::Configuration;
use argh::FromArgs;
use std::path::PathBuf;

/// A balancer for long-lived connections.
#[derive(FromArgs)]
pub struct Line {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Serve until told to stop by SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; the file that LB_CONFIG names if not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Read a configuration and say what is wrong with it, without serving.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; the file that LB_CONFIG names if not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

pub fn read() -> Line {
    argh::from_env()
}

pub fn carry_out(line: &Line) -> Result<(), String> {
    match &line.command {
        Command::Serve(serve) => super::serve(serve.config.clone()),
        Command::Check(check) => {
            let read = Configuration::load(check.config.as_deref())?;
            println!("{} would serve on {}", read.name, read.listen);
            Ok(())
        }
        Command::Version(_) => {
            println!("dewhead {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
