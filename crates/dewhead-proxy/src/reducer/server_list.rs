//! Applies the versions of the server list, from discovery or from before the start, to the servers and the balancer.

use super::Reducer;
use crate::state::sessions::{LegStage, ServerLeg, Session, SessionStage};
use crate::wire::server_list::{Entry, ListVersion};
use dewhead::types::{LegOutcome, ListUpdate, ServerState};
use dewhead_startup::fields::ParseResult;
use log::{debug, warn};

impl Reducer {
    /// Applies a version of the list. Returns false where it is invalid; the current list is then kept.
    pub(super) fn apply_list(&mut self, now: f64, parsed: ParseResult<ListVersion>, cached: bool) -> bool {
        let mut update = match parsed {
            Ok(list) => list,
            Err(fault) => {
                if self.watch.schedule.failed_attempts() == 0 {
                    warn!("discovery: {fault}");
                }
                return false;
            }
        };
        let (version, whole) = (update.number, update.whole);
        let reported_starts = self.convert_start_times(now, &mut update);
        if version < self.watch.version {
            // An older version that names no server yet is ignored, too, even if it is a full list.
            if !whole || update.entries.is_empty() {
                warn!("discovery: ignoring version {version}, older than the current {}", self.watch.version);
                return true;
            }
            warn!("discovery: version {version} after {}: its counter was reset", self.watch.version);
            self.keep_drains(&mut update.entries);
        }
        self.watch.version = version;
        self.watch.schedule.record_list();
        self.watch.entries.apply(whole || cached, &mut update);
        log_entries(now, &update.entries);
        let gone = self.servers.apply(whole || cached, &update.entries);
        for ((listed, _), reported_start) in update.entries.iter().zip(reported_starts) {
            if let Some(server) = self.servers.0.get_mut(&listed.id) {
                server.started_by_wall_clock = reported_start;
            }
        }
        let list_kind = match () {
            () if cached => ListUpdate::Cached,
            () if whole => ListUpdate::Full,
            () => ListUpdate::Delta,
        };
        let listed: Vec<_> = update.entries.into_iter().map(|(listed, _)| listed).collect();
        self.balancer.on_list_update(now, list_kind, &listed);
        if !cached {
            self.confirm_list(now);
        }
        self.move_clients_of(now, &gone);
        true
    }

    /// Keeps draining servers draining in the list of a discovery that counts its versions anew.
    ///
    /// A restarted discovery counts from one again. When its list was ignored until it had counted past the old
    /// version, servers that it drained meanwhile were still sent calls. A discovery whose list is merely outdated makes
    /// no server ready again: a draining one stays so until its process restarts or a change names it.
    fn keep_drains(&self, entries: &mut [Entry]) {
        for (listed, _) in entries {
            let record = self.servers.0.get(&listed.id);
            if record.is_some_and(|r| r.state == ServerState::Draining && r.started == listed.started) {
                listed.state = ServerState::Draining;
            }
        }
    }

    /// Moves the clients that are established at servers that are gone.
    fn move_clients_of(&mut self, now: f64, gone: &[u64]) {
        if gone.is_empty() {
            return;
        }
        // The list changes so rarely that all legs can be searched.
        let at_gone_server = |l: &ServerLeg| l.stage == LegStage::Established && gone.contains(&l.server);
        let keys: Vec<usize> =
            self.legs.iter().filter(|(_, l)| at_gone_server(l)).map(|(_, l)| l.session).collect();
        keys.into_iter().for_each(|key| self.move_client(now, key, LegOutcome::Broken));
    }

    /// Converts the start times of the entries from the wall clock, by which discovery reports them, to the process's
    /// own clock, and returns them as they were reported. A start that was reported before keeps its earlier
    /// conversion.
    fn convert_start_times(&self, now: f64, update: &mut ListVersion) -> Vec<Option<f64>> {
        let mut reported_starts = Vec::with_capacity(update.entries.len());
        for (listed, _) in &mut update.entries {
            reported_starts.push(listed.started);
            let record = self
                .servers
                .0
                .get(&listed.id)
                .filter(|record| record.started_by_wall_clock == listed.started);
            listed.started = match record {
                Some(record) => record.started,
                None => listed.started.map(|reported| self.wall_clock.to_process_clock(now, reported)),
            };
        }
        reported_starts
    }

    /// Takes the current list as confirmed, and processes the first lines that arrived before that.
    pub(super) fn confirm_list(&mut self, now: f64) {
        if std::mem::take(&mut self.list_unconfirmed) {
            let has_begun_first_line =
                |s: &Session| s.stage == SessionStage::AwaitingFirstLine && !s.first_line.is_empty();
            let keys: Vec<usize> =
                self.sessions.iter().filter(|(_, s)| has_begun_first_line(s)).map(|(key, _)| key).collect();
            keys.into_iter().for_each(|key| self.process_first_line(now, key));
        }
    }
}

/// Logs each entry of a version for the debug log.
fn log_entries(now: f64, entries: &[Entry]) {
    for (listed, _) in entries {
        let age = listed.started.map_or(f64::INFINITY, |started| now - started);
        debug!(
            "server {:x} is {:?} in zone {}, of weight {}, started {age:.1} s ago",
            listed.id, listed.state, listed.zone, listed.weight
        );
    }
}
