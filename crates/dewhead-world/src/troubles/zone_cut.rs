//! Zones are cut off from each other: open connections between them stay open and silent, and new ones are
//! not established.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "zone-cut",
    description: "the zone 'zone' (default: the last) is cut off from all others for 'lasts' seconds",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, _n: usize, stage: u32) -> Option<f64> {
    let zones = &world.experiment.fleet.zones;
    let cut = trouble
        .zone
        .as_ref()
        .and_then(|z| zones.iter().position(|name| name == z))
        .unwrap_or(zones.len() - 1);
    let others: Vec<usize> = (0..zones.len()).filter(|z| *z != cut).collect();
    for other in others {
        if stage == 0 {
            world.network.cut(cut, other);
        } else {
            world.network.restore(cut, other);
        }
    }
    if stage == 0 {
        return Some(now + trouble.duration);
    }
    world.release_held_messages(now);
    None
}
