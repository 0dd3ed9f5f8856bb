//! Sessions and legs. A session is one client's connection, from when it is accepted until it and all its legs are
//! closed; a leg is one connection to a server on its behalf.

use super::server_lines::ServerLines;
use super::timers::Timer;
use crate::guard::SentAttempt;
use crate::wire::lines::LineScanner;
use dewhead::state::Call;
use dewhead::types::{CallRequest, LegOutcome};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

/// How a connection was closed, or is to be closed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseKind {
    /// By an orderly end of the stream.
    Graceful,
    /// By a reset or another error.
    Abortive,
}

/// The state of a session.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SessionStage {
    /// The first line has not arrived yet.
    AwaitingFirstLine,
    /// The call waits for a server's answer.
    AwaitingServer,
    /// The connection was established at a server before, and is being restored there.
    Restoring,
    /// Connected to a server; lines pass in both directions.
    Established,
    /// Answered or ended; only the remaining bytes are still written.
    Closing,
}

/// A request that waits for discovery to confirm the list of servers. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct HeldRequest {
    /// When the request arrived.
    pub arrived_at: f64,
    /// When it is rejected if discovery has not answered.
    pub answer_by: f64,
}

/// One client's connection.
pub struct Session {
    /// The slot and a serial number, which distinguishes this session from earlier ones in the same slot.
    pub id: u64,
    /// Its state.
    pub stage: SessionStage,
    /// Whether the client has closed its connection, and only the bytes that it sent before are still processed.
    pub has_left: bool,
    /// The id that the client gave its request, while the request is open.
    pub request_id: Option<u64>,
    /// Key in the list of idle sessions, which only wait for their client.
    pub idle_position: Option<u64>,
    /// `PING` lines received.
    pub pings: u32,
    /// `PING` lines that are not answered yet, as discovery has not confirmed the list.
    pub held_pings: u32,
    /// If the first line is a request that waits for discovery to confirm the list: since when, and until when.
    pub held_request: Option<HeldRequest>,
    /// The first line; freed once the call is established.
    pub first_line: Vec<u8>,
    /// Where the client's waiting time is in the first line.
    pub wait_range: Range<usize>,
    /// Index of the traffic type.
    pub traffic_type: usize,
    /// The balancer's call; none before it was taken, and while the connection is being restored.
    pub call: Option<Rc<Call>>,
    /// Open legs: the leg's number in the call, and its slot.
    pub legs: Vec<(usize, usize)>,
    /// Legs sent so far.
    pub legs_sent: usize,
    /// Lines from the server to the client.
    pub from_server: ServerLines,
    /// Lines from the client to the server.
    pub from_client: LineScanner,
    /// Lines from the client that have not been answered by a line.
    pub unanswered_lines: u32,
    /// When the client's last line arrived, in seconds.
    pub last_line_at: f64,
    /// When the oldest unanswered line arrived, in seconds.
    pub unanswered_since: Option<f64>,
    /// If the client is to be sent `MOVE` once the server's current line is complete: the outcome of its leg then.
    pub pending_move: Option<LegOutcome>,
    /// The timer of the present stage: for the first line, the next attempt to restore, the next check of an established
    /// connection, or closing.
    pub timer: Option<Timer>,
    /// The call's own timer, or the time to send `MOVE` at a stop.
    pub wake_timer: Option<Timer>,
    /// The first attempt that may have been executed, for the guard's check.
    pub may_have_run: Option<SentAttempt>,
    /// While `Restoring`: the server that held the connection before, and the call's parameters.
    pub restoring: Option<(u64, CallRequest)>,
}

/// How a session is named in the log: by the id that the client gave its request. The id is the same at all proxies, so
/// that a request can be followed through them.
pub struct LogId(Option<u64>);

impl fmt::Display for LogId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(id) => write!(f, "{id:016x}"),
            None => f.write_str("a client"),
        }
    }
}

impl Session {
    /// The name of this session in the log.
    pub fn log_id(&self) -> LogId {
        LogId(self.request_id)
    }

    /// Whether the client waits for discovery to confirm the list.
    pub fn is_held(&self) -> bool {
        self.stage == SessionStage::AwaitingFirstLine && (self.held_pings > 0 || self.held_request.is_some())
    }

    /// The slot of the leg that the session is established on, also while its last lines are passed on.
    pub fn established_leg(&self) -> Option<usize> {
        match self.stage {
            SessionStage::Established | SessionStage::Closing => self.legs.first().map(|(_, leg)| *leg),
            _ => None,
        }
    }
}

/// The state of a leg.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LegStage {
    /// Not connecting yet, as this machine temporarily lacked a descriptor, memory or a local port.
    Queued,
    /// The connection is not established yet.
    Connecting,
    /// The last byte of the first line is written, and the server has not answered yet.
    AwaitingAnswer,
    /// The server has accepted the call; lines pass in both directions.
    Established,
    /// Ended; the server's last lines are still passed on.
    Closing,
}

/// One connection to a server on behalf of a session.
pub struct ServerLeg {
    /// Slot of the session.
    pub session: usize,
    /// The leg's number in the call.
    pub number: usize,
    /// Id of the server.
    pub server: u64,
    /// The address that it connects to.
    pub address: SocketAddr,
    /// Its state.
    pub stage: LegStage,
    /// The server's answer until its first line is complete; freed once the call is established.
    pub answer: Vec<u8>,
    /// The deadline for the connection to be established, in seconds.
    pub connect_by: f64,
    /// The deadline for the server's answer, in seconds.
    pub answer_by: f64,
    /// When the last byte of the first line was written, in seconds.
    pub head_sent_at: f64,
    /// The timer for `connect_by`, `answer_by` or the next connection attempt.
    pub timer: Option<Timer>,
    /// How the connection will end, as announced by the server's last line: served, or sent away by `MOVE`.
    pub announced_outcome: Option<LegOutcome>,
}
