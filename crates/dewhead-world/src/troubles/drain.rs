//! Nodes are drained one after the other and replaced by new processes, as at a roll-out.

use super::{choose_nodes, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "drain",
    description:
        "'part' of the nodes are drained, 'at_a_time' of them, and start anew, cold, 'size' seconds later",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_nodes(world, trouble, n);
    }
    // Drains and starts take turns: even stages drain, odd ones start what was drained before.
    let affected = super::turn(world, trouble, n, stage / 2);
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
    super::next_turn(world, trouble, n, stage / 2).map(|at| at.max(now))
}
