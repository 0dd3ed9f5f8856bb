//! The dewhead proxy. `lifecycle` starts and stops it, `turn` moves bytes between sockets, `wire` knows what is
//! spoken, `control` answers operators, and every change of what `memory` keeps goes through `reducer`.

pub mod clock;
pub mod control;
pub mod event_loop;
pub mod guard;
pub mod lifecycle;
pub mod reducer;
pub mod state;
pub mod transient;
pub mod wire;
