//! Parses the settings object that a balancer is started with. Both hosts, the simulator's adapter and the proxy, build
//! their balancer from it.

pub mod fields;
pub mod validation;

use dewhead::host_interface::BalancerHost;
use dewhead::state::{Balancer, LegPolicy, ListSubscription, Locality, SlowStart, TenantShares};
use dewhead::types::{Idempotency, RepeatScope, Tenant, TrafficType};
use fields::{
    array, boolean, field, index_in, integer, number, optional, seconds, text, text_array, ParseResult,
};
use serde_json::Value;
use std::rc::Rc;

/// The names by which calls and the server list refer to zones, traffic types and tenants. The balancer uses the index
/// of a name here instead.
pub struct KnownNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Traffic types.
    pub traffic_types: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
}

/// The settings about servers that have just started, for checks that are independent of the balancer's decisions.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartSettings {
    /// The share of its full capacity that a server has at its start, at least, 0 to 1.
    pub cold_share: f64,
    /// The age at which a server is warm, at the latest, in seconds.
    pub warm_after: f64,
    /// A server that is sent this multiple of its present capacity within the window fails.
    pub overload_multiple: f64,
    /// The length of the window, in seconds.
    pub window: f64,
    /// The number of proxies.
    pub proxies: f64,
    /// The sum of all tenants' connection quotas; 0 where the settings have none.
    pub total_quota: f64,
    /// Whether a server's weight is its size.
    pub weights_are_sizes: bool,
}

/// The grace period of a drain where the settings have none, in seconds.
const DEFAULT_DRAIN_GRACE_SECONDS: f64 = 0.5;

/// The parsed settings; `into_balancer` builds the balancer from them.
pub struct Startup {
    /// The names that the settings define.
    pub names: KnownNames,
    /// Index, within a load report, of the ratio of offered load to capacity, if servers report it.
    pub offered_load_field: Option<usize>,
    /// Whether calls of the same group share work on a server.
    pub groups: bool,
    /// Whether the server list must be subscribed to.
    pub must_subscribe: bool,
    /// The time within which a connection to a server must be established, in seconds; infinite if not set.
    pub connect_timeout: f64,
    /// For how long requests may still be sent to a server after its drain is known, in seconds.
    pub drain_grace: f64,
    /// The longest guard time of all traffic types, in seconds.
    pub longest_guard_time: f64,
    /// The shortest message target of all traffic types, in seconds.
    pub shortest_message_target: f64,
    /// This balancer's number among all balancers, from 0.
    position: usize,
    /// The number of balancers, this one included.
    balancer_count: usize,
    traffic_types: Vec<TrafficType>,
    tenants: Vec<Tenant>,
    /// The revenue of a call beyond its tenant's quota, relative to 1 within it.
    overage_revenue: f64,
    /// Seconds after a change of the list from which the balancer is expected to follow it, subscribed or not.
    subscribe_within: f64,
    /// Index of this balancer's zone in the names.
    home_zone: usize,
    /// The cost of serving a call in another zone, relative to the call's revenue.
    crossing_price: f64,
    /// The cost of relocating a connection, relative to its call's revenue.
    move_price: f64,
    slow_start: SlowStart,
    leg_policy: LegPolicy,
    /// Whether the weights in the list follow the servers' load.
    weights_follow_load: bool,
    /// Whether servers report their load when probed, where the host's protocol has a probe.
    pub probes: bool,
}

impl Startup {
    /// Parses the settings.
    ///
    /// # Errors
    ///
    /// The field that is missing or invalid.
    pub fn parse(settings: &Value) -> ParseResult<Startup> {
        let (limits, obligations) = (field(settings, "limits")?, field(settings, "obligations")?);
        let (specifics, deductions) = (field(settings, "specifics")?, field(settings, "deductions")?);
        let zones = text_array(settings, "azs")?;
        let type_settings = array(settings, "trafficTypes")?;
        let message_targets = optional(specifics, "messageAim", array)?;
        let mut traffic_types = Vec::new();
        for (index, entry) in type_settings.iter().enumerate() {
            let setup_target = seconds(entry, "setupTarget")?;
            let message_target =
                message_targets.and_then(|m| m.get(index)).and_then(Value::as_f64).map(|ms| ms / 1000.0);
            traffic_types.push(TrafficType {
                idempotency: parse_idempotency(entry)?,
                repeat_window: optional(entry, "repeatWindow", seconds)?.unwrap_or(0.0),
                setup_target,
                message_target: message_target.unwrap_or(setup_target),
                guard_time: seconds(entry, "guardTime")?,
                revenue: number(entry, "revenue")?,
            });
        }
        let no_tenants = Vec::new();
        let tenant_settings = optional(settings, "tenants", array)?.unwrap_or(&no_tenants);
        let quotas = optional(specifics, "tenantQuotaConnections", array)?;
        let parse_tenant = |(index, entry): (usize, &Value)| {
            let quota = quotas.and_then(|q| q.get(index)).and_then(Value::as_f64).unwrap_or(0.0);
            Ok(Tenant { share: number(entry, "share")?, quota_connections: quota })
        };
        let feedback = field(settings, "feedback")?;
        let reported = text(feedback, "how")? != "off";
        let offered_load_field = text_array(feedback, "fields")?.iter().position(|f| reported && f == "x0");
        let probes = offered_load_field.is_some() && optional(limits, "probes", boolean)?.unwrap_or(false);
        let slow_start = SlowStart {
            cold_share: number(obligations, "coldShare")?,
            // A warm-up time of 0 is valid. It counts as 1 ms, as times are divided by it.
            warm_after: seconds(obligations, "cold")?.max(1e-3),
            overload_multiple: number(obligations, "fallMultiple")?,
            window: seconds(obligations, "tipAfter")?,
        };
        let may_send_retry_after = boolean(limits, "retryAfter")?;
        let leg_policy = LegPolicy {
            max_legs: integer(limits, "mostLegs")?.min(64) as u32,
            two_at_once: boolean(limits, "secondCopies")?,
            may_cancel: boolean(limits, "cancel")?,
            max_retry_after: if may_send_retry_after {
                Some(seconds(limits, "maxRetryAfter")?)
            } else {
                None
            },
        };
        let names_of = |list: &[Value]| -> ParseResult<Vec<String>> {
            list.iter().map(|entry| text(entry, "name").map(str::to_owned)).collect()
        };
        Ok(Startup {
            offered_load_field,
            probes,
            groups: optional(specifics, "groups", boolean)?.unwrap_or(false),
            must_subscribe: text(settings, "membershipMode")? == "subscribe",
            connect_timeout: optional(limits, "connectTimeout", seconds)?.unwrap_or(f64::INFINITY),
            drain_grace: optional(obligations, "stopSendingWithin", seconds)?
                .unwrap_or(DEFAULT_DRAIN_GRACE_SECONDS),
            longest_guard_time: traffic_types.iter().map(|t| t.guard_time).fold(0.0, f64::max),
            shortest_message_target: traffic_types
                .iter()
                .map(|t| t.message_target)
                .fold(f64::INFINITY, f64::min),
            position: integer(settings, "position")? as usize,
            balancer_count: integer(settings, "siblings")? as usize,
            traffic_types,
            tenants: tenant_settings.iter().enumerate().map(parse_tenant).collect::<ParseResult<_>>()?,
            overage_revenue: optional(settings, "overageRevenue", number)?.unwrap_or(1.0),
            subscribe_within: optional(obligations, "mustAskIn", seconds)?.unwrap_or(10.0),
            home_zone: index_in(settings, "locality", &zones)?,
            crossing_price: number(deductions, "crossZone")?,
            move_price: number(deductions, "moves")?,
            slow_start,
            leg_policy,
            weights_follow_load: match optional(settings, "weights", text)?.unwrap_or("nominal") {
                "live" => true,
                "off" | "nominal" | "rough" => false,
                other => return Err(format!("field 'weights' names unknown '{other}'")),
            },
            names: KnownNames {
                zones,
                traffic_types: names_of(type_settings)?,
                tenants: names_of(tenant_settings)?,
            },
        })
    }

    /// The traffic types, in the same order as `names.traffic_types`.
    pub fn traffic_types(&self) -> &[TrafficType] {
        &self.traffic_types
    }

    /// The settings about servers that have just started.
    pub fn slow_start(&self) -> SlowStartSettings {
        SlowStartSettings {
            cold_share: self.slow_start.cold_share,
            warm_after: self.slow_start.warm_after,
            overload_multiple: self.slow_start.overload_multiple,
            window: self.slow_start.window,
            proxies: self.balancer_count.max(1) as f64,
            total_quota: self.tenants.iter().map(|tenant| tenant.quota_connections).sum(),
            weights_are_sizes: !self.weights_follow_load,
        }
    }

    /// Whether two legs of a repeatable call may be active at the same time.
    pub fn two_at_once(&self) -> bool {
        self.leg_policy.two_at_once
    }

    /// The longest time after which a rejected client may be asked to come again, in seconds; none if none may be named.
    pub fn max_retry_after(&self) -> Option<f64> {
        self.leg_policy.max_retry_after
    }

    /// The traffic types and the names, for hosts that choose servers without a balancer.
    pub fn into_traffic_types_and_names(self) -> (Vec<TrafficType>, KnownNames) {
        (self.traffic_types, self.names)
    }

    /// Builds the balancer, and returns the names that its host needs.
    pub fn into_balancer(self, seed: u128, host: Rc<dyn BalancerHost>) -> (Rc<Balancer>, KnownNames) {
        let balancer = Balancer::new(
            seed,
            host,
            self.position,
            self.balancer_count,
            self.traffic_types,
            TenantShares::new(self.tenants, self.overage_revenue),
            ListSubscription::new(self.must_subscribe, self.subscribe_within),
            Locality::new(self.home_zone, self.crossing_price, self.move_price),
            self.names.zones.len(),
            self.slow_start,
            self.leg_policy,
            if self.groups { 1.0 } else { 0.0 },
            self.weights_follow_load,
            self.probes,
        );
        (balancer, self.names)
    }
}

fn parse_idempotency(of: &Value) -> ParseResult<Idempotency> {
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
