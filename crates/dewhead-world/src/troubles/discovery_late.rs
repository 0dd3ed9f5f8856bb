//! What becomes of nodes is known later than usual.

use super::Kind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: Kind = Kind {
    name: "discovery-late",
    about: "discovery learns of changes 'size' seconds later than usual",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        world.discovery.late += trouble.size;
        return Some(now + trouble.lasts);
    }
    world.discovery.late -= trouble.size;
    None
}
