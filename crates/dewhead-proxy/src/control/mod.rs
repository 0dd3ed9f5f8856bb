//! The control socket: one request a line, one answer a line, both JSON. `words` knows them, `desk` has the sockets,
//! `ask` is the other side, for the command line.

pub mod ask;
pub mod desk;
pub mod words;
