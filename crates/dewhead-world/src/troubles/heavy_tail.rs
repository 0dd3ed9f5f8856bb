//! Some calls of a traffic type suddenly ask for far more than they usually do, and than they tell.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "heavy-tail",
    description: "'part' of the new clients of the traffic type 'of' (the second if not told) ask 'size' times the usual",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    let named =
        trouble.subject.as_ref().and_then(|of| world.experiment.traffic.iter().position(|t| t.name == *of));
    let kind = named.unwrap_or(1.min(world.experiment.traffic.len() - 1));
    if stage == 0 {
        world.population.heavy_loads[kind] = (trouble.fraction, trouble.magnitude);
        return Some(now + trouble.duration);
    }
    world.population.heavy_loads[kind] = (0.0, 1.0);
    None
}
