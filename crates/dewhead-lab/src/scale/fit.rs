//! Cost models: linear regressions over the results of scale runs, which also predict the largest run.

use super::run::RunResult;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// An independent variable of a cost model: its name and its value in a run.
type Regressor = (&'static str, fn(&RunResult) -> f64);

/// A linear model of one figure of a run.
pub struct CostModel {
    /// Name of the figure, which also selects the model.
    pub name: &'static str,
    /// Unit in which the figure is printed.
    pub unit: &'static str,
    /// One printed unit, in the unit of the result's field.
    unit_scale: f64,
    /// The figure itself.
    response: fn(&RunResult) -> f64,
    /// What the figure depends on; without any the model is a constant.
    regressors: &'static [Regressor],
    /// Whether the figure is meaningful in a run.
    applies_to: fn(&RunResult) -> bool,
}

fn always(_: &RunResult) -> bool {
    true
}

const SERVERS: Regressor = ("servers", |r| r.servers);
const PROXIES: Regressor = ("proxies", |r| r.proxies);
const CHANGES: Regressor = ("changes a second", |r| r.changes_per_second);
const PROXY_CHANGES: Regressor = ("proxies times changes a second", |r| r.proxies * r.changes_per_second);

/// All cost models.
pub const COST_MODELS: [CostModel; 12] = [
    CostModel {
        name: "first list, bytes",
        unit: "B",
        unit_scale: 1.0,
        response: |r| r.first_list_bytes,
        regressors: &[SERVERS],
        applies_to: always,
    },
    CostModel {
        name: "first list, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |r| r.first_list_cpu,
        regressors: &[SERVERS],
        applies_to: always,
    },
    CostModel {
        name: "memory with a list",
        unit: "B",
        unit_scale: 1.0,
        response: |r| r.memory_with_list,
        regressors: &[SERVERS],
        applies_to: always,
    },
    CostModel {
        name: "memory a connection",
        unit: "B",
        unit_scale: 1.0,
        response: |r| r.memory_per_connection,
        regressors: &[],
        applies_to: |r| r.open_connections >= 50.0,
    },
    CostModel {
        name: "control bytes a second",
        unit: "B",
        unit_scale: 1.0,
        response: |r| r.control_bytes,
        regressors: &[CHANGES],
        applies_to: always,
    },
    CostModel {
        name: "a change, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |r| r.change_cpu,
        regressors: &[SERVERS],
        applies_to: |r| r.changes_per_second > 0.0,
    },
    CostModel {
        name: "timers a second, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |r| r.timer_cpu,
        regressors: &[SERVERS],
        applies_to: |r| r.calls_per_second == 0.0,
    },
    CostModel {
        name: "a call, time",
        unit: "us",
        unit_scale: 1e-6,
        response: |r| r.call_cpu,
        regressors: &[SERVERS],
        applies_to: |r| r.calls_per_second > 0.0,
    },
    CostModel {
        name: "discovery, lines a second",
        unit: "",
        unit_scale: 1.0,
        response: |r| r.discovery_lines,
        regressors: &[PROXY_CHANGES, PROXIES],
        applies_to: always,
    },
    CostModel {
        name: "discovery, bytes a second",
        unit: "B",
        unit_scale: 1.0,
        response: |r| r.discovery_bytes,
        regressors: &[PROXY_CHANGES, PROXIES],
        applies_to: always,
    },
    CostModel {
        name: "discovery, time a second",
        unit: "us",
        unit_scale: 1e-6,
        response: |r| r.discovery_cpu,
        regressors: &[PROXY_CHANGES, PROXIES],
        applies_to: always,
    },
    CostModel {
        name: "until in force at the last",
        unit: "ms",
        unit_scale: 1e-3,
        response: |r| r.propagation_max,
        regressors: &[PROXIES],
        applies_to: |r| r.changes_per_second > 0.0,
    },
];

/// A fitted model. Each coefficient comes with its standard error.
#[derive(Clone, Debug)]
pub struct LinearFit {
    /// Value where all regressors are 0.
    pub intercept: (f64, f64),
    /// Increase per unit of each regressor.
    pub slopes: Vec<(f64, f64)>,
    /// Number of runs that were fitted.
    pub runs: usize,
}

impl LinearFit {
    /// The figure at these values of the regressors.
    pub fn predict(&self, regressors: &[f64]) -> f64 {
        self.intercept.0 + self.slopes.iter().zip(regressors).map(|((slope, _), x)| slope * x).sum::<f64>()
    }
}

impl CostModel {
    /// Fits the model to the runs without trouble to which it applies; `None` if they are too few or don't differ in a
    /// regressor.
    pub fn fit<'a>(&self, runs: impl Iterator<Item = &'a RunResult>) -> Option<LinearFit> {
        let runs: Vec<&RunResult> = runs.filter(|r| r.trouble.is_none() && (self.applies_to)(r)).collect();
        let response: Vec<f64> = runs.iter().map(|r| (self.response)(r)).collect();
        if self.regressors.is_empty() {
            let (mean, half_width) = crate::stats::confidence_interval(&response);
            return (!response.is_empty()).then(|| LinearFit {
                intercept: (mean, half_width / 2.0),
                slopes: Vec::new(),
                runs: response.len(),
            });
        }
        let names: Vec<String> = (0..self.regressors.len()).map(|i| format!("x{i}")).collect();
        let mut columns = vec![("y".to_owned(), response)];
        for (name, (_, regressor)) in names.iter().zip(self.regressors) {
            columns.push((name.clone(), runs.iter().map(|r| regressor(r)).collect()));
        }
        let data = RegressionDataBuilder::new().build_from(columns).ok()?;
        let regression = FormulaRegressionBuilder::new()
            .data(&data)
            .formula(format!("y ~ {}", names.join(" + ")))
            .fit()
            .ok()?;
        let coefficients: Vec<(f64, f64)> =
            regression.parameters().iter().copied().zip(regression.se().iter().copied()).collect();
        let (intercept, slopes) = coefficients.split_first()?;
        Some(LinearFit { intercept: *intercept, slopes: slopes.to_vec(), runs: runs.len() })
    }

    /// The values of the regressors in a run.
    pub fn regressor_values(&self, result: &RunResult) -> Vec<f64> {
        self.regressors.iter().map(|(_, regressor)| regressor(result)).collect()
    }

    /// The figure in a run, if it is meaningful there.
    pub fn measured_value(&self, result: &RunResult) -> Option<f64> {
        (self.applies_to)(result).then(|| (self.response)(result))
    }

    /// The fitted formula as text, with standard errors and the unit.
    pub fn formula(&self, fit: &LinearFit) -> String {
        let coefficient = |(value, standard_error): (f64, f64)| {
            format!(
                "{} ± {}",
                format_figure(value / self.unit_scale),
                format_figure(standard_error / self.unit_scale)
            )
        };
        let mut formula = coefficient(fit.intercept);
        for ((name, _), slope) in self.regressors.iter().zip(&fit.slopes) {
            formula += &format!(" + ({}) x {name}", coefficient(*slope));
        }
        format!("{formula} {}", self.unit).trim_end().to_owned()
    }
}

/// Formats a number with three significant digits, at most six of them after the point.
pub fn format_figure(x: f64) -> String {
    if x == 0.0 || !x.is_finite() {
        return format!("{x:.0}");
    }
    let places = (2 - x.abs().log10().floor() as i32).clamp(0, 6) as usize;
    format!("{x:.places$}")
}

/// The result of a run as one line of text.
pub fn summary(result: &RunResult) -> String {
    let trouble = result.trouble.map_or(String::new(), |r| format!(" {r:?}"));
    format!(
        "proxies {} servers {} changes {}/s picks {}/s standing {}{trouble}: {:.0} B/s a proxy, change {:.0} us, call {:.0} us, \
         list {:.0} kB {:.1} ms, memory {:.2} MB + {:.0} B a connection, discovery {:.0} lines/s {:.2}% of a core, in force \
         {:.0}/{:.0} ms, back {:.2} s, dropped {}, calls {} (whole {}); real {:.0} B/s {:.2}% {:.1} MB; lateness {:.0} ms{}",
        result.proxies,
        result.servers,
        result.changes_per_second,
        result.calls_per_second,
        result.open_connections,
        result.control_bytes,
        result.change_cpu * 1e6,
        result.call_cpu * 1e6,
        result.first_list_bytes / 1e3,
        result.first_list_cpu * 1e3,
        result.memory_with_list / 1e6,
        result.memory_per_connection,
        result.discovery_lines,
        result.discovery_cpu * 100.0,
        result.propagation_median * 1e3,
        result.propagation_max * 1e3,
        result.restart_recovery,
        result.dropped_watchers,
        result.watch_requests,
        result.full_lists,
        result.real_bytes,
        result.real_cpu * 100.0,
        result.real_memory / 1e6,
        result.lateness * 1e3,
        if result.late { ", LATE" } else { "" }
    )
}

/// The run with the largest product of proxies and servers among those without trouble.
pub fn largest_run(results: &[RunResult]) -> Option<&RunResult> {
    let size = |r: &RunResult| r.proxies * r.servers;
    results.iter().filter(|r| r.trouble.is_none()).max_by(|a, b| size(a).total_cmp(&size(b)))
}

/// Prints the models fitted without the largest run and compares their predictions with that run. Returns whether all
/// predictions are within 20 % of the measured value.
pub fn print_report(results: &[RunResult]) -> bool {
    let Some(largest) = largest_run(results) else { return false };
    let smaller = || results.iter().filter(|r| r.proxies * r.servers < largest.proxies * largest.servers);
    let mut all_within_limit = true;
    println!("what each unit costs (± is the standard error), without the largest run; and that run, predicted and measured");
    for model in &COST_MODELS {
        let Some(fit) = model.fit(smaller()) else {
            println!("  {:28} too few points for a fit", model.name);
            continue;
        };
        let predicted = fit.predict(&model.regressor_values(largest));
        let measured: Vec<f64> = results
            .iter()
            .filter(|r| r.trouble.is_none() && r.proxies * r.servers == largest.proxies * largest.servers)
            .filter_map(|r| model.measured_value(r))
            .collect();
        let comparison = if measured.is_empty() {
            String::new()
        } else {
            let measured = crate::stats::mean(&measured);
            let error_percent = (predicted / measured - 1.0) * 100.0;
            all_within_limit &= error_percent.abs() <= 20.0;
            let warning = if error_percent.abs() > 20.0 { "; the model is wrong here" } else { "" };
            format!(
                ": predicted {}, measured {}, {error_percent:+.0}%{warning}",
                format_figure(predicted / model.unit_scale),
                format_figure(measured / model.unit_scale)
            )
        };
        println!("  {:28} {} ({} runs){comparison}", model.name, model.formula(&fit), fit.runs);
    }
    // The kernel reports the processor time of a process in units of 0.01 s, so that only a busy run shows it reliably.
    let busy = |r: &&RunResult| r.trouble.is_none() && r.real_bytes > 0.0 && r.real_cpu > 0.02;
    if let Some(busiest) = results.iter().filter(busy).max_by(|a, b| a.real_cpu.total_cmp(&b.real_cpu)) {
        let stub_cpu = busiest.watch_cpu + busiest.timer_cpu + busiest.call_cpu * busiest.calls_per_second;
        println!(
            "  stub against real proxies, the busiest run: {:.0} and {:.0} control bytes a second; {:.2}% and {:.2}% of a core \
             ({:.1} times: only real proxies read, write and wait); {:.2} and {:.2} MB",
            busiest.control_bytes,
            busiest.real_bytes,
            stub_cpu * 100.0,
            busiest.real_cpu * 100.0,
            busiest.real_cpu / stub_cpu,
            (busiest.memory_with_list + busiest.memory_per_connection * busiest.open_connections) / 1e6,
            busiest.real_memory / 1e6
        );
    }
    all_within_limit
}
