//! The command line.

use super::configuration::Configuration;
use crate::control::client;
use argh::FromArgs;
use std::path::PathBuf;

/// A balancer for long-lived connections.
#[derive(FromArgs)]
pub struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Ctl(Ctl),
    Version(Version),
}

/// Serve until told to stop by SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; the file that LB_CONFIG names if not given
    #[argh(option)]
    config: Option<PathBuf>,
    /// take the place of the process with this control socket: its listening socket and what it has learned
    #[argh(option)]
    take_over: Option<PathBuf>,
    /// with --take-over: over how many seconds that process sends its clients away
    #[argh(option)]
    leave_in: Option<f64>,
}

/// Read a configuration and say what is wrong with it, without serving.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; the file that LB_CONFIG names if not given
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Ask a running proxy, or tell it what to do, over its control socket.
#[derive(FromArgs)]
#[argh(subcommand, name = "ctl")]
struct Ctl {
    /// status, connections, drain, undrain, reload or handover
    #[argh(positional)]
    action: String,
    /// the control socket; the one that the configuration names if not given
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the configuration; the file that LB_CONFIG names if not given
    #[argh(option)]
    config: Option<PathBuf>,
    /// for drain: over how many seconds clients are sent away
    #[argh(option)]
    seconds: Option<f64>,
    /// for handover: the program that takes the place; the running one's own if not given
    #[argh(option)]
    program: Option<String>,
    /// print the answer as it came, one line of JSON
    #[argh(switch)]
    json: bool,
}

impl Ctl {
    fn execute(&self) -> Result<(), String> {
        let socket = match &self.socket {
            Some(path) => path.clone(),
            None => Configuration::load(self.config.as_deref())?
                .control_socket
                .ok_or("no control socket: give --socket, or set field 'control' in the configuration")?,
        };
        let answer = client::send_request(&socket, &self.action, self.seconds, self.program.as_deref())?;
        if self.json {
            println!("{answer}");
        } else {
            print!("{}", client::format_plain_text(&answer));
        }
        Ok(())
    }
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

pub fn parse() -> CommandLine {
    argh::from_env()
}

pub fn execute(line: &CommandLine) -> Result<(), String> {
    match &line.command {
        Command::Serve(serve) => super::serve(serve.config.clone(), serve.take_over.clone(), serve.leave_in),
        Command::Check(check) => {
            let read = Configuration::load(check.config.as_deref())?;
            println!("{} would serve on {}", read.name, read.listen);
            Ok(())
        }
        Command::Ctl(ctl) => ctl.execute(),
        Command::Version(_) => {
            println!("dewhead {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
