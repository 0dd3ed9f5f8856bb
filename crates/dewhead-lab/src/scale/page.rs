//! The table of the capacity page, reckoned from kept results and the operators' targets.

use super::fit::{figure, Line, TERMS};
use super::run::Told;
use serde::Deserialize;

/// What the operators expect, and what is assumed where they leave it open.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    pub proxies: f64,
    /// Connections at a proxy.
    pub connections: f64,
    /// Assumed; `servers_range` shows what the answers do across it.
    pub servers: f64,
    pub servers_range: [f64; 2],
    /// Changes of configuration a day, and machines that fail, are restarted or replaced.
    pub changes_a_day: f64,
    pub failures_a_day: f64,
    pub replaced_a_day: f64,
    /// Assumed: what one machine that goes and is replaced costs in changes of the list.
    pub changes_a_machine: f64,
    pub zones: f64,
    /// In force everywhere within, in seconds.
    pub in_force: f64,
    /// A proxy: part of a core, bytes, bytes a second for control.
    pub core: f64,
    pub memory: f64,
    pub bytes: f64,
    /// Machines set aside for control.
    pub machines: f64,
    /// Assumed: how long a connection lives, in seconds.
    pub life: f64,
}

/// One row: what it is at full size, against what it may be.
pub struct Row {
    pub role: &'static str,
    pub what: String,
    pub formula: String,
    pub value: f64,
    pub limit: Option<f64>,
    pub unit: &'static str,
    pub carries: &'static str,
}

fn shown(x: f64, unit: &str) -> String {
    match unit {
        "B" if x >= 1e9 => format!("{} GB", figure(x / 1e9)),
        "B" if x >= 1e6 => format!("{} MB", figure(x / 1e6)),
        "B" if x >= 1e3 => format!("{} kB", figure(x / 1e3)),
        "%" => format!("{}%", figure(x * 100.0)),
        _ => format!("{} {unit}", figure(x)).trim_end().to_owned(),
    }
}

/// Reads a scale run's JSON lines; a fault names the line.
pub fn results(text: &str) -> Result<Vec<Told>, String> {
    let one =
        |(at, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", at + 1));
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(one).collect()
}

/// Reads the targets; a fault names the key.
pub fn targets(text: &str) -> Result<Targets, String> {
    let table = text.parse::<toml::Table>().map_err(|e| e.to_string().trim().replace('\n', " "))?;
    let read: Targets = serde_path_to_error::deserialize(toml::Value::Table(table))
        .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
    let figures = [
        ("proxies", read.proxies),
        ("connections", read.connections),
        ("servers", read.servers),
        ("zones", read.zones),
        ("in_force", read.in_force),
        ("core", read.core),
        ("memory", read.memory),
        ("bytes", read.bytes),
        ("machines", read.machines),
        ("life", read.life),
    ];
    match figures.iter().find(|(_, x)| !x.is_finite() || *x <= 0.0) {
        Some((key, _)) => Err(format!("key '{key}': is not above 0")),
        None => Ok(read),
    }
}

/// All rows, the furthest over its limit first.
pub fn rows(told: &[Told], of: &Targets) -> Result<Vec<Row>, String> {
    let lines: Vec<Option<Line>> = TERMS.iter().map(|term| term.fit(told.iter())).collect();
    let line = |name: &str| {
        let at = TERMS.iter().position(|t| t.name == name).ok_or_else(|| format!("no term '{name}'"))?;
        lines[at]
            .clone()
            .map(|l| (TERMS[at].words(&l), l))
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
    let machines = (of.failures_a_day + of.replaced_a_day) * of.changes_a_machine;
    let ordinary = (of.changes_a_day + machines) / day;
    let hour = (of.changes_a_day + machines / 24.0) / 3600.0;
    let list = first.at(&[of.servers]);
    let may = of.bytes * of.in_force;
    let entry = first.adds[0].0;
    // A zone's servers go and are back cold within the time that a change may take: two changes each.
    let zone = 2.0 * of.servers / of.zones * entry;
    let control = change.at(&[of.servers]);
    let mut rows = vec![
        Row {
            role: "proxy",
            what: "control bytes, ordinary day".into(),
            formula: format!("{bytes_words}; {ordinary:.3} changes a second"),
            value: bytes.at(&[ordinary]),
            limit: Some(of.bytes),
            unit: "B",
            carries: "the watch: what changed alone",
        },
        Row {
            role: "proxy",
            what: "control bytes, a day's changes in one hour".into(),
            formula: format!("{bytes_words}; {hour:.2} a second"),
            value: bytes.at(&[hour]),
            limit: Some(of.bytes),
            unit: "B",
            carries: "the watch",
        },
        Row {
            role: "proxy",
            what: format!("a whole list after a restart, bytes in {} s", of.in_force),
            formula: first_bytes.clone(),
            value: list,
            limit: Some(may),
            unit: "B",
            carries: "`known` in the configuration: then what changed since alone; without it nothing",
        },
        Row {
            role: "proxy",
            what: format!("a zone lost and back cold, bytes in {} s", of.in_force),
            formula: format!("2 x {} servers x {} B", figure(of.servers / of.zones), figure(entry)),
            value: zone,
            limit: Some(may),
            unit: "B",
            carries: "the watch",
        },
        Row {
            role: "proxy",
            what: "processor time, ordinary day".into(),
            formula: format!("{change_words}; {ordinary:.3} a second"),
            value: control * ordinary,
            limit: Some(of.core),
            unit: "%",
            carries: "only what changed is looked at",
        },
        Row {
            role: "proxy",
            what: "processor time, a day's changes in one hour".into(),
            formula: change_words.clone(),
            value: control * hour,
            limit: Some(of.core),
            unit: "%",
            carries: "only what changed is looked at",
        },
        Row {
            role: "proxy",
            what: "processor time of a whole list, of a second".into(),
            formula: first_cpu_words,
            value: first_cpu.at(&[of.servers]),
            limit: Some(of.core * of.in_force),
            unit: "s",
            carries: "entries read one at a time",
        },
        Row {
            role: "proxy",
            what: "memory of control".into(),
            formula: listed_words,
            value: listed.at(&[of.servers]),
            limit: Some(of.memory),
            unit: "B",
            carries: "entries kept as text",
        },
        Row {
            role: "proxy",
            what: "memory of standing connections, control's side".into(),
            formula: stands_words,
            value: stands.begins.0 * of.connections,
            limit: None,
            unit: "B",
            carries: "one record a call and leg; sockets' own not counted",
        },
        Row {
            role: "proxy",
            what: "processor time of calls".into(),
            formula: format!("{call_words}; {} calls a second", figure(of.connections / of.life)),
            value: call.at(&[of.servers]) * of.connections / of.life,
            limit: None,
            unit: "%",
            carries: "one pass over all servers a call",
        },
        Row {
            role: "between",
            what: format!("followers a machine of {}", of.machines),
            formula: "proxies / machines".into(),
            value: of.proxies / of.machines,
            limit: None,
            unit: "",
            carries: "nothing: no such role yet",
        },
        Row {
            role: "discovery",
            what: "lines a second, ordinary day".into(),
            formula: lines_words.clone(),
            value: lines_told.at(&[of.proxies * ordinary, of.proxies]),
            limit: None,
            unit: "",
            carries: "a line encoded once; the stand-in's slopes",
        },
        Row {
            role: "discovery",
            what: "processor time of each machine, ordinary day".into(),
            formula: time_words.clone(),
            value: time.at(&[of.proxies * ordinary, of.proxies]).max(0.0) / of.machines,
            limit: Some(1.0),
            unit: "%",
            carries: "the stand-in's slopes, over the machines",
        },
        Row {
            role: "discovery",
            what: "the same, a day's changes in one hour".into(),
            formula: time_words,
            value: time.at(&[of.proxies * hour, of.proxies]).max(0.0) / of.machines,
            limit: Some(1.0),
            unit: "%",
            carries: "the same",
        },
        Row {
            role: "discovery",
            what: "all proxies ask anew at once, bytes a second of each machine".into(),
            formula: format!("proxies x ({first_bytes}) / {} s / machines", of.in_force),
            value: of.proxies * list / of.in_force / of.machines,
            limit: Some(of.bytes * of.proxies / of.machines),
            unit: "B",
            carries: "nothing: whole lists are admitted as they come",
        },
        Row {
            role: "control machine",
            what: "one of them gone, bytes a second of each other, all asking anew".into(),
            formula: "the same over one less".into(),
            value: of.proxies * list / of.in_force / (of.machines - 1.0).max(1.0),
            limit: Some(of.bytes * of.proxies / of.machines),
            unit: "B",
            carries: "nothing",
        },
        Row {
            role: "all",
            what: "until a change is in force at the last proxy".into(),
            formula: force_words,
            value: force.at(&[of.proxies]).max(0.0),
            limit: Some(of.in_force),
            unit: "s",
            carries: "the watch; on one machine, loopback",
        },
        Row {
            role: "server",
            what: "connections a server bears".into(),
            formula: "proxies x connections / servers".into(),
            value: of.proxies * of.connections / of.servers,
            limit: None,
            unit: "",
            carries: "the servers' own; set-ups at a cold one: rule 4's budget and turns",
        },
    ];
    rows.sort_by(|a, b| {
        let over = |r: &Row| r.limit.map_or(-1.0, |limit| r.value / limit);
        over(b).total_cmp(&over(a))
    });
    Ok(rows)
}

/// The page's table, and how the rows that hang on the assumed number of servers move across its range.
pub fn table(results_text: &str, targets_text: &str) -> Result<String, String> {
    let (told, of) = (results(results_text)?, targets(targets_text)?);
    let mut text = String::from("| role | what | formula (± standard error) | at full size | limit | value over limit | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for row in rows(&told, &of)? {
        let limit = row.limit.map_or("none told".into(), |l| shown(l, row.unit));
        let over = row.limit.map_or(String::new(), |l| figure(row.value / l));
        text += &format!(
            "| {} | {} | {} | {} | {limit} | {over} | {} |\n",
            row.role,
            row.what,
            row.formula,
            shown(row.value, row.unit),
            row.carries
        );
    }
    text += &format!("\nAcross the range of servers, {} to {}: ", of.servers_range[0], of.servers_range[1]);
    let across = of.servers_range.map(|servers| rows(&told, &Targets { servers, ..of.clone() }));
    let [least, most] = across;
    let (least, most) = (least?, most?);
    let mut moved = Vec::new();
    for row in &least {
        let Some(other) = most.iter().find(|r| r.what == row.what && r.role == row.role) else { continue };
        if let Some(limit) = row.limit.filter(|_| (row.value - other.value).abs() > 0.05 * row.value.abs()) {
            moved.push(format!(
                "{} ({}) {} to {} of its limit",
                row.what,
                row.role,
                figure(row.value / limit),
                figure(other.value / limit)
            ));
        }
    }
    text += &moved.join("; ");
    text += ".\n";
    Ok(text)
}
