//! The world in simulated time: determinism, the auditor against proxies that are broken on purpose, rules kept by those
//! that are not, and nothing left over.

use dewhead_lab::baseline::{Fault, ALL_FAULTS};
use dewhead_lab::policy::Policy;
use dewhead_lab::runs::{run_task, run_tasks, Task};
use dewhead_lab::simulated::{ProxyKind, SimulatedHost};
use dewhead_world::audit::Rule;
use dewhead_world::experiment::Experiment;

/// Small, short, and with something of everything: three effects, errors, deaths, drains, restarts.
const ROUGH: &str = r#"
seconds = 30
[fleet]
proxies = 2
nodes = 6
cell = 2
[load]
utilisation = 0.3
[[machine]]
name = "small"
cores = 1
warm_after = [6, 8]
[[traffic]]
name = "feeds"
share = 0.4
life = 8
[[traffic]]
name = "orders"
share = 0.3
effect = "once-only"
life = 8
[[traffic]]
name = "notes"
share = 0.3
effect = "referenced"
scope = "cell"
life = 8
[[trouble]]
kind = "fast-errors"
at = 8
lasts = 14
part = 0.5
size = 2
[[trouble]]
kind = "drain"
at = 7
lasts = 20
part = 0.8
size = 2
[[trouble]]
kind = "restart-stop"
at = 12
lasts = 8
part = 1
[[trouble]]
kind = "node-restart"
at = 16
lasts = 1
part = 0.4
"#;

fn rough() -> Experiment {
    Experiment::parse(ROUGH).expect("it is sound")
}

fn task(seed: u64, who: ProxyKind) -> Task {
    Task { point: String::new(), experiment: rough(), seed, proxy: who }
}

#[test]
fn the_same_seed_is_the_same_trace_on_one_thread_and_on_many() {
    let tasks: Vec<Task> = [1, 2, 3, 1].iter().map(|s| task(*s, ProxyKind::Dewhead)).collect();
    let many = run_tasks(&tasks, false);
    let one: Vec<_> = tasks.iter().map(run_task).collect();
    let digests =
        |of: &[dewhead_lab::runs::RunResult]| of.iter().map(|p| p.digest.clone()).collect::<Vec<_>>();
    assert_eq!(digests(&many), digests(&one));
    assert_eq!(many[0].digest, many[3].digest);
    assert_ne!(many[0].digest, many[1].digest, "another seed is another trace");
}

#[test]
fn who_breaks_nothing_is_told_of_nothing() {
    for who in [
        ProxyKind::Dewhead,
        ProxyKind::Baseline(Policy::Random),
        ProxyKind::Baseline(Policy::RoundRobin),
        ProxyKind::Baseline(Policy::LeastOwnConnections),
        ProxyKind::Baseline(Policy::TwoChoices),
        ProxyKind::Baseline(Policy::Oracle),
    ] {
        for seed in [1, 2] {
            let played = run_task(&task(seed, who));
            assert!(played.violations.is_empty(), "{who:?}, seed {seed}: {:#?}", played.violations[0]);
            assert!(played.outcome.counts.completed > 100, "{who:?} serves: {:?}", played.outcome.counts);
        }
    }
}

/// The rule that each broken proxy breaks.
fn broken_by(fault: Fault) -> Rule {
    match fault {
        Fault::AnswersTwice | Fault::ClosesUnanswered | Fault::NeverAnswers | Fault::FabricatesAnswers => {
            Rule::OneAnswer
        }
        Fault::OverlapsLegs | Fault::ExceedsMaxLegs | Fault::RepeatsOnceOnly => Rule::NoEffectTwice,
        Fault::RejectsPossiblyExecuted | Fault::IgnoresRepeatScope => Rule::NoEffectTwice,
        Fault::IgnoresDrains => Rule::Drains,
        Fault::FloodsColdNodes => Rule::ColdNodes,
        Fault::ClosesEstablished | Fault::KeepsOrphanedClients | Fault::ExitsImmediately => Rule::NoCut,
        Fault::DelaysLines | Fault::CorruptsLines => Rule::Lines,
    }
}

fn caught(of: Experiment, seed: u64, fault: Fault) -> Result<(), String> {
    let played =
        run_task(&Task { point: String::new(), experiment: of, seed, proxy: ProxyKind::Faulty(fault) });
    let caught = played.violations.iter().find(|b| b.rule == broken_by(fault));
    let rules: Vec<_> = played.violations.iter().map(|b| b.rule).collect();
    let caught = caught.ok_or_else(|| format!("{fault:?} is not caught: {rules:?}"))?;
    assert!(caught.call.is_none() || !caught.trace.is_empty(), "a call's breach comes with its trace");
    Ok(())
}

#[test]
fn each_broken_proxy_is_caught_by_the_right_rule() {
    for fault in ALL_FAULTS.into_iter().filter(|f| *f != Fault::FloodsColdNodes) {
        caught(rough(), 1, fault).unwrap();
    }
}

/// Whether a flooded node falls hangs on what comes just then, and so on the order of the nodes by their numbers: one draw
/// alone, which it was once, tells little. Of these ten most have to, and on each one caught is for the right rule.
#[test]
fn a_proxy_that_floods_cold_nodes_is_caught_on_most_days() {
    let flooded = |seed: &u64| {
        let mut of = rough();
        // One that has just started gets all of a crowd that asks for more than it can do.
        of.load.utilisation = 0.9;
        of.node.max_queue = 60.0;
        of.machines.iter_mut().for_each(|m| m.cold_share = [0.1, 0.1]);
        caught(of, *seed, Fault::FloodsColdNodes).is_ok()
    };
    let days = (1..=10).filter(flooded).count();
    println!("caught on {days} of 10 days");
    assert!(days >= 6, "caught on {days} of 10 days");
}

#[test]
fn nothing_is_left_over_once_clients_come_no_more() {
    for seed in 1..=3 {
        let mut of = rough();
        of.seconds = 20.0;
        let mut host = SimulatedHost::new(&of, seed, ProxyKind::Dewhead);
        host.run(20.0);
        assert!(host.world.open_links() > 20);
        host.world.stop_arrivals();
        // As long as the longest life there is, and what comes after a move.
        host.run(2000.0);
        // What stays is each proxy's watch.
        assert_eq!(host.world.open_links(), of.fleet.proxies, "links are left over");
        assert_eq!(host.world.audit.open_calls(), 0, "calls are left over");
        assert_eq!(host.open_sessions(), 0, "sessions are left over");
    }
}

/// A release with four times the budget that the rule leaves: the sum of all proxies is over the limit, though no node falls.
#[test]
fn budgets_that_are_too_high_are_seen_by_the_sum_over_all_proxies() {
    let release =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments/release.toml"));
    let mut of = Experiment::parse(&release.expect("it is there")).expect("it is sound");
    let breaches = |of: &Experiment, seed| {
        let played =
            run_task(&Task { point: String::new(), experiment: of.clone(), seed, proxy: ProxyKind::Dewhead });
        let cold: Vec<_> = played.violations.into_iter().filter(|b| b.rule == Rule::ColdNodes).collect();
        assert_eq!(played.outcome.counts.nodes_crashed, 0, "seed {seed}");
        cold.len()
    };
    for seed in 1..=3 {
        assert_eq!(breaches(&of, seed), 0, "seed {seed}: told what the rule is");
    }
    of.proxy.configured_overload_multiple = Some(4.0 * of.rules.overload_multiple);
    assert!((1..=3).any(|seed| breaches(&of, seed) > 0), "told four times that");
}
