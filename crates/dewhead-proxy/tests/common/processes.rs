//! Real proxy processes that take over from one another, with a server and a directory for their configurations.

use super::{server_list, settings, ZONES};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A process that is killed when this is dropped, so that none outlives its test.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What proxies that succeed one another share: the address they listen at, their directory, and a server that accepts
/// every call.
pub struct ServiceFixture {
    /// Holds the configurations and the control socket.
    pub dir: PathBuf,
    /// The address at which the proxies accept clients.
    pub listen: SocketAddr,
    /// The address of the server.
    pub server: SocketAddr,
}

impl ServiceFixture {
    /// Starts the server and creates the directory, whose name contains `name`.
    pub fn new(name: &str) -> ServiceFixture {
        let dir = std::env::temp_dir().join(format!("dewhead-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = listener.local_addr().unwrap();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                thread::spawn(move || {
                    let mut lines = BufReader::new(socket.try_clone().unwrap());
                    let mut line = String::new();
                    if lines.read_line(&mut line).is_ok() && line.starts_with("OPEN") {
                        let _ = (&socket).write_all(b"UP 1\r\n");
                    }
                    let _ = lines.read_to_end(&mut Vec::new());
                });
            }
        });
        // No connection is opened from this address, so the port stays free.
        let listen = TcpListener::bind("127.0.3.1:0").unwrap().local_addr().unwrap();
        ServiceFixture { dir, listen, server }
    }

    /// The path of the control socket.
    pub fn control_path(&self) -> PathBuf {
        self.dir.join("control")
    }

    /// Writes a configuration with this limit of descriptors to `file` and returns its path. A faulty one has an
    /// invalid seed.
    pub fn write_configuration(&self, file: &str, max_descriptors: u64, faulty: bool) -> PathBuf {
        let entry = json!({"host": "s-1", "dial": self.server.to_string(), "site": ZONES[0], "block": 0,
                           "health": "ready", "share": 1.0, "born_ms": 0});
        let seed = if faulty { json!("none") } else { json!("7") };
        let configuration = json!({"name": "p", "listen": self.listen.to_string(), "discovery": "127.0.0.1:1",
                                   "seed": seed, "known": server_list(1, true, vec![entry]), "control": self.control_path(),
                                   "settings": settings(), "limits": {"sockets": max_descriptors}});
        let path = self.dir.join(file);
        std::fs::write(&path, configuration.to_string()).unwrap();
        path
    }

    /// Starts a proxy with this configuration and these further arguments.
    pub fn spawn(&self, config: &Path, arguments: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
        command.args(["serve", "--config"]).arg(config).args(arguments).stderr(Stdio::null());
        Process(command.spawn().unwrap())
    }

    /// As `spawn`, with standard error piped, so that the test can read the log.
    pub fn spawn_with_log(&self, config: &Path, arguments: &[String]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
        command.args(["serve", "--config"]).arg(config).args(arguments).stderr(Stdio::piped());
        Process(command.spawn().unwrap())
    }

    /// Waits until the process with this id answers on the control socket, and returns its status.
    pub fn wait_until_answering(&self, process: u32) -> Value {
        let started_at = Instant::now();
        loop {
            if let Ok(status) = self.control_request("{\"do\":\"status\"}\n") {
                if status["process"] == process {
                    return status;
                }
            }
            assert!(started_at.elapsed() < Duration::from_secs(20), "process {process} does not answer");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Sends one line to the control socket and returns the answer.
    pub fn control_request(&self, line: &str) -> std::io::Result<Value> {
        let mut stream = UnixStream::connect(self.control_path())?;
        stream.write_all(line.as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(serde_json::from_str(&answer)?)
    }

    /// Connects a client, sends its first line and returns the connection and the first line of the answer.
    pub fn open_call(&self, id: u64) -> std::io::Result<(TcpStream, String)> {
        let mut socket = TcpStream::connect(self.listen)?;
        socket.set_read_timeout(Some(Duration::from_secs(10)))?;
        socket.write_all(format!("OPEN {id:016x} 7f c=feed,t=shop-a,d=1500\r\n").as_bytes())?;
        let mut line = String::new();
        BufReader::new(socket.try_clone()?).read_line(&mut line)?;
        Ok((socket, line))
    }
}

impl Drop for ServiceFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
