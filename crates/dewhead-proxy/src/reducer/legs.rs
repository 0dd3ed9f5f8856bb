//! Legs: dialled, asked, answered, ended.

use super::{CloseKind, Due, Effect, Endpoint, Reducer, SETUPS, TO_REFUSE};
use crate::guard::cold_start::Carried;
use crate::guard::{Repeating, Sending, Sent};
use crate::memory::counters::{AnswerReason, CloseReason};
use crate::memory::sessions::{LegStage, Out, Stage, Who};
use crate::wire::answers::{self, word, Word};
use crate::wire::lines::{first, trimmed};
use dewhead::terms::{Ending, State};
use log::debug;

/// A connection that could not be begun is tried again so many times while it may come up, evenly.
const REDIALS: f64 = 20.0;

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
    pub(super) fn send(&mut self, now: f64, key: usize, server: u64, limit: f64) {
        let allowed = self.may_repeat(now, key, server);
        let session = &mut self.sessions[key];
        let number = session.sent;
        session.sent += 1;
        self.counters.attempts += 1;
        self.counters.retries += u64::from(number > 0);
        if !allowed || !self.dial_as(now, key, server, now + limit, number) {
            self.tell_ended(now, key, number, Ending::NotSent, false);
        }
    }

    /// Whether the guard lets a further attempt of this call go to that server.
    fn may_repeat(&mut self, now: f64, key: usize, server: u64) -> bool {
        let session = &self.sessions[key];
        let (Some(rules), Some(to)) = (self.traffic.get(session.traffic), self.servers.0.get(&server)) else {
            return true;
        };
        let facts = Repeating {
            effect: rules.effect,
            window: rules.window,
            out: session.legs.len(),
            two_at_once: self.two_at_once,
            ran: session.ran,
            to: Sent { at: now, zone: to.zone, cell: to.cell },
        };
        self.guard.may_repeat(&facts, &session.who()).is_ok()
    }

    /// Whether the guard lets the leg's request go out now.
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
        let who = session.who();
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
    fn may_start(&mut self, now: f64, id: u64, who: &Who) -> bool {
        let Some(server) = self.servers.0.get(&id) else { return true };
        let Some(age) = server.started.map(|at| now - at).filter(|age| self.cold_start.is_cold(*age)) else {
            return true;
        };
        let weight = if self.weights_are_sizes { server.weight } else { 1.0 };
        let carried = self.carried();
        self.cold_start.observe(&carried);
        let most = self.cold_start.most(weight, age);
        let window = self.cold_start.window();
        let Some(server) = self.servers.0.get_mut(&id) else { return true };
        while server.recent.front().is_some_and(|at| *at <= now - window) {
            server.recent.pop_front();
        }
        let allowed = self.guard.may_start(server.recent.len(), most, who).is_ok();
        if allowed {
            server.recent.push_back(now);
        }
        allowed
    }

    /// What stands at each location's servers, and the weight of those that are ready.
    fn carried(&self) -> Vec<Carried> {
        let mut locations = vec![Carried { connections: 0, weight: 0.0 }; self.known.zones.len().max(1)];
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

    /// The connection did not come up. Told of one that is up, it has broken, and what went out on it may have run.
    pub(super) fn refused(&mut self, now: f64, leg: usize) {
        match self.legs.get(leg).map(|out| out.stage) {
            Some(LegStage::Queued | LegStage::Connecting) => self.leg_failed(now, leg, Ending::Unreachable),
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
        let at = (now + pause).min(out.up_by).min(out.until);
        if let Some(old) = out.timer.replace(self.timers.set(at, Due::Leg(leg))) {
            self.timers.cancel(old);
        }
    }

    pub(super) fn redial(&mut self, now: f64, leg: usize) {
        let out = &mut self.legs[leg];
        out.timer = None;
        if now >= out.up_by.min(out.until) {
            return self.leg_failed(now, leg, Ending::NotSent);
        }
        out.stage = LegStage::Connecting;
        out.timer = Some(self.timers.set(out.up_by, Due::Leg(leg)));
        let to = out.to;
        self.effects.push(Effect::Connect(leg, to));
    }

    /// A connection that could not be put back is tried again, until its client has waited long enough.
    pub(super) fn again(&mut self, now: f64, key: usize) {
        let until = self.sessions[key].returning.as_ref().map_or(now, |(_, wanted)| wanted.until);
        if now < until {
            self.replace_timer(key, Some((now + 0.1).min(until)));
        } else {
            self.answer(now, key, answers::FAILED.to_vec(), AnswerReason::NotPutBack);
        }
    }

    pub(super) fn connected(&mut self, now: f64, leg: usize) {
        let Some(out) = self.legs.get(leg).filter(|l| l.stage == LegStage::Connecting) else { return };
        let session = &self.sessions[out.session];
        // Dialled before a drain was told, or before its server was gone, started anew or moved, and up after it: such
        // legs were asked all the same, after the grace where connections take longer than that to come up.
        let there = self.servers.0.get(&out.server).is_some_and(|s| s.dial == Some(out.to));
        let may_go = session.call.as_ref().is_none_or(|call| call.may_go(now, out.number));
        if !there || !may_go || now >= out.until {
            return self.leg_failed(now, leg, Ending::NotSent);
        }
        if !self.may_send(now, leg) {
            return self.leg_failed(now, leg, Ending::NotSent);
        }
        let out = &self.legs[leg];
        let session = &self.sessions[out.session];
        let timeout_range = session.wait.clone();
        let timeout_ms = ((out.until - now) * 1000.0).max(1.0) as u64;
        self.effects.push(Effect::SendHead { leg, session: out.session, timeout_range, timeout_ms });
    }

    pub(super) fn server_said(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(out) = self.legs.get_mut(leg) else { return };
        let key = out.session;
        match out.stage {
            // Whatever it answers, it has not had the line: only of a full server that is a word.
            LegStage::Queued | LegStage::Connecting => {
                out.answer.extend_from_slice(bytes);
                let full = matches!(first(&out.answer), Ok(Some(end)) if word(trimmed(&out.answer[..end])) == Word::Busy);
                self.leg_failed(now, leg, if full { Ending::Full } else { Ending::Unreachable });
            }
            LegStage::Asked => {
                out.answer.extend_from_slice(bytes);
                let end = match first(&out.answer) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.leg_failed(now, leg, Ending::Error),
                };
                match word(trimmed(&out.answer[..end])) {
                    Word::Up => self.up(now, leg),
                    Word::Busy => self.leg_failed(now, leg, Ending::Full),
                    Word::Move => self.leg_failed(now, leg, Ending::Cancelled),
                    _ => self.leg_failed(now, leg, Ending::Error),
                }
            }
            LegStage::Standing => self.pass_down(now, leg, bytes),
            LegStage::Parting => self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len())),
        }
    }

    /// The server has taken the connection: what it said goes to the client, and all that follows.
    pub(super) fn up(&mut self, now: f64, leg: usize) {
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
        // Others that were out at the same time are called off.
        let (traffic, fresh) = (session.traffic, session.sent > 0);
        let others: Vec<usize> = session.legs.iter().map(|(_, l)| *l).filter(|l| *l != leg).collect();
        for other in others {
            self.end_leg(now, other, Ending::Cancelled, false, CloseKind::Abortive);
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
            let slower = address.pace.set_up(&mut self.kinds, traffic, now - asked_at, (now, ran), fades);
            self.messages_take(now, leg, SETUPS, slower * self.slow_unit);
        }
        self.watch_lines(now, leg, &said);
        self.effects.push(Effect::Write(Endpoint::Client(key), said));
    }

    pub(super) fn server_closed(&mut self, now: f64, leg: usize, how: CloseKind) {
        let Some(out) = self.legs.get(leg) else { return };
        let (key, farewell) = (out.session, out.farewell);
        match out.stage {
            LegStage::Queued | LegStage::Connecting => self.leg_failed(now, leg, Ending::Unreachable),
            LegStage::Asked => self.leg_failed(now, leg, Ending::Broken),
            LegStage::Parting => self.close_all(now, key, CloseKind::Graceful, CloseReason::ServerEnded),
            LegStage::Standing => {
                if farewell.is_none() && self.sessions[key].down.between() {
                    // Lost without a word: its client comes again sooner when told to than when cut off.
                    return self.move_away(now, key, Ending::Broken);
                }
                let ending = farewell.unwrap_or(Ending::Broken);
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
    pub(super) fn leg_failed(&mut self, now: f64, leg: usize, ending: Ending) {
        let Some(out) = self.legs.get(leg) else { return };
        let key = out.session;
        let returning = self.sessions[key].stage == Stage::Returning;
        self.end_leg(now, leg, ending, false, CloseKind::Abortive);
        if returning {
            self.again(now, key);
        }
    }

    pub(super) fn tell_ended(&mut self, now: f64, key: usize, number: usize, ending: Ending, last: bool) {
        if let Some(call) = self.sessions[key].call.clone() {
            call.ended(now, number, ending, last);
        }
    }

    pub(super) fn tell_leg_ended(&mut self, now: f64, leg: usize, ending: Ending, last: bool) {
        let (key, number) = (self.legs[leg].session, self.legs[leg].number);
        if self.legs[leg].stage != LegStage::Parting {
            self.tell_ended(now, key, number, ending, last);
        }
    }

    /// The one place where a leg is given back, with its timer, its buffer and its socket.
    pub(super) fn end_leg(&mut self, now: f64, leg: usize, ending: Ending, last: bool, how: CloseKind) {
        self.tell_leg_ended(now, leg, ending, last);
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
        self.effects.push(Effect::Close(Endpoint::Server(leg), how));
        self.descriptors.used -= 1;
        self.weigh(now);
    }

    pub(super) fn end_legs(&mut self, now: f64, key: usize, how: CloseKind) {
        while let Some((_, leg)) = self.sessions[key].legs.first().copied() {
            self.end_leg(now, leg, Ending::Cancelled, true, how);
        }
    }
}
