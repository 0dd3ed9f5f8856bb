//! What clients asked for and what they got: revenue by the second, set-up times, and what became of calls.

use hdrhistogram::Histogram;
use serde::Serialize;

/// A rate that changes now and then, summed up by the second.
#[derive(Default)]
struct Meter {
    rate: f64,
    at: f64,
    seconds: Vec<f64>,
}

impl Meter {
    fn set(&mut self, now: f64, rate: f64) {
        self.flow(now);
        self.rate = rate;
    }

    fn flow(&mut self, now: f64) {
        while self.at < now {
            let second = self.at.floor() as usize;
            let end = (second as f64 + 1.0).min(now);
            if self.seconds.len() <= second {
                self.seconds.resize(second + 1, 0.0);
            }
            self.seconds[second] += self.rate * (end - self.at);
            self.at = end;
        }
    }
}

/// How calls ended, and what else is counted.
#[derive(Clone, Default, Debug, Serialize)]
pub struct Counts {
    /// Clients that came, and calls that they made.
    pub clients: u64,
    pub calls: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    /// No answer when the client's time was up, and no proxy reached.
    pub unanswered: u64,
    pub unreachable: u64,
    /// Clients that tried no more.
    pub lost_clients: u64,
    /// Standing connections told to move, broken, ended by their client.
    pub moved: u64,
    pub broken: u64,
    pub ended: u64,
    pub legs: u64,
    #[serde(rename = "crossing_legs")]
    pub cross_zone_legs: u64,
    #[serde(rename = "late_set_ups")]
    pub late_setups: u64,
    #[serde(rename = "nodes_fallen")]
    pub nodes_crashed: u64,
    #[serde(rename = "bad_clients")]
    pub misbehaving_clients: u64,
    #[serde(rename = "bad_left")]
    pub misbehaving_clients_unanswered: u64,
}

pub struct ServiceMetrics {
    traffic_types: usize,
    wanted: Vec<Meter>,
    served: Vec<Meter>,
    pub setup_times: Vec<Histogram<u64>>,
    pub counts: Counts,
    /// By the second: load, capacity and connections of each node; connections of each proxy; moves and restarts.
    pub nodes: Vec<Vec<(f32, f32, u32)>>,
    pub proxies: Vec<Vec<u32>>,
    pub annotations: Vec<(f64, String)>,
}

/// What a run comes to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Revenue served well over revenue asked for.
    pub service: f64,
    /// The same in the worst ten seconds, and of the worst traffic type.
    #[serde(rename = "worst_ten")]
    pub worst_ten_seconds: f64,
    pub worst_type: f64,
    pub by_type: Vec<f64>,
    /// Set-up times in seconds: median, 99 and 99.9 in a hundred.
    #[serde(rename = "set_up")]
    pub setup_times: [f64; 3],
    /// Set-up times in milliseconds at some parts of all.
    #[serde(rename = "quantiles")]
    pub setup_quantiles: Vec<(f64, f64)>,
    pub counts: Counts,
    /// Revenue wanted and served, by the second.
    #[serde(rename = "wanted")]
    pub demand: Vec<f64>,
    pub served: Vec<f64>,
}

impl ServiceMetrics {
    pub fn new(traffic_types: usize, nodes: usize, proxies: usize) -> ServiceMetrics {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are sound");
        ServiceMetrics {
            traffic_types,
            wanted: (0..traffic_types).map(|_| Meter::default()).collect(),
            served: (0..traffic_types).map(|_| Meter::default()).collect(),
            setup_times: (0..traffic_types).map(|_| histogram()).collect(),
            counts: Counts::default(),
            nodes: vec![Vec::new(); nodes],
            proxies: vec![Vec::new(); proxies],
            annotations: Vec::new(),
        }
    }

    /// A client wants service of this worth from now on, or no longer.
    pub fn change_demand(&mut self, now: f64, traffic_type: usize, revenue_rate: f64) {
        let rate = self.wanted[traffic_type].rate + revenue_rate;
        self.wanted[traffic_type].set(now, rate);
    }

    /// What is served well from now on, by traffic type.
    pub fn set_served_rates(&mut self, now: f64, rates: &[f64]) {
        for (meter, rate) in self.served.iter_mut().zip(rates) {
            meter.set(now, *rate);
        }
    }

    pub fn record_setup(&mut self, traffic_type: usize, took: f64, target: f64) {
        self.setup_times[traffic_type].saturating_record((took * 1e6).max(1.0) as u64);
        if took > target {
            self.counts.late_setups += 1;
        }
    }

    pub fn annotate(&mut self, now: f64, what: String) {
        // Told for the reader of a report, who reads a few dozen at the most.
        if self.annotations.len() < 500 {
            self.annotations.push((now, what));
        }
    }

    /// Sums up what lies between two times.
    pub fn outcome(&mut self, from: f64, to: f64) -> Outcome {
        self.wanted.iter_mut().chain(&mut self.served).for_each(|m| m.flow(to));
        let (from, to) = (from.ceil() as usize, to.floor() as usize);
        let sum =
            |meter: &Meter, from: usize, to: usize| meter.seconds.iter().take(to).skip(from).sum::<f64>();
        let share = |served: f64, wanted: f64| if wanted > 0.0 { (served / wanted).min(1.0) } else { 1.0 };
        let both = |traffic_types: std::ops::Range<usize>, from, to| {
            let served: f64 = self.served[traffic_types.clone()].iter().map(|m| sum(m, from, to)).sum();
            let wanted: f64 = self.wanted[traffic_types].iter().map(|m| sum(m, from, to)).sum();
            share(served, wanted)
        };
        let by_type: Vec<f64> = (0..self.traffic_types).map(|k| both(k..k + 1, from, to)).collect();
        let windows = from..=to.saturating_sub(10).max(from);
        let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds are sound");
        for one in &self.setup_times {
            all.add(one).expect("they have the same bounds");
        }
        let at = |part: f64| all.value_at_quantile(part) as f64 / 1e6;
        let second = |meters: &[Meter], s: usize| meters.iter().map(|m| sum(m, s, s + 1)).sum::<f64>();
        Outcome {
            service: both(0..self.traffic_types, from, to),
            worst_ten_seconds: windows
                .map(|w| both(0..self.traffic_types, w, (w + 10).min(to)))
                .fold(1.0, f64::min),
            worst_type: by_type.iter().copied().fold(1.0, f64::min),
            by_type,
            setup_times: [at(0.5), at(0.99), at(0.999)],
            setup_quantiles: all
                .iter_quantiles(4)
                .map(|v| (v.quantile(), v.value_iterated_to() as f64 / 1e3))
                .collect(),
            counts: self.counts.clone(),
            demand: (0..to).map(|s| second(&self.wanted, s)).collect(),
            served: (0..to).map(|s| second(&self.served, s)).collect(),
        }
    }
}
