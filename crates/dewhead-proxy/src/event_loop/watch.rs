//! The connection to discovery: connects, sends the request for the watch and reads its response.

use super::{EventLoop, FIRST_HEDGE_TOKEN, WATCH};
use crate::reducer::Event;
use crate::state::buffered_socket::BufferedSocket;
use crate::wire::http;
use log::error;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::{self, Read};
use std::net::SocketAddr;

/// Sends the request on a connection that is no longer being established.
fn finish_connecting(connection: &mut BufferedSocket) -> io::Result<()> {
    connection.connecting = false;
    if let Some(error) = connection.socket.take_error()? {
        return Err(error);
    }
    connection.socket.peer_addr()?;
    connection.flush().map(drop)
}

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
        if let Err(error) = finish_connecting(connection) {
            self.watch_not_opened(now, &error);
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

    /// Closes the connection to discovery, which could not be established, and reports that.
    fn watch_not_opened(&mut self, now: f64, error: &io::Error) {
        if error.kind() != io::ErrorKind::ConnectionRefused {
            return self.watch_lost(now);
        }
        self.watch = None;
        self.dispatch(now, Event::WatchRefused, &[]);
    }

    /// Connects to discovery and requests the changes since that version of the list.
    pub(super) fn open_watch(&mut self, now: f64, discovery: SocketAddr, since: u64) {
        self.watch = None;
        match self.request_watch(WATCH, discovery, since) {
            Ok(connection) => self.watch = Some(connection),
            Err(error) => self.watch_not_opened(now, &error),
        }
    }

    /// Makes a hedged request in this slot.
    pub(super) fn open_hedge(&mut self, now: f64, slot: usize, discovery: SocketAddr, since: u64) {
        self.hedges[slot] = None;
        match self.request_watch(Token(FIRST_HEDGE_TOKEN + slot), discovery, since) {
            Ok(connection) => self.hedges[slot] = Some(connection),
            Err(_) => self.dispatch(now, Event::HedgeLost(slot), &[]),
        }
    }

    /// Starts to connect to discovery; the request is sent once the connection is established.
    fn request_watch(&self, token: Token, discovery: SocketAddr, since: u64) -> io::Result<BufferedSocket> {
        let mut socket = TcpStream::connect(discovery)?;
        self.poll.registry().register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        let mut connection = BufferedSocket::new(socket, true);
        connection.write(&[&http::watch_request(&discovery.to_string(), since)])?;
        Ok(connection)
    }

    /// Makes the connection of the hedged request in this slot that of the watch. The poll reports what is left to read.
    pub(super) fn promote_hedge(&mut self, slot: usize) {
        self.watch = self.hedges[slot].take();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Some(connection) = &mut self.watch {
            if let Err(e) = self.poll.registry().reregister(&mut connection.socket, WATCH, interest) {
                // The watch is missing its lines then, and is requested again.
                error!("the watch could not be registered: {e}");
            }
        }
    }

    /// Makes the connection of the watch that of the hedged request in this slot.
    pub(super) fn demote_watch(&mut self, slot: usize) {
        self.hedges[slot] = self.watch.take();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Some(connection) = &mut self.hedges[slot] {
            let token = Token(FIRST_HEDGE_TOKEN + slot);
            if let Err(e) = self.poll.registry().reregister(&mut connection.socket, token, interest) {
                error!("an overdue request for the watch could not be registered: {e}");
            }
        }
    }

    /// Handles readiness of the connection of a hedged request.
    pub(super) fn hedge_ready(&mut self, now: f64, slot: usize, writable: bool) {
        let Some(connection) = self.hedges[slot].as_mut() else { return };
        if connection.connecting {
            if !writable {
                return;
            }
            if finish_connecting(connection).is_err() {
                return self.hedge_lost(now, slot);
            }
        }
        self.read_hedge(now, slot);
    }

    /// Reads what has arrived of the answer to a hedged request, until the request becomes the watch.
    fn read_hedge(&mut self, now: f64, slot: usize) {
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        // A request that was made in this slot in the meantime is still connecting.
        while let Some(connection) = self.hedges[slot].as_mut().filter(|c| !c.connecting) {
            match connection.socket.read(&mut read_buffer) {
                Ok(0) => self.hedge_lost(now, slot),
                Ok(n) => self.dispatch(now, Event::HedgeBytes(slot, &read_buffer[..n]), &[]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.hedge_lost(now, slot),
            }
        }
        self.read_buffer = read_buffer;
    }

    /// Closes the connection of a hedged request and reports it lost.
    fn hedge_lost(&mut self, now: f64, slot: usize) {
        self.hedges[slot] = None;
        self.dispatch(now, Event::HedgeLost(slot), &[]);
    }
}
