//! Fault injection for real processes. Loaded with `LD_PRELOAD`, this library stands before the C library's system
//! call wrappers and makes some calls fail, or transfer less than asked for, in ways that Linux documents.
//!
//! What fails, and how often, is told by the environment variable [`dewhead_faults::plan::ENVIRONMENT_VARIABLE`]. Without it every
//! call goes through. It is meant for this project's own test processes and is never part of a deployment.

pub mod hooks;
