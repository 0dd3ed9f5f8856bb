//! Proxies are restarted in turn with SIGTERM, and killed if they do not exit by themselves.

use super::{choose_proxies, current_batch, kill_delay, next_batch_time, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "restart-stop",
    description:
        "'part' of the proxies are restarted within 'lasts' seconds, 'at_a_time' at a time, with SIGTERM",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    // Even stages stop a batch of proxies; odd stages start it again.
    let affected = current_batch(world, trouble, n, stage / 2);
    if stage.is_multiple_of(2) {
        for proxy in affected {
            world.signal(now, proxy, Signal::Stop);
        }
        return Some(now + kill_delay(world));
    }
    for proxy in affected {
        world.signal(now, proxy, Signal::Kill);
        world.start_proxy(now, proxy);
    }
    next_batch_time(world, trouble, n, stage / 2)
}
