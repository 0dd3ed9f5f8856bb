//! Client connections: from being accepted until the first line is processed, and from the final answer until the
//! session's slot is freed.

use super::{
    CloseKind, Effect, Endpoint, Reducer, TimerKind, MAX_REPLY_SILENCE_S, REJECTION_DESCRIPTORS, SLOT_BITS,
};
use crate::guard::Owed;
use crate::memory::counters::{AnswerReason, CloseReason};
use crate::memory::sessions::{LegStage, Session, Stage};
use crate::wire::answers;
use crate::wire::head::{opening, Opening};
use crate::wire::lines::{first, Lines, LONGEST};
use crate::wire::listing::number_of;
use dewhead::terms::{Ending, Wanted};
use log::debug;

/// Time for a client's first `OPEN` line, in seconds, whatever it sends before: less than the three seconds within
/// which a client that sends none must be closed.
const FIRST_LINE_TIMEOUT_S: f64 = 2.5;
/// A client that names the server it was established at is restored there within this many seconds, or given up.
const RESTORE_TIMEOUT_S: f64 = 40.0;
/// Most `PING` lines that are answered on one connection.
const MAX_PINGS: u32 = 4;
/// Idle sessions are closed once fewer than one in this many descriptors is free.
const MIN_FREE_DIVISOR: usize = 8;
/// No session is closed for its descriptor before it has been idle for this many seconds, in which its client can send
/// its first line, or read its final answer.
const MIN_IDLE_S: f64 = 0.1;

impl Reducer {
    /// Creates the session of a client that has just connected.
    pub(super) fn handle_accepted(&mut self, now: f64) {
        self.last_serial += 1;
        let entry = self.sessions.vacant_entry();
        let key = entry.key();
        entry.insert(Session {
            id: self.last_serial << SLOT_BITS | key as u64,
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
        self.replace_stage_timer(key, Some(now + FIRST_LINE_TIMEOUT_S));
        self.mark_idle(now, key);
        self.descriptors.used += 1;
        self.free_descriptors(now);
        self.update_accepting(now);
    }

    /// Marks the session as idle: it only waits for its client to send its first line, or to close the connection.
    fn mark_idle(&mut self, now: f64, key: usize) {
        self.clear_idle(key);
        self.last_serial += 1;
        self.sessions[key].loiters = Some(self.last_serial);
        self.idle_sessions.insert(self.last_serial, (key, now));
    }

    /// Marks the session as no longer idle.
    fn clear_idle(&mut self, key: usize) {
        if let Some(serial) = self.sessions[key].loiters.take() {
            self.idle_sessions.remove(&serial);
        }
    }

    /// Closes idle sessions, those that have been idle for longest first, while few descriptors are free. Otherwise
    /// hundreds of connections that send nothing, or are not closed once answered, would keep other clients out until
    /// their timers expire.
    pub(super) fn free_descriptors(&mut self, now: f64) {
        while self.descriptors.limit.saturating_sub(self.descriptors.used)
            < self.descriptors.limit / MIN_FREE_DIVISOR
        {
            match self.idle_sessions.first_key_value() {
                Some((_, &(key, since))) if now - since >= MIN_IDLE_S => {
                    self.close_session(now, key, CloseKind::Graceful, CloseReason::MadeRoom)
                }
                _ => return,
            }
        }
    }

    /// Starts or stops accepting: clients are accepted only while descriptors are left to reject them with. Accepting
    /// starts again at a higher count than it stops at.
    pub(super) fn update_accepting(&mut self, now: f64) {
        let free = self.descriptors.limit.saturating_sub(self.descriptors.used);
        let accepting = if self.descriptors.accepting { free > 0 } else { free > REJECTION_DESCRIPTORS / 2 };
        if accepting != self.descriptors.accepting {
            self.descriptors.accepting = accepting;
            self.effects.push(Effect::SetAccepting(accepting));
            self.schedule_descriptor_check(now);
        }
    }

    /// While no client is accepted, a timer has to free descriptors, as no new client does.
    pub(super) fn schedule_descriptor_check(&mut self, now: f64) {
        if !self.descriptors.accepting {
            self.timers.set(now + MIN_IDLE_S, TimerKind::FreeDescriptors);
        }
    }

    /// Handles bytes from a client, according to its session's stage.
    pub(super) fn handle_client_bytes(&mut self, now: f64, key: usize, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            Stage::Greeting => {
                session.head.extend_from_slice(bytes);
                // Bounds the buffer to twice the longest line, also while first lines are not processed yet.
                if session.head.len() > 2 * LONGEST {
                    return self.answer_malformed(now, key);
                }
                self.process_first_line(now, key);
            }
            Stage::Waiting | Stage::Returning => {
                // A client must send nothing while it waits for its answer; one that does is answered with an error.
                if let Some(call) = session.call.clone() {
                    call.left();
                }
                self.send_final_answer(now, key, answers::FAILED.to_vec(), AnswerReason::SpokeEarly);
            }
            Stage::Standing => {
                let mut lines = 0;
                session.up.feed(bytes, |_, _| lines += 1);
                if lines > 0 {
                    session.asked += lines;
                    session.asked_at = now;
                    session.unanswered.get_or_insert(now);
                }
                let starts_timer = session.timer.is_none() && lines > 0 && session.moving.is_none();
                if let Some(leg) = session.bound() {
                    self.effects.push(Effect::Forward(Endpoint::Server(leg), 0..bytes.len()));
                }
                if starts_timer {
                    self.replace_stage_timer(key, Some(now + MAX_REPLY_SILENCE_S));
                }
            }
            Stage::Parting => {}
        }
    }

    /// Processes the session's first line once it is complete: answers a `PING`, or starts or restores a call.
    pub(super) fn process_first_line(&mut self, now: f64, key: usize) {
        if self.list_unconfirmed {
            if matches!(first(&self.sessions[key].head), Ok(Some(_))) {
                // The client waits for an answer now, so its session must not be closed as an idle one.
                self.clear_idle(key);
            }
            return;
        }
        let session = &mut self.sessions[key];
        let end = match first(&session.head) {
            Ok(Some(end)) => end,
            Ok(None) => return,
            Err(_) => return self.answer_malformed(now, key),
        };
        match opening(
            &session.head[..end],
            now,
            self.longest_guard_time,
            &self.known_names,
            self.groups_enabled,
        ) {
            // A client that keeps sending `PING` must not be answered without limit.
            Ok(Opening::Ping) if session.pings < MAX_PINGS => {
                session.pings += 1;
                session.head.drain(..end);
                let more = !session.head.is_empty();
                // Answered only while servers are known and no drain is in progress. Lines after it are processed
                // either way.
                let can_serve = !self.servers.0.is_empty() && self.draining_since.is_none();
                if can_serve {
                    self.effects.push(Effect::Write(Endpoint::Client(key), answers::PONG.to_vec()));
                }
                if more {
                    self.process_first_line(now, key);
                } else if !can_serve {
                    self.send_final_answer(now, key, Vec::new(), AnswerReason::NoSignOfLife);
                } else if self.sessions[key].loiters.is_none() {
                    self.mark_idle(now, key);
                }
            }
            // An id of another client's open request is rejected: a server would take it for a repeat of that request.
            Ok(Opening::Open { id, wanted, wait, held_at })
                if end == session.head.len() && !self.open_request_ids.contains(&id) =>
            {
                self.open_request_ids.insert(id);
                session.named = Some(id);
                if let Some(group) = wanted.group {
                    debug!("{}: in group {group:x}", session.who());
                }
                session.wait = wait;
                session.traffic = wanted.traffic;
                let (id, until) = (session.id, wanted.until);
                debug!(
                    "{}: request received: {}",
                    session.who(),
                    String::from_utf8_lossy(&session.head).trim_end()
                );
                self.clear_idle(key);
                let session = &mut self.sessions[key];
                match held_at.map(|at| std::str::from_utf8(&session.head[at]).map_or(0, number_of)) {
                    Some(server) => {
                        session.stage = Stage::Returning;
                        // With an unknown server, attempts would otherwise last as long as the client says it waits.
                        let known = self.servers.0.contains_key(&server);
                        let until =
                            until.min(now + if known { RESTORE_TIMEOUT_S } else { FIRST_LINE_TIMEOUT_S });
                        session.returning = Some((server, Wanted { until, ..wanted }));
                        self.replace_stage_timer(key, None);
                        self.limit_wait(now, key);
                        let until = self.answer_deadline.map_or(until, |deadline| deadline.min(until));
                        self.restore_connection(now, key, server, until);
                    }
                    None => {
                        session.stage = Stage::Waiting;
                        self.replace_stage_timer(key, None);
                        let until =
                            self.answer_deadline.map_or(wanted.until, |deadline| deadline.min(wanted.until));
                        let call = self.balancer.take(now, id, Wanted { until, ..wanted });
                        self.sessions[key].call = Some(call);
                    }
                }
            }
            Ok(_) => self.answer_malformed(now, key),
            Err(fault) => {
                debug!("a client's first line is invalid: {fault}");
                self.answer_malformed(now, key);
            }
        }
    }

    /// Answers a client whose first line is invalid, too long or late.
    pub(super) fn answer_malformed(&mut self, now: f64, key: usize) {
        self.send_final_answer(now, key, answers::FAILED.to_vec(), AnswerReason::Misunderstood);
    }

    /// The client closed its connection, or the connection failed.
    pub(super) fn handle_client_closed(&mut self, now: f64, key: usize, kind: CloseKind) {
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
                if let Some(leg) = leg.filter(|_| kind == CloseKind::Graceful) {
                    // The server's last lines are still forwarded.
                    self.report_leg_end(now, leg, Ending::Cancelled, true);
                    self.legs[leg].stage = LegStage::Parting;
                    self.effects.push(Effect::ShutdownWrite(Endpoint::Server(leg)));
                    self.replace_wake_timer(key, None);
                    return self.replace_stage_timer(key, Some(now + 1.0));
                }
            }
        }
        let reason = match kind {
            CloseKind::Graceful => CloseReason::ClientEnded,
            CloseKind::Abortive => CloseReason::ClientReset,
        };
        self.close_session(now, key, kind, reason);
    }

    /// Sends the proxy's own final answer to the client, ends the session's legs and begins closing it.
    pub(super) fn send_final_answer(&mut self, now: f64, key: usize, text: Vec<u8>, reason: AnswerReason) {
        if self.sessions[key].stage == Stage::Parting {
            return;
        }
        let shown = String::from_utf8_lossy(&text);
        debug!("{}: final answer '{}', {reason}", self.sessions[key].who(), shown.trim_end());
        self.counters.answers.count(reason.name());
        self.begin_closing(now, key);
        self.end_legs(now, key, CloseKind::Graceful);
        if !text.is_empty() {
            self.effects.push(Effect::Write(Endpoint::Client(key), text));
        }
        self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key)));
    }

    /// Begins closing the session: from here on only bytes already under way are still delivered.
    pub(super) fn begin_closing(&mut self, now: f64, key: usize) {
        self.mark_idle(now, key);
        let session = &mut self.sessions[key];
        session.stage = Stage::Parting;
        session.head = Vec::new();
        session.returning = None;
        if let Some(id) = session.named.take() {
            self.open_request_ids.remove(&id);
        }
        self.replace_wake_timer(key, None);
        self.replace_stage_timer(key, Some(now + self.longest_guard_time.max(1.0)));
    }

    /// What the client would still be owed if the session were closed for this reason.
    pub(super) fn obligation_on_close(&self, key: usize, reason: CloseReason) -> Owed {
        let session = &self.sessions[key];
        let has_request = matches!(first(&session.head), Ok(Some(_)));
        match (session.stage, reason) {
            (_, CloseReason::ClientEnded | CloseReason::ClientReset) | (Stage::Parting, _) => Owed::Nothing,
            (Stage::Waiting | Stage::Returning, _) => Owed::Answer,
            (Stage::Greeting, _) if has_request => Owed::Answer,
            (Stage::Greeting, _) => Owed::Nothing,
            (Stage::Standing, CloseReason::ServerEnded | CloseReason::ServerReset) => Owed::Nothing,
            (Stage::Standing, _) => Owed::Move,
        }
    }

    /// Closes the session's remaining connections and frees its slot.
    pub(super) fn close_session(&mut self, now: f64, key: usize, kind: CloseKind, reason: CloseReason) {
        let obligation = self.obligation_on_close(key, reason);
        self.guard.closes(obligation, &self.sessions[key].who());
        debug!("{}: closed, {reason}", self.sessions[key].who());
        self.counters.closes.count(reason.name());
        self.end_legs(now, key, kind);
        self.clear_idle(key);
        let mut session = self.sessions.remove(key);
        if let Some(id) = session.named {
            self.open_request_ids.remove(&id);
        }
        for timer in session.timer.take().into_iter().chain(session.wake.take()) {
            self.timers.cancel(timer);
        }
        self.effects.push(Effect::Close(Endpoint::Client(key), kind));
        self.descriptors.used -= 1;
        self.update_accepting(now);
    }
}
