//! Asking a running proxy, for `dewhead ctl`.

use super::protocol;
use crate::transient::retry_transient;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// A proxy that says nothing for so long is not waited for.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks, and returns the answer; a fault that the proxy tells is an error.
pub fn send_request(
    socket: &Path,
    action: &str,
    seconds: Option<f64>,
    program: Option<&str>,
) -> Result<Value, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = retry_transient(|| UnixStream::connect(socket)).map_err(fault)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(fault)?;
    stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).map_err(fault)?;
    stream.write_all(protocol::format_request(action, seconds, program).as_bytes()).map_err(fault)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(fault)?;
    parse_response(socket, &line)
}

/// An answer that says well; a fault that the proxy tells is an error.
pub(super) fn parse_response(socket: &Path, line: &str) -> Result<Value, String> {
    let answer: Value = serde_json::from_str(line)
        .map_err(|_| format!("{}: the answer is not understood: '{}'", socket.display(), line.trim_end()))?;
    match answer["version"].as_u64() {
        Some(protocol::VERSION) => {}
        _ => return Err(format!("{}: it speaks another version", socket.display())),
    }
    if answer["ok"] != true {
        return Err(answer["fault"].as_str().unwrap_or("refused, without a reason").to_owned());
    }
    Ok(answer)
}

/// An answer for people: a field a line, lists as tables.
pub fn format_plain_text(answer: &Value) -> String {
    let mut text = String::new();
    for (name, value) in answer.as_object().into_iter().flatten() {
        match value {
            _ if name == "ok" || name == "version" => {}
            Value::Array(rows) => {
                text += &format!("{name}:\n");
                for row in rows {
                    let cells =
                        row.as_object().into_iter().flatten().map(|(n, v)| format!("{n} {}", bare(v)));
                    text += &format!("  {}\n", cells.collect::<Vec<_>>().join("  "));
                }
            }
            value => text += &format!("{name}: {}\n", bare(value)),
        }
    }
    text
}

fn bare(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
