//! Discovery: the delayed state of the nodes, and an agent on each proxy's machine that writes the node list
//! to the proxy's watch.

use crate::experiment::{Experiment, Range};
use crate::nodes::{Node, NodeState};
use crate::random::RandomStream;
use crate::world::{Bytes, Effect, EndKind, Event, LinkKey, Message, World};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The health of a node in the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Health {
    Ready,
    Draining,
    Gone,
}

/// A node in an agent's list.
#[derive(Clone, Debug)]
struct Entry {
    health: Health,
    started: f64,
    /// The version that contains this state.
    changed_in: u64,
}

/// A change of a node's state: pending until discovery receives it, then published as a version.
#[derive(Clone, Debug)]
struct Change {
    node: usize,
    health: Health,
    started: f64,
}

/// An open watch, and the version last written to it.
#[derive(Clone, Copy)]
struct Watch {
    link: LinkKey,
    written_version: u64,
}

/// The discovery agent on a proxy's machine.
pub(crate) struct Agent {
    version: u64,
    entries: Vec<Entry>,
    /// The open watches; there are two during a handover.
    watches: Vec<Watch>,
    /// The part of a request that has arrived so far.
    request: Bytes,
    /// Index of the address at which the agent accepts connections.
    pub address: usize,
    /// Whether the agent writes nothing.
    pub silent: bool,
    /// Subtracted from versions when they are written, since a restart resets the count.
    version_offset: u64,
}

/// The state of discovery and its agents.
pub(crate) struct Discovery {
    random: RandomStream,
    /// Changes by number, until discovery receives them.
    pending_changes: BTreeMap<u64, Change>,
    change_count: u64,
    /// The published changes, in the order of their versions; the first has version 2.
    versions: Vec<Change>,
    pub agents: Vec<Agent>,
    /// Additional delay of all changes, in seconds.
    pub extra_delay: f64,
    /// By node: its name, zone, cell and weight.
    node_info: Vec<(String, usize, u64, f64)>,
    zones: Vec<String>,
    /// Unix time at the start of the experiment, in seconds.
    pub epoch: f64,
    /// The step of the wall clock: its time, in seconds from the start, and its size in seconds.
    clock_step: (f64, f64),
    /// By proxy and node: the address at which the proxy reaches the node.
    pub addresses: Vec<Vec<String>>,
}

/// Interval of the empty lines written while nothing changes, in seconds.
const HEARTBEAT_INTERVAL: f64 = 2.0;
/// Unix time at the start of an experiment in simulated time, in seconds.
pub const EPOCH: f64 = 1e6;

impl Discovery {
    pub(crate) fn new<C>(
        experiment: &Experiment,
        nodes: &[Node<C>],
        node_names: &[String],
        proxies: usize,
        random: RandomStream,
    ) -> Discovery {
        let entry = Entry { health: Health::Ready, started: f64::NEG_INFINITY, changed_in: 1 };
        let mean = nodes.iter().map(|n| n.warm_capacity).sum::<f64>() / nodes.len().max(1) as f64;
        let share = |n: &Node<C>| {
            if experiment.node.weights {
                (n.warm_capacity / mean * 100.0).round() / 100.0
            } else {
                1.0
            }
        };
        Discovery {
            random,
            pending_changes: BTreeMap::new(),
            change_count: 0,
            versions: Vec::new(),
            agents: (0..proxies)
                .map(|_| Agent {
                    version: 1,
                    entries: vec![entry.clone(); nodes.len()],
                    watches: Vec::new(),
                    request: Bytes::new(),
                    address: 0,
                    silent: false,
                    version_offset: 0,
                })
                .collect(),
            extra_delay: 0.0,
            node_info: nodes
                .iter()
                .zip(node_names)
                .map(|(n, name)| (name.clone(), n.zone, n.cell, share(n)))
                .collect(),
            zones: experiment.fleet.zones.clone(),
            epoch: EPOCH,
            clock_step: (f64::INFINITY, 0.0),
            addresses: vec![vec![String::new(); nodes.len()]; proxies],
        }
    }

    /// The wall clock of all machines at this time of the experiment.
    fn wall_clock(&self, at: f64) -> f64 {
        let (from, by) = self.clock_step;
        self.epoch + at + if at >= from { by } else { 0.0 }
    }

    /// Returns an agent's list: the whole one, or the entries changed since a version.
    fn node_list(&self, agent: usize, whole: bool, since: u64) -> Value {
        let agent_number = agent;
        let agent = &self.agents[agent];
        let hosts: Vec<Value> = agent
            .entries
            .iter()
            .enumerate()
            .filter(|(_, e)| if whole { e.health != Health::Gone } else { e.changed_in > since })
            .map(|(n, e)| {
                let (name, zone, cell, share) = &self.node_info[n];
                let health = match e.health {
                    Health::Ready => "ready",
                    Health::Draining => "draining",
                    Health::Gone => "gone",
                };
                let born_ms = if e.started.is_finite() { (self.wall_clock(e.started) * 1e3).round() } else { 0.0 };
                json!({"host": name, "dial": self.addresses[agent_number][n], "site": self.zones[*zone], "class": "node",
                       "block": cell, "health": health, "share": share, "born_ms": born_ms as u64})
            })
            .collect();
        json!({"seq": agent.version - agent.version_offset, "whole": whole, "hosts": hosts})
    }

    /// The node list as this proxy last had it.
    pub(crate) fn last_list(&self, proxy: usize) -> Value {
        self.node_list(proxy, true, 0)
    }
}

impl World {
    /// Schedules the update of discovery with the current state of a node, after a random delay in the given
    /// range.
    pub(crate) fn schedule_update(&mut self, now: f64, node: usize, delay: Range) {
        let (state, started) = (self.nodes[node].state, self.nodes[node].started_at);
        let health = match state {
            NodeState::Up => Health::Ready,
            NodeState::Draining => Health::Draining,
            NodeState::Dead | NodeState::Silent => Health::Gone,
        };
        let discovery = &mut self.discovery;
        discovery.change_count += 1;
        discovery.pending_changes.insert(discovery.change_count, Change { node, health, started });
        let at = now + discovery.random.uniform_in(delay) + discovery.extra_delay;
        self.queue.push(at, Event::DiscoveryUpdate(discovery.change_count));
    }

    /// Publishes a change, unless a newer state of the same node has been published.
    pub(crate) fn apply_update(&mut self, now: f64, number: u64) {
        let discovery = &mut self.discovery;
        let Some(change) = discovery.pending_changes.remove(&number) else { return };
        // Drops earlier changes of the same node that are still pending.
        discovery.pending_changes.retain(|n, c| *n > number || c.node != change.node);
        discovery.versions.push(change);
        let version = discovery.versions.len() as u64 + 1;
        for agent in 0..discovery.agents.len() {
            let at = now + self.experiment.discovery.propagation_spread * discovery.random.uniform();
            self.queue.push(at, Event::AgentUpdate(agent, version));
        }
    }

    /// Brings an agent to a version and writes the changes to its watches.
    pub(crate) fn update_agent(&mut self, now: f64, n: usize, version: u64) {
        let discovery = &mut self.discovery;
        let agent = &mut discovery.agents[n];
        for v in agent.version + 1..=version {
            let change = &discovery.versions[v as usize - 2];
            agent.entries[change.node] =
                Entry { health: change.health, started: change.started, changed_in: v };
            self.audit.on_agent_update(now, n, change.node, change.health == Health::Ready, change.started);
        }
        agent.version = agent.version.max(version);
        self.write_watch(now, n);
    }

    /// Writes the versions that a watch does not have yet.
    pub(crate) fn write_watch(&mut self, now: f64, n: usize) {
        let version = self.discovery.agents[n].version;
        if self.discovery.agents[n].silent {
            return;
        }
        for i in 0..self.discovery.agents[n].watches.len() {
            let Watch { link, written_version } = self.discovery.agents[n].watches[i];
            if written_version < version {
                let list = self.discovery.node_list(n, false, written_version);
                self.discovery.agents[n].watches[i].written_version = version;
                self.send_chunk(now, link, &format!("{list}\n"));
            }
        }
    }

    /// Writes an HTTP chunk.
    fn send_chunk(&mut self, now: f64, link: LinkKey, text: &str) {
        self.send_bytes(now, link, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    /// Writes an empty line to an open watch and schedules the next one.
    pub(crate) fn send_heartbeat(&mut self, now: f64, n: usize, link: LinkKey) {
        if !self.discovery.agents[n].watches.iter().any(|watch| watch.link == link) {
            return;
        }
        if !self.discovery.agents[n].silent {
            self.send_chunk(now, link, "\n");
        }
        self.queue.push(now + HEARTBEAT_INTERVAL, Event::Heartbeat(n, link));
    }

    /// A message has arrived at a proxy's agent, on a connection to the address of this index.
    pub(crate) fn agent_receives(&mut self, now: f64, address_index: usize, key: LinkKey, message: Message) {
        let n = self.links[key].proxy;
        match message {
            Message::Connect => {
                // An old address accepts no connections after a move.
                let accepts = self.discovery.agents[n].address == address_index;
                self.send(now, key, true, Message::ConnectResult(accepts));
            }
            Message::Bytes(bytes) => {
                let agent = &mut self.discovery.agents[n];
                if agent.silent {
                    return;
                }
                agent.request.extend_from_slice(&bytes);
                let request = String::from_utf8_lossy(&agent.request).into_owned();
                if !request.contains("\r\n\r\n") {
                    return;
                }
                agent.request.clear();
                let since = request
                    .split("since=")
                    .nth(1)
                    .and_then(|s| s.split([' ', '&']).next()?.parse::<u64>().ok());
                let since = since.unwrap_or(0);
                let reported_version = agent.version - agent.version_offset;
                // Without a version, or with one that was never written, the whole list is sent.
                let whole = since == 0 || since > reported_version;
                let list =
                    self.discovery.node_list(n, whole, since + self.discovery.agents[n].version_offset);
                let agent = &mut self.discovery.agents[n];
                agent.watches.push(Watch { link: key, written_version: agent.version });
                self.send_bytes(now, key, b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
                self.send_chunk(now, key, &format!("{list}\n"));
                self.queue.push(now + HEARTBEAT_INTERVAL, Event::Heartbeat(n, key));
            }
            Message::End(_) => {
                self.close_watch(now, n, key);
            }
            Message::ConnectResult(_) => {}
        }
    }

    /// Closes a watch from the agent's side.
    pub(crate) fn close_watch(&mut self, now: f64, n: usize, key: LinkKey) {
        let agent = &mut self.discovery.agents[n];
        agent.watches.retain(|watch| watch.link != key);
        self.close_from_peer(now, key, EndKind::Closed);
    }

    /// Restarts discovery: its watches are closed and its versions start from one.
    pub(crate) fn restart_discovery(&mut self, now: f64) {
        self.service.annotate(now, "discovery starts anew".into());
        for n in 0..self.discovery.agents.len() {
            let agent = &mut self.discovery.agents[n];
            agent.version_offset = agent.version - 1;
            for watch in std::mem::take(&mut agent.watches) {
                self.close_from_peer(now, watch.link, EndKind::Closed);
            }
        }
    }

    /// Moves a proxy's discovery agent to another address, which is written into the proxy's configuration.
    /// Connections to the old address are closed 1.5 seconds later.
    pub(crate) fn move_discovery(&mut self, now: f64, proxy: usize) {
        let agent = &mut self.discovery.agents[proxy];
        agent.address += 1;
        let address = agent.address;
        for watch in &agent.watches {
            self.queue.push(now + 1.5, Event::CloseWatch(proxy, watch.link));
        }
        self.service.annotate(now, format!("proxy {proxy} is configured anew"));
        if self.proxies[proxy].listening {
            self.emit(Effect::Reconfigure(proxy, address));
        }
    }

    /// Sets the Unix time at which the experiment begins, for hosts in real time.
    pub fn set_epoch(&mut self, epoch: f64) {
        self.discovery.epoch = epoch;
    }

    /// Schedules a step of all machines' wall clocks: from `from` on, in seconds from the start, they are
    /// `by` seconds ahead.
    pub fn schedule_clock_step(&mut self, from: f64, by: f64) {
        self.discovery.clock_step = (from, by);
    }

    /// Sets the addresses at which proxies reach nodes, given proxy and node; the host chooses them.
    pub fn set_node_addresses(&mut self, address: impl Fn(usize, usize) -> String) {
        for (p, row) in self.discovery.addresses.iter_mut().enumerate() {
            for (n, entry) in row.iter_mut().enumerate() {
                *entry = address(p, n);
            }
        }
    }

    /// The index of the address at which this proxy's agent accepts connections.
    pub fn discovery_address(&self, proxy: usize) -> usize {
        self.discovery.agents[proxy].address
    }
}
