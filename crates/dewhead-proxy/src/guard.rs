//! Invariants that hold on every code path, checked at run time in the one place where each could be violated: before a
//! request is sent, before it is repeated, before a connection is closed, and while a server is in slow start.
//!
//! The checks use only what the proxy itself has observed and share no state with the decisions that they check. A
//! violation is a bug: it is counted, logged with the request's id, and the action is not carried out where that is
//! possible.

pub mod cold_start;

use dewhead::types::{Idempotency, RepeatScope};
use log::error;
use std::fmt;

/// An invariant that was about to be violated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Violation {
    /// A request was to be sent whose client no longer waits for the answer.
    SentWithoutClient,
    /// A request was to be sent after its deadline.
    SentAfterDeadline,
    /// A request was to be sent to a server that is not ready.
    SentToUnreadyServer,
    /// A second attempt was to be made while another one is open, where that is not allowed.
    OverlappingAttempts,
    /// A request that may have been executed was to be sent where a repeat is not known to be harmless.
    UnsafeRepeat,
    /// A connection was closed after a request was read and before it was answered.
    ClosedUnanswered,
    /// An established connection was closed without `MOVE` while its server was responding.
    CutWithoutMove,
    /// This proxy alone sent a server in slow start more than all proxies together may send it.
    SlowStartExceeded,
    /// A process exited before its predecessor. Its supervisor may then kill the predecessor, whose clients have not
    /// been sent `MOVE` yet.
    EndedBeforePredecessor,
}

impl Violation {
    /// All violations, in the order of their declaration.
    pub const ALL: [Violation; 9] = [
        Violation::SentWithoutClient,
        Violation::SentAfterDeadline,
        Violation::SentToUnreadyServer,
        Violation::OverlappingAttempts,
        Violation::UnsafeRepeat,
        Violation::ClosedUnanswered,
        Violation::CutWithoutMove,
        Violation::SlowStartExceeded,
        Violation::EndedBeforePredecessor,
    ];

    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Violation::SentWithoutClient => "sent_for_nobody",
            Violation::SentAfterDeadline => "sent_late",
            Violation::SentToUnreadyServer => "sent_to_withdrawn_server",
            Violation::OverlappingAttempts => "overlapped",
            Violation::UnsafeRepeat => "repeated_unsafely",
            Violation::ClosedUnanswered => "closed_unanswered",
            Violation::CutWithoutMove => "cut_off",
            Violation::SlowStartExceeded => "slow_start_exceeded",
            Violation::EndedBeforePredecessor => "predecessor_left",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The facts immediately before a request's first byte is written.
pub struct SendFacts {
    /// Whether the client still waits for the answer.
    pub client_waiting: bool,
    /// Whether the request's deadline is still to come.
    pub before_deadline: bool,
    /// Whether the server may take requests.
    pub server_ready: bool,
}

/// When and where an attempt was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// In seconds.
    pub at: f64,
    /// Index of the server's zone.
    pub zone: usize,
    /// The server's cell.
    pub cell: u64,
}

/// The facts before an attempt.
pub struct RepeatFacts {
    /// What executing the request twice does.
    pub idempotency: Idempotency,
    /// How long servers recognise a repeat, in seconds.
    pub repeat_window: f64,
    /// How many attempts are open.
    pub open_attempts: usize,
    /// Whether two attempts may be open at the same time.
    pub two_at_once: bool,
    /// The first attempt that may have been executed.
    pub may_have_run: Option<SentAttempt>,
    /// When and where the attempt would be sent.
    pub target: SentAttempt,
}

/// What a client must still be sent before its connection is closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PendingReply {
    /// Nothing.
    Nothing,
    /// An answer: its request was read.
    Answer,
    /// `MOVE`: its server is still responding.
    Move,
}

/// Checks the invariants and counts violations.
#[derive(Default)]
pub struct Guard {
    counts: [u64; Violation::ALL.len()],
}

impl Guard {
    /// The number of violations of each kind.
    pub fn counts(&self) -> impl Iterator<Item = (Violation, u64)> + '_ {
        Violation::ALL.into_iter().map(|violation| (violation, self.counts[violation as usize]))
    }

    /// The number of all violations.
    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Counts and logs a violation and returns it. `subject` names the request in the log.
    pub fn record_violation(&mut self, violation: Violation, subject: &dyn fmt::Display) -> Violation {
        self.counts[violation as usize] += 1;
        error!("invariant violated: {violation}: {subject}");
        violation
    }

    fn check(&mut self, found: Option<Violation>, subject: &dyn fmt::Display) -> Result<(), Violation> {
        found.map_or(Ok(()), |violation| Err(self.record_violation(violation, subject)))
    }

    /// Checks whether a request may be sent.
    ///
    /// # Errors
    ///
    /// The invariant that sending it would violate; it must not be sent.
    pub fn may_send(&mut self, facts: &SendFacts, subject: &dyn fmt::Display) -> Result<(), Violation> {
        let found = match facts {
            SendFacts { client_waiting: false, .. } => Some(Violation::SentWithoutClient),
            SendFacts { before_deadline: false, .. } => Some(Violation::SentAfterDeadline),
            SendFacts { server_ready: false, .. } => Some(Violation::SentToUnreadyServer),
            _ => None,
        };
        self.check(found, subject)
    }

    /// Checks whether an attempt may be made, given the earlier ones.
    ///
    /// # Errors
    ///
    /// The invariant that it would violate; it must not be made.
    pub fn may_repeat(&mut self, facts: &RepeatFacts, subject: &dyn fmt::Display) -> Result<(), Violation> {
        let overlaps =
            facts.open_attempts > 0 && !(facts.two_at_once && facts.idempotency == Idempotency::Repeatable);
        let unsafe_repeat = facts.may_have_run.is_some_and(|earlier| !facts.is_harmless_after(earlier));
        let found = match () {
            () if overlaps => Some(Violation::OverlappingAttempts),
            () if unsafe_repeat => Some(Violation::UnsafeRepeat),
            () => None,
        };
        self.check(found, subject)
    }

    /// Counts the closing of a connection whose client must still be sent something.
    pub fn check_close(&mut self, pending: PendingReply, subject: &dyn fmt::Display) {
        match pending {
            PendingReply::Nothing => {}
            PendingReply::Answer => _ = self.record_violation(Violation::ClosedUnanswered, subject),
            PendingReply::Move => _ = self.record_violation(Violation::CutWithoutMove, subject),
        }
    }

    /// Checks whether a server in slow start may be sent a request: `sent` is the number that this proxy has sent it
    /// within the window, `max_requests` the number that all proxies together may send. One is always allowed.
    ///
    /// # Errors
    ///
    /// The limit is reached; the request must not be sent.
    pub fn may_send_in_slow_start(
        &mut self,
        sent: usize,
        max_requests: f64,
        subject: &dyn fmt::Display,
    ) -> Result<(), Violation> {
        let found = (sent as f64 >= max_requests.max(1.0)).then_some(Violation::SlowStartExceeded);
        self.check(found, subject)
    }
}

impl RepeatFacts {
    /// Whether the attempt is harmless after the earlier one: the request is repeatable, or the server would recognise
    /// it as a repeat.
    fn is_harmless_after(&self, earlier: SentAttempt) -> bool {
        match self.idempotency {
            Idempotency::Repeatable => true,
            Idempotency::OnceOnly => false,
            Idempotency::Referenced(scope) => {
                let in_scope = match scope {
                    RepeatScope::All => true,
                    RepeatScope::Zone => earlier.zone == self.target.zone,
                    RepeatScope::Cell => earlier.zone == self.target.zone && earlier.cell == self.target.cell,
                };
                in_scope && self.target.at - earlier.at < self.repeat_window
            }
        }
    }
}
