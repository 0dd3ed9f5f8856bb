//! The graceful stop, and the drain, which can be cancelled.

use super::{Reducer, TimerKind, ARRIVALS_AFTER_STOP_SECONDS};
use crate::state::sessions::{LegStage, SessionStage};
use dewhead::types::LegOutcome;
use log::info;

/// A stopping process is killed 0.7 s after its stop time, which is the longest guard time or, if shorter, this many
/// seconds after the stop was requested.
const MAX_STOP_WAIT_SECONDS: f64 = 3.0;
/// In seconds after the stop time: when every waiting client has its answer, when all established clients are moved,
/// and when the process exits. A retirement has its own time in place of the stop time: its spread plus the longest
/// guard time.
const ANSWERS_DUE_AFTER_SECONDS: f64 = 0.4;
const FINAL_MOVES_AFTER_SECONDS: f64 = 0.45;
const EXIT_AFTER_SECONDS: f64 = 0.6;

impl Reducer {
    /// Starts a stop that a signal requested. During a handover the signal's time limits replace the handover's, as the
    /// sender of the signal waits no longer.
    pub(super) fn begin_stop(&mut self, now: f64) {
        if self.stop_requested {
            return;
        }
        info!("stopping: {} sessions are open", self.sessions.len());
        self.stop_requested = true;
        self.exits_when_empty = true;
        self.drain_spread = self.default_drain_spread();
        self.schedule_moves(now);
        self.schedule_exit(now, self.longest_guard_time.min(MAX_STOP_WAIT_SECONDS));
    }

    /// The longest time that a stop requested by a signal takes, in seconds.
    pub fn max_stop_duration(&self) -> f64 {
        self.longest_guard_time.min(MAX_STOP_WAIT_SECONDS) + EXIT_AFTER_SECONDS
    }

    /// Sets the timers and the answer deadline for an exit about this many seconds from now. Without the deadline,
    /// calls waited for their whole guard time, 4.8 s at one site, and clients that were waiting, established or late
    /// to arrive were cut off when the process was killed.
    pub(super) fn schedule_exit(&mut self, now: f64, seconds: f64) {
        self.timers.set(now + ARRIVALS_AFTER_STOP_SECONDS, TimerKind::ArrivalsOver);
        self.timers.set(now + seconds + FINAL_MOVES_AFTER_SECONDS, TimerKind::FinalMoves);
        self.timers.set(now + seconds + EXIT_AFTER_SECONDS, TimerKind::Exit);
        let deadline = now + seconds + ANSWERS_DUE_AFTER_SECONDS;
        self.answer_deadline = Some(self.answer_deadline.map_or(deadline, |earlier| earlier.min(deadline)));
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.limit_wait(now, key));
    }

    /// Limits a waiting call and its legs to the answer deadline, if one is set, so that its client can still read the
    /// answer.
    pub(super) fn limit_wait(&mut self, now: f64, key: usize) {
        let Some(deadline) = self.answer_deadline else { return };
        let session = &mut self.sessions[key];
        match session.stage {
            SessionStage::AwaitingFirstLine => return self.limit_held(now, key),
            SessionStage::AwaitingServer => {}
            SessionStage::Restoring => {
                if let Some((_, request)) = &mut session.restoring {
                    request.deadline = request.deadline.min(deadline);
                }
            }
            _ => return,
        }
        if let Some(call) = &session.call {
            call.limit_deadline(deadline);
        }
        let legs: Vec<usize> = session.legs.iter().map(|(_, leg)| *leg).collect();
        for leg in legs {
            let server_leg = &mut self.legs[leg];
            if server_leg.answer_by > deadline {
                server_leg.answer_by = deadline;
                // A leg that is not connected yet may have an earlier limit already.
                let at = match server_leg.stage {
                    // Its timer starts the connection again, or ends the leg in time.
                    LegStage::Queued => continue,
                    LegStage::Connecting => server_leg.connect_by.min(deadline),
                    _ => deadline,
                };
                if let Some(old) = server_leg.timer.replace(self.timers.set(at.max(now), TimerKind::Leg(leg)))
                {
                    self.timers.cancel(old);
                }
            }
        }
    }

    /// When all clients that are still established are moved, in seconds; infinite while no stop or retirement is in
    /// progress.
    pub(super) fn final_moves_at(&self) -> f64 {
        self.answer_deadline.map_or(f64::INFINITY, |deadline| {
            deadline + FINAL_MOVES_AFTER_SECONDS - ANSWERS_DUE_AFTER_SECONDS
        })
    }

    /// Moves all clients that are still established, while they have time to read the `MOVE`.
    pub(super) fn move_remaining_clients(&mut self, now: f64) {
        for key in self.established_sessions() {
            self.move_client(now, key, LegOutcome::Cancelled);
        }
    }

    /// Whether the process may exit: it has no session left and no more clients arrive, or the time for its stop is
    /// over.
    pub fn is_finished(&self, now: f64) -> bool {
        let arrivals_over = self.draining_since.is_some_and(|at| now >= at + ARRIVALS_AFTER_STOP_SECONDS);
        self.exit_due || (self.exits_when_empty && arrivals_over && self.sessions.is_empty())
    }

    /// Starts moving all clients away over this many seconds.
    pub(super) fn begin_drain(&mut self, now: f64, spread: f64) {
        if self.exits_when_empty {
            return;
        }
        info!("draining: {} sessions are open", self.sessions.len());
        self.drain_spread = spread.max(0.0);
        self.schedule_moves(now);
    }

    /// The seconds over which clients are moved away at a stop, and where the request for a drain or the successor's
    /// report gives none.
    pub fn default_drain_spread(&self) -> f64 {
        0.5 * self.longest_guard_time.min(MAX_STOP_WAIT_SECONDS)
    }

    /// Cancels a drain: clients that have not been moved yet stay.
    pub(super) fn cancel_drain(&mut self) {
        if self.exits_when_empty || self.draining_since.take().is_none() {
            return;
        }
        info!("serving again: {} sessions are open", self.sessions.len());
        for key in self.established_sessions() {
            self.replace_wake_timer(key, None);
            // A client that waits for the end of a line to be moved for the drain stays as well.
            let pending_move = &mut self.sessions[key].pending_move;
            *pending_move = pending_move.filter(|outcome| *outcome != LegOutcome::Cancelled);
        }
    }

    /// The slots of all established sessions.
    fn established_sessions(&self) -> Vec<usize> {
        self.sessions
            .iter()
            .filter(|(_, s)| s.stage == SessionStage::Established)
            .map(|(key, _)| key)
            .collect()
    }

    /// Begins a drain: sets a timer for each established client to be moved.
    pub(super) fn schedule_moves(&mut self, now: f64) {
        self.draining_since = Some(now);
        for key in self.established_sessions() {
            let at = self.pick_move_time(now);
            let timer = self.timers.set(at, TimerKind::MoveClient(key));
            self.replace_wake_timer(key, Some(timer));
        }
    }

    /// Draws the time at which a client is moved in a drain that began at `start`: spread at random, after clients have
    /// stopped arriving and well before the exit.
    pub(super) fn pick_move_time(&mut self, start: f64) -> f64 {
        let latest = self.final_moves_at();
        (start + ARRIVALS_AFTER_STOP_SECONDS + 0.1 + self.drain_spread * self.rng.rand_float()).min(latest)
    }
}
