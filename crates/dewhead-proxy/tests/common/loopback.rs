//! A real proxy, a discovery and servers over loopback, whose steps a test takes one by one: what must come first is seen
//! to have come before the next is done.

use super::{list, ZONES};
use dewhead_faults::plan::{self, Plan};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than anything here takes on a machine with all cores busy.
pub const EVER: Duration = Duration::from_secs(20);

pub fn line(of: &mut impl BufRead) -> String {
    let mut line = String::new();
    of.read_line(&mut line).expect("a line");
    line
}

pub fn until(what: &str, mut seen: impl FnMut() -> bool) {
    let began = Instant::now();
    while !seen() {
        assert!(began.elapsed() < EVER, "{what}: not seen");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A server as the list has it.
pub fn entry(name: &str, at: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": ZONES[0], "block": 0, "health": health, "share": 1.0,
           "born_ms": 0})
}

/// Where this run of the tests listens: no other run listens there, and no connection goes out from it. At one address for all,
/// a proxy of another run asked a server here for its list, as the port had been its discovery's.
fn own_address() -> SocketAddr {
    let id = std::process::id();
    SocketAddr::from(([127, 16 + (id / 200 % 200) as u8, 1 + (id % 200) as u8, 1], 0))
}

/// An address as `/proc/net/tcp` has it.
fn written(at: SocketAddr) -> String {
    let SocketAddr::V4(at) = at else { unreachable!("an address of loopback") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port())
}

/// The program itself; it ends with this.
pub struct Proxy {
    child: Child,
    pub at: SocketAddr,
    config: PathBuf,
    pub log: BufReader<std::process::ChildStderr>,
}

impl Proxy {
    /// Started with these settings and this list from before; serves by the time that this returns.
    pub fn start(settings: &Value, discovery: SocketAddr, known: Vec<Value>) -> Proxy {
        Proxy::start_with(settings, discovery, known, &[])
    }

    /// The same, with more in its environment.
    pub fn start_with(
        settings: &Value,
        discovery: SocketAddr,
        known: Vec<Value>,
        environment: &[(&str, String)],
    ) -> Proxy {
        static MADE: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        loop {
            let made = MADE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            // No connection goes out from there, so that the port stays free until the proxy has it.
            let at = TcpListener::bind(own_address()).unwrap().local_addr().unwrap();
            let config =
                std::env::temp_dir().join(format!("dewhead-ends-{}-{made}.json", std::process::id()));
            let told = json!({"name": "p", "listen": at.to_string(), "discovery": discovery.to_string(),
                              "control": config.with_extension("control"), "seed": "7", "known": list(1, true, known.clone()), "settings": settings,
                              "limits": {"sockets": 256}});
            std::fs::write(&config, told.to_string()).unwrap();
            let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
            command.args(["serve", "--config"]).arg(&config);
            command.env("RUST_LOG", "info,dewhead_proxy::reducer::watch=debug");
            command.envs(environment.iter().map(|(name, value)| (name, value)));
            let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
            let log = BufReader::new(child.stderr.take().unwrap());
            let mut proxy = Proxy { child, at, config, log };
            if proxy.serves() {
                return proxy;
            }
            // Another test run may have the port; whatever else it is, is a fault, and is told.
            let _ = proxy.child.kill();
            let log = rest(&mut proxy.log);
            assert!(log.contains("Address already in use"), "it does not serve: {log}");
        }
    }

    /// Waits until it does; false if it has ended, or does not in all that time.
    fn serves(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < EVER && self.child.try_wait().unwrap().is_none() {
            if let Ok(mut socket) = TcpStream::connect(self.at) {
                socket.set_read_timeout(Some(EVER)).unwrap();
                let mut said = String::new();
                let asked = socket.write_all(b"PING\r\n").is_ok();
                if asked && BufReader::new(socket).read_line(&mut said).is_ok() && said == "PONG\r\n" {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }

    pub fn tell(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// What `dewhead ctl` prints for this action; none where it fails.
    pub fn ctl(&self, action: &str) -> Option<String> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
        command.args(["ctl", action, "--socket"]).arg(self.config.with_extension("control"));
        let output = command.stderr(Stdio::null()).output().unwrap();
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Its configuration as it is now, and another in its place.
    pub fn configuration(&self) -> String {
        std::fs::read_to_string(&self.config).unwrap()
    }

    pub fn configure(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
    }

    /// Waits until the log has a line with this.
    pub fn logs(&mut self, what: &str) {
        while !line(&mut self.log).contains(what) {}
    }

    /// Whether it has ended by itself, well.
    pub fn ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some_and(|status| status.success())
    }

    /// What it holds in memory now.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    /// Whether the end of the client that had this address has reached the proxy's machine.
    pub fn has_heard_the_end_of(&self, client: SocketAddr) -> bool {
        let stands = format!("{} {} 01 ", written(self.at), written(client));
        !connections().contains(&stands)
    }

    /// A client with its first line sent.
    pub fn client(&self, id: u64, kind: &str, wait: u64) -> BufReader<TcpStream> {
        let mut socket = TcpStream::connect(self.at).unwrap();
        socket.set_read_timeout(Some(EVER)).unwrap();
        write!(socket, "OPEN {id:016x} 7f3a9c21e0b4d655 c={kind},t=shop-a,d={wait}\r\n").unwrap();
        BufReader::new(socket)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("control"));
    }
}

/// The machine's connections: each line has the own port, the other's and the state.
fn connections() -> String {
    std::fs::read_to_string("/proc/net/tcp").unwrap()
}

/// A listener of a server or a discovery.
pub struct Place {
    pub listener: TcpListener,
    pub at: SocketAddr,
    /// Fills the queue of one that is held up.
    filler: Option<TcpStream>,
}

impl Place {
    pub fn new() -> Place {
        let listener = TcpListener::bind(own_address()).unwrap();
        listener.set_nonblocking(true).unwrap();
        Place { at: listener.local_addr().unwrap(), listener, filler: None }
    }

    /// One whose queue is full: connections come up only after `let_up`, once they are tried again.
    pub fn held_up() -> Place {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&own_address().into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        listener.set_nonblocking(true).unwrap();
        let at = listener.local_addr().unwrap();
        Place { at, listener, filler: Some(TcpStream::connect(at).unwrap()) }
    }

    /// Whether somebody has begun to connect here and is not up.
    pub fn is_tried(&self) -> bool {
        connections().contains(&format!(" {} 02 ", written(self.at)))
    }

    /// Lets the next come up, and returns it once it is.
    pub fn let_up(&mut self) -> TcpStream {
        if self.filler.take().is_some() {
            drop(self.accept());
        }
        self.accept()
    }

    /// Whether somebody has connected here; whoever has is hung up on.
    pub fn is_asked(&self) -> bool {
        self.listener.accept().is_ok()
    }

    pub fn accept(&self) -> TcpStream {
        let mut came = None;
        until("a connection", || {
            came = self.listener.accept().ok();
            came.is_some()
        });
        let (socket, _) = came.unwrap();
        socket.set_nonblocking(false).unwrap();
        socket.set_read_timeout(Some(EVER)).unwrap();
        socket
    }

    /// Accepts a server's next connection with its first line.
    pub fn asked(&self) -> (BufReader<TcpStream>, String) {
        let mut lines = BufReader::new(self.accept());
        let head = line(&mut lines);
        (lines, head)
    }

    /// Accepts the next watch and tells it this list.
    pub fn watch(&self, seq: u64, whole: bool, hosts: Vec<Value>) -> TcpStream {
        let (mut watch, asked) = self.asked();
        assert!(asked.starts_with("GET /v1/servers?follow=1&since="), "{asked}");
        while line(&mut watch) != "\r\n" {}
        let mut watch = watch.into_inner();
        write!(watch, "HTTP/1.1 200 OK\r\n\r\n{}\n", list(seq, whole, hosts)).unwrap();
        watch
    }
}

/// The environment in which a proxy's system calls fail by this plan.
pub fn faults(plan: &Plan) -> [(&'static str, String); 2] {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built = Command::new(cargo).args(["build", "--locked", "-p", "dewhead-faults-preload"]).status();
    assert!(built.expect("cargo runs").success());
    let library = Path::new(env!("CARGO_BIN_EXE_dewhead")).with_file_name("libdewhead_faults_preload.so");
    [("LD_PRELOAD", library.display().to_string()), (plan::ENVIRONMENT_VARIABLE, plan.to_string())]
}

/// All that still comes, to the end; an end by a reset counts as one.
pub fn rest(mut of: impl Read) -> String {
    let mut all = Vec::new();
    let _ = of.read_to_end(&mut all);
    String::from_utf8_lossy(&all).into_owned()
}

pub fn say(to: &BufReader<TcpStream>, text: &str) {
    to.get_ref().write_all(text.as_bytes()).unwrap();
}
