//! Proxies are killed outright, in turn, and start again from nothing but the list that they last had.

use super::{choose_proxies, next_turn, turn, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "restart-kill",
    description: "'part' of the proxies are killed within 'lasts' seconds, 'at_a_time' of them, and start again at once",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    for proxy in turn(world, trouble, n, stage) {
        world.signal(now, proxy, Signal::Kill);
        world.start_proxy(now, proxy);
    }
    next_turn(world, trouble, n, stage)
}
