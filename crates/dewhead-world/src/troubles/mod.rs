//! Troubles: each kind is one small file, and any number can overlap. A kind acts in stages, and says after each when
//! the next comes; stage 0 comes at the trouble's `at`.

mod alone;
pub mod bad_clients;
mod burst;
mod discovery_late;
mod discovery_restart;
mod discovery_silent;
mod drain;
mod fast_errors;
mod flood;
mod handover;
mod handover_stop;
mod heavy_tail;
mod idle_crowd;
mod neighbour;
mod node_restart;
mod node_silent;
mod reconfigure;
mod reconnect;
mod resets;
mod restart_kill;
mod restart_stop;
mod signal_series;
mod slow_network;
mod zone_cut;

use crate::experiment::Trouble;
use crate::world::{Event, World};

pub struct TroubleKind {
    pub name: &'static str,
    /// What it is, and what `part` and `size` mean for it.
    pub description: &'static str,
    /// (world, now, the trouble, its number, the stage) to when the next stage comes.
    act: fn(&mut World, f64, &Trouble, usize, u32) -> Option<f64>,
}

pub const TROUBLE_KINDS: &[TroubleKind] = &[
    alone::KIND,
    bad_clients::KIND,
    burst::KIND,
    discovery_late::KIND,
    discovery_restart::KIND,
    discovery_silent::KIND,
    drain::KIND,
    fast_errors::KIND,
    flood::KIND,
    handover::KIND,
    handover_stop::KIND,
    heavy_tail::KIND,
    idle_crowd::KIND,
    neighbour::KIND,
    node_restart::KIND,
    node_silent::KIND,
    reconfigure::KIND,
    reconnect::KIND,
    resets::KIND,
    restart_kill::KIND,
    restart_stop::KIND,
    signal_series::KIND,
    slow_network::KIND,
    zone_cut::KIND,
];

/// The kind of this name, or which there are.
pub fn find_kind(name: &str) -> Result<&'static TroubleKind, String> {
    TROUBLE_KINDS.iter().find(|k| k.name == name).ok_or_else(|| {
        let names: Vec<&str> = TROUBLE_KINDS.iter().map(|k| k.name).collect();
        format!("no kind '{name}'; there are {}", names.join(", "))
    })
}

pub(crate) fn stage(world: &mut World, now: f64, n: usize, stage: u32) {
    let trouble = world.experiment.troubles[n].clone();
    let Ok(kind) = find_kind(&trouble.kind) else { return };
    if stage == 0 {
        world.service.annotate(now, format!("{} begins", trouble.kind));
    }
    if let Some(at) = (kind.act)(world, now, &trouble, n, stage) {
        world.queue.push(at.max(now), Event::Trouble(n, stage + 1));
    }
}

/// Chooses `part` of these by the trouble's own chance, one at the least, in their order.
fn choose(world: &mut World, n: usize, part: f64, mut of: Vec<usize>) -> Vec<usize> {
    let many = ((part * of.len() as f64).round() as usize).clamp(1.min(of.len()), of.len());
    let random = &mut world.trouble_random[n];
    while of.len() > many {
        let out = random.index(of.len());
        of.remove(out);
    }
    of
}

/// The nodes that a trouble hits, remembered for its later stages.
fn choose_nodes(world: &mut World, trouble: &Trouble, n: usize) -> Vec<usize> {
    let zone =
        trouble.zone.as_ref().and_then(|z| world.experiment.fleet.zones.iter().position(|name| name == z));
    let of =
        (0..world.nodes.len()).filter(|node| zone.is_none_or(|z| world.nodes[*node].zone == z)).collect();
    let affected = choose(world, n, trouble.fraction, of);
    world.affected.insert(n, affected.clone());
    affected
}

fn choose_proxies(world: &mut World, trouble: &Trouble, n: usize) -> Vec<usize> {
    let zone =
        trouble.zone.as_ref().and_then(|z| world.experiment.fleet.zones.iter().position(|name| name == z));
    let of = (0..world.proxies.len()).filter(|p| zone.is_none_or(|z| world.proxies[*p].zone == z)).collect();
    let affected = choose(world, n, trouble.fraction, of);
    world.affected.insert(n, affected.clone());
    affected
}

/// Those whose turn it is at this stage, where they are hit some at a time.
fn turn(world: &World, trouble: &Trouble, n: usize, stage: u32) -> Vec<usize> {
    let all = world.affected.get(&n).map_or(&[][..], Vec::as_slice);
    all.chunks(trouble.at_a_time).nth(stage as usize).unwrap_or(&[]).to_vec()
}

/// After SIGTERM a process is killed no sooner than the longest guard time, or the first of these if that is longer, and the
/// second; in seconds.
const WAITED_FOR: f64 = 3.0;
const KILLED_AFTER: f64 = 0.7;

/// How long after SIGTERM the kill comes, in seconds: at the earliest moment that is allowed.
pub(crate) fn kill_delay(world: &World) -> f64 {
    let guard = world.experiment.traffic.iter().map(|t| t.guard_time).fold(0.0, f64::max);
    guard.min(WAITED_FOR) + KILLED_AFTER
}

/// When the next turn comes, with all of them within the time that the trouble lasts.
fn next_turn(world: &World, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    let turns = world.affected.get(&n).map_or(0, |all| all.len().div_ceil(trouble.at_a_time));
    let next = stage as usize + 1;
    (next < turns).then(|| trouble.at + trouble.duration * next as f64 / turns as f64)
}
