//! dewhead decides where long-lived connections go. The decisions stand in [`rules`], what it asks of its
//! surroundings in [`host_interface`], and the plain words both share in [`types`].

pub mod host_interface;
pub mod refusal;
pub mod rules;
pub mod slow_start;
pub mod snapshot;
pub mod state;
pub mod types;
