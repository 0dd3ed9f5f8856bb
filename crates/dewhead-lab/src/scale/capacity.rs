//! The table of docs/CAPACITY.md, computed from stored results of a scale run and the operators' targets.

use super::fit::{format_figure, LinearFit, COST_MODELS};
use super::run::RunResult;
use serde::Deserialize;

/// The fleet and load that the operators expect, with assumptions where they gave no figure, and the limits to keep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Number of proxies.
    pub proxies: f64,
    /// Connections at each proxy.
    #[serde(rename = "connections")]
    pub connections_per_proxy: f64,
    /// Number of servers. Assumed, so the table also shows how its rows change across `servers_range`.
    pub servers: f64,
    /// Smallest and largest number of servers that is considered.
    pub servers_range: [f64; 2],
    /// Changes of configuration per day.
    #[serde(rename = "changes_a_day")]
    pub config_changes_per_day: f64,
    /// Machines that fail per day.
    #[serde(rename = "failures_a_day")]
    pub failures_per_day: f64,
    /// Machines that are restarted or replaced per day.
    #[serde(rename = "replaced_a_day")]
    pub replacements_per_day: f64,
    /// Changes of the server list for each machine that fails or is replaced. Assumed.
    #[serde(rename = "changes_a_machine")]
    pub changes_per_replacement: f64,
    /// Number of zones.
    pub zones: f64,
    /// Time within which a change must be in force at every proxy, in seconds.
    #[serde(rename = "in_force")]
    pub propagation_limit: f64,
    /// Share of a core that control may use at a proxy.
    #[serde(rename = "core")]
    pub core_share: f64,
    /// Memory that control may use at a proxy, in bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: f64,
    /// Bytes per second that control may receive at a proxy.
    #[serde(rename = "bytes")]
    pub control_bytes_per_second: f64,
    /// Machines reserved for control.
    #[serde(rename = "machines")]
    pub control_machines: f64,
    /// Mean duration of a connection, in seconds. Assumed.
    #[serde(rename = "life")]
    pub connection_lifetime: f64,
}

/// One row of the table: a quantity at full size and its limit.
pub struct CapacityRow {
    /// The part of the system in which the quantity arises.
    pub role: &'static str,
    /// Name of the quantity.
    pub name: String,
    /// The formula from which the value is computed.
    pub formula: String,
    /// Value at the targets, in `unit`; shares of a core for `%`.
    pub value: f64,
    /// The limit in the same unit, if there is one.
    pub limit: Option<f64>,
    /// Unit of the value and the limit.
    pub unit: &'static str,
    /// The mechanism that keeps the value low.
    pub mechanism: &'static str,
}

/// Formats a value with its unit, with a decimal prefix for bytes.
fn format_with_unit(x: f64, unit: &str) -> String {
    match unit {
        "B" if x >= 1e9 => format!("{} GB", format_figure(x / 1e9)),
        "B" if x >= 1e6 => format!("{} MB", format_figure(x / 1e6)),
        "B" if x >= 1e3 => format!("{} kB", format_figure(x / 1e3)),
        "%" => format!("{}%", format_figure(x * 100.0)),
        _ => format!("{} {unit}", format_figure(x)).trim_end().to_owned(),
    }
}

/// Parses the JSON lines that a scale run wrote; an error names the line.
pub fn parse_results(text: &str) -> Result<Vec<RunResult>, String> {
    let parse_line =
        |(i, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", i + 1));
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(parse_line).collect()
}

/// Parses targets in TOML; an error names the key.
pub fn parse_targets(text: &str) -> Result<Targets, String> {
    let table = text.parse::<toml::Table>().map_err(|e| e.to_string().trim().replace('\n', " "))?;
    let targets: Targets = serde_path_to_error::deserialize(toml::Value::Table(table))
        .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
    let figures = [
        ("proxies", targets.proxies),
        ("connections", targets.connections_per_proxy),
        ("servers", targets.servers),
        ("zones", targets.zones),
        ("in_force", targets.propagation_limit),
        ("core", targets.core_share),
        ("memory", targets.memory_bytes),
        ("bytes", targets.control_bytes_per_second),
        ("machines", targets.control_machines),
        ("life", targets.connection_lifetime),
    ];
    match figures.iter().find(|(_, x)| !x.is_finite() || *x <= 0.0) {
        Some((key, _)) => Err(format!("key '{key}': is not above 0")),
        None => Ok(targets),
    }
}

/// All rows, sorted by the ratio of value to limit, largest first; rows without a limit come last.
pub fn capacity_rows(results: &[RunResult], targets: &Targets) -> Result<Vec<CapacityRow>, String> {
    let fits: Vec<Option<LinearFit>> = COST_MODELS.iter().map(|model| model.fit(results.iter())).collect();
    let fit_for = |name: &str| {
        let i = COST_MODELS
            .iter()
            .position(|t| t.name == name)
            .ok_or_else(|| format!("no cost model '{name}'"))?;
        fits[i]
            .clone()
            .map(|l| (COST_MODELS[i].formula(&l), l))
            .ok_or_else(|| format!("too few points to fit '{name}'"))
    };
    let (first_bytes_formula, list_fit) = fit_for("first list, bytes")?;
    let (memory_formula, memory_fit) = fit_for("memory with a list")?;
    let (connection_formula, connection_fit) = fit_for("memory a connection")?;
    let (control_formula, control_fit) = fit_for("control bytes a second")?;
    let (change_formula, change_fit) = fit_for("a change, time")?;
    let (first_cpu_formula, first_cpu_fit) = fit_for("first list, time")?;
    let (call_formula, call_fit) = fit_for("a call, time")?;
    let (lines_formula, lines_fit) = fit_for("discovery, lines a second")?;
    let (time_formula, time_fit) = fit_for("discovery, time a second")?;
    let (propagation_formula, propagation_fit) = fit_for("until in force at the last")?;
    let seconds_per_day = 86_400.0;
    let machine_changes =
        (targets.failures_per_day + targets.replacements_per_day) * targets.changes_per_replacement;
    let ordinary_rate = (targets.config_changes_per_day + machine_changes) / seconds_per_day;
    let peak_rate = (targets.config_changes_per_day + machine_changes / 24.0) / 3600.0;
    let list_bytes = list_fit.predict(&[targets.servers]);
    let byte_budget = targets.control_bytes_per_second * targets.propagation_limit;
    let bytes_per_entry = list_fit.slopes[0].0;
    // All servers of a zone leave and return cold within the time in which a change must be in force: two changes each.
    let zone_bytes = 2.0 * targets.servers / targets.zones * bytes_per_entry;
    let change_time = change_fit.predict(&[targets.servers]);
    let mut rows = vec![
        CapacityRow {
            role: "proxy",
            name: "control bytes, ordinary day".into(),
            formula: format!("{control_formula}; {ordinary_rate:.3} changes a second"),
            value: control_fit.predict(&[ordinary_rate]),
            limit: Some(targets.control_bytes_per_second),
            unit: "B",
            mechanism: "the watch: what changed alone",
        },
        CapacityRow {
            role: "proxy",
            name: "control bytes, a day's changes in one hour".into(),
            formula: format!("{control_formula}; {peak_rate:.2} a second"),
            value: control_fit.predict(&[peak_rate]),
            limit: Some(targets.control_bytes_per_second),
            unit: "B",
            mechanism: "the watch",
        },
        CapacityRow {
            role: "proxy",
            name: format!("a whole list after a restart, bytes in {} s", targets.propagation_limit),
            formula: first_bytes_formula.clone(),
            value: list_bytes,
            limit: Some(byte_budget),
            unit: "B",
            mechanism: "`known` in the configuration: then what changed since alone; without it nothing",
        },
        CapacityRow {
            role: "proxy",
            name: format!("a zone lost and back cold, bytes in {} s", targets.propagation_limit),
            formula: format!(
                "2 x {} servers x {} B",
                format_figure(targets.servers / targets.zones),
                format_figure(bytes_per_entry)
            ),
            value: zone_bytes,
            limit: Some(byte_budget),
            unit: "B",
            mechanism: "the watch",
        },
        CapacityRow {
            role: "proxy",
            name: "processor time, ordinary day".into(),
            formula: format!("{change_formula}; {ordinary_rate:.3} a second"),
            value: change_time * ordinary_rate,
            limit: Some(targets.core_share),
            unit: "%",
            mechanism: "only what changed is looked at",
        },
        CapacityRow {
            role: "proxy",
            name: "processor time, a day's changes in one hour".into(),
            formula: change_formula.clone(),
            value: change_time * peak_rate,
            limit: Some(targets.core_share),
            unit: "%",
            mechanism: "only what changed is looked at",
        },
        CapacityRow {
            role: "proxy",
            name: "processor time of a whole list, of a second".into(),
            formula: first_cpu_formula,
            value: first_cpu_fit.predict(&[targets.servers]),
            limit: Some(targets.core_share * targets.propagation_limit),
            unit: "s",
            mechanism: "entries read one at a time",
        },
        CapacityRow {
            role: "proxy",
            name: "memory of control".into(),
            formula: memory_formula,
            value: memory_fit.predict(&[targets.servers]),
            limit: Some(targets.memory_bytes),
            unit: "B",
            mechanism: "entries kept as text",
        },
        CapacityRow {
            role: "proxy",
            name: "memory of standing connections, control's side".into(),
            formula: connection_formula,
            value: connection_fit.intercept.0 * targets.connections_per_proxy,
            limit: None,
            unit: "B",
            mechanism: "one record a call and leg; sockets' own not counted",
        },
        CapacityRow {
            role: "proxy",
            name: "processor time of calls".into(),
            formula: format!(
                "{call_formula}; {} calls a second",
                format_figure(targets.connections_per_proxy / targets.connection_lifetime)
            ),
            value: call_fit.predict(&[targets.servers]) * targets.connections_per_proxy
                / targets.connection_lifetime,
            limit: None,
            unit: "%",
            mechanism: "one pass over all servers a call",
        },
        CapacityRow {
            role: "between",
            name: format!("followers a machine of {}", targets.control_machines),
            formula: "proxies / machines".into(),
            value: targets.proxies / targets.control_machines,
            limit: None,
            unit: "",
            mechanism: "nothing: no such role yet",
        },
        CapacityRow {
            role: "discovery",
            name: "lines a second, ordinary day".into(),
            formula: lines_formula.clone(),
            value: lines_fit.predict(&[targets.proxies * ordinary_rate, targets.proxies]),
            limit: None,
            unit: "",
            mechanism: "a line encoded once; the stand-in's slopes",
        },
        CapacityRow {
            role: "discovery",
            name: "processor time of each machine, ordinary day".into(),
            formula: time_formula.clone(),
            value: time_fit.predict(&[targets.proxies * ordinary_rate, targets.proxies]).max(0.0)
                / targets.control_machines,
            limit: Some(1.0),
            unit: "%",
            mechanism: "the stand-in's slopes, over the machines",
        },
        CapacityRow {
            role: "discovery",
            name: "the same, a day's changes in one hour".into(),
            formula: time_formula,
            value: time_fit.predict(&[targets.proxies * peak_rate, targets.proxies]).max(0.0)
                / targets.control_machines,
            limit: Some(1.0),
            unit: "%",
            mechanism: "the same",
        },
        CapacityRow {
            role: "discovery",
            name: "all proxies ask anew at once, bytes a second of each machine".into(),
            formula: format!(
                "proxies x ({first_bytes_formula}) / {} s / machines",
                targets.propagation_limit
            ),
            value: targets.proxies * list_bytes / targets.propagation_limit / targets.control_machines,
            limit: Some(targets.control_bytes_per_second * targets.proxies / targets.control_machines),
            unit: "B",
            mechanism: "nothing: whole lists are admitted as they come",
        },
        CapacityRow {
            role: "control machine",
            name: "one of them gone, bytes a second of each other, all asking anew".into(),
            formula: "the same over one less".into(),
            value: targets.proxies * list_bytes
                / targets.propagation_limit
                / (targets.control_machines - 1.0).max(1.0),
            limit: Some(targets.control_bytes_per_second * targets.proxies / targets.control_machines),
            unit: "B",
            mechanism: "nothing",
        },
        CapacityRow {
            role: "all",
            name: "until a change is in force at the last proxy".into(),
            formula: propagation_formula,
            value: propagation_fit.predict(&[targets.proxies]).max(0.0),
            limit: Some(targets.propagation_limit),
            unit: "s",
            mechanism: "the watch; on one machine, loopback",
        },
        CapacityRow {
            role: "server",
            name: "connections a server bears".into(),
            formula: "proxies x connections / servers".into(),
            value: targets.proxies * targets.connections_per_proxy / targets.servers,
            limit: None,
            unit: "",
            mechanism: "the servers' own; set-ups at a cold one: rule 4's budget and turns",
        },
    ];
    rows.sort_by(|a, b| {
        let ratio_to_limit = |r: &CapacityRow| r.limit.map_or(-1.0, |limit| r.value / limit);
        ratio_to_limit(b).total_cmp(&ratio_to_limit(a))
    });
    Ok(rows)
}

/// The table, followed by the rows with a limit that change by more than 5 % over the range of the assumed number of
/// servers.
pub fn capacity_table(results_text: &str, targets_text: &str) -> Result<String, String> {
    let (results, targets) = (parse_results(results_text)?, parse_targets(targets_text)?);
    let mut text = String::from("| role | what | formula (± standard error) | at full size | limit | value over limit | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for row in capacity_rows(&results, &targets)? {
        let limit = row.limit.map_or("none told".into(), |l| format_with_unit(l, row.unit));
        let ratio_to_limit = row.limit.map_or(String::new(), |l| format_figure(row.value / l));
        text += &format!(
            "| {} | {} | {} | {} | {limit} | {ratio_to_limit} | {} |\n",
            row.role,
            row.name,
            row.formula,
            format_with_unit(row.value, row.unit),
            row.mechanism
        );
    }
    text += &format!(
        "\nAcross the range of servers, {} to {}: ",
        targets.servers_range[0], targets.servers_range[1]
    );
    let both_ends =
        targets.servers_range.map(|servers| capacity_rows(&results, &Targets { servers, ..targets.clone() }));
    let [low, high] = both_ends;
    let (low, high) = (low?, high?);
    let mut shifted = Vec::new();
    for row in &low {
        let Some(high_row) = high.iter().find(|r| r.name == row.name && r.role == row.role) else { continue };
        if let Some(limit) = row.limit.filter(|_| (row.value - high_row.value).abs() > 0.05 * row.value.abs())
        {
            shifted.push(format!(
                "{} ({}) {} to {} of its limit",
                row.name,
                row.role,
                format_figure(row.value / limit),
                format_figure(high_row.value / limit)
            ));
        }
    }
    text += &shifted.join("; ");
    text += ".\n";
    Ok(text)
}
