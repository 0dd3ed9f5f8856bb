//! One run at one point: the fake discovery service, processes of stub proxies and real proxies; the counts of all of
//! them make one result.

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

/// A run in which timers were checked, or the list was changed, later than this is marked, because its times are
/// unreliable.
const MAX_LATENESS_SECONDS: f64 = 0.1;
/// Duration of the outage in [`Trouble::DiscoveryAway`].
const DISCOVERY_OUTAGE_SECONDS: f64 = 8.0;
/// Time after the last change before counts are read, so that the change reaches every proxy.
const SETTLE_SECONDS: f64 = 1.0;

/// The result of a run. Figures per proxy are means over the stub proxies; times are in seconds, memory in bytes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunResult {
    /// Number of stub proxies.
    pub proxies: f64,
    /// Number of servers in the server list.
    pub servers: f64,
    /// Changes of the server list per second.
    #[serde(rename = "changes")]
    pub changes_per_second: f64,
    /// Calls per second at each proxy.
    #[serde(rename = "picks")]
    pub calls_per_second: f64,
    /// Connections that stay open at each proxy.
    #[serde(rename = "standing")]
    pub open_connections: f64,
    /// The trouble that was injected.
    pub trouble: Option<Trouble>,
    /// Measured duration.
    pub seconds: f64,
    /// Per proxy: bytes received from discovery until the first full list.
    #[serde(rename = "first_bytes")]
    pub first_list_bytes: f64,
    /// Per proxy: processor time for its first full list.
    #[serde(rename = "first_cpu")]
    pub first_list_cpu: f64,
    /// Per proxy: memory with a server list and without connections.
    #[serde(rename = "listed")]
    pub memory_with_list: f64,
    /// Memory per open connection.
    #[serde(rename = "a_connection")]
    pub memory_per_connection: f64,
    /// Per proxy and second: bytes received from discovery.
    #[serde(rename = "bytes")]
    pub control_bytes: f64,
    /// Per proxy and second: processor time for data from discovery.
    pub watch_cpu: f64,
    /// Per proxy and second: processor time for timers.
    #[serde(rename = "tick_cpu")]
    pub timer_cpu: f64,
    /// Per proxy and change of the list: processor time for data from discovery.
    pub change_cpu: f64,
    /// Processor time per call.
    #[serde(rename = "pick_cpu")]
    pub call_cpu: f64,
    /// Share of calls that were answered by anything other than `UP` or `MOVE`.
    #[serde(rename = "refused")]
    pub refused_ratio: f64,
    /// Discovery: watch requests received.
    #[serde(rename = "calls")]
    pub watch_requests: f64,
    /// Discovery: full lists sent.
    #[serde(rename = "whole")]
    pub full_lists: f64,
    /// Discovery: lines sent per second.
    #[serde(rename = "lines")]
    pub discovery_lines: f64,
    /// Discovery: bytes sent per second.
    #[serde(rename = "all_bytes")]
    pub discovery_bytes: f64,
    /// Discovery: lines encoded per second.
    #[serde(rename = "encoded")]
    pub lines_encoded: f64,
    /// Discovery: server entries encoded per second.
    #[serde(rename = "entries")]
    pub entries_encoded: f64,
    /// Discovery: watchers disconnected because of too much unsent data.
    #[serde(rename = "dropped")]
    pub dropped_watchers: f64,
    /// Discovery: processor time per second.
    pub discovery_cpu: f64,
    /// Time from a change of the list until the last proxy received it: the median over all changes.
    #[serde(rename = "in_force")]
    pub propagation_median: f64,
    /// The same: the maximum over all changes.
    #[serde(rename = "in_force_most")]
    pub propagation_max: f64,
    /// Longest time from the restart of a proxy to its first server list.
    #[serde(rename = "again")]
    pub restart_recovery: f64,
    /// Per real proxy: bytes sent to it by discovery per second.
    pub real_bytes: f64,
    /// Per real proxy: processor time per second.
    pub real_cpu: f64,
    /// Per real proxy: resident memory.
    pub real_memory: f64,
    /// Largest delay of a timer check or of a change of the list.
    pub lateness: f64,
    /// Whether the lateness makes the times unreliable.
    pub late: bool,
}

/// A child process that runs stub proxies; it is killed when this is dropped.
struct StubProcess {
    child: Child,
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
}

impl StubProcess {
    fn start(program: &Path, spec: &StubSpec) -> Result<StubProcess, String> {
        let spec = serde_json::to_string(spec).map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        command.args(["hollow", &spec]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.display()))?;
        let pipes = child.stdin.take().zip(child.stdout.take());
        let (stdin, stdout) = pipes.ok_or("a process of stub proxies has no pipes")?;
        Ok(StubProcess { child, stdin, stdout: BufReader::new(stdout) })
    }

    fn send_command(&mut self, command: &str) -> Result<(), String> {
        writeln!(self.stdin, "{command}").map_err(|e| format!("a process of stub proxies: {e}"))
    }

    fn read_line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.stdout.read_line(&mut line) {
            Ok(n) if n > 0 => Ok(line),
            _ => Err("a process of stub proxies has ended".into()),
        }
    }
}

impl Drop for StubProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// `sum / count`, or 0 without a count.
fn ratio(sum: f64, count: f64) -> f64 {
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}

/// Runs one point. `program` is this program, which runs the stub proxies, and `proxy` the real proxy's. Once `stopped`
/// is set, all processes are ended and the run fails.
pub fn run_point(
    point: Point,
    trouble: Option<Trouble>,
    (seconds, processes, real_count): (f64, usize, usize),
    (program, proxy): (&Path, &Path),
    stopped: &AtomicBool,
) -> Result<RunResult, String> {
    let servers = EchoServer::start().map_err(|e| e.to_string())?;
    let discovery = FakeDiscovery::start(point.servers, servers.address).map_err(|e| e.to_string())?;
    let total_proxies = point.proxies + real_count;
    let processes = processes.min(point.proxies);
    let mut stubs = Vec::new();
    for i in 0..processes {
        let (first_position, next_position) =
            (point.proxies * i / processes, point.proxies * (i + 1) / processes);
        let spec = StubSpec {
            proxies: next_position - first_position,
            first_position,
            total_proxies,
            discovery: discovery.addresses[0],
            calls_per_second: point.calls_per_second,
            open_connections: point.open_connections,
        };
        stubs.push(StubProcess::start(program, &spec)?);
    }
    // Each process reports when its proxies have a list, and when their connections are open.
    for stub in &mut stubs {
        stub.read_line()?;
        stub.read_line()?;
    }
    let mut real_proxies = Vec::new();
    for i in 0..real_count {
        if stopped.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        real_proxies.push(RealProxy::start(
            proxy,
            point.proxies + i,
            total_proxies,
            discovery.addresses[1],
            point.open_connections,
        )?);
    }
    let mut slow_reader = None;
    if trouble == Some(Trouble::SlowReader) {
        // Sends a watch request and never reads from the socket.
        let mut socket = TcpStream::connect(discovery.addresses[0]).map_err(|e| e.to_string())?;
        let request = dewhead_proxy::wire::http::watch_request("slow", 0);
        socket.write_all(&request).map_err(|e| e.to_string())?;
        slow_reader = Some(socket);
    }
    std::thread::sleep(Duration::from_millis(300));
    let clock = Clock::default();
    for stub in &mut stubs {
        stub.send_command("go")?;
    }
    discovery.send(DiscoveryCommand::ResetCounts);
    discovery.send(DiscoveryCommand::SetChangeRate(point.changes_per_second));
    let cpu_before: Vec<f64> = real_proxies.iter().map(RealProxy::cpu_time).collect();
    let start = clock.now();
    match trouble {
        Some(Trouble::RestartAll) => stubs.iter_mut().try_for_each(|p| p.send_command("restart 1"))?,
        Some(Trouble::RestartTenth) => stubs.iter_mut().try_for_each(|p| p.send_command("restart 0.1"))?,
        Some(Trouble::DiscoveryAway) => discovery.send(DiscoveryCommand::Suspend(DISCOVERY_OUTAGE_SECONDS)),
        Some(Trouble::SlowReader) | None => {}
    }
    // The outage, and then enough time for all proxies to reconnect.
    let seconds =
        seconds + if trouble == Some(Trouble::DiscoveryAway) { DISCOVERY_OUTAGE_SECONDS + 6.0 } else { 0.0 };
    let mut calls_made = 0.0;
    while clock.now() < start + seconds {
        if stopped.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        let calls_due = (clock.now() - start) * point.calls_per_second;
        if point.calls_per_second > 0.0 && calls_made < calls_due {
            calls_made += 1.0;
            for proxy in &mut real_proxies {
                proxy.replace_oldest_connection()?;
            }
        } else {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    let elapsed = clock.now() - start;
    let real_cpu: f64 = real_proxies.iter().zip(&cpu_before).map(|(p, before)| p.cpu_time() - before).sum();
    let discovery_counts = discovery.counts();
    discovery.send(DiscoveryCommand::SetChangeRate(0.0));
    std::thread::sleep(Duration::from_secs_f64(SETTLE_SECONDS));
    let publish_times = discovery.counts().publish_times;
    let mut stub_counts = Vec::new();
    for stub in &mut stubs {
        stub.send_command("stop")?;
        let line = stub.read_line()?;
        stub_counts.push(serde_json::from_str::<StubCounts>(&line).map_err(|e| format!("{e}: {line}"))?);
    }
    drop(slow_reader);
    Ok(collect_result(
        point,
        trouble,
        elapsed,
        &stub_counts,
        &discovery_counts,
        &publish_times,
        (real_cpu, &real_proxies),
    ))
}

/// Computes the result of a run from the counts of its parts.
fn collect_result(
    point: Point,
    trouble: Option<Trouble>,
    elapsed: f64,
    stub_counts: &[StubCounts],
    discovery_counts: &fake_discovery::DiscoveryCounts,
    publish_times: &[(u64, f64)],
    (real_cpu, real_proxies): (f64, &[RealProxy]),
) -> RunResult {
    let sum = |field: fn(&StubCounts) -> f64| stub_counts.iter().map(field).sum::<f64>();
    let proxies = point.proxies as f64;
    // The settle time is left out: nothing changes during it, and almost nothing is written.
    let proxy_seconds = elapsed * proxies;
    // A change that some proxy had not received by the end counts as the duration of the run.
    let mut delays: Vec<f64> = publish_times
        .iter()
        .map(|(version, published)| {
            let arrival =
                |c: &StubCounts| c.version_times.iter().find(|(v, _)| v == version).map(|(_, time)| *time);
            stub_counts
                .iter()
                .map(arrival)
                .try_fold(0.0, |last, time| Some(f64::max(last, time?)))
                .map_or(elapsed, |last| last - published)
        })
        .collect();
    delays.sort_by(f64::total_cmp);
    let lateness = stub_counts.iter().map(|c| c.max_delay).fold(discovery_counts.max_delay, f64::max);
    let real_count = real_proxies.len() as f64;
    RunResult {
        proxies,
        servers: point.servers as f64,
        changes_per_second: point.changes_per_second,
        calls_per_second: point.calls_per_second,
        open_connections: point.open_connections as f64,
        trouble,
        seconds: elapsed,
        first_list_bytes: sum(|c| c.first_list_bytes as f64) / proxies,
        first_list_cpu: sum(|c| c.first_list_cpu) / proxies,
        memory_with_list: sum(|c| c.memory_with_lists - c.memory_before_proxies) / proxies,
        memory_per_connection: ratio(
            sum(|c| c.memory_with_connections - c.memory_with_lists) / proxies,
            point.open_connections as f64,
        ),
        control_bytes: ratio(sum(|c| c.watch_bytes as f64), proxy_seconds),
        watch_cpu: ratio(sum(|c| c.watch_cpu), proxy_seconds),
        timer_cpu: ratio(sum(|c| c.timer_cpu), proxy_seconds),
        change_cpu: ratio(sum(|c| c.watch_cpu), discovery_counts.changes as f64 * proxies),
        call_cpu: ratio(sum(|c| c.call_cpu), sum(|c| c.client_calls as f64)),
        refused_ratio: ratio(sum(|c| c.refused as f64), sum(|c| c.client_calls as f64)),
        watch_requests: discovery_counts.watch_requests as f64,
        full_lists: discovery_counts.full_lists as f64,
        discovery_lines: (discovery_counts.lines[0] + discovery_counts.lines[1]) as f64 / elapsed,
        discovery_bytes: (discovery_counts.bytes[0] + discovery_counts.bytes[1]) as f64 / elapsed,
        lines_encoded: discovery_counts.lines_encoded as f64 / elapsed,
        entries_encoded: discovery_counts.entries_encoded as f64 / elapsed,
        dropped_watchers: discovery_counts.dropped_watchers as f64,
        discovery_cpu: discovery_counts.cpu / elapsed,
        propagation_median: delays.get(delays.len() / 2).copied().unwrap_or(0.0),
        propagation_max: delays.last().copied().unwrap_or(0.0),
        restart_recovery: stub_counts.iter().map(|c| c.max_restart_recovery).fold(0.0, f64::max),
        real_bytes: ratio(discovery_counts.bytes[1] as f64 / elapsed, real_count),
        real_cpu: ratio(real_cpu / elapsed, real_count),
        real_memory: ratio(real_proxies.iter().map(RealProxy::resident_memory).sum(), real_count),
        lateness,
        late: lateness > MAX_LATENESS_SECONDS,
    }
}
