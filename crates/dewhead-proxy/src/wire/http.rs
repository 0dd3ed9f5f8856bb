//! Discovery's watch: an HTTP answer that stays open, its chunks cut anywhere, one JSON object a line.

/// The longest line of a watch; a longer one is a fault. An entry takes about 140 bytes and, once read, a kilobyte or so, and
/// the smallest proxy has 32 MB: as many servers as one can hold have room in a line, and the line in it.
const MAX_LINE_BYTES: usize = 4 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The request for all changes since a version.
pub fn watch_request(host: &str, since: u64) -> Vec<u8> {
    format!(
        "GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
    .into_bytes()
}

pub const LINE_TOO_LONG: &str = "a line is longer than 4 MiB; the list held is kept";
/// The fault of an answer that serves nothing.
pub const STATUS_NOT_OK: &str = "it did not answer 200";

enum Body {
    Head,
    /// Before a chunk's size; then so many bytes of it are left.
    Size,
    Chunk(usize),
    /// The line end behind a chunk, so many bytes of it left.
    Behind(usize),
    /// No chunks: all that comes.
    Plain,
}

/// Bytes of the answer that are not yet a line; both buffers go with the watch.
pub struct WatchResponse {
    raw: Vec<u8>,
    line: Vec<u8>,
    body: Body,
}

impl Default for WatchResponse {
    fn default() -> WatchResponse {
        WatchResponse { raw: Vec::new(), line: Vec::new(), body: Body::Head }
    }
}

impl WatchResponse {
    /// Takes further bytes; `seen` is told each whole line, empty ones too. False: the answer is at its end.
    pub fn feed(&mut self, bytes: &[u8], mut seen: impl FnMut(&[u8])) -> Result<bool, &'static str> {
        self.raw.extend_from_slice(bytes);
        let raw = std::mem::take(&mut self.raw);
        let mut rest = &raw[..];
        let more = loop {
            match self.body {
                Body::Head => match head(rest)? {
                    Some((length, chunked)) => {
                        rest = &rest[length..];
                        self.body = if chunked { Body::Size } else { Body::Plain };
                    }
                    None if rest.len() > MAX_HEAD_BYTES => return Err("its head is too long"),
                    None => break true,
                },
                Body::Size => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((_, 0))) => break false,
                    Ok(httparse::Status::Complete((used, size))) => {
                        rest = &rest[used..];
                        self.body = Body::Chunk(usize::try_from(size).map_err(|_| "a chunk is too long")?);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < 64 => break true,
                    _ => return Err("a chunk has no size"),
                },
                Body::Chunk(left) => {
                    let piece = &rest[..left.min(rest.len())];
                    rest = &rest[piece.len()..];
                    self.lines(piece, &mut seen)?;
                    if piece.len() < left {
                        self.body = Body::Chunk(left - piece.len());
                        break true;
                    }
                    self.body = Body::Behind(2);
                }
                Body::Behind(left) => {
                    let piece = &rest[..left.min(rest.len())];
                    if piece.iter().any(|b| !b"\r\n".contains(b)) {
                        return Err("a chunk is longer than its size");
                    }
                    rest = &rest[piece.len()..];
                    if piece.len() < left {
                        self.body = Body::Behind(left - piece.len());
                        break true;
                    }
                    self.body = Body::Size;
                }
                Body::Plain => {
                    self.lines(rest, &mut seen)?;
                    rest = &[];
                    break true;
                }
            }
        };
        self.raw = rest.to_vec();
        Ok(more)
    }

    fn lines(&mut self, bytes: &[u8], seen: &mut impl FnMut(&[u8])) -> Result<(), &'static str> {
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if self.line.len() + piece.len() > MAX_LINE_BYTES {
                return Err(LINE_TOO_LONG);
            }
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                seen(super::lines::trim_line_end(&line));
            }
        }
        Ok(())
    }
}

/// How long the head is, and whether chunks follow.
fn head(bytes: &[u8]) -> Result<Option<(usize, bool)>, &'static str> {
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut fields);
    match answer.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            if answer.code != Some(200) {
                return Err(STATUS_NOT_OK);
            }
            let chunked = answer.headers.iter().any(|h| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    && h.value.trim_ascii().eq_ignore_ascii_case(b"chunked")
            });
            Ok(Some((length, chunked)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err("its head is no HTTP"),
    }
}
