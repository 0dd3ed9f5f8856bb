//! What each unit costs: lines through the runs' figures, and the largest run predicted by the smaller ones.

use super::run::RunResult;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// What a figure grows with: its name, and how much of it a run has.
type Regressor = (&'static str, fn(&RunResult) -> f64);

/// One figure and what it is taken to grow with.
pub struct CostModel {
    pub name: &'static str,
    pub unit: &'static str,
    /// What one unit of the figure is printed as, in the figure's own.
    unit_scale: f64,
    response: fn(&RunResult) -> f64,
    regressors: &'static [Regressor],
    /// Where the figure can be told at all.
    applies_to: fn(&RunResult) -> bool,
}

fn always(_: &RunResult) -> bool {
    true
}

const SERVERS: Regressor = ("servers", |t| t.servers);
const PROXIES: Regressor = ("proxies", |t| t.proxies);
const CHANGES: Regressor = ("changes a second", |t| t.changes_per_second);
const TOLD: Regressor = ("proxies times changes a second", |t| t.proxies * t.changes_per_second);

pub const COST_MODELS: [CostModel; 12] = [
    CostModel {
        name: "first list, bytes",
        unit: "B",
        unit_scale: 1.0,
        response: |t| t.first_list_bytes,
        regressors: &[SERVERS],
        applies_to: always,
    },
    CostModel {
        name: "first list, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |t| t.first_list_cpu,
        regressors: &[SERVERS],
        applies_to: always,
    },
    CostModel {
        name: "memory with a list",
        unit: "B",
        unit_scale: 1.0,
        response: |t| t.memory_with_list,
        regressors: &[SERVERS],
        applies_to: always,
    },
    CostModel {
        name: "memory a connection",
        unit: "B",
        unit_scale: 1.0,
        response: |t| t.memory_per_connection,
        regressors: &[],
        applies_to: |t| t.open_connections >= 50.0,
    },
    CostModel {
        name: "control bytes a second",
        unit: "B",
        unit_scale: 1.0,
        response: |t| t.control_bytes,
        regressors: &[CHANGES],
        applies_to: always,
    },
    CostModel {
        name: "a change, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |t| t.change_cpu,
        regressors: &[SERVERS],
        applies_to: |t| t.changes_per_second > 0.0,
    },
    CostModel {
        name: "timers a second, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |t| t.timer_cpu,
        regressors: &[SERVERS],
        applies_to: |t| t.calls_per_second == 0.0,
    },
    CostModel {
        name: "a call, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |t| t.call_cpu,
        regressors: &[SERVERS],
        applies_to: |t| t.calls_per_second > 0.0,
    },
    CostModel {
        name: "discovery, lines a second",
        unit: "",
        unit_scale: 1.0,
        response: |t| t.discovery_lines,
        regressors: &[TOLD, PROXIES],
        applies_to: always,
    },
    CostModel {
        name: "discovery, bytes a second",
        unit: "B",
        unit_scale: 1.0,
        response: |t| t.discovery_bytes,
        regressors: &[TOLD, PROXIES],
        applies_to: always,
    },
    CostModel {
        name: "discovery, time a second",
        unit: "us",
        unit_scale: 1e-6,
        response: |t| t.discovery_cpu,
        regressors: &[TOLD, PROXIES],
        applies_to: always,
    },
    CostModel {
        name: "until in force at the last",
        unit: "ms",
        unit_scale: 1e-3,
        response: |t| t.propagation_max,
        regressors: &[PROXIES],
        applies_to: |t| t.changes_per_second > 0.0,
    },
];

/// A line: where it begins, what each unit adds, and the standard error of each.
#[derive(Clone, Debug)]
pub struct LinearFit {
    pub intercept: (f64, f64),
    pub slopes: Vec<(f64, f64)>,
    pub runs: usize,
}

impl LinearFit {
    pub fn predict(&self, regressors: &[f64]) -> f64 {
        self.intercept.0 + self.slopes.iter().zip(regressors).map(|((slope, _), x)| slope * x).sum::<f64>()
    }
}

impl CostModel {
    /// Through these runs; none where there are too few, or all of one size.
    pub fn fit<'a>(&self, runs: impl Iterator<Item = &'a RunResult>) -> Option<LinearFit> {
        let runs: Vec<&RunResult> = runs.filter(|t| t.trouble.is_none() && (self.applies_to)(t)).collect();
        let response: Vec<f64> = runs.iter().map(|t| (self.response)(t)).collect();
        if self.regressors.is_empty() {
            let (mean, half) = crate::stats::interval(&response);
            return (!response.is_empty()).then(|| LinearFit {
                intercept: (mean, half / 2.0),
                slopes: Vec::new(),
                runs: response.len(),
            });
        }
        let names: Vec<String> = (0..self.regressors.len()).map(|at| format!("x{at}")).collect();
        let mut columns = vec![("y".to_owned(), response)];
        for (name, (_, regressor)) in names.iter().zip(self.regressors) {
            columns.push((name.clone(), runs.iter().map(|t| regressor(t)).collect()));
        }
        let data = RegressionDataBuilder::new().build_from(columns).ok()?;
        let model = FormulaRegressionBuilder::new()
            .data(&data)
            .formula(format!("y ~ {}", names.join(" + ")))
            .fit()
            .ok()?;
        let both: Vec<(f64, f64)> =
            model.parameters().iter().copied().zip(model.se().iter().copied()).collect();
        let (intercept, slopes) = both.split_first()?;
        Some(LinearFit { intercept: *intercept, slopes: slopes.to_vec(), runs: runs.len() })
    }

    pub fn regressor_values(&self, told: &RunResult) -> Vec<f64> {
        self.regressors.iter().map(|(_, regressor)| regressor(told)).collect()
    }

    pub fn measured_value(&self, told: &RunResult) -> Option<f64> {
        (self.applies_to)(told).then(|| (self.response)(told))
    }

    pub fn formula(&self, line: &LinearFit) -> String {
        let part = |(value, spread): (f64, f64)| {
            format!(
                "{} ± {}",
                format_figure(value / self.unit_scale),
                format_figure(spread / self.unit_scale)
            )
        };
        let mut formula = part(line.intercept);
        for ((name, _), add) in self.regressors.iter().zip(&line.slopes) {
            formula += &format!(" + ({}) x {name}", part(*add));
        }
        format!("{formula} {}", self.unit).trim_end().to_owned()
    }
}

/// Three places that count.
pub fn format_figure(x: f64) -> String {
    if x == 0.0 || !x.is_finite() {
        return format!("{x:.0}");
    }
    let places = (2 - x.abs().log10().floor() as i32).clamp(0, 6) as usize;
    format!("{x:.places$}")
}

/// A run in a line.
pub fn summary(told: &RunResult) -> String {
    let trouble = told.trouble.map_or(String::new(), |t| format!(" {t:?}"));
    format!(
        "proxies {} servers {} changes {}/s picks {}/s standing {}{trouble}: {:.0} B/s a proxy, change {:.0} us, call {:.0} us, \
         list {:.0} kB {:.1} ms, memory {:.2} MB + {:.0} B a connection, discovery {:.0} lines/s {:.2}% of a core, in force \
         {:.0}/{:.0} ms, back {:.2} s, dropped {}, calls {} (whole {}); real {:.0} B/s {:.2}% {:.1} MB; lateness {:.0} ms{}",
        told.proxies, told.servers, told.changes_per_second, told.calls_per_second, told.open_connections, told.control_bytes, told.change_cpu * 1e6,
        told.call_cpu * 1e6, told.first_list_bytes / 1e3, told.first_list_cpu * 1e3, told.memory_with_list / 1e6, told.memory_per_connection,
        told.discovery_lines, told.discovery_cpu * 100.0, told.propagation_median * 1e3, told.propagation_max * 1e3, told.restart_recovery, told.dropped_watchers,
        told.watch_requests, told.full_lists, told.real_bytes, told.real_cpu * 100.0, told.real_memory / 1e6, told.lateness * 1e3,
        if told.late { ", LATE" } else { "" }
    )
}

/// The largest run: the one of most servers and proxies together, among those without trouble.
pub fn largest_run(told: &[RunResult]) -> Option<&RunResult> {
    let size = |t: &RunResult| t.proxies * t.servers;
    told.iter().filter(|t| t.trouble.is_none()).max_by(|a, b| size(a).total_cmp(&size(b)))
}

/// Prints the lines and the prediction; whether all came within a fifth.
pub fn print_report(told: &[RunResult]) -> bool {
    let Some(largest) = largest_run(told) else { return false };
    let smaller = || told.iter().filter(|t| t.proxies * t.servers < largest.proxies * largest.servers);
    let mut sound = true;
    println!("what each unit costs (± is the standard error), without the largest run; and that run, predicted and measured");
    for term in &COST_MODELS {
        let Some(line) = term.fit(smaller()) else {
            println!("  {:28} too few sizes to tell", term.name);
            continue;
        };
        let predicted = line.predict(&term.regressor_values(largest));
        let measured: Vec<f64> = told
            .iter()
            .filter(|t| t.trouble.is_none() && t.proxies * t.servers == largest.proxies * largest.servers)
            .filter_map(|t| term.measured_value(t))
            .collect();
        let outcome = if measured.is_empty() {
            String::new()
        } else {
            let measured = crate::stats::mean(&measured);
            let off = (predicted / measured - 1.0) * 100.0;
            sound &= off.abs() <= 20.0;
            let wrong = if off.abs() > 20.0 { "; the model is wrong here" } else { "" };
            format!(
                ": {} for {}, {off:+.0}%{wrong}",
                format_figure(predicted / term.unit_scale),
                format_figure(measured / term.unit_scale)
            )
        };
        println!("  {:28} {} ({} runs){outcome}", term.name, term.formula(&line), line.runs);
    }
    // Real processor time is told in hundredths: only a busy run tells it from nothing.
    let busy = |t: &&RunResult| t.trouble.is_none() && t.real_bytes > 0.0 && t.real_cpu > 0.02;
    if let Some(one) = told.iter().filter(busy).max_by(|a, b| a.real_cpu.total_cmp(&b.real_cpu)) {
        let hollow = one.watch_cpu + one.timer_cpu + one.call_cpu * one.calls_per_second;
        println!(
            "  hollow against real, the busiest run: {:.0} and {:.0} control bytes a second; {:.2}% and {:.2}% of a core \
             ({:.1} times: reading, writing and waiting are the real one's); {:.2} and {:.2} MB",
            one.control_bytes,
            one.real_bytes,
            hollow * 100.0,
            one.real_cpu * 100.0,
            one.real_cpu / hollow,
            (one.memory_with_list + one.memory_per_connection * one.open_connections) / 1e6,
            one.real_memory / 1e6
        );
    }
    sound
}
