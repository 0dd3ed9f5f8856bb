//! Nodes are drained in turn and replaced by new processes, as in a rolling update.

use super::{choose_nodes, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "drain",
    description:
        "'part' of the nodes are drained, 'at_a_time' at a time, and start again, cold, 'size' seconds later",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_nodes(world, trouble, n);
    }
    // Even stages drain a batch of nodes; odd stages start the nodes drained before.
    let affected = super::current_batch(world, trouble, n, stage / 2);
    if stage.is_multiple_of(2) {
        for node in affected {
            world.drain(now, node);
        }
        return Some(now + trouble.magnitude);
    }
    for node in affected {
        world.kill_node(now, node);
        world.start_node(now, node);
    }
    super::next_batch_time(world, trouble, n, stage / 2).map(|at| at.max(now))
}
