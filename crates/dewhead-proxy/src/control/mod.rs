//! The control socket of the proxy: one JSON request per line, answered by one JSON response per line.
//!
//! `protocol` parses and formats them, `socket` is the server side in the event loop, `client` is the side of
//! `dewhead ctl`, and `predecessor` is the side of a process that takes over from a running one.

pub mod client;
pub mod predecessor;
pub mod protocol;
pub mod socket;
