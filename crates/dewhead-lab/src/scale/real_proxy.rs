//! Real `dewhead serve` processes beside the hollow ones, with real clients, and the servers that both are told of.

use super::stub_proxy::scale_settings;
use super::{process_cpu_time, resident_memory};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A server that takes every connection up and gives each line back.
pub struct EchoServer {
    pub address: SocketAddr,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl EchoServer {
    pub fn start() -> std::io::Result<EchoServer> {
        let mut listener = mio::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let mut poll = mio::Poll::new()?;
        poll.registry().register(&mut listener, mio::Token(0), mio::Interest::READABLE)?;
        let thread = std::thread::spawn(move || {
            let mut events = mio::Events::with_capacity(256);
            let mut open: slab::Slab<mio::net::TcpStream> = slab::Slab::new();
            while !ends.load(Ordering::Relaxed) {
                let _ = poll.poll(&mut events, Some(Duration::from_millis(20)));
                for event in events.iter() {
                    if event.token().0 == 0 {
                        while let Ok((mut socket, _)) = listener.accept() {
                            let slot = open.vacant_entry();
                            let token = mio::Token(slot.key() + 1);
                            if poll.registry().register(&mut socket, token, mio::Interest::READABLE).is_ok() {
                                slot.insert(socket);
                            }
                        }
                        continue;
                    }
                    let at = event.token().0 - 1;
                    let mut piece = [0; 4096];
                    while let Some(socket) = open.get_mut(at) {
                        match std::io::Read::read(socket, &mut piece) {
                            Ok(n) if n > 0 => {
                                let answer: &[u8] =
                                    if piece.starts_with(b"OPEN") { b"UP 1\r\n" } else { &piece[..n] };
                                let _ = socket.write_all(answer);
                            }
                            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                            _ => drop(open.try_remove(at)),
                        }
                    }
                }
            }
        });
        Ok(EchoServer { address, over, thread: Some(thread) })
    }
}

impl Drop for EchoServer {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One process, ended with this.
pub struct RealProxy {
    child: Child,
    address: SocketAddr,
    config: PathBuf,
    clients: Vec<TcpStream>,
    next: u64,
    opening: String,
}

impl RealProxy {
    pub fn start(
        program: &Path,
        position: usize,
        total_proxies: usize,
        discovery: SocketAddr,
        standing: usize,
    ) -> Result<RealProxy, String> {
        let settings = scale_settings(position, total_proxies)?;
        let name = |list: &str| settings[list][0]["name"].as_str().unwrap_or("").to_owned();
        let opening = format!("c={},t={},d=4000", name("trafficTypes"), name("tenants"));
        // A port that is free now; another may take it before the process has, and then it says so and ends.
        let address =
            TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
        let config =
            std::env::temp_dir().join(format!("dewhead-scale-{}-{position}.json", std::process::id()));
        let written = json!({"name": format!("real-{position}"), "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{position:016x}"), "settings": settings, "limits": {"sockets": 2 * standing + 256}});
        std::fs::write(&config, written.to_string()).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(&config).env("RUST_LOG", "error");
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        let mut real = RealProxy { child, address, config, clients: Vec::new(), next: 0, opening };
        let began = Instant::now();
        while !real.answers() {
            if began.elapsed() > Duration::from_secs(10)
                || real.child.try_wait().map_or(true, |s| s.is_some())
            {
                return Err(format!("the real proxy {position} does not serve"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        for _ in 0..standing {
            real.open_connection()?;
        }
        Ok(real)
    }

    fn answers(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else { return false };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
        let mut said = String::new();
        socket.write_all(b"PING\r\n").is_ok()
            && BufReader::new(socket).read_line(&mut said).is_ok()
            && said == "PONG\r\n"
    }

    /// A client comes and stands.
    pub fn open_connection(&mut self) -> Result<(), String> {
        let fault = |e: std::io::Error| format!("a client of a real proxy: {e}");
        let mut socket = TcpStream::connect(self.address).map_err(fault)?;
        socket.set_read_timeout(Some(Duration::from_secs(5))).map_err(fault)?;
        self.next += 1;
        write!(socket, "OPEN {:016x} {:016x} {}\r\n", self.next, self.next, self.opening).map_err(fault)?;
        let mut said = String::new();
        BufReader::new(socket.try_clone().map_err(fault)?).read_line(&mut said).map_err(fault)?;
        if said.starts_with("UP") {
            self.clients.push(socket);
        }
        Ok(())
    }

    /// The oldest client leaves and a new one comes.
    pub fn replace_oldest_connection(&mut self) -> Result<(), String> {
        if !self.clients.is_empty() {
            drop(self.clients.remove(0));
        }
        self.open_connection()
    }

    pub fn cpu_time(&self) -> f64 {
        process_cpu_time(self.child.id())
    }

    pub fn resident_memory(&self) -> f64 {
        resident_memory(self.child.id())
    }
}

impl Drop for RealProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
