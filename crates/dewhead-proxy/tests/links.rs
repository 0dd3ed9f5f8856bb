//! Writing to sockets that take less than they are given.

use dewhead_proxy::state::buffered_socket::write_parts;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Write};

/// A socket that answers each write as told, and takes all once nothing more is told.
struct Scripted {
    answers: VecDeque<io::Result<usize>>,
    taken: Vec<u8>,
}

impl Write for Scripted {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let most = self.answers.pop_front().unwrap_or(Ok(usize::MAX))?;
        let taken = most.min(bytes.len());
        self.taken.extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }

    fn write_vectored(&mut self, parts: &[IoSlice<'_>]) -> io::Result<usize> {
        let whole: Vec<u8> = parts.iter().flat_map(|part| part.iter().copied()).collect();
        self.write(&whole)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn written(answers: impl IntoIterator<Item = io::Result<usize>>) -> (io::Result<usize>, Vec<u8>) {
    let mut socket = Scripted { answers: answers.into_iter().collect(), taken: Vec::new() };
    let outcome = write_parts(&mut socket, &[b"OPEN ", b"250", b"\r\n"]);
    (outcome, socket.taken)
}

fn fails(kind: ErrorKind) -> io::Result<usize> {
    Err(kind.into())
}

#[test]
fn a_short_write_is_followed_by_another_until_all_is_taken() {
    for cut in 1..9 {
        let (outcome, taken) = written([Ok(cut), Ok(1), fails(ErrorKind::Interrupted)]);
        assert_eq!(outcome.expect("the socket is sound"), 10, "cut after {cut}");
        assert_eq!(taken, b"OPEN 250\r\n", "cut after {cut}");
    }
}

#[test]
fn a_full_socket_ends_the_writing_and_says_how_much_it_took() {
    for cut in 1..9 {
        let (outcome, taken) = written([Ok(cut), fails(ErrorKind::WouldBlock)]);
        assert_eq!(outcome.expect("the socket is sound"), cut);
        assert_eq!(taken, &b"OPEN 250\r\n"[..cut]);
    }
    assert_eq!(written([fails(ErrorKind::WouldBlock)]).0.expect("the socket is sound"), 0);
}

#[test]
fn a_broken_socket_is_told() {
    let (outcome, _) = written([Ok(3), fails(ErrorKind::ConnectionReset)]);
    assert_eq!(outcome.expect_err("it broke").kind(), ErrorKind::ConnectionReset);
    let (outcome, _) = written([Ok(0)]);
    assert_eq!(outcome.expect_err("it takes nothing").kind(), ErrorKind::WriteZero);
}
