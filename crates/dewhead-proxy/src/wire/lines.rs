//! LineScanner of a stream whose bytes come cut anywhere.

/// The longest line, with its end.
pub const MAX_LINE_BYTES: usize = 4096;
/// As much of a line's start as is looked at once a call stands.
const START: usize = 32;

#[derive(Default)]
pub struct LineScanner {
    start: [u8; START],
    length: usize,
}

impl LineScanner {
    /// Whether the stream stands between two lines.
    pub fn is_between_lines(&self) -> bool {
        self.length == 0
    }

    /// Goes over further bytes; `seen` is told the start of each line that ends in them, and how many of the bytes
    /// lie up to its end.
    pub fn feed(&mut self, bytes: &[u8], mut seen: impl FnMut(&[u8], usize)) {
        let mut at = 0;
        while let Some(piece) = bytes.get(at..).filter(|rest| !rest.is_empty()) {
            let end = piece.iter().position(|b| *b == b'\n');
            let piece = &piece[..end.map_or(piece.len(), |e| e + 1)];
            let kept = self.length.min(START);
            let more = piece.len().min(START - kept);
            self.start[kept..kept + more].copy_from_slice(&piece[..more]);
            self.length += piece.len();
            at += piece.len();
            if end.is_some() {
                let whole = &self.start[..self.length.min(START)];
                seen(trim_line_end(whole), at);
                self.length = 0;
            }
        }
    }
}

/// The line without its end.
pub fn trim_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

/// Where the first line ends, with its end; an error once it is longer than a line may be.
pub fn first_line_end(bytes: &[u8]) -> Result<Option<usize>, &'static str> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') {
        Some(at) => Ok(Some(at + 1)),
        None if bytes.len() >= MAX_LINE_BYTES => Err("a line is too long"),
        None => Ok(None),
    }
}
