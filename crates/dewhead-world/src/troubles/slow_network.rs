//! The latency of all links increases.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "slow-network",
    description: "the latency of all links is multiplied by 'size'",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.network.latency_factor *= trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.network.latency_factor /= trouble.magnitude;
    None
}
