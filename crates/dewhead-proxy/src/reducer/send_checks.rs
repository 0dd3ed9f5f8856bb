//! The guard's checks before a request is sent: whether it may be repeated, whether its client and server are ready for it, and
//! whether a server in slow start may be sent one more.

use super::Reducer;
use crate::guard::cold_start::ZoneLoad;
use crate::guard::{RepeatFacts, SendFacts, SentAttempt};
use crate::state::sessions::{LogId, SessionStage};
use dewhead::types::ServerState;

impl Reducer {
    /// Whether the guard allows a further attempt of this call at the server.
    pub(super) fn may_repeat(&mut self, now: f64, key: usize, server: u64) -> bool {
        let session = &self.sessions[key];
        let (Some(traffic_type), Some(target)) =
            (self.traffic_types.get(session.traffic_type), self.servers.0.get(&server))
        else {
            return true;
        };
        let facts = RepeatFacts {
            idempotency: traffic_type.idempotency,
            repeat_window: traffic_type.repeat_window,
            open_attempts: session.legs.len(),
            two_at_once: self.two_at_once,
            may_have_run: session.may_have_run,
            target: SentAttempt { at: now, zone: target.zone, cell: target.cell },
        };
        self.guard.may_repeat(&facts, &session.log_id()).is_ok()
    }

    /// Whether the guard allows the leg's request to be sent now.
    pub(super) fn may_send(&mut self, now: f64, leg: usize) -> bool {
        let server_leg = &self.legs[leg];
        let session = &self.sessions[server_leg.session];
        let restoring = session.stage == SessionStage::Restoring;
        let server = self.servers.0.get(&server_leg.server);
        let facts = SendFacts {
            client_waiting: restoring || session.stage == SessionStage::AwaitingServer,
            before_deadline: now < server_leg.answer_by,
            server_ready: server.is_some_and(|s| restoring || s.state == ServerState::Ready),
        };
        let log_id = session.log_id();
        if self.guard.may_send(&facts, &log_id).is_err() {
            return false;
        }
        // A restored connection was established there before, and is no new load.
        if restoring {
            return true;
        }
        let server_id = server_leg.server;
        self.may_send_to_cold_server(now, server_id, &log_id)
    }

    /// Whether the slow-start limit allows a request to the server. Servers that are not cold have no such limit.
    fn may_send_to_cold_server(&mut self, now: f64, server_id: u64, log_id: &LogId) -> bool {
        let Some(server) = self.servers.0.get(&server_id) else { return true };
        let Some(age) = server.started.map(|at| now - at).filter(|age| self.cold_start.is_cold(*age)) else {
            return true;
        };
        let weight = if self.weights_are_sizes { server.weight } else { 1.0 };
        let load = self.load_by_zone();
        self.cold_start.observe(&load);
        let limit = self.cold_start.max_requests(weight, age);
        let window = self.cold_start.window();
        let Some(server) = self.servers.0.get_mut(&server_id) else { return true };
        while server.recent_sends.front().is_some_and(|at| *at <= now - window) {
            server.recent_sends.pop_front();
        }
        let allowed = self.guard.may_send_in_slow_start(server.recent_sends.len(), limit, log_id).is_ok();
        if allowed {
            server.recent_sends.push_back(now);
        }
        allowed
    }

    /// For each zone, the legs at its servers and the weight of its ready servers.
    fn load_by_zone(&self) -> Vec<ZoneLoad> {
        let mut zone_loads =
            vec![ZoneLoad { connections: 0, ready_weight: 0.0 }; self.names.zones.len().max(1)];
        for server in self.servers.0.values().filter(|server| server.state == ServerState::Ready) {
            if let Some(zone_load) = zone_loads.get_mut(server.zone) {
                zone_load.ready_weight += if self.weights_are_sizes { server.weight } else { 1.0 };
            }
        }
        for (_, leg) in &self.legs {
            let zone = self.servers.0.get(&leg.server).map(|server| server.zone);
            if let Some(zone_load) = zone.and_then(|zone| zone_loads.get_mut(zone)) {
                zone_load.connections += 1;
            }
        }
        zone_loads
    }
}
