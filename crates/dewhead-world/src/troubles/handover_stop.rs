//! Proxies are handed over and stopped shortly after, while the old process still sends its clients
//! away. The supervisor signals the successor alone and the whole group alternately.

use super::{choose_proxies, current_batch, kill_delay, next_batch_time, TroubleKind};
use crate::experiment::Trouble;
use crate::world::{Signal, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "handover-stop",
    description: "'part' of the proxies are handed over within 'lasts' seconds, 'at_a_time' at a time, and each gets SIGTERM within 'size' \
            seconds of the handover",
    on_stage,
};

/// Stages for each batch: the handover, the stop, and the kill with a new start.
const STEPS: u32 = 3;

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    let batch = stage / STEPS;
    let affected = current_batch(world, trouble, n, batch);
    match stage % STEPS {
        0 => {
            affected.into_iter().for_each(|proxy| world.hand_over(now, proxy));
            Some(now + trouble.magnitude * world.trouble_random[n].uniform())
        }
        1 => {
            let signal = if batch.is_multiple_of(2) { Signal::Stop } else { Signal::StopGroup };
            affected.into_iter().for_each(|proxy| world.signal(now, proxy, signal));
            Some(now + kill_delay(world))
        }
        _ => {
            for proxy in affected {
                world.signal(now, proxy, Signal::Kill);
                world.start_proxy(now, proxy);
            }
            next_batch_time(world, trouble, n, batch)
        }
    }
}
