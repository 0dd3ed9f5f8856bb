//! How slow servers are, read off how long they take to set connections up. On sockets nobody tells what a message
//! takes, and the lines that come back at once say nothing of it; set-up is the only work whose time shows.

/// Weights of the newest set-up in what is recent, and in what is usual: little where it was slower than usual, more
/// where it was faster, so that what is usual stays near the times of a server with room.
const RECENT: f64 = 0.25;
const SLOWER: f64 = 0.01;
const FASTER: f64 = 0.1;
/// So many are needed before anything is said of a server.
const FEW: u32 = 6;
/// And so long since we or the server started, in parts of the time in which what is recent fades.
const LEARNING: f64 = 0.5;
/// Set-ups vary by themselves: recent ones may take this many times as long as usual ones.
const VARIES: f64 = 2.0;

/// One server's set-up times, as logarithms, and when the last was.
#[derive(Default)]
pub struct SetUpLatency {
    recent: f64,
    typical: f64,
    count: u32,
    last_at: f64,
}

/// What the traffic types differ by: so many seen, and the mean of their logarithms; the last is that of all.
pub struct TypeMeans(Vec<(u32, f64)>);

impl TypeMeans {
    pub fn new(traffic: usize) -> TypeMeans {
        TypeMeans(vec![(0, 0.0); traffic + 1])
    }

    /// What they differ by, to be handed on.
    pub fn snapshot(&self) -> &[(u32, f64)] {
        &self.0
    }

    /// Takes up what another has found, where it knew as many types.
    pub fn restore(&mut self, told: &[(u32, f64)]) {
        if told.len() == self.0.len() && told.iter().all(|(_, mean)| mean.is_finite()) {
            self.0.copy_from_slice(told);
        }
    }

    /// The set-up's logarithm as it would be for a call of no special kind.
    fn normalise(&mut self, traffic: usize, took: f64) -> f64 {
        let (log, all) = (took.max(1e-4).ln(), self.0.len() - 1);
        for at in [traffic.min(all), all] {
            let (seen, mean) = &mut self.0[at];
            *seen = seen.saturating_add(1);
            *mean += (log - *mean) * (1.0 / f64::from(*seen)).max(0.02);
        }
        log - self.0[traffic.min(all)].1 + self.0[all].1
    }
}

impl SetUpLatency {
    /// Recent and usual times, how many were seen and when the last was.
    pub fn snapshot(&self) -> (f64, f64, u32, f64) {
        (self.recent, self.typical, self.count, self.last_at)
    }

    /// One that another has seen, the last set-up `ago` seconds ago; one of its own where the figures make no sense.
    pub fn restore(now: f64, (recent, typical, count, ago): (f64, f64, u32, f64)) -> SetUpLatency {
        if [recent, typical].iter().all(|x| x.abs() < 50.0) && ago >= 0.0 && ago.is_finite() {
            SetUpLatency { recent, typical, count, last_at: now - ago }
        } else {
            SetUpLatency::default()
        }
    }

    /// A set-up was answered at `now`; what is recent fades in `fades` seconds. Returns by how much its server is
    /// slower than set-ups vary by themselves, 0 where it is not, or where both it and we have not run for long: `ran`.
    pub fn record(
        &mut self,
        kinds: &mut TypeMeans,
        traffic: usize,
        took: f64,
        (now, ran): (f64, f64),
        fades: f64,
    ) -> f64 {
        let log = kinds.normalise(traffic, took);
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            (self.recent, self.typical) = (log, log);
        }
        let fade = (-(now - std::mem::replace(&mut self.last_at, now)).max(0.0) / fades).exp();
        self.recent = self.typical + (self.recent - self.typical) * fade;
        self.recent += (log - self.recent) * RECENT;
        let settled = if log > self.typical { SLOWER } else { FASTER };
        self.typical += (log - self.typical) * settled.max(1.0 / f64::from(self.count.max(FEW)).powi(2));
        // A crowd that meets us just started, or a server just started, sets the first up at once and the others in
        // turn. Taken for slow, each server was cut to the little that it held by then, and the crowd turned away.
        if self.count < FEW || ran < fades * LEARNING {
            return 0.0;
        }
        ((self.recent - self.typical).exp() / VARIES - 1.0).max(0.0)
    }
}
