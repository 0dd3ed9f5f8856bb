//! Start and stop: the command line, the configuration, signals and the log.

mod command;
pub mod configuration;
pub mod notify;
pub mod signals;
pub mod stages;

use crate::clock::Clock;
use crate::control::predecessor::Predecessor;
use crate::reducer::Reducer;
use crate::state::handover_state;
use crate::transient::retry_transient;
use crate::turn::{Renewed, Report, Turn};
use crate::wire::server_list::parse_list;
use configuration::{Configuration, Fixed};
use log::{error, info, warn};
use mio::net::TcpListener;
use notify::Notify;
use signals::Signals;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Runs the program; what it returns is the exit code.
pub fn run() -> i32 {
    let command = command::read();
    match command::carry_out(&command) {
        Ok(()) => 0,
        Err(fault) => {
            // A log that can't be written changes nothing of the outcome.
            let _ = writeln!(std::io::stderr(), "dewhead: {fault}");
            1
        }
    }
}

fn serve(path: Option<PathBuf>, take_over: Option<PathBuf>, leave_in: Option<f64>) -> Result<(), String> {
    // Before anything that takes time: a signal that nobody hears ends the process.
    let signals = Signals::listen()?;
    let read = Configuration::load_at_start(path.as_deref())?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    let Configuration {
        name,
        listen,
        discovery,
        seed,
        descriptors,
        remembered,
        startup,
        remarks,
        control,
        fixed,
    } = read;
    remarks.iter().for_each(|remark| warn!("settings: {remark}"));
    let clock = Clock::start();
    // From here on the other process serves until it is told that its place is taken; a fault before leaves it serving.
    let before = take_over.as_deref().map(Predecessor::ask).transpose()?;
    let handed = before.as_ref().and_then(|b| handover_state::decode(&b.handed));
    if before.is_some() && handed.is_none() {
        warn!("what was handed on is of another version, and left aside");
    }
    let newest = handed.as_ref().map_or(&remembered, |h| &h.list);
    // What another build has written is bad input like any other.
    let newest = if parse_list(newest, &startup.names.zones).is_ok() { newest } else { &remembered };
    let mut reducer = Reducer::new(clock.now(), startup, seed, discovery, descriptors, newest);
    if let Some(handed) = &handed {
        reducer.take_up(clock.now(), handed);
    }
    let (listener, predecessor) = match before {
        Some(before) => {
            let own = before.listener.local_addr().map_err(|e| format!("{listen}: {e}"))?;
            if own != listen {
                return Err(format!("the socket taken over is at {own}, and field 'listen' names {listen}"));
            }
            // It does not block: that is shared with the process that opened it.
            let (listener, predecessor) = before.succeeded(leave_in)?;
            (TcpListener::from_std(listener), Some(predecessor))
        }
        None => (listener(listen)?, None),
    };
    let again = path.clone();
    let renewed: Renewed = Box::new(move |report| renew(path.as_deref(), &fixed, report));
    let reloads = (signals.reload_bytes, renewed);
    let mut turn = Turn::new(clock, reducer, listener, signals.stop_bytes, reloads)
        .map_err(|e| format!("{listen}: {e}"))?;
    turn.flags = Some(signals.flags);
    if let Some(predecessor) = predecessor {
        turn.follow_predecessor(predecessor);
    }
    turn.notify = Notify::from_environment();
    if take_over.is_some() {
        turn.notify.tell(notify::Word::Process);
    }
    if let Some(control) = control {
        match turn.open_control_socket(&control) {
            // The place is taken by now: better to serve without it than not to serve.
            Err(e) if take_over.is_some() => error!("control: {}: {e}", control.display()),
            other => other.map_err(|e| format!("control: {}: {e}", control.display()))?,
        }
        turn.start_successor = Some(Box::new(move |program| successor(program, again.as_deref(), &control)));
    }
    info!("{name} serves on {listen}, with {descriptors} descriptors at most");
    turn.run().map_err(|e| format!("the loop: {e}"))
}

/// Starts the process that takes this one's place, by the configuration as it is then.
fn successor(program: Option<&str>, config: Option<&Path>, control: &Path) -> Result<Child, String> {
    let program = match program {
        Some(path) => PathBuf::from(path),
        None => std::env::current_exe().map_err(|e| format!("this program's place: {e}"))?,
    };
    let mut command = Command::new(&program);
    command.arg("serve").arg("--take-over").arg(control).stdin(Stdio::null());
    if let Some(path) = config {
        command.arg("--config").arg(path);
    }
    command.spawn().map_err(|e| format!("{}: {e}", program.display()))
}

/// The listening socket: the first that a service manager hands on, or one of our own.
fn listener(at: SocketAddr) -> Result<TcpListener, String> {
    let fault = |e| format!("{at}: {e}");
    let inherited = listenfd::ListenFd::from_env().take_tcp_listener(0);
    match inherited.map_err(|e| format!("LISTEN_FDS: the socket handed on is not understood: {e}"))? {
        Some(socket) => {
            let own = socket.local_addr().map_err(|e| format!("LISTEN_FDS: {e}"))?;
            if own != at {
                return Err(format!(
                    "LISTEN_FDS: the socket handed on is at {own}, and field 'listen' names {at}"
                ));
            }
            socket.set_nonblocking(true).map_err(fault)?;
            Ok(TcpListener::from_std(socket))
        }
        None => retry_transient(|| TcpListener::bind(at)).map_err(fault),
    }
}

/// Reads the configuration again; a faulty one changes nothing.
fn renew(path: Option<&Path>, running: &Fixed, report: Report) -> Option<(SocketAddr, usize)> {
    let read = match Configuration::load(path) {
        Ok(read) => read,
        Err(fault) => {
            if report == Report::Faults {
                error!("the new configuration is left aside, as it is faulty: {fault}");
            }
            return None;
        }
    };
    let kept = running.differing(&read.fixed);
    if !kept.is_empty() {
        warn!("the new configuration: {} can change at a restart only, and stays", kept.join(", "));
    }
    info!(
        "the new configuration holds: discovery {}, {} descriptors at most",
        read.discovery, read.descriptors
    );
    Some((read.discovery, read.descriptors))
}
