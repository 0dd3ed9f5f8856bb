//! More clients come than usual.

use super::Kind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: Kind = Kind { name: "burst", about: "'size' times as many clients come", act };

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.crowd.burst *= trouble.size;
        return Some(now + trouble.lasts);
    }
    world.crowd.burst /= trouble.size;
    None
}
