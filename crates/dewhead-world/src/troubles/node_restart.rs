//! Node processes end and start again, cold.

use super::{choose_nodes, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "node-restart",
    description: "the processes of 'part' of the nodes end and start again, cold, after 'lasts' seconds",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        for node in choose_nodes(world, trouble, n) {
            world.kill_node(now, node);
        }
        return Some(now + trouble.duration);
    }
    for node in world.affected.remove(&n).unwrap_or_default() {
        world.start_node(now, node);
    }
    None
}
