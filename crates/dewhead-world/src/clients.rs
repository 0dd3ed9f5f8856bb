//! Clients: they come as they come, whatever becomes of those before them; they wait until their guard time, try again
//! after pauses, stay for their life, and come again after a break or a move.

use crate::experiment::Experiment;
use crate::node_connections::lines;
use crate::random::{RandomStream, StreamPurpose};
use crate::world::{Bytes, ClientKey, ConnectionKey, EndKind, Event, LinkKey, Message, Peer, World};

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Stage {
    /// Between two tries.
    Away,
    Calling,
    Standing,
}

pub(crate) struct Client {
    pub stage: Stage,
    pub zone: usize,
    pub traffic_type: usize,
    pub shop: usize,
    /// Its mean load while it asks anything.
    pub load: f64,
    hint: f64,
    revenue_rate: f64,
    /// When it leaves for good.
    pub leaves: f64,
    retries: u32,
    pause: f64,
    honours: bool,
    random: RandomStream,
    key: u64,
    /// When its call was due, and when it gives that up.
    due: f64,
    until: f64,
    pub link: Option<LinkKey>,
    call: u64,
    is_retry: bool,
    again: bool,
    /// For those who stood before the start: the node.
    at: Option<usize>,
    /// Since when it stands, and where, for the count of what is served.
    pub since: f64,
    pub connection: Option<ConnectionKey>,
    /// When it last heard a line, and how many it has sent.
    heard: f64,
    sent: u32,
    line: Bytes,
    /// Tells the timer that holds from those overtaken.
    timer: u32,
}

/// What new clients are drawn from, and what troubles change of it.
pub(crate) struct Clients {
    arrivals: RandomStream,
    seed: u64,
    serial: u64,
    calls: u64,
    /// New clients a second in the mean.
    rate: f64,
    /// Multiples of it that hold now: for all, and by shop.
    pub burst: f64,
    pub floods: Vec<f64>,
    /// By traffic type: the part of new clients that ask for a multiple of the usual load.
    pub heavy: Vec<(f64, f64)>,
    /// Whether clients still come.
    pub open: bool,
}

/// A line that brought nothing back in this time shows a client that its connection is lost.
const SILENT: f64 = 12.0;
/// A client waits so much longer for an answer than it says.
const IN_FLIGHT: f64 = 0.06;

impl Clients {
    pub(crate) fn new(of: &Experiment, seed: u64) -> Clients {
        Clients {
            arrivals: RandomStream::new(seed, StreamPurpose::Arrivals, 0),
            seed,
            serial: 0,
            calls: 0,
            rate: 0.0,
            burst: 1.0,
            floods: vec![1.0; of.tenants.len()],
            heavy: vec![(0.0, 1.0); of.traffic.len()],
            open: true,
        }
    }
}

impl World {
    /// The load wanted, from the experiment: how many come a second, and who is there already.
    pub(crate) fn start_population(&mut self, from: f64) {
        let capacity: f64 = self.nodes.iter().map(|n| n.warm_capacity).sum();
        let total: f64 = self.experiment.traffic.iter().map(|t| t.share).sum();
        let each: f64 = self
            .experiment
            .traffic
            .iter()
            .map(|t| t.share / total * t.load * (1.0 - t.idle) * t.lifetime)
            .sum();
        self.population.rate = self.experiment.load.utilisation * capacity / each.max(1e-9);
        self.queue.push(from, Event::Arrival);
        if !self.experiment.load.prewarmed {
            return;
        }
        let mut random = RandomStream::new(self.seed, StreamPurpose::Arrivals, 1);
        let standing: f64 = self.experiment.traffic.iter().map(|t| t.share / total * t.lifetime).sum::<f64>()
            * self.population.rate;
        let weights: Vec<f64> = self
            .nodes
            .iter()
            .map(|n| if self.experiment.node.weights { n.warm_capacity } else { 1.0 })
            .collect();
        for _ in 0..standing.round() as usize {
            // Who stands is who stays long: by share and life.
            let traffic_types = self.experiment.traffic.clone();
            let traffic_type = random.weighted_index(traffic_types.iter().map(|t| t.share * t.lifetime));
            let node = random.weighted_index(weights.iter().copied());
            let at = from + 2.0 * random.uniform();
            let zone = self.nodes[node].zone;
            let left = traffic_types[traffic_type].lifetime * random.exponential(1.0);
            self.add_client(at, traffic_type, Some((node, zone, left)));
        }
    }

    pub(crate) fn add_arrival(&mut self, now: f64) {
        if !self.population.open {
            return;
        }
        let load = &self.experiment.load;
        let swing = 1.0 + load.swing * (std::f64::consts::TAU * now / load.period).sin();
        let shops: f64 = self.experiment.tenants.iter().map(|s| s.share).sum();
        let floods = self
            .experiment
            .tenants
            .iter()
            .zip(&self.population.floods)
            .map(|(s, f)| s.share * s.usage * f)
            .sum::<f64>();
        let rate = self.population.rate * swing * self.population.burst * floods / shops;
        if rate > 0.0 {
            let traffic_type =
                self.population.arrivals.weighted_index(self.experiment.traffic.iter().map(|t| t.share));
            self.add_client(now, traffic_type, None);
        }
        let gap = self.population.arrivals.exponential(1.0 / rate.max(0.1));
        self.queue.push(now + gap, Event::Arrival);
    }

    /// A client that is there from `now` on; `stood` tells where it stood before the start, and how long it stays.
    fn add_client(&mut self, now: f64, traffic_type: usize, stood: Option<(usize, usize, f64)>) {
        let population = &mut self.population;
        population.serial += 1;
        let mut random = RandomStream::new(population.seed, StreamPurpose::Client, population.serial);
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
        let floods = &population.floods;
        let shop = random.weighted_index(
            self.experiment.tenants.iter().enumerate().map(|(n, s)| s.share * s.usage * floods[n]),
        );
        let (part, size) = population.heavy[traffic_type];
        let heavy = if random.bernoulli(part) { size } else { 1.0 };
        let load = traffic.load * random.lognormal(traffic.load_sigma) * heavy;
        let life = (traffic.lifetime * random.pareto(traffic.lifetime_shape)).max(0.5);
        let life = stood.map_or(life, |s| s.2.max(0.5));
        // Clients tell the load that they usually are; a surge is none of that.
        let hint = load / heavy * random.lognormal(self.experiment.clients.hint_sigma);
        let revenue_rate = traffic.revenue * load / heavy;
        let retries = random.uniform_in(self.experiment.clients.retries).round() as u32;
        let client = Client {
            stage: Stage::Away,
            zone: stood.map_or(zone, |s| s.1),
            traffic_type,
            shop,
            load,
            hint,
            revenue_rate,
            leaves: now + life,
            retries,
            pause: random.uniform_in(self.experiment.clients.pause),
            honours: random.bernoulli(self.experiment.clients.honours_retry_after),
            key: random.next_u64(),
            random,
            due: now,
            until: now + traffic.guard_time,
            link: None,
            call: 0,
            is_retry: false,
            again: false,
            at: stood.map(|s| s.0),
            since: 0.0,
            connection: None,
            heard: 0.0,
            sent: 0,
            line: Bytes::new(),
            timer: 0,
        };
        let key = self.clients.insert(client);
        self.queue.push(now, Event::Client(key, 0));
        self.service.counts.clients += 1;
    }

    fn set_client_timer(&mut self, key: ClientKey, at: f64) {
        if let Some(client) = self.clients.get_mut(key) {
            client.timer = client.timer.wrapping_add(1);
            self.queue.push(at, Event::Client(key, client.timer));
        }
    }

    pub(crate) fn on_client_timer(&mut self, now: f64, key: ClientKey, number: u32) {
        let Some(client) = self.clients.get_mut(key).filter(|c| c.timer == number) else { return };
        match client.stage {
            Stage::Away => {
                if number == 0 {
                    // It has come: from now until it leaves it wants to be served.
                    let (traffic_type, revenue_rate, leaves) =
                        (client.traffic_type, client.revenue_rate, client.leaves);
                    self.service.change_demand(now, traffic_type, revenue_rate);
                    self.queue.push(leaves, Event::DemandEnds(traffic_type, revenue_rate));
                }
                self.place_call(now, key);
            }
            Stage::Calling => {
                // Its time is up.
                self.service.counts.unanswered += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, None);
            }
            Stage::Standing if now >= client.leaves => {
                self.service.counts.ended += 1;
                self.close_client_link(now, key);
                self.forget_client(key);
            }
            Stage::Standing if now - client.heard > SILENT => {
                self.close_client_link(now, key);
                self.schedule_reconnect(now, key, false);
            }
            Stage::Standing => {
                let next = (now + self.experiment.clients.line_interval).min(client.leaves);
                if let Some(link) = client.link {
                    client.sent += 1;
                    let text = format!("M {}\r\n", client.sent);
                    self.send_bytes(now, link, text.as_bytes());
                }
                self.set_client_timer(key, next);
            }
        }
    }

    /// Calls through the front.
    fn place_call(&mut self, now: f64, key: ClientKey) {
        let client = &self.clients[key];
        if now >= client.leaves {
            return self.forget_client(key);
        }
        let (zone, traffic_type, old) = (client.zone, client.traffic_type, client.call);
        self.calls.remove(&old);
        let Some(proxy) = self.front.proxy_for(zone) else {
            self.service.counts.unreachable += 1;
            return self.schedule_retry(now, key, None);
        };
        let latency = self.network.client_latency();
        let link = self.open_link(proxy, Peer::Client(key), latency);
        self.population.calls += 1;
        // Odd, so that no two are the same, and none is like another.
        let id = self.population.calls.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.calls.insert(id, key);
        let (traffic, shop) =
            (&self.experiment.traffic[traffic_type], &self.experiment.tenants[self.clients[key].shop]);
        let client = &mut self.clients[key];
        if client.at.is_some() {
            // What stood before the start is put back, whatever the guard time of a new call is.
            client.until = now + 40.0;
        }
        let left = ((client.until - now) * 1e3).max(1.0);
        let mut text = format!(
            "OPEN {id:016x} {:x} c={},t={},d={left:.3},g={:x}",
            client.key,
            traffic.name,
            shop.name,
            client.key >> 8
        );
        if self.experiment.clients.hints {
            text.push_str(&format!(",h={:.1}", client.hint * 1e6));
        }
        if client.is_retry {
            text.push_str(",r=1");
        }
        if client.again {
            text.push_str(",again=1");
        }
        if let Some(node) = client.at {
            text.push_str(&format!(",at={}", self.node_names[node]));
        }
        text.push_str("\r\n");
        (client.stage, client.link, client.call) = (Stage::Calling, Some(link), id);
        client.line.clear();
        let until = client.until;
        self.service.counts.calls += 1;
        self.proxies[proxy].connections += 1;
        self.send(now, link, true, Message::Connect);
        self.send_bytes(now, link, text.as_bytes());
        // What was answered in time may still be on its way.
        self.set_client_timer(key, until + IN_FLIGHT);
    }

    /// Leaves its link, whatever stands on it.
    fn close_client_link(&mut self, now: f64, key: ClientKey) {
        if let Some(link) = self.detach_link(key) {
            self.close_from_peer(now, link, EndKind::Closed);
        }
    }

    /// Has nothing more to do with its link, which is still open.
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

    /// Goes on writing on the link that it was told to move from, until the proxy's side is closed.
    fn keep_writing(&mut self, now: f64, key: ClientKey) {
        if let Some(link) = self.detach_link(key) {
            if let Some(one) = self.links.get_mut(link) {
                one.peer = Peer::IgnoringMove;
                self.queue.push(now + self.experiment.clients.line_interval, Event::WriteAfterMove(link));
            }
        }
    }

    pub(crate) fn write_after_move(&mut self, now: f64, link: LinkKey) {
        let open = self.links.get(link).is_some_and(|l| l.peer == Peer::IgnoringMove && !l.is_half_closed());
        if open {
            self.send_bytes(now, link, b"M 0\r\n");
            self.queue.push(now + self.experiment.clients.line_interval, Event::WriteAfterMove(link));
        }
    }

    pub(crate) fn forget_client(&mut self, key: ClientKey) {
        if let Some(client) = self.clients.remove(key) {
            self.calls.remove(&client.call);
        }
    }

    /// After a call that brought nothing: again after a pause, or never.
    fn schedule_retry(&mut self, now: f64, key: ClientKey, stay_away: Option<f64>) {
        let client = &mut self.clients[key];
        let told = stay_away.filter(|_| client.honours).unwrap_or(0.0);
        let at = now + told.max(client.pause * (0.5 + client.random.uniform()));
        client.pause *= 2.0;
        client.stage = Stage::Away;
        // One that was told to come again later takes that as a new beginning of its waiting.
        if told > 0.0 {
            client.until =
                client.until.max(at + self.experiment.traffic[client.traffic_type].guard_time / 2.0);
        }
        client.is_retry = true;
        if client.retries == 0 || at >= client.until {
            self.service.counts.lost_clients += 1;
            return self.forget_client(key);
        }
        client.retries -= 1;
        self.set_client_timer(key, at);
    }

    /// After a break or a move: comes again soon, with its patience back.
    pub(crate) fn schedule_reconnect(&mut self, now: f64, key: ClientKey, moved: bool) {
        if moved {
            self.service.counts.moved += 1;
        } else {
            self.service.counts.broken += 1;
        }
        let (rejoin, retries, pause) = (
            self.experiment.clients.reconnect_delay,
            self.experiment.clients.retries,
            self.experiment.clients.pause,
        );
        let client = &mut self.clients[key];
        let at = now + client.random.uniform_in(rejoin);
        client.stage = Stage::Away;
        (client.again, client.is_retry, client.at) = (true, false, None);
        client.retries = client.random.uniform_in(retries).round() as u32;
        client.pause = client.random.uniform_in(pause);
        client.due = at;
        client.until = at + self.experiment.traffic[client.traffic_type].guard_time;
        self.set_client_timer(key, at);
    }

    /// A standing client drops its connection, and comes again.
    pub(crate) fn drop_client(&mut self, now: f64, key: ClientKey, end_kind: EndKind) {
        if self.clients[key].stage == Stage::Standing {
            if let Some(link) = self.detach_link(key) {
                self.close_from_peer(now, link, end_kind);
            }
            self.schedule_reconnect(now, key, false);
        }
    }

    pub(crate) fn standing_clients(&self) -> Vec<ClientKey> {
        self.clients.iter().filter(|(_, c)| c.stage == Stage::Standing).map(|(k, _)| k).collect()
    }

    pub(crate) fn client_receives(&mut self, now: f64, key: ClientKey, link: LinkKey, message: Message) {
        if self.clients.get(key).is_none_or(|c| c.link != Some(link)) {
            return;
        }
        match message {
            Message::Bytes(bytes) => {
                let mut said: Vec<Bytes> = Vec::new();
                let client = &mut self.clients[key];
                lines(&mut client.line, &bytes, |line| said.push(Bytes::from_slice(line.as_bytes())));
                for line in said {
                    if self.clients.get(key).is_none_or(|c| c.link != Some(link)) {
                        return;
                    }
                    self.client_line(now, key, &String::from_utf8_lossy(&line));
                }
            }
            Message::ConnectResult(_) => {
                // Refused: the proxy's process is gone.
                self.service.counts.unreachable += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, None);
            }
            Message::End(_) => {
                let standing = self.clients[key].stage == Stage::Standing;
                self.close_client_link(now, key);
                if standing {
                    self.schedule_reconnect(now, key, false);
                } else {
                    self.service.counts.failed += 1;
                    self.schedule_retry(now, key, None);
                }
            }
            Message::Connect => {}
        }
    }

    fn client_line(&mut self, now: f64, key: ClientKey, line: &str) {
        let mut words = line.split(' ');
        let word = words.next().unwrap_or("");
        let client = &mut self.clients[key];
        client.heard = now;
        match (client.stage, word) {
            (Stage::Calling, "UP") => {
                client.stage = Stage::Standing;
                client.since = now;
                let (traffic_type, due, revenue_rate, leaves) =
                    (client.traffic_type, client.due, client.revenue_rate, client.leaves);
                let fresh = client.at.is_none();
                let connection = self.count_established(words.next().unwrap_or(""), revenue_rate);
                self.clients[key].connection = connection;
                self.service.counts.completed += 1;
                if fresh {
                    self.service.record_setup(
                        traffic_type,
                        now - due,
                        self.experiment.traffic[traffic_type].setup_target,
                    );
                }
                let first = self.experiment.clients.line_interval * self.clients[key].random.uniform();
                self.set_client_timer(key, (now + first).min(leaves));
            }
            (Stage::Calling, "BUSY") => {
                let stay_away = words.next().and_then(|ms| ms.parse::<f64>().ok()).map(|ms| ms / 1e3);
                self.service.counts.rejected += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, stay_away);
            }
            (Stage::Calling, _) => {
                self.service.counts.failed += 1;
                self.close_client_link(now, key);
                self.schedule_retry(now, key, None);
            }
            (Stage::Standing, "MOVE") => {
                let lingers = self.experiment.clients.ignore_move_share;
                if lingers > 0.0 && self.clients[key].random.bernoulli(lingers) {
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
