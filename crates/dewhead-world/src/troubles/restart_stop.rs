//! Proxies are restarted in turn with SIGTERM, and killed where they do not end by themselves.

use super::{choose_proxies, kill_delay, next_turn, turn, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "restart-stop",
    description:
        "'part' of the proxies are restarted within 'lasts' seconds, 'at_a_time' of them, with SIGTERM",
    act,
};

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    // Even stages stop, odd ones start.
    let affected = turn(world, trouble, n, stage / 2);
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
    next_turn(world, trouble, n, stage / 2)
}
