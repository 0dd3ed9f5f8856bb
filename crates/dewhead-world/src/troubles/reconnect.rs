//! A part of the clients loses its connections at once and comes again: a mobile network's hiccup.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{EndKind, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "reconnect",
    description: "'part' of the standing clients drop within 'lasts' seconds and come again",
    act,
};

/// So many waves make up the time that it lasts.
const WAVES: u32 = 10;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    for client in world.established_clients() {
        if world.trouble_random[n].bernoulli(trouble.fraction / f64::from(WAVES)) {
            world.drop_client(now, client, EndKind::Closed);
        }
    }
    (stage + 1 < WAVES).then(|| now + trouble.duration / f64::from(WAVES))
}
