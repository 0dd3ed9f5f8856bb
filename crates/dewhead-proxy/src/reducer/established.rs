//! Established connections: forwards lines and inspects them, and moves clients away between two lines.

use super::{
    CloseKind, Effect, Endpoint, Reducer, DELAY_REPORT_INTERVAL_SECONDS, LINE_COMPLETION_TIMEOUT_SECONDS,
    LINE_DELAY, MAX_REPLY_SILENCE_SECONDS,
};
use crate::state::counters::{AnswerReason, CloseReason};
use crate::state::sessions::SessionStage;
use crate::wire::answers::{self, parse_server_message, ServerMessage};
use dewhead::types::LegOutcome;
use log::{debug, trace};

impl Reducer {
    /// Forwards bytes from the server to the client.
    pub(super) fn forward_to_client(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let key = self.legs[leg].session;
        let mut bytes = bytes;
        if self.sessions[key].pending_move.is_some() {
            // The client is about to be moved: only the present line is still forwarded.
            let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
            bytes = &bytes[..end];
        }
        self.inspect_server_lines(now, leg, bytes);
        self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len()));
        let session = &self.sessions[key];
        if let Some(outcome) = session.pending_move.filter(|_| session.from_server.is_between_lines()) {
            self.move_client(now, key, outcome);
        }
    }

    /// Inspects the server's lines on an established connection for load reports, announced ends and reply times.
    pub(super) fn inspect_server_lines(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let server_leg = &mut self.legs[leg];
        let session = &mut self.sessions[server_leg.session];
        let Some(call) = session.call.clone() else { return };
        let mut reply_time = None;
        let log_id = session.log_id();
        let (open_lines, unanswered_since, last_line_at) =
            (&mut session.unanswered_lines, &mut session.unanswered_since, session.last_line_at);
        session.from_server.feed(bytes, |line, _| match parse_server_message(line) {
            ServerMessage::Load(load) => {
                trace!("{}: load on server {:x} is {load}", log_id, server_leg.server);
                call.on_load(now, server_leg.number, load);
            }
            ServerMessage::Bye => server_leg.announced_outcome = Some(LegOutcome::Served),
            ServerMessage::Move => server_leg.announced_outcome = Some(LegOutcome::Cancelled),
            _ => {
                if let Some(since) = unanswered_since.take() {
                    reply_time = Some(now - since);
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

    /// Moves an established client away with `MOVE`, once the server's present line is complete.
    pub(super) fn move_client(&mut self, now: f64, key: usize, outcome: LegOutcome) {
        let session = &mut self.sessions[key];
        let Some((_, leg)) =
            session.legs.first().copied().filter(|_| session.stage == SessionStage::Established)
        else {
            return;
        };
        if !session.from_server.is_between_lines() {
            if session.pending_move.replace(outcome).is_none() {
                self.replace_stage_timer(key, Some(now + LINE_COMPLETION_TIMEOUT_SECONDS));
            }
            return;
        }
        self.end_leg(now, leg, outcome, true, CloseKind::Graceful);
        self.send_final_answer(now, key, answers::MOVE.to_vec(), AnswerReason::Moved);
    }

    /// Handles the timer of the session's present stage, which has expired.
    pub(super) fn handle_session_timer(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        match session.stage {
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
            SessionStage::Established => match (session.pending_move, session.unanswered_since) {
                (Some(outcome), _) => {
                    // The server stopped within a line, where no `MOVE` can be sent.
                    if let Some(leg) = session.established_leg() {
                        self.end_leg(now, leg, outcome, true, CloseKind::Abortive);
                    }
                    self.send_final_answer(now, key, Vec::new(), AnswerReason::IncompleteLine);
                }
                (None, Some(since)) if now - since >= MAX_REPLY_SILENCE_SECONDS - 1e-3 => {
                    self.move_client(now, key, LegOutcome::Broken);
                }
                (None, Some(since)) => self.replace_stage_timer(key, Some(since + MAX_REPLY_SILENCE_SECONDS)),
                (None, None) => {}
            },
        }
    }
}
