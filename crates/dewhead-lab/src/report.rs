//! One page that tells what runs came to, with its plots inside it.

use crate::stats;
use plotters::prelude::*;
use serde::Deserialize;

/// A run as its line of JSON has it.
#[derive(Deserialize)]
pub struct ReportedRun {
    pub experiment: String,
    pub point: String,
    pub seed: u64,
    #[serde(rename = "who")]
    pub proxy_name: String,
    pub host: String,
    pub outcome: ReportedOutcome,
    #[serde(rename = "breaches")]
    pub violations: Vec<ReportedViolation>,
    pub late: bool,
    pub nodes: Vec<Vec<(f64, f64, u32)>>,
    pub proxies: Vec<Vec<u32>>,
    #[serde(rename = "marks")]
    pub annotations: Vec<(f64, String)>,
}

#[derive(Deserialize)]
pub struct ReportedOutcome {
    pub service: f64,
    #[serde(rename = "worst_ten")]
    pub worst_ten_seconds: f64,
    pub worst_type: f64,
    #[serde(rename = "set_up")]
    pub setup_times: [f64; 3],
    /// Set-up times in milliseconds at some parts of all, from HDR histograms.
    #[serde(rename = "quantiles", default)]
    pub setup_quantiles: Vec<(f64, f64)>,
    #[serde(rename = "wanted")]
    pub demand: Vec<f64>,
    pub served: Vec<f64>,
    pub counts: serde_json::Value,
}

#[derive(Deserialize)]
pub struct ReportedViolation {
    pub rule: String,
    #[serde(rename = "what")]
    pub description: String,
    pub at: f64,
    pub proxy: usize,
    pub call: Option<String>,
    pub trace: Vec<(f64, String)>,
}

const SIZE: (u32, u32) = (860, 260);

fn fault(e: impl std::fmt::Display) -> String {
    format!("a plot: {e}")
}

/// For text that goes into the page.
fn plain(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

type Line = (String, Vec<(f64, f64)>, RGBColor);

/// Lines over seconds, with the moments at which something happened.
fn lines(title: &str, unit: &str, of: &[Line], marks: &[(f64, String)], log: bool) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let right = of.iter().flat_map(|l| &l.1).map(|p| p.0).fold(1.0, f64::max);
        let top = of.iter().flat_map(|l| &l.1).map(|p| p.1).fold(1e-9, f64::max) * 1.05;
        let mut builder = ChartBuilder::on(&area);
        builder.caption(title, ("sans-serif", 16)).margin(8).x_label_area_size(28).y_label_area_size(56);
        if log {
            let mut chart =
                builder.build_cartesian_2d(0.0..right, (0.1..top.max(1.0)).log_scale()).map_err(fault)?;
            chart.configure_mesh().light_line_style(WHITE).y_desc(unit).draw().map_err(fault)?;
            for (_, points, colour) in of {
                chart.draw_series(LineSeries::new(points.iter().copied(), colour)).map_err(fault)?;
            }
        } else {
            let mut chart = builder.build_cartesian_2d(0.0..right, 0.0..top).map_err(fault)?;
            chart
                .configure_mesh()
                .light_line_style(WHITE)
                .x_desc("seconds")
                .y_desc(unit)
                .draw()
                .map_err(fault)?;
            for (at, _) in marks {
                let mark = vec![(*at, 0.0), (*at, top)];
                chart.draw_series(LineSeries::new(mark, RGBColor(200, 200, 200))).map_err(fault)?;
            }
            for (_, points, colour) in of {
                chart.draw_series(LineSeries::new(points.iter().copied(), colour)).map_err(fault)?;
            }
        }
        area.present().map_err(fault)?;
    }
    let mut legend = String::new();
    for (name, _, colour) in of {
        let RGBColor(r, g, b) = colour;
        legend.push_str(&format!("<span style=\"color:rgb({r},{g},{b})\">&#9632;</span> {} ", plain(name)));
    }
    Ok(format!("<figure>{svg}<figcaption>{legend}</figcaption></figure>"))
}

fn colour(n: usize, of: usize) -> RGBColor {
    let (r, g, b) = HSLColor(n as f64 / of.max(1) as f64, 0.7, 0.42).rgb();
    RGBColor(r, g, b)
}

fn over_seconds(values: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    values.enumerate().map(|(second, value)| (second as f64, value)).collect()
}

fn run(of: &ReportedRun) -> Result<String, String> {
    let marks: Vec<(f64, String)> = of
        .annotations
        .iter()
        .filter(|(_, what)| !what.ends_with("listens") || what.is_empty())
        .cloned()
        .collect();
    let (blue, red) = (RGBColor(30, 90, 200), RGBColor(200, 50, 40));
    let mut page = String::new();
    let service = [
        ("asked for".to_owned(), over_seconds(of.outcome.demand.iter().copied()), red),
        ("served well".to_owned(), over_seconds(of.outcome.served.iter().copied()), blue),
    ];
    page += &lines("Revenue over time", "revenue a second", &service, &marks, false)?;
    let many = of.nodes.len();
    let share = |(load, able, _): &(f64, f64, u32)| if *able > 0.0 { (load / able).min(3.0) } else { 0.0 };
    let loads: Vec<Line> = of
        .nodes
        .iter()
        .enumerate()
        .map(|(n, node)| (format!("node {n}"), over_seconds(node.iter().map(share)), colour(n, many)))
        .collect();
    page += &lines(
        "Load of each node over what it can do (1 is its limit)",
        "load / capacity",
        &loads,
        &marks,
        false,
    )?;
    let held: Vec<Line> = of
        .proxies
        .iter()
        .enumerate()
        .map(|(p, proxy)| {
            let points = over_seconds(proxy.iter().map(|c| f64::from(*c)));
            (format!("proxy {p}"), points, colour(p, of.proxies.len()))
        })
        .collect();
    page += &lines("Connections at each proxy", "connections", &held, &marks, false)?;
    if !of.outcome.setup_quantiles.is_empty() {
        // Parts as nines: 0.9 at 1, 0.99 at 2.
        let points = of
            .outcome
            .setup_quantiles
            .iter()
            .map(|(q, ms)| (-(1.0 - q).max(1e-5).log10(), ms.max(0.1)))
            .collect();
        let set_up = [("set-up, ms; 1 is 90 in a hundred, 2 is 99".to_owned(), points, blue)];
        page += &lines("Set-up times", "ms", &set_up, &[], true)?;
    }
    page += "<details><summary>What happened</summary><ul>";
    for (at, what) in &of.annotations {
        page += &format!("<li>{at:.2} s: {}</li>", plain(what));
    }
    page += "</ul></details>";
    for breach in &of.violations {
        page += &format!(
            "<details open><summary>Rule {} at {:.3} s, proxy {}{}: {}</summary><pre>",
            plain(&breach.rule),
            breach.at,
            breach.proxy,
            breach.call.as_deref().map_or(String::new(), |c| format!(", call {}", plain(c))),
            plain(&breach.description)
        );
        for (at, what) in &breach.trace {
            page += &format!("{at:>10.4}  {}\n", plain(what));
        }
        page += "</pre></details>";
    }
    Ok(page)
}

/// The whole page: a table of all runs, then the plots of the worst and of the middle one of each point.
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
    page += &format!("<h1>{}</h1><p>{} runs, {}.</p>", plain(title), runs.len(), plain(host));
    page += "<table><tr><th>point</th><th>who</th><th>seed</th><th>service</th><th>worst 10 s</th><th>worst type</th>\
             <th>set-up p50, p99, p99.9 (ms)</th><th>moved</th><th>broken</th><th>breaches</th></tr>";
    for one in runs {
        let o = &one.outcome;
        let late = if one.late { " (late)" } else { "" };
        let bad = if one.violations.is_empty() { "" } else { " class=\"bad\"" };
        page += &format!(
            "<tr><td>{}</td><td>{}</td><td>{}{late}</td><td>{:.4}</td><td>{:.3}</td><td>{:.3}</td>\
             <td>{:.0}, {:.0}, {:.0}</td><td>{}</td><td>{}</td><td{bad}>{}</td></tr>",
            plain(if one.point.is_empty() { "-" } else { &one.point }),
            plain(&one.proxy_name),
            one.seed,
            o.service,
            o.worst_ten_seconds,
            o.worst_type,
            o.setup_times[0] * 1e3,
            o.setup_times[1] * 1e3,
            o.setup_times[2] * 1e3,
            o.counts["moved"],
            o.counts["broken"],
            one.violations.len()
        );
    }
    page += "</table>";
    let mut points: Vec<&str> = runs.iter().map(|r| r.point.as_str()).collect();
    points.dedup();
    for point in points {
        let mut of: Vec<&ReportedRun> = runs.iter().filter(|r| r.point == point).collect();
        of.sort_by(|a, b| a.outcome.service.total_cmp(&b.outcome.service));
        let services: Vec<f64> = of.iter().map(|r| r.outcome.service).collect();
        let (mean, width) = stats::confidence_interval(&services);
        let width = if width.is_finite() { format!(" +- {width:.4}") } else { String::new() };
        page += &format!(
            "<h2>{}</h2><p>Service {mean:.4}{width}.</p>",
            plain(if point.is_empty() { title } else { point })
        );
        let middle = of.len() / 2;
        for at in if middle == 0 { vec![0] } else { vec![0, middle] } {
            let which = if at == 0 { "worst" } else { "middle" };
            page += &format!("<h3>Seed {}, the {which} one</h3>{}", of[at].seed, run(of[at])?);
        }
    }
    page += "</html>";
    Ok(page)
}
