//! Real proxies on loopback whose system calls sometimes fail in ways that Linux documents: no rule is violated.

use dewhead_faults::plan::{ClockStep, Plan};
use dewhead_lab::sockets::{FaultInjection, LaunchOptions, SocketHost};
use dewhead_world::audit::Violation;
use dewhead_world::experiment::Experiment;
use std::process::Command;

const NO_TROUBLES: &str = r#"
seconds = 10
[fleet]
proxies = 2
nodes = 4
[load]
utilisation = 0.2
[[traffic]]
name = "feeds"
life = 8
"#;

/// Builds what cargo does not build for the tests of this package.
fn build(arguments: &[&str]) {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built = Command::new(cargo).args(["build", "--locked"]).args(arguments).status();
    assert!(built.expect("cargo starts").success());
}

/// Runs an experiment with these faults and returns the violations.
fn run_with_faults(experiment: &str, plan: Plan) -> Vec<Violation> {
    build(&["-p", "dewhead-proxy", "--bin", "dewhead"]);
    build(&["-p", "dewhead-faults-preload"]);
    let experiment = Experiment::parse(experiment).expect("the experiment is valid");
    let library = dewhead_lab::sockets::find_faults_library().expect("it has just been built");
    let proxy = dewhead_lab::sockets::find_proxy_binary().expect("it has just been built");
    let options =
        LaunchOptions { proxy_binary: proxy, log_dir: None, faults: Some(FaultInjection { library, plan }) };
    let mut host = SocketHost::new(&experiment, plan.seed, options).expect("the host starts");
    host.run(experiment.seconds, |_, _| {}).expect("the run completes");
    assert!(host.world.service.counts.completed > 20, "{:?}", host.world.service.counts);
    std::mem::take(&mut host.world.audit.violations)
}

/// A socket is reported writable again only after a write that found it full, so the rest of a short write has to be
/// written at once.
#[test]
fn short_writes_do_not_delay_lines() {
    let plan = Plan { seed: 1, short: 0.3, interrupt: 0.05, ..Plan::default() };
    let violations = run_with_faults(NO_TROUBLES, plan);
    assert!(violations.is_empty(), "{} violations, the first: {:#?}", violations.len(), violations[0]);
}

/// A fault plan is parsed from its own text, and errors name the part that is wrong.
#[test]
fn fault_plans_are_parsed_from_their_text() {
    let step = ClockStep { from: 12.5, by: -3600.0 };
    let plan = Plan {
        seed: 3,
        short: 0.25,
        interrupt: 0.5,
        accept: 1.0,
        socket: 0.1,
        connect: 0.2,
        unreachable: 0.5,
        open: 0.3,
        step,
    };
    assert_eq!(plan.to_string().parse(), Ok(plan));
    for (text, error) in [
        ("short", "'short' is not of the form name=number"),
        ("short=much", "'short=much' is not of the form name=number"),
        ("short=1.5", "'short' takes a probability from 0 to 1"),
        ("long=0.5", "there is no fault 'long'"),
    ] {
        assert_eq!(text.parse::<Plan>().expect_err(text).to_string(), error);
    }
}
