//! Baselines: plain ways to place a connection, and a top that sees what no proxy can.

use dewhead_world::nodes::NodeState;
use dewhead_world::world::World;
use std::cell::RefCell;
use std::rc::Rc;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Policy {
    Random,
    RoundRobin,
    /// Least of the proxy's own connections.
    LeastOwnConnections,
    /// The lesser of two drawn at random, by the proxy's own connections.
    TwoChoices,
    /// Sees every node's true state.
    Oracle,
}

pub const NAMED_POLICIES: [(&str, Policy); 5] = [
    ("random", Policy::Random),
    ("round-robin", Policy::RoundRobin),
    ("least-own", Policy::LeastOwnConnections),
    ("two-choices", Policy::TwoChoices),
    ("top", Policy::Oracle),
];

/// A node's true state.
#[derive(Clone, Copy, Debug)]
pub struct NodeSnapshot {
    pub up: bool,
    pub zone: usize,
    pub capacity: f64,
    /// What stands, and what is being set up.
    pub load: f64,
    pub queueing_delay: f64,
    pub error_share: f64,
}

/// All nodes' true states as of a moment ago, by name; what has been placed since is added by who places it.
pub type SharedSnapshots = Rc<RefCell<Vec<(String, NodeSnapshot)>>>;

/// Looks at the whole world.
pub fn snapshot_nodes(world: &World, now: f64) -> Vec<(String, NodeSnapshot)> {
    let one = |n: usize| {
        let node = &world.nodes[n];
        let truth = NodeSnapshot {
            up: node.state == NodeState::Up,
            zone: node.zone,
            capacity: node.capacity(now),
            load: node.load(),
            queueing_delay: node.queueing_delay(now),
            error_share: node.error_share,
        };
        (world.node_name(n).to_owned(), truth)
    };
    (0..world.nodes.len()).map(one).collect()
}
