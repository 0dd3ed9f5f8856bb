//! Hedged requests for the watch: makes further requests while discovery leaves the watch unanswered, and takes the first
//! one that is answered for the watch.

use super::{Effect, Reducer, TimerKind};
use crate::state::hedged_requests::{MAX_HEDGES, OVERDUE_SLOT};
use crate::state::watch_failure::WatchFailure;
use crate::wire::http::WatchResponse;
use dewhead::list_source::OVERLOADED_ANSWER_SECONDS;

/// Discovery writes a line to a watch at least every two seconds; one that is this many seconds late may be lost.
const LATE_LINE_SECONDS: f64 = 2.1;

impl Reducer {
    /// Sets the time of the next hedged request, in seconds.
    fn set_hedge_timer(&mut self, at: f64) {
        let new_timer = self.hedges.enabled().then(|| self.timers.set(at, TimerKind::HedgedRequest));
        if let Some(old) = std::mem::replace(&mut self.hedges.timer, new_timer) {
            self.timers.cancel(old);
        }
    }

    /// Schedules the next hedged request after a request for the watch, hedged or not.
    pub(super) fn schedule_hedge(&mut self, now: f64) {
        if self.hedges.enabled() {
            let draw = self.rng.rand_float();
            self.set_hedge_timer(self.hedges.next_due(now, OVERLOADED_ANSWER_SECONDS, draw));
        }
    }

    /// Gives up the hedged requests, as the watch has delivered a line: its first one, or a later one. If the next line is
    /// late, requests are hedged again.
    pub(super) fn hedge_next_line(&mut self, now: f64, is_first: bool) {
        if is_first {
            self.hedges.record_answer(now - self.watch.schedule.requested_at());
        }
        self.stop_hedging();
        if self.hedges.answers_at_once_or_never() {
            self.set_hedge_timer(now + LATE_LINE_SECONDS);
        }
    }

    /// Gives up the hedged requests and makes no further ones until the next request for the watch.
    pub(super) fn stop_hedging(&mut self) {
        self.close_hedges();
        self.cancel_hedge_timer();
    }

    /// Makes no further hedged requests until the next request for the watch. Those that wait are left open: an overloaded
    /// discovery works on them even if they are given up, and may still answer one.
    fn cancel_hedge_timer(&mut self) {
        if let Some(timer) = self.hedges.timer.take() {
            self.timers.cancel(timer);
        }
    }

    /// Notes for the hedged requests how the watch, or a request for it, has failed.
    pub(super) fn note_failure_for_hedges(&mut self, now: f64, failure: WatchFailure) {
        if failure.is_overload() {
            self.note_refusal_for_list(now);
            self.hedges.record_refusal();
            self.cancel_hedge_timer();
        } else if failure == WatchFailure::LineOverdue && !self.watch.line_received {
            self.hedges.record_answers_at_once_or_never();
        }
    }

    /// Closes the connections of the hedged requests.
    fn close_hedges(&mut self) {
        let slots = self.hedges.clear();
        self.effects.extend(slots.into_iter().map(Effect::CloseHedge));
    }

    /// Makes a hedged request, unless the watch itself is about to be requested.
    pub(super) fn handle_hedge_timer(&mut self, now: f64) {
        self.hedges.timer = None;
        if !self.watch.retry_pending {
            let slot = self.hedges.add(now);
            self.counters.hedged_watch_requests += 1;
            self.effects.push(Effect::OpenHedge(slot, self.watch.discovery, self.watch.version));
        }
        self.schedule_hedge(now);
    }

    /// Puts the next hedged request off, as a part of a line has just arrived and the rest is likely to follow.
    pub(super) fn postpone_hedge(&mut self, now: f64) {
        self.set_hedge_timer(now + self.hedges.longest_interval());
    }

    /// Reads further bytes of a hedged request's answer. The request takes the place of the watch once it is being
    /// answered, or, while a line of the watch is incomplete, once it has delivered one.
    pub(super) fn handle_hedge_bytes(&mut self, now: f64, slot: usize, bytes: &[u8]) {
        let Some(hedge) = self.hedges.slots[slot].as_mut() else { return };
        let feed = super::watch::feed_response(&mut hedge.response, bytes);
        match feed.outcome {
            Err(error) => {
                self.close_hedge(slot);
                self.note_failure_for_hedges(now, WatchFailure::InvalidResponse(error));
            }
            Ok(false) => self.close_hedge(slot),
            Ok(true) if !hedge.response.has_head() => {}
            Ok(true) if feed.line_completed || self.may_become_watch(slot) => {
                let Some(hedge) = self.hedges.slots[slot].take() else { return };
                self.effects.push(Effect::PromoteHedge(slot));
                self.replace_watch(hedge);
                self.handle_watch_feed(now, feed, bytes.len());
            }
            Ok(true) if slot == OVERDUE_SLOT => {}
            Ok(true) => self.close_other_answers(slot),
        }
    }

    /// Whether the hedged request in this slot takes the place of the watch before it has delivered a line: one that is
    /// overdue does not, nor does any while a line of the watch is incomplete.
    fn may_become_watch(&self, slot: usize) -> bool {
        slot != OVERDUE_SLOT && !self.watch_has_partial_line()
    }

    /// Whether a part of a line of the watch has arrived, and not its end.
    fn watch_has_partial_line(&self) -> bool {
        self.watch.response.as_ref().is_some_and(WatchResponse::has_partial_line)
    }

    /// Gives up the hedged requests that are being answered, but for this one: beside the watch only one list is received
    /// at a time, as a long one takes much of a small process's memory.
    fn close_other_answers(&mut self, slot: usize) {
        for other in (0..MAX_HEDGES).filter(|other| *other != slot) {
            if self.hedges.slots[other].as_ref().is_some_and(|hedge| hedge.response.has_head()) {
                self.close_hedge(other);
            }
        }
    }

    /// Handles a hedged request whose connection ended or was not established.
    pub(super) fn handle_hedge_lost(&mut self, slot: usize) {
        self.hedges.slots[slot] = None;
    }

    /// Gives up one hedged request.
    fn close_hedge(&mut self, slot: usize) {
        self.hedges.slots[slot] = None;
        self.effects.push(Effect::CloseHedge(slot));
    }
}
