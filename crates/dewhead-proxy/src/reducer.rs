//! All that changes: an event comes in, the state moves on, and the effects to carry out come back. No I/O and no
//! clock. It owns the balancer, which asks for what it wants through `door`; discovery is followed in `watch`.

mod door;
mod watch;

use crate::memory::pace::Kinds;
use crate::memory::servers::Servers;
use crate::memory::sessions::{LegStage, Out, Session, Stage};
use crate::memory::timers::{Timer, Timers};
use crate::wire::answers::{self, word, Word};
use crate::wire::head::{opening, Opening};
use crate::wire::http::Answer;
use crate::wire::lines::{first, Lines};
use crate::wire::listing::number_of;
use dewhead::state::Balancer;
use dewhead::terms::Ending;
use dewhead_startup::{Known, Startup};
use door::{Asked, Door};
use log::{debug, info};
use oorandom::Rand64;
use serde_json::Value;
use slab::Slab;
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
    /// A leg's head is written to its last byte.
    HeadWritten(usize),
    WatchOpen,
    Watch(&'a [u8]),
    WatchLost,
    /// Time has passed.
    Tick,
    /// To stop, politely.
    Stop,
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
    /// At a stop: once clients no longer come, and when time is up.
    Empty,
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
/// A connection that brings nothing back is lost by then, however long clients may wait for an answer; together with
/// the next, within the seven seconds that are allowed.
const MOST_SILENT: f64 = 5.5;
/// A line that a server has begun ends within this, or it does not end.
const LINE_ENDS: f64 = 0.9;
/// A session's slot in the call's id; the rest is its serial number.
const SLOT_BITS: u32 = 24;

pub struct Reducer {
    balancer: Rc<Balancer>,
    door: Rc<Door>,
    known: Known,
    groups: bool,
    must_ask: bool,
    connect_limit: f64,
    longest_guard: f64,
    /// Messages that take longer are told to the module.
    slow_from: f64,
    /// What a message is reckoned to take where set-ups take twice what they vary by themselves.
    slow_unit: f64,
    kinds: Kinds,
    /// A standing connection whose client has had no line back for this long is lost.
    silent_after: f64,
    sessions: Slab<Session>,
    legs: Slab<Out>,
    servers: Servers,
    timers: Timers<Due>,
    serial: u64,
    watch: Watch,
    stopping: Option<f64>,
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
        let (balancer, known) = startup.balancer(seed, door.clone());
        let mut reducer = Reducer {
            balancer,
            door,
            known,
            groups,
            must_ask,
            connect_limit,
            longest_guard,
            slow_from,
            slow_unit,
            kinds,
            silent_after: longest_guard.clamp(1.0, MOST_SILENT),
            sessions: Slab::new(),
            legs: Slab::new(),
            servers: Servers::default(),
            timers: Timers::default(),
            serial: 0,
            watch: Watch::of(discovery),
            stopping: None,
            descriptors: Descriptors { used: FIXED, most: most_descriptors, accepting: true },
            chance: Rand64::new(seed ^ 1),
            effects: Vec::new(),
        };
        reducer.balancer.begin(now);
        if !remembered.is_null() {
            reducer.list(now, remembered, true);
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

    /// A session's first line, for `Effect::Head`.
    pub fn head(&self, session: usize) -> &[u8] {
        self.sessions.get(session).map_or(&[], |s| &s.head)
    }

    /// Where bytes from this end go once the call stands.
    pub fn other(&self, end: End) -> Option<End> {
        match end {
            End::Client(key) => self.sessions.get(key)?.bound().map(End::Server),
            End::Server(leg) => Some(End::Client(self.legs.get(leg)?.session)),
        }
    }

    /// Sessions and legs open, and descriptors counted for them.
    pub fn open(&self) -> (usize, usize, usize) {
        (self.sessions.len(), self.legs.len(), self.descriptors.used - FIXED)
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
            Event::Refused(leg) => self.leg_failed(now, leg, Ending::Unreachable),
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
            Event::WatchOpen => {
                self.watch.answer = Some(Answer::default());
            }
            Event::Watch(bytes) => self.watched(now, bytes),
            Event::WatchLost => self.watch_lost(now),
            Event::Tick => {
                while let Some(due) = self.timers.pop(now) {
                    self.due(now, due);
                    self.settle(now);
                }
            }
            Event::Stop => self.stop(now),
            Event::Renewed(discovery, most) => {
                self.descriptors.most = most;
                self.weigh();
                self.follow_elsewhere(now, discovery);
            }
        }
        self.settle(now);
        if self.stopping.is_some_and(|at| now >= at + STILL_COMING) && self.sessions.is_empty() {
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
                        self.answer(now, key, answers::busy(stay_away));
                    }
                }
                Asked::Release(call) => {
                    if let Some(key) = self.session_of(call) {
                        self.answer(now, key, answers::FAILED.to_vec());
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

    fn accepted(&mut self, now: f64) {
        self.serial += 1;
        let entry = self.sessions.vacant_entry();
        let key = entry.key();
        entry.insert(Session {
            id: self.serial << SLOT_BITS | key as u64,
            stage: Stage::Greeting,
            head: Vec::new(),
            wait: 0..0,
            traffic: 0,
            call: None,
            legs: Vec::new(),
            sent: 0,
            down: Lines::default(),
            up: Lines::default(),
            asked: 0,
            asked_at: now,
            unanswered: None,
            moving: None,
            timer: None,
            wake: None,
            returning: None,
        });
        self.effects.push(Effect::Admit(key));
        self.replace_timer(key, Some(now + self.longest_guard.max(1.0)));
        self.descriptors.used += 1;
        self.weigh();
    }

    /// Accepts only while there are descriptors left to refuse with.
    fn weigh(&mut self) {
        let left = self.descriptors.most.saturating_sub(self.descriptors.used);
        let accepting = if self.descriptors.accepting { left > 0 } else { left > TO_REFUSE / 2 };
        if accepting != self.descriptors.accepting {
            self.descriptors.accepting = accepting;
            self.effects.push(Effect::Accepting(accepting));
        }
    }

    fn client_said(&mut self, now: f64, key: usize, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            Stage::Greeting => {
                session.head.extend_from_slice(bytes);
                self.greet(now, key);
            }
            Stage::Waiting | Stage::Returning => {
                // A client waits for its answer; one that does not is not understood.
                if let Some(call) = session.call.clone() {
                    call.left();
                }
                self.answer(now, key, answers::FAILED.to_vec());
            }
            Stage::Standing => {
                let mut lines = 0;
                session.up.feed(bytes, |_, _| lines += 1);
                if lines > 0 {
                    session.asked += lines;
                    session.asked_at = now;
                    session.unanswered.get_or_insert(now);
                }
                let silent = session.timer.is_none() && lines > 0 && session.moving.is_none();
                if let Some(leg) = session.bound() {
                    self.effects.push(Effect::Pass(End::Server(leg), 0..bytes.len()));
                }
                if silent {
                    self.replace_timer(key, Some(now + self.silent_after));
                }
            }
            Stage::Parting => {}
        }
    }

    fn greet(&mut self, now: f64, key: usize) {
        let session = &mut self.sessions[key];
        let end = match first(&session.head) {
            Ok(Some(end)) => end,
            Ok(None) => return,
            Err(_) => return self.answer(now, key, answers::FAILED.to_vec()),
        };
        match opening(&session.head[..end], now, self.longest_guard, &self.known, self.groups) {
            Ok(Opening::Ping) => {
                session.head.drain(..end);
                let more = !session.head.is_empty();
                // Only once it can serve, and no longer when it stops.
                if self.servers.0.is_empty() || self.stopping.is_some() {
                    return self.answer(now, key, Vec::new());
                }
                self.effects.push(Effect::Text(End::Client(key), answers::PONG.to_vec()));
                self.replace_timer(key, Some(now + self.longest_guard.max(1.0)));
                if more {
                    self.greet(now, key);
                }
            }
            Ok(Opening::Open { wanted, wait, held_at }) if end == session.head.len() => {
                session.wait = wait;
                session.traffic = wanted.traffic;
                let (id, until) = (session.id, wanted.until);
                match held_at.map(|at| std::str::from_utf8(&session.head[at]).map_or(0, number_of)) {
                    Some(server) => {
                        session.stage = Stage::Returning;
                        session.returning = Some((server, wanted));
                        self.replace_timer(key, None);
                        self.dial(now, key, server, until);
                    }
                    None => {
                        session.stage = Stage::Waiting;
                        self.replace_timer(key, None);
                        let call = self.balancer.take(now, id, wanted);
                        self.sessions[key].call = Some(call);
                    }
                }
            }
            Ok(_) => self.answer(now, key, answers::FAILED.to_vec()),
            Err(fault) => {
                debug!("a client's first line was not understood: {fault}");
                self.answer(now, key, answers::FAILED.to_vec());
            }
        }
    }

    fn send(&mut self, now: f64, key: usize, server: u32, limit: f64) {
        let session = &mut self.sessions[key];
        let number = session.sent;
        session.sent += 1;
        if !self.dial_as(now, key, server, now + limit, number) {
            self.tell_ended(now, key, number, Ending::NotSent, false);
        }
    }

    /// Puts a connection back to the server that held it.
    fn dial(&mut self, now: f64, key: usize, server: u32, until: f64) {
        if !self.dial_as(now, key, server, until, 0) {
            self.again(now, key);
        }
    }

    fn dial_as(&mut self, now: f64, key: usize, server: u32, until: f64, number: usize) -> bool {
        let to = self.servers.0.get(&server).and_then(|s| s.dial);
        let Some(to) = to.filter(|_| self.descriptors.used + TO_REFUSE < self.descriptors.most) else {
            return false;
        };
        let entry = self.legs.vacant_entry();
        let leg = entry.key();
        let timer = self.timers.set((now + self.connect_limit).min(until), Due::Leg(leg));
        entry.insert(Out {
            session: key,
            number,
            server,
            stage: LegStage::Connecting,
            answer: Vec::new(),
            until,
            asked_at: now,
            timer: Some(timer),
            farewell: None,
        });
        self.sessions[key].legs.push((number, leg));
        self.descriptors.used += 1;
        self.effects.push(Effect::Dial(leg, to));
        true
    }

    /// A connection that could not be put back is tried again, until its client has waited long enough.
    fn again(&mut self, now: f64, key: usize) {
        let until = self.sessions[key].returning.as_ref().map_or(now, |(_, wanted)| wanted.until);
        if now < until {
            self.replace_timer(key, Some((now + 0.1).min(until)));
        } else {
            self.answer(now, key, answers::FAILED.to_vec());
        }
    }

    fn connected(&mut self, now: f64, leg: usize) {
        let Some(out) = self.legs.get(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        let wait = self.sessions[out.session].wait.clone();
        let figure = ((out.until - now) * 1000.0).max(1.0) as u64;
        self.effects.push(Effect::Head { leg, session: out.session, wait, figure });
    }

    fn server_said(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(out) = self.legs.get_mut(leg) else { return };
        let key = out.session;
        match out.stage {
            LegStage::Connecting | LegStage::Asked => {
                out.answer.extend_from_slice(bytes);
                let end = match first(&out.answer) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.leg_failed(now, leg, Ending::Error),
                };
                match word(crate::wire::lines::trimmed(&out.answer[..end])) {
                    Word::Up => self.up(now, leg),
                    Word::Busy => self.leg_failed(now, leg, Ending::Full),
                    Word::Move => self.leg_failed(now, leg, Ending::Cancelled),
                    _ => self.leg_failed(now, leg, Ending::Error),
                }
            }
            LegStage::Standing => self.pass_down(now, leg, bytes),
            LegStage::Parting => self.effects.push(Effect::Pass(End::Client(key), 0..bytes.len())),
        }
    }

    /// The server has taken the connection: what it said goes to the client, and all that follows.
    fn up(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        let (key, number, server, asked_at) = (out.session, out.number, out.server, out.asked_at);
        let said = std::mem::take(&mut out.answer);
        out.stage = LegStage::Standing;
        if let Some(timer) = out.timer.take() {
            self.timers.cancel(timer);
        }
        let session = &mut self.sessions[key];
        session.stage = Stage::Standing;
        session.head = Vec::new();
        if let Some((_, wanted)) = session.returning.take() {
            let call = self.balancer.adopt(now, session.id, wanted, server);
            session.call = Some(call);
        } else if let Some(call) = &session.call {
            call.established(now, number);
        }
        // Others that were out at the same time are called off.
        let (traffic, fresh) = (session.traffic, session.sent > 0);
        let others: Vec<usize> = session.legs.iter().map(|(_, l)| *l).filter(|l| *l != leg).collect();
        for other in others {
            self.end_leg(now, other, Ending::Cancelled, false, How::Broken);
        }
        self.replace_timer(key, None);
        self.replace_wake(key, None);
        if let Some(at) = self.stopping {
            let leave = self.leave_at(at).max(now);
            let wake = self.timers.set(leave, Due::Leave(key));
            self.replace_wake(key, Some(wake));
        }
        if let Some(address) = self.servers.0.get_mut(&server).filter(|_| fresh) {
            let slower =
                address.pace.set_up(&mut self.kinds, traffic, now - asked_at, now, 4.0 * self.longest_guard);
            self.messages_take(now, leg, SETUPS, slower * self.slow_unit);
        }
        self.watch_lines(now, leg, &said);
        self.effects.push(Effect::Text(End::Client(key), said));
    }

    /// When a connection leaves at a stop: spread out, after clients have ceased to come and well before the end.
    fn leave_at(&mut self, stop: f64) -> f64 {
        stop + STILL_COMING + 0.1 + 0.5 * self.longest_guard * self.chance.rand_float()
    }

    fn pass_down(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let key = self.legs[leg].session;
        let mut bytes = bytes;
        if self.sessions[key].moving.is_some() {
            // The line under way still goes through.
            let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
            bytes = &bytes[..end];
        }
        self.watch_lines(now, leg, bytes);
        self.effects.push(Effect::Pass(End::Client(key), 0..bytes.len()));
        let session = &self.sessions[key];
        if let Some(ending) = session.moving.filter(|_| session.down.between()) {
            self.move_away(now, key, ending);
        }
    }

    /// Reads along as a standing connection's lines pass.
    fn watch_lines(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let out = &mut self.legs[leg];
        let session = &mut self.sessions[out.session];
        let Some(call) = session.call.clone() else { return };
        let mut slowest = None;
        let (asked, unanswered, asked_at) = (&mut session.asked, &mut session.unanswered, session.asked_at);
        session.down.feed(bytes, |line, _| match word(line) {
            Word::Load(load) => call.load_is(now, out.number, load),
            Word::Bye => out.farewell = Some(Ending::Served),
            Word::Move => out.farewell = Some(Ending::Cancelled),
            _ => {
                if let Some(since) = unanswered.take() {
                    slowest = Some(now - since);
                    *asked = asked.saturating_sub(1);
                    if *asked > 0 {
                        *unanswered = Some(asked_at);
                    }
                }
            }
        });
        if let Some(took) = slowest {
            self.messages_take(now, leg, LINES, took);
        }
    }

    /// Told once a second while messages are slow by one sign or another, and once more when they no longer are.
    fn messages_take(&mut self, now: f64, leg: usize, sign: usize, took: f64) {
        let out = &self.legs[leg];
        let Some(server) = self.servers.0.get_mut(&out.server) else { return };
        server.delays[sign] = took;
        let took = f64::max(server.delays[LINES], server.delays[SETUPS]);
        let slow = took > self.slow_from;
        if (slow || server.slow) && now - server.told_at >= 1.0 {
            server.told_at = now;
            server.slow = slow;
            if let Some(call) = &self.sessions[out.session].call {
                call.messages_take(now, out.number, took);
            }
        }
    }

    fn client_closed(&mut self, now: f64, key: usize, how: How) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            Stage::Greeting | Stage::Parting => {}
            Stage::Waiting | Stage::Returning => {
                if let Some(call) = session.call.clone() {
                    call.left();
                }
            }
            Stage::Standing => {
                let leg = session.bound();
                session.stage = Stage::Parting;
                if let Some(leg) = leg.filter(|_| how == How::Closed) {
                    // The server's last lines still go through.
                    self.tell_leg_ended(now, leg, Ending::Cancelled, true);
                    self.legs[leg].stage = LegStage::Parting;
                    self.effects.push(Effect::Finish(End::Server(leg)));
                    self.replace_wake(key, None);
                    return self.replace_timer(key, Some(now + 1.0));
                }
            }
        }
        self.close_all(now, key, how);
    }

    fn server_closed(&mut self, now: f64, leg: usize, how: How) {
        let Some(out) = self.legs.get(leg) else { return };
        let (key, farewell) = (out.session, out.farewell);
        match out.stage {
            LegStage::Connecting => self.leg_failed(now, leg, Ending::Unreachable),
            LegStage::Asked => self.leg_failed(now, leg, Ending::Broken),
            LegStage::Parting => self.close_all(now, key, How::Closed),
            LegStage::Standing => {
                if farewell.is_none() && self.sessions[key].down.between() {
                    // Lost without a word: its client comes again sooner when told to than when cut off.
                    return self.move_away(now, key, Ending::Broken);
                }
                let ending = farewell.unwrap_or(Ending::Broken);
                self.end_leg(now, leg, ending, true, how);
                self.part(now, key);
                match how {
                    How::Closed => self.effects.push(Effect::Finish(End::Client(key))),
                    How::Broken => self.close_all(now, key, How::Broken),
                }
            }
        }
    }

    /// A leg that brought no connection.
    fn leg_failed(&mut self, now: f64, leg: usize, ending: Ending) {
        let Some(out) = self.legs.get(leg) else { return };
        let key = out.session;
        let returning = self.sessions[key].stage == Stage::Returning;
        self.end_leg(now, leg, ending, false, How::Broken);
        if returning {
            self.again(now, key);
        }
    }

    fn tell_ended(&mut self, now: f64, key: usize, number: usize, ending: Ending, last: bool) {
        if let Some(call) = self.sessions[key].call.clone() {
            call.ended(now, number, ending, last);
        }
    }

    fn tell_leg_ended(&mut self, now: f64, leg: usize, ending: Ending, last: bool) {
        let (key, number) = (self.legs[leg].session, self.legs[leg].number);
        if self.legs[leg].stage != LegStage::Parting {
            self.tell_ended(now, key, number, ending, last);
        }
    }

    /// The one place where a leg is given back, with its timer, its buffer and its socket.
    fn end_leg(&mut self, now: f64, leg: usize, ending: Ending, last: bool, how: How) {
        self.tell_leg_ended(now, leg, ending, last);
        let out = self.legs.remove(leg);
        if let Some(timer) = out.timer {
            self.timers.cancel(timer);
        }
        self.sessions[out.session].legs.retain(|(_, l)| *l != leg);
        self.effects.push(Effect::Close(End::Server(leg), how));
        self.descriptors.used -= 1;
        self.weigh();
    }

    /// The session's last word to its client; then it parts.
    fn answer(&mut self, now: f64, key: usize, text: Vec<u8>) {
        if self.sessions[key].stage == Stage::Parting {
            return;
        }
        self.part(now, key);
        self.end_legs(now, key, How::Closed);
        if !text.is_empty() {
            self.effects.push(Effect::Text(End::Client(key), text));
        }
        self.effects.push(Effect::Finish(End::Client(key)));
    }

    /// From here on only what is on its way still matters.
    fn part(&mut self, now: f64, key: usize) {
        let session = &mut self.sessions[key];
        session.stage = Stage::Parting;
        session.head = Vec::new();
        session.returning = None;
        self.replace_wake(key, None);
        self.replace_timer(key, Some(now + self.longest_guard.max(1.0)));
    }

    fn end_legs(&mut self, now: f64, key: usize, how: How) {
        while let Some((_, leg)) = self.sessions[key].legs.first().copied() {
            self.end_leg(now, leg, Ending::Cancelled, true, how);
        }
    }

    /// Sends a standing client away politely, as soon as it is between two lines.
    fn move_away(&mut self, now: f64, key: usize, ending: Ending) {
        let session = &mut self.sessions[key];
        let Some((_, leg)) = session.legs.first().copied().filter(|_| session.stage == Stage::Standing)
        else {
            return;
        };
        if !session.down.between() {
            if session.moving.replace(ending).is_none() {
                self.replace_timer(key, Some(now + LINE_ENDS));
            }
            return;
        }
        self.end_leg(now, leg, ending, true, How::Closed);
        self.answer(now, key, answers::MOVE.to_vec());
    }

    /// Closes what a session still has open, and gives its slot back.
    fn close_all(&mut self, now: f64, key: usize, how: How) {
        self.end_legs(now, key, how);
        let mut session = self.sessions.remove(key);
        for timer in session.timer.take().into_iter().chain(session.wake.take()) {
            self.timers.cancel(timer);
        }
        self.effects.push(Effect::Close(End::Client(key), how));
        self.descriptors.used -= 1;
        self.weigh();
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
            Due::Empty => {}
            Due::Exit => self.effects.push(Effect::Exit),
        }
    }

    fn session_due(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        match session.stage {
            Stage::Greeting | Stage::Parting => self.close_all(now, key, How::Broken),
            Stage::Waiting => {}
            Stage::Returning => {
                if let Some((server, wanted)) = &session.returning {
                    let (server, until) = (*server, wanted.until);
                    if now < until {
                        self.dial(now, key, server, until);
                    } else {
                        self.answer(now, key, answers::FAILED.to_vec());
                    }
                }
            }
            Stage::Standing => match (session.moving, session.unanswered) {
                (Some(ending), _) => {
                    // Its server stopped within a line, so there is no place for a word.
                    if let Some(leg) = session.bound() {
                        self.end_leg(now, leg, ending, true, How::Broken);
                    }
                    self.answer(now, key, Vec::new());
                }
                (None, Some(since)) if now - since >= self.silent_after - 1e-3 => {
                    self.move_away(now, key, Ending::Broken);
                }
                (None, Some(since)) => self.replace_timer(key, Some(since + self.silent_after)),
                (None, None) => {}
            },
        }
    }

    fn stop(&mut self, now: f64) {
        if self.stopping.is_some() {
            return;
        }
        info!("stopping: {} sessions are open", self.sessions.len());
        self.stopping = Some(now);
        let standing: Vec<usize> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Standing).map(|(key, _)| key).collect();
        for key in standing {
            let at = self.leave_at(now);
            let wake = self.timers.set(at, Due::Leave(key));
            self.replace_wake(key, Some(wake));
        }
        self.timers.set(now + STILL_COMING, Due::Empty);
        self.timers.set(now + self.longest_guard + 0.6, Due::Exit);
    }
}
