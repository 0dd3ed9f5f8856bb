//! The settings object that an instance is given at its start, read and checked once. Both hosts, the simulator's
//! adapter and the proxy, make their balancer of it.

pub mod fields;
pub mod validation;

use dewhead::outward::Outward;
use dewhead::state::{Balancer, Legs, Place, Shares, SlowStart, Watch};
use dewhead::terms::{Effect, Group, Shop, TrafficType};
use fields::{
    array, boolean, field, index_in, integer, number, optional, seconds, text, text_array, ParseResult,
};
use serde_json::Value;
use std::rc::Rc;

/// The names that calls and servers are told by; their places here are what the module knows.
pub struct KnownNames {
    pub zones: Vec<String>,
    pub traffic_types: Vec<String>,
    pub tenants: Vec<String>,
}

/// What the settings say of servers that have just started, for checks that stand apart from the decisions. Times are
/// seconds.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartSettings {
    /// What part of its capacity a server has at its start, at the least, and when it is warm at the latest.
    pub cold_share: f64,
    pub warm_after: f64,
    /// A server that is sent this many times its present capacity over the window falls.
    pub max_capacity_multiple: f64,
    pub window: f64,
    pub proxies: f64,
    /// Connections that all shops together have agreed on; 0 where not told.
    pub agreed_connections: f64,
    /// Whether a server's weight tells its size.
    pub weights_are_sizes: bool,
}

/// What the settings hold, checked; `balancer` puts it together.
pub struct Startup {
    pub names: KnownNames,
    /// Where in a load report the load asked over the load possible stands.
    pub requested_load_field: Option<usize>,
    /// Whether a group named with a call shares work.
    pub groups: bool,
    /// Whether the list of servers must be asked for.
    pub must_subscribe: bool,
    /// A connection to a server not made by then is given up.
    pub connect_timeout: f64,
    /// The longest that a client may wait, over all traffic types.
    pub longest_guard_time: f64,
    /// The shortest message target.
    pub shortest_message_target: f64,
    position: usize,
    siblings: usize,
    traffic_types: Vec<TrafficType>,
    tenants: Vec<Shop>,
    overage_revenue: f64,
    list_assumed_after: f64,
    home_zone: usize,
    cross_zone_price: f64,
    move_price: f64,
    slow_start: SlowStart,
    legs: Legs,
    live_weights: bool,
    /// Whether servers tell their load when probed, where the host has a word for it.
    pub probes: bool,
}

impl Startup {
    pub fn parse(told: &Value) -> ParseResult<Startup> {
        let (limits, rules) = (field(told, "limits")?, field(told, "obligations")?);
        let (nature, prices) = (field(told, "specifics")?, field(told, "deductions")?);
        let zones = text_array(told, "azs")?;
        let listed = array(told, "trafficTypes")?;
        let messages = optional(nature, "messageAim", array)?;
        let mut traffic = Vec::new();
        for (at, one) in listed.iter().enumerate() {
            let setup_target = seconds(one, "setupTarget")?;
            let message = messages.and_then(|m| m.get(at)).and_then(Value::as_f64).map(|ms| ms / 1000.0);
            traffic.push(TrafficType {
                effect: effect(one)?,
                window: optional(one, "repeatWindow", seconds)?.unwrap_or(0.0),
                setup_target,
                message_target: message.unwrap_or(setup_target),
                guard_time: seconds(one, "guardTime")?,
                revenue: number(one, "revenue")?,
            });
        }
        let no_shops = Vec::new();
        let shops = optional(told, "tenants", array)?.unwrap_or(&no_shops);
        let quotas = optional(nature, "tenantQuotaConnections", array)?;
        let shop = |(at, one): (usize, &Value)| {
            let standing = quotas.and_then(|q| q.get(at)).and_then(Value::as_f64).unwrap_or(0.0);
            Ok(Shop { share: number(one, "share")?, standing })
        };
        let feedback = field(told, "feedback")?;
        let reported = text(feedback, "how")? != "off";
        let asked_field = text_array(feedback, "fields")?.iter().position(|f| reported && f == "x0");
        let probes = asked_field.is_some() && optional(limits, "probes", boolean)?.unwrap_or(false);
        let slow_start = SlowStart {
            cold_share: number(rules, "coldShare")?,
            // Warm at once is a warm-up of no time; times are divided by it.
            warm_after: seconds(rules, "cold")?.max(1e-3),
            multiple: number(rules, "fallMultiple")?,
            window: seconds(rules, "tipAfter")?,
        };
        let stays_away = boolean(limits, "retryAfter")?;
        let legs = Legs {
            most: integer(limits, "mostLegs")?.min(64) as u32,
            two_at_once: boolean(limits, "secondCopies")?,
            may_withdraw: boolean(limits, "cancel")?,
            stay_away: if stays_away { Some(seconds(limits, "maxRetryAfter")?) } else { None },
        };
        let named = |list: &[Value]| -> ParseResult<Vec<String>> {
            list.iter().map(|one| text(one, "name").map(str::to_owned)).collect()
        };
        Ok(Startup {
            requested_load_field: asked_field,
            probes,
            groups: optional(nature, "groups", boolean)?.unwrap_or(false),
            must_subscribe: text(told, "membershipMode")? == "subscribe",
            connect_timeout: optional(limits, "connectTimeout", seconds)?.unwrap_or(f64::INFINITY),
            longest_guard_time: traffic.iter().map(|t| t.guard_time).fold(0.0, f64::max),
            shortest_message_target: traffic.iter().map(|t| t.message_target).fold(f64::INFINITY, f64::min),
            position: integer(told, "position")? as usize,
            siblings: integer(told, "siblings")? as usize,
            traffic_types: traffic,
            tenants: shops.iter().enumerate().map(shop).collect::<ParseResult<_>>()?,
            overage_revenue: optional(told, "overageRevenue", number)?.unwrap_or(1.0),
            list_assumed_after: optional(rules, "mustAskIn", seconds)?.unwrap_or(10.0),
            home_zone: index_in(told, "locality", &zones)?,
            cross_zone_price: number(prices, "crossZone")?,
            move_price: number(prices, "moves")?,
            slow_start,
            legs,
            live_weights: match optional(told, "weights", text)?.unwrap_or("nominal") {
                "live" => true,
                "off" | "nominal" | "rough" => false,
                other => return Err(format!("field 'weights' names unknown '{other}'")),
            },
            names: KnownNames { zones, traffic_types: named(listed)?, tenants: named(shops)? },
        })
    }

    pub fn traffic_types(&self) -> &[TrafficType] {
        &self.traffic_types
    }

    /// What the settings say of servers that have just started.
    pub fn slow_start(&self) -> SlowStartSettings {
        SlowStartSettings {
            cold_share: self.slow_start.cold_share,
            warm_after: self.slow_start.warm_after,
            max_capacity_multiple: self.slow_start.multiple,
            window: self.slow_start.window,
            proxies: self.siblings.max(1) as f64,
            agreed_connections: self.tenants.iter().map(|shop| shop.standing).sum(),
            weights_are_sizes: !self.live_weights,
        }
    }

    /// Whether two attempts of a call may be out at the same time.
    pub fn two_at_once(&self) -> bool {
        self.legs.two_at_once
    }

    /// The traffic types and the names, for hosts that place by a rule of their own.
    pub fn into_traffic_types_and_names(self) -> (Vec<TrafficType>, KnownNames) {
        (self.traffic_types, self.names)
    }

    /// The balancer that these settings describe, and the names its host needs.
    pub fn into_balancer(self, seed: u128, door: Rc<dyn Outward>) -> (Rc<Balancer>, KnownNames) {
        let balancer = Balancer::new(
            seed,
            door,
            self.position,
            self.siblings,
            self.traffic_types,
            Shares::new(self.tenants, self.overage_revenue),
            Watch::new(self.must_subscribe, self.list_assumed_after),
            Place::new(self.home_zone, self.cross_zone_price, self.move_price),
            self.names.zones.len(),
            self.slow_start,
            self.legs,
            if self.groups { 1.0 } else { 0.0 },
            self.live_weights,
            self.probes,
        );
        (balancer, self.names)
    }
}

fn effect(of: &Value) -> ParseResult<Effect> {
    Ok(match text(of, "idempotency")? {
        "retryable" => Effect::Repeatable,
        "fragile" => Effect::OnceOnly,
        "dedup" => Effect::Referenced(match text(of, "keyScope")? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("field 'keyScope' names unknown '{other}'")),
        }),
        other => return Err(format!("field 'idempotency' names unknown '{other}'")),
    })
}
