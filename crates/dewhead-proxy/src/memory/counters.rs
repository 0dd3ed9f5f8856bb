//! What has happened so far, by reason: for the log and the control socket.

use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Why a client's connection was closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseReason {
    /// The client ended it, in order or by a reset.
    ClientEnded,
    ClientReset,
    /// Its server ended it, in order or by a reset.
    ServerEnded,
    ServerReset,
    /// It had its last word and did not go in time.
    Lingered,
    /// It never said what it wants.
    FirstLineOverdue,
    /// Descriptors ran short, and it only held one.
    MadeRoom,
    /// The process ended.
    ProcessEnded,
}

impl CloseReason {
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientEnded => "client_ended",
            CloseReason::ClientReset => "client_reset",
            CloseReason::ServerEnded => "server_ended",
            CloseReason::ServerReset => "server_reset",
            CloseReason::Lingered => "lingered",
            CloseReason::FirstLineOverdue => "first_line_overdue",
            CloseReason::MadeRoom => "made_room",
            CloseReason::ProcessEnded => "process_ended",
        }
    }
}

/// Why a client was given a last word of the proxy's own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerReason {
    /// The decisions turned it away or gave it up; they tell why.
    Refused,
    GaveUp,
    /// Its first line was not understood, too long or late.
    Misunderstood,
    /// It went on talking while it waited for its answer.
    SpokeEarly,
    /// A sign of life that is not given now.
    NoSignOfLife,
    /// Its connection could not be put back.
    NotPutBack,
    /// It was sent away to be placed anew, or with its server's end.
    Moved,
    /// Its server stopped within a line.
    LineNeverEnded,
}

impl AnswerReason {
    pub fn name(self) -> &'static str {
        match self {
            AnswerReason::Refused => "refused",
            AnswerReason::GaveUp => "gave_up",
            AnswerReason::Misunderstood => "misunderstood",
            AnswerReason::SpokeEarly => "spoke_early",
            AnswerReason::NoSignOfLife => "no_sign_of_life",
            AnswerReason::NotPutBack => "not_put_back",
            AnswerReason::Moved => "moved",
            AnswerReason::LineNeverEnded => "line_never_ended",
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for AnswerReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Counts by name.
#[derive(Default)]
pub struct Tally(BTreeMap<&'static str, u64>);

impl Tally {
    pub fn count(&mut self, name: &'static str) {
        *self.0.entry(name).or_default() += 1;
    }

    fn told(&self) -> Value {
        Value::Object(
            self.0.iter().map(|(name, count)| ((*name).to_owned(), json!(count))).collect::<Map<_, _>>(),
        )
    }
}

/// All counts of a process.
#[derive(Default)]
pub struct Counters {
    /// Attempts made, and how they ended.
    pub attempts: u64,
    pub retries: u64,
    pub endings: Tally,
    /// Why no further attempt was made.
    pub refusals: Tally,
    pub answers: Tally,
    pub closes: Tally,
}

impl Counters {
    pub fn told(&self) -> Value {
        json!({"attempts": self.attempts, "retries": self.retries, "endings": self.endings.told(),
               "refusals": self.refusals.told(), "answers": self.answers.told(), "closes": self.closes.told()})
    }
}
