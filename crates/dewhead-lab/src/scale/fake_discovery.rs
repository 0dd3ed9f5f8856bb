//! The stand-in for discovery, by its published pages: whoever follows is told a whole list or what changed since, then
//! each change as it comes, and an empty line every two seconds. It counts what it writes, and its thread's time.

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

const BEAT: f64 = 2.0;
/// A follower that leaves so much unread is dropped, never waited for.
const MOST_UNREAD: usize = 8 << 20;
const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What it is asked for.
pub enum DiscoveryCommand {
    /// Changes of the list by the second from now on.
    SetChangeRate(f64),
    /// Answers nobody until so long from now.
    Suspend(f64),
    /// Counts from nothing.
    ResetCounts,
    /// Tells what was counted.
    ReportCounts(Sender<DiscoveryCounts>),
}

#[derive(Clone, Default, Debug, Serialize)]
pub struct DiscoveryCounts {
    /// Calls that came, whole lists and lists of changes told to them.
    pub watch_requests: u64,
    pub full_lists: u64,
    /// Lines and bytes written, by the listener that the follower came through.
    pub lines: [u64; 2],
    pub bytes: [u64; 2],
    pub heartbeats: u64,
    /// Times that a line was put into words, and entries in them.
    pub lines_encoded: u64,
    pub entries_encoded: u64,
    pub dropped_watchers: u64,
    pub watchers: [u64; 2],
    pub changes: u64,
    /// Processor time of its thread, in seconds.
    pub cpu: f64,
    /// When each version was made, from the first change counted.
    pub publish_times: Vec<(u64, f64)>,
    /// By how much it came late to a change, at the most.
    pub max_delay: f64,
    pub unread_bytes: usize,
}

struct Entry {
    name: String,
    draining: bool,
    born: u64,
    changed: u64,
}

struct Follower {
    socket: TcpStream,
    from: usize,
    said: Vec<u8>,
    out: Vec<u8>,
    follows: bool,
}

pub struct FakeDiscovery {
    pub addresses: [SocketAddr; 2],
    asks: Sender<DiscoveryCommand>,
    over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

struct Inner {
    poll: Poll,
    listeners: [TcpListener; 2],
    followers: Slab<Follower>,
    entries: Vec<Entry>,
    version: u64,
    dial: SocketAddr,
    counts: DiscoveryCounts,
    rate: f64,
    next_change: f64,
    next_server: usize,
    away_until: f64,
    clock: Clock,
}

impl FakeDiscovery {
    /// Tells of so many servers, all reached at one address. Versions begin at `version`.
    pub fn start(servers: usize, dial: SocketAddr) -> io::Result<FakeDiscovery> {
        let bind = || TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut listeners = [bind()?, bind()?];
        let addresses = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        let poll = Poll::new()?;
        for (at, listener) in listeners.iter_mut().enumerate() {
            poll.registry().register(listener, Token(at), Interest::READABLE)?;
        }
        let (asks, asked) = std::sync::mpsc::channel();
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let thread = std::thread::spawn(move || {
            let entry = |n: usize| Entry { name: format!("s-{n:08x}"), draining: false, born: 0, changed: 1 };
            let inner = Inner {
                poll,
                listeners,
                followers: Slab::new(),
                entries: (0..servers).map(entry).collect(),
                version: 1,
                dial,
                counts: DiscoveryCounts::default(),
                rate: 0.0,
                next_change: f64::INFINITY,
                next_server: 0,
                away_until: f64::NEG_INFINITY,
                clock: Clock::default(),
            };
            inner.run(&asked, &ends);
        });
        Ok(FakeDiscovery { addresses, asks, over, thread: Some(thread) })
    }

    pub fn send(&self, ask: DiscoveryCommand) {
        // Its thread ends only with this.
        let _ = self.asks.send(ask);
    }

    pub fn counts(&self) -> DiscoveryCounts {
        let (told, heard) = std::sync::mpsc::channel();
        self.send(DiscoveryCommand::ReportCounts(told));
        heard.recv().unwrap_or_default()
    }
}

impl Drop for FakeDiscovery {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Inner {
    fn run(mut self, asked: &Receiver<DiscoveryCommand>, ends: &AtomicBool) {
        let mut events = Events::with_capacity(1024);
        let mut next_beat = self.clock.now() + BEAT;
        let (mut since, mut from) = (thread_cpu_time(), thread_cpu_time());
        while !ends.load(Ordering::Relaxed) {
            let due = next_beat.min(self.next_change) - self.clock.now();
            let _ = self.poll.poll(&mut events, Some(Duration::from_secs_f64(due.clamp(0.0, 0.02))));
            for event in events.iter() {
                match event.token() {
                    Token(at @ 0..=1) => self.accept(at),
                    Token(other) => self.ready(other - 2, event.is_readable(), event.is_writable()),
                }
            }
            let now = self.clock.now();
            while self.next_change <= now {
                self.counts.max_delay = self.counts.max_delay.max(now - self.next_change);
                self.next_change += 1.0 / self.rate;
                self.change(now);
            }
            if next_beat <= now {
                next_beat += BEAT;
                self.beat();
            }
            for ask in asked.try_iter() {
                let now = self.clock.now();
                match ask {
                    DiscoveryCommand::SetChangeRate(rate) => {
                        self.rate = rate;
                        self.next_change = if rate > 0.0 { now + 1.0 / rate } else { f64::INFINITY };
                    }
                    DiscoveryCommand::Suspend(seconds) => {
                        self.away_until = now + seconds;
                        // Its watches end with it.
                        let all: Vec<usize> = self.followers.iter().map(|(at, _)| at).collect();
                        all.into_iter().for_each(|at| self.close(at));
                    }
                    DiscoveryCommand::ResetCounts => {
                        let watchers = self.counts.watchers;
                        self.counts = DiscoveryCounts { watchers, ..DiscoveryCounts::default() };
                        from = thread_cpu_time();
                    }
                    DiscoveryCommand::ReportCounts(to) => {
                        since = thread_cpu_time();
                        self.counts.cpu = since - from;
                        self.counts.unread_bytes = self.followers.iter().map(|(_, f)| f.out.len()).sum();
                        let _ = to.send(self.counts.clone());
                    }
                }
            }
        }
        let _ = since;
    }

    fn accept(&mut self, from: usize) {
        while let Ok((mut socket, _)) = self.listeners[from].accept() {
            let slot = self.followers.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut socket, Token(slot.key() + 2), interest).is_ok() {
                let _ = socket.set_nodelay(true);
                slot.insert(Follower { socket, from, said: Vec::new(), out: Vec::new(), follows: false });
                self.counts.watchers[from] += 1;
            }
        }
    }

    fn close(&mut self, at: usize) {
        if let Some(mut gone) = self.followers.try_remove(at) {
            let _ = self.poll.registry().deregister(&mut gone.socket);
            self.counts.watchers[gone.from] -= 1;
        }
    }

    fn ready(&mut self, at: usize, readable: bool, writable: bool) {
        let mut piece = [0; 4096];
        if !readable {
            return self.flush(at);
        }
        loop {
            let Some(follower) = self.followers.get_mut(at) else { return };
            match follower.socket.read(&mut piece) {
                Ok(0) => return self.close(at),
                Ok(n) => {
                    follower.said.extend_from_slice(&piece[..n]);
                    if follower.said.len() > piece.len() {
                        return self.close(at);
                    }
                    if follower.said.ends_with(b"\r\n\r\n") {
                        self.asked(at);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return self.close(at),
            }
        }
        if writable {
            self.flush(at);
        }
    }

    fn asked(&mut self, at: usize) {
        self.counts.watch_requests += 1;
        let said = std::mem::take(&mut self.followers[at].said);
        if self.clock.now() < self.away_until {
            self.write(at, b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        let text = String::from_utf8_lossy(&said).into_owned();
        let since = text.split("since=").nth(1).and_then(|s| s.split([' ', '&']).next()?.parse::<u64>().ok());
        let since = since.unwrap_or(0);
        let whole = since == 0 || since > self.version;
        self.counts.full_lists += u64::from(whole);
        let line = self.line(since, whole);
        self.write(at, HEAD.as_bytes());
        self.tell(at, &line);
        if let Some(follower) = self.followers.get_mut(at) {
            follower.follows = true;
        }
    }

    /// A line with what changed after that version, as a chunk.
    fn line(&mut self, since: u64, whole: bool) -> Rc<Vec<u8>> {
        let dial = self.dial.to_string();
        let changed = self.entries.iter().filter(|e| whole || e.changed > since);
        let hosts: Vec<_> = changed
            .map(|e| {
                let health = if e.draining { "draining" } else { "ready" };
                json!({"host": e.name, "dial": dial, "site": "a", "class": "m2", "block": 3, "health": health,
                       "share": 1.0, "born_ms": e.born})
            })
            .collect();
        self.counts.lines_encoded += 1;
        self.counts.entries_encoded += hosts.len() as u64;
        let mut line = json!({"seq": self.version, "whole": whole, "hosts": hosts}).to_string();
        line.push('\n');
        Rc::new(format!("{:x}\r\n{line}\r\n", line.len()).into_bytes())
    }

    /// One server begins to drain, or is back with a new start; a line put into words once serves all.
    fn change(&mut self, now: f64) {
        let at = self.next_server % self.entries.len();
        self.next_server += 1;
        self.version += 1;
        let entry = &mut self.entries[at];
        entry.draining = !entry.draining;
        entry.changed = self.version;
        if !entry.draining {
            entry.born = (now * 1000.0) as u64;
        }
        self.counts.changes += 1;
        self.counts.publish_times.push((self.version, now));
        let line = self.line(self.version - 1, false);
        let all: Vec<usize> = self.followers.iter().filter(|(_, f)| f.follows).map(|(at, _)| at).collect();
        all.into_iter().for_each(|at| self.tell(at, &line));
    }

    fn beat(&mut self) {
        let all: Vec<usize> = self.followers.iter().filter(|(_, f)| f.follows).map(|(at, _)| at).collect();
        for at in all {
            self.counts.heartbeats += 1;
            self.tell(at, b"1\r\n\n\r\n");
        }
    }

    fn tell(&mut self, at: usize, line: &[u8]) {
        if let Some(follower) = self.followers.get(at) {
            self.counts.lines[follower.from] += 1;
            self.write(at, line);
        }
    }

    fn write(&mut self, at: usize, bytes: &[u8]) {
        let Some(follower) = self.followers.get_mut(at) else { return };
        self.counts.bytes[follower.from] += bytes.len() as u64;
        follower.out.extend_from_slice(bytes);
        if follower.out.len() > MOST_UNREAD {
            self.counts.dropped_watchers += 1;
            return self.close(at);
        }
        self.flush(at);
    }

    fn flush(&mut self, at: usize) {
        let Some(follower) = self.followers.get_mut(at) else { return };
        while !follower.out.is_empty() {
            match follower.socket.write(&follower.out) {
                Ok(n) => drop(follower.out.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => return self.close(at),
            }
        }
        follower.out.shrink_to(4096);
    }
}
