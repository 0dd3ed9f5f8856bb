//! What a balancer has learned of servers, as it can be handed to another that takes its place, with its age. Knowledge
//! fades by the rules that hold for it where it was learned; what is too old for any use is left out.

use crate::state::{Balancer, Server};
use std::rc::Rc;

/// What was learned of one server. Ages are seconds before it was told.
#[derive(Clone, Debug, PartialEq)]
pub struct Learned {
    pub server: u64,
    /// The process that it was learned of; another one is unknown.
    pub started: Option<f64>,
    /// The limit as it was cut, in standard cores, and how long ago.
    pub limit: Option<(f64, f64)>,
    /// The most load that it carried since, in standard cores.
    pub carried: f64,
    /// The last few outcomes, newest lowest, 1 a success; how many; how long ago the last was.
    pub outcomes: u32,
    pub counted: u32,
    pub judged: f64,
}

const GRAIN: f64 = 1e9;
/// A limit cut this many memories ago has grown back past any use.
const USE: f64 = 4.0;

fn sound(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

impl Balancer {
    /// All that is worth telling, by server.
    pub fn learned(&self, now: f64) -> Vec<Learned> {
        let one = |server: &Rc<Server>| {
            let age = now - server.cut_at.get();
            let limit = Some(server.limit.get()).filter(|l| l.is_finite()).map(|l| (l / GRAIN, age));
            let learned = Learned {
                server: server.id,
                started: Some(server.started.get()).filter(|s| s.is_finite()),
                limit,
                carried: server.carried.get() / GRAIN,
                outcomes: server.health.outcomes.get(),
                counted: server.health.counted.get(),
                judged: now - server.health.judged_at.get(),
            };
            (limit.is_some() || learned.counted > 0 || learned.carried > 0.0).then_some(learned)
        };
        self.servers.borrow().iter().filter_map(one).collect()
    }

    /// Takes up what another has learned, told `ago` seconds ago. Servers that are not listed, or have started anew,
    /// and figures that make no sense are passed over. Returns of how many servers something was taken up.
    pub fn recall(&self, now: f64, ago: f64, learned: &[Learned]) -> usize {
        let servers = self.servers.borrow();
        let memory = 4.0 * self.longest_guard;
        let mut taken = 0;
        for told in learned {
            let Ok(at) = servers.binary_search_by_key(&told.server, |s| s.id) else { continue };
            let server = &servers[at];
            let started = Some(server.started.get()).filter(|s| s.is_finite());
            let figures = [ago, told.carried, told.judged].into_iter().chain(told.limit.map(|l| l.0));
            if started != told.started || !figures.chain(told.limit.map(|l| l.1)).all(sound) {
                continue;
            }
            let mut some = false;
            if let Some((limit, age)) = told.limit.filter(|(_, age)| age + ago < USE * memory) {
                server.limit.set(limit * GRAIN);
                server.cut_at.set(now - age - ago);
                server.carried.set(told.carried * GRAIN);
                some = true;
            }
            if told.counted > 0 && told.judged + ago < memory {
                server.health.outcomes.set(told.outcomes & 0xff);
                server.health.counted.set(told.counted.min(8));
                server.health.judged_at.set(now - told.judged - ago);
                some = true;
            }
            taken += usize::from(some);
        }
        taken
    }
}
