//! Servers as the list names them: where each is reached, and how long a message takes there.

use super::set_up_latency::SetUpLatency;
use crate::wire::server_list::Entry;
use dewhead::types::ServerState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

pub struct ServerRecord {
    pub dial: Option<SocketAddr>,
    pub state: ServerState,
    pub zone: usize,
    pub cell: u64,
    pub weight: f64,
    /// When requests were sent there in the last window, while it is in slow start.
    pub recent_sends: VecDeque<f64>,
    pub started: Option<f64>,
    /// The same as discovery tells it, by the wall clock.
    pub started_by_wall_clock: Option<f64>,
    pub set_up_latency: SetUpLatency,
    /// What a message takes here, by its lines and by its set-ups, and when each sign was last seen.
    pub message_delays: [(f64, f64); 2],
    /// When the module was last told of slow messages here, and whether they still were.
    pub delay_reported_at: f64,
    pub slow_reported: bool,
}

/// By the module's number; an entry goes when the list says gone or names it no more.
#[derive(Default)]
pub struct Servers(pub BTreeMap<u64, ServerRecord>);

impl Servers {
    /// Follows the list; returns the servers that have left it.
    pub fn apply(&mut self, whole: bool, entries: &[Entry]) -> Vec<u64> {
        let mut gone = Vec::new();
        if whole {
            let named: BTreeSet<u64> = entries.iter().map(|(l, _)| l.id).collect();
            gone.extend(self.0.keys().filter(|id| !named.contains(id)));
        }
        for (listed, dial) in entries {
            if listed.state == ServerState::Gone {
                gone.push(listed.id);
                continue;
            }
            let fresh = ServerRecord {
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
            let address = self.0.entry(listed.id).or_insert(fresh);
            (address.state, address.zone, address.cell) = (listed.state, listed.zone, listed.cell);
            address.weight = listed.weight;
            address.dial = *dial;
            if address.started != listed.started {
                // A process that started anew has a pace of its own.
                address.started = listed.started;
                address.set_up_latency = SetUpLatency::default();
                address.recent_sends.clear();
                address.message_delays = [(0.0, f64::NEG_INFINITY); 2];
            }
        }
        for id in &gone {
            self.0.remove(id);
        }
        gone
    }
}
