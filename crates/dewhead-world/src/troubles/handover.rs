//! Proxies are renewed in turn, each by a new process that takes the old one's place.

use super::{choose_proxies, next_turn, turn, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "handover",
    description: "'part' of the proxies are renewed within 'lasts' seconds, 'at_a_time' of them, by processes that take over",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    for proxy in turn(world, trouble, n, stage) {
        world.hand_over(now, proxy);
    }
    next_turn(world, trouble, n, stage)
}
