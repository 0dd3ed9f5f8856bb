//! The process whose place this one takes: asked for its listening socket and for what it has learned, and followed until
//! it has ended. It may go on for a minute with clients of its own, and hears of a stop through this process alone.

use super::client::{parse_response, RESPONSE_TIMEOUT};
use super::protocol;
use crate::transient::retry_transient;
use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use rustix::io::Errno;
use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, IoSliceMut, Read, Write};
use std::os::unix::net::UnixStream as BlockingUnixStream;
use std::path::{Path, PathBuf};

/// The most that is read of what was learned, in bytes.
const MOST_HANDED: usize = 64 << 20;

/// The running process's side of a succession: the listening socket and what it has learned are had, and it serves on
/// until it is told `succeeded`. Dropped before that, nothing has changed.
pub struct Predecessor {
    stream: BufReader<BlockingUnixStream>,
    socket: PathBuf,
    pub listener: std::net::TcpListener,
    pub handover_state: Value,
}

impl Predecessor {
    /// Asks the process at this control socket for its listening socket.
    ///
    /// # Errors
    ///
    /// One line that names the socket: nobody answers there, or the process hands nothing on.
    pub fn request_handover(socket: &Path) -> Result<Predecessor, String> {
        let fault = |e: io::Error| format!("{}: {e}", socket.display());
        let mut stream = retry_transient(|| BlockingUnixStream::connect(socket)).map_err(fault)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(fault)?;
        stream.write_all(protocol::format_request("succeed", None, None).as_bytes()).map_err(fault)?;
        let mut listener = None;
        let mut said: Vec<u8> = Vec::new();
        let mut some = vec![0; 64 << 10];
        while !said.contains(&b'\n') {
            let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut some)];
            let got = match recvmsg(&stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC) {
                // A signal; what it asks for is done once the loop runs.
                Err(Errno::INTR) => continue,
                other => other.map_err(|e| fault(e.into()))?.bytes,
            };
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(sockets) = message {
                    listener = sockets.map(std::net::TcpListener::from).last().or(listener);
                }
            }
            if got == 0 || said.len() > MOST_HANDED {
                return Err(format!("{}: it hung up before it had handed on all", socket.display()));
            }
            said.extend_from_slice(&some[..got]);
        }
        let answer = parse_response(socket, String::from_utf8_lossy(&said).trim_end())?;
        let listener = listener.ok_or_else(|| format!("{}: it handed on no socket", socket.display()))?;
        let (stream, socket) = (BufReader::new(stream), socket.to_owned());
        Ok(Predecessor { stream, socket, listener, handover_state: answer["handed"].clone() })
    }

    /// Tells it that its place is taken; once that is answered it accepts no more.
    ///
    /// # Errors
    ///
    /// One line that names the socket: the process has gone, or has been told to stop meanwhile.
    pub fn confirm_takeover(
        mut self,
        seconds: Option<f64>,
    ) -> Result<(std::net::TcpListener, BlockingUnixStream), String> {
        let fault = |e: io::Error| format!("{}: {e}", self.socket.display());
        self.stream
            .get_mut()
            .write_all(protocol::format_request("succeeded", seconds, None).as_bytes())
            .map_err(fault)?;
        let mut line = String::new();
        self.stream.read_line(&mut line).map_err(fault)?;
        parse_response(&self.socket, &line)?;
        Ok((self.listener, self.stream.into_inner()))
    }
}

/// A predecessor that still sends its clients away, as the loop follows it: its end closes the connection.
pub struct RetiringPredecessor {
    stream: UnixStream,
    /// What is still to be written.
    waiting: Vec<u8>,
}

impl RetiringPredecessor {
    /// Follows it on the connection on which its place was taken.
    ///
    /// # Errors
    ///
    /// The connection can't be watched.
    pub fn follow(stream: BlockingUnixStream, registry: &Registry, token: Token) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(stream);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(RetiringPredecessor { stream, waiting: Vec::new() })
    }

    /// Tells it to stop in the time that a signal leaves.
    pub fn stop(&mut self) {
        self.waiting.extend_from_slice(protocol::format_request("stop", None, None).as_bytes());
        self.flush();
    }

    /// Writes what waits, until the socket takes no more.
    pub fn flush(&mut self) {
        while !self.waiting.is_empty() {
            match self.stream.write(&self.waiting) {
                Ok(written) if written > 0 => _ = self.waiting.drain(..written),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // It has ended; the read finds that.
                _ => return self.waiting.clear(),
            }
        }
    }

    /// Whether the process has ended. Its answers change nothing here.
    pub fn has_ended(&mut self) -> bool {
        let mut answer = [0; 1024];
        loop {
            match self.stream.read(&mut answer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}
