//! Proxies are killed in turn without a preceding SIGTERM, and start again with only the node list that they
//! last had.

use super::{choose_proxies, current_batch, next_batch_time, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "restart-kill",
    description: "'part' of the proxies are killed within 'lasts' seconds, 'at_a_time' at a time, and start again at once",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    for proxy in current_batch(world, trouble, n, stage) {
        world.signal(now, proxy, Signal::Kill);
        world.start_proxy(now, proxy);
    }
    next_batch_time(world, trouble, n, stage)
}
