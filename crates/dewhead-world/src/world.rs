//! The world itself: links and what travels on them, the queue of what is to happen, and the doors through which a host
//! tells what proxies do and learns what reaches them. Who stands at the far end of a link is in `clients`, `serving`,
//! `discovery` and `front`.

use crate::audit::Auditor;
use crate::clients::{Client, Clients};
use crate::discovery::Discovery;
use crate::experiment::Experiment;
use crate::front::Front;
use crate::network::Network;
use crate::node_connections::Connection;
use crate::nodes::{Node, NodeState};
use crate::queue::EventQueue;
use crate::random::{RandomStream, StreamPurpose};
use crate::service::{Outcome, ServiceMetrics};
use serde_json::Value;
use slotmap::{new_key_type, SlotMap};
use smallvec::SmallVec;
use std::collections::BTreeMap;

new_key_type! {
    /// A connection between a proxy and something else in the world.
    pub struct LinkKey;
    pub struct ClientKey;
    pub struct ConnectionKey;
}

/// Bytes on their way; a line mostly fits without memory of its own.
pub type Bytes = SmallVec<[u8; 32]>;

/// How one side of a link ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndKind {
    /// No more is sent; what comes is still read.
    Finished,
    Closed,
    Broken,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Signal {
    /// SIGTERM to the process that serves, as a supervisor sends it that follows the main process.
    Stop,
    /// SIGTERM to that process and to all that retire, as one sends it that signals the whole group.
    StopGroup,
    /// SIGHUP, with the configuration as it was.
    Reload,
    /// SIGKILL to all processes.
    Kill,
}

/// What a proxy dials.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Target {
    Node(usize),
    /// Discovery's agent of this proxy, at the so-many-th of its addresses.
    Agent(usize),
}

/// What reaches proxies, for the host to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Somebody connects to this proxy.
    Connect(LinkKey, usize),
    /// A link that the proxy dialled has come up, or is refused.
    Established(LinkKey),
    Refused(LinkKey),
    Bytes(LinkKey, Bytes),
    End(LinkKey, EndKind),
    /// Start this proxy's process; it knows the list as it last had it.
    Start(usize, Value),
    Signal(usize, Signal),
    /// A new process takes this proxy's place, and the old one's clients leave over so many seconds.
    Handover(usize, f64),
    /// Its configuration names another address of discovery, the so-many-th, and it gets SIGHUP.
    Reconfigure(usize, usize),
}

/// Who is at the far end of a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Peer {
    Client(ClientKey),
    /// A client that is none, in `troubles::bad_clients`.
    Misbehaving(usize),
    /// A client that was told to move, and still writes.
    IgnoringMove,
    Front,
    Node(usize, Option<ConnectionKey>),
    Agent(usize),
}

/// What travels.
#[derive(Debug)]
pub(crate) enum Message {
    Connect,
    ConnectResult(bool),
    Bytes(Bytes),
    End(EndKind),
}

pub(crate) struct Link {
    pub proxy: usize,
    pub peer: Peer,
    pub latency: f64,
    /// When the last thing sent arrives, by direction, so that nothing overtakes.
    to_proxy_at: f64,
    from_proxy_at: f64,
    /// Whether the proxy's side, and the far side, have nothing more to do with it.
    proxy_closed: bool,
    peer_closed: bool,
    /// Told to the proxy's host: from then on it knows the link.
    known_to_host: bool,
}

impl Link {
    /// Whether one side or the other has nothing more to do with it.
    pub fn is_half_closed(&self) -> bool {
        self.proxy_closed || self.peer_closed
    }
}

/// A proxy as the world sees it: a process that runs or not.
pub struct Proxy {
    pub zone: usize,
    pub listening: bool,
    /// Processes started so far.
    pub start_count: u64,
    /// When it was told to stop, while its processes have not started anew.
    pub stop_requested_at: Option<f64>,
    pub connections: u32,
}

impl Proxy {
    /// Whether it has been told to stop, and has not started anew.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.is_some()
    }
}

pub(crate) enum Event {
    Arrival,
    Client(ClientKey, u32),
    WriteAfterMove(LinkKey),
    ToProxy(LinkKey, Message),
    FromProxy(LinkKey, Message),
    /// A set-up at this node may be done; the number tells a newer guess from an older.
    SetupDone(usize, u32),
    LoadChange(ConnectionKey),
    MoveClient(ConnectionKey),
    /// What is wanted of this traffic type shrinks by that worth.
    DemandEnds(usize, f64),
    DiscoveryUpdate(u64),
    Agent(usize, u64),
    Heartbeat(usize, LinkKey),
    AgentCloses(usize, LinkKey),
    StartProxy(usize),
    FrontPing(usize),
    FrontRemoves(usize, u64),
    Trouble(usize, u32),
    Sample,
}

/// Nodes move on, and are looked at, this often.
const SAMPLE_INTERVAL: f64 = 0.1;
/// Measuring begins once what stood before the start has been put back.
pub const SETTLING_TIME: f64 = 6.0;

pub struct World {
    pub experiment: Experiment,
    pub seed: u64,
    pub(crate) queue: EventQueue<Event>,
    pub(crate) links: SlotMap<LinkKey, Link>,
    pub nodes: Vec<Node<ConnectionKey>>,
    pub(crate) node_names: Vec<String>,
    /// The number of the latest guess at the next set-up's end.
    pub(crate) setup_estimates: Vec<u32>,
    pub(crate) node_random: RandomStream,
    pub(crate) connections: SlotMap<ConnectionKey, Connection>,
    pub(crate) clients: SlotMap<ClientKey, Client>,
    pub(crate) population: Clients,
    /// Calls open, by the id they were given; one leaves with its client's next call or its client.
    pub(crate) calls: BTreeMap<u64, ClientKey>,
    pub proxies: Vec<Proxy>,
    pub(crate) front: Front,
    pub(crate) discovery: Discovery,
    pub(crate) network: Network,
    /// What could not cross a cut, in order; it leaves when a cut ends.
    held_messages: Vec<(LinkKey, bool, Message)>,
    pub service: ServiceMetrics,
    pub audit: Auditor,
    pub(crate) trouble_random: Vec<RandomStream>,
    /// What troubles keep for themselves between their stages.
    pub(crate) affected: BTreeMap<usize, Vec<usize>>,
    pub(crate) misbehaving: crate::troubles::bad_clients::Crowd,
    effects: Vec<Effect>,
    digest: crc32fast::Hasher,
    next_sample: f64,
}

impl World {
    pub fn new(of: &Experiment, seed: u64) -> World {
        let zones = of.fleet.zones.len();
        let mut fleet = RandomStream::new(seed, StreamPurpose::Fleet, 0);
        let traffic_types = of.traffic.len();
        let total: f64 = of.machines.iter().map(|m| m.share).sum();
        let nodes: Vec<Node<ConnectionKey>> = (0..of.fleet.nodes)
            .map(|n| {
                // By share and in turn, so that small fleets have each kind too.
                let mut place = (n as f64 + 0.5) / of.fleet.nodes as f64 * total;
                let machine = of.machines.iter().find(|m| {
                    place -= m.share;
                    place < 0.0
                });
                let machine = machine.unwrap_or(&of.machines[0]);
                let cell = (n / zones / of.fleet.cell_size * zones + n % zones) as u64;
                Node::new(machine, &of.node, n % zones, cell, traffic_types, &mut fleet)
            })
            .collect();
        let node_names: Vec<String> =
            (0..nodes.len()).map(|_| format!("n-{:08x}", fleet.next_u64() as u32)).collect();
        let proxies: Vec<Proxy> = (0..of.fleet.proxies)
            .map(|p| Proxy {
                zone: p % zones,
                listening: false,
                start_count: 0,
                stop_requested_at: None,
                connections: 0,
            })
            .collect();
        let service = ServiceMetrics::new(traffic_types, nodes.len(), proxies.len());
        let audit = Auditor::new(of, seed, &nodes, &node_names);
        let discovery = Discovery::new(
            of,
            &nodes,
            &node_names,
            proxies.len(),
            RandomStream::new(seed, StreamPurpose::Discovery, 0),
        );
        let mut world = World {
            seed,
            queue: EventQueue::default(),
            links: SlotMap::with_key(),
            setup_estimates: vec![0; nodes.len()],
            nodes,
            node_names,
            node_random: RandomStream::new(seed, StreamPurpose::Node, 0),
            connections: SlotMap::with_key(),
            clients: SlotMap::with_key(),
            population: Clients::new(of, seed),
            calls: BTreeMap::new(),
            front: Front::new(&proxies, zones, RandomStream::new(seed, StreamPurpose::Front, 0)),
            proxies,
            discovery,
            network: Network::new(&of.network, RandomStream::new(seed, StreamPurpose::Network, 0)),
            held_messages: Vec::new(),
            service,
            audit,
            trouble_random: (0..of.troubles.len())
                .map(|n| RandomStream::new(seed, StreamPurpose::Trouble, n as u64))
                .collect(),
            affected: BTreeMap::new(),
            misbehaving: Default::default(),
            effects: Vec::new(),
            digest: crc32fast::Hasher::new(),
            next_sample: 0.0,
            experiment: of.clone(),
        };
        for proxy in 0..world.proxies.len() {
            world.start_proxy(0.0, proxy);
        }
        world.queue.push(0.0, Event::Sample);
        world.start_population(0.5);
        for (n, trouble) in world.experiment.troubles.iter().enumerate() {
            world.queue.push(trouble.at, Event::Trouble(n, 0));
        }
        world
    }

    /// When something happens next.
    pub fn next_event_time(&self) -> Option<f64> {
        self.queue.next_time()
    }

    /// Lets what is due by now happen, one thing at a time; false once nothing more is due. The effects are to be
    /// carried out after each.
    pub fn step(&mut self, now: f64) -> bool {
        let Some((at, event)) = self.queue.pop_due(now) else { return false };
        // A host on sockets comes late; what happens then happens at its time, but for what is counted by the clock.
        self.handle_event(at, event);
        true
    }

    /// What is to be carried out, in order; `into` is emptied first, so that one buffer serves a whole run.
    pub fn take_effects(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(into, &mut self.effects);
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn handle_event(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrival => self.add_arrival(now),
            Event::Client(key, number) => self.on_client_timer(now, key, number),
            Event::WriteAfterMove(link) => self.write_after_move(now, link),
            Event::ToProxy(key, message) => self.deliver_to_proxy(now, key, message),
            Event::FromProxy(key, message) => self.deliver_from_proxy(now, key, message),
            Event::SetupDone(node, estimate) => self.finish_setups(now, node, estimate),
            Event::LoadChange(key) => self.change_connection_load(now, key),
            Event::MoveClient(key) => self.move_client(now, key),
            Event::DemandEnds(traffic_type, revenue_rate) => {
                self.service.change_demand(now, traffic_type, -revenue_rate)
            }
            Event::DiscoveryUpdate(change) => self.apply_update(now, change),
            Event::Agent(agent, version) => self.update_agent(now, agent, version),
            Event::Heartbeat(agent, link) => self.send_heartbeat(now, agent, link),
            Event::AgentCloses(agent, link) => self.close_watch(now, agent, link),
            Event::StartProxy(proxy) => self.emit_start(now, proxy),
            Event::FrontPing(proxy) => self.front_pings(now, proxy),
            Event::FrontRemoves(proxy, start) => self.front_removes(proxy, start),
            Event::Trouble(n, stage) => crate::troubles::stage(self, now, n, stage),
            Event::Sample => self.sample(now),
        }
    }

    /// A regular look at all nodes: their work moves on, and who falls over, sheds or is served well is seen.
    fn sample(&mut self, now: f64) {
        self.queue.push(now + SAMPLE_INTERVAL, Event::Sample);
        let second = now >= self.next_sample;
        let mut rates = vec![0.0; self.experiment.traffic.len()];
        for n in 0..self.nodes.len() {
            self.nodes[n].advance(now);
            if matches!(self.nodes[n].state, NodeState::Up | NodeState::Draining) {
                self.estimate_setup(now, n);
                if self.nodes[n].check_cold_overload(now, &self.experiment.rules) {
                    self.crash_overloaded(now, n);
                }
                self.shed_connections(now, n);
            }
            let node = &self.nodes[n];
            if node.state != NodeState::Silent {
                let delay = node.queueing_delay(now);
                for (traffic_type, revenue_rate) in node.served_revenue().iter().enumerate() {
                    if delay <= self.experiment.traffic[traffic_type].message_target {
                        rates[traffic_type] += revenue_rate;
                    }
                }
            }
            if second {
                let able = if matches!(node.state, NodeState::Dead | NodeState::Silent) {
                    0.0
                } else {
                    node.capacity(now)
                };
                self.service.nodes[n].push((node.load() as f32, able as f32, node.connections as u32));
            }
        }
        self.service.set_served_rates(now, &rates);
        if second {
            self.next_sample = now.floor() + 1.0;
            for (p, proxy) in self.proxies.iter().enumerate() {
                self.service.proxies[p].push(proxy.connections);
            }
        }
        self.audit.check_deadlines(now);
    }

    /// Makes a link between a proxy and something of the world.
    pub(crate) fn open_link(&mut self, proxy: usize, peer: Peer, latency: f64) -> LinkKey {
        self.links.insert(Link {
            proxy,
            peer,
            latency,
            to_proxy_at: 0.0,
            from_proxy_at: 0.0,
            proxy_closed: false,
            peer_closed: false,
            known_to_host: false,
        })
    }

    /// Whether a link's two ends hear nothing of each other, and whether what is sent is lost for good.
    fn blocked(&self, link: &Link) -> Option<bool> {
        match link.peer {
            Peer::Node(node, _) if self.nodes[node].state == NodeState::Silent => Some(true),
            Peer::Node(node, _)
                if self.network.is_cut(self.proxies[link.proxy].zone, self.nodes[node].zone) =>
            {
                Some(false)
            }
            _ => None,
        }
    }

    /// Sends something on a link: toward the proxy, or from it.
    pub(crate) fn send(&mut self, now: f64, key: LinkKey, to_proxy: bool, message: Message) {
        let Some(link) = self.links.get(key) else { return };
        match self.blocked(link) {
            Some(true) => return,
            Some(false) => {
                // A connect that is not answered is not made later either.
                if !matches!(message, Message::Connect | Message::ConnectResult(_)) {
                    self.held_messages.push((key, to_proxy, message));
                }
                return;
            }
            None => {}
        }
        let takes = self.network.transit_time(link.latency);
        if let Message::Bytes(bytes) = &message {
            if let Some(at) = self.network.split_point(bytes.len()) {
                let (first, rest) = (Bytes::from_slice(&bytes[..at]), Bytes::from_slice(&bytes[at..]));
                let late = self.network.transit_time(link.latency);
                self.schedule_message(now, key, to_proxy, takes, Message::Bytes(first));
                return self.schedule_message(now, key, to_proxy, takes + late, Message::Bytes(rest));
            }
        }
        self.schedule_message(now, key, to_proxy, takes, message);
    }

    fn schedule_message(&mut self, now: f64, key: LinkKey, to_proxy: bool, takes: f64, message: Message) {
        let Some(link) = self.links.get_mut(key) else { return };
        let last = if to_proxy { &mut link.to_proxy_at } else { &mut link.from_proxy_at };
        let at = (now + takes).max(*last);
        *last = at;
        self.queue
            .push(at, if to_proxy { Event::ToProxy(key, message) } else { Event::FromProxy(key, message) });
    }

    /// A cut has ended: what waited crosses, in its order.
    pub(crate) fn release_held_messages(&mut self, now: f64) {
        for (key, to_proxy, message) in std::mem::take(&mut self.held_messages) {
            self.send(now, key, to_proxy, message);
        }
    }

    pub(crate) fn send_bytes(&mut self, now: f64, key: LinkKey, text: &[u8]) {
        self.send(now, key, true, Message::Bytes(Bytes::from_slice(text)));
    }

    /// The far side has nothing more to do with the link.
    pub(crate) fn close_from_peer(&mut self, now: f64, key: LinkKey, end_kind: EndKind) {
        if let Some(link) = self.links.get_mut(key) {
            if !std::mem::replace(&mut link.peer_closed, true) {
                self.send(now, key, true, Message::End(end_kind));
            }
            self.remove_closed_link(key);
        }
    }

    fn remove_closed_link(&mut self, key: LinkKey) {
        if self.links.get(key).is_some_and(|l| l.proxy_closed && l.peer_closed) {
            self.links.remove(key);
        }
    }

    fn update_digest(&mut self, now: f64, what: u8, proxy: usize, bytes: &[u8]) {
        self.digest.update(&now.to_bits().to_le_bytes());
        self.digest.update(&[what, proxy as u8, (proxy >> 8) as u8]);
        self.digest.update(bytes);
    }

    /// A figure for all that crossed the wires so far, the same for two plays that are the same.
    pub fn digest(&self) -> u32 {
        self.digest.clone().finalize()
    }

    fn deliver_to_proxy(&mut self, now: f64, key: LinkKey, message: Message) {
        let Some(link) = self.links.get_mut(key) else { return };
        let (proxy, peer) = (link.proxy, link.peer);
        if link.proxy_closed {
            return;
        }
        match message {
            Message::Connect => {
                if !self.proxies[proxy].listening {
                    // Nobody listens there.
                    link.proxy_closed = true;
                    return self.send(now, key, false, Message::ConnectResult(false));
                }
                link.known_to_host = true;
                self.update_digest(now, 1, proxy, &[]);
                self.audit.on_connected(now, key, proxy, peer);
                self.effects.push(Effect::Connect(key, proxy));
            }
            Message::ConnectResult(up) => {
                self.update_digest(now, 2, proxy, &[up as u8]);
                if !up {
                    self.links.remove(key);
                    self.audit.on_refused(now, key);
                }
                self.effects.push(if up { Effect::Established(key) } else { Effect::Refused(key) });
            }
            Message::Bytes(bytes) => {
                if !link.known_to_host {
                    return;
                }
                self.update_digest(now, 3, proxy, &bytes);
                self.audit.on_bytes_received(now, key, proxy, &bytes);
                self.effects.push(Effect::Bytes(key, bytes));
            }
            Message::End(end_kind) => {
                if !link.known_to_host {
                    return;
                }
                self.update_digest(now, 4, proxy, &[end_kind as u8]);
                self.audit.on_peer_end(now, key, end_kind);
                self.effects.push(Effect::End(key, end_kind));
            }
        }
    }

    fn deliver_from_proxy(&mut self, now: f64, key: LinkKey, message: Message) {
        let Some(link) = self.links.get(key) else { return };
        if link.peer_closed {
            return;
        }
        match link.peer {
            Peer::Client(client) => self.client_receives(now, client, key, message),
            Peer::Misbehaving(n) => crate::troubles::bad_clients::receive(self, now, n, key, message),
            // It goes once nobody is there to write to.
            Peer::IgnoringMove if matches!(message, Message::End(EndKind::Closed | EndKind::Broken)) => {
                self.close_from_peer(now, key, EndKind::Closed);
            }
            Peer::IgnoringMove => {}
            Peer::Front => self.front_receives(now, key, message),
            Peer::Node(node, at) => self.node_receives(now, node, at, key, message),
            Peer::Agent(agent) => self.agent_receives(now, agent, key, message),
        }
    }

    // What hosts tell.

    /// A proxy begins to connect.
    pub fn on_dial(&mut self, now: f64, proxy: usize, to: Target) -> LinkKey {
        let (peer, latency) = match to {
            Target::Node(node) => {
                let latency = self.network.latency_between(self.proxies[proxy].zone, self.nodes[node].zone);
                (Peer::Node(node, None), latency)
            }
            Target::Agent(address) => (Peer::Agent(address), 1e-5),
        };
        let key = self.open_link(proxy, peer, latency);
        self.links[key].known_to_host = true;
        self.update_digest(now, 5, proxy, &[]);
        if let Peer::Node(node, _) = peer {
            self.audit.on_dial(now, key, proxy, node);
        }
        self.send(now, key, false, Message::Connect);
        key
    }

    /// A proxy has written these bytes.
    pub fn on_bytes(&mut self, now: f64, key: LinkKey, bytes: &[u8]) {
        let Some(link) = self.links.get(key) else { return };
        let proxy = link.proxy;
        self.update_digest(now, 6, proxy, bytes);
        self.audit.on_bytes_sent(now, key, proxy, bytes);
        self.send(now, key, false, Message::Bytes(Bytes::from_slice(bytes)));
    }

    /// A proxy has ended its side.
    pub fn on_end(&mut self, now: f64, key: LinkKey, end_kind: EndKind) {
        let Some(link) = self.links.get_mut(key) else { return };
        let proxy = link.proxy;
        if end_kind != EndKind::Finished {
            link.proxy_closed = true;
        }
        self.update_digest(now, 7, proxy, &[end_kind as u8]);
        self.audit.on_proxy_end(now, key, end_kind);
        // A machine that has vanished never hears of it; what it holds it gives back when it starts anew.
        if let Peer::Node(node, None) = self.links[key].peer {
            self.links[key].peer_closed |= self.nodes[node].state == NodeState::Silent;
        }
        self.send(now, key, false, Message::End(end_kind));
        self.remove_closed_link(key);
    }

    /// A proxy's process listens.
    pub fn on_listening(&mut self, now: f64, proxy: usize) {
        self.update_digest(now, 8, proxy, &[]);
        self.proxies[proxy].listening = true;
        self.proxies[proxy].stop_requested_at = None;
        self.audit.on_proxy_start(now, proxy);
        self.service.annotate(now, format!("proxy {proxy} listens"));
        self.front_pings(now, proxy);
    }

    /// The process that serves is gone; one that retires still holds connections.
    pub fn on_listener_closed(&mut self, now: f64, proxy: usize) {
        self.update_digest(now, 10, proxy, &[]);
        self.proxies[proxy].listening = false;
        self.service.annotate(now, format!("proxy {proxy} listens no more"));
        self.front_notices_exit(now, proxy);
    }

    /// All of a proxy's processes are gone, by themselves or not; what they held is reset.
    pub fn on_exit(&mut self, now: f64, proxy: usize) {
        self.update_digest(now, 9, proxy, &[]);
        let listened = std::mem::replace(&mut self.proxies[proxy].listening, false);
        self.audit.on_proxy_exit(now, proxy);
        self.service.annotate(now, format!("proxy {proxy} is gone"));
        let lost: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, l)| l.proxy == proxy && !l.proxy_closed && l.known_to_host)
            .map(|(k, _)| k)
            .collect();
        for key in lost {
            self.links[key].proxy_closed = true;
            self.send(now, key, false, Message::End(EndKind::Broken));
            self.remove_closed_link(key);
        }
        if listened {
            self.front_notices_exit(now, proxy);
        }
    }

    pub(crate) fn start_proxy(&mut self, now: f64, proxy: usize) {
        let mut random = RandomStream::new(
            self.seed,
            StreamPurpose::Proxy,
            (proxy as u64) << 16 | self.proxies[proxy].start_count,
        );
        let at = if now > 0.0 { now + random.uniform_in(self.experiment.proxy.start_delay) } else { 0.0 };
        self.proxies[proxy].start_count += 1;
        self.queue.push(at, Event::StartProxy(proxy));
    }

    /// A new process takes a running one's place.
    pub(crate) fn hand_over(&mut self, now: f64, proxy: usize) {
        if self.proxies[proxy].listening && !self.proxies[proxy].is_stopping() {
            self.proxies[proxy].start_count += 1;
            self.service.annotate(now, format!("proxy {proxy} is handed over"));
            self.effects.push(Effect::Handover(proxy, self.experiment.proxy.leave_in));
        }
    }

    fn emit_start(&mut self, _now: f64, proxy: usize) {
        let known = self.discovery.last_list(proxy);
        self.effects.push(Effect::Start(proxy, known));
    }

    /// The seed of a proxy's present process.
    pub fn proxy_seed(&self, proxy: usize) -> u64 {
        RandomStream::new(
            self.seed,
            StreamPurpose::Proxy,
            (proxy as u64) << 16 | self.proxies[proxy].start_count << 8 | 1,
        )
        .next_u64()
    }

    pub fn node_name(&self, node: usize) -> &str {
        &self.node_names[node]
    }

    /// Which proxy's a link is, while the world knows it.
    pub fn proxy_of(&self, key: LinkKey) -> Option<usize> {
        self.links.get(key).map(|l| l.proxy)
    }

    /// What it came to, from when the service had settled.
    pub fn outcome(&mut self) -> Outcome {
        let (from, to) = (SETTLING_TIME.min(self.experiment.seconds / 2.0), self.experiment.seconds);
        self.service.outcome(from, to)
    }

    /// Whether this proxy and this node hear nothing of each other.
    pub fn is_partitioned(&self, proxy: usize, node: usize) -> bool {
        self.network.is_cut(self.proxies[proxy].zone, self.nodes[node].zone)
    }

    /// Nobody new comes from now on.
    pub fn stop_arrivals(&mut self) {
        self.population.open = false;
    }

    /// Links open, for tests that nothing is left over.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }
}
