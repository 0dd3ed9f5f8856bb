//! `demo`: two real proxies, four nodes and their clients on loopback, with a live display.

use crate::runs;
use crate::sockets::{self, LaunchOptions, SocketHost};
use argh::FromArgs;
use dewhead_world::experiment::{Experiment, Trouble};
use dewhead_world::world::World;
use indicatif::{MultiProgress, ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::Instant;

/// Run two real proxies with four nodes and their clients on loopback, and show what happens.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// duration in seconds; 120 if not given
    #[argh(option, default = "120.0")]
    seconds: f64,
    /// the proxy's binary; the one next to this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// a folder for the proxies' logs
    #[argh(option)]
    logs: Option<PathBuf>,
}

/// The experiment that is run: four nodes of two speeds, two proxies, and two troubles.
fn demo_experiment(seconds: f64) -> Result<Experiment, String> {
    let mut experiment = Experiment::parse(
        "name = \"demo\"\nabout = \"a small fleet, a proxy's restart and a node's drain\"",
    )?;
    experiment.seconds = seconds;
    (experiment.fleet.proxies, experiment.fleet.nodes) = (2, 4);
    let new_trouble = |kind: &str, at: f64, duration: f64, fraction: f64| Trouble {
        kind: kind.into(),
        at: at * seconds,
        duration: duration * seconds,
        fraction,
        magnitude: 4.0,
        at_a_time: 1,
        zone: None,
        subject: None,
    };
    experiment.troubles =
        vec![new_trouble("restart-stop", 0.35, 0.1, 0.5), new_trouble("drain", 0.65, 0.1, 0.25)];
    Ok(experiment)
}

/// The live display: a bar per node and a status line, or lines of plain text if standard error is not a terminal.
struct ProgressView {
    bars: Vec<ProgressBar>,
    status_line: ProgressBar,
    shown_annotations: usize,
    plain_text: bool,
    next_print: f64,
}

impl ProgressView {
    fn new(world: &World) -> ProgressView {
        let plain_text = !std::io::stderr().is_terminal();
        let multi_progress = MultiProgress::new();
        let style = |template: &str| {
            ProgressStyle::with_template(template)
                .unwrap_or_else(|_| ProgressStyle::default_bar())
                .progress_chars("=> ")
        };
        let bars = (0..world.nodes.len()).map(|n| {
            let bar = multi_progress.add(ProgressBar::new(1000));
            bar.set_style(style("{prefix} [{bar:40}] {msg}"));
            bar.set_prefix(format!("node {n}"));
            bar
        });
        let bars = bars.collect();
        let status_line = multi_progress.add(ProgressBar::new(1));
        status_line.set_style(style("{msg}"));
        ProgressView { bars, status_line, shown_annotations: 0, plain_text, next_print: 0.0 }
    }

    /// Prints new annotations and updates the bars and the status line.
    fn show(&mut self, world: &mut World, now: f64) {
        for (at, annotation) in
            &world.service.annotations[self.shown_annotations.min(world.service.annotations.len())..]
        {
            if self.plain_text {
                eprintln!("{at:>7.1} s  {annotation}");
            } else {
                self.status_line.println(format!("{at:>7.1} s  {annotation}"));
            }
        }
        self.shown_annotations = world.service.annotations.len();
        for (node, bar) in world.nodes.iter().zip(&self.bars) {
            let capacity = node.capacity(now).max(1e-9);
            bar.set_position((node.load() / capacity * 1000.0).clamp(0.0, 1000.0) as u64);
            let details = format!(
                "{:.2} of {:.1} cores, {} connections, {:?}",
                node.load(),
                capacity,
                node.connections,
                node.state
            );
            bar.set_message(details);
        }
        let proxies: Vec<String> = world.proxies.iter().map(|p| p.connections.to_string()).collect();
        let counts = &world.service.counts;
        let status = format!("{now:.0} s: connections at the proxies {}; calls {}, completed {}, rejected {}, failed {}, moved {}; breaches {}", proxies.join(" + "), counts.calls, counts.completed, counts.rejected, counts.failed + counts.unanswered, counts.moved, world.audit.violations.len());
        if self.plain_text && now >= self.next_print {
            self.next_print = now + 5.0;
            eprintln!("{status}");
        }
        self.status_line.set_message(status);
    }
}

impl Demo {
    /// Runs the command; returns whether no rule was violated.
    pub fn execute(&self) -> Result<bool, String> {
        if !(5.0..=3600.0).contains(&self.seconds) {
            return Err("--seconds: must be from 5 to 3600".into());
        }
        if let Some(dir) = &self.logs {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        let proxy = self.proxy.clone().map_or_else(sockets::find_proxy_binary, Ok)?;
        let start = Instant::now();
        let proxy_name = proxy.display().to_string();
        let options = LaunchOptions { proxy_binary: proxy, log_dir: self.logs.clone(), faults: None };
        let mut host = SocketHost::new(&demo_experiment(self.seconds)?, 1, options)?;
        let mut view = ProgressView::new(&host.world);
        host.run(self.seconds, |world, now| view.show(world, now))?;
        view.bars.iter().chain([&view.status_line]).for_each(ProgressBar::finish);
        let lateness = host.lateness;
        let result = sockets::collect_result(&mut host.world, "", 1, proxy_name, lateness, start);
        let (outcome, counts) = (&result.outcome, &result.outcome.counts);
        println!(
            "{:.0} seconds, {} clients, {} calls: {} completed, {} rejected, {} failed",
            self.seconds,
            counts.clients,
            counts.calls,
            counts.completed,
            counts.rejected,
            counts.failed + counts.unanswered
        );
        println!(
            "service: {:.1} % of the requested revenue; {:.1} % in the worst ten seconds",
            outcome.service * 100.0,
            outcome.worst_ten_seconds * 100.0
        );
        println!(
            "set-up: median {:.0} ms, 99th percentile {:.0} ms",
            outcome.setup_times[0] * 1e3,
            outcome.setup_times[1] * 1e3
        );
        println!(
            "moved {}, broken {}, rules broken: {}",
            counts.moved,
            counts.broken,
            result.violations.len()
        );
        for violation in &result.violations {
            runs::print_violation(violation, "(the demo)", 1, "dewhead");
        }
        Ok(result.violations.is_empty())
    }
}
