//! Reads the configuration file, validates it and applies defaults. No other module does this.

use crate::transient::retry_transient;
use crate::wire::server_list::parse_list;
use dewhead_startup::fields::{field, integer, invalid, optional, text, ParseResult};
use dewhead_startup::{validation, Startup};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Part of the memory limit that is not available to connections: the program, the server list and the watch on
/// discovery.
const RESERVED_MEMORY_BYTES: u64 = 6 << 20;
/// Most memory that the client or server connection of a session can use: the pending bytes of one read, a
/// line, and its table entries.
const MEMORY_BYTES_PER_CONNECTION: u64 = 14 << 10;
/// Limit on descriptors where the configuration sets none.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;

/// A validated configuration.
pub struct Configuration {
    /// Name of this proxy, for the log.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u128,
    /// Most descriptors open at a time, by the limits on sockets and on memory.
    pub max_descriptors: usize,
    /// The server list that was last received, key `known`; null if there is none.
    pub last_known_list: Value,
    /// The settings of the balancer.
    pub startup: Startup,
    /// Settings that are valid but are not applied literally, one line each.
    pub warnings: Vec<String>,
    /// Path of the control socket; none if the proxy opens no control socket.
    pub control_socket: Option<PathBuf>,
    /// The settings that a reload can't change.
    pub restart_only: RestartOnlySettings,
    /// The limits that it names.
    pub named_limits: NamedLimits,
}

/// Which limits a configuration names. A reload whose file lacks one that the configuration at the start names is invalid:
/// the file is incomplete, and nothing is taken from it.
pub struct NamedLimits(Vec<&'static str>);

impl NamedLimits {
    /// The keys within `limits`.
    const KEYS: [&'static str; 3] = ["cores", "memory_mb", "sockets"];

    fn extract(json: &Value) -> NamedLimits {
        let is_named = |key: &&'static str| !json["limits"][*key].is_null();
        NamedLimits(NamedLimits::KEYS.into_iter().filter(is_named).collect())
    }

    /// Checks that another configuration names these limits too.
    ///
    /// # Errors
    ///
    /// One line that names the first key that is missing.
    pub fn check_named_by(&self, other: &NamedLimits) -> ParseResult<()> {
        match self.0.iter().find(|key| !other.0.contains(key)) {
            Some(_) if other.0.is_empty() => {
                Err("field 'limits' is missing, which the configuration in force has".into())
            }
            Some(key) => {
                Err(format!("limits: field '{key}' is missing, which the configuration in force has"))
            }
            None => Ok(()),
        }
    }
}

/// Settings that can't change while the proxy runs, as open connections and the balancer depend on them, with their
/// keys. `known` is also used only at the start, but is not among them: later, the list held is newer than any in a
/// file.
pub struct RestartOnlySettings(Vec<(String, Value)>);

impl RestartOnlySettings {
    fn extract(json: &Value) -> RestartOnlySettings {
        let top_level = |name: &str| (name.to_owned(), json[name].clone());
        let parts = json["settings"].as_object().into_iter().flatten();
        let parts = parts.map(|(name, part)| (format!("settings.{name}"), part.clone()));
        RestartOnlySettings(
            ["name", "listen", "seed", "control"].map(top_level).into_iter().chain(parts).collect(),
        )
    }

    /// Returns the keys whose values differ or that only one of the two has, sorted.
    pub fn differing_keys<'a>(&'a self, other: &'a RestartOnlySettings) -> Vec<&'a str> {
        let missing_in = |(a, b): (&'a RestartOnlySettings, &RestartOnlySettings)| {
            a.0.iter().filter(|entry| !b.0.contains(entry)).map(|(key, _)| key.as_str()).collect::<Vec<_>>()
        };
        let mut keys = [missing_in((self, other)), missing_in((other, self))].concat();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
}

impl Configuration {
    /// Like `load`, for the start of the process, which fails without a configuration: transient read errors are
    /// retried.
    pub fn load_at_start(path: Option<&Path>) -> Result<Configuration, String> {
        Configuration::load_with(path, |path| retry_transient(|| std::fs::read(path)))
    }

    /// Loads the file at `path`, or the one named by LB_CONFIG if there is no path.
    pub fn load(path: Option<&Path>) -> Result<Configuration, String> {
        Configuration::load_with(path, |path| std::fs::read(path))
    }

    fn load_with(
        path: Option<&Path>,
        read: impl Fn(&Path) -> io::Result<Vec<u8>>,
    ) -> Result<Configuration, String> {
        let from_environment = std::env::var_os("LB_CONFIG");
        let path = path
            .or(from_environment.as_ref().map(Path::new))
            .ok_or("no configuration: give --config FILE or set LB_CONFIG")?;
        let bytes = read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let value: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
        Configuration::from_json(&value).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Validates a parsed configuration.
    ///
    /// # Errors
    ///
    /// One line that names the faulty key.
    pub fn from_json(json: &Value) -> ParseResult<Configuration> {
        let settings = |of| validation::validate(of).and_then(|warnings| Ok((Startup::parse(of)?, warnings)));
        let (startup, warnings) = field(json, "settings").and_then(settings).map_err(|e| {
            if json["settings"].is_null() {
                e
            } else {
                format!("settings: {e}")
            }
        })?;
        let (mut max_descriptors, mut memory) = (DEFAULT_MAX_DESCRIPTORS, None);
        if let Some(limits) = optional(json, "limits", field)? {
            let in_limits = |e| format!("limits: {e}");
            max_descriptors =
                optional(limits, "sockets", integer).map_err(in_limits)?.unwrap_or(DEFAULT_MAX_DESCRIPTORS);
            memory = optional(limits, "memory_mb", integer).map_err(in_limits)?;
        }
        if let Some(memory) = memory {
            let connections = memory.saturating_mul(1 << 20).saturating_sub(RESERVED_MEMORY_BYTES)
                / MEMORY_BYTES_PER_CONNECTION;
            max_descriptors = max_descriptors.min(connections);
        }
        if max_descriptors < 64 {
            return Err(
                "limits: fields 'sockets' and 'memory_mb' leave room for fewer than 64 descriptors".into()
            );
        }
        let seed = text(json, "seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| invalid("seed", "hex digits"))?;
        let last_known_list = json.get("known").cloned().unwrap_or_default();
        if !last_known_list.is_null() {
            parse_list(&last_known_list, &startup.names.zones).map_err(|e| format!("known: {e}"))?;
        }
        Ok(Configuration {
            name: optional(json, "name", text)?.unwrap_or("dewhead").to_owned(),
            listen: address(json, "listen")?,
            discovery: address(json, "discovery")?,
            seed: u128::from(seed),
            max_descriptors: max_descriptors as usize,
            last_known_list,
            startup,
            warnings,
            control_socket: optional(json, "control", text)?.map(PathBuf::from),
            restart_only: RestartOnlySettings::extract(json),
            named_limits: NamedLimits::extract(json),
        })
    }
}

fn address(json: &Value, name: &str) -> ParseResult<SocketAddr> {
    text(json, name)?.parse().map_err(|_| invalid(name, "an address with a port"))
}
