//! What a proxy's configuration says, as its operators would write it for this world.

use crate::experiment::{Effect, Experiment, Scope};
use serde_json::{json, Value};

fn ms(seconds: f64) -> f64 {
    (seconds * 1e6).round() / 1e3
}

/// The part of its capacity that every node has at its start, at the least.
pub(crate) fn told_cold_share(of: &Experiment) -> f64 {
    of.machines.iter().map(|m| m.cold_share[0]).fold(1.0, f64::min)
}

/// When every node is warm, in seconds after its start.
pub(crate) fn told_warm_after(of: &Experiment) -> f64 {
    of.machines.iter().map(|m| m.warm_after[1]).fold(0.0, f64::max)
}

/// The settings of the `position`-th proxy.
pub fn settings(of: &Experiment, position: usize) -> Value {
    let kinds = of.traffic.iter().map(|t| {
        let effect = match t.effect {
            Effect::Repeatable => "retryable",
            Effect::Referenced => "dedup",
            Effect::OnceOnly => "fragile",
        };
        let scope = match t.scope {
            Scope::All => "all",
            Scope::Zone => "zone",
            Scope::Cell => "cell",
        };
        json!({"name": t.name, "idempotency": effect, "keyScope": scope, "repeatWindow": ms(t.window),
               "setupTarget": ms(t.setup_target), "guardTime": ms(t.guard_time), "revenue": t.revenue})
    });
    let shops: f64 = of.shops.iter().map(|s| s.share).sum();
    let rules = &of.rules;
    json!({
        "azs": of.fleet.zones,
        "locality": of.fleet.zones[position % of.fleet.zones.len()],
        "position": position,
        "siblings": of.fleet.proxies,
        "membershipMode": "automatic",
        "trafficTypes": kinds.collect::<Vec<_>>(),
        "tenants": of.shops.iter().map(|s| json!({"name": s.name, "share": s.share / shops})).collect::<Vec<_>>(),
        "deductions": {"crossZone": rules.crossing, "moves": rules.moving},
        "feedback": {"how": "off", "fields": []},
        "limits": {"mostLegs": rules.most_legs, "secondCopies": rules.second_copies, "cancel": true,
                   "retryAfter": rules.retry_after, "maxRetryAfter": ms(rules.longest_stay_away),
                   "connectTimeout": ms(rules.connect_timeout)},
        "obligations": {"coldShare": told_cold_share(of),
                        "cold": ms(told_warm_after(of)),
                        "fallMultiple": of.proxy.told_fall_multiple.unwrap_or(rules.fall_multiple), "tipAfter": ms(rules.fall_after)},
        "specifics": {"messageAim": of.traffic.iter().map(|t| ms(t.message_target)).collect::<Vec<_>>(), "groups": false}
    })
}

/// The whole configuration: where to listen, where discovery is, and the list that this proxy last had.
pub fn configuration(
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
        "known": known, "settings": settings(of, position)
    })
}
