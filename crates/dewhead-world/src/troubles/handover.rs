//! Proxies are replaced in turn, each by a new process that takes over from the old one.

use super::{choose_proxies, current_batch, next_batch_time, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "handover",
    description: "'part' of the proxies are replaced within 'lasts' seconds, 'at_a_time' at a time, by processes that take over",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    for proxy in current_batch(world, trouble, n, stage) {
        world.hand_over(now, proxy);
    }
    next_batch_time(world, trouble, n, stage)
}
