//! Clients: from being accepted to their first line understood, and from their last word to their slot given back.

use super::{CloseKind, Due, Effect, Endpoint, Reducer, MOST_SILENT, SLOT_BITS, TO_REFUSE};
use crate::guard::Owed;
use crate::memory::counters::{AnswerReason, CloseReason};
use crate::memory::sessions::{LegStage, Session, Stage};
use crate::wire::answers;
use crate::wire::head::{opening, Opening};
use crate::wire::lines::{first, Lines, LONGEST};
use crate::wire::listing::number_of;
use dewhead::terms::{Ending, Wanted};
use log::debug;

/// A client's first line has come by then, whatever it says before: less than the three seconds within which one that
/// sends none is owed an end.
const FIRST_LINE: f64 = 2.5;
/// A connection that was there before the start is put back by then, or its client is sent away.
const PUT_BACK: f64 = 40.0;
/// So many signs of life are given on one connection.
const MOST_PINGS: u32 = 4;
/// Room is made once fewer descriptors are left than this part of them, one in so many.
const SPARE: usize = 8;
/// Nobody has to make room before having had this long to speak, or to read a last word.
const LET_SPEAK: f64 = 0.1;

impl Reducer {
    pub(super) fn accepted(&mut self, now: f64) {
        self.serial += 1;
        let entry = self.sessions.vacant_entry();
        let key = entry.key();
        entry.insert(Session {
            id: self.serial << SLOT_BITS | key as u64,
            stage: Stage::Greeting,
            named: None,
            loiters: None,
            pings: 0,
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
            ran: None,
            returning: None,
        });
        self.effects.push(Effect::AssignSession(key));
        self.replace_timer(key, Some(now + FIRST_LINE));
        self.loiter(now, key);
        self.descriptors.used += 1;
        self.make_room(now);
        self.weigh(now);
    }

    /// The session only waits for its client from now on: for its first line, or for it to go.
    fn loiter(&mut self, now: f64, key: usize) {
        self.loiter_no_more(key);
        self.serial += 1;
        self.sessions[key].loiters = Some(self.serial);
        self.loiterers.insert(self.serial, (key, now));
    }

    fn loiter_no_more(&mut self, key: usize) {
        if let Some(place) = self.sessions[key].loiters.take() {
            self.loiterers.remove(&place);
        }
    }

    /// When few descriptors are left, those who have waited longest for nothing go first. Else hundreds of connections
    /// that say nothing, or don't go once answered, would keep usual clients out for as long as their timers run.
    pub(super) fn make_room(&mut self, now: f64) {
        while self.descriptors.most.saturating_sub(self.descriptors.used) < self.descriptors.most / SPARE {
            match self.loiterers.first_key_value() {
                Some((_, &(key, since))) if now - since >= LET_SPEAK => {
                    self.close_all(now, key, CloseKind::Graceful, CloseReason::MadeRoom)
                }
                _ => return,
            }
        }
    }

    /// Accepts only while there are descriptors left to refuse with.
    pub(super) fn weigh(&mut self, now: f64) {
        let left = self.descriptors.most.saturating_sub(self.descriptors.used);
        let accepting = if self.descriptors.accepting { left > 0 } else { left > TO_REFUSE / 2 };
        if accepting != self.descriptors.accepting {
            self.descriptors.accepting = accepting;
            self.effects.push(Effect::SetAccepting(accepting));
            self.look_for_room(now);
        }
    }

    /// While nobody can be accepted, nobody's coming makes room.
    pub(super) fn look_for_room(&mut self, now: f64) {
        if !self.descriptors.accepting {
            self.timers.set(now + LET_SPEAK, Due::Room);
        }
    }

    pub(super) fn client_said(&mut self, now: f64, key: usize, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            Stage::Greeting => {
                session.head.extend_from_slice(bytes);
                // Never more than a line and a piece, also where it is not read yet.
                if session.head.len() > 2 * LONGEST {
                    return self.misunderstood(now, key);
                }
                self.greet(now, key);
            }
            Stage::Waiting | Stage::Returning => {
                // A client waits for its answer; one that does not is not understood.
                if let Some(call) = session.call.clone() {
                    call.left();
                }
                self.answer(now, key, answers::FAILED.to_vec(), AnswerReason::SpokeEarly);
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
                    self.effects.push(Effect::Forward(Endpoint::Server(leg), 0..bytes.len()));
                }
                if silent {
                    self.replace_timer(key, Some(now + MOST_SILENT));
                }
            }
            Stage::Parting => {}
        }
    }

    pub(super) fn greet(&mut self, now: f64, key: usize) {
        if self.unconfirmed {
            if matches!(first(&self.sessions[key].head), Ok(Some(_))) {
                // It waits for us, and must not give up its descriptor as one that we wait for.
                self.loiter_no_more(key);
            }
            return;
        }
        let session = &mut self.sessions[key];
        let end = match first(&session.head) {
            Ok(Some(end)) => end,
            Ok(None) => return,
            Err(_) => return self.misunderstood(now, key),
        };
        match opening(&session.head[..end], now, self.longest_guard, &self.known, self.groups) {
            // One that asks for signs of life without end would be answered without end.
            Ok(Opening::Ping) if session.pings < MOST_PINGS => {
                session.pings += 1;
                session.head.drain(..end);
                let more = !session.head.is_empty();
                // Only once it can serve, and no longer when it stops. What came behind it has its answer all the same.
                let serves = !self.servers.0.is_empty() && self.stopping.is_none();
                if serves {
                    self.effects.push(Effect::Write(Endpoint::Client(key), answers::PONG.to_vec()));
                }
                if more {
                    self.greet(now, key);
                } else if !serves {
                    self.answer(now, key, Vec::new(), AnswerReason::NoSignOfLife);
                } else if self.sessions[key].loiters.is_none() {
                    self.loiter(now, key);
                }
            }
            // The id of another client's open request: a server would take it for a second copy of that one.
            Ok(Opening::Open { id, wanted, wait, held_at })
                if end == session.head.len() && !self.named.contains(&id) =>
            {
                self.named.insert(id);
                session.named = Some(id);
                if let Some(group) = wanted.group {
                    debug!("{}: is of group {group:x}", session.who());
                }
                session.wait = wait;
                session.traffic = wanted.traffic;
                let (id, until) = (session.id, wanted.until);
                debug!(
                    "{}: request received: {}",
                    session.who(),
                    String::from_utf8_lossy(&session.head).trim_end()
                );
                self.loiter_no_more(key);
                let session = &mut self.sessions[key];
                match held_at.map(|at| std::str::from_utf8(&session.head[at]).map_or(0, number_of)) {
                    Some(server) => {
                        session.stage = Stage::Returning;
                        // One that names a server of which nobody knows would else be tried for as long as it likes.
                        let named = self.servers.0.contains_key(&server);
                        let until = until.min(now + if named { PUT_BACK } else { FIRST_LINE });
                        session.returning = Some((server, Wanted { until, ..wanted }));
                        self.replace_timer(key, None);
                        self.hurry(now, key);
                        let until = self.answered_by.map_or(until, |by| by.min(until));
                        self.dial(now, key, server, until);
                    }
                    None => {
                        session.stage = Stage::Waiting;
                        self.replace_timer(key, None);
                        let until = self.answered_by.map_or(wanted.until, |by| by.min(wanted.until));
                        let call = self.balancer.take(now, id, Wanted { until, ..wanted });
                        self.sessions[key].call = Some(call);
                    }
                }
            }
            Ok(_) => self.misunderstood(now, key),
            Err(fault) => {
                debug!("a client's first line was not understood: {fault}");
                self.misunderstood(now, key);
            }
        }
    }

    pub(super) fn misunderstood(&mut self, now: f64, key: usize) {
        self.answer(now, key, answers::FAILED.to_vec(), AnswerReason::Misunderstood);
    }

    pub(super) fn client_closed(&mut self, now: f64, key: usize, how: CloseKind) {
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
                if let Some(leg) = leg.filter(|_| how == CloseKind::Graceful) {
                    // The server's last lines still go through.
                    self.tell_leg_ended(now, leg, Ending::Cancelled, true);
                    self.legs[leg].stage = LegStage::Parting;
                    self.effects.push(Effect::ShutdownWrite(Endpoint::Server(leg)));
                    self.replace_wake(key, None);
                    return self.replace_timer(key, Some(now + 1.0));
                }
            }
        }
        let why = match how {
            CloseKind::Graceful => CloseReason::ClientEnded,
            CloseKind::Abortive => CloseReason::ClientReset,
        };
        self.close_all(now, key, how, why);
    }

    /// The session's last word to its client; then it parts.
    pub(super) fn answer(&mut self, now: f64, key: usize, text: Vec<u8>, why: AnswerReason) {
        if self.sessions[key].stage == Stage::Parting {
            return;
        }
        let said = String::from_utf8_lossy(&text);
        debug!("{}: final answer '{}', {why}", self.sessions[key].who(), said.trim_end());
        self.counters.answers.count(why.name());
        self.part(now, key);
        self.end_legs(now, key, CloseKind::Graceful);
        if !text.is_empty() {
            self.effects.push(Effect::Write(Endpoint::Client(key), text));
        }
        self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key)));
    }

    /// From here on only what is on its way still matters.
    pub(super) fn part(&mut self, now: f64, key: usize) {
        self.loiter(now, key);
        let session = &mut self.sessions[key];
        session.stage = Stage::Parting;
        session.head = Vec::new();
        session.returning = None;
        if let Some(id) = session.named.take() {
            self.named.remove(&id);
        }
        self.replace_wake(key, None);
        self.replace_timer(key, Some(now + self.longest_guard.max(1.0)));
    }

    /// What its client is owed if the session is closed for this.
    pub(super) fn owed(&self, key: usize, why: CloseReason) -> Owed {
        let session = &self.sessions[key];
        let asked = matches!(first(&session.head), Ok(Some(_)));
        match (session.stage, why) {
            (_, CloseReason::ClientEnded | CloseReason::ClientReset) | (Stage::Parting, _) => Owed::Nothing,
            (Stage::Waiting | Stage::Returning, _) => Owed::Answer,
            (Stage::Greeting, _) if asked => Owed::Answer,
            (Stage::Greeting, _) => Owed::Nothing,
            (Stage::Standing, CloseReason::ServerEnded | CloseReason::ServerReset) => Owed::Nothing,
            (Stage::Standing, _) => Owed::Move,
        }
    }

    /// Closes what a session still has open, and gives its slot back.
    pub(super) fn close_all(&mut self, now: f64, key: usize, how: CloseKind, why: CloseReason) {
        let owed = self.owed(key, why);
        self.guard.closes(owed, &self.sessions[key].who());
        debug!("{}: closed, {why}", self.sessions[key].who());
        self.counters.closes.count(why.name());
        self.end_legs(now, key, how);
        self.loiter_no_more(key);
        let mut session = self.sessions.remove(key);
        if let Some(id) = session.named {
            self.named.remove(&id);
        }
        for timer in session.timer.take().into_iter().chain(session.wake.take()) {
            self.timers.cancel(timer);
        }
        self.effects.push(Effect::Close(Endpoint::Client(key), how));
        self.descriptors.used -= 1;
        self.weigh(now);
    }
}
