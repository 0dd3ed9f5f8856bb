//! A part of the clients lose their connections at once and reconnect, as after a failure of a mobile
//! network.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{EndKind, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "reconnect",
    description:
        "'part' of the connected clients drop their connections within 'lasts' seconds and reconnect",
    on_stage,
};

/// Number of steps into which the duration is divided.
const STEPS: u32 = 10;

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    for client in world.established_clients() {
        if world.trouble_random[n].bernoulli(trouble.fraction / f64::from(STEPS)) {
            world.drop_client(now, client, EndKind::Closed);
        }
    }
    (stage + 1 < STEPS).then(|| now + trouble.duration / f64::from(STEPS))
}
