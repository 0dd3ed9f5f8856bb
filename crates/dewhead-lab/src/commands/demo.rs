//! `demo`: two real proxies, four nodes and their clients on loopback, to be watched.

use crate::runs;
use crate::sockets::{self, LaunchOptions, SocketHost};
use argh::FromArgs;
use dewhead_world::experiment::{Experiment, Trouble};
use dewhead_world::world::World;
use indicatif::{MultiProgress, ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::Instant;

/// Watch two real proxies serve four nodes' clients on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// for how many seconds; 120 if not given
    #[argh(option, default = "120.0")]
    seconds: f64,
    /// the proxy's binary; the one beside this program if not given
    #[argh(option)]
    proxy: Option<PathBuf>,
    /// a folder for the proxies' logs
    #[argh(option)]
    logs: Option<PathBuf>,
}

/// What is shown: four nodes of two speeds, two proxies, and two troubles in the middle.
fn shown(seconds: f64) -> Result<Experiment, String> {
    let mut of = Experiment::parse(
        "name = \"demo\"\nabout = \"a small fleet, a proxy's restart and a node's drain\"",
    )?;
    of.seconds = seconds;
    (of.fleet.proxies, of.fleet.nodes) = (2, 4);
    let trouble = |kind: &str, at: f64, lasts: f64, part: f64| Trouble {
        kind: kind.into(),
        at: at * seconds,
        duration: lasts * seconds,
        fraction: part,
        magnitude: 4.0,
        at_a_time: 1,
        zone: None,
        subject: None,
    };
    of.troubles = vec![trouble("restart-stop", 0.35, 0.1, 0.5), trouble("drain", 0.65, 0.1, 0.25)];
    Ok(of)
}

struct View {
    bars: Vec<ProgressBar>,
    line: ProgressBar,
    marks: usize,
    plain: bool,
    next: f64,
}

impl View {
    fn new(world: &World) -> View {
        let plain = !std::io::stderr().is_terminal();
        let all = MultiProgress::new();
        let style = |template: &str| {
            ProgressStyle::with_template(template)
                .unwrap_or_else(|_| ProgressStyle::default_bar())
                .progress_chars("=> ")
        };
        let bars = (0..world.nodes.len()).map(|n| {
            let bar = all.add(ProgressBar::new(1000));
            bar.set_style(style("{prefix} [{bar:40}] {msg}"));
            bar.set_prefix(format!("node {n}"));
            bar
        });
        let bars = bars.collect();
        let line = all.add(ProgressBar::new(1));
        line.set_style(style("{msg}"));
        View { bars, line, marks: 0, plain, next: 0.0 }
    }

    fn show(&mut self, world: &mut World, now: f64) {
        for (at, what) in &world.service.annotations[self.marks.min(world.service.annotations.len())..] {
            if self.plain {
                eprintln!("{at:>7.1} s  {what}");
            } else {
                self.line.println(format!("{at:>7.1} s  {what}"));
            }
        }
        self.marks = world.service.annotations.len();
        for (node, bar) in world.nodes.iter().zip(&self.bars) {
            let able = node.capacity(now).max(1e-9);
            bar.set_position((node.load() / able * 1000.0).clamp(0.0, 1000.0) as u64);
            let more = format!(
                "{:.2} of {:.1} cores, {} connections, {:?}",
                node.load(),
                able,
                node.connections,
                node.state
            );
            bar.set_message(more);
        }
        let proxies: Vec<String> = world.proxies.iter().map(|p| p.connections.to_string()).collect();
        let c = &world.service.counts;
        let told = format!(
            "{now:.0} s: connections at the proxies {}; calls {}, completed {}, rejected {}, failed {}, moved {}; breaches {}",
            proxies.join(" + "),
            c.calls,
            c.completed,
            c.rejected,
            c.failed + c.unanswered,
            c.moved,
            world.audit.violations.len()
        );
        if self.plain && now >= self.next {
            self.next = now + 5.0;
            eprintln!("{told}");
        }
        self.line.set_message(told);
    }
}

impl Demo {
    pub fn carry_out(&self) -> Result<bool, String> {
        if !(5.0..=3600.0).contains(&self.seconds) {
            return Err("--seconds: must be from 5 to 3600".into());
        }
        if let Some(dir) = &self.logs {
            std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        }
        let proxy = self.proxy.clone().map_or_else(sockets::find_proxy_binary, Ok)?;
        let began = Instant::now();
        let who = proxy.display().to_string();
        let programs = LaunchOptions { proxy_binary: proxy, log_dir: self.logs.clone(), faults: None };
        let mut host = SocketHost::new(&shown(self.seconds)?, 1, programs)?;
        let mut view = View::new(&host.world);
        host.run(self.seconds, |world, now| view.show(world, now))?;
        view.bars.iter().chain([&view.line]).for_each(ProgressBar::finish);
        let lateness = host.lateness;
        let played = sockets::collect_result(&mut host.world, "", 1, who, lateness, began);
        let (o, c) = (&played.outcome, &played.outcome.counts);
        println!(
            "{:.0} seconds, {} clients, {} calls: {} completed, {} rejected, {} failed",
            self.seconds,
            c.clients,
            c.calls,
            c.completed,
            c.rejected,
            c.failed + c.unanswered
        );
        println!(
            "served well: {:.1} % of the revenue asked for; {:.1} % in the worst ten seconds",
            o.service * 100.0,
            o.worst_ten_seconds * 100.0
        );
        println!(
            "set-up: half within {:.0} ms, 99 in a hundred within {:.0} ms",
            o.setup_times[0] * 1e3,
            o.setup_times[1] * 1e3
        );
        println!("moved {}, broken {}, rules broken: {}", c.moved, c.broken, played.violations.len());
        for breach in &played.violations {
            runs::print_violation(breach, "(the demo)", 1, "dewhead");
        }
        Ok(played.violations.is_empty())
    }
}
