//! Non-blocking sockets with a write buffer. The buffer is allocated only while bytes wait in it.

use super::sessions::CloseKind;
use mio::net::TcpStream;
use std::io::{self, IoSlice, Read, Write};
use std::net::Shutdown;

/// A first line is written in three parts: the text before the waiting time, the time, and the rest.
const MAX_PARTS: usize = 3;

/// What a read from a socket has brought.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadResult {
    /// This many bytes.
    Bytes(usize),
    /// None are there now.
    Nothing,
    /// A signal has interrupted the read.
    Interrupted,
    /// The remote side has ended its stream, or the connection is broken.
    Closed(CloseKind),
}

/// A TCP socket and the bytes that wait to be written to it.
pub struct BufferedSocket {
    /// The socket itself, for reading and for the poll.
    pub socket: TcpStream,
    /// Bytes to write; the first `written` of them are written already.
    pending: Vec<u8>,
    written: usize,
    /// Whether the write side is shut down once nothing is pending.
    shutdown_pending: bool,
    /// Whether the connection is not established yet.
    pub connecting: bool,
    /// Whether bytes may be left to read, because the peer that they go to had unsent bytes.
    pub readable: bool,
    /// Whether it is to be read in the next iteration, as it may have more bytes than were read at a time.
    pub read_queued: bool,
    /// Whether the remote side has ended its stream, or the connection is broken.
    pub read_ended: bool,
    /// Whether the first line has not been written to its last byte yet.
    pub head_pending: bool,
}

impl BufferedSocket {
    /// Wraps a socket; `connecting`: its connection is not established yet.
    pub fn new(socket: TcpStream, connecting: bool) -> BufferedSocket {
        BufferedSocket {
            socket,
            pending: Vec::new(),
            written: 0,
            shutdown_pending: false,
            connecting,
            readable: false,
            read_queued: false,
            read_ended: false,
            head_pending: false,
        }
    }

    /// Reads once.
    pub fn read(&mut self, buffer: &mut [u8]) -> ReadResult {
        let kind = match self.socket.read(buffer) {
            Ok(0) => CloseKind::Graceful,
            Ok(count) => return ReadResult::Bytes(count),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return ReadResult::Nothing,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return ReadResult::Interrupted,
            Err(_) => CloseKind::Abortive,
        };
        self.read_ended = true;
        ReadResult::Closed(kind)
    }

    /// Whether nothing is pending.
    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty()
    }

    /// Writes the parts until the socket is full and buffers the rest. The poll reports a socket as writable again only
    /// after a write has found it full, so a short write alone is no reason to stop.
    ///
    /// # Errors
    ///
    /// Those of `write_parts`.
    pub fn write(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut taken = 0;
        if self.is_flushed() && !self.connecting {
            taken = write_parts(&mut self.socket, parts)?;
        }
        for part in parts {
            let skip = taken.min(part.len());
            taken -= skip;
            self.pending.extend_from_slice(&part[skip..]);
        }
        Ok(())
    }

    /// Writes pending bytes until the socket is full; true once none is left.
    ///
    /// # Errors
    ///
    /// The socket's own, and `WriteZero` where it takes nothing without an error.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.written < self.pending.len() {
            match self.socket.write(&self.pending[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(taken) => self.written += taken,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        self.pending = Vec::new();
        self.written = 0;
        if self.shutdown_pending {
            self.shutdown_pending = false;
            let _ = self.socket.shutdown(Shutdown::Write);
        }
        Ok(true)
    }

    /// Shuts down the write side once all pending bytes are written.
    pub fn finish_writing(&mut self) {
        if self.is_flushed() && !self.connecting {
            // Fails only if the connection is already gone.
            let _ = self.socket.shutdown(Shutdown::Write);
        } else {
            self.shutdown_pending = true;
        }
    }

    /// Makes the close that follows send a reset.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// Writes the parts in order, in as few calls as the socket allows; returns how many bytes it took before it was full.
///
/// # Errors
///
/// The socket's own, except `Interrupted` and `WouldBlock`; `WriteZero` where it takes nothing without an error.
pub fn write_parts(to: &mut impl Write, parts: &[&[u8]]) -> io::Result<usize> {
    let total: usize = parts.iter().map(|part| part.len()).sum();
    let mut taken = 0;
    while taken < total {
        match to.write_vectored(&remaining(parts, taken)) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => taken += count,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    Ok(taken)
}

/// What is left of the parts after their first `taken` bytes. There are `MAX_PARTS` of them at most.
fn remaining<'a>(parts: &[&'a [u8]], mut taken: usize) -> [IoSlice<'a>; MAX_PARTS] {
    let mut slices = [IoSlice::new(&[]); MAX_PARTS];
    for (slice, part) in slices.iter_mut().zip(parts) {
        let skip = taken.min(part.len());
        taken -= skip;
        *slice = IoSlice::new(&part[skip..]);
    }
    slices
}
