//! Many balancers over the same servers through a release, with clients that come again: what all of them together do to
//! a cold server. Servers bear so many mean connections by weight, and drop the newest beyond that.

use dewhead::host_interface::BalancerHost;
use dewhead::state::{Balancer, Call, LegPolicy, ListSubscription, Locality, SlowStart, TenantShares};
use dewhead::types::{
    CallRequest, Idempotency, LegOutcome, ListUpdate, ServerEntry, ServerState, Tenant, TrafficType,
};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Mean connections that fill a server of weight 1 when warm, where a day does not say otherwise.
const BEARS: f64 = 16.0;
/// What a group costs a server that holds any of it, in mean connections.
const GROUP: f64 = 3.0;
const STEP: f64 = 0.05;
/// The figures of rule 4.
const SHARE: f64 = 0.13;
const WARM: f64 = 24.0;
const MULTIPLE: f64 = 3.0;
const WINDOW: f64 = 1.5;

fn traffic() -> TrafficType {
    TrafficType {
        idempotency: Idempotency::Repeatable,
        repeat_window: 2.0,
        setup_target: 0.5,
        message_target: 0.1,
        guard_time: 3.0,
        revenue: 1.0,
    }
}

fn server(id: u64, weight: f64, started: Option<f64>) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, state: ServerState::Ready, weight, started }
}

#[derive(Clone, Debug)]
pub struct Day {
    pub balancers: usize,
    /// How many the settings say there are.
    pub siblings: usize,
    pub servers: usize,
    /// Mean connections that fill a server of weight 1 when warm.
    pub bears: f64,
    /// What stands at the start, as a part of what the servers bear.
    pub load: f64,
    /// What the shops have agreed on, as a part of what the servers bear; none where nothing was.
    pub agreed: Option<f64>,
    /// Groups of connections, of unequal sizes; 0 for none.
    pub groups: usize,
    /// Whether some balancers see several times as many clients as others.
    pub unequal: bool,
    /// At this time half of the clients leave at once and come again.
    pub burst: Option<f64>,
    /// Whether all balancers are started anew, a tenth at a time, with the connections that stood put back.
    pub restarts: bool,
    /// One of so many balancers is told of changes 2 s later than the others.
    pub late: Option<usize>,
    pub seconds: f64,
    pub seed: u128,
}

impl Day {
    pub fn of(balancers: usize, seed: u128) -> Day {
        Day {
            balancers,
            siblings: balancers,
            servers: 40,
            bears: BEARS,
            load: 0.35,
            agreed: None,
            groups: 0,
            unequal: false,
            burst: None,
            restarts: false,
            late: None,
            seconds: 30.0,
            seed,
        }
    }
}

#[derive(Debug)]
pub struct Outcome {
    /// The highest that any cold server was sent in a window, as a part of rule 4's limit, and what it was then.
    pub highest: f64,
    pub at: (f64, usize, f64),
    /// The highest as a part of the limit with its three roots and three where under 30 are allowed.
    pub highest_of_rule: f64,
    /// What stands at the end at servers that the release started, and all calls that were turned away.
    pub on_new: usize,
    pub refused: usize,
}

#[derive(Default)]
struct Door {
    sent: RefCell<VecDeque<(u64, u64)>>,
    moved: RefCell<VecDeque<u64>>,
}

impl BalancerHost for Door {
    fn send_leg(&self, call: u64, server: u64, _: f64) {
        self.sent.borrow_mut().push_back((call, server));
    }
    fn reject(&self, _: u64, _: Option<f64>) {}
    fn release(&self, _: u64) {}
    fn cancel_leg(&self, _: u64, _: u32) {}
    fn relocate(&self, call: u64) {
        self.moved.borrow_mut().push_back(call);
    }
    fn set_call_timer(&self, _: u64, _: f64) {}
    fn set_timer(&self, _: f64) {}
    fn subscribe_to_list(&self) {}
    fn probe(&self, _: u64) -> bool {
        false
    }
    fn log(&self, _: &str) {}
}

struct Client {
    group: Option<u64>,
    back_at: f64,
    /// The balancer, the call and the server where it stands.
    stands: Option<(usize, Rc<Call>, u64)>,
}

struct Node {
    listed: ServerEntry,
    ends_at: f64,
    /// Clients by age, the newest last.
    holds: Vec<usize>,
    sent: Vec<f64>,
}

pub struct Fleet {
    day: Day,
    now: Rc<Cell<f64>>,
    chance: Rand64,
    door: Rc<Door>,
    balancers: Vec<Rc<Balancer>>,
    clients: Vec<Client>,
    by_call: BTreeMap<u64, usize>,
    nodes: BTreeMap<u64, Node>,
    /// What is still to be told: when, to whom, what.
    news: Vec<(f64, usize, ServerEntry)>,
    calls: u64,
    refused: usize,
}

impl Fleet {
    fn balancer(&self, at: usize) -> Rc<Balancer> {
        let bears = self.day.bears * self.day.servers as f64 * 2.0;
        let shops = match self.day.agreed {
            Some(part) => vec![Tenant { share: 1.0, quota_connections: part * bears }],
            None => Vec::new(),
        };
        let legs =
            LegPolicy { max_legs: 3, two_at_once: false, may_cancel: true, max_retry_after: Some(1.0) };
        let balancer = Balancer::new(
            self.day.seed << 16 | at as u128 | (self.calls as u128) << 64,
            self.door.clone(),
            at,
            self.day.siblings,
            vec![traffic()],
            TenantShares::new(shops, 0.1),
            ListSubscription::new(false, 10.0),
            Locality::new(0, 0.0, 0.01),
            1,
            SlowStart { cold_share: SHARE, warm_after: WARM, overload_multiple: MULTIPLE, window: WINDOW },
            legs,
            if self.day.groups > 0 { 1.0 } else { 0.0 },
            false,
            false,
        );
        balancer.start(self.now.get());
        let listed: Vec<ServerEntry> = self.nodes.values().map(|n| n.listed.clone()).collect();
        balancer.on_list_update(self.now.get(), ListUpdate::Full, &listed);
        balancer
    }

    pub fn play(day: Day) -> Outcome {
        let mut fleet = Fleet {
            now: Rc::new(Cell::new(100.0)),
            chance: Rand64::new(day.seed),
            door: Rc::default(),
            balancers: Vec::new(),
            clients: Vec::new(),
            by_call: BTreeMap::new(),
            nodes: BTreeMap::new(),
            news: Vec::new(),
            calls: 0,
            refused: 0,
            day,
        };
        let day = fleet.day.clone();
        for id in 0..day.servers as u64 {
            // Weights of 1 and 3 by turns, 2 in the mean.
            let listed = server(1 + id * 7, if id % 2 == 0 { 3.0 } else { 1.0 }, None);
            fleet.add(listed);
        }
        fleet.balancers = (0..day.balancers).map(|at| fleet.balancer(at)).collect();
        let clients = (day.load * day.bears * 2.0 * day.servers as f64) as usize;
        for _ in 0..clients {
            // The first group is as large as the second and third, and so on.
            let sizes = (1..=day.groups).map(|g| 1.0 / g as f64).sum::<f64>();
            let mut draw = fleet.chance.rand_float() * sizes;
            let group = (1..=day.groups as u64).find(|g| {
                draw -= 1.0 / *g as f64;
                draw <= 0.0
            });
            let back_at = 100.0 + 3.0 * fleet.chance.rand_float();
            fleet.clients.push(Client { group, back_at, stands: None });
        }
        fleet.run()
    }

    fn add(&mut self, listed: ServerEntry) {
        let node =
            Node { listed: listed.clone(), ends_at: f64::INFINITY, holds: Vec::new(), sent: Vec::new() };
        self.nodes.insert(listed.id, node);
    }

    fn tell(&mut self, listed: &ServerEntry) {
        for at in 0..self.day.balancers {
            let late = self.day.late.is_some_and(|n| at % n == 0);
            self.news.push((self.now.get() + if late { 2.5 } else { 0.5 }, at, listed.clone()));
        }
    }

    fn run(mut self) -> Outcome {
        let steps = (self.day.seconds / STEP) as usize;
        let batch = self.day.servers / 10;
        for step in 0..steps {
            let time = step as f64 * STEP;
            let now = 100.0 + time;
            self.now.set(now);
            // From 5 s on, a tenth of the servers drains each 2 s, until half have; their successors start 2 s later.
            if step % 40 == 0 && (5.0..15.0).contains(&time) {
                let first = (time / 2.0 - 3.0).max(0.0) as usize * batch;
                let old: Vec<u64> = self.nodes.keys().copied().skip(first).take(batch).collect();
                for id in old {
                    let node = self.nodes.get_mut(&id).unwrap();
                    node.ends_at = now + 4.0;
                    node.listed.state = ServerState::Draining;
                    let told = node.listed.clone();
                    self.tell(&told);
                    let successor = server(id + 1_000_000, told.weight, Some(now + 2.0));
                    self.add(successor.clone());
                    self.news.extend((0..self.day.balancers).map(|at| {
                        let late = self.day.late.is_some_and(|n| at % n == 0);
                        (now + if late { 4.5 } else { 2.5 }, at, successor.clone())
                    }));
                }
            }
            let due: Vec<_> = self.news.extract_if(.., |n| n.0 <= now).collect();
            for (_, at, listed) in due {
                self.balancers[at].on_list_update(now, ListUpdate::Delta, &[listed]);
            }
            if self.day.restarts && step % 30 == 0 {
                let tenth = step / 30;
                let who: Vec<usize> =
                    (0..self.day.balancers).filter(|at| at % 10 == tenth.wrapping_sub(4)).collect();
                who.into_iter().for_each(|at| self.restart(at));
            }
            if self.day.burst.is_some_and(|at| (at / STEP) as usize == step) {
                for client in (0..self.clients.len()).step_by(2) {
                    self.leave(client, LegOutcome::Cancelled, 0.2);
                }
            }
            self.serve(now);
            for client in 0..self.clients.len() {
                if self.clients[client].stands.is_none() && self.clients[client].back_at <= now {
                    self.open(client);
                }
            }
        }
        self.outcome()
    }

    /// Its connections are put back where they stood.
    fn restart(&mut self, at: usize) {
        self.calls += 1;
        self.balancers[at] = self.balancer(at);
        let now = self.now.get();
        for client in 0..self.clients.len() {
            let Some((balancer, _, server)) = self.clients[client].stands.clone() else { continue };
            if balancer == at {
                self.calls += 1;
                let wanted = CallRequest {
                    traffic_type: 0,
                    tenant: None,
                    deadline: now + 3.0,
                    load_hint: None,
                    group: self.clients[client].group,
                };
                let call = self.balancers[at].adopt_connection(now, self.calls, wanted, server);
                self.by_call.insert(self.calls, client);
                self.clients[client].stands = Some((at, call, server));
            }
        }
    }

    fn leave(&mut self, client: usize, ending: LegOutcome, away: f64) {
        let now = self.now.get();
        if let Some((_, call, server)) = self.clients[client].stands.take() {
            call.on_leg_ended(now, 0, ending, true);
            self.nodes.get_mut(&server).unwrap().holds.retain(|c| *c != client);
            self.clients[client].back_at = now + away * (0.5 + self.chance.rand_float());
        }
    }

    fn serve(&mut self, now: f64) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        for id in ids {
            let node = &self.nodes[&id];
            let started = node.listed.started.unwrap_or(f64::NEG_INFINITY);
            let present = (SHARE + (1.0 - SHARE) * (now - started) / WARM).min(1.0);
            let bears = self.day.bears * node.listed.weight * present;
            if node.listed.state == ServerState::Draining {
                let left = ((node.ends_at - now) / STEP).max(1.0);
                let goes = (node.holds.len() as f64 / left).ceil() as usize;
                let who: Vec<usize> = node.holds.iter().take(goes).copied().collect();
                who.into_iter().for_each(|c| self.leave(c, LegOutcome::Cancelled, 0.3));
            }
            loop {
                let node = &self.nodes[&id];
                let groups: BTreeSet<u64> =
                    node.holds.iter().filter_map(|c| self.clients[*c].group).collect();
                let asked = node.holds.len() as f64 + GROUP * groups.len() as f64;
                match node.holds.last() {
                    // A first connection is borne, whatever its group costs.
                    Some(newest) if asked > bears.max(1.0 + GROUP) => {
                        let newest = *newest;
                        self.leave(newest, LegOutcome::Broken, 0.5);
                    }
                    _ => break,
                }
            }
        }
        loop {
            let Some(call) = self.door.moved.borrow_mut().pop_front() else { break };
            if let Some(client) = self.by_call.remove(&call) {
                self.leave(client, LegOutcome::Cancelled, 0.3);
            }
        }
    }

    fn open(&mut self, client: usize) {
        let now = self.now.get();
        let draw = self.chance.rand_float();
        // Where they are unequal, an eighth of the balancers see half of the clients.
        let part = if self.day.unequal && draw < 0.5 { draw / 4.0 } else { draw };
        let at = (part * self.day.balancers as f64) as usize;
        self.calls += 1;
        let wanted = CallRequest {
            traffic_type: 0,
            tenant: None,
            deadline: now + 3.0,
            load_hint: None,
            group: self.clients[client].group,
        };
        let call = self.balancers[at].accept_call(now, self.calls, wanted);
        let sent = self.door.sent.borrow_mut().pop_front();
        match sent {
            Some((_, server)) => {
                let node = self.nodes.get_mut(&server).unwrap();
                node.sent.push(now);
                node.holds.push(client);
                call.on_established(now, 0);
                self.by_call.insert(self.calls, client);
                self.clients[client].stands = Some((at, call, server));
            }
            None => {
                self.refused += 1;
                self.clients[client].back_at = now + 0.5 + self.chance.rand_float();
            }
        }
    }

    fn outcome(self) -> Outcome {
        let mut outcome = Outcome {
            highest: 0.0,
            at: (0.0, 0, 0.0),
            highest_of_rule: 0.0,
            on_new: 0,
            refused: self.refused,
        };
        for node in self.nodes.values() {
            let Some(started) = node.listed.started else { continue };
            outcome.on_new += node.holds.len();
            for (first, from) in node.sent.iter().enumerate() {
                let age = from - started;
                let sent = node.sent[first..].iter().take_while(|at| **at <= from + WINDOW).count();
                // What it can do in the window, in the mean.
                let present = SHARE + (1.0 - SHARE) * ((age + WINDOW / 2.0) / WARM).min(1.0);
                let allowed = MULTIPLE * WINDOW * self.day.bears * node.listed.weight * present / WARM;
                let part = sent as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0);
                let (roots, more) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
                let of_rule = sent as f64 / (allowed + roots * allowed.sqrt() + more);
                if age < WARM {
                    outcome.highest_of_rule = outcome.highest_of_rule.max(of_rule);
                }
                if age < WARM && part > outcome.highest {
                    (outcome.highest, outcome.at) = (part, (age, sent, allowed));
                }
            }
        }
        outcome
    }
}
