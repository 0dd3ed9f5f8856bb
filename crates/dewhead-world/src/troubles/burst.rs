//! More clients arrive than usual.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "burst",
    description: "the arrival rate of clients is multiplied by 'size'",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.population.arrival_multiple *= trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.population.arrival_multiple /= trouble.magnitude;
    None
}
