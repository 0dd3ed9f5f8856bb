//! The table of the capacity page, reckoned from kept results and the operators' targets.

use super::fit::{format_figure, LinearFit, COST_MODELS};
use super::run::RunResult;
use serde::Deserialize;

/// What the operators expect, and what is assumed where they leave it open.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    pub proxies: f64,
    /// Connections at a proxy.
    #[serde(rename = "connections")]
    pub connections_per_proxy: f64,
    /// Assumed; `servers_range` shows what the answers do across it.
    pub servers: f64,
    pub servers_range: [f64; 2],
    /// Changes of configuration a day, and machines that fail, are restarted or replaced.
    #[serde(rename = "changes_a_day")]
    pub config_changes_per_day: f64,
    #[serde(rename = "failures_a_day")]
    pub failures_per_day: f64,
    #[serde(rename = "replaced_a_day")]
    pub replacements_per_day: f64,
    /// Assumed: what one machine that goes and is replaced costs in changes of the list.
    #[serde(rename = "changes_a_machine")]
    pub changes_per_replacement: f64,
    pub zones: f64,
    /// In force everywhere within, in seconds.
    #[serde(rename = "in_force")]
    pub propagation_limit: f64,
    /// A proxy: part of a core, bytes, bytes a second for control.
    #[serde(rename = "core")]
    pub core_share: f64,
    #[serde(rename = "memory")]
    pub memory_bytes: f64,
    #[serde(rename = "bytes")]
    pub control_bytes_per_second: f64,
    /// Machines set aside for control.
    #[serde(rename = "machines")]
    pub control_machines: f64,
    /// Assumed: how long a connection lives, in seconds.
    #[serde(rename = "life")]
    pub connection_lifetime: f64,
}

/// One row: what it is at full size, against what it may be.
pub struct CapacityRow {
    pub role: &'static str,
    pub quantity: String,
    pub formula: String,
    pub value: f64,
    pub limit: Option<f64>,
    pub unit: &'static str,
    pub mechanism: &'static str,
}

fn shown(x: f64, unit: &str) -> String {
    match unit {
        "B" if x >= 1e9 => format!("{} GB", format_figure(x / 1e9)),
        "B" if x >= 1e6 => format!("{} MB", format_figure(x / 1e6)),
        "B" if x >= 1e3 => format!("{} kB", format_figure(x / 1e3)),
        "%" => format!("{}%", format_figure(x * 100.0)),
        _ => format!("{} {unit}", format_figure(x)).trim_end().to_owned(),
    }
}

/// Reads a scale run's JSON lines; a fault names the line.
pub fn parse_results(text: &str) -> Result<Vec<RunResult>, String> {
    let one =
        |(at, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", at + 1));
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(one).collect()
}

/// Reads the targets; a fault names the key.
pub fn parse_targets(text: &str) -> Result<Targets, String> {
    let table = text.parse::<toml::Table>().map_err(|e| e.to_string().trim().replace('\n', " "))?;
    let read: Targets = serde_path_to_error::deserialize(toml::Value::Table(table))
        .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
    let figures = [
        ("proxies", read.proxies),
        ("connections", read.connections_per_proxy),
        ("servers", read.servers),
        ("zones", read.zones),
        ("in_force", read.propagation_limit),
        ("core", read.core_share),
        ("memory", read.memory_bytes),
        ("bytes", read.control_bytes_per_second),
        ("machines", read.control_machines),
        ("life", read.connection_lifetime),
    ];
    match figures.iter().find(|(_, x)| !x.is_finite() || *x <= 0.0) {
        Some((key, _)) => Err(format!("key '{key}': is not above 0")),
        None => Ok(read),
    }
}

/// All rows, the furthest over its limit first.
pub fn capacity_rows(told: &[RunResult], of: &Targets) -> Result<Vec<CapacityRow>, String> {
    let lines: Vec<Option<LinearFit>> = COST_MODELS.iter().map(|term| term.fit(told.iter())).collect();
    let line = |name: &str| {
        let at =
            COST_MODELS.iter().position(|t| t.name == name).ok_or_else(|| format!("no term '{name}'"))?;
        lines[at]
            .clone()
            .map(|l| (COST_MODELS[at].formula(&l), l))
            .ok_or_else(|| format!("too few sizes for '{name}'"))
    };
    let (first_bytes, first) = line("first list, bytes")?;
    let (listed_words, listed) = line("memory with a list")?;
    let (stands_words, stands) = line("memory a connection")?;
    let (bytes_words, bytes) = line("control bytes a second")?;
    let (change_words, change) = line("a change, time")?;
    let (first_cpu_words, first_cpu) = line("first list, time")?;
    let (call_words, call) = line("a call, time")?;
    let (lines_words, lines_told) = line("discovery, lines a second")?;
    let (time_words, time) = line("discovery, time a second")?;
    let (force_words, force) = line("until in force at the last")?;
    let day = 86_400.0;
    let machines = (of.failures_per_day + of.replacements_per_day) * of.changes_per_replacement;
    let ordinary = (of.config_changes_per_day + machines) / day;
    let hour = (of.config_changes_per_day + machines / 24.0) / 3600.0;
    let list = first.predict(&[of.servers]);
    let may = of.control_bytes_per_second * of.propagation_limit;
    let entry = first.slopes[0].0;
    // A zone's servers go and are back cold within the time that a change may take: two changes each.
    let zone = 2.0 * of.servers / of.zones * entry;
    let control = change.predict(&[of.servers]);
    let mut rows = vec![
        CapacityRow {
            role: "proxy",
            quantity: "control bytes, ordinary day".into(),
            formula: format!("{bytes_words}; {ordinary:.3} changes a second"),
            value: bytes.predict(&[ordinary]),
            limit: Some(of.control_bytes_per_second),
            unit: "B",
            mechanism: "the watch: what changed alone",
        },
        CapacityRow {
            role: "proxy",
            quantity: "control bytes, a day's changes in one hour".into(),
            formula: format!("{bytes_words}; {hour:.2} a second"),
            value: bytes.predict(&[hour]),
            limit: Some(of.control_bytes_per_second),
            unit: "B",
            mechanism: "the watch",
        },
        CapacityRow {
            role: "proxy",
            quantity: format!("a whole list after a restart, bytes in {} s", of.propagation_limit),
            formula: first_bytes.clone(),
            value: list,
            limit: Some(may),
            unit: "B",
            mechanism: "`known` in the configuration: then what changed since alone; without it nothing",
        },
        CapacityRow {
            role: "proxy",
            quantity: format!("a zone lost and back cold, bytes in {} s", of.propagation_limit),
            formula: format!(
                "2 x {} servers x {} B",
                format_figure(of.servers / of.zones),
                format_figure(entry)
            ),
            value: zone,
            limit: Some(may),
            unit: "B",
            mechanism: "the watch",
        },
        CapacityRow {
            role: "proxy",
            quantity: "processor time, ordinary day".into(),
            formula: format!("{change_words}; {ordinary:.3} a second"),
            value: control * ordinary,
            limit: Some(of.core_share),
            unit: "%",
            mechanism: "only what changed is looked at",
        },
        CapacityRow {
            role: "proxy",
            quantity: "processor time, a day's changes in one hour".into(),
            formula: change_words.clone(),
            value: control * hour,
            limit: Some(of.core_share),
            unit: "%",
            mechanism: "only what changed is looked at",
        },
        CapacityRow {
            role: "proxy",
            quantity: "processor time of a whole list, of a second".into(),
            formula: first_cpu_words,
            value: first_cpu.predict(&[of.servers]),
            limit: Some(of.core_share * of.propagation_limit),
            unit: "s",
            mechanism: "entries read one at a time",
        },
        CapacityRow {
            role: "proxy",
            quantity: "memory of control".into(),
            formula: listed_words,
            value: listed.predict(&[of.servers]),
            limit: Some(of.memory_bytes),
            unit: "B",
            mechanism: "entries kept as text",
        },
        CapacityRow {
            role: "proxy",
            quantity: "memory of standing connections, control's side".into(),
            formula: stands_words,
            value: stands.intercept.0 * of.connections_per_proxy,
            limit: None,
            unit: "B",
            mechanism: "one record a call and leg; sockets' own not counted",
        },
        CapacityRow {
            role: "proxy",
            quantity: "processor time of calls".into(),
            formula: format!(
                "{call_words}; {} calls a second",
                format_figure(of.connections_per_proxy / of.connection_lifetime)
            ),
            value: call.predict(&[of.servers]) * of.connections_per_proxy / of.connection_lifetime,
            limit: None,
            unit: "%",
            mechanism: "one pass over all servers a call",
        },
        CapacityRow {
            role: "between",
            quantity: format!("followers a machine of {}", of.control_machines),
            formula: "proxies / machines".into(),
            value: of.proxies / of.control_machines,
            limit: None,
            unit: "",
            mechanism: "nothing: no such role yet",
        },
        CapacityRow {
            role: "discovery",
            quantity: "lines a second, ordinary day".into(),
            formula: lines_words.clone(),
            value: lines_told.predict(&[of.proxies * ordinary, of.proxies]),
            limit: None,
            unit: "",
            mechanism: "a line encoded once; the stand-in's slopes",
        },
        CapacityRow {
            role: "discovery",
            quantity: "processor time of each machine, ordinary day".into(),
            formula: time_words.clone(),
            value: time.predict(&[of.proxies * ordinary, of.proxies]).max(0.0) / of.control_machines,
            limit: Some(1.0),
            unit: "%",
            mechanism: "the stand-in's slopes, over the machines",
        },
        CapacityRow {
            role: "discovery",
            quantity: "the same, a day's changes in one hour".into(),
            formula: time_words,
            value: time.predict(&[of.proxies * hour, of.proxies]).max(0.0) / of.control_machines,
            limit: Some(1.0),
            unit: "%",
            mechanism: "the same",
        },
        CapacityRow {
            role: "discovery",
            quantity: "all proxies ask anew at once, bytes a second of each machine".into(),
            formula: format!("proxies x ({first_bytes}) / {} s / machines", of.propagation_limit),
            value: of.proxies * list / of.propagation_limit / of.control_machines,
            limit: Some(of.control_bytes_per_second * of.proxies / of.control_machines),
            unit: "B",
            mechanism: "nothing: whole lists are admitted as they come",
        },
        CapacityRow {
            role: "control machine",
            quantity: "one of them gone, bytes a second of each other, all asking anew".into(),
            formula: "the same over one less".into(),
            value: of.proxies * list / of.propagation_limit / (of.control_machines - 1.0).max(1.0),
            limit: Some(of.control_bytes_per_second * of.proxies / of.control_machines),
            unit: "B",
            mechanism: "nothing",
        },
        CapacityRow {
            role: "all",
            quantity: "until a change is in force at the last proxy".into(),
            formula: force_words,
            value: force.predict(&[of.proxies]).max(0.0),
            limit: Some(of.propagation_limit),
            unit: "s",
            mechanism: "the watch; on one machine, loopback",
        },
        CapacityRow {
            role: "server",
            quantity: "connections a server bears".into(),
            formula: "proxies x connections / servers".into(),
            value: of.proxies * of.connections_per_proxy / of.servers,
            limit: None,
            unit: "",
            mechanism: "the servers' own; set-ups at a cold one: rule 4's budget and turns",
        },
    ];
    rows.sort_by(|a, b| {
        let over = |r: &CapacityRow| r.limit.map_or(-1.0, |limit| r.value / limit);
        over(b).total_cmp(&over(a))
    });
    Ok(rows)
}

/// The page's table, and how the rows that hang on the assumed number of servers move across its range.
pub fn capacity_table(results_text: &str, targets_text: &str) -> Result<String, String> {
    let (told, of) = (parse_results(results_text)?, parse_targets(targets_text)?);
    let mut text = String::from("| role | what | formula (± standard error) | at full size | limit | value over limit | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for row in capacity_rows(&told, &of)? {
        let limit = row.limit.map_or("none told".into(), |l| shown(l, row.unit));
        let over = row.limit.map_or(String::new(), |l| format_figure(row.value / l));
        text += &format!(
            "| {} | {} | {} | {} | {limit} | {over} | {} |\n",
            row.role,
            row.quantity,
            row.formula,
            shown(row.value, row.unit),
            row.mechanism
        );
    }
    text += &format!("\nAcross the range of servers, {} to {}: ", of.servers_range[0], of.servers_range[1]);
    let across = of.servers_range.map(|servers| capacity_rows(&told, &Targets { servers, ..of.clone() }));
    let [least, most] = across;
    let (least, most) = (least?, most?);
    let mut moved = Vec::new();
    for row in &least {
        let Some(other) = most.iter().find(|r| r.quantity == row.quantity && r.role == row.role) else {
            continue;
        };
        if let Some(limit) = row.limit.filter(|_| (row.value - other.value).abs() > 0.05 * row.value.abs()) {
            moved.push(format!(
                "{} ({}) {} to {} of its limit",
                row.quantity,
                row.role,
                format_figure(row.value / limit),
                format_figure(other.value / limit)
            ));
        }
    }
    text += &moved.join("; ");
    text += ".\n";
    Ok(text)
}
