//! Another service on the same machines uses part of their capacity, which is not reported anywhere.

use super::{choose_nodes, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "neighbour",
    description: "'part' of the nodes are 'size' times as slow as they were",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        for node in choose_nodes(world, trouble, n) {
            world.nodes[node].advance(now);
            world.nodes[node].neighbour_share = 1.0 - 1.0 / trouble.magnitude.max(1.0);
        }
        return Some(now + trouble.duration);
    }
    for node in world.affected.remove(&n).unwrap_or_default() {
        world.nodes[node].advance(now);
        world.nodes[node].neighbour_share = 0.0;
    }
    None
}
