//! Sessions and legs. A session is one client's connection, from its first byte until both it and its legs are
//! closed; a leg is one connection to a server for it.

use super::timers::Timer;
use crate::guard::Sent;
use crate::wire::lines::Lines;
use dewhead::state::Call;
use dewhead::types::{CallRequest, LegOutcome};
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Its first line has not come yet.
    Greeting,
    /// The call waits for a server's answer.
    Waiting,
    /// It stood at a server before, and is put back there.
    Returning,
    Standing,
    /// Answered or ended; only its last bytes are on their way.
    Parting,
}

pub struct Session {
    /// Tells this holder of the slot from earlier ones.
    pub id: u64,
    pub stage: Stage,
    /// The id that its client gave it, while its request is open.
    pub named: Option<u64>,
    /// Its place among those that only wait for their client.
    pub loiters: Option<u64>,
    /// Lines of its client that asked for nothing but a sign of life.
    pub pings: u32,
    /// The first line; given back once the call stands.
    pub head: Vec<u8>,
    /// Where in it the client's waiting time stands.
    pub wait: Range<usize>,
    pub traffic: usize,
    pub call: Option<Rc<Call>>,
    /// Legs out: the number each has in the call, and its slot.
    pub legs: Vec<(usize, usize)>,
    /// Legs sent so far.
    pub sent: usize,
    /// Lines from the server to the client.
    pub down: Lines,
    /// Lines from the client: how many have had no line back, when the last came, and the oldest of them.
    pub up: Lines,
    pub asked: u32,
    pub asked_at: f64,
    pub unanswered: Option<f64>,
    /// To be moved as soon as the server's present line is through, and how its leg then ends.
    pub moving: Option<LegOutcome>,
    /// For greeting, silence and parting, one after the other.
    pub timer: Option<Timer>,
    /// For the call's own wake and for leaving at a stop.
    pub wake: Option<Timer>,
    /// The first attempt that may have run, as the guard knows it.
    pub ran: Option<Sent>,
    /// For `Returning`: the server that held it before, and what it wants.
    pub returning: Option<(u64, CallRequest)>,
}

/// The client's id of a session, for the log: by it a request is followed through all proxies that it came to.
pub struct Who(Option<u64>);

impl fmt::Display for Who {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(id) => write!(f, "{id:016x}"),
            None => f.write_str("a client"),
        }
    }
}

impl Session {
    pub fn who(&self) -> Who {
        Who(self.named)
    }

    /// The leg that it stands on, also while its last lines go through.
    pub fn bound(&self) -> Option<usize> {
        match self.stage {
            Stage::Standing | Stage::Parting => self.legs.first().map(|(_, leg)| *leg),
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
    Asked,
    Standing,
    Parting,
}

pub struct Out {
    pub session: usize,
    /// Its number in the call.
    pub number: usize,
    pub server: u64,
    /// Where it was dialled.
    pub to: SocketAddr,
    pub stage: LegStage,
    /// The server's answer, until its line is whole; given back once the call stands.
    pub answer: Vec<u8>,
    /// Its connection is up by then, and the server has answered by then.
    pub up_by: f64,
    pub until: f64,
    /// When its head's last byte was written.
    pub asked_at: f64,
    pub timer: Option<Timer>,
    /// The last line said that the server ends the connection: served, or sent away.
    pub farewell: Option<LegOutcome>,
}
