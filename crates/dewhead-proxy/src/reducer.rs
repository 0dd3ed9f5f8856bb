//! The proxy's state machine: applies one event at a time and returns the effects to carry out. It performs no I/O and
//! reads no clock. It owns the balancer, whose requests arrive through `balancer_requests`; discovery is followed in
//! `watch`, and its lists are applied in `server_list` and `hold_down`.

mod balancer_requests;
mod clients;
mod established;
mod first_line;
mod handover;
mod hedged_watch;
mod held_requests;
mod hold_down;
mod legs;
mod messages;
mod send_checks;
mod server_list;
mod shutdown;
mod start_times;
mod status;
mod watch;

use crate::guard::cold_start::ColdStartLimit;
use crate::guard::Guard;
use crate::state::abandoned_requests::AbandonedRequests;
use crate::state::counters::{AnswerReason, Counters};
use crate::state::hedged_requests::HedgedRequests;
use crate::state::hold_down::HoldDowns;
use crate::state::servers::Servers;
use crate::state::sessions::{ServerLeg, Session, SessionStage};
use crate::state::set_up_latency::TypeMeans;
use crate::state::start_times::WallClock;
use crate::state::timers::{Timer, Timers};
use crate::wire::answers;
use crate::wire::server_list::ListVersion;
use balancer_requests::{BalancerRequest, RequestQueue};
use dewhead::list_source::ListReliance;
use dewhead::state::Balancer;
use dewhead::types::{LegOutcome, TrafficType};
use dewhead_startup::{KnownNames, Startup};
use log::{debug, info, warn};
pub use messages::{CloseKind, Effect, Endpoint, Event};
use oorandom::Rand64;
use serde_json::Value;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use watch::Watch;

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
enum TimerKind {
    Balancer,
    Call(usize),
    Leg(usize),
    Session(usize),
    /// Moves the session's client away during a drain or a stop.
    MoveClient(usize),
    Watch,
    /// Makes the next hedged request for the watch.
    HedgedRequest,
    /// The time for discovery to confirm the list is over.
    ListDoubtEnd,
    /// Uses the servers again whose hold-down is over.
    HoldDownEnd,
    /// Checks for descriptors to free while none is left to accept with.
    FreeDescriptors,
    /// At a stop or a retirement: clients no longer arrive.
    ArrivalsOver,
    /// At a stop or a retirement: moves all clients that are still established.
    FinalMoves,
    /// At a stop or a retirement: the process exits, even with sessions open.
    Exit,
}

/// Use of file descriptors.
struct Descriptors {
    used: usize,
    limit: usize,
    accepting: bool,
}

/// Descriptors that serve no session: standard streams, poll, listener, signals, discovery, and some in reserve.
const RESERVED_DESCRIPTORS: usize = 16;
/// Further descriptors that are kept for clients that can only be rejected for lack of descriptors.
const REJECTION_DESCRIPTORS: usize = 16;
/// Clients keep arriving for this many seconds after a stop was requested.
const ARRIVALS_AFTER_STOP_SECONDS: f64 = 0.45;
/// Indices into a server's message delays: those estimated from lines and from set-ups.
const LINE_DELAY: usize = 0;
const SET_UP_DELAY: usize = 1;
/// Minimum interval between two reports of a server's message delay to the balancer, in seconds.
const DELAY_REPORT_INTERVAL_SECONDS: f64 = 1.0;
/// A connection on which no line has answered the client's for this many seconds is treated as lost: a working server
/// answers at once, and a line delayed for longer is treated as lost as well. With the clients' waiting time as the
/// limit, connections into a failed zone stayed idle for all of that time.
const MAX_REPLY_SILENCE_SECONDS: f64 = 1.0;
/// A client that has been sent the start of a line, and whose own lines have not been answered for this many seconds, is
/// cut off: it can't be moved within a line, and must be ended within seven seconds.
const MAX_INCOMPLETE_LINE_SECONDS: f64 = 6.0;
/// A timer may run this many seconds before the time that it was set for, as timers have a resolution of a microsecond.
const TIMER_RESOLUTION_SECONDS: f64 = 1e-3;
/// A measured duration is not attributed to a server if the iteration in which it ends was late by more than this
/// fraction of the duration.
const MAX_OWN_DELAY_SHARE: f64 = 0.1;
/// Low bits of a call's id that hold the session's slot; the others hold its serial number.
const SLOT_BITS: u32 = 24;

/// The state of a proxy process. Events enter by `step`, effects are collected with `take_effects`.
pub struct Reducer {
    balancer: Rc<Balancer>,
    requests: Rc<RequestQueue>,
    names: KnownNames,
    groups_enabled: bool,
    connect_timeout: f64,
    longest_guard_time: f64,
    started_at: f64,
    /// Messages that take longer than this are reported to the balancer, in seconds.
    slow_message_threshold: f64,
    /// The message delay that is assumed where set-ups take twice as long as their own variation explains, in seconds.
    slow_set_up_unit: f64,
    type_means: TypeMeans,
    sessions: Slab<Session>,
    /// Ids that clients gave their open requests; an entry is removed when the session begins closing.
    open_request_ids: BTreeSet<u64>,
    abandoned_requests: AbandonedRequests,
    /// Sessions that only wait for their client, in the order in which they began to, with their slot and that time. An
    /// entry is removed when its session is active again or its slot is freed.
    idle_sessions: BTreeMap<u64, (usize, f64)>,
    legs: Slab<ServerLeg>,
    servers: Servers,
    hold_downs: HoldDowns,
    hold_down_timer_running: bool,
    traffic_types: Vec<TrafficType>,
    /// Whether a repeatable call may have two attempts open at the same time.
    two_at_once: bool,
    guard: Guard,
    cold_start: ColdStartLimit,
    weights_are_sizes: bool,
    counters: Counters,
    wall_clock: WallClock,
    timers: Timers<TimerKind>,
    last_serial: u64,
    watch: Watch,
    hedges: HedgedRequests,
    /// Since when clients are moved away, and over how many seconds.
    draining_since: Option<f64>,
    drain_spread: f64,
    /// Whether the process exits with its last session.
    exits_when_empty: bool,
    /// Whether a signal has requested the stop; a handover alone leaves more time.
    stop_requested: bool,
    /// At a stop or a retirement: when every waiting client must have its answer.
    answer_deadline: Option<f64>,
    /// At a stop or a retirement: whether the process must exit now.
    exit_due: bool,
    /// Everything that arrived until `polled_at` has been read; this iteration began `iteration_delay` seconds late.
    polled_at: f64,
    iteration_delay: f64,
    /// Whether servers may be chosen by the current list.
    list_reliance: ListReliance,
    /// The longest time after which a client may be asked to come again, in seconds; none if none may be named.
    max_retry_after: Option<f64>,
    descriptors: Descriptors,
    rng: Rand64,
    effects: Vec<Effect>,
}

impl Reducer {
    /// Creates the state at process start. `last_known_list` is the list of an earlier process, or null.
    pub fn new(
        now: f64,
        startup: Startup,
        seed: u128,
        discovery: SocketAddr,
        max_descriptors: usize,
        last_known_list: &Value,
    ) -> Reducer {
        let requests = Rc::new(RequestQueue::default());
        let (groups_enabled, must_subscribe) = (startup.groups, startup.must_subscribe);
        let (connect_timeout, longest_guard_time) = (startup.connect_timeout, startup.longest_guard_time);
        let pushed_list_grace = (!must_subscribe).then_some(startup.drain_grace);
        let max_retry_after = startup.max_retry_after();
        let slow_message_threshold = startup.shortest_message_target / 3.0;
        let slow_set_up_unit = longest_guard_time / 30.0;
        let type_means = TypeMeans::new(startup.names.traffic_types.len());
        let (traffic_types, two_at_once) = (startup.traffic_types().to_vec(), startup.two_at_once());
        let slow_start = startup.slow_start();
        let (balancer, names) = startup.into_balancer(seed, requests.clone());
        let mut reducer = Reducer {
            balancer,
            requests,
            names,
            groups_enabled,
            connect_timeout,
            longest_guard_time,
            started_at: now,
            slow_message_threshold,
            slow_set_up_unit,
            type_means,
            sessions: Slab::new(),
            open_request_ids: BTreeSet::new(),
            abandoned_requests: AbandonedRequests::new(longest_guard_time),
            idle_sessions: BTreeMap::new(),
            legs: Slab::new(),
            servers: Servers::default(),
            hold_downs: HoldDowns::default(),
            hold_down_timer_running: false,
            traffic_types,
            two_at_once,
            guard: Guard::default(),
            weights_are_sizes: slow_start.weights_are_sizes,
            cold_start: ColdStartLimit::new(slow_start),
            counters: Counters::default(),
            wall_clock: WallClock::default(),
            timers: Timers::default(),
            last_serial: 0,
            watch: Watch::new(now, discovery),
            hedges: HedgedRequests::new(pushed_list_grace),
            draining_since: None,
            drain_spread: 0.0,
            exits_when_empty: false,
            stop_requested: false,
            answer_deadline: None,
            exit_due: false,
            polled_at: f64::INFINITY,
            iteration_delay: 0.0,
            list_reliance: ListReliance::new(pushed_list_grace),
            max_retry_after,
            descriptors: Descriptors { used: RESERVED_DESCRIPTORS, limit: max_descriptors, accepting: true },
            rng: Rand64::new(seed ^ 1),
            effects: Vec::new(),
        };
        reducer.balancer.start(now);
        if !last_known_list.is_null() {
            reducer.apply_last_known_list(now, last_known_list);
        }
        if !must_subscribe {
            reducer.open_watch(now);
        }
        reducer.process_balancer_requests(now);
        reducer
    }

    /// Applies the list of an earlier process, which discovery has to confirm.
    fn apply_last_known_list(&mut self, now: f64, list: &Value) {
        let version = ListVersion::from_json(list, &self.names.zones);
        self.apply_list(now, version, true);
        if self.has_server_list() {
            self.list_reliance.on_remembered_list(now, self.longest_guard_time);
            self.schedule_list_doubt_end();
        }
    }

    /// When the next timer is due, in seconds.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next()
    }

    /// Sets the times of the iteration that begins now: it delivers everything that arrived until `polled_at`, and
    /// starts `delay` seconds late. Timers are compared with `polled_at` and not with the clock read after the poll: a
    /// process suspended between the two would treat input that it has not polled for yet as missing.
    pub fn set_poll_times(&mut self, polled_at: f64, delay: f64) {
        (self.polled_at, self.iteration_delay) = (polled_at, delay);
    }

    /// Records `offset`, by how many seconds the wall clock is ahead of the process's clock: the sum of the wall
    /// clock's steps since the start.
    pub fn observe_wall_clock(&mut self, offset: f64) {
        if let Some(step) = self.wall_clock.observe(offset) {
            warn!("the wall clock was stepped by {step:.3} s");
        }
    }

    /// Whether a duration measured in this iteration is due to a server and not to this process's own delay.
    fn is_server_delay(&self, duration: f64) -> bool {
        self.iteration_delay <= MAX_OWN_DELAY_SHARE * duration
    }

    /// A session's first line, for `Effect::SendHead`.
    pub fn session_head(&self, session: usize) -> &[u8] {
        self.sessions.get(session).map_or(&[], |s| &s.first_line)
    }

    /// The endpoint that bytes from this one are forwarded to once the call is established.
    pub fn peer_of(&self, endpoint: Endpoint) -> Option<Endpoint> {
        match endpoint {
            Endpoint::Client(key) => self.sessions.get(key)?.established_leg().map(Endpoint::Server),
            Endpoint::Server(leg) => self.client_of(leg),
        }
    }

    /// Whether this is a client that has had its final answer.
    pub fn is_closing(&self, endpoint: Endpoint) -> bool {
        let Endpoint::Client(key) = endpoint else { return false };
        self.sessions.get(key).is_some_and(|session| session.stage == SessionStage::Closing)
    }

    /// The client that a leg belongs to.
    pub fn client_of(&self, leg: usize) -> Option<Endpoint> {
        Some(Endpoint::Client(self.legs.get(leg)?.session))
    }

    /// Numbers of open sessions, of open legs, and of descriptors accounted to them.
    pub fn open_counts(&self) -> (usize, usize, usize) {
        (self.sessions.len(), self.legs.len(), self.descriptors.used - RESERVED_DESCRIPTORS)
    }

    /// Number of pending timers; each belongs to a session, a leg, the watch, the balancer or a stop.
    pub fn timer_count(&self) -> usize {
        self.timers.count()
    }

    /// Whether a list that names servers is held.
    pub fn has_server_list(&self) -> bool {
        !self.servers.0.is_empty()
    }

    /// Returns the effects since the last call, in the order in which they must be carried out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Applies one event at time `now`, in seconds.
    pub fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted => self.handle_accepted(now),
            Event::Bytes(Endpoint::Client(key), bytes) => self.handle_client_bytes(now, key, bytes),
            Event::Bytes(Endpoint::Server(leg), bytes) => self.handle_server_bytes(now, leg, bytes),
            Event::LastBytes(Endpoint::Client(key), bytes, kind) => {
                self.handle_last_client_bytes(now, key, bytes, kind)
            }
            Event::LastBytes(Endpoint::Server(leg), bytes, kind) => {
                self.handle_server_bytes(now, leg, bytes);
                self.handle_server_closed(now, leg, kind);
            }
            Event::Closed(Endpoint::Client(key), kind) => self.handle_client_closed(now, key, kind),
            Event::Closed(Endpoint::Server(leg), kind) => self.handle_server_closed(now, leg, kind),
            Event::Connected(leg) => self.handle_connected(now, leg),
            Event::ConnectFailed(leg) => self.handle_connect_failed(now, leg),
            Event::ConnectNotStarted(leg) => self.postpone_connect(now, leg),
            Event::HeadWritten(leg) => self.handle_head_written(now, leg),
            Event::WatchOpened => self.handle_watch_opened(now),
            Event::WatchBytes(bytes) => self.handle_watch_bytes(now, bytes),
            Event::WatchLost => self.handle_watch_lost(now),
            Event::WatchRefused => self.handle_watch_refused(now),
            Event::HedgeBytes(slot, bytes) => self.handle_hedge_bytes(now, slot, bytes),
            Event::HedgeLost(slot) => self.handle_hedge_lost(slot),
            Event::Tick => {
                while let Some(timer) = self.timers.pop(now.min(self.polled_at)) {
                    self.handle_timer(now, timer);
                    self.process_balancer_requests(now);
                }
            }
            Event::Stop => self.begin_stop(now),
            Event::Drain(spread) => self.begin_drain(now, spread),
            Event::Undrain => self.cancel_drain(),
            Event::Retire(spread) => self.begin_retirement(now, spread),
            Event::Reconfigured(discovery, limit) => {
                self.descriptors.limit = limit;
                self.free_descriptors(now);
                self.update_accepting(now);
                self.switch_discovery(now, discovery);
            }
        }
        self.process_balancer_requests(now);
        if self.is_finished(now) {
            self.effects.push(Effect::Exit);
        }
    }

    /// The session that a call's id belongs to, if it is still open.
    fn find_session(&self, call: u64) -> Option<usize> {
        let key = (call & ((1 << SLOT_BITS) - 1)) as usize;
        self.sessions.get(key).filter(|s| s.id == call).map(|_| key)
    }

    /// Carries out the balancer's pending requests, and those that it makes meanwhile.
    fn process_balancer_requests(&mut self, now: f64) {
        loop {
            let next = self.requests.pending.borrow_mut().pop_front();
            let Some(request) = next else { return };
            match request {
                BalancerRequest::SendLeg(call, server, timeout) => {
                    if let Some(key) = self.find_session(call) {
                        self.send_attempt(now, key, server, timeout);
                    }
                }
                BalancerRequest::Reject(call, retry_after) => {
                    if let Some(key) = self.find_session(call) {
                        self.send_final_answer(now, key, answers::busy(retry_after), AnswerReason::Rejected);
                    }
                }
                BalancerRequest::Release(call) => {
                    if let Some(key) = self.find_session(call) {
                        self.send_final_answer(now, key, answers::ERR.to_vec(), AnswerReason::Released);
                    }
                }
                BalancerRequest::NoteRefusal(call, reason) => {
                    self.counters.refusals.count(reason.name());
                    if let Some(key) = self.find_session(call) {
                        debug!("{}: no further attempt: {reason}", self.sessions[key].log_id());
                    }
                }
                BalancerRequest::CancelLeg(call, number) => self.cancel_leg(now, call, number),
                BalancerRequest::Relocate(call) => {
                    if let Some(key) = self.find_session(call) {
                        debug!("{}: relocation requested", self.sessions[key].log_id());
                        self.move_client(now, key, LegOutcome::Cancelled);
                    }
                }
                BalancerRequest::SetCallTimer(call, at) => {
                    if let Some(key) = self.find_session(call) {
                        let new_timer = self.timers.set(at, TimerKind::Call(key));
                        self.replace_wake_timer(key, Some(new_timer));
                    }
                }
                BalancerRequest::SetBalancerTimer(at) => {
                    self.timers.set(at, TimerKind::Balancer);
                }
                BalancerRequest::SubscribeToList => self.open_watch(now),
                BalancerRequest::LogMessage(text) => info!("{text}"),
            }
        }
    }

    /// Replaces the session's wake timer, which serves its call, or its move during a drain.
    fn replace_wake_timer(&mut self, key: usize, new_timer: Option<Timer>) {
        if let Some(old) = std::mem::replace(&mut self.sessions[key].wake_timer, new_timer) {
            self.timers.cancel(old);
        }
    }

    /// Replaces the timer that limits the session's present stage.
    fn replace_stage_timer(&mut self, key: usize, at: Option<f64>) {
        let new_timer = at.map(|at| self.timers.set(at, TimerKind::Session(key)));
        if let Some(old) = std::mem::replace(&mut self.sessions[key].timer, new_timer) {
            self.timers.cancel(old);
        }
    }

    /// Handles a timer that is due.
    fn handle_timer(&mut self, now: f64, timer: TimerKind) {
        match timer {
            TimerKind::Balancer => self.balancer.on_timer(now),
            TimerKind::Call(key) => {
                self.sessions[key].wake_timer = None;
                if let Some(call) = self.sessions[key].call.clone() {
                    call.on_timer(now);
                }
            }
            TimerKind::Leg(leg) => self.handle_leg_timer(now, leg),
            TimerKind::Session(key) => {
                self.sessions[key].timer = None;
                self.handle_session_timer(now, key);
            }
            TimerKind::MoveClient(key) => {
                self.sessions[key].wake_timer = None;
                self.move_client(now, key, LegOutcome::Cancelled);
            }
            TimerKind::Watch => self.handle_watch_timer(now),
            TimerKind::HedgedRequest => self.handle_hedge_timer(now),
            TimerKind::HoldDownEnd => self.end_hold_downs(now),
            TimerKind::FreeDescriptors => {
                self.free_descriptors(now);
                self.schedule_descriptor_check(now);
            }
            TimerKind::ArrivalsOver => {}
            TimerKind::ListDoubtEnd => self.end_list_doubt(now),
            TimerKind::FinalMoves => self.move_remaining_clients(now),
            TimerKind::Exit => self.exit_due = true,
        }
    }
}
