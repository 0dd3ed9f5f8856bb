//! One shop's clients come in numbers.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "flood",
    description: "'size' times as many clients of the shop 'of' (the first if not told) come",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    let named =
        trouble.subject.as_ref().and_then(|of| world.experiment.tenants.iter().position(|s| s.name == *of));
    let shop = named.unwrap_or(0);
    if stage == 0 {
        world.population.tenant_multiples[shop] *= trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.population.tenant_multiples[shop] /= trouble.magnitude;
    None
}
