//! Start and stop of the process: command line, configuration, stages, signals, service manager and log.

mod command_line;
pub mod configuration;
pub mod notify;
pub mod signals;
pub mod stages;

use crate::clock::Clock;
use crate::control::predecessor::Predecessor;
use crate::event_loop::{ConfigurationReloader, EventLoop, FaultLogging};
use crate::reducer::Reducer;
use crate::state::handover_state;
use crate::transient::retry_transient;
use crate::wire::server_list::parse_list;
use configuration::{Configuration, NamedLimits, RestartOnlySettings};
use log::{error, info, warn};
use mio::net::TcpListener;
use notify::Notifier;
use signals::Signals;
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Runs the program and returns its exit code.
pub fn run() -> i32 {
    let arguments = command_line::parse();
    match command_line::execute(&arguments) {
        Ok(()) => 0,
        Err(error) => {
            // The exit code is the same if standard error can't be written.
            let _ = writeln!(std::io::stderr(), "dewhead: {error}");
            1
        }
    }
}

/// Serves until stopped. With `take_over`, first takes over from the process with that control socket.
fn serve(path: Option<PathBuf>, take_over: Option<PathBuf>, leave_in: Option<f64>) -> Result<(), String> {
    // Before anything that takes time, as a signal without a handler ends the process.
    let signals = Signals::register()?;
    let configuration = Configuration::load_at_start(path.as_deref())?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    let Configuration {
        name,
        listen,
        discovery,
        seed,
        max_descriptors,
        last_known_list,
        startup,
        warnings,
        control_socket,
        restart_only,
        named_limits,
    } = configuration;
    warnings.iter().for_each(|warning| warn!("settings: {warning}"));
    let clock = Clock::start();
    // The predecessor serves until `confirm_takeover`; an error before that leaves it serving.
    let predecessor = take_over.as_deref().map(Predecessor::request_handover).transpose()?;
    let handed_over = predecessor.as_ref().and_then(|p| handover_state::decode(&p.handover_state));
    if predecessor.is_some() && handed_over.is_none() {
        warn!("the state handed over is of another version and is ignored");
    }
    let newest_list = handed_over.as_ref().map_or(&last_known_list, |h| &h.list);
    // A list from another build is validated like any other input.
    let newest_list =
        if parse_list(newest_list, &startup.names.zones).is_ok() { newest_list } else { &last_known_list };
    let mut reducer = Reducer::new(clock.now(), startup, seed, discovery, max_descriptors, newest_list);
    if let Some(handed_over) = &handed_over {
        reducer.import_state(clock.now(), handed_over);
    }
    let (listener, retiring) = match predecessor {
        Some(predecessor) => {
            let bound = predecessor.listener.local_addr().map_err(|e| format!("{listen}: {e}"))?;
            if bound != listen {
                return Err(format!(
                    "the socket taken over is bound to {bound}, but field 'listen' names {listen}"
                ));
            }
            // It is non-blocking already: that flag is shared with the process that opened it.
            let (listener, connection) = predecessor.confirm_takeover(leave_in)?;
            (TcpListener::from_std(listener), Some(connection))
        }
        None => (listening_socket(listen, max_descriptors)?, None),
    };
    let successor_config = path.clone();
    let reloader: ConfigurationReloader =
        Box::new(move |fault_logging| reload(path.as_deref(), &restart_only, &named_limits, fault_logging));
    let reloads = (signals.reload_wakeup, reloader);
    let mut event_loop = EventLoop::new(clock, reducer, listener, signals.stop_wakeup, reloads)
        .map_err(|e| format!("{listen}: {e}"))?;
    event_loop.signal_flags = Some(signals.flags);
    if let Some(connection) = retiring {
        event_loop.follow_predecessor(connection);
    }
    event_loop.notifier = Notifier::from_environment();
    if take_over.is_some() {
        event_loop.notifier.send(notify::Notification::MainPid);
    }
    if let Some(control_socket) = control_socket {
        match event_loop.open_control_socket(&control_socket) {
            // The predecessor has stopped accepting clients by now, so this process serves without a control socket.
            Err(e) if take_over.is_some() => error!("control: {}: {e}", control_socket.display()),
            other => other.map_err(|e| format!("control: {}: {e}", control_socket.display()))?,
        }
        event_loop.start_successor = Some(Box::new(move |program| {
            start_successor(program, successor_config.as_deref(), &control_socket)
        }));
    }
    info!("{name} serves on {listen}, with {max_descriptors} descriptors at most");
    event_loop.run().map_err(|e| format!("event loop: {e}"))
}

/// Starts a process that takes over from this one. It reads the configuration file anew.
fn start_successor(
    program: Option<&str>,
    config: Option<&Path>,
    control_socket: &Path,
) -> Result<Child, String> {
    let program = match program {
        Some(path) => PathBuf::from(path),
        None => std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?,
    };
    let mut command = Command::new(&program);
    command.arg("serve").arg("--take-over").arg(control_socket).stdin(Stdio::null());
    if let Some(path) = config {
        command.arg("--config").arg(path);
    }
    command.spawn().map_err(|e| format!("{}: {e}", program.display()))
}

/// The listening socket: the first one passed by the service manager in LISTEN_FDS, otherwise a new one.
fn listening_socket(address: SocketAddr, max_descriptors: usize) -> Result<TcpListener, String> {
    let error_text = |e| format!("{address}: {e}");
    let inherited = listenfd::ListenFd::from_env().take_tcp_listener(0);
    match inherited.map_err(|e| format!("LISTEN_FDS: the inherited socket can't be used: {e}"))? {
        Some(socket) => {
            let bound = socket.local_addr().map_err(|e| format!("LISTEN_FDS: {e}"))?;
            if bound != address {
                return Err(format!("LISTEN_FDS: the inherited socket is bound to {bound}, but field 'listen' names {address}"));
            }
            socket.set_nonblocking(true).map_err(error_text)?;
            Ok(TcpListener::from_std(socket))
        }
        None => retry_transient(|| bind_listener(address, max_descriptors)).map_err(error_text),
    }
}

/// Binds a new listening socket whose queue has room for as many clients as the process can serve. A client that finds the
/// queue full is delayed by the second after which the kernel tries to connect it again.
fn bind_listener(address: SocketAddr, max_descriptors: usize) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(max_descriptors).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Reads the configuration again and returns the values that can change. An invalid configuration is ignored.
fn reload(
    path: Option<&Path>,
    running: &RestartOnlySettings,
    named_limits: &NamedLimits,
    fault_logging: FaultLogging,
) -> Option<(SocketAddr, usize)> {
    let complete = |new: Configuration| named_limits.check_named_by(&new.named_limits).map(|()| new);
    let new = match Configuration::load(path).and_then(complete) {
        Ok(new) => new,
        Err(error) => {
            if fault_logging == FaultLogging::On {
                error!("the new configuration is invalid and is ignored: {error}");
            }
            return None;
        }
    };
    let unchanged = running.differing_keys(&new.restart_only);
    if !unchanged.is_empty() {
        warn!(
            "the new configuration: {} can change only at a restart and keeps its old value",
            unchanged.join(", ")
        );
    }
    info!(
        "the new configuration is in force: discovery {}, {} descriptors at most",
        new.discovery, new.max_descriptors
    );
    Some((new.discovery, new.max_descriptors))
}
