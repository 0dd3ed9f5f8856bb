//! Proxies' configurations are replaced under load: discovery is at another address, and the old one closes.

use super::{choose_proxies, next_turn, turn, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "reconfigure",
    description:
        "'part' of the proxies get SIGHUP within 'lasts' seconds, 'at_a_time' of them, and discovery moves",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    for proxy in turn(world, trouble, n, stage) {
        world.move_discovery(now, proxy);
    }
    next_turn(world, trouble, n, stage)
}
