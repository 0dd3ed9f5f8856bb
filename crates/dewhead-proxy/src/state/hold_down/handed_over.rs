//! Hold-downs in the form in which a process hands them over to its successor.

use super::{HoldDown, HoldDowns, WithdrawnBy, HOLD_DOWN_SECONDS};
use dewhead::types::ServerState;
use serde::{Deserialize, Serialize};

/// A server that was withdrawn from new calls, as a process hands it over to its successor.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct WithdrawnServer {
    server: u64,
    is_draining: bool,
    withdrawn_by: WithdrawnBy,
    is_provisional: bool,
    /// When its process started, by the wall clock as discovery reported it, in seconds since 1970.
    started: Option<f64>,
    /// For how many seconds it has been withdrawn; none if that is not known.
    age: Option<f64>,
    /// In how many seconds the hold-down is over; none while the list has the server as draining.
    ends_in: Option<f64>,
}

impl WithdrawnServer {
    /// The server's id.
    pub fn server(&self) -> u64 {
        self.server
    }

    /// When its process started, by the wall clock as discovery reported it, in seconds since 1970.
    pub fn started_by_wall_clock(&self) -> Option<f64> {
        self.started
    }
}

impl HoldDowns {
    /// What a successor needs to hold the same servers down.
    pub fn export(&self, now: f64) -> Vec<WithdrawnServer> {
        let exported = |(server, hold_down): (&u64, &HoldDown)| WithdrawnServer {
            server: *server,
            is_draining: hold_down.state == ServerState::Draining,
            withdrawn_by: hold_down.withdrawn_by,
            is_provisional: hold_down.is_provisional,
            started: hold_down.started_by_wall_clock,
            age: Some(now - hold_down.withdrawn_at).filter(|age| age.is_finite()),
            ends_in: hold_down.until.map(|until| until - now),
        };
        self.0.iter().map(exported).collect()
    }

    /// Takes over a server that a predecessor held down at `exported_at`. `started` is its start on this process's clock;
    /// `is_listed`: the list names it.
    pub fn import(
        &mut self,
        exported_at: f64,
        withdrawn: &WithdrawnServer,
        started: Option<f64>,
        is_listed: bool,
    ) {
        let stays_listed = is_listed && withdrawn.is_draining;
        let ends_in = withdrawn.ends_in.or((!stays_listed).then_some(HOLD_DOWN_SECONDS));
        let hold_down = HoldDown {
            state: if withdrawn.is_draining { ServerState::Draining } else { ServerState::Gone },
            withdrawn_by: withdrawn.withdrawn_by,
            is_provisional: withdrawn.is_provisional,
            withdrawn_at: withdrawn.age.map_or(f64::NEG_INFINITY, |age| exported_at - age),
            started,
            started_by_wall_clock: withdrawn.started,
            until: ends_in.map(|ends_in| exported_at + ends_in.min(HOLD_DOWN_SECONDS)),
            listed: None,
            was_listed: false,
        };
        self.0.insert(withdrawn.server, hold_down);
    }
}
