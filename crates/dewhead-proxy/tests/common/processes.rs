//! Real processes of the proxy that take one another's place, with a server and a folder for their configurations.

use super::{server_list, settings, ZONES};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Ends what a test has started.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Where proxies that succeed one another listen, with a server that takes everybody up.
pub struct Place {
    pub dir: PathBuf,
    pub listen: SocketAddr,
    pub servers: SocketAddr,
}

impl Place {
    pub fn new(name: &str) -> Place {
        let dir = std::env::temp_dir().join(format!("dewhead-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let servers = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = servers.local_addr().unwrap();
        thread::spawn(move || {
            for socket in servers.incoming().flatten() {
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
        // An address that no connection goes out from.
        let listen = TcpListener::bind("127.0.3.1:0").unwrap().local_addr().unwrap();
        Place { dir, listen, servers: at }
    }

    pub fn control(&self) -> PathBuf {
        self.dir.join("control")
    }

    pub fn configure(&self, file: &str, sockets: u64, faulty: bool) -> PathBuf {
        let entry = json!({"host": "s-1", "dial": self.servers.to_string(), "site": ZONES[0], "block": 0,
                           "health": "ready", "share": 1.0, "born_ms": 0});
        let seed = if faulty { json!("none") } else { json!("7") };
        let told = json!({"name": "p", "listen": self.listen.to_string(), "discovery": "127.0.0.1:1", "seed": seed,
                          "known": server_list(1, true, vec![entry]), "control": self.control(), "settings": settings(),
                          "limits": {"sockets": sockets}});
        let path = self.dir.join(file);
        std::fs::write(&path, told.to_string()).unwrap();
        path
    }

    pub fn serve(&self, config: &Path, more: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
        command.args(["serve", "--config"]).arg(config).args(more).stderr(Stdio::null());
        Process(command.spawn().unwrap())
    }

    /// The same, with its log to be read.
    pub fn serve_telling(&self, config: &Path, more: &[String]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dewhead"));
        command.args(["serve", "--config"]).arg(config).args(more).stderr(Stdio::piped());
        Process(command.spawn().unwrap())
    }

    /// Waits until the process with this id answers at the control socket.
    pub fn until(&self, process: u32) -> Value {
        let began = Instant::now();
        loop {
            if let Ok(status) = self.ask("{\"do\":\"status\"}\n") {
                if status["process"] == process {
                    return status;
                }
            }
            assert!(began.elapsed() < Duration::from_secs(20), "process {process} does not answer");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn ask(&self, line: &str) -> std::io::Result<Value> {
        let mut stream = UnixStream::connect(self.control())?;
        stream.write_all(line.as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(serde_json::from_str(&answer)?)
    }

    pub fn open(&self, id: u64) -> std::io::Result<(TcpStream, String)> {
        let mut socket = TcpStream::connect(self.listen)?;
        socket.set_read_timeout(Some(Duration::from_secs(10)))?;
        socket.write_all(format!("OPEN {id:016x} 7f c=feed,t=shop-a,d=1500\r\n").as_bytes())?;
        let mut line = String::new();
        BufReader::new(socket.try_clone()?).read_line(&mut line)?;
        Ok((socket, line))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
