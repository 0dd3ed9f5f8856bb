//! Splits a byte stream into lines, whatever pieces the bytes arrive in.

/// The longest line, including its line end.
pub const MAX_LINE_BYTES: usize = 4096;
/// How many bytes of a line's start are kept; only these are parsed once a call is established.
const KEPT_BYTES: usize = 32;

/// Finds the line ends in a stream and keeps the start of the line that is not complete yet.
#[derive(Default)]
pub struct LineScanner {
    start: [u8; KEPT_BYTES],
    /// The length of the incomplete line so far, in bytes.
    length: usize,
}

impl LineScanner {
    /// Whether the bytes so far end with a line end, or there are none.
    pub fn is_between_lines(&self) -> bool {
        self.length == 0
    }

    /// Takes further bytes. `on_line` is called for each line that ends in them, with the line's start and the number
    /// of these bytes up to and including its end.
    pub fn feed(&mut self, bytes: &[u8], mut on_line: impl FnMut(&[u8], usize)) {
        let mut offset = 0;
        while let Some(piece) = bytes.get(offset..).filter(|rest| !rest.is_empty()) {
            let end = piece.iter().position(|b| *b == b'\n');
            let piece = &piece[..end.map_or(piece.len(), |e| e + 1)];
            let kept = self.length.min(KEPT_BYTES);
            let added = piece.len().min(KEPT_BYTES - kept);
            self.start[kept..kept + added].copy_from_slice(&piece[..added]);
            self.length += piece.len();
            offset += piece.len();
            if end.is_some() {
                let line_start = &self.start[..self.length.min(KEPT_BYTES)];
                on_line(trim_line_end(line_start), offset);
                self.length = 0;
            }
        }
    }
}

/// The line without its LF or CRLF.
pub fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// The length of the first line including its line end; `None` while it is incomplete.
///
/// # Errors
///
/// The line is longer than `MAX_LINE_BYTES`.
pub fn first_line_end(bytes: &[u8]) -> Result<Option<usize>, &'static str> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') {
        Some(at) => Ok(Some(at + 1)),
        None if bytes.len() >= MAX_LINE_BYTES => Err("a line is too long"),
        None => Ok(None),
    }
}
