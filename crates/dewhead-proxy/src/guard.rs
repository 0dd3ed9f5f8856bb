//! The promises that every path has to keep, checked at run time in the one place where each could be broken: before a
//! request is sent, before it is repeated, before a connection is closed, and while a server is in slow start.
//!
//! The checks go by what the proxy itself has seen and share nothing with the decisions that they check. What fails one
//! is a fault of the program: it is counted, told in the log with the request's id, and not done where that is possible.

pub mod cold_start;

use dewhead::types::{Idempotency, RepeatScope};
use log::error;
use std::fmt;

/// A promise that was about to be broken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Violation {
    /// A request was to be sent for a client that no longer waits for it.
    SentWithoutClient,
    /// A request was to be sent after its time.
    SentAfterDeadline,
    /// A request was to be sent to a server that is not ready.
    SentToUnreadyServer,
    /// A second attempt was to overlap one that is out, where that is not allowed.
    OverlappingAttempts,
    /// A request that may have run was to be sent where a repeat is not known to be harmless.
    UnsafeRepeat,
    /// A connection was closed with a request read and no answer given.
    ClosedUnanswered,
    /// A standing connection was closed without `MOVE` while its server answered.
    CutWithoutMove,
    /// A server in slow start was sent more by this proxy than all proxies together may send it.
    SlowStartExceeded,
    /// A process ended before its predecessor, with which a supervisor may kill clients that were not told to move.
    EndedBeforePredecessor,
}

impl Violation {
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

/// What is known in the moment before a request's first byte is written.
pub struct SendFacts {
    pub client_waiting: bool,
    pub before_deadline: bool,
    pub server_ready: bool,
}

/// Where and when an attempt that may have run was sent.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub at: f64,
    pub zone: usize,
    pub cell: u64,
}

/// What is known before a further attempt. Times are seconds.
pub struct RepeatFacts {
    pub effect: Idempotency,
    /// How long a repeat is recognised.
    pub repeat_window: f64,
    /// Attempts that are out, and whether two may be.
    pub attempts_out: usize,
    pub two_at_once: bool,
    /// The first attempt that may have run.
    pub may_have_run: Option<SentAttempt>,
    /// Where the further one would go.
    pub target: SentAttempt,
}

/// What a connection's client is owed when it is closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PendingReply {
    Nothing,
    /// A request was read.
    Answer,
    /// Its server still answers.
    Move,
}

/// Counts the violations.
#[derive(Default)]
pub struct Guard {
    counts: [u64; Violation::ALL.len()],
}

impl Guard {
    /// How often each promise was about to be broken.
    pub fn counts(&self) -> impl Iterator<Item = (Violation, u64)> + '_ {
        Violation::ALL.into_iter().map(|violation| (violation, self.counts[violation as usize]))
    }

    pub fn total(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Counts a violation, tells it in the log and returns it.
    pub fn record_violation(&mut self, violation: Violation, who: &dyn fmt::Display) -> Violation {
        self.counts[violation as usize] += 1;
        error!("invariant violated: {violation}: {who}");
        violation
    }

    fn check(&mut self, found: Option<Violation>, who: &dyn fmt::Display) -> Result<(), Violation> {
        found.map_or(Ok(()), |violation| Err(self.record_violation(violation, who)))
    }

    /// # Errors
    ///
    /// The promise that sending the request would break; it must not be sent.
    pub fn may_send(&mut self, facts: &SendFacts, who: &dyn fmt::Display) -> Result<(), Violation> {
        let found = match facts {
            SendFacts { client_waiting: false, .. } => Some(Violation::SentWithoutClient),
            SendFacts { before_deadline: false, .. } => Some(Violation::SentAfterDeadline),
            SendFacts { server_ready: false, .. } => Some(Violation::SentToUnreadyServer),
            _ => None,
        };
        self.check(found, who)
    }

    /// # Errors
    ///
    /// The promise that a further attempt would break; it must not be made.
    pub fn may_repeat(&mut self, facts: &RepeatFacts, who: &dyn fmt::Display) -> Result<(), Violation> {
        let overlaps =
            facts.attempts_out > 0 && !(facts.two_at_once && facts.effect == Idempotency::Repeatable);
        let unsafely = facts.may_have_run.is_some_and(|ran| !facts.is_known_at(ran));
        let found = match () {
            () if overlaps => Some(Violation::OverlappingAttempts),
            () if unsafely => Some(Violation::UnsafeRepeat),
            () => None,
        };
        self.check(found, who)
    }

    /// Counts a close that leaves something owed.
    pub fn check_close(&mut self, owed: PendingReply, who: &dyn fmt::Display) {
        match owed {
            PendingReply::Nothing => {}
            PendingReply::Answer => _ = self.record_violation(Violation::ClosedUnanswered, who),
            PendingReply::Move => _ = self.record_violation(Violation::CutWithoutMove, who),
        }
    }

    /// # Errors
    ///
    /// This proxy alone would send a server in slow start more in a window than all may.
    pub fn may_send_in_slow_start(
        &mut self,
        sent: usize,
        most: f64,
        who: &dyn fmt::Display,
    ) -> Result<(), Violation> {
        let found = (sent as f64 >= most.max(1.0)).then_some(Violation::SlowStartExceeded);
        self.check(found, who)
    }
}

impl RepeatFacts {
    /// Whether the server would know the request for a repeat of the one that was sent there before.
    fn is_known_at(&self, ran: SentAttempt) -> bool {
        match self.effect {
            Idempotency::Repeatable => true,
            Idempotency::OnceOnly => false,
            Idempotency::Referenced(group) => {
                let in_group = match group {
                    RepeatScope::All => true,
                    RepeatScope::Zone => ran.zone == self.target.zone,
                    RepeatScope::Cell => ran.zone == self.target.zone && ran.cell == self.target.cell,
                };
                in_group && self.target.at - ran.at < self.repeat_window
            }
        }
    }
}
