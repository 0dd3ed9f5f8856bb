//! An experiment as its file has it: the world, its troubles with their times, seeds, and a matrix to sweep. Every key
//! has a default; one that is not known is a fault, and each fault names its key.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A range to draw from, evenly.
pub type Range = [f64; 2];

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    pub name: String,
    /// What it is meant to show, in a sentence.
    pub about: String,
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// The seeds played where none are asked for.
    pub seeds: Vec<u64>,
    pub fleet: Fleet,
    #[serde(rename = "machine")]
    pub machines: Vec<Machine>,
    pub node: NodeWays,
    pub load: Load,
    #[serde(rename = "traffic")]
    pub traffic: Vec<Traffic>,
    #[serde(rename = "shop")]
    pub shops: Vec<Shop>,
    pub clients: Clients,
    pub network: Network,
    pub front: Front,
    pub discovery: Discovery,
    pub proxy: ProxyWays,
    pub rules: Rules,
    #[serde(rename = "trouble")]
    pub troubles: Vec<Trouble>,
    /// Keys, as `load.utilisation`, each with the values to sweep over.
    pub matrix: BTreeMap<String, Vec<toml::Value>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub zones: Vec<String>,
    pub proxies: usize,
    pub nodes: usize,
    /// So many nodes of one zone are a cell.
    pub cell: usize,
}

/// A kind of machine that nodes run on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    pub name: String,
    /// Its part of the fleet.
    pub share: f64,
    pub cores: f64,
    /// A core's speed in standard cores, drawn for each node.
    pub speed: Range,
    /// What part of its capacity a node has when it has just started, and how long until it has all.
    pub cold_share: Range,
    pub warm_after: Range,
}

/// How node processes behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeWays {
    /// Connections held for each core at the most; more get `BUSY`.
    pub connections_a_core: f64,
    /// Core-seconds of work to set one connection up.
    pub set_up_work: f64,
    /// Seconds of work that may wait before a node answers `BUSY` to what is new.
    pub longest_queue: f64,
    /// Whether `LOAD` lines are written.
    pub tells_load: bool,
    /// Whether lines come back at once, however much work is piled up; else in their turn.
    pub echoes_at_once: bool,
    /// Seconds of piled-up work from which on the newest connections are broken off; 0 for never.
    pub sheds_from: f64,
    /// Over how many seconds a drain sends clients away; 0 for all at once.
    pub drain_spread: f64,
    /// Whether the list's shares follow the machines' capacities, or are all 1.
    pub weights: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// The standing load wanted as a part of the fleet's capacity, in the mean.
    pub utilisation: f64,
    /// By how much it swings around that, as a part of it, and over how many seconds.
    pub swing: f64,
    pub period: f64,
    /// How unevenly clients are spread over the zones: 0 for evenly, 1 for all in the first.
    pub zone_skew: f64,
    /// Whether the connections of a running service stand already when the experiment begins.
    pub warm: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    pub name: String,
    /// Its part of the clients.
    pub share: f64,
    pub effect: Effect,
    /// For referenced calls: how long a mark is remembered, and by which servers.
    pub window: f64,
    pub scope: Scope,
    /// A connection's mean load, in standard cores, and how much it differs from client to client and over time.
    pub load: f64,
    pub load_sigma: f64,
    pub swing_sigma: f64,
    /// Seconds between changes of a connection's load, in the mean, and the part of the time that it asks nothing.
    pub change: f64,
    pub idle: f64,
    /// How long a client stays, in the mean, and the tail's shape (over 1; the lower, the heavier).
    pub life: f64,
    pub life_shape: f64,
    pub setup_target: f64,
    pub guard_time: f64,
    pub message_target: f64,
    pub revenue: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shop {
    pub name: String,
    pub share: f64,
    /// What it brings against its share.
    pub usage: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a client tries again by itself, and its first pause; pauses double.
    pub retries: Range,
    pub pause: Range,
    /// The part of the clients that stay away as long as they are told to.
    pub honour: f64,
    /// How long after a break or a `MOVE` a client comes again.
    pub rejoin: Range,
    /// Seconds between a client's lines.
    pub line_every: f64,
    /// The part of the clients that go on writing on a connection after `MOVE`, until it is closed.
    pub lingering: f64,
    /// Whether clients tell a guess at their load, and its sigma.
    pub hints: bool,
    pub hint_sigma: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way times: within a zone, between zones, between clients and proxies.
    pub same: Range,
    pub cross: Range,
    pub client: Range,
    /// A message takes up to this part longer, by chance.
    pub jitter: f64,
    /// The part of all messages that arrive in two pieces.
    pub cuts: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// For how long it goes on sending to a dead proxy.
    pub notice: Range,
    /// For how long new clients go on coming after a proxy was told to stop.
    pub stop_notice: Range,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long after it happens discovery has: a process that died, a machine that went silent, a new one.
    pub notice: Range,
    pub silent_notice: Range,
    pub add: Range,
    /// How far apart proxies hear of one change.
    pub spread: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyWays {
    /// Seconds from a start until the process listens.
    pub start: Range,
    /// Over how many seconds an old process sends its clients away once another has taken its place.
    pub leave_in: f64,
    /// The multiple of a cold node's capacity that proxies are told where that is not the rule's own; too high, they
    /// send more than the rule allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_fall_multiple: Option<f64>,
    pub sockets: usize,
    pub memory_mb: u64,
}

/// The rules' figures, as proxies are told them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub most_legs: u32,
    pub second_copies: bool,
    pub retry_after: bool,
    pub longest_stay_away: f64,
    pub connect_timeout: f64,
    pub drain_grace: f64,
    /// A cold node sent more than this many times its present capacity for so long falls over.
    pub fall_multiple: f64,
    pub fall_after: f64,
    /// What crossing zones and moving cost, as proxies are told it.
    pub crossing: f64,
    pub moving: f64,
}

/// A trouble: its kind, when it comes, how long it lasts. What else counts depends on the kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: String,
    pub at: f64,
    #[serde(default = "ten")]
    pub lasts: f64,
    /// What part of those that can be hit is.
    #[serde(default = "half")]
    pub part: f64,
    /// How hard: a multiple, or a part; each kind says which.
    #[serde(default = "two")]
    pub size: f64,
    /// How many at a time, where they are hit in turn.
    #[serde(default = "one")]
    pub at_a_time: usize,
    /// Only those of this zone, where that is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Only this traffic type or shop, where that is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub of: Option<String>,
}

fn ten() -> f64 {
    10.0
}
fn half() -> f64 {
    0.5
}
fn two() -> f64 {
    2.0
}
fn one() -> usize {
    1
}

impl Default for Experiment {
    fn default() -> Self {
        let traffic = |name: &str, share: f64, load: f64, guard_time: f64, revenue: f64| Traffic {
            name: name.into(),
            share,
            load,
            guard_time,
            revenue,
            ..Traffic::default()
        };
        let machine =
            |name: &str, share: f64, speed| Machine { name: name.into(), share, speed, ..Machine::default() };
        let shop = |name: &str, share: f64| Shop { name: name.into(), share, usage: 1.0 };
        Experiment {
            name: "unnamed".into(),
            about: String::new(),
            seconds: 60.0,
            seeds: vec![1],
            fleet: Fleet::default(),
            machines: vec![
                machine("large", 0.25, [1.6, 2.2]),
                machine("middle", 0.4, [1.0, 1.4]),
                machine("small", 0.35, [0.6, 0.9]),
            ],
            node: NodeWays::default(),
            load: Load::default(),
            traffic: vec![
                traffic("menus", 0.45, 0.006, 3.0, 3.0),
                traffic("stock", 0.2, 0.03, 1.5, 3.0),
                traffic("baskets", 0.2, 0.03, 2.0, 5.0),
                traffic("couriers", 0.15, 0.03, 2.5, 2.0),
            ],
            shops: vec![shop("north", 0.5), shop("south", 0.3), shop("island", 0.2)],
            clients: Clients::default(),
            network: Network::default(),
            front: Front::default(),
            discovery: Discovery::default(),
            proxy: ProxyWays::default(),
            rules: Rules::default(),
            troubles: Vec::new(),
            matrix: BTreeMap::new(),
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { zones: vec!["east".into(), "west".into()], proxies: 3, nodes: 10, cell: 4 }
    }
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            name: "plain".into(),
            share: 1.0,
            cores: 4.0,
            speed: [1.0, 1.0],
            cold_share: [0.15, 0.35],
            warm_after: [10.0, 20.0],
        }
    }
}

impl Default for NodeWays {
    fn default() -> Self {
        NodeWays {
            connections_a_core: 800.0,
            set_up_work: 0.005,
            longest_queue: 4.0,
            tells_load: true,
            echoes_at_once: true,
            sheds_from: 3.0,
            drain_spread: 0.0,
            weights: true,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Load { utilisation: 0.5, swing: 0.2, period: 30.0, zone_skew: 0.1, warm: true }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            name: "plain".into(),
            share: 1.0,
            effect: Effect::Repeatable,
            window: 5.0,
            scope: Scope::All,
            load: 0.02,
            load_sigma: 1.0,
            swing_sigma: 0.5,
            change: 10.0,
            idle: 0.2,
            life: 60.0,
            life_shape: 2.5,
            setup_target: 0.4,
            guard_time: 2.0,
            message_target: 0.1,
            revenue: 1.0,
        }
    }
}

impl Default for Shop {
    fn default() -> Self {
        Shop { name: "plain".into(), share: 1.0, usage: 1.0 }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: [1.0, 3.0],
            pause: [0.02, 0.1],
            honour: 0.85,
            rejoin: [0.15, 1.0],
            line_every: 2.0,
            lingering: 0.0,
            hints: true,
            hint_sigma: 0.3,
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same: [0.0001, 0.0003],
            cross: [0.0015, 0.0025],
            client: [0.0004, 0.0009],
            jitter: 0.2,
            cuts: 0.02,
        }
    }
}

impl Default for Front {
    fn default() -> Self {
        Front { notice: [1.0, 3.5], stop_notice: [0.2, 0.4] }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery { notice: [2.0, 5.0], silent_notice: [4.0, 10.0], add: [0.4, 2.0], spread: 0.1 }
    }
}

impl Default for ProxyWays {
    fn default() -> Self {
        ProxyWays {
            start: [0.05, 0.3],
            leave_in: 5.0,
            told_fall_multiple: None,
            sockets: 40_000,
            memory_mb: 1024,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            most_legs: 3,
            second_copies: false,
            retry_after: true,
            longest_stay_away: 1.5,
            connect_timeout: 0.2,
            drain_grace: 0.5,
            fall_multiple: 2.5,
            fall_after: 2.0,
            crossing: 0.1,
            moving: 0.01,
        }
    }
}

impl Experiment {
    /// Reads one from TOML; a fault is one line that names the key, and where it stands in the text.
    pub fn read(text: &str) -> Result<Experiment, String> {
        let table =
            toml::from_str::<toml::Table>(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        Experiment::of(toml::Value::Table(table))
    }

    fn of(value: toml::Value) -> Result<Experiment, String> {
        let read: Experiment = serde_path_to_error::deserialize(value)
            .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
        read.check()?;
        Ok(read)
    }

    /// One experiment for each point of the matrix, with the point in words; itself alone where there is no matrix.
    pub fn points(&self) -> Result<Vec<(String, Experiment)>, String> {
        let mut bare = self.clone();
        bare.matrix.clear();
        let whole = toml::Value::try_from(&bare).map_err(|e| e.to_string())?;
        let mut points = vec![(String::new(), whole)];
        for (key, values) in &self.matrix {
            let mut more = Vec::new();
            for (words, point) in &points {
                for value in values {
                    let mut point = point.clone();
                    put(&mut point, key, value.clone())?;
                    let comma = if words.is_empty() { "" } else { ", " };
                    more.push((format!("{words}{comma}{key} = {value}"), point));
                }
            }
            points = more;
        }
        points.into_iter().map(|(words, point)| Ok((words, Experiment::of(point)?))).collect()
    }

    fn check(&self) -> Result<(), String> {
        let must = |sound: bool, key: &str, wanted: &str| {
            if sound {
                Ok(())
            } else {
                Err(format!("key '{key}': {wanted}"))
            }
        };
        must(
            self.seconds > 0.0 && self.seconds <= 86_400.0,
            "seconds",
            "must be over 0, and a day at the most",
        )?;
        must(!self.fleet.zones.is_empty(), "fleet.zones", "names no zone")?;
        must((1..=1000).contains(&self.fleet.proxies), "fleet.proxies", "must be from 1 to 1000")?;
        must((1..=1000).contains(&self.fleet.nodes), "fleet.nodes", "must be from 1 to 1000")?;
        must(self.fleet.cell > 0, "fleet.cell", "must be over 0")?;
        must(!self.machines.is_empty(), "machine", "names no machine")?;
        must(!self.traffic.is_empty(), "traffic", "names no traffic type")?;
        must(!self.shops.is_empty(), "shop", "names no shop")?;
        must(
            self.load.utilisation >= 0.0 && self.load.utilisation <= 10.0,
            "load.utilisation",
            "must be from 0 to 10",
        )?;
        must((0.0..=1.0).contains(&self.load.swing), "load.swing", "must be from 0 to 1")?;
        must((0.0..=1.0).contains(&self.load.zone_skew), "load.zone_skew", "must be from 0 to 1")?;
        must(self.load.period > 0.0, "load.period", "must be over 0")?;
        must(self.clients.line_every >= 0.1, "clients.line_every", "must be 0.1 at the least")?;
        must((0.0..=1.0).contains(&self.clients.lingering), "clients.lingering", "must be from 0 to 1")?;
        must(self.rules.most_legs >= 1, "rules.most_legs", "must be 1 at the least")?;
        for (n, one) in self.traffic.iter().enumerate() {
            let key = |name: &str| format!("traffic[{n}].{name}");
            must(one.guard_time > 0.0, &key("guard_time"), "must be over 0")?;
            must(one.life > 0.0, &key("life"), "must be over 0")?;
            must(one.life_shape > 1.0, &key("life_shape"), "must be over 1")?;
            must(one.load > 0.0, &key("load"), "must be over 0")?;
            must(one.change > 0.0, &key("change"), "must be over 0")?;
            must((0.0..1.0).contains(&one.idle), &key("idle"), "must be from 0 to under 1")?;
            let plain =
                !one.name.is_empty() && one.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            must(plain, &key("name"), "must be letters, digits and hyphens")?;
        }
        for (n, one) in self.machines.iter().enumerate() {
            let key = |name: &str| format!("machine[{n}].{name}");
            must(one.cores > 0.0, &key("cores"), "must be over 0")?;
            must(
                one.speed[0] > 0.0 && one.speed[1] >= one.speed[0],
                &key("speed"),
                "must be two rising figures over 0",
            )?;
            must(one.cold_share[0] > 0.0, &key("cold_share"), "must be over 0")?;
        }
        for (n, one) in self.troubles.iter().enumerate() {
            let key = |name: &str| format!("trouble[{n}].{name}");
            crate::troubles::known(&one.kind).map_err(|e| format!("key '{}': {e}", key("kind")))?;
            must(one.at >= 0.0 && one.lasts > 0.0, &key("at"), "must be 0 or over, and 'lasts' over 0")?;
            must((0.0..=1.0).contains(&one.part), &key("part"), "must be from 0 to 1")?;
            must(one.at_a_time > 0, &key("at_a_time"), "must be over 0")?;
            if let Some(zone) = &one.zone {
                must(self.fleet.zones.contains(zone), &key("zone"), "names no zone of the fleet")?;
            }
        }
        Ok(())
    }
}

/// Puts a value where a dotted key says.
fn put(into: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let fault = || format!("key 'matrix': '{key}' names nothing that there is");
    let mut at = into;
    for name in key.split('.') {
        at = match (name.parse::<usize>(), at) {
            (Ok(n), toml::Value::Array(list)) => list.get_mut(n).ok_or_else(fault)?,
            (_, toml::Value::Table(table)) => table.get_mut(name).ok_or_else(fault)?,
            _ => return Err(fault()),
        };
    }
    *at = value;
    Ok(())
}
