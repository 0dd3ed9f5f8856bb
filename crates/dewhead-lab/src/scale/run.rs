//! One run: the stand-in, processes of hollow proxies, real processes beside them; what each role counted, in one line.

use super::fake_discovery::{self, DiscoveryCommand, FakeDiscovery};
use super::plan::{Point, Trouble};
use super::real_proxy::{EchoServer, RealProxy};
use super::stub_proxy::{StubCounts, StubSpec};
use super::Clock;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A run whose parts came later than this, in seconds, tells little of times.
const LATE: f64 = 0.1;
/// How long discovery is away.
const AWAY: f64 = 8.0;
/// What was changed last is waited for so long.
const RESTS: f64 = 1.0;

/// All that a run tells. Figures of a proxy are means over all; times are seconds, memory bytes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunResult {
    pub proxies: f64,
    pub servers: f64,
    #[serde(rename = "changes")]
    pub changes_per_second: f64,
    #[serde(rename = "picks")]
    pub calls_per_second: f64,
    #[serde(rename = "standing")]
    pub open_connections: f64,
    pub trouble: Option<Trouble>,
    pub seconds: f64,
    /// A proxy: bytes and processor time for its first whole list, what it holds with a list, and with connections.
    #[serde(rename = "first_bytes")]
    pub first_list_bytes: f64,
    #[serde(rename = "first_cpu")]
    pub first_list_cpu: f64,
    #[serde(rename = "listed")]
    pub memory_with_list: f64,
    #[serde(rename = "a_connection")]
    pub memory_per_connection: f64,
    /// A proxy and second: control bytes, processor time for what discovery wrote and for timers; a change, a pick.
    #[serde(rename = "bytes")]
    pub control_bytes: f64,
    pub watch_cpu: f64,
    #[serde(rename = "tick_cpu")]
    pub timer_cpu: f64,
    pub change_cpu: f64,
    #[serde(rename = "pick_cpu")]
    pub call_cpu: f64,
    #[serde(rename = "refused")]
    pub refused_ratio: f64,
    /// The stand-in: calls, whole lists, lines, bytes, lines put into words, entries, processor time a second.
    #[serde(rename = "calls")]
    pub watch_requests: f64,
    #[serde(rename = "whole")]
    pub full_lists: f64,
    #[serde(rename = "lines")]
    pub discovery_lines: f64,
    #[serde(rename = "all_bytes")]
    pub discovery_bytes: f64,
    #[serde(rename = "encoded")]
    pub lines_encoded: f64,
    #[serde(rename = "entries")]
    pub entries_encoded: f64,
    #[serde(rename = "dropped")]
    pub dropped_watchers: f64,
    pub discovery_cpu: f64,
    /// Until a change was in force at the last proxy, over the changes: in the middle and at the most.
    #[serde(rename = "in_force")]
    pub propagation_median: f64,
    #[serde(rename = "in_force_most")]
    pub propagation_max: f64,
    /// Until the last of those that started anew held a list.
    #[serde(rename = "again")]
    pub restart_recovery: f64,
    /// A real process: bytes a second, processor time a second, memory.
    pub real_bytes: f64,
    pub real_cpu: f64,
    pub real_memory: f64,
    /// By how much the run came late, at the most, and whether that marks it.
    pub lateness: f64,
    pub late: bool,
}

struct Group {
    child: Child,
    asks: ChildStdin,
    told: BufReader<ChildStdout>,
}

impl Group {
    fn start(program: &Path, spec: &StubSpec) -> Result<Group, String> {
        let spec = serde_json::to_string(spec).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["hollow", &spec]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        let both = child.stdin.take().zip(child.stdout.take());
        let (asks, told) = both.ok_or("a process of hollow proxies has no pipes")?;
        Ok(Group { child, asks, told: BufReader::new(told) })
    }

    fn say(&mut self, what: &str) -> Result<(), String> {
        writeln!(self.asks, "{what}").map_err(|e| format!("a process of hollow proxies: {e}"))
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.told.read_line(&mut line) {
            Ok(n) if n > 0 => Ok(line),
            _ => Err("a process of hollow proxies has ended".into()),
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn mean(sum: f64, of: f64) -> f64 {
    if of > 0.0 {
        sum / of
    } else {
        0.0
    }
}

/// `program` is this program, and `proxy` the real one. Once `stopped`, it ends what it started and says so.
pub fn run_point(
    point: Point,
    trouble: Option<Trouble>,
    (seconds, processes, reals): (f64, usize, usize),
    (program, proxy): (&Path, &Path),
    stopped: &AtomicBool,
) -> Result<RunResult, String> {
    let servers = EchoServer::start().map_err(|e| e.to_string())?;
    let fake_discovery = FakeDiscovery::start(point.servers, servers.address).map_err(|e| e.to_string())?;
    let all = point.proxies + reals;
    let processes = processes.min(point.proxies);
    let mut groups = Vec::new();
    for at in 0..processes {
        let (first, next) = (point.proxies * at / processes, point.proxies * (at + 1) / processes);
        let spec = StubSpec {
            proxies: next - first,
            first_position: first,
            total_proxies: all,
            discovery: fake_discovery.addresses[0],
            calls_per_second: point.calls_per_second,
            open_connections: point.open_connections,
        };
        groups.push(Group::start(program, &spec)?);
    }
    for group in &mut groups {
        group.line()?;
        group.line()?;
    }
    let mut real = Vec::new();
    for at in 0..reals {
        if stopped.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        real.push(RealProxy::start(
            proxy,
            point.proxies + at,
            all,
            fake_discovery.addresses[1],
            point.open_connections,
        )?);
    }
    let mut idle = None;
    if trouble == Some(Trouble::SlowReader) {
        // Asks, and never reads.
        let mut socket = TcpStream::connect(fake_discovery.addresses[0]).map_err(|e| e.to_string())?;
        let asks = dewhead_proxy::wire::http::watch_request("slow", 0);
        socket.write_all(&asks).map_err(|e| e.to_string())?;
        idle = Some(socket);
    }
    std::thread::sleep(Duration::from_millis(300));
    let clock = Clock::default();
    for group in &mut groups {
        group.say("go")?;
    }
    fake_discovery.send(DiscoveryCommand::ResetCounts);
    fake_discovery.send(DiscoveryCommand::SetChangeRate(point.changes_per_second));
    let times: Vec<f64> = real.iter().map(RealProxy::cpu_time).collect();
    let began = clock.now();
    match trouble {
        Some(Trouble::RestartAll) => groups.iter_mut().try_for_each(|g| g.say("restart 1"))?,
        Some(Trouble::RestartTenth) => groups.iter_mut().try_for_each(|g| g.say("restart 0.1"))?,
        Some(Trouble::DiscoveryAway) => fake_discovery.send(DiscoveryCommand::Suspend(AWAY)),
        Some(Trouble::SlowReader) | None => {}
    }
    // Away, and then as long as it takes until all are back.
    let seconds = seconds + if trouble == Some(Trouble::DiscoveryAway) { AWAY + 6.0 } else { 0.0 };
    let mut picked = 0.0;
    while clock.now() < began + seconds {
        if stopped.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        let due = (clock.now() - began) * point.calls_per_second;
        if point.calls_per_second > 0.0 && picked < due {
            picked += 1.0;
            for one in &mut real {
                one.replace_oldest_connection()?;
            }
        } else {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    let took = clock.now() - began;
    let real_cpu: f64 = real.iter().zip(&times).map(|(r, t)| r.cpu_time() - t).sum();
    let counts = fake_discovery.counts();
    fake_discovery.send(DiscoveryCommand::SetChangeRate(0.0));
    std::thread::sleep(Duration::from_secs_f64(RESTS));
    let made = fake_discovery.counts().publish_times;
    let mut told = Vec::new();
    for group in &mut groups {
        group.say("stop")?;
        let line = group.line()?;
        told.push(serde_json::from_str::<StubCounts>(&line).map_err(|e| format!("{e}: {line}"))?);
    }
    drop(idle);
    Ok(gather(point, trouble, took, &told, &counts, &made, (real_cpu, &real)))
}

fn gather(
    point: Point,
    trouble: Option<Trouble>,
    took: f64,
    told: &[StubCounts],
    counts: &fake_discovery::DiscoveryCounts,
    made: &[(u64, f64)],
    (real_cpu, real): (f64, &[RealProxy]),
) -> RunResult {
    let sum = |of: fn(&StubCounts) -> f64| told.iter().map(of).sum::<f64>();
    let proxies = point.proxies as f64;
    // Nothing is changed in the rest after it, and next to nothing written.
    let own = took * proxies;
    // A change that some proxy had not had by the end counts as long as the run.
    let mut in_force: Vec<f64> = made
        .iter()
        .map(|(version, at)| {
            let held = |c: &StubCounts| c.version_times.iter().find(|(v, _)| v == version).map(|(_, at)| *at);
            told.iter()
                .map(held)
                .try_fold(0.0, |last, at| Some(f64::max(last, at?)))
                .map_or(took, |last| last - at)
        })
        .collect();
    in_force.sort_by(f64::total_cmp);
    let lateness = told.iter().map(|c| c.max_delay).fold(counts.max_delay, f64::max);
    let reals = real.len() as f64;
    RunResult {
        proxies,
        servers: point.servers as f64,
        changes_per_second: point.changes_per_second,
        calls_per_second: point.calls_per_second,
        open_connections: point.open_connections as f64,
        trouble,
        seconds: took,
        first_list_bytes: sum(|c| c.first_list_bytes as f64) / proxies,
        first_list_cpu: sum(|c| c.first_list_cpu) / proxies,
        memory_with_list: sum(|c| c.memory_with_lists - c.memory_before_proxies) / proxies,
        memory_per_connection: mean(
            sum(|c| c.memory_with_connections - c.memory_with_lists) / proxies,
            point.open_connections as f64,
        ),
        control_bytes: mean(sum(|c| c.watch_bytes as f64), own),
        watch_cpu: mean(sum(|c| c.watch_cpu), own),
        timer_cpu: mean(sum(|c| c.timer_cpu), own),
        change_cpu: mean(sum(|c| c.watch_cpu), counts.changes as f64 * proxies),
        call_cpu: mean(sum(|c| c.call_cpu), sum(|c| c.client_calls as f64)),
        refused_ratio: mean(sum(|c| c.refused as f64), sum(|c| c.client_calls as f64)),
        watch_requests: counts.watch_requests as f64,
        full_lists: counts.full_lists as f64,
        discovery_lines: (counts.lines[0] + counts.lines[1]) as f64 / took,
        discovery_bytes: (counts.bytes[0] + counts.bytes[1]) as f64 / took,
        lines_encoded: counts.lines_encoded as f64 / took,
        entries_encoded: counts.entries_encoded as f64 / took,
        dropped_watchers: counts.dropped_watchers as f64,
        discovery_cpu: counts.cpu / took,
        propagation_median: in_force.get(in_force.len() / 2).copied().unwrap_or(0.0),
        propagation_max: in_force.last().copied().unwrap_or(0.0),
        restart_recovery: told.iter().map(|c| c.max_restart_recovery).fold(0.0, f64::max),
        real_bytes: mean(counts.bytes[1] as f64 / took, reals),
        real_cpu: mean(real_cpu / took, reals),
        real_memory: mean(real.iter().map(RealProxy::resident_memory).sum(), reals),
        lateness,
        late: lateness > LATE,
    }
}
