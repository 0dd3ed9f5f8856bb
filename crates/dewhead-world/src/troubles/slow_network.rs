//! Everything takes longer on its way.

use super::Kind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: Kind = Kind { name: "slow-network", about: "all links are 'size' times as slow", act };

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.network.slower *= trouble.size;
        return Some(now + trouble.lasts);
    }
    world.network.slower /= trouble.size;
    None
}
