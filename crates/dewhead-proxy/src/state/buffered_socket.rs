//! Sockets, each with the bytes that wait to be written to it. A buffer exists only while bytes wait in it.

use mio::net::TcpStream;
use std::io::{self, IoSlice, Write};
use std::net::Shutdown;

/// A head goes out in three parts: what comes before the waiting time, the time, and the rest.
const MOST_PARTS: usize = 3;

pub struct BufferedSocket {
    pub socket: TcpStream,
    /// Bytes that wait, and how many of them are gone already.
    pending: Vec<u8>,
    written: usize,
    /// To be shut for writing once nothing waits.
    shutdown_pending: bool,
    /// Being dialled still.
    pub connecting: bool,
    /// May have bytes to read that were left as the other side could not take them.
    pub readable: bool,
    /// Nothing more will come.
    pub read_ended: bool,
    /// The head is on its way; its last byte has not been written.
    pub head_pending: bool,
}

impl BufferedSocket {
    pub fn new(socket: TcpStream, connecting: bool) -> BufferedSocket {
        BufferedSocket {
            socket,
            pending: Vec::new(),
            written: 0,
            shutdown_pending: false,
            connecting,
            readable: false,
            read_ended: false,
            head_pending: false,
        }
    }

    pub fn is_flushed(&self) -> bool {
        self.pending.is_empty()
    }

    /// Writes the parts until the socket takes no more; the rest waits. Nothing tells that a socket can be written to
    /// again unless a write found it full, so that a short write alone is no reason to stop.
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

    /// Writes what waits; true once all of it is gone.
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

    /// Ends the sending once all that waits is written.
    pub fn finish_writing(&mut self) {
        if self.is_flushed() && !self.connecting {
            // A socket that is gone already needs no end.
            let _ = self.socket.shutdown(Shutdown::Write);
        } else {
            self.shutdown_pending = true;
        }
    }

    /// Makes the close that follows a reset.
    pub fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// Writes the parts in order, as few calls as the socket allows; returns how many bytes it took before it was full.
///
/// # Errors
///
/// The socket's own, but for `Interrupted` and `WouldBlock`; `WriteZero` where it takes nothing and says no error.
pub fn write_parts(to: &mut impl Write, parts: &[&[u8]]) -> io::Result<usize> {
    let total: usize = parts.iter().map(|part| part.len()).sum();
    let mut taken = 0;
    while taken < total {
        match to.write_vectored(&remaining(parts, taken)) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(more) => taken += more,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    Ok(taken)
}

/// What is left of the parts after their first `taken` bytes. A message has `MOST_PARTS` of them at the most.
fn remaining<'a>(parts: &[&'a [u8]], mut taken: usize) -> [IoSlice<'a>; MOST_PARTS] {
    let mut slices = [IoSlice::new(&[]); MOST_PARTS];
    for (slice, part) in slices.iter_mut().zip(parts) {
        let skip = taken.min(part.len());
        taken -= skip;
        *slice = IoSlice::new(&part[skip..]);
    }
    slices
}
