//! Legs: connecting, sending the request, reading the server's answer, and ending.

use super::{CloseKind, Effect, Endpoint, Reducer, TimerKind, REJECTION_DESCRIPTORS, SETUP_DELAY};
use crate::guard::cold_start::Carried;
use crate::guard::{Repeating, Sending, Sent};
use crate::memory::counters::{AnswerReason, CloseReason};
use crate::memory::sessions::{LegStage, Out, Stage, Who};
use crate::wire::answers::{self, word, Word};
use crate::wire::lines::{first, trimmed};
use dewhead::terms::{Ending, State};
use log::debug;

/// A connection attempt that could not be started is repeated up to this many times, evenly spaced over the time in
/// which the connection must be established.
const CONNECT_RETRIES: f64 = 20.0;

/// The name of an ending in the counters.
fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Served => "served",
        Ending::Error => "error",
        Ending::Full => "full",
        Ending::TimedOut => "timed_out",
        Ending::Unreachable => "unreachable",
        Ending::Broken => "broken",
        Ending::Cancelled => "cancelled",
        Ending::NotSent => "not_sent",
    }
}

impl Reducer {
    /// Starts an attempt of the session's call at the server, with a time-out in seconds.
    pub(super) fn send_attempt(&mut self, now: f64, key: usize, server: u64, timeout: f64) {
        let allowed = self.may_repeat(now, key, server);
        let session = &mut self.sessions[key];
        let number = session.sent;
        session.sent += 1;
        self.counters.attempts += 1;
        self.counters.retries += u64::from(number > 0);
        if !allowed || !self.start_leg(now, key, server, now + timeout, number) {
            self.report_attempt_end(now, key, number, Ending::NotSent, false);
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
        let facts = Repeating {
            effect: traffic_type.effect,
            window: traffic_type.window,
            out: session.legs.len(),
            two_at_once: self.parallel_attempts,
            ran: session.ran,
            to: Sent { at: now, zone: target.zone, cell: target.cell },
        };
        self.guard.may_repeat(&facts, &session.who()).is_ok()
    }

    /// Whether the guard allows the leg's request to be sent now.
    fn may_send(&mut self, now: f64, leg: usize) -> bool {
        let out = &self.legs[leg];
        let session = &self.sessions[out.session];
        let returning = session.stage == Stage::Returning;
        let server = self.servers.0.get(&out.server);
        let facts = Sending {
            client_waits: returning || session.stage == Stage::Waiting,
            in_time: now < out.until,
            server_ready: server.is_some_and(|s| returning || s.state == State::Ready),
        };
        let request_id = session.who();
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
    fn may_send_to_cold_server(&mut self, now: f64, server_id: u64, request_id: &Who) -> bool {
        let Some(server) = self.servers.0.get(&server_id) else { return true };
        let Some(age) = server.started.map(|at| now - at).filter(|age| self.cold_start.is_cold(*age)) else {
            return true;
        };
        let weight = if self.weights_are_sizes { server.weight } else { 1.0 };
        let load = self.load_by_location();
        self.cold_start.observe(&load);
        let limit = self.cold_start.most(weight, age);
        let window = self.cold_start.window();
        let Some(server) = self.servers.0.get_mut(&server_id) else { return true };
        while server.recent.front().is_some_and(|at| *at <= now - window) {
            server.recent.pop_front();
        }
        let allowed = self.guard.may_start(server.recent.len(), limit, request_id).is_ok();
        if allowed {
            server.recent.push_back(now);
        }
        allowed
    }

    /// For each location, the legs at its servers and the weight of its ready servers.
    fn load_by_location(&self) -> Vec<Carried> {
        let mut locations =
            vec![Carried { connections: 0, weight: 0.0 }; self.known_names.zones.len().max(1)];
        for server in self.servers.0.values().filter(|server| server.state == State::Ready) {
            if let Some(location) = locations.get_mut(server.zone) {
                location.weight += if self.weights_are_sizes { server.weight } else { 1.0 };
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
        entry.insert(Out {
            session: key,
            number,
            server,
            to,
            stage: LegStage::Connecting,
            answer: Vec::new(),
            up_by,
            until,
            asked_at: now,
            timer: Some(timer),
            farewell: None,
        });
        self.sessions[key].legs.push((number, leg));
        debug!(
            "{}: leg {number} to server {server:x}, time-out {:.3} s",
            self.sessions[key].who(),
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
            Some(LegStage::Queued | LegStage::Connecting) => self.fail_leg(now, leg, Ending::Unreachable),
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
        let at = (now + pause).min(out.up_by).min(out.until);
        if let Some(old) = out.timer.replace(self.timers.set(at, TimerKind::Leg(leg))) {
            self.timers.cancel(old);
        }
    }

    /// Starts a postponed connection attempt again, or ends the leg where its time is over.
    pub(super) fn retry_connect(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        out.timer = None;
        if now >= out.up_by.min(out.until) {
            return self.fail_leg(now, leg, Ending::NotSent);
        }
        out.stage = LegStage::Connecting;
        out.timer = Some(self.timers.set(out.up_by, TimerKind::Leg(leg)));
        let to = out.to;
        self.effects.push(Effect::Connect(leg, to));
    }

    /// Schedules another attempt to restore a connection, or gives up where the client's waiting time is over.
    pub(super) fn retry_restore(&mut self, now: f64, key: usize) {
        let until = self.sessions[key].returning.as_ref().map_or(now, |(_, wanted)| wanted.until);
        if now < until {
            self.replace_stage_timer(key, Some((now + 0.1).min(until)));
        } else {
            self.send_final_answer(now, key, answers::FAILED.to_vec(), AnswerReason::NotPutBack);
        }
    }

    /// The leg's connection is established: sends its request if that is still allowed.
    pub(super) fn handle_connected(&mut self, now: f64, leg: usize) {
        let Some(out) = self.legs.get(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        let session = &self.sessions[out.session];
        // The server may have been drained, removed, restarted or moved since the leg was started. Without these checks
        // such legs still sent their requests, even after the drain's grace period where connecting took longer than
        // that.
        let address_unchanged = self.servers.0.get(&out.server).is_some_and(|s| s.dial == Some(out.to));
        let still_allowed = session.call.as_ref().is_none_or(|call| call.may_go(now, out.number));
        if !address_unchanged || !still_allowed || now >= out.until {
            return self.fail_leg(now, leg, Ending::NotSent);
        }
        if !self.may_send(now, leg) {
            return self.fail_leg(now, leg, Ending::NotSent);
        }
        let out = &self.legs[leg];
        let session = &self.sessions[out.session];
        let timeout_range = session.wait.clone();
        let timeout_ms = ((out.until - now) * 1000.0).max(1.0) as u64;
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
                let full = matches!(first(&out.answer), Ok(Some(end)) if word(trimmed(&out.answer[..end])) == Word::Busy);
                self.fail_leg(now, leg, if full { Ending::Full } else { Ending::Unreachable });
            }
            LegStage::Asked => {
                out.answer.extend_from_slice(bytes);
                let end = match first(&out.answer) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.fail_leg(now, leg, Ending::Error),
                };
                match word(trimmed(&out.answer[..end])) {
                    Word::Up => self.establish(now, leg),
                    Word::Busy => self.fail_leg(now, leg, Ending::Full),
                    Word::Move => self.fail_leg(now, leg, Ending::Cancelled),
                    _ => self.fail_leg(now, leg, Ending::Error),
                }
            }
            LegStage::Standing => self.forward_to_client(now, leg, bytes),
            LegStage::Parting => self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len())),
        }
    }

    /// The server has accepted the call: forwards its answer to the client, and everything that follows.
    pub(super) fn establish(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        let (key, number, server, asked_at) = (out.session, out.number, out.server, out.asked_at);
        let answer = std::mem::take(&mut out.answer);
        out.stage = LegStage::Standing;
        if let Some(timer) = out.timer.take() {
            self.timers.cancel(timer);
        }
        let session = &mut self.sessions[key];
        session.stage = Stage::Standing;
        session.head = Vec::new();
        debug!(
            "{}: established at server {server:x}, {:.3} s after the request was sent",
            session.who(),
            now - asked_at
        );
        if let Some((_, wanted)) = session.returning.take() {
            let call = self.balancer.adopt(now, session.id, wanted, server);
            session.call = Some(call);
        } else if let Some(call) = &session.call {
            call.established(now, number);
        }
        // Ends the other legs that are out. A call without attempts is a restored connection.
        let (traffic, is_new_call) = (session.traffic, session.sent > 0);
        let others: Vec<usize> = session.legs.iter().map(|(_, l)| *l).filter(|l| *l != leg).collect();
        for other in others {
            self.end_leg(now, other, Ending::Cancelled, false, CloseKind::Abortive);
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
            let slowdown = address.pace.set_up(
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
        let (key, farewell) = (out.session, out.farewell);
        match out.stage {
            LegStage::Queued | LegStage::Connecting => self.fail_leg(now, leg, Ending::Unreachable),
            LegStage::Asked => self.fail_leg(now, leg, Ending::Broken),
            LegStage::Parting => self.close_session(now, key, CloseKind::Graceful, CloseReason::ServerEnded),
            LegStage::Standing => {
                if farewell.is_none() && self.sessions[key].down.between() {
                    // Lost without an announcement: a client that is sent `MOVE` reconnects sooner than one that is cut
                    // off.
                    return self.move_client(now, key, Ending::Broken);
                }
                let ending = farewell.unwrap_or(Ending::Broken);
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
    pub(super) fn fail_leg(&mut self, now: f64, leg: usize, ending: Ending) {
        let Some(out) = self.legs.get(leg) else { return };
        let key = out.session;
        let returning = self.sessions[key].stage == Stage::Returning;
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
        ending: Ending,
        last: bool,
    ) {
        if let Some(call) = self.sessions[key].call.clone() {
            call.ended(now, number, ending, last);
        }
    }

    /// Reports the end of a leg to its call, unless that was done when the leg began closing.
    pub(super) fn report_leg_end(&mut self, now: f64, leg: usize, ending: Ending, last: bool) {
        let (key, number) = (self.legs[leg].session, self.legs[leg].number);
        if self.legs[leg].stage != LegStage::Parting {
            self.report_attempt_end(now, key, number, ending, last);
        }
    }

    /// Ends a leg and frees its slot, timer, buffer and socket. This is the only place that does so.
    pub(super) fn end_leg(&mut self, now: f64, leg: usize, ending: Ending, last: bool, kind: CloseKind) {
        self.report_leg_end(now, leg, ending, last);
        let out = self.legs.remove(leg);
        self.counters.endings.count(ending_name(ending));
        let session = &mut self.sessions[out.session];
        if out.stage == LegStage::Asked && !matches!(ending, Ending::Full | Ending::NotSent) {
            if let Some(server) = self.servers.0.get(&out.server) {
                session.ran.get_or_insert(Sent { at: out.asked_at, zone: server.zone, cell: server.cell });
            }
        }
        debug!("{}: leg {} at server {:x} ended: {ending:?}", session.who(), out.number, out.server);
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
            self.end_leg(now, leg, Ending::Cancelled, true, kind);
        }
    }
}
