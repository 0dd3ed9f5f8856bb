//! A fake discovery service that follows the published protocol: a client that watches gets the full server list or the
//! changes since the version it names, then each change as it happens, and an empty line every two seconds. It counts
//! what it writes and the processor time of its thread.

use super::{thread_cpu_time, Clock};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use serde::Serialize;
use serde_json::json;
use slab::Slab;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// Interval between the empty lines that are sent as heartbeats.
const HEARTBEAT_INTERVAL_SECONDS: f64 = 2.0;
/// A watcher with more unsent data than this is disconnected: the service never waits for a slow reader.
const MAX_UNSENT_BYTES: usize = 8 << 20;
/// Start of the response to a watch request.
const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A command to the thread of a [`FakeDiscovery`].
pub enum DiscoveryCommand {
    /// Changes the list this many times per second from now on.
    SetChangeRate(f64),
    /// Closes all watches and answers requests with status 503 for this many seconds.
    Suspend(f64),
    /// Sets all counts except the connected watchers to zero.
    ResetCounts,
    /// Sends the counts to the given channel.
    ReportCounts(Sender<DiscoveryCounts>),
}

/// Counts of a fake discovery service. Pairs are by the listener through which the watcher connected.
#[derive(Clone, Default, Debug, Serialize)]
pub struct DiscoveryCounts {
    /// Watch requests received.
    #[serde(rename = "calls")]
    pub watch_requests: u64,
    /// Full lists sent in answer to them; the other answers hold the changes since a version.
    #[serde(rename = "whole")]
    pub full_lists: u64,
    /// Lines sent.
    pub lines: [u64; 2],
    /// Bytes sent.
    pub bytes: [u64; 2],
    /// Empty lines sent as heartbeats.
    #[serde(rename = "beats")]
    pub heartbeats: u64,
    /// Lines encoded as JSON; one line may be sent to many watchers.
    #[serde(rename = "encoded")]
    pub lines_encoded: u64,
    /// Server entries in those lines.
    #[serde(rename = "entries")]
    pub entries_encoded: u64,
    /// Watchers disconnected because of too much unsent data.
    #[serde(rename = "dropped")]
    pub dropped_watchers: u64,
    /// Connected watchers.
    #[serde(rename = "followers")]
    pub watchers: [u64; 2],
    /// Changes of the list.
    pub changes: u64,
    /// Processor time of the service's thread, in seconds.
    pub cpu: f64,
    /// Each list version with the Unix time at which it was published, from the first counted change.
    #[serde(rename = "made")]
    pub publish_times: Vec<(u64, f64)>,
    /// Largest delay of a change beyond its scheduled time, in seconds.
    #[serde(rename = "late")]
    pub max_delay: f64,
    /// Bytes queued for all watchers together and not sent yet.
    #[serde(rename = "unread")]
    pub unread_bytes: usize,
}

/// One server of the list.
struct ServerEntry {
    name: String,
    draining: bool,
    started_ms: u64,
    /// List version of its last change.
    changed_version: u64,
}

/// A connected client.
struct Watcher {
    socket: TcpStream,
    /// Index of the listener that accepted it.
    listener: usize,
    request: Vec<u8>,
    unsent: Vec<u8>,
    /// Whether it has sent its request and gets changes.
    watching: bool,
}

/// A fake discovery service on a thread of this process, which ends when this is dropped.
pub struct FakeDiscovery {
    /// Addresses of its two listeners, which are counted separately.
    pub addresses: [SocketAddr; 2],
    commands: Sender<DiscoveryCommand>,
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// The state of the service's thread.
struct Service {
    poll: Poll,
    listeners: [TcpListener; 2],
    watchers: Slab<Watcher>,
    entries: Vec<ServerEntry>,
    version: u64,
    server_address: SocketAddr,
    counts: DiscoveryCounts,
    change_rate: f64,
    next_change: f64,
    next_server_index: usize,
    suspended_until: f64,
    clock: Clock,
}

impl FakeDiscovery {
    /// Starts the service with a list of this many servers, all with the same address. The list starts at version 1.
    pub fn start(servers: usize, server_address: SocketAddr) -> io::Result<FakeDiscovery> {
        let bind = || TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut listeners = [bind()?, bind()?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        let poll = Poll::new()?;
        for (i, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(i), Interest::READABLE)?;
        }
        let (commands, command_receiver) = std::sync::mpsc::channel();
        let stop = Arc::new(AtomicBool::new(false));
        let stop_flag = stop.clone();
        let thread = std::thread::spawn(move || {
            let entry = |n: usize| ServerEntry {
                name: format!("s-{n:08x}"),
                draining: false,
                started_ms: 0,
                changed_version: 1,
            };
            let service = Service {
                poll,
                listeners,
                watchers: Slab::new(),
                entries: (0..servers).map(entry).collect(),
                version: 1,
                server_address,
                counts: DiscoveryCounts::default(),
                change_rate: 0.0,
                next_change: f64::INFINITY,
                next_server_index: 0,
                suspended_until: f64::NEG_INFINITY,
                clock: Clock::default(),
            };
            service.run(&command_receiver, &stop_flag);
        });
        Ok(FakeDiscovery { addresses, commands, stop, thread: Some(thread) })
    }

    /// Sends a command to the service's thread.
    pub fn send(&self, command: DiscoveryCommand) {
        // Can't fail: the thread runs until this is dropped.
        let _ = self.commands.send(command);
    }

    /// The current counts.
    pub fn counts(&self) -> DiscoveryCounts {
        let (sender, receiver) = std::sync::mpsc::channel();
        self.send(DiscoveryCommand::ReportCounts(sender));
        receiver.recv().unwrap_or_default()
    }
}

impl Drop for FakeDiscovery {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Service {
    fn run(mut self, command_receiver: &Receiver<DiscoveryCommand>, stop_flag: &AtomicBool) {
        let mut events = Events::with_capacity(1024);
        let mut next_heartbeat = self.clock.now() + HEARTBEAT_INTERVAL_SECONDS;
        let (mut cpu_now, mut cpu_start) = (thread_cpu_time(), thread_cpu_time());
        while !stop_flag.load(Ordering::Relaxed) {
            let until_due = next_heartbeat.min(self.next_change) - self.clock.now();
            let _ = self.poll.poll(&mut events, Some(Duration::from_secs_f64(until_due.clamp(0.0, 0.02))));
            for event in events.iter() {
                match event.token() {
                    Token(i @ 0..=1) => self.accept(i),
                    Token(other) => self.handle_ready(other - 2, event.is_readable(), event.is_writable()),
                }
            }
            let now = self.clock.now();
            while self.next_change <= now {
                self.counts.max_delay = self.counts.max_delay.max(now - self.next_change);
                self.next_change += 1.0 / self.change_rate;
                self.change_next_server(now);
            }
            if next_heartbeat <= now {
                next_heartbeat += HEARTBEAT_INTERVAL_SECONDS;
                self.send_heartbeats();
            }
            for command in command_receiver.try_iter() {
                let now = self.clock.now();
                match command {
                    DiscoveryCommand::SetChangeRate(change_rate) => {
                        self.change_rate = change_rate;
                        self.next_change =
                            if change_rate > 0.0 { now + 1.0 / change_rate } else { f64::INFINITY };
                    }
                    DiscoveryCommand::Suspend(seconds) => {
                        self.suspended_until = now + seconds;
                        // A service that stops closes its watches.
                        let all_watchers: Vec<usize> = self.watchers.iter().map(|(i, _)| i).collect();
                        all_watchers.into_iter().for_each(|i| self.close(i));
                    }
                    DiscoveryCommand::ResetCounts => {
                        let watchers = self.counts.watchers;
                        self.counts = DiscoveryCounts { watchers, ..DiscoveryCounts::default() };
                        cpu_start = thread_cpu_time();
                    }
                    DiscoveryCommand::ReportCounts(reply) => {
                        cpu_now = thread_cpu_time();
                        self.counts.cpu = cpu_now - cpu_start;
                        self.counts.unread_bytes = self.watchers.iter().map(|(_, w)| w.unsent.len()).sum();
                        let _ = reply.send(self.counts.clone());
                    }
                }
            }
        }
        let _ = cpu_now;
    }

    /// Accepts all pending connections of a listener.
    fn accept(&mut self, listener: usize) {
        while let Ok((mut socket, _)) = self.listeners[listener].accept() {
            let slot = self.watchers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut socket, Token(slot.key() + 2), interest).is_ok() {
                let _ = socket.set_nodelay(true);
                slot.insert(Watcher {
                    socket,
                    listener,
                    request: Vec::new(),
                    unsent: Vec::new(),
                    watching: false,
                });
                self.counts.watchers[listener] += 1;
            }
        }
    }

    fn close(&mut self, i: usize) {
        if let Some(mut watcher) = self.watchers.try_remove(i) {
            let _ = self.poll.registry().deregister(&mut watcher.socket);
            self.counts.watchers[watcher.listener] -= 1;
        }
    }

    /// Handles a poll event on the connection of a watcher.
    fn handle_ready(&mut self, i: usize, readable: bool, writable: bool) {
        let mut buffer = [0; 4096];
        if !readable {
            return self.flush(i);
        }
        loop {
            let Some(watcher) = self.watchers.get_mut(i) else { return };
            match watcher.socket.read(&mut buffer) {
                Ok(0) => return self.close(i),
                Ok(n) => {
                    watcher.request.extend_from_slice(&buffer[..n]);
                    if watcher.request.len() > buffer.len() {
                        return self.close(i);
                    }
                    if watcher.request.ends_with(b"\r\n\r\n") {
                        self.answer_request(i);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.close(i),
            }
        }
        if writable {
            self.flush(i);
        }
    }

    /// Answers a complete request: 503 while suspended, else a watch from the version that it names.
    fn answer_request(&mut self, i: usize) {
        self.counts.watch_requests += 1;
        let request = std::mem::take(&mut self.watchers[i].request);
        if self.clock.now() < self.suspended_until {
            self.write(i, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let since = text.split("since=").nth(1).and_then(|s| s.split([' ', '&']).next()?.parse::<u64>().ok());
        let since = since.unwrap_or(0);
        let full = since == 0 || since > self.version;
        self.counts.full_lists += u64::from(full);
        let line = self.encode_line(since, full);
        self.write(i, RESPONSE_HEAD.as_bytes());
        self.send_line(i, &line);
        if let Some(watcher) = self.watchers.get_mut(i) {
            watcher.watching = true;
        }
    }

    /// A line with the full list or with the servers that changed after version `since`, as an HTTP chunk.
    fn encode_line(&mut self, since: u64, full: bool) -> Rc<Vec<u8>> {
        let server_address = self.server_address.to_string();
        let changed = self.entries.iter().filter(|e| full || e.changed_version > since);
        let hosts: Vec<_> = changed
            .map(|e| {
                let health = if e.draining { "draining" } else { "ready" };
                json!({"host": e.name, "dial": server_address, "site": "a", "class": "m2", "block": 3, "health": health,
                       "share": 1.0, "born_ms": e.started_ms})
            })
            .collect();
        self.counts.lines_encoded += 1;
        self.counts.entries_encoded += hosts.len() as u64;
        let mut line = json!({"seq": self.version, "whole": full, "hosts": hosts}).to_string();
        line.push('\n');
        Rc::new(format!("{:x}\r\n{line}\r\n", line.len()).into_bytes())
    }

    /// Sets the next server to draining, or back to ready with a new start time. The line is encoded once for all
    /// watchers.
    fn change_next_server(&mut self, now: f64) {
        let i = self.next_server_index % self.entries.len();
        self.next_server_index += 1;
        self.version += 1;
        let entry = &mut self.entries[i];
        entry.draining = !entry.draining;
        entry.changed_version = self.version;
        if !entry.draining {
            entry.started_ms = (now * 1000.0) as u64;
        }
        self.counts.changes += 1;
        self.counts.publish_times.push((self.version, now));
        let line = self.encode_line(self.version - 1, false);
        let watching: Vec<usize> = self.watchers.iter().filter(|(_, w)| w.watching).map(|(i, _)| i).collect();
        watching.into_iter().for_each(|i| self.send_line(i, &line));
    }

    /// Sends an empty line to every watcher.
    fn send_heartbeats(&mut self) {
        let watching: Vec<usize> = self.watchers.iter().filter(|(_, w)| w.watching).map(|(i, _)| i).collect();
        for i in watching {
            self.counts.heartbeats += 1;
            self.send_line(i, b"1\r\n\n\r\n");
        }
    }

    /// Sends a line to a watcher and counts it.
    fn send_line(&mut self, i: usize, line: &[u8]) {
        if let Some(watcher) = self.watchers.get(i) {
            self.counts.lines[watcher.listener] += 1;
            self.write(i, line);
        }
    }

    /// Queues bytes for a watcher, which is disconnected if too many are unsent, and sends what its socket accepts.
    fn write(&mut self, i: usize, bytes: &[u8]) {
        let Some(watcher) = self.watchers.get_mut(i) else { return };
        self.counts.bytes[watcher.listener] += bytes.len() as u64;
        watcher.unsent.extend_from_slice(bytes);
        if watcher.unsent.len() > MAX_UNSENT_BYTES {
            self.counts.dropped_watchers += 1;
            return self.close(i);
        }
        self.flush(i);
    }

    /// Sends queued bytes until the socket is full.
    fn flush(&mut self, i: usize) {
        let Some(watcher) = self.watchers.get_mut(i) else { return };
        while !watcher.unsent.is_empty() {
            match watcher.socket.write(&watcher.unsent) {
                Ok(n) => drop(watcher.unsent.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.close(i),
            }
        }
        watcher.unsent.shrink_to(4096);
    }
}
