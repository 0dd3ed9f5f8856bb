//! The control socket: one request a line, one answer a line, both JSON. `words` knows them, `socket` has the connections,
//! `ask` is the other side, for the command line.

pub mod ask;
pub mod socket;
pub mod words;
