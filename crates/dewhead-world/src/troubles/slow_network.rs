//! Everything takes longer on its way.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind =
    TroubleKind { name: "slow-network", description: "all links are 'size' times as slow", act };

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.network.latency_factor *= trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.network.latency_factor /= trouble.magnitude;
    None
}
