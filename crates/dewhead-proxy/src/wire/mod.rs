//! What is spoken: pure functions on bytes, with no socket and no clock.

pub mod answers;
pub mod first_line;
pub mod http;
pub mod lines;
pub mod server_list;
