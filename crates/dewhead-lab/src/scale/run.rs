//! One run: the stand-in, processes of hollow proxies, real processes beside them; what each role counted, in one line.

use super::hollow::{Counts, Spec};
use super::plan::{Point, Trouble};
use super::real::{Real, Servers};
use super::standin::{self, Ask, Standin};
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
pub struct Told {
    pub proxies: f64,
    pub servers: f64,
    pub changes: f64,
    pub picks: f64,
    pub standing: f64,
    pub trouble: Option<Trouble>,
    pub seconds: f64,
    /// A proxy: bytes and processor time for its first whole list, what it holds with a list, and with connections.
    pub first_bytes: f64,
    pub first_cpu: f64,
    pub listed: f64,
    pub a_connection: f64,
    /// A proxy and second: control bytes, processor time for what discovery wrote and for timers; a change, a pick.
    pub bytes: f64,
    pub watch_cpu: f64,
    pub tick_cpu: f64,
    pub change_cpu: f64,
    pub pick_cpu: f64,
    pub refused: f64,
    /// The stand-in: calls, whole lists, lines, bytes, lines put into words, entries, processor time a second.
    pub calls: f64,
    pub whole: f64,
    pub lines: f64,
    pub all_bytes: f64,
    pub encoded: f64,
    pub entries: f64,
    pub dropped: f64,
    pub discovery_cpu: f64,
    /// Until a change was in force at the last proxy, over the changes: in the middle and at the most.
    pub in_force: f64,
    pub in_force_most: f64,
    /// Until the last of those that started anew held a list.
    pub again: f64,
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
    fn start(program: &Path, spec: &Spec) -> Result<Group, String> {
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
pub fn run(
    point: Point,
    trouble: Option<Trouble>,
    (seconds, processes, reals): (f64, usize, usize),
    (program, proxy): (&Path, &Path),
    stopped: &AtomicBool,
) -> Result<Told, String> {
    let servers = Servers::start().map_err(|e| e.to_string())?;
    let standin = Standin::start(point.servers, servers.at).map_err(|e| e.to_string())?;
    let all = point.proxies + reals;
    let processes = processes.min(point.proxies);
    let mut groups = Vec::new();
    for at in 0..processes {
        let (first, next) = (point.proxies * at / processes, point.proxies * (at + 1) / processes);
        let spec = Spec {
            proxies: next - first,
            first,
            siblings: all,
            discovery: standin.followed[0],
            picks: point.picks,
            standing: point.standing,
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
        real.push(Real::start(proxy, point.proxies + at, all, standin.followed[1], point.standing)?);
    }
    let mut idle = None;
    if trouble == Some(Trouble::SlowReader) {
        // Asks, and never reads.
        let mut socket = TcpStream::connect(standin.followed[0]).map_err(|e| e.to_string())?;
        let asks = dewhead_proxy::wire::http::watch_request("slow", 0);
        socket.write_all(&asks).map_err(|e| e.to_string())?;
        idle = Some(socket);
    }
    std::thread::sleep(Duration::from_millis(300));
    let clock = Clock::default();
    for group in &mut groups {
        group.say("go")?;
    }
    standin.ask(Ask::Reset);
    standin.ask(Ask::Change(point.changes));
    let times: Vec<f64> = real.iter().map(Real::time).collect();
    let began = clock.now();
    match trouble {
        Some(Trouble::RestartAll) => groups.iter_mut().try_for_each(|g| g.say("restart 1"))?,
        Some(Trouble::RestartTenth) => groups.iter_mut().try_for_each(|g| g.say("restart 0.1"))?,
        Some(Trouble::DiscoveryAway) => standin.ask(Ask::Away(AWAY)),
        Some(Trouble::SlowReader) | None => {}
    }
    // Away, and then as long as it takes until all are back.
    let seconds = seconds + if trouble == Some(Trouble::DiscoveryAway) { AWAY + 6.0 } else { 0.0 };
    let mut picked = 0.0;
    while clock.now() < began + seconds {
        if stopped.load(Ordering::Relaxed) {
            return Err("stopped".into());
        }
        let due = (clock.now() - began) * point.picks;
        if point.picks > 0.0 && picked < due {
            picked += 1.0;
            for one in &mut real {
                one.pick()?;
            }
        } else {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    let took = clock.now() - began;
    let real_cpu: f64 = real.iter().zip(&times).map(|(r, t)| r.time() - t).sum();
    let counts = standin.counts();
    standin.ask(Ask::Change(0.0));
    std::thread::sleep(Duration::from_secs_f64(RESTS));
    let made = standin.counts().made;
    let mut told = Vec::new();
    for group in &mut groups {
        group.say("stop")?;
        let line = group.line()?;
        told.push(serde_json::from_str::<Counts>(&line).map_err(|e| format!("{e}: {line}"))?);
    }
    drop(idle);
    Ok(gather(point, trouble, took, &told, &counts, &made, (real_cpu, &real)))
}

fn gather(
    point: Point,
    trouble: Option<Trouble>,
    took: f64,
    told: &[Counts],
    counts: &standin::Counts,
    made: &[(u64, f64)],
    (real_cpu, real): (f64, &[Real]),
) -> Told {
    let sum = |of: fn(&Counts) -> f64| told.iter().map(of).sum::<f64>();
    let proxies = point.proxies as f64;
    // Nothing is changed in the rest after it, and next to nothing written.
    let own = took * proxies;
    // A change that some proxy had not had by the end counts as long as the run.
    let mut in_force: Vec<f64> = made
        .iter()
        .map(|(version, at)| {
            let held = |c: &Counts| c.held.iter().find(|(v, _)| v == version).map(|(_, at)| *at);
            told.iter()
                .map(held)
                .try_fold(0.0, |last, at| Some(f64::max(last, at?)))
                .map_or(took, |last| last - at)
        })
        .collect();
    in_force.sort_by(f64::total_cmp);
    let lateness = told.iter().map(|c| c.late).fold(counts.late, f64::max);
    let reals = real.len() as f64;
    Told {
        proxies,
        servers: point.servers as f64,
        changes: point.changes,
        picks: point.picks,
        standing: point.standing as f64,
        trouble,
        seconds: took,
        first_bytes: sum(|c| c.first_bytes as f64) / proxies,
        first_cpu: sum(|c| c.first_cpu) / proxies,
        listed: sum(|c| c.listed - c.empty) / proxies,
        a_connection: mean(sum(|c| c.stand - c.listed) / proxies, point.standing as f64),
        bytes: mean(sum(|c| c.bytes as f64), own),
        watch_cpu: mean(sum(|c| c.watch_cpu), own),
        tick_cpu: mean(sum(|c| c.tick_cpu), own),
        change_cpu: mean(sum(|c| c.watch_cpu), counts.changes as f64 * proxies),
        pick_cpu: mean(sum(|c| c.pick_cpu), sum(|c| c.picks as f64)),
        refused: mean(sum(|c| c.refused as f64), sum(|c| c.picks as f64)),
        calls: counts.calls as f64,
        whole: counts.whole as f64,
        lines: (counts.lines[0] + counts.lines[1]) as f64 / took,
        all_bytes: (counts.bytes[0] + counts.bytes[1]) as f64 / took,
        encoded: counts.encoded as f64 / took,
        entries: counts.entries as f64 / took,
        dropped: counts.dropped as f64,
        discovery_cpu: counts.cpu / took,
        in_force: in_force.get(in_force.len() / 2).copied().unwrap_or(0.0),
        in_force_most: in_force.last().copied().unwrap_or(0.0),
        again: told.iter().map(|c| c.again).fold(0.0, f64::max),
        real_bytes: mean(counts.bytes[1] as f64 / took, reals),
        real_cpu: mean(real_cpu / took, reals),
        real_memory: mean(real.iter().map(Real::memory).sum(), reals),
        lateness,
        late: lateness > LATE,
    }
}
