//! Client connections: from being accepted until the first line is processed, which `first_line` does, and from the final
//! answer until the session's slot is freed.

use super::{CloseKind, Effect, Endpoint, Reducer, TimerKind, REJECTION_DESCRIPTORS, SLOT_BITS};
use crate::guard::PendingReply;
use crate::state::counters::{AnswerReason, CloseReason};
use crate::state::server_lines::ServerLines;
use crate::state::sessions::{LegStage, Session, SessionStage};
use crate::wire::answers;
use crate::wire::lines::{first_line_end, LineScanner, MAX_LINE_BYTES};
use dewhead::types::{Idempotency, LegOutcome};
use log::debug;

/// Time for a client's first `OPEN` line, in seconds, whatever it sends before: less than the three seconds within
/// which a client that sends none must be closed.
pub(super) const FIRST_LINE_TIMEOUT_SECONDS: f64 = 2.5;
/// Idle sessions are closed once fewer than one in this many descriptors is free.
const MIN_FREE_DIVISOR: usize = 8;
/// No session is closed for its descriptor before it has been idle for this many seconds, in which its client can send
/// its first line, or read its final answer.
const MIN_IDLE_SECONDS: f64 = 0.1;

impl Reducer {
    /// Creates the session of a client that has just connected.
    pub(super) fn handle_accepted(&mut self, now: f64) {
        self.last_serial += 1;
        let entry = self.sessions.vacant_entry();
        let key = entry.key();
        entry.insert(Session {
            id: self.last_serial << SLOT_BITS | key as u64,
            stage: SessionStage::AwaitingFirstLine,
            has_left: false,
            request_id: None,
            idle_position: None,
            pings: 0,
            held_pings: 0,
            held_request: None,
            first_line: Vec::new(),
            wait_range: 0..0,
            traffic_type: 0,
            call: None,
            legs: Vec::new(),
            legs_sent: 0,
            from_server: ServerLines::default(),
            from_client: LineScanner::default(),
            unanswered_lines: 0,
            last_line_at: now,
            unanswered_since: None,
            pending_move: None,
            timer: None,
            wake_timer: None,
            may_have_run: None,
            restoring: None,
        });
        self.effects.push(Effect::AssignSession(key));
        self.replace_stage_timer(key, Some(now + FIRST_LINE_TIMEOUT_SECONDS));
        self.mark_idle(now, key);
        self.descriptors.used += 1;
        self.free_descriptors(now);
        self.update_accepting(now);
    }

    /// Marks the session as idle: it only waits for its client to send its first line, or to close the connection.
    pub(super) fn mark_idle(&mut self, now: f64, key: usize) {
        self.clear_idle(key);
        self.last_serial += 1;
        self.sessions[key].idle_position = Some(self.last_serial);
        self.idle_sessions.insert(self.last_serial, (key, now));
    }

    /// Marks the session as no longer idle.
    pub(super) fn clear_idle(&mut self, key: usize) {
        if let Some(serial) = self.sessions[key].idle_position.take() {
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
                Some((_, &(key, since))) if now - since >= MIN_IDLE_SECONDS => {
                    self.close_session(now, key, CloseKind::Graceful, CloseReason::Evicted)
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
            self.timers.set(now + MIN_IDLE_SECONDS, TimerKind::FreeDescriptors);
        }
    }

    /// Handles bytes from a client, according to its session's stage.
    pub(super) fn handle_client_bytes(&mut self, now: f64, key: usize, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            SessionStage::AwaitingFirstLine => {
                session.first_line.extend_from_slice(bytes);
                // Bounds the buffer to twice the longest line, also while first lines are not processed yet.
                if session.first_line.len() > 2 * MAX_LINE_BYTES {
                    return self.answer_malformed(now, key);
                }
                self.process_first_line(now, key);
            }
            SessionStage::AwaitingServer | SessionStage::Restoring => {
                // A client must send nothing while it waits for its answer; one that does is answered with an error.
                if let Some(call) = session.call.clone() {
                    call.on_client_left();
                }
                self.send_final_answer(now, key, answers::ERR.to_vec(), AnswerReason::DataBeforeAnswer);
            }
            SessionStage::Established => {
                let mut lines = 0;
                session.from_client.feed(bytes, |_, _| lines += 1);
                if lines > 0 {
                    session.unanswered_lines += lines;
                    session.last_line_at = now;
                    session.unanswered_since.get_or_insert(now);
                }
                if let Some(leg) = session.established_leg() {
                    self.effects.push(Effect::Forward(Endpoint::Server(leg), 0..bytes.len()));
                }
                self.schedule_established_check(key);
            }
            SessionStage::Closing => {}
        }
    }

    /// Handles bytes from a client that has closed its connection after them.
    pub(super) fn handle_last_client_bytes(&mut self, now: f64, key: usize, bytes: &[u8], kind: CloseKind) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        session.has_left = true;
        self.handle_client_bytes(now, key, bytes);
        self.handle_client_closed(now, key, kind);
    }

    /// Answers a client whose first line is invalid, too long or late.
    pub(super) fn answer_malformed(&mut self, now: f64, key: usize) {
        self.send_final_answer(now, key, answers::ERR.to_vec(), AnswerReason::InvalidFirstLine);
    }

    /// Handles a client connection that the client closed or that failed.
    pub(super) fn handle_client_closed(&mut self, now: f64, key: usize, kind: CloseKind) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            SessionStage::AwaitingFirstLine | SessionStage::Closing => {}
            SessionStage::AwaitingServer | SessionStage::Restoring => {
                if let Some(call) = session.call.clone() {
                    call.on_client_left();
                }
            }
            SessionStage::Established => {
                let leg = session.established_leg();
                session.stage = SessionStage::Closing;
                let held = session.from_server.pass_on();
                if let Some(leg) = leg.filter(|_| kind == CloseKind::Graceful) {
                    // The server's last lines are still forwarded.
                    self.write_to_client(key, held);
                    self.report_leg_end(now, leg, LegOutcome::Cancelled, true);
                    self.legs[leg].stage = LegStage::Closing;
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
        if self.sessions[key].stage == SessionStage::Closing {
            return;
        }
        let shown = String::from_utf8_lossy(&text);
        debug!("{}: final answer '{}', {reason}", self.sessions[key].log_id(), shown.trim_end());
        self.counters.answers.count(reason.name());
        self.begin_closing(now, key);
        self.end_legs(now, key, CloseKind::Graceful);
        if !text.is_empty() {
            self.effects.push(Effect::Write(Endpoint::Client(key), text));
        }
        self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key)));
    }

    /// Begins closing the session: from here on only bytes that were already received or queued are delivered.
    pub(super) fn begin_closing(&mut self, now: f64, key: usize) {
        self.mark_idle(now, key);
        self.end_request(now, key);
        let session = &mut self.sessions[key];
        session.stage = SessionStage::Closing;
        session.first_line = Vec::new();
        session.restoring = None;
        self.replace_wake_timer(key, None);
        self.replace_stage_timer(key, Some(now + self.longest_guard_time.max(1.0)));
    }

    /// Ends the session's request: its id may be used again, unless the request may have run.
    fn end_request(&mut self, now: f64, key: usize) {
        let Some(id) = self.sessions[key].request_id.take() else { return };
        self.open_request_ids.remove(&id);
        if self.must_not_run_again(key) {
            self.abandoned_requests.add(now, id);
        }
    }

    /// Whether the session's request may have run and must not run again: whatever its type, if its client has no answer
    /// from a server, and otherwise if it is not repeatable.
    fn must_not_run_again(&self, key: usize) -> bool {
        let session = &self.sessions[key];
        let awaits_answer = |leg: usize| self.legs[leg].stage == LegStage::AwaitingAnswer;
        if session.call.as_ref().is_some_and(|_| session.stage == SessionStage::AwaitingServer) {
            return session.may_have_run.is_some() || session.legs.iter().any(|(_, leg)| awaits_answer(*leg));
        }
        let traffic_type = self.traffic_types.get(session.traffic_type);
        let repeatable = traffic_type.is_none_or(|t| t.idempotency == Idempotency::Repeatable);
        session.legs_sent > 0 && !repeatable
    }

    /// What the client must still be sent before the session may be closed for this reason.
    pub(super) fn pending_reply_on_close(&self, key: usize, reason: CloseReason) -> PendingReply {
        let session = &self.sessions[key];
        let has_request = matches!(first_line_end(&session.first_line), Ok(Some(_)));
        match (session.stage, reason) {
            (_, CloseReason::ClientEnded | CloseReason::ClientReset) | (SessionStage::Closing, _) => {
                PendingReply::Nothing
            }
            (SessionStage::AwaitingServer | SessionStage::Restoring, _) => PendingReply::Answer,
            (SessionStage::AwaitingFirstLine, _) if has_request => PendingReply::Answer,
            (SessionStage::AwaitingFirstLine, _) => PendingReply::Nothing,
            (SessionStage::Established, CloseReason::ServerEnded | CloseReason::ServerReset) => {
                PendingReply::Nothing
            }
            (SessionStage::Established, _) => PendingReply::Move,
        }
    }

    /// Closes the session's remaining connections and frees its slot.
    pub(super) fn close_session(&mut self, now: f64, key: usize, kind: CloseKind, reason: CloseReason) {
        let pending_reply = self.pending_reply_on_close(key, reason);
        self.guard.check_close(pending_reply, &self.sessions[key].log_id());
        debug!("{}: closed, {reason}", self.sessions[key].log_id());
        self.counters.closes.count(reason.name());
        self.end_request(now, key);
        self.end_legs(now, key, kind);
        self.clear_idle(key);
        let mut session = self.sessions.remove(key);
        for timer in session.timer.take().into_iter().chain(session.wake_timer.take()) {
            self.timers.cancel(timer);
        }
        self.effects.push(Effect::Close(Endpoint::Client(key), kind));
        self.descriptors.used -= 1;
        self.update_accepting(now);
    }
}
