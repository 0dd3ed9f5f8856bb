//! dewhead decides where long-lived connections go. The decisions stand in [`rules`], what it asks of its
//! surroundings in [`outward`], and the plain words both share in [`terms`].

pub mod learned;
pub mod outward;
pub mod refusal;
pub mod rules;
pub mod slow_start;
pub mod state;
pub mod terms;
