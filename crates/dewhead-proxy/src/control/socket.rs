//! Server side of the control socket in the event loop: a Unix socket that only its owner can open, with a limit on the
//! number of connections and on the length of a request.

use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::io::Errno;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::io::{self, IoSlice, Read, Write};
use std::os::fd::BorrowedFd;
use std::path::{Path, PathBuf};

/// Most connections at a time; further ones are closed at once.
const MAX_CONNECTIONS: usize = 4;
/// Most bytes of a connection that are not processed yet, and so the longest request line.
const MAX_LINE_BYTES: usize = 4096;
/// Tokens are assigned downwards from the highest, so that they do not collide with those of session slots.
const LISTENER: Token = Token(usize::MAX - 1);
/// Token of the first connection; those of further connections follow downwards.
const FIRST_CONNECTION: usize = usize::MAX - 2;

/// A connection of an operator or of a successor.
struct Connection {
    socket: UnixStream,
    /// Bytes of an incomplete request.
    received: Vec<u8>,
    /// Bytes of responses that are not written yet.
    unsent: Vec<u8>,
    /// To be closed once all responses are written.
    closing: bool,
}

/// The listening control socket and its connections.
pub struct ControlSocket {
    listener: UnixListener,
    /// Path of the socket's file; none once the file is removed for a successor.
    path: Option<PathBuf>,
    /// A slot is free again once the peer has closed the connection, or has sent a line that is too long.
    connections: [Option<Connection>; MAX_CONNECTIONS],
}

impl ControlSocket {
    /// Opens the socket, readable and writable by its owner only. The file of a process that has ended is replaced.
    ///
    /// # Errors
    ///
    /// The socket can't be opened, or another process accepts connections on it.
    pub fn open(path: &Path, registry: &Registry) -> io::Result<ControlSocket> {
        let bind = || {
            let previous_mask = rustix::process::umask(rustix::fs::Mode::from_bits_truncate(0o177));
            let bound = UnixListener::bind(path);
            rustix::process::umask(previous_mask);
            bound
        };
        let mut listener = match bind() {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                if std::os::unix::net::UnixStream::connect(path).is_ok() {
                    return Err(io::Error::new(e.kind(), "another process serves this socket"));
                }
                std::fs::remove_file(path)?;
                bind()?
            }
            other => other?,
        };
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(ControlSocket { listener, path: Some(path.to_owned()), connections: [None, None, None, None] })
    }

    /// Maps a token to the slot of its connection: `Some(None)` is the listener, `None` is no token of the control
    /// socket.
    pub fn connection_of(token: Token) -> Option<Option<usize>> {
        match token {
            LISTENER => Some(None),
            Token(at) if at <= FIRST_CONNECTION && at > FIRST_CONNECTION - MAX_CONNECTIONS => {
                Some(Some(FIRST_CONNECTION - at))
            }
            _ => None,
        }
    }

    /// Accepts connections. Returns false if that failed, so that connections may still be pending.
    pub fn accept(&mut self, registry: &Registry) -> bool {
        loop {
            let mut socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            };
            // Without a free slot the connection is dropped, which closes it.
            if let Some(slot) = self.connections.iter().position(Option::is_none) {
                let token = Token(FIRST_CONNECTION - slot);
                if registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                    self.connections[slot] =
                        Some(Connection { socket, received: Vec::new(), unsent: Vec::new(), closing: false });
                }
            }
        }
    }

    /// Reads from a connection and returns the complete lines.
    pub fn read_lines(&mut self, slot: usize) -> Vec<String> {
        let Some(connection) = &mut self.connections[slot] else { return Vec::new() };
        let mut buffer = [0; 1024];
        let mut ended = false;
        loop {
            match connection.socket.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(n) if connection.received.len() + n <= MAX_LINE_BYTES => {
                    connection.received.extend_from_slice(&buffer[..n]);
                    continue;
                }
                Ok(_) => ended = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => ended = true,
            }
            break;
        }
        let mut lines = Vec::new();
        while let Some(end) = connection.received.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = connection.received.drain(..=end).collect();
            lines.push(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        if ended && lines.is_empty() && connection.unsent.is_empty() {
            self.connections[slot] = None;
        } else if ended {
            connection.closing = true;
        }
        lines
    }

    /// Sends a response. Bytes that the socket does not accept yet are written later.
    pub fn send_response(&mut self, slot: usize, text: &str) {
        if let Some(connection) = &mut self.connections[slot] {
            connection.unsent.extend_from_slice(text.as_bytes());
            self.flush(slot);
        }
    }

    /// Sends a response and passes a descriptor with it.
    ///
    /// # Errors
    ///
    /// Neither the descriptor nor the response was sent.
    pub fn send_response_with_descriptor(
        &mut self,
        slot: usize,
        text: &str,
        descriptor: BorrowedFd,
    ) -> io::Result<()> {
        let Some(connection) = &mut self.connections[slot] else { return Ok(()) };
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let descriptors = [descriptor];
        ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
        let parts = [IoSlice::new(text.as_bytes())];
        let sent = loop {
            match sendmsg(&connection.socket, &parts, &mut ancillary, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => break other?,
            }
        };
        connection.unsent.extend_from_slice(&text.as_bytes()[sent..]);
        Ok(())
    }

    /// Whether the connection at this slot is still open.
    pub fn is_open(&self, slot: usize) -> bool {
        self.connections[slot].as_ref().is_some_and(|c| !c.closing)
    }

    /// Stops accepting connections and removes the socket's file, so that the successor can create its own.
    pub fn close_listener(&mut self, registry: &Registry) {
        // A listener that can't be deregistered is closed with the process.
        let _ = registry.deregister(&mut self.listener);
        if let Some(path) = self.path.take() {
            // The file may be gone already.
            let _ = std::fs::remove_file(path);
        }
    }

    /// Writes unsent bytes. A connection that is broken, or closing and fully written, is dropped.
    pub fn flush(&mut self, slot: usize) {
        let Some(connection) = &mut self.connections[slot] else { return };
        let mut sent = 0;
        let mut broken = false;
        while sent < connection.unsent.len() {
            match connection.socket.write(&connection.unsent[sent..]) {
                Ok(n) if n > 0 => sent += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                _ => {
                    broken = true;
                    break;
                }
            }
        }
        connection.unsent.drain(..sent);
        if broken || connection.closing && connection.unsent.is_empty() {
            self.connections[slot] = None;
        }
    }
}

impl Drop for ControlSocket {
    /// Removes the socket's file.
    fn drop(&mut self) {
        if let Some(path) = &self.path {
            // The file may be gone already.
            let _ = std::fs::remove_file(path);
        }
    }
}
