//! The nodes' side of connections: heads read, set-ups begun and done, lines said back, loads told, drains, deaths.

use crate::clients::ClientState;
use crate::nodes::NodeState;
use crate::troubles::killed_after;
use crate::world::{
    Bytes, ClientKey, ConnectionKey, Effect, EndKind, Event, LinkKey, Message, Peer, Signal, World,
};
use slotmap::{Key, KeyData};

/// Times that are the same differ by less than this, in seconds.
const ROUNDING: f64 = 1e-6;

/// A connection as its node has it.
pub(crate) struct Connection {
    pub link: LinkKey,
    pub node: usize,
    pub proxy: usize,
    /// Whose it is, once its first line has been read.
    pub client: Option<ClientKey>,
    pub traffic_type: usize,
    pub load: f64,
    pub up: bool,
    /// Whether it counts as served at its node, and with what worth.
    pub counted: Option<f64>,
    /// A line that is not whole yet.
    pub line: Bytes,
}

/// The word in a list of names and values that stands behind this name.
pub(crate) fn value<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v))
}

/// Takes whole lines off the front of what has come.
pub(crate) fn lines(kept: &mut Bytes, bytes: &[u8], mut seen: impl FnMut(&str)) {
    kept.extend_from_slice(bytes);
    let mut start = 0;
    while let Some(end) = kept[start..].iter().position(|b| *b == b'\n') {
        let line = &kept[start..start + end];
        seen(std::str::from_utf8(line).unwrap_or("").trim_end_matches('\r'));
        start += end + 1;
    }
    kept.drain(..start);
}

impl World {
    pub(crate) fn node_receives(
        &mut self,
        now: f64,
        node: usize,
        at: Option<ConnectionKey>,
        key: LinkKey,
        message: Message,
    ) {
        match message {
            Message::Connect => match self.nodes[node].state {
                NodeState::Dead => {
                    self.send(now, key, true, Message::ConnectResult(false));
                }
                NodeState::Silent => {}
                NodeState::Up | NodeState::Draining => {
                    let proxy = self.links[key].proxy;
                    let connection = self.connections.insert(Connection {
                        link: key,
                        node,
                        proxy,
                        client: None,
                        traffic_type: 0,
                        load: 0.0,
                        up: false,
                        counted: None,
                        line: Bytes::new(),
                    });
                    self.links[key].peer = Peer::Node(node, Some(connection));
                    self.nodes[node].connections += 1;
                    self.send(now, key, true, Message::ConnectResult(true));
                }
            },
            Message::Bytes(bytes) => {
                let Some(connection) = at else { return };
                let Some(one) = self.connections.get_mut(connection) else { return };
                let mut said: Vec<String> = Vec::new();
                if one.up {
                    // Every line is said back, in the node's own time.
                    if self.experiment.node.echoes_immediately {
                        self.send(now, key, true, Message::Bytes(bytes));
                    } else {
                        let late = self.nodes[node].queueing_delay(now);
                        self.send(now + late, key, true, Message::Bytes(bytes));
                    }
                    return;
                }
                lines(&mut one.line, &bytes, |line| said.push(line.to_owned()));
                if let Some(head) = said.first() {
                    let head = head.clone();
                    self.on_open_line(now, connection, &head);
                }
            }
            Message::End(_) => match at {
                Some(connection) => self.drop_connection(now, connection, EndKind::Closed),
                None => self.close_from_peer(now, key, EndKind::Closed),
            },
            Message::ConnectResult(_) => {}
        }
    }

    /// A first line has come.
    fn on_open_line(&mut self, now: f64, key: ConnectionKey, head: &str) {
        let node = self.connections[key].node;
        let link = self.connections[key].link;
        let refuse = |world: &mut World, text: &[u8]| {
            world.send_bytes(now, link, text);
            world.drop_connection(now, key, EndKind::Closed);
        };
        let mut words = head.split(' ');
        let id = match (words.next(), words.next().map(|id| u64::from_str_radix(id, 16))) {
            (Some("OPEN"), Some(Ok(id))) => id,
            _ => return refuse(self, b"SYNTAX\r\n"),
        };
        let list = words.nth(1).unwrap_or("");
        let client = self.calls.get(&id).copied();
        let Some(client) = client.filter(|c| self.clients.contains_key(*c)) else {
            // Its client has gone meanwhile; there is nobody to serve.
            return refuse(self, b"BUSY\r\n");
        };
        let again = value(list, "at").is_some_and(|name| name == self.node_names[node]);
        let (traffic_type, load) = (self.clients[client].traffic_type, self.clients[client].load);
        let one = &mut self.connections[key];
        (one.client, one.traffic_type) = (Some(client), traffic_type);
        let proxy = one.proxy;
        self.service.counts.legs += 1;
        if self.proxies[proxy].zone != self.nodes[node].zone {
            self.service.counts.cross_zone_legs += 1;
        }
        if self.nodes[node].is_cold(now) {
            self.nodes[node].cold_arrivals.push_back((now, proxy, load));
        }
        if again && self.nodes[node].state == NodeState::Up {
            return self.establish(now, key);
        }
        if self.nodes[node].state == NodeState::Draining {
            return refuse(self, b"BUSY\r\n");
        }
        let errors = self.nodes[node].error_share;
        if errors > 0.0 && self.node_random.bernoulli(errors) {
            return refuse(self, b"ERR\r\n");
        }
        let full = self.nodes[node].connections > self.nodes[node].max_connections;
        self.nodes[node].advance(now);
        if full || self.nodes[node].queueing_delay(now) > self.experiment.node.max_queue {
            return refuse(self, b"BUSY\r\n");
        }
        // Set-up work differs from one to the next.
        let work = self.experiment.node.setup_work * (0.5 + self.node_random.uniform());
        self.nodes[node].begin_setup(now, work, key);
        self.estimate_setup(now, node);
    }

    /// Reckons anew when the next set-up is done.
    pub(crate) fn estimate_setup(&mut self, now: f64, node: usize) {
        if let Some(at) = self.nodes[node].next_setup_time() {
            self.setup_estimates[node] = self.setup_estimates[node].wrapping_add(1);
            self.queue.push(at.max(now), Event::SetupDone(node, self.setup_estimates[node]));
        }
    }

    pub(crate) fn finish_setups(&mut self, now: f64, node: usize, estimate: u32) {
        if self.setup_estimates[node] != estimate {
            return;
        }
        while let Some(key) = self.nodes[node].pop_finished_setup(now) {
            if self.connections.get(key).is_some_and(|c| c.node == node) {
                self.establish(now, key);
            }
        }
        self.estimate_setup(now, node);
    }

    fn establish(&mut self, now: f64, key: ConnectionKey) {
        let one = &mut self.connections[key];
        let (link, node, traffic_type) = (one.link, one.node, one.traffic_type);
        let load = one.client.and_then(|c| self.clients.get(c)).map_or(0.0, |c| c.load);
        one.up = true;
        one.load = load;
        // The first line's place is given back; no later line is read.
        one.line = Bytes::new();
        self.nodes[node].change_load(now, load);
        let mut text = format!("UP {:x}\r\n", key.data().as_ffi());
        if self.experiment.node.reports_load {
            text.push_str(&format!("LOAD {}\r\n", (load * 1e6).round()));
        }
        self.send_bytes(now, link, text.as_bytes());
        let gap = self.node_random.exponential(self.experiment.traffic[traffic_type].change_interval);
        self.queue.push(now + gap, Event::LoadChange(key));
    }

    pub(crate) fn change_connection_load(&mut self, now: f64, key: ConnectionKey) {
        let Some(one) = self.connections.get(key) else { return };
        let (link, node, traffic_type, before) = (one.link, one.node, one.traffic_type, one.load);
        let base = one.client.and_then(|c| self.clients.get(c)).map_or(before, |c| c.load);
        let traffic = &self.experiment.traffic[traffic_type];
        let load = if self.node_random.bernoulli(traffic.idle) {
            0.0
        } else {
            base * self.node_random.lognormal(traffic.swing_sigma)
        };
        let gap = self.node_random.exponential(traffic.change_interval);
        self.connections[key].load = load;
        self.nodes[node].change_load(now, load - before);
        if self.experiment.node.reports_load {
            self.send_bytes(now, link, format!("LOAD {}\r\n", (load * 1e6).round()).as_bytes());
        }
        self.queue.push(now + gap, Event::LoadChange(key));
    }

    /// A client has been told that it stands: from now on it counts where it stands.
    pub(crate) fn count_established(&mut self, receipt: &str, revenue_rate: f64) -> Option<ConnectionKey> {
        let key = ConnectionKey::from(KeyData::from_ffi(u64::from_str_radix(receipt, 16).ok()?));
        let one = self.connections.get_mut(key)?;
        one.counted = Some(revenue_rate);
        let (node, traffic_type) = (one.node, one.traffic_type);
        self.nodes[node].add_served(traffic_type, revenue_rate);
        Some(key)
    }

    /// And no longer, whoever finds out first.
    pub(crate) fn stop_counting(&mut self, key: ConnectionKey) {
        if let Some(one) = self.connections.get_mut(key) {
            if let Some(revenue_rate) = one.counted.take() {
                let (node, traffic_type) = (one.node, one.traffic_type);
                self.nodes[node].add_served(traffic_type, -revenue_rate);
            }
        }
    }

    /// The node has nothing more to do with a connection.
    pub(crate) fn drop_connection(&mut self, now: f64, key: ConnectionKey, end_kind: EndKind) {
        self.stop_counting(key);
        let Some(one) = self.connections.remove(key) else { return };
        let node = &mut self.nodes[one.node];
        if node.connections > 0 {
            node.connections -= 1;
        }
        if one.up {
            node.change_load(now, -one.load);
        }
        self.close_from_peer(now, one.link, end_kind);
    }

    pub(crate) fn connections_at(&self, node: usize) -> Vec<ConnectionKey> {
        self.connections.iter().filter(|(_, c)| c.node == node).map(|(k, _)| k).collect()
    }

    /// A drain: nothing new, and all who stand are sent away.
    pub(crate) fn drain(&mut self, now: f64, node: usize) {
        self.nodes[node].state = NodeState::Draining;
        self.service.annotate(now, format!("node {node} drains"));
        self.change_listing(now, node, self.experiment.discovery.update_notice);
        let spread = self.experiment.node.drain_spread;
        for key in self.connections_at(node) {
            if self.connections[key].up {
                let at = now + spread * self.node_random.uniform();
                self.queue.push(at, Event::MoveClient(key));
            }
        }
    }

    pub(crate) fn move_client(&mut self, now: f64, key: ConnectionKey) {
        if let Some(one) = self.connections.get(key) {
            self.send_bytes(now, one.link, b"MOVE\r\n");
            self.drop_connection(now, key, EndKind::Closed);
        }
    }

    /// The process dies: its connections are reset, new ones refused.
    pub(crate) fn kill_node(&mut self, now: f64, node: usize) {
        self.service.annotate(now, format!("node {node} dies"));
        for key in self.connections_at(node) {
            self.drop_connection(now, key, EndKind::Broken);
        }
        self.nodes[node].reset(now);
        self.nodes[node].state = NodeState::Dead;
        self.change_listing(now, node, self.experiment.discovery.failure_notice);
    }

    /// The machine vanishes: nothing comes back, and nobody is told.
    pub(crate) fn silence_node(&mut self, now: f64, node: usize) {
        self.service.annotate(now, format!("node {node} goes silent"));
        for key in self.connections_at(node) {
            self.stop_counting(key);
        }
        self.nodes[node].state = NodeState::Silent;
        self.change_listing(now, node, self.experiment.discovery.silent_notice);
    }

    /// A process starts, cold; what an earlier one left open is reset.
    pub(crate) fn start_node(&mut self, now: f64, node: usize) {
        self.service.annotate(now, format!("node {node} starts"));
        // Back on the network first, so that the resets get through.
        self.nodes[node].state = NodeState::Up;
        for key in self.connections_at(node) {
            self.drop_connection(now, key, EndKind::Broken);
        }
        self.nodes[node].start(now);
        self.change_listing(now, node, self.experiment.discovery.update_notice);
    }

    pub(crate) fn crash_overloaded(&mut self, now: f64, node: usize) {
        self.service.counts.nodes_crashed += 1;
        let brought: Vec<(f64, usize, f64)> = self.nodes[node].cold_arrivals.iter().copied().collect();
        self.audit.on_node_crash(now, node, self.nodes[node].started_at, &brought);
        self.kill_node(now, node);
        self.service.annotate(now, format!("node {node} has fallen over"));
    }

    /// A node far behind with its work breaks off its newest connections until it can keep up.
    pub(crate) fn shed_connections(&mut self, now: f64, node: usize) {
        let from = self.experiment.node.shed_threshold;
        if from <= 0.0 || self.nodes[node].queueing_delay(now) < from {
            return;
        }
        let mut standing = self.connections_at(node);
        standing.retain(|k| self.connections[*k].up);
        // Slots are used again, so that the newest are told by when their clients were placed.
        let since = |k: &ConnectionKey| {
            let client = self.connections[*k].client.and_then(|c| self.clients.get(c));
            client.map_or(0.0, |c| if c.state == ClientState::Established { c.established_at } else { now })
        };
        standing.sort_by(|a, b| since(b).total_cmp(&since(a)).then(a.cmp(b)));
        let able = self.nodes[node].capacity(now);
        // A twentieth at a time, so that what is asked falls before more are broken off.
        for key in standing.iter().take(standing.len().div_ceil(20)) {
            if self.nodes[node].load() <= able {
                break;
            }
            self.drop_connection(now, *key, EndKind::Broken);
        }
    }

    /// A proxy's processes get a signal.
    pub(crate) fn signal(&mut self, now: f64, proxy: usize, signal: Signal) {
        let one = &mut self.proxies[proxy];
        match signal {
            Signal::Stop | Signal::StopGroup if one.listening && !one.is_stopping() => {
                one.stop_requested_at = Some(now);
                self.front_notices_stop(now, proxy);
            }
            // One that has ended by itself may have left others behind.
            Signal::Kill => {
                let had_its_time =
                    one.stop_requested_at.is_some_and(|at| now - at >= killed_after(self) - ROUNDING);
                self.audit.on_kill(proxy, had_its_time);
            }
            _ if !one.listening => return,
            _ => {}
        }
        self.service.annotate(now, format!("proxy {proxy} gets {signal:?}"));
        self.emit(Effect::Signal(proxy, signal));
    }
}
