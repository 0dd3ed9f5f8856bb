//! Legs: connecting, sending the request, reading the server's answer, and ending.

use super::{CloseKind, Effect, Endpoint, Reducer, TimerKind, REJECTION_DESCRIPTORS, SET_UP_DELAY};
use crate::guard::SentAttempt;
use crate::state::counters::{AnswerReason, CloseReason};
use crate::state::sessions::{LegStage, ServerLeg, SessionStage};
use crate::wire::answers::{self, parse_server_message, ServerMessage};
use crate::wire::lines::{first_line_end, trim_line_end};
use dewhead::types::LegOutcome;
use log::debug;

/// A connection attempt that could not be started is repeated up to this many times, evenly spaced over the time in
/// which the connection must be established.
const CONNECT_RETRIES: f64 = 20.0;

/// The name of a leg's outcome in the counters.
fn outcome_name(outcome: LegOutcome) -> &'static str {
    match outcome {
        LegOutcome::Served => "served",
        LegOutcome::Error => "error",
        LegOutcome::Full => "full",
        LegOutcome::TimedOut => "timed_out",
        LegOutcome::Unreachable => "unreachable",
        LegOutcome::Broken => "broken",
        LegOutcome::Cancelled => "cancelled",
        LegOutcome::NotSent => "not_sent",
    }
}

/// How a connection will end after this line of its server; none if the line does not announce that.
pub(super) fn announced_outcome(line: &[u8]) -> Option<LegOutcome> {
    match parse_server_message(trim_line_end(line)) {
        ServerMessage::Bye => Some(LegOutcome::Served),
        ServerMessage::Move => Some(LegOutcome::Cancelled),
        _ => None,
    }
}

/// The meaning of a server's answer; none while its first line is incomplete.
///
/// # Errors
///
/// The line is longer than any that is allowed.
fn complete_answer(answer: &[u8]) -> Result<Option<ServerMessage>, &'static str> {
    let end = first_line_end(answer)?;
    Ok(end.map(|end| parse_server_message(trim_line_end(&answer[..end]))))
}

impl Reducer {
    /// Starts an attempt of the session's call at the server, with a time-out in seconds.
    pub(super) fn send_attempt(&mut self, now: f64, key: usize, server: u64, timeout: f64) {
        let allowed = self.may_repeat(now, key, server);
        let session = &mut self.sessions[key];
        let number = session.legs_sent;
        session.legs_sent += 1;
        self.counters.attempts += 1;
        self.counters.retries += u64::from(number > 0);
        if !allowed || !self.start_leg(now, key, server, now + timeout, number) {
            self.report_attempt_end(now, key, number, LegOutcome::NotSent, false);
        }
    }

    /// Starts a leg that restores a connection at the server it was established at.
    pub(super) fn restore_connection(&mut self, now: f64, key: usize, server: u64, until: f64) {
        if !self.start_leg(now, key, server, until, 0) {
            self.retry_restore(now, key);
        }
    }

    /// Starts leg `number` of the session's call. Returns false, and starts nothing, where the server has no address or
    /// too few descriptors are free.
    pub(super) fn start_leg(&mut self, now: f64, key: usize, server: u64, until: f64, number: usize) -> bool {
        let address = self.servers.0.get(&server).and_then(|s| s.dial);
        let Some(to) =
            address.filter(|_| self.descriptors.used + REJECTION_DESCRIPTORS < self.descriptors.limit)
        else {
            return false;
        };
        let entry = self.legs.vacant_entry();
        let leg = entry.key();
        let connect_deadline = (now + self.connect_timeout).min(until);
        let timer = self.timers.set(connect_deadline, TimerKind::Leg(leg));
        entry.insert(ServerLeg {
            session: key,
            number,
            server,
            address: to,
            stage: LegStage::Connecting,
            answer: Vec::new(),
            connect_by: connect_deadline,
            answer_by: until,
            head_sent_at: now,
            timer: Some(timer),
            announced_outcome: None,
        });
        self.sessions[key].legs.push((number, leg));
        debug!(
            "{}: leg {number} to server {server:x}, time-out {:.3} s",
            self.sessions[key].log_id(),
            until - now
        );
        self.descriptors.used += 1;
        self.effects.push(Effect::Connect(leg, to));
        true
    }

    /// Handles a leg whose connection was not established. An error on an established connection is handled as its
    /// close, since a request sent on it may have run.
    pub(super) fn handle_connect_failed(&mut self, now: f64, leg: usize) {
        match self.legs.get(leg).map(|server_leg| server_leg.stage) {
            Some(LegStage::Queued | LegStage::Connecting) => self.fail_leg(now, leg, LegOutcome::Unreachable),
            Some(_) => self.handle_server_closed(now, leg, CloseKind::Abortive),
            None => {}
        }
    }

    /// Handles a connection attempt that could not be started, for lack of a descriptor, memory or a local port. The
    /// server is not the cause, so the attempt is repeated within the call's time.
    pub(super) fn postpone_connect(&mut self, now: f64, leg: usize) {
        let pause = self.connect_timeout.min(self.longest_guard_time) / CONNECT_RETRIES;
        let Some(server_leg) = self.legs.get_mut(leg).filter(|l| l.stage == LegStage::Connecting) else {
            return;
        };
        server_leg.stage = LegStage::Queued;
        let at = (now + pause).min(server_leg.connect_by).min(server_leg.answer_by);
        if let Some(old) = server_leg.timer.replace(self.timers.set(at, TimerKind::Leg(leg))) {
            self.timers.cancel(old);
        }
    }

    /// Starts a postponed connection attempt again, or ends the leg where its time is over.
    fn retry_connect(&mut self, now: f64, leg: usize) {
        let server_leg = &mut self.legs[leg];
        server_leg.timer = None;
        if now >= server_leg.connect_by.min(server_leg.answer_by) {
            return self.fail_leg(now, leg, LegOutcome::NotSent);
        }
        server_leg.stage = LegStage::Connecting;
        server_leg.timer = Some(self.timers.set(server_leg.connect_by, TimerKind::Leg(leg)));
        let to = server_leg.address;
        self.effects.push(Effect::Connect(leg, to));
    }

    /// Schedules another attempt to restore a connection, or gives up where the client's waiting time is over.
    pub(super) fn retry_restore(&mut self, now: f64, key: usize) {
        let until = self.sessions[key].restoring.as_ref().map_or(now, |(_, request)| request.deadline);
        if now < until {
            self.replace_stage_timer(key, Some((now + 0.1).min(until)));
        } else {
            self.send_final_answer(now, key, answers::ERR.to_vec(), AnswerReason::RestoreFailed);
        }
    }

    /// Handles a leg whose connection is established: sends its request if that is still allowed.
    pub(super) fn handle_connected(&mut self, now: f64, leg: usize) {
        let Some(server_leg) = self.legs.get(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        let session = &self.sessions[server_leg.session];
        // The server may have been drained, removed, restarted or moved since the leg was started. Without these checks
        // such legs still sent their requests, even after the drain's grace period where connecting took longer than
        // that.
        let address_unchanged =
            self.servers.0.get(&server_leg.server).is_some_and(|s| s.dial == Some(server_leg.address));
        let still_allowed =
            session.call.as_ref().is_none_or(|call| call.may_send_now(now, server_leg.number));
        if !address_unchanged || !still_allowed || now >= server_leg.answer_by {
            return self.fail_leg(now, leg, LegOutcome::NotSent);
        }
        if !self.may_send(now, leg) {
            return self.fail_leg(now, leg, LegOutcome::NotSent);
        }
        let server_leg = &self.legs[leg];
        let session = &self.sessions[server_leg.session];
        let timeout_range = session.wait_range.clone();
        let timeout_ms = ((server_leg.answer_by - now) * 1000.0).max(1.0) as u64;
        self.effects.push(Effect::SendHead { leg, session: server_leg.session, timeout_range, timeout_ms });
    }

    /// Waits for the server's answer once the last byte of the first line is written.
    pub(super) fn handle_head_written(&mut self, now: f64, leg: usize) {
        let Some(server_leg) = self.legs.get_mut(leg).filter(|l| l.stage == LegStage::Connecting) else {
            return;
        };
        server_leg.stage = LegStage::AwaitingAnswer;
        server_leg.head_sent_at = now;
        let new_timer = self.timers.set(server_leg.answer_by, TimerKind::Leg(leg));
        if let Some(old) = server_leg.timer.replace(new_timer) {
            self.timers.cancel(old);
        }
    }

    /// Connects a leg that waits for a resource, or ends one whose time is over.
    pub(super) fn handle_leg_timer(&mut self, now: f64, leg: usize) {
        let server_leg = &mut self.legs[leg];
        if server_leg.stage == LegStage::Queued {
            return self.retry_connect(now, leg);
        }
        server_leg.timer = None;
        let outcome = match server_leg.stage {
            LegStage::Connecting => LegOutcome::Unreachable,
            _ => LegOutcome::TimedOut,
        };
        self.fail_leg(now, leg, outcome);
    }

    /// Cancels the call's leg of this number.
    pub(super) fn cancel_leg(&mut self, now: f64, call: u64, number: u32) {
        let Some(key) = self.find_session(call) else { return };
        let legs = &self.sessions[key].legs;
        let Some((_, leg)) = legs.iter().find(|(n, _)| *n == number as usize).copied() else { return };
        self.end_leg(now, leg, LegOutcome::Cancelled, false, CloseKind::Abortive);
    }

    /// Handles bytes from a server, according to the leg's stage.
    pub(super) fn handle_server_bytes(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(server_leg) = self.legs.get_mut(leg) else { return };
        let key = server_leg.session;
        match server_leg.stage {
            // The server has not received the request, so its answer is used only if it reports that the server is
            // full.
            LegStage::Queued | LegStage::Connecting => {
                server_leg.answer.extend_from_slice(bytes);
                let outcome = match complete_answer(&server_leg.answer) {
                    Ok(Some(ServerMessage::Busy)) => LegOutcome::Full,
                    _ => LegOutcome::Unreachable,
                };
                self.fail_leg(now, leg, outcome);
            }
            LegStage::AwaitingAnswer => {
                server_leg.answer.extend_from_slice(bytes);
                match complete_answer(&server_leg.answer) {
                    Ok(None) => {}
                    Ok(Some(ServerMessage::Up)) => self.establish(now, leg),
                    Ok(Some(ServerMessage::Busy)) => self.fail_leg(now, leg, LegOutcome::Full),
                    Ok(Some(ServerMessage::Move)) => self.fail_leg(now, leg, LegOutcome::Cancelled),
                    Ok(Some(_)) | Err(_) => self.fail_leg(now, leg, LegOutcome::Error),
                }
            }
            LegStage::Established => self.forward_to_client(now, leg, bytes),
            LegStage::Closing => self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len())),
        }
    }

    /// Handles a call that the server has accepted: forwards the server's answer to the client. What follows is
    /// forwarded as it arrives.
    pub(super) fn establish(&mut self, now: f64, leg: usize) {
        let server_leg = &mut self.legs[leg];
        let (key, number, server, sent_at) =
            (server_leg.session, server_leg.number, server_leg.server, server_leg.head_sent_at);
        let mut answer = std::mem::take(&mut server_leg.answer);
        server_leg.stage = LegStage::Established;
        if let Some(timer) = server_leg.timer.take() {
            self.timers.cancel(timer);
        }
        let session = &mut self.sessions[key];
        session.stage = SessionStage::Established;
        session.first_line = Vec::new();
        debug!(
            "{}: established at server {server:x}, {:.3} s after the request was sent",
            session.log_id(),
            now - sent_at
        );
        if let Some((_, request)) = session.restoring.take() {
            let call = self.balancer.adopt_connection(now, session.id, request, server);
            session.call = Some(call);
        } else if let Some(call) = &session.call {
            call.on_established(now, number);
        }
        // Ends the call's other open legs. A call without attempts is a restored connection.
        let (traffic_type, is_new_call) = (session.traffic_type, session.legs_sent > 0);
        let others: Vec<usize> = session.legs.iter().map(|(_, l)| *l).filter(|l| *l != leg).collect();
        for other in others {
            self.end_leg(now, other, LegOutcome::Cancelled, false, CloseKind::Abortive);
        }
        self.replace_stage_timer(key, None);
        self.replace_wake_timer(key, None);
        if let Some(at) = self.draining_since {
            let move_at = self.pick_move_time(at).max(now);
            let timer = self.timers.set(move_at, TimerKind::MoveClient(key));
            self.replace_wake_timer(key, Some(timer));
        }
        let usable = is_new_call && self.is_server_delay(now - sent_at);
        if let Some(record) = self.servers.0.get_mut(&server).filter(|_| usable) {
            let running_for =
                now - record.started.map_or(self.started_at, |started| started.max(self.started_at));
            let decay_time = 4.0 * self.longest_guard_time;
            let slowdown = record.set_up_latency.record(
                &mut self.type_means,
                traffic_type,
                now - sent_at,
                (now, running_for),
                decay_time,
            );
            self.report_message_delay(now, leg, SET_UP_DELAY, slowdown * self.slow_set_up_unit);
        }
        let passed = self.inspect_server_lines(now, leg, &answer);
        answer.truncate(passed.count);
        self.write_to_client(key, answer);
        self.schedule_established_check(key);
    }

    /// Handles a leg's connection that the server closed or that failed.
    pub(super) fn handle_server_closed(&mut self, now: f64, leg: usize, kind: CloseKind) {
        let Some(server_leg) = self.legs.get(leg) else { return };
        let key = server_leg.session;
        match server_leg.stage {
            LegStage::Queued | LegStage::Connecting => self.fail_leg(now, leg, LegOutcome::Unreachable),
            LegStage::AwaitingAnswer => self.fail_leg(now, leg, LegOutcome::Broken),
            LegStage::Closing => self.close_session(now, key, CloseKind::Graceful, CloseReason::ServerEnded),
            LegStage::Established => self.handle_established_server_closed(now, leg, kind),
        }
    }

    /// Handles an established leg's connection that the server closed or that failed.
    fn handle_established_server_closed(&mut self, now: f64, leg: usize, kind: CloseKind) {
        let server_leg = &self.legs[leg];
        let key = server_leg.session;
        let lines = &mut self.sessions[key].from_server;
        let announced = server_leg.announced_outcome.or(announced_outcome(lines.held()));
        if announced.is_none() && lines.client_is_between_lines() {
            // The connection was lost without an announcement: a client that is sent `MOVE` reconnects sooner than one
            // that is cut off. The line that the server has begun will never end.
            lines.discard_held();
            return self.move_client(now, key, LegOutcome::Broken);
        }
        let held = lines.pass_on();
        self.write_to_client(key, held);
        self.end_leg(now, leg, announced.unwrap_or(LegOutcome::Broken), true, kind);
        self.begin_closing(now, key);
        match kind {
            CloseKind::Graceful => self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key))),
            CloseKind::Abortive => {
                self.close_session(now, key, CloseKind::Abortive, CloseReason::ServerReset)
            }
        }
    }

    /// Ends a leg that was not established, and retries if it was to restore a connection.
    pub(super) fn fail_leg(&mut self, now: f64, leg: usize, outcome: LegOutcome) {
        let Some(server_leg) = self.legs.get(leg) else { return };
        let key = server_leg.session;
        let restoring = self.sessions[key].stage == SessionStage::Restoring;
        self.end_leg(now, leg, outcome, false, CloseKind::Abortive);
        if restoring {
            self.retry_restore(now, key);
        }
    }

    /// Reports the end of an attempt to the session's call. `last`: the call has ended with it.
    pub(super) fn report_attempt_end(
        &mut self,
        now: f64,
        key: usize,
        number: usize,
        outcome: LegOutcome,
        last: bool,
    ) {
        if let Some(call) = self.sessions[key].call.clone() {
            call.on_leg_ended(now, number, outcome, last);
        }
    }

    /// Reports the end of a leg to its call, unless that was done when the leg began closing.
    pub(super) fn report_leg_end(&mut self, now: f64, leg: usize, outcome: LegOutcome, last: bool) {
        let (key, number) = (self.legs[leg].session, self.legs[leg].number);
        if self.legs[leg].stage != LegStage::Closing {
            self.report_attempt_end(now, key, number, outcome, last);
        }
    }

    /// Ends a leg and frees its slot, timer, buffer and socket. This is the only place that does so.
    pub(super) fn end_leg(&mut self, now: f64, leg: usize, outcome: LegOutcome, last: bool, kind: CloseKind) {
        self.report_leg_end(now, leg, outcome, last);
        let server_leg = self.legs.remove(leg);
        self.counters.endings.count(outcome_name(outcome));
        let session = &mut self.sessions[server_leg.session];
        if server_leg.stage == LegStage::AwaitingAnswer
            && !matches!(outcome, LegOutcome::Full | LegOutcome::NotSent)
        {
            if let Some(server) = self.servers.0.get(&server_leg.server) {
                session.may_have_run.get_or_insert(SentAttempt {
                    at: server_leg.head_sent_at,
                    zone: server.zone,
                    cell: server.cell,
                });
            }
        }
        debug!(
            "{}: leg {} at server {:x} ended: {outcome:?}",
            session.log_id(),
            server_leg.number,
            server_leg.server
        );
        if let Some(timer) = server_leg.timer {
            self.timers.cancel(timer);
        }
        self.sessions[server_leg.session].legs.retain(|(_, l)| *l != leg);
        self.effects.push(Effect::Close(Endpoint::Server(leg), kind));
        self.descriptors.used -= 1;
        self.update_accepting(now);
    }

    /// Ends all legs of a session.
    pub(super) fn end_legs(&mut self, now: f64, key: usize, kind: CloseKind) {
        while let Some((_, leg)) = self.sessions[key].legs.first().copied() {
            self.end_leg(now, leg, LegOutcome::Cancelled, true, kind);
        }
    }
}
