//! Start and stop: the command line, the configuration, signals and the log.

mod command;
pub mod configuration;
pub mod notify;
pub mod stages;

use crate::reducer::Reducer;
use crate::turn::{Clock, Turn};
use configuration::{Configuration, Fixed};
use log::{error, info, warn};
use mio::net::TcpListener;
use notify::Notify;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

/// Runs the program; what it returns is the exit code.
pub fn run() -> i32 {
    let command = command::read();
    match command::carry_out(&command) {
        Ok(()) => 0,
        Err(fault) => {
            eprintln!("dewhead: {fault}");
            1
        }
    }
}

/// A socket on which a byte comes for each of these signals.
fn heard(signals: &[i32]) -> Result<UnixStream, String> {
    let fault = |e| format!("signals: {e}");
    let (hears, tells) = UnixStream::pair().map_err(fault)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, tells.try_clone().map_err(fault)?).map_err(fault)?;
    }
    Ok(hears)
}

fn serve(path: Option<PathBuf>) -> Result<(), String> {
    // Before anything that takes time: a signal that nobody hears ends the process.
    let (stops, renewals) = (heard(&[SIGTERM, SIGINT])?, heard(&[SIGHUP])?);
    let read = Configuration::load(path.as_deref())?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    let Configuration { name, listen, discovery, seed, descriptors, remembered, startup, control, fixed } =
        read;
    let clock = Clock::start();
    let reducer = Reducer::new(clock.now(), startup, seed, discovery, descriptors, &remembered);
    let renewed = Box::new(move || renew(path.as_deref(), &fixed));
    let listener = listener(listen)?;
    let mut turn = Turn::new(clock, reducer, listener, stops, (renewals, renewed))
        .map_err(|e| format!("{listen}: {e}"))?;
    turn.notify = Notify::from_environment();
    if let Some(path) = control {
        turn.open_desk(&path).map_err(|e| format!("control: {}: {e}", path.display()))?;
    }
    info!("{name} serves on {listen}, with {descriptors} descriptors at most");
    turn.run().map_err(|e| format!("the loop: {e}"))
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
        None => TcpListener::bind(at).map_err(fault),
    }
}

/// Reads the configuration again; a faulty one changes nothing.
fn renew(path: Option<&Path>, running: &Fixed) -> Option<(SocketAddr, usize)> {
    let read = Configuration::load(path)
        .map_err(|fault| error!("the new configuration is left aside, as it is faulty: {fault}"))
        .ok()?;
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
