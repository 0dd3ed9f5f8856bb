//! More clients come than usual.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind =
    TroubleKind { name: "burst", description: "'size' times as many clients come", act };

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.population.arrival_multiple *= trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.population.arrival_multiple /= trouble.magnitude;
    None
}
