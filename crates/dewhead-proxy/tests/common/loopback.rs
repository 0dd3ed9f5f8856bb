//! A real proxy process with servers and a discovery that the test plays itself, over loopback. A test proceeds step by
//! step: it waits until an event has happened before it causes the next one.

use super::{server_list, ZONES};
use dewhead_faults::plan::{self, Plan};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Time limit for a single step of a test: longer than any step takes on a machine with all cores busy.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// The log filter of proxies: with what discovery told and how its watch failed.
const LOG_FILTER: &str = "info,dewhead_proxy::reducer::watch=debug,dewhead_proxy::reducer::server_list=debug";

/// Reads one line with its line end; empty at the end of the stream.
pub fn read_line(reader: &mut impl BufRead) -> String {
    let mut line = String::new();
    reader.read_line(&mut line).expect("a line can be read");
    line
}

/// Waits until the condition holds; `description` names it if it does not hold in time.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < STEP_TIMEOUT, "timed out waiting for: {description}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The server list's entry for a server.
pub fn server_entry(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": ZONES[0], "block": 0, "health": health, "share": 1.0,
           "born_ms": 0})
}

/// A loopback address, with port 0, on which only this test process listens and from which no connection is opened.
/// While all test processes shared one address, a port that had been a discovery's was reused: a proxy of another test
/// run then requested its list from a server of this run.
fn address_of_this_run() -> SocketAddr {
    let id = std::process::id();
    SocketAddr::from(([127, 16 + (id / 200 % 200) as u8, 1 + (id % 200) as u8, 1], 0))
}

/// Formats an address as in `/proc/net/tcp`.
fn format_proc_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { unreachable!("loopback addresses here are IPv4") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}

/// The lines that a process logs. They are read on a thread of their own, so that a test waits for one no longer than
/// `STEP_TIMEOUT`, and the process is never blocked by a full pipe.
pub struct ProcessLog(Receiver<String>);

impl ProcessLog {
    /// Reads the log from this pipe until the process ends.
    fn read_from(pipe: ChildStderr) -> ProcessLog {
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(pipe).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    break;
                }
            }
        });
        ProcessLog(lines)
    }

    /// Reads up to the first line from which this function returns something, and returns that.
    pub fn wait_for<T>(&self, find: impl Fn(&str) -> Option<T>) -> T {
        let started_at = Instant::now();
        loop {
            let time_left = STEP_TIMEOUT.saturating_sub(started_at.elapsed());
            let line = self.0.recv_timeout(time_left).expect("the process logs the line in time");
            if let Some(found) = find(&line) {
                return found;
            }
        }
    }

    /// All further lines until the process ends.
    fn rest(&self) -> String {
        self.0.iter().collect::<Vec<_>>().join("\n")
    }
}

/// A running `dewhead serve` process, killed when this is dropped.
pub struct Proxy {
    child: Child,
    /// The address at which it accepts clients.
    pub address: SocketAddr,
    config_path: PathBuf,
    /// Its standard error, to which it logs.
    pub log: ProcessLog,
}

impl Proxy {
    /// Starts a proxy with these settings and this known server list, and returns once it accepts clients. It serves them once
    /// its discovery has answered.
    pub fn start(settings: &Value, discovery: SocketAddr, known: Vec<Value>) -> Proxy {
        Proxy::start_with_environment(settings, discovery, known, &[])
    }

    /// As `start`, with additional environment variables.
    pub fn start_with_environment(
        settings: &Value,
        discovery: SocketAddr,
        known: Vec<Value>,
        environment: &[(&str, String)],
    ) -> Proxy {
        Proxy::start_with_limits(settings, discovery, known, environment, 256)
    }

    /// As `start_with_environment`, with this limit of descriptors.
    pub fn start_with_limits(
        settings: &Value,
        discovery: SocketAddr,
        known: Vec<Value>,
        environment: &[(&str, String)],
        sockets: usize,
    ) -> Proxy {
        static NEXT_NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        loop {
            let number = NEXT_NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            // No connection is opened from this address, so the port stays free until the proxy binds it.
            let address = TcpListener::bind(address_of_this_run()).unwrap().local_addr().unwrap();
            let config_path =
                std::env::temp_dir().join(format!("dewhead-loopback-{}-{number}.json", std::process::id()));
            let configuration = json!({"name": "p", "listen": address.to_string(), "discovery": discovery.to_string(),
                                       "control": config_path.with_extension("control"), "seed": "7",
                                       "known": server_list(1, true, known.clone()), "settings": settings,
                                       "limits": {"sockets": sockets}});
            std::fs::write(&config_path, configuration.to_string()).unwrap();
            let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
            command.args(["serve", "--config"]).arg(&config_path);
            command.env("RUST_LOG", LOG_FILTER);
            command.envs(environment.iter().map(|(name, value)| (name, value)));
            let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
            let log = ProcessLog::read_from(child.stderr.take().unwrap());
            let proxy = Proxy { child, address, config_path, log };
            // Another test run may have bound the port in the meantime; any other cause fails the test.
            let is_listening = |line: &str| match line {
                _ if line.contains(" serves on ") => Some(true),
                _ if line.contains("Address already in use") => Some(false),
                _ => None,
            };
            if proxy.log.wait_for(is_listening) {
                return proxy;
            }
        }
    }

    /// Waits until the proxy answers a `PING`.
    pub fn wait_until_serving(&mut self) {
        wait_until("the proxy answers a PING", || {
            assert!(self.child.try_wait().unwrap().is_none(), "the proxy has exited");
            self.answers_ping()
        });
    }

    /// Whether the proxy answers a `PING` before it closes the connection.
    pub fn answers_ping(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else { return false };
        socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        let mut answer = String::new();
        let is_sent = socket.write_all(b"PING\r\n").is_ok();
        is_sent && BufReader::new(socket).read_line(&mut answer).is_ok() && answer == "PONG\r\n"
    }

    /// Sends a signal to the process.
    pub fn send_signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// The output of `dewhead ctl` for this action, or `None` if it fails.
    pub fn run_ctl(&self, action: &str) -> Option<String> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
        command.args(["ctl", action, "--socket"]).arg(self.config_path.with_extension("control"));
        let output = command.stderr(Stdio::null()).output().unwrap();
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Reads the current text of the configuration file.
    pub fn read_configuration(&self) -> String {
        std::fs::read_to_string(&self.config_path).unwrap()
    }

    /// Replaces the text of the configuration file.
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(&self.config_path, text).unwrap();
    }

    /// Reads the log up to the next line that contains this text.
    pub fn wait_for_log(&self, text: &str) {
        self.log.wait_for(|line| line.contains(text).then_some(()));
    }

    /// Whether the process has exited with success.
    pub fn exited_successfully(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some_and(|status| status.success())
    }

    /// The process's resident memory, in kB.
    pub fn resident_memory_kb(&self) -> u64 {
        self.memory_kb("VmRSS:")
    }

    /// The most resident memory that the process has had, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        self.memory_kb("VmHWM:")
    }

    /// A line of the process's memory status, in kB.
    fn memory_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Whether the kernel has received, on the proxy's side, the FIN or reset of the client with this address.
    pub fn has_received_close_from(&self, client: SocketAddr) -> bool {
        // State 01 is ESTABLISHED.
        let established =
            format!("{} {} 01 ", format_proc_address(self.address), format_proc_address(client));
        !tcp_connections().contains(&established)
    }

    /// Connects a client and sends its first line, with this timeout in ms.
    pub fn open_client(&self, id: u64, traffic_type: &str, timeout_ms: u64) -> BufReader<TcpStream> {
        let mut socket = TcpStream::connect(self.address).unwrap();
        socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        write!(socket, "OPEN {id:016x} 7f3a9c21e0b4d655 c={traffic_type},t=shop-a,d={timeout_ms}\r\n")
            .unwrap();
        BufReader::new(socket)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
        let _ = std::fs::remove_file(self.config_path.with_extension("control"));
    }
}

/// The machine's TCP sockets: each line has the local address, the remote address and the state.
fn tcp_connections() -> String {
    std::fs::read_to_string("/proc/net/tcp").unwrap()
}

/// A listener with which a test plays a server or a discovery.
pub struct StubListener {
    /// The non-blocking listener itself.
    pub listener: TcpListener,
    /// The address it listens at.
    pub address: SocketAddr,
    /// The connection that fills the backlog of `with_full_backlog`.
    filler: Option<TcpStream>,
}

impl StubListener {
    /// A listener with room in its backlog.
    pub fn new() -> StubListener {
        let listener = TcpListener::bind(address_of_this_run()).unwrap();
        listener.set_nonblocking(true).unwrap();
        StubListener { address: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// A listener whose backlog is full: a connection is established only after `free_backlog_and_accept`, when the
    /// kernel sends its SYN again.
    pub fn with_full_backlog() -> StubListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&address_of_this_run().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        StubListener { address, listener, filler: Some(TcpStream::connect(address).unwrap()) }
    }

    /// Whether a connection to this listener has been started and is not established.
    pub fn has_pending_connect(&self) -> bool {
        // State 02 is SYN_SENT.
        tcp_connections().contains(&format!(" {} 02 ", format_proc_address(self.address)))
    }

    /// Makes room in the backlog and returns the next connection once it is established.
    pub fn free_backlog_and_accept(&mut self) -> TcpStream {
        if self.filler.take().is_some() {
            drop(self.accept());
        }
        self.accept()
    }

    /// Whether a connection is waiting to be accepted; if so, it is accepted and closed.
    pub fn try_accept_and_close(&self) -> bool {
        self.listener.accept().is_ok()
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> TcpStream {
        let mut accepted = None;
        wait_until("a connection", || {
            accepted = self.listener.accept().ok();
            accepted.is_some()
        });
        let (socket, _) = accepted.unwrap();
        socket.set_nonblocking(false).unwrap();
        socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        socket
    }

    /// Accepts the next connection and reads its first line.
    pub fn accept_with_first_line(&self) -> (BufReader<TcpStream>, String) {
        let mut lines = BufReader::new(self.accept());
        let first_line = read_line(&mut lines);
        (lines, first_line)
    }

    /// Accepts the next watch and sends this list on it.
    pub fn accept_watch(&self, seq: u64, whole: bool, hosts: Vec<Value>) -> TcpStream {
        let (mut watch, request_line) = self.accept_with_first_line();
        assert!(request_line.starts_with("GET /v1/servers?follow=1&since="), "{request_line}");
        while read_line(&mut watch) != "\r\n" {}
        let mut watch = watch.into_inner();
        write!(watch, "HTTP/1.1 200 OK\r\n\r\n{}\n", server_list(seq, whole, hosts)).unwrap();
        watch
    }
}

/// Environment variables with which a proxy's system calls fail according to this plan.
pub fn fault_environment(plan: &Plan) -> [(&'static str, String); 2] {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let build = Command::new(cargo).args(["build", "--locked", "-p", "dewhead-faults-preload"]).status();
    assert!(build.expect("cargo can be started").success());
    let library = Path::new(env!("CARGO_BIN_EXE_dewhead")).with_file_name("libdewhead_faults_preload.so");
    [("LD_PRELOAD", library.display().to_string()), (plan::ENVIRONMENT_VARIABLE, plan.to_string())]
}

/// Reads everything up to the end of the stream; a reset counts as the end.
pub fn read_rest(mut reader: impl Read) -> String {
    let mut bytes = Vec::new();
    let _ = reader.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends this text on a connection.
pub fn send(connection: &BufReader<TcpStream>, text: &str) {
    connection.get_ref().write_all(text.as_bytes()).unwrap();
}
