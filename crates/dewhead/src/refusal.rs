//! The reasons for which a call is not sent on, as logs and counters name them.

use std::fmt;

/// Why no further leg was sent for a call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Refusal {
    /// No server is listed as ready.
    NoServer,
    /// Every ready server is at its limit or has just reported a full queue.
    AtLimit,
    /// Servers with unknown load are assumed to be as full as the known ones of their zone.
    UnknownLoad,
    /// This balancer's budget for servers in slow start is used up.
    SlowStart,
    /// The call's group may not spread to further servers.
    GroupSpread,
    /// Every remaining server appears unhealthy or has had a leg of this call.
    Unhealthy,
    /// An earlier leg may have run, and no remaining server may receive a repeat.
    RepeatForbidden,
    /// The call has used all the legs it may have.
    AttemptsSpent,
    /// The client's waiting time is over.
    TimeOver,
    /// Legs fail at all servers, so a further one would only add load.
    SharedFault,
}

impl Refusal {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Refusal; 10] = [
        Refusal::NoServer,
        Refusal::AtLimit,
        Refusal::UnknownLoad,
        Refusal::SlowStart,
        Refusal::GroupSpread,
        Refusal::Unhealthy,
        Refusal::RepeatForbidden,
        Refusal::AttemptsSpent,
        Refusal::TimeOver,
        Refusal::SharedFault,
    ];

    /// The reason's name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoServer => "no_server",
            Refusal::AtLimit => "at_limit",
            Refusal::UnknownLoad => "unknown_load",
            Refusal::SlowStart => "slow_start",
            Refusal::GroupSpread => "group_spread",
            Refusal::Unhealthy => "unhealthy",
            Refusal::RepeatForbidden => "repeat_forbidden",
            Refusal::AttemptsSpent => "attempts_spent",
            Refusal::TimeOver => "time_over",
            Refusal::SharedFault => "shared_fault",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The number of servers that one selection skipped, by reason.
#[derive(Clone, Copy, Default, Debug)]
pub struct SkipCounts([u32; Refusal::ALL.len()]);

impl SkipCounts {
    /// Counts one skipped server.
    pub fn record(&mut self, reason: Refusal) {
        self.0[reason as usize] += 1;
    }

    /// The reason for which most servers were skipped; `NoServer` if none were.
    pub fn main_reason(&self) -> Refusal {
        let main = Refusal::ALL.into_iter().max_by_key(|reason| self.0[*reason as usize]);
        main.filter(|reason| self.0[*reason as usize] > 0).unwrap_or(Refusal::NoServer)
    }
}
