//! Proxies are handed over and told to stop a moment later, while the old process still sends its clients away: by turns
//! the supervisor signals the successor alone, and the whole group.

use super::{choose_proxies, kill_delay, next_turn, turn, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "handover-stop",
    description: "'part' of the proxies are handed over within 'lasts' seconds, 'at_a_time' of them, and each told to stop within 'size' \
            seconds of that",
    act,
};

/// A turn is a handover, a stop, and the kill with a new start.
const STEPS: u32 = 3;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    let number = stage / STEPS;
    let affected = turn(world, trouble, n, number);
    match stage % STEPS {
        0 => {
            affected.into_iter().for_each(|proxy| world.hand_over(now, proxy));
            Some(now + trouble.magnitude * world.trouble_random[n].uniform())
        }
        1 => {
            let signal = if number.is_multiple_of(2) { Signal::Stop } else { Signal::StopGroup };
            affected.into_iter().for_each(|proxy| world.signal(now, proxy, signal));
            Some(now + kill_delay(world))
        }
        _ => {
            for proxy in affected {
                world.signal(now, proxy, Signal::Kill);
                world.start_proxy(now, proxy);
            }
            next_turn(world, trouble, n, number)
        }
    }
}
