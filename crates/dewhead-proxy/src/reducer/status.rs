//! Reports on the state for operators and the final counts. Only the guard's counts and the counters are changed here.

use super::Reducer;
use crate::guard::Violation;
use crate::state::counters::CloseReason;
use crate::state::sessions::SessionStage;
use dewhead::types::ServerState;
use log::info;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The most connections that are listed one by one.
const MAX_LISTED_CONNECTIONS: usize = 1000;

/// The name of a server's state in reports.
fn server_state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Gone => "gone",
    }
}

/// The name of a stage in reports.
fn stage_name(stage: SessionStage) -> &'static str {
    match stage {
        SessionStage::AwaitingFirstLine => "greeting",
        SessionStage::AwaitingServer => "waiting",
        SessionStage::Restoring => "returning",
        SessionStage::Established => "standing",
        SessionStage::Closing => "parting",
    }
}

impl Reducer {
    /// The version of the current list; 0 for none yet.
    pub fn list_version(&self) -> u64 {
        self.watch.version
    }

    /// The counters, the guard's counts and the current list. The uptime is in seconds.
    pub fn status(&self, now: f64) -> Value {
        let mut stages: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, session) in &self.sessions {
            *stages.entry(stage_name(session.stage)).or_default() += 1;
        }
        let mut connections: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, leg) in &self.legs {
            *connections.entry(leg.server).or_default() += 1;
        }
        let ready = self.servers.0.values().filter(|s| s.state == ServerState::Ready).count();
        let servers = self.servers.0.iter().map(|(id, server)| {
            json!({"server": id, "at": server.dial.map(|d| d.to_string()), "state": server_state_name(server.state),
                   "connections": connections.get(id).copied().unwrap_or(0)})
        });
        let violations: BTreeMap<&str, u64> =
            self.guard.counts().map(|(violation, count)| (violation.name(), count)).collect();
        json!({
            "counters": self.counters.to_json(), "violations": violations,
            "sessions": self.sessions.len(), "by_stage": stages, "legs": self.legs.len(),
            "descriptors": self.descriptors.used, "descriptors_most": self.descriptors.limit,
            "accepting": self.descriptors.accepting, "uptime": ((now - self.started_at) * 1e3).round() / 1e3,
            "list_version": self.watch.version, "watch_open": self.watch.response.is_some(),
            "watch_failures": self.watch.schedule.failed_attempts(), "discovery": self.watch.discovery.to_string(),
            "servers_known": self.servers.0.len(), "servers_ready": ready,
            "servers_held_down": self.hold_downs.contradicted_count(),
            "hold_downs": self.hold_downs.count(), "servers": servers.collect::<Vec<_>>()
        })
    }

    /// The number of invariant violations that the guard has found so far.
    pub fn violations(&self) -> u64 {
        self.guard.total()
    }

    /// Records that the process exits before its predecessor, whose clients may not have been moved yet.
    pub fn record_predecessor_left(&mut self) {
        self.guard.record_violation(Violation::EndedBeforePredecessor, &"the predecessor process");
    }

    /// Records the process's end: counts a violation for each client that must still be sent something, and logs all
    /// counts.
    pub fn record_process_end(&mut self) {
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        for key in keys {
            let pending_reply = self.pending_reply_on_close(key, CloseReason::ProcessEnded);
            self.guard.check_close(pending_reply, &self.sessions[key].log_id());
            self.counters.closes.count(CloseReason::ProcessEnded.name());
        }
        info!("final counts: {}, violations {}", self.counters.to_json(), self.guard.total());
    }

    /// Lists the sessions one by one, up to the first thousand.
    pub fn connections(&self) -> Value {
        let entry = |(key, session): (usize, &crate::state::sessions::Session)| {
            let server = session.legs.first().and_then(|(_, leg)| self.legs.get(*leg)).map(|leg| leg.server);
            json!({"slot": key, "stage": stage_name(session.stage), "server": server, "legs": session.legs_sent,
                   "traffic": self.names.traffic_types.get(session.traffic_type)})
        };
        let listed: Vec<Value> = self.sessions.iter().take(MAX_LISTED_CONNECTIONS).map(entry).collect();
        json!({"sessions": self.sessions.len(), "told": listed.len(), "connections": listed})
    }
}
