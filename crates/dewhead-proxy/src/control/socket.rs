//! The control socket's side of the loop: a Unix socket that only its owner can open, a few visitors at a time, each
//! with a bounded line.

use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::io::Errno;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::io::{self, IoSlice, Read, Write};
use std::os::fd::BorrowedFd;
use std::path::{Path, PathBuf};

/// Visitors at a time; more are hung up on.
const VISITORS: usize = 4;
const LONGEST_LINE: usize = 4096;
/// Tokens are taken from the top, where no end's slot reaches.
const LISTENER: Token = Token(usize::MAX - 1);
const FIRST: usize = usize::MAX - 2;

struct Visitor {
    socket: UnixStream,
    said: Vec<u8>,
    out: Vec<u8>,
    /// Hung up on once it has its answer.
    leaving: bool,
}

pub struct ControlSocket {
    listener: UnixListener,
    /// The socket's file, while it is this process's.
    path: Option<PathBuf>,
    /// A visitor's place is given back when it hangs up, or when it says more than a line may be long.
    visitors: [Option<Visitor>; VISITORS],
}

impl ControlSocket {
    /// Opens the socket, readable and writable by its owner alone. One that a dead process has left is taken over; one
    /// that is answered is another process's, and an error.
    pub fn open(path: &Path, registry: &Registry) -> io::Result<ControlSocket> {
        let bind = || {
            let before = rustix::process::umask(rustix::fs::Mode::from_bits_truncate(0o177));
            let bound = UnixListener::bind(path);
            rustix::process::umask(before);
            bound
        };
        let mut listener = match bind() {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                if std::os::unix::net::UnixStream::connect(path).is_ok() {
                    return Err(io::Error::new(e.kind(), "another process answers there"));
                }
                std::fs::remove_file(path)?;
                bind()?
            }
            other => other?,
        };
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(ControlSocket { listener, path: Some(path.to_owned()), visitors: [None, None, None, None] })
    }

    /// Which visitor a token is; the listener is none of them.
    pub fn connection_of(token: Token) -> Option<Option<usize>> {
        match token {
            LISTENER => Some(None),
            Token(at) if at <= FIRST && at > FIRST - VISITORS => Some(Some(FIRST - at)),
            _ => None,
        }
    }

    /// Takes visitors in; false where accepting failed, and somebody may wait still.
    pub fn accept(&mut self, registry: &Registry) -> bool {
        loop {
            let mut socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            };
            // With no place free it is dropped, and so hung up on.
            if let Some(place) = self.visitors.iter().position(Option::is_none) {
                let token = Token(FIRST - place);
                if registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                    self.visitors[place] =
                        Some(Visitor { socket, said: Vec::new(), out: Vec::new(), leaving: false });
                }
            }
        }
    }

    /// What a visitor has asked by now, line by line.
    pub fn read_lines(&mut self, place: usize) -> Vec<String> {
        let Some(visitor) = &mut self.visitors[place] else { return Vec::new() };
        let mut some = [0; 1024];
        let mut ended = false;
        loop {
            match visitor.socket.read(&mut some) {
                Ok(0) => ended = true,
                Ok(n) if visitor.said.len() + n <= LONGEST_LINE => {
                    visitor.said.extend_from_slice(&some[..n]);
                    continue;
                }
                Ok(_) => ended = true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => ended = true,
            }
            break;
        }
        let mut asked = Vec::new();
        while let Some(end) = visitor.said.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = visitor.said.drain(..=end).collect();
            asked.push(String::from_utf8_lossy(&line).trim_end().to_owned());
        }
        if ended && asked.is_empty() && visitor.out.is_empty() {
            self.visitors[place] = None;
        } else if ended {
            visitor.leaving = true;
        }
        asked
    }

    pub fn send_response(&mut self, place: usize, text: &str) {
        if let Some(visitor) = &mut self.visitors[place] {
            visitor.out.extend_from_slice(text.as_bytes());
            self.flush(place);
        }
    }

    /// Answers, and hands a descriptor over with it.
    pub fn send_response_with_descriptor(
        &mut self,
        place: usize,
        text: &str,
        handed: BorrowedFd,
    ) -> io::Result<()> {
        let Some(visitor) = &mut self.visitors[place] else { return Ok(()) };
        let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let handed = [handed];
        control.push(SendAncillaryMessage::ScmRights(&handed));
        let parts = [IoSlice::new(text.as_bytes())];
        let gone = loop {
            match sendmsg(&visitor.socket, &parts, &mut control, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => break other?,
            }
        };
        visitor.out.extend_from_slice(&text.as_bytes()[gone..]);
        Ok(())
    }

    /// Whether somebody is at this place still.
    pub fn is_open(&self, place: usize) -> bool {
        self.visitors[place].as_ref().is_some_and(|v| !v.leaving)
    }

    /// Takes in nobody new, and leaves the socket's file to who comes after.
    pub fn close_listener(&mut self, registry: &Registry) {
        // One that can't be taken out of the poll is dropped with the rest.
        let _ = registry.deregister(&mut self.listener);
        if let Some(path) = self.path.take() {
            // Taken away already, it needs no taking away.
            let _ = std::fs::remove_file(path);
        }
    }

    /// Writes what waits; a visitor that has gone is forgotten.
    pub fn flush(&mut self, place: usize) {
        let Some(visitor) = &mut self.visitors[place] else { return };
        let mut gone = 0;
        let mut broken = false;
        while gone < visitor.out.len() {
            match visitor.socket.write(&visitor.out[gone..]) {
                Ok(n) if n > 0 => gone += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                _ => {
                    broken = true;
                    break;
                }
            }
        }
        visitor.out.drain(..gone);
        if broken || visitor.leaving && visitor.out.is_empty() {
            self.visitors[place] = None;
        }
    }
}

impl Drop for ControlSocket {
    /// The socket's file goes with its process.
    fn drop(&mut self) {
        if let Some(path) = &self.path {
            // Where it was taken away already there is nothing to do.
            let _ = std::fs::remove_file(path);
        }
    }
}
