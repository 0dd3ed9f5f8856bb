//! Many clients connect to proxies and write nothing. They use up the proxies' descriptors until they are
//! disconnected.

use super::bad_clients::connect_silent;
use super::{choose_proxies, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

/// The kind of trouble that this module implements.
pub const KIND: TroubleKind = TroubleKind {
    name: "idle-crowd",
    description:
        "'size' clients connect to each of 'part' of the proxies within 'lasts' seconds, and write nothing",
    on_stage,
};

/// Number of groups in which they connect.
const GROUPS: u32 = 20;

fn on_stage(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    let affected = world.affected.get(&n).cloned().unwrap_or_default();
    let count = (trouble.magnitude / f64::from(GROUPS)).ceil() as usize;
    for proxy in affected {
        let connecting = if world.proxies[proxy].listening { count } else { 0 };
        (0..connecting).for_each(|_| connect_silent(world, now, proxy));
    }
    (stage + 1 < GROUPS).then(|| now + trouble.duration / f64::from(GROUPS))
}
