//! The connection to discovery: connects, sends the request for the watch and reads its response.

use super::{EventLoop, WATCH};
use crate::reducer::Event;
use crate::state::buffered_socket::BufferedSocket;
use crate::wire::http;
use mio::net::TcpStream;
use mio::Interest;
use std::io::{self, Read};
use std::net::SocketAddr;

impl EventLoop {
    /// Handles readiness of the connection to discovery.
    pub(super) fn watch_ready(&mut self, now: f64, writable: bool) {
        if let Some(offset) = self.clock.wall_clock_offset() {
            self.reducer.observe_wall_clock(offset);
        }
        let Some(connection) = &self.watch else { return };
        if connection.connecting && !(writable && self.finish_connecting_watch(now)) {
            return;
        }
        self.read_watch(now);
    }

    /// Sends the request once the connection is established. False: it has failed.
    fn finish_connecting_watch(&mut self, now: f64) -> bool {
        let Some(connection) = self.watch.as_mut() else { return false };
        let is_established =
            matches!(connection.socket.take_error(), Ok(None)) && connection.socket.peer_addr().is_ok();
        connection.connecting = false;
        if !is_established || connection.flush().is_err() {
            self.watch_lost(now);
            return false;
        }
        self.dispatch(now, Event::WatchOpened, &[]);
        true
    }

    /// Reads what has arrived.
    fn read_watch(&mut self, now: f64) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        // A watch that was opened in the meantime is still connecting.
        while let Some(connection) = self.watch.as_mut().filter(|c| !c.connecting) {
            match connection.socket.read(&mut read_buffer) {
                Ok(0) => self.watch_lost(now),
                Ok(n) => self.dispatch(now, Event::WatchBytes(&read_buffer[..n]), &[]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.watch_lost(now),
            }
        }
        self.read_buffer = read_buffer;
    }

    /// Closes the connection to discovery and reports it lost.
    fn watch_lost(&mut self, now: f64) {
        self.watch = None;
        self.dispatch(now, Event::WatchLost, &[]);
    }

    /// Connects to discovery and requests the changes since that version of the list.
    pub(super) fn open_watch(&mut self, now: f64, discovery: SocketAddr, since: u64) {
        self.watch = None;
        let opened = TcpStream::connect(discovery).and_then(|mut socket| {
            self.poll.registry().register(&mut socket, WATCH, Interest::READABLE | Interest::WRITABLE)?;
            let mut connection = BufferedSocket::new(socket, true);
            connection.write(&[&http::watch_request(&discovery.to_string(), since)])?;
            Ok(connection)
        });
        match opened {
            Ok(connection) => self.watch = Some(connection),
            Err(_) => self.watch_lost(now),
        }
    }
}
