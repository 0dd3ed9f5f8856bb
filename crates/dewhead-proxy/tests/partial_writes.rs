//! Writing to sockets that accept fewer bytes than they are given.

use dewhead_proxy::state::buffered_socket::write_parts;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};

/// A socket whose writes have these results in turn; after those, every write is accepted whole.
struct ScriptedSocket {
    /// For each write, the most bytes it accepts, or its error.
    results: VecDeque<io::Result<usize>>,
    /// All bytes accepted so far.
    taken: Vec<u8>,
}

impl Write for ScriptedSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let limit = self.results.pop_front().unwrap_or(Ok(usize::MAX))?;
        let taken = limit.min(bytes.len());
        self.taken.extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }

    fn write_vectored(&mut self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let bytes: Vec<u8> = parts.iter().flat_map(|part| part.iter().copied()).collect();
        self.write(&bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a request head in three parts to a socket with these results; returns the outcome and the bytes taken.
fn write_request_head(results: impl IntoIterator<Item = io::Result<usize>>) -> (io::Result<usize>, Vec<u8>) {
    let mut socket = ScriptedSocket { results: results.into_iter().collect(), taken: Vec::new() };
    let outcome = write_parts(&mut socket, &[b"OPEN ", b"250", b"\r\n"]);
    (outcome, socket.taken)
}

/// A write that fails with this error.
fn error(kind: ErrorKind) -> io::Result<usize> {
    Err(kind.into())
}

#[test]
fn a_short_write_is_continued_until_all_bytes_are_written() {
    for first_write in 1..9 {
        let (outcome, taken) = write_request_head([Ok(first_write), Ok(1), error(ErrorKind::Interrupted)]);
        assert_eq!(outcome.expect("the write succeeds"), 10, "first write of {first_write} bytes");
        assert_eq!(taken, b"OPEN 250\r\n", "first write of {first_write} bytes");
    }
}

#[test]
fn a_full_socket_ends_the_write_and_the_bytes_written_are_returned() {
    for first_write in 1..9 {
        let (outcome, taken) = write_request_head([Ok(first_write), error(ErrorKind::WouldBlock)]);
        assert_eq!(outcome.expect("the write succeeds"), first_write);
        assert_eq!(taken, &b"OPEN 250\r\n"[..first_write]);
    }
    assert_eq!(write_request_head([error(ErrorKind::WouldBlock)]).0.expect("the write succeeds"), 0);
}

#[test]
fn a_broken_socket_is_an_error() {
    let (outcome, _) = write_request_head([Ok(3), error(ErrorKind::ConnectionReset)]);
    assert_eq!(outcome.expect_err("the connection was reset").kind(), ErrorKind::ConnectionReset);
    let (outcome, _) = write_request_head([Ok(0)]);
    assert_eq!(outcome.expect_err("the socket accepts no bytes").kind(), ErrorKind::WriteZero);
}
