//! Proxies get series of signals: several SIGHUP, then SIGTERM, SIGHUP and SIGTERM again. The kill comes at
//! the earliest time that is allowed after the first SIGTERM.

use super::{choose_proxies, current_batch, kill_delay, next_batch_time, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "signal-series",
    description: "'part' of the proxies get 'size' times SIGHUP, then SIGTERM, SIGHUP and SIGTERM, within 'lasts' seconds, 'at_a_time' at a time",
    on_stage,
};

/// The signals after the reloads.
const FINAL_SIGNALS: [Signal; 3] = [Signal::Stop, Signal::Reload, Signal::Stop];
/// Longest time between two signals, in seconds.
const MAX_SIGNAL_INTERVAL: f64 = 0.3;

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    let reloads = trouble.magnitude.round().max(1.0) as u32;
    let signals = reloads + FINAL_SIGNALS.len() as u32;
    let batch = stage / (signals + 1);
    let affected = current_batch(world, trouble, n, batch);
    let step = stage % (signals + 1);
    if step == signals {
        for proxy in affected {
            world.signal(now, proxy, Signal::Kill);
            world.start_proxy(now, proxy);
        }
        return next_batch_time(world, trouble, n, batch);
    }
    let signal = step.checked_sub(reloads).map_or(Signal::Reload, |at| FINAL_SIGNALS[at as usize]);
    affected.iter().for_each(|proxy| world.signal(now, *proxy, signal));
    if step + 1 < signals {
        return Some(now + MAX_SIGNAL_INTERVAL * world.trouble_random[n].uniform());
    }
    let last_stop = affected
        .iter()
        .filter_map(|proxy| world.proxies[*proxy].stop_requested_at)
        .fold(f64::NEG_INFINITY, f64::max);
    Some(last_stop.max(now - kill_delay(world)) + kill_delay(world))
}
