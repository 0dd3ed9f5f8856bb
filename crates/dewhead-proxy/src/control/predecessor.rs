//! The process that this one takes over from: requests its listening socket and its learned state, and watches the
//! connection to it until it ends. It may serve its own clients for another minute. A supervisor may send its stop
//! signal to this process only, which therefore passes it on.

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

/// Longest response with the learned state that is read.
const MAX_HANDOVER_BYTES: usize = 64 << 20;

/// A running process that has sent its listening socket and its learned state. It continues to serve until
/// `confirm_takeover`; if this value is dropped before that, nothing changes there.
pub struct Predecessor {
    stream: BufReader<BlockingUnixStream>,
    socket: PathBuf,
    /// The listening socket, shared with the predecessor.
    pub listener: std::net::TcpListener,
    /// The learned state of the predecessor; null if the response has none.
    pub handover_state: Value,
}

impl Predecessor {
    /// Requests the listening socket and the learned state from the process at this control socket.
    ///
    /// # Errors
    ///
    /// The fault that the process responded with, or one line that names the socket: no process answers there, or the
    /// handover is incomplete.
    pub fn request_handover(socket: &Path) -> Result<Predecessor, String> {
        let error_text = |e: io::Error| format!("{}: {e}", socket.display());
        let mut stream = retry_transient(|| BlockingUnixStream::connect(socket)).map_err(error_text)?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(error_text)?;
        stream.write_all(protocol::format_request("succeed", None, None).as_bytes()).map_err(error_text)?;
        let mut listener = None;
        let mut received: Vec<u8> = Vec::new();
        let mut buffer = vec![0; 64 << 10];
        while !received.contains(&b'\n') {
            let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut buffer)];
            let count = match recvmsg(&stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC) {
                // A signal arrived; its flag is checked once the event loop runs.
                Err(Errno::INTR) => continue,
                other => other.map_err(|e| error_text(e.into()))?.bytes,
            };
            for message in ancillary.drain() {
                if let RecvAncillaryMessage::ScmRights(sockets) = message {
                    listener = sockets.map(std::net::TcpListener::from).last().or(listener);
                }
            }
            if count == 0 || received.len() > MAX_HANDOVER_BYTES {
                return Err(format!("{}: the handover is incomplete or too long", socket.display()));
            }
            received.extend_from_slice(&buffer[..count]);
        }
        let response = parse_response(socket, String::from_utf8_lossy(&received).trim_end())?;
        let listener = listener
            .ok_or_else(|| format!("{}: the handover contains no listening socket", socket.display()))?;
        let (stream, socket) = (BufReader::new(stream), socket.to_owned());
        Ok(Predecessor { stream, socket, listener, handover_state: response["handed"].clone() })
    }

    /// Reports to the predecessor that this process has taken over. Once the predecessor responds, it accepts no more
    /// clients and moves its own away over `seconds`; if none, over its default time. Returns the listening socket and
    /// the connection to the predecessor.
    ///
    /// # Errors
    ///
    /// One line that names the socket if the predecessor has ended; otherwise the fault that it responded with, as it
    /// has received a stop request in the meantime.
    pub fn confirm_takeover(
        mut self,
        seconds: Option<f64>,
    ) -> Result<(std::net::TcpListener, BlockingUnixStream), String> {
        let error_text = |e: io::Error| format!("{}: {e}", self.socket.display());
        self.stream
            .get_mut()
            .write_all(protocol::format_request("succeeded", seconds, None).as_bytes())
            .map_err(error_text)?;
        let mut line = String::new();
        self.stream.read_line(&mut line).map_err(error_text)?;
        parse_response(&self.socket, &line)?;
        Ok((self.listener, self.stream.into_inner()))
    }
}

/// A predecessor that still moves its clients away. The connection to it is closed when it ends.
pub struct RetiringPredecessor {
    stream: UnixStream,
    /// Bytes that are not written yet.
    unsent: Vec<u8>,
}

impl RetiringPredecessor {
    /// Watches the predecessor on the connection over which this process took over.
    ///
    /// # Errors
    ///
    /// The connection can't be registered with the poll.
    pub fn follow(stream: BlockingUnixStream, registry: &Registry, token: Token) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(stream);
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(RetiringPredecessor { stream, unsent: Vec::new() })
    }

    /// Requests the predecessor to stop, within the time that a stop by a signal takes.
    pub fn stop(&mut self) {
        self.unsent.extend_from_slice(protocol::format_request("stop", None, None).as_bytes());
        self.flush();
    }

    /// Writes the unsent bytes, until the socket accepts no more.
    pub fn flush(&mut self) {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(written) if written > 0 => _ = self.unsent.drain(..written),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // The predecessor has ended, which `has_ended` detects by reading.
                _ => return self.unsent.clear(),
            }
        }
    }

    /// Reads and ignores responses. Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let mut response = [0; 1024];
        loop {
            match self.stream.read(&mut response) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}
