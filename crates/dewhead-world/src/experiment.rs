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
    #[serde(rename = "about")]
    pub description: String,
    /// How long it lasts, in seconds.
    pub seconds: f64,
    /// The seeds played where none are asked for.
    pub seeds: Vec<u64>,
    pub fleet: Fleet,
    #[serde(rename = "machine")]
    pub machines: Vec<Machine>,
    pub node: NodeBehaviour,
    pub load: Load,
    #[serde(rename = "traffic")]
    pub traffic: Vec<Traffic>,
    #[serde(rename = "shop")]
    pub tenants: Vec<Tenant>,
    pub clients: Clients,
    pub network: Network,
    pub front: Front,
    pub discovery: Discovery,
    pub proxy: ProxyBehaviour,
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
    #[serde(rename = "cell")]
    pub cell_size: usize,
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
    #[serde(rename = "warm_after")]
    pub warm_up_time: Range,
}

/// How node processes behave.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeBehaviour {
    /// Connections held for each core at the most; more get `BUSY`.
    #[serde(rename = "connections_a_core")]
    pub connections_per_core: f64,
    /// Core-seconds of work to set one connection up.
    #[serde(rename = "set_up_work")]
    pub setup_work: f64,
    /// Seconds of work that may wait before a node answers `BUSY` to what is new.
    #[serde(rename = "longest_queue")]
    pub max_queue: f64,
    /// Whether `LOAD` lines are written.
    #[serde(rename = "tells_load")]
    pub reports_load: bool,
    /// Whether lines come back at once, however much work is piled up; else in their turn.
    #[serde(rename = "echoes_at_once")]
    pub echoes_immediately: bool,
    /// Seconds of piled-up work from which on the newest connections are broken off; 0 for never.
    #[serde(rename = "sheds_from")]
    pub shed_threshold: f64,
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
    #[serde(rename = "warm")]
    pub prewarmed: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    pub name: String,
    /// Its part of the clients.
    pub share: f64,
    #[serde(rename = "effect")]
    pub repeatability: Repeatability,
    /// For referenced calls: how long a mark is remembered, and by which servers.
    pub window: f64,
    pub scope: Scope,
    /// A connection's mean load, in standard cores, and how much it differs from client to client and over time.
    pub load: f64,
    pub load_sigma: f64,
    pub swing_sigma: f64,
    /// Seconds between changes of a connection's load, in the mean, and the part of the time that it asks nothing.
    #[serde(rename = "change")]
    pub change_interval: f64,
    pub idle: f64,
    /// How long a client stays, in the mean, and the tail's shape (over 1; the lower, the heavier).
    #[serde(rename = "life")]
    pub lifetime: f64,
    #[serde(rename = "life_shape")]
    pub lifetime_shape: f64,
    pub setup_target: f64,
    pub guard_time: f64,
    pub message_target: f64,
    pub revenue: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
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
pub struct Tenant {
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
    #[serde(rename = "honour")]
    pub honours_retry_after: f64,
    /// How long after a break or a `MOVE` a client comes again.
    #[serde(rename = "rejoin")]
    pub reconnect_delay: Range,
    /// Seconds between a client's lines.
    #[serde(rename = "line_every")]
    pub line_interval: f64,
    /// The part of the clients that go on writing on a connection after `MOVE`, until it is closed.
    #[serde(rename = "lingering")]
    pub ignore_move_share: f64,
    /// Whether clients tell a guess at their load, and its sigma.
    pub hints: bool,
    pub hint_sigma: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way times: within a zone, between zones, between clients and proxies.
    #[serde(rename = "same")]
    pub within_zone: Range,
    #[serde(rename = "cross")]
    pub cross_zone: Range,
    pub client: Range,
    /// A message takes up to this part longer, by chance.
    pub jitter: f64,
    /// The part of all messages that arrive in two pieces.
    #[serde(rename = "cuts")]
    pub split_share: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// For how long it goes on sending to a dead proxy.
    #[serde(rename = "notice")]
    pub failure_notice: Range,
    /// For how long new clients go on coming after a proxy was told to stop.
    pub stop_notice: Range,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long after it happens discovery has: a process that died, a machine that went silent, a new one.
    #[serde(rename = "notice")]
    pub failure_notice: Range,
    pub silent_notice: Range,
    #[serde(rename = "add")]
    pub update_notice: Range,
    /// How far apart proxies hear of one change.
    #[serde(rename = "spread")]
    pub propagation_spread: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyBehaviour {
    /// Seconds from a start until the process listens.
    #[serde(rename = "start")]
    pub start_delay: Range,
    /// Over how many seconds an old process sends its clients away once another has taken its place.
    pub leave_in: f64,
    /// The multiple of a cold node's capacity that proxies are told where that is not the rule's own; too high, they
    /// send more than the rule allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "told_fall_multiple")]
    pub configured_overload_multiple: Option<f64>,
    pub sockets: usize,
    pub memory_mb: u64,
}

/// The rules' figures, as proxies are told them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    #[serde(rename = "most_legs")]
    pub max_legs: u32,
    pub second_copies: bool,
    pub retry_after: bool,
    #[serde(rename = "longest_stay_away")]
    pub max_retry_after: f64,
    pub connect_timeout: f64,
    pub drain_grace: f64,
    /// A cold node sent more than this many times its present capacity for so long falls over.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_after")]
    pub overload_window: f64,
    /// What crossing zones and moving cost, as proxies are told it.
    #[serde(rename = "crossing")]
    pub cross_zone_cost: f64,
    #[serde(rename = "moving")]
    pub move_cost: f64,
}

/// A trouble: its kind, when it comes, how long it lasts. What else counts depends on the kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: String,
    pub at: f64,
    #[serde(default = "ten")]
    #[serde(rename = "lasts")]
    pub duration: f64,
    /// What part of those that can be hit is.
    #[serde(default = "half")]
    #[serde(rename = "part")]
    pub fraction: f64,
    /// How hard: a multiple, or a part; each kind says which.
    #[serde(default = "two")]
    #[serde(rename = "size")]
    pub magnitude: f64,
    /// How many at a time, where they are hit in turn.
    #[serde(default = "one")]
    pub at_a_time: usize,
    /// Only those of this zone, where that is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Only this traffic type or shop, where that is meant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "of")]
    pub subject: Option<String>,
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
        let shop = |name: &str, share: f64| Tenant { name: name.into(), share, usage: 1.0 };
        Experiment {
            name: "unnamed".into(),
            description: String::new(),
            seconds: 60.0,
            seeds: vec![1],
            fleet: Fleet::default(),
            machines: vec![
                machine("large", 0.25, [1.6, 2.2]),
                machine("middle", 0.4, [1.0, 1.4]),
                machine("small", 0.35, [0.6, 0.9]),
            ],
            node: NodeBehaviour::default(),
            load: Load::default(),
            traffic: vec![
                traffic("menus", 0.45, 0.006, 3.0, 3.0),
                traffic("stock", 0.2, 0.03, 1.5, 3.0),
                traffic("baskets", 0.2, 0.03, 2.0, 5.0),
                traffic("couriers", 0.15, 0.03, 2.5, 2.0),
            ],
            tenants: vec![shop("north", 0.5), shop("south", 0.3), shop("island", 0.2)],
            clients: Clients::default(),
            network: Network::default(),
            front: Front::default(),
            discovery: Discovery::default(),
            proxy: ProxyBehaviour::default(),
            rules: Rules::default(),
            troubles: Vec::new(),
            matrix: BTreeMap::new(),
        }
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet { zones: vec!["east".into(), "west".into()], proxies: 3, nodes: 10, cell_size: 4 }
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
            warm_up_time: [10.0, 20.0],
        }
    }
}

impl Default for NodeBehaviour {
    fn default() -> Self {
        NodeBehaviour {
            connections_per_core: 800.0,
            setup_work: 0.005,
            max_queue: 4.0,
            reports_load: true,
            echoes_immediately: true,
            shed_threshold: 3.0,
            drain_spread: 0.0,
            weights: true,
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Load { utilisation: 0.5, swing: 0.2, period: 30.0, zone_skew: 0.1, prewarmed: true }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            name: "plain".into(),
            share: 1.0,
            repeatability: Repeatability::Repeatable,
            window: 5.0,
            scope: Scope::All,
            load: 0.02,
            load_sigma: 1.0,
            swing_sigma: 0.5,
            change_interval: 10.0,
            idle: 0.2,
            lifetime: 60.0,
            lifetime_shape: 2.5,
            setup_target: 0.4,
            guard_time: 2.0,
            message_target: 0.1,
            revenue: 1.0,
        }
    }
}

impl Default for Tenant {
    fn default() -> Self {
        Tenant { name: "plain".into(), share: 1.0, usage: 1.0 }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: [1.0, 3.0],
            pause: [0.02, 0.1],
            honours_retry_after: 0.85,
            reconnect_delay: [0.15, 1.0],
            line_interval: 2.0,
            ignore_move_share: 0.0,
            hints: true,
            hint_sigma: 0.3,
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        Network {
            within_zone: [0.0001, 0.0003],
            cross_zone: [0.0015, 0.0025],
            client: [0.0004, 0.0009],
            jitter: 0.2,
            split_share: 0.02,
        }
    }
}

impl Default for Front {
    fn default() -> Self {
        Front { failure_notice: [1.0, 3.5], stop_notice: [0.2, 0.4] }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            failure_notice: [2.0, 5.0],
            silent_notice: [4.0, 10.0],
            update_notice: [0.4, 2.0],
            propagation_spread: 0.1,
        }
    }
}

impl Default for ProxyBehaviour {
    fn default() -> Self {
        ProxyBehaviour {
            start_delay: [0.05, 0.3],
            leave_in: 5.0,
            configured_overload_multiple: None,
            sockets: 40_000,
            memory_mb: 1024,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            max_legs: 3,
            second_copies: false,
            retry_after: true,
            max_retry_after: 1.5,
            connect_timeout: 0.2,
            drain_grace: 0.5,
            overload_multiple: 2.5,
            overload_window: 2.0,
            cross_zone_cost: 0.1,
            move_cost: 0.01,
        }
    }
}

impl Experiment {
    /// Reads one from TOML; a fault is one line that names the key, and where it stands in the text.
    pub fn parse(text: &str) -> Result<Experiment, String> {
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
    pub fn matrix_points(&self) -> Result<Vec<(String, Experiment)>, String> {
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
        must(self.fleet.cell_size > 0, "fleet.cell", "must be over 0")?;
        must(!self.machines.is_empty(), "machine", "names no machine")?;
        must(!self.traffic.is_empty(), "traffic", "names no traffic type")?;
        must(!self.tenants.is_empty(), "shop", "names no shop")?;
        must(
            self.load.utilisation >= 0.0 && self.load.utilisation <= 10.0,
            "load.utilisation",
            "must be from 0 to 10",
        )?;
        must((0.0..=1.0).contains(&self.load.swing), "load.swing", "must be from 0 to 1")?;
        must((0.0..=1.0).contains(&self.load.zone_skew), "load.zone_skew", "must be from 0 to 1")?;
        must(self.load.period > 0.0, "load.period", "must be over 0")?;
        must(self.clients.line_interval >= 0.1, "clients.line_every", "must be 0.1 at the least")?;
        must(
            (0.0..=1.0).contains(&self.clients.ignore_move_share),
            "clients.lingering",
            "must be from 0 to 1",
        )?;
        must(self.rules.max_legs >= 1, "rules.most_legs", "must be 1 at the least")?;
        for (n, one) in self.traffic.iter().enumerate() {
            let key = |name: &str| format!("traffic[{n}].{name}");
            must(one.guard_time > 0.0, &key("guard_time"), "must be over 0")?;
            must(one.lifetime > 0.0, &key("life"), "must be over 0")?;
            must(one.lifetime_shape > 1.0, &key("life_shape"), "must be over 1")?;
            must(one.load > 0.0, &key("load"), "must be over 0")?;
            must(one.change_interval > 0.0, &key("change"), "must be over 0")?;
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
            crate::troubles::find_kind(&one.kind).map_err(|e| format!("key '{}': {e}", key("kind")))?;
            must(one.at >= 0.0 && one.duration > 0.0, &key("at"), "must be 0 or over, and 'lasts' over 0")?;
            must((0.0..=1.0).contains(&one.fraction), &key("part"), "must be from 0 to 1")?;
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
