//! The event loop: socket readiness becomes events for the reducer, and the reducer's effects become reads and writes.
//!
//! All events of one iteration get the same time, and discovery's data is processed before all other sockets.

mod accept;
mod control;
mod predecessor;

use crate::clock::Clock;
use crate::control::predecessor::RetiringPredecessor;
use crate::control::socket::ControlSocket;
use crate::lifecycle::notify::{Notification, Notifier};
use crate::lifecycle::signals::SignalFlags;
use crate::lifecycle::stages::{StageAction, StageEvent, StageMachine};
use crate::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use crate::state::buffered_socket::BufferedSocket;
use crate::transient::{is_transient, retry_transient};
use crate::wire::http;
use log::{debug, error, info};
use mio::net::{TcpListener, TcpStream, UnixStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

const LISTENER: Token = Token(0);
const STOP_WAKEUP: Token = Token(1);
const WATCH: Token = Token(2);
const RELOAD_WAKEUP: Token = Token(3);
const PREDECESSOR: Token = Token(4);
/// First token of the client and server sockets of sessions.
const FIRST_SESSION_TOKEN: usize = 5;
/// Size of one read. It also bounds the bytes buffered for one socket, apart from messages of the proxy itself, as
/// nothing is read from one side while the other side has unsent bytes.
const READ_BUFFER_BYTES: usize = 8192;
/// Reads from one socket before the other sockets are served.
const MAX_READS_PER_SOCKET: usize = 8;
/// Most events taken from one poll.
const MAX_POLL_EVENTS: usize = 1024;
/// Timers wait until a poll returns fewer than `MAX_POLL_EVENTS` events, but for no more polls than this.
const MAX_POLLS_WITHOUT_TICK: u32 = 16;
/// A configuration file that is still being written when SIGHUP arrives can't be parsed, but is complete a moment
/// later. It is read again at this interval until the limit: a new address of discovery must be in use 4 s after the
/// signal.
const RELOAD_RETRY_SECONDS: f64 = 0.1;
const RELOAD_RETRY_LIMIT_SECONDS: f64 = 3.0;

/// Reads the configuration again and returns the values that can change at run time, the address of discovery and the
/// most descriptors; none if the configuration is invalid.
pub type ConfigurationReloader = Box<dyn FnMut(FaultLogging) -> Option<(SocketAddr, usize)>>;

/// Whether errors in the configuration are logged.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultLogging {
    /// Errors are logged.
    On,
    /// Errors are not logged, as the first attempt of the reload has logged them.
    Off,
}

/// Retries of a reload that failed, as times of the loop's clock.
#[derive(Clone, Copy)]
struct ReloadRetry {
    next_at: f64,
    until: f64,
}

/// Progress of a handover to a successor. The values are the slots of its connection to the control socket.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum SuccessorState {
    None,
    /// It has received the listening socket and is starting.
    Offered(usize),
    /// It serves, and this process retires.
    TookOver(usize),
}

/// Starts a successor process, from the program at the given path or from this process's program.
pub type SuccessorStarter = Box<dyn FnMut(Option<&str>) -> Result<std::process::Child, String>>;

/// The event loop with all sockets of the process.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    reducer: Reducer,
    /// None once a successor has taken over.
    listener: Option<TcpListener>,
    /// Sockets that receive a byte for each signal to stop, and for each signal to reload.
    stop_wakeup: UnixStream,
    reload_wakeup: UnixStream,
    /// Flags that the signal handlers set. Without them the bytes alone signal a stop or a reload.
    pub signal_flags: Option<SignalFlags>,
    reloader: ConfigurationReloader,
    reload_retry: Option<ReloadRetry>,
    /// The stage of the process.
    stages: StageMachine,
    /// Notifications to the service manager.
    pub notifier: Notifier,
    control_socket: Option<ControlSocket>,
    /// When to accept on the control socket again after a failure.
    control_accept_at: Option<f64>,
    /// Starts a successor; none if this process can't start one.
    pub start_successor: Option<SuccessorStarter>,
    /// The successor started by this process, until it has ended.
    started_successor: Option<std::process::Child>,
    successor_state: SuccessorState,
    /// The process that this one took over from, until it has ended.
    predecessor: Option<RetiringPredecessor>,
    /// Once this process is asked to stop: until when it waits for the predecessor to end.
    predecessor_deadline: Option<f64>,
    /// Connection to discovery.
    watch: Option<BufferedSocket>,
    /// Connections of sessions by slot, until the reducer closes them.
    clients: Vec<Option<BufferedSocket>>,
    servers: Vec<Option<BufferedSocket>>,
    /// The client connection accepted last, until the reducer assigns its slot.
    accepted_socket: Option<TcpStream>,
    /// Whether clients are accepted, as set by the reducer.
    accepting: bool,
    /// When to accept again, as more clients may be pending.
    accept_at: Option<f64>,
    /// A failure to accept has been logged, and no client was accepted since.
    accept_failure_logged: bool,
    /// Sockets on which a write or the registration failed.
    broken: VecDeque<Endpoint>,
    /// Sockets that may have more bytes to read.
    pending_reads: VecDeque<Endpoint>,
    read_buffer: Vec<u8>,
    exit: bool,
}

fn token_of(end: Endpoint) -> Token {
    match end {
        Endpoint::Client(slot) => Token(FIRST_SESSION_TOKEN + 2 * slot),
        Endpoint::Server(slot) => Token(FIRST_SESSION_TOKEN + 2 * slot + 1),
    }
}

fn end_of(token: Token) -> Option<Endpoint> {
    let offset = token.0.checked_sub(FIRST_SESSION_TOKEN)?;
    Some(if offset % 2 == 0 { Endpoint::Client(offset / 2) } else { Endpoint::Server(offset / 2) })
}

/// Reads and discards the bytes that woke the loop.
fn drain_wakeups(socket: &mut UnixStream) {
    let mut buffer = [0; 16];
    while matches!(socket.read(&mut buffer), Ok(n) if n > 0) {}
}

impl EventLoop {
    /// Registers the listening socket and the wakeup sockets.
    ///
    /// # Errors
    ///
    /// The poll can't be created, or a socket can't be registered.
    pub fn new(
        clock: Clock,
        reducer: Reducer,
        mut listener: TcpListener,
        stop_wakeup: std::os::unix::net::UnixStream,
        (reload_wakeup, reloader): (std::os::unix::net::UnixStream, ConfigurationReloader),
    ) -> io::Result<EventLoop> {
        let poll = retry_transient(Poll::new)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let register_wakeup = |socket: std::os::unix::net::UnixStream, token| {
            socket.set_nonblocking(true)?;
            let mut socket = UnixStream::from_std(socket);
            poll.registry().register(&mut socket, token, Interest::READABLE)?;
            io::Result::Ok(socket)
        };
        let (stop_wakeup, reload_wakeup) =
            (register_wakeup(stop_wakeup, STOP_WAKEUP)?, register_wakeup(reload_wakeup, RELOAD_WAKEUP)?);
        Ok(EventLoop {
            poll,
            clock,
            reducer,
            listener: Some(listener),
            stop_wakeup,
            reload_wakeup,
            signal_flags: None,
            reloader,
            reload_retry: None,
            stages: StageMachine::default(),
            notifier: Notifier::disabled(),
            control_socket: None,
            control_accept_at: None,
            start_successor: None,
            started_successor: None,
            successor_state: SuccessorState::None,
            predecessor: None,
            predecessor_deadline: None,
            watch: None,
            clients: Vec::new(),
            servers: Vec::new(),
            accepted_socket: None,
            accepting: true,
            accept_at: None,
            accept_failure_logged: false,
            broken: VecDeque::new(),
            pending_reads: VecDeque::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            exit: false,
        })
    }

    /// Runs until the reducer ends the process and, if this process was asked to stop, until the predecessor has ended.
    ///
    /// # Errors
    ///
    /// Polling failed.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_POLL_EVENTS);
        let now = self.clock.now();
        let mut polls_since_tick = 0;
        self.apply(now, &[]);
        self.handle_stage_event(now, StageEvent::ServerListHeld(self.reducer.has_server_list()));
        self.handle_stage_event(now, StageEvent::Listening);
        while !self.exit {
            self.notifier.send_watchdog_if_due(self.clock.now());
            let accept = self.accept_at.filter(|_| self.accepting);
            let reload_retry = self.reload_retry.map(|retry| retry.next_at);
            let predecessor = self.predecessor_deadline.filter(|_| self.predecessor.is_some());
            let others =
                [accept, self.notifier.watchdog_due(), reload_retry, self.control_accept_at, predecessor];
            let due =
                self.reducer.next_due().into_iter().chain(others.into_iter().flatten()).reduce(f64::min);
            let wait = match due {
                _ if !self.pending_reads.is_empty() => Some(Duration::ZERO),
                Some(at) => Some(Duration::from_secs_f64((at - self.clock.now()).clamp(0.0, 60.0))),
                None => None,
            };
            let polled_at = self.clock.now();
            match self.poll.poll(&mut events, wait) {
                // Goes on with the iteration, so that due timers run even while signals keep arriving.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            let now = self.clock.now();
            // A timer that runs late shows that the process was held up and that no socket was read in that time.
            self.reducer.set_poll_times(polled_at, due.map_or(0.0, |at| (now - at).max(0.0)));
            if let Some(event) = events.iter().find(|e| e.token() == WATCH) {
                self.watch_ready(now, event.is_writable());
            }
            for end in std::mem::take(&mut self.pending_reads) {
                self.read(now, end);
            }
            let (mut stop, mut reload) = (false, false);
            for event in events.iter() {
                match event.token() {
                    LISTENER => self.accept_at = Some(now),
                    STOP_WAKEUP => {
                        drain_wakeups(&mut self.stop_wakeup);
                        stop = true;
                    }
                    RELOAD_WAKEUP => {
                        drain_wakeups(&mut self.reload_wakeup);
                        reload = true;
                    }
                    PREDECESSOR => self.predecessor_ready(),
                    WATCH => {}
                    other => {
                        if let Some(connection) = ControlSocket::connection_of(other) {
                            self.control_socket_ready(now, connection);
                        } else if let Some(end) = end_of(other) {
                            self.socket_ready(
                                now,
                                end,
                                event.is_readable() || event.is_read_closed() || event.is_error(),
                            );
                        }
                    }
                }
            }
            // The flag decides: its byte may have been lost, and a byte whose flag is already cleared is a repetition.
            if let Some(flags) = &self.signal_flags {
                (stop, reload) = (flags.stop.take(), flags.reload.take());
            }
            if stop {
                self.handle_stage_event(now, StageEvent::StopRequested);
            }
            if reload {
                self.handle_stage_event(now, StageEvent::ReloadRequested);
            }
            self.close_broken_sockets(now);
            // Timers run only after all earlier bytes are read. Otherwise a process that was held up for a second
            // treats unread answers as missing, and turns away clients whose answer has arrived. One poll may not
            // return all readable sockets.
            polls_since_tick += 1;
            if events.iter().count() < MAX_POLL_EVENTS || polls_since_tick > MAX_POLLS_WITHOUT_TICK {
                polls_since_tick = 0;
                self.dispatch(now, Event::Tick, &[]);
            }
            self.retry_reload(now);
            if self.control_accept_at.is_some_and(|at| at <= now) {
                self.accept_control_connections(now);
            }
            if self.accepting && self.accept_at.is_some_and(|at| at <= now) {
                self.accept(now);
            }
            self.close_broken_sockets(now);
            if self.exit && self.waits_for_predecessor(now) {
                self.exit = false;
            }
            if self.exit {
                self.accept_remaining(now);
                self.exit = self.reducer.is_finished(self.clock.now());
            }
        }
        self.leave_predecessor();
        self.reducer.record_process_end();
        self.handle_stage_event(self.clock.now(), StageEvent::Finished);
        info!("stopped");
        Ok(())
    }

    /// Reports the sockets in `broken` as closed.
    fn close_broken_sockets(&mut self, now: f64) {
        while let Some(end) = self.broken.pop_front() {
            // Bytes received before the failure are still valid, above all a final response.
            self.read(now, end);
            if self.link(end).is_some_and(|l| !l.read_ended) {
                self.dispatch(now, Event::Closed(end, CloseKind::Abortive), &[]);
            }
        }
    }

    /// Applies an event to the stage machine and carries out its actions.
    fn handle_stage_event(&mut self, now: f64, event: StageEvent) {
        for action in self.stages.handle(event) {
            match action {
                StageAction::NotifyReady => self.notifier.send(Notification::Ready),
                StageAction::NotifyReloading => self.notifier.send(Notification::Reloading),
                StageAction::NotifyStopping => self.notifier.send(Notification::Stopping),
                StageAction::ReportStage => {
                    let stage = self.stages.stage().name();
                    info!(stage; "the process is {stage}");
                    self.notifier.send(Notification::Status(stage));
                }
                StageAction::ReloadConfiguration => {
                    self.reload_retry = None;
                    if !self.reload(now, FaultLogging::On) {
                        self.reload_retry = Some(ReloadRetry {
                            next_at: now + RELOAD_RETRY_SECONDS,
                            until: now + RELOAD_RETRY_LIMIT_SECONDS,
                        });
                    }
                    self.handle_stage_event(now, StageEvent::ReloadFinished);
                }
                // The request handler dispatches the drain, as it has its duration.
                StageAction::Drain => {}
                StageAction::Undrain => self.dispatch(now, Event::Undrain, &[]),
                StageAction::Stop => {
                    self.stop_predecessor(now);
                    self.dispatch(now, Event::Stop, &[]);
                }
            }
        }
    }

    /// Reads the configuration and applies it. Returns false if it is invalid.
    fn reload(&mut self, now: f64, fault_logging: FaultLogging) -> bool {
        let Some((discovery, max_descriptors)) = (self.reloader)(fault_logging) else { return false };
        self.dispatch(now, Event::Reconfigured(discovery, max_descriptors), &[]);
        true
    }

    /// Repeats a reload that failed, if that is due.
    fn retry_reload(&mut self, now: f64) {
        let Some(retry) = self.reload_retry.filter(|retry| retry.next_at <= now) else { return };
        let done = self.reload(now, FaultLogging::Off) || now >= retry.until;
        self.reload_retry = (!done).then_some(ReloadRetry { next_at: now + RELOAD_RETRY_SECONDS, ..retry });
    }

    /// The open connection of this end.
    fn link(&mut self, end: Endpoint) -> Option<&mut BufferedSocket> {
        match end {
            Endpoint::Client(slot) => self.clients.get_mut(slot)?.as_mut(),
            Endpoint::Server(slot) => self.servers.get_mut(slot)?.as_mut(),
        }
    }

    /// Handles readiness of a session's socket: a completed connect, room to write, bytes to read.
    fn socket_ready(&mut self, now: f64, end: Endpoint, readable: bool) {
        let Some(link) = self.link(end) else { return };
        if link.connecting {
            match link.socket.take_error() {
                Ok(None) => {}
                _ => return self.connect_failed(now, end),
            }
            match link.socket.peer_addr() {
                Ok(_) => {
                    link.connecting = false;
                    if let Endpoint::Server(leg) = end {
                        self.server_connected(now, leg);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.connect_failed(now, end),
            }
        } else {
            self.flush(now, end);
        }
        if readable {
            self.read(now, end);
        }
    }

    /// Handles a completed connect to a server. The client is read first: its close may follow in the same batch of
    /// events, and then the call must not be sent to the server.
    fn server_connected(&mut self, now: f64, leg: usize) {
        if let Some(client) = self.reducer.client_of(leg) {
            self.read(now, client);
        }
        // That read may have ended the leg and given its slot to another one that is still connecting.
        if self.link(Endpoint::Server(leg)).is_some_and(|l| !l.connecting) {
            self.dispatch(now, Event::Connected(leg), &[]);
        }
    }

    /// Handles a failed connect to a server.
    fn connect_failed(&mut self, now: f64, end: Endpoint) {
        if let Endpoint::Server(leg) = end {
            self.dispatch(now, Event::ConnectFailed(leg), &[]);
        }
    }

    /// Writes the unsent bytes of a socket.
    fn flush(&mut self, now: f64, end: Endpoint) {
        let Some(link) = self.link(end) else { return };
        if link.is_flushed() {
            return;
        }
        // The rest of a head is sent only if the client has not left.
        if let Some(client) = link.head_pending.then_some(end).and_then(|e| self.reducer.peer_of(e)) {
            self.read(now, client);
        }
        let Some(link) = self.link(end) else { return };
        match link.flush() {
            Ok(false) => {}
            Ok(true) => {
                if std::mem::take(&mut link.head_pending) {
                    if let Endpoint::Server(leg) = end {
                        self.dispatch(now, Event::HeadWritten(leg), &[]);
                    }
                }
                // Reads from the other side were suspended while this side had unsent bytes.
                let other = self.reducer.peer_of(end);
                if let Some(other) = other.filter(|o| self.link(*o).is_some_and(|l| l.readable)) {
                    self.read(now, other);
                }
            }
            Err(_) => self.broken.push_back(end),
        }
    }

    /// Reads from a socket, up to `MAX_READS_PER_SOCKET` times, and dispatches the bytes.
    fn read(&mut self, now: f64, end: Endpoint) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        // Without an established call little is expected; a client that sends more waits for the other sockets each
        // time.
        let reads = if self.reducer.peer_of(end).is_some() { MAX_READS_PER_SOCKET } else { 1 };
        for _ in 0..reads {
            let other = self.reducer.peer_of(end);
            let other_is_full = other.is_some_and(|o| self.link(o).is_some_and(|l| !l.is_flushed()));
            let Some(link) = self.link(end).filter(|l| !l.read_ended && !l.connecting) else {
                self.read_buffer = read_buffer;
                return;
            };
            link.readable = other_is_full;
            if other_is_full {
                break;
            }
            match link.socket.read(&mut read_buffer) {
                Ok(0) => {
                    link.read_ended = true;
                    self.dispatch(now, Event::Closed(end, CloseKind::Graceful), &[]);
                    break;
                }
                Ok(n) => self.dispatch(now, Event::Bytes(end, &read_buffer[..n]), &read_buffer[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.read_buffer = read_buffer;
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    link.read_ended = true;
                    self.dispatch(now, Event::Closed(end, CloseKind::Abortive), &[]);
                    break;
                }
            }
        }
        self.read_buffer = read_buffer;
        if self.link(end).is_some_and(|l| !l.read_ended && !l.readable) {
            self.pending_reads.push_back(end);
        }
    }

    /// Handles readiness of the connection to discovery.
    fn watch_ready(&mut self, now: f64, writable: bool) {
        if let Some(ahead) = self.clock.wall_clock_offset() {
            self.reducer.observe_wall_clock(ahead);
        }
        let Some(link) = self.watch.as_mut() else { return };
        if link.connecting {
            if !writable {
                return;
            }
            if !matches!(link.socket.take_error(), Ok(None)) || link.socket.peer_addr().is_err() {
                return self.watch_lost(now);
            }
            link.connecting = false;
            if link.flush().is_err() {
                return self.watch_lost(now);
            }
            self.dispatch(now, Event::WatchOpened, &[]);
        }
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        // A watch that was opened in the meantime is still connecting.
        while let Some(link) = self.watch.as_mut().filter(|l| !l.connecting) {
            match link.socket.read(&mut read_buffer) {
                Ok(0) => self.watch_lost(now),
                Ok(n) => self.dispatch(now, Event::WatchBytes(&read_buffer[..n]), &[]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.watch_lost(now),
            }
        }
        self.read_buffer = read_buffer;
    }

    /// Closes the connection to discovery and reports it lost.
    fn watch_lost(&mut self, now: f64) {
        self.watch = None;
        self.dispatch(now, Event::WatchLost, &[]);
    }

    /// Connects to discovery and requests the changes since that version of the list.
    fn open_watch(&mut self, now: f64, discovery: SocketAddr, since: u64) {
        self.watch = None;
        let opened = TcpStream::connect(discovery).and_then(|mut socket| {
            self.poll.registry().register(&mut socket, WATCH, Interest::READABLE | Interest::WRITABLE)?;
            let mut link = BufferedSocket::new(socket, true);
            link.write(&[&http::watch_request(&discovery.to_string(), since)])?;
            Ok(link)
        });
        match opened {
            Ok(link) => self.watch = Some(link),
            Err(_) => self.watch_lost(now),
        }
    }

    /// Passes an event to the reducer and carries out the effects; `bytes` are those of the event.
    fn dispatch(&mut self, now: f64, event: Event, bytes: &[u8]) {
        let from_watch = matches!(event, Event::WatchBytes(_));
        self.reducer.step(now, event);
        self.apply(now, bytes);
        if from_watch {
            self.handle_stage_event(now, StageEvent::ServerListHeld(self.reducer.has_server_list()));
        }
    }

    /// Carries out the pending effects of the reducer; `bytes` are those of the event.
    fn apply(&mut self, now: f64, bytes: &[u8]) {
        for effect in self.reducer.take_effects() {
            match effect {
                Effect::AssignSession(slot) => self.admit(now, slot),
                Effect::Connect(leg, to) => self.dial(now, leg, to),
                Effect::SendHead { leg, session, timeout_range, timeout_ms } => {
                    self.write_head(now, leg, session, timeout_range, timeout_ms)
                }
                Effect::Forward(end, range) => self.write(end, &[&bytes[range]]),
                Effect::Write(end, text) => self.write(end, &[&text]),
                Effect::ShutdownWrite(end) => {
                    if let Some(link) = self.link(end) {
                        link.finish_writing();
                    }
                }
                Effect::Close(end, how) => {
                    let slot_entry = match end {
                        Endpoint::Client(slot) => self.clients.get_mut(slot),
                        Endpoint::Server(slot) => self.servers.get_mut(slot),
                    };
                    // The slot may be reused before these queues are processed.
                    self.broken.retain(|e| *e != end);
                    self.pending_reads.retain(|e| *e != end);
                    if let Some(link) = slot_entry.and_then(Option::take) {
                        if how == CloseKind::Abortive {
                            link.reset_on_close();
                        }
                    }
                }
                Effect::SetAccepting(on) => self.accepting = on,
                Effect::OpenWatch(discovery, since) => self.open_watch(now, discovery, since),
                Effect::CloseWatch => self.watch = None,
                Effect::Exit => self.exit = true,
            }
        }
    }

    /// Registers a session's socket with the poll and stores it in its slot.
    fn register(&mut self, end: Endpoint, mut socket: TcpStream, connecting: bool) {
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self.poll.registry().register(&mut socket, token_of(end), interest) {
            error!("a socket could not be registered: {e}");
            self.broken.push_back(end);
        }
        let (links, slot) = match end {
            Endpoint::Client(slot) => (&mut self.clients, slot),
            Endpoint::Server(slot) => (&mut self.servers, slot),
        };
        if links.len() <= slot {
            links.resize_with(slot + 1, || None);
        }
        links[slot] = Some(BufferedSocket::new(socket, connecting));
    }

    /// Connects to a server for a leg.
    fn dial(&mut self, now: f64, leg: usize, address: SocketAddr) {
        match TcpStream::connect(address) {
            Ok(socket) => self.register(Endpoint::Server(leg), socket, true),
            Err(e) if is_transient(&e) => {
                debug!("connecting to {address} failed, transient: {e}");
                self.dispatch(now, Event::ConnectNotStarted(leg), &[]);
            }
            Err(e) => {
                debug!("connecting to {address} failed: {e}");
                self.dispatch(now, Event::ConnectFailed(leg), &[]);
            }
        }
    }

    /// Writes to a socket; bytes that it does not accept are kept.
    fn write(&mut self, end: Endpoint, parts: &[&[u8]]) {
        let Some(link) = self.link(end) else { return };
        if link.write(parts).is_err() {
            self.broken.push_back(end);
        }
    }

    /// Forwards the first line of a session to a server, with the client's waiting time replaced by `wait_value`.
    fn write_head(
        &mut self,
        now: f64,
        leg: usize,
        session: usize,
        wait_range: std::ops::Range<usize>,
        wait_value: u64,
    ) {
        let digits = wait_value.to_string();
        let head = self.reducer.session_head(session);
        let Some(link) = self.servers.get_mut(leg).and_then(Option::as_mut) else { return };
        let outcome = if wait_range.is_empty() {
            link.write(&[head])
        } else {
            link.write(&[&head[..wait_range.start], digits.as_bytes(), &head[wait_range.end..]])
        };
        link.head_pending = !link.is_flushed();
        match outcome {
            Ok(()) if link.head_pending => {}
            Ok(()) => self.dispatch(now, Event::HeadWritten(leg), &[]),
            Err(_) => self.dispatch(now, Event::Closed(Endpoint::Server(leg), CloseKind::Abortive), &[]),
        }
    }
}
