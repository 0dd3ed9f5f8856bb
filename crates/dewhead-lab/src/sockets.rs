//! The host on sockets: real dewhead processes on loopback, and the world's clients, nodes, front and discovery on the
//! other ends of their connections, on one thread with mio. Latency, cuts and silence are the world's, as in simulated
//! time; what differs is the proxies' side, which is the kernel's and theirs.

mod addresses;
mod processes;

use crate::runs::RunResult;
use addresses::Claim;
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

/// Tokens of listeners are even, of links odd.
fn listener_token(slot: usize) -> Token {
    Token(slot * 2)
}

fn socket_token(slot: usize) -> Token {
    Token(slot * 2 + 1)
}

/// One end of a link, with the bytes that wait to be written to it.
struct Socket {
    stream: TcpStream,
    link: LinkKey,
    out: Vec<u8>,
    /// Dialled by the world, not up yet.
    connecting: bool,
    /// Dialled by a proxy, and not taken up by the world yet: what it says waits.
    shy: bool,
    /// The proxy has ended its sending.
    eof: bool,
    /// The world has ended its own: at once, or once all is written.
    done: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Door {
    Open,
    /// Connects are refused.
    Shut,
    /// Connects never come up.
    Stuck,
}

/// Where a proxy reaches a node, or its discovery.
struct Listener {
    target: Target,
    proxy: usize,
    address: SocketAddr,
    door: Door,
    socket: Option<TcpListener>,
    /// Connections of our own that fill the queue of one that is stuck.
    plugs: Vec<TcpStream>,
}

/// How the processes are started.
pub struct LaunchOptions {
    /// The proxy's binary.
    pub proxy_binary: PathBuf,
    /// Where processes' logs go; nowhere if not told.
    pub log_dir: Option<PathBuf>,
    /// System calls that fail in the proxies' processes; none if not told.
    pub faults: Option<FaultInjection>,
}

/// Faults that the proxies' processes meet.
#[derive(Clone, Debug)]
pub struct FaultInjection {
    /// The library that is loaded into each process.
    pub library: PathBuf,
    /// What fails. The clock step's `from` counts from the run's start here.
    pub plan: Plan,
}

pub struct SocketHost {
    pub world: World,
    programs: LaunchOptions,
    poll: Poll,
    began: Instant,
    listeners: Slab<Listener>,
    sockets: Slab<Socket>,
    /// Which socket a link is on.
    at: SecondaryMap<LinkKey, usize>,
    processes: Vec<Option<Process>>,
    /// Those whose place was taken, with their proxies; one leaves when it has ended.
    retired: Vec<(usize, Child)>,
    /// Each proxy's addresses, and the run's claim to them.
    claim: Claim,
    addresses: Vec<SocketAddr>,
    /// The configurations' folder; it goes with the run.
    folder: PathBuf,
    configured: Vec<Value>,
    /// Processes that ended by themselves with a fault or a signal.
    pub crashes: Vec<String>,
    /// By how much the world's events came late: the worst, and since when it is counted.
    pub lateness: f64,
    scratch: Vec<u8>,
}

/// What is read of one socket before the others have their turn.
const READ: usize = 64 << 10;
/// The world is looked at this often at the least, for processes that end or listen by now.
const WAKE: f64 = 0.005;
/// Late from when on: processes start, and what stood before is put back, in the first seconds.
const COUNTED_FROM: f64 = 3.0;
/// What proxies see a moment later than we do.
const SLACK: f64 = 0.1;

fn told(what: &str, fault: impl std::fmt::Display) -> String {
    format!("{what}: {fault}")
}

/// Lets this process hold as many descriptors as it may.
pub fn raise_descriptor_limit() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    // Where that is not allowed, runs that need more say so when they run out.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
}

impl SocketHost {
    pub fn new(of: &Experiment, seed: u64, programs: LaunchOptions) -> Result<SocketHost, String> {
        raise_descriptor_limit();
        let mut world = World::new(of, seed);
        world.audit.observation_slack = SLACK;
        let poll = Poll::new().map_err(|e| told("poll", e))?;
        let proxies = world.proxies.len();
        let claim = Claim::take()?;
        let folder = std::env::temp_dir().join(format!("dewhead-lab-{}", claim.name()));
        std::fs::create_dir_all(&folder).map_err(|e| told(&folder.display().to_string(), e))?;
        let addresses = (0..proxies).map(|p| claim.proxy(p)).collect::<Result<Vec<_>, String>>()?;
        let mut host = SocketHost {
            world,
            programs,
            poll,
            began: Instant::now(),
            listeners: Slab::new(),
            sockets: Slab::new(),
            at: SecondaryMap::new(),
            processes: (0..proxies).map(|_| None).collect(),
            retired: Vec::new(),
            claim,
            addresses,
            folder,
            configured: vec![Value::Null; proxies],
            crashes: Vec::new(),
            lateness: 0.0,
            scratch: vec![0; READ],
        };
        let nodes = host.world.nodes.len();
        let mut places = vec![vec![host.claim.node(); nodes]; proxies];
        for (p, row) in places.iter_mut().enumerate() {
            for (n, place) in row.iter_mut().enumerate() {
                *place = host.listen(p, Target::Node(n))?;
            }
            host.listen(p, Target::Agent(0))?;
        }
        host.world.set_node_addresses(|p, n| places[p][n].to_string());
        host.began = Instant::now();
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| told("the clock", e))?;
        let epoch = epoch.as_secs_f64();
        host.world.set_epoch(epoch);
        if let Some(faults) = &mut host.programs.faults {
            host.world.schedule_clock_step(faults.plan.step.from, faults.plan.step.by);
            faults.plan.step.from += epoch;
        }
        Ok(host)
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn listen(&mut self, proxy: usize, target: Target) -> Result<SocketAddr, String> {
        let mut socket = TcpListener::bind(self.claim.node()).map_err(|e| told("a listener", e))?;
        let address = socket.local_addr().map_err(|e| told("a listener", e))?;
        let entry = self.listeners.vacant_entry();
        let token = listener_token(entry.key());
        self.poll
            .registry()
            .register(&mut socket, token, Interest::READABLE)
            .map_err(|e| told("a listener", e))?;
        let (door, plugs) = (Door::Open, Vec::new());
        entry.insert(Listener { target, proxy, address, door, socket: Some(socket), plugs });
        Ok(address)
    }

    /// Plays until this second; `each` is called about ten times a second.
    pub fn run(&mut self, until: f64, mut each: impl FnMut(&mut World, f64)) -> Result<(), String> {
        let mut events = Events::with_capacity(4096);
        let mut next_call = 0.0;
        loop {
            let now = self.now();
            if now >= until {
                return Ok(());
            }
            if let Some(due) = self.world.next_event_time().filter(|due| *due <= now) {
                if due > COUNTED_FROM {
                    self.lateness = self.lateness.max(now - due);
                }
            }
            // Many may be due; sockets are looked at in between.
            for _ in 0..1000 {
                let more = self.world.step(now);
                self.carry_out()?;
                if !more {
                    break;
                }
            }
            self.doors()?;
            self.look_at_processes(now)?;
            if now >= next_call {
                next_call = now + 0.1;
                each(&mut self.world, now);
            }
            let now = self.now();
            let due = self.world.next_event_time().unwrap_or(until).min(now + WAKE);
            let wait = Duration::from_secs_f64((due - now).clamp(0.0, WAKE));
            match self.poll.poll(&mut events, Some(wait)) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => other.map_err(|e| told("poll", e))?,
            }
            for event in events.iter() {
                let slot = event.token().0 / 2;
                if event.token().0 % 2 == 0 {
                    self.accept(slot);
                } else {
                    self.ready(slot, event.is_readable() || event.is_read_closed() || event.is_error());
                }
                self.carry_out()?;
            }
        }
    }

    fn carry_out(&mut self) -> Result<(), String> {
        let mut effects = Vec::new();
        loop {
            self.world.take_effects(&mut effects);
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects.drain(..) {
                self.effect(effect)?;
            }
        }
    }

    fn effect(&mut self, effect: Effect) -> Result<(), String> {
        let now = self.now();
        match effect {
            Effect::Connect(link, p) => match TcpStream::connect(self.addresses[p]) {
                Ok(stream) => self.keep(stream, link, true, false)?,
                Err(e) if e.kind() == io::ErrorKind::AddrNotAvailable || e.raw_os_error() == Some(24) => {
                    return Err(told("the lab has run out of ports or descriptors", e));
                }
                Err(_) => self.world.on_end(now, link, EndKind::Broken),
            },
            Effect::Established(link) => {
                if let Some(&slot) = self.at.get(link) {
                    self.sockets[slot].shy = false;
                    self.read(slot);
                }
            }
            Effect::Refused(link) => {
                if let Some(slot) = self.at.remove(link) {
                    abort(&self.sockets.remove(slot).stream);
                }
            }
            Effect::Bytes(link, bytes) => {
                if let Some(&slot) = self.at.get(link) {
                    self.sockets[slot].out.extend_from_slice(&bytes);
                    self.flush(slot);
                }
            }
            Effect::End(link, how) => {
                if let Some(&slot) = self.at.get(link) {
                    if how == EndKind::Broken {
                        abort(&self.sockets[slot].stream);
                        self.drop_socket(slot);
                        self.world.on_end(now, link, EndKind::Broken);
                    } else {
                        self.sockets[slot].done = true;
                        self.flush(slot);
                    }
                }
            }
            Effect::Start(p, known) => self.start(p, known)?,
            Effect::Signal(p, Signal::Stop) => self.signal(p, rustix::process::Signal::TERM),
            Effect::Signal(p, Signal::StopGroup) => self.signal_all(p, rustix::process::Signal::TERM),
            Effect::Signal(p, Signal::Reload) => self.signal(p, rustix::process::Signal::HUP),
            Effect::Signal(p, Signal::Kill) => self.kill_all(p)?,
            Effect::Handover(p, leave_in) => self.hand_over(p, leave_in)?,
            Effect::Reconfigure(p, address) => {
                self.shut_discovery(p);
                let to = self.listen(p, Target::Agent(address))?;
                self.configured[p]["discovery"] = Value::String(to.to_string());
                self.write_configuration(p)?;
                self.signal(p, rustix::process::Signal::HUP);
            }
        }
        Ok(())
    }

    /// An older address of discovery takes no new connection.
    fn shut_discovery(&mut self, p: usize) {
        let old: Vec<usize> = self
            .listeners
            .iter()
            .filter(|(_, l)| l.proxy == p && matches!(l.target, Target::Agent(_)))
            .map(|(slot, _)| slot)
            .collect();
        for slot in old {
            self.listeners.remove(slot);
        }
    }

    /// Listeners follow what has become of nodes and zones.
    fn doors(&mut self) -> Result<(), String> {
        for slot in 0..self.listeners.capacity() {
            let Some(listener) = self.listeners.get(slot) else { continue };
            let Target::Node(node) = listener.target else { continue };
            let wanted = match self.world.nodes[node].state {
                NodeState::Dead => Door::Shut,
                NodeState::Silent => Door::Stuck,
                _ if self.world.is_partitioned(listener.proxy, node) => Door::Stuck,
                _ => Door::Open,
            };
            if wanted != listener.door {
                self.turn_door(slot, wanted).map_err(|e| told("a listener", e))?;
            }
        }
        Ok(())
    }

    fn turn_door(&mut self, slot: usize, wanted: Door) -> io::Result<()> {
        let listener = &mut self.listeners[slot];
        listener.socket = None;
        listener.plugs.clear();
        listener.door = wanted;
        let backlog = match wanted {
            Door::Shut => return Ok(()),
            Door::Stuck => 0,
            Door::Open => 1024,
        };
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&listener.address.into())?;
        socket.listen(backlog)?;
        socket.set_nonblocking(true)?;
        let mut socket = TcpListener::from_std(socket.into());
        if wanted == Door::Stuck {
            // A queue that is full lets no further connect come up.
            // None of them is waited for: with hundreds of listeners that held the lab up for seconds.
            for _ in 0..2 {
                listener.plugs.extend(TcpStream::connect(listener.address));
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
            if self.keep(stream, link, false, true).is_err() {
                self.world.on_end(now, link, EndKind::Broken);
            }
        }
    }

    fn keep(
        &mut self,
        mut stream: TcpStream,
        link: LinkKey,
        connecting: bool,
        shy: bool,
    ) -> Result<(), String> {
        let entry = self.sockets.vacant_entry();
        let slot = entry.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut stream, socket_token(slot), interest);
        registered.map_err(|e| told("a socket", e))?;
        // Lines are small and wanted at once; where the kernel won't, they come a little later.
        let _ = stream.set_nodelay(true);
        entry.insert(Socket { stream, link, out: Vec::new(), connecting, shy, eof: false, done: false });
        self.at.insert(link, slot);
        Ok(())
    }

    fn drop_socket(&mut self, slot: usize) {
        let socket = self.sockets.remove(slot);
        self.at.remove(socket.link);
    }

    fn ready(&mut self, slot: usize, readable: bool) {
        let Some(socket) = self.sockets.get_mut(slot) else { return };
        if socket.connecting {
            if !matches!(socket.stream.take_error(), Ok(None)) {
                return self.lost(slot);
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

    /// The proxy's side has broken.
    fn lost(&mut self, slot: usize) {
        let link = self.sockets[slot].link;
        self.drop_socket(slot);
        let now = self.now();
        self.world.on_end(now, link, EndKind::Broken);
    }

    fn flush(&mut self, slot: usize) {
        let Some(socket) = self.sockets.get_mut(slot).filter(|s| !s.connecting) else { return };
        let mut gone = 0;
        while gone < socket.out.len() {
            match socket.stream.write(&socket.out[gone..]) {
                Ok(0) => break,
                Ok(n) => gone += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // What the proxy said before it closed is still to be read; the read finds the end.
                Err(_) => {
                    socket.out.clear();
                    return;
                }
            }
        }
        socket.out.drain(..gone);
        if socket.done && socket.out.is_empty() {
            if socket.eof {
                // Both sides have ended.
                let link = socket.link;
                self.drop_socket(slot);
                let now = self.now();
                self.world.on_end(now, link, EndKind::Closed);
            } else {
                // One that is gone already needs no end.
                let _ = socket.stream.shutdown(Shutdown::Write);
            }
        }
    }

    fn read(&mut self, slot: usize) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(socket) = self.sockets.get_mut(slot).filter(|s| !s.shy && !s.eof && !s.connecting) {
            match socket.stream.read(&mut scratch) {
                Ok(0) => {
                    socket.eof = true;
                    let (link, done) = (socket.link, socket.done);
                    let now = self.now();
                    if done {
                        self.drop_socket(slot);
                        self.world.on_end(now, link, EndKind::Closed);
                    } else {
                        self.world.on_end(now, link, EndKind::Finished);
                    }
                }
                Ok(n) => {
                    let link = socket.link;
                    let now = self.now();
                    self.world.on_bytes(now, link, &scratch[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.lost(slot);
                    break;
                }
            }
        }
        self.scratch = scratch;
    }

    /// SocketHost that are open, for tests that nothing is left over.
    pub fn open_sockets(&self) -> usize {
        self.sockets.len()
    }
}

impl Drop for SocketHost {
    /// Ends the processes that were started here, and gives their folder back.
    fn drop(&mut self) {
        for process in self.processes.iter_mut().flatten() {
            // Those that ended by themselves need neither.
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

/// Makes the close that follows a reset.
fn abort(stream: &TcpStream) {
    // Where that fails the close is a plain one.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The proxy's binary that lies beside this program's.
pub fn find_proxy_binary() -> Result<PathBuf, String> {
    built("dewhead").map_err(|fault| format!("{fault}: build it, or name one with --proxy"))
}

/// The fault injection library that lies beside this program.
pub fn find_faults_library() -> Result<PathBuf, String> {
    built("libdewhead_faults_preload.so").map_err(|fault| format!("{fault}: build dewhead-faults-preload"))
}

/// What was built with this name, beside this program.
fn built(name: &str) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| told("this program's place", e))?;
    let beside = own.with_file_name(name);
    if beside.is_file() {
        return Ok(beside);
    }
    // Tests' programs lie a folder deeper.
    let above = own.parent().and_then(Path::parent).map(|dir| dir.join(name)).filter(|p| p.is_file());
    above.ok_or_else(|| format!("there is no {}", beside.display()))
}

/// Plays one run on sockets.
pub fn run_experiment(
    of: &Experiment,
    point: &str,
    seed: u64,
    programs: LaunchOptions,
) -> Result<RunResult, String> {
    let began = Instant::now();
    let who = programs.proxy_binary.display().to_string();
    let mut host = SocketHost::new(of, seed, programs)?;
    host.run(of.seconds, |_, _| {})?;
    let lateness = host.lateness;
    Ok(collect_result(&mut host.world, point, seed, who, lateness, began))
}

/// What a run on sockets came to.
pub fn collect_result(
    world: &mut World,
    point: &str,
    seed: u64,
    who: String,
    lateness: f64,
    began: Instant,
) -> RunResult {
    let shortest = world.experiment.traffic.iter().map(|t| t.setup_target).fold(f64::INFINITY, f64::min);
    RunResult {
        experiment: world.experiment.name.clone(),
        point: point.to_owned(),
        seed,
        proxy_name: who,
        host: "sockets",
        outcome: world.outcome(),
        violations: std::mem::take(&mut world.audit.violations),
        lateness,
        late: lateness > shortest / 4.0,
        digest: String::new(),
        events: 0,
        wall_seconds: began.elapsed().as_secs_f64(),
        nodes: std::mem::take(&mut world.service.nodes),
        proxies: std::mem::take(&mut world.service.proxies),
        annotations: std::mem::take(&mut world.service.annotations),
    }
}
