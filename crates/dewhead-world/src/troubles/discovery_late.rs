//! Changes reach discovery later than usual.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "discovery-late",
    description: "discovery learns of changes 'size' seconds later than usual",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.discovery.extra_delay += trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.discovery.extra_delay -= trouble.magnitude;
    None
}
