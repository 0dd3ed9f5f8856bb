//! Holds servers down in the versions of the server list that may be behind, and uses them again when that is over.

use super::{Reducer, TimerKind};
use crate::state::hold_down::handed_over::WithdrawnServer;
use crate::state::hold_down::Continuity;
use crate::wire::server_list::ListVersion;
use dewhead::types::{ListUpdate, ServerState};
use log::info;
use std::collections::BTreeSet;

/// The shortest time until the end of a hold-down is looked for: timers have a resolution of a microsecond, so that one is
/// due shortly before its time.
const MIN_WAIT_SECONDS: f64 = 0.001;

impl Reducer {
    /// Replaces the states in a version by those that its servers have from now on, takes out those that stay removed, and
    /// returns how many servers are held down that it has as ready.
    pub(super) fn hold_down_servers(
        &mut self,
        now: f64,
        version: &mut ListVersion,
        continuity: Continuity,
    ) -> usize {
        self.hold_downs.begin_version(version.whole, continuity);
        if version.whole && continuity != Continuity::Cached {
            self.withdraw_omitted_servers(now, version, continuity);
        }
        let mut held_count = 0;
        let hold_downs = &mut self.hold_downs;
        version.entries.retain_mut(|entry| {
            let listed_state = entry.server.state;
            entry.server.state = hold_downs.apply(now, entry, !version.whole, continuity);
            let is_held_down = entry.server.state != listed_state;
            held_count += usize::from(is_held_down);
            !(is_held_down && entry.server.state == ServerState::Gone)
        });
        if version.whole && !version.entries.is_empty() {
            self.hold_downs.confirm_omitted(now, continuity);
        }
        self.hold_downs.limit_count();
        held_count
    }

    /// Records the servers that a whole list leaves out. One without any server withdraws no server that was ready.
    fn withdraw_omitted_servers(&mut self, now: f64, version: &ListVersion, continuity: Continuity) {
        let listed: BTreeSet<u64> = version.entries.iter().map(|entry| entry.server.id).collect();
        for (id, record) in self.servers.0.iter().filter(|(id, _)| !listed.contains(id)) {
            if !version.entries.is_empty() || record.state == ServerState::Draining {
                self.hold_downs.withdraw_omitted(now, *id, record, continuity);
            }
        }
    }

    /// Holds the servers down that a predecessor held down at `exported_at`, in the list that it handed over.
    pub(super) fn import_hold_downs(&mut self, now: f64, exported_at: f64, withdrawn: &[WithdrawnServer]) {
        if withdrawn.is_empty() {
            return;
        }
        for server in withdrawn {
            let is_listed = self.servers.0.contains_key(&server.server());
            let started = self.start_on_process_clock(now, server.server(), server.started_by_wall_clock());
            self.hold_downs.import(exported_at, server, started, is_listed);
        }
        let list = self.watch.entries.to_list(self.watch.version);
        self.apply_list(now, ListVersion::from_json(&list, &self.names.zones), true);
    }

    /// Sets the timer for the end of the next hold-down unless one is running.
    pub(super) fn schedule_hold_down_end(&mut self, now: f64) {
        if self.hold_down_timer_running {
            return;
        }
        if let Some(at) = self.hold_downs.next_end() {
            self.timers.set(at.max(now + MIN_WAIT_SECONDS), TimerKind::HoldDownEnd);
            self.hold_down_timer_running = true;
        }
    }

    /// Uses the servers again whose hold-down is over, as the current list has them.
    pub(super) fn end_hold_downs(&mut self, now: f64) {
        self.hold_down_timer_running = false;
        let released = self.hold_downs.end(now);
        if !released.is_empty() {
            info!("{} servers are used again, as the list has had them as ready", released.len());
            self.apply_entries(now, ListUpdate::Delta, released);
        }
        self.schedule_hold_down_end(now);
    }
}
