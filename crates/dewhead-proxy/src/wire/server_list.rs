//! Parsing of the server list that discovery writes.

use dewhead::types::{ServerEntry, ServerState};
use dewhead_startup::fields::{
    array, boolean, field, index_in, integer, invalid, number, optional, text, ParseResult,
};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::net::SocketAddr;

/// The id of a server: a 64-bit FNV-1a hash of its host name alone. It is the same at every proxy and after every
/// restart, since the balancer ranks servers by it. With 32 bits, two of 7,400 servers would share an id with a
/// probability of 0.6%, and a drain of one of them would drain the other at every proxy at once; with 64 bits the
/// probability is 10^-12.
pub fn server_id(host: &str) -> u64 {
    host.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Which process of its server an entry tells of.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EntryProcess {
    /// The one that started at the reported time; the latest that is known.
    Latest,
    /// It tells no start, or one long ago, while a later one is known: perhaps the latest.
    Unspecified,
    /// One that started before the latest that is known.
    Earlier,
}

/// An entry of the list.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    /// What the balancer is told of the server. As parsed, the start time is by the wall clock.
    pub server: ServerEntry,
    /// Where to connect. The list gives an address for each server that is not gone.
    pub address: Option<SocketAddr>,
    /// When the server's process started, by the wall clock as discovery reported it, in seconds since 1970; `None` if
    /// long ago.
    pub started_by_wall_clock: Option<f64>,
    /// Which process it tells of, if its start time has been corrected.
    pub process: EntryProcess,
}

/// One version of the list, with its entries still as text.
#[derive(Deserialize)]
struct RawVersion<'a> {
    seq: Option<Value>,
    whole: Option<Value>,
    #[serde(borrow)]
    hosts: Option<Vec<&'a RawValue>>,
}

/// One parsed version of the list.
pub struct ListVersion {
    /// The version number.
    pub number: u64,
    /// Whether it is the full list, not a change.
    pub whole: bool,
    /// The entries that it contains.
    pub entries: Vec<Entry>,
    /// The host name and the text of each entry, in the same order.
    pub raw_entries: Vec<(String, Box<str>)>,
}

impl ListVersion {
    /// `header` holds the number and whether it is the full list; `hosts` holds the entries, each parsed and as text.
    fn assemble<'a>(
        header: &Value,
        hosts: impl Iterator<Item = (ParseResult<Value>, &'a str)>,
        zones: &[String],
    ) -> ParseResult<ListVersion> {
        let mut version =
            ListVersion { number: 0, whole: false, entries: Vec::new(), raw_entries: Vec::new() };
        for (host, raw) in hosts {
            let host = host?;
            version.entries.push(parse_entry(&host, zones)?);
            version.raw_entries.push((text(&host, "host")?.to_owned(), raw.into()));
        }
        (version.number, version.whole) = (integer(header, "seq")?, boolean(header, "whole")?);
        Ok(version)
    }

    /// Parses a line of the watch, entry by entry: the full list as one JSON tree took ten times the memory of the
    /// line. `None` where the line is not JSON of this form at all.
    ///
    /// # Errors
    ///
    /// The field that is missing or invalid.
    pub fn parse(line: &[u8], zones: &[String]) -> Option<ParseResult<ListVersion>> {
        let version: RawVersion = serde_json::from_slice(line).ok()?;
        let header = serde_json::json!({"seq": version.seq, "whole": version.whole});
        let Some(hosts) = version.hosts else { return Some(Err("field 'hosts' is missing".into())) };
        let parse = |raw: &&'_ RawValue| serde_json::from_str(raw.get()).map_err(|e| e.to_string());
        Some(ListVersion::assemble(&header, hosts.iter().map(|raw| (parse(raw), raw.get())), zones))
    }

    /// Corrects the start time of the n-th entry: on the process's clock, and as discovery reports it. Both are in seconds.
    pub fn correct_start(&mut self, n: usize, started: f64, started_by_wall_clock: Option<f64>) {
        let reported = self.entries[n].server.started.replace(started);
        self.entries[n].process =
            if reported.is_some() { EntryProcess::Earlier } else { EntryProcess::Unspecified };
        self.entries[n].started_by_wall_clock = started_by_wall_clock;
        let text = &mut self.raw_entries[n].1;
        if let Ok(mut host) = serde_json::from_str::<Value>(text) {
            host["born_ms"] = started_by_wall_clock.map_or(0.0, |seconds| seconds * 1000.0).into();
            *text = host.to_string().into();
        }
    }

    /// Parses a list that is JSON already.
    ///
    /// # Errors
    ///
    /// The field that is missing or invalid.
    pub fn from_json(list: &Value, zones: &[String]) -> ParseResult<ListVersion> {
        let hosts = array(list, "hosts")?;
        let texts: Vec<String> = hosts.iter().map(Value::to_string).collect();
        let parsed_and_raw = hosts.iter().cloned().map(Ok).zip(texts.iter().map(String::as_str));
        ListVersion::assemble(list, parsed_and_raw, zones)
    }
}

/// Parses one version of the list: its number, whether it is the full list, and its entries.
///
/// # Errors
///
/// The field that is missing or invalid.
pub fn parse_list(list: &Value, zones: &[String]) -> ParseResult<(u64, bool, Vec<Entry>)> {
    ListVersion::from_json(list, zones).map(|v| (v.number, v.whole, v.entries))
}

fn parse_entry(host: &Value, zones: &[String]) -> ParseResult<Entry> {
    let state = match text(host, "health")? {
        "ready" => ServerState::Ready,
        "draining" => ServerState::Draining,
        "gone" => ServerState::Gone,
        other => return Err(format!("field 'health' names unknown '{other}'")),
    };
    let address = optional(host, "dial", text)?
        .map(|d| d.parse().map_err(|_| invalid("dial", "an address with a port")));
    let address = address.transpose()?;
    if address.is_none() && state != ServerState::Gone {
        field(host, "dial")?;
    }
    let server = ServerEntry {
        id: server_id(text(host, "host")?),
        zone: index_in(host, "site", zones)?,
        cell: optional(host, "block", integer)?.unwrap_or(0),
        state,
        weight: optional(host, "share", number)?.unwrap_or(1.0),
        started: optional(host, "born_ms", number)?.filter(|ms| *ms > 0.0).map(|ms| ms / 1000.0),
    };
    Ok(Entry { started_by_wall_clock: server.started, server, address, process: EntryProcess::Latest })
}
