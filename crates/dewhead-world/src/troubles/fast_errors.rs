//! Nodes answer with errors immediately, and therefore appear idle.

use super::{choose_nodes, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "fast-errors",
    description: "'part' of the nodes answer ERR immediately to all but one in 'size' new connections",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        for node in choose_nodes(world, trouble, n) {
            world.nodes[node].error_share = 1.0 - 1.0 / trouble.magnitude.max(1.0);
        }
        return Some(now + trouble.duration);
    }
    for node in world.affected.remove(&n).unwrap_or_default() {
        world.nodes[node].error_share = 0.0;
    }
    None
}
