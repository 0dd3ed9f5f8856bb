//! The dewhead proxy. `lifecycle` starts and stops the process, `event_loop` moves bytes between sockets, `wire` parses
//! and writes the protocols, `control` serves the control socket, `guard` checks invariants at run time, and `reducer`
//! makes every change to what `state` holds. `clock` is the process's clock, and `transient` handles transient errors
//! of system calls.

pub mod clock;
pub mod control;
pub mod event_loop;
pub mod guard;
pub mod lifecycle;
pub mod reducer;
pub mod state;
pub mod transient;
pub mod wire;
