//! The one place where the configuration is read, checked and given its defaults.

use crate::transient::retry_transient;
use crate::wire::server_list::parse_list;
use dewhead_startup::fields::{field, integer, invalid, optional, text, ParseResult};
use dewhead_startup::{validation, Startup};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Kept of the memory limit for what is not an end of a session: the program, the list, the watch.
const MEMORY_KEPT: u64 = 6 << 20;
/// What an end of a session can take at the most: a read's bytes that wait, a line, and its entries.
const MEMORY_AN_END: u64 = 14 << 10;
/// Without a limit told.
const DESCRIPTORS: u64 = 1024;

pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u128,
    /// The most that may be open at a time, by the limits on sockets and on memory.
    pub descriptors: usize,
    /// The list of servers as it was last had.
    pub remembered: Value,
    pub startup: Startup,
    /// What of the settings is obeyed otherwise than its words say, a line each.
    pub remarks: Vec<String>,
    /// Where operators ask and tell; nowhere if not told.
    pub control: Option<PathBuf>,
    pub fixed: Fixed,
}

/// What can't change while the proxy runs: standing connections and the balancer hang on it. `known` counts at a start
/// alone, too, but the list held then is newer than any that a file has.
pub struct Fixed(Vec<(String, Value)>);

impl Fixed {
    fn of(told: &Value) -> Fixed {
        let one = |name: &str| (name.to_owned(), told[name].clone());
        let parts = told["settings"].as_object().into_iter().flatten();
        let parts = parts.map(|(name, part)| (format!("settings.{name}"), part.clone()));
        Fixed(["name", "listen", "seed", "control"].map(one).into_iter().chain(parts).collect())
    }

    /// The keys that another has otherwise, or not at all, or alone.
    pub fn differing<'a>(&'a self, other: &'a Fixed) -> Vec<&'a str> {
        let lacks = |(a, b): (&'a Fixed, &Fixed)| {
            a.0.iter().filter(|one| !b.0.contains(one)).map(|(key, _)| key.as_str()).collect::<Vec<_>>()
        };
        let mut keys = [lacks((self, other)), lacks((other, self))].concat();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
}

impl Configuration {
    /// As `load`, for a process that can't start without it: a file that can't be read for a moment is read again.
    pub fn load_at_start(path: Option<&Path>) -> Result<Configuration, String> {
        Configuration::load_by(path, |path| retry_transient(|| std::fs::read(path)))
    }

    /// Reads the file named, or else the one that LB_CONFIG names.
    pub fn load(path: Option<&Path>) -> Result<Configuration, String> {
        Configuration::load_by(path, |path| std::fs::read(path))
    }

    fn load_by(
        path: Option<&Path>,
        read: impl Fn(&Path) -> io::Result<Vec<u8>>,
    ) -> Result<Configuration, String> {
        let told = std::env::var_os("LB_CONFIG");
        let path = path
            .or(told.as_ref().map(Path::new))
            .ok_or("no configuration: give --config FILE or set LB_CONFIG")?;
        let bytes = read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let value: Value = serde_json::from_slice(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
        Configuration::read(&value).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn read(told: &Value) -> ParseResult<Configuration> {
        let settings = |of| validation::validate(of).and_then(|remarks| Ok((Startup::parse(of)?, remarks)));
        let (startup, remarks) = field(told, "settings").and_then(settings).map_err(|e| {
            if told["settings"].is_null() {
                e
            } else {
                format!("settings: {e}")
            }
        })?;
        let (mut descriptors, mut memory) = (DESCRIPTORS, None);
        if let Some(limits) = optional(told, "limits", field)? {
            let within = |e| format!("limits: {e}");
            descriptors = optional(limits, "sockets", integer).map_err(within)?.unwrap_or(DESCRIPTORS);
            memory = optional(limits, "memory_mb", integer).map_err(within)?;
        }
        if let Some(memory) = memory {
            let ends = memory.saturating_mul(1 << 20).saturating_sub(MEMORY_KEPT) / MEMORY_AN_END;
            descriptors = descriptors.min(ends);
        }
        if descriptors < 64 {
            return Err(
                "limits: fields 'sockets' and 'memory_mb' leave room for fewer than 64 descriptors".into()
            );
        }
        let seed = text(told, "seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| invalid("seed", "hex digits"))?;
        let remembered = told.get("known").cloned().unwrap_or_default();
        if !remembered.is_null() {
            parse_list(&remembered, &startup.names.zones).map_err(|e| format!("known: {e}"))?;
        }
        Ok(Configuration {
            name: optional(told, "name", text)?.unwrap_or("dewhead").to_owned(),
            listen: address(told, "listen")?,
            discovery: address(told, "discovery")?,
            seed: u128::from(seed),
            descriptors: descriptors as usize,
            remembered,
            startup,
            remarks,
            control: optional(told, "control", text)?.map(PathBuf::from),
            fixed: Fixed::of(told),
        })
    }
}

fn address(told: &Value, name: &str) -> ParseResult<SocketAddr> {
    text(told, name)?.parse().map_err(|_| invalid(name, "an address with a port"))
}
