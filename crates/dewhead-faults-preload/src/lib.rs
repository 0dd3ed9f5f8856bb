//! Fault injection for real processes. Loaded with `LD_PRELOAD`, this library replaces some of the C library's system
//! call wrappers and makes calls fail, or transfer fewer bytes than requested, in ways that Linux documents.
//!
//! The environment variable [`dewhead_faults::plan::ENVIRONMENT_VARIABLE`] sets which calls fail and how often. Without
//! it no call is changed. The library is for this project's test processes and is never part of a deployment.

pub mod hooks;
