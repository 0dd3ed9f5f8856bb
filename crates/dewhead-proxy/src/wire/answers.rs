//! What servers answer, and what clients are answered.

pub const PONG: &[u8] = b"PONG\r\n";
pub const MOVE: &[u8] = b"MOVE\r\n";
pub const ERR: &[u8] = b"ERR\r\n";

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ServerMessage {
    Up,
    Bye,
    Move,
    Busy,
    /// The connection's load, in standard cores.
    Load(f64),
    Other,
}

/// What a server's line says, told by its start.
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
                // Told in millionths of a core: microseconds of work a second.
                Some(amount) => ServerMessage::Load(amount / 1e6),
                None => ServerMessage::Other,
            }
        }
        _ => ServerMessage::Other,
    }
}

/// A reject; `stay_away` is how long the client is asked to wait, in seconds.
pub fn busy(stay_away: Option<f64>) -> Vec<u8> {
    match stay_away {
        Some(wait) => format!("BUSY {}\r\n", (wait * 1000.0).ceil()).into_bytes(),
        None => b"BUSY\r\n".to_vec(),
    }
}
