//! Troubles. Each kind is a small module, and any number of troubles can overlap. A kind acts in stages and
//! returns after each one the time of the next; stage 0 runs at the trouble's `at`.

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

/// A kind of trouble.
pub struct TroubleKind {
    /// The value of a trouble's `kind` key.
    pub name: &'static str,
    /// What happens, and the meaning of the trouble's keys, such as `part` and `size`.
    pub description: &'static str,
    /// Runs a stage, given the world, the time, the trouble, its index and the number of the stage. Returns
    /// the time of the next stage, if there is one.
    on_stage: fn(&mut World, f64, &Trouble, usize, u32) -> Option<f64>,
}

/// All kinds of troubles.
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

/// Returns the kind of this name, or an error that lists the kinds.
pub fn find_kind(name: &str) -> Result<&'static TroubleKind, String> {
    TROUBLE_KINDS.iter().find(|k| k.name == name).ok_or_else(|| {
        let names: Vec<&str> = TROUBLE_KINDS.iter().map(|k| k.name).collect();
        format!("unknown kind '{name}'; the kinds are {}", names.join(", "))
    })
}

/// Runs a stage of a trouble and schedules the next one.
pub(crate) fn run_stage(world: &mut World, now: f64, n: usize, stage: u32) {
    let trouble = world.experiment.troubles[n].clone();
    let Ok(kind) = find_kind(&trouble.kind) else { return };
    if stage == 0 {
        world.service.annotate(now, format!("{} begins", trouble.kind));
    }
    if let Some(at) = (kind.on_stage)(world, now, &trouble, n, stage) {
        world.queue.push(at.max(now), Event::Trouble(n, stage + 1));
    }
}

/// Draws a fraction of the candidates, at least one, from the trouble's random stream; their order is kept.
fn choose(world: &mut World, n: usize, fraction: f64, mut candidates: Vec<usize>) -> Vec<usize> {
    let count = ((fraction * candidates.len() as f64).round() as usize)
        .clamp(1.min(candidates.len()), candidates.len());
    let random = &mut world.trouble_random[n];
    while candidates.len() > count {
        let removed = random.index(candidates.len());
        candidates.remove(removed);
    }
    candidates
}

/// Draws the nodes that a trouble affects and stores them for its later stages.
fn choose_nodes(world: &mut World, trouble: &Trouble, n: usize) -> Vec<usize> {
    let zone =
        trouble.zone.as_ref().and_then(|z| world.experiment.fleet.zones.iter().position(|name| name == z));
    let candidates =
        (0..world.nodes.len()).filter(|node| zone.is_none_or(|z| world.nodes[*node].zone == z)).collect();
    let affected = choose(world, n, trouble.fraction, candidates);
    world.affected.insert(n, affected.clone());
    affected
}

/// Draws the proxies that a trouble affects and stores them for its later stages.
fn choose_proxies(world: &mut World, trouble: &Trouble, n: usize) -> Vec<usize> {
    let zone =
        trouble.zone.as_ref().and_then(|z| world.experiment.fleet.zones.iter().position(|name| name == z));
    let candidates =
        (0..world.proxies.len()).filter(|p| zone.is_none_or(|z| world.proxies[*p].zone == z)).collect();
    let affected = choose(world, n, trouble.fraction, candidates);
    world.affected.insert(n, affected.clone());
    affected
}

/// The batch that is affected at this stage, for kinds that affect `at_a_time` at a time.
fn current_batch(world: &World, trouble: &Trouble, n: usize, stage: u32) -> Vec<usize> {
    let all = world.affected.get(&n).map_or(&[][..], Vec::as_slice);
    all.chunks(trouble.at_a_time).nth(stage as usize).unwrap_or(&[]).to_vec()
}

/// The earliest SIGKILL comes after the longest guard time, limited to the first of these, plus the second;
/// in seconds after SIGTERM.
const MAX_GUARD_WAIT: f64 = 3.0;
const KILL_MARGIN: f64 = 0.7;

/// Time from SIGTERM to SIGKILL, the shortest that is allowed, in seconds.
pub(crate) fn kill_delay(world: &World) -> f64 {
    let guard = world.experiment.traffic.iter().map(|t| t.guard_time).fold(0.0, f64::max);
    guard.min(MAX_GUARD_WAIT) + KILL_MARGIN
}

/// The time of the next batch; the batches are spread over the trouble's duration.
fn next_batch_time(world: &World, trouble: &Trouble, n: usize, stage: u32) -> Option<f64> {
    let batches = world.affected.get(&n).map_or(0, |all| all.len().div_ceil(trouble.at_a_time));
    let next = stage as usize + 1;
    (next < batches).then(|| trouble.at + trouble.duration * next as f64 / batches as f64)
}
