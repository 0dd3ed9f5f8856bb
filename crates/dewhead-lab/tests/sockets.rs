//! The world on real sockets with the real proxy: rules kept through restarts, a drain, a death, silence and a new
//! configuration, and nothing left over.

use dewhead_lab::sockets::{LaunchOptions, SocketHost};
use dewhead_world::experiment::Experiment;
use std::path::PathBuf;
use std::process::Command;

/// The proxy's binary, built if need be: tests of one package don't build another's.
fn proxy() -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built =
        Command::new(cargo).args(["build", "--locked", "-p", "dewhead-proxy", "--bin", "dewhead"]).status();
    assert!(built.expect("cargo runs").success());
    dewhead_lab::sockets::find_proxy_binary().expect("it was built a moment ago")
}

const ROUGH: &str = r#"
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
fn the_rules_are_kept_on_sockets_and_nothing_is_left_over() {
    let of = Experiment::parse(ROUGH).expect("it is sound");
    let programs = LaunchOptions { proxy_binary: proxy(), log_dir: None, faults: None };
    let mut host = SocketHost::new(&of, 1, programs).expect("it starts");
    host.run(of.seconds, |_, _| {}).expect("it plays");
    let counts = host.world.service.counts.clone();
    assert!(counts.completed > 100, "{counts:?}");
    assert!(counts.moved > 0, "the drain and the stop move clients: {counts:?}");
    assert!(counts.misbehaving_clients > 50, "{counts:?}");
    assert_eq!(counts.misbehaving_clients_unanswered, 0, "each bad client is owed an end: {counts:?}");
    let breaches = &host.world.audit.violations;
    assert!(breaches.is_empty(), "{:#?}", breaches[0]);
    // All that is open is a link that the world knows; none is forgotten.
    assert!(
        host.open_sockets() <= host.world.open_links() + 8,
        "{} sockets, {} links",
        host.open_sockets(),
        host.world.open_links()
    );
}
