//! All that changes: an event comes in, the state moves on, and the effects to carry out come back. No I/O and no
//! clock. It owns the balancer, which asks for what it wants through `balancer_requests`; discovery is followed in `watch`.

mod balancer_requests;
mod clients;
mod established;
mod handover;
mod legs;
mod shutdown;
mod status;
mod watch;

use crate::guard::cold_start::ColdStartLimit;
use crate::guard::Guard;
use crate::memory::counters::{AnswerReason, Counters};
use crate::memory::pace::Kinds;
use crate::memory::servers::Servers;
use crate::memory::sessions::{LegStage, Out, Session};
use crate::memory::start_times::WallClock;
use crate::memory::timers::{Timer, Timers};
use crate::wire::answers;
use crate::wire::http::Answer;
use crate::wire::listing::Version;
use balancer_requests::{Asked, Door};
use dewhead::state::Balancer;
use dewhead::terms::{Ending, TrafficType};
use dewhead_startup::{Known, Startup};
use log::{debug, info, warn};
use oorandom::Rand64;
use serde_json::Value;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use watch::Watch;

/// One end of a session: its client's connection, by the session's slot, or a leg's, by the leg's.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Endpoint {
    Client(usize),
    Server(usize),
}

#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected.
    Accepted,
    Bytes(Endpoint, &'a [u8]),
    /// Nothing more comes from there: closed, or broken.
    Closed(Endpoint, CloseKind),
    Connected(usize),
    /// The connection did not come up.
    ConnectFailed(usize),
    /// The connection could not be begun for want of something on this machine.
    ConnectNotStarted(usize),
    /// A leg's head is written to its last byte.
    HeadWritten(usize),
    WatchOpened,
    WatchBytes(&'a [u8]),
    WatchLost,
    /// Time has passed.
    Tick,
    /// To stop, politely.
    Stop,
    /// To send all clients away over so many seconds and answer no front's `PING`, but not to end; and to serve again.
    Drain(f64),
    Undrain,
    /// Another process serves here from now on: clients leave over so many seconds, then the process ends.
    Retire(f64),
    /// A new configuration holds: where discovery is now, and the most descriptors.
    Reconfigured(SocketAddr, usize),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseKind {
    Graceful,
    Abortive,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// The client that has just connected is this session's.
    AssignSession(usize),
    Connect(usize, SocketAddr),
    /// Write the session's first line to the leg, with another figure where the client's waiting time stands.
    SendHead {
        leg: usize,
        session: usize,
        timeout_range: Range<usize>,
        timeout_ms: u64,
    },
    /// Pass on these of the event's bytes.
    Forward(Endpoint, Range<usize>),
    Write(Endpoint, Vec<u8>),
    /// Shut for writing once all is written.
    ShutdownWrite(Endpoint),
    Close(Endpoint, CloseKind),
    SetAccepting(bool),
    /// Ask discovery, which is at this address, for the changes since this version.
    OpenWatch(SocketAddr, u64),
    CloseWatch,
    /// Nothing is owed to anybody known; who waits in the listener's queue still is.
    Exit,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
enum Due {
    Balancer,
    Call(usize),
    Leg(usize),
    Session(usize),
    Leave(usize),
    Watch,
    /// Discovery has had its time to say what it knows at the start.
    Confirmed,
    /// Descriptors ran out a moment ago.
    Room,
    /// At a stop: once clients no longer come, when all who stand are told, and when time is up.
    Empty,
    LastWord,
    Exit,
}

/// Descriptors in use against those allowed.
struct Descriptors {
    used: usize,
    most: usize,
    accepting: bool,
}

/// Descriptors that serve no session: standard streams, poll, listener, signals, discovery, and some in reserve.
const FIXED: usize = 16;
/// As many more are kept for clients that can only be told that there is no room.
const TO_REFUSE: usize = 16;
/// Clients go on coming for so long after a stop was asked for.
const STILL_COMING: f64 = 0.45;
/// The signs of slow messages, by their places in `Address::delays`.
const LINES: usize = 0;
const SETUPS: usize = 1;
/// How slow messages are at a server is told this often at the most.
const TELL_AGAIN: f64 = 1.0;
/// A sound connection brings a line back at once, and one held back for longer than this is lost by itself: a connection
/// that brings nothing for so long is lost. Waited for as long as clients wait for an answer, a lost zone's stood idle.
const MOST_SILENT: f64 = 1.0;
/// A line that a server has begun ends within this, or it does not end.
const LINE_ENDS: f64 = 0.9;
/// At the start discovery is heard before clients are, but for no longer than this part of the longest guard time: the
/// agent answers at once, or is silent.
const CONFIRMS: f64 = 1.0 / 16.0;
/// What a server takes is not judged in a turn that came late by this part of it.
const OWN_DELAY: f64 = 0.1;
/// A session's slot in the call's id; the rest is its serial number.
const SLOT_BITS: u32 = 24;

pub struct Reducer {
    balancer: Rc<Balancer>,
    door: Rc<Door>,
    known: Known,
    groups: bool,
    connect_limit: f64,
    longest_guard: f64,
    began: f64,
    /// Messages that take longer are told to the module.
    slow_from: f64,
    /// What a message is reckoned to take where set-ups take twice what they vary by themselves.
    slow_unit: f64,
    kinds: Kinds,
    sessions: Slab<Session>,
    /// The ids that clients gave their open requests; one goes with its session's last word.
    named: BTreeSet<u64>,
    /// Sessions that only wait for their client, and since when, by the order they began to; one leaves when it is
    /// taken up, or with its slot.
    loiterers: BTreeMap<u64, (usize, f64)>,
    legs: Slab<Out>,
    servers: Servers,
    traffic: Vec<TrafficType>,
    two_at_once: bool,
    guard: Guard,
    cold_start: ColdStartLimit,
    weights_are_sizes: bool,
    counters: Counters,
    wall_clock: WallClock,
    timers: Timers<Due>,
    serial: u64,
    watch: Watch,
    /// Since when clients are sent away, and over how long; and whether the process ends with the last.
    stopping: Option<f64>,
    spread: f64,
    ends: bool,
    /// Whether a signal has asked for the end; a hand-over alone leaves more time.
    stops: bool,
    /// At a stop: by when whoever waits has its answer.
    answered_by: Option<f64>,
    time_is_up: bool,
    /// All that came by then has been read; and by how much this turn came later than it was meant to.
    looked_at: f64,
    held_up: f64,
    /// The list held is from before the start, and discovery may have told of drains since: no first line is read yet.
    unconfirmed: bool,
    descriptors: Descriptors,
    chance: Rand64,
    effects: Vec<Effect>,
}

impl Reducer {
    pub fn new(
        now: f64,
        startup: Startup,
        seed: u128,
        discovery: SocketAddr,
        most_descriptors: usize,
        remembered: &Value,
    ) -> Reducer {
        let door = Rc::new(Door::default());
        let (groups, must_ask) = (startup.groups, startup.must_ask);
        let (connect_limit, longest_guard) = (startup.connect_limit, startup.longest_guard);
        let slow_from = startup.shortest_message / 3.0;
        let slow_unit = longest_guard / 30.0;
        let kinds = Kinds::new(startup.known.traffic.len());
        let (traffic, two_at_once) = (startup.traffic().to_vec(), startup.two_at_once());
        let slow_start = startup.slow_start();
        let (balancer, known) = startup.balancer(seed, door.clone());
        let mut reducer = Reducer {
            balancer,
            door,
            known,
            groups,
            connect_limit,
            longest_guard,
            began: now,
            slow_from,
            slow_unit,
            kinds,
            sessions: Slab::new(),
            named: BTreeSet::new(),
            loiterers: BTreeMap::new(),
            legs: Slab::new(),
            servers: Servers::default(),
            traffic,
            two_at_once,
            guard: Guard::default(),
            weights_are_sizes: slow_start.weights_are_sizes,
            cold_start: ColdStartLimit::new(slow_start),
            counters: Counters::default(),
            wall_clock: WallClock::default(),
            timers: Timers::default(),
            serial: 0,
            watch: Watch::of(discovery),
            stopping: None,
            spread: 0.0,
            ends: false,
            stops: false,
            answered_by: None,
            time_is_up: false,
            looked_at: f64::INFINITY,
            held_up: 0.0,
            unconfirmed: false,
            descriptors: Descriptors { used: FIXED, most: most_descriptors, accepting: true },
            chance: Rand64::new(seed ^ 1),
            effects: Vec::new(),
        };
        reducer.balancer.begin(now);
        if !remembered.is_null() {
            let told = Version::told(remembered, &reducer.known.zones);
            reducer.list(now, told, true);
            reducer.unconfirmed = reducer.has_server_list();
            reducer.timers.set(now + CONFIRMS * longest_guard, Due::Confirmed);
        }
        if !must_ask {
            reducer.follow(now);
        }
        reducer.settle(now);
        reducer
    }

    /// When the next timer falls due.
    pub fn next_due(&self) -> Option<f64> {
        self.timers.next()
    }

    /// The turn that begins brings all that came by `at`, and comes so many seconds late. Held up between looking and
    /// reading its clock, the process judged by a time that nothing had been looked for until.
    pub fn set_poll_times(&mut self, at: f64, late: f64) {
        (self.looked_at, self.held_up) = (at, late);
    }

    /// The wall clock shows so many seconds more than the clock of `now`: it has been stepped since the start.
    pub fn observe_wall_clock(&mut self, by: f64) {
        if let Some(step) = self.wall_clock.observe(by) {
            warn!("the wall clock was stepped by {step:.3} s");
        }
    }

    /// Whether a time that ends in this turn tells of a server, and not of our own delay.
    fn tells(&self, took: f64) -> bool {
        self.held_up <= OWN_DELAY * took
    }

    /// A session's first line, for `Effect::SendHead`.
    pub fn session_head(&self, session: usize) -> &[u8] {
        self.sessions.get(session).map_or(&[], |s| &s.head)
    }

    /// Where bytes from this end go once the call stands.
    pub fn peer_of(&self, end: Endpoint) -> Option<Endpoint> {
        match end {
            Endpoint::Client(key) => self.sessions.get(key)?.bound().map(Endpoint::Server),
            Endpoint::Server(leg) => self.client_of(leg),
        }
    }

    /// The client that a leg is out for.
    pub fn client_of(&self, leg: usize) -> Option<Endpoint> {
        Some(Endpoint::Client(self.legs.get(leg)?.session))
    }

    /// Sessions and legs open, and descriptors counted for them.
    pub fn open_counts(&self) -> (usize, usize, usize) {
        (self.sessions.len(), self.legs.len(), self.descriptors.used - FIXED)
    }

    /// Timers that wait; each belongs to a session, a leg, the watch, the balancer or a stop.
    pub fn timer_count(&self) -> usize {
        self.timers.count()
    }

    /// Whether servers are known.
    pub fn has_server_list(&self) -> bool {
        !self.servers.0.is_empty()
    }

    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted => self.accepted(now),
            Event::Bytes(Endpoint::Client(key), bytes) => self.client_said(now, key, bytes),
            Event::Bytes(Endpoint::Server(leg), bytes) => self.server_said(now, leg, bytes),
            Event::Closed(Endpoint::Client(key), how) => self.client_closed(now, key, how),
            Event::Closed(Endpoint::Server(leg), how) => self.server_closed(now, leg, how),
            Event::Connected(leg) => self.connected(now, leg),
            Event::ConnectFailed(leg) => self.refused(now, leg),
            Event::ConnectNotStarted(leg) => self.dial_later(now, leg),
            Event::HeadWritten(leg) => {
                if let Some(out) = self.legs.get_mut(leg).filter(|l| l.stage == LegStage::Connecting) {
                    out.stage = LegStage::Asked;
                    out.asked_at = now;
                    let fresh = self.timers.set(out.until, Due::Leg(leg));
                    if let Some(old) = out.timer.replace(fresh) {
                        self.timers.cancel(old);
                    }
                }
            }
            Event::WatchOpened => {
                self.watch.answer = Some(Answer::default());
            }
            Event::WatchBytes(bytes) => self.watched(now, bytes),
            Event::WatchLost => self.watch_lost(now),
            Event::Tick => {
                while let Some(due) = self.timers.pop(now.min(self.looked_at)) {
                    self.due(now, due);
                    self.settle(now);
                }
            }
            Event::Stop => self.stop(now),
            Event::Drain(spread) => self.drain(now, spread),
            Event::Undrain => self.undrain(),
            Event::Retire(spread) => self.retire(now, spread),
            Event::Reconfigured(discovery, most) => {
                self.descriptors.most = most;
                self.make_room(now);
                self.weigh(now);
                self.follow_elsewhere(now, discovery);
            }
        }
        self.settle(now);
        if self.is_finished(now) {
            self.effects.push(Effect::Exit);
        }
    }

    fn session_of(&self, call: u64) -> Option<usize> {
        let key = (call & ((1 << SLOT_BITS) - 1)) as usize;
        self.sessions.get(key).filter(|s| s.id == call).map(|_| key)
    }

    /// Carries out what the balancer has asked for, and what it asks for meanwhile.
    fn settle(&mut self, now: f64) {
        loop {
            let next = self.door.asked.borrow_mut().pop_front();
            let Some(asked) = next else { return };
            match asked {
                Asked::Send(call, server, limit) => {
                    if let Some(key) = self.session_of(call) {
                        self.send(now, key, server, limit);
                    }
                }
                Asked::Reject(call, stay_away) => {
                    if let Some(key) = self.session_of(call) {
                        self.answer(now, key, answers::busy(stay_away), AnswerReason::Refused);
                    }
                }
                Asked::Release(call) => {
                    if let Some(key) = self.session_of(call) {
                        self.answer(now, key, answers::FAILED.to_vec(), AnswerReason::GaveUp);
                    }
                }
                Asked::Refused(call, why) => {
                    self.counters.refusals.count(why.name());
                    if let Some(key) = self.session_of(call) {
                        debug!("{}: no further attempt: {why}", self.sessions[key].who());
                    }
                }
                Asked::Withdraw(call, number) => {
                    let legs = self.session_of(call).map(|key| &self.sessions[key].legs);
                    let leg =
                        legs.and_then(|l| l.iter().find(|(n, _)| *n == number as usize)).map(|(_, l)| *l);
                    if let Some(leg) = leg {
                        self.end_leg(now, leg, Ending::Cancelled, false, CloseKind::Abortive);
                    }
                }
                Asked::Relocate(call) => {
                    if let Some(key) = self.session_of(call) {
                        debug!("{}: relocation requested", self.sessions[key].who());
                        self.move_away(now, key, Ending::Cancelled);
                    }
                }
                Asked::WakeCall(call, at) => {
                    if let Some(key) = self.session_of(call) {
                        let fresh = self.timers.set(at, Due::Call(key));
                        self.replace_wake(key, Some(fresh));
                    }
                }
                Asked::Wake(at) => {
                    self.timers.set(at, Due::Balancer);
                }
                Asked::Follow => self.follow(now),
                Asked::Remark(text) => info!("{text}"),
            }
        }
    }

    fn replace_wake(&mut self, key: usize, fresh: Option<Timer>) {
        if let Some(old) = std::mem::replace(&mut self.sessions[key].wake, fresh) {
            self.timers.cancel(old);
        }
    }

    fn replace_timer(&mut self, key: usize, at: Option<f64>) {
        let fresh = at.map(|at| self.timers.set(at, Due::Session(key)));
        if let Some(old) = std::mem::replace(&mut self.sessions[key].timer, fresh) {
            self.timers.cancel(old);
        }
    }

    fn due(&mut self, now: f64, due: Due) {
        match due {
            Due::Balancer => self.balancer.woken(now),
            Due::Call(key) => {
                self.sessions[key].wake = None;
                if let Some(call) = self.sessions[key].call.clone() {
                    call.woken(now);
                }
            }
            Due::Leg(leg) if self.legs[leg].stage == LegStage::Queued => self.redial(now, leg),
            Due::Leg(leg) => {
                let out = &mut self.legs[leg];
                out.timer = None;
                let ending = match out.stage {
                    LegStage::Connecting => Ending::Unreachable,
                    _ => Ending::TimedOut,
                };
                self.leg_failed(now, leg, ending);
            }
            Due::Session(key) => {
                self.sessions[key].timer = None;
                self.session_due(now, key);
            }
            Due::Leave(key) => {
                self.sessions[key].wake = None;
                self.move_away(now, key, Ending::Cancelled);
            }
            Due::Watch => {
                self.watch.timer = None;
                if std::mem::take(&mut self.watch.pausing) {
                    self.follow(now);
                } else {
                    self.watch_fault(now, "it is silent");
                }
            }
            Due::Room => {
                self.make_room(now);
                self.look_for_room(now);
            }
            Due::Empty => {}
            Due::Confirmed => self.confirm(now),
            Due::LastWord => self.say_last_word(now),
            Due::Exit => self.time_is_up = true,
        }
    }
}
