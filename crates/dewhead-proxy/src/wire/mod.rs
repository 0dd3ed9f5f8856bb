//! Parsing and writing of the protocols: pure functions on bytes, without sockets or clocks.

pub mod answers;
pub mod first_line;
pub mod http;
pub mod lines;
pub mod server_list;
