//! The nodes' side of connections: first lines, setups, echoes, load reports, drains and failures. Also the
//! signals to proxies.

use crate::clients::ClientState;
use crate::nodes::NodeState;
use crate::troubles::kill_delay;
use crate::world::{
    Bytes, ClientKey, ConnectionKey, Effect, EndKind, Event, LinkKey, Message, Peer, Signal, World,
};
use slotmap::{Key, KeyData};

/// Tolerance for the comparison of times, in seconds.
const TIME_TOLERANCE: f64 = 1e-6;

/// A connection as its node holds it.
pub(crate) struct Connection {
    pub link: LinkKey,
    pub node: usize,
    pub proxy: usize,
    /// The client, once the first line has been read.
    pub client: Option<ClientKey>,
    pub traffic_type: usize,
    pub load: f64,
    pub established: bool,
    /// The revenue rate with which the connection counts as served at its node, if it does.
    pub counted_revenue: Option<f64>,
    /// A line that is not complete yet.
    pub line: Bytes,
}

/// Returns the value of a named field of a comma-separated `name=value` list.
pub(crate) fn field_value<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|pair| pair.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v))
}

/// Appends bytes to `partial` and passes each complete line to `on_line`.
pub(crate) fn lines(partial: &mut Bytes, bytes: &[u8], mut on_line: impl FnMut(&str)) {
    partial.extend_from_slice(bytes);
    let mut start = 0;
    while let Some(end) = partial[start..].iter().position(|b| *b == b'\n') {
        let line = &partial[start..start + end];
        on_line(std::str::from_utf8(line).unwrap_or("").trim_end_matches('\r'));
        start += end + 1;
    }
    partial.drain(..start);
}

impl World {
    /// A message has arrived at a node.
    pub(crate) fn node_receives(
        &mut self,
        now: f64,
        node: usize,
        accepted: Option<ConnectionKey>,
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
                        established: false,
                        counted_revenue: None,
                        line: Bytes::new(),
                    });
                    self.links[key].peer = Peer::Node(node, Some(connection));
                    self.nodes[node].connections += 1;
                    self.send(now, key, true, Message::ConnectResult(true));
                }
            },
            Message::Bytes(bytes) => {
                let Some(connection) = accepted else { return };
                let Some(entry) = self.connections.get_mut(connection) else { return };
                let mut received_lines: Vec<String> = Vec::new();
                if entry.established {
                    // Every line is echoed, immediately or after the queueing delay.
                    if self.experiment.node.echoes_immediately {
                        self.send(now, key, true, Message::Bytes(bytes));
                    } else {
                        let delay = self.nodes[node].queueing_delay(now);
                        self.send(now + delay, key, true, Message::Bytes(bytes));
                    }
                    return;
                }
                lines(&mut entry.line, &bytes, |line| received_lines.push(line.to_owned()));
                if let Some(open_line) = received_lines.first() {
                    let open_line = open_line.clone();
                    self.on_open_line(now, connection, &open_line);
                }
            }
            Message::End(_) => match accepted {
                Some(connection) => self.drop_connection(now, connection, EndKind::Closed),
                None => self.close_from_peer(now, key, EndKind::Closed),
            },
            Message::ConnectResult(_) => {}
        }
    }

    /// Handles the first line of a connection: accepts, rejects or queues its setup.
    fn on_open_line(&mut self, now: f64, key: ConnectionKey, open_line: &str) {
        let node = self.connections[key].node;
        let link = self.connections[key].link;
        let refuse = |world: &mut World, text: &[u8]| {
            world.send_bytes(now, link, text);
            world.drop_connection(now, key, EndKind::Closed);
        };
        let mut fields = open_line.split(' ');
        let id = match (fields.next(), fields.next().map(|id| u64::from_str_radix(id, 16))) {
            (Some("OPEN"), Some(Ok(id))) => id,
            _ => return refuse(self, b"SYNTAX\r\n"),
        };
        let list = fields.nth(1).unwrap_or("");
        let client = self.calls.get(&id).copied();
        let Some(client) = client.filter(|c| self.clients.contains_key(*c)) else {
            // The client has left; there is nothing to serve.
            return refuse(self, b"BUSY\r\n");
        };
        let is_restored = field_value(list, "at").is_some_and(|name| name == self.node_names[node]);
        let (traffic_type, load) = (self.clients[client].traffic_type, self.clients[client].load);
        let entry = &mut self.connections[key];
        (entry.client, entry.traffic_type) = (Some(client), traffic_type);
        let proxy = entry.proxy;
        self.service.counts.legs += 1;
        if self.proxies[proxy].zone != self.nodes[node].zone {
            self.service.counts.cross_zone_legs += 1;
        }
        if self.nodes[node].is_cold(now) {
            self.nodes[node].cold_arrivals.push_back((now, proxy, load));
        }
        if is_restored && self.nodes[node].state == NodeState::Up {
            return self.establish(now, key);
        }
        if self.nodes[node].state == NodeState::Draining {
            return refuse(self, b"BUSY\r\n");
        }
        let error_share = self.nodes[node].error_share;
        if error_share > 0.0 && self.node_random.bernoulli(error_share) {
            return refuse(self, b"ERR\r\n");
        }
        let is_full = self.nodes[node].connections > self.nodes[node].max_connections;
        self.nodes[node].advance(now);
        if is_full || self.nodes[node].queueing_delay(now) > self.experiment.node.max_queue {
            return refuse(self, b"BUSY\r\n");
        }
        // Setup work varies between connections.
        let work = self.experiment.node.setup_work * (0.5 + self.node_random.uniform());
        self.nodes[node].begin_setup(now, work, key);
        self.estimate_setup(now, node);
    }

    /// Schedules the end of the next setup, and invalidates earlier estimates.
    pub(crate) fn estimate_setup(&mut self, now: f64, node: usize) {
        if let Some(at) = self.nodes[node].next_setup_time() {
            self.setup_estimates[node] = self.setup_estimates[node].wrapping_add(1);
            self.queue.push(at.max(now), Event::SetupDone(node, self.setup_estimates[node]));
        }
    }

    /// Finishes the setups that are done, if the estimate is current.
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

    /// Answers `UP` on a connection and starts its load.
    fn establish(&mut self, now: f64, key: ConnectionKey) {
        let entry = &mut self.connections[key];
        let (link, node, traffic_type) = (entry.link, entry.node, entry.traffic_type);
        let load = entry.client.and_then(|c| self.clients.get(c)).map_or(0.0, |c| c.load);
        entry.established = true;
        entry.load = load;
        // Frees the first line's memory; no later line is read.
        entry.line = Bytes::new();
        self.nodes[node].change_load(now, load);
        let mut text = format!("UP {:x}\r\n", key.data().as_ffi());
        if self.experiment.node.reports_load {
            text.push_str(&format!("LOAD {}\r\n", (load * 1e6).round()));
        }
        self.send_bytes(now, link, text.as_bytes());
        let interval = self.node_random.exponential(self.experiment.traffic[traffic_type].change_interval);
        self.queue.push(now + interval, Event::LoadChange(key));
    }

    /// Draws a new load for a connection and schedules the next change.
    pub(crate) fn change_connection_load(&mut self, now: f64, key: ConnectionKey) {
        let Some(entry) = self.connections.get(key) else { return };
        let (link, node, traffic_type, previous_load) =
            (entry.link, entry.node, entry.traffic_type, entry.load);
        let base = entry.client.and_then(|c| self.clients.get(c)).map_or(previous_load, |c| c.load);
        let traffic = &self.experiment.traffic[traffic_type];
        let load = if self.node_random.bernoulli(traffic.idle) {
            0.0
        } else {
            base * self.node_random.lognormal(traffic.swing_sigma)
        };
        let interval = self.node_random.exponential(traffic.change_interval);
        self.connections[key].load = load;
        self.nodes[node].change_load(now, load - previous_load);
        if self.experiment.node.reports_load {
            self.send_bytes(now, link, format!("LOAD {}\r\n", (load * 1e6).round()).as_bytes());
        }
        self.queue.push(now + interval, Event::LoadChange(key));
    }

    /// The client has received `UP`: the connection counts as served at its node.
    pub(crate) fn count_established(&mut self, receipt: &str, revenue_rate: f64) -> Option<ConnectionKey> {
        let key = ConnectionKey::from(KeyData::from_ffi(u64::from_str_radix(receipt, 16).ok()?));
        let entry = self.connections.get_mut(key)?;
        entry.counted_revenue = Some(revenue_rate);
        let (node, traffic_type) = (entry.node, entry.traffic_type);
        self.nodes[node].add_served(traffic_type, revenue_rate);
        Some(key)
    }

    /// The connection no longer counts as served; called from whichever side notices first.
    pub(crate) fn stop_counting(&mut self, key: ConnectionKey) {
        if let Some(entry) = self.connections.get_mut(key) {
            if let Some(revenue_rate) = entry.counted_revenue.take() {
                let (node, traffic_type) = (entry.node, entry.traffic_type);
                self.nodes[node].add_served(traffic_type, -revenue_rate);
            }
        }
    }

    /// Removes a connection from its node and closes the link.
    pub(crate) fn drop_connection(&mut self, now: f64, key: ConnectionKey, end_kind: EndKind) {
        self.stop_counting(key);
        let Some(entry) = self.connections.remove(key) else { return };
        let node = &mut self.nodes[entry.node];
        if node.connections > 0 {
            node.connections -= 1;
        }
        if entry.established {
            node.change_load(now, -entry.load);
        }
        self.close_from_peer(now, entry.link, end_kind);
    }

    /// The connections at a node.
    pub(crate) fn connections_at(&self, node: usize) -> Vec<ConnectionKey> {
        self.connections.iter().filter(|(_, c)| c.node == node).map(|(k, _)| k).collect()
    }

    /// Drains a node: no new calls, and all established clients are sent away.
    pub(crate) fn drain(&mut self, now: f64, node: usize) {
        self.nodes[node].state = NodeState::Draining;
        self.service.annotate(now, format!("node {node} drains"));
        self.schedule_update(now, node, self.experiment.discovery.update_notice);
        let spread = self.experiment.node.drain_spread;
        for key in self.connections_at(node) {
            if self.connections[key].established {
                let at = now + spread * self.node_random.uniform();
                self.queue.push(at, Event::MoveClient(key));
            }
        }
    }

    /// Sends `MOVE` on a connection and closes it.
    pub(crate) fn move_client(&mut self, now: f64, key: ConnectionKey) {
        if let Some(entry) = self.connections.get(key) {
            self.send_bytes(now, entry.link, b"MOVE\r\n");
            self.drop_connection(now, key, EndKind::Closed);
        }
    }

    /// Ends a node's process: its connections are reset and new ones refused.
    pub(crate) fn kill_node(&mut self, now: f64, node: usize) {
        self.service.annotate(now, format!("node {node} dies"));
        for key in self.connections_at(node) {
            self.drop_connection(now, key, EndKind::Broken);
        }
        self.nodes[node].reset(now);
        self.nodes[node].state = NodeState::Dead;
        self.schedule_update(now, node, self.experiment.discovery.failure_notice);
    }

    /// Makes a node's machine vanish: nothing is sent any more, and no connection is closed.
    pub(crate) fn silence_node(&mut self, now: f64, node: usize) {
        self.service.annotate(now, format!("node {node} goes silent"));
        for key in self.connections_at(node) {
            self.stop_counting(key);
        }
        self.nodes[node].state = NodeState::Silent;
        self.schedule_update(now, node, self.experiment.discovery.silent_notice);
    }

    /// Starts a node's process, cold. Connections that an earlier process left open are reset.
    pub(crate) fn start_node(&mut self, now: f64, node: usize) {
        self.service.annotate(now, format!("node {node} starts"));
        // The machine must be reachable before the resets are sent.
        self.nodes[node].state = NodeState::Up;
        for key in self.connections_at(node) {
            self.drop_connection(now, key, EndKind::Broken);
        }
        self.nodes[node].start(now);
        self.schedule_update(now, node, self.experiment.discovery.update_notice);
    }

    /// Ends the process of an overloaded cold node.
    pub(crate) fn crash_overloaded(&mut self, now: f64, node: usize) {
        self.service.counts.nodes_crashed += 1;
        let arrivals: Vec<(f64, usize, f64)> = self.nodes[node].cold_arrivals.iter().copied().collect();
        self.audit.on_node_crash(now, node, self.nodes[node].started_at, &arrivals);
        self.kill_node(now, node);
        self.service.annotate(now, format!("node {node} has fallen over"));
    }

    /// Resets the newest connections of a node with too much queued work, until its capacity suffices.
    pub(crate) fn shed_connections(&mut self, now: f64, node: usize) {
        let threshold = self.experiment.node.shed_threshold;
        if threshold <= 0.0 || self.nodes[node].queueing_delay(now) < threshold {
            return;
        }
        let mut shed_candidates = self.connections_at(node);
        shed_candidates.retain(|k| self.connections[*k].established);
        // Slots are reused, so the newest connections are found by the time at which their clients were
        // established.
        let since = |k: &ConnectionKey| {
            let client = self.connections[*k].client.and_then(|c| self.clients.get(c));
            client.map_or(0.0, |c| if c.state == ClientState::Established { c.established_at } else { now })
        };
        shed_candidates.sort_by(|a, b| since(b).total_cmp(&since(a)).then(a.cmp(b)));
        let capacity = self.nodes[node].capacity(now);
        // Resets a twentieth at a time, so that the load falls before further connections are reset.
        for key in shed_candidates.iter().take(shed_candidates.len().div_ceil(20)) {
            if self.nodes[node].load() <= capacity {
                break;
            }
            self.drop_connection(now, *key, EndKind::Broken);
        }
    }

    /// Sends a signal to the processes of a proxy.
    pub(crate) fn signal(&mut self, now: f64, proxy: usize, signal: Signal) {
        let proxy_state = &mut self.proxies[proxy];
        match signal {
            Signal::Stop | Signal::StopGroup if proxy_state.listening && !proxy_state.is_stopping() => {
                proxy_state.stop_requested_at = Some(now);
                self.front_notices_stop(now, proxy);
            }
            // A serving process that has exited may have left retiring processes.
            Signal::Kill => {
                let had_stop_time = proxy_state
                    .stop_requested_at
                    .is_some_and(|at| now - at >= kill_delay(self) - TIME_TOLERANCE);
                self.audit.on_kill(proxy, had_stop_time);
            }
            _ if !proxy_state.listening => return,
            _ => {}
        }
        self.service.annotate(now, format!("proxy {proxy} gets {signal:?}"));
        self.emit(Effect::Signal(proxy, signal));
    }
}
