//! The event loop: socket readiness becomes events for the reducer, and the reducer's effects become reads and writes.
//!
//! All events of one iteration get the same time, and discovery's data is processed before all other sockets.

mod accept;
mod control;
mod predecessor;
mod session_sockets;
mod watch;

use crate::clock::Clock;
use crate::control::predecessor::RetiringPredecessor;
use crate::control::socket::ControlSocket;
use crate::lifecycle::notify::{Notification, Notifier};
use crate::lifecycle::signals::SignalFlags;
use crate::lifecycle::stages::{StageAction, StageEvent, StageMachine};
use crate::reducer::{CloseKind, Effect, Endpoint, Event, Reducer};
use crate::state::buffered_socket::BufferedSocket;
use crate::state::hedged_requests::HEDGE_SLOTS;
use crate::transient::retry_transient;
use log::info;
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
/// First token of the connections of hedged requests to discovery, and of the client and server sockets of sessions.
const FIRST_HEDGE_TOKEN: usize = 5;
const FIRST_SESSION_TOKEN: usize = FIRST_HEDGE_TOKEN + HEDGE_SLOTS;
/// Size of one read. It also bounds the bytes buffered for one socket, apart from messages of the proxy itself, as
/// nothing is read from one side of a session while the other side has unsent bytes.
const READ_BUFFER_BYTES: usize = 8192;
/// The longest wait of one poll, in seconds.
const LONGEST_POLL_SECONDS: f64 = 60.0;
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
/// most descriptors; none if the configuration can't be read or is invalid.
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

/// Progress of a handover to a successor. The values are the slot of its connection to the control socket.
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
    /// Until when this process waits for the predecessor to end; set when a stop is requested.
    predecessor_deadline: Option<f64>,
    /// Connection to discovery.
    watch: Option<BufferedSocket>,
    /// Connections of hedged requests to discovery, by slot.
    hedges: [Option<BufferedSocket>; HEDGE_SLOTS],
    /// Connections of sessions by slot, until the reducer closes them.
    clients: Vec<Option<BufferedSocket>>,
    servers: Vec<Option<BufferedSocket>>,
    /// The client connection accepted last, until the reducer assigns its slot.
    accepted_socket: Option<TcpStream>,
    /// Whether clients are accepted, as set by the reducer.
    accepting: bool,
    /// When to accept again, as more clients may be pending.
    accept_at: Option<f64>,
    /// Whether a failure to accept has been logged, and no client was accepted since.
    accept_failure_logged: bool,
    /// Sockets on which a write or the registration failed.
    broken: VecDeque<Endpoint>,
    /// Sockets that may have more bytes to read.
    pending_reads: VecDeque<Endpoint>,
    read_buffer: Vec<u8>,
    exit: bool,
}

/// Which signals have woken the loop.
#[derive(Clone, Copy, Default)]
struct Wakeups {
    stop: bool,
    reload: bool,
}

fn token_of(endpoint: Endpoint) -> Token {
    match endpoint {
        Endpoint::Client(slot) => Token(FIRST_SESSION_TOKEN + 2 * slot),
        Endpoint::Server(slot) => Token(FIRST_SESSION_TOKEN + 2 * slot + 1),
    }
}

/// The slot of the hedged request with this token.
fn hedge_slot_of(token: Token) -> Option<usize> {
    token.0.checked_sub(FIRST_HEDGE_TOKEN).filter(|slot| *slot < HEDGE_SLOTS)
}

fn endpoint_of(token: Token) -> Option<Endpoint> {
    let offset = token.0.checked_sub(FIRST_SESSION_TOKEN)?;
    Some(if offset % 2 == 0 { Endpoint::Client(offset / 2) } else { Endpoint::Server(offset / 2) })
}

/// Reads and discards the bytes that wake the loop.
fn discard_wakeups(socket: &mut UnixStream) {
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
            hedges: Default::default(),
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

    /// Runs until the reducer ends the process and the predecessor has ended. If a stop was requested, it waits for the
    /// predecessor only until `predecessor_deadline`.
    ///
    /// # Errors
    ///
    /// Polling failed.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_POLL_EVENTS);
        let now = self.clock.now();
        let mut polls_since_tick = 0;
        self.apply(now, &[]);
        self.handle_stage_event(now, StageEvent::ServerListHeld(self.reducer.has_usable_server_list(now)));
        self.handle_stage_event(now, StageEvent::Listening);
        while !self.exit {
            self.notifier.send_watchdog_if_due(self.clock.now());
            let due = self.next_due();
            let wait = self.longest_wait(due);
            let polled_at = self.clock.now();
            match self.poll.poll(&mut events, wait) {
                // Continues with the iteration, so that due timers run even while signals keep arriving.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            let now = self.clock.now();
            // A timer that runs late shows that the process was delayed and that no socket was read in that time.
            self.reducer.set_poll_times(polled_at, due.map_or(0.0, |at| (now - at).max(0.0)));
            self.handle_discovery_events(now, &events);
            self.handle_pending_reads(now);
            let wakeups = self.handle_socket_events(now, &events);
            self.handle_signals(now, wakeups);
            self.close_broken_sockets(now);
            // Timers run only after all earlier bytes are read. Otherwise a process that was delayed for a second
            // treats unread answers as missing, and sends clients away whose answer has arrived. One poll may not
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

    /// When the next timer is due, in seconds.
    fn next_due(&self) -> Option<f64> {
        let accept = self.accept_at.filter(|_| self.accepting);
        let reload_retry = self.reload_retry.map(|retry| retry.next_at);
        let predecessor = self.predecessor_deadline.filter(|_| self.predecessor.is_some());
        let others =
            [accept, self.notifier.watchdog_due(), reload_retry, self.control_accept_at, predecessor];
        self.reducer.next_due().into_iter().chain(others.into_iter().flatten()).reduce(f64::min)
    }

    /// For how long the poll may wait; without limit if no timer is due.
    fn longest_wait(&self, due: Option<f64>) -> Option<Duration> {
        if !self.pending_reads.is_empty() {
            return Some(Duration::ZERO);
        }
        due.map(|at| Duration::from_secs_f64((at - self.clock.now()).clamp(0.0, LONGEST_POLL_SECONDS)))
    }

    /// Handles the readiness of the connections to discovery, before clients' requests are read.
    fn handle_discovery_events(&mut self, now: f64, events: &Events) {
        if let Some(event) = events.iter().find(|e| e.token() == WATCH) {
            self.watch_ready(now, event.is_writable());
        }
        for event in events.iter() {
            if let Some(slot) = hedge_slot_of(event.token()) {
                self.hedge_ready(now, slot, event.is_writable());
            }
        }
    }

    /// Reads the sockets that may have more bytes than were read in the last iteration.
    fn handle_pending_reads(&mut self, now: f64) {
        for endpoint in std::mem::take(&mut self.pending_reads) {
            if let Some(connection) = self.connection(endpoint) {
                connection.read_queued = false;
            }
            self.read(now, endpoint);
        }
    }

    /// Handles the readiness of all other sockets, and returns which signals have woken the loop.
    fn handle_socket_events(&mut self, now: f64, events: &Events) -> Wakeups {
        let mut wakeups = Wakeups::default();
        for event in events.iter() {
            match event.token() {
                LISTENER => self.accept_at = Some(now),
                STOP_WAKEUP => {
                    discard_wakeups(&mut self.stop_wakeup);
                    wakeups.stop = true;
                }
                RELOAD_WAKEUP => {
                    discard_wakeups(&mut self.reload_wakeup);
                    wakeups.reload = true;
                }
                PREDECESSOR => self.predecessor_ready(),
                WATCH => {}
                other => {
                    if let Some(connection) = ControlSocket::connection_of(other) {
                        self.control_socket_ready(now, connection);
                    } else if let Some(endpoint) = endpoint_of(other) {
                        let readable = event.is_readable() || event.is_read_closed() || event.is_error();
                        self.socket_ready(now, endpoint, readable);
                    }
                }
            }
        }
        wakeups
    }

    /// Carries out what signals have requested.
    fn handle_signals(&mut self, now: f64, mut wakeups: Wakeups) {
        // Only the flags are used: a byte may have been lost, and one whose flag is already cleared is a repetition.
        if let Some(flags) = &self.signal_flags {
            wakeups = Wakeups { stop: flags.stop.take(), reload: flags.reload.take() };
        }
        if wakeups.stop {
            self.handle_stage_event(now, StageEvent::StopRequested);
        }
        if wakeups.reload {
            self.handle_stage_event(now, StageEvent::ReloadRequested);
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
                // `handle_request` dispatches the drain, as its duration is part of the request.
                StageAction::Drain => {}
                StageAction::Undrain => self.dispatch(now, Event::Undrain, &[]),
                StageAction::Stop => {
                    self.stop_predecessor(now);
                    self.dispatch(now, Event::Stop, &[]);
                }
            }
        }
    }

    /// Reads the configuration and applies it. Returns false if it can't be read or is invalid.
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

    /// Passes an event to the reducer and carries out the effects; `bytes` are those of the event.
    fn dispatch(&mut self, now: f64, event: Event, bytes: &[u8]) {
        let may_change_list = matches!(event, Event::WatchBytes(_) | Event::HedgeBytes(..) | Event::Tick);
        self.reducer.step(now, event);
        self.apply(now, bytes);
        if may_change_list {
            self.handle_stage_event(
                now,
                StageEvent::ServerListHeld(self.reducer.has_usable_server_list(now)),
            );
        }
    }

    /// Carries out the pending effects of the reducer; `bytes` are those of the event.
    fn apply(&mut self, now: f64, bytes: &[u8]) {
        for effect in self.reducer.take_effects() {
            match effect {
                Effect::AssignSession(slot) => self.store_accepted(now, slot),
                Effect::Connect(leg, to) => self.connect(now, leg, to),
                Effect::SendHead { leg, session, timeout_range, timeout_ms } => {
                    self.write_head(now, leg, session, timeout_range, timeout_ms)
                }
                Effect::Forward(endpoint, range) => self.write(endpoint, &[&bytes[range]]),
                Effect::Write(endpoint, text) => self.write(endpoint, &[&text]),
                Effect::ShutdownWrite(endpoint) => {
                    if let Some(connection) = self.connection(endpoint) {
                        connection.finish_writing();
                    }
                }
                Effect::Close(endpoint, kind) => {
                    let slot_entry = match endpoint {
                        Endpoint::Client(slot) => self.clients.get_mut(slot),
                        Endpoint::Server(slot) => self.servers.get_mut(slot),
                    };
                    // The slot may be reused before these queues are processed.
                    self.broken.retain(|e| *e != endpoint);
                    self.pending_reads.retain(|e| *e != endpoint);
                    if let Some(connection) = slot_entry.and_then(Option::take) {
                        if kind == CloseKind::Abortive {
                            connection.reset_on_close();
                        }
                    }
                }
                Effect::SetAccepting(on) => self.accepting = on,
                Effect::OpenWatch(discovery, since) => self.open_watch(now, discovery, since),
                Effect::CloseWatch => self.watch = None,
                Effect::OpenHedge(slot, discovery, since) => self.open_hedge(now, slot, discovery, since),
                Effect::CloseHedge(slot) => self.hedges[slot] = None,
                Effect::PromoteHedge(slot) => self.promote_hedge(slot),
                Effect::DemoteWatch(slot) => self.demote_watch(slot),
                Effect::Exit => self.exit = true,
            }
        }
    }
}
