//! The data that a balancer keeps: its settings, its servers, its calls and the balancer itself. The decisions over
//! this data are in `rules` and `slow_start`.

use crate::host_interface::BalancerHost;
use crate::types::{CallRequest, ServerEntry, ServerState, Tenant, TrafficType};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// The subscription to the list of servers.
pub struct ListSubscription {
    /// Whether the list is sent only to balancers that have subscribed.
    pub required: bool,
    /// Seconds after a change of the list from which the balancer is expected to follow it, subscribed or not.
    pub subscribe_within: f64,
    /// Failed requests for the list since the last successful one.
    pub failures: Cell<u32>,
}

/// The balancer's own zone and the cost of crossing zones, as a term of Eq. 1.
pub struct Locality {
    pub(crate) home_zone: u32,
    /// The cost of crossing, in multiples of a mean server's share of this balancer's whole load.
    pub(crate) crossing_cost: f64,
    /// The factor on R_i for servers in other zones; negative where the home zone could hold more than the whole load.
    pub(crate) remote_factor: Cell<f64>,
    /// Whether relocating a connection from another zone costs little compared with keeping it there.
    pub(crate) relocates_home: bool,
}

/// Which share of one zone's servers is closed to new connections, by weight, among those whose load is known.
#[derive(Default)]
pub struct ZoneAvailability {
    /// In the current pass over the servers: the weight of those with known load, and of those among them that are
    /// closed.
    pub(crate) counted: Cell<(f64, f64)>,
    /// The closed share at the last selection, 0 to 1.
    pub(crate) closed_share: Cell<f64>,
}

/// The last few outcomes, at one server or of all set-ups: a bit each, the newest lowest, 1 a success. They expire.
pub(crate) struct Health {
    pub(crate) outcomes: Cell<u32>,
    pub(crate) outcome_count: Cell<u32>,
    pub(crate) last_outcome_at: Cell<f64>,
}

impl Health {
    fn new(now: f64) -> Health {
        Health { outcomes: Cell::new(0), outcome_count: Cell::new(0), last_outcome_at: Cell::new(now) }
    }
}

/// Fairness between tenants: connections beyond a tenant's quota are the first to be refused or relocated.
pub struct TenantShares {
    pub(crate) tenants: Vec<Tenant>,
    /// The sum of all tenants' quotas, in connections of the whole fleet.
    pub(crate) total_quota: f64,
    /// The revenue of a call beyond its tenant's quota, relative to 1 within it.
    pub(crate) overage_revenue: f64,
    /// This balancer's connections of each tenant.
    pub(crate) connections: Vec<Cell<u32>>,
}

/// Rule 4: the limit on what a server that has just started is sent.
pub struct SlowStart {
    /// The share of its full capacity that a server has when it starts, 0 to 1.
    pub cold_share: f64,
    /// Seconds after its start at which a server has its full capacity.
    pub warm_after: f64,
    /// A server fails if it is sent more than this multiple of its present capacity during `window`.
    pub overload_multiple: f64,
    /// The length of the window over which rule 4 counts, in seconds.
    pub window: f64,
}

/// How many legs a call may have and how they divide its time.
pub struct LegPolicy {
    /// The most legs of a call, over its whole life.
    pub max_legs: u32,
    /// Whether two legs of a repeatable call may be active at the same time.
    pub two_at_once: bool,
    /// Whether a leg can be cancelled.
    pub may_cancel: bool,
    /// The longest wait that a rejection can set for its client, in seconds; `None` if it can set none.
    pub max_retry_after: Option<f64>,
}

/// What this balancer keeps for one server. The fields that every selection reads come first, so that a pass over a
/// large fleet touches few cache lines.
#[repr(C)]
pub(crate) struct Server {
    pub(crate) state: Cell<ServerState>,
    pub(crate) zone: u32,
    pub(crate) weight: Cell<f64>,
    pub(crate) started: Cell<f64>,
    /// The sum of r_j · p_j over this balancer's connections and active legs here, in nanocores.
    pub(crate) load: Cell<i64>,
    /// The most load of this balancer that the server has shown it can carry, in nanocores. It caps R_i and closes the
    /// server to further connections.
    pub(crate) limit: Cell<f64>,
    pub(crate) limit_cut_at: Cell<f64>,
    /// The time of the first, and the number, of this balancer's connections that broke here in short succession.
    pub(crate) recent_breaks: Cell<(f64, u32)>,
    /// The point from 0 to 1 at which this balancer rounds its part of the server up to a whole connection; those of
    /// the other balancers are spread evenly.
    pub(crate) rounding_offset: f64,
    /// Until when no call is sent here, because the server's queue was full.
    pub(crate) full_until: Cell<f64>,
    /// This balancer's connections and active legs here.
    pub(crate) connections: Cell<u32>,
    /// Active legs here that have had no answer yet.
    pub(crate) pending_legs: Cell<u32>,
    pub(crate) health: Health,
    pub(crate) last_sent_at: Cell<f64>,
    /// Rule 4's budget while the server is cold, in connections.
    pub(crate) budget: Cell<f64>,
    pub(crate) budget_updated_at: Cell<f64>,
    /// The turn of rule 4 in which this balancer last sent something here while the server was cold.
    pub(crate) last_turn: Cell<f64>,
    /// The last load report: the offered load over the server's capacity, and when it arrived.
    pub(crate) load_report: Cell<Option<(f64, f64)>>,
    /// This balancer's connections here by group; an entry is removed with the group's last connection.
    pub(crate) group_connections: RefCell<BTreeMap<u64, u32>>,
    pub(crate) id: u64,
    pub(crate) cell: u64,
    /// The highest `load` since the last cut of the limit, less the load of connections that the server dropped.
    pub(crate) peak_load: Cell<f64>,
    /// How long a message took here by the last report, and when that arrived.
    pub(crate) message_delay: Cell<(f64, f64)>,
    /// Calls that wait for the answer to a probe. Calls that no longer wait are removed when another one is added.
    pub(crate) probe_waiters: RefCell<Vec<Weak<Call>>>,
    /// Calls with a leg here, in the order in which the legs were sent; an entry is removed with its leg.
    pub(crate) calls: RefCell<BTreeMap<u64, Weak<Call>>>,
}

impl Server {
    pub(crate) fn new(now: f64, entry: &ServerEntry, rounding_offset: f64) -> Rc<Server> {
        Rc::new(Server {
            id: entry.id,
            zone: entry.zone as u32,
            cell: entry.cell,
            weight: Cell::new(entry.weight),
            rounding_offset,
            state: Cell::new(entry.state),
            started: Cell::new(entry.started.unwrap_or(f64::NEG_INFINITY)),
            load: Cell::new(0),
            connections: Cell::new(0),
            pending_legs: Cell::new(0),
            health: Health::new(now),
            last_sent_at: Cell::new(f64::NEG_INFINITY),
            limit: Cell::new(f64::INFINITY),
            limit_cut_at: Cell::new(now),
            recent_breaks: Cell::new((f64::NEG_INFINITY, 0)),
            peak_load: Cell::new(0.0),
            calls: RefCell::new(BTreeMap::new()),
            full_until: Cell::new(f64::NEG_INFINITY),
            message_delay: Cell::new((0.0, f64::NEG_INFINITY)),
            // With budgets that start at zero, many balancers would send their first connection late and all at once.
            budget: Cell::new(rounding_offset),
            budget_updated_at: Cell::new(now),
            last_turn: Cell::new(f64::NEG_INFINITY),
            group_connections: RefCell::new(BTreeMap::new()),
            load_report: Cell::new(None),
            probe_waiters: RefCell::new(Vec::new()),
        })
    }

    /// Discards what was learned of the server's previous process.
    pub(crate) fn reset_for_restart(&self, now: f64, started: f64) {
        self.started.set(started);
        self.health.outcome_count.set(0);
        self.health.outcomes.set(0);
        self.limit.set(f64::INFINITY);
        self.peak_load.set(0.0);
        self.load_report.set(None);
        self.budget.set(self.rounding_offset);
        self.budget_updated_at.set(now);
        self.last_turn.set(f64::NEG_INFINITY);
    }
}

/// The stage of a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Stage {
    /// It has neither a connection nor an answer.
    Pending,
    /// Its connection is established.
    Established,
    /// It has its final answer, its connection has ended, or its client has left.
    Finished,
}

/// One attempt to serve a call at a server; once the server answers, the leg carries the established connection.
pub(crate) struct Leg {
    /// The leg's key in `Server::calls`.
    pub(crate) key: u64,
    pub(crate) server: Rc<Server>,
    /// The server's start time in the list when the leg was sent.
    pub(crate) server_started: f64,
    pub(crate) sent_at: f64,
    /// The leg's part of `Server::load`, in nanocores.
    pub(crate) load: i64,
    /// Whether it has not ended yet.
    pub(crate) active: bool,
    /// Whether it counts in `Server::pending_legs`.
    pub(crate) pending: bool,
}

impl Leg {
    pub(crate) fn sent(now: f64, key: u64, server: Rc<Server>, load: i64) -> Leg {
        Leg {
            key,
            server_started: server.started.get(),
            server,
            sent_at: now,
            load,
            active: true,
            pending: true,
        }
    }
}

/// A handle to a call that a balancer has accepted. All later events of the call are reported through it.
pub struct Call {
    pub(crate) balancer: Rc<Balancer>,
    pub(crate) id: u64,
    pub(crate) request: CallRequest,
    /// When the final answer is due: the client's deadline, or an earlier one if the process stops.
    pub(crate) deadline: Cell<f64>,
    pub(crate) accepted_at: f64,
    pub(crate) stage: Cell<Stage>,
    pub(crate) legs: RefCell<Vec<Leg>>,
    /// Whether the call waits for a probe; `None` before its first one.
    pub(crate) awaits_probe: Cell<Option<bool>>,
    /// When the current timer is due. A timer that fires earlier was set for something that is over.
    pub(crate) timer_due_at: Cell<f64>,
    /// The zone, the cell and the sending time of the first leg that may have run.
    pub(crate) may_have_run: Cell<Option<(u32, u64, f64)>>,
    /// The leg that carries the established connection.
    pub(crate) established_leg: Cell<usize>,
    /// r_j: the connection's load in cores, smoothed over all reports as in Eq. 2. Reports of 0 lower it.
    pub(crate) smoothed_load: Cell<f64>,
    /// p_j: the share of the reports that are above 0, smoothed likewise, 0 to 1.
    pub(crate) smoothed_busy_share: Cell<f64>,
    pub(crate) load_updated_at: Cell<f64>,
}

impl Call {
    /// Moves the deadline to `deadline`, in seconds on the clock of the calls, if that is earlier. The process can't
    /// wait longer than that, however long the client would wait.
    pub fn limit_deadline(&self, deadline: f64) {
        self.deadline.set(self.deadline.get().min(deadline));
    }
}

/// A balancer: its settings, and its data on the servers and on its calls.
pub struct Balancer {
    pub(crate) weak_self: Weak<Balancer>,
    pub(crate) host: Rc<dyn BalancerHost>,
    pub(crate) rng: RefCell<Rand64>,
    /// This balancer's number among all balancers, from 0.
    pub(crate) position: f64,
    /// The number of balancers, this one included.
    pub(crate) balancer_count: f64,
    pub(crate) traffic_types: Vec<TrafficType>,
    pub(crate) tenant_shares: TenantShares,
    pub(crate) list_subscription: ListSubscription,
    pub(crate) locality: Locality,
    pub(crate) zones: Vec<ZoneAvailability>,
    pub(crate) slow_start: SlowStart,
    pub(crate) leg_policy: LegPolicy,
    /// The cost of serving a group at a further server, in multiples of its default; 0 if groups share no work.
    pub(crate) group_cost: f64,
    /// Whether the list's weights fall as a server's load rises, and so reveal it.
    pub(crate) weights_follow_load: bool,
    /// Whether servers report their load when probed.
    pub(crate) has_probes: bool,
    /// The outcomes of set-ups at all servers, which reveal a fault that the servers share.
    pub(crate) overall_health: Health,
    /// Sorted by id. A server is removed when it is gone and has no connection of this balancer.
    pub(crate) servers: RefCell<Vec<Rc<Server>>>,
    /// The sum of `load` over the servers, in nanocores.
    pub(crate) load: Cell<i64>,
    /// The sum of `connections` over the servers.
    pub(crate) connections: Cell<u32>,
    /// This balancer's connections by group, the sum over the servers, as each selection needs it. An entry is removed
    /// with the group's last connection.
    pub(crate) group_connections: RefCell<BTreeMap<u64, u32>>,
    /// This balancer's connections for each unit of the ready servers' weight at the last selection. Cold servers are
    /// included; other zones count only in part.
    pub(crate) connections_per_weight: Cell<f64>,
    pub(crate) last_selection_at: Cell<f64>,
    /// The highest ready weight at any selection, in which other zones count only in part.
    pub(crate) peak_near_weight: Cell<f64>,
    /// When this balancer started.
    pub(crate) started_at: Cell<f64>,
    /// The mean of the reported loads at the last selection, by weight.
    pub(crate) mean_reported_load: Cell<f64>,
    /// When connections are next considered for relocation to the home zone.
    pub(crate) relocate_home_at: Cell<f64>,
    /// When a call was last rejected or released.
    pub(crate) last_refusal_at: Cell<f64>,
    /// The key of the next leg, which is the number of legs so far.
    pub(crate) next_leg_key: Cell<u64>,
    /// The share of the servers, by weight, that appeared unhealthy at the last selection.
    pub(crate) unhealthy_share: Cell<f64>,
    /// The longest guard time of all traffic types.
    pub(crate) longest_guard: f64,
    /// The shortest message target of all traffic types.
    pub(crate) shortest_message_target: f64,
    /// When the subscription to the list is next retried.
    pub(crate) resubscribe_at: Cell<f64>,
}

impl ListSubscription {
    /// The subscription before the first request for the list.
    pub fn new(required: bool, subscribe_within: f64) -> ListSubscription {
        ListSubscription { required, subscribe_within, failures: Cell::new(0) }
    }
}

impl TenantShares {
    /// `overage_revenue` is the revenue of a call beyond its tenant's quota, relative to 1 within it.
    pub fn new(tenants: Vec<Tenant>, overage_revenue: f64) -> TenantShares {
        let connections = tenants.iter().map(|_| Cell::new(0)).collect();
        TenantShares {
            total_quota: tenants.iter().map(|t| t.quota_connections).sum(),
            tenants,
            overage_revenue,
            connections,
        }
    }
}

impl Balancer {
    /// A balancer without servers, which does nothing before `start`. `position` is its number among
    /// `balancer_count` balancers, from 0.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u128,
        host: Rc<dyn BalancerHost>,
        position: usize,
        balancer_count: usize,
        traffic_types: Vec<TrafficType>,
        tenant_shares: TenantShares,
        list_subscription: ListSubscription,
        locality: Locality,
        zone_count: usize,
        slow_start: SlowStart,
        leg_policy: LegPolicy,
        group_cost: f64,
        weights_follow_load: bool,
        has_probes: bool,
    ) -> Rc<Balancer> {
        let longest_guard = traffic_types.iter().map(|t| t.guard_time).fold(0.0, f64::max);
        let shortest_message_target =
            traffic_types.iter().map(|t| t.message_target).fold(f64::INFINITY, f64::min);
        Rc::new_cyclic(|weak_self| Balancer {
            weak_self: weak_self.clone(),
            host,
            rng: RefCell::new(Rand64::new(seed)),
            position: position as f64,
            balancer_count: balancer_count.max(1) as f64,
            traffic_types,
            tenant_shares,
            list_subscription,
            locality,
            zones: (0..zone_count.max(1)).map(|_| ZoneAvailability::default()).collect(),
            slow_start,
            leg_policy,
            overall_health: Health::new(0.0),
            group_cost,
            weights_follow_load,
            has_probes,
            servers: RefCell::new(Vec::new()),
            load: Cell::new(0),
            connections: Cell::new(0),
            group_connections: RefCell::new(BTreeMap::new()),
            connections_per_weight: Cell::new(0.0),
            last_selection_at: Cell::new(0.0),
            peak_near_weight: Cell::new(0.0),
            started_at: Cell::new(0.0),
            mean_reported_load: Cell::new(1.0),
            relocate_home_at: Cell::new(f64::INFINITY),
            last_refusal_at: Cell::new(f64::NEG_INFINITY),
            next_leg_key: Cell::new(0),
            unhealthy_share: Cell::new(0.0),
            longest_guard,
            shortest_message_target,
            resubscribe_at: Cell::new(f64::INFINITY),
        })
    }
}
