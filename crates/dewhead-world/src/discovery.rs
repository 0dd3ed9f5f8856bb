//! Discovery: what it holds of the nodes, some seconds late, and an agent on each proxy's machine that writes the watch.

use crate::experiment::{Experiment, Range};
use crate::nodes::{Node, NodeState};
use crate::random::RandomStream;
use crate::world::{Bytes, Effect, EndKind, Event, LinkKey, Message, World};
use serde_json::{json, Value};
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Health {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
struct Entry {
    health: Health,
    started: f64,
    /// The version that brought this.
    changed: u64,
}

/// A change on its way to discovery, then on its way to the agents.
#[derive(Clone, Debug)]
struct Change {
    node: usize,
    health: Health,
    started: f64,
}

/// An open watch, and the version written on it last.
#[derive(Clone, Copy)]
struct Watch {
    link: LinkKey,
    written: u64,
}

pub(crate) struct Agent {
    version: u64,
    entries: Vec<Entry>,
    /// The watches that are open: two while one process takes another's place.
    watches: Vec<Watch>,
    line: Bytes,
    /// The so-many-th of its addresses is the one that answers.
    pub address: usize,
    pub silent: bool,
    /// What versions are told less by, since a restart that counts anew.
    offset: u64,
}

pub(crate) struct Discovery {
    random: RandomStream,
    /// Changes by their numbers, until discovery has them; then by version, for the agents.
    coming: BTreeMap<u64, Change>,
    changes: u64,
    versions: Vec<Change>,
    pub agents: Vec<Agent>,
    /// How much later than usual everything is known.
    pub late: f64,
    shares: Vec<(String, usize, u64, f64)>,
    zones: Vec<String>,
    /// Unix time at the start.
    pub epoch: f64,
    /// The wall clock's step: from when on, in seconds from the start, and by how many seconds.
    clock_step: (f64, f64),
    /// By proxy and node: where that proxy reaches that node.
    pub addresses: Vec<Vec<String>>,
}

/// An empty line comes this often while nothing changes.
const BEAT: f64 = 2.0;
/// Unix time, in seconds, at the start of an experiment in simulated time.
pub const EPOCH: f64 = 1e6;

impl Discovery {
    pub(crate) fn new<C>(
        of: &Experiment,
        nodes: &[Node<C>],
        names: &[String],
        proxies: usize,
        random: RandomStream,
    ) -> Discovery {
        let entry = Entry { health: Health::Ready, started: f64::NEG_INFINITY, changed: 1 };
        let mean = nodes.iter().map(|n| n.warm_capacity).sum::<f64>() / nodes.len().max(1) as f64;
        let share = |n: &Node<C>| {
            if of.node.weights {
                (n.warm_capacity / mean * 100.0).round() / 100.0
            } else {
                1.0
            }
        };
        Discovery {
            random,
            coming: BTreeMap::new(),
            changes: 0,
            versions: Vec::new(),
            agents: (0..proxies)
                .map(|_| Agent {
                    version: 1,
                    entries: vec![entry.clone(); nodes.len()],
                    watches: Vec::new(),
                    line: Bytes::new(),
                    address: 0,
                    silent: false,
                    offset: 0,
                })
                .collect(),
            late: 0.0,
            shares: nodes
                .iter()
                .zip(names)
                .map(|(n, name)| (name.clone(), n.zone, n.cell, share(n)))
                .collect(),
            zones: of.fleet.zones.clone(),
            epoch: EPOCH,
            clock_step: (f64::INFINITY, 0.0),
            addresses: vec![vec![String::new(); nodes.len()]; proxies],
        }
    }

    /// What all machines' wall clocks show at this second of the experiment.
    fn wall_clock(&self, at: f64) -> f64 {
        let (from, by) = self.clock_step;
        self.epoch + at + if at >= from { by } else { 0.0 }
    }

    fn listing(&self, agent: usize, whole: bool, since: u64) -> Value {
        let agent_number = agent;
        let agent = &self.agents[agent];
        let hosts: Vec<Value> = agent
            .entries
            .iter()
            .enumerate()
            .filter(|(_, e)| if whole { e.health != Health::Gone } else { e.changed > since })
            .map(|(n, e)| {
                let (name, zone, cell, share) = &self.shares[n];
                let health = match e.health {
                    Health::Ready => "ready",
                    Health::Draining => "draining",
                    Health::Gone => "gone",
                };
                let born = if e.started.is_finite() { (self.wall_clock(e.started) * 1e3).round() } else { 0.0 };
                json!({"host": name, "dial": self.addresses[agent_number][n], "site": self.zones[*zone], "class": "node",
                       "block": cell, "health": health, "share": share, "born_ms": born as u64})
            })
            .collect();
        json!({"seq": agent.version - agent.offset, "whole": whole, "hosts": hosts})
    }

    /// The list as this proxy last had it.
    pub(crate) fn last_list(&self, proxy: usize) -> Value {
        self.listing(proxy, true, 0)
    }
}

impl World {
    /// What has become of a node gets to discovery after a while.
    pub(crate) fn change_listing(&mut self, now: f64, node: usize, after: Range) {
        let (state, started) = (self.nodes[node].state, self.nodes[node].started_at);
        let health = match state {
            NodeState::Up => Health::Ready,
            NodeState::Draining => Health::Draining,
            NodeState::Dead | NodeState::Silent => Health::Gone,
        };
        let discovery = &mut self.discovery;
        discovery.changes += 1;
        discovery.coming.insert(discovery.changes, Change { node, health, started });
        let at = now + discovery.random.uniform_in(after) + discovery.late;
        self.queue.push(at, Event::DiscoveryUpdate(discovery.changes));
    }

    /// Discovery has it, unless a newer state of that node has overtaken it.
    pub(crate) fn apply_update(&mut self, now: f64, number: u64) {
        let discovery = &mut self.discovery;
        let Some(change) = discovery.coming.remove(&number) else { return };
        // What became of the same node earlier, and is still on its way, is overtaken.
        discovery.coming.retain(|n, c| *n > number || c.node != change.node);
        discovery.versions.push(change);
        let version = discovery.versions.len() as u64 + 1;
        for agent in 0..discovery.agents.len() {
            let at = now + self.experiment.discovery.propagation_spread * discovery.random.uniform();
            self.queue.push(at, Event::Agent(agent, version));
        }
    }

    pub(crate) fn update_agent(&mut self, now: f64, n: usize, version: u64) {
        let discovery = &mut self.discovery;
        let agent = &mut discovery.agents[n];
        for v in agent.version + 1..=version {
            let change = &discovery.versions[v as usize - 2];
            agent.entries[change.node] = Entry { health: change.health, started: change.started, changed: v };
            self.audit.on_agent_update(now, n, change.node, change.health == Health::Ready, change.started);
        }
        agent.version = agent.version.max(version);
        self.write_watch(now, n);
    }

    /// Writes what the watch has not had yet.
    pub(crate) fn write_watch(&mut self, now: f64, n: usize) {
        let version = self.discovery.agents[n].version;
        if self.discovery.agents[n].silent {
            return;
        }
        for at in 0..self.discovery.agents[n].watches.len() {
            let Watch { link, written } = self.discovery.agents[n].watches[at];
            if written < version {
                let list = self.discovery.listing(n, false, written);
                self.discovery.agents[n].watches[at].written = version;
                self.chunk(now, link, &format!("{list}\n"));
            }
        }
    }

    fn chunk(&mut self, now: f64, link: LinkKey, text: &str) {
        self.send_bytes(now, link, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    pub(crate) fn send_heartbeat(&mut self, now: f64, n: usize, link: LinkKey) {
        if !self.discovery.agents[n].watches.iter().any(|watch| watch.link == link) {
            return;
        }
        if !self.discovery.agents[n].silent {
            self.chunk(now, link, "\n");
        }
        self.queue.push(now + BEAT, Event::Heartbeat(n, link));
    }

    /// `at` names the proxy's agent by the address that was dialled: the proxy's own, of the so-many-th generation.
    pub(crate) fn agent_receives(&mut self, now: f64, at: usize, key: LinkKey, message: Message) {
        let n = self.links[key].proxy;
        match message {
            Message::Connect => {
                // The old address takes no new connection once there is another.
                let answers = self.discovery.agents[n].address == at;
                self.send(now, key, true, Message::ConnectResult(answers));
            }
            Message::Bytes(bytes) => {
                let agent = &mut self.discovery.agents[n];
                if agent.silent {
                    return;
                }
                agent.line.extend_from_slice(&bytes);
                let asked = String::from_utf8_lossy(&agent.line).into_owned();
                if !asked.contains("\r\n\r\n") {
                    return;
                }
                agent.line.clear();
                let since = asked
                    .split("since=")
                    .nth(1)
                    .and_then(|s| s.split([' ', '&']).next()?.parse::<u64>().ok());
                let since = since.unwrap_or(0);
                let told = agent.version - agent.offset;
                // A version that was never told, or none: the whole list.
                let whole = since == 0 || since > told;
                let list = self.discovery.listing(n, whole, since + self.discovery.agents[n].offset);
                let agent = &mut self.discovery.agents[n];
                agent.watches.push(Watch { link: key, written: agent.version });
                self.send_bytes(now, key, b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                self.chunk(now, key, &format!("{list}\n"));
                self.queue.push(now + BEAT, Event::Heartbeat(n, key));
            }
            Message::End(_) => {
                self.close_watch(now, n, key);
            }
            Message::ConnectResult(_) => {}
        }
    }

    pub(crate) fn close_watch(&mut self, now: f64, n: usize, key: LinkKey) {
        let agent = &mut self.discovery.agents[n];
        agent.watches.retain(|watch| watch.link != key);
        self.close_from_peer(now, key, EndKind::Closed);
    }

    /// Discovery starts anew and counts its versions from one again; its watches end.
    pub(crate) fn discovery_restarts(&mut self, now: f64) {
        self.service.annotate(now, "discovery starts anew".into());
        for n in 0..self.discovery.agents.len() {
            let agent = &mut self.discovery.agents[n];
            agent.offset = agent.version - 1;
            for watch in std::mem::take(&mut agent.watches) {
                self.close_from_peer(now, watch.link, EndKind::Closed);
            }
        }
    }

    /// The proxy's configuration names another address of discovery; the old one closes what is open a little later.
    pub(crate) fn move_discovery(&mut self, now: f64, proxy: usize) {
        let agent = &mut self.discovery.agents[proxy];
        agent.address += 1;
        let address = agent.address;
        for watch in &agent.watches {
            self.queue.push(now + 1.5, Event::AgentCloses(proxy, watch.link));
        }
        self.service.annotate(now, format!("proxy {proxy} is configured anew"));
        if self.proxies[proxy].listening {
            self.emit(Effect::Reconfigure(proxy, address));
        }
    }

    /// Tells the Unix time at which the experiment begins, on hosts that live by the clock.
    pub fn set_epoch(&mut self, epoch: f64) {
        self.discovery.epoch = epoch;
    }

    /// From this second on all machines' wall clocks are wrong by so many seconds.
    pub fn schedule_clock_step(&mut self, from: f64, by: f64) {
        self.discovery.clock_step = (from, by);
    }

    /// Tells where each proxy reaches each node; hosts choose the addresses.
    pub fn set_node_addresses(&mut self, address: impl Fn(usize, usize) -> String) {
        for (p, row) in self.discovery.addresses.iter_mut().enumerate() {
            for (n, one) in row.iter_mut().enumerate() {
                *one = address(p, n);
            }
        }
    }

    /// Which of its addresses discovery has for this proxy now.
    pub fn discovery_address(&self, proxy: usize) -> usize {
        self.discovery.agents[proxy].address
    }
}
