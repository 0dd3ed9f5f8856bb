//! The settings object that an instance is given at its start, read and checked once. Both hosts, the simulator's
//! adapter and the proxy, make their balancer of it.

pub mod fields;
pub mod shape;

use dewhead::host_interface::BalancerHost;
use dewhead::state::{Balancer, LegPolicy, ListSubscription, Locality, SlowStart, TenantShares};
use dewhead::types::{Idempotency, RepeatScope, Tenant, TrafficType};
use fields::{array, field, maybe, names, number, place_in, seconds, text, truth, whole, Outcome};
use serde_json::Value;
use std::rc::Rc;

/// The names that calls and servers are told by; their places here are what the module knows.
pub struct Known {
    pub zones: Vec<String>,
    pub traffic: Vec<String>,
    pub shops: Vec<String>,
}

/// What the settings say of servers that have just started, for checks that stand apart from the decisions. Times are
/// seconds.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartTerms {
    /// What part of its capacity a server has at its start, at the least, and when it is warm at the latest.
    pub cold_share: f64,
    pub warm_after: f64,
    /// A server that is sent this many times its present capacity over the window falls.
    pub multiple: f64,
    pub window: f64,
    pub proxies: f64,
    /// Connections that all shops together have agreed on; 0 where not told.
    pub agreed: f64,
    /// Whether a server's weight tells its size.
    pub weights_are_sizes: bool,
}

/// What the settings hold, checked; `balancer` puts it together.
pub struct Startup {
    pub known: Known,
    /// Where in a load report the load asked over the load possible stands.
    pub asked_field: Option<usize>,
    /// Whether a group named with a call shares work.
    pub groups: bool,
    /// Whether the list of servers must be asked for.
    pub must_ask: bool,
    /// A connection to a server not made by then is given up.
    pub connect_limit: f64,
    /// The longest that a client may wait, over all traffic types.
    pub longest_guard: f64,
    /// The shortest message target.
    pub shortest_message: f64,
    position: usize,
    siblings: usize,
    traffic: Vec<TrafficType>,
    shops: Vec<Tenant>,
    beyond: f64,
    deemed_after: f64,
    home: usize,
    crossing: f64,
    moving: f64,
    slow_start: SlowStart,
    legs: LegPolicy,
    live: bool,
    /// Whether servers tell their load when probed, where the host has a word for it.
    pub probes: bool,
}

impl Startup {
    pub fn read(told: &Value) -> Outcome<Startup> {
        let (limits, rules) = (field(told, "limits")?, field(told, "obligations")?);
        let (nature, prices) = (field(told, "specifics")?, field(told, "deductions")?);
        let zones = names(told, "azs")?;
        let listed = array(told, "trafficTypes")?;
        let messages = maybe(nature, "messageAim", array)?;
        let mut traffic = Vec::new();
        for (at, one) in listed.iter().enumerate() {
            let setup_target = seconds(one, "setupTarget")?;
            let message = messages.and_then(|m| m.get(at)).and_then(Value::as_f64).map(|ms| ms / 1000.0);
            traffic.push(TrafficType {
                idempotency: effect(one)?,
                repeat_window: maybe(one, "repeatWindow", seconds)?.unwrap_or(0.0),
                setup_target,
                message_target: message.unwrap_or(setup_target),
                guard_time: seconds(one, "guardTime")?,
                revenue: number(one, "revenue")?,
            });
        }
        let no_shops = Vec::new();
        let shops = maybe(told, "tenants", array)?.unwrap_or(&no_shops);
        let quotas = maybe(nature, "tenantQuotaConnections", array)?;
        let shop = |(at, one): (usize, &Value)| {
            let standing = quotas.and_then(|q| q.get(at)).and_then(Value::as_f64).unwrap_or(0.0);
            Ok(Tenant { share: number(one, "share")?, quota_connections: standing })
        };
        let feedback = field(told, "feedback")?;
        let reported = text(feedback, "how")? != "off";
        let asked_field = names(feedback, "fields")?.iter().position(|f| reported && f == "x0");
        let probes = asked_field.is_some() && maybe(limits, "probes", truth)?.unwrap_or(false);
        let slow_start = SlowStart {
            cold_share: number(rules, "coldShare")?,
            // Warm at once is a warm-up of no time; times are divided by it.
            warm_after: seconds(rules, "cold")?.max(1e-3),
            overload_multiple: number(rules, "fallMultiple")?,
            window: seconds(rules, "tipAfter")?,
        };
        let stays_away = truth(limits, "retryAfter")?;
        let legs = LegPolicy {
            max_legs: whole(limits, "mostLegs")?.min(64) as u32,
            two_at_once: truth(limits, "secondCopies")?,
            may_cancel: truth(limits, "cancel")?,
            max_retry_after: if stays_away { Some(seconds(limits, "maxRetryAfter")?) } else { None },
        };
        let named = |list: &[Value]| -> Outcome<Vec<String>> {
            list.iter().map(|one| text(one, "name").map(str::to_owned)).collect()
        };
        Ok(Startup {
            asked_field,
            probes,
            groups: maybe(nature, "groups", truth)?.unwrap_or(false),
            must_ask: text(told, "membershipMode")? == "subscribe",
            connect_limit: maybe(limits, "connectTimeout", seconds)?.unwrap_or(f64::INFINITY),
            longest_guard: traffic.iter().map(|t| t.guard_time).fold(0.0, f64::max),
            shortest_message: traffic.iter().map(|t| t.message_target).fold(f64::INFINITY, f64::min),
            position: whole(told, "position")? as usize,
            siblings: whole(told, "siblings")? as usize,
            traffic,
            shops: shops.iter().enumerate().map(shop).collect::<Outcome<_>>()?,
            beyond: maybe(told, "overageRevenue", number)?.unwrap_or(1.0),
            deemed_after: maybe(rules, "mustAskIn", seconds)?.unwrap_or(10.0),
            home: place_in(told, "locality", &zones)?,
            crossing: number(prices, "crossZone")?,
            moving: number(prices, "moves")?,
            slow_start,
            legs,
            live: match maybe(told, "weights", text)?.unwrap_or("nominal") {
                "live" => true,
                "off" | "nominal" | "rough" => false,
                other => return Err(format!("field 'weights' names unknown '{other}'")),
            },
            known: Known { zones, traffic: named(listed)?, shops: named(shops)? },
        })
    }

    pub fn traffic(&self) -> &[TrafficType] {
        &self.traffic
    }

    /// What the settings say of servers that have just started.
    pub fn slow_start(&self) -> SlowStartTerms {
        SlowStartTerms {
            cold_share: self.slow_start.cold_share,
            warm_after: self.slow_start.warm_after,
            multiple: self.slow_start.overload_multiple,
            window: self.slow_start.window,
            proxies: self.siblings.max(1) as f64,
            agreed: self.shops.iter().map(|shop| shop.quota_connections).sum(),
            weights_are_sizes: !self.live,
        }
    }

    /// Whether two attempts of a call may be out at the same time.
    pub fn two_at_once(&self) -> bool {
        self.legs.two_at_once
    }

    /// The traffic types and the names, for hosts that place by a rule of their own.
    pub fn traffic_and_names(self) -> (Vec<TrafficType>, Known) {
        (self.traffic, self.known)
    }

    /// The balancer that these settings describe, and the names its host needs.
    pub fn balancer(self, seed: u128, door: Rc<dyn BalancerHost>) -> (Rc<Balancer>, Known) {
        let balancer = Balancer::new(
            seed,
            door,
            self.position,
            self.siblings,
            self.traffic,
            TenantShares::new(self.shops, self.beyond),
            ListSubscription::new(self.must_ask, self.deemed_after),
            Locality::new(self.home, self.crossing, self.moving),
            self.known.zones.len(),
            self.slow_start,
            self.legs,
            if self.groups { 1.0 } else { 0.0 },
            self.live,
            self.probes,
        );
        (balancer, self.known)
    }
}

fn effect(of: &Value) -> Outcome<Idempotency> {
    Ok(match text(of, "idempotency")? {
        "retryable" => Idempotency::Repeatable,
        "fragile" => Idempotency::OnceOnly,
        "dedup" => Idempotency::Referenced(match text(of, "keyScope")? {
            "all" => RepeatScope::All,
            "zone" => RepeatScope::Zone,
            "cell" => RepeatScope::Cell,
            other => return Err(format!("field 'keyScope' names unknown '{other}'")),
        }),
        other => return Err(format!("field 'idempotency' names unknown '{other}'")),
    })
}
