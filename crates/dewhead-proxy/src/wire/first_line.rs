//! The first line of a client's connection: a request to open a connection, or a health check.

use dewhead::types::CallRequest;
use dewhead_startup::KnownNames;
use std::ops::Range;

/// The parameter names that are checked.
const CHECKED_PARAMETERS: [&str; 8] = ["c", "t", "d", "g", "h", "r", "again", "at"];

/// A parsed first line. Ranges are byte ranges within the line, which is forwarded to the server later.
#[derive(Debug)]
pub enum FirstLine {
    /// A health check.
    Ping,
    /// A request to open a connection.
    Open {
        /// The id that the client gave its request.
        id: u64,
        /// The call's parameters.
        request: CallRequest,
        /// The range of the client's waiting time, in milliseconds.
        wait_range: Range<usize>,
        /// The range of the host name of the server that held the connection before, if the client reconnects.
        server_range: Option<Range<usize>>,
    },
}

/// Parses a line with its CRLF. `now` is when it arrived, in seconds; `default_wait` is the waiting time until the
/// line's own one is parsed, in seconds; `groups_enabled` is whether groups are used here. Each parameter in
/// `CHECKED_PARAMETERS` is checked and may appear once; others are ignored, as clients may send more.
///
/// # Errors
///
/// What is wrong with the line, for the log.
pub fn parse_first_line(
    line: &[u8],
    now: f64,
    default_wait: f64,
    names: &KnownNames,
    groups_enabled: bool,
) -> Result<FirstLine, &'static str> {
    // The line is forwarded unchanged, so anything that a server might not read as one line of text is refused here.
    let text = line.strip_suffix(b"\r\n").ok_or("it does not end with CRLF")?;
    let text = std::str::from_utf8(text).map_err(|_| "it is not UTF-8")?;
    if text.contains(char::is_control) {
        return Err("it contains control characters");
    }
    if text == "PING" {
        return Ok(FirstLine::Ping);
    }
    let mut parts = text.split(' ');
    if parts.next() != Some("OPEN") {
        return Err("it begins with neither OPEN nor PING");
    }
    let id = parts.next().filter(|id| id.len() == 16).and_then(hex).ok_or("the id is not 16 hex digits")?;
    parts.next().and_then(hex).ok_or("the key is not hex digits")?;
    let list = parts.next().ok_or("it has no parameter list")?;
    if parts.next().is_some() {
        return Err("it has more than four words");
    }
    let mut request = CallRequest {
        traffic_type: usize::MAX,
        tenant: None,
        deadline: now + default_wait,
        load_hint: None,
        group: None,
    };
    let (mut wait_range, mut server_range, mut seen) = (0..0, None, [false; CHECKED_PARAMETERS.len()]);
    // The parameter list is the last word of the line.
    let mut offset = text.len() - list.len();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or("a parameter has no value")?;
        let value_range = offset + name.len() + 1..offset + pair.len();
        offset = value_range.end + 1;
        if let Some(seen) = CHECKED_PARAMETERS.iter().position(|n| *n == name).map(|n| &mut seen[n]) {
            if std::mem::replace(seen, true) {
                return Err("a parameter appears twice");
            }
        }
        match name {
            "c" => {
                request.traffic_type =
                    index_of(value, &names.traffic_types).ok_or("the traffic type is unknown")?
            }
            "t" => request.tenant = Some(index_of(value, &names.tenants).ok_or("the tenant is unknown")?),
            "d" => {
                let wait_ms = decimal(value).filter(|ms| *ms > 0.0 && *ms <= f64::from(u32::MAX));
                request.deadline = now + wait_ms.ok_or("the waiting time is not a positive number")? / 1000.0;
                wait_range = value_range;
            }
            "g" => {
                let group = hex(value).ok_or("the group is not hex digits")?;
                request.group = Some(group).filter(|_| groups_enabled);
            }
            // In microseconds of work a second, as in LOAD.
            "h" => request.load_hint = Some(decimal(value).ok_or("the load is not a number")? / 1e6),
            "r" | "again" if !["0", "1"].contains(&value) => return Err("a flag is neither 0 nor 1"),
            "at" if value.is_empty() => return Err("the server has no name"),
            "at" => server_range = Some(value_range),
            _ => {}
        }
    }
    match request.traffic_type {
        usize::MAX => Err("the traffic type is missing"),
        _ if wait_range.is_empty() => Err("the waiting time is missing"),
        _ => Ok(FirstLine::Open { id, request, wait_range, server_range }),
    }
}

fn index_of(name: &str, names: &[String]) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Parses hexadecimal digits without a sign.
fn hex(digits: &str) -> Option<u64> {
    let only_digits = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if only_digits {
        u64::from_str_radix(digits, 16).ok()
    } else {
        None
    }
}

/// Parses decimal digits with an optional fraction; signs, exponents and the like are refused.
fn decimal(digits: &str) -> Option<f64> {
    let only_digits = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    digits.parse::<f64>().ok().filter(|f| only_digits && f.is_finite())
}
