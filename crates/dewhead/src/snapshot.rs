//! What a balancer has learned of its servers, in a form that can be handed to a successor. Every item carries its age
//! and expires at the successor by the same rules as here; what is too old to be used is left out.

use crate::state::{Balancer, Server};
use std::rc::Rc;

/// What was learned of one server. Ages are in seconds before the snapshot was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The server's id.
    pub server: u64,
    /// When the server's process started, `None` if long ago. The snapshot does not apply to a process with another
    /// start time.
    pub started: Option<f64>,
    /// The limit as it was cut, in standard cores, and its age.
    pub limit: Option<(f64, f64)>,
    /// The highest load since the cut, in standard cores.
    pub peak_load: f64,
    /// The latest outcomes: a bit each, the newest lowest, 1 a success.
    pub outcomes: u32,
    /// The number of outcomes in `outcomes`.
    pub outcome_count: u32,
    /// The age of the latest outcome.
    pub last_outcome_age: f64,
}

const NANOCORES_PER_CORE: f64 = 1e9;
/// The age from which a cut limit has grown too high to matter, in multiples of the time for which an outcome counts.
const MAX_LIMIT_AGE: f64 = 4.0;

fn is_valid(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

impl Balancer {
    /// What a successor can use, by server.
    pub fn snapshot(&self, now: f64) -> Vec<ServerSnapshot> {
        let snapshot_of = |server: &Rc<Server>| {
            let limit_age = now - server.limit_cut_at.get();
            let limit = Some(server.limit.get())
                .filter(|l| l.is_finite())
                .map(|l| (l / NANOCORES_PER_CORE, limit_age));
            let snapshot = ServerSnapshot {
                server: server.id,
                started: Some(server.started.get()).filter(|s| s.is_finite()),
                limit,
                peak_load: server.peak_load.get() / NANOCORES_PER_CORE,
                outcomes: server.health.outcomes.get(),
                outcome_count: server.health.outcome_count.get(),
                last_outcome_age: now - server.health.last_outcome_at.get(),
            };
            (limit.is_some() || snapshot.outcome_count > 0 || snapshot.peak_load > 0.0).then_some(snapshot)
        };
        self.servers.borrow().iter().filter_map(snapshot_of).collect()
    }

    /// Restores a snapshot that another balancer took `age` seconds ago, and returns the number of servers for which
    /// something was restored. Servers that are not listed or have restarted since, and invalid figures, are skipped.
    pub fn restore(&self, now: f64, age: f64, snapshots: &[ServerSnapshot]) -> usize {
        let servers = self.servers.borrow();
        let memory = 4.0 * self.longest_guard;
        let mut restored_count = 0;
        for snapshot in snapshots {
            let Ok(index) = servers.binary_search_by_key(&snapshot.server, |s| s.id) else { continue };
            let server = &servers[index];
            let started = Some(server.started.get()).filter(|s| s.is_finite());
            let figures = [age, snapshot.peak_load, snapshot.last_outcome_age]
                .into_iter()
                .chain(snapshot.limit.map(|l| l.0));
            if started != snapshot.started || !figures.chain(snapshot.limit.map(|l| l.1)).all(is_valid) {
                continue;
            }
            let mut restored = false;
            if let Some((limit, limit_age)) =
                snapshot.limit.filter(|(_, limit_age)| limit_age + age < MAX_LIMIT_AGE * memory)
            {
                server.limit.set(limit * NANOCORES_PER_CORE);
                server.limit_cut_at.set(now - limit_age - age);
                server.peak_load.set(snapshot.peak_load * NANOCORES_PER_CORE);
                restored = true;
            }
            if snapshot.outcome_count > 0 && snapshot.last_outcome_age + age < memory {
                server.health.outcomes.set(snapshot.outcomes & 0xff);
                server.health.outcome_count.set(snapshot.outcome_count.min(8));
                server.health.last_outcome_at.set(now - snapshot.last_outcome_age - age);
                restored = true;
            }
            restored_count += usize::from(restored);
        }
        restored_count
    }
}
