//! Proxies are restarted in turn with SIGTERM, and killed where they do not end by themselves.

use super::{choose_proxies, next_turn, turn, Kind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

pub const KIND: Kind = Kind {
    name: "restart-stop",
    about: "'part' of the proxies are restarted within 'lasts' seconds, 'at_a_time' of them, with SIGTERM",
    act,
};

/// After SIGTERM a process is killed no sooner than the longest guard time and this.
const KILLED_AFTER: f64 = 0.7;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    // Even stages stop, odd ones start.
    let hit = turn(world, trouble, n, stage / 2);
    if stage.is_multiple_of(2) {
        for proxy in hit {
            world.signal(now, proxy, Signal::Stop);
        }
        let guard = world.of.traffic.iter().map(|t| t.guard_time).fold(0.0, f64::max);
        return Some(now + guard + KILLED_AFTER);
    }
    for proxy in hit {
        world.signal(now, proxy, Signal::Kill);
        world.start_proxy(now, proxy);
    }
    next_turn(world, trouble, n, stage / 2)
}
