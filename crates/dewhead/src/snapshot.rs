//! What a balancer has learned of servers, as it can be handed to another that takes its place, with its age. Knowledge
//! fades by the rules that hold for it where it was learned; what is too old for any use is left out.

use crate::state::{Balancer, Server};
use std::rc::Rc;

/// What was learned of one server. Ages are seconds before it was told.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    pub server: u64,
    /// The process that it was learned of; another one is unknown.
    pub started: Option<f64>,
    /// The limit as it was cut, in standard cores, and how long ago.
    pub limit: Option<(f64, f64)>,
    /// The most load that it carried since, in standard cores.
    pub peak_load: f64,
    /// The last few outcomes, newest lowest, 1 a success; how many; how long ago the last was.
    pub outcomes: u32,
    pub outcome_count: u32,
    pub last_outcome_age: f64,
}

const GRAIN: f64 = 1e9;
/// A limit cut this many memories ago has grown back past any use.
const USE: f64 = 4.0;

fn sound(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

impl Balancer {
    /// All that is worth telling, by server.
    pub fn snapshot(&self, now: f64) -> Vec<ServerSnapshot> {
        let one = |server: &Rc<Server>| {
            let age = now - server.cut_at.get();
            let limit = Some(server.limit.get()).filter(|l| l.is_finite()).map(|l| (l / GRAIN, age));
            let snapshot = ServerSnapshot {
                server: server.id,
                started: Some(server.started.get()).filter(|s| s.is_finite()),
                limit,
                peak_load: server.carried.get() / GRAIN,
                outcomes: server.health.outcomes.get(),
                outcome_count: server.health.counted.get(),
                last_outcome_age: now - server.health.judged_at.get(),
            };
            (limit.is_some() || snapshot.outcome_count > 0 || snapshot.peak_load > 0.0).then_some(snapshot)
        };
        self.servers.borrow().iter().filter_map(one).collect()
    }

    /// Takes up what another has learned, told `ago` seconds ago. Servers that are not listed, or have started anew,
    /// and figures that make no sense are passed over. Returns of how many servers something was taken up.
    pub fn restore(&self, now: f64, ago: f64, snapshot: &[ServerSnapshot]) -> usize {
        let servers = self.servers.borrow();
        let memory = 4.0 * self.longest_guard;
        let mut taken = 0;
        for told in snapshot {
            let Ok(at) = servers.binary_search_by_key(&told.server, |s| s.id) else { continue };
            let server = &servers[at];
            let started = Some(server.started.get()).filter(|s| s.is_finite());
            let figures =
                [ago, told.peak_load, told.last_outcome_age].into_iter().chain(told.limit.map(|l| l.0));
            if started != told.started || !figures.chain(told.limit.map(|l| l.1)).all(sound) {
                continue;
            }
            let mut some = false;
            if let Some((limit, age)) = told.limit.filter(|(_, age)| age + ago < USE * memory) {
                server.limit.set(limit * GRAIN);
                server.cut_at.set(now - age - ago);
                server.carried.set(told.peak_load * GRAIN);
                some = true;
            }
            if told.outcome_count > 0 && told.last_outcome_age + ago < memory {
                server.health.outcomes.set(told.outcomes & 0xff);
                server.health.counted.set(told.outcome_count.min(8));
                server.health.judged_at.set(now - told.last_outcome_age - ago);
                some = true;
            }
            taken += usize::from(some);
        }
        taken
    }
}
