//! Why a call was not sent on: the reasons that logs and counters tell.

use std::fmt;

/// Why no further attempt was made for a call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Refusal {
    /// No server is listed as ready.
    NoServer,
    /// Each ready server is at its limit, or has just said that it is full.
    AtLimit,
    /// Servers of which nothing is known are taken to be as full as the known ones.
    UnknownLoad,
    /// Servers in slow start have no budget left for this balancer.
    SlowStart,
    /// The call's group may not spread to further servers.
    GroupSpread,
    /// Each server left looks sick, or has had this call before.
    Unhealthy,
    /// An earlier attempt may have run, and no server left may see a repeat.
    RepeatForbidden,
    /// All attempts that a call may have are made.
    AttemptsSpent,
    /// The client's waiting time is over.
    TimeOver,
    /// Attempts fail everywhere, so that a further one would only add load.
    SharedFault,
}

impl Refusal {
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

/// How many servers one selection passed over, by reason.
#[derive(Clone, Copy, Default, Debug)]
pub struct SkipCounts([u32; Refusal::ALL.len()]);

impl SkipCounts {
    pub fn record(&mut self, why: Refusal) {
        self.0[why as usize] += 1;
    }

    /// The reason that most servers were passed over for; none listed is a reason of its own.
    pub fn main_reason(&self) -> Refusal {
        let most = Refusal::ALL.into_iter().max_by_key(|why| self.0[*why as usize]);
        most.filter(|why| self.0[*why as usize] > 0).unwrap_or(Refusal::NoServer)
    }
}
