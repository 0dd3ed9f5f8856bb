//! Faults of discovery, and how a test delivers them to the reducer.

use super::Harness;
use dewhead_proxy::reducer::Event;

/// The head of a watch in chunks.
pub const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk with an empty line, which discovery writes while nothing changes.
pub const EMPTY_LINE_CHUNK: &[u8] = b"1\r\n\n\r\n";

/// How an open watch ends, or how a request for one fails.
#[derive(Clone)]
pub struct Fault {
    /// The name in messages of failed tests.
    pub name: &'static str,
    /// Whether the connection is established.
    pub connects: bool,
    /// Written `delay` seconds after the request, or when an open watch ends.
    pub bytes: Vec<u8>,
    /// How long after the request the bytes are written, in seconds.
    pub delay: f64,
    /// Written repeatedly after that.
    pub repeated_bytes: Vec<u8>,
    /// Whether the connection is closed or reset after the bytes.
    pub closes: bool,
}

impl Fault {
    /// A fault that writes these bytes at once and nothing after that; the connection stays open.
    pub fn new(name: &'static str, bytes: &[u8]) -> Fault {
        Fault {
            name,
            connects: true,
            bytes: bytes.to_vec(),
            delay: 0.0,
            repeated_bytes: Vec::new(),
            closes: false,
        }
    }
}

/// A chunk that holds a line longer than any that is read.
pub fn too_long_chunk() -> Vec<u8> {
    let size = 5 << 20;
    [format!("{size:x}\r\n").into_bytes(), vec![b' '; size]].concat()
}

/// Delivers bytes of the watch, and its end.
pub fn deliver_fault(harness: &mut Harness, fault: &Fault) {
    if !fault.bytes.is_empty() && harness.watch_open {
        harness.deliver(Event::WatchBytes(&fault.bytes));
    }
    if fault.closes && harness.watch_open {
        harness.deliver(Event::WatchLost);
    }
}
