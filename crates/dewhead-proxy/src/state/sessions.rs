//! Sessions and legs. A session is one client's connection, from its first byte until both it and its legs are
//! closed; a leg is one connection to a server for it.

use super::timers::Timer;
use crate::guard::SentAttempt;
use crate::wire::lines::LineScanner;
use dewhead::state::Call;
use dewhead::types::{CallRequest, LegOutcome};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SessionStage {
    /// Its first line has not come yet.
    AwaitingFirstLine,
    /// The call waits for a server's answer.
    AwaitingServer,
    /// It stood at a server before, and is put back there.
    Restoring,
    Established,
    /// Answered or ended; only its last bytes are on their way.
    Closing,
}

pub struct Session {
    /// Tells this holder of the slot from earlier ones.
    pub id: u64,
    pub stage: SessionStage,
    /// The id that its client gave it, while its request is open.
    pub request_id: Option<u64>,
    /// Its place among those that only wait for their client.
    pub idle_position: Option<u64>,
    /// LineScanner of its client that asked for nothing but a sign of life.
    pub pings: u32,
    /// The first line; given back once the call stands.
    pub first_line: Vec<u8>,
    /// Where in it the client's waiting time stands.
    pub wait_range: Range<usize>,
    pub traffic: usize,
    pub call: Option<Rc<Call>>,
    /// Legs out: the number each has in the call, and its slot.
    pub legs: Vec<(usize, usize)>,
    /// Legs sent so far.
    pub legs_sent: usize,
    /// LineScanner from the server to the client.
    pub from_server: LineScanner,
    /// LineScanner from the client: how many have had no line back, when the last came, and the oldest of them.
    pub from_client: LineScanner,
    pub unanswered_lines: u32,
    pub last_line_at: f64,
    pub unanswered_since: Option<f64>,
    /// To be moved as soon as the server's present line is through, and how its leg then ends.
    pub pending_move: Option<LegOutcome>,
    /// For greeting, silence and parting, one after the other.
    pub timer: Option<Timer>,
    /// For the call's own wake and for leaving at a stop.
    pub wake_timer: Option<Timer>,
    /// The first attempt that may have run, as the guard knows it.
    pub may_have_run: Option<SentAttempt>,
    /// For `Returning`: the server that held it before, and what it wants.
    pub restoring: Option<(u64, CallRequest)>,
}

/// The client's id of a session, for the log: by it a request is followed through all proxies that it came to.
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
    pub fn log_id(&self) -> LogId {
        LogId(self.request_id)
    }

    /// The leg that it stands on, also while its last lines go through.
    pub fn established_leg(&self) -> Option<usize> {
        match self.stage {
            SessionStage::Established | SessionStage::Closing => self.legs.first().map(|(_, leg)| *leg),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LegStage {
    /// To be dialled once this machine can.
    Queued,
    Connecting,
    /// The head's last byte is written.
    AwaitingAnswer,
    Established,
    Closing,
}

pub struct ServerLeg {
    pub session: usize,
    /// Its number in the call.
    pub number: usize,
    pub server: u64,
    /// Where it was dialled.
    pub address: SocketAddr,
    pub stage: LegStage,
    /// The server's answer, until its line is whole; given back once the call stands.
    pub answer: Vec<u8>,
    /// Its connection is up by then, and the server has answered by then.
    pub connect_by: f64,
    pub answer_by: f64,
    /// When its head's last byte was written.
    pub head_sent_at: f64,
    pub timer: Option<Timer>,
    /// The last line said that the server ends the connection: served, or sent away.
    pub announced_ending: Option<LegOutcome>,
}
