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
    ClosingTimedOut,
    /// It never said what it wants.
    FirstLineOverdue,
    /// Descriptors ran short, and it only held one.
    Evicted,
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
            CloseReason::ClosingTimedOut => "lingered",
            CloseReason::FirstLineOverdue => "first_line_overdue",
            CloseReason::Evicted => "made_room",
            CloseReason::ProcessEnded => "process_ended",
        }
    }
}

/// Why a client was given a last word of the proxy's own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerReason {
    /// The decisions turned it away or gave it up; they tell why.
    Rejected,
    Released,
    /// Its first line was not understood, too long or late.
    InvalidFirstLine,
    /// It went on talking while it waited for its answer.
    DataBeforeAnswer,
    /// A sign of life that is not given now.
    PingDeclined,
    /// Its connection could not be put back.
    RestoreFailed,
    /// It was sent away to be placed anew, or with its server's end.
    Moved,
    /// Its server stopped within a line.
    IncompleteLine,
}

impl AnswerReason {
    pub fn name(self) -> &'static str {
        match self {
            AnswerReason::Rejected => "refused",
            AnswerReason::Released => "gave_up",
            AnswerReason::InvalidFirstLine => "misunderstood",
            AnswerReason::DataBeforeAnswer => "spoke_early",
            AnswerReason::PingDeclined => "no_sign_of_life",
            AnswerReason::RestoreFailed => "not_put_back",
            AnswerReason::Moved => "moved",
            AnswerReason::IncompleteLine => "line_never_ended",
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
pub struct CountsByName(BTreeMap<&'static str, u64>);

impl CountsByName {
    pub fn count(&mut self, name: &'static str) {
        *self.0.entry(name).or_default() += 1;
    }

    fn to_json(&self) -> Value {
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
    pub endings: CountsByName,
    /// Why no further attempt was made.
    pub refusals: CountsByName,
    pub answers: CountsByName,
    pub closes: CountsByName,
}

impl Counters {
    pub fn to_json(&self) -> Value {
        json!({"attempts": self.attempts, "retries": self.retries, "endings": self.endings.to_json(),
               "refusals": self.refusals.to_json(), "answers": self.answers.to_json(), "closes": self.closes.to_json()})
    }
}
