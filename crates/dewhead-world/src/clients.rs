//! Clients. They arrive regardless of whether earlier ones were served, wait for an answer until their guard time,
//! retry after pauses, stay connected for their lifetime, and reconnect after a broken connection or a move.

use crate::experiment::Experiment;
use crate::node_connections::lines;
use crate::random::{RandomStream, StreamPurpose};
use crate::world::{Bytes, ClientKey, ConnectionKey, EndKind, Event, LinkKey, Message, Peer, World};

/// The state of a client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum ClientState {
    /// Waiting for its next call.
    Waiting,
    /// Waiting for the answer to a call.
    Calling,
    /// Connected.
    Established,
}

/// A client.
pub(crate) struct Client {
    pub state: ClientState,
    pub zone: usize,
    pub traffic_type: usize,
    pub tenant: usize,
    /// Mean load while it is not idle, in standard cores.
    pub load: f64,
    hint: f64,
    revenue_rate: f64,
    /// Time at which it leaves and does not reconnect.
    pub leaves_at: f64,
    retries: u32,
    pause: f64,
    honours_retry_after: bool,
    random: RandomStream,
    key: u64,
    /// When its current call was due, and when it gives up.
    call_due: f64,
    gives_up_at: f64,
    pub link: Option<LinkKey>,
    call_id: u64,
    is_retry: bool,
    is_reconnect: bool,
    /// For a connection that existed before the start: the node.
    restored_node: Option<usize>,
    /// When the current connection was established, and that connection, to count what is served.
    pub established_at: f64,
    pub connection: Option<ConnectionKey>,
    /// When it last received a line, and the number of lines it has sent.
    last_line_at: f64,
    lines_sent: u32,
    partial_line: Bytes,
    /// Identifies the current timer; timers with another number are outdated.
    timer_id: u32,
}

/// The source of new clients, and the changes that troubles make to it.
pub(crate) struct Clients {
    arrival_random: RandomStream,
    seed: u64,
    client_count: u64,
    call_count: u64,
    /// Mean number of new clients per second.
    arrival_rate: f64,
    /// Current multiples of the arrival rate: for all clients, and by tenant.
    pub arrival_multiple: f64,
    pub tenant_multiples: Vec<f64>,
    /// By traffic type: the fraction of new clients with a multiple of the usual load, and that multiple.
    pub heavy_loads: Vec<(f64, f64)>,
    /// Whether clients still arrive.
    pub arrivals_open: bool,
}

/// Time without a line after which a client considers its connection lost, in seconds.
const LINE_TIMEOUT: f64 = 12.0;
/// Time beyond its deadline for which a client waits for an answer in transit, in seconds.
const ANSWER_TRANSIT_TIME: f64 = 0.06;

impl Clients {
    pub(crate) fn new(experiment: &Experiment, seed: u64) -> Clients {
        Clients {
            arrival_random: RandomStream::new(seed, StreamPurpose::Arrivals, 0),
            seed,
            client_count: 0,
            call_count: 0,
            arrival_rate: 0.0,
            arrival_multiple: 1.0,
            tenant_multiples: vec![1.0; experiment.tenants.len()],
            heavy_loads: vec![(0.0, 1.0); experiment.traffic.len()],
            arrivals_open: true,
        }
    }
}

impl World {
    /// Computes the arrival rate from the experiment, schedules the first arrival and adds the clients that
    /// are connected before the start.
    pub(crate) fn start_population(&mut self, from: f64) {
        let capacity: f64 = self.nodes.iter().map(|n| n.warm_capacity).sum();
        let total_share: f64 = self.experiment.traffic.iter().map(|t| t.share).sum();
        let load_per_arrival: f64 = self
            .experiment
            .traffic
            .iter()
            .map(|t| t.share / total_share * t.load * (1.0 - t.idle) * t.lifetime)
            .sum();
        self.population.arrival_rate =
            self.experiment.load.utilisation * capacity / load_per_arrival.max(1e-9);
        self.queue.push(from, Event::Arrival);
        if !self.experiment.load.prewarmed {
            return;
        }
        let mut random = RandomStream::new(self.seed, StreamPurpose::Arrivals, 1);
        let initial_clients: f64 =
            self.experiment.traffic.iter().map(|t| t.share / total_share * t.lifetime).sum::<f64>()
                * self.population.arrival_rate;
        let weights: Vec<f64> = self
            .nodes
            .iter()
            .map(|n| if self.experiment.node.weights { n.warm_capacity } else { 1.0 })
            .collect();
        for _ in 0..initial_clients.round() as usize {
            // The connections at any one time are weighted by share and lifetime.
            let traffic_types = self.experiment.traffic.clone();
            let traffic_type = random.weighted_index(traffic_types.iter().map(|t| t.share * t.lifetime));
            let node = random.weighted_index(weights.iter().copied());
            let at = from + 2.0 * random.uniform();
            let zone = self.nodes[node].zone;
            let time_left = traffic_types[traffic_type].lifetime * random.exponential(1.0);
            self.add_client(at, traffic_type, Some((node, zone, time_left)));
        }
    }

    /// Adds a client and schedules the next arrival. The rate varies with the period of the load
    /// and with the current troubles.
    pub(crate) fn add_arrival(&mut self, now: f64) {
        if !self.population.arrivals_open {
            return;
        }
        let load = &self.experiment.load;
        let swing = 1.0 + load.swing * (std::f64::consts::TAU * now / load.period).sin();
        let total_share: f64 = self.experiment.tenants.iter().map(|s| s.share).sum();
        let weighted_demand = self
            .experiment
            .tenants
            .iter()
            .zip(&self.population.tenant_multiples)
            .map(|(s, f)| s.share * s.usage * f)
            .sum::<f64>();
        let rate = self.population.arrival_rate * swing * self.population.arrival_multiple * weighted_demand
            / total_share;
        if rate > 0.0 {
            let traffic_type = self
                .population
                .arrival_random
                .weighted_index(self.experiment.traffic.iter().map(|t| t.share));
            self.add_client(now, traffic_type, None);
        }
        let interval = self.population.arrival_random.exponential(1.0 / rate.max(0.1));
        self.queue.push(now + interval, Event::Arrival);
    }

    /// Adds a client that calls at `now`. For a connection that existed before the start, `existing` has its
    /// node, zone and remaining time.
    fn add_client(&mut self, now: f64, traffic_type: usize, existing: Option<(usize, usize, f64)>) {
        let population = &mut self.population;
        population.client_count += 1;
        let mut random = RandomStream::new(population.seed, StreamPurpose::Client, population.client_count);
        let traffic = &self.experiment.traffic[traffic_type];
        let zones = self.experiment.fleet.zones.len();
        let skew = self.experiment.load.zone_skew;
        let zone = random.weighted_index((0..zones).map(|z| {
            if z == 0 {
                1.0 + skew * (zones - 1) as f64
            } else {
                1.0 - skew
            }
        }));
        let tenant_multiples = &population.tenant_multiples;
        let tenant = random.weighted_index(
            self.experiment.tenants.iter().enumerate().map(|(n, s)| s.share * s.usage * tenant_multiples[n]),
        );
        let (fraction, multiple) = population.heavy_loads[traffic_type];
        let load_multiple = if random.bernoulli(fraction) { multiple } else { 1.0 };
        let load = traffic.load * random.lognormal(traffic.load_sigma) * load_multiple;
        let lifetime = (traffic.lifetime * random.pareto(traffic.lifetime_shape)).max(0.5);
        let lifetime = existing.map_or(lifetime, |s| s.2.max(0.5));
        // Clients report their usual load; a heavy-tail trouble is not part of it.
        let hint = load / load_multiple * random.lognormal(self.experiment.clients.hint_sigma);
        let revenue_rate = traffic.revenue * load / load_multiple;
        let retries = random.uniform_in(self.experiment.clients.retries).round() as u32;
        let client = Client {
            state: ClientState::Waiting,
            zone: existing.map_or(zone, |s| s.1),
            traffic_type,
            tenant,
            load,
            hint,
            revenue_rate,
            leaves_at: now + lifetime,
            retries,
            pause: random.uniform_in(self.experiment.clients.pause),
            honours_retry_after: random.bernoulli(self.experiment.clients.honours_retry_after),
            key: random.next_u64(),
            random,
            call_due: now,
            gives_up_at: now + traffic.guard_time,
            link: None,
            call_id: 0,
            is_retry: false,
            is_reconnect: false,
            restored_node: existing.map(|s| s.0),
            established_at: 0.0,
            connection: None,
            last_line_at: 0.0,
            lines_sent: 0,
            partial_line: Bytes::new(),
            timer_id: 0,
        };
        let key = self.clients.insert(client);
        self.queue.push(now, Event::Client(key, 0));
        self.service.counts.clients += 1;
    }

    /// Replaces a client's timer.
    fn set_client_timer(&mut self, key: ClientKey, at: f64) {
        if let Some(client) = self.clients.get_mut(key) {
            client.timer_id = client.timer_id.wrapping_add(1);
            self.queue.push(at, Event::Client(key, client.timer_id));
        }
    }

    /// A client's timer has expired.
    pub(crate) fn on_client_timer(&mut self, now: f64, key: ClientKey, timer_id: u32) {
        let Some(client) = self.clients.get_mut(key).filter(|c| c.timer_id == timer_id) else { return };
        match client.state {
            ClientState::Waiting => {
                if timer_id == 0 {
                    // The client arrives: its demand counts from now until it leaves.
                    let (traffic_type, revenue_rate, leaves_at) =
                        (client.traffic_type, client.revenue_rate, client.leaves_at);
                    self.service.change_demand(now, traffic_type, revenue_rate);
                    self.queue.push(leaves_at, Event::DemandEnds(traffic_type, revenue_rate));
                }
                self.place_call(now, key);
            }
            ClientState::Calling => {
                // The call has timed out.
                self.service.counts.unanswered += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, None);
            }
            ClientState::Established if now >= client.leaves_at => {
                self.service.counts.ended += 1;
                self.close_client_link(now, key);
                self.forget_client(key);
            }
            ClientState::Established if now - client.last_line_at > LINE_TIMEOUT => {
                self.close_client_link(now, key);
                self.schedule_reconnect(now, key, false);
            }
            ClientState::Established => {
                let next = (now + self.experiment.clients.line_interval).min(client.leaves_at);
                if let Some(link) = client.link {
                    client.lines_sent += 1;
                    let text = format!("M {}\r\n", client.lines_sent);
                    self.send_bytes(now, link, text.as_bytes());
                }
                self.set_client_timer(key, next);
            }
        }
    }

    /// Makes a call through the front layer.
    fn place_call(&mut self, now: f64, key: ClientKey) {
        let client = &self.clients[key];
        if now >= client.leaves_at {
            return self.forget_client(key);
        }
        let (zone, traffic_type, old_call) = (client.zone, client.traffic_type, client.call_id);
        self.calls.remove(&old_call);
        let Some(proxy) = self.front.proxy_for(zone) else {
            self.service.counts.unreachable += 1;
            return self.schedule_retry(now, key, None);
        };
        let latency = self.network.client_latency();
        let link = self.open_link(proxy, Peer::Client(key), latency);
        self.population.call_count += 1;
        // The multiplier is odd, so that ids are distinct; they also do not resemble each other.
        let id = self.population.call_count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.calls.insert(id, key);
        let (traffic, tenant) =
            (&self.experiment.traffic[traffic_type], &self.experiment.tenants[self.clients[key].tenant]);
        let client = &mut self.clients[key];
        if client.restored_node.is_some() {
            // Existing connections are restored whatever the guard time of a new call is.
            client.gives_up_at = now + 40.0;
        }
        let time_left = ((client.gives_up_at - now) * 1e3).max(1.0);
        let mut text = format!(
            "OPEN {id:016x} {:x} c={},t={},d={time_left:.3},g={:x}",
            client.key,
            traffic.name,
            tenant.name,
            client.key >> 8
        );
        if self.experiment.clients.hints {
            text.push_str(&format!(",h={:.1}", client.hint * 1e6));
        }
        if client.is_retry {
            text.push_str(",r=1");
        }
        if client.is_reconnect {
            text.push_str(",again=1");
        }
        if let Some(node) = client.restored_node {
            text.push_str(&format!(",at={}", self.node_names[node]));
        }
        text.push_str("\r\n");
        (client.state, client.link, client.call_id) = (ClientState::Calling, Some(link), id);
        client.partial_line.clear();
        let gives_up_at = client.gives_up_at;
        self.service.counts.calls += 1;
        self.proxies[proxy].connections += 1;
        self.send(now, link, true, Message::Connect);
        self.send_bytes(now, link, text.as_bytes());
        // An answer given in time may still be in transit.
        self.set_client_timer(key, gives_up_at + ANSWER_TRANSIT_TIME);
    }

    /// Closes the client's link.
    fn close_client_link(&mut self, now: f64, key: ClientKey) {
        if let Some(link) = self.detach_link(key) {
            self.close_from_peer(now, link, EndKind::Closed);
        }
    }

    /// Detaches a client from its link, which stays open.
    fn detach_link(&mut self, key: ClientKey) -> Option<LinkKey> {
        let client = &mut self.clients[key];
        let (link, connection) = (client.link.take(), client.connection.take());
        if let Some(connection) = connection {
            self.stop_counting(connection);
        }
        if let Some(link) = link {
            if let Some(proxy) = self.links.get(link).map(|l| l.proxy) {
                self.proxies[proxy].connections = self.proxies[proxy].connections.saturating_sub(1);
            }
        }
        link
    }

    /// Leaves the link after a `MOVE` but keeps writing on it until the proxy's side is closed.
    fn keep_writing(&mut self, now: f64, key: ClientKey) {
        if let Some(link) = self.detach_link(key) {
            if let Some(link_state) = self.links.get_mut(link) {
                link_state.peer = Peer::IgnoringMove;
                self.queue.push(now + self.experiment.clients.line_interval, Event::WriteAfterMove(link));
            }
        }
    }

    /// Writes a line on a link after `MOVE` and schedules the next one.
    pub(crate) fn write_after_move(&mut self, now: f64, link: LinkKey) {
        let open = self.links.get(link).is_some_and(|l| l.peer == Peer::IgnoringMove && !l.is_half_closed());
        if open {
            self.send_bytes(now, link, b"M 0\r\n");
            self.queue.push(now + self.experiment.clients.line_interval, Event::WriteAfterMove(link));
        }
    }

    /// Removes a client and its call.
    pub(crate) fn forget_client(&mut self, key: ClientKey) {
        if let Some(client) = self.clients.remove(key) {
            self.calls.remove(&client.call_id);
        }
    }

    /// Schedules a retry after a call without success, or removes the client if it has none left.
    fn schedule_retry(&mut self, now: f64, key: ClientKey, retry_after: Option<f64>) {
        let client = &mut self.clients[key];
        let honoured_delay = retry_after.filter(|_| client.honours_retry_after).unwrap_or(0.0);
        let at = now + honoured_delay.max(client.pause * (0.5 + client.random.uniform()));
        client.pause *= 2.0;
        client.state = ClientState::Waiting;
        // A client that respects the retry time starts a new waiting period with it.
        if honoured_delay > 0.0 {
            client.gives_up_at =
                client.gives_up_at.max(at + self.experiment.traffic[client.traffic_type].guard_time / 2.0);
        }
        client.is_retry = true;
        if client.retries == 0 || at >= client.gives_up_at {
            self.service.counts.lost_clients += 1;
            return self.forget_client(key);
        }
        client.retries -= 1;
        self.set_client_timer(key, at);
    }

    /// Schedules a reconnect after a broken connection or a move, with new retries and a new deadline.
    pub(crate) fn schedule_reconnect(&mut self, now: f64, key: ClientKey, moved: bool) {
        if moved {
            self.service.counts.moved += 1;
        } else {
            self.service.counts.broken += 1;
        }
        let (reconnect_delay, retries, pause) = (
            self.experiment.clients.reconnect_delay,
            self.experiment.clients.retries,
            self.experiment.clients.pause,
        );
        let client = &mut self.clients[key];
        let at = now + client.random.uniform_in(reconnect_delay);
        client.state = ClientState::Waiting;
        (client.is_reconnect, client.is_retry, client.restored_node) = (true, false, None);
        client.retries = client.random.uniform_in(retries).round() as u32;
        client.pause = client.random.uniform_in(pause);
        client.call_due = at;
        client.gives_up_at = at + self.experiment.traffic[client.traffic_type].guard_time;
        self.set_client_timer(key, at);
    }

    /// Drops the connection of an established client, which then reconnects.
    pub(crate) fn drop_client(&mut self, now: f64, key: ClientKey, end_kind: EndKind) {
        if self.clients[key].state == ClientState::Established {
            if let Some(link) = self.detach_link(key) {
                self.close_from_peer(now, link, end_kind);
            }
            self.schedule_reconnect(now, key, false);
        }
    }

    /// The clients that are connected.
    pub(crate) fn established_clients(&self) -> Vec<ClientKey> {
        self.clients.iter().filter(|(_, c)| c.state == ClientState::Established).map(|(k, _)| k).collect()
    }

    /// A message has arrived at a client.
    pub(crate) fn client_receives(&mut self, now: f64, key: ClientKey, link: LinkKey, message: Message) {
        if self.clients.get(key).is_none_or(|c| c.link != Some(link)) {
            return;
        }
        match message {
            Message::Bytes(bytes) => {
                let mut received_lines: Vec<Bytes> = Vec::new();
                let client = &mut self.clients[key];
                lines(&mut client.partial_line, &bytes, |line| {
                    received_lines.push(Bytes::from_slice(line.as_bytes()))
                });
                for line in received_lines {
                    if self.clients.get(key).is_none_or(|c| c.link != Some(link)) {
                        return;
                    }
                    self.client_line(now, key, &String::from_utf8_lossy(&line));
                }
            }
            Message::ConnectResult(_) => {
                // Refused: no process listens at the proxy.
                self.service.counts.unreachable += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, None);
            }
            Message::End(_) => {
                let was_established = self.clients[key].state == ClientState::Established;
                self.close_client_link(now, key);
                if was_established {
                    self.schedule_reconnect(now, key, false);
                } else {
                    self.service.counts.failed += 1;
                    self.schedule_retry(now, key, None);
                }
            }
            Message::Connect => {}
        }
    }

    /// Handles a line from the proxy.
    fn client_line(&mut self, now: f64, key: ClientKey, line: &str) {
        let mut words = line.split(' ');
        let word = words.next().unwrap_or("");
        let client = &mut self.clients[key];
        client.last_line_at = now;
        match (client.state, word) {
            (ClientState::Calling, "UP") => {
                client.state = ClientState::Established;
                client.established_at = now;
                let (traffic_type, call_due, revenue_rate, leaves_at) =
                    (client.traffic_type, client.call_due, client.revenue_rate, client.leaves_at);
                let is_new = client.restored_node.is_none();
                let connection = self.count_established(words.next().unwrap_or(""), revenue_rate);
                self.clients[key].connection = connection;
                self.service.counts.completed += 1;
                if is_new {
                    self.service.record_setup(
                        traffic_type,
                        now - call_due,
                        self.experiment.traffic[traffic_type].setup_target,
                    );
                }
                let first_line_delay =
                    self.experiment.clients.line_interval * self.clients[key].random.uniform();
                self.set_client_timer(key, (now + first_line_delay).min(leaves_at));
            }
            (ClientState::Calling, "BUSY") => {
                let retry_after = words.next().and_then(|ms| ms.parse::<f64>().ok()).map(|ms| ms / 1e3);
                self.service.counts.rejected += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, retry_after);
            }
            (ClientState::Calling, _) => {
                self.service.counts.failed += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, None);
            }
            (ClientState::Established, "MOVE") => {
                let ignore_share = self.experiment.clients.ignore_move_share;
                if ignore_share > 0.0 && self.clients[key].random.bernoulli(ignore_share) {
                    self.keep_writing(now, key);
                } else {
                    self.close_client_link(now, key);
                }
                self.schedule_reconnect(now, key, true);
            }
            _ => {}
        }
    }
}
