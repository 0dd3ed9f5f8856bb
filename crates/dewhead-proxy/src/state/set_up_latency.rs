//! Detects slow servers by how long they take to set up connections. On sockets, servers do not report how long a
//! message takes, and a line that is answered immediately does not show it: set-up is the only work whose duration is
//! visible.

/// Weight of the newest sample in the recent mean.
const RECENT_WEIGHT: f64 = 0.25;
/// Weight of the newest sample in the typical mean, where it is slower or faster than typical. Faster samples weigh
/// more, so that the typical time stays near that of a server with spare capacity.
const TYPICAL_WEIGHT_SLOWER: f64 = 0.01;
const TYPICAL_WEIGHT_FASTER: f64 = 0.1;
/// A server is judged only after this many samples.
const MIN_SAMPLES: u32 = 6;
/// A server is judged only once both it and this process have been running for this long, in multiples of the decay
/// time of the recent mean.
const MIN_RUNNING_TIME: f64 = 0.5;
/// Recent set-ups may take this many times as long as typical ones without the server being slow: ordinary variation.
const NORMAL_RATIO: f64 = 2.0;

/// Statistics of one server's set-up times.
#[derive(Default)]
pub struct SetUpLatency {
    /// Mean of recent samples, as the natural logarithm of seconds.
    recent: f64,
    /// Long-term mean, as the natural logarithm of seconds.
    typical: f64,
    /// Samples so far.
    count: u32,
    /// When the last sample was taken, in seconds on the process's clock.
    last_at: f64,
}

/// By traffic type, the number of samples and the mean logarithm of their set-up times; the last entry is over all
/// types.
pub struct TypeMeans(Vec<(u32, f64)>);

impl TypeMeans {
    /// Empty statistics for this many traffic types.
    pub fn new(traffic_types: usize) -> TypeMeans {
        TypeMeans(vec![(0, 0.0); traffic_types + 1])
    }

    /// The statistics, as they are handed over to a successor.
    pub fn snapshot(&self) -> &[(u32, f64)] {
        &self.0
    }

    /// Takes over a predecessor's statistics, if it had as many traffic types.
    pub fn restore(&mut self, snapshot: &[(u32, f64)]) {
        if snapshot.len() == self.0.len() && snapshot.iter().all(|(_, mean)| mean.is_finite()) {
            self.0.copy_from_slice(snapshot);
        }
    }

    /// Adds a sample of a traffic type, in seconds, and returns its logarithm less what its type differs by from the
    /// mean over all types.
    fn normalise(&mut self, traffic_type: usize, seconds: f64) -> f64 {
        let (log, all) = (seconds.max(1e-4).ln(), self.0.len() - 1);
        for index in [traffic_type.min(all), all] {
            let (count, mean) = &mut self.0[index];
            *count = count.saturating_add(1);
            *mean += (log - *mean) * (1.0 / f64::from(*count)).max(0.02);
        }
        log - self.0[traffic_type.min(all)].1 + self.0[all].1
    }
}

impl SetUpLatency {
    /// The recent mean, the typical mean, the number of samples, and when the last one was taken.
    pub fn snapshot(&self) -> (f64, f64, u32, f64) {
        (self.recent, self.typical, self.count, self.last_at)
    }

    /// A predecessor's statistics, with the last sample `last_age` seconds before `now`; empty ones where its figures
    /// are implausible.
    pub fn restore(now: f64, (recent, typical, count, last_age): (f64, f64, u32, f64)) -> SetUpLatency {
        if [recent, typical].iter().all(|x| x.abs() < 50.0) && last_age >= 0.0 && last_age.is_finite() {
            SetUpLatency { recent, typical, count, last_at: now - last_age }
        } else {
            SetUpLatency::default()
        }
    }

    /// Adds a set-up that took `seconds` and was answered at `now`. The recent mean decays towards the typical one with
    /// the time constant `decay_time`, in seconds. `running_for` is how long both the server and this process have been
    /// running. Returns by how much the ratio of recent to typical times exceeds ordinary variation, relative to that;
    /// 0 where it does not, or where there are too few samples or the running time is too short to judge.
    pub fn record(
        &mut self,
        type_means: &mut TypeMeans,
        traffic_type: usize,
        seconds: f64,
        (now, running_for): (f64, f64),
        decay_time: f64,
    ) -> f64 {
        let log = type_means.normalise(traffic_type, seconds);
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            (self.recent, self.typical) = (log, log);
        }
        let decay = (-(now - std::mem::replace(&mut self.last_at, now)).max(0.0) / decay_time).exp();
        self.recent = self.typical + (self.recent - self.typical) * decay;
        self.recent += (log - self.recent) * RECENT_WEIGHT;
        let weight = if log > self.typical { TYPICAL_WEIGHT_SLOWER } else { TYPICAL_WEIGHT_FASTER };
        self.typical +=
            (log - self.typical) * weight.max(1.0 / f64::from(self.count.max(MIN_SAMPLES)).powi(2));
        // When many clients connect at once and this process or the server has just started, the first set-ups are
        // immediate and the others queue. When this was treated as slowness, it cut each server's limit to the few
        // connections that it held by then, and the other clients were rejected.
        if self.count < MIN_SAMPLES || running_for < decay_time * MIN_RUNNING_TIME {
            return 0.0;
        }
        ((self.recent - self.typical).exp() / NORMAL_RATIO - 1.0).max(0.0)
    }
}
