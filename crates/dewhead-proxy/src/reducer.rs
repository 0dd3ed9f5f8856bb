//! All that changes: an event comes in, the state moves on, and the effects to carry out come back. No I/O and no
//! clock. It owns the balancer, which asks for what it wants through `door`; discovery is followed in `watch`.

mod clients;
mod door;
mod legs;
mod standing;
mod status;
mod stopping;
mod succession;
mod watch;

use crate::guard::cold_start::ColdStartLimit;
use crate::guard::Guard;
use crate::state::counters::{AnswerReason, Counters};
use crate::state::servers::Servers;
use crate::state::sessions::{LegStage, ServerLeg, Session};
use crate::state::set_up_latency::TypeMeans;
use crate::state::start_times::WallClock;
use crate::state::timers::{Timer, Timers};
use crate::wire::answers;
use crate::wire::http::WatchResponse;
use crate::wire::server_list::ListVersion;
use dewhead::state::Balancer;
use dewhead::terms::{Ending, TrafficType};
use dewhead_startup::{KnownNames, Startup};
use door::{Asked, Door};
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
pub enum End {
    Client(usize),
    Server(usize),
}

#[derive(Debug)]
pub enum Event<'a> {
    /// A client has connected.
    Accepted,
    Bytes(End, &'a [u8]),
    /// Nothing more comes from there: closed, or broken.
    Closed(End, How),
    Connected(usize),
    /// The connection did not come up.
    Refused(usize),
    /// The connection could not be begun for want of something on this machine.
    NotDialled(usize),
    /// A leg's head is written to its last byte.
    HeadWritten(usize),
    WatchOpen,
    Watch(&'a [u8]),
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
    Renewed(SocketAddr, usize),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum How {
    Closed,
    Broken,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// The client that has just connected is this session's.
    Admit(usize),
    Dial(usize, SocketAddr),
    /// Write the session's first line to the leg, with another figure where the client's waiting time stands.
    Head {
        leg: usize,
        session: usize,
        wait: Range<usize>,
        figure: u64,
    },
    /// Pass on these of the event's bytes.
    Pass(End, Range<usize>),
    Text(End, Vec<u8>),
    /// Shut for writing once all is written.
    Finish(End),
    Close(End, How),
    Accepting(bool),
    /// Ask discovery, which is at this address, for the changes since this version.
    Follow(SocketAddr, u64),
    Unfollow,
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
/// The signs of slow messages, by their places in `ServerRecord::delays`.
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
    known: KnownNames,
    groups: bool,
    connect_limit: f64,
    longest_guard: f64,
    began: f64,
    /// Messages that take longer are told to the module.
    slow_from: f64,
    /// What a message is reckoned to take where set-ups take twice what they vary by themselves.
    slow_unit: f64,
    kinds: TypeMeans,
    sessions: Slab<Session>,
    /// The ids that clients gave their open requests; one goes with its session's last word.
    named: BTreeSet<u64>,
    /// Sessions that only wait for their client, and since when, by the order they began to; one leaves when it is
    /// taken up, or with its slot.
    loiterers: BTreeMap<u64, (usize, f64)>,
    legs: Slab<ServerLeg>,
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
        let (groups, must_ask) = (startup.groups, startup.must_subscribe);
        let (connect_limit, longest_guard) = (startup.connect_timeout, startup.longest_guard_time);
        let slow_from = startup.shortest_message_target / 3.0;
        let slow_unit = longest_guard / 30.0;
        let kinds = TypeMeans::new(startup.names.traffic_types.len());
        let (traffic, two_at_once) = (startup.traffic_types().to_vec(), startup.two_at_once());
        let slow_start = startup.slow_start();
        let (balancer, known) = startup.into_balancer(seed, door.clone());
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
            let told = ListVersion::from_json(remembered, &reducer.known.zones);
            reducer.list(now, told, true);
            reducer.unconfirmed = reducer.holds_list();
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
    pub fn looked(&mut self, at: f64, late: f64) {
        (self.looked_at, self.held_up) = (at, late);
    }

    /// The wall clock shows so many seconds more than the clock of `now`: it has been stepped since the start.
    pub fn wall_clock_is_ahead(&mut self, by: f64) {
        if let Some(step) = self.wall_clock.observe(by) {
            warn!("the wall clock was stepped by {step:.3} s");
        }
    }

    /// Whether a time that ends in this turn tells of a server, and not of our own delay.
    fn tells(&self, took: f64) -> bool {
        self.held_up <= OWN_DELAY * took
    }

    /// A session's first line, for `Effect::Head`.
    pub fn head(&self, session: usize) -> &[u8] {
        self.sessions.get(session).map_or(&[], |s| &s.first_line)
    }

    /// Where bytes from this end go once the call stands.
    pub fn other(&self, end: End) -> Option<End> {
        match end {
            End::Client(key) => self.sessions.get(key)?.established_leg().map(End::Server),
            End::Server(leg) => self.client_of(leg),
        }
    }

    /// The client that a leg is out for.
    pub fn client_of(&self, leg: usize) -> Option<End> {
        Some(End::Client(self.legs.get(leg)?.session))
    }

    /// Sessions and legs open, and descriptors counted for them.
    pub fn open(&self) -> (usize, usize, usize) {
        (self.sessions.len(), self.legs.len(), self.descriptors.used - FIXED)
    }

    /// Timers that wait; each belongs to a session, a leg, the watch, the balancer or a stop.
    pub fn timers(&self) -> usize {
        self.timers.count()
    }

    /// Whether servers are known.
    pub fn holds_list(&self) -> bool {
        !self.servers.0.is_empty()
    }

    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted => self.accepted(now),
            Event::Bytes(End::Client(key), bytes) => self.client_said(now, key, bytes),
            Event::Bytes(End::Server(leg), bytes) => self.server_said(now, leg, bytes),
            Event::Closed(End::Client(key), how) => self.client_closed(now, key, how),
            Event::Closed(End::Server(leg), how) => self.server_closed(now, leg, how),
            Event::Connected(leg) => self.connected(now, leg),
            Event::Refused(leg) => self.refused(now, leg),
            Event::NotDialled(leg) => self.dial_later(now, leg),
            Event::HeadWritten(leg) => {
                if let Some(out) = self.legs.get_mut(leg).filter(|l| l.stage == LegStage::Connecting) {
                    out.stage = LegStage::AwaitingAnswer;
                    out.head_sent_at = now;
                    let fresh = self.timers.set(out.answer_by, Due::Leg(leg));
                    if let Some(old) = out.timer.replace(fresh) {
                        self.timers.cancel(old);
                    }
                }
            }
            Event::WatchOpen => {
                self.watch.answer = Some(WatchResponse::default());
            }
            Event::Watch(bytes) => self.watched(now, bytes),
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
            Event::Renewed(discovery, most) => {
                self.descriptors.most = most;
                self.make_room(now);
                self.weigh(now);
                self.follow_elsewhere(now, discovery);
            }
        }
        self.settle(now);
        if self.is_over(now) {
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
                        self.answer(now, key, answers::busy(stay_away), AnswerReason::Rejected);
                    }
                }
                Asked::Release(call) => {
                    if let Some(key) = self.session_of(call) {
                        self.answer(now, key, answers::ERR.to_vec(), AnswerReason::Released);
                    }
                }
                Asked::Refused(call, why) => {
                    self.counters.refusals.count(why.name());
                    if let Some(key) = self.session_of(call) {
                        debug!("{}: no further attempt: {why}", self.sessions[key].log_id());
                    }
                }
                Asked::Withdraw(call, number) => {
                    let legs = self.session_of(call).map(|key| &self.sessions[key].legs);
                    let leg =
                        legs.and_then(|l| l.iter().find(|(n, _)| *n == number as usize)).map(|(_, l)| *l);
                    if let Some(leg) = leg {
                        self.end_leg(now, leg, Ending::Cancelled, false, How::Broken);
                    }
                }
                Asked::Relocate(call) => {
                    if let Some(key) = self.session_of(call) {
                        debug!("{}: is to be placed anew", self.sessions[key].log_id());
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
        if let Some(old) = std::mem::replace(&mut self.sessions[key].wake_timer, fresh) {
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
                self.sessions[key].wake_timer = None;
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
                self.sessions[key].wake_timer = None;
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
