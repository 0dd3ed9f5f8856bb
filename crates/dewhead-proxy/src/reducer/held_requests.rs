//! Requests and health checks that wait for discovery to confirm the list of servers, and what becomes of them.

use super::{Effect, Endpoint, Reducer, TimerKind, TIMER_RESOLUTION_SECONDS};
use crate::state::counters::AnswerReason;
use crate::state::sessions::{HeldRequest, Session, SessionStage};
use crate::wire::answers;
use dewhead::list_source;
use dewhead::types::CallRequest;
use log::info;

impl Reducer {
    /// Whether a health check may be answered: servers are known, discovery has confirmed the list or has had its time for
    /// that, and no drain, retirement or stop is in progress.
    pub(super) fn takes_clients(&self, now: f64) -> bool {
        self.has_usable_server_list(now) && self.draining_since.is_none()
    }

    /// Whether a list that names servers is held, which discovery has confirmed or has had its time to confirm.
    pub fn has_usable_server_list(&self, now: f64) -> bool {
        self.has_server_list() && !self.list_reliance.declines_clients(now)
    }

    /// Sets the timer for when the list is used without discovery's answer.
    pub(super) fn schedule_list_doubt_end(&mut self) {
        if let Some(until) = self.list_reliance.doubted_until() {
            self.timers.set(until + TIMER_RESOLUTION_SECONDS, TimerKind::ListDoubtEnd);
        }
    }

    /// Records that discovery has confirmed the list, and processes what has waited for that.
    pub(super) fn confirm_list(&mut self, now: f64) {
        self.list_reliance.on_confirmation();
        self.release_held_if_relied_on(now);
    }

    /// Handles the end of the time in which discovery should have confirmed the list.
    pub(super) fn end_list_doubt(&mut self, now: f64) {
        if self.list_reliance.doubted_until().is_some() {
            info!("discovery has not confirmed the server list, which is used all the same");
            self.release_held_if_relied_on(now);
        }
    }

    /// Records that the watch was lost after it had delivered a line: the list may lack what discovery is told from now on.
    pub(super) fn doubt_list_after_lost_watch(&mut self, now: f64) {
        self.list_reliance.on_lost_watch(now);
        self.schedule_list_doubt_end();
    }

    /// Records that discovery has refused a request for the watch.
    pub(super) fn note_refusal_for_list(&mut self, now: f64) {
        self.list_reliance.on_refusal();
        self.release_held_if_relied_on(now);
    }

    /// Records whether a connection to discovery could be made.
    pub(super) fn note_discovery_connection(&mut self, now: f64, established: bool) {
        self.list_reliance.on_connection_attempt(established);
        self.release_held_if_relied_on(now);
    }

    /// Keeps a request until discovery has confirmed the list, for as long as it can still be served in its time. A connection
    /// that is to be restored can be served here alone, and has no set-up target.
    pub(super) fn hold_request(&mut self, now: f64, key: usize, request: &CallRequest, is_restored: bool) {
        let arrived_at = self.sessions[key].held_request.map_or(now, |held| held.arrived_at);
        let target =
            if is_restored { f64::INFINITY } else { self.traffic_types[request.traffic_type].setup_target };
        let limit = list_source::wait_limit(arrived_at, request.deadline, target, self.connect_timeout);
        let answer_by = self.answer_deadline.map_or(limit, |latest| latest.min(limit));
        self.clear_idle(key);
        self.sessions[key].held_request = Some(HeldRequest { arrived_at, answer_by });
        self.replace_stage_timer(key, Some(answer_by.max(now)));
    }

    /// Rejects a request that has waited in vain, or leaves a health check unanswered.
    pub(super) fn decline_held(&mut self, now: f64, key: usize) {
        if self.sessions[key].held_request.is_none() {
            return self.send_final_answer(now, key, Vec::new(), AnswerReason::PingDeclined);
        }
        let retry_after =
            list_source::retry_after(self.list_reliance.doubted_until(), now, self.max_retry_after);
        self.send_final_answer(now, key, answers::busy(retry_after), AnswerReason::ListUnconfirmed);
    }

    /// Processes all held requests and health checks if servers may be chosen by the list.
    fn release_held_if_relied_on(&mut self, now: f64) {
        if self.list_reliance.is_doubted(now) {
            return;
        }
        let keys: Vec<usize> =
            self.sessions.iter().filter(|(_, session)| session.is_held()).map(|(key, _)| key).collect();
        for key in keys {
            self.release_pings(now, key);
            if self.sessions.get(key).is_some_and(Session::is_held) {
                self.process_first_line(now, key);
            }
        }
    }

    /// Answers the session's held health checks, or ends it where they must stay unanswered and nothing follows them.
    fn release_pings(&mut self, now: f64, key: usize) {
        let takes_clients = self.takes_clients(now);
        let session = &mut self.sessions[key];
        let count = std::mem::take(&mut session.held_pings);
        if count == 0 {
            return;
        }
        let is_alone = session.first_line.is_empty();
        if takes_clients {
            let answer = answers::PONG.repeat(count as usize);
            self.effects.push(Effect::Write(Endpoint::Client(key), answer));
            if is_alone {
                self.mark_idle(now, key);
            }
        } else if is_alone {
            self.send_final_answer(now, key, Vec::new(), AnswerReason::PingDeclined);
        }
    }

    /// Limits a held request to the answer deadline, if one is set.
    pub(super) fn limit_held(&mut self, now: f64, key: usize) {
        let Some(deadline) = self.answer_deadline else { return };
        let session = &mut self.sessions[key];
        if let Some(held) =
            session.held_request.as_mut().filter(|_| session.stage == SessionStage::AwaitingFirstLine)
        {
            held.answer_by = held.answer_by.min(deadline);
            let at = held.answer_by.max(now);
            self.replace_stage_timer(key, Some(at));
        }
    }
}
