//! Requests and responses of the control socket, parsed and formatted without I/O.

use serde_json::{json, Value};

/// Version of the protocol. Requests of another version are refused.
pub const VERSION: u64 = 1;

/// A request, given by the text in its field `do`.
#[derive(Clone, PartialEq, Debug)]
pub enum Request {
    /// `status`: the stage, the counters and the server list.
    Status,
    /// `connections`: the open sessions, up to 1000 of them.
    Connections,
    /// `drain`: move all clients away over this time in seconds, and leave `PING` unanswered, so that front-end load
    /// balancers send no new ones. If no time is given, a default applies, as it does for `TakenOver`.
    Drain(Option<f64>),
    /// `undrain`: end the drain.
    Undrain,
    /// `reload`: read the configuration again.
    Reload,
    /// `handover`: start a successor, from the program at this path; if none, from this process's program.
    Handover(Option<String>),
    /// `succeed`, from a successor: send the listening socket and the learned state.
    TakeOver,
    /// `succeeded`, from the successor: it is ready. This process moves its clients away over this time in seconds.
    TakenOver(Option<f64>),
    /// `stop`, from the successor after it has taken over: it received a signal to stop, and this process stops, too.
    Stop,
}

/// Longest time over which clients can be moved away, in seconds.
const MAX_SPREAD_SECONDS: f64 = 3600.0;

/// Parses a request line.
///
/// # Errors
///
/// One line that says what is wrong with the request.
pub fn parse_request(line: &str) -> Result<Request, String> {
    let value: Value =
        serde_json::from_str(line).map_err(|_| "a request must be one line of JSON".to_owned())?;
    let version = value.get("version").and_then(Value::as_u64).unwrap_or(VERSION);
    if version != VERSION {
        return Err(format!("version {version} is not supported, only {VERSION}"));
    }
    match value.get("do").and_then(Value::as_str) {
        Some("status") => Ok(Request::Status),
        Some("connections") => Ok(Request::Connections),
        Some("drain") => Ok(Request::Drain(seconds(&value)?)),
        Some("handover") => match value.get("program") {
            None | Some(Value::Null) => Ok(Request::Handover(None)),
            Some(Value::String(path)) => Ok(Request::Handover(Some(path.clone()))),
            Some(_) => Err("field 'program' is not a string".to_owned()),
        },
        Some("succeed") => Ok(Request::TakeOver),
        Some("succeeded") => Ok(Request::TakenOver(seconds(&value)?)),
        Some("stop") => Ok(Request::Stop),
        Some("undrain") => Ok(Request::Undrain),
        Some("reload") => Ok(Request::Reload),
        Some(other) => Err(format!("field 'do' names unknown '{other}'")),
        None => Err("field 'do' is missing".to_owned()),
    }
}

/// Reads the optional field `seconds`.
fn seconds(request: &Value) -> Result<Option<f64>, String> {
    match request.get("seconds") {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_f64().filter(|s| (0.0..=MAX_SPREAD_SECONDS).contains(s)) {
            Some(seconds) => Ok(Some(seconds)),
            None => Err(format!("field 'seconds' is not a number from 0 to {MAX_SPREAD_SECONDS}")),
        },
    }
}

/// Formats a request line.
pub fn format_request(action: &str, seconds: Option<f64>, program: Option<&str>) -> String {
    let mut value = json!({"version": VERSION, "do": action});
    if let Some(seconds) = seconds {
        value["seconds"] = seconds.into();
    }
    if let Some(program) = program {
        value["program"] = program.into();
    }
    format!("{value}\n")
}

/// Formats a response line: the result with `ok: true`, or the fault with `ok: false`.
pub fn format_response(outcome: Result<Value, String>) -> String {
    let mut value = match outcome {
        Ok(value) => value,
        Err(fault) => return format!("{}\n", json!({"version": VERSION, "ok": false, "fault": fault})),
    };
    if let Some(fields) = value.as_object_mut() {
        fields.insert("version".into(), VERSION.into());
        fields.insert("ok".into(), true.into());
    }
    format!("{value}\n")
}
