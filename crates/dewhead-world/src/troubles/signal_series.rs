//! Proxies get signals in series: SIGHUP again and again, then SIGTERM, SIGHUP and SIGTERM once more. The kill comes as
//! early after the first SIGTERM as is allowed.

use super::{choose_proxies, kill_delay, next_turn, turn, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

pub const KIND: TroubleKind = TroubleKind {
    name: "signal-series",
    description: "'part' of the proxies get 'size' times SIGHUP, then SIGTERM, SIGHUP and SIGTERM, within 'lasts' seconds, 'at_a_time' of them",
    act,
};

/// What follows the reloads, and the longest time between two signals, in seconds.
const ENDING: [Signal; 3] = [Signal::Stop, Signal::Reload, Signal::Stop];
const LONGEST_GAP: f64 = 0.3;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    let reloads = trouble.magnitude.round().max(1.0) as u32;
    let signals = reloads + ENDING.len() as u32;
    let number = stage / (signals + 1);
    let affected = turn(world, trouble, n, number);
    let step = stage % (signals + 1);
    if step == signals {
        for proxy in affected {
            world.signal(now, proxy, Signal::Kill);
            world.start_proxy(now, proxy);
        }
        return next_turn(world, trouble, n, number);
    }
    let signal = step.checked_sub(reloads).map_or(Signal::Reload, |at| ENDING[at as usize]);
    affected.iter().for_each(|proxy| world.signal(now, *proxy, signal));
    if step + 1 < signals {
        return Some(now + LONGEST_GAP * world.trouble_random[n].uniform());
    }
    let first = affected
        .iter()
        .filter_map(|proxy| world.proxies[*proxy].stop_requested_at)
        .fold(f64::NEG_INFINITY, f64::max);
    Some(first.max(now - kill_delay(world)) + kill_delay(world))
}
