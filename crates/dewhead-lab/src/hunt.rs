//! The hunt: which combination of troubles, at which times, makes the worst day? Found in simulated time, then shrunk to
//! the smallest that still does badly.
//!
//! How bad a day is, is told by what the top reaches there and dewhead does not; a day that nobody can serve is no find.

use crate::policy::Policy;
use crate::runs::{run_task, Task};
use crate::simulated::ProxyKind;
use dewhead_world::experiment::{Experiment, Trouble};
use dewhead_world::random::{RandomStream, StreamPurpose};
use dewhead_world::troubles::TROUBLE_KINDS;
use rayon::prelude::*;

/// A day and how bad it is.
#[derive(Clone)]
pub struct Finding {
    pub experiment: Experiment,
    pub seed: u64,
    /// The top's service less dewhead's; a broken rule counts as 1 and more.
    pub loss: f64,
    pub dewhead_service: f64,
    pub oracle_service: f64,
    pub violations: usize,
}

/// Troubles of a day that is drawn: so many at the most.
const MOST: usize = 4;
/// A shrunk day does badly still if it loses this part of what the whole one lost.
const STILL: f64 = 0.8;

/// Plays a day on some seeds; what it loses is the mean.
pub fn evaluate(of: &Experiment, seeds: &[u64]) -> Finding {
    let task = |seed: u64, who| Task { point: String::new(), experiment: of.clone(), seed, proxy: who };
    let mut find = Finding {
        experiment: of.clone(),
        seed: seeds[0],
        loss: 0.0,
        dewhead_service: 0.0,
        oracle_service: 0.0,
        violations: 0,
    };
    let many = seeds.len() as f64;
    let mut worst = f64::NEG_INFINITY;
    for seed in seeds {
        let (ours, top) = (
            run_task(&task(*seed, ProxyKind::Dewhead)),
            run_task(&task(*seed, ProxyKind::Baseline(Policy::Oracle))),
        );
        let lost = top.outcome.service - ours.outcome.service + ours.violations.len() as f64;
        find.loss += lost / many;
        find.dewhead_service += ours.outcome.service / many;
        find.oracle_service += top.outcome.service / many;
        find.violations += ours.violations.len();
        if lost > worst {
            (worst, find.seed) = (lost, *seed);
        }
    }
    find
}

fn figure(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

/// One trouble, drawn so that each kind means something.
fn trouble(chance: &mut RandomStream, seconds: f64) -> Trouble {
    let kind = &TROUBLE_KINDS[chance.index(TROUBLE_KINDS.len())];
    let (part, size) = match kind.name {
        "burst" => (0.5, [1.3, 3.0]),
        "flood" => (0.5, [2.0, 8.0]),
        "heavy-tail" => (chance.uniform_in([0.01, 0.05]), [5.0, 30.0]),
        "neighbour" => (chance.uniform_in([0.1, 0.6]), [1.3, 3.0]),
        "slow-network" => (0.5, [2.0, 20.0]),
        "bad-clients" => (0.5, [10.0, 150.0]),
        "discovery-late" => (0.5, [3.0, 20.0]),
        "drain" | "restart-stop" | "restart-kill" | "reconfigure" => {
            (chance.uniform_in([0.3, 1.0]), [1.0, 4.0])
        }
        _ => (chance.uniform_in([0.1, 0.5]), [2.0, 20.0]),
    };
    Trouble {
        kind: kind.name.into(),
        at: figure(chance.uniform_in([8.0, seconds * 0.6])),
        duration: figure(chance.uniform_in([1.0, seconds * 0.4])),
        fraction: figure(part),
        magnitude: figure(chance.uniform_in(size)),
        at_a_time: 1 + chance.index(2),
        zone: None,
        subject: None,
    }
}

/// A day near this one: one trouble more, less, or moved.
fn near(of: &Experiment, chance: &mut RandomStream) -> Experiment {
    let mut of = of.clone();
    let many = of.troubles.len();
    match chance.index(4) {
        0 if many < MOST => of.troubles.push(trouble(chance, of.seconds)),
        1 if many > 1 => {
            of.troubles.remove(chance.index(many));
        }
        2 if many > 0 => {
            let n = chance.index(many);
            of.troubles[n] = trouble(chance, of.seconds);
        }
        _ if many > 0 => {
            let n = chance.index(many);
            let (at, lasts) = (of.troubles[n].at, of.troubles[n].duration);
            of.troubles[n].at = figure((at + chance.uniform_in([-6.0, 6.0])).clamp(7.0, of.seconds * 0.7));
            of.troubles[n].duration =
                figure((lasts * chance.uniform_in([0.5, 1.8])).clamp(0.5, of.seconds * 0.5));
        }
        _ => of.troubles.push(trouble(chance, of.seconds)),
    }
    of
}

fn drawn(base: &Experiment, chance: &mut RandomStream) -> Experiment {
    let mut of = base.clone();
    of.load.utilisation = figure(chance.uniform_in([0.35, 0.7]));
    of.troubles = (0..1 + chance.index(MOST)).map(|_| trouble(chance, of.seconds)).collect();
    of
}

/// A way to tell two finds apart: which kinds of trouble they are made of.
pub fn trouble_kinds(of: &Experiment) -> Vec<&str> {
    let mut kinds: Vec<&str> = of.troubles.iter().map(|t| t.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    kinds
}

/// Searches in rounds until `more` says no; it is told the round, days played so far and the worst so far.
pub fn search(
    base: &Experiment,
    seed: u64,
    mut more: impl FnMut(usize, usize, &[Finding]) -> bool,
) -> Vec<Finding> {
    let mut best: Vec<Finding> = Vec::new();
    let mut played = 0;
    for round in 0.. {
        if !more(round, played, &best) {
            break;
        }
        let days: Vec<Experiment> = (0..16)
            .map(|n| {
                let mut chance = RandomStream::new(seed, StreamPurpose::Search, (round as u64) << 8 | n);
                // Half are new, half lie near the worst that are known.
                if n % 2 == 0 || best.is_empty() {
                    drawn(base, &mut chance)
                } else {
                    let from = chance.index(best.len());
                    near(&best[from].experiment, &mut chance)
                }
            })
            .collect();
        played += days.len();
        let weighed: Vec<Finding> = days.par_iter().map(|of| evaluate(of, &[seed + round as u64])).collect();
        // What looks bad once is played again on other seeds, since single days swing.
        let least = best.iter().map(|f| f.loss).fold(f64::INFINITY, f64::min);
        let seeds: Vec<u64> = (0..4).map(|n| 1000 + seed + n).collect();
        let sure: Vec<Finding> = weighed
            .par_iter()
            .filter(|f| best.len() < 8 || f.loss > least)
            .map(|f| evaluate(&f.experiment, &seeds))
            .collect();
        for find in sure {
            // One of each make; the worst of them.
            match best.iter_mut().find(|b| trouble_kinds(&b.experiment) == trouble_kinds(&find.experiment)) {
                Some(same) if same.loss < find.loss => *same = find,
                Some(_) => {}
                None => best.push(find),
            }
        }
        best.sort_by(|a, b| b.loss.total_cmp(&a.loss));
        best.truncate(8);
    }
    best
}

/// The smallest day that still does badly: troubles left out, made milder and shorter, one at a time.
pub fn shrink(find: &Finding) -> Finding {
    let seeds: Vec<u64> = (0..4).map(|n| 2000 + n).collect();
    let mut small = evaluate(&find.experiment, &seeds);
    let bound = small.loss * STILL;
    loop {
        let mut tries: Vec<Experiment> = Vec::new();
        for n in 0..small.experiment.troubles.len() {
            let mut less = small.experiment.clone();
            less.troubles.remove(n);
            tries.push(less);
        }
        for n in 0..small.experiment.troubles.len() {
            let change = |change: &dyn Fn(&mut Trouble)| {
                let mut milder = small.experiment.clone();
                change(&mut milder.troubles[n]);
                milder
            };
            tries.push(change(&|t| t.duration = figure((t.duration / 2.0).max(0.5))));
            tries.push(change(&|t| t.magnitude = figure((1.0 + (t.magnitude - 1.0) / 2.0).max(1.0))));
            tries.push(change(&|t| t.fraction = figure(t.fraction / 2.0)));
        }
        let mut calmer = small.experiment.clone();
        calmer.load.utilisation = figure(calmer.load.utilisation - 0.1);
        if calmer.load.utilisation >= 0.3 {
            tries.push(calmer);
        }
        tries.retain(|of| size(of) < size(&small.experiment));
        let weighed: Vec<Finding> = tries.par_iter().map(|of| evaluate(of, &seeds)).collect();
        // The smallest of those that are bad enough; the first of like ones.
        let next = weighed
            .into_iter()
            .filter(|f| f.loss >= bound)
            .min_by(|a, b| size(&a.experiment).total_cmp(&size(&b.experiment)));
        match next {
            Some(next) => small = next,
            None => return small,
        }
    }
}

/// How much there is to a day, for the shrinking: each trouble counts, then how long and how hard it is.
fn size(of: &Experiment) -> f64 {
    let each = of.troubles.iter().map(|t| 10.0 + 0.1 * t.duration + 0.1 * t.magnitude + t.fraction);
    each.sum::<f64>() + of.load.utilisation
}
