//! Hold-down: for how long a list that may be behind cannot bring back a server that was withdrawn from new calls, that is,
//! told to drain or removed.
//!
//! A discovery may know less than this proxy was told: another one that a new configuration names, one that was restored
//! from an earlier state, or one whose lists come late. Version numbers don't show it, as each discovery counts on its
//! own, and anew after a restart. So a withdrawn server that a list has as ready is used again only if
//!
//! * its process has been restarted since, or
//! * the watch that withdrew it, or that has confirmed the withdrawal, tells later that it is ready, or
//! * a later change names it without another reason than its state, as its entry is otherwise the same, or
//! * the hold-down is over.

pub mod handed_over;

use crate::state::servers::ServerRecord;
use crate::wire::server_list::{Entry, EntryProcess};
use dewhead::types::ServerState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most by which a list can be behind, in seconds: discovery learns of a change within 5 s, an earlier list that comes
/// again is up to 30 s old, and it stays for up to 25 s.
pub const HOLD_DOWN_SECONDS: f64 = 60.0;
/// The most servers that are kept; of more, those whose hold-down ends first are forgotten. The largest fleet has 3,200
/// servers.
const MAX_HOLD_DOWNS: usize = 16_384;

/// How a version of the list relates to what was received before it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Continuity {
    /// It goes on from the version before: a change to that, or a whole list on the same watch.
    Continuous {
        /// Whether its number is higher than that of the version before.
        is_later: bool,
    },
    /// It is a whole list with which a watch begins: discovery did not go on from the version that it was asked for.
    NewWatch,
    /// It is the first version of another discovery, or of one that counts anew.
    NewCount,
    /// It is the list from before the start of the process.
    Cached,
}

/// Which watch has withdrawn a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WithdrawnBy {
    /// The one that the current list is from.
    CurrentWatch,
    /// One that was followed by a whole list, of a discovery that has counted on since.
    EarlierWatch,
    /// One on another discovery, or on another count.
    OtherCount,
}

/// A server that was withdrawn from new calls.
struct HoldDown {
    /// Draining, or gone.
    state: ServerState,
    withdrawn_by: WithdrawnBy,
    /// Whether only the first list of a count has left the server out. It may have been written before that discovery
    /// had heard of all servers.
    is_provisional: bool,
    /// When this process was last told of the withdrawal, in seconds.
    withdrawn_at: f64,
    /// When the process that was withdrawn started, in seconds on this process's clock; `None` if long ago.
    started: Option<f64>,
    /// The same by the wall clock, as discovery reported it.
    started_by_wall_clock: Option<f64>,
    /// When the hold-down is over; none while the current list has the server as draining.
    until: Option<f64>,
    /// The server's entry in the current list, where that has it as ready.
    listed: Option<Box<Entry>>,
    /// Whether the list before the current whole list had it as ready.
    was_listed: bool,
}

impl HoldDown {
    /// Whether the server's process has been restarted since the withdrawal. Where that told no start, one that was before
    /// any state that it can have told of is none.
    fn is_restarted(&self, entry: &Entry) -> bool {
        let earliest_restart = self.started.unwrap_or(self.withdrawn_at - HOLD_DOWN_SECONDS);
        entry.server.started.is_some_and(|started| started > earliest_restart)
    }

    /// Whether this entry, which has the server as ready, tells of a later state than the withdrawal.
    fn is_lifted_by(&self, entry: &Entry, is_change: bool, continuity: Continuity) -> bool {
        if entry.process == EntryProcess::Earlier {
            return false;
        }
        if self.is_provisional && self.withdrawn_by != WithdrawnBy::OtherCount {
            return true;
        }
        let is_later = continuity == Continuity::Continuous { is_later: true };
        // A change of the weight, for one, says nothing of the state.
        let is_named_for_its_state =
            is_change && entry.process == EntryProcess::Latest && self.listed.as_deref() == Some(entry);
        is_later && (self.withdrawn_by == WithdrawnBy::CurrentWatch || is_named_for_its_state)
    }

    /// Whether a list that lacks the server may have been written before the server's process started.
    fn may_be_unknown(&self, now: f64) -> bool {
        self.started.is_some_and(|started| started > now - HOLD_DOWN_SECONDS)
    }
}

/// The servers that were withdrawn from new calls, by id. An entry is removed when its server is used again, and when its
/// hold-down is over.
#[derive(Default)]
pub struct HoldDowns(BTreeMap<u64, HoldDown>);

impl HoldDowns {
    /// How many servers are kept.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// How many servers are held down although the current list has them as ready.
    pub fn contradicted_count(&self) -> usize {
        self.0.values().filter(|hold_down| hold_down.listed.is_some()).count()
    }

    /// When the next hold-down is over.
    pub fn next_end(&self) -> Option<f64> {
        self.0.values().filter_map(|hold_down| hold_down.until).reduce(f64::min)
    }

    /// When the withdrawn process of a server started: on this process's clock, and by the wall clock.
    pub fn start_of(&self, server: u64) -> Option<(Option<f64>, Option<f64>)> {
        self.0.get(&server).map(|hold_down| (hold_down.started, hold_down.started_by_wall_clock))
    }

    /// Prepares for the entries of a version. `whole`: it is the full list, not a change.
    pub fn begin_version(&mut self, whole: bool, continuity: Continuity) {
        if !whole && matches!(continuity, Continuity::Continuous { .. }) {
            return;
        }
        for hold_down in self.0.values_mut() {
            hold_down.withdrawn_by = match (continuity, hold_down.withdrawn_by) {
                (Continuity::NewCount, _) => WithdrawnBy::OtherCount,
                (Continuity::NewWatch, WithdrawnBy::CurrentWatch) => WithdrawnBy::EarlierWatch,
                (_, unchanged) => unchanged,
            };
            if whole {
                hold_down.was_listed = hold_down.listed.take().is_some();
            }
        }
    }

    /// Takes note of a version's entry and returns the state that its server has from now on.
    pub fn apply(&mut self, now: f64, entry: &Entry, is_change: bool, continuity: Continuity) -> ServerState {
        match (entry.server.state, entry.process) {
            (ServerState::Ready, _) => self.check_ready(now, entry, is_change, continuity),
            (state, EntryProcess::Earlier) => {
                let Some(hold_down) = self.0.get_mut(&entry.server.id) else { return state };
                hold_down.listed = None;
                hold_down.state
            }
            (state, _) => {
                self.withdraw(now, entry, continuity);
                state
            }
        }
    }

    /// The state of a server that an entry has as ready.
    fn check_ready(
        &mut self,
        now: f64,
        entry: &Entry,
        is_change: bool,
        continuity: Continuity,
    ) -> ServerState {
        let Some(hold_down) = self.0.get_mut(&entry.server.id) else { return ServerState::Ready };
        let is_over = hold_down.until.is_some_and(|until| until <= now);
        if is_over || hold_down.is_restarted(entry) || hold_down.is_lifted_by(entry, is_change, continuity) {
            self.0.remove(&entry.server.id);
            return ServerState::Ready;
        }
        hold_down.until.get_or_insert(now + HOLD_DOWN_SECONDS);
        let mut listed = Box::new(entry.clone());
        if continuity == Continuity::Cached {
            // Its start time may have been corrected by the predecessor.
            listed.process = EntryProcess::Unspecified;
        }
        hold_down.listed = Some(listed);
        hold_down.state
    }

    /// Records that an entry has withdrawn its server.
    fn withdraw(&mut self, now: f64, entry: &Entry, continuity: Continuity) {
        if continuity == Continuity::Cached && self.0.contains_key(&entry.server.id) {
            return;
        }
        let is_gone = entry.server.state == ServerState::Gone;
        let earlier = self.0.get(&entry.server.id).filter(|_| entry.process == EntryProcess::Unspecified);
        let hold_down = HoldDown {
            state: entry.server.state,
            // An entry that may tell of an earlier process confirms no withdrawal of the latest one.
            withdrawn_by: earlier.map_or(WithdrawnBy::CurrentWatch, |hold_down| hold_down.withdrawn_by),
            is_provisional: false,
            // How old the list from before the start is, is not known.
            withdrawn_at: if continuity == Continuity::Cached { f64::NEG_INFINITY } else { now },
            started: entry.server.started,
            started_by_wall_clock: entry.started_by_wall_clock,
            until: is_gone.then_some(now + HOLD_DOWN_SECONDS),
            listed: None,
            was_listed: false,
        };
        self.0.insert(entry.server.id, hold_down);
    }

    /// Records that a whole list has left out a server that was listed before.
    pub fn withdraw_omitted(&mut self, now: f64, server: u64, record: &ServerRecord, continuity: Continuity) {
        let hold_down = self.0.entry(server).or_insert_with(|| HoldDown {
            state: ServerState::Gone,
            withdrawn_by: WithdrawnBy::CurrentWatch,
            is_provisional: continuity == Continuity::NewCount,
            withdrawn_at: now,
            started: record.started,
            started_by_wall_clock: record.started_by_wall_clock,
            until: None,
            listed: None,
            was_listed: false,
        });
        hold_down.state = ServerState::Gone;
        hold_down.until.get_or_insert(now + HOLD_DOWN_SECONDS);
    }

    /// Completes a whole list. It withdraws the servers anew that the list before had and it leaves out, and confirms the
    /// withdrawal of those that it leaves out, unless it may have been written before they started.
    pub fn confirm_omitted(&mut self, now: f64, continuity: Continuity) {
        for hold_down in self.0.values_mut() {
            let is_omitted = hold_down.state == ServerState::Gone && hold_down.listed.is_none();
            if is_omitted && hold_down.was_listed {
                hold_down.until = Some(now + HOLD_DOWN_SECONDS);
            }
            if is_omitted && !hold_down.may_be_unknown(now) {
                hold_down.withdrawn_by = WithdrawnBy::CurrentWatch;
                hold_down.is_provisional &= continuity == Continuity::NewCount;
            }
        }
    }

    /// Forgets those whose hold-down ends first where there are too many.
    pub fn limit_count(&mut self) {
        let excess = self.0.len().saturating_sub(MAX_HOLD_DOWNS);
        if excess == 0 {
            return;
        }
        let end = |hold_down: &HoldDown| hold_down.until.unwrap_or(f64::INFINITY);
        let mut ends: Vec<(f64, u64)> = self.0.iter().map(|(id, hold_down)| (end(hold_down), *id)).collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        ends.iter().take(excess).for_each(|(_, id)| drop(self.0.remove(id)));
    }

    /// Removes the hold-downs that are over, and returns the entries of their servers that count from now on.
    pub fn end(&mut self, now: f64) -> Vec<Entry> {
        let mut released = Vec::new();
        self.0.retain(|_, hold_down| {
            let is_over = hold_down.until.is_some_and(|until| until <= now);
            if is_over {
                released.extend(hold_down.listed.take().map(|entry| *entry));
            }
            !is_over
        });
        released
    }
}
