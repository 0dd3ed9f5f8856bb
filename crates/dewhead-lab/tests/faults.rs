//! Real proxies on loopback whose system calls fail now and then as Linux documents: every rule is kept all the same.

use dewhead_faults::plan::{ClockStep, Plan};
use dewhead_lab::sockets::{FaultInjection, LaunchOptions, SocketHost};
use dewhead_world::audit::Violation;
use dewhead_world::experiment::Experiment;
use std::process::Command;

const CALM: &str = r#"
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

/// Builds what the tests of this package do not build by themselves.
fn build(arguments: &[&str]) {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built = Command::new(cargo).args(["build", "--locked"]).args(arguments).status();
    assert!(built.expect("cargo runs").success());
}

/// The breaches of a run of this experiment with these faults.
fn breaches(experiment: &str, plan: Plan) -> Vec<Violation> {
    build(&["-p", "dewhead-proxy", "--bin", "dewhead"]);
    build(&["-p", "dewhead-faults-preload"]);
    let of = Experiment::parse(experiment).expect("it is sound");
    let library = dewhead_lab::sockets::find_faults_library().expect("it was built a moment ago");
    let proxy = dewhead_lab::sockets::find_proxy_binary().expect("it was built a moment ago");
    let programs =
        LaunchOptions { proxy_binary: proxy, log_dir: None, faults: Some(FaultInjection { library, plan }) };
    let mut host = SocketHost::new(&of, plan.seed, programs).expect("it starts");
    host.run(of.seconds, |_, _| {}).expect("it plays");
    assert!(host.world.service.counts.completed > 20, "{:?}", host.world.service.counts);
    std::mem::take(&mut host.world.audit.violations)
}

/// Nothing tells again that a socket can be written to unless a write found it full, so the rest of a short write has to
/// be written at once.
#[test]
fn lines_are_not_held_back_where_writes_are_cut_short() {
    let plan = Plan { seed: 1, short: 0.3, interrupt: 0.05, ..Plan::default() };
    let breaches = breaches(CALM, plan);
    assert!(breaches.is_empty(), "{} breaches, the first: {:#?}", breaches.len(), breaches[0]);
}

/// A plan is read as it was written, and what is wrong with one is named.
#[test]
fn plans_travel_as_text() {
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
    for (text, fault) in [
        ("short", "'short' is not of the form name=number"),
        ("short=much", "'short=much' is not of the form name=number"),
        ("short=1.5", "'short' takes a probability from 0 to 1"),
        ("long=0.5", "there is no fault 'long'"),
    ] {
        assert_eq!(text.parse::<Plan>().expect_err(text).to_string(), fault);
    }
}
