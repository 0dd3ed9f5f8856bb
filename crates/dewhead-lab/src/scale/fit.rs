//! What each unit costs: lines through the runs' figures, and the largest run predicted by the smaller ones.

use super::run::Told;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// What a figure grows with: its name, and how much of it a run has.
type Grows = (&'static str, fn(&Told) -> f64);

/// One figure and what it is taken to grow with.
pub struct Term {
    pub name: &'static str,
    pub unit: &'static str,
    /// What one unit of the figure is printed as, in the figure's own.
    scale: f64,
    of: fn(&Told) -> f64,
    grows: &'static [Grows],
    /// Where the figure can be told at all.
    seen: fn(&Told) -> bool,
}

fn always(_: &Told) -> bool {
    true
}

const SERVERS: Grows = ("servers", |t| t.servers);
const PROXIES: Grows = ("proxies", |t| t.proxies);
const CHANGES: Grows = ("changes a second", |t| t.changes);
const TOLD: Grows = ("proxies times changes a second", |t| t.proxies * t.changes);

pub const TERMS: [Term; 12] = [
    Term {
        name: "first list, bytes",
        unit: "B",
        scale: 1.0,
        of: |t| t.first_bytes,
        grows: &[SERVERS],
        seen: always,
    },
    Term {
        name: "first list, time",
        unit: "us",
        scale: 1e-6,
        of: |t| t.first_cpu,
        grows: &[SERVERS],
        seen: always,
    },
    Term {
        name: "memory with a list",
        unit: "B",
        scale: 1.0,
        of: |t| t.listed,
        grows: &[SERVERS],
        seen: always,
    },
    Term {
        name: "memory a connection",
        unit: "B",
        scale: 1.0,
        of: |t| t.a_connection,
        grows: &[],
        seen: |t| t.standing >= 50.0,
    },
    Term {
        name: "control bytes a second",
        unit: "B",
        scale: 1.0,
        of: |t| t.bytes,
        grows: &[CHANGES],
        seen: always,
    },
    Term {
        name: "a change, time",
        unit: "us",
        scale: 1e-6,
        of: |t| t.change_cpu,
        grows: &[SERVERS],
        seen: |t| t.changes > 0.0,
    },
    Term {
        name: "timers a second, time",
        unit: "us",
        scale: 1e-6,
        of: |t| t.tick_cpu,
        grows: &[SERVERS],
        seen: |t| t.picks == 0.0,
    },
    Term {
        name: "a call, time",
        unit: "us",
        scale: 1e-6,
        of: |t| t.pick_cpu,
        grows: &[SERVERS],
        seen: |t| t.picks > 0.0,
    },
    Term {
        name: "discovery, lines a second",
        unit: "",
        scale: 1.0,
        of: |t| t.lines,
        grows: &[TOLD, PROXIES],
        seen: always,
    },
    Term {
        name: "discovery, bytes a second",
        unit: "B",
        scale: 1.0,
        of: |t| t.all_bytes,
        grows: &[TOLD, PROXIES],
        seen: always,
    },
    Term {
        name: "discovery, time a second",
        unit: "us",
        scale: 1e-6,
        of: |t| t.discovery_cpu,
        grows: &[TOLD, PROXIES],
        seen: always,
    },
    Term {
        name: "until in force at the last",
        unit: "ms",
        scale: 1e-3,
        of: |t| t.in_force_most,
        grows: &[PROXIES],
        seen: |t| t.changes > 0.0,
    },
];

/// A line: where it begins, what each unit adds, and the standard error of each.
#[derive(Clone, Debug)]
pub struct Line {
    pub begins: (f64, f64),
    pub adds: Vec<(f64, f64)>,
    pub runs: usize,
}

impl Line {
    pub fn at(&self, grows: &[f64]) -> f64 {
        self.begins.0 + self.adds.iter().zip(grows).map(|((slope, _), x)| slope * x).sum::<f64>()
    }
}

impl Term {
    /// Through these runs; none where there are too few, or all of one size.
    pub fn fit<'a>(&self, runs: impl Iterator<Item = &'a Told>) -> Option<Line> {
        let runs: Vec<&Told> = runs.filter(|t| t.trouble.is_none() && (self.seen)(t)).collect();
        let of: Vec<f64> = runs.iter().map(|t| (self.of)(t)).collect();
        if self.grows.is_empty() {
            let (mean, half) = crate::stats::confidence_interval(&of);
            return (!of.is_empty()).then(|| Line {
                begins: (mean, half / 2.0),
                adds: Vec::new(),
                runs: of.len(),
            });
        }
        let names: Vec<String> = (0..self.grows.len()).map(|at| format!("x{at}")).collect();
        let mut columns = vec![("y".to_owned(), of)];
        for (name, (_, grows)) in names.iter().zip(self.grows) {
            columns.push((name.clone(), runs.iter().map(|t| grows(t)).collect()));
        }
        let data = RegressionDataBuilder::new().build_from(columns).ok()?;
        let model = FormulaRegressionBuilder::new()
            .data(&data)
            .formula(format!("y ~ {}", names.join(" + ")))
            .fit()
            .ok()?;
        let both: Vec<(f64, f64)> =
            model.parameters().iter().copied().zip(model.se().iter().copied()).collect();
        let (begins, adds) = both.split_first()?;
        Some(Line { begins: *begins, adds: adds.to_vec(), runs: runs.len() })
    }

    pub fn grows(&self, told: &Told) -> Vec<f64> {
        self.grows.iter().map(|(_, grows)| grows(told)).collect()
    }

    pub fn of(&self, told: &Told) -> Option<f64> {
        (self.seen)(told).then(|| (self.of)(told))
    }

    pub fn words(&self, line: &Line) -> String {
        let part = |(value, spread): (f64, f64)| {
            format!("{} ± {}", figure(value / self.scale), figure(spread / self.scale))
        };
        let mut words = part(line.begins);
        for ((name, _), add) in self.grows.iter().zip(&line.adds) {
            words += &format!(" + ({}) x {name}", part(*add));
        }
        format!("{words} {}", self.unit).trim_end().to_owned()
    }
}

/// Three places that count.
pub fn figure(x: f64) -> String {
    if x == 0.0 || !x.is_finite() {
        return format!("{x:.0}");
    }
    let places = (2 - x.abs().log10().floor() as i32).clamp(0, 6) as usize;
    format!("{x:.places$}")
}

/// A run in a line.
pub fn line(told: &Told) -> String {
    let trouble = told.trouble.map_or(String::new(), |t| format!(" {t:?}"));
    format!(
        "proxies {} servers {} changes {}/s picks {}/s standing {}{trouble}: {:.0} B/s a proxy, change {:.0} us, call {:.0} us, \
         list {:.0} kB {:.1} ms, memory {:.2} MB + {:.0} B a connection, discovery {:.0} lines/s {:.2}% of a core, in force \
         {:.0}/{:.0} ms, back {:.2} s, dropped {}, calls {} (whole {}); real {:.0} B/s {:.2}% {:.1} MB; lateness {:.0} ms{}",
        told.proxies, told.servers, told.changes, told.picks, told.standing, told.bytes, told.change_cpu * 1e6,
        told.pick_cpu * 1e6, told.first_bytes / 1e3, told.first_cpu * 1e3, told.listed / 1e6, told.a_connection,
        told.lines, told.discovery_cpu * 100.0, told.in_force * 1e3, told.in_force_most * 1e3, told.again, told.dropped,
        told.calls, told.whole, told.real_bytes, told.real_cpu * 100.0, told.real_memory / 1e6, told.lateness * 1e3,
        if told.late { ", LATE" } else { "" }
    )
}

/// The largest run: the one of most servers and proxies together, among those without trouble.
pub fn largest(told: &[Told]) -> Option<&Told> {
    let size = |t: &Told| t.proxies * t.servers;
    told.iter().filter(|t| t.trouble.is_none()).max_by(|a, b| size(a).total_cmp(&size(b)))
}

/// Prints the lines and the prediction; whether all came within a fifth.
pub fn report(told: &[Told]) -> bool {
    let Some(largest) = largest(told) else { return false };
    let smaller = || told.iter().filter(|t| t.proxies * t.servers < largest.proxies * largest.servers);
    let mut sound = true;
    println!("what each unit costs (± is the standard error), without the largest run; and that run, predicted and measured");
    for term in &TERMS {
        let Some(line) = term.fit(smaller()) else {
            println!("  {:28} too few sizes to tell", term.name);
            continue;
        };
        let predicted = line.at(&term.grows(largest));
        let measured: Vec<f64> = told
            .iter()
            .filter(|t| t.trouble.is_none() && t.proxies * t.servers == largest.proxies * largest.servers)
            .filter_map(|t| term.of(t))
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
                figure(predicted / term.scale),
                figure(measured / term.scale)
            )
        };
        println!("  {:28} {} ({} runs){outcome}", term.name, term.words(&line), line.runs);
    }
    // Real processor time is told in hundredths: only a busy run tells it from nothing.
    let busy = |t: &&Told| t.trouble.is_none() && t.real_bytes > 0.0 && t.real_cpu > 0.02;
    if let Some(one) = told.iter().filter(busy).max_by(|a, b| a.real_cpu.total_cmp(&b.real_cpu)) {
        let hollow = one.watch_cpu + one.tick_cpu + one.pick_cpu * one.picks;
        println!(
            "  hollow against real, the busiest run: {:.0} and {:.0} control bytes a second; {:.2}% and {:.2}% of a core \
             ({:.1} times: reading, writing and waiting are the real one's); {:.2} and {:.2} MB",
            one.bytes,
            one.real_bytes,
            hollow * 100.0,
            one.real_cpu * 100.0,
            one.real_cpu / hollow,
            (one.listed + one.a_connection * one.standing) / 1e6,
            one.real_memory / 1e6
        );
    }
    sound
}
