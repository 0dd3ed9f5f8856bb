//! Legs: dialled, asked, answered, ended.

use super::{CloseKind, Due, Effect, Endpoint, Reducer, SETUPS, TO_REFUSE};
use crate::guard::cold_start::LocationLoad;
use crate::guard::{RepeatFacts, SendFacts, SentAttempt};
use crate::state::counters::{AnswerReason, CloseReason};
use crate::state::sessions::{LegStage, LogId, ServerLeg, SessionStage};
use crate::wire::answers::{self, parse_server_message, ServerMessage};
use crate::wire::lines::{first_line_end, trim_line_end};
use dewhead::types::{LegOutcome, ServerState};
use log::debug;

/// A connection that could not be begun is tried again so many times while it may come up, evenly.
const REDIALS: f64 = 20.0;

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
    pub(super) fn send(&mut self, now: f64, key: usize, server: u64, limit: f64) {
        let allowed = self.may_repeat(now, key, server);
        let session = &mut self.sessions[key];
        let number = session.legs_sent;
        session.legs_sent += 1;
        self.counters.attempts += 1;
        self.counters.retries += u64::from(number > 0);
        if !allowed || !self.dial_as(now, key, server, now + limit, number) {
            self.tell_ended(now, key, number, LegOutcome::NotSent, false);
        }
    }

    /// Whether the guard lets a further attempt of this call go to that server.
    fn may_repeat(&mut self, now: f64, key: usize, server: u64) -> bool {
        let session = &self.sessions[key];
        let (Some(rules), Some(to)) = (self.traffic.get(session.traffic), self.servers.0.get(&server)) else {
            return true;
        };
        let facts = RepeatFacts {
            effect: rules.idempotency,
            repeat_window: rules.repeat_window,
            attempts_out: session.legs.len(),
            two_at_once: self.two_at_once,
            may_have_run: session.may_have_run,
            target: SentAttempt { at: now, zone: to.zone, cell: to.cell },
        };
        self.guard.may_repeat(&facts, &session.log_id()).is_ok()
    }

    /// Whether the guard lets the leg's request go out now.
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
        let who = session.log_id();
        if self.guard.may_send(&facts, &who).is_err() {
            return false;
        }
        // A connection that is put back stood there before, and is no new load.
        if returning {
            return true;
        }
        let id = out.server;
        self.may_start(now, id, &who)
    }

    /// Whether a server may be sent a request by the rule about those that have just started.
    fn may_start(&mut self, now: f64, id: u64, who: &LogId) -> bool {
        let Some(server) = self.servers.0.get(&id) else { return true };
        let Some(age) = server.started.map(|at| now - at).filter(|age| self.cold_start.is_cold(*age)) else {
            return true;
        };
        let weight = if self.weights_are_sizes { server.weight } else { 1.0 };
        let carried = self.carried();
        self.cold_start.observe(&carried);
        let most = self.cold_start.max_requests(weight, age);
        let window = self.cold_start.window();
        let Some(server) = self.servers.0.get_mut(&id) else { return true };
        while server.recent_sends.front().is_some_and(|at| *at <= now - window) {
            server.recent_sends.pop_front();
        }
        let allowed = self.guard.may_send_in_slow_start(server.recent_sends.len(), most, who).is_ok();
        if allowed {
            server.recent_sends.push_back(now);
        }
        allowed
    }

    /// What stands at each location's servers, and the weight of those that are ready.
    fn carried(&self) -> Vec<LocationLoad> {
        let mut locations =
            vec![LocationLoad { connections: 0, ready_weight: 0.0 }; self.known.zones.len().max(1)];
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

    /// Puts a connection back to the server that held it.
    pub(super) fn dial(&mut self, now: f64, key: usize, server: u64, until: f64) {
        if !self.dial_as(now, key, server, until, 0) {
            self.again(now, key);
        }
    }

    pub(super) fn dial_as(&mut self, now: f64, key: usize, server: u64, until: f64, number: usize) -> bool {
        let to = self.servers.0.get(&server).and_then(|s| s.dial);
        let Some(to) = to.filter(|_| self.descriptors.used + TO_REFUSE < self.descriptors.most) else {
            return false;
        };
        let entry = self.legs.vacant_entry();
        let leg = entry.key();
        let up_by = (now + self.connect_limit).min(until);
        let timer = self.timers.set(up_by, Due::Leg(leg));
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
            "{}: leg {number} to server {server:x}, for {:.3} s",
            self.sessions[key].log_id(),
            until - now
        );
        self.descriptors.used += 1;
        self.effects.push(Effect::Connect(leg, to));
        true
    }

    /// The connection did not come up. Told of one that is up, it has broken, and what went out on it may have run.
    pub(super) fn refused(&mut self, now: f64, leg: usize) {
        match self.legs.get(leg).map(|out| out.stage) {
            Some(LegStage::Queued | LegStage::Connecting) => {
                self.leg_failed(now, leg, LegOutcome::Unreachable)
            }
            Some(_) => self.server_closed(now, leg, CloseKind::Abortive),
            None => {}
        }
    }

    /// The connection could not be begun: no descriptor, no memory or no local port for a moment. Its server has nothing
    /// to do with that, and the call has its time still.
    pub(super) fn dial_later(&mut self, now: f64, leg: usize) {
        let pause = self.connect_limit.min(self.longest_guard) / REDIALS;
        let Some(out) = self.legs.get_mut(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        out.stage = LegStage::Queued;
        let at = (now + pause).min(out.connect_by).min(out.answer_by);
        if let Some(old) = out.timer.replace(self.timers.set(at, Due::Leg(leg))) {
            self.timers.cancel(old);
        }
    }

    pub(super) fn redial(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        out.timer = None;
        if now >= out.connect_by.min(out.answer_by) {
            return self.leg_failed(now, leg, LegOutcome::NotSent);
        }
        out.stage = LegStage::Connecting;
        out.timer = Some(self.timers.set(out.connect_by, Due::Leg(leg)));
        let to = out.address;
        self.effects.push(Effect::Connect(leg, to));
    }

    /// A connection that could not be put back is tried again, until its client has waited long enough.
    pub(super) fn again(&mut self, now: f64, key: usize) {
        let until = self.sessions[key].restoring.as_ref().map_or(now, |(_, wanted)| wanted.deadline);
        if now < until {
            self.replace_timer(key, Some((now + 0.1).min(until)));
        } else {
            self.answer(now, key, answers::ERR.to_vec(), AnswerReason::RestoreFailed);
        }
    }

    pub(super) fn connected(&mut self, now: f64, leg: usize) {
        let Some(out) = self.legs.get(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        let session = &self.sessions[out.session];
        // Dialled before a drain was told, or before its server was gone, started anew or moved, and up after it: such
        // legs were asked all the same, after the grace where connections take longer than that to come up.
        let there = self.servers.0.get(&out.server).is_some_and(|s| s.dial == Some(out.address));
        let may_go = session.call.as_ref().is_none_or(|call| call.may_send_now(now, out.number));
        if !there || !may_go || now >= out.answer_by {
            return self.leg_failed(now, leg, LegOutcome::NotSent);
        }
        if !self.may_send(now, leg) {
            return self.leg_failed(now, leg, LegOutcome::NotSent);
        }
        let out = &self.legs[leg];
        let session = &self.sessions[out.session];
        let timeout_range = session.wait_range.clone();
        let timeout_ms = ((out.answer_by - now) * 1000.0).max(1.0) as u64;
        self.effects.push(Effect::SendHead { leg, session: out.session, timeout_range, timeout_ms });
    }

    pub(super) fn server_said(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(out) = self.legs.get_mut(leg) else { return };
        let key = out.session;
        match out.stage {
            // Whatever it answers, it has not had the line: only of a full server that is a word.
            LegStage::Queued | LegStage::Connecting => {
                out.answer.extend_from_slice(bytes);
                let full = matches!(first_line_end(&out.answer), Ok(Some(end)) if parse_server_message(trim_line_end(&out.answer[..end])) == ServerMessage::Busy);
                self.leg_failed(now, leg, if full { LegOutcome::Full } else { LegOutcome::Unreachable });
            }
            LegStage::AwaitingAnswer => {
                out.answer.extend_from_slice(bytes);
                let end = match first_line_end(&out.answer) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.leg_failed(now, leg, LegOutcome::Error),
                };
                match parse_server_message(trim_line_end(&out.answer[..end])) {
                    ServerMessage::Up => self.up(now, leg),
                    ServerMessage::Busy => self.leg_failed(now, leg, LegOutcome::Full),
                    ServerMessage::Move => self.leg_failed(now, leg, LegOutcome::Cancelled),
                    _ => self.leg_failed(now, leg, LegOutcome::Error),
                }
            }
            LegStage::Established => self.pass_down(now, leg, bytes),
            LegStage::Closing => self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len())),
        }
    }

    /// The server has taken the connection: what it said goes to the client, and all that follows.
    pub(super) fn up(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        let (key, number, server, asked_at) = (out.session, out.number, out.server, out.head_sent_at);
        let said = std::mem::take(&mut out.answer);
        out.stage = LegStage::Established;
        if let Some(timer) = out.timer.take() {
            self.timers.cancel(timer);
        }
        let session = &mut self.sessions[key];
        session.stage = SessionStage::Established;
        session.first_line = Vec::new();
        debug!(
            "{}: stands at server {server:x}, {:.3} s after it was asked",
            session.log_id(),
            now - asked_at
        );
        if let Some((_, wanted)) = session.restoring.take() {
            let call = self.balancer.adopt_connection(now, session.id, wanted, server);
            session.call = Some(call);
        } else if let Some(call) = &session.call {
            call.on_established(now, number);
        }
        // Others that were out at the same time are called off.
        let (traffic, fresh) = (session.traffic, session.legs_sent > 0);
        let others: Vec<usize> = session.legs.iter().map(|(_, l)| *l).filter(|l| *l != leg).collect();
        for other in others {
            self.end_leg(now, other, LegOutcome::Cancelled, false, CloseKind::Abortive);
        }
        self.replace_timer(key, None);
        self.replace_wake(key, None);
        if let Some(at) = self.stopping {
            let leave = self.leave_at(at).max(now);
            let wake = self.timers.set(leave, Due::Leave(key));
            self.replace_wake(key, Some(wake));
        }
        let judged = fresh && self.tells(now - asked_at);
        if let Some(address) = self.servers.0.get_mut(&server).filter(|_| judged) {
            let ran = now - address.started.map_or(self.began, |started| started.max(self.began));
            let fades = 4.0 * self.longest_guard;
            let slower =
                address.set_up_latency.record(&mut self.kinds, traffic, now - asked_at, (now, ran), fades);
            self.messages_take(now, leg, SETUPS, slower * self.slow_unit);
        }
        self.watch_lines(now, leg, &said);
        self.effects.push(Effect::Write(Endpoint::Client(key), said));
    }

    pub(super) fn server_closed(&mut self, now: f64, leg: usize, how: CloseKind) {
        let Some(out) = self.legs.get(leg) else { return };
        let (key, farewell) = (out.session, out.announced_ending);
        match out.stage {
            LegStage::Queued | LegStage::Connecting => self.leg_failed(now, leg, LegOutcome::Unreachable),
            LegStage::AwaitingAnswer => self.leg_failed(now, leg, LegOutcome::Broken),
            LegStage::Closing => self.close_all(now, key, CloseKind::Graceful, CloseReason::ServerEnded),
            LegStage::Established => {
                if farewell.is_none() && self.sessions[key].from_server.is_between_lines() {
                    // Lost without a word: its client comes again sooner when told to than when cut off.
                    return self.move_away(now, key, LegOutcome::Broken);
                }
                let ending = farewell.unwrap_or(LegOutcome::Broken);
                self.end_leg(now, leg, ending, true, how);
                self.part(now, key);
                match how {
                    CloseKind::Graceful => self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key))),
                    CloseKind::Abortive => {
                        self.close_all(now, key, CloseKind::Abortive, CloseReason::ServerReset)
                    }
                }
            }
        }
    }

    /// A leg that brought no connection.
    pub(super) fn leg_failed(&mut self, now: f64, leg: usize, ending: LegOutcome) {
        let Some(out) = self.legs.get(leg) else { return };
        let key = out.session;
        let returning = self.sessions[key].stage == SessionStage::Restoring;
        self.end_leg(now, leg, ending, false, CloseKind::Abortive);
        if returning {
            self.again(now, key);
        }
    }

    pub(super) fn tell_ended(&mut self, now: f64, key: usize, number: usize, ending: LegOutcome, last: bool) {
        if let Some(call) = self.sessions[key].call.clone() {
            call.on_leg_ended(now, number, ending, last);
        }
    }

    pub(super) fn tell_leg_ended(&mut self, now: f64, leg: usize, ending: LegOutcome, last: bool) {
        let (key, number) = (self.legs[leg].session, self.legs[leg].number);
        if self.legs[leg].stage != LegStage::Closing {
            self.tell_ended(now, key, number, ending, last);
        }
    }

    /// The one place where a leg is given back, with its timer, its buffer and its socket.
    pub(super) fn end_leg(&mut self, now: f64, leg: usize, ending: LegOutcome, last: bool, how: CloseKind) {
        self.tell_leg_ended(now, leg, ending, last);
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
        debug!("{}: leg {} at server {:x} ends: {ending:?}", session.log_id(), out.number, out.server);
        if let Some(timer) = out.timer {
            self.timers.cancel(timer);
        }
        self.sessions[out.session].legs.retain(|(_, l)| *l != leg);
        self.effects.push(Effect::Close(Endpoint::Server(leg), how));
        self.descriptors.used -= 1;
        self.weigh(now);
    }

    pub(super) fn end_legs(&mut self, now: f64, key: usize, how: CloseKind) {
        while let Some((_, leg)) = self.sessions[key].legs.first().copied() {
            self.end_leg(now, leg, LegOutcome::Cancelled, true, how);
        }
    }
}
