//! A self-contained HTML page with a table of all runs and inline SVG plots of some.

use crate::stats;
use plotters::prelude::*;
use serde::Deserialize;

/// A run as read from its line of JSON; the fields are those of `runs::RunResult`.
#[derive(Deserialize)]
pub struct ReportedRun {
    /// The experiment's name.
    pub experiment: String,
    /// The label of the matrix point; empty if there is no matrix.
    pub point: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The proxy implementation; on sockets, the path of the proxy's binary.
    #[serde(rename = "who")]
    pub proxy_name: String,
    /// `simulated` or `sockets`.
    pub host: String,
    /// Service metrics; the shares are those from the time at which the service has settled.
    pub outcome: ReportedOutcome,
    /// Violations of the proxies' rules that the auditor found.
    #[serde(rename = "breaches")]
    pub violations: Vec<ReportedViolation>,
    /// Whether the lab was so late that measured times are unreliable.
    pub late: bool,
    /// For each node, once a second: load, capacity and connections.
    pub nodes: Vec<Vec<(f64, f64, u32)>>,
    /// For each proxy, once a second: connections.
    pub proxies: Vec<Vec<u32>>,
    /// Notable events: the time in seconds and a description.
    #[serde(rename = "marks")]
    pub annotations: Vec<(f64, String)>,
}

/// Service metrics of a run.
#[derive(Deserialize)]
pub struct ReportedOutcome {
    /// Revenue served within the message target, as a fraction of the demand.
    pub service: f64,
    /// The same in the worst ten seconds.
    #[serde(rename = "worst_ten")]
    pub worst_ten_seconds: f64,
    /// The same for the worst traffic type.
    pub worst_type: f64,
    /// The 50 %, 99 % and 99.9 % quantiles of the setup time, in seconds.
    #[serde(rename = "set_up")]
    pub setup_times: [f64; 3],
    /// Quantiles of the setup time from an HDR histogram: the rank from 0 to 1 and the time in milliseconds.
    #[serde(rename = "quantiles", default)]
    pub setup_quantiles: Vec<(f64, f64)>,
    /// Revenue demanded, per second.
    #[serde(rename = "wanted")]
    pub demand: Vec<f64>,
    /// Revenue served within the message target, per second.
    pub served: Vec<f64>,
    /// Numbers of calls, clients and events by kind.
    pub counts: serde_json::Value,
}

/// A violation of one of the proxies' rules.
#[derive(Deserialize)]
pub struct ReportedViolation {
    /// The rule's name.
    pub rule: String,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
    /// When, in seconds from the start.
    pub at: f64,
    /// The proxy's index.
    pub proxy: usize,
    /// The call's id, if the violation concerns a single call.
    pub call: Option<String>,
    /// The events of that call in order: the time in seconds and a description.
    pub trace: Vec<(f64, String)>,
}

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 260);

fn plot_error(e: impl std::fmt::Display) -> String {
    format!("drawing a plot: {e}")
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A line of a plot: its label, points and colour.
type Line = (String, Vec<(f64, f64)>, RGBColor);

/// A figure with these lines over time in seconds and a vertical line at each annotation. With `log_scale` the value
/// axis is logarithmic, and annotations are left out.
fn plot_lines(
    title: &str,
    unit: &str,
    lines: &[Line],
    annotations: &[(f64, String)],
    log_scale: bool,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let right = lines.iter().flat_map(|l| &l.1).map(|p| p.0).fold(1.0, f64::max);
        let top = lines.iter().flat_map(|l| &l.1).map(|p| p.1).fold(1e-9, f64::max) * 1.05;
        let mut builder = ChartBuilder::on(&area);
        builder.caption(title, ("sans-serif", 16)).margin(8).x_label_area_size(28).y_label_area_size(56);
        if log_scale {
            let mut chart = builder
                .build_cartesian_2d(0.0..right, (0.1..top.max(1.0)).log_scale())
                .map_err(plot_error)?;
            chart.configure_mesh().light_line_style(WHITE).y_desc(unit).draw().map_err(plot_error)?;
            for (_, points, colour) in lines {
                chart.draw_series(LineSeries::new(points.iter().copied(), colour)).map_err(plot_error)?;
            }
        } else {
            let mut chart = builder.build_cartesian_2d(0.0..right, 0.0..top).map_err(plot_error)?;
            chart
                .configure_mesh()
                .light_line_style(WHITE)
                .x_desc("seconds")
                .y_desc(unit)
                .draw()
                .map_err(plot_error)?;
            for (at, _) in annotations {
                let vertical = vec![(*at, 0.0), (*at, top)];
                chart.draw_series(LineSeries::new(vertical, RGBColor(200, 200, 200))).map_err(plot_error)?;
            }
            for (_, points, colour) in lines {
                chart.draw_series(LineSeries::new(points.iter().copied(), colour)).map_err(plot_error)?;
            }
        }
        area.present().map_err(plot_error)?;
    }
    let mut legend = String::new();
    for (name, _, colour) in lines {
        let RGBColor(r, g, b) = colour;
        legend.push_str(&format!(
            "<span style=\"color:rgb({r},{g},{b})\">&#9632;</span> {} ",
            escape_html(name)
        ));
    }
    Ok(format!("<figure>{svg}<figcaption>{legend}</figcaption></figure>"))
}

/// The `n`-th of `count` colours of evenly spaced hues.
fn colour(n: usize, count: usize) -> RGBColor {
    let (r, g, b) = HSLColor(n as f64 / count.max(1) as f64, 0.7, 0.42).rgb();
    RGBColor(r, g, b)
}

/// Points with the index of each value, in seconds, as abscissa.
fn over_seconds(values: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    values.enumerate().map(|(second, value)| (second as f64, value)).collect()
}

/// The plots, annotations and violations of one run.
fn render_run(run: &ReportedRun) -> Result<String, String> {
    let annotations: Vec<(f64, String)> = run
        .annotations
        .iter()
        .filter(|(_, event)| !event.ends_with("listens") || event.is_empty())
        .cloned()
        .collect();
    let (blue, red) = (RGBColor(30, 90, 200), RGBColor(200, 50, 40));
    let mut page = String::new();
    let service = [
        ("demanded".to_owned(), over_seconds(run.outcome.demand.iter().copied()), red),
        ("served well".to_owned(), over_seconds(run.outcome.served.iter().copied()), blue),
    ];
    page += &plot_lines("Revenue over time", "revenue per second", &service, &annotations, false)?;
    let node_count = run.nodes.len();
    let utilisation = |(load, capacity, _): &(f64, f64, u32)| {
        if *capacity > 0.0 {
            (load / capacity).min(3.0)
        } else {
            0.0
        }
    };
    let loads: Vec<Line> = run
        .nodes
        .iter()
        .enumerate()
        .map(|(n, node)| {
            (format!("node {n}"), over_seconds(node.iter().map(utilisation)), colour(n, node_count))
        })
        .collect();
    page += &plot_lines(
        "Load of each node relative to its capacity (1 is the limit)",
        "load / capacity",
        &loads,
        &annotations,
        false,
    )?;
    let connections: Vec<Line> = run
        .proxies
        .iter()
        .enumerate()
        .map(|(p, proxy)| {
            let points = over_seconds(proxy.iter().map(|c| f64::from(*c)));
            (format!("proxy {p}"), points, colour(p, run.proxies.len()))
        })
        .collect();
    page += &plot_lines("Connections at each proxy", "connections", &connections, &annotations, false)?;
    if !run.outcome.setup_quantiles.is_empty() {
        // The abscissa is the number of nines: 0.9 at 1, 0.99 at 2.
        let points = run
            .outcome
            .setup_quantiles
            .iter()
            .map(|(q, ms)| (-(1.0 - q).max(1e-5).log10(), ms.max(0.1)))
            .collect();
        let series =
            [("set-up time, ms; at 1 the 90 % quantile, at 2 the 99 % quantile".to_owned(), points, blue)];
        page += &plot_lines("Set-up times", "ms", &series, &[], true)?;
    }
    page += "<details><summary>Events</summary><ul>";
    for (at, event) in &run.annotations {
        page += &format!("<li>{at:.2} s: {}</li>", escape_html(event));
    }
    page += "</ul></details>";
    for violation in &run.violations {
        page += &format!(
            "<details open><summary>Rule {} at {:.3} s, proxy {}{}: {}</summary><pre>",
            escape_html(&violation.rule),
            violation.at,
            violation.proxy,
            violation.call.as_deref().map_or(String::new(), |c| format!(", call {}", escape_html(c))),
            escape_html(&violation.description)
        );
        for (at, event) in &violation.trace {
            page += &format!("{at:>10.4}  {}\n", escape_html(event));
        }
        page += "</pre></details>";
    }
    Ok(page)
}

/// Renders the page: a table of all runs, then the plots of the worst run and of the median run of each matrix point.
pub fn render_page(runs: &[ReportedRun]) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>dewhead-lab</title><style>\
         body{font:15px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}\
         table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}\
         td:first-child,th:first-child{text-align:left}figure{margin:1em 0}figcaption{font-size:12px}\
         pre{background:#f6f6f6;padding:.6em;overflow:auto}.bad{color:#b00;font-weight:bold}</style>",
    );
    let title = runs.first().map_or("no runs", |r| r.experiment.as_str());
    let host = runs.first().map_or("", |r| r.host.as_str());
    page += &format!("<h1>{}</h1><p>{} runs, {}.</p>", escape_html(title), runs.len(), escape_html(host));
    page += "<table><tr><th>point</th><th>who</th><th>seed</th><th>service</th><th>worst 10 s</th><th>worst type</th>\
             <th>set-up p50, p99, p99.9 (ms)</th><th>moved</th><th>broken</th><th>breaches</th></tr>";
    for run in runs {
        let outcome = &run.outcome;
        let late = if run.late { " (late)" } else { "" };
        let bad = if run.violations.is_empty() { "" } else { " class=\"bad\"" };
        page += &format!(
            "<tr><td>{}</td><td>{}</td><td>{}{late}</td><td>{:.4}</td><td>{:.3}</td><td>{:.3}</td>\
             <td>{:.0}, {:.0}, {:.0}</td><td>{}</td><td>{}</td><td{bad}>{}</td></tr>",
            escape_html(if run.point.is_empty() { "-" } else { &run.point }),
            escape_html(&run.proxy_name),
            run.seed,
            outcome.service,
            outcome.worst_ten_seconds,
            outcome.worst_type,
            outcome.setup_times[0] * 1e3,
            outcome.setup_times[1] * 1e3,
            outcome.setup_times[2] * 1e3,
            outcome.counts["moved"],
            outcome.counts["broken"],
            run.violations.len()
        );
    }
    page += "</table>";
    let mut points: Vec<&str> = runs.iter().map(|r| r.point.as_str()).collect();
    points.dedup();
    for point in points {
        let mut by_service: Vec<&ReportedRun> = runs.iter().filter(|r| r.point == point).collect();
        by_service.sort_by(|a, b| a.outcome.service.total_cmp(&b.outcome.service));
        let services: Vec<f64> = by_service.iter().map(|r| r.outcome.service).collect();
        let (mean, half_width) = stats::confidence_interval(&services);
        let interval = if half_width.is_finite() { format!(" +- {half_width:.4}") } else { String::new() };
        page += &format!(
            "<h2>{}</h2><p>Service {mean:.4}{interval}.</p>",
            escape_html(if point.is_empty() { title } else { point })
        );
        let median = by_service.len() / 2;
        for position in if median == 0 { vec![0] } else { vec![0, median] } {
            let rank = if position == 0 { "worst" } else { "median" };
            page += &format!(
                "<h3>Seed {}, the {rank} run</h3>{}",
                by_service[position].seed,
                render_run(by_service[position])?
            );
        }
    }
    page += "</html>";
    Ok(page)
}
