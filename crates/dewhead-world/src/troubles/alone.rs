//! All proxies but one are stopped at once and start again later. The remaining one serves all clients.

use super::TroubleKind;
use crate::experiment::Trouble;
use crate::world::{Signal, World};

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "alone",
    description: "all proxies but one get SIGTERM and start again after 'lasts' seconds",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        let remaining = world.trouble_random[n].index(world.proxies.len());
        let others: Vec<usize> = (0..world.proxies.len()).filter(|p| *p != remaining).collect();
        for proxy in &others {
            world.signal(now, *proxy, Signal::Stop);
        }
        world.affected.insert(n, others);
        return Some(now + trouble.duration);
    }
    for proxy in world.affected.remove(&n).unwrap_or_default() {
        world.signal(now, proxy, Signal::Kill);
        world.start_proxy(now, proxy);
    }
    None
}
