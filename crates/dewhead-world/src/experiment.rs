//! The experiment file: the world, its troubles and their times, the seeds, and a matrix of values to sweep.
//! Every key has a default. An unknown key is an error, and each error names its key.
//!
//! A field's name is its key in the file, unless a `rename` attribute gives the key. Times are in seconds,
//! loads in standard cores, and shares are relative to the sum of the shares in the same list.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A range `[lowest, highest]` from which values are drawn uniformly.
pub type Range = [f64; 2];

/// An experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// What the experiment shows, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Duration of a run, in seconds.
    pub seconds: f64,
    /// Seeds to run if none are given on the command line.
    pub seeds: Vec<u64>,
    /// Zones, proxies and nodes.
    pub fleet: Fleet,
    /// Types of machines that nodes run on.
    #[serde(rename = "machine")]
    pub machines: Vec<Machine>,
    /// Behaviour of node processes.
    pub node: NodeBehaviour,
    /// Demand.
    pub load: Load,
    /// Traffic types.
    #[serde(rename = "traffic")]
    pub traffic: Vec<Traffic>,
    /// Tenants.
    #[serde(rename = "shop")]
    pub tenants: Vec<Tenant>,
    /// Behaviour of clients.
    pub clients: Clients,
    /// Latency and message splitting.
    pub network: Network,
    /// Behaviour of the front layer.
    pub front: Front,
    /// Delays of discovery.
    pub discovery: Discovery,
    /// Limits and delays of the proxies.
    pub proxy: ProxyBehaviour,
    /// Parameters of the rules that proxies must keep.
    pub rules: Rules,
    /// Troubles, each with its time.
    #[serde(rename = "trouble")]
    pub troubles: Vec<Trouble>,
    /// Dotted keys, such as `load.utilisation`, each with the values to sweep over.
    pub matrix: BTreeMap<String, Vec<toml::Value>>,
}

/// Size and layout of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Names of the zones. Proxies and nodes are distributed over them in turn.
    pub zones: Vec<String>,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes of one zone that form a cell.
    #[serde(rename = "cell")]
    pub cell_size: usize,
}

/// A type of machine that nodes run on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// Name of the machine type.
    pub name: String,
    /// Share of the fleet's nodes.
    pub share: f64,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core in standard cores, drawn for each node.
    pub speed: Range,
    /// Fraction of its capacity that a node has just after its start, drawn for each node.
    pub cold_share: Range,
    /// Seconds after its start until a node has its full capacity, drawn for each node.
    #[serde(rename = "warm_after")]
    pub warm_up_time: Range,
}

/// Behaviour of node processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeBehaviour {
    /// Maximum number of connections per core; further calls get `BUSY`.
    #[serde(rename = "connections_a_core")]
    pub connections_per_core: f64,
    /// Mean work to set up a connection, in core-seconds.
    #[serde(rename = "set_up_work")]
    pub setup_work: f64,
    /// Queued work, in seconds, above which a node answers `BUSY` to new calls.
    #[serde(rename = "longest_queue")]
    pub max_queue: f64,
    /// Whether nodes write `LOAD` lines.
    #[serde(rename = "tells_load")]
    pub reports_load: bool,
    /// Whether nodes echo lines immediately, regardless of queued work; otherwise after the queueing delay.
    #[serde(rename = "echoes_at_once")]
    pub echoes_immediately: bool,
    /// Queued work, in seconds, from which a node resets its newest connections; 0 for never.
    #[serde(rename = "sheds_from")]
    pub shed_threshold: f64,
    /// Time over which a draining node sends its clients away, in seconds; 0 for all at once.
    pub drain_spread: f64,
    /// Whether the weights in the node list are proportional to the machines' capacities, rather than all 1.
    pub weights: bool,
}

/// Demand over time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Mean load of all connections that clients ask for, as a fraction of the fleet's capacity; above 1 it exceeds
    /// the capacity.
    pub utilisation: f64,
    /// Amplitude of the periodic variation of the arrival rate, as a fraction of its mean.
    pub swing: f64,
    /// Period of that variation, in seconds.
    pub period: f64,
    /// Imbalance of the clients over the zones: 0 for an even distribution, 1 for all clients in the first
    /// zone.
    pub zone_skew: f64,
    /// Whether the connections of a running service exist when the experiment begins.
    #[serde(rename = "warm")]
    pub prewarmed: bool,
}

/// A traffic type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Name of the traffic type.
    pub name: String,
    /// Share of the clients.
    pub share: f64,
    /// Whether and how a call may be repeated after an attempt that may have run.
    #[serde(rename = "effect")]
    pub repeatability: Repeatability,
    /// For referenced calls: how long servers remember a reference, in seconds.
    pub window: f64,
    /// For referenced calls: the servers that share the remembered references.
    pub scope: Scope,
    /// Mean load of a connection while it is not idle, in standard cores.
    pub load: f64,
    /// Standard deviation of the logarithm of the load, between clients.
    pub load_sigma: f64,
    /// Standard deviation of the logarithm of a connection's load over time.
    pub swing_sigma: f64,
    /// Mean time between changes of a connection's load, in seconds.
    #[serde(rename = "change")]
    pub change_interval: f64,
    /// Fraction of the time in which a connection has no load.
    pub idle: f64,
    /// Mean time that a client stays, in seconds.
    #[serde(rename = "life")]
    pub lifetime: f64,
    /// Shape of the distribution's tail, greater than 1; the lower, the heavier the tail.
    #[serde(rename = "life_shape")]
    pub lifetime_shape: f64,
    /// Target for the setup time, in seconds.
    pub setup_target: f64,
    /// Time within which a call must be answered, in seconds.
    pub guard_time: f64,
    /// Target for the queueing delay of messages, in seconds; work within it earns revenue.
    pub message_target: f64,
    /// Revenue per second for each standard core of load served within the message target.
    pub revenue: f64,
}

/// Whether and how a call may be repeated after an attempt that may have run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// The call may be repeated without limit.
    Repeatable,
    /// The call carries a reference by which a server recognizes a repetition.
    Referenced,
    /// The call must not be repeated.
    OnceOnly,
}

/// The servers that share the references of calls.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Share of the capacity that the tenant is entitled to.
    pub share: f64,
    /// Demand of the tenant as a multiple of its share.
    pub usage: f64,
}

/// Behaviour of clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Number of retries of a client.
    pub retries: Range,
    /// First pause before a retry, in seconds; each further pause is twice as long.
    pub pause: Range,
    /// Fraction of the clients that respect the retry time of a `BUSY`.
    #[serde(rename = "honour")]
    pub honours_retry_after: f64,
    /// Time after a broken connection or a `MOVE` until a client reconnects, in seconds.
    #[serde(rename = "rejoin")]
    pub reconnect_delay: Range,
    /// Time between a client's lines, in seconds.
    #[serde(rename = "line_every")]
    pub line_interval: f64,
    /// Fraction of the clients that keep writing on a connection after `MOVE` until it is closed.
    #[serde(rename = "lingering")]
    pub ignore_move_share: f64,
    /// Whether clients send an estimate of their load.
    pub hints: bool,
    /// Standard deviation of the logarithm of that estimate.
    pub hint_sigma: f64,
}

/// Latency and message splitting.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One-way latency within a zone, in seconds.
    #[serde(rename = "same")]
    pub within_zone: Range,
    /// One-way latency between zones, in seconds.
    #[serde(rename = "cross")]
    pub cross_zone: Range,
    /// One-way latency between clients and proxies, in seconds.
    pub client: Range,
    /// Largest random increase of a message's latency, as a fraction of it.
    pub jitter: f64,
    /// Fraction of the messages that arrive in two parts.
    #[serde(rename = "cuts")]
    pub split_share: f64,
}

/// Behaviour of the front layer, which distributes clients over the proxies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// Time for which it still sends clients to a proxy that has failed, in seconds.
    #[serde(rename = "notice")]
    pub failure_notice: Range,
    /// Time for which it still sends clients to a proxy that is stopping, in seconds.
    pub stop_notice: Range,
}

/// Delays of discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay until discovery records a process that has ended, in seconds.
    #[serde(rename = "notice")]
    pub failure_notice: Range,
    /// Delay until discovery records a machine that has become silent, in seconds.
    pub silent_notice: Range,
    /// Delay until discovery records a process that has started or is draining, in seconds.
    #[serde(rename = "add")]
    pub update_notice: Range,
    /// Largest delay from a change in discovery until a proxy's agent has it, in seconds.
    #[serde(rename = "spread")]
    pub propagation_spread: f64,
}

/// Limits and delays of the proxies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyBehaviour {
    /// Time from a start until the process listens, in seconds.
    #[serde(rename = "start")]
    pub start_delay: Range,
    /// Time over which an old process sends its clients away after a handover, in seconds.
    pub leave_in: f64,
    /// Overload multiple in the proxies' settings, if it differs from the rule's. If it is too high, proxies
    /// send more to cold nodes than the rule allows.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "told_fall_multiple")]
    pub configured_overload_multiple: Option<f64>,
    /// Limit of open sockets.
    pub sockets: usize,
    /// Memory limit, in megabytes.
    pub memory_mb: u64,
}

/// Parameters of the rules; the proxies' settings contain them too.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Maximum number of legs of a call.
    #[serde(rename = "most_legs")]
    pub max_legs: u32,
    /// Whether two legs of a call may be pending at once.
    pub second_copies: bool,
    /// Whether a `BUSY` may carry a retry time.
    pub retry_after: bool,
    /// Longest retry time, in seconds.
    #[serde(rename = "longest_stay_away")]
    pub max_retry_after: f64,
    /// Time limit for a connection to a node, in seconds.
    pub connect_timeout: f64,
    /// Time for which a draining or removed node may still be sent calls, in seconds.
    pub drain_grace: f64,
    /// A cold node crashes if it is sent more than this multiple of its current capacity over the overload
    /// window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the overload window, in seconds.
    #[serde(rename = "fall_after")]
    pub overload_window: f64,
    /// Deduction for a leg that crosses zones, in the proxies' settings.
    #[serde(rename = "crossing")]
    pub cross_zone_cost: f64,
    /// Deduction for moving a connection, in the proxies' settings.
    #[serde(rename = "moving")]
    pub move_cost: f64,
}

/// A trouble: its kind, start and duration. The kind determines the meaning of the other keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// Name of the kind, one of `troubles::TROUBLE_KINDS`.
    pub kind: String,
    /// Start, in seconds.
    pub at: f64,
    /// Duration, in seconds.
    #[serde(default = "default_duration")]
    #[serde(rename = "lasts")]
    pub duration: f64,
    /// Fraction of the eligible nodes, proxies or clients that is affected.
    #[serde(default = "default_fraction")]
    #[serde(rename = "part")]
    pub fraction: f64,
    /// Magnitude; a multiple, a number or a time, depending on the kind.
    #[serde(default = "default_magnitude")]
    #[serde(rename = "size")]
    pub magnitude: f64,
    /// Number of nodes or proxies affected at a time, for kinds that affect them in turn.
    #[serde(default = "default_at_a_time")]
    pub at_a_time: usize,
    /// Restricts the trouble to this zone, for kinds that use it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Restricts the trouble to this traffic type or tenant, for kinds that use it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "of")]
    pub subject: Option<String>,
}

fn default_duration() -> f64 {
    10.0
}
fn default_fraction() -> f64 {
    0.5
}
fn default_magnitude() -> f64 {
    2.0
}
fn default_at_a_time() -> usize {
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
        let tenant = |name: &str, share: f64| Tenant { name: name.into(), share, usage: 1.0 };
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
            tenants: vec![tenant("north", 0.5), tenant("south", 0.3), tenant("island", 0.2)],
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
    /// Reads an experiment from TOML. An error is a single line that names the key, or the position in the
    /// text.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let table =
            toml::from_str::<toml::Table>(text).map_err(|e| e.to_string().trim().replace('\n', " "))?;
        Experiment::from_value(toml::Value::Table(table))
    }

    fn from_value(value: toml::Value) -> Result<Experiment, String> {
        let experiment: Experiment = serde_path_to_error::deserialize(value)
            .map_err(|e| format!("key '{}': {}", e.path(), e.inner().message()))?;
        experiment.check()?;
        Ok(experiment)
    }

    /// Returns one experiment for each point of the matrix, with a label of the point; only the experiment
    /// itself if there is no matrix.
    pub fn matrix_points(&self) -> Result<Vec<(String, Experiment)>, String> {
        let mut without_matrix = self.clone();
        without_matrix.matrix.clear();
        let base = toml::Value::try_from(&without_matrix).map_err(|e| e.to_string())?;
        let mut points = vec![(String::new(), base)];
        for (key, values) in &self.matrix {
            let mut extended = Vec::new();
            for (label, point) in &points {
                for value in values {
                    let mut point = point.clone();
                    replace_value(&mut point, key, value.clone())?;
                    let separator = if label.is_empty() { "" } else { ", " };
                    extended.push((format!("{label}{separator}{key} = {value}"), point));
                }
            }
            points = extended;
        }
        points.into_iter().map(|(label, point)| Ok((label, Experiment::from_value(point)?))).collect()
    }

    /// Checks the ranges of all values.
    fn check(&self) -> Result<(), String> {
        let require = |valid: bool, key: &str, requirement: &str| {
            if valid {
                Ok(())
            } else {
                Err(format!("key '{key}': {requirement}"))
            }
        };
        require(
            self.seconds > 0.0 && self.seconds <= 86_400.0,
            "seconds",
            "must be greater than 0 and at most 86400",
        )?;
        require(!self.fleet.zones.is_empty(), "fleet.zones", "must name at least one zone")?;
        require((1..=1000).contains(&self.fleet.proxies), "fleet.proxies", "must be from 1 to 1000")?;
        require((1..=1000).contains(&self.fleet.nodes), "fleet.nodes", "must be from 1 to 1000")?;
        require(self.fleet.cell_size > 0, "fleet.cell", "must be greater than 0")?;
        require(!self.machines.is_empty(), "machine", "must contain at least one machine type")?;
        require(!self.traffic.is_empty(), "traffic", "must contain at least one traffic type")?;
        require(!self.tenants.is_empty(), "shop", "must contain at least one tenant")?;
        require(
            self.load.utilisation >= 0.0 && self.load.utilisation <= 10.0,
            "load.utilisation",
            "must be from 0 to 10",
        )?;
        require((0.0..=1.0).contains(&self.load.swing), "load.swing", "must be from 0 to 1")?;
        require((0.0..=1.0).contains(&self.load.zone_skew), "load.zone_skew", "must be from 0 to 1")?;
        require(self.load.period > 0.0, "load.period", "must be greater than 0")?;
        require(self.clients.line_interval >= 0.1, "clients.line_every", "must be at least 0.1")?;
        require(
            (0.0..=1.0).contains(&self.clients.ignore_move_share),
            "clients.lingering",
            "must be from 0 to 1",
        )?;
        require(self.rules.max_legs >= 1, "rules.most_legs", "must be at least 1")?;
        for (n, traffic) in self.traffic.iter().enumerate() {
            let key = |name: &str| format!("traffic[{n}].{name}");
            require(traffic.guard_time > 0.0, &key("guard_time"), "must be greater than 0")?;
            require(traffic.lifetime > 0.0, &key("life"), "must be greater than 0")?;
            require(traffic.lifetime_shape > 1.0, &key("life_shape"), "must be greater than 1")?;
            require(traffic.load > 0.0, &key("load"), "must be greater than 0")?;
            require(traffic.change_interval > 0.0, &key("change"), "must be greater than 0")?;
            require((0.0..1.0).contains(&traffic.idle), &key("idle"), "must be at least 0 and less than 1")?;
            let valid_name = !traffic.name.is_empty()
                && traffic.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
            require(valid_name, &key("name"), "must be letters, digits and hyphens")?;
        }
        for (n, machine) in self.machines.iter().enumerate() {
            let key = |name: &str| format!("machine[{n}].{name}");
            require(machine.cores > 0.0, &key("cores"), "must be greater than 0")?;
            require(
                machine.speed[0] > 0.0 && machine.speed[1] >= machine.speed[0],
                &key("speed"),
                "must be two numbers greater than 0, the second not less than the first",
            )?;
            require(machine.cold_share[0] > 0.0, &key("cold_share"), "must be greater than 0")?;
        }
        for (n, trouble) in self.troubles.iter().enumerate() {
            let key = |name: &str| format!("trouble[{n}].{name}");
            crate::troubles::find_kind(&trouble.kind).map_err(|e| format!("key '{}': {e}", key("kind")))?;
            require(
                trouble.at >= 0.0 && trouble.duration > 0.0,
                &key("at"),
                "must be at least 0, and 'lasts' greater than 0",
            )?;
            require((0.0..=1.0).contains(&trouble.fraction), &key("part"), "must be from 0 to 1")?;
            require(trouble.at_a_time > 0, &key("at_a_time"), "must be greater than 0")?;
            if let Some(zone) = &trouble.zone {
                require(self.fleet.zones.contains(zone), &key("zone"), "is not a zone of the fleet")?;
            }
        }
        Ok(())
    }
}

/// Replaces the value at a dotted key.
fn replace_value(root: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let unknown_key = || format!("key 'matrix': '{key}' does not exist");
    let mut at = root;
    for name in key.split('.') {
        at = match (name.parse::<usize>(), at) {
            (Ok(n), toml::Value::Array(list)) => list.get_mut(n).ok_or_else(unknown_key)?,
            (_, toml::Value::Table(table)) => table.get_mut(name).ok_or_else(unknown_key)?,
            _ => return Err(unknown_key()),
        };
    }
    *at = value;
    Ok(())
}
