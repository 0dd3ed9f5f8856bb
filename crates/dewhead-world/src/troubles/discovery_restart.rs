//! Discovery starts anew, closes its watches and counts its versions from one again.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "discovery-restart",
    description: "discovery starts anew and counts versions from one again",
    act,
};

fn act(world: &mut World, now: f64, _trouble: &Trouble, _n: usize, _stage: u32) -> Option<f64> {
    world.restart_discovery(now);
    None
}
