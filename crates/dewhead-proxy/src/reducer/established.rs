//! Established connections: forwards lines and inspects them, and moves clients away between two lines.

use super::legs::announced_outcome;
use super::{
    CloseKind, Effect, Endpoint, Reducer, DELAY_REPORT_INTERVAL_SECONDS, LINE_DELAY,
    MAX_INCOMPLETE_LINE_SECONDS, MAX_REPLY_SILENCE_SECONDS, TIMER_RESOLUTION_SECONDS,
};
use crate::state::counters::{AnswerReason, CloseReason};
use crate::state::server_lines::Passed;
use crate::state::sessions::SessionStage;
use crate::state::timers::Timer;
use crate::wire::answers::{self, parse_server_message, ServerMessage};
use dewhead::types::LegOutcome;
use log::{debug, trace};

impl Reducer {
    /// Forwards the server's lines to the client, as far as these bytes complete them.
    pub(super) fn forward_to_client(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let key = self.legs[leg].session;
        let mut bytes = bytes;
        if self.sessions[key].pending_move.is_some() {
            // The client is about to be moved: only the present line is still forwarded.
            let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
            bytes = &bytes[..end];
        }
        let passed = self.inspect_server_lines(now, leg, bytes);
        self.write_to_client(key, passed.held);
        if passed.count > 0 {
            self.effects.push(Effect::Forward(Endpoint::Client(key), 0..passed.count));
        }
        let session = &self.sessions[key];
        let line_completed = !session.from_server.is_held() && session.from_server.client_is_between_lines();
        match session.pending_move.filter(|_| line_completed) {
            Some(outcome) => self.move_client(now, key, outcome),
            None => self.schedule_established_check(key),
        }
    }

    /// Writes bytes to the session's client, if there are any.
    pub(super) fn write_to_client(&mut self, key: usize, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.effects.push(Effect::Write(Endpoint::Client(key), bytes));
        }
    }

    /// Inspects the server's lines on an established connection for load reports, announced ends and reply times, and
    /// returns what of them the client is sent now.
    pub(super) fn inspect_server_lines(&mut self, now: f64, leg: usize, bytes: &[u8]) -> Passed {
        let server_leg = &mut self.legs[leg];
        let session = &mut self.sessions[server_leg.session];
        let call = session.call.clone();
        let mut reply_time = None;
        let log_id = session.log_id();
        let (open_lines, unanswered_since, last_line_at) =
            (&mut session.unanswered_lines, &mut session.unanswered_since, session.last_line_at);
        let passed = session.from_server.feed(now, bytes, |line| match parse_server_message(line) {
            ServerMessage::Load(load) => {
                trace!("{}: load on server {:x} is {load}", log_id, server_leg.server);
                if let Some(call) = &call {
                    call.on_load(now, server_leg.number, load);
                }
            }
            ServerMessage::Bye | ServerMessage::Move => {
                server_leg.announced_outcome = announced_outcome(line)
            }
            _ => {
                if let Some(since) = unanswered_since.take() {
                    // A client that sends without waiting for answers waits for its own lines, and not for the server.
                    reply_time = Some(now - since).filter(|_| *open_lines == 1);
                    *open_lines = open_lines.saturating_sub(1);
                    if *open_lines > 0 {
                        *unanswered_since = Some(last_line_at);
                    }
                }
            }
        });
        if let Some(delay) = reply_time.filter(|delay| self.is_server_delay(*delay)) {
            self.report_message_delay(now, leg, LINE_DELAY, delay);
        }
        passed
    }

    /// Records a message delay estimated from one source (`LINE_DELAY` or `SET_UP_DELAY`). Reports the larger estimate
    /// to the balancer once a second while messages are slow, and once more when they no longer are.
    pub(super) fn report_message_delay(&mut self, now: f64, leg: usize, source: usize, delay: f64) {
        let server_leg = &self.legs[leg];
        let Some(server) = self.servers.0.get_mut(&server_leg.server) else { return };
        server.message_delays[source] = (delay, now);
        // An estimate is used for one report interval only. When the last set-up's estimate was reported with each line
        // that followed, the balancer treated it as a new one every second: it lowered the server's limit permanently,
        // and no set-up took place that could have corrected it.
        let recent = server.message_delays.iter().filter(|(_, at)| now - at < DELAY_REPORT_INTERVAL_SECONDS);
        let delay = recent.fold(0.0, |largest, (delay, _)| f64::max(largest, *delay));
        let slow = delay > self.slow_message_threshold;
        if (slow || server.slow_reported) && now - server.delay_reported_at >= DELAY_REPORT_INTERVAL_SECONDS {
            server.delay_reported_at = now;
            server.slow_reported = slow;
            debug!("message delay at server {:x} is {delay:.3} s", server_leg.server);
            if let Some(call) = &self.sessions[server_leg.session].call {
                call.on_message_delay(now, server_leg.number, delay);
            }
        }
    }

    /// Moves an established client away with `MOVE`: at once if the server has ended its last line, or else once it ends
    /// the present one. If that takes longer than the start of the line may be held back, the client is moved without it.
    pub(super) fn move_client(&mut self, now: f64, key: usize, outcome: LegOutcome) {
        let latest = self.final_moves_at();
        let session = &mut self.sessions[key];
        let Some((_, leg)) =
            session.legs.first().copied().filter(|_| session.stage == SessionStage::Established)
        else {
            return;
        };
        let lines = &mut session.from_server;
        if lines.held_until().is_some_and(|until| now >= until.min(latest) - TIMER_RESOLUTION_SECONDS) {
            lines.discard_held();
        }
        if lines.is_held() || !lines.client_is_between_lines() {
            session.pending_move.get_or_insert(outcome);
            return self.schedule_established_check(key);
        }
        self.end_leg(now, leg, outcome, true, CloseKind::Graceful);
        self.send_final_answer(now, key, answers::MOVE.to_vec(), AnswerReason::Moved);
    }

    /// When an established connection has to be checked next, in seconds.
    fn established_check_due(&self, key: usize) -> Option<f64> {
        let session = &self.sessions[key];
        if let Some(held_until) = session.from_server.held_until() {
            return Some(held_until.min(self.final_moves_at()));
        }
        let longest_silence = match session.pending_move {
            Some(_) => MAX_INCOMPLETE_LINE_SECONDS,
            None => MAX_REPLY_SILENCE_SECONDS,
        };
        session.unanswered_since.map(|since| since + longest_silence)
    }

    /// Sets the timer for the next check of an established connection, unless one runs that is due before that.
    pub(super) fn schedule_established_check(&mut self, key: usize) {
        let session = &self.sessions[key];
        if session.stage != SessionStage::Established {
            return;
        }
        let running = session.timer.as_ref().map_or(f64::INFINITY, Timer::due);
        if let Some(due) = self.established_check_due(key).filter(|due| *due < running) {
            self.replace_stage_timer(key, Some(due));
        }
    }

    /// Checks an established connection: whether the start of a line has been held back for long enough, and whether the
    /// server no longer answers.
    fn check_established(&mut self, now: f64, key: usize) {
        if self.established_check_due(key).is_some_and(|due| now >= due - TIMER_RESOLUTION_SECONDS) {
            let session = &self.sessions[key];
            match session.pending_move {
                _ if session.from_server.is_held() => self.end_hold(now, key),
                Some(outcome) => self.cut_off(now, key, outcome),
                None => self.move_client(now, key, LegOutcome::Broken),
            }
        }
        if self.sessions.contains(key) {
            self.schedule_established_check(key);
        }
    }

    /// Ends the time for which the start of a line is held back. The client is moved if it has to be anyway, or if its
    /// server has stopped within an answer; otherwise the start of the line is passed on.
    fn end_hold(&mut self, now: f64, key: usize) {
        let session = &mut self.sessions[key];
        let stopped = session.unanswered_since.is_some() && session.from_server.is_stalled(now);
        let outcome = match session.pending_move {
            Some(outcome) => Some(outcome),
            None if stopped => Some(LegOutcome::Broken),
            None => self.draining_since.map(|_| LegOutcome::Cancelled),
        };
        match outcome {
            Some(outcome) => {
                session.from_server.discard_held();
                self.move_client(now, key, outcome);
            }
            None => {
                let held = session.from_server.pass_on();
                self.write_to_client(key, held);
            }
        }
    }

    /// Ends an established connection without `MOVE`, as its server has stopped within a line that the client has been
    /// sent the start of.
    fn cut_off(&mut self, now: f64, key: usize, outcome: LegOutcome) {
        if let Some(leg) = self.sessions[key].established_leg() {
            self.end_leg(now, leg, outcome, true, CloseKind::Abortive);
        }
        self.send_final_answer(now, key, Vec::new(), AnswerReason::IncompleteLine);
    }

    /// Handles the timer of the session's present stage, which has expired.
    pub(super) fn handle_session_timer(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        match session.stage {
            SessionStage::AwaitingFirstLine if session.is_held() => self.decline_held(now, key),
            SessionStage::AwaitingFirstLine if !session.first_line.is_empty() => {
                self.answer_malformed(now, key)
            }
            SessionStage::AwaitingFirstLine => {
                self.close_session(now, key, CloseKind::Graceful, CloseReason::FirstLineOverdue)
            }
            SessionStage::Closing => {
                self.close_session(now, key, CloseKind::Abortive, CloseReason::ClosingTimedOut)
            }
            SessionStage::AwaitingServer => {}
            SessionStage::Restoring => {
                if let Some((server, request)) = &session.restoring {
                    let (server, until) = (*server, request.deadline);
                    if now < until {
                        self.restore_connection(now, key, server, until);
                    } else {
                        self.send_final_answer(now, key, answers::ERR.to_vec(), AnswerReason::RestoreFailed);
                    }
                }
            }
            SessionStage::Established => self.check_established(now, key),
        }
    }
}
