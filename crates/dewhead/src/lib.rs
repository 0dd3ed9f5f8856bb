//! Decides which server each call and its long-lived connection are sent to.
//!
//! [`rules`] makes the decisions over the data in [`state`], [`slow_start`] limits what is sent to servers that have
//! just started, [`list_source`] tells whether a server may be chosen by the list that is held, and [`refusal`] names the
//! reasons for which a call is not sent on. [`host_interface`] is what the library needs from the program that embeds it,
//! [`types`] holds the data types that both share, and [`snapshot`] exports what a balancer has learned of its servers,
//! for a successor.

pub mod host_interface;
pub mod list_source;
pub mod refusal;
pub mod rules;
pub mod slow_start;
pub mod snapshot;
pub mod state;
pub mod types;
