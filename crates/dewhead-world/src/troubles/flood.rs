//! One shop's clients come in numbers.

use super::Kind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: Kind = Kind {
    name: "flood",
    about: "'size' times as many clients of the shop 'of' (the first if not told) come",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    let named = trouble.of.as_ref().and_then(|of| world.of.shops.iter().position(|s| s.name == *of));
    let shop = named.unwrap_or(0);
    if stage == 0 {
        world.crowd.floods[shop] *= trouble.size;
        return Some(now + trouble.lasts);
    }
    world.crowd.floods[shop] /= trouble.size;
    None
}
