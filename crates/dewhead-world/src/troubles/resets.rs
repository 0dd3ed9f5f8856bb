//! Connections are reset here and there, on both sides of the proxies: between proxies and nodes, and by clients.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{ConnectionKey, EndKind, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "resets",
    description: "'part' of the connections to nodes, and of the clients', are reset within 'lasts' seconds",
    act,
};

/// So many waves make up the time that it lasts.
const WAVES: u32 = 20;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    let part = trouble.fraction / f64::from(WAVES);
    let connections: Vec<ConnectionKey> = world.connections.keys().collect();
    for connection in connections {
        if world.trouble_random[n].bernoulli(part) {
            world.drop_connection(now, connection, EndKind::Broken);
        }
    }
    for client in world.established_clients() {
        if world.trouble_random[n].bernoulli(part) {
            world.drop_client(now, client, EndKind::Broken);
        }
    }
    (stage + 1 < WAVES).then(|| now + trouble.duration / f64::from(WAVES))
}
