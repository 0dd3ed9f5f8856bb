//! Real `dewhead serve` processes beside the stub proxies, with clients of their own, and the server to which they
//! connect.

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

/// A server on a thread of this process that answers `OPEN` with `UP 1` and echoes all other data. Every entry of the
/// server list has its address.
pub struct EchoServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl EchoServer {
    /// Starts the server on a free port of the loopback interface.
    pub fn start() -> std::io::Result<EchoServer> {
        let mut listener = mio::net::TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = stop.clone();
        let mut poll = mio::Poll::new()?;
        poll.registry().register(&mut listener, mio::Token(0), mio::Interest::READABLE)?;
        let thread = std::thread::spawn(move || {
            let mut events = mio::Events::with_capacity(256);
            let mut connections: slab::Slab<mio::net::TcpStream> = slab::Slab::new();
            while !stop_flag.load(Ordering::Relaxed) {
                let _ = poll.poll(&mut events, Some(Duration::from_millis(20)));
                for event in events.iter() {
                    if event.token().0 == 0 {
                        while let Ok((mut socket, _)) = listener.accept() {
                            let slot = connections.vacant_entry();
                            let token = mio::Token(slot.key() + 1);
                            if poll.registry().register(&mut socket, token, mio::Interest::READABLE).is_ok() {
                                slot.insert(socket);
                            }
                        }
                        continue;
                    }
                    let i = event.token().0 - 1;
                    let mut buffer = [0; 4096];
                    while let Some(socket) = connections.get_mut(i) {
                        match std::io::Read::read(socket, &mut buffer) {
                            Ok(n) if n > 0 => {
                                let reply: &[u8] =
                                    if buffer.starts_with(b"OPEN") { b"UP 1\r\n" } else { &buffer[..n] };
                                let _ = socket.write_all(reply);
                            }
                            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                            _ => drop(connections.try_remove(i)),
                        }
                    }
                }
            }
        });
        Ok(EchoServer { address, stop, thread: Some(thread) })
    }
}

impl Drop for EchoServer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// One `dewhead serve` process with its clients; the process is killed when this is dropped.
pub struct RealProxy {
    child: Child,
    address: SocketAddr,
    config_path: PathBuf,
    clients: Vec<TcpStream>,
    last_call_id: u64,
    call_options: String,
}

impl RealProxy {
    /// Starts the process with a configuration of its own, waits up to 10 s until it answers, and connects
    /// `open_connections` clients.
    pub fn start(
        program: &Path,
        position: usize,
        total_proxies: usize,
        discovery: SocketAddr,
        open_connections: usize,
    ) -> Result<RealProxy, String> {
        let settings = scale_settings(position, total_proxies)?;
        let first_entry_name = |list: &str| settings[list][0]["name"].as_str().unwrap_or("").to_owned();
        let call_options =
            format!("c={},t={},d=4000", first_entry_name("trafficTypes"), first_entry_name("tenants"));
        // A free port. Another program may bind it before the process does; then the process reports that and exits.
        let address =
            TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map_err(|e| e.to_string())?;
        let config_path =
            std::env::temp_dir().join(format!("dewhead-scale-{}-{position}.json", std::process::id()));
        let config_text = json!({"name": format!("real-{position}"), "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{position:016x}"), "settings": settings, "limits": {"sockets": 2 * open_connections + 256}});
        std::fs::write(&config_path, config_text.to_string()).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(&config_path).env("RUST_LOG", "error");
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        let mut proxy =
            RealProxy { child, address, config_path, clients: Vec::new(), last_call_id: 0, call_options };
        let start = Instant::now();
        while !proxy.answers_ping() {
            if start.elapsed() > Duration::from_secs(10)
                || proxy.child.try_wait().map_or(true, |s| s.is_some())
            {
                return Err(format!("real proxy {position} does not serve"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        for _ in 0..open_connections {
            proxy.open_connection()?;
        }
        Ok(proxy)
    }

    /// Whether the process answers `PING`.
    fn answers_ping(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else { return false };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
        let mut response = String::new();
        socket.write_all(b"PING\r\n").is_ok()
            && BufReader::new(socket).read_line(&mut response).is_ok()
            && response == "PONG\r\n"
    }

    /// Connects a client, which stays connected if its call is accepted.
    pub fn open_connection(&mut self) -> Result<(), String> {
        let describe_error = |e: std::io::Error| format!("a client of a real proxy: {e}");
        let mut socket = TcpStream::connect(self.address).map_err(describe_error)?;
        socket.set_read_timeout(Some(Duration::from_secs(5))).map_err(describe_error)?;
        self.last_call_id += 1;
        write!(
            socket,
            "OPEN {:016x} {:016x} {}\r\n",
            self.last_call_id, self.last_call_id, self.call_options
        )
        .map_err(describe_error)?;
        let mut response = String::new();
        BufReader::new(socket.try_clone().map_err(describe_error)?)
            .read_line(&mut response)
            .map_err(describe_error)?;
        if response.starts_with("UP") {
            self.clients.push(socket);
        }
        Ok(())
    }

    /// Disconnects the oldest client and connects a new one.
    pub fn replace_oldest_connection(&mut self) -> Result<(), String> {
        if !self.clients.is_empty() {
            drop(self.clients.remove(0));
        }
        self.open_connection()
    }

    /// Processor time that the process has used, in seconds.
    pub fn cpu_time(&self) -> f64 {
        process_cpu_time(self.child.id())
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_memory(&self) -> f64 {
        resident_memory(self.child.id())
    }
}

impl Drop for RealProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
