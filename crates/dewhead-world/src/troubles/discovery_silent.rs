//! Discovery writes nothing for a while; its watches stay open.

use super::{choose_proxies, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "discovery-silent",
    description: "the agents of 'part' of the proxies write nothing for 'lasts' seconds",
    on_stage,
};

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        for proxy in choose_proxies(world, trouble, n) {
            world.discovery.agents[proxy].silent = true;
        }
        return Some(now + trouble.duration);
    }
    for proxy in world.affected.remove(&n).unwrap_or_default() {
        world.discovery.agents[proxy].silent = false;
        world.write_watch(now, proxy);
    }
    None
}
