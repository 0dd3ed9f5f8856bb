//! Client side of the control socket, for `dewhead ctl`.

use super::protocol;
use crate::transient::retry_transient;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Longest wait for a read or write on the control socket of another process.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request and returns the response.
///
/// # Errors
///
/// The fault that the proxy responded with, or one line that names the socket: no process answers there, or its
/// response is not valid.
pub fn send_request(
    socket: &Path,
    action: &str,
    seconds: Option<f64>,
    program: Option<&str>,
) -> Result<Value, String> {
    let error_text = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = retry_transient(|| UnixStream::connect(socket)).map_err(error_text)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(error_text)?;
    stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).map_err(error_text)?;
    stream.write_all(protocol::format_request(action, seconds, program).as_bytes()).map_err(error_text)?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).map_err(error_text)?;
    parse_response(socket, &line)
}

/// Parses a response line. A fault in the response is returned as an error.
pub(super) fn parse_response(socket: &Path, line: &str) -> Result<Value, String> {
    let response: Value = serde_json::from_str(line).map_err(|_| {
        format!("{}: the response is not valid JSON: '{}'", socket.display(), line.trim_end())
    })?;
    match response["version"].as_u64() {
        Some(protocol::VERSION) => {}
        _ => return Err(format!("{}: the response is of another protocol version", socket.display())),
    }
    if response["ok"] != true {
        return Err(response["fault"].as_str().unwrap_or("refused without a reason").to_owned());
    }
    Ok(response)
}

/// Formats a response for people: one field per line, arrays as tables.
pub fn format_plain_text(response: &Value) -> String {
    let mut text = String::new();
    for (name, value) in response.as_object().into_iter().flatten() {
        match value {
            _ if name == "ok" || name == "version" => {}
            Value::Array(rows) => {
                text += &format!("{name}:\n");
                for row in rows {
                    let cells = row
                        .as_object()
                        .into_iter()
                        .flatten()
                        .map(|(n, v)| format!("{n} {}", format_scalar(v)));
                    text += &format!("  {}\n", cells.collect::<Vec<_>>().join("  "));
                }
            }
            value => text += &format!("{name}: {}\n", format_scalar(value)),
        }
    }
    text
}

/// Strings without quotes, other values as JSON.
fn format_scalar(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
