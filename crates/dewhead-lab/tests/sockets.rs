//! A run on real sockets with real proxy processes: no violations through restarts, a drain, a node's crash and
//! silence, and a new configuration, and no sockets leak.

use dewhead_lab::sockets::{LaunchOptions, SocketHost};
use dewhead_world::experiment::Experiment;
use std::path::PathBuf;
use std::process::Command;

/// The proxy's binary. It is built here, because cargo does not build the binaries of other packages for a test.
fn build_proxy() -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built =
        Command::new(cargo).args(["build", "--locked", "-p", "dewhead-proxy", "--bin", "dewhead"]).status();
    assert!(built.expect("cargo starts").success());
    dewhead_lab::sockets::find_proxy_binary().expect("the binary has just been built")
}

const MIXED_TROUBLES: &str = r#"
seconds = 14
[fleet]
proxies = 2
nodes = 4
[load]
utilisation = 0.3
[[machine]]
name = "small"
cores = 1
warm_after = [3, 4]
[[traffic]]
name = "feeds"
life = 8
[[trouble]]
kind = "drain"
at = 3
lasts = 2
part = 0.25
size = 1
[[trouble]]
kind = "restart-stop"
at = 4
lasts = 1
part = 0.5
[[trouble]]
kind = "reconfigure"
at = 6.5
lasts = 1
part = 1
[[trouble]]
kind = "node-restart"
at = 7
lasts = 1
part = 0.25
[[trouble]]
kind = "node-silent"
at = 8
lasts = 3
part = 0.25
[[trouble]]
kind = "bad-clients"
at = 5
lasts = 4
size = 30
"#;

#[test]
fn no_violations_and_no_leaked_sockets_on_loopback() {
    let experiment = Experiment::parse(MIXED_TROUBLES).expect("the experiment is valid");
    let options = LaunchOptions { proxy_binary: build_proxy(), log_dir: None, faults: None };
    let mut host = SocketHost::new(&experiment, 1, options).expect("the host starts");
    host.run(experiment.seconds, |_, _| {}).expect("the run completes");
    let counts = host.world.service.counts.clone();
    assert!(counts.completed > 100, "{counts:?}");
    assert!(counts.moved > 0, "the drain and the stop move clients: {counts:?}");
    assert!(counts.misbehaving_clients > 50, "{counts:?}");
    assert_eq!(
        counts.misbehaving_clients_unanswered, 0,
        "each misbehaving client is answered or disconnected: {counts:?}"
    );
    let violations = &host.world.audit.violations;
    assert!(violations.is_empty(), "{:#?}", violations[0]);
    // Up to a tolerance of 8, every open socket belongs to a link of the world.
    assert!(
        host.open_sockets() <= host.world.open_links() + 8,
        "{} sockets, {} links",
        host.open_sockets(),
        host.world.open_links()
    );
}
