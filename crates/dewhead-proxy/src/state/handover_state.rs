//! The state that a process hands over to its successor, as JSON: the server list as discovery wrote it, what was
//! learned about each server, and how old that is.

use super::hold_down::handed_over::WithdrawnServer;
use super::set_up_latency::{SetUpLatency, TypeMeans};
use crate::wire::server_list::ListVersion;
use dewhead::snapshot::ServerSnapshot;
use dewhead::types::ServerState;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Version of the JSON form. A successor ignores any other version and then starts from the list in its configuration
/// (key `known`) alone.
pub const FORMAT_VERSION: u64 = 2;

/// The text of each entry of the server list, by host name. An entry is removed when the list marks its server as gone
/// or no longer names it. Kept as text, since parsed JSON trees took two thirds of all the memory that a proxy uses for
/// a server.
#[derive(Default)]
pub struct RawEntries(BTreeMap<String, Box<str>>);

impl RawEntries {
    /// Applies a version of the list and moves the texts of its entries out of it. `whole`: the version is the full
    /// list, not a change.
    pub fn apply(&mut self, whole: bool, version: &mut ListVersion) {
        if whole {
            self.0.clear();
        }
        for ((host, text), entry) in version.raw_entries.drain(..).zip(&version.entries) {
            if entry.server.state == ServerState::Gone {
                self.0.remove(&host);
            } else {
                self.0.insert(host, text);
            }
        }
    }

    /// The text of a server's entry, by host name.
    pub fn text(&self, host: &str) -> Option<&str> {
        self.0.get(host).map(|text| &**text)
    }

    /// The full list under this version number, in discovery's form.
    pub fn to_list(&self, version: u64) -> Value {
        let hosts: Vec<Value> = self.0.values().filter_map(|text| serde_json::from_str(text).ok()).collect();
        json!({"seq": version, "whole": true, "hosts": hosts})
    }
}

fn set_up_latency_json(latency: &SetUpLatency, now: f64) -> Value {
    let (recent, typical, count, last_at) = latency.snapshot();
    json!([recent, typical, count, if count > 0 { now - last_at } else { 0.0 }])
}

fn learned_json(learned: &ServerSnapshot) -> Value {
    json!({"server": learned.server, "started": learned.started, "limit": learned.limit.map(|l| [l.0, l.1]), "carried": learned.peak_load,
           "outcomes": learned.outcomes, "counted": learned.outcome_count, "judged": learned.last_outcome_age})
}

/// What a process hands over of its watch on discovery.
pub struct WatchState {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The server list in discovery's form.
    pub list: Value,
    /// In how many seconds changes count as known that the watch has missed.
    pub known_in: f64,
    /// Whether discovery answers at once or not at all.
    pub answers_at_once: bool,
    /// Whether discovery has confirmed the list, or has had its time for that.
    pub list_confirmed: bool,
    /// The servers that lists which may be behind cannot bring back.
    pub withdrawn: Vec<WithdrawnServer>,
}

/// Encodes the state as of `now`, in seconds since 1970; ages in it are relative to that.
pub fn encode<'a>(
    now: f64,
    watch: WatchState,
    learned: &[ServerSnapshot],
    set_up_latencies: impl Iterator<Item = (u64, &'a SetUpLatency)>,
    type_means: &TypeMeans,
) -> Value {
    let set_up_latencies: Map<String, Value> =
        set_up_latencies.map(|(id, latency)| (id.to_string(), set_up_latency_json(latency, now))).collect();
    json!({"version": FORMAT_VERSION, "at": now, "discovery": watch.discovery.to_string(), "list": watch.list,
           "known_in": watch.known_in, "answers_at_once": watch.answers_at_once, "list_confirmed": watch.list_confirmed,
           "withdrawn": watch.withdrawn, "servers": learned.iter().map(learned_json).collect::<Vec<_>>(),
           "paces": set_up_latencies, "kinds": type_means.snapshot()})
}

/// The state that a predecessor handed over. Entries that can't be parsed are left out, as if they had not been
/// learned.
pub struct HandoverState {
    /// When it was encoded, in seconds since 1970.
    pub encoded_at: f64,
    /// The server list in discovery's form.
    pub list: Value,
    /// In how many seconds from then on changes count as known that its watch has missed; none from a build that does
    /// not tell it.
    pub known_in: Option<f64>,
    /// Whether discovery answers at once or not at all; false from a build that does not tell it.
    pub answers_at_once: bool,
    /// Whether discovery has confirmed the list, or has had its time for that; true from a build that does not tell it.
    pub list_confirmed: bool,
    /// The address of discovery; none from a build that does not tell it.
    pub discovery: Option<SocketAddr>,
    /// The servers that lists which may be behind cannot bring back; none from a build that does not tell them.
    pub withdrawn: Vec<WithdrawnServer>,
    /// What the balancer learned about each server.
    pub servers: Vec<ServerSnapshot>,
    /// By server: the recent mean and the typical mean, both as natural logarithms of seconds, the number of samples,
    /// and the age of the last one in seconds.
    pub set_up_latencies: BTreeMap<u64, (f64, f64, u32, f64)>,
    /// By traffic type and last over all types: the number of samples, and the mean logarithm of their set-up times.
    pub type_means: Vec<(u32, f64)>,
}

fn as_u32(value: &Value) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok())
}

/// Decodes the state; `None` where its version is a different one, or where its time or one of the learned parts is
/// missing.
pub fn decode(encoded: &Value) -> Option<HandoverState> {
    if encoded["version"].as_u64() != Some(FORMAT_VERSION) {
        return None;
    }
    let learned = |value: &Value| {
        let limit = match &value["limit"] {
            Value::Null => None,
            pair => Some((pair[0].as_f64()?, pair[1].as_f64()?)),
        };
        Some(ServerSnapshot {
            server: value["server"].as_u64()?,
            started: value["started"].as_f64(),
            limit,
            peak_load: value["carried"].as_f64()?,
            outcomes: as_u32(&value["outcomes"])?,
            outcome_count: as_u32(&value["counted"])?,
            last_outcome_age: value["judged"].as_f64()?,
        })
    };
    let withdrawn = |value: &Value| WithdrawnServer::deserialize(value).ok();
    let set_up_latency = |(id, value): (&String, &Value)| {
        let (recent, typical, count, last_age) =
            (value[0].as_f64()?, value[1].as_f64()?, as_u32(&value[2])?, value[3].as_f64()?);
        Some((id.parse().ok()?, (recent, typical, count, last_age)))
    };
    let type_mean = |value: &Value| Some((as_u32(&value[0])?, value[1].as_f64()?));
    Some(HandoverState {
        encoded_at: encoded["at"].as_f64()?,
        list: encoded["list"].clone(),
        known_in: encoded["known_in"].as_f64(),
        answers_at_once: encoded["answers_at_once"].as_bool().unwrap_or(false),
        list_confirmed: encoded["list_confirmed"].as_bool().unwrap_or(true),
        discovery: encoded["discovery"].as_str().and_then(|address| address.parse().ok()),
        withdrawn: encoded["withdrawn"].as_array().into_iter().flatten().filter_map(withdrawn).collect(),
        servers: encoded["servers"].as_array()?.iter().filter_map(learned).collect(),
        set_up_latencies: encoded["paces"].as_object()?.iter().filter_map(set_up_latency).collect(),
        type_means: encoded["kinds"]
            .as_array()?
            .iter()
            .map(type_mean)
            .collect::<Option<_>>()
            .unwrap_or_default(),
    })
}
