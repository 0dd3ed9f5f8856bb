//! The watch on discovery: a long-lived HTTP response with one JSON object per line. Its chunks may be split anywhere.

use std::fmt;

/// The longest line of a watch; a longer one is an error. An entry takes about 140 bytes in the line and about a
/// kilobyte once parsed, and the smallest proxy has 32 MB: a line has room for as many servers as a proxy can hold, and
/// the proxy has room for the line.
const MAX_LINE_BYTES: usize = 4 << 20;
/// The longest response head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// The HTTP request for all changes of the server list since this version.
pub fn watch_request(host: &str, since: u64) -> Vec<u8> {
    format!(
        "GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
    .into_bytes()
}

/// What is wrong with the response of a watch.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ResponseError {
    /// The head is no HTTP response head.
    InvalidHead,
    /// The head is longer than `MAX_HEAD_BYTES`.
    HeadTooLong,
    /// The status is not 200: discovery refuses the request.
    StatusNotOk,
    /// A chunk does not begin with its size.
    InvalidChunkSize,
    /// A chunk's size is larger than memory can be.
    ChunkTooLong,
    /// A chunk holds more bytes than its size says.
    ChunkOverrun,
    /// A line is longer than `MAX_LINE_BYTES`.
    LineTooLong,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponseError::InvalidHead => "the response head is not valid HTTP",
            ResponseError::HeadTooLong => "the response head is too long",
            ResponseError::StatusNotOk => "the HTTP status is not 200",
            ResponseError::InvalidChunkSize => "a chunk has no valid size",
            ResponseError::ChunkTooLong => "a chunk is too long",
            ResponseError::ChunkOverrun => "a chunk is longer than its size",
            ResponseError::LineTooLong => "a line is longer than 4 MiB; the list held is kept",
        })
    }
}

/// The part of the response that is expected next.
enum Expected {
    /// The response head.
    Head,
    /// The line with a chunk's size.
    ChunkSize,
    /// Data of a chunk, with this many bytes left.
    ChunkData(usize),
    /// The line end after a chunk, with this many bytes left.
    ChunkEnd(usize),
    /// Data without chunks, up to the end of the connection.
    Plain,
}

/// Reads the response of a watch; it keeps the bytes that are not a complete line yet.
pub struct WatchResponse {
    /// Bytes not decoded yet: part of the head or of a chunk's size.
    raw: Vec<u8>,
    /// The incomplete line.
    line: Vec<u8>,
    expected: Expected,
}

impl Default for WatchResponse {
    fn default() -> WatchResponse {
        WatchResponse { raw: Vec::new(), line: Vec::new(), expected: Expected::Head }
    }
}

impl WatchResponse {
    /// Whether the response head is complete, and valid.
    pub fn has_head(&self) -> bool {
        !matches!(self.expected, Expected::Head)
    }

    /// Whether a part of a line has arrived, and not its end.
    pub fn has_partial_line(&self) -> bool {
        !self.line.is_empty()
    }

    /// Takes further bytes. `on_line` is called for each complete line, also for empty ones. False: the response is
    /// complete.
    ///
    /// # Errors
    ///
    /// What is wrong with the response.
    pub fn feed(&mut self, bytes: &[u8], mut on_line: impl FnMut(&[u8])) -> Result<bool, ResponseError> {
        self.raw.extend_from_slice(bytes);
        let raw = std::mem::take(&mut self.raw);
        let mut rest = &raw[..];
        let more = loop {
            match self.expected {
                Expected::Head => match parse_head(rest)? {
                    Some((length, chunked)) => {
                        rest = &rest[length..];
                        self.expected = if chunked { Expected::ChunkSize } else { Expected::Plain };
                    }
                    None if rest.len() > MAX_HEAD_BYTES => return Err(ResponseError::HeadTooLong),
                    None => break true,
                },
                Expected::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((_, 0))) => break false,
                    Ok(httparse::Status::Complete((used, size))) => {
                        rest = &rest[used..];
                        self.expected = Expected::ChunkData(
                            usize::try_from(size).map_err(|_| ResponseError::ChunkTooLong)?,
                        );
                    }
                    Ok(httparse::Status::Partial) if rest.len() < 64 => break true,
                    _ => return Err(ResponseError::InvalidChunkSize),
                },
                Expected::ChunkData(left) => {
                    let piece = &rest[..left.min(rest.len())];
                    rest = &rest[piece.len()..];
                    self.lines(piece, &mut on_line)?;
                    if piece.len() < left {
                        self.expected = Expected::ChunkData(left - piece.len());
                        break true;
                    }
                    self.expected = Expected::ChunkEnd(2);
                }
                Expected::ChunkEnd(left) => {
                    let piece = &rest[..left.min(rest.len())];
                    if piece.iter().any(|b| !b"\r\n".contains(b)) {
                        return Err(ResponseError::ChunkOverrun);
                    }
                    rest = &rest[piece.len()..];
                    if piece.len() < left {
                        self.expected = Expected::ChunkEnd(left - piece.len());
                        break true;
                    }
                    self.expected = Expected::ChunkSize;
                }
                Expected::Plain => {
                    self.lines(rest, &mut on_line)?;
                    rest = &[];
                    break true;
                }
            }
        };
        self.raw = rest.to_vec();
        Ok(more)
    }

    /// Takes decoded bytes and calls `on_line` for each complete line.
    fn lines(&mut self, bytes: &[u8], on_line: &mut impl FnMut(&[u8])) -> Result<(), ResponseError> {
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if self.line.len() + piece.len() > MAX_LINE_BYTES {
                return Err(ResponseError::LineTooLong);
            }
            self.line.extend_from_slice(piece);
            if piece.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                on_line(super::lines::trim_line_end(&line));
            }
        }
        Ok(())
    }
}

/// The length of the response head, and whether the body is chunked; `None` while the head is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, bool)>, ResponseError> {
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut fields);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            if response.code != Some(200) {
                return Err(ResponseError::StatusNotOk);
            }
            let chunked = response.headers.iter().any(|h| {
                h.name.eq_ignore_ascii_case("transfer-encoding")
                    && h.value.trim_ascii().eq_ignore_ascii_case(b"chunked")
            });
            Ok(Some((length, chunked)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ResponseError::InvalidHead),
    }
}
