//! Event counters by reason, for the log and the control socket.

use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Why a client connection was closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseReason {
    /// The client closed it with a FIN.
    ClientEnded,
    /// The client reset it.
    ClientReset,
    /// The server closed it with a FIN.
    ServerEnded,
    /// The server reset it.
    ServerReset,
    /// The session was answered, or one side ended it, and its remaining connections were not closed in time.
    ClosingTimedOut,
    /// No first line arrived in time.
    FirstLineOverdue,
    /// File descriptors were short, and the connection was idle.
    Evicted,
    /// The process exited.
    ProcessEnded,
}

impl CloseReason {
    /// The name in logs and counters.
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

/// Why the proxy itself sent the final answer to a client.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerReason {
    /// The balancer rejected the call; its refusal reason is counted separately.
    Rejected,
    /// The balancer released the call; its refusal reason is counted separately.
    Released,
    /// The first line was malformed, too long or late.
    InvalidFirstLine,
    /// The client sent data before it had its answer.
    DataBeforeAnswer,
    /// A `PING` was not answered: no server is listed, discovery has not confirmed the list, or the proxy is moving its
    /// clients away.
    PingDeclined,
    /// Discovery did not confirm the list within the request's time.
    ListUnconfirmed,
    /// The connection could not be restored to the server that held it before.
    RestoreFailed,
    /// The client was sent `MOVE`, to be sent to another server or because its server ended the connection.
    Moved,
    /// The server stopped in the middle of a line.
    IncompleteLine,
}

impl AnswerReason {
    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            AnswerReason::Rejected => "refused",
            AnswerReason::Released => "gave_up",
            AnswerReason::InvalidFirstLine => "misunderstood",
            AnswerReason::DataBeforeAnswer => "spoke_early",
            AnswerReason::PingDeclined => "no_sign_of_life",
            AnswerReason::ListUnconfirmed => "list_unconfirmed",
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

/// Event counts by name.
#[derive(Default)]
pub struct CountsByName(BTreeMap<&'static str, u64>);

impl CountsByName {
    /// Adds one to the count under this name.
    pub fn count(&mut self, name: &'static str) {
        *self.0.entry(name).or_default() += 1;
    }

    /// The counts as a JSON object.
    fn to_json(&self) -> Value {
        Value::Object(
            self.0.iter().map(|(name, count)| ((*name).to_owned(), json!(count))).collect::<Map<_, _>>(),
        )
    }
}

/// All counts of a process since its start.
#[derive(Default)]
pub struct Counters {
    /// Attempts made, retries included.
    pub attempts: u64,
    /// Attempts after the first one of a call.
    pub retries: u64,
    /// How attempts and established connections ended.
    pub endings: CountsByName,
    /// Why no further attempt was made for a call.
    pub refusals: CountsByName,
    /// Final answers of the proxy itself, by `AnswerReason`.
    pub answers: CountsByName,
    /// Closed client connections, by `CloseReason`.
    pub closes: CountsByName,
    /// Requests for the watch.
    pub watch_requests: u64,
    /// Hedged requests for the watch.
    pub hedged_watch_requests: u64,
    /// Failed watches and failed requests for one, by `WatchFailure`.
    pub watch_failures: CountsByName,
}

impl Counters {
    /// All counts as the control socket reports them.
    pub fn to_json(&self) -> Value {
        json!({"attempts": self.attempts, "retries": self.retries, "endings": self.endings.to_json(),
               "refusals": self.refusals.to_json(), "answers": self.answers.to_json(), "closes": self.closes.to_json(),
               "watch_requests": self.watch_requests, "hedged_watch_requests": self.hedged_watch_requests,
               "watch_failures": self.watch_failures.to_json()})
    }
}
