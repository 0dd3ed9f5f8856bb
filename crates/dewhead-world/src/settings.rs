//! What a proxy's configuration says, as its operators would write it for this world.

use crate::experiment::{Experiment, Repeatability, Scope};
use serde_json::{json, Value};

fn ms(seconds: f64) -> f64 {
    (seconds * 1e6).round() / 1e3
}

/// The part of its capacity that every node has at its start, at the least.
pub(crate) fn assumed_cold_share(of: &Experiment) -> f64 {
    of.machines.iter().map(|m| m.cold_share[0]).fold(1.0, f64::min)
}

/// When every node is warm, in seconds after its start.
pub(crate) fn assumed_warm_up_time(of: &Experiment) -> f64 {
    of.machines.iter().map(|m| m.warm_up_time[1]).fold(0.0, f64::max)
}

/// The settings of the `position`-th proxy.
pub fn proxy_settings(of: &Experiment, position: usize) -> Value {
    let kinds = of.traffic.iter().map(|t| {
        let effect = match t.repeatability {
            Repeatability::Repeatable => "retryable",
            Repeatability::Referenced => "dedup",
            Repeatability::OnceOnly => "fragile",
        };
        let scope = match t.scope {
            Scope::All => "all",
            Scope::Zone => "zone",
            Scope::Cell => "cell",
        };
        json!({"name": t.name, "idempotency": effect, "keyScope": scope, "repeatWindow": ms(t.window),
               "setupTarget": ms(t.setup_target), "guardTime": ms(t.guard_time), "revenue": t.revenue})
    });
    let shops: f64 = of.tenants.iter().map(|s| s.share).sum();
    let rules = &of.rules;
    json!({
        "azs": of.fleet.zones,
        "locality": of.fleet.zones[position % of.fleet.zones.len()],
        "position": position,
        "siblings": of.fleet.proxies,
        "membershipMode": "automatic",
        "trafficTypes": kinds.collect::<Vec<_>>(),
        "tenants": of.tenants.iter().map(|s| json!({"name": s.name, "share": s.share / shops})).collect::<Vec<_>>(),
        "deductions": {"crossZone": rules.cross_zone_cost, "moves": rules.move_cost},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": rules.max_legs, "secondCopies": rules.second_copies, "cancel": true,
                   "retryAfter": rules.retry_after, "maxRetryAfter": ms(rules.max_retry_after),
                   "connectTimeout": ms(rules.connect_timeout)},
        "obligations": {"coldShare": assumed_cold_share(of),
                        "cold": ms(assumed_warm_up_time(of)),
                        "fallMultiple": of.proxy.configured_overload_multiple.unwrap_or(rules.overload_multiple), "tipAfter": ms(rules.overload_window)},
        "specifics": {"messageAim": of.traffic.iter().map(|t| ms(t.message_target)).collect::<Vec<_>>(), "groups": false}
    })
}

/// The whole configuration: where to listen, where discovery is, and the list that this proxy last had.
pub fn proxy_configuration(
    of: &Experiment,
    position: usize,
    listen: &str,
    discovery: &str,
    seed: u64,
    known: Value,
) -> Value {
    json!({
        "name": format!("proxy-{position}"), "listen": listen, "discovery": discovery, "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": of.proxy.memory_mb, "sockets": of.proxy.sockets},
        "known": known, "settings": proxy_settings(of, position)
    })
}
