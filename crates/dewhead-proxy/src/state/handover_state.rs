//! What is known of the servers, in the form in which it is handed on: the list as discovery wrote it, what each server
//! has shown, and how old that is.

use super::set_up_latency::{SetUpLatency, TypeMeans};
use crate::wire::server_list::ListVersion;
use dewhead::snapshot::ServerSnapshot;
use dewhead::types::ServerState;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// The version of what is handed on. Another one is not read: a successor then starts from the list alone.
pub const FORMAT_VERSION: u64 = 2;

/// The list's entries as they were written, by host; one leaves when the list says gone or names it no more. As trees they
/// took two thirds of all that a proxy holds for a server.
#[derive(Default)]
pub struct RawEntries(BTreeMap<String, Box<str>>);

impl RawEntries {
    pub fn apply(&mut self, whole: bool, version: &mut ListVersion) {
        if whole {
            self.0.clear();
        }
        for ((host, text), (listed, _)) in version.raw_entries.drain(..).zip(&version.entries) {
            if listed.state == ServerState::Gone {
                self.0.remove(&host);
            } else {
                self.0.insert(host, text);
            }
        }
    }

    /// The whole list, in discovery's form.
    pub fn to_list(&self, version: u64) -> Value {
        let hosts: Vec<Value> = self.0.values().filter_map(|text| serde_json::from_str(text).ok()).collect();
        json!({"seq": version, "whole": true, "hosts": hosts})
    }
}

fn pace(pace: &SetUpLatency, now: f64) -> Value {
    let (recent, usual, seen, at) = pace.snapshot();
    json!([recent, usual, seen, if seen > 0 { now - at } else { 0.0 }])
}

fn learned(one: &ServerSnapshot) -> Value {
    json!({"server": one.server, "started": one.started, "limit": one.limit.map(|l| [l.0, l.1]), "carried": one.peak_load,
           "outcomes": one.outcomes, "counted": one.outcome_count, "judged": one.last_outcome_age})
}

/// All of it, as of `now` on the Unix clock.
pub fn encode<'a>(
    now: f64,
    list: Value,
    balancer: &[ServerSnapshot],
    paces: impl Iterator<Item = (u64, &'a SetUpLatency)>,
    kinds: &TypeMeans,
) -> Value {
    let paces: Map<String, Value> = paces.map(|(id, one)| (id.to_string(), pace(one, now))).collect();
    json!({"version": FORMAT_VERSION, "at": now, "list": list, "servers": balancer.iter().map(learned).collect::<Vec<_>>(),
           "paces": paces, "kinds": kinds.snapshot()})
}

/// What another has handed on. Anything that makes no sense is left out, as if it had not been learned.
pub struct HandoverState {
    pub encoded_at: f64,
    pub list: Value,
    pub servers: Vec<ServerSnapshot>,
    pub set_up_latencies: BTreeMap<u64, (f64, f64, u32, f64)>,
    pub type_means: Vec<(u32, f64)>,
}

fn whole(value: &Value) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

/// Reads it; none where the version is another.
pub fn decode(told: &Value) -> Option<HandoverState> {
    if told["version"].as_u64() != Some(FORMAT_VERSION) {
        return None;
    }
    let one = |value: &Value| {
        let limit = match &value["limit"] {
            Value::Null => None,
            pair => Some((pair[0].as_f64()?, pair[1].as_f64()?)),
        };
        Some(ServerSnapshot {
            server: value["server"].as_u64()?,
            started: value["started"].as_f64(),
            limit,
            peak_load: value["carried"].as_f64()?,
            outcomes: whole(&value["outcomes"])?,
            outcome_count: whole(&value["counted"])?,
            last_outcome_age: value["judged"].as_f64()?,
        })
    };
    let pace = |(id, value): (&String, &Value)| {
        let figures = (value[0].as_f64()?, value[1].as_f64()?, whole(&value[2])?, value[3].as_f64()?);
        Some((id.parse().ok()?, figures))
    };
    let kind = |value: &Value| Some((whole(&value[0])?, value[1].as_f64()?));
    Some(HandoverState {
        encoded_at: told["at"].as_f64()?,
        list: told["list"].clone(),
        servers: told["servers"].as_array()?.iter().filter_map(one).collect(),
        set_up_latencies: told["paces"].as_object()?.iter().filter_map(pace).collect(),
        type_means: told["kinds"].as_array()?.iter().map(kind).collect::<Option<_>>().unwrap_or_default(),
    })
}
