//! Searches, in simulated time, for the combinations and times of troubles that dewhead handles worst, and shrinks them
//! to the smallest scenario that is still handled badly.
//!
//! A scenario is rated by its loss: the oracle's service minus dewhead's. One that no proxy can serve has no loss.

use crate::policy::Policy;
use crate::runs::{run_task, Task};
use crate::simulated::ProxyKind;
use dewhead_world::experiment::{Experiment, Trouble};
use dewhead_world::random::{RandomStream, StreamPurpose};
use dewhead_world::troubles::TROUBLE_KINDS;
use rayon::prelude::*;

/// A scenario and how badly dewhead handles it.
#[derive(Clone)]
pub struct Finding {
    /// The scenario.
    pub experiment: Experiment,
    /// The seed with the highest loss.
    pub seed: u64,
    /// The oracle's service minus dewhead's, plus 1 for each violation; the mean over the seeds.
    pub loss: f64,
    /// Dewhead's service, the mean over the seeds.
    pub dewhead_service: f64,
    /// The oracle's service, the mean over the seeds.
    pub oracle_service: f64,
    /// Violations by dewhead on all seeds.
    pub violations: usize,
}

/// Troubles in a drawn scenario, at most.
const MAX_TROUBLES: usize = 4;
/// The share of the original loss that a shrunk scenario has to keep.
const MIN_KEPT_LOSS_SHARE: f64 = 0.8;

/// Runs a scenario on these seeds with dewhead and with the oracle.
pub fn evaluate(experiment: &Experiment, seeds: &[u64]) -> Finding {
    let task = |seed: u64, proxy| Task { point: String::new(), experiment: experiment.clone(), seed, proxy };
    let mut finding = Finding {
        experiment: experiment.clone(),
        seed: seeds[0],
        loss: 0.0,
        dewhead_service: 0.0,
        oracle_service: 0.0,
        violations: 0,
    };
    let seed_count = seeds.len() as f64;
    let mut worst = f64::NEG_INFINITY;
    for seed in seeds {
        let (dewhead, oracle) = (
            run_task(&task(*seed, ProxyKind::Dewhead)),
            run_task(&task(*seed, ProxyKind::Baseline(Policy::Oracle))),
        );
        let loss = oracle.outcome.service - dewhead.outcome.service + dewhead.violations.len() as f64;
        finding.loss += loss / seed_count;
        finding.dewhead_service += dewhead.outcome.service / seed_count;
        finding.oracle_service += oracle.outcome.service / seed_count;
        finding.violations += dewhead.violations.len();
        if loss > worst {
            (worst, finding.seed) = (loss, *seed);
        }
    }
    finding
}

fn round_to_hundredths(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

/// Draws a trouble, with a fraction and a magnitude that have an effect for its kind.
fn draw_trouble(random: &mut RandomStream, seconds: f64) -> Trouble {
    let kind = &TROUBLE_KINDS[random.index(TROUBLE_KINDS.len())];
    let (fraction, magnitude_range) = match kind.name {
        "burst" => (0.5, [1.3, 3.0]),
        "flood" => (0.5, [2.0, 8.0]),
        "heavy-tail" => (random.uniform_in([0.01, 0.05]), [5.0, 30.0]),
        "neighbour" => (random.uniform_in([0.1, 0.6]), [1.3, 3.0]),
        "slow-network" => (0.5, [2.0, 20.0]),
        "bad-clients" => (0.5, [10.0, 150.0]),
        "discovery-late" => (0.5, [3.0, 20.0]),
        "drain" | "restart-stop" | "restart-kill" | "reconfigure" => {
            (random.uniform_in([0.3, 1.0]), [1.0, 4.0])
        }
        _ => (random.uniform_in([0.1, 0.5]), [2.0, 20.0]),
    };
    Trouble {
        kind: kind.name.into(),
        at: round_to_hundredths(random.uniform_in([8.0, seconds * 0.6])),
        duration: round_to_hundredths(random.uniform_in([1.0, seconds * 0.4])),
        fraction: round_to_hundredths(fraction),
        magnitude: round_to_hundredths(random.uniform_in(magnitude_range)),
        at_a_time: 1 + random.index(2),
        zone: None,
        subject: None,
    }
}

/// Draws a scenario that differs from this one in one trouble: added, removed, replaced, or given another
/// start and duration.
fn mutate(experiment: &Experiment, random: &mut RandomStream) -> Experiment {
    let mut experiment = experiment.clone();
    let trouble_count = experiment.troubles.len();
    match random.index(4) {
        0 if trouble_count < MAX_TROUBLES => {
            experiment.troubles.push(draw_trouble(random, experiment.seconds))
        }
        1 if trouble_count > 1 => {
            experiment.troubles.remove(random.index(trouble_count));
        }
        2 if trouble_count > 0 => {
            let n = random.index(trouble_count);
            experiment.troubles[n] = draw_trouble(random, experiment.seconds);
        }
        _ if trouble_count > 0 => {
            let n = random.index(trouble_count);
            let (at, duration) = (experiment.troubles[n].at, experiment.troubles[n].duration);
            experiment.troubles[n].at = round_to_hundredths(
                (at + random.uniform_in([-6.0, 6.0])).clamp(7.0, experiment.seconds * 0.7),
            );
            experiment.troubles[n].duration = round_to_hundredths(
                (duration * random.uniform_in([0.5, 1.8])).clamp(0.5, experiment.seconds * 0.5),
            );
        }
        _ => experiment.troubles.push(draw_trouble(random, experiment.seconds)),
    }
    experiment
}

/// Draws a scenario with random utilisation and troubles.
fn draw_scenario(base: &Experiment, random: &mut RandomStream) -> Experiment {
    let mut experiment = base.clone();
    experiment.load.utilisation = round_to_hundredths(random.uniform_in([0.35, 0.7]));
    experiment.troubles =
        (0..1 + random.index(MAX_TROUBLES)).map(|_| draw_trouble(random, experiment.seconds)).collect();
    experiment
}

/// The kinds of trouble in a scenario, sorted; two findings with the same kinds count as one.
pub fn trouble_kinds(experiment: &Experiment) -> Vec<&str> {
    let mut kinds: Vec<&str> = experiment.troubles.iter().map(|t| t.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    kinds
}

/// Searches in rounds of 16 scenarios until `proceed` returns false. Its arguments are the round, the number of
/// scenarios run so far and the worst findings so far.
pub fn search(
    base: &Experiment,
    seed: u64,
    mut proceed: impl FnMut(usize, usize, &[Finding]) -> bool,
) -> Vec<Finding> {
    let mut findings: Vec<Finding> = Vec::new();
    let mut evaluated = 0;
    for round in 0.. {
        if !proceed(round, evaluated, &findings) {
            break;
        }
        let scenarios: Vec<Experiment> = (0..16)
            .map(|n| {
                let mut random = RandomStream::new(seed, StreamPurpose::Search, (round as u64) << 8 | n);
                // Half of the scenarios are new, half are mutations of the worst found so far.
                if n % 2 == 0 || findings.is_empty() {
                    draw_scenario(base, &mut random)
                } else {
                    let parent = random.index(findings.len());
                    mutate(&findings[parent].experiment, &mut random)
                }
            })
            .collect();
        evaluated += scenarios.len();
        let results: Vec<Finding> =
            scenarios.par_iter().map(|experiment| evaluate(experiment, &[seed + round as u64])).collect();
        // Scenarios with a high loss are run again on other seeds, since results of a single seed vary.
        let smallest_loss = findings.iter().map(|f| f.loss).fold(f64::INFINITY, f64::min);
        let confirmation_seeds: Vec<u64> = (0..4).map(|n| 1000 + seed + n).collect();
        let confirmed: Vec<Finding> = results
            .par_iter()
            .filter(|f| findings.len() < 8 || f.loss > smallest_loss)
            .map(|f| evaluate(&f.experiment, &confirmation_seeds))
            .collect();
        for finding in confirmed {
            // Only the worst finding of each combination of kinds is kept.
            match findings
                .iter_mut()
                .find(|f| trouble_kinds(&f.experiment) == trouble_kinds(&finding.experiment))
            {
                Some(known) if known.loss < finding.loss => *known = finding,
                Some(_) => {}
                None => findings.push(finding),
            }
        }
        findings.sort_by(|a, b| b.loss.total_cmp(&a.loss));
        findings.truncate(8);
    }
    findings
}

/// Shrinks a finding: removes troubles, makes one shorter, weaker or smaller, or lowers the utilisation, as long as
/// enough of the loss remains.
pub fn shrink(finding: &Finding) -> Finding {
    let seeds: Vec<u64> = (0..4).map(|n| 2000 + n).collect();
    let mut smallest = evaluate(&finding.experiment, &seeds);
    let bound = smallest.loss * MIN_KEPT_LOSS_SHARE;
    loop {
        let mut candidates: Vec<Experiment> = Vec::new();
        for n in 0..smallest.experiment.troubles.len() {
            let mut without = smallest.experiment.clone();
            without.troubles.remove(n);
            candidates.push(without);
        }
        for n in 0..smallest.experiment.troubles.len() {
            let changed = |change: &dyn Fn(&mut Trouble)| {
                let mut milder = smallest.experiment.clone();
                change(&mut milder.troubles[n]);
                milder
            };
            candidates.push(changed(&|t| t.duration = round_to_hundredths((t.duration / 2.0).max(0.5))));
            candidates.push(changed(&|t| {
                t.magnitude = round_to_hundredths((1.0 + (t.magnitude - 1.0) / 2.0).max(1.0))
            }));
            candidates.push(changed(&|t| t.fraction = round_to_hundredths(t.fraction / 2.0)));
        }
        let mut less_loaded = smallest.experiment.clone();
        less_loaded.load.utilisation = round_to_hundredths(less_loaded.load.utilisation - 0.1);
        if less_loaded.load.utilisation >= 0.3 {
            candidates.push(less_loaded);
        }
        candidates.retain(|experiment| scenario_size(experiment) < scenario_size(&smallest.experiment));
        let results: Vec<Finding> =
            candidates.par_iter().map(|experiment| evaluate(experiment, &seeds)).collect();
        // The smallest candidate that keeps enough of the loss; the first of equally small ones.
        let next = results
            .into_iter()
            .filter(|f| f.loss >= bound)
            .min_by(|a, b| scenario_size(&a.experiment).total_cmp(&scenario_size(&b.experiment)));
        match next {
            Some(next) => smallest = next,
            None => return smallest,
        }
    }
}

/// The size of a scenario, which `shrink` minimises: mainly the number of troubles, then their durations,
/// magnitudes and fractions, and the utilisation.
fn scenario_size(experiment: &Experiment) -> f64 {
    let sizes = experiment.troubles.iter().map(|t| 10.0 + 0.1 * t.duration + 0.1 * t.magnitude + t.fraction);
    sizes.sum::<f64>() + experiment.load.utilisation
}
