//! The command line and its sub-commands.

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

/// Serve until stopped by SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// path of the configuration file; defaults to the value of LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// take over from the process with this control socket: its listening socket and the state it has learned
    #[argh(option)]
    take_over: Option<PathBuf>,
    /// with --take-over: time over which that process moves its clients away, in seconds
    #[argh(option)]
    leave_in: Option<f64>,
}

/// Read a configuration and report errors in it, without serving.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// path of the configuration file; defaults to the value of LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Query or control a running proxy over its control socket.
#[derive(FromArgs)]
#[argh(subcommand, name = "ctl")]
struct Ctl {
    /// status, connections, drain, undrain, reload or handover
    #[argh(positional)]
    action: String,
    /// path of the control socket; defaults to the one in the configuration
    #[argh(option)]
    socket: Option<PathBuf>,
    /// path of the configuration file; defaults to the value of LB_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// for drain: time over which clients are moved away, in seconds
    #[argh(option)]
    seconds: Option<f64>,
    /// for handover: path of the program that takes over; defaults to the program of the running proxy
    #[argh(option)]
    program: Option<String>,
    /// print the response as received, one line of JSON
    #[argh(switch)]
    json: bool,
}

impl Ctl {
    /// Sends the request and prints the response.
    fn execute(&self) -> Result<(), String> {
        let socket = match &self.socket {
            Some(path) => path.clone(),
            None => Configuration::load(self.config.as_deref())?
                .control_socket
                .ok_or("no control socket: give --socket, or set field 'control' in the configuration")?,
        };
        let response = client::send_request(&socket, &self.action, self.seconds, self.program.as_deref())?;
        if self.json {
            println!("{response}");
        } else {
            print!("{}", client::format_plain_text(&response));
        }
        Ok(())
    }
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// Parses the arguments of this process. Exits on `--help` and on invalid arguments.
pub fn parse() -> CommandLine {
    argh::from_env()
}

/// Runs the sub-command.
pub fn execute(command_line: &CommandLine) -> Result<(), String> {
    match &command_line.command {
        Command::Serve(serve) => super::serve(serve.config.clone(), serve.take_over.clone(), serve.leave_in),
        Command::Check(check) => {
            let configuration = Configuration::load(check.config.as_deref())?;
            println!("{} would serve on {}", configuration.name, configuration.listen);
            Ok(())
        }
        Command::Ctl(ctl) => ctl.execute(),
        Command::Version(_) => {
            println!("dewhead {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
