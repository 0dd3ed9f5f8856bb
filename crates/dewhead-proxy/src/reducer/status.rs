//! What operators are told of the state; nothing is changed here.

use super::Reducer;
use crate::guard::Violation;
use crate::state::counters::CloseReason;
use crate::state::sessions::SessionStage;
use dewhead::terms::State;
use log::info;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// So many connections are told one by one at the most.
const TOLD: usize = 1000;

fn name(stage: SessionStage) -> &'static str {
    match stage {
        SessionStage::AwaitingFirstLine => "greeting",
        SessionStage::AwaitingServer => "waiting",
        SessionStage::Restoring => "returning",
        SessionStage::Established => "standing",
        SessionStage::Closing => "parting",
    }
}

impl Reducer {
    /// The version of the list that is held; 0 for none yet.
    pub fn list_version(&self) -> u64 {
        self.watch.version
    }

    /// Counts, and the list as it is held. Ages are seconds.
    pub fn status(&self, now: f64) -> Value {
        let mut stages: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, session) in &self.sessions {
            *stages.entry(name(session.stage)).or_default() += 1;
        }
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        for (_, leg) in &self.legs {
            *held.entry(leg.server).or_default() += 1;
        }
        let ready = self.servers.0.values().filter(|s| s.state == State::Ready).count();
        let servers = self.servers.0.iter().map(|(id, server)| {
            let state = match server.state {
                State::Ready => "ready",
                State::Draining => "draining",
                State::Gone => "gone",
            };
            json!({"server": id, "at": server.dial.map(|d| d.to_string()), "state": state,
                   "connections": held.get(id).copied().unwrap_or(0)})
        });
        let violations: BTreeMap<&str, u64> =
            self.guard.counts().map(|(violation, count)| (violation.name(), count)).collect();
        json!({
            "counters": self.counters.to_json(), "violations": violations,
            "sessions": self.sessions.len(), "by_stage": stages, "legs": self.legs.len(),
            "descriptors": self.descriptors.used, "descriptors_most": self.descriptors.most,
            "accepting": self.descriptors.accepting, "uptime": ((now - self.began) * 1e3).round() / 1e3,
            "list_version": self.watch.version, "watch_open": self.watch.answer.is_some(),
            "watch_failures": self.watch.failures, "discovery": self.watch.discovery.to_string(),
            "servers_known": self.servers.0.len(), "servers_ready": ready, "servers": servers.collect::<Vec<_>>()
        })
    }

    /// Promises that were about to be broken so far.
    pub fn violations(&self) -> u64 {
        self.guard.total()
    }

    /// The process ends before the one whose place it took, whose clients may not have been told to move.
    pub fn leaves_predecessor(&mut self) {
        self.guard.record_violation(Violation::EndedBeforePredecessor, &"the process whose place was taken");
    }

    /// The process ends: who is still owed something is counted, and all counts are told in the log.
    pub fn end(&mut self) {
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        for key in keys {
            let owed = self.owed(key, CloseReason::ProcessEnded);
            self.guard.check_close(owed, &self.sessions[key].log_id());
            self.counters.closes.count(CloseReason::ProcessEnded.name());
        }
        info!("counted: {}, violations {}", self.counters.to_json(), self.guard.total());
    }

    /// Sessions one by one, the first thousand of them.
    pub fn connections(&self) -> Value {
        let one = |(key, session): (usize, &crate::state::sessions::Session)| {
            let server = session.legs.first().and_then(|(_, leg)| self.legs.get(*leg)).map(|leg| leg.server);
            json!({"slot": key, "stage": name(session.stage), "server": server, "legs": session.legs_sent,
                   "traffic": self.known.traffic_types.get(session.traffic)})
        };
        let told: Vec<Value> = self.sessions.iter().take(TOLD).map(one).collect();
        json!({"sessions": self.sessions.len(), "told": told.len(), "connections": told})
    }
}
