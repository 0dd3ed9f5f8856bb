//! Handover: the state that a process exports to its successor, what the successor imports, and the retirement of the
//! predecessor.

use super::Reducer;
use crate::state::handover_state::{self, HandoverState, WatchState};
use crate::state::set_up_latency::SetUpLatency;
use crate::wire::server_list::parse_list;
use log::info;
use serde_json::Value;

/// Learned state older than this is not imported, in multiples of the longest guard time; the list still is.
const MAX_STATE_AGE: f64 = 20.0;

impl Reducer {
    /// Exports the list and what was learned of the servers, with its age.
    pub fn export_state(&self, now: f64) -> Value {
        let watch = WatchState {
            discovery: self.watch.discovery,
            list: self.watch.entries.to_list(self.watch.version),
            known_in: self.watch.schedule.known_by() - now,
            answers_at_once: self.hedges.answers_at_once_or_never(),
            list_confirmed: !self.list_reliance.declines_clients(now),
            withdrawn: self.hold_downs.export(now),
        };
        let set_up_latencies = self.servers.0.iter().map(|(id, server)| (*id, &server.set_up_latency));
        let learned = self.balancer.snapshot(now);
        handover_state::encode(now, watch, &learned, set_up_latencies, &self.type_means)
    }

    /// Imports what another process has learned of servers that are listed and have not restarted since.
    pub fn import_state(&mut self, now: f64, state: &HandoverState) {
        self.import_list_source(now, state);
        if let Some(known_in) = state.known_in {
            self.watch.schedule.inherit(now, state.encoded_at + known_in);
        }
        self.import_hold_downs(now, state.encoded_at, &state.withdrawn);
        if state.discovery.is_some_and(|discovery| discovery != self.watch.discovery) {
            // The number of the list says nothing to this process's discovery.
            self.switch_discovery(now, self.watch.discovery);
        } else if state.answers_at_once && !self.watch.line_received {
            self.hedges.record_answers_at_once_or_never();
            self.schedule_hedge(now);
        }
        let age = (now - state.encoded_at).max(0.0);
        if age > MAX_STATE_AGE * self.longest_guard_time {
            return info!("handed-over state is ignored: it is {age:.0} s old");
        }
        let restored_count = self.balancer.restore(now, age, &state.servers);
        for (id, (recent, typical, count, last_age)) in &state.set_up_latencies {
            if let Some(server) = self.servers.0.get_mut(id) {
                server.set_up_latency =
                    SetUpLatency::restore(now, (*recent, *typical, *count, last_age + age));
            }
        }
        self.type_means.restore(&state.type_means);
        info!("imported what was learned of {restored_count} servers, {age:.1} s old");
    }

    /// Takes the list over as one that discovery has confirmed until now, if the predecessor knew it as such.
    fn import_list_source(&mut self, now: f64, state: &HandoverState) {
        if state.list_confirmed && parse_list(&state.list, &self.names.zones).is_ok() {
            self.list_reliance.on_takeover(now);
            self.schedule_list_doubt_end();
        }
    }

    /// Begins the retirement, as another process serves from now on: moves all clients away over this many seconds;
    /// then the process exits.
    pub(super) fn begin_retirement(&mut self, now: f64, spread: f64) {
        if self.exits_when_empty {
            return;
        }
        info!("retiring: {} sessions are open", self.sessions.len());
        self.exits_when_empty = true;
        self.drain_spread = spread.max(0.0);
        self.schedule_moves(now);
        self.schedule_exit(now, self.drain_spread + self.longest_guard_time);
    }
}
