//! Short soak tests: drawn scenarios are valid experiments, and some small ones are run with real processes.

use dewhead_lab::soak::{Scenario, ScenarioSize};
use dewhead_world::experiment::Experiment;
use std::process::Command;

const SMALL: ScenarioSize = ScenarioSize { proxies: 3, nodes: 6, seconds: 12.0 };

/// Builds what cargo does not build for the tests of this package.
fn build(arguments: &[&str]) {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built = Command::new(cargo).args(["build", "--locked"]).args(arguments).status();
    assert!(built.expect("cargo starts").success());
}

#[test]
fn drawn_scenarios_are_valid_experiments_with_overlapping_troubles() {
    for seed in 1..=200 {
        let scenario = Scenario::generate(SMALL, seed);
        let text = toml::to_string(&scenario.experiment).expect("the experiment is serialized");
        let parsed = Experiment::parse(&text).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let first = parsed.troubles.iter().map(|t| t.at).fold(f64::INFINITY, f64::min);
        let last = parsed.troubles.iter().map(|t| t.at).fold(0.0, f64::max);
        // Two or three troubles, one with signals or resets, and in some scenarios idle clients.
        assert!((3..=5).contains(&parsed.troubles.len()), "seed {seed}");
        assert!(last - first <= 3.0, "seed {seed}: the troubles begin from {first} to {last}");
        assert_eq!(
            Scenario::generate(SMALL, seed).fault_plan,
            scenario.fault_plan,
            "a seed always draws the same scenario"
        );
    }
}

#[test]
fn a_small_scenario_passes() {
    build(&["-p", "dewhead-proxy", "--bin", "dewhead"]);
    build(&["-p", "dewhead-faults-preload"]);
    let proxy = dewhead_lab::sockets::find_proxy_binary().expect("it has just been built");
    let library = dewhead_lab::sockets::find_faults_library().expect("it has just been built");
    let logs = std::env::temp_dir().join(format!("dewhead-soak-test-{}", std::process::id()));
    let result = Scenario::generate(SMALL, 2).run(&proxy, &library, &logs).expect("the run completes");
    let _ = std::fs::remove_dir_all(&logs);
    assert!(result.completed > 20, "{result:?}");
    assert!(result.passed(), "{result:#?}");
}

/// Stops, handovers, reloads, resets and idle clients together with failing system calls, several runs at a time.
#[test]
fn fixed_scenarios_with_signal_series_and_idle_clients_pass() {
    const SIZE: ScenarioSize = ScenarioSize { proxies: 4, nodes: 8, seconds: 18.0 };
    const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
    const PARALLEL_RUNS: usize = 3;
    build(&["-p", "dewhead-proxy", "--bin", "dewhead"]);
    build(&["-p", "dewhead-faults-preload"]);
    let proxy = dewhead_lab::sockets::find_proxy_binary().expect("it has just been built");
    let library = dewhead_lab::sockets::find_faults_library().expect("it has just been built");
    let logs = std::env::temp_dir().join(format!("dewhead-soak-scenarios-{}", std::process::id()));
    for seeds in SEEDS.chunks(PARALLEL_RUNS) {
        std::thread::scope(|scope| {
            let run = |seed: u64| {
                Scenario::generate(SIZE, seed).run(&proxy, &library, &logs.join(seed.to_string()))
            };
            let runs: Vec<_> = seeds.iter().map(|seed| scope.spawn(move || run(*seed))).collect();
            for handle in runs {
                let result = handle.join().expect("no panic").expect("the run completes");
                assert!(result.completed > 20, "{result:?}");
                assert!(result.passed(), "{result:#?}");
            }
        });
    }
    let _ = std::fs::remove_dir_all(&logs);
}
