//! The servers of the list: their addresses, states and measured delays.

use super::set_up_latency::SetUpLatency;
use crate::wire::server_list::Entry;
use dewhead::types::ServerState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// What is kept for one server of the list.
pub struct ServerRecord {
    /// Where to connect. The list gives an address for each server that is not gone.
    pub dial: Option<SocketAddr>,
    /// Its state in the list.
    pub state: ServerState,
    /// Index of the zone.
    pub zone: usize,
    /// Number of the cell within the zone.
    pub cell: u64,
    /// Its weight in the list.
    pub weight: f64,
    /// When requests were sent within the last slow-start window, in seconds; filled only while the server is in slow
    /// start.
    pub recent_sends: VecDeque<f64>,
    /// When its process started, in seconds on this process's clock.
    pub started: Option<f64>,
    /// The same by the wall clock, as discovery reported it.
    pub started_by_wall_clock: Option<f64>,
    /// Statistics of its set-up times.
    pub set_up_latency: SetUpLatency,
    /// How long a message takes here, estimated from lines and from set-ups, and when each estimate was made; in
    /// seconds.
    pub message_delays: [(f64, f64); 2],
    /// When the message delay was last reported to the balancer, in seconds.
    pub delay_reported_at: f64,
    /// Whether messages were slow in that report.
    pub slow_reported: bool,
}

/// The listed servers by id. A server is removed when the list marks it as gone or no longer names it.
#[derive(Default)]
pub struct Servers(pub BTreeMap<u64, ServerRecord>);

impl Servers {
    /// Applies a version of the list and returns the servers that it removes. `whole`: the version is the full list,
    /// not a change.
    pub fn apply(&mut self, whole: bool, entries: &[Entry]) -> Vec<u64> {
        let mut gone = Vec::new();
        if whole {
            let listed_ids: BTreeSet<u64> = entries.iter().map(|(l, _)| l.id).collect();
            gone.extend(self.0.keys().filter(|id| !listed_ids.contains(id)));
        }
        for (listed, dial) in entries {
            if listed.state == ServerState::Gone {
                gone.push(listed.id);
                continue;
            }
            let new_record = ServerRecord {
                dial: None,
                state: listed.state,
                zone: listed.zone,
                cell: listed.cell,
                weight: listed.weight,
                recent_sends: VecDeque::new(),
                started: listed.started,
                started_by_wall_clock: None,
                set_up_latency: SetUpLatency::default(),
                message_delays: [(0.0, f64::NEG_INFINITY); 2],
                delay_reported_at: f64::NEG_INFINITY,
                slow_reported: false,
            };
            let record = self.0.entry(listed.id).or_insert(new_record);
            (record.state, record.zone, record.cell) = (listed.state, listed.zone, listed.cell);
            record.weight = listed.weight;
            record.dial = *dial;
            if record.started != listed.started {
                // The process was restarted, and nothing measured before applies to it.
                record.started = listed.started;
                record.set_up_latency = SetUpLatency::default();
                record.recent_sends.clear();
                record.message_delays = [(0.0, f64::NEG_INFINITY); 2];
            }
        }
        for id in &gone {
            self.0.remove(id);
        }
        gone
    }
}
