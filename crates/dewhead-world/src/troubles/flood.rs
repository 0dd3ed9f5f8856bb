//! Many more clients of one tenant arrive.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "flood",
    description:
        "the arrival rate of the clients of tenant 'of' (default: the first) is multiplied by 'size'",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    let position = trouble
        .subject
        .as_ref()
        .and_then(|subject| world.experiment.tenants.iter().position(|s| s.name == *subject));
    let tenant = position.unwrap_or(0);
    if stage == 0 {
        world.population.tenant_multiples[tenant] *= trouble.magnitude;
        return Some(now + trouble.duration);
    }
    world.population.tenant_multiples[tenant] /= trouble.magnitude;
    None
}
