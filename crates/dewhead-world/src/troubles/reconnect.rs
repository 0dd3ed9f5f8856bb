//! A part of the clients loses its connections at once and comes again: a mobile network's hiccup.

use super::Kind;
use crate::experiment::Trouble;
use crate::world::{How, World};

pub const KIND: Kind = Kind {
    name: "reconnect",
    about: "'part' of the standing clients drop within 'lasts' seconds and come again",
    act,
};

/// So many waves make up the time that it lasts.
const WAVES: u32 = 10;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    for client in world.standing_clients() {
        if world.trouble_chance[n].happens(trouble.part / f64::from(WAVES)) {
            world.drop_client(now, client, How::Closed);
        }
    }
    (stage + 1 < WAVES).then(|| now + trouble.lasts / f64::from(WAVES))
}
