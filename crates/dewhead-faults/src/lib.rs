//! Fault injection for real processes: what is to fail, as a [`plan::Plan`] that travels in an environment variable.
//!
//! The library that carries a plan out is `dewhead-faults-preload`; it is a package of its own so that no program that
//! merely writes plans has its own system calls replaced.

pub mod plan;
