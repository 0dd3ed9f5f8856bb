//! Lines from servers, and the proxy's own answers to clients.

/// The answer to a client's `PING`.
pub const PONG: &[u8] = b"PONG\r\n";
/// Sends an established client away, to connect again.
pub const MOVE: &[u8] = b"MOVE\r\n";
/// The final answer to a call that failed, or to an invalid line.
pub const ERR: &[u8] = b"ERR\r\n";

/// The meaning of a line from a server, by its first word.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ServerMessage {
    /// The call is accepted.
    Up,
    /// The server ends the connection; the call is completed.
    Bye,
    /// The server sends the client away, to connect again.
    Move,
    /// The server is full.
    Busy,
    /// The connection's load, in standard cores.
    Load(f64),
    /// Any other line; it is passed on.
    Other,
}

/// Parses a server's line, of which the first bytes are enough.
pub fn parse_server_message(line: &[u8]) -> ServerMessage {
    let mut words = line.split(|b| *b == b' ');
    match words.next() {
        Some(b"UP") => ServerMessage::Up,
        Some(b"BYE") => ServerMessage::Bye,
        Some(b"MOVE") => ServerMessage::Move,
        Some(b"BUSY") => ServerMessage::Busy,
        Some(b"LOAD") => {
            let amount = words.next().and_then(|w| std::str::from_utf8(w).ok()?.parse::<f64>().ok());
            match amount.filter(|a| a.is_finite() && *a >= 0.0) {
                // On the wire in millionths of a core, which is microseconds of work a second.
                Some(amount) => ServerMessage::Load(amount / 1e6),
                None => ServerMessage::Other,
            }
        }
        _ => ServerMessage::Other,
    }
}

/// The answer that rejects a call; `retry_after` is how long the client should wait, in seconds.
pub fn busy(retry_after: Option<f64>) -> Vec<u8> {
    match retry_after {
        Some(seconds) => format!("BUSY {}\r\n", (seconds * 1000.0).ceil()).into_bytes(),
        None => b"BUSY\r\n".to_vec(),
    }
}
