//! Fault injection for real processes: a [`plan::Plan`] of which system calls fail, passed in an environment variable.
//!
//! The library that injects the faults is `dewhead-faults-preload`. It is a separate package so that a program that
//! only writes plans does not get its own system calls replaced.

pub mod plan;
