//! The dewhead proxy. `lifecycle` starts and stops the process, `turn` is the event loop that moves bytes between sockets,
//! `wire` parses and writes the protocols, `control` serves the control socket, `guard` checks invariants at run time, and
//! `reducer` makes every change to what `state` holds.

pub mod clock;
pub mod control;
pub mod event_loop;
pub mod guard;
pub mod lifecycle;
pub mod reducer;
pub mod state;
pub mod transient;
pub mod wire;
