//! The list of servers as discovery writes it.

use dewhead::types::{ServerEntry, ServerState};
use dewhead_startup::fields::{array, field, maybe, number, place_in, text, truth, whole, wrong, Outcome};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::net::SocketAddr;

/// The module's number for a server, made of its host name alone: the same at every proxy and after every restart,
/// since the module ranks servers by it. Of 32 bits, two of 7,400 servers shared one with a chance of 0.6%, and a drain of
/// the one was a drain of the other at every proxy at once; of 64, with one of 10^-12.
pub fn server_id(host: &str) -> u64 {
    host.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// An entry, with where to reach the server.
pub type Entry = (ServerEntry, Option<SocketAddr>);

/// One version of the list, as it was written.
#[derive(Deserialize)]
struct RawVersion<'a> {
    seq: Option<Value>,
    whole: Option<Value>,
    #[serde(borrow)]
    hosts: Option<Vec<&'a RawValue>>,
}

/// One version of the list, read: its number, whether it is whole, its entries, and each one's host and text.
pub struct ListVersion {
    pub number: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
    pub raw_entries: Vec<(String, Box<str>)>,
}

impl ListVersion {
    fn assemble<'a>(
        told: &Value,
        hosts: impl Iterator<Item = (Outcome<Value>, &'a str)>,
        zones: &[String],
    ) -> Outcome<ListVersion> {
        let mut version =
            ListVersion { number: 0, whole: false, entries: Vec::new(), raw_entries: Vec::new() };
        for (one, written) in hosts {
            let one = one?;
            version.entries.push(entry(&one, zones)?);
            version.raw_entries.push((text(&one, "host")?.to_owned(), written.into()));
        }
        (version.number, version.whole) = (whole(told, "seq")?, truth(told, "whole")?);
        Ok(version)
    }

    /// Reads a line of the watch, an entry at a time: the whole list as one tree took ten times the line. `None` where it
    /// is no JSON of that form at all.
    pub fn parse(line: &[u8], zones: &[String]) -> Option<Outcome<ListVersion>> {
        let told: RawVersion = serde_json::from_slice(line).ok()?;
        let top = serde_json::json!({"seq": told.seq, "whole": told.whole});
        let Some(hosts) = told.hosts else { return Some(Err("field 'hosts' is missing".into())) };
        let one = |raw: &&'_ RawValue| serde_json::from_str(raw.get()).map_err(|e| e.to_string());
        Some(ListVersion::assemble(&top, hosts.iter().map(|raw| (one(raw), raw.get())), zones))
    }

    /// The same, from a list that was read already.
    pub fn from_json(told: &Value, zones: &[String]) -> Outcome<ListVersion> {
        let hosts = array(told, "hosts")?;
        let texts: Vec<String> = hosts.iter().map(Value::to_string).collect();
        let both = hosts.iter().cloned().map(Ok).zip(texts.iter().map(String::as_str));
        ListVersion::assemble(told, both, zones)
    }
}

/// One version of the list: its number, whether it is whole, and its entries.
pub fn parse_list(told: &Value, zones: &[String]) -> Outcome<(u64, bool, Vec<Entry>)> {
    ListVersion::from_json(told, zones).map(|v| (v.number, v.whole, v.entries))
}

fn entry(one: &Value, zones: &[String]) -> Outcome<Entry> {
    let state = match text(one, "health")? {
        "ready" => ServerState::Ready,
        "draining" => ServerState::Draining,
        "gone" => ServerState::Gone,
        other => return Err(format!("field 'health' names unknown '{other}'")),
    };
    let dial =
        maybe(one, "dial", text)?.map(|d| d.parse().map_err(|_| wrong("dial", "an address with a port")));
    let dial = dial.transpose()?;
    if dial.is_none() && state != ServerState::Gone {
        field(one, "dial")?;
    }
    let listed = ServerEntry {
        id: server_id(text(one, "host")?),
        zone: place_in(one, "site", zones)?,
        cell: maybe(one, "block", whole)?.unwrap_or(0),
        state,
        weight: maybe(one, "share", number)?.unwrap_or(1.0),
        started: maybe(one, "born_ms", number)?.filter(|ms| *ms > 0.0).map(|ms| ms / 1000.0),
    };
    Ok((listed, dial))
}
