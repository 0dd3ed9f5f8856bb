//! What is said on the control socket. Pure functions, with no socket.

use serde_json::{json, Value};

/// The version of requests and answers; one that is not known is refused.
pub const VERSION: u64 = 1;

#[derive(Clone, PartialEq, Debug)]
pub enum Request {
    Status,
    Connections,
    /// Send all clients away over so many seconds, and take no new ones from fronts.
    Drain(Option<f64>),
    Undrain,
    Reload,
    /// Start another process that takes this one's place; from whom that comes, the path of its program.
    Handover(Option<String>),
    /// From that process: to be given the listening socket and what was learned; then that it is ready, and over how
    /// many seconds the standing clients leave.
    TakeOver,
    TakenOver(Option<f64>),
    /// From that process, once it has taken the place: a signal has told it to stop, and so both do.
    Stop,
}

/// The longest time over which a drain can be spread, in seconds.
const LONGEST_SPREAD: f64 = 3600.0;

/// Reads a request; a fault is one line that says what is wrong.
pub fn parse_request(line: &str) -> Result<Request, String> {
    let value: Value = serde_json::from_str(line).map_err(|_| "a request is one line of JSON".to_owned())?;
    let version = value.get("version").and_then(Value::as_u64).unwrap_or(VERSION);
    if version != VERSION {
        return Err(format!("version {version} is not spoken here, {VERSION} is"));
    }
    match value.get("do").and_then(Value::as_str) {
        Some("status") => Ok(Request::Status),
        Some("connections") => Ok(Request::Connections),
        Some("drain") => Ok(Request::Drain(seconds(&value)?)),
        Some("handover") => match value.get("program") {
            None | Some(Value::Null) => Ok(Request::Handover(None)),
            Some(Value::String(path)) => Ok(Request::Handover(Some(path.clone()))),
            Some(_) => Err("field 'program' is not a text".to_owned()),
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

fn seconds(of: &Value) -> Result<Option<f64>, String> {
    match of.get("seconds") {
        None | Some(Value::Null) => Ok(None),
        Some(told) => match told.as_f64().filter(|s| (0.0..=LONGEST_SPREAD).contains(s)) {
            Some(seconds) => Ok(Some(seconds)),
            None => Err(format!("field 'seconds' is not a number from 0 to {LONGEST_SPREAD}")),
        },
    }
}

/// A request as the command line sends it.
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

/// An answer: what was asked for, or what is wrong.
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
