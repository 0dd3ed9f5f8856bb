//! A crowd connects to proxies and says nothing: it fills their descriptors until it is sent away.

use super::bad_clients::silent;
use super::{choose_proxies, TroubleKind};
use crate::experiment::Trouble;
use crate::world::World;

pub const KIND: TroubleKind = TroubleKind {
    name: "idle-crowd",
    description:
        "'size' clients connect to each of 'part' of the proxies within 'lasts' seconds, and say nothing",
    act,
};

/// They come in so many waves.
const WAVES: u32 = 20;

fn act(world: &mut World, now: f64, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    if stage == 0 {
        choose_proxies(world, trouble, n);
    }
    let affected = world.affected.get(&n).cloned().unwrap_or_default();
    let many = (trouble.magnitude / f64::from(WAVES)).ceil() as usize;
    for proxy in affected {
        let comes = if world.proxies[proxy].listening { many } else { 0 };
        (0..comes).for_each(|_| silent(world, now, proxy));
    }
    (stage + 1 < WAVES).then(|| now + trouble.duration / f64::from(WAVES))
}
