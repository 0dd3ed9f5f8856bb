//! The settings of the proxies for an experiment, as operators would write them.

use crate::experiment::{Experiment, Repeatability, Scope};
use serde_json::{json, Value};

/// Converts seconds to milliseconds, rounded to microseconds.
fn to_ms(seconds: f64) -> f64 {
    (seconds * 1e6).round() / 1e3
}

/// The smallest fraction of its capacity that any node has at its start.
pub(crate) fn assumed_cold_share(experiment: &Experiment) -> f64 {
    experiment.machines.iter().map(|m| m.cold_share[0]).fold(1.0, f64::min)
}

/// The time after its start at which every node is warm, in seconds.
pub(crate) fn assumed_warm_up_time(experiment: &Experiment) -> f64 {
    experiment.machines.iter().map(|m| m.warm_up_time[1]).fold(0.0, f64::max)
}

/// The settings of the proxy at this position.
pub fn proxy_settings(experiment: &Experiment, position: usize) -> Value {
    let traffic_types = experiment.traffic.iter().map(|t| {
        let idempotency = match t.repeatability {
            Repeatability::Repeatable => "retryable",
            Repeatability::Referenced => "dedup",
            Repeatability::OnceOnly => "fragile",
        };
        let scope = match t.scope {
            Scope::All => "all",
            Scope::Zone => "zone",
            Scope::Cell => "cell",
        };
        json!({"name": t.name, "idempotency": idempotency, "keyScope": scope, "repeatWindow": to_ms(t.window),
               "setupTarget": to_ms(t.setup_target), "guardTime": to_ms(t.guard_time), "revenue": t.revenue})
    });
    let total_share: f64 = experiment.tenants.iter().map(|s| s.share).sum();
    let rules = &experiment.rules;
    json!({
        "azs": experiment.fleet.zones,
        "locality": experiment.fleet.zones[position % experiment.fleet.zones.len()],
        "position": position,
        "siblings": experiment.fleet.proxies,
        "membershipMode": "automatic",
        "trafficTypes": traffic_types.collect::<Vec<_>>(),
        "tenants": experiment.tenants.iter().map(|s| json!({"name": s.name, "share": s.share / total_share})).collect::<Vec<_>>(),
        "deductions": {"crossZone": rules.cross_zone_cost, "moves": rules.move_cost},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": rules.max_legs, "secondCopies": rules.second_copies, "cancel": true,
                   "retryAfter": rules.retry_after, "maxRetryAfter": to_ms(rules.max_retry_after),
                   "connectTimeout": to_ms(rules.connect_timeout)},
        "obligations": {"coldShare": assumed_cold_share(experiment),
                        "cold": to_ms(assumed_warm_up_time(experiment)),
                        "fallMultiple": experiment.proxy.configured_overload_multiple.unwrap_or(rules.overload_multiple), "tipAfter": to_ms(rules.overload_window)},
        "specifics": {"messageAim": experiment.traffic.iter().map(|t| to_ms(t.message_target)).collect::<Vec<_>>(), "groups": false}
    })
}

/// The whole configuration of a proxy: its settings, the addresses of its listener and of discovery, and the
/// node list that it last had.
pub fn proxy_configuration(
    experiment: &Experiment,
    position: usize,
    listen: &str,
    discovery: &str,
    seed: u64,
    node_list: Value,
) -> Value {
    json!({
        "name": format!("proxy-{position}"), "listen": listen, "discovery": discovery, "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": experiment.proxy.memory_mb, "sockets": experiment.proxy.sockets},
        "known": node_list, "settings": proxy_settings(experiment, position)
    })
}
