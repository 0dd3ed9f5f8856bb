//! Some calls of a traffic type cause far more load than usual, and more than their clients report.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "heavy-tail",
    description: "'part' of the new clients of the traffic type 'of' (default: the second) have 'size' times the usual load",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    let position = trouble
        .subject
        .as_ref()
        .and_then(|subject| world.experiment.traffic.iter().position(|t| t.name == *subject));
    let traffic_type = position.unwrap_or(1.min(world.experiment.traffic.len() - 1));
    if stage == 0 {
        world.population.heavy_loads[traffic_type] = (trouble.fraction, trouble.magnitude);
        return Some(now + trouble.duration);
    }
    world.population.heavy_loads[traffic_type] = (0.0, 1.0);
    None
}
