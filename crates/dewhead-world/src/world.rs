//! The world: its links with the messages in transit, the event queue, and the interface through which a host
//! reports the actions of proxies and receives what reaches them. The remote ends of links are implemented in
//! `clients`, `node_connections`, `discovery` and `front`.

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
    /// A connection between a proxy and another participant of the world.
    pub struct LinkKey;
    /// A client.
    pub struct ClientKey;
    /// A connection as its node holds it.
    pub struct ConnectionKey;
}

/// A byte string in transit; most lines fit without an allocation.
pub type Bytes = SmallVec<[u8; 32]>;

/// How one side of a link ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EndKind {
    /// Nothing more is sent; incoming bytes are still read.
    Finished,
    /// Closed in both directions.
    Closed,
    /// Reset.
    Broken,
}

/// A signal to the processes of a proxy.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Signal {
    /// SIGTERM to the serving process, as from a supervisor that tracks the main process.
    Stop,
    /// SIGTERM to the serving process and to all retiring ones, as from a supervisor that signals the whole
    /// group.
    StopGroup,
    /// SIGHUP, with the configuration unchanged.
    Reload,
    /// SIGKILL to all processes.
    Kill,
}

/// The destination of a connection that a proxy opens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Target {
    /// The node of this index.
    Node(usize),
    /// The discovery agent of this proxy, at the address of this index.
    Agent(usize),
}

/// An action that the host carries out on a proxy.
#[derive(Debug)]
pub enum Effect {
    /// A client or the front layer connects to the proxy of this index.
    Connect(LinkKey, usize),
    /// A connection opened by the proxy is established.
    Established(LinkKey),
    /// A connection opened by the proxy is refused.
    Refused(LinkKey),
    /// Bytes arrive at the proxy.
    Bytes(LinkKey, Bytes),
    /// The remote side of a link ends.
    End(LinkKey, EndKind),
    /// Start this proxy's process with the node list that it last had.
    Start(usize, Value),
    /// Send a signal to this proxy's processes.
    Signal(usize, Signal),
    /// Start a new process that takes over from this proxy's process; the old one sends its clients away over
    /// this many seconds.
    Handover(usize, f64),
    /// Send SIGHUP to this proxy, with a configuration that names the discovery address of this index.
    Reconfigure(usize, usize),
}

/// The remote end of a link.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Peer {
    Client(ClientKey),
    /// A client that sends no valid request, in `troubles::bad_clients`.
    Misbehaving(usize),
    /// A client that has received `MOVE` and still writes.
    IgnoringMove,
    /// The front layer.
    Front,
    /// A node, and its connection once accepted.
    Node(usize, Option<ConnectionKey>),
    /// The discovery agent, at the address of this index.
    Agent(usize),
}

/// A message on a link.
#[derive(Debug)]
pub(crate) enum Message {
    /// A connection request.
    Connect,
    /// Whether the connection request was accepted.
    ConnectResult(bool),
    Bytes(Bytes),
    End(EndKind),
}

/// The state of a link.
pub(crate) struct Link {
    pub proxy: usize,
    pub peer: Peer,
    pub latency: f64,
    /// The arrival time of the last message in each direction. Later messages arrive no earlier, so that
    /// order is kept.
    to_proxy_at: f64,
    from_proxy_at: f64,
    /// Whether the proxy, or the remote side, has closed the link.
    proxy_closed: bool,
    peer_closed: bool,
    /// Whether the link has been announced to the proxy's host.
    known_to_host: bool,
}

impl Link {
    /// Whether at least one side has closed the link.
    pub fn is_half_closed(&self) -> bool {
        self.proxy_closed || self.peer_closed
    }
}

/// The processes of a proxy, as seen by the world.
pub struct Proxy {
    /// The zone of the proxy.
    pub zone: usize,
    /// Whether a process listens for clients.
    pub listening: bool,
    /// The number of processes started so far.
    pub start_count: u64,
    /// Time of the stop request, until the proxy starts again.
    pub stop_requested_at: Option<f64>,
    /// The number of client connections.
    pub connections: u32,
}

impl Proxy {
    /// Whether the proxy has been requested to stop and has not started again.
    pub fn is_stopping(&self) -> bool {
        self.stop_requested_at.is_some()
    }
}

/// A scheduled event.
pub(crate) enum Event {
    /// A client may arrive.
    Arrival,
    /// The timer of this number of a client expires.
    Client(ClientKey, u32),
    /// A client that has received `MOVE` writes a line.
    WriteAfterMove(LinkKey),
    /// A message arrives at the proxy.
    ToProxy(LinkKey, Message),
    /// A message arrives at the remote side.
    FromProxy(LinkKey, Message),
    /// A connection setup at this node may be finished. The number identifies the estimate, so that outdated
    /// ones are ignored.
    SetupDone(usize, u32),
    /// The load of a connection changes.
    LoadChange(ConnectionKey),
    /// A draining node sends `MOVE` on a connection.
    MoveClient(ConnectionKey),
    /// The demand of this traffic type falls by this revenue rate.
    DemandEnds(usize, f64),
    /// Discovery receives the change of this number.
    DiscoveryUpdate(u64),
    /// An agent receives this version.
    AgentUpdate(usize, u64),
    /// An agent writes an empty line to a watch.
    Heartbeat(usize, LinkKey),
    /// An agent closes a watch.
    CloseWatch(usize, LinkKey),
    /// The process of a proxy starts.
    StartProxy(usize),
    /// The front layer sends `PING` to a proxy.
    FrontPing(usize),
    /// The front layer notices that a proxy's process of this start count is stopping or has ended.
    FrontRemoves(usize, u64),
    /// A trouble reaches this stage.
    Trouble(usize, u32),
    /// All nodes are advanced and sampled.
    Sample,
}

/// Interval at which all nodes are advanced and sampled, in seconds.
const SAMPLE_INTERVAL: f64 = 0.1;
/// Start of the measurement, in seconds, once the connections of a running service have been restored.
pub const SETTLING_TIME: f64 = 6.0;

/// The state of a simulated world.
pub struct World {
    /// The experiment being run.
    pub experiment: Experiment,
    /// The seed of all random streams.
    pub seed: u64,
    pub(crate) queue: EventQueue<Event>,
    pub(crate) links: SlotMap<LinkKey, Link>,
    /// The nodes, by index.
    pub nodes: Vec<Node<ConnectionKey>>,
    pub(crate) node_names: Vec<String>,
    /// By node: the number of the latest estimate of the next finished setup.
    pub(crate) setup_estimates: Vec<u32>,
    pub(crate) node_random: RandomStream,
    pub(crate) connections: SlotMap<ConnectionKey, Connection>,
    pub(crate) clients: SlotMap<ClientKey, Client>,
    pub(crate) population: Clients,
    /// Open calls by id. A call is removed with its client, or when its client makes another call.
    pub(crate) calls: BTreeMap<u64, ClientKey>,
    /// The proxies, by index.
    pub proxies: Vec<Proxy>,
    pub(crate) front: Front,
    pub(crate) discovery: Discovery,
    pub(crate) network: Network,
    /// Messages that could not cross a zone cut, in order. They are sent when a cut ends.
    held_messages: Vec<(LinkKey, bool, Message)>,
    /// The measurements of the service.
    pub service: ServiceMetrics,
    /// The checks of the proxies' rules.
    pub audit: Auditor,
    pub(crate) trouble_random: Vec<RandomStream>,
    /// By trouble: the nodes or proxies affected, kept between its stages.
    pub(crate) affected: BTreeMap<usize, Vec<usize>>,
    pub(crate) misbehaving: crate::troubles::bad_clients::MisbehavingClients,
    effects: Vec<Effect>,
    digest: crc32fast::Hasher,
    next_sample: f64,
}

impl World {
    /// Creates the world of an experiment and schedules its first events.
    pub fn new(experiment: &Experiment, seed: u64) -> World {
        let zones = experiment.fleet.zones.len();
        let mut fleet_random = RandomStream::new(seed, StreamPurpose::Fleet, 0);
        let traffic_types = experiment.traffic.len();
        let total_share: f64 = experiment.machines.iter().map(|m| m.share).sum();
        let nodes: Vec<Node<ConnectionKey>> = (0..experiment.fleet.nodes)
            .map(|n| {
                // Machine types are assigned by share in index order, so that small fleets contain every
                // type.
                let mut position = (n as f64 + 0.5) / experiment.fleet.nodes as f64 * total_share;
                let machine = experiment.machines.iter().find(|m| {
                    position -= m.share;
                    position < 0.0
                });
                let machine = machine.unwrap_or(&experiment.machines[0]);
                let cell = (n / zones / experiment.fleet.cell_size * zones + n % zones) as u64;
                Node::new(machine, &experiment.node, n % zones, cell, traffic_types, &mut fleet_random)
            })
            .collect();
        let node_names: Vec<String> =
            (0..nodes.len()).map(|_| format!("n-{:08x}", fleet_random.next_u64() as u32)).collect();
        let proxies: Vec<Proxy> = (0..experiment.fleet.proxies)
            .map(|p| Proxy {
                zone: p % zones,
                listening: false,
                start_count: 0,
                stop_requested_at: None,
                connections: 0,
            })
            .collect();
        let service = ServiceMetrics::new(traffic_types, nodes.len(), proxies.len());
        let audit = Auditor::new(experiment, seed, &nodes, &node_names);
        let discovery = Discovery::new(
            experiment,
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
            population: Clients::new(experiment, seed),
            calls: BTreeMap::new(),
            front: Front::new(&proxies, zones, RandomStream::new(seed, StreamPurpose::Front, 0)),
            proxies,
            discovery,
            network: Network::new(&experiment.network, RandomStream::new(seed, StreamPurpose::Network, 0)),
            held_messages: Vec::new(),
            service,
            audit,
            trouble_random: (0..experiment.troubles.len())
                .map(|n| RandomStream::new(seed, StreamPurpose::Trouble, n as u64))
                .collect(),
            affected: BTreeMap::new(),
            misbehaving: Default::default(),
            effects: Vec::new(),
            digest: crc32fast::Hasher::new(),
            next_sample: 0.0,
            experiment: experiment.clone(),
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

    /// The time of the next scheduled event.
    pub fn next_event_time(&self) -> Option<f64> {
        self.queue.next_time()
    }

    /// Handles the next event due by `now`; returns false if there is none. The host must carry out the
    /// effects after each step.
    pub fn step(&mut self, now: f64) -> bool {
        let Some((at, event)) = self.queue.pop_due(now) else { return false };
        // A host on sockets runs late. The event is handled at its scheduled time; only what the host reports
        // has the time of the clock.
        self.handle_event(at, event);
        true
    }

    /// Moves the pending effects to `into`, in order. `into` is cleared first, so that one buffer serves a
    /// whole run.
    pub fn take_effects(&mut self, into: &mut Vec<Effect>) {
        into.clear();
        std::mem::swap(into, &mut self.effects);
    }

    /// Adds an effect for the host.
    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Handles a scheduled event.
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
            Event::AgentUpdate(agent, version) => self.update_agent(now, agent, version),
            Event::Heartbeat(agent, link) => self.send_heartbeat(now, agent, link),
            Event::CloseWatch(agent, link) => self.close_watch(now, agent, link),
            Event::StartProxy(proxy) => self.emit_start(now, proxy),
            Event::FrontPing(proxy) => self.front_pings(now, proxy),
            Event::FrontRemoves(proxy, start) => self.front_removes(proxy, start),
            Event::Trouble(n, stage) => crate::troubles::run_stage(self, now, n, stage),
            Event::Sample => self.sample(now),
        }
    }

    /// Advances all nodes and samples them: detects overloaded cold nodes, sheds connections and measures the
    /// revenue served.
    fn sample(&mut self, now: f64) {
        self.queue.push(now + SAMPLE_INTERVAL, Event::Sample);
        let store_sample = now >= self.next_sample;
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
            if store_sample {
                let capacity = if matches!(node.state, NodeState::Dead | NodeState::Silent) {
                    0.0
                } else {
                    node.capacity(now)
                };
                self.service.nodes[n].push((node.load() as f32, capacity as f32, node.connections as u32));
            }
        }
        self.service.set_served_rates(now, &rates);
        if store_sample {
            self.next_sample = now.floor() + 1.0;
            for (p, proxy) in self.proxies.iter().enumerate() {
                self.service.proxies[p].push(proxy.connections);
            }
        }
        self.audit.check_deadlines(now);
    }

    /// Creates a link between a proxy and another participant.
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

    /// Whether a link is blocked: `Some(true)` if messages are lost, `Some(false)` if they are held until a
    /// zone cut ends.
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

    /// Sends a message on a link, to the proxy or from it.
    pub(crate) fn send(&mut self, now: f64, key: LinkKey, to_proxy: bool, message: Message) {
        let Some(link) = self.links.get(key) else { return };
        match self.blocked(link) {
            Some(true) => return,
            Some(false) => {
                // Connection requests are not repeated after a cut; they remain unanswered.
                if !matches!(message, Message::Connect | Message::ConnectResult(_)) {
                    self.held_messages.push((key, to_proxy, message));
                }
                return;
            }
            None => {}
        }
        let delay = self.network.transit_time(link.latency);
        if let Message::Bytes(bytes) = &message {
            if let Some(split_at) = self.network.split_point(bytes.len()) {
                let (first, rest) =
                    (Bytes::from_slice(&bytes[..split_at]), Bytes::from_slice(&bytes[split_at..]));
                let second_delay = self.network.transit_time(link.latency);
                self.schedule_message(now, key, to_proxy, delay, Message::Bytes(first));
                return self.schedule_message(now, key, to_proxy, delay + second_delay, Message::Bytes(rest));
            }
        }
        self.schedule_message(now, key, to_proxy, delay, message);
    }

    /// Schedules the arrival of a message, no earlier than that of the previous one.
    fn schedule_message(&mut self, now: f64, key: LinkKey, to_proxy: bool, delay: f64, message: Message) {
        let Some(link) = self.links.get_mut(key) else { return };
        let last = if to_proxy { &mut link.to_proxy_at } else { &mut link.from_proxy_at };
        let at = (now + delay).max(*last);
        *last = at;
        self.queue
            .push(at, if to_proxy { Event::ToProxy(key, message) } else { Event::FromProxy(key, message) });
    }

    /// Sends the messages held by a zone cut, in order, once a cut has ended.
    pub(crate) fn release_held_messages(&mut self, now: f64) {
        for (key, to_proxy, message) in std::mem::take(&mut self.held_messages) {
            self.send(now, key, to_proxy, message);
        }
    }

    /// Sends bytes to the proxy.
    pub(crate) fn send_bytes(&mut self, now: f64, key: LinkKey, text: &[u8]) {
        self.send(now, key, true, Message::Bytes(Bytes::from_slice(text)));
    }

    /// Closes a link from the remote side.
    pub(crate) fn close_from_peer(&mut self, now: f64, key: LinkKey, end_kind: EndKind) {
        if let Some(link) = self.links.get_mut(key) {
            if !std::mem::replace(&mut link.peer_closed, true) {
                self.send(now, key, true, Message::End(end_kind));
            }
            self.remove_closed_link(key);
        }
    }

    /// Removes a link that both sides have closed.
    fn remove_closed_link(&mut self, key: LinkKey) {
        if self.links.get(key).is_some_and(|l| l.proxy_closed && l.peer_closed) {
            self.links.remove(key);
        }
    }

    /// Adds an exchange with a proxy to the digest.
    fn update_digest(&mut self, now: f64, event_code: u8, proxy: usize, bytes: &[u8]) {
        self.digest.update(&now.to_bits().to_le_bytes());
        self.digest.update(&[event_code, proxy as u8, (proxy >> 8) as u8]);
        self.digest.update(bytes);
    }

    /// A checksum over everything exchanged with the proxies so far; equal for identical runs.
    pub fn digest(&self) -> u32 {
        self.digest.clone().finalize()
    }

    /// A message has arrived at the proxy's side of a link.
    fn deliver_to_proxy(&mut self, now: f64, key: LinkKey, message: Message) {
        let Some(link) = self.links.get_mut(key) else { return };
        let (proxy, peer) = (link.proxy, link.peer);
        if link.proxy_closed {
            return;
        }
        match message {
            Message::Connect => {
                if !self.proxies[proxy].listening {
                    // No process listens.
                    link.proxy_closed = true;
                    return self.send(now, key, false, Message::ConnectResult(false));
                }
                link.known_to_host = true;
                self.update_digest(now, 1, proxy, &[]);
                self.audit.on_connected(now, key, proxy, peer);
                self.effects.push(Effect::Connect(key, proxy));
            }
            Message::ConnectResult(accepted) => {
                self.update_digest(now, 2, proxy, &[accepted as u8]);
                if !accepted {
                    self.links.remove(key);
                    self.audit.on_refused(now, key);
                }
                self.effects.push(if accepted { Effect::Established(key) } else { Effect::Refused(key) });
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

    /// A message has arrived at the remote side of a link.
    fn deliver_from_proxy(&mut self, now: f64, key: LinkKey, message: Message) {
        let Some(link) = self.links.get(key) else { return };
        if link.peer_closed {
            return;
        }
        match link.peer {
            Peer::Client(client) => self.client_receives(now, client, key, message),
            Peer::Misbehaving(n) => crate::troubles::bad_clients::receive(self, now, n, key, message),
            // A client that ignores `MOVE` stops writing once the proxy has closed its side.
            Peer::IgnoringMove if matches!(message, Message::End(EndKind::Closed | EndKind::Broken)) => {
                self.close_from_peer(now, key, EndKind::Closed);
            }
            Peer::IgnoringMove => {}
            Peer::Front => self.front_receives(now, key, message),
            Peer::Node(node, connection) => self.node_receives(now, node, connection, key, message),
            Peer::Agent(address_index) => self.agent_receives(now, address_index, key, message),
        }
    }

    // Reports from the host.

    /// A proxy opens a connection.
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

    /// A proxy has written bytes.
    pub fn on_bytes(&mut self, now: f64, key: LinkKey, bytes: &[u8]) {
        let Some(link) = self.links.get(key) else { return };
        let proxy = link.proxy;
        self.update_digest(now, 6, proxy, bytes);
        self.audit.on_bytes_sent(now, key, proxy, bytes);
        self.send(now, key, false, Message::Bytes(Bytes::from_slice(bytes)));
    }

    /// A proxy has ended its side of a link.
    pub fn on_end(&mut self, now: f64, key: LinkKey, end_kind: EndKind) {
        let Some(link) = self.links.get_mut(key) else { return };
        let proxy = link.proxy;
        if end_kind != EndKind::Finished {
            link.proxy_closed = true;
        }
        self.update_digest(now, 7, proxy, &[end_kind as u8]);
        self.audit.on_proxy_end(now, key, end_kind);
        // A machine that has vanished does not receive the end. The connections it holds are removed when its
        // process starts again.
        if let Peer::Node(node, None) = self.links[key].peer {
            self.links[key].peer_closed |= self.nodes[node].state == NodeState::Silent;
        }
        self.send(now, key, false, Message::End(end_kind));
        self.remove_closed_link(key);
    }

    /// A proxy's process has started to listen.
    pub fn on_listening(&mut self, now: f64, proxy: usize) {
        self.update_digest(now, 8, proxy, &[]);
        self.proxies[proxy].listening = true;
        self.proxies[proxy].stop_requested_at = None;
        self.audit.on_proxy_start(now, proxy);
        self.service.annotate(now, format!("proxy {proxy} listens"));
        self.front_pings(now, proxy);
    }

    /// The serving process has ended while a retiring process still holds connections.
    pub fn on_listener_closed(&mut self, now: f64, proxy: usize) {
        self.update_digest(now, 10, proxy, &[]);
        self.proxies[proxy].listening = false;
        self.service.annotate(now, format!("proxy {proxy} listens no more"));
        self.front_notices_exit(now, proxy);
    }

    /// All processes of a proxy have ended, by themselves or killed; the connections they held are reset.
    pub fn on_exit(&mut self, now: f64, proxy: usize) {
        self.update_digest(now, 9, proxy, &[]);
        let was_listening = std::mem::replace(&mut self.proxies[proxy].listening, false);
        self.audit.on_proxy_exit(now, proxy);
        self.service.annotate(now, format!("proxy {proxy} is gone"));
        let open_links: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, l)| l.proxy == proxy && !l.proxy_closed && l.known_to_host)
            .map(|(k, _)| k)
            .collect();
        for key in open_links {
            self.links[key].proxy_closed = true;
            self.send(now, key, false, Message::End(EndKind::Broken));
            self.remove_closed_link(key);
        }
        if was_listening {
            self.front_notices_exit(now, proxy);
        }
    }

    /// Schedules the start of a proxy's process.
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

    /// Starts a new process that takes over from a running one.
    pub(crate) fn hand_over(&mut self, now: f64, proxy: usize) {
        if self.proxies[proxy].listening && !self.proxies[proxy].is_stopping() {
            self.proxies[proxy].start_count += 1;
            self.service.annotate(now, format!("proxy {proxy} is handed over"));
            self.effects.push(Effect::Handover(proxy, self.experiment.proxy.leave_in));
        }
    }

    /// Requests the start of a proxy's process from the host.
    fn emit_start(&mut self, _now: f64, proxy: usize) {
        let node_list = self.discovery.last_list(proxy);
        self.effects.push(Effect::Start(proxy, node_list));
    }

    /// The seed for the current process of a proxy.
    pub fn proxy_seed(&self, proxy: usize) -> u64 {
        RandomStream::new(
            self.seed,
            StreamPurpose::Proxy,
            (proxy as u64) << 16 | self.proxies[proxy].start_count << 8 | 1,
        )
        .next_u64()
    }

    /// The name of a node in discovery.
    pub fn node_name(&self, node: usize) -> &str {
        &self.node_names[node]
    }

    /// The proxy that a link belongs to, if the link exists.
    pub fn proxy_of(&self, key: LinkKey) -> Option<usize> {
        self.links.get(key).map(|l| l.proxy)
    }

    /// The results of the run, measured from the time at which the service has settled.
    pub fn outcome(&mut self) -> Outcome {
        let (from, to) = (SETTLING_TIME.min(self.experiment.seconds / 2.0), self.experiment.seconds);
        self.service.outcome(from, to)
    }

    /// Whether a zone cut separates this proxy from this node.
    pub fn is_partitioned(&self, proxy: usize, node: usize) -> bool {
        self.network.is_cut(self.proxies[proxy].zone, self.nodes[node].zone)
    }

    /// Stops the arrival of new clients.
    pub fn stop_arrivals(&mut self) {
        self.population.arrivals_open = false;
    }

    /// The number of open links, for tests that check for leaks.
    pub fn open_links(&self) -> usize {
        self.links.len()
    }
}
