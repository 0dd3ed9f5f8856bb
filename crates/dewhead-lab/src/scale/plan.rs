//! The plan of a scale run: a base point, sweeps of its parameters, further points, and troubles.

use serde::{Deserialize, Serialize};

/// The size and load of one run.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Number of stub proxies.
    pub proxies: usize,
    /// Number of servers in the server list.
    pub servers: usize,
    /// Changes of the server list per second; each affects one server.
    #[serde(rename = "changes")]
    pub changes_per_second: f64,
    /// Calls per second at each proxy.
    #[serde(rename = "picks")]
    pub calls_per_second: f64,
    /// Connections that stay open at each proxy.
    #[serde(rename = "standing")]
    pub open_connections: usize,
}

/// Values for each parameter; one parameter is varied at a time and the others keep their base values.
#[derive(Clone, Default, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sweep {
    /// Values of [`Point::proxies`].
    pub proxies: Vec<usize>,
    /// Values of [`Point::servers`].
    pub servers: Vec<usize>,
    /// Values of [`Point::changes_per_second`].
    #[serde(rename = "changes")]
    pub changes_per_second: Vec<f64>,
    /// Values of [`Point::calls_per_second`].
    #[serde(rename = "picks")]
    pub calls_per_second: Vec<f64>,
    /// Values of [`Point::open_connections`].
    #[serde(rename = "standing")]
    pub open_connections: Vec<usize>,
}

/// A failure that is injected into a run at the base point.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// All stub proxies restart at the same moment without any stored server list.
    RestartAll,
    /// A tenth of the stub proxies restart at the same moment without any stored server list.
    RestartTenth,
    /// Discovery closes its connections and answers every request with an error for 8 s, then serves all again.
    DiscoveryAway,
    /// One client of discovery opens a watch and never reads from it.
    SlowReader,
}

/// A plan as read from a TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name that is printed with the results.
    pub name: String,
    /// Measured duration of each run, in seconds.
    pub seconds: f64,
    /// Number of runs at each point.
    #[serde(default = "default_repeats")]
    #[serde(rename = "times")]
    pub repeats: usize,
    /// Number of processes over which the stub proxies are distributed.
    pub processes: usize,
    /// Number of real proxy processes in every run.
    #[serde(default)]
    #[serde(rename = "real")]
    pub real_proxies: usize,
    /// The point from which the sweep starts, and at which troubles are run.
    pub base: Point,
    /// Parameters to vary, one at a time.
    #[serde(default)]
    pub sweep: Sweep,
    /// Further points, such as combinations of two swept parameters.
    #[serde(default)]
    #[serde(rename = "point")]
    pub points: Vec<Point>,
    /// The point that is left out of the cost fit and predicted by it.
    pub largest: Point,
    /// Troubles to run at the base point.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

fn default_repeats() -> usize {
    1
}

/// Estimated memory of a stub proxy without its server list, in bytes; limits a plan to half of the machine's memory.
const BYTES_PER_PROXY: f64 = 1e6;
/// Estimated memory of one server list entry in one stub proxy, in bytes.
const BYTES_PER_PROXY_AND_SERVER: f64 = 3000.0;

impl Plan {
    /// Parses and checks a plan in TOML; the error is one line that names the key.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let table = text.parse::<toml::Table>().map_err(|e| e.to_string().trim().replace('\n', " "))?;
        let plan: Plan = serde_path_to_error::deserialize(toml::Value::Table(table))
            .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        let invalid = |key: &str, problem: &str| Err(format!("key '{key}': {problem}"));
        if !(1.0..=600.0).contains(&self.seconds) {
            return invalid("seconds", "is not between 1 and 600");
        }
        if !(1..=64).contains(&self.processes) {
            return invalid("processes", "is not between 1 and 64");
        }
        if self.real_proxies + self.processes > 300 {
            return invalid("real", "plus 'processes' is over 300");
        }
        if !(1..=100).contains(&self.repeats) {
            return invalid("times", "is not between 1 and 100");
        }
        for (key, point) in self.labelled_points() {
            if point.proxies < 1 || point.proxies > 8000 {
                return invalid(&format!("{key}.proxies"), "is not between 1 and 8000");
            }
            if point.servers < 1 || point.servers > 20_000 {
                return invalid(&format!("{key}.servers"), "is not between 1 and 20000");
            }
            if !(0.0..=1000.0).contains(&point.changes_per_second)
                || !(0.0..=1000.0).contains(&point.calls_per_second)
            {
                return invalid(&format!("{key}.changes"), "or 'picks' is not between 0 and 1000");
            }
            let memory_limit = machine_memory() / 2.0;
            if point.proxies as f64 * (BYTES_PER_PROXY + BYTES_PER_PROXY_AND_SERVER * point.servers as f64)
                > memory_limit
            {
                return invalid(
                    &format!("{key}.proxies"),
                    "combined with 'servers' takes over half of the machine's memory",
                );
            }
        }
        Ok(())
    }

    fn labelled_points(&self) -> Vec<(&'static str, Point)> {
        let mut points = vec![("base", self.base), ("largest", self.largest)];
        points.extend(self.sweep_points().into_iter().map(|p| ("sweep", p)));
        points.extend(self.points.iter().map(|p| ("point", *p)));
        points
    }

    fn sweep_points(&self) -> Vec<Point> {
        let (base, sweep) = (self.base, &self.sweep);
        let mut points = Vec::new();
        points.extend(sweep.proxies.iter().map(|x| Point { proxies: *x, ..base }));
        points.extend(sweep.servers.iter().map(|x| Point { servers: *x, ..base }));
        points.extend(sweep.changes_per_second.iter().map(|x| Point { changes_per_second: *x, ..base }));
        points.extend(sweep.calls_per_second.iter().map(|x| Point { calls_per_second: *x, ..base }));
        points.extend(sweep.open_connections.iter().map(|x| Point { open_connections: *x, ..base }));
        points
    }

    /// All runs in order: every distinct point with the largest last, then each trouble at the base point.
    pub fn runs(&self) -> Vec<(Point, Option<Trouble>)> {
        let mut points = vec![self.base];
        points.extend(self.sweep_points());
        points.extend(&self.points);
        let mut distinct: Vec<Point> = Vec::new();
        for point in points {
            if !distinct.contains(&point) && point != self.largest {
                distinct.push(point);
            }
        }
        distinct.push(self.largest);
        let points = distinct.into_iter().flat_map(|point| std::iter::repeat_n((point, None), self.repeats));
        points.chain(self.troubles.iter().map(|t| (self.base, Some(*t)))).collect()
    }
}

/// Total memory of the machine in bytes; infinite if it can't be read.
fn machine_memory() -> f64 {
    let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let mem_total = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    mem_total
        .and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(f64::INFINITY, |kb| kb * 1024.0)
}
