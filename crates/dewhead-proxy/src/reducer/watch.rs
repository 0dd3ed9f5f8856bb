//! Following discovery: the watch and what its lines change.

use super::{Due, Effect, Reducer};
use crate::state::handover_state::RawEntries;
use crate::state::sessions::{LegStage, ServerLeg, Session, SessionStage};
use crate::state::timers::Timer;
use crate::wire::http::{WatchResponse, LINE_TOO_LONG, STATUS_NOT_OK};
use crate::wire::server_list::ListVersion;
use dewhead::terms::{Ending, News, State};
use dewhead_startup::fields::ParseResult;
use log::{debug, warn};
use std::net::SocketAddr;

/// Discovery writes every two seconds at least; this long without a word and the watch is dead. What it has to tell
/// counts as told after six, so that two tries must fit in there.
const WATCH_SILENT: f64 = 2.6;
/// The agent answers at once, or is not there; a discovery that is asked too much answers within two seconds. Given up
/// before that, what it had begun was done for nothing.
const WATCH_OPENS: f64 = 2.2;
/// A first line that does not end in `WATCH_SILENT` has as much time more with each try, up to so many times, as a long
/// list may come slowly; but so many bytes are due in each such time, or nobody is writing it any longer.
const PATIENCE: u32 = 4;
const PROGRESS: usize = 4096;
/// How soon after it was last asked discovery is asked again, at first and at the longest. What has been open, or silent,
/// for longer is asked for anew at once: a drain may be told in that pause, and counts.
const WATCH_PAUSE: (f64, f64) = (0.1, 0.8);
/// The same, at the earliest and at the latest, where discovery turns calls away: it has more to do than it can, and a
/// hundred proxies that asked again each second kept it so that it answered nobody for the rest of the day. It is asked as
/// seldom as the six seconds allow, in which whatever it has counts as told, and from the first time on.
const AWAY_PERIOD: (f64, f64) = (5.0, 5.6);

pub struct Watch {
    pub discovery: SocketAddr,
    pub answer: Option<WatchResponse>,
    /// When it was last asked for, and whether a whole line has come since.
    asked_at: f64,
    told: bool,
    /// Bytes of the first line since its time was last put off.
    came: usize,
    /// The version held, and its entries as they came.
    pub version: u64,
    pub entries: RawEntries,
    pub failures: u32,
    /// Whether it turned the last call away.
    pub turned_away: bool,
    /// Whether the timer ends a pause; else it ends a silence.
    pub pausing: bool,
    pub timer: Option<Timer>,
}

impl Watch {
    pub fn of(discovery: SocketAddr) -> Watch {
        Watch {
            discovery,
            answer: None,
            asked_at: f64::NEG_INFINITY,
            told: false,
            came: 0,
            version: 0,
            entries: RawEntries::default(),
            failures: 0,
            turned_away: false,
            pausing: false,
            timer: None,
        }
    }
}

impl Reducer {
    pub(super) fn follow(&mut self, now: f64) {
        if self.watch.answer.is_none() {
            self.watch.pausing = false;
            (self.watch.asked_at, self.watch.told, self.watch.came) = (now, false, 0);
            self.effects.push(Effect::Follow(self.watch.discovery, self.watch.version));
            self.watch_within(now + WATCH_OPENS);
        }
    }

    /// Asks there for the whole list, at once. The versions held mean nothing there: a discovery that counts lower
    /// would else be taken for an outdated one, and its list never be taken up. Till it comes the list held stays.
    pub(super) fn follow_elsewhere(&mut self, now: f64, discovery: SocketAddr) {
        let timer = self.watch.timer.take();
        let entries = std::mem::take(&mut self.watch.entries);
        self.watch = Watch { timer, entries, ..Watch::of(discovery) };
        self.follow(now);
    }

    /// The next word must have come by then.
    fn watch_within(&mut self, at: f64) {
        let fresh = self.timers.set(at, Due::Watch);
        if let Some(old) = self.watch.timer.replace(fresh) {
            self.timers.cancel(old);
        }
    }

    pub(super) fn watched(&mut self, now: f64, bytes: &[u8]) {
        let Some(mut answer) = self.watch.answer.take() else { return };
        let (mut lines, mut whole): (Vec<Vec<u8>>, bool) = (Vec::new(), false);
        let outcome = answer.feed(bytes, |line| {
            whole = true;
            if !line.trim_ascii().is_empty() {
                lines.push(line.to_vec());
            }
        });
        self.watch.answer = Some(answer);
        // Whole lines alone are signs of life: a line in pieces that never ended kept a dead watch for ever.
        if whole {
            self.watch.told = true;
            self.watch_within(now + WATCH_SILENT);
        } else if !self.watch.told {
            self.watch.came += bytes.len();
            if self.watch.came >= PROGRESS {
                self.watch.came = 0;
                let patience = self.watch.failures.clamp(1, PATIENCE);
                let most = self.watch.asked_at + WATCH_SILENT * f64::from(patience);
                self.watch_within(most.min(now + WATCH_SILENT));
            }
        }
        for line in lines {
            match ListVersion::parse(&line, &self.known.zones) {
                Some(version) => {
                    if !self.list(now, version, false) {
                        return self.watch_fault(now, "its list was not understood");
                    }
                }
                None => return self.watch_fault(now, "it wrote no JSON"),
            }
        }
        match outcome {
            Ok(true) => {}
            Ok(false) => self.watch_fault(now, "it has ended"),
            Err(fault) => self.watch_fault(now, fault),
        }
    }

    /// A version of the list; false where it was not understood, and the list held stays.
    pub(super) fn list(&mut self, now: f64, told: ParseResult<ListVersion>, remembered: bool) -> bool {
        let mut told = match told {
            Ok(list) => list,
            Err(fault) => {
                if self.watch.failures == 0 {
                    warn!("discovery: {fault}");
                }
                return false;
            }
        };
        let (version, whole) = (told.number, told.whole);
        let born = self.start_by_own_clock(now, &mut told);
        // Nor is one believed that names nobody yet.
        if version < self.watch.version && (!whole || told.entries.is_empty()) {
            warn!("discovery: version {version} is older than {}, which is held", self.watch.version);
            return true;
        }
        if version < self.watch.version {
            // Discovery that started anew counts from one again. Its list left aside until it had counted past the old
            // one, nodes that it drained meanwhile went on being sent to. One that is only behind brings nothing back:
            // a server held as draining stays so until it has started anew or a change names it.
            warn!("discovery: version {version} for {}, which was held: it counts anew", self.watch.version);
            for (listed, _) in &mut told.entries {
                let held = self.servers.0.get(&listed.id);
                if held.is_some_and(|h| h.state == State::Draining && h.started == listed.started) {
                    listed.state = State::Draining;
                }
            }
        }
        self.watch.version = version;
        (self.watch.failures, self.watch.turned_away) = (0, false);
        self.watch.entries.apply(whole || remembered, &mut told);
        for (listed, _) in &told.entries {
            let ago = listed.started.map_or(f64::INFINITY, |started| now - started);
            debug!(
                "server {:x} is {:?} in zone {}, of weight {}, started {ago:.1} s ago",
                listed.id, listed.state, listed.zone, listed.weight
            );
        }
        let gone = self.servers.apply(whole || remembered, &told.entries);
        for ((listed, _), born) in told.entries.iter().zip(born) {
            if let Some(server) = self.servers.0.get_mut(&listed.id) {
                server.started_by_wall_clock = born;
            }
        }
        let news = match () {
            () if remembered => News::Remembered,
            () if whole => News::Whole,
            () => News::Changes,
        };
        let listed: Vec<_> = told.entries.into_iter().map(|(listed, _)| listed).collect();
        self.balancer.list(now, news, &listed);
        if !remembered {
            self.confirm(now);
        }
        if !gone.is_empty() {
            // What stands at a server that is gone leaves it; the list changes seldom enough to look at all.
            let lost = |l: &ServerLeg| l.stage == LegStage::Established && gone.contains(&l.server);
            let keys: Vec<usize> =
                self.legs.iter().filter(|(_, l)| lost(l)).map(|(_, l)| l.session).collect();
            keys.into_iter().for_each(|key| self.move_away(now, key, Ending::Broken));
        }
        true
    }

    /// Discovery tells starts by the wall clock. Puts them on the process's own, and returns them as they were told; one
    /// that was told before stays where it was put then.
    fn start_by_own_clock(&self, now: f64, told: &mut ListVersion) -> Vec<Option<f64>> {
        let mut as_told = Vec::with_capacity(told.entries.len());
        for (listed, _) in &mut told.entries {
            as_told.push(listed.started);
            let held =
                self.servers.0.get(&listed.id).filter(|held| held.started_by_wall_clock == listed.started);
            listed.started = match held {
                Some(held) => held.started,
                None => listed.started.map(|born| self.wall_clock.to_process_clock(now, born)),
            };
        }
        as_told
    }

    /// The list held is as good as can be had: who came before is heard.
    pub(super) fn confirm(&mut self, now: f64) {
        if std::mem::take(&mut self.unconfirmed) {
            let greeting =
                |s: &Session| s.stage == SessionStage::AwaitingFirstLine && !s.first_line.is_empty();
            let keys: Vec<usize> =
                self.sessions.iter().filter(|(_, s)| greeting(s)).map(|(key, _)| key).collect();
            keys.into_iter().for_each(|key| self.greet(now, key));
        }
    }

    pub(super) fn watch_fault(&mut self, now: f64, fault: &str) {
        if self.watch.failures == 0 {
            warn!("discovery: the watch is given up: {fault}");
        }
        // A list that is too long is so again: it would be written over and over.
        self.watch.turned_away = matches!(fault, STATUS_NOT_OK | LINE_TOO_LONG);
        self.effects.push(Effect::Unfollow);
        self.ask_later(now);
    }

    /// A connection that ended, or was never made, says nothing of how much discovery has to do.
    pub(super) fn watch_lost(&mut self, now: f64) {
        self.watch.turned_away = false;
        self.ask_later(now);
    }

    fn ask_later(&mut self, now: f64) {
        self.watch.answer = None;
        let failures = self.watch.failures;
        self.watch.failures = failures.saturating_add(1);
        if let Some(old) = self.watch.timer.take() {
            self.timers.cancel(old);
        }
        // One clock for both ways of listing, from when it was asked: what discovery has by then it would have told, and
        // what it gets later counts as told six seconds after. A pause from the failure on came on top of the opening.
        let chance = self.chance.rand_float();
        let pause = if self.watch.turned_away {
            AWAY_PERIOD.0 + (AWAY_PERIOD.1 - AWAY_PERIOD.0) * chance
        } else {
            (WATCH_PAUSE.0 * f64::from(1u32 << failures.min(4))).min(WATCH_PAUSE.1) * (0.5 + chance)
        };
        let at = (self.watch.asked_at + pause).max(now);
        self.watch.pausing = true;
        self.watch.timer = Some(self.timers.set(at, Due::Watch));
    }
}
