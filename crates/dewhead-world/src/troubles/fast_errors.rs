//! Nodes that answer errors at once, and so look idle.

use super::{choose_nodes, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "fast-errors",
    description: "'part' of the nodes answer ERR at once to all but one in 'size' new connections",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
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
