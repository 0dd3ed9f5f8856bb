//! The line that a client's connection begins with.

use dewhead::types::CallRequest;
use dewhead_startup::Known;
use std::ops::Range;

/// The names that we know.
const NAMES: [&str; 8] = ["c", "t", "d", "g", "h", "r", "again", "at"];

/// What a connection begins with. Places are places in its line, which is kept and written out again.
#[derive(Debug)]
pub enum FirstLine {
    Ping,
    Open {
        /// The client's name for its request.
        id: u64,
        wanted: CallRequest,
        /// Where the client's waiting time stands.
        wait_range: Range<usize>,
        /// Where the name of the server stands that holds the connection already.
        server_range: Option<Range<usize>>,
    },
}

/// Reads the line in place. `now` is when it came; `longest` is how long a client waits that does not say. Each name
/// that we know is checked, and may come once; others pass, as clients may send further figures.
pub fn parse_first_line(
    line: &[u8],
    now: f64,
    longest: f64,
    known: &Known,
    groups: bool,
) -> Result<FirstLine, &'static str> {
    // It goes on as it came: what a server would not take for one line of text must not get that far.
    let text = line.strip_suffix(b"\r\n").ok_or("it does not end with CRLF")?;
    let text = std::str::from_utf8(text).map_err(|_| "not text")?;
    if text.contains(char::is_control) {
        return Err("control characters");
    }
    if text == "PING" {
        return Ok(FirstLine::Ping);
    }
    let mut parts = text.split(' ');
    if parts.next() != Some("OPEN") {
        return Err("neither OPEN nor PING");
    }
    let id = parts.next().filter(|id| id.len() == 16).and_then(hex).ok_or("the id is not 16 hex digits")?;
    parts.next().and_then(hex).ok_or("the key is not hex digits")?;
    let list = parts.next().ok_or("no list of names and values")?;
    if parts.next().is_some() {
        return Err("not four words");
    }
    let mut wanted = CallRequest {
        traffic_type: usize::MAX,
        tenant: None,
        deadline: now + longest,
        load_hint: None,
        group: None,
    };
    let (mut wait_range, mut server_range, mut seen) = (0..0, None, [false; NAMES.len()]);
    // The list is the line's last word.
    let mut at = text.len() - list.len();
    for pair in list.split(',') {
        let (name, value) = pair.split_once('=').ok_or("a name without a value")?;
        let place = at + name.len() + 1..at + pair.len();
        at = place.end + 1;
        if let Some(seen) = NAMES.iter().position(|n| *n == name).map(|n| &mut seen[n]) {
            if std::mem::replace(seen, true) {
                return Err("a name that comes twice");
            }
        }
        match name {
            "c" => wanted.traffic_type = place_of(value, &known.traffic).ok_or("an unknown traffic type")?,
            "t" => wanted.tenant = Some(place_of(value, &known.shops).ok_or("an unknown shop")?),
            "d" => {
                let within = figure(value).filter(|ms| *ms > 0.0 && *ms <= f64::from(u32::MAX));
                wanted.deadline = now + within.ok_or("a waiting time that is no number")? / 1000.0;
                wait_range = place;
            }
            "g" => {
                let group = hex(value).ok_or("a group that is not hex digits")?;
                wanted.group = Some(group).filter(|_| groups);
            }
            // Microseconds of work a second, as LOAD has it.
            "h" => wanted.load_hint = Some(figure(value).ok_or("a load that is no number")? / 1e6),
            "r" | "again" if !["0", "1"].contains(&value) => return Err("a mark that is neither 0 nor 1"),
            "at" if value.is_empty() => return Err("no server named"),
            "at" => server_range = Some(place),
            _ => {}
        }
    }
    match wanted.traffic_type {
        usize::MAX => Err("no traffic type"),
        _ if wait_range.is_empty() => Err("no waiting time"),
        _ => Ok(FirstLine::Open { id, wanted, wait_range, server_range }),
    }
}

fn place_of(name: &str, names: &[String]) -> Option<usize> {
    names.iter().position(|n| n == name)
}

fn hex(digits: &str) -> Option<u64> {
    let all = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if all {
        u64::from_str_radix(digits, 16).ok()
    } else {
        None
    }
}

/// Digits, with a fraction perhaps; what else a number may look like, clients do not send.
fn figure(digits: &str) -> Option<f64> {
    let plain = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    digits.parse::<f64>().ok().filter(|f| plain && f.is_finite())
}
