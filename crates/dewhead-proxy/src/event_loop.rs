//! The loop: what the sockets have becomes events, and effects become reads and writes. One clock read a turn, and
//! discovery's events before all others.

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
const SIGNALS: Token = Token(1);
const WATCH: Token = Token(2);
const RENEWALS: Token = Token(3);
const PREDECESSOR: Token = Token(4);
/// Tokens of ends begin here.
const FIRST: usize = 5;
/// As much is read at a time, and as much may wait for one socket at the most, but for a word of our own.
const READ: usize = 8192;
/// One socket is read so often before the others have their turn.
const READS: usize = 8;
/// So much is taken from one poll at the most.
const BATCH: usize = 1024;
/// Timers wait for sockets that still have something to say, but for no more batches than this.
const MOST_UNTICKED: u32 = 16;
/// A configuration that is being written when the signal comes is whole a moment later. It is read again after this, for
/// so long: a new address of discovery counts four seconds after the signal.
const REREAD_PAUSE: f64 = 0.1;
const REREAD_FOR: f64 = 3.0;

/// Reads the configuration again, and says in the log what is wrong with it unless told to be quiet. What of it changes
/// while the proxy runs, as `Event::Reconfigured` has it; none while it can't be read.
pub type ConfigurationReloader = Box<dyn FnMut(FaultLogging) -> Option<(SocketAddr, usize)>>;

/// Whether a fault in the configuration is told in the log.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FaultLogging {
    On,
    Off,
}

/// A configuration that could not be read, and is read again.
#[derive(Clone, Copy)]
struct Reread {
    /// When next, and until when.
    at: f64,
    until: f64,
}

/// How far another process has come with taking this one's place, by its place at the control socket.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Succession {
    None,
    /// It has been given the listening socket, and gets ready.
    Offered(usize),
    /// It serves; this process retires.
    Taken(usize),
}

/// Starts a program that takes this process's place, by its path or this one's own.
pub type SuccessorStarter = Box<dyn FnMut(Option<&str>) -> Result<std::process::Child, String>>;

pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    reducer: Reducer,
    /// None once another process has taken this one's place.
    listener: Option<TcpListener>,
    /// A byte comes here for each signal to stop, and there for each to read the configuration again.
    signals: UnixStream,
    renewals: UnixStream,
    /// Whether signals to stop and to read it again have come. Without flags the bytes alone tell.
    pub signal_flags: Option<SignalFlags>,
    /// Reads it; none if it is faulty and nothing changes.
    renewed: ConfigurationReloader,
    reread: Option<Reread>,
    /// The stage that the process is in, who is told of it, and where operators ask.
    life: StageMachine,
    pub notifier: Notifier,
    control_socket: Option<ControlSocket>,
    /// Somebody may wait at the control socket; from when on that is looked at again.
    let_in_from: Option<f64>,
    /// Starts a process to take this one's place; the one that was started, until it is known what became of it; and
    /// how far a process has come with taking it.
    pub start_successor: Option<SuccessorStarter>,
    child: Option<std::process::Child>,
    succession: Succession,
    /// The process whose place this one has taken, until that has ended.
    predecessor: Option<RetiringPredecessor>,
    /// Once this process has been told to stop: until when it waits for that one.
    predecessor_ends_by: Option<f64>,
    watch: Option<BufferedSocket>,
    /// Sockets by slot; one leaves with `Effect::Close`.
    clients: Vec<Option<BufferedSocket>>,
    servers: Vec<Option<BufferedSocket>>,
    /// The client just accepted, until the reducer names its slot.
    fresh: Option<TcpStream>,
    accepting: bool,
    /// More clients may wait than were accepted; from when on they are looked for again.
    accept_from: Option<f64>,
    /// Told once in the log, until one is accepted again.
    accept_failed: bool,
    /// Sockets that broke while written to, and ones that still have bytes.
    broken: VecDeque<Endpoint>,
    again: VecDeque<Endpoint>,
    scratch: Vec<u8>,
    exit: bool,
}

fn token(end: Endpoint) -> Token {
    match end {
        Endpoint::Client(slot) => Token(FIRST + 2 * slot),
        Endpoint::Server(slot) => Token(FIRST + 2 * slot + 1),
    }
}

fn end_of(token: Token) -> Option<Endpoint> {
    let at = token.0.checked_sub(FIRST)?;
    Some(if at % 2 == 0 { Endpoint::Client(at / 2) } else { Endpoint::Server(at / 2) })
}

fn empty(told: &mut UnixStream) {
    let mut some = [0; 16];
    while matches!(told.read(&mut some), Ok(n) if n > 0) {}
}

impl EventLoop {
    pub fn new(
        clock: Clock,
        reducer: Reducer,
        mut listener: TcpListener,
        signals: std::os::unix::net::UnixStream,
        (renewals, renewed): (std::os::unix::net::UnixStream, ConfigurationReloader),
    ) -> io::Result<EventLoop> {
        let poll = retry_transient(Poll::new)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let heard = |told: std::os::unix::net::UnixStream, token| {
            told.set_nonblocking(true)?;
            let mut told = UnixStream::from_std(told);
            poll.registry().register(&mut told, token, Interest::READABLE)?;
            io::Result::Ok(told)
        };
        let (signals, renewals) = (heard(signals, SIGNALS)?, heard(renewals, RENEWALS)?);
        Ok(EventLoop {
            poll,
            clock,
            reducer,
            listener: Some(listener),
            signals,
            renewals,
            signal_flags: None,
            renewed,
            reread: None,
            life: StageMachine::default(),
            notifier: Notifier::disabled(),
            control_socket: None,
            let_in_from: None,
            start_successor: None,
            child: None,
            succession: Succession::None,
            predecessor: None,
            predecessor_ends_by: None,
            watch: None,
            clients: Vec::new(),
            servers: Vec::new(),
            fresh: None,
            accepting: true,
            accept_from: None,
            accept_failed: false,
            broken: VecDeque::new(),
            again: VecDeque::new(),
            scratch: vec![0; READ],
            exit: false,
        })
    }

    /// Runs until the reducer asks for the end.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(BATCH);
        let now = self.clock.now();
        let mut unticked = 0;
        self.apply(now, &[]);
        self.live(now, StageEvent::ServerListHeld(self.reducer.has_server_list()));
        self.live(now, StageEvent::Listening);
        while !self.exit {
            self.notifier.send_watchdog_if_due(self.clock.now());
            let accept = self.accept_from.filter(|_| self.accepting);
            let reread = self.reread.map(|again| again.at);
            let predecessor = self.predecessor_ends_by.filter(|_| self.predecessor.is_some());
            let others = [accept, self.notifier.watchdog_due(), reread, self.let_in_from, predecessor];
            let due =
                self.reducer.next_due().into_iter().chain(others.into_iter().flatten()).reduce(f64::min);
            let wait = match due {
                _ if !self.again.is_empty() => Some(Duration::ZERO),
                Some(at) => Some(Duration::from_secs_f64((at - self.clock.now()).clamp(0.0, 60.0))),
                None => None,
            };
            let looked_at = self.clock.now();
            match self.poll.poll(&mut events, wait) {
                // What falls due meanwhile is looked at all the same: signals may come without end.
                Err(e) if e.kind() == io::ErrorKind::Interrupted => events.clear(),
                other => other?,
            }
            let now = self.clock.now();
            // Whoever was due and was not looked at tells that nobody was.
            self.reducer.set_poll_times(looked_at, due.map_or(0.0, |at| (now - at).max(0.0)));
            if let Some(event) = events.iter().find(|e| e.token() == WATCH) {
                self.watch_ready(now, event.is_writable());
            }
            for end in std::mem::take(&mut self.again) {
                self.read(now, end);
            }
            let (mut stop, mut reload) = (false, false);
            for event in events.iter() {
                match event.token() {
                    LISTENER => self.accept_from = Some(now),
                    SIGNALS => {
                        empty(&mut self.signals);
                        stop = true;
                    }
                    RENEWALS => {
                        empty(&mut self.renewals);
                        reload = true;
                    }
                    PREDECESSOR => self.hear_predecessor(),
                    WATCH => {}
                    other => {
                        if let Some(whose) = ControlSocket::connection_of(other) {
                            self.visited(now, whose);
                        } else if let Some(end) = end_of(other) {
                            self.ready(
                                now,
                                end,
                                event.is_readable() || event.is_read_closed() || event.is_error(),
                            );
                        }
                    }
                }
            }
            // A flag that is set may have lost its byte; a byte whose flag was seen before tells nothing new.
            if let Some(flags) = &self.signal_flags {
                (stop, reload) = (flags.stop.take(), flags.reload.take());
            }
            if stop {
                self.live(now, StageEvent::StopRequested);
            }
            if reload {
                self.live(now, StageEvent::ReloadRequested);
            }
            self.end_broken(now);
            // Only once all that came before is read: a process that was held up for a second took what lay in its sockets
            // for silence, and sent away who had been answered. One poll may not bring all of it.
            unticked += 1;
            if events.iter().count() < BATCH || unticked > MOST_UNTICKED {
                unticked = 0;
                self.tell(now, Event::Tick, &[]);
            }
            self.reread(now);
            if self.let_in_from.is_some_and(|at| at <= now) {
                self.let_in(now);
            }
            if self.accepting && self.accept_from.is_some_and(|at| at <= now) {
                self.accept(now);
            }
            self.end_broken(now);
            if self.exit && self.waits_for_predecessor(now) {
                self.exit = false;
            }
            if self.exit {
                self.empty_queue(now);
                self.exit = self.reducer.is_finished(self.clock.now());
            }
        }
        self.leave_predecessor();
        self.reducer.record_process_end();
        self.live(self.clock.now(), StageEvent::Finished);
        info!("stopped");
        Ok(())
    }

    fn end_broken(&mut self, now: f64) {
        while let Some(end) = self.broken.pop_front() {
            // What it sent before it broke still counts, above all a last word.
            self.read(now, end);
            if self.link(end).is_some_and(|l| !l.read_ended) {
                self.tell(now, Event::Closed(end, CloseKind::Abortive), &[]);
            }
        }
    }

    /// The life goes on, and what it asks for is done.
    fn live(&mut self, now: f64, told: StageEvent) {
        for act in self.life.handle(told) {
            match act {
                StageAction::NotifyReady => self.notifier.send(Notification::Ready),
                StageAction::NotifyReloading => self.notifier.send(Notification::Reloading),
                StageAction::NotifyStopping => self.notifier.send(Notification::Stopping),
                StageAction::ReportStage => {
                    let stage = self.life.stage().name();
                    info!(stage; "the process is {stage}");
                    self.notifier.send(Notification::Status(stage));
                }
                StageAction::ReloadConfiguration => {
                    self.reread = None;
                    if !self.renew(now, FaultLogging::On) {
                        self.reread = Some(Reread { at: now + REREAD_PAUSE, until: now + REREAD_FOR });
                    }
                    self.live(now, StageEvent::ReloadFinished);
                }
                // How long the drain takes was told with it.
                StageAction::Drain => {}
                StageAction::Undrain => self.tell(now, Event::Undrain, &[]),
                StageAction::Stop => {
                    self.stop_predecessor(now);
                    self.tell(now, Event::Stop, &[]);
                }
            }
        }
    }

    /// Reads the configuration and goes by it; false where it can't be read.
    fn renew(&mut self, now: f64, report: FaultLogging) -> bool {
        let Some((discovery, most)) = (self.renewed)(report) else { return false };
        self.tell(now, Event::Reconfigured(discovery, most), &[]);
        true
    }

    /// Reads the configuration once more, where that is due.
    fn reread(&mut self, now: f64) {
        let Some(again) = self.reread.filter(|again| again.at <= now) else { return };
        let done = self.renew(now, FaultLogging::Off) || now >= again.until;
        self.reread = (!done).then_some(Reread { at: now + REREAD_PAUSE, ..again });
    }

    fn link(&mut self, end: Endpoint) -> Option<&mut BufferedSocket> {
        match end {
            Endpoint::Client(slot) => self.clients.get_mut(slot)?.as_mut(),
            Endpoint::Server(slot) => self.servers.get_mut(slot)?.as_mut(),
        }
    }

    fn ready(&mut self, now: f64, end: Endpoint, readable: bool) {
        let Some(link) = self.link(end) else { return };
        if link.connecting {
            match link.socket.take_error() {
                Ok(None) => {}
                _ => return self.refused(now, end),
            }
            match link.socket.peer_addr() {
                Ok(_) => {
                    link.connecting = false;
                    if let Endpoint::Server(leg) = end {
                        self.connected(now, leg);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.refused(now, end),
            }
        } else {
            self.flush(now, end);
        }
        if readable {
            self.read(now, end);
        }
    }

    /// A leg's connection is up. Its client may have left meanwhile, and that lie behind in the same batch: its line went
    /// out for nobody.
    fn connected(&mut self, now: f64, leg: usize) {
        if let Some(client) = self.reducer.client_of(leg) {
            self.read(now, client);
        }
        // The leg may have ended by that, and its slot be another's, which is not up.
        if self.link(Endpoint::Server(leg)).is_some_and(|l| !l.connecting) {
            self.tell(now, Event::Connected(leg), &[]);
        }
    }

    fn refused(&mut self, now: f64, end: Endpoint) {
        if let Endpoint::Server(leg) = end {
            self.tell(now, Event::ConnectFailed(leg), &[]);
        }
    }

    fn flush(&mut self, now: f64, end: Endpoint) {
        let Some(link) = self.link(end) else { return };
        if link.is_flushed() {
            return;
        }
        // The rest of a head goes out only for a client that is still there.
        if let Some(client) = link.head_pending.then_some(end).and_then(|e| self.reducer.peer_of(e)) {
            self.read(now, client);
        }
        let Some(link) = self.link(end) else { return };
        match link.flush() {
            Ok(false) => {}
            Ok(true) => {
                if std::mem::take(&mut link.head_pending) {
                    if let Endpoint::Server(leg) = end {
                        self.tell(now, Event::HeadWritten(leg), &[]);
                    }
                }
                // What came from the other side meanwhile was left there.
                let other = self.reducer.peer_of(end);
                if let Some(other) = other.filter(|o| self.link(*o).is_some_and(|l| l.readable)) {
                    self.read(now, other);
                }
            }
            Err(_) => self.broken.push_back(end),
        }
    }

    fn read(&mut self, now: f64, end: Endpoint) {
        let mut scratch = std::mem::take(&mut self.scratch);
        // One that stands nowhere has little to say; one that says more waits for the others after each piece.
        let reads = if self.reducer.peer_of(end).is_some() { READS } else { 1 };
        for _ in 0..reads {
            let other = self.reducer.peer_of(end);
            let full = other.is_some_and(|o| self.link(o).is_some_and(|l| !l.is_flushed()));
            let Some(link) = self.link(end).filter(|l| !l.read_ended && !l.connecting) else {
                self.scratch = scratch;
                return;
            };
            link.readable = full;
            if full {
                break;
            }
            match link.socket.read(&mut scratch) {
                Ok(0) => {
                    link.read_ended = true;
                    self.tell(now, Event::Closed(end, CloseKind::Graceful), &[]);
                    break;
                }
                Ok(n) => self.tell(now, Event::Bytes(end, &scratch[..n]), &scratch[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.scratch = scratch;
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    link.read_ended = true;
                    self.tell(now, Event::Closed(end, CloseKind::Abortive), &[]);
                    break;
                }
            }
        }
        self.scratch = scratch;
        if self.link(end).is_some_and(|l| !l.read_ended && !l.readable) {
            self.again.push_back(end);
        }
    }

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
                return self.lose_watch(now);
            }
            link.connecting = false;
            if link.flush().is_err() {
                return self.lose_watch(now);
            }
            self.tell(now, Event::WatchOpened, &[]);
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        // One that was opened in its place meanwhile has not come up.
        while let Some(link) = self.watch.as_mut().filter(|l| !l.connecting) {
            match link.socket.read(&mut scratch) {
                Ok(0) => self.lose_watch(now),
                Ok(n) => self.tell(now, Event::WatchBytes(&scratch[..n]), &[]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.lose_watch(now),
            }
        }
        self.scratch = scratch;
    }

    fn lose_watch(&mut self, now: f64) {
        self.watch = None;
        self.tell(now, Event::WatchLost, &[]);
    }

    fn follow(&mut self, now: f64, discovery: SocketAddr, since: u64) {
        self.watch = None;
        let opened = TcpStream::connect(discovery).and_then(|mut socket| {
            self.poll.registry().register(&mut socket, WATCH, Interest::READABLE | Interest::WRITABLE)?;
            let mut link = BufferedSocket::new(socket, true);
            link.write(&[&http::watch_request(&discovery.to_string(), since)])?;
            Ok(link)
        });
        match opened {
            Ok(link) => self.watch = Some(link),
            Err(_) => self.lose_watch(now),
        }
    }

    fn tell(&mut self, now: f64, event: Event, bytes: &[u8]) {
        let news = matches!(event, Event::WatchBytes(_));
        self.reducer.step(now, event);
        self.apply(now, bytes);
        if news {
            self.live(now, StageEvent::ServerListHeld(self.reducer.has_server_list()));
        }
    }

    /// Carries out what the reducer asks for; `bytes` are those of the event.
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
                    let place = match end {
                        Endpoint::Client(slot) => self.clients.get_mut(slot),
                        Endpoint::Server(slot) => self.servers.get_mut(slot),
                    };
                    // The slot may be another's before these are looked at.
                    self.broken.retain(|e| *e != end);
                    self.again.retain(|e| *e != end);
                    if let Some(link) = place.and_then(Option::take) {
                        if how == CloseKind::Abortive {
                            link.reset_on_close();
                        }
                    }
                }
                Effect::SetAccepting(on) => self.accepting = on,
                Effect::OpenWatch(discovery, since) => self.follow(now, discovery, since),
                Effect::CloseWatch => self.watch = None,
                Effect::Exit => self.exit = true,
            }
        }
    }

    fn keep(&mut self, end: Endpoint, mut socket: TcpStream, connecting: bool) {
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self.poll.registry().register(&mut socket, token(end), interest) {
            error!("a socket could not be watched: {e}");
            self.broken.push_back(end);
        }
        let (places, slot) = match end {
            Endpoint::Client(slot) => (&mut self.clients, slot),
            Endpoint::Server(slot) => (&mut self.servers, slot),
        };
        if places.len() <= slot {
            places.resize_with(slot + 1, || None);
        }
        places[slot] = Some(BufferedSocket::new(socket, connecting));
    }

    fn dial(&mut self, now: f64, leg: usize, to: SocketAddr) {
        match TcpStream::connect(to) {
            Ok(socket) => self.keep(Endpoint::Server(leg), socket, true),
            Err(e) if is_transient(&e) => {
                debug!("dialling {to}, for now: {e}");
                self.tell(now, Event::ConnectNotStarted(leg), &[]);
            }
            Err(e) => {
                debug!("dialling {to}: {e}");
                self.tell(now, Event::ConnectFailed(leg), &[]);
            }
        }
    }

    fn write(&mut self, end: Endpoint, parts: &[&[u8]]) {
        let Some(link) = self.link(end) else { return };
        if link.write(parts).is_err() {
            self.broken.push_back(end);
        }
    }

    /// The first line goes on as it came, but for the client's waiting time.
    fn write_head(
        &mut self,
        now: f64,
        leg: usize,
        session: usize,
        wait: std::ops::Range<usize>,
        figure: u64,
    ) {
        let digits = figure.to_string();
        let head = self.reducer.session_head(session);
        let Some(link) = self.servers.get_mut(leg).and_then(Option::as_mut) else { return };
        let outcome = if wait.is_empty() {
            link.write(&[head])
        } else {
            link.write(&[&head[..wait.start], digits.as_bytes(), &head[wait.end..]])
        };
        link.head_pending = !link.is_flushed();
        match outcome {
            Ok(()) if link.head_pending => {}
            Ok(()) => self.tell(now, Event::HeadWritten(leg), &[]),
            Err(_) => self.tell(now, Event::Closed(Endpoint::Server(leg), CloseKind::Abortive), &[]),
        }
    }
}
