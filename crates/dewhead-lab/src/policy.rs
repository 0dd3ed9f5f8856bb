//! Load-balancing policies that dewhead is compared with, and an oracle that uses every node's actual state, which no
//! real proxy has.

use dewhead_world::nodes::NodeState;
use dewhead_world::world::World;
use std::cell::RefCell;
use std::rc::Rc;

/// How a baseline proxy chooses a node for a new connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Policy {
    /// A node drawn uniformly at random.
    Random,
    /// The nodes in turn.
    RoundRobin,
    /// The node with the fewest connections from this proxy, ties broken at random.
    LeastOwnConnections,
    /// Of two nodes drawn at random, the one with fewer connections from this proxy.
    TwoChoices,
    /// The node with the lowest actual utilisation: an upper bound that only a simulation can reach.
    Oracle,
}

/// All policies with the names that `--who` takes.
pub const NAMED_POLICIES: [(&str, Policy); 5] = [
    ("random", Policy::Random),
    ("round-robin", Policy::RoundRobin),
    ("least-own", Policy::LeastOwnConnections),
    ("two-choices", Policy::TwoChoices),
    ("top", Policy::Oracle),
];

/// A node's actual state in the simulated world.
#[derive(Clone, Copy, Debug)]
pub struct NodeSnapshot {
    /// Whether the node is in the state `Up`.
    pub up: bool,
    /// The index of the node's zone.
    pub zone: usize,
    /// How much load the node can serve now, in standard cores.
    pub capacity: f64,
    /// The load of the established connections, in standard cores. A proxy adds that of a connection it places, until
    /// the next snapshot.
    pub load: f64,
    /// How long new work waits in the node's queue, in seconds.
    pub queueing_delay: f64,
    /// The share of connections that the node answers with an error, from 0 to 1.
    pub error_share: f64,
}

/// The nodes' names and states, shared by all proxies. A snapshot is refreshed at intervals; a proxy that places a
/// connection in between adds its load.
pub type SharedSnapshots = Rc<RefCell<Vec<(String, NodeSnapshot)>>>;

/// The actual state of every node in the world at `now`.
pub fn snapshot_nodes(world: &World, now: f64) -> Vec<(String, NodeSnapshot)> {
    let snapshot = |n: usize| {
        let node = &world.nodes[n];
        let state = NodeSnapshot {
            up: node.state == NodeState::Up,
            zone: node.zone,
            capacity: node.capacity(now),
            load: node.load(),
            queueing_delay: node.queueing_delay(now),
            error_share: node.error_share,
        };
        (world.node_name(n).to_owned(), state)
    };
    (0..world.nodes.len()).map(snapshot).collect()
}
