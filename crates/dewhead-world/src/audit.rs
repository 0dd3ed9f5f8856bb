//! The auditor. It sees what crosses the wires at the proxies' edge, and nothing else; it reads the published protocol
//! by itself and shares no code with the proxy. It keeps, for each open call, what was seen of it, and says which rule a
//! proxy has broken, with the call's whole trace.

mod cold_start;

use crate::experiment::{Experiment, Repeatability, Scope};
use crate::nodes::Node;
use crate::world::{Bytes, EndKind, LinkKey, Peer};
use cold_start::{ColdNode, ColdStartRule};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// The rules, by what breaks them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// 1: exactly one final answer, in time, and nothing after it.
    OneAnswer,
    /// 2: no effect twice; legs overlap and follow only where allowed.
    NoEffectTwice,
    /// 3: nothing new to a draining or gone node past the grace.
    Drains,
    /// 4: no cold node pushed over.
    ColdNodes,
    /// No standing connection cut off without `MOVE` while its server answers, or kept once it is lost.
    NoCut,
    /// No line held back, and none made up.
    Lines,
}

#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    #[serde(rename = "what")]
    pub description: String,
    pub at: f64,
    pub proxy: usize,
    /// The call's id, where it is one call's.
    pub call: Option<String>,
    /// What was seen of it, in order: seconds and words.
    pub trace: Vec<(f64, String)>,
}

/// Bytes that go through a proxy one way.
#[derive(Default)]
struct Flow {
    /// Those that came and have not gone on; a buffer that a sound proxy empties at once.
    waiting: VecDeque<u8>,
    /// Whether what has gone on ends within a line.
    within: bool,
    /// Since when some wait.
    since: Option<f64>,
}

impl Flow {
    fn comes(&mut self, now: f64, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.waiting.extend(bytes);
            self.since.get_or_insert(now);
        }
    }

    /// How many of these bytes are the next of those that came.
    fn alike(&self, bytes: &[u8]) -> usize {
        self.waiting.iter().zip(bytes).take_while(|(a, b)| a == b).count()
    }

    /// So many of these have gone on.
    fn goes(&mut self, now: f64, bytes: &[u8]) {
        self.waiting.drain(..bytes.len());
        self.since = (!self.waiting.is_empty()).then_some(now);
        self.within = bytes.last().map_or(self.within, |last| *last != b'\n');
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
    Out,
    Up,
    /// It provably never ran.
    Never,
    /// It may have.
    Perhaps,
}

struct Leg {
    proxy: usize,
    node: usize,
    call: Option<u64>,
    /// The first line, until it is whole; when its first byte and its last were written.
    head: Bytes,
    first: Option<f64>,
    sent: Option<f64>,
    /// The answer's line, until it is whole, and the receipt of an `UP`.
    answer: Bytes,
    receipt: Option<Bytes>,
    outcome: Outcome,
    down: Flow,
    up: Flow,
    heard: f64,
    /// Its last line told of the end.
    farewell: bool,
    tail: Bytes,
    far_ended: Option<f64>,
    proxy_ended: Option<f64>,
}

/// Whether a proxy's processes have been killed, and what is owed then.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Killed {
    No,
    /// Outright: what they held is their clients' to repeat.
    Outright,
    /// After a signal to stop and the time that it leaves: all should have been answered and sent away.
    AfterStop,
}

enum Seen {
    Client(Option<u64>, Bytes),
    Leg(Box<Leg>),
    Watch(Watch),
    Bad,
    Front,
}

/// A watch as it is read: the line under way.
#[derive(Default)]
struct Watch {
    line: Vec<u8>,
}

struct Call {
    proxy: usize,
    link: LinkKey,
    kind: usize,
    until: f64,
    put_back: bool,
    legs: Vec<LinkKey>,
    /// The first leg that may have run: when it was sent, and to which node.
    ran: Option<(f64, usize)>,
    sent: u32,
    answered: bool,
    standing: Option<LinkKey>,
    /// The proxy's own word to a standing client, so far.
    own: Bytes,
    answer: Bytes,
    /// The client's line that nothing has come back for.
    unanswered: Option<f64>,
    server_ended: Option<f64>,
    trace: Vec<(f64, String)>,
}

struct Told {
    /// Since when the proxy has been told that the node is not to be used; when at the latest it counts as told.
    away: Option<f64>,
    away_by: Option<f64>,
    /// The same for the node's latest start: its time, and when it was told or counts as told.
    start: Option<(f64, f64)>,
}

pub struct Auditor {
    kinds: Vec<(String, Repeatability, Scope, f64)>,
    most_legs: u32,
    second_copies: bool,
    grace: f64,
    cold_start: ColdStartRule,
    /// Nodes' sizes in standard cores, and what was sent to each while it was cold.
    cores: Vec<f64>,
    cold: Vec<ColdNode>,
    places: Vec<(usize, u64)>,
    names: BTreeMap<String, usize>,
    /// By key and not by slot: a leg may be needed after its link has gone, as lines of it are still on their way, and the
    /// slot is another link's by then.
    seen: BTreeMap<LinkKey, Seen>,
    calls: BTreeMap<u64, Call>,
    /// Calls that ended a moment ago, for hosts whose proxies learn of it a moment later.
    past: VecDeque<(f64, u64)>,
    told: Vec<Vec<Told>>,
    /// Legs that seemed to overlap: the earlier, and since when.
    overlaps: Vec<(LinkKey, u64, f64)>,
    killed: Vec<Killed>,
    /// How much later than the edge a proxy may see things: 0 in simulated time, a little on sockets.
    pub observation_slack: f64,
    pub seed: u64,
    pub violations: Vec<Violation>,
    /// Calls taken so far, and how many of them got which answer; for the count that none is missing.
    pub calls_accepted: u64,
    pub answer_counts: [u64; 3],
    next_second: f64,
}

/// Each time limit is this much longer on sockets, and for what travels.
const SLACK: f64 = 0.05;
/// What discovery has to tell counts as told after this, whether it arrived or not.
const DEEMED_TOLD: f64 = 6.0;
/// A line is not held for longer.
const HELD: f64 = 1.0;
/// A connection that its server has ended is ended or moved by then, a silent one by that.
const SERVER_ENDED: f64 = 1.0;
const SILENT: f64 = 7.0;
/// A server that has said something so lately still answers.
const ANSWERS: f64 = 4.0;
/// But not one that leaves a line without an answer for so long.
const NO_ANSWER: f64 = 2.0;
/// Nor one that stopped within a line so long ago.
const STUCK: f64 = 0.8;
/// So many breaches are kept.
const KEPT: usize = 100;

/// Whether the proxy has begun to say its own last word.
fn call_is_told(calls: &BTreeMap<u64, Call>, id: u64) -> bool {
    calls.get(&id).is_some_and(|c| !c.own.is_empty())
}

fn field<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end().chars().take(120).collect()
}

impl Auditor {
    pub(crate) fn new<C>(of: &Experiment, seed: u64, nodes: &[Node<C>], names: &[String]) -> Auditor {
        let told = || Told { away: None, away_by: None, start: None };
        Auditor {
            kinds: of.traffic.iter().map(|t| (t.name.clone(), t.repeatability, t.scope, t.window)).collect(),
            most_legs: of.rules.max_legs,
            second_copies: of.rules.second_copies,
            grace: of.rules.drain_grace,
            cold_start: ColdStartRule::of(of),
            cores: nodes.iter().map(|n| n.warm_capacity).collect(),
            cold: nodes.iter().map(|_| ColdNode::default()).collect(),
            places: nodes.iter().map(|n| (n.zone, n.cell)).collect(),
            names: names.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect(),
            seen: BTreeMap::new(),
            calls: BTreeMap::new(),
            past: VecDeque::new(),
            told: (0..of.fleet.proxies).map(|_| (0..nodes.len()).map(|_| told()).collect()).collect(),
            overlaps: Vec::new(),
            killed: vec![Killed::No; of.fleet.proxies],
            observation_slack: 0.0,
            seed,
            violations: Vec::new(),
            calls_accepted: 0,
            answer_counts: [0; 3],
            next_second: 0.0,
        }
    }

    fn breach(&mut self, now: f64, rule: Rule, proxy: usize, call: Option<u64>, what: String) {
        if self.violations.len() >= KEPT {
            return;
        }
        let trace = call.and_then(|c| self.calls.get(&c)).map_or(Vec::new(), |c| c.trace.clone());
        let call = call.map(|c| format!("{c:016x}"));
        self.violations.push(Violation { rule, description: what, at: now, proxy, call, trace });
    }

    fn trace(&mut self, now: f64, call: Option<u64>, what: impl FnOnce() -> String) {
        if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)) {
            // A call's story is short; what stands for minutes and moves many lines is not told line by line.
            if call.trace.len() < 64 {
                call.trace.push((now, what()));
            }
        }
    }

    // What the world tells of the wires.

    pub(crate) fn connected(&mut self, _now: f64, key: LinkKey, _proxy: usize, far: Peer) {
        let seen = match far {
            Peer::Client(_) => Seen::Client(None, Bytes::new()),
            Peer::Bad(_) => Seen::Bad,
            _ => Seen::Front,
        };
        self.seen.insert(key, seen);
    }

    pub(crate) fn dialled(&mut self, now: f64, key: LinkKey, proxy: usize, node: usize) {
        let leg = Leg {
            proxy,
            node,
            call: None,
            head: Bytes::new(),
            first: None,
            sent: None,
            answer: Bytes::new(),
            receipt: None,
            outcome: Outcome::Out,
            down: Flow::default(),
            up: Flow::default(),
            heard: now,
            farewell: false,
            tail: Bytes::new(),
            far_ended: None,
            proxy_ended: None,
        };
        self.seen.insert(key, Seen::Leg(Box::new(leg)));
    }

    pub(crate) fn refused(&mut self, _now: f64, key: LinkKey) {
        self.seen.remove(&key);
    }

    /// Bytes reach a proxy.
    pub(crate) fn toward(&mut self, now: f64, key: LinkKey, proxy: usize, bytes: &[u8]) {
        match self.seen.get_mut(&key) {
            Some(Seen::Client(None, line)) => {
                line.extend_from_slice(bytes);
                if let Some(end) = line.iter().position(|b| *b == b'\n') {
                    let head = String::from_utf8_lossy(&line[..end]).trim_end().to_owned();
                    let rest = Bytes::from_slice(&line[end + 1..]);
                    *line = Bytes::new();
                    self.taken(now, key, proxy, &head);
                    if !rest.is_empty() {
                        self.toward(now, key, proxy, &rest);
                    }
                }
            }
            Some(Seen::Client(Some(call), _)) => {
                let call = *call;
                if let Some(one) = self.calls.get_mut(&call) {
                    one.unanswered.get_or_insert(now);
                    if let Some(leg) = one.standing {
                        if let Some(Seen::Leg(leg)) = self.seen.get_mut(&leg) {
                            leg.up.comes(now, bytes);
                        }
                    }
                }
            }
            Some(Seen::Leg(_)) => self.node_said(now, key, bytes),
            Some(Seen::Watch(_)) => self.watch_said(now, key, proxy, bytes),
            Some(Seen::Bad | Seen::Front) => {}
            None => {
                // A link that a proxy dialled and that is no node's is its discovery's.
                self.seen.insert(key, Seen::Watch(Watch::default()));
                self.watch_said(now, key, proxy, bytes);
            }
        }
    }

    fn taken(&mut self, now: f64, key: LinkKey, proxy: usize, head: &str) {
        let mut words = head.split(' ');
        let id = words.nth(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        let list = words.nth(1).unwrap_or("");
        let kind = field(list, "c").and_then(|c| self.kinds.iter().position(|k| k.0 == c));
        let within = field(list, "d").and_then(|d| d.parse::<f64>().ok());
        let (Some(id), Some(kind), Some(within)) = (id, kind, within) else { return };
        self.calls_accepted += 1;
        self.seen.insert(key, Seen::Client(Some(id), Bytes::new()));
        let call = Call {
            proxy,
            link: key,
            kind,
            until: now + within / 1e3,
            put_back: field(list, "at").is_some(),
            legs: Vec::new(),
            ran: None,
            sent: 0,
            answered: false,
            standing: None,
            own: Bytes::new(),
            answer: Bytes::new(),
            unanswered: None,
            server_ended: None,
            trace: vec![(now, format!("proxy {proxy} takes '{}'", text(head.as_bytes())))],
        };
        self.calls.insert(id, call);
    }

    /// A node's bytes reach a proxy.
    fn node_said(&mut self, now: f64, key: LinkKey, bytes: &[u8]) {
        let Some(Seen::Leg(leg)) = self.seen.get_mut(&key) else { return };
        leg.heard = now;
        leg.down.comes(now, bytes);
        // A flow that is bound to no client is not held back.
        if leg.outcome != Outcome::Up {
            leg.down.since = None;
        }
        leg.tail.extend_from_slice(bytes);
        let cut = leg.tail.iter().rposition(|b| *b == b'\n');
        if let Some(end) = cut {
            let start = leg.tail[..end].iter().rposition(|b| *b == b'\n').map_or(0, |s| s + 1);
            let last = &leg.tail[start..end];
            leg.farewell = last.starts_with(b"BYE") || last.starts_with(b"MOVE");
            leg.tail.drain(..end + 1);
        }
        let (call, node) = (leg.call, leg.node);
        if leg.outcome == Outcome::Out {
            leg.answer.extend_from_slice(bytes);
            if let Some(end) = leg.answer.iter().position(|b| *b == b'\n') {
                let line = String::from_utf8_lossy(&leg.answer[..end]).trim_end().to_owned();
                leg.answer = Bytes::new();
                leg.outcome = match line.split(' ').next() {
                    Some("UP") => Outcome::Up,
                    Some("BUSY") => Outcome::Never,
                    _ => Outcome::Perhaps,
                };
                leg.receipt = line.strip_prefix("UP ").map(|r| Bytes::from_slice(r.as_bytes()));
                if leg.outcome == Outcome::Up {
                    leg.down.since = Some(now);
                }
                self.trace(now, call, || format!("node {node} answers '{}'", text(line.as_bytes())));
            }
        }
        if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)) {
            if call.standing == Some(key) {
                call.unanswered = None;
            }
        }
    }

    /// A proxy's bytes leave it.
    pub(crate) fn said(&mut self, now: f64, key: LinkKey, proxy: usize, bytes: &[u8]) {
        match self.seen.get(&key) {
            Some(Seen::Client(Some(call), _)) => {
                let call = *call;
                self.client_told(now, call, proxy, bytes);
            }
            Some(Seen::Client(None, _)) => {}
            Some(Seen::Bad) if bytes.starts_with(b"UP") => {
                self.breach(
                    now,
                    Rule::OneAnswer,
                    proxy,
                    None,
                    "a client that can't be read was served".into(),
                );
            }
            Some(Seen::Leg(_)) => self.leg_told(now, key, bytes),
            _ => {}
        }
    }

    fn client_told(&mut self, now: f64, id: u64, proxy: usize, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(leg) = call.standing {
            return self.passed(now, id, leg, proxy, bytes);
        }
        if call.answered {
            let what = format!("after its final answer a client was told '{}'", text(bytes));
            return self.breach(now, Rule::OneAnswer, proxy, Some(id), what);
        }
        call.answer.extend_from_slice(bytes);
        let Some(end) = call.answer.iter().position(|b| *b == b'\n') else { return };
        let all = std::mem::take(&mut call.answer);
        let line = String::from_utf8_lossy(&all[..end]).trim_end().to_owned();
        call.answered = true;
        let (until, kind, legs) = (call.until, call.kind, call.legs.clone());
        self.trace(now, Some(id), || format!("its client is told '{}'", text(line.as_bytes())));
        if now > until + SLACK + self.observation_slack {
            let what = format!("its final answer came {:.3} s after its guard time", now - until);
            self.breach(now, Rule::OneAnswer, proxy, Some(id), what);
        }
        match line.split(' ').next() {
            Some("UP") => {
                self.answer_counts[0] += 1;
                let receipt = line.strip_prefix("UP ").unwrap_or("").as_bytes();
                let bound = legs.iter().copied().find(|l| {
                    matches!(self.seen.get(l), Some(Seen::Leg(leg)) if leg.receipt.as_deref() == Some(receipt))
                });
                match bound {
                    Some(leg) => {
                        if let Some(call) = self.calls.get_mut(&id) {
                            call.standing = Some(leg);
                        }
                        self.passed(now, id, leg, proxy, &all);
                    }
                    None => {
                        let what = format!("told '{line}', which no server said for it");
                        self.breach(now, Rule::OneAnswer, proxy, Some(id), what);
                    }
                }
            }
            Some("BUSY") => {
                self.answer_counts[1] += 1;
                let harmless = match (self.kinds[kind].1, self.kinds[kind].2) {
                    (Repeatability::Repeatable, _) | (Repeatability::Referenced, Scope::All) => true,
                    _ => legs.iter().all(|l| self.outcome(*l) == Outcome::Never),
                } || self.calls[&id].ran.is_none()
                    && legs.iter().all(|l| self.outcome(*l) == Outcome::Never);
                if !harmless {
                    let what = "rejected, though a leg of it may have run".into();
                    self.breach(now, Rule::NoEffectTwice, proxy, Some(id), what);
                }
            }
            _ => self.answer_counts[2] += 1,
        }
        if all.len() > end + 1 && self.calls.get(&id).is_some_and(|c| c.standing.is_none()) {
            let what = format!("after its final answer a client was told '{}'", text(&all[end + 1..]));
            self.breach(now, Rule::OneAnswer, proxy, Some(id), what);
        }
    }

    /// What becomes of a leg, as far as the proxy can know; one whose first line was not whole never ran.
    fn outcome(&self, key: LinkKey) -> Outcome {
        match self.seen.get(&key) {
            Some(Seen::Leg(leg)) if leg.sent.is_none() => Outcome::Never,
            Some(Seen::Leg(leg))
                if leg.outcome == Outcome::Out && leg.far_ended.or(leg.proxy_ended).is_some() =>
            {
                Outcome::Perhaps
            }
            Some(Seen::Leg(leg)) => leg.outcome,
            _ => Outcome::Never,
        }
    }

    /// Bytes to a standing client: what its node said, and at the end perhaps the proxy's `MOVE`.
    fn passed(&mut self, now: f64, id: u64, leg: LinkKey, proxy: usize, bytes: &[u8]) {
        let Some(Seen::Leg(bound)) = self.seen.get_mut(&leg) else {
            return self.own_word(now, id, proxy, bytes);
        };
        let mut passed = if call_is_told(&self.calls, id) { 0 } else { bound.down.alike(bytes) };
        if passed < bytes.len() {
            // The proxy's own word stands behind a whole line, and may begin as the server's next does.
            let starts = |at: usize| at == 0 && !bound.down.within || at > 0 && bytes[at - 1] == b'\n';
            passed = (0..=passed).rev().find(|at| starts(*at)).unwrap_or(passed);
        }
        bound.down.goes(now, &bytes[..passed]);
        if passed < bytes.len() {
            self.own_word(now, id, proxy, &bytes[passed..]);
        }
    }

    fn own_word(&mut self, now: f64, id: u64, proxy: usize, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.own.extend_from_slice(bytes);
        let own = call.own.clone();
        if !b"MOVE\r\n".starts_with(&own[..]) {
            let what = format!("a standing client was told '{}', which its server did not say", text(&own));
            self.breach(now, Rule::Lines, proxy, Some(id), what);
        } else if own.len() == 6 {
            self.trace(now, Some(id), || "its client is told 'MOVE'".into());
        }
    }

    fn leg_told(&mut self, now: f64, key: LinkKey, bytes: &[u8]) {
        let Some(Seen::Leg(leg)) = self.seen.get_mut(&key) else { return };
        let (proxy, call) = (leg.proxy, leg.call);
        if leg.sent.is_some() {
            let alike = leg.up.alike(bytes);
            leg.up.goes(now, &bytes[..alike]);
            if alike < bytes.len() {
                let what = "a server was told other bytes than its client said".into();
                self.breach(now, Rule::Lines, proxy, call, what);
            }
            return;
        }
        leg.first.get_or_insert(now);
        leg.head.extend_from_slice(bytes);
        let Some(end) = leg.head.iter().position(|b| *b == b'\n') else { return };
        let head = String::from_utf8_lossy(&leg.head[..end]).trim_end().to_owned();
        let rest = Bytes::from_slice(&leg.head[end + 1..]);
        leg.head = Bytes::new();
        leg.sent = Some(now);
        self.leg_sent(now, key, &head);
        if !rest.is_empty() {
            self.leg_told(now, key, &rest);
        }
    }

    /// A leg counts: its first line has left to the last byte.
    fn leg_sent(&mut self, now: f64, key: LinkKey, head: &str) {
        let Some(Seen::Leg(leg)) = self.seen.get_mut(&key) else { return };
        let (proxy, node, first) = (leg.proxy, leg.node, leg.first.unwrap_or(now));
        let id = head.split(' ').nth(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        leg.call = id;
        let Some((id, call)) = id.and_then(|id| Some((id, self.calls.get_mut(&id)?))) else {
            let lately = id.is_some_and(|id| self.past.iter().any(|(_, p)| *p == id));
            if !lately {
                let what = format!(
                    "a leg to node {node} for a call that is over or never came: '{}'",
                    text(head.as_bytes())
                );
                self.breach(now, Rule::OneAnswer, proxy, None, what);
            }
            return;
        };
        let (earlier, kind, ran) = (call.legs.clone(), call.kind, call.ran);
        call.legs.push(key);
        call.sent += 1;
        let (sent, answered, put_back) = (call.sent, call.answered, call.put_back);
        self.trace(now, Some(id), || format!("leg {sent} goes to node {node}"));
        if answered {
            return self.breach(now, Rule::OneAnswer, proxy, Some(id), "a leg after the final answer".into());
        }
        if put_back {
            return;
        }
        self.cold_node_sent(now, proxy, node);
        if sent > self.most_legs {
            let what = format!("leg {sent}, where {} are allowed", self.most_legs);
            self.breach(now, Rule::NoEffectTwice, proxy, Some(id), what);
        }
        let outcomes: Vec<Outcome> = earlier.iter().map(|l| self.outcome(*l)).collect();
        if !self.second_copies {
            for (leg, outcome) in earlier.iter().zip(&outcomes) {
                if *outcome == Outcome::Out {
                    self.overlaps.push((*leg, id, now));
                }
            }
            self.settle_overlaps(now);
        }
        let (_, effect, scope, window) = &self.kinds[kind];
        let may_have_run = ran.is_some() || outcomes.iter().any(|o| *o != Outcome::Never);
        match effect {
            Repeatability::Repeatable => {}
            Repeatability::OnceOnly if may_have_run => {
                let what = "a further leg of a once-only call, though an earlier one may have run".into();
                self.breach(now, Rule::NoEffectTwice, proxy, Some(id), what);
            }
            Repeatability::OnceOnly => {}
            Repeatability::Referenced => {
                let (scope, window) = (*scope, *window);
                if let Some((at, other)) = ran {
                    let (one, two) = (self.places[other], self.places[node]);
                    let in_group = match scope {
                        Scope::All => true,
                        Scope::Zone => one.0 == two.0,
                        Scope::Cell => one == two,
                    };
                    if !in_group || now - at > window + SLACK + self.observation_slack {
                        let what =
                            "a referenced call that may have run was sent outside its group or window".into();
                        self.breach(now, Rule::NoEffectTwice, proxy, Some(id), what);
                    }
                }
            }
        }
        let told = &self.told[proxy][node];
        let away = [told.away, told.away_by].into_iter().flatten().reduce(f64::min);
        if away.is_some_and(|at| first > at + self.grace + SLACK + self.observation_slack) {
            let late = first - away.unwrap_or(first);
            let what = format!(
                "a leg to node {node}, {late:.3} s after the proxy was told that it drains or is gone"
            );
            self.breach(now, Rule::Drains, proxy, Some(id), what);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            // Until it is known otherwise, this one may run.
            call.ran = call.ran.or(Some((now, node)));
        }
    }

    /// Counts what proxies that have been told of a node's start send it while it is cold.
    fn cold_node_sent(&mut self, now: f64, proxy: usize, node: usize) {
        let Some((started, told)) = self.told[proxy][node].start else { return };
        if told > now || !started.is_finite() {
            return;
        }
        let found = self.cold[node].sent(now, started, self.cores[node], &self.cold_start);
        if let Some((sent, most)) = found {
            let what = format!(
                "cold node {node} was sent {sent} requests in a window, {:.3} s after its start, of {most:.1} allowed",
                now - started
            );
            self.breach(now, Rule::ColdNodes, proxy, None, what);
        }
    }

    fn settle_overlaps(&mut self, now: f64) {
        let slack = self.observation_slack;
        let mut broken = Vec::new();
        let seen = &self.seen;
        self.overlaps.retain(|(leg, id, at)| {
            let out = matches!(seen.get(leg), Some(Seen::Leg(l)) if l.outcome == Outcome::Out
                && l.proxy_ended.is_none() && l.far_ended.is_none());
            if out && now - at >= slack {
                broken.push(*id);
            }
            out && now - at < slack
        });
        for id in broken {
            let proxy = self.calls.get(&id).map_or(0, |c| c.proxy);
            self.breach(now, Rule::NoEffectTwice, proxy, Some(id), "two legs of it were out at once".into());
        }
    }

    /// The far side of a link has ended, as the proxy sees it.
    pub(crate) fn far_ended(&mut self, now: f64, key: LinkKey, how: EndKind) {
        match self.seen.get_mut(&key) {
            Some(Seen::Client(call, _)) => {
                let call = *call;
                self.trace(now, call, || format!("its client ends ({how:?})"));
                if let Some(id) = call {
                    if let Some(one) = self.calls.get(&id) {
                        let (answered, until, proxy) = (one.answered, one.until, one.proxy);
                        if !answered && now > until + SLACK + self.observation_slack {
                            self.breach(
                                now,
                                Rule::OneAnswer,
                                proxy,
                                Some(id),
                                "no answer by its guard time".into(),
                            );
                        }
                    }
                    self.over(now, id);
                }
                self.seen.remove(&key);
            }
            Some(Seen::Leg(leg)) => {
                let (call, node) = (leg.call, leg.node);
                leg.far_ended = leg.far_ended.or(Some(now));
                if leg.outcome == Outcome::Never {
                    // What the proxy was told in between: it never ran.
                    self.never_ran(key);
                }
                if let Some(one) = call.and_then(|c| self.calls.get_mut(&c)) {
                    if one.standing == Some(key) {
                        one.server_ended = one.server_ended.or(Some(now));
                    }
                }
                self.trace(now, call, || format!("node {node} ends its leg ({how:?})"));
                self.forget_leg(key);
            }
            Some(Seen::Watch(_) | Seen::Bad | Seen::Front) => {
                self.seen.remove(&key);
            }
            None => {}
        }
    }

    /// A leg that was turned away counts as one that never ran.
    fn never_ran(&mut self, key: LinkKey) {
        let Some(Seen::Leg(leg)) = self.seen.get(&key) else { return };
        let (sent, call) = (leg.sent, leg.call);
        if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)) {
            if call.ran.is_some_and(|(at, _)| Some(at) == sent) {
                call.ran = None;
            }
        }
    }

    /// The proxy has ended its side of a link.
    pub(crate) fn proxy_ended(&mut self, now: f64, key: LinkKey, how: EndKind) {
        match self.seen.get_mut(&key) {
            Some(Seen::Client(Some(id), _)) => {
                let id = *id;
                self.trace(now, Some(id), || format!("the proxy ends its client's link ({how:?})"));
                self.client_cut(now, id);
                if how != EndKind::Finished {
                    self.seen.remove(&key);
                }
            }
            Some(Seen::Leg(leg)) => {
                let (call, node) = (leg.call, leg.node);
                leg.proxy_ended = leg.proxy_ended.or(Some(now));
                if leg.outcome == Outcome::Never {
                    self.never_ran(key);
                }
                self.trace(now, call, || format!("the proxy ends its leg to node {node} ({how:?})"));
                if how != EndKind::Finished {
                    self.forget_leg(key);
                }
            }
            Some(Seen::Client(None, _) | Seen::Watch(_) | Seen::Bad | Seen::Front)
                if how != EndKind::Finished =>
            {
                self.seen.remove(&key);
            }
            _ => {}
        }
    }

    /// A leg's place is given back once nothing hangs on it.
    fn forget_leg(&mut self, key: LinkKey) {
        if let Some(Seen::Leg(leg)) = self.seen.get(&key) {
            let open = leg.call.is_some_and(|c| self.calls.contains_key(&c));
            if !open {
                self.seen.remove(&key);
            }
        }
    }

    /// A client's link is ended by its proxy: with what right?
    fn client_cut(&mut self, now: f64, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let proxy = call.proxy;
        if self.killed[proxy] == Killed::Outright {
            // The kernel ends what a killed process held; that is its client's to repeat.
        } else if !call.answered {
            self.breach(now, Rule::OneAnswer, proxy, Some(id), "its link was ended without an answer".into());
        } else if let Some(leg) = call.standing {
            let moved = call.own.len() == 6;
            // One that has vanished was heard lately too, and answers no more; within a line there is no place for MOVE.
            let waits = call.unanswered.is_some_and(|at| now - at > NO_ANSWER);
            let answers = match self.seen.get(&leg) {
                Some(Seen::Leg(leg)) => {
                    let stuck = !leg.tail.is_empty() && now - leg.heard > STUCK;
                    leg.far_ended.is_none() && !leg.farewell && now - leg.heard < ANSWERS && !waits && !stuck
                }
                _ => false,
            };
            if !moved && answers {
                let what = "a standing connection was cut off without MOVE while its server answers".into();
                self.breach(now, Rule::NoCut, proxy, Some(id), what);
            }
        }
        self.over(now, id);
    }

    /// A call is over: nothing more is owed for it.
    fn over(&mut self, now: f64, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.past.push_back((now, id));
        for leg in call.legs {
            let gone =
                matches!(self.seen.get(&leg), Some(Seen::Leg(l)) if l.far_ended.or(l.proxy_ended).is_some());
            if gone {
                self.seen.remove(&leg);
            }
        }
    }

    fn watch_said(&mut self, now: f64, key: LinkKey, proxy: usize, bytes: &[u8]) {
        let Some(Seen::Watch(watch)) = self.seen.get_mut(&key) else { return };
        watch.line.extend_from_slice(bytes);
        let mut lists: Vec<Value> = Vec::new();
        while let Some(end) = watch.line.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = watch.line.drain(..=end).collect();
            // Chunk sizes, heads and empty lines are no lists.
            if line.first() == Some(&b'{') {
                lists.extend(serde_json::from_slice::<Value>(&line));
            }
        }
        for list in lists {
            let whole = list["whole"] == Value::Bool(true);
            let mut named = vec![false; self.places.len()];
            for host in list["hosts"].as_array().into_iter().flatten() {
                let Some(&node) = host["host"].as_str().and_then(|name| self.names.get(name)) else {
                    continue;
                };
                named[node] = true;
                let ready = host["health"] == "ready";
                let born = host["born_ms"].as_f64().filter(|b| *b > 0.0);
                let told = &mut self.told[proxy][node];
                if ready {
                    (told.away, told.away_by) = (None, None);
                    if born.is_some() {
                        let start = told.start.map_or(f64::NEG_INFINITY, |s| s.0);
                        told.start = Some((start, now));
                    }
                } else {
                    told.away = told.away.or(Some(now));
                }
            }
            for (node, _) in named.iter().enumerate().filter(|(_, n)| whole && !**n) {
                let told = &mut self.told[proxy][node];
                told.away = told.away.or(Some(now));
            }
        }
    }

    /// The agent on the proxy's machine has it: it counts as told by then, whether it is written or not.
    pub(crate) fn agent_has(&mut self, now: f64, proxy: usize, node: usize, ready: bool, started: f64) {
        let told = &mut self.told[proxy][node];
        if ready {
            (told.away, told.away_by) = (None, None);
            told.start = Some((started, now + DEEMED_TOLD));
        } else {
            told.away_by = told.away_by.or(Some(now + DEEMED_TOLD));
        }
    }

    pub(crate) fn proxy_up(&mut self, now: f64, proxy: usize) {
        self.killed[proxy] = Killed::No;
        for told in &mut self.told[proxy] {
            // A new process is told anew; what its agent holds counts as told to it a while later.
            if told.away.take().is_some() || told.away_by.is_some() {
                told.away_by = Some(now + DEEMED_TOLD);
            }
        }
    }

    /// A proxy's processes are killed, after they were told to stop or outright.
    pub(crate) fn killed(&mut self, proxy: usize, after_stop: bool) {
        self.killed[proxy] = if after_stop { Killed::AfterStop } else { Killed::Outright };
    }

    /// A proxy's processes have ended. Killed outright, they owe nothing; by themselves, or killed after the time that a stop
    /// leaves, they must have answered all and sent all away.
    pub(crate) fn proxy_down(&mut self, now: f64, proxy: usize) {
        let killed = self.killed[proxy];
        let word = if killed == Killed::AfterStop { "is killed" } else { "ends" };
        let held: Vec<u64> = self.calls.iter().filter(|(_, c)| c.proxy == proxy).map(|(id, _)| *id).collect();
        for id in held {
            if killed == Killed::Outright {
                self.over(now, id);
            } else {
                self.trace(now, Some(id), || format!("the proxy's process {word}"));
                self.client_cut(now, id);
            }
        }
        let links: Vec<LinkKey> = self
            .seen
            .iter()
            .filter(|(_, s)| matches!(s, Seen::Leg(l) if l.proxy == proxy))
            .map(|(k, _)| *k)
            .collect();
        for key in links {
            self.seen.remove(&key);
        }
    }

    /// A cold node has fallen over: whose doing was it?
    pub(crate) fn fell(&mut self, now: f64, node: usize, started: f64, brought: &[(f64, usize, f64)]) {
        let mut all = 0.0;
        let mut informed = 0.0;
        let mut most = (0.0, 0);
        for (at, proxy, load) in brought {
            all += load;
            let told = self.told[*proxy][node].start;
            if told.is_some_and(|(start, by)| start >= started - 1e-6 && by <= *at) {
                informed += load;
                if *load > most.0 {
                    most = (*load, *proxy);
                }
            }
        }
        if all > 0.0 && informed >= all * 2.0 / 3.0 {
            let what = format!(
                "cold node {node} was pushed over: {} connections in the rule's time, {:.0} in a hundred of their load by \
                 proxies that knew of its start",
                brought.len(),
                informed / all * 100.0
            );
            self.breach(now, Rule::ColdNodes, most.1, None, what);
        }
    }

    /// A regular look at what only time breaks.
    pub(crate) fn look(&mut self, now: f64) {
        self.settle_overlaps(now);
        while self.past.front().is_some_and(|(at, _)| now - at > self.observation_slack) {
            self.past.pop_front();
        }
        if now < self.next_second {
            return;
        }
        self.next_second = now + 0.5;
        let mut broken: Vec<(u64, Rule, &str)> = Vec::new();
        for (id, call) in &mut self.calls {
            if !call.answered && now > call.until + SLACK + self.observation_slack + 0.1 {
                broken.push((*id, Rule::OneAnswer, "no answer by its guard time"));
                // Said once.
                call.answered = true;
            }
            let Some(leg) = call.standing else { continue };
            let moved = call.own.len() == 6;
            if call.server_ended.is_some_and(|at| now - at > SERVER_ENDED + SLACK + self.observation_slack)
                && !moved
            {
                broken.push((*id, Rule::NoCut, "its server has ended, and it was neither ended nor moved"));
                call.server_ended = None;
            }
            if call.unanswered.is_some_and(|at| now - at > SILENT + SLACK + self.observation_slack) && !moved
            {
                broken.push((
                    *id,
                    Rule::NoCut,
                    "nothing has come back for seven seconds, and it was not moved",
                ));
                call.unanswered = None;
            }
            if let Some(Seen::Leg(leg)) = self.seen.get_mut(&leg) {
                let late = |since: Option<f64>| since.is_some_and(|at| now - at > HELD + SLACK);
                let open = leg.far_ended.is_none() && leg.proxy_ended.is_none();
                if open && !moved && (late(leg.down.since) || late(leg.up.since)) {
                    broken.push((*id, Rule::Lines, "a line was held back for over a second"));
                    (leg.down.since, leg.up.since) = (None, None);
                }
            }
        }
        for (id, rule, what) in broken {
            let proxy = self.calls.get(&id).map_or(0, |c| c.proxy);
            self.breach(now, rule, proxy, Some(id), what.into());
        }
    }

    /// Calls that are still open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Whose link a call came on, for tests.
    pub fn client_link(&self, call: u64) -> Option<LinkKey> {
        self.calls.get(&call).map(|c| c.link)
    }
}
