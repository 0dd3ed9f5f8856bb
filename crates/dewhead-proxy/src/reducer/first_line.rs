//! The first line of a client's connection: answers health checks, and starts or restores calls.

use super::clients::FIRST_LINE_TIMEOUT_SECONDS;
use super::{Effect, Endpoint, Reducer};
use crate::state::counters::AnswerReason;
use crate::state::sessions::SessionStage;
use crate::wire::answers;
use crate::wire::first_line::{parse_first_line, FirstLine};
use crate::wire::lines::first_line_end;
use crate::wire::server_list::server_id;
use dewhead::types::CallRequest;
use log::debug;
use std::ops::Range;

/// A client that names the server it was established at must be restored there within this many seconds, or gets an
/// error.
const RESTORE_TIMEOUT_SECONDS: f64 = 40.0;
/// Most `PING` lines that are answered on one connection.
const MAX_PINGS: u32 = 4;

impl Reducer {
    /// Processes the session's first line once it is complete: answers a `PING`, or starts or restores a call.
    pub(super) fn process_first_line(&mut self, now: f64, key: usize) {
        let session = &self.sessions[key];
        let arrived_at = session.held_request.map_or(now, |held| held.arrived_at);
        let end = match first_line_end(&session.first_line) {
            Ok(Some(end)) => end,
            Ok(None) => return,
            Err(_) => return self.answer_malformed(now, key),
        };
        match parse_first_line(
            &session.first_line[..end],
            arrived_at,
            self.longest_guard_time,
            &self.names,
            self.groups_enabled,
        ) {
            // A client that keeps sending `PING` must not be answered without limit.
            Ok(FirstLine::Ping) if session.pings < MAX_PINGS => self.answer_ping(now, key, end),
            Ok(FirstLine::Open { .. }) if session.has_left => {}
            Ok(FirstLine::Open { id, request, wait_range, server_range })
                if end == session.first_line.len() && self.may_use_id(now, id) =>
            {
                if self.list_reliance.is_doubted(now) {
                    return self.hold_request(now, key, &request, server_range.is_some());
                }
                self.sessions[key].held_request = None;
                self.open_request(now, key, id, request, wait_range, server_range)
            }
            Ok(_) => self.answer_malformed(now, key),
            Err(fault) => {
                debug!("a client's first line is invalid: {fault}");
                self.answer_malformed(now, key);
            }
        }
    }

    /// Answers a `PING` that takes this many bytes, and processes what follows it. It is answered only while this process
    /// takes clients; where that waits for discovery alone, the answer waits as well. Lines after it are processed either
    /// way.
    fn answer_ping(&mut self, now: f64, key: usize, length: usize) {
        let session = &mut self.sessions[key];
        session.pings += 1;
        session.first_line.drain(..length);
        let has_more = !session.first_line.is_empty();
        let is_held = self.list_reliance.declines_clients(now) && self.draining_since.is_none();
        session.held_pings += u32::from(is_held);
        let takes_clients = self.takes_clients(now);
        if takes_clients {
            self.effects.push(Effect::Write(Endpoint::Client(key), answers::PONG.to_vec()));
        }
        if has_more {
            self.process_first_line(now, key);
        } else if is_held {
            self.clear_idle(key);
        } else if !takes_clients {
            self.send_final_answer(now, key, Vec::new(), AnswerReason::PingDeclined);
        } else if self.sessions[key].idle_position.is_none() {
            self.mark_idle(now, key);
        }
    }

    /// Whether a request may have this id. One of another client's open request is rejected, as a server would treat it as
    /// a repeat of that request, and so is one that may have run already.
    fn may_use_id(&mut self, now: f64, id: u64) -> bool {
        !self.open_request_ids.contains(&id) && !self.abandoned_requests.contains(now, id)
    }

    /// Starts the session's request. `server_range` is where the first line names the server that held the connection
    /// before, if it does.
    fn open_request(
        &mut self,
        now: f64,
        key: usize,
        id: u64,
        request: CallRequest,
        wait_range: Range<usize>,
        server_range: Option<Range<usize>>,
    ) {
        self.open_request_ids.insert(id);
        self.clear_idle(key);
        self.replace_stage_timer(key, None);
        let session = &mut self.sessions[key];
        session.request_id = Some(id);
        session.wait_range = wait_range;
        session.traffic_type = request.traffic_type;
        if let Some(group) = request.group {
            debug!("{}: in group {group:x}", session.log_id());
        }
        let shown = String::from_utf8_lossy(&session.first_line);
        debug!("{}: request received: {}", session.log_id(), shown.trim_end());
        match server_range.map(|at| std::str::from_utf8(&session.first_line[at]).map_or(0, server_id)) {
            Some(server) => self.start_restoring(now, key, server, request),
            None => self.start_call(now, key, request),
        }
    }

    /// Starts to restore a connection at the server that held it before.
    fn start_restoring(&mut self, now: f64, key: usize, server: u64, request: CallRequest) {
        // With an unknown server, attempts would otherwise be made for the client's whole waiting time.
        let is_known = self.servers.0.contains_key(&server);
        let longest = if is_known { RESTORE_TIMEOUT_SECONDS } else { FIRST_LINE_TIMEOUT_SECONDS };
        let until = request.deadline.min(now + longest);
        let session = &mut self.sessions[key];
        session.stage = SessionStage::Restoring;
        session.restoring = Some((server, CallRequest { deadline: until, ..request }));
        self.limit_wait(now, key);
        let until = self.answer_deadline.map_or(until, |deadline| deadline.min(until));
        self.restore_connection(now, key, server, until);
    }

    /// Hands the session's call to the balancer.
    fn start_call(&mut self, now: f64, key: usize, request: CallRequest) {
        let deadline = self.answer_deadline.map_or(request.deadline, |limit| limit.min(request.deadline));
        let session = &mut self.sessions[key];
        session.stage = SessionStage::AwaitingServer;
        let call = self.balancer.accept_call(now, session.id, CallRequest { deadline, ..request });
        self.sessions[key].call = Some(call);
    }
}
