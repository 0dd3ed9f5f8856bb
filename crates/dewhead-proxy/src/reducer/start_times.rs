//! Start times in the versions of the server list: converts them to the process's own clock, and keeps them from going back
//! in a list that is behind.

use super::Reducer;
use crate::wire::server_list::{Entry, EntryProcess, ListVersion};
use dewhead::types::{ServerEntry, ServerState};

impl Reducer {
    /// Converts the start times of a version's entries, and corrects entries that tell of an earlier process than the
    /// server is known to have.
    ///
    /// A server does not start earlier than it did: taken for one that had started long ago, a cold server would be
    /// sent as much as a warm one.
    pub(super) fn resolve_start_times(&self, now: f64, version: &mut ListVersion) {
        self.convert_start_times(now, &mut version.entries);
        for n in 0..version.entries.len() {
            let entry = &version.entries[n];
            let Some((Some(known_start), known_wall_clock)) = self.known_start(entry.server.id) else {
                continue;
            };
            if entry.server.started.is_some_and(|started| started >= known_start) {
                continue;
            }
            version.correct_start(n, known_start, known_wall_clock);
            let entry = &version.entries[n];
            let withdraws = entry.server.state != ServerState::Ready;
            if withdraws && entry.process == EntryProcess::Earlier {
                self.keep_entry(version, n);
            }
        }
    }

    /// When the process of a server that is listed, or was a short time ago, started: on this process's clock, and by the
    /// wall clock.
    fn known_start(&self, server: u64) -> Option<(Option<f64>, Option<f64>)> {
        let record = self.servers.0.get(&server);
        let listed = record.map(|record| (record.started, record.started_by_wall_clock));
        listed.or_else(|| self.hold_downs.start_of(server))
    }

    /// Replaces the n-th entry of a version by the current one of its server, if that is listed.
    fn keep_entry(&self, version: &mut ListVersion, n: usize) {
        let Some(record) = self.servers.0.get(&version.entries[n].server.id) else { return };
        let server = ServerEntry {
            id: version.entries[n].server.id,
            zone: record.zone,
            cell: record.cell,
            state: record.state,
            weight: record.weight,
            started: record.started,
        };
        version.entries[n] = Entry {
            server,
            address: record.dial,
            started_by_wall_clock: record.started_by_wall_clock,
            process: EntryProcess::Earlier,
        };
        let (host, text) = &mut version.raw_entries[n];
        if let Some(current_text) = self.watch.entries.text(host) {
            *text = current_text.into();
        }
    }

    /// Converts the start times of the entries from the wall clock, by which discovery reports them, to the process's
    /// own clock.
    fn convert_start_times(&self, now: f64, entries: &mut [Entry]) {
        for Entry { server, started_by_wall_clock, .. } in entries {
            server.started = self.start_on_process_clock(now, server.id, *started_by_wall_clock);
        }
    }

    /// Converts a reported start time of a server. One that was reported before keeps its earlier conversion.
    pub(super) fn start_on_process_clock(&self, now: f64, server: u64, reported: Option<f64>) -> Option<f64> {
        match self.known_start(server) {
            Some((started, known)) if known == reported => started,
            _ => reported.map(|reported| self.wall_clock.to_process_clock(now, reported)),
        }
    }
}
