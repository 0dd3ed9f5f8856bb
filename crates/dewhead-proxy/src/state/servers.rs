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

impl ServerRecord {
    /// The record of a server that nothing was measured of yet.
    fn new(entry: &Entry) -> ServerRecord {
        ServerRecord {
            dial: entry.address,
            state: entry.server.state,
            zone: entry.server.zone,
            cell: entry.server.cell,
            weight: entry.server.weight,
            recent_sends: VecDeque::new(),
            started: entry.server.started,
            started_by_wall_clock: entry.started_by_wall_clock,
            set_up_latency: SetUpLatency::default(),
            message_delays: [(0.0, f64::NEG_INFINITY); 2],
            delay_reported_at: f64::NEG_INFINITY,
            slow_reported: false,
        }
    }

    /// Applies a newer entry of the list.
    fn update(&mut self, entry: &Entry) {
        self.state = entry.server.state;
        self.zone = entry.server.zone;
        self.cell = entry.server.cell;
        self.weight = entry.server.weight;
        self.dial = entry.address;
        self.started_by_wall_clock = entry.started_by_wall_clock;
        if self.started != entry.server.started {
            self.started = entry.server.started;
            self.forget_measurements();
        }
    }

    /// Forgets what was measured of a process that has been restarted since.
    fn forget_measurements(&mut self) {
        self.set_up_latency = SetUpLatency::default();
        self.recent_sends.clear();
        self.message_delays = [(0.0, f64::NEG_INFINITY); 2];
    }
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
            let listed_ids: BTreeSet<u64> = entries.iter().map(|entry| entry.server.id).collect();
            gone.extend(self.0.keys().filter(|id| !listed_ids.contains(id)));
        }
        for entry in entries {
            if entry.server.state == ServerState::Gone {
                gone.push(entry.server.id);
            } else {
                self.0.entry(entry.server.id).or_insert_with(|| ServerRecord::new(entry)).update(entry);
            }
        }
        for id in &gone {
            self.0.remove(id);
        }
        gone
    }
}
