//! Legs: connecting, sending the request, reading the server's answer, and ending.

use super::{CloseKind, Effect, Endpoint, Reducer, TimerKind, REJECTION_DESCRIPTORS, SETUP_DELAY};
use crate::guard::cold_start::LocationLoad;
use crate::guard::{RepeatFacts, SendFacts, SentAttempt};
use crate::state::counters::{AnswerReason, CloseReason};
use crate::state::sessions::{LegStage, LogId, ServerLeg, SessionStage};
use crate::wire::answers::{self, parse_server_message, ServerMessage};
use crate::wire::lines::{first_line_end, trim_line_end};
use dewhead::types::{LegOutcome, ServerState};
use log::debug;

/// A connection attempt that could not be started is repeated up to this many times, evenly spaced over the time in
/// which the connection must be established.
const CONNECT_RETRIES: f64 = 20.0;

/// The name of an ending in the counters.
fn ending_name(ending: LegOutcome) -> &'static str {
    match ending {
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

    /// Whether the guard allows a further attempt of this call at the server.
    fn may_repeat(&mut self, now: f64, key: usize, server: u64) -> bool {
        let session = &self.sessions[key];
        let (Some(traffic_type), Some(target)) =
            (self.traffic_types.get(session.traffic), self.servers.0.get(&server))
        else {
            return true;
        };
        let facts = RepeatFacts {
            effect: traffic_type.idempotency,
            repeat_window: traffic_type.repeat_window,
            attempts_out: session.legs.len(),
            two_at_once: self.parallel_attempts,
            may_have_run: session.may_have_run,
            target: SentAttempt { at: now, zone: target.zone, cell: target.cell },
        };
        self.guard.may_repeat(&facts, &session.log_id()).is_ok()
    }

    /// Whether the guard allows the leg's request to be sent now.
    fn may_send(&mut self, now: f64, leg: usize) -> bool {
        let out = &self.legs[leg];
        let session = &self.sessions[out.session];
        let returning = session.stage == SessionStage::Restoring;
        let server = self.servers.0.get(&out.server);
        let facts = SendFacts {
            client_waiting: returning || session.stage == SessionStage::AwaitingServer,
            before_deadline: now < out.answer_by,
            server_ready: server.is_some_and(|s| returning || s.state == ServerState::Ready),
        };
        let request_id = session.log_id();
        if self.guard.may_send(&facts, &request_id).is_err() {
            return false;
        }
        // A restored connection was established there before, and is no new load.
        if returning {
            return true;
        }
        let server_id = out.server;
        self.may_send_to_cold_server(now, server_id, &request_id)
    }

    /// Whether the slow-start limit allows a request to the server. Servers that are not cold have no such limit.
    fn may_send_to_cold_server(&mut self, now: f64, server_id: u64, request_id: &LogId) -> bool {
        let Some(server) = self.servers.0.get(&server_id) else { return true };
        let Some(age) = server.started.map(|at| now - at).filter(|age| self.cold_start.is_cold(*age)) else {
            return true;
        };
        let weight = if self.weights_are_sizes { server.weight } else { 1.0 };
        let load = self.load_by_location();
        self.cold_start.observe(&load);
        let limit = self.cold_start.max_requests(weight, age);
        let window = self.cold_start.window();
        let Some(server) = self.servers.0.get_mut(&server_id) else { return true };
        while server.recent_sends.front().is_some_and(|at| *at <= now - window) {
            server.recent_sends.pop_front();
        }
        let allowed = self.guard.may_send_in_slow_start(server.recent_sends.len(), limit, request_id).is_ok();
        if allowed {
            server.recent_sends.push_back(now);
        }
        allowed
    }

    /// For each location, the legs at its servers and the weight of its ready servers.
    fn load_by_location(&self) -> Vec<LocationLoad> {
        let mut locations =
            vec![LocationLoad { connections: 0, ready_weight: 0.0 }; self.known_names.zones.len().max(1)];
        for server in self.servers.0.values().filter(|server| server.state == ServerState::Ready) {
            if let Some(location) = locations.get_mut(server.zone) {
                location.ready_weight += if self.weights_are_sizes { server.weight } else { 1.0 };
            }
        }
        for (_, leg) in &self.legs {
            let zone = self.servers.0.get(&leg.server).map(|server| server.zone);
            if let Some(location) = zone.and_then(|zone| locations.get_mut(zone)) {
                location.connections += 1;
            }
        }
        locations
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
        let up_by = (now + self.connect_timeout).min(until);
        let timer = self.timers.set(up_by, TimerKind::Leg(leg));
        entry.insert(ServerLeg {
            session: key,
            number,
            server,
            address: to,
            stage: LegStage::Connecting,
            answer: Vec::new(),
            connect_by: up_by,
            answer_by: until,
            head_sent_at: now,
            timer: Some(timer),
            announced_ending: None,
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

    /// The leg's connection was not established. An error on an established connection is handled as its close, since a
    /// request sent on it may have run.
    pub(super) fn handle_connect_failed(&mut self, now: f64, leg: usize) {
        match self.legs.get(leg).map(|out| out.stage) {
            Some(LegStage::Queued | LegStage::Connecting) => self.fail_leg(now, leg, LegOutcome::Unreachable),
            Some(_) => self.handle_server_closed(now, leg, CloseKind::Abortive),
            None => {}
        }
    }

    /// The connection attempt could not be started, for lack of a descriptor, memory or a local port. That says nothing
    /// about the server, so it is tried again within the call's time.
    pub(super) fn postpone_connect(&mut self, now: f64, leg: usize) {
        let pause = self.connect_timeout.min(self.longest_guard_time) / CONNECT_RETRIES;
        let Some(out) = self.legs.get_mut(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        out.stage = LegStage::Queued;
        let at = (now + pause).min(out.connect_by).min(out.answer_by);
        if let Some(old) = out.timer.replace(self.timers.set(at, TimerKind::Leg(leg))) {
            self.timers.cancel(old);
        }
    }

    /// Starts a postponed connection attempt again, or ends the leg where its time is over.
    pub(super) fn retry_connect(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        out.timer = None;
        if now >= out.connect_by.min(out.answer_by) {
            return self.fail_leg(now, leg, LegOutcome::NotSent);
        }
        out.stage = LegStage::Connecting;
        out.timer = Some(self.timers.set(out.connect_by, TimerKind::Leg(leg)));
        let to = out.address;
        self.effects.push(Effect::Connect(leg, to));
    }

    /// Schedules another attempt to restore a connection, or gives up where the client's waiting time is over.
    pub(super) fn retry_restore(&mut self, now: f64, key: usize) {
        let until = self.sessions[key].restoring.as_ref().map_or(now, |(_, wanted)| wanted.deadline);
        if now < until {
            self.replace_stage_timer(key, Some((now + 0.1).min(until)));
        } else {
            self.send_final_answer(now, key, answers::ERR.to_vec(), AnswerReason::RestoreFailed);
        }
    }

    /// The leg's connection is established: sends its request if that is still allowed.
    pub(super) fn handle_connected(&mut self, now: f64, leg: usize) {
        let Some(out) = self.legs.get(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        let session = &self.sessions[out.session];
        // The server may have been drained, removed, restarted or moved since the leg was started. Without these checks
        // such legs still sent their requests, even after the drain's grace period where connecting took longer than
        // that.
        let address_unchanged = self.servers.0.get(&out.server).is_some_and(|s| s.dial == Some(out.address));
        let still_allowed = session.call.as_ref().is_none_or(|call| call.may_send_now(now, out.number));
        if !address_unchanged || !still_allowed || now >= out.answer_by {
            return self.fail_leg(now, leg, LegOutcome::NotSent);
        }
        if !self.may_send(now, leg) {
            return self.fail_leg(now, leg, LegOutcome::NotSent);
        }
        let out = &self.legs[leg];
        let session = &self.sessions[out.session];
        let timeout_range = session.wait_range.clone();
        let timeout_ms = ((out.answer_by - now) * 1000.0).max(1.0) as u64;
        self.effects.push(Effect::SendHead { leg, session: out.session, timeout_range, timeout_ms });
    }

    /// Handles bytes from a server, according to the leg's stage.
    pub(super) fn handle_server_bytes(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(out) = self.legs.get_mut(leg) else { return };
        let key = out.session;
        match out.stage {
            // The server has not received the request, so its answer counts only if it reports that it is full.
            LegStage::Queued | LegStage::Connecting => {
                out.answer.extend_from_slice(bytes);
                let full = matches!(first_line_end(&out.answer), Ok(Some(end)) if parse_server_message(trim_line_end(&out.answer[..end])) == ServerMessage::Busy);
                self.fail_leg(now, leg, if full { LegOutcome::Full } else { LegOutcome::Unreachable });
            }
            LegStage::AwaitingAnswer => {
                out.answer.extend_from_slice(bytes);
                let end = match first_line_end(&out.answer) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.fail_leg(now, leg, LegOutcome::Error),
                };
                match parse_server_message(trim_line_end(&out.answer[..end])) {
                    ServerMessage::Up => self.establish(now, leg),
                    ServerMessage::Busy => self.fail_leg(now, leg, LegOutcome::Full),
                    ServerMessage::Move => self.fail_leg(now, leg, LegOutcome::Cancelled),
                    _ => self.fail_leg(now, leg, LegOutcome::Error),
                }
            }
            LegStage::Established => self.forward_to_client(now, leg, bytes),
            LegStage::Closing => self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len())),
        }
    }

    /// The server has accepted the call: forwards its answer to the client, and everything that follows.
    pub(super) fn establish(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        let (key, number, server, asked_at) = (out.session, out.number, out.server, out.head_sent_at);
        let answer = std::mem::take(&mut out.answer);
        out.stage = LegStage::Established;
        if let Some(timer) = out.timer.take() {
            self.timers.cancel(timer);
        }
        let session = &mut self.sessions[key];
        session.stage = SessionStage::Established;
        session.first_line = Vec::new();
        debug!(
            "{}: established at server {server:x}, {:.3} s after the request was sent",
            session.log_id(),
            now - asked_at
        );
        if let Some((_, wanted)) = session.restoring.take() {
            let call = self.balancer.adopt_connection(now, session.id, wanted, server);
            session.call = Some(call);
        } else if let Some(call) = &session.call {
            call.on_established(now, number);
        }
        // Ends the other legs that are out. A call without attempts is a restored connection.
        let (traffic, is_new_call) = (session.traffic, session.legs_sent > 0);
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
        let usable = is_new_call && self.is_server_delay(now - asked_at);
        if let Some(address) = self.servers.0.get_mut(&server).filter(|_| usable) {
            let running_for =
                now - address.started.map_or(self.started_at, |started| started.max(self.started_at));
            let decay_time = 4.0 * self.longest_guard_time;
            let slowdown = address.set_up_latency.record(
                &mut self.setup_baselines,
                traffic,
                now - asked_at,
                (now, running_for),
                decay_time,
            );
            self.report_message_delay(now, leg, SETUP_DELAY, slowdown * self.slow_setup_unit);
        }
        self.inspect_server_lines(now, leg, &answer);
        self.effects.push(Effect::Write(Endpoint::Client(key), answer));
    }

    /// The server closed the leg's connection, or the connection failed.
    pub(super) fn handle_server_closed(&mut self, now: f64, leg: usize, kind: CloseKind) {
        let Some(out) = self.legs.get(leg) else { return };
        let (key, farewell) = (out.session, out.announced_ending);
        match out.stage {
            LegStage::Queued | LegStage::Connecting => self.fail_leg(now, leg, LegOutcome::Unreachable),
            LegStage::AwaitingAnswer => self.fail_leg(now, leg, LegOutcome::Broken),
            LegStage::Closing => self.close_session(now, key, CloseKind::Graceful, CloseReason::ServerEnded),
            LegStage::Established => {
                if farewell.is_none() && self.sessions[key].from_server.is_between_lines() {
                    // Lost without an announcement: a client that is sent `MOVE` reconnects sooner than one that is cut
                    // off.
                    return self.move_client(now, key, LegOutcome::Broken);
                }
                let ending = farewell.unwrap_or(LegOutcome::Broken);
                self.end_leg(now, leg, ending, true, kind);
                self.begin_closing(now, key);
                match kind {
                    CloseKind::Graceful => self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key))),
                    CloseKind::Abortive => {
                        self.close_session(now, key, CloseKind::Abortive, CloseReason::ServerReset)
                    }
                }
            }
        }
    }

    /// Ends a leg that established no connection, and retries where it was to restore one.
    pub(super) fn fail_leg(&mut self, now: f64, leg: usize, ending: LegOutcome) {
        let Some(out) = self.legs.get(leg) else { return };
        let key = out.session;
        let returning = self.sessions[key].stage == SessionStage::Restoring;
        self.end_leg(now, leg, ending, false, CloseKind::Abortive);
        if returning {
            self.retry_restore(now, key);
        }
    }

    /// Reports the end of an attempt to the session's call. `last` says whether the call is over with it.
    pub(super) fn report_attempt_end(
        &mut self,
        now: f64,
        key: usize,
        number: usize,
        ending: LegOutcome,
        last: bool,
    ) {
        if let Some(call) = self.sessions[key].call.clone() {
            call.on_leg_ended(now, number, ending, last);
        }
    }

    /// Reports the end of a leg to its call, unless that was done when the leg began closing.
    pub(super) fn report_leg_end(&mut self, now: f64, leg: usize, ending: LegOutcome, last: bool) {
        let (key, number) = (self.legs[leg].session, self.legs[leg].number);
        if self.legs[leg].stage != LegStage::Closing {
            self.report_attempt_end(now, key, number, ending, last);
        }
    }

    /// Ends a leg and frees its slot, timer, buffer and socket. This is the only place that does so.
    pub(super) fn end_leg(&mut self, now: f64, leg: usize, ending: LegOutcome, last: bool, kind: CloseKind) {
        self.report_leg_end(now, leg, ending, last);
        let out = self.legs.remove(leg);
        self.counters.endings.count(ending_name(ending));
        let session = &mut self.sessions[out.session];
        if out.stage == LegStage::AwaitingAnswer && !matches!(ending, LegOutcome::Full | LegOutcome::NotSent)
        {
            if let Some(server) = self.servers.0.get(&out.server) {
                session.may_have_run.get_or_insert(SentAttempt {
                    at: out.head_sent_at,
                    zone: server.zone,
                    cell: server.cell,
                });
            }
        }
        debug!("{}: leg {} at server {:x} ended: {ending:?}", session.log_id(), out.number, out.server);
        if let Some(timer) = out.timer {
            self.timers.cancel(timer);
        }
        self.sessions[out.session].legs.retain(|(_, l)| *l != leg);
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
