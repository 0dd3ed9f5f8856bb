//! Discovery restarts: it closes its watches, and its versions start from one.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "discovery-restart",
    description: "discovery restarts and its versions start from one",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, _trouble: &Trouble, _n: usize, _stage: u32) -> Option<f64> {
    world.restart_discovery(now);
    None
}
