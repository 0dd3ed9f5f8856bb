//! The watch on discovery: requests it, reads its lines, and requests it again when it has failed.

use super::{Effect, Reducer, TimerKind};
use crate::state::handover_state::RawEntries;
use crate::state::hedged_requests::{HedgedRequest, OVERDUE_SLOT};
use crate::state::request_schedule::RequestSchedule;
use crate::state::timers::Timer;
use crate::state::watch_failure::WatchFailure;
use crate::wire::http::{ResponseError, WatchResponse};
use crate::wire::server_list::ListVersion;
use log::{debug, warn};
use std::net::SocketAddr;

/// Discovery writes at least every two seconds; a watch that delivers no line for this many seconds is treated as lost.
/// A change must be in use six seconds after discovery has it, so two attempts must fit into that time.
const WATCH_SILENCE_TIMEOUT_SECONDS: f64 = 2.6;
/// Time for the first line after the request, in seconds. The local agent of discovery answers at once or is absent; an
/// overloaded discovery answers within two seconds, and a shorter time-out would waste the work that it has begun.
const WATCH_OPEN_TIMEOUT_SECONDS: f64 = 2.2;
/// A first line that keeps arriving may take `WATCH_SILENCE_TIMEOUT_SECONDS` times the number of failed attempts, but
/// at least one and at most this many times that period, as a long list may arrive slowly.
const MAX_FIRST_LINE_PERIODS: u32 = 4;
/// Bytes of an incomplete first line that must arrive in each `WATCH_SILENCE_TIMEOUT_SECONDS`; with fewer, discovery is
/// assumed to have stopped writing.
const MIN_PROGRESS_BYTES: usize = 4096;

/// The state of the watch on discovery.
pub struct Watch {
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The response being read; none while no connection is open.
    pub response: Option<WatchResponse>,
    /// When discovery is asked again after a failure.
    pub schedule: RequestSchedule,
    /// Whether a complete line has arrived since the last request.
    pub line_received: bool,
    /// Whether a version of the list has arrived since the last request.
    pub version_received: bool,
    /// Whether the current list is from a discovery at another address.
    pub discovery_changed: bool,
    /// The number of an empty list that was ignored on this watch, as its discovery counts anew.
    pub ignored_version: Option<u64>,
    /// Bytes of the first line since its deadline was last extended.
    progress_bytes: usize,
    /// The version of the current list.
    pub version: u64,
    /// The entries of the current list as discovery wrote them.
    pub entries: RawEntries,
    /// Whether the timer ends a pause before the next request; otherwise it limits the wait for a complete line.
    pub retry_pending: bool,
    /// The timer that `retry_pending` describes.
    pub timer: Option<Timer>,
}

/// What bytes of a response have completed.
pub(super) struct ResponseFeed {
    /// The lines that are not empty.
    lines: Vec<Vec<u8>>,
    /// Whether a line was completed, empty or not.
    pub(super) line_completed: bool,
    /// Whether the response goes on, or what is wrong with it.
    pub(super) outcome: Result<bool, ResponseError>,
}

/// Adds bytes to a response.
pub(super) fn feed_response(response: &mut WatchResponse, bytes: &[u8]) -> ResponseFeed {
    let mut lines: Vec<Vec<u8>> = Vec::new();
    let mut line_completed = false;
    let outcome = response.feed(bytes, |line| {
        line_completed = true;
        if !line.trim_ascii().is_empty() {
            lines.push(line.to_vec());
        }
    });
    ResponseFeed { lines, line_completed, outcome }
}

impl Watch {
    /// A watch that has not been requested yet.
    pub fn new(now: f64, discovery: SocketAddr) -> Watch {
        Watch {
            discovery,
            response: None,
            schedule: RequestSchedule::new(now),
            line_received: false,
            version_received: false,
            discovery_changed: false,
            ignored_version: None,
            progress_bytes: 0,
            version: 0,
            entries: RawEntries::default(),
            retry_pending: false,
            timer: None,
        }
    }
}

impl Reducer {
    /// Requests the watch unless it is open.
    pub(super) fn open_watch(&mut self, now: f64) {
        if self.watch.response.is_none() {
            self.counters.watch_requests += 1;
            self.reset_watch(now);
            self.effects.push(Effect::OpenWatch(self.watch.discovery, self.watch.version));
            self.schedule_hedge(now);
        }
    }

    /// Resets what is known of the watch to that of a request that was made at `requested_at` and not answered yet.
    fn reset_watch(&mut self, requested_at: f64) {
        self.watch.retry_pending = false;
        self.watch.schedule.record_request(requested_at);
        (self.watch.line_received, self.watch.progress_bytes) = (false, 0);
        (self.watch.version_received, self.watch.ignored_version) = (false, None);
        self.set_watch_timer(requested_at + WATCH_OPEN_TIMEOUT_SECONDS);
    }

    /// Takes a hedged request that is being answered for the watch.
    pub(super) fn replace_watch(&mut self, hedge: HedgedRequest) {
        self.reset_watch(hedge.requested_at);
        self.watch.response = Some(hedge.response);
    }

    /// Handles the established connection of the watch.
    pub(super) fn handle_watch_opened(&mut self, now: f64) {
        self.watch.response = Some(WatchResponse::default());
        self.note_discovery_connection(now, true);
    }

    /// Requests the full list from discovery at another address, at once. The version numbers of the old discovery
    /// don't apply to the new one: compared with them, the list of a discovery with lower numbers would look outdated
    /// and never be applied. The current list is kept until the new one arrives, and what it has withdrawn is held down in
    /// that.
    pub(super) fn switch_discovery(&mut self, now: f64, discovery: SocketAddr) {
        self.stop_hedging();
        if discovery != self.watch.discovery {
            self.hedges.forget_discovery();
        }
        let timer = self.watch.timer.take();
        let entries = std::mem::take(&mut self.watch.entries);
        let schedule = self.watch.schedule.for_new_discovery(now);
        self.watch =
            Watch { timer, entries, schedule, discovery_changed: true, ..Watch::new(now, discovery) };
        self.open_watch(now);
    }

    /// Sets the time by which the next line must have arrived, or at which the watch is requested again.
    fn set_watch_timer(&mut self, at: f64) {
        let new_timer = self.timers.set(at, TimerKind::Watch);
        if let Some(old) = self.watch.timer.replace(new_timer) {
            self.timers.cancel(old);
        }
    }

    /// Handles the end of a pause before the next request, or of the wait for a complete line.
    pub(super) fn handle_watch_timer(&mut self, now: f64) {
        self.watch.timer = None;
        if std::mem::take(&mut self.watch.retry_pending) {
            self.open_watch(now);
        } else {
            self.abort_watch(now, WatchFailure::LineOverdue);
        }
    }

    /// Reads further bytes of the watch and applies the versions that they complete.
    pub(super) fn handle_watch_bytes(&mut self, now: f64, bytes: &[u8]) {
        let Some(mut response) = self.watch.response.take() else { return };
        let feed = feed_response(&mut response, bytes);
        self.watch.response = Some(response);
        self.handle_watch_feed(now, feed, bytes.len());
    }

    /// Applies the versions that further bytes of the watch have completed.
    pub(super) fn handle_watch_feed(&mut self, now: f64, feed: ResponseFeed, byte_count: usize) {
        let is_first_line = !self.watch.line_received;
        self.extend_watch_deadline(now, feed.line_completed, byte_count);
        if !feed.line_completed {
            self.postpone_hedge(now);
        }
        for line in feed.lines {
            if let Err(failure) = self.apply_line(now, &line) {
                return self.abort_watch(now, failure);
            }
        }
        if feed.line_completed {
            self.watch.schedule.record_line(now);
            self.confirm_list(now);
            self.hedge_next_line(now, is_first_line);
        }
        match feed.outcome {
            Ok(true) => {}
            Ok(false) => self.abort_watch(now, WatchFailure::ResponseEnded),
            Err(error) => self.abort_watch(now, WatchFailure::InvalidResponse(error)),
        }
    }

    /// Sets the next deadline after this many bytes of the watch.
    ///
    /// Only complete lines show that the watch works: a line that arrived in pieces and never ended kept a failed watch
    /// open for ever.
    fn extend_watch_deadline(&mut self, now: f64, line_completed: bool, byte_count: usize) {
        if line_completed {
            self.watch.line_received = true;
            return self.set_watch_timer(now + WATCH_SILENCE_TIMEOUT_SECONDS);
        }
        if self.watch.line_received {
            return;
        }
        self.watch.progress_bytes += byte_count;
        if self.watch.progress_bytes >= MIN_PROGRESS_BYTES {
            self.watch.progress_bytes = 0;
            let periods = self.watch.schedule.failed_attempts().clamp(1, MAX_FIRST_LINE_PERIODS);
            let latest =
                self.watch.schedule.requested_at() + WATCH_SILENCE_TIMEOUT_SECONDS * f64::from(periods);
            self.set_watch_timer(latest.min(now + WATCH_SILENCE_TIMEOUT_SECONDS));
        }
    }

    /// Applies a line that holds a version of the list.
    fn apply_line(&mut self, now: f64, line: &[u8]) -> Result<(), WatchFailure> {
        let version = ListVersion::parse(line, &self.names.zones).ok_or(WatchFailure::InvalidJson)?;
        if self.apply_list(now, version, false) {
            Ok(())
        } else {
            Err(WatchFailure::InvalidList)
        }
    }

    /// Closes the watch because of a failure, and schedules the next request.
    fn abort_watch(&mut self, now: f64, failure: WatchFailure) {
        if self.watch.schedule.failed_attempts() == 0 {
            warn!("discovery: the watch is closed: {failure}");
        }
        if failure == WatchFailure::LineOverdue && !self.watch.line_received {
            self.leave_overdue_request_open(now);
        } else {
            self.effects.push(Effect::CloseWatch);
        }
        self.schedule_watch_retry(now, failure);
    }

    /// Leaves a request open whose first line is overdue, beside the next one, unless an earlier such request is to be
    /// waited for.
    fn leave_overdue_request_open(&mut self, now: f64) {
        let requested_at = self.watch.schedule.requested_at();
        let response = self.watch.response.take().unwrap_or_default();
        if self.hedges.add_overdue(now, HedgedRequest { requested_at, response }) {
            self.effects.push(Effect::DemoteWatch(OVERDUE_SLOT));
        } else {
            self.effects.push(Effect::CloseWatch);
        }
    }

    /// Schedules the next request after the connection ended or was not established.
    pub(super) fn handle_watch_lost(&mut self, now: f64) {
        self.schedule_watch_retry(now, WatchFailure::ConnectionLost);
    }

    /// Schedules the next request after nobody has listened at discovery's address.
    pub(super) fn handle_watch_refused(&mut self, now: f64) {
        self.note_discovery_connection(now, false);
        self.handle_watch_lost(now);
    }

    /// Counts a failed attempt and sets the timer for the next request.
    fn schedule_watch_retry(&mut self, now: f64, failure: WatchFailure) {
        self.watch.response = None;
        if self.watch.line_received && failure != WatchFailure::LineOverdue {
            self.doubt_list_after_lost_watch(now);
        }
        self.note_failure_for_hedges(now, failure);
        self.counters.watch_failures.count(failure.name());
        let draw = self.rng.rand_float();
        let longest_pause = self.hedges.longest_interval();
        let due = self.watch.schedule.record_failure(now, failure, longest_pause, draw);
        debug!(
            "discovery: {failure}; requested {:.3} s ago, a missed change counts as known in {:.3} s, next request in {:.3} s",
            now - self.watch.schedule.requested_at(),
            self.watch.schedule.known_by() - now,
            due - now
        );
        self.watch.retry_pending = true;
        self.set_watch_timer(due);
    }
}
