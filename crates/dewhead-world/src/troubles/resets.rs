//! Connections are reset on both sides of the proxies: between proxies and nodes, and by clients.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{ConnectionKey, EndKind, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "resets",
    description: "'part' of the connections to nodes, and of the clients', are reset within 'lasts' seconds",
    on_stage,
};

/// Number of steps into which the duration is divided.
const STEPS: u32 = 20;

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    let probability = trouble.fraction / f64::from(STEPS);
    let connections: Vec<ConnectionKey> = world.connections.keys().collect();
    for connection in connections {
        if world.trouble_random[n].bernoulli(probability) {
            world.drop_connection(now, connection, EndKind::Broken);
        }
    }
    for client in world.established_clients() {
        if world.trouble_random[n].bernoulli(probability) {
            world.drop_client(now, client, EndKind::Broken);
        }
    }
    (stage + 1 < STEPS).then(|| now + trouble.duration / f64::from(STEPS))
}
