//! The server's lines on their way to the client. Complete lines are passed on at once. The start of an incomplete line
//! is held back for a short time, so that the client can still be moved away between two lines if the server stops there.

use crate::wire::lines::{LineScanner, MAX_LINE_BYTES};

/// The start of a line is passed on after this many seconds, even if its end is missing: no line may be held back for
/// over a second.
const MAX_HOLD_SECONDS: f64 = 0.9;
/// A server that has sent nothing for this part of `MAX_HOLD_SECONDS` has stopped within the line, rather than being slow.
const STALL_SHARE: f64 = 0.5;

/// What the client is sent of the bytes that a server has sent.
#[derive(Debug, Default, PartialEq)]
pub struct Passed {
    /// Bytes that were held back before; they go first.
    pub held: Vec<u8>,
    /// How many of the new bytes are passed on.
    pub count: usize,
}

/// The incomplete line at the end of the stream.
#[derive(Debug, Default)]
enum Incomplete {
    /// There is none: the last byte ended a line.
    #[default]
    None,
    /// The client has been sent nothing of it.
    Held(Vec<u8>),
    /// The client has been sent all of it that has arrived.
    PassedOn,
}

/// The stream of a server's lines, and what of it is held back.
#[derive(Default)]
pub struct ServerLines {
    scanner: LineScanner,
    incomplete: Incomplete,
    /// When the first byte of the incomplete line arrived, in seconds.
    begun_at: f64,
    /// When the server sent its last bytes, in seconds.
    last_byte_at: f64,
}

impl ServerLines {
    /// Takes bytes from the server. `on_line` is called with the start of each line that ends in them.
    pub fn feed(&mut self, now: f64, bytes: &[u8], mut on_line: impl FnMut(&[u8])) -> Passed {
        self.last_byte_at = now;
        let mut line_end = 0;
        self.scanner.feed(bytes, |line, end| {
            line_end = end;
            on_line(line);
        });
        let mut passed = Passed { held: Vec::new(), count: line_end };
        if line_end > 0 {
            passed.held = self.take_held();
        }
        self.take_incomplete(now, &bytes[line_end..], &mut passed);
        passed
    }

    /// Takes bytes that end no line: holds them back, or adds them to what is passed on.
    fn take_incomplete(&mut self, now: f64, bytes: &[u8], passed: &mut Passed) {
        if bytes.is_empty() {
            return;
        }
        if matches!(self.incomplete, Incomplete::None) {
            self.begun_at = now;
            self.incomplete = Incomplete::Held(Vec::new());
        }
        match &mut self.incomplete {
            Incomplete::Held(held) if held.len() + bytes.len() <= MAX_LINE_BYTES => {
                held.extend_from_slice(bytes)
            }
            _ => {
                passed.held.append(&mut self.pass_on());
                passed.count += bytes.len();
            }
        }
    }

    /// Ends the incomplete line and returns what is held back of it.
    fn take_held(&mut self) -> Vec<u8> {
        match std::mem::take(&mut self.incomplete) {
            Incomplete::Held(held) => held,
            Incomplete::None | Incomplete::PassedOn => Vec::new(),
        }
    }

    /// Returns the bytes that are held back, for the client; those that follow them in the line are no longer held back.
    pub fn pass_on(&mut self) -> Vec<u8> {
        let held = self.take_held();
        if !self.scanner.is_between_lines() {
            self.incomplete = Incomplete::PassedOn;
        }
        held
    }

    /// Forgets the bytes that are held back, as the client is moved away.
    pub fn discard_held(&mut self) {
        if self.is_held() {
            self.incomplete = Incomplete::None;
        }
    }

    /// Whether the client has been sent complete lines only.
    pub fn client_is_between_lines(&self) -> bool {
        !matches!(self.incomplete, Incomplete::PassedOn)
    }

    /// Whether the start of a line is held back.
    pub fn is_held(&self) -> bool {
        matches!(self.incomplete, Incomplete::Held(_))
    }

    /// The bytes that are held back.
    pub fn held(&self) -> &[u8] {
        match &self.incomplete {
            Incomplete::Held(held) => held,
            Incomplete::None | Incomplete::PassedOn => &[],
        }
    }

    /// Until when the start of a line may be held back, in seconds; none if nothing is.
    pub fn held_until(&self) -> Option<f64> {
        self.is_held().then_some(self.begun_at + MAX_HOLD_SECONDS)
    }

    /// Whether the server has stopped within a line.
    pub fn is_stalled(&self, now: f64) -> bool {
        !matches!(self.incomplete, Incomplete::None)
            && now - self.last_byte_at >= STALL_SHARE * MAX_HOLD_SECONDS
    }
}
