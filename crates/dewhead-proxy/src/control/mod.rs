//! The control socket: one request a line, one answer a line, both JSON. `words` knows them, `socket` has the connections,
//! `ask` is the other
//! side, for the command line, and `predecessor` that of a process that takes another's place.

pub mod client;
pub mod predecessor;
pub mod protocol;
pub mod socket;
