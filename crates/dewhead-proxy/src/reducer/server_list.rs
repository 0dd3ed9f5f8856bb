//! Applies the versions of the server list, from discovery or from before the start, to the servers and the balancer.

use super::Reducer;
use crate::state::hold_down::{Continuity, HOLD_DOWN_SECONDS};
use crate::state::sessions::{LegStage, ServerLeg};
use crate::wire::server_list::{Entry, ListVersion};
use dewhead::types::{LegOutcome, ListUpdate, ServerState};
use dewhead_startup::fields::ParseResult;
use log::{debug, warn};

impl Reducer {
    /// Applies a version of the list. Returns false where it is invalid; the current list is then kept.
    pub(super) fn apply_list(&mut self, now: f64, parsed: ParseResult<ListVersion>, cached: bool) -> bool {
        let mut version = match parsed {
            Ok(version) => version,
            Err(fault) => {
                self.log_invalid_list(&fault);
                return false;
            }
        };
        if self.is_outdated(&version) {
            self.ignore_version(&version);
            return true;
        }
        if version.number < self.watch.version {
            warn!(
                "discovery: version {} after {}: its counter was reset",
                version.number, self.watch.version
            );
        }
        self.resolve_start_times(now, &mut version);
        let continuity = self.continuity(&version, cached);
        let update = update_kind(&version, cached);
        self.watch.entries.apply(update != ListUpdate::Delta, &mut version);
        let held_count = self.hold_down_servers(now, &mut version, continuity);
        self.log_version(&version, held_count);
        self.record_version(&version, cached);
        let gone = self.apply_entries(now, update, version.entries);
        self.move_clients_of(now, &gone);
        true
    }

    /// Logs why a version is invalid, for the first of several that follow one another.
    fn log_invalid_list(&self, fault: &str) {
        if self.watch.schedule.failed_attempts() == 0 {
            warn!("discovery: {fault}");
        }
    }

    /// Whether a version says nothing beside the current list: a change before it, or an older list that names no
    /// server yet. The changes that follow such a list count.
    fn is_outdated(&self, version: &ListVersion) -> bool {
        let follows_ignored = self.watch.ignored_version.is_some_and(|ignored| version.number > ignored);
        version.number < self.watch.version
            && if version.whole { version.entries.is_empty() } else { !follows_ignored }
    }

    /// Records an outdated version.
    fn ignore_version(&mut self, version: &ListVersion) {
        warn!(
            "discovery: ignoring version {}, older than the current {}",
            version.number, self.watch.version
        );
        if version.whole {
            self.watch.ignored_version = Some(version.number);
        }
    }

    /// How a version relates to what was received before it.
    fn continuity(&self, version: &ListVersion, cached: bool) -> Continuity {
        if cached {
            return Continuity::Cached;
        }
        let counts_anew =
            (version.whole && version.number <= self.watch.version) || self.watch.ignored_version.is_some();
        if counts_anew || self.watch.discovery_changed {
            return Continuity::NewCount;
        }
        if version.whole && !self.watch.version_received {
            return Continuity::NewWatch;
        }
        Continuity::Continuous { is_later: version.number > self.watch.version }
    }

    /// Records the number of a version. `cached`: it is from before the start.
    fn record_version(&mut self, version: &ListVersion, cached: bool) {
        if !cached {
            self.watch.version_received = true;
            self.watch.discovery_changed = false;
            self.watch.ignored_version = None;
        }
        self.watch.version = version.number;
        self.watch.schedule.record_list();
    }

    /// Applies entries of the list to the servers and the balancer, and returns the servers that are gone.
    pub(super) fn apply_entries(&mut self, now: f64, update: ListUpdate, entries: Vec<Entry>) -> Vec<u64> {
        log_entries(now, &entries);
        let gone = self.servers.apply(update != ListUpdate::Delta, &entries);
        let listed: Vec<_> = entries.into_iter().map(|entry| entry.server).collect();
        self.balancer.on_list_update(now, update, &listed);
        self.schedule_hold_down_end(now);
        gone
    }

    /// Logs a version before it is applied: where it comes from, which version it follows, how many draining servers it
    /// makes ready, and how many servers are held down that it has as ready.
    fn log_version(&self, version: &ListVersion, held_count: usize) {
        let state_before = |entry: &Entry| self.servers.0.get(&entry.server.id).map(|record| record.state);
        let makes_ready = |entry: &&Entry| {
            entry.server.state == ServerState::Ready && state_before(entry) == Some(ServerState::Draining)
        };
        debug!(
            "discovery {}: {} {} after {}, with {} entries, makes {} draining servers ready, holds {held_count} down",
            self.watch.discovery,
            if version.whole { "whole list" } else { "change" },
            version.number,
            self.watch.version,
            version.entries.len(),
            version.entries.iter().filter(makes_ready).count()
        );
        if version.whole && held_count > 0 {
            warn!(
                "discovery: version {} may be behind: {held_count} servers that it has as ready were withdrawn before, and \
                 are held down for up to {HOLD_DOWN_SECONDS} s",
                version.number
            );
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
}

/// How the balancer is to take a version. `cached`: it is from before the start.
fn update_kind(version: &ListVersion, cached: bool) -> ListUpdate {
    match () {
        () if cached => ListUpdate::Cached,
        () if version.whole => ListUpdate::Full,
        () => ListUpdate::Delta,
    }
}

/// Logs each entry of a version for the debug log.
fn log_entries(now: f64, entries: &[Entry]) {
    for Entry { server, .. } in entries {
        let age = server.started.map_or(f64::INFINITY, |started| now - started);
        debug!(
            "server {:x} is {:?} in zone {}, of weight {}, started {age:.1} s ago",
            server.id, server.state, server.zone, server.weight
        );
    }
}
