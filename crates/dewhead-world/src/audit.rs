//! The auditor checks the rules that a proxy must keep. It observes only the bytes and connection ends at the
//! proxies' edge, has its own reader of the published protocol and shares no code with the proxy. It keeps a
//! record of each open call and reports each violation together with the call's whole trace.

mod cold_start;

use crate::experiment::{Experiment, Repeatability, Scope};
use crate::nodes::Node;
use crate::world::{Bytes, EndKind, LinkKey, Peer};
use cold_start::{ColdNode, ColdStartRule};
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// The rules that are checked. The numbers are those of the published rules.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: each call gets exactly one final answer, within its guard time, and nothing after it.
    OneAnswer,
    /// Rule 2: no call takes effect twice; legs overlap or follow each other only where that is allowed.
    NoEffectTwice,
    /// Rule 3: no new call is sent to a draining or removed node once the drain grace is over.
    Drains,
    /// Rule 4: no cold node is overloaded.
    ColdNodes,
    /// No established connection is closed without `MOVE` while its server responds, or kept after its server
    /// is lost.
    NoCut,
    /// No line is delayed, altered or invented.
    Lines,
}

/// A rule that a proxy has broken, with the evidence.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// What happened, in a sentence.
    #[serde(rename = "what")]
    pub description: String,
    /// Time of the violation, in seconds from the start of the experiment.
    pub at: f64,
    /// Index of the proxy.
    pub proxy: usize,
    /// Id of the call, if the violation concerns a single call.
    pub call: Option<String>,
    /// The observations of the call, in order: time in seconds, and text.
    pub trace: Vec<(f64, String)>,
}

/// The bytes that a proxy forwards in one direction.
#[derive(Default)]
struct Flow {
    /// Bytes that the proxy has received and not yet forwarded. A correct proxy empties this buffer without
    /// delay.
    buffered: VecDeque<u8>,
    /// Whether the bytes forwarded so far end within a line.
    mid_line: bool,
    /// When the oldest wait for the buffered bytes began: when the first of them arrived, or when others were last
    /// forwarded. `None` while nothing counts as held back.
    buffered_since: Option<f64>,
}

impl Flow {
    /// Adds bytes that the proxy has received.
    fn receive(&mut self, now: f64, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.buffered.extend(bytes);
            self.buffered_since.get_or_insert(now);
        }
    }

    /// Returns how many of these bytes match the next bytes in the buffer.
    fn matching_prefix(&self, bytes: &[u8]) -> usize {
        self.buffered.iter().zip(bytes).take_while(|(a, b)| a == b).count()
    }

    /// Removes bytes that the proxy has forwarded.
    fn forward(&mut self, now: f64, bytes: &[u8]) {
        self.buffered.drain(..bytes.len());
        self.buffered_since = (!self.buffered.is_empty()).then_some(now);
        self.mid_line = bytes.last().map_or(self.mid_line, |last| *last != b'\n');
    }
}

/// The result of a leg as far as it can be known at the proxy's edge.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LegOutcome {
    /// No answer yet.
    Pending,
    /// The server has answered `UP`.
    Established,
    /// The call provably did not run at the server.
    NotRun,
    /// The call may have run at the server.
    MayHaveRun,
}

/// An attempt of a call at a node, observed on the proxy's connection to that node.
struct Leg {
    proxy: usize,
    node: usize,
    /// The id of the call, once the first line has been written.
    call: Option<u64>,
    /// The first line until it is complete, and the times when its first and its last byte were written.
    open_line: Bytes,
    first_byte_at: Option<f64>,
    sent_at: Option<f64>,
    /// The server's answer line until it is complete, and the receipt of an `UP`.
    answer_line: Bytes,
    receipt: Option<Bytes>,
    outcome: LegOutcome,
    /// Bytes from the server to the client, and from the client to the server.
    to_client: Flow,
    to_server: Flow,
    /// When the server last wrote something.
    last_received: f64,
    /// Whether the server's last complete line announced the end of the connection.
    announced_end: bool,
    /// The server's current line until it is complete.
    partial_line: Bytes,
    /// When the server, and the proxy, ended the connection.
    server_ended_at: Option<f64>,
    proxy_ended_at: Option<f64>,
}

/// Whether a proxy's processes have been killed, which determines the calls that they had to finish.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum KillState {
    NotKilled,
    /// SIGKILL without a preceding stop: the clients repeat the calls that were open.
    Immediate,
    /// SIGKILL after a stop and the time allowed for it: all calls must have been answered and all clients
    /// sent away.
    AfterStop,
}

/// The state of an observed link, by the kind of its remote end.
enum ObservedLink {
    /// A client, with its call's id once known and its first line until that is complete.
    Client(Option<u64>, Bytes),
    Leg(Box<Leg>),
    Watch(Watch),
    Misbehaving,
    Front,
}

/// A discovery stream, with the line received so far.
#[derive(Default)]
struct Watch {
    line: Vec<u8>,
}

/// A call that is open at a proxy.
struct Call {
    proxy: usize,
    link: LinkKey,
    traffic_type: usize,
    deadline: f64,
    /// Whether the call restores a connection that existed before the start.
    restored: bool,
    legs: Vec<LinkKey>,
    /// The first leg that may have run: the time it was sent, and its node.
    first_run: Option<(f64, usize)>,
    legs_sent: u32,
    answered: bool,
    /// The leg to which the client's connection is bound after `UP`.
    bound_leg: Option<LinkKey>,
    /// The bytes that the proxy itself, rather than the server, has written to a client with an established
    /// connection.
    proxy_line: Bytes,
    /// The answer line until it is complete.
    answer_line: Bytes,
    /// Since when a line of the client has had no response from the server.
    unanswered_since: Option<f64>,
    /// When the server ended the bound leg.
    server_ended_at: Option<f64>,
    trace: Vec<(f64, String)>,
}

/// What a proxy has been informed of about a node.
struct NodeNotice {
    /// When discovery informed the proxy not to use the node, and the latest time by which it counts as
    /// informed.
    unusable_at: Option<f64>,
    unusable_deadline: Option<f64>,
    /// The node's latest start: its time, and when the proxy was informed of it or counts as informed.
    start: Option<(f64, f64)>,
}

/// Observes all links of the proxies and collects the violations of the rules.
pub struct Auditor {
    /// By traffic type: name, repeatability, scope and window of its references.
    traffic_types: Vec<(String, Repeatability, Scope, f64)>,
    max_legs: u32,
    second_copies: bool,
    drain_grace: f64,
    cold_start: ColdStartRule,
    /// By node: the capacity in standard cores, and the calls sent to it while it was cold.
    cores: Vec<f64>,
    cold_nodes: Vec<ColdNode>,
    /// By node: its zone and cell.
    node_locations: Vec<(usize, u64)>,
    /// Indices of the nodes by their names in discovery.
    node_names: BTreeMap<String, usize>,
    /// The observed links. They are stored by key, not by slot: a leg can outlive its link, because lines of
    /// it are still on their way through the proxy, and the slot may have been given to another link by then.
    links: BTreeMap<LinkKey, ObservedLink>,
    calls: BTreeMap<u64, Call>,
    /// Calls that ended a moment ago, with the time. A proxy on sockets observes an end slightly later.
    recent_calls: VecDeque<(f64, u64)>,
    /// By proxy and node.
    notices: Vec<Vec<NodeNotice>>,
    /// Legs that appear to overlap: the earlier leg, the call, and since when.
    overlaps: Vec<(LinkKey, u64, f64)>,
    kill_states: Vec<KillState>,
    /// How much later than the auditor a proxy may observe the same event, in seconds: 0 in simulated time,
    /// more on sockets.
    pub observation_slack: f64,
    /// The seed of the experiment.
    pub seed: u64,
    /// The violations found, in order; at most `MAX_VIOLATIONS` are kept.
    pub violations: Vec<Violation>,
    /// The number of calls accepted.
    pub calls_accepted: u64,
    /// The number of answers by kind (`UP`, `BUSY`, other), to check against `calls_accepted` that none is
    /// missing.
    pub answer_counts: [u64; 3],
    next_check: f64,
}

/// Tolerance added to each time limit, in seconds, for data in transit.
const TIME_TOLERANCE: f64 = 0.05;
/// Time after which a proxy counts as informed of a change that its discovery agent has, whether the update
/// arrived or not, in seconds.
const NOTICE_DEADLINE: f64 = 6.0;
/// Longest time for which a proxy may hold a line back, in seconds.
const MAX_LINE_DELAY: f64 = 1.0;
/// Time within which a proxy ends or moves a connection, in seconds: after its server has ended it, and after
/// its server has become silent.
const SERVER_END_DEADLINE: f64 = 1.0;
const SILENCE_DEADLINE: f64 = 7.0;
/// A server that has written something within this time counts as responding, in seconds.
const RESPONSE_WINDOW: f64 = 4.0;
/// A server that leaves a line unanswered for longer than this does not count as responding, in seconds.
const UNANSWERED_LIMIT: f64 = 2.0;
/// Neither does a server that stopped within a line longer ago than this, in seconds.
const PARTIAL_LINE_LIMIT: f64 = 0.8;
/// Limit on the number of violations kept.
const MAX_VIOLATIONS: usize = 100;

/// Whether the proxy has begun to write its own line to the client.
fn proxy_line_started(calls: &BTreeMap<u64, Call>, id: u64) -> bool {
    calls.get(&id).is_some_and(|c| !c.proxy_line.is_empty())
}

/// Returns the value of a named field of a comma-separated `name=value` list.
fn field_value<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// The start of a message as text for a trace.
fn trace_excerpt(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).trim_end().chars().take(120).collect()
}

impl Auditor {
    pub(crate) fn new<C>(
        experiment: &Experiment,
        seed: u64,
        nodes: &[Node<C>],
        node_names: &[String],
    ) -> Auditor {
        let notice = || NodeNotice { unusable_at: None, unusable_deadline: None, start: None };
        Auditor {
            traffic_types: experiment
                .traffic
                .iter()
                .map(|t| (t.name.clone(), t.repeatability, t.scope, t.window))
                .collect(),
            max_legs: experiment.rules.max_legs,
            second_copies: experiment.rules.second_copies,
            drain_grace: experiment.rules.drain_grace,
            cold_start: ColdStartRule::new(experiment),
            cores: nodes.iter().map(|n| n.warm_capacity).collect(),
            cold_nodes: nodes.iter().map(|_| ColdNode::default()).collect(),
            node_locations: nodes.iter().map(|n| (n.zone, n.cell)).collect(),
            node_names: node_names.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect(),
            links: BTreeMap::new(),
            calls: BTreeMap::new(),
            recent_calls: VecDeque::new(),
            notices: (0..experiment.fleet.proxies)
                .map(|_| (0..nodes.len()).map(|_| notice()).collect())
                .collect(),
            overlaps: Vec::new(),
            kill_states: vec![KillState::NotKilled; experiment.fleet.proxies],
            observation_slack: 0.0,
            seed,
            violations: Vec::new(),
            calls_accepted: 0,
            answer_counts: [0; 3],
            next_check: 0.0,
        }
    }

    /// Stores a violation with the trace of its call.
    fn report_violation(
        &mut self,
        now: f64,
        rule: Rule,
        proxy: usize,
        call: Option<u64>,
        description: String,
    ) {
        if self.violations.len() >= MAX_VIOLATIONS {
            return;
        }
        let trace = call.and_then(|c| self.calls.get(&c)).map_or(Vec::new(), |c| c.trace.clone());
        let call = call.map(|c| format!("{c:016x}"));
        self.violations.push(Violation { rule, description, at: now, proxy, call, trace });
    }

    /// Adds an observation to the trace of an open call.
    fn record_trace(&mut self, now: f64, call: Option<u64>, describe: impl FnOnce() -> String) {
        if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)) {
            // Bounds the trace: a connection that stays established for minutes forwards many lines.
            if call.trace.len() < 64 {
                call.trace.push((now, describe()));
            }
        }
    }

    // Observations that the world reports.

    /// A client or the front layer has connected to a proxy.
    pub(crate) fn on_connected(&mut self, _now: f64, key: LinkKey, _proxy: usize, peer: Peer) {
        let link = match peer {
            Peer::Client(_) => ObservedLink::Client(None, Bytes::new()),
            Peer::Misbehaving(_) => ObservedLink::Misbehaving,
            _ => ObservedLink::Front,
        };
        self.links.insert(key, link);
    }

    /// A proxy has begun to connect to a node.
    pub(crate) fn on_dial(&mut self, now: f64, key: LinkKey, proxy: usize, node: usize) {
        let leg = Leg {
            proxy,
            node,
            call: None,
            open_line: Bytes::new(),
            first_byte_at: None,
            sent_at: None,
            answer_line: Bytes::new(),
            receipt: None,
            outcome: LegOutcome::Pending,
            to_client: Flow::default(),
            to_server: Flow::default(),
            last_received: now,
            announced_end: false,
            partial_line: Bytes::new(),
            server_ended_at: None,
            proxy_ended_at: None,
        };
        self.links.insert(key, ObservedLink::Leg(Box::new(leg)));
    }

    /// A connection that a proxy has begun was refused.
    pub(crate) fn on_refused(&mut self, _now: f64, key: LinkKey) {
        self.links.remove(&key);
    }

    /// Bytes have arrived at a proxy.
    pub(crate) fn on_bytes_received(&mut self, now: f64, key: LinkKey, proxy: usize, bytes: &[u8]) {
        match self.links.get_mut(&key) {
            Some(ObservedLink::Client(None, line)) => {
                line.extend_from_slice(bytes);
                if let Some(end) = line.iter().position(|b| *b == b'\n') {
                    let open_line = String::from_utf8_lossy(&line[..end]).trim_end().to_owned();
                    let rest = Bytes::from_slice(&line[end + 1..]);
                    *line = Bytes::new();
                    self.on_call(now, key, proxy, &open_line);
                    if !rest.is_empty() {
                        self.on_bytes_received(now, key, proxy, &rest);
                    }
                }
            }
            Some(ObservedLink::Client(Some(call), _)) => {
                let call = *call;
                if let Some(open_call) = self.calls.get_mut(&call) {
                    open_call.unanswered_since.get_or_insert(now);
                    if let Some(leg) = open_call.bound_leg {
                        if let Some(ObservedLink::Leg(leg)) = self.links.get_mut(&leg) {
                            leg.to_server.receive(now, bytes);
                        }
                    }
                }
            }
            Some(ObservedLink::Leg(_)) => self.on_node_bytes(now, key, bytes),
            Some(ObservedLink::Watch(_)) => self.on_watch_bytes(now, key, proxy, bytes),
            Some(ObservedLink::Misbehaving | ObservedLink::Front) => {}
            None => {
                // A link that a proxy opened and that does not lead to a node leads to its discovery agent.
                self.links.insert(key, ObservedLink::Watch(Watch::default()));
                self.on_watch_bytes(now, key, proxy, bytes);
            }
        }
    }

    /// A call's first line has arrived at a proxy.
    fn on_call(&mut self, now: f64, key: LinkKey, proxy: usize, open_line: &str) {
        let mut words = open_line.split(' ');
        let id = words.nth(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        let list = words.nth(1).unwrap_or("");
        let traffic_type =
            field_value(list, "c").and_then(|c| self.traffic_types.iter().position(|k| k.0 == c));
        let time_left = field_value(list, "d").and_then(|d| d.parse::<f64>().ok());
        let (Some(id), Some(traffic_type), Some(time_left)) = (id, traffic_type, time_left) else { return };
        self.calls_accepted += 1;
        self.links.insert(key, ObservedLink::Client(Some(id), Bytes::new()));
        let call = Call {
            proxy,
            link: key,
            traffic_type,
            deadline: now + time_left / 1e3,
            restored: field_value(list, "at").is_some(),
            legs: Vec::new(),
            first_run: None,
            legs_sent: 0,
            answered: false,
            bound_leg: None,
            proxy_line: Bytes::new(),
            answer_line: Bytes::new(),
            unanswered_since: None,
            server_ended_at: None,
            trace: vec![(now, format!("proxy {proxy} accepts '{}'", trace_excerpt(open_line.as_bytes())))],
        };
        self.calls.insert(id, call);
    }

    /// Bytes of a node have arrived at a proxy.
    fn on_node_bytes(&mut self, now: f64, key: LinkKey, bytes: &[u8]) {
        let Some(ObservedLink::Leg(leg)) = self.links.get_mut(&key) else { return };
        leg.last_received = now;
        leg.to_client.receive(now, bytes);
        // A leg that is not bound to a client forwards nothing, so nothing counts as held back.
        if leg.outcome != LegOutcome::Established {
            leg.to_client.buffered_since = None;
        }
        leg.partial_line.extend_from_slice(bytes);
        let cut = leg.partial_line.iter().rposition(|b| *b == b'\n');
        if let Some(end) = cut {
            let start = leg.partial_line[..end].iter().rposition(|b| *b == b'\n').map_or(0, |s| s + 1);
            let last = &leg.partial_line[start..end];
            leg.announced_end = last.starts_with(b"BYE") || last.starts_with(b"MOVE");
            leg.partial_line.drain(..end + 1);
        }
        let (call, node) = (leg.call, leg.node);
        if leg.outcome == LegOutcome::Pending {
            leg.answer_line.extend_from_slice(bytes);
            if let Some(end) = leg.answer_line.iter().position(|b| *b == b'\n') {
                let line = String::from_utf8_lossy(&leg.answer_line[..end]).trim_end().to_owned();
                leg.answer_line = Bytes::new();
                leg.outcome = match line.split(' ').next() {
                    Some("UP") => LegOutcome::Established,
                    Some("BUSY") => LegOutcome::NotRun,
                    _ => LegOutcome::MayHaveRun,
                };
                leg.receipt = line.strip_prefix("UP ").map(|r| Bytes::from_slice(r.as_bytes()));
                if leg.outcome == LegOutcome::Established {
                    leg.to_client.buffered_since = Some(now);
                }
                self.record_trace(now, call, || {
                    format!("node {node} answers '{}'", trace_excerpt(line.as_bytes()))
                });
            }
        }
        if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)) {
            if call.bound_leg == Some(key) {
                call.unanswered_since = None;
            }
        }
    }

    /// A proxy has written bytes.
    pub(crate) fn on_bytes_sent(&mut self, now: f64, key: LinkKey, proxy: usize, bytes: &[u8]) {
        match self.links.get(&key) {
            Some(ObservedLink::Client(Some(call), _)) => {
                let call = *call;
                self.check_client_bytes(now, call, proxy, bytes);
            }
            Some(ObservedLink::Client(None, _)) => {}
            Some(ObservedLink::Misbehaving) if bytes.starts_with(b"UP") => {
                self.report_violation(
                    now,
                    Rule::OneAnswer,
                    proxy,
                    None,
                    "a client that sent no valid request was served".into(),
                );
            }
            Some(ObservedLink::Leg(_)) => self.check_leg_bytes(now, key, bytes),
            _ => {}
        }
    }

    /// Checks bytes that a proxy has written to the client of a call.
    fn check_client_bytes(&mut self, now: f64, id: u64, proxy: usize, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if let Some(leg) = call.bound_leg {
            return self.check_forwarded(now, id, leg, proxy, bytes);
        }
        if call.answered {
            let description =
                format!("after its final answer the client was sent '{}'", trace_excerpt(bytes));
            return self.report_violation(now, Rule::OneAnswer, proxy, Some(id), description);
        }
        call.answer_line.extend_from_slice(bytes);
        let Some(end) = call.answer_line.iter().position(|b| *b == b'\n') else { return };
        let received = std::mem::take(&mut call.answer_line);
        let line = String::from_utf8_lossy(&received[..end]).trim_end().to_owned();
        call.answered = true;
        let (deadline, traffic_type, legs) = (call.deadline, call.traffic_type, call.legs.clone());
        self.record_trace(now, Some(id), || {
            format!("the client is sent '{}'", trace_excerpt(line.as_bytes()))
        });
        if now > deadline + TIME_TOLERANCE + self.observation_slack {
            let description = format!("its final answer came {:.3} s after its guard time", now - deadline);
            self.report_violation(now, Rule::OneAnswer, proxy, Some(id), description);
        }
        match line.split(' ').next() {
            Some("UP") => {
                self.answer_counts[0] += 1;
                let receipt = line.strip_prefix("UP ").unwrap_or("").as_bytes();
                let bound = legs.iter().copied().find(|l| {
                    matches!(self.links.get(l), Some(ObservedLink::Leg(leg)) if leg.receipt.as_deref() == Some(receipt))
                });
                match bound {
                    Some(leg) => {
                        if let Some(call) = self.calls.get_mut(&id) {
                            call.bound_leg = Some(leg);
                        }
                        self.check_forwarded(now, id, leg, proxy, &received);
                    }
                    None => {
                        let description =
                            format!("the client was sent '{line}', which no server wrote for it");
                        self.report_violation(now, Rule::OneAnswer, proxy, Some(id), description);
                    }
                }
            }
            Some("BUSY") => {
                self.answer_counts[1] += 1;
                let may_reject =
                    match (self.traffic_types[traffic_type].1, self.traffic_types[traffic_type].2) {
                        (Repeatability::Repeatable, _) | (Repeatability::Referenced, Scope::All) => true,
                        _ => legs.iter().all(|l| self.leg_outcome(*l) == LegOutcome::NotRun),
                    } || self.calls[&id].first_run.is_none()
                        && legs.iter().all(|l| self.leg_outcome(*l) == LegOutcome::NotRun);
                if !may_reject {
                    let description = "rejected, though a leg of it may have run".into();
                    self.report_violation(now, Rule::NoEffectTwice, proxy, Some(id), description);
                }
            }
            _ => self.answer_counts[2] += 1,
        }
        if received.len() > end + 1 && self.calls.get(&id).is_some_and(|c| c.bound_leg.is_none()) {
            let description = format!(
                "after its final answer the client was sent '{}'",
                trace_excerpt(&received[end + 1..])
            );
            self.report_violation(now, Rule::OneAnswer, proxy, Some(id), description);
        }
    }

    /// Returns a leg's outcome as far as it is known at the proxy. A leg whose first line is not complete did
    /// not run.
    fn leg_outcome(&self, key: LinkKey) -> LegOutcome {
        match self.links.get(&key) {
            Some(ObservedLink::Leg(leg)) if leg.sent_at.is_none() => LegOutcome::NotRun,
            Some(ObservedLink::Leg(leg))
                if leg.outcome == LegOutcome::Pending
                    && leg.server_ended_at.or(leg.proxy_ended_at).is_some() =>
            {
                LegOutcome::MayHaveRun
            }
            Some(ObservedLink::Leg(leg)) => leg.outcome,
            _ => LegOutcome::NotRun,
        }
    }

    /// Checks bytes to an established client: first those forwarded from its node, then possibly the proxy's
    /// own `MOVE`.
    fn check_forwarded(&mut self, now: f64, id: u64, leg: LinkKey, proxy: usize, bytes: &[u8]) {
        let Some(ObservedLink::Leg(bound)) = self.links.get_mut(&leg) else {
            return self.check_proxy_line(now, id, proxy, bytes);
        };
        let mut forwarded =
            if proxy_line_started(&self.calls, id) { 0 } else { bound.to_client.matching_prefix(bytes) };
        if forwarded < bytes.len() {
            // The proxy's own line starts after a complete line, and may have the same first bytes as the
            // server's next line.
            let starts = |at: usize| at == 0 && !bound.to_client.mid_line || at > 0 && bytes[at - 1] == b'\n';
            forwarded = (0..=forwarded).rev().find(|at| starts(*at)).unwrap_or(forwarded);
        }
        bound.to_client.forward(now, &bytes[..forwarded]);
        if forwarded < bytes.len() {
            self.check_proxy_line(now, id, proxy, &bytes[forwarded..]);
        }
    }

    /// Checks bytes that the proxy itself wrote to an established client; only `MOVE` is allowed.
    fn check_proxy_line(&mut self, now: f64, id: u64, proxy: usize, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.proxy_line.extend_from_slice(bytes);
        let proxy_line = call.proxy_line.clone();
        if !b"MOVE\r\n".starts_with(&proxy_line[..]) {
            let description = format!(
                "an established client was sent '{}', which its server did not write",
                trace_excerpt(&proxy_line)
            );
            self.report_violation(now, Rule::Lines, proxy, Some(id), description);
        } else if proxy_line.len() == 6 {
            self.record_trace(now, Some(id), || "the client is sent 'MOVE'".into());
        }
    }

    /// Checks bytes that a proxy has written to a node.
    fn check_leg_bytes(&mut self, now: f64, key: LinkKey, bytes: &[u8]) {
        let Some(ObservedLink::Leg(leg)) = self.links.get_mut(&key) else { return };
        let (proxy, call) = (leg.proxy, leg.call);
        if leg.sent_at.is_some() {
            let matched = leg.to_server.matching_prefix(bytes);
            leg.to_server.forward(now, &bytes[..matched]);
            if matched < bytes.len() {
                let description = "a server was sent other bytes than its client wrote".into();
                self.report_violation(now, Rule::Lines, proxy, call, description);
            }
            return;
        }
        leg.first_byte_at.get_or_insert(now);
        leg.open_line.extend_from_slice(bytes);
        let Some(end) = leg.open_line.iter().position(|b| *b == b'\n') else { return };
        let open_line = String::from_utf8_lossy(&leg.open_line[..end]).trim_end().to_owned();
        let rest = Bytes::from_slice(&leg.open_line[end + 1..]);
        leg.open_line = Bytes::new();
        leg.sent_at = Some(now);
        self.check_leg_sent(now, key, &open_line);
        if !rest.is_empty() {
            self.check_leg_bytes(now, key, &rest);
        }
    }

    /// Checks a leg against the rules, once its first line has been written completely.
    fn check_leg_sent(&mut self, now: f64, key: LinkKey, open_line: &str) {
        let Some(ObservedLink::Leg(leg)) = self.links.get_mut(&key) else { return };
        let (proxy, node, first_byte_at) = (leg.proxy, leg.node, leg.first_byte_at.unwrap_or(now));
        let id = open_line.split(' ').nth(1).and_then(|id| u64::from_str_radix(id, 16).ok());
        leg.call = id;
        let Some((id, call)) = id.and_then(|id| Some((id, self.calls.get_mut(&id)?))) else {
            let ended_recently = id.is_some_and(|id| self.recent_calls.iter().any(|(_, p)| *p == id));
            if !ended_recently {
                let description = format!(
                    "a leg to node {node} for a call that has ended or never arrived: '{}'",
                    trace_excerpt(open_line.as_bytes())
                );
                self.report_violation(now, Rule::OneAnswer, proxy, None, description);
            }
            return;
        };
        let (earlier, traffic_type, first_run) = (call.legs.clone(), call.traffic_type, call.first_run);
        call.legs.push(key);
        call.legs_sent += 1;
        let (sent, answered, restored) = (call.legs_sent, call.answered, call.restored);
        self.record_trace(now, Some(id), || format!("leg {sent} is sent to node {node}"));
        if answered {
            return self.report_violation(
                now,
                Rule::OneAnswer,
                proxy,
                Some(id),
                "a leg after the final answer".into(),
            );
        }
        if restored {
            return;
        }
        self.count_cold_call(now, proxy, node);
        if sent > self.max_legs {
            let description = format!("leg {sent}, where {} are allowed", self.max_legs);
            self.report_violation(now, Rule::NoEffectTwice, proxy, Some(id), description);
        }
        let outcomes: Vec<LegOutcome> = earlier.iter().map(|l| self.leg_outcome(*l)).collect();
        if !self.second_copies {
            for (leg, outcome) in earlier.iter().zip(&outcomes) {
                if *outcome == LegOutcome::Pending {
                    self.overlaps.push((*leg, id, now));
                }
            }
            self.resolve_overlaps(now);
        }
        let (_, repeatability, scope, window) = &self.traffic_types[traffic_type];
        let may_have_run = first_run.is_some() || outcomes.iter().any(|o| *o != LegOutcome::NotRun);
        match repeatability {
            Repeatability::Repeatable => {}
            Repeatability::OnceOnly if may_have_run => {
                let description =
                    "a further leg of a once-only call, though an earlier one may have run".into();
                self.report_violation(now, Rule::NoEffectTwice, proxy, Some(id), description);
            }
            Repeatability::OnceOnly => {}
            Repeatability::Referenced => {
                let (scope, window) = (*scope, *window);
                if let Some((at, earlier_node)) = first_run {
                    let (earlier_location, this_location) =
                        (self.node_locations[earlier_node], self.node_locations[node]);
                    let in_group = match scope {
                        Scope::All => true,
                        Scope::Zone => earlier_location.0 == this_location.0,
                        Scope::Cell => earlier_location == this_location,
                    };
                    if !in_group || now - at > window + TIME_TOLERANCE + self.observation_slack {
                        let description =
                            "a referenced call that may have run was sent outside its group or window".into();
                        self.report_violation(now, Rule::NoEffectTwice, proxy, Some(id), description);
                    }
                }
            }
        }
        let notice = &self.notices[proxy][node];
        let unusable_at =
            [notice.unusable_at, notice.unusable_deadline].into_iter().flatten().reduce(f64::min);
        if unusable_at
            .is_some_and(|at| first_byte_at > at + self.drain_grace + TIME_TOLERANCE + self.observation_slack)
        {
            let late = first_byte_at - unusable_at.unwrap_or(first_byte_at);
            let description = format!(
                "a leg to node {node}, {late:.3} s after the proxy was informed that it is draining or gone"
            );
            self.report_violation(now, Rule::Drains, proxy, Some(id), description);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            // The leg may run until its outcome shows otherwise.
            call.first_run = call.first_run.or(Some((now, node)));
        }
    }

    /// Counts calls sent to a cold node by proxies that have been informed of its start.
    fn count_cold_call(&mut self, now: f64, proxy: usize, node: usize) {
        let Some((started, notice)) = self.notices[proxy][node].start else { return };
        if notice > now || !started.is_finite() {
            return;
        }
        let exceeded = self.cold_nodes[node].record_call(now, started, self.cores[node], &self.cold_start);
        if let Some((sent, limit)) = exceeded {
            let description = format!(
                "cold node {node} was sent {sent} requests in a window, {:.3} s after its start, with {limit:.1} allowed",
                now - started
            );
            self.report_violation(now, Rule::ColdNodes, proxy, None, description);
        }
    }

    /// Reports legs that have overlapped for at least `observation_slack`.
    fn resolve_overlaps(&mut self, now: f64) {
        let slack = self.observation_slack;
        let mut violations_found = Vec::new();
        let links = &self.links;
        self.overlaps.retain(|(leg, id, at)| {
            let pending = matches!(links.get(leg), Some(ObservedLink::Leg(l)) if l.outcome == LegOutcome::Pending
                && l.proxy_ended_at.is_none() && l.server_ended_at.is_none());
            if pending && now - at >= slack {
                violations_found.push(*id);
            }
            pending && now - at < slack
        });
        for id in violations_found {
            let proxy = self.calls.get(&id).map_or(0, |c| c.proxy);
            self.report_violation(
                now,
                Rule::NoEffectTwice,
                proxy,
                Some(id),
                "two legs of the call were pending at once".into(),
            );
        }
    }

    /// The remote side of a link has ended, as observed by the proxy.
    pub(crate) fn on_peer_end(&mut self, now: f64, key: LinkKey, end_kind: EndKind) {
        match self.links.get_mut(&key) {
            Some(ObservedLink::Client(call, _)) => {
                let call = *call;
                self.record_trace(now, call, || format!("the client ends its connection ({end_kind:?})"));
                if let Some(id) = call {
                    if let Some(open_call) = self.calls.get(&id) {
                        let (answered, deadline, proxy) =
                            (open_call.answered, open_call.deadline, open_call.proxy);
                        if !answered && now > deadline + TIME_TOLERANCE + self.observation_slack {
                            self.report_violation(
                                now,
                                Rule::OneAnswer,
                                proxy,
                                Some(id),
                                "no answer by its guard time".into(),
                            );
                        }
                    }
                    self.finish_call(now, id);
                }
                self.links.remove(&key);
            }
            Some(ObservedLink::Leg(leg)) => {
                let (call, node) = (leg.call, leg.node);
                leg.server_ended_at = leg.server_ended_at.or(Some(now));
                if leg.outcome == LegOutcome::NotRun {
                    // The node refused the leg, so the call has not run there.
                    self.mark_not_run(key);
                }
                if let Some(open_call) = call.and_then(|c| self.calls.get_mut(&c)) {
                    if open_call.bound_leg == Some(key) {
                        open_call.server_ended_at = open_call.server_ended_at.or(Some(now));
                    }
                }
                self.record_trace(now, call, || format!("node {node} ends its leg ({end_kind:?})"));
                self.remove_finished_leg(key);
            }
            Some(ObservedLink::Watch(_) | ObservedLink::Misbehaving | ObservedLink::Front) => {
                self.links.remove(&key);
            }
            None => {}
        }
    }

    /// Records that a leg did not run.
    fn mark_not_run(&mut self, key: LinkKey) {
        let Some(ObservedLink::Leg(leg)) = self.links.get(&key) else { return };
        let (sent, call) = (leg.sent_at, leg.call);
        if let Some(call) = call.and_then(|c| self.calls.get_mut(&c)) {
            if call.first_run.is_some_and(|(at, _)| Some(at) == sent) {
                call.first_run = None;
            }
        }
    }

    /// The proxy has ended its side of a link.
    pub(crate) fn on_proxy_end(&mut self, now: f64, key: LinkKey, end_kind: EndKind) {
        match self.links.get_mut(&key) {
            Some(ObservedLink::Client(Some(id), _)) => {
                let id = *id;
                self.record_trace(now, Some(id), || {
                    format!("the proxy ends the client's connection ({end_kind:?})")
                });
                self.check_client_end(now, id);
                if end_kind != EndKind::Finished {
                    self.links.remove(&key);
                }
            }
            Some(ObservedLink::Leg(leg)) => {
                let (call, node) = (leg.call, leg.node);
                leg.proxy_ended_at = leg.proxy_ended_at.or(Some(now));
                if leg.outcome == LegOutcome::NotRun {
                    self.mark_not_run(key);
                }
                self.record_trace(now, call, || {
                    format!("the proxy ends its leg to node {node} ({end_kind:?})")
                });
                if end_kind != EndKind::Finished {
                    self.remove_finished_leg(key);
                }
            }
            Some(
                ObservedLink::Client(None, _)
                | ObservedLink::Watch(_)
                | ObservedLink::Misbehaving
                | ObservedLink::Front,
            ) if end_kind != EndKind::Finished => {
                self.links.remove(&key);
            }
            _ => {}
        }
    }

    /// Removes a leg's record once its call is no longer open.
    fn remove_finished_leg(&mut self, key: LinkKey) {
        if let Some(ObservedLink::Leg(leg)) = self.links.get(&key) {
            let open = leg.call.is_some_and(|c| self.calls.contains_key(&c));
            if !open {
                self.links.remove(&key);
            }
        }
    }

    /// Checks whether a proxy was allowed to end a client's link.
    fn check_client_end(&mut self, now: f64, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let proxy = call.proxy;
        if self.kill_states[proxy] == KillState::Immediate {
            // The kernel closes the connections of a killed process; its clients repeat their calls.
        } else if !call.answered {
            self.report_violation(
                now,
                Rule::OneAnswer,
                proxy,
                Some(id),
                "its connection was ended without an answer".into(),
            );
        } else if let Some(leg) = call.bound_leg {
            let moved = call.proxy_line.len() == 6;
            // A server that has vanished may have written within the response window too, so unanswered and
            // incomplete lines count as well. No `MOVE` can be written within a line.
            let line_unanswered = call.unanswered_since.is_some_and(|at| now - at > UNANSWERED_LIMIT);
            let responding = match self.links.get(&leg) {
                Some(ObservedLink::Leg(leg)) => {
                    let stopped_in_line =
                        !leg.partial_line.is_empty() && now - leg.last_received > PARTIAL_LINE_LIMIT;
                    leg.server_ended_at.is_none()
                        && !leg.announced_end
                        && now - leg.last_received < RESPONSE_WINDOW
                        && !line_unanswered
                        && !stopped_in_line
                }
                _ => false,
            };
            if !moved && responding {
                let description =
                    "an established connection was closed without MOVE while its server responds".into();
                self.report_violation(now, Rule::NoCut, proxy, Some(id), description);
            }
        }
        self.finish_call(now, id);
    }

    /// Removes a call that has ended.
    fn finish_call(&mut self, now: f64, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.recent_calls.push_back((now, id));
        for leg in call.legs {
            let ended = matches!(self.links.get(&leg), Some(ObservedLink::Leg(l)) if l.server_ended_at.or(l.proxy_ended_at).is_some());
            if ended {
                self.links.remove(&leg);
            }
        }
    }

    /// Reads the node lists that discovery sends to a proxy.
    fn on_watch_bytes(&mut self, now: f64, key: LinkKey, proxy: usize, bytes: &[u8]) {
        let Some(ObservedLink::Watch(watch)) = self.links.get_mut(&key) else { return };
        watch.line.extend_from_slice(bytes);
        let mut lists: Vec<Value> = Vec::new();
        while let Some(end) = watch.line.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = watch.line.drain(..=end).collect();
            // Chunk sizes, HTTP headers and empty lines are skipped.
            if line.first() == Some(&b'{') {
                lists.extend(serde_json::from_slice::<Value>(&line));
            }
        }
        for list in lists {
            let whole = list["whole"] == Value::Bool(true);
            let mut listed = vec![false; self.node_locations.len()];
            for host in list["hosts"].as_array().into_iter().flatten() {
                let Some(&node) = host["host"].as_str().and_then(|name| self.node_names.get(name)) else {
                    continue;
                };
                listed[node] = true;
                let ready = host["health"] == "ready";
                let started_ms = host["born_ms"].as_f64().filter(|b| *b > 0.0);
                let notice = &mut self.notices[proxy][node];
                if ready {
                    (notice.unusable_at, notice.unusable_deadline) = (None, None);
                    if started_ms.is_some() {
                        let start = notice.start.map_or(f64::NEG_INFINITY, |s| s.0);
                        notice.start = Some((start, now));
                    }
                } else {
                    notice.unusable_at = notice.unusable_at.or(Some(now));
                }
            }
            for (node, _) in listed.iter().enumerate().filter(|(_, n)| whole && !**n) {
                let notice = &mut self.notices[proxy][node];
                notice.unusable_at = notice.unusable_at.or(Some(now));
            }
        }
    }

    /// The discovery agent of a proxy has received a node's state: the proxy counts as informed a fixed time
    /// later, whether the agent writes the update or not.
    pub(crate) fn on_agent_update(&mut self, now: f64, proxy: usize, node: usize, ready: bool, started: f64) {
        let notice = &mut self.notices[proxy][node];
        if ready {
            (notice.unusable_at, notice.unusable_deadline) = (None, None);
            notice.start = Some((started, now + NOTICE_DEADLINE));
        } else {
            notice.unusable_deadline = notice.unusable_deadline.or(Some(now + NOTICE_DEADLINE));
        }
    }

    /// A proxy's process has started to listen.
    pub(crate) fn on_proxy_start(&mut self, now: f64, proxy: usize) {
        self.kill_states[proxy] = KillState::NotKilled;
        for notice in &mut self.notices[proxy] {
            // A new process receives the list again; it counts as informed of what its agent holds a fixed time
            // later.
            if notice.unusable_at.take().is_some() || notice.unusable_deadline.is_some() {
                notice.unusable_deadline = Some(now + NOTICE_DEADLINE);
            }
        }
    }

    /// A proxy's processes are killed, after a stop or without one.
    pub(crate) fn on_kill(&mut self, proxy: usize, after_stop: bool) {
        self.kill_states[proxy] = if after_stop { KillState::AfterStop } else { KillState::Immediate };
    }

    /// All of a proxy's processes have ended. If they were killed without a preceding stop, their calls are
    /// dropped without a check. If they exited by themselves, or were killed after the time allowed for a
    /// stop, all calls must have been answered and all clients sent away.
    pub(crate) fn on_proxy_exit(&mut self, now: f64, proxy: usize) {
        let kill_state = self.kill_states[proxy];
        let cause = if kill_state == KillState::AfterStop { "is killed" } else { "exits" };
        let open_ids: Vec<u64> =
            self.calls.iter().filter(|(_, c)| c.proxy == proxy).map(|(id, _)| *id).collect();
        for id in open_ids {
            if kill_state == KillState::Immediate {
                self.finish_call(now, id);
            } else {
                self.record_trace(now, Some(id), || format!("the proxy's process {cause}"));
                self.check_client_end(now, id);
            }
        }
        let links: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, s)| matches!(s, ObservedLink::Leg(l) if l.proxy == proxy))
            .map(|(k, _)| *k)
            .collect();
        for key in links {
            self.links.remove(&key);
        }
    }

    /// A cold node has crashed from overload. If at least two thirds of its load came from proxies that had been
    /// informed of its start, this reports the one of them that sent the largest connection.
    pub(crate) fn on_node_crash(
        &mut self,
        now: f64,
        node: usize,
        started: f64,
        arrivals: &[(f64, usize, f64)],
    ) {
        let mut total_load = 0.0;
        let mut informed_load = 0.0;
        let mut largest = (0.0, 0);
        for (at, proxy, load) in arrivals {
            total_load += load;
            let notice = self.notices[*proxy][node].start;
            if notice.is_some_and(|(start, by)| start >= started - 1e-6 && by <= *at) {
                informed_load += load;
                if *load > largest.0 {
                    largest = (*load, *proxy);
                }
            }
        }
        if total_load > 0.0 && informed_load >= total_load * 2.0 / 3.0 {
            let description = format!(
                "cold node {node} was overloaded: {} connections within the rule's window, {:.0} % of their load from \
                 proxies that knew of its start",
                arrivals.len(),
                informed_load / total_load * 100.0
            );
            self.report_violation(now, Rule::ColdNodes, largest.1, None, description);
        }
    }

    /// Checks the time limits at regular intervals.
    pub(crate) fn check_deadlines(&mut self, now: f64) {
        self.resolve_overlaps(now);
        while self.recent_calls.front().is_some_and(|(at, _)| now - at > self.observation_slack) {
            self.recent_calls.pop_front();
        }
        if now < self.next_check {
            return;
        }
        self.next_check = now + 0.5;
        let mut violations_found: Vec<(u64, Rule, &str)> = Vec::new();
        for (id, call) in &mut self.calls {
            if !call.answered && now > call.deadline + TIME_TOLERANCE + self.observation_slack + 0.1 {
                violations_found.push((*id, Rule::OneAnswer, "no answer by its guard time"));
                // Reported once only.
                call.answered = true;
            }
            let Some(leg) = call.bound_leg else { continue };
            let moved = call.proxy_line.len() == 6;
            if call
                .server_ended_at
                .is_some_and(|at| now - at > SERVER_END_DEADLINE + TIME_TOLERANCE + self.observation_slack)
                && !moved
            {
                violations_found.push((
                    *id,
                    Rule::NoCut,
                    "its server has ended the connection, and the client was neither disconnected nor moved",
                ));
                call.server_ended_at = None;
            }
            if call
                .unanswered_since
                .is_some_and(|at| now - at > SILENCE_DEADLINE + TIME_TOLERANCE + self.observation_slack)
                && !moved
            {
                violations_found.push((
                    *id,
                    Rule::NoCut,
                    "the server has been silent for seven seconds, and the client was not moved",
                ));
                call.unanswered_since = None;
            }
            if let Some(ObservedLink::Leg(leg)) = self.links.get_mut(&leg) {
                let late = |buffered_since: Option<f64>| {
                    buffered_since.is_some_and(|at| now - at > MAX_LINE_DELAY + TIME_TOLERANCE)
                };
                let open = leg.server_ended_at.is_none() && leg.proxy_ended_at.is_none();
                if open
                    && !moved
                    && (late(leg.to_client.buffered_since) || late(leg.to_server.buffered_since))
                {
                    violations_found.push((*id, Rule::Lines, "a line was held back for more than a second"));
                    (leg.to_client.buffered_since, leg.to_server.buffered_since) = (None, None);
                }
            }
        }
        for (id, rule, description) in violations_found {
            let proxy = self.calls.get(&id).map_or(0, |c| c.proxy);
            self.report_violation(now, rule, proxy, Some(id), description.into());
        }
    }

    /// The number of calls that are still open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// The link on which a call arrived, for tests.
    pub fn client_link(&self, call: u64) -> Option<LinkKey> {
        self.calls.get(&call).map(|c| c.link)
    }
}
