//! A plain proxy that keeps the four rules and places by one of the baselines' policies, with nothing learned: what
//! dewhead is measured against. It can be broken on purpose, to try the auditor.

use crate::policy::{Policy, SharedSnapshots};
use crate::simulated::Proxy;
use dewhead::types::{Idempotency as Repeat, RepeatScope, ServerState, TrafficType};
use dewhead_proxy::reducer::{CloseKind, Effect, Endpoint, Event};
use dewhead_proxy::wire::answers::{parse_server_message, ServerMessage};
use dewhead_proxy::wire::first_line::{parse_first_line, FirstLine};
use dewhead_proxy::wire::http::WatchResponse;
use dewhead_proxy::wire::lines::{first_line_end, trim_line_end, LineScanner};
use dewhead_proxy::wire::server_list::{parse_list, server_id};
use dewhead_startup::{Known, Startup};
use dewhead_world::experiment::Experiment;
use oorandom::Rand64;
use serde_json::Value;
use slab::Slab;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a broken one does wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    /// Says `ERR` behind a `BUSY`.
    AnswersTwice,
    /// Closes a client's link without an answer, now and then.
    ClosesUnanswered,
    /// Forgets calls, now and then, and lets them wait for ever.
    NeverAnswers,
    /// Serves with a receipt that no server gave.
    FabricatesAnswers,
    /// Goes on sending to nodes that drain.
    IgnoresDrains,
    /// Sends all to the newest node.
    FloodsColdNodes,
    /// Sends a second leg while the first is out.
    OverlapsLegs,
    /// Sends one leg more than is allowed.
    ExceedsMaxLegs,
    /// Sends once-only calls again after a leg that may have run.
    RepeatsOnceOnly,
    /// Rejects once-only calls that may have run.
    RejectsPossiblyExecuted,
    /// Sends referenced calls that may have run to any node.
    IgnoresRepeatScope,
    /// Cuts standing connections off.
    ClosesEstablished,
    /// Holds lines back for two seconds.
    DelaysLines,
    /// Changes a line on its way.
    CorruptsLines,
    /// Keeps clients whose server has ended.
    KeepsOrphanedClients,
    /// Ends its process at a stop with connections standing.
    ExitsImmediately,
}

pub const ALL_FAULTS: [Fault; 16] = [
    Fault::AnswersTwice,
    Fault::ClosesUnanswered,
    Fault::NeverAnswers,
    Fault::FabricatesAnswers,
    Fault::IgnoresDrains,
    Fault::FloodsColdNodes,
    Fault::OverlapsLegs,
    Fault::ExceedsMaxLegs,
    Fault::RepeatsOnceOnly,
    Fault::RejectsPossiblyExecuted,
    Fault::IgnoresRepeatScope,
    Fault::ClosesEstablished,
    Fault::DelaysLines,
    Fault::CorruptsLines,
    Fault::KeepsOrphanedClients,
    Fault::ExitsImmediately,
];

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Stage {
    Greeting,
    Calling,
    Standing,
    Parting,
}

struct Session {
    stage: Stage,
    head: Vec<u8>,
    wait: std::ops::Range<usize>,
    kind: usize,
    until: f64,
    target: f64,
    /// For one that is put back: its node.
    at: Option<u64>,
    leg: Option<usize>,
    sent: u32,
    tried: Vec<u64>,
    /// The first leg that may have run: its zone, its cell, when.
    ran: Option<(usize, u64, f64)>,
    /// Its oldest line that has brought nothing back, and its load as told.
    unanswered: Option<f64>,
    load: f64,
    down: LineScanner,
    moving: bool,
    timer: u64,
    /// Tells this holder of the slot from later ones.
    born: u64,
}

struct Leg {
    session: usize,
    node: u64,
    sent: bool,
    up: bool,
    answer: Vec<u8>,
    farewell: bool,
    until: f64,
    held: Vec<u8>,
}

struct Node {
    name: String,
    zone: usize,
    cell: u64,
    dial: SocketAddr,
    ready: bool,
    started: Option<f64>,
    held: u32,
    /// While cold: how many more may be sent, and as of when.
    budget: f64,
    budget_at: f64,
}

enum Due {
    Session(usize, u64),
    Leg(usize, u64),
    Leave(usize, u64),
    Watch,
    Even,
    Exit,
    Hold(usize),
}

pub struct BaselineProxy {
    policy: Policy,
    fault: Option<Fault>,
    truths: SharedSnapshots,
    chance: Rand64,
    traffic: Vec<TrafficType>,
    known: Known,
    groups: bool,
    most_legs: u32,
    stay_away: f64,
    connect_limit: f64,
    longest_guard: f64,
    warm_after: f64,
    siblings: f64,
    crossing: f64,
    home: usize,
    nodes: BTreeMap<u64, Node>,
    turn: usize,
    sessions: Slab<Session>,
    legs: Slab<Leg>,
    serial: u64,
    timers: BTreeMap<(u64, u64), Due>,
    answer: Option<WatchResponse>,
    version: u64,
    discovery: SocketAddr,
    stopping: Option<f64>,
    effects: Vec<Effect>,
}

/// A client whose line has brought nothing back for so long is moved.
const SILENT: f64 = 5.0;
/// The watch is asked for again after this.
const WATCH_AGAIN: f64 = 0.3;
const WATCH_SILENT: f64 = 2.6;
/// The top moves connections off overdriven nodes this often.
const EVEN: f64 = 0.25;
/// And fills nodes up to this part of what they can do.
const FULL: f64 = 0.93;
/// Every so many-th thing goes wrong with one that is broken.
const WRONG: u64 = 7;

impl BaselineProxy {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: f64,
        startup: Startup,
        of: &Experiment,
        position: usize,
        seed: u128,
        discovery: SocketAddr,
        remembered: &Value,
        policy: Policy,
        fault: Option<Fault>,
        truths: SharedSnapshots,
    ) -> BaselineProxy {
        let (connect_limit, longest_guard, groups) =
            (startup.connect_limit, startup.longest_guard, startup.groups);
        let (traffic, known) = startup.traffic_and_names();
        let mut plain = BaselineProxy {
            policy,
            fault,
            truths,
            chance: Rand64::new(seed),
            traffic,
            known,
            groups,
            most_legs: of.rules.max_legs,
            stay_away: of.rules.max_retry_after,
            connect_limit,
            longest_guard,
            warm_after: of.machines.iter().map(|m| m.warm_up_time[1]).fold(0.0, f64::max),
            siblings: of.fleet.proxies as f64,
            crossing: of.rules.cross_zone_cost,
            home: position % of.fleet.zones.len(),
            nodes: BTreeMap::new(),
            turn: 0,
            sessions: Slab::new(),
            legs: Slab::new(),
            serial: 0,
            timers: BTreeMap::new(),
            answer: None,
            version: 0,
            discovery,
            stopping: None,
            effects: Vec::new(),
        };
        plain.list(now, remembered);
        plain.follow(now);
        if policy == Policy::Oracle {
            plain.set(now + EVEN, Due::Even);
        }
        plain
    }

    fn set(&mut self, at: f64, what: Due) {
        self.serial += 1;
        self.timers.insert(((at.max(0.0) * 1e6) as u64, self.serial), what);
    }

    fn follow(&mut self, now: f64) {
        self.effects.push(Effect::OpenWatch(self.discovery, self.version));
        self.set(now + WATCH_SILENT, Due::Watch);
    }

    fn broken(&mut self, fault: Fault) -> bool {
        self.fault == Some(fault) && self.chance.rand_u64().is_multiple_of(WRONG)
    }

    fn list(&mut self, now: f64, told: &Value) {
        let Ok((version, whole, entries)) = parse_list(told, &self.known.zones) else { return };
        self.version = version;
        let names: Vec<String> = told["hosts"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|h| h["host"].as_str().unwrap_or("").to_owned())
            .collect();
        if whole {
            let gone: Vec<u64> =
                self.nodes.keys().copied().filter(|id| !entries.iter().any(|(l, _)| l.id == *id)).collect();
            gone.into_iter().for_each(|id| self.lose_node(now, id));
        }
        for ((listed, dial), name) in entries.into_iter().zip(names) {
            let ready = listed.state == ServerState::Ready || self.fault == Some(Fault::IgnoresDrains);
            match (listed.state, dial) {
                (ServerState::Gone, _) | (_, None) => self.lose_node(now, listed.id),
                (_, Some(dial)) => {
                    let held = self.nodes.get(&listed.id).map_or(0, |n| n.held);
                    let node = Node {
                        name,
                        zone: listed.zone,
                        cell: listed.cell,
                        dial,
                        ready,
                        started: listed.started,
                        held,
                        budget: 0.0,
                        budget_at: now,
                    };
                    self.nodes.insert(listed.id, node);
                }
            }
        }
    }

    fn lose_node(&mut self, now: f64, id: u64) {
        if self.nodes.remove(&id).is_some() && self.fault != Some(Fault::IgnoresDrains) {
            let there: Vec<usize> =
                self.legs.iter().filter(|(_, l)| l.node == id && l.up).map(|(_, l)| l.session).collect();
            there.into_iter().for_each(|key| self.move_away(now, key));
        }
    }

    /// Where a call goes, among the nodes that the rules leave it.
    fn pick(&mut self, now: f64, key: usize) -> Option<u64> {
        let session = &self.sessions[key];
        let kind = &self.traffic[session.kind];
        let leaves_group = self.fault == Some(Fault::IgnoresRepeatScope);
        let allowed = |node: &Node| match (kind.idempotency, session.ran) {
            (Repeat::Repeatable, _) | (_, None) => true,
            (Repeat::OnceOnly, Some(_)) => self.fault == Some(Fault::RepeatsOnceOnly),
            (Repeat::Referenced(_), _) if leaves_group => true,
            (Repeat::Referenced(group), Some((zone, cell, at))) => {
                now - at < 0.8 * kind.repeat_window
                    && match group {
                        RepeatScope::All => true,
                        RepeatScope::Zone => zone == node.zone,
                        RepeatScope::Cell => zone == node.zone && cell == node.cell,
                    }
            }
        };
        if self.fault == Some(Fault::FloodsColdNodes) {
            let newest = self.nodes.iter().filter(|(_, n)| n.ready && n.started.is_some());
            let newest = newest.max_by(|a, b| a.1.started.partial_cmp(&b.1.started).unwrap());
            if let Some((id, _)) = newest {
                return Some(*id);
            }
        }
        let mut fit: Vec<u64> = self
            .nodes
            .iter()
            .filter(|(id, n)| {
                n.ready && !session.tried.contains(id) && allowed(n) && self.warm_enough(now, n)
            })
            .map(|(id, _)| *id)
            .collect();
        if fit.is_empty() {
            return None;
        }
        let held = |id: &u64| self.nodes[id].held;
        match self.policy {
            Policy::Random => Some(fit[self.chance.rand_range(0..fit.len() as u64) as usize]),
            Policy::RoundRobin => {
                self.turn += 1;
                Some(fit[self.turn % fit.len()])
            }
            Policy::LeastOwnConnections => {
                let least = fit.iter().map(held).min()?;
                fit.retain(|id| self.nodes[id].held == least);
                Some(fit[self.chance.rand_range(0..fit.len() as u64) as usize])
            }
            Policy::TwoChoices => {
                let one = fit[self.chance.rand_range(0..fit.len() as u64) as usize];
                let two = fit[self.chance.rand_range(0..fit.len() as u64) as usize];
                Some(if held(&one) <= held(&two) { one } else { two })
            }
            Policy::Oracle => self.emptiest(&fit, self.sessions[key].load),
        }
    }

    /// By what is truly there: the node that this load leaves emptiest, home ones before others at like load.
    fn emptiest(&self, fit: &[u64], load: f64) -> Option<u64> {
        let mut truths = self.truths.borrow_mut();
        let mut best: Option<(f64, u64, usize)> = None;
        for id in fit {
            let name = &self.nodes[id].name;
            let Some(at) = truths.iter().position(|(n, _)| n == name) else { continue };
            let truth = &truths[at].1;
            if !truth.up || truth.error_share > 0.0 || truth.capacity <= 0.0 {
                continue;
            }
            let abroad = if truth.zone == self.home { 0.0 } else { self.crossing };
            let full = (truth.load + load) / truth.capacity + 0.2 * truth.queueing_delay;
            if full < FULL && best.is_none_or(|(least, ..)| full + abroad < least) {
                best = Some((full + abroad, *id, at));
            }
        }
        let (_, id, at) = best?;
        // What has just been placed is seen by the others too.
        truths[at].1.load += load;
        Some(id)
    }

    fn warm_enough(&self, now: f64, node: &Node) -> bool {
        let age = node.started.map_or(f64::INFINITY, |s| now - s);
        age >= self.warm_after || self.budget(now, node) >= 1.0
    }

    /// While a node is cold, a proxy sends it its part of what a crowd of one a second in all would be.
    fn budget(&self, now: f64, node: &Node) -> f64 {
        (node.budget + (now - node.budget_at).max(0.0) * (2.0 / self.siblings).max(0.1)).min(1.5)
    }

    fn next_leg(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        let most = self.most_legs + u32::from(self.fault == Some(Fault::ExceedsMaxLegs)) * 2;
        if session.sent >= most || now >= session.until {
            return self.give_up(now, key);
        }
        let Some(id) = session.at.or_else(|| self.pick(now, key)) else { return self.give_up(now, key) };
        if !self.nodes.contains_key(&id) {
            return self.give_up(now, key);
        }
        let session = &mut self.sessions[key];
        let left = session.until - now;
        let last = session.sent + 1 >= self.most_legs || session.at.is_some();
        let limit = if last { left } else { ((session.target - now) / 2.0).max(left / 8.0).min(left) };
        session.sent += 1;
        session.tried.push(id);
        let node = self.nodes.get_mut(&id).expect("looked up a moment ago");
        node.held += 1;
        if node.started.is_some() {
            let age = (now - node.budget_at).max(0.0);
            node.budget = (node.budget + age * (2.0 / self.siblings).max(0.1)).min(1.5) - 1.0;
            node.budget_at = now;
        }
        let dial = node.dial;
        let leg = self.legs.insert(Leg {
            session: key,
            node: id,
            sent: false,
            up: false,
            answer: Vec::new(),
            farewell: false,
            until: now + limit,
            held: Vec::new(),
        });
        self.sessions[key].leg = Some(leg);
        self.effects.push(Effect::Connect(leg, dial));
        let serial = self.serial + 1;
        self.sessions[key].timer = serial;
        self.set(now + self.connect_limit.min(limit), Due::Leg(leg, serial));
    }

    /// The leg is over; the call goes on with another, or is answered.
    fn leg_over(&mut self, now: f64, leg: usize, may_have_run: bool) {
        let key = self.legs[leg].session;
        self.drop_leg(leg, CloseKind::Abortive, may_have_run, now);
        if self.sessions[key].stage == Stage::Calling {
            self.next_leg(now, key);
        }
    }

    fn drop_leg(&mut self, leg: usize, how: CloseKind, may_have_run: bool, now: f64) {
        let gone = self.legs.remove(leg);
        if let Some(node) = self.nodes.get_mut(&gone.node) {
            node.held = node.held.saturating_sub(1);
            if may_have_run && gone.sent {
                let place = (node.zone, node.cell, now);
                self.sessions[gone.session].ran.get_or_insert(place);
            }
        }
        let session = &mut self.sessions[gone.session];
        if session.leg == Some(leg) {
            session.leg = None;
        }
        self.effects.push(Effect::Close(Endpoint::Server(leg), how));
    }

    fn give_up(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        let kind = &self.traffic[session.kind];
        let harmless = match kind.idempotency {
            Repeat::Repeatable | Repeat::Referenced(RepeatScope::All) => true,
            _ => session.ran.is_none() || self.fault == Some(Fault::RejectsPossiblyExecuted),
        };
        if self.broken(Fault::ClosesUnanswered) {
            return self.part(now, key, b"");
        }
        if !harmless {
            return self.part(now, key, b"ERR\r\n");
        }
        let mut text = format!("BUSY {}\r\n", (self.stay_away * 1e3).ceil()).into_bytes();
        if self.fault == Some(Fault::AnswersTwice) {
            text.extend_from_slice(b"ERR\r\n");
        }
        self.part(now, key, &text);
    }

    /// The last word to a client.
    fn part(&mut self, now: f64, key: usize, text: &[u8]) {
        if let Some(leg) = self.sessions[key].leg {
            self.drop_leg(leg, CloseKind::Graceful, false, now);
        }
        if !text.is_empty() {
            self.effects.push(Effect::Write(Endpoint::Client(key), text.to_vec()));
        }
        self.effects.push(Effect::ShutdownWrite(Endpoint::Client(key)));
        self.sessions[key].stage = Stage::Parting;
        let serial = self.serial + 1;
        self.sessions[key].timer = serial;
        self.set(now + self.longest_guard, Due::Session(key, serial));
    }

    fn close(&mut self, now: f64, key: usize, how: CloseKind) {
        if let Some(leg) = self.sessions[key].leg {
            self.drop_leg(leg, CloseKind::Graceful, false, now);
        }
        self.sessions.remove(key);
        self.effects.push(Effect::Close(Endpoint::Client(key), how));
    }

    fn move_away(&mut self, now: f64, key: usize) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        if session.stage != Stage::Standing {
            return;
        }
        if session.down.is_between_lines() {
            self.part(now, key, b"MOVE\r\n");
        } else {
            session.moving = true;
        }
    }

    fn client_said(&mut self, now: f64, key: usize, bytes: &[u8]) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        match session.stage {
            Stage::Greeting => {
                session.head.extend_from_slice(bytes);
                let end = match first_line_end(&session.head) {
                    Ok(Some(end)) => end,
                    Ok(None) => return,
                    Err(_) => return self.part(now, key, b"ERR\r\n"),
                };
                let known = (&self.known, self.groups);
                match parse_first_line(&session.head[..end], now, self.longest_guard, known.0, known.1) {
                    Ok(FirstLine::Ping) => {
                        session.head.drain(..end);
                        if self.stopping.is_some() || self.nodes.is_empty() {
                            return self.part(now, key, b"");
                        }
                        self.effects.push(Effect::Write(Endpoint::Client(key), b"PONG\r\n".to_vec()));
                    }
                    Ok(FirstLine::Open { wanted, wait_range, server_range, .. }) => {
                        session.wait = wait_range;
                        session.kind = wanted.traffic_type;
                        session.until = wanted.deadline;
                        session.target = now + self.traffic[wanted.traffic_type].setup_target;
                        session.load = wanted.load_hint.unwrap_or(0.0);
                        let at = server_range
                            .map(|at| std::str::from_utf8(&session.head[at]).map_or(0, server_id));
                        session.at = at;
                        session.stage = Stage::Calling;
                        if self.broken(Fault::NeverAnswers) {
                            return;
                        }
                        if self.broken(Fault::FabricatesAnswers) {
                            return self.part(now, key, b"UP 0\r\n");
                        }
                        self.next_leg(now, key);
                        if self.fault == Some(Fault::OverlapsLegs) && self.sessions[key].leg.is_some() {
                            self.sessions[key].at = None;
                            self.next_leg(now, key);
                        }
                    }
                    Err(_) => self.part(now, key, b"ERR\r\n"),
                }
            }
            Stage::Calling => {}
            Stage::Standing => {
                if session.unanswered.is_none() {
                    session.unanswered = Some(now);
                    let serial = self.serial + 1;
                    session.timer = serial;
                    self.set(now + SILENT, Due::Session(key, serial));
                }
                let Some(leg) = self.sessions[key].leg else { return };
                if self.broken(Fault::DelaysLines) {
                    self.legs[leg].held.extend_from_slice(bytes);
                    return self.set(now + 2.0, Due::Hold(leg));
                }
                if !self.legs[leg].held.is_empty() {
                    return self.legs[leg].held.extend_from_slice(bytes);
                }
                if self.broken(Fault::CorruptsLines) {
                    let mut changed = bytes.to_vec();
                    changed[0] ^= 1;
                    return self.effects.push(Effect::Write(Endpoint::Server(leg), changed));
                }
                self.effects.push(Effect::Forward(Endpoint::Server(leg), 0..bytes.len()));
            }
            Stage::Parting => {}
        }
    }

    fn server_said(&mut self, now: f64, leg: usize, bytes: &[u8]) {
        let Some(key) = self.legs.get(leg).map(|l| l.session) else { return };
        if !self.holds(key, leg) {
            return;
        }
        let one = &mut self.legs[leg];
        if one.up {
            one.farewell = read_along(&mut self.sessions[key], bytes) || one.farewell;
            self.effects.push(Effect::Forward(Endpoint::Client(key), 0..bytes.len()));
            if self.sessions[key].moving {
                self.move_away(now, key);
            } else if self.fault == Some(Fault::ClosesEstablished)
                && self.chance.rand_u64().is_multiple_of(200)
            {
                self.close(now, key, CloseKind::Graceful);
            }
            return;
        }
        one.answer.extend_from_slice(bytes);
        let Ok(Some(end)) = first_line_end(&one.answer) else { return };
        match parse_server_message(trim_line_end(&one.answer[..end])) {
            ServerMessage::Up => {
                one.up = true;
                let said = std::mem::take(&mut one.answer);
                let session = &mut self.sessions[key];
                (session.stage, session.timer) = (Stage::Standing, 0);
                if self.fault != Some(Fault::OverlapsLegs) {
                    session.head = Vec::new();
                }
                self.legs[leg].farewell = read_along(&mut self.sessions[key], &said);
                self.effects.push(Effect::Write(Endpoint::Client(key), said));
                if let Some(at) = self.stopping {
                    self.set_leave(key, at);
                }
            }
            ServerMessage::Busy => self.leg_over(now, leg, false),
            _ => self.leg_over(now, leg, true),
        }
    }

    fn server_closed(&mut self, now: f64, leg: usize) {
        let Some(one) = self.legs.get(leg) else { return };
        let (key, up, sent) = (one.session, one.up, one.sent);
        if !self.holds(key, leg) {
            return;
        }
        if !up {
            return self.leg_over(now, leg, sent);
        }
        if self.fault == Some(Fault::KeepsOrphanedClients) {
            self.sessions[key].timer = 0;
            return;
        }
        if one.farewell {
            self.part(now, key, b"");
        } else {
            self.move_away(now, key);
        }
    }

    /// Whether a leg is its session's, and not overtaken by another as only a broken proxy's can be.
    fn holds(&self, key: usize, leg: usize) -> bool {
        self.sessions.get(key).is_some_and(|s| s.leg == Some(leg))
    }

    fn set_leave(&mut self, key: usize, stop: f64) {
        let at = stop + 0.6 + 0.5 * self.longest_guard * self.chance.rand_float();
        self.set(at, Due::Leave(key, self.sessions[key].born));
    }

    fn stop(&mut self, now: f64) {
        if self.fault == Some(Fault::ExitsImmediately) {
            return self.effects.push(Effect::Exit);
        }
        self.stopping = Some(now);
        let standing: Vec<usize> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Standing).map(|(k, _)| k).collect();
        standing.into_iter().for_each(|key| self.set_leave(key, now));
        self.set(now + self.longest_guard + 0.6, Due::Exit);
    }

    /// The top's: moves the heaviest of its own off nodes that are asked more than they can do.
    fn even(&mut self, now: f64) {
        self.set(now + EVEN, Due::Even);
        let over: Vec<(u64, f64)> = {
            let truths = self.truths.borrow();
            let mut over = Vec::new();
            for (id, node) in &self.nodes {
                let truth = truths.iter().find(|(name, _)| *name == node.name).map(|(_, t)| *t);
                let Some(truth) = truth.filter(|t| t.up && t.load > t.capacity) else { continue };
                over.push((*id, (truth.load - FULL * truth.capacity) / self.siblings));
            }
            over
        };
        for (id, excess) in over {
            let mut there: Vec<(usize, f64)> = self
                .legs
                .iter()
                .filter(|(_, l)| l.node == id && l.up)
                .map(|(_, l)| (l.session, self.sessions[l.session].load))
                .collect();
            there.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut left = excess;
            for (key, load) in there {
                if left > 0.0 && load > 0.0 && load < 2.0 * left {
                    left -= load;
                    self.move_away(now, key);
                }
            }
        }
    }

    fn due(&mut self, now: f64, what: Due) {
        match what {
            Due::Session(key, serial) => {
                let Some(session) = self.sessions.get(key).filter(|s| s.timer == serial) else { return };
                match session.stage {
                    Stage::Greeting | Stage::Parting => self.close(now, key, CloseKind::Graceful),
                    Stage::Calling => {}
                    Stage::Standing => match session.unanswered {
                        Some(since) if now - since >= SILENT - 1e-3 => self.move_away(now, key),
                        Some(since) => {
                            let serial = self.serial + 1;
                            self.sessions[key].timer = serial;
                            self.set(since + SILENT, Due::Session(key, serial));
                        }
                        None => {}
                    },
                }
            }
            Due::Leg(leg, serial) => {
                let Some(one) = self.legs.get(leg) else { return };
                let (key, sent) = (one.session, one.sent);
                if self.holds(key, leg) && self.sessions[key].timer == serial && !one.up {
                    self.leg_over(now, leg, sent);
                }
            }
            Due::Leave(key, born) => {
                if self.sessions.get(key).is_some_and(|s| s.born == born) {
                    self.move_away(now, key);
                }
            }
            Due::Watch => {
                if self.answer.is_none() {
                    self.effects.push(Effect::CloseWatch);
                    self.follow(now);
                }
            }
            Due::Even => self.even(now),
            Due::Exit => self.effects.push(Effect::Exit),
            Due::Hold(leg) => {
                if let Some(one) = self.legs.get_mut(leg) {
                    let held = std::mem::take(&mut one.held);
                    self.effects.push(Effect::Write(Endpoint::Server(leg), held));
                }
            }
        }
    }
}

/// Reads a server's lines along; whether the last told of the end.
fn read_along(session: &mut Session, bytes: &[u8]) -> bool {
    let mut farewell = false;
    let (load, unanswered) = (&mut session.load, &mut session.unanswered);
    session.down.feed(bytes, |line, _| match parse_server_message(line) {
        ServerMessage::Load(told) => *load = told,
        ServerMessage::Bye | ServerMessage::Move => farewell = true,
        _ => *unanswered = None,
    });
    farewell
}

impl Proxy for BaselineProxy {
    fn step(&mut self, now: f64, event: Event) {
        match event {
            Event::Accepted => {
                let serial = self.serial + 1;
                let key = self.sessions.insert(Session {
                    stage: Stage::Greeting,
                    head: Vec::new(),
                    wait: 0..0,
                    kind: 0,
                    until: now,
                    target: now,
                    at: None,
                    leg: None,
                    sent: 0,
                    tried: Vec::new(),
                    ran: None,
                    unanswered: None,
                    load: 0.0,
                    down: LineScanner::default(),
                    moving: false,
                    timer: serial,
                    born: serial,
                });
                self.set(now + 2.5, Due::Session(key, serial));
                self.effects.push(Effect::AssignSession(key));
            }
            Event::Bytes(Endpoint::Client(key), bytes) => self.client_said(now, key, bytes),
            Event::Bytes(Endpoint::Server(leg), bytes) => self.server_said(now, leg, bytes),
            Event::Closed(Endpoint::Client(key), how) => {
                if self.sessions.contains(key) {
                    self.close(now, key, how);
                }
            }
            Event::Closed(Endpoint::Server(leg), _) => self.server_closed(now, leg),
            Event::Connected(leg) => {
                let Some(one) = self.legs.get(leg) else { return };
                let (session, until) = (one.session, one.until);
                if !self.sessions.contains(session) {
                    return;
                }
                let timeout_ms = ((until - now) * 1e3).max(1.0) as u64;
                let timeout_range = self.sessions[session].wait.clone();
                self.effects.push(Effect::SendHead { leg, session, timeout_range, timeout_ms });
            }
            Event::ConnectFailed(leg) | Event::ConnectNotStarted(leg) => {
                if self.legs.contains(leg) {
                    self.leg_over(now, leg, false);
                }
            }
            Event::HeadWritten(leg) => {
                let Some(one) = self.legs.get_mut(leg) else { return };
                one.sent = true;
                let (key, until) = (one.session, one.until);
                let serial = self.serial + 1;
                let Some(session) = self.sessions.get_mut(key) else { return };
                session.timer = serial;
                self.set(until, Due::Leg(leg, serial));
            }
            Event::WatchOpened => self.answer = Some(WatchResponse::default()),
            Event::WatchBytes(bytes) => {
                let Some(mut answer) = self.answer.take() else { return };
                let mut lists: Vec<Value> = Vec::new();
                let more =
                    answer.feed(bytes, |line| lists.extend(serde_json::from_slice::<Value>(line).ok()));
                if matches!(more, Ok(true)) {
                    self.answer = Some(answer);
                }
                lists.iter().for_each(|list| self.list(now, list));
            }
            Event::WatchLost => {
                self.answer = None;
                self.set(now + WATCH_AGAIN, Due::Watch);
            }
            Event::Tick => {
                while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 as f64 <= now * 1e6) {
                    let what = entry.remove();
                    self.due(now, what);
                }
            }
            Event::Stop => self.stop(now),
            // Only a proxy with a control socket is told these.
            Event::Drain(_) | Event::Undrain | Event::Retire(_) => {}
            Event::Reconfigured(discovery, _) => {
                (self.discovery, self.version, self.answer) = (discovery, 0, None);
                self.follow(now);
            }
        }
        let empty = self.sessions.is_empty();
        if self.stopping.is_some_and(|at| now >= at + 0.5) && empty {
            self.effects.push(Effect::Exit);
        }
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn next_due(&self) -> Option<f64> {
        self.timers.first_key_value().map(|((at, _), _)| *at as f64 / 1e6)
    }

    fn session_head(&self, session: usize) -> &[u8] {
        self.sessions.get(session).map_or(&[], |s| &s.head)
    }
}
