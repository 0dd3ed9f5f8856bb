//! The measurements of a run: revenue per second, setup times and the outcomes of calls.

use hdrhistogram::Histogram;
use serde::Serialize;

/// A rate that changes at times, integrated for each second.
#[derive(Default)]
struct RateMeter {
    rate: f64,
    advanced_to: f64,
    seconds: Vec<f64>,
}

impl RateMeter {
    /// Changes the rate at `now`.
    fn set(&mut self, now: f64, rate: f64) {
        self.advance(now);
        self.rate = rate;
    }

    /// Integrates the current rate up to `now`.
    fn advance(&mut self, now: f64) {
        while self.advanced_to < now {
            let second = self.advanced_to.floor() as usize;
            let end = (second as f64 + 1.0).min(now);
            if self.seconds.len() <= second {
                self.seconds.resize(second + 1, 0.0);
            }
            self.seconds[second] += self.rate * (end - self.advanced_to);
            self.advanced_to = end;
        }
    }
}

/// The number of calls by outcome, and other counts.
#[derive(Clone, Default, Debug, Serialize)]
pub struct Counts {
    /// Clients that arrived.
    pub clients: u64,
    /// Calls that they made.
    pub calls: u64,
    /// Calls answered with `UP`.
    pub completed: u64,
    /// Calls answered with `BUSY`.
    pub rejected: u64,
    /// Calls answered with an error or the end of the connection.
    pub failed: u64,
    /// Calls without an answer by the client's deadline.
    pub unanswered: u64,
    /// Calls that reached no proxy.
    pub unreachable: u64,
    /// Clients that gave up.
    pub lost_clients: u64,
    /// Established connections that ended with `MOVE`.
    pub moved: u64,
    /// Established connections that were lost.
    pub broken: u64,
    /// Established connections that their client ended.
    pub ended: u64,
    /// Legs whose first line reached a node.
    pub legs: u64,
    /// Those of them that crossed zones.
    #[serde(rename = "crossing_legs")]
    pub cross_zone_legs: u64,
    /// Setups that took longer than the target.
    #[serde(rename = "late_set_ups")]
    pub late_setups: u64,
    /// Cold nodes that crashed from overload.
    #[serde(rename = "nodes_fallen")]
    pub nodes_crashed: u64,
    /// Clients that sent no valid request.
    #[serde(rename = "bad_clients")]
    pub misbehaving_clients: u64,
    /// Those of them that were neither answered nor disconnected in time.
    #[serde(rename = "bad_left")]
    pub misbehaving_clients_unanswered: u64,
}

/// Collects the measurements during a run.
pub struct ServiceMetrics {
    traffic_types: usize,
    demand: Vec<RateMeter>,
    served: Vec<RateMeter>,
    /// By traffic type: a histogram of the setup times in microseconds.
    pub setup_time_histograms: Vec<Histogram<u64>>,
    /// The counts so far.
    pub counts: Counts,
    /// By node: load, capacity and connections in each second.
    pub nodes: Vec<Vec<(f32, f32, u32)>>,
    /// By proxy: connections in each second.
    pub proxies: Vec<Vec<u32>>,
    /// Events of the run, such as restarts, with their times.
    pub annotations: Vec<(f64, String)>,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Revenue served within the message target, as a fraction of the demand.
    pub service: f64,
    /// The same in the worst ten seconds.
    #[serde(rename = "worst_ten")]
    pub worst_ten_seconds: f64,
    /// The same for the worst traffic type.
    pub worst_type: f64,
    /// The same for each traffic type.
    pub by_type: Vec<f64>,
    /// Setup times in seconds: the median and the 99th and 99.9th percentiles.
    #[serde(rename = "set_up")]
    pub setup_times: [f64; 3],
    /// The distribution of setup times: quantiles, and times in milliseconds.
    #[serde(rename = "quantiles")]
    pub setup_quantiles: Vec<(f64, f64)>,
    /// The counts of the run.
    pub counts: Counts,
    /// Revenue demanded in each second.
    #[serde(rename = "wanted")]
    pub demand: Vec<f64>,
    /// Revenue served in each second.
    pub served: Vec<f64>,
}

impl ServiceMetrics {
    /// Creates empty measurements.
    pub fn new(traffic_types: usize, nodes: usize, proxies: usize) -> ServiceMetrics {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
        ServiceMetrics {
            traffic_types,
            demand: (0..traffic_types).map(|_| RateMeter::default()).collect(),
            served: (0..traffic_types).map(|_| RateMeter::default()).collect(),
            setup_time_histograms: (0..traffic_types).map(|_| histogram()).collect(),
            counts: Counts::default(),
            nodes: vec![Vec::new(); nodes],
            proxies: vec![Vec::new(); proxies],
            annotations: Vec::new(),
        }
    }

    /// Changes the demand for a traffic type by this revenue rate.
    pub fn change_demand(&mut self, now: f64, traffic_type: usize, revenue_rate: f64) {
        let rate = self.demand[traffic_type].rate + revenue_rate;
        self.demand[traffic_type].set(now, rate);
    }

    /// Sets the revenue rates that are served within the message target from now on, by traffic type.
    pub fn set_served_rates(&mut self, now: f64, rates: &[f64]) {
        for (meter, rate) in self.served.iter_mut().zip(rates) {
            meter.set(now, *rate);
        }
    }

    /// Records a setup time, in seconds.
    pub fn record_setup(&mut self, traffic_type: usize, duration: f64, target: f64) {
        self.setup_time_histograms[traffic_type].saturating_record((duration * 1e6).max(1.0) as u64);
        if duration > target {
            self.counts.late_setups += 1;
        }
    }

    /// Adds an event to the annotations.
    pub fn annotate(&mut self, now: f64, description: String) {
        // The annotations are for the readers of a report, who need a few dozen at most.
        if self.annotations.len() < 500 {
            self.annotations.push((now, description));
        }
    }

    /// Computes the results for the time between `from` and `to`, in seconds.
    pub fn outcome(&mut self, from: f64, to: f64) -> Outcome {
        self.demand.iter_mut().chain(&mut self.served).for_each(|m| m.advance(to));
        let (from, to) = (from.ceil() as usize, to.floor() as usize);
        let total =
            |meter: &RateMeter, from: usize, to: usize| meter.seconds.iter().take(to).skip(from).sum::<f64>();
        let served_fraction =
            |served: f64, demand: f64| if demand > 0.0 { (served / demand).min(1.0) } else { 1.0 };
        let service_share = |traffic_types: std::ops::Range<usize>, from, to| {
            let served: f64 = self.served[traffic_types.clone()].iter().map(|m| total(m, from, to)).sum();
            let demand: f64 = self.demand[traffic_types].iter().map(|m| total(m, from, to)).sum();
            served_fraction(served, demand)
        };
        let by_type: Vec<f64> = (0..self.traffic_types).map(|k| service_share(k..k + 1, from, to)).collect();
        let window_starts = from..=to.saturating_sub(10).max(from);
        let mut combined = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
        for histogram in &self.setup_time_histograms {
            combined.add(histogram).expect("all histograms have the same bounds");
        }
        let quantile_seconds = |quantile: f64| combined.value_at_quantile(quantile) as f64 / 1e6;
        let sum_in_second =
            |meters: &[RateMeter], s: usize| meters.iter().map(|m| total(m, s, s + 1)).sum::<f64>();
        Outcome {
            service: service_share(0..self.traffic_types, from, to),
            worst_ten_seconds: window_starts
                .map(|w| service_share(0..self.traffic_types, w, (w + 10).min(to)))
                .fold(1.0, f64::min),
            worst_type: by_type.iter().copied().fold(1.0, f64::min),
            by_type,
            setup_times: [quantile_seconds(0.5), quantile_seconds(0.99), quantile_seconds(0.999)],
            setup_quantiles: combined
                .iter_quantiles(4)
                .map(|v| (v.quantile(), v.value_iterated_to() as f64 / 1e3))
                .collect(),
            counts: self.counts.clone(),
            demand: (0..to).map(|s| sum_in_second(&self.demand, s)).collect(),
            served: (0..to).map(|s| sum_in_second(&self.served, s)).collect(),
        }
    }
}
