//! A short soak in every run of the tests: drawn days are sound experiments, and a small one is played whole.

use dewhead_lab::soak::{Scenario, ScenarioSize};
use dewhead_world::experiment::Experiment;
use std::process::Command;

const SMALL: ScenarioSize = ScenarioSize { proxies: 3, nodes: 6, seconds: 12.0 };

fn build(arguments: &[&str]) {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built = Command::new(cargo).args(["build", "--locked"]).args(arguments).status();
    assert!(built.expect("cargo runs").success());
}

#[test]
fn drawn_days_are_sound_experiments_with_troubles_that_overlap() {
    for seed in 1..=200 {
        let day = Scenario::generate(SMALL, seed);
        let text = toml::to_string(&day.experiment).expect("it is written");
        let read = Experiment::parse(&text).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
        let first = read.troubles.iter().map(|t| t.at).fold(f64::INFINITY, f64::min);
        let last = read.troubles.iter().map(|t| t.at).fold(0.0, f64::max);
        // Two or three, one with signals or resets, and on some days a crowd.
        assert!((3..=5).contains(&read.troubles.len()), "seed {seed}");
        assert!(last - first <= 3.0, "seed {seed}: they begin {first} to {last}");
        assert_eq!(
            Scenario::generate(SMALL, seed).fault_plan,
            day.fault_plan,
            "a seed draws the same day again"
        );
    }
}

#[test]
fn a_small_day_keeps_all_promises() {
    build(&["-p", "dewhead-proxy", "--bin", "dewhead"]);
    build(&["-p", "dewhead-faults-preload"]);
    let proxy = dewhead_lab::sockets::find_proxy_binary().expect("it was built a moment ago");
    let library = dewhead_lab::sockets::find_faults_library().expect("it was built a moment ago");
    let logs = std::env::temp_dir().join(format!("dewhead-soak-test-{}", std::process::id()));
    let verdict = Scenario::generate(SMALL, 2).run(&proxy, &library, &logs).expect("it plays");
    let _ = std::fs::remove_dir_all(&logs);
    assert!(verdict.completed > 20, "{verdict:?}");
    assert!(verdict.passed(), "{verdict:#?}");
}

/// Stops, handovers, reloads, resets and a crowd meet under failing system calls, several days at a time.
#[test]
fn fixed_days_with_signals_in_series_and_crowds_keep_all_promises() {
    const DAYS: ScenarioSize = ScenarioSize { proxies: 4, nodes: 8, seconds: 18.0 };
    const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];
    const AT_A_TIME: usize = 3;
    build(&["-p", "dewhead-proxy", "--bin", "dewhead"]);
    build(&["-p", "dewhead-faults-preload"]);
    let proxy = dewhead_lab::sockets::find_proxy_binary().expect("it was built a moment ago");
    let library = dewhead_lab::sockets::find_faults_library().expect("it was built a moment ago");
    let logs = std::env::temp_dir().join(format!("dewhead-soak-days-{}", std::process::id()));
    for seeds in SEEDS.chunks(AT_A_TIME) {
        std::thread::scope(|scope| {
            let play = |seed: u64| {
                Scenario::generate(DAYS, seed).run(&proxy, &library, &logs.join(seed.to_string()))
            };
            let plays: Vec<_> = seeds.iter().map(|seed| scope.spawn(move || play(*seed))).collect();
            for one in plays {
                let verdict = one.join().expect("no panic").expect("it plays");
                assert!(verdict.completed > 20, "{verdict:?}");
                assert!(verdict.passed(), "{verdict:#?}");
            }
        });
    }
    let _ = std::fs::remove_dir_all(&logs);
}
