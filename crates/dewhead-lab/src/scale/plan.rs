//! What is to be run: a base, what is swept from it, and troubles.

use serde::{Deserialize, Serialize};

/// One run's size.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Hollow proxies.
    pub proxies: usize,
    pub servers: usize,
    /// Changes of the list by the second, one server each.
    #[serde(rename = "changes")]
    pub changes_per_second: f64,
    /// Calls by the second at each proxy.
    #[serde(rename = "picks")]
    pub calls_per_second: f64,
    /// Connections that stand at each proxy.
    #[serde(rename = "standing")]
    pub open_connections: usize,
}

/// What is swept, one at a time: the others stay as in the base.
#[derive(Clone, Default, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Sweep {
    pub proxies: Vec<usize>,
    pub servers: Vec<usize>,
    #[serde(rename = "changes")]
    pub changes_per_second: Vec<f64>,
    #[serde(rename = "picks")]
    pub calls_per_second: Vec<f64>,
    #[serde(rename = "standing")]
    pub open_connections: Vec<usize>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// All hollow proxies start anew in one moment, with nothing held; and a tenth of them.
    RestartAll,
    RestartTenth,
    /// Discovery answers nobody for 8 s, and then all.
    DiscoveryAway,
    /// One follower asks and never reads.
    SlowReader,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// How long each run is measured, in seconds.
    pub seconds: f64,
    /// Each size is run so many times.
    #[serde(default = "once")]
    #[serde(rename = "times")]
    pub repeats: usize,
    /// Processes that hollow proxies share.
    pub processes: usize,
    /// Real processes beside them, in every run.
    #[serde(default)]
    #[serde(rename = "real")]
    pub real_proxies: usize,
    pub base: Point,
    #[serde(default)]
    pub sweep: Sweep,
    /// Further sizes, such as pairs of what is swept.
    #[serde(default)]
    #[serde(rename = "point")]
    pub points: Vec<Point>,
    /// The size that is left out of the fit and predicted.
    pub largest: Point,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

fn once() -> usize {
    1
}

/// A hollow proxy is taken to hold this much, and so much a server, where the plan is checked against the machine.
const EACH: f64 = 1e6;
const A_SERVER: f64 = 3000.0;

impl Plan {
    /// Reads one from TOML; a fault is one line that names the key.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let table = text.parse::<toml::Table>().map_err(|e| e.to_string().trim().replace('\n', " "))?;
        let plan: Plan = serde_path_to_error::deserialize(toml::Value::Table(table))
            .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
        plan.check()?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        let wrong = |key: &str, what: &str| Err(format!("key '{key}': {what}"));
        if !(1.0..=600.0).contains(&self.seconds) {
            return wrong("seconds", "is not between 1 and 600");
        }
        if !(1..=64).contains(&self.processes) {
            return wrong("processes", "is not between 1 and 64");
        }
        if self.real_proxies + self.processes > 300 {
            return wrong("real", "with 'processes' is over 300");
        }
        if !(1..=100).contains(&self.repeats) {
            return wrong("times", "is not between 1 and 100");
        }
        for (key, point) in self.named() {
            if point.proxies < 1 || point.proxies > 8000 {
                return wrong(&format!("{key}.proxies"), "is not between 1 and 8000");
            }
            if point.servers < 1 || point.servers > 20_000 {
                return wrong(&format!("{key}.servers"), "is not between 1 and 20000");
            }
            if !(0.0..=1000.0).contains(&point.changes_per_second)
                || !(0.0..=1000.0).contains(&point.calls_per_second)
            {
                return wrong(&format!("{key}.changes"), "or 'picks' is not between 0 and 1000");
            }
            let room = machine_memory() / 2.0;
            if point.proxies as f64 * (EACH + A_SERVER * point.servers as f64) > room {
                return wrong(
                    &format!("{key}.proxies"),
                    "with 'servers' takes over half of the machine's memory",
                );
            }
        }
        Ok(())
    }

    fn named(&self) -> Vec<(&'static str, Point)> {
        let mut all = vec![("base", self.base), ("largest", self.largest)];
        all.extend(self.swept().into_iter().map(|p| ("sweep", p)));
        all.extend(self.points.iter().map(|p| ("point", *p)));
        all
    }

    fn swept(&self) -> Vec<Point> {
        let (base, sweep) = (self.base, &self.sweep);
        let mut all = Vec::new();
        all.extend(sweep.proxies.iter().map(|x| Point { proxies: *x, ..base }));
        all.extend(sweep.servers.iter().map(|x| Point { servers: *x, ..base }));
        all.extend(sweep.changes_per_second.iter().map(|x| Point { changes_per_second: *x, ..base }));
        all.extend(sweep.calls_per_second.iter().map(|x| Point { calls_per_second: *x, ..base }));
        all.extend(sweep.open_connections.iter().map(|x| Point { open_connections: *x, ..base }));
        all
    }

    /// All runs in their order: sizes, the largest, then troubles at the base.
    pub fn runs(&self) -> Vec<(Point, Option<Trouble>)> {
        let mut sizes = vec![self.base];
        sizes.extend(self.swept());
        sizes.extend(&self.points);
        let mut once: Vec<Point> = Vec::new();
        for size in sizes {
            if !once.contains(&size) && size != self.largest {
                once.push(size);
            }
        }
        once.push(self.largest);
        let sizes = once.into_iter().flat_map(|size| std::iter::repeat_n((size, None), self.repeats));
        sizes.chain(self.troubles.iter().map(|t| (self.base, Some(*t)))).collect()
    }
}

fn machine_memory() -> f64 {
    let told = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = told.lines().find_map(|l| l.strip_prefix("MemTotal:"));
    total
        .and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok())
        .map_or(f64::INFINITY, |kb| kb * 1024.0)
}
