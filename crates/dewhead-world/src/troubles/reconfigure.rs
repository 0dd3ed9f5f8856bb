//! The configurations of proxies are replaced under load: discovery moves to another address, and the old one
//! closes.

use super::{choose_proxies, current_batch, next_batch_time, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "reconfigure",
    description:
        "'part' of the proxies get SIGHUP within 'lasts' seconds, 'at_a_time' at a time, and discovery moves",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    for proxy in current_batch(world, trouble, n, stage) {
        world.move_discovery(now, proxy);
    }
    next_batch_time(world, trouble, n, stage)
}
