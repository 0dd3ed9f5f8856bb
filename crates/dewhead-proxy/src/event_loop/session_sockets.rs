//! The sockets of sessions, to clients and servers: connecting, reading, writing, and those that have failed.

use super::{token_of, EventLoop};
use crate::reducer::{CloseKind, Endpoint, Event};
use crate::state::buffered_socket::{BufferedSocket, ReadResult};
use crate::transient::is_transient;
use log::{debug, error};
use mio::net::TcpStream;
use mio::Interest;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;

/// Reads from one socket before the other sockets are served.
const MAX_READS_PER_SOCKET: usize = 2;
/// The same for a client that has had its final answer. What it still sends is discarded, so that its descriptor is soon free.
const MAX_DISCARDS_PER_SOCKET: usize = 8;

impl EventLoop {
    /// The endpoint's open connection.
    pub(super) fn connection(&mut self, endpoint: Endpoint) -> Option<&mut BufferedSocket> {
        match endpoint {
            Endpoint::Client(slot) => self.clients.get_mut(slot)?.as_mut(),
            Endpoint::Server(slot) => self.servers.get_mut(slot)?.as_mut(),
        }
    }

    /// Handles readiness of a session's socket: a completed connect, room to write, bytes to read.
    pub(super) fn socket_ready(&mut self, now: f64, endpoint: Endpoint, readable: bool) {
        let Some(connection) = self.connection(endpoint) else { return };
        if connection.connecting {
            match connection.socket.take_error() {
                Ok(None) => {}
                _ => return self.connect_failed(now, endpoint),
            }
            match connection.socket.peer_addr() {
                Ok(_) => {
                    connection.connecting = false;
                    if let Endpoint::Server(leg) = endpoint {
                        self.server_connected(now, leg);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::NotConnected => return,
                Err(_) => return self.connect_failed(now, endpoint),
            }
        } else {
            self.flush(now, endpoint);
        }
        if readable {
            self.read_unless_queued(now, endpoint);
        }
    }

    /// Handles a completed connect to a server. The client is read first: its close may follow in the same batch of
    /// events, and then the call must not be sent to the server.
    fn server_connected(&mut self, now: f64, leg: usize) {
        if let Some(client) = self.reducer.client_of(leg) {
            self.read(now, client);
        }
        // That read may have ended the leg and given its slot to another one that is still connecting.
        if self.connection(Endpoint::Server(leg)).is_some_and(|c| !c.connecting) {
            self.dispatch(now, Event::Connected(leg), &[]);
        }
    }

    /// Handles a failed connect to a server.
    fn connect_failed(&mut self, now: f64, endpoint: Endpoint) {
        if let Endpoint::Server(leg) = endpoint {
            self.dispatch(now, Event::ConnectFailed(leg), &[]);
        }
    }

    /// Writes the unsent bytes of a socket.
    pub(super) fn flush(&mut self, now: f64, endpoint: Endpoint) {
        let Some(connection) = self.connection(endpoint) else { return };
        if connection.is_flushed() {
            return;
        }
        // The rest of a head is sent only if the client has not left.
        if let Some(client) =
            connection.head_pending.then_some(endpoint).and_then(|e| self.reducer.peer_of(e))
        {
            self.read(now, client);
        }
        let Some(connection) = self.connection(endpoint) else { return };
        match connection.flush() {
            Ok(false) => {}
            Ok(true) => {
                if std::mem::take(&mut connection.head_pending) {
                    if let Endpoint::Server(leg) = endpoint {
                        self.dispatch(now, Event::HeadWritten(leg), &[]);
                    }
                }
                // Reads from the peer were suspended while this side had unsent bytes.
                let peer = self.reducer.peer_of(endpoint);
                if let Some(peer) = peer.filter(|p| self.connection(*p).is_some_and(|c| c.readable)) {
                    self.read_unless_queued(now, peer);
                }
            }
            Err(_) => self.broken.push_back(endpoint),
        }
    }

    /// Reads from a socket unless it was read in this iteration and has more: one that is always readable is read once in
    /// each iteration, however often it is reported, so that the others are served in between.
    fn read_unless_queued(&mut self, now: f64, endpoint: Endpoint) {
        if self.connection(endpoint).is_some_and(|c| !c.read_queued) {
            self.read(now, endpoint);
        }
    }

    /// Reads from a socket, up to `MAX_READS_PER_SOCKET` times, and dispatches the bytes.
    pub(super) fn read(&mut self, now: f64, endpoint: Endpoint) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        // Before its call is established a client sends little. One that sends more is read once per iteration, so that
        // the other sockets are served in between.
        let more = if self.reducer.peer_of(endpoint).is_some() {
            (0..MAX_READS_PER_SOCKET).all(|_| self.read_once(now, endpoint, &mut read_buffer))
        } else if self.reducer.is_closing(endpoint) {
            (0..MAX_DISCARDS_PER_SOCKET).all(|_| self.read_once(now, endpoint, &mut read_buffer))
        } else {
            self.read_waiting_client(now, endpoint, &mut read_buffer)
        };
        self.read_buffer = read_buffer;
        if let Some(connection) = self.connection(endpoint).filter(|c| more && !c.read_queued) {
            connection.read_queued = true;
            self.pending_reads.push_back(endpoint);
        }
    }

    /// Reads from a socket of an established call once. Returns whether there may be more to read now.
    fn read_once(&mut self, now: f64, endpoint: Endpoint, read_buffer: &mut [u8]) -> bool {
        let peer = self.reducer.peer_of(endpoint);
        let peer_is_full = peer.is_some_and(|p| self.connection(p).is_some_and(|c| !c.is_flushed()));
        let Some(connection) = self.readable_connection(endpoint) else { return false };
        connection.readable = peer_is_full;
        if peer_is_full {
            return false;
        }
        match connection.read(read_buffer) {
            ReadResult::Bytes(count) => {
                let bytes = &read_buffer[..count];
                self.dispatch(now, Event::Bytes(endpoint, bytes), bytes);
                true
            }
            ReadResult::Nothing => false,
            ReadResult::Interrupted => true,
            ReadResult::Closed(kind) => {
                self.dispatch(now, Event::Closed(endpoint, kind), &[]);
                false
            }
        }
    }

    /// Reads from a client without an established call: once, and once more to see whether that was all that it sends, so
    /// that nothing is begun for a client that has left. Returns whether there may be more to read now.
    fn read_waiting_client(&mut self, now: f64, endpoint: Endpoint, read_buffer: &mut [u8]) -> bool {
        let Some(connection) = self.readable_connection(endpoint) else { return false };
        connection.readable = false;
        let count = match connection.read(read_buffer) {
            ReadResult::Bytes(count) => count,
            ReadResult::Nothing => return false,
            ReadResult::Interrupted => return true,
            ReadResult::Closed(kind) => {
                self.dispatch(now, Event::Closed(endpoint, kind), &[]);
                return false;
            }
        };
        let next = match &mut read_buffer[count..] {
            [] => ReadResult::Interrupted,
            rest => connection.read(rest),
        };
        let (count, more) = match next {
            ReadResult::Bytes(further) => (count + further, true),
            ReadResult::Interrupted => (count, true),
            ReadResult::Nothing | ReadResult::Closed(_) => (count, false),
        };
        let bytes = &read_buffer[..count];
        match next {
            ReadResult::Closed(kind) => self.dispatch(now, Event::LastBytes(endpoint, bytes, kind), bytes),
            _ => self.dispatch(now, Event::Bytes(endpoint, bytes), bytes),
        }
        more
    }

    /// The endpoint's connection, if it is established and has not ended.
    fn readable_connection(&mut self, endpoint: Endpoint) -> Option<&mut BufferedSocket> {
        self.connection(endpoint).filter(|c| !c.read_ended && !c.connecting)
    }

    /// Reports the sockets in `broken` as closed.
    pub(super) fn close_broken_sockets(&mut self, now: f64) {
        while let Some(endpoint) = self.broken.pop_front() {
            // Bytes received before the failure are still valid, above all a final response.
            self.read(now, endpoint);
            if self.connection(endpoint).is_some_and(|c| !c.read_ended) {
                self.dispatch(now, Event::Closed(endpoint, CloseKind::Abortive), &[]);
            }
        }
    }

    /// Registers a session's socket with the poll and stores it in its slot.
    pub(super) fn register(&mut self, endpoint: Endpoint, mut socket: TcpStream, connecting: bool) {
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self.poll.registry().register(&mut socket, token_of(endpoint), interest) {
            error!("a socket could not be registered: {e}");
            self.broken.push_back(endpoint);
        }
        let (connections, slot) = match endpoint {
            Endpoint::Client(slot) => (&mut self.clients, slot),
            Endpoint::Server(slot) => (&mut self.servers, slot),
        };
        if connections.len() <= slot {
            connections.resize_with(slot + 1, || None);
        }
        connections[slot] = Some(BufferedSocket::new(socket, connecting));
    }

    /// Connects to a server for a leg.
    pub(super) fn connect(&mut self, now: f64, leg: usize, address: SocketAddr) {
        match TcpStream::connect(address) {
            Ok(socket) => self.register(Endpoint::Server(leg), socket, true),
            Err(e) if is_transient(&e) => {
                debug!("connecting to {address} failed, transient: {e}");
                self.dispatch(now, Event::ConnectNotStarted(leg), &[]);
            }
            Err(e) => {
                debug!("connecting to {address} failed: {e}");
                self.dispatch(now, Event::ConnectFailed(leg), &[]);
            }
        }
    }

    /// Writes to a socket; bytes that it does not accept are kept.
    pub(super) fn write(&mut self, endpoint: Endpoint, parts: &[&[u8]]) {
        let Some(connection) = self.connection(endpoint) else { return };
        if connection.write(parts).is_err() {
            self.broken.push_back(endpoint);
        }
    }

    /// Writes the first line of a session to a server, with the client's waiting time replaced by `timeout_ms`.
    pub(super) fn write_head(
        &mut self,
        now: f64,
        leg: usize,
        session: usize,
        timeout_range: Range<usize>,
        timeout_ms: u64,
    ) {
        let digits = timeout_ms.to_string();
        let head = self.reducer.session_head(session);
        let Some(connection) = self.servers.get_mut(leg).and_then(Option::as_mut) else { return };
        let outcome = if timeout_range.is_empty() {
            connection.write(&[head])
        } else {
            connection.write(&[&head[..timeout_range.start], digits.as_bytes(), &head[timeout_range.end..]])
        };
        connection.head_pending = !connection.is_flushed();
        match outcome {
            Ok(()) if connection.head_pending => {}
            Ok(()) => self.dispatch(now, Event::HeadWritten(leg), &[]),
            Err(_) => self.dispatch(now, Event::Closed(Endpoint::Server(leg), CloseKind::Abortive), &[]),
        }
    }
}
