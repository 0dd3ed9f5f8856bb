//! The host on sockets: real dewhead processes on loopback. The world's clients, nodes, front and discovery are at the
//! other ends of their connections, on one thread with mio. The world adds latency, partitions and silence as in
//! simulated time; only the proxies' side is that of real processes and the kernel.

mod addresses;
mod processes;

use crate::runs::RunResult;
use addresses::AddressBlock;
use dewhead_faults::plan::Plan;
use dewhead_world::experiment::Experiment;
use dewhead_world::nodes::NodeState;
use dewhead_world::world::{Effect, EndKind, LinkKey, Signal, Target, World};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use processes::Process;
use serde_json::Value;
use slab::Slab;
use slotmap::SecondaryMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The token of a listener; they are even, those of connections odd.
fn listener_token(slot: usize) -> Token {
    Token(slot * 2)
}

/// The token of a connection.
fn socket_token(slot: usize) -> Token {
    Token(slot * 2 + 1)
}

/// The lab's end of a connection, which is one link of the world.
struct Socket {
    stream: TcpStream,
    link: LinkKey,
    /// Bytes from the world that are not written yet.
    unsent: Vec<u8>,
    /// The connection was opened by the world and is not established yet.
    connecting: bool,
    /// The connection was opened by a proxy and not accepted by the world yet; nothing is read until then.
    read_paused: bool,
    /// The proxy has shut down its sending side.
    proxy_finished: bool,
    /// The world has shut down its sending side, which takes effect once all bytes are written.
    world_finished: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ListenerState {
    Accepting,
    /// Connection attempts are refused.
    Refusing,
    /// Connection attempts get no reply.
    Unresponsive,
}

/// The listener through which one proxy reaches a node or discovery.
struct Listener {
    target: Target,
    proxy: usize,
    address: SocketAddr,
    state: ListenerState,
    socket: Option<TcpListener>,
    /// The lab's own connections that fill the backlog of an unresponsive listener.
    backlog_fillers: Vec<TcpStream>,
}

/// How the processes are started.
pub struct LaunchOptions {
    /// The proxy's binary.
    pub proxy_binary: PathBuf,
    /// The folder for the processes' logs; `None` discards them.
    pub log_dir: Option<PathBuf>,
    /// System calls that fail in the proxies' processes; `None` for no failures.
    pub faults: Option<FaultInjection>,
}

/// How system calls are made to fail in the proxies' processes.
#[derive(Clone, Debug)]
pub struct FaultInjection {
    /// The library that is loaded into each process.
    pub library: PathBuf,
    /// What fails. The clock step's `from` is in seconds from the start of the run here.
    pub plan: Plan,
}

/// Connects the simulated world to real proxy processes.
pub struct SocketHost {
    /// The world of clients, nodes and discovery.
    pub world: World,
    options: LaunchOptions,
    poll: Poll,
    started: Instant,
    listeners: Slab<Listener>,
    sockets: Slab<Socket>,
    /// The socket of each link.
    socket_of_link: SecondaryMap<LinkKey, usize>,
    /// The serving process of each proxy.
    processes: Vec<Option<Process>>,
    /// Processes that have handed over and not exited yet, with the indices of their proxies.
    retired: Vec<(usize, Child)>,
    /// The loopback addresses that this run owns.
    address_block: AddressBlock,
    /// The address on which each proxy listens.
    addresses: Vec<SocketAddr>,
    /// The folder of configurations and control sockets, which is removed at the end of the run.
    folder: PathBuf,
    /// The current configuration of each proxy.
    configurations: Vec<Value>,
    /// Descriptions of processes that exited by themselves with an error or by a signal.
    pub crashes: Vec<String>,
    /// The longest delay, in seconds, with which an event of the world was handled. The first seconds do not count.
    pub lateness: f64,
    read_buffer: Vec<u8>,
}

/// The size of the buffer for reading from sockets, in bytes.
const READ_BUFFER_SIZE: usize = 64 << 10;
/// The longest time in seconds between two checks for processes that have exited or started to listen.
const MAX_POLL_WAIT: f64 = 0.005;
/// From when on lateness counts, in seconds from the start of the run. Before that, processes start and the connections
/// that exist from the beginning are restored.
const LATENESS_COUNTED_FROM: f64 = 3.0;
/// How much later than the lab, in seconds, proxies may observe an event.
const OBSERVATION_SLACK: f64 = 0.1;

/// An error's text, prefixed with what it concerns.
fn with_context(context: &str, error: impl std::fmt::Display) -> String {
    format!("{context}: {error}")
}

/// Raises this process's limit of file descriptors to the hard limit.
pub fn raise_descriptor_limit() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    // If this fails, a run that needs more descriptors reports an error when they run out.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
}

impl SocketHost {
    /// Opens the listeners of nodes and discovery for each proxy. The processes are started by `run`.
    pub fn new(experiment: &Experiment, seed: u64, options: LaunchOptions) -> Result<SocketHost, String> {
        raise_descriptor_limit();
        let mut world = World::new(experiment, seed);
        world.audit.observation_slack = OBSERVATION_SLACK;
        let poll = Poll::new().map_err(|e| with_context("poll", e))?;
        let proxies = world.proxies.len();
        let address_block = AddressBlock::claim()?;
        let folder = std::env::temp_dir().join(format!("dewhead-lab-{}", address_block.run_name()));
        std::fs::create_dir_all(&folder).map_err(|e| with_context(&folder.display().to_string(), e))?;
        let addresses =
            (0..proxies).map(|p| address_block.proxy_address(p)).collect::<Result<Vec<_>, String>>()?;
        let mut host = SocketHost {
            world,
            options,
            poll,
            started: Instant::now(),
            listeners: Slab::new(),
            sockets: Slab::new(),
            socket_of_link: SecondaryMap::new(),
            processes: (0..proxies).map(|_| None).collect(),
            retired: Vec::new(),
            address_block,
            addresses,
            folder,
            configurations: vec![Value::Null; proxies],
            crashes: Vec::new(),
            lateness: 0.0,
            read_buffer: vec![0; READ_BUFFER_SIZE],
        };
        let nodes = host.world.nodes.len();
        let mut node_addresses = vec![vec![host.address_block.node_address(); nodes]; proxies];
        for (p, row) in node_addresses.iter_mut().enumerate() {
            for (n, address) in row.iter_mut().enumerate() {
                *address = host.listen(p, Target::Node(n))?;
            }
            host.listen(p, Target::Agent(0))?;
        }
        host.world.set_node_addresses(|p, n| node_addresses[p][n].to_string());
        host.started = Instant::now();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| with_context("the clock", e))?;
        let epoch = epoch.as_secs_f64();
        host.world.set_epoch(epoch);
        if let Some(faults) = &mut host.options.faults {
            host.world.schedule_clock_step(faults.plan.step.from, faults.plan.step.by);
            faults.plan.step.from += epoch;
        }
        Ok(host)
    }

    /// Seconds from the start of the run.
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Opens a listener through which a proxy reaches a target.
    fn listen(&mut self, proxy: usize, target: Target) -> Result<SocketAddr, String> {
        let mut socket = TcpListener::bind(self.address_block.node_address())
            .map_err(|e| with_context("a listener", e))?;
        let address = socket.local_addr().map_err(|e| with_context("a listener", e))?;
        let entry = self.listeners.vacant_entry();
        let token = listener_token(entry.key());
        self.poll
            .registry()
            .register(&mut socket, token, Interest::READABLE)
            .map_err(|e| with_context("a listener", e))?;
        let (state, backlog_fillers) = (ListenerState::Accepting, Vec::new());
        entry.insert(Listener { target, proxy, address, state, socket: Some(socket), backlog_fillers });
        Ok(address)
    }

    /// Runs until this time, in seconds from the start; `observe` is called about ten times a second.
    pub fn run(&mut self, until: f64, mut observe: impl FnMut(&mut World, f64)) -> Result<(), String> {
        let mut events = Events::with_capacity(4096);
        let mut next_observation = 0.0;
        loop {
            let now = self.now();
            if now >= until {
                return Ok(());
            }
            if let Some(due) = self.world.next_event_time().filter(|due| *due <= now) {
                if due > LATENESS_COUNTED_FROM {
                    self.lateness = self.lateness.max(now - due);
                }
            }
            // At most 1000 events at a time, so that sockets are not neglected when many are due.
            for _ in 0..1000 {
                let more = self.world.step(now);
                self.apply_effects()?;
                if !more {
                    break;
                }
            }
            self.update_listeners()?;
            self.check_processes(now)?;
            if now >= next_observation {
                next_observation = now + 0.1;
                observe(&mut self.world, now);
            }
            let now = self.now();
            let due = self.world.next_event_time().unwrap_or(until).min(now + MAX_POLL_WAIT);
            let wait = Duration::from_secs_f64((due - now).clamp(0.0, MAX_POLL_WAIT));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other.map_err(|e| with_context("poll", e))?,
            }
            for event in events.iter() {
                let slot = event.token().0 / 2;
                if event.token().0 % 2 == 0 {
                    self.accept(slot);
                } else {
                    self.on_ready(slot, event.is_readable() || event.is_read_closed() || event.is_error());
                }
                self.apply_effects()?;
            }
        }
    }

    /// Applies the world's effects until there are none left.
    fn apply_effects(&mut self) -> Result<(), String> {
        let mut effects = Vec::new();
        loop {
            self.world.take_effects(&mut effects);
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects.drain(..) {
                self.apply_effect(effect)?;
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect) -> Result<(), String> {
        let now = self.now();
        match effect {
            Effect::Connect(link, p) => match TcpStream::connect(self.addresses[p]) {
                Ok(stream) => self.register_socket(stream, link, true, false)?,
                Err(e) if e.kind() == io::ErrorKind::AddrNotAvailable || e.raw_os_error() == Some(24) => {
                    return Err(with_context("the lab has run out of ports or descriptors", e));
                }
                Err(_) => self.world.on_end(now, link, EndKind::Broken),
            },
            Effect::Established(link) => {
                if let Some(&slot) = self.socket_of_link.get(link) {
                    self.sockets[slot].read_paused = false;
                    self.read(slot);
                }
            }
            Effect::Refused(link) => {
                if let Some(slot) = self.socket_of_link.remove(link) {
                    reset_on_close(&self.sockets.remove(slot).stream);
                }
            }
            Effect::Bytes(link, bytes) => {
                if let Some(&slot) = self.socket_of_link.get(link) {
                    self.sockets[slot].unsent.extend_from_slice(&bytes);
                    self.flush(slot);
                }
            }
            Effect::End(link, kind) => {
                if let Some(&slot) = self.socket_of_link.get(link) {
                    if kind == EndKind::Broken {
                        reset_on_close(&self.sockets[slot].stream);
                        self.remove_socket(slot);
                        self.world.on_end(now, link, EndKind::Broken);
                    } else {
                        self.sockets[slot].world_finished = true;
                        self.flush(slot);
                    }
                }
            }
            Effect::Start(p, stored_list) => self.start(p, stored_list)?,
            Effect::Signal(p, Signal::Stop) => self.signal_serving(p, rustix::process::Signal::TERM),
            Effect::Signal(p, Signal::StopGroup) => self.signal_all(p, rustix::process::Signal::TERM),
            Effect::Signal(p, Signal::Reload) => self.signal_serving(p, rustix::process::Signal::HUP),
            Effect::Signal(p, Signal::Kill) => self.kill_all(p)?,
            Effect::Handover(p, leave_in) => self.hand_over(p, leave_in)?,
            Effect::Reconfigure(p, address) => {
                self.close_discovery_listeners(p);
                let to = self.listen(p, Target::Agent(address))?;
                self.configurations[p]["discovery"] = Value::String(to.to_string());
                self.write_configuration(p)?;
                self.signal_serving(p, rustix::process::Signal::HUP);
            }
        }
        Ok(())
    }

    /// Closes the listeners of a proxy's earlier discovery addresses.
    fn close_discovery_listeners(&mut self, p: usize) {
        let slots: Vec<usize> = self
            .listeners
            .iter()
            .filter(|(_, l)| l.proxy == p && matches!(l.target, Target::Agent(_)))
            .map(|(slot, _)| slot)
            .collect();
        for slot in slots {
            self.listeners.remove(slot);
        }
    }

    /// Sets the states of listeners by the states of nodes and the partitions between zones.
    fn update_listeners(&mut self) -> Result<(), String> {
        for slot in 0..self.listeners.capacity() {
            let Some(listener) = self.listeners.get(slot) else { continue };
            let Target::Node(node) = listener.target else { continue };
            let state = match self.world.nodes[node].state {
                NodeState::Dead => ListenerState::Refusing,
                NodeState::Silent => ListenerState::Unresponsive,
                _ if self.world.is_partitioned(listener.proxy, node) => ListenerState::Unresponsive,
                _ => ListenerState::Accepting,
            };
            if state != listener.state {
                self.set_listener_state(slot, state).map_err(|e| with_context("a listener", e))?;
            }
        }
        Ok(())
    }

    fn set_listener_state(&mut self, slot: usize, state: ListenerState) -> io::Result<()> {
        let listener = &mut self.listeners[slot];
        listener.socket = None;
        listener.backlog_fillers.clear();
        listener.state = state;
        let backlog = match state {
            ListenerState::Refusing => return Ok(()),
            ListenerState::Unresponsive => 0,
            ListenerState::Accepting => 1024,
        };
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&listener.address.into())?;
        socket.listen(backlog)?;
        socket.set_nonblocking(true)?;
        let mut socket = TcpListener::from_std(socket.into());
        if state == ListenerState::Unresponsive {
            // While the backlog is full, the kernel does not answer further connection attempts. The connections that
            // fill it are not waited for: with hundreds of listeners that delayed the lab for seconds.
            for _ in 0..2 {
                listener.backlog_fillers.extend(TcpStream::connect(listener.address));
            }
        } else {
            self.poll.registry().register(&mut socket, listener_token(slot), Interest::READABLE)?;
        }
        listener.socket = Some(socket);
        Ok(())
    }

    fn accept(&mut self, slot: usize) {
        loop {
            let Some(listener) = self.listeners.get(slot) else { return };
            let (proxy, target) = (listener.proxy, listener.target);
            let Some(Ok((stream, _))) = listener.socket.as_ref().map(|s| s.accept()) else { return };
            let now = self.now();
            let link = self.world.on_dial(now, proxy, target);
            if self.register_socket(stream, link, false, true).is_err() {
                self.world.on_end(now, link, EndKind::Broken);
            }
        }
    }

    /// Registers a connection of a link for polling.
    fn register_socket(
        &mut self,
        mut stream: TcpStream,
        link: LinkKey,
        connecting: bool,
        read_paused: bool,
    ) -> Result<(), String> {
        let entry = self.sockets.vacant_entry();
        let slot = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut stream, socket_token(slot), interest);
        registered.map_err(|e| with_context("a socket", e))?;
        // Small lines are to be sent without delay; if this fails, they arrive a little later.
        let _ = stream.set_nodelay(true);
        entry.insert(Socket {
            stream,
            link,
            unsent: Vec::new(),
            connecting,
            read_paused,
            proxy_finished: false,
            world_finished: false,
        });
        self.socket_of_link.insert(link, slot);
        Ok(())
    }

    fn remove_socket(&mut self, slot: usize) {
        let socket = self.sockets.remove(slot);
        self.socket_of_link.remove(socket.link);
    }

    /// Handles a readiness event of a connection.
    fn on_ready(&mut self, slot: usize, readable: bool) {
        let Some(socket) = self.sockets.get_mut(slot) else { return };
        if socket.connecting {
            if !matches!(socket.stream.take_error(), Ok(None)) {
                return self.on_reset(slot);
            }
            if socket.stream.peer_addr().is_err() {
                return;
            }
            socket.connecting = false;
        }
        self.flush(slot);
        if readable {
            self.read(slot);
        }
    }

    /// Handles a failed connection attempt or a reset by the proxy.
    fn on_reset(&mut self, slot: usize) {
        let link = self.sockets[slot].link;
        self.remove_socket(slot);
        let now = self.now();
        self.world.on_end(now, link, EndKind::Broken);
    }

    /// Writes as many unsent bytes as the socket accepts, then shuts down sending if the world has.
    fn flush(&mut self, slot: usize) {
        let Some(socket) = self.sockets.get_mut(slot).filter(|s| !s.connecting) else { return };
        let mut written = 0;
        while written < socket.unsent.len() {
            match socket.stream.write(&socket.unsent[written..]) {
                Ok(0) => break,
                Ok(n) => written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // Bytes that the proxy sent before it closed are still to be read; the read then finds the end.
                Err(_) => {
                    socket.unsent.clear();
                    return;
                }
            }
        }
        socket.unsent.drain(..written);
        if socket.world_finished && socket.unsent.is_empty() {
            if socket.proxy_finished {
                // Both sides have finished.
                let link = socket.link;
                self.remove_socket(slot);
                let now = self.now();
                self.world.on_end(now, link, EndKind::Closed);
            } else {
                // Fails if the connection is already closed, which needs no shutdown.
                let _ = socket.stream.shutdown(Shutdown::Write);
            }
        }
    }

    /// Passes the bytes that a connection has received to the world.
    fn read(&mut self, slot: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        while let Some(socket) =
            self.sockets.get_mut(slot).filter(|s| !s.read_paused && !s.proxy_finished && !s.connecting)
        {
            match socket.stream.read(&mut read_buffer) {
                Ok(0) => {
                    socket.proxy_finished = true;
                    let (link, world_finished) = (socket.link, socket.world_finished);
                    let now = self.now();
                    if world_finished {
                        self.remove_socket(slot);
                        self.world.on_end(now, link, EndKind::Closed);
                    } else {
                        self.world.on_end(now, link, EndKind::Finished);
                    }
                }
                Ok(n) => {
                    let link = socket.link;
                    let now = self.now();
                    self.world.on_bytes(now, link, &read_buffer[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.on_reset(slot);
                    break;
                }
            }
        }
        self.read_buffer = read_buffer;
    }

    /// How many connections are open.
    pub fn open_sockets(&self) -> usize {
        self.sockets.len()
    }
}

impl Drop for SocketHost {
    /// Ends the processes that were started here and removes their folder.
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            // Both fail if the process has exited and been waited for.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        for (_, child) in &mut self.retired {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Makes the following close send a reset.
fn reset_on_close(stream: &TcpStream) {
    // If this fails, the close is an ordinary one.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The path of the proxy's binary in the folder of this program.
pub fn find_proxy_binary() -> Result<PathBuf, String> {
    find_built_file("dewhead").map_err(|error| format!("{error}: build it, or name one with --proxy"))
}

/// The path of the fault injection library in the folder of this program.
pub fn find_faults_library() -> Result<PathBuf, String> {
    find_built_file("libdewhead_faults_preload.so")
        .map_err(|error| format!("{error}: build dewhead-faults-preload"))
}

/// The file of this name in the folder of this program, or in the folder above.
fn find_built_file(name: &str) -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| with_context("the path of this program", e))?;
    let beside = program.with_file_name(name);
    if beside.is_file() {
        return Ok(beside);
    }
    // Test binaries are one folder deeper.
    let above = program.parent().and_then(Path::parent).map(|dir| dir.join(name)).filter(|p| p.is_file());
    above.ok_or_else(|| format!("{} does not exist", beside.display()))
}

/// Carries out one run on sockets.
pub fn run_experiment(
    experiment: &Experiment,
    point: &str,
    seed: u64,
    options: LaunchOptions,
) -> Result<RunResult, String> {
    let started = Instant::now();
    let proxy_name = options.proxy_binary.display().to_string();
    let mut host = SocketHost::new(experiment, seed, options)?;
    host.run(experiment.seconds, |_, _| {})?;
    let lateness = host.lateness;
    Ok(collect_result(&mut host.world, point, seed, proxy_name, lateness, started))
}

/// The result of a run on sockets that started at `started`.
pub fn collect_result(
    world: &mut World,
    point: &str,
    seed: u64,
    proxy_name: String,
    lateness: f64,
    started: Instant,
) -> RunResult {
    let shortest_target =
        world.experiment.traffic.iter().map(|t| t.setup_target).fold(f64::INFINITY, f64::min);
    RunResult {
        experiment: world.experiment.name.clone(),
        point: point.to_owned(),
        seed,
        proxy_name,
        host: "sockets",
        outcome: world.outcome(),
        violations: std::mem::take(&mut world.audit.violations),
        lateness,
        late: lateness > shortest_target / 4.0,
        digest: String::new(),
        events: 0,
        wall_seconds: started.elapsed().as_secs_f64(),
        nodes: std::mem::take(&mut world.service.nodes),
        proxies: std::mem::take(&mut world.service.proxies),
        annotations: std::mem::take(&mut world.service.annotations),
    }
}
