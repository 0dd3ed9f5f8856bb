//! What a balancer keeps: its parts, its servers, its calls and itself. No decision is made here; they are in `rules`.

use crate::host_interface::BalancerHost;
use crate::types::{CallRequest, ServerEntry, ServerState, Tenant, TrafficType};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// Following the list of servers where it must be asked for.
pub struct ListSubscription {
    pub required: bool,
    /// Without a subscription, the list counts as told after this long.
    pub subscribe_within: f64,
    pub failures: Cell<u32>,
}

/// The price of crossing zones, as a term of Eq. 1.
pub struct Locality {
    pub(crate) home: u32,
    /// What crossing costs, in parts that a mean server holds of all own load.
    pub(crate) parts: f64,
    /// What is left of a server's R_i when it stands in another zone; under 0 where home could hold more than all.
    pub(crate) abroad: Cell<f64>,
    /// Whether ending a connection abroad costs little against keeping it there.
    pub(crate) homecoming: bool,
}

/// What is known of the servers of one location, by weight.
#[derive(Default)]
pub struct ZoneAvailability {
    /// Known so far in this pass: all of them, and those closed.
    pub(crate) known: Cell<(f64, f64)>,
    /// The closed part at the last pick.
    pub(crate) closed: Cell<f64>,
}

/// The last few outcomes at one server, or of all set-ups: newest lowest, 1 a success; emptied by age.
pub(crate) struct Health {
    pub(crate) outcomes: Cell<u32>,
    pub(crate) counted: Cell<u32>,
    pub(crate) judged_at: Cell<f64>,
}

impl Health {
    fn new(now: f64) -> Health {
        Health { outcomes: Cell::new(0), counted: Cell::new(0), judged_at: Cell::new(now) }
    }
}

/// Fairness by shop share: what a shop holds beyond its share gives way first.
pub struct TenantShares {
    pub(crate) shops: Vec<Tenant>,
    /// What all shops may have standing, in connections of the whole fleet.
    pub(crate) standing: f64,
    /// What traffic beyond a share is worth, against 1 within it.
    pub(crate) beyond: f64,
    /// Own connections of each shop.
    pub(crate) held: Vec<Cell<u32>>,
}

/// Rule 4: how much a server that has just started is sent.
pub struct SlowStart {
    pub cold_share: f64,
    pub warm_after: f64,
    pub overload_multiple: f64,
    pub window: f64,
}

/// How many legs a call may have and how they share its time.
pub struct LegPolicy {
    pub max_legs: u32,
    pub two_at_once: bool,
    pub may_cancel: bool,
    /// The longest a client can be asked to stay away; none where it can't be asked.
    pub max_retry_after: Option<f64>,
}

/// One server, as this balancer knows it. What every pick reads comes first, so that a pass over a large fleet
/// touches few lines of the processor's cache.
#[repr(C)]
pub(crate) struct Server {
    pub(crate) state: Cell<ServerState>,
    pub(crate) zone: u32,
    pub(crate) weight: Cell<f64>,
    pub(crate) started: Cell<f64>,
    /// Sum of r·p over own standing connections and legs out, in grains.
    pub(crate) load: Cell<i64>,
    /// The most own load this server has shown it carries, in grains; it cuts R_i and closes the server to more.
    pub(crate) limit: Cell<f64>,
    pub(crate) cut_at: Cell<f64>,
    /// Since when, and how many of our standing connections it dropped one soon after the other.
    pub(crate) dropped: Cell<(f64, u32)>,
    /// Where this balancer's part of the server is rounded up, from 0 to 1; the others' lie evenly between.
    pub(crate) rounding: f64,
    /// Until when it is left alone as its queue was full.
    pub(crate) full_until: Cell<f64>,
    pub(crate) held: Cell<u32>,
    /// Own legs here that have had no answer yet.
    pub(crate) waiting: Cell<u32>,
    pub(crate) health: Health,
    pub(crate) tried_at: Cell<f64>,
    /// Budget of a cold server, in connections.
    pub(crate) budget: Cell<f64>,
    pub(crate) budget_at: Cell<f64>,
    /// The turn in which this balancer last sent it anything while it was cold.
    pub(crate) turn: Cell<f64>,
    /// The last report: load asked over what it can do, and when.
    pub(crate) report: Cell<Option<(f64, f64)>>,
    /// Group -> own connections of it here; an entry goes with its last connection.
    pub(crate) groups: RefCell<BTreeMap<u64, u32>>,
    pub(crate) id: u64,
    pub(crate) cell: u64,
    /// The most own load since the last cut, less what the server dropped.
    pub(crate) carried: Cell<f64>,
    /// How long a message took there when last told, and when that was.
    pub(crate) delay: Cell<(f64, f64)>,
    /// Calls that wait for a probe's answer; each goes with that, or with the next call that waits once it no longer does.
    pub(crate) probing: RefCell<Vec<Weak<Call>>>,
    /// Own calls here, by the order they were placed in; an entry goes with its leg.
    pub(crate) calls: RefCell<BTreeMap<u64, Weak<Call>>>,
}

impl Server {
    pub(crate) fn new(now: f64, listed: &ServerEntry, rounding: f64) -> Rc<Server> {
        Rc::new(Server {
            id: listed.id,
            zone: listed.zone as u32,
            cell: listed.cell,
            weight: Cell::new(listed.weight),
            rounding,
            state: Cell::new(listed.state),
            started: Cell::new(listed.started.unwrap_or(f64::NEG_INFINITY)),
            load: Cell::new(0),
            held: Cell::new(0),
            waiting: Cell::new(0),
            health: Health::new(now),
            tried_at: Cell::new(f64::NEG_INFINITY),
            limit: Cell::new(f64::INFINITY),
            cut_at: Cell::new(now),
            dropped: Cell::new((f64::NEG_INFINITY, 0)),
            carried: Cell::new(0.0),
            calls: RefCell::new(BTreeMap::new()),
            full_until: Cell::new(f64::NEG_INFINITY),
            delay: Cell::new((0.0, f64::NEG_INFINITY)),
            // From nothing, each balancer of many came to its first connection late, and all at the same time.
            budget: Cell::new(rounding),
            budget_at: Cell::new(now),
            turn: Cell::new(f64::NEG_INFINITY),
            groups: RefCell::new(BTreeMap::new()),
            report: Cell::new(None),
            probing: RefCell::new(Vec::new()),
        })
    }

    /// A process that started anew owes nothing to what its forerunner did.
    pub(crate) fn begins_anew(&self, now: f64, started: f64) {
        self.started.set(started);
        self.health.counted.set(0);
        self.health.outcomes.set(0);
        self.limit.set(f64::INFINITY);
        self.carried.set(0.0);
        self.report.set(None);
        self.budget.set(self.rounding);
        self.budget_at.set(now);
        self.turn.set(f64::NEG_INFINITY);
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Stage {
    Waiting,
    Standing,
    Answered,
}

pub(crate) struct Leg {
    pub(crate) place: u64,
    pub(crate) server: Rc<Server>,
    /// When the server had started, as it was then told.
    pub(crate) started: f64,
    pub(crate) sent_at: f64,
    pub(crate) load: i64,
    pub(crate) out: bool,
    pub(crate) waiting: bool,
}

impl Leg {
    pub(crate) fn out(now: f64, place: u64, server: Rc<Server>, load: i64) -> Leg {
        Leg { place, started: server.started.get(), server, sent_at: now, load, out: true, waiting: true }
    }
}

/// A call that was taken; everything that happens to it is told here.
pub struct Call {
    pub(crate) balancer: Rc<Balancer>,
    pub(crate) id: u64,
    pub(crate) request: CallRequest,
    /// When its final answer is due: the client's time, or sooner where the process ends.
    pub(crate) until: Cell<f64>,
    pub(crate) taken_at: f64,
    pub(crate) stage: Cell<Stage>,
    pub(crate) legs: RefCell<Vec<Leg>>,
    /// Whether it waits for a probe now; none before its first.
    pub(crate) probe: Cell<Option<bool>>,
    /// When its timer counts; an earlier one was for what has come since.
    pub(crate) due: Cell<f64>,
    /// First leg that may have run: its zone, its cell, when it was sent.
    pub(crate) may_have_run: Cell<Option<(u32, u64, f64)>>,
    /// The leg that the connection stands on.
    pub(crate) bound: Cell<usize>,
    pub(crate) rate: Cell<f64>,
    pub(crate) busy: Cell<f64>,
    pub(crate) read_at: Cell<f64>,
}

impl Call {
    /// The process can wait no longer than this, in seconds on the clock of the calls, whatever the client would.
    pub fn limit_deadline(&self, until: f64) {
        self.until.set(self.until.get().min(until));
    }
}

pub struct Balancer {
    pub(crate) me: Weak<Balancer>,
    pub(crate) host: Rc<dyn BalancerHost>,
    pub(crate) chance: RefCell<Rand64>,
    /// This balancer's number among its siblings, from 0.
    pub(crate) position: f64,
    pub(crate) siblings: f64,
    pub(crate) traffic: Vec<TrafficType>,
    pub(crate) shares: TenantShares,
    pub(crate) watch: ListSubscription,
    pub(crate) place: Locality,
    pub(crate) locations: Vec<ZoneAvailability>,
    pub(crate) slow_start: SlowStart,
    pub(crate) legs: LegPolicy,
    pub(crate) group_cost: f64,
    /// Whether the list's weights move with load, and so tell what servers hold.
    pub(crate) live: bool,
    /// Whether servers tell their load when probed.
    pub(crate) probes: bool,
    /// Outcomes of set-ups at any server: what all servers share shows in them.
    pub(crate) shared: Health,
    /// Sorted by id; a server leaves when it is gone and holds nothing of ours.
    pub(crate) servers: RefCell<Vec<Rc<Server>>>,
    pub(crate) load: Cell<i64>,
    pub(crate) held: Cell<u32>,
    /// Group -> own connections of it, the sum over the servers, which each pick wants; an entry goes with its last one.
    pub(crate) groups: RefCell<BTreeMap<u64, u32>>,
    /// Own connections for each unit of the ready servers' weight, cold ones too, near ones for the most, at the last pick.
    pub(crate) held_by_weight: Cell<f64>,
    pub(crate) picked_at: Cell<f64>,
    /// The most weight that was ready near, near ones for the most, at any pick.
    pub(crate) most_near: Cell<f64>,
    /// When this balancer began.
    pub(crate) began: Cell<f64>,
    /// The mean of the reported loads, by weight, at the last pick.
    pub(crate) reported: Cell<f64>,
    pub(crate) home_at: Cell<f64>,
    /// When a call was last turned away.
    pub(crate) refused_at: Cell<f64>,
    /// Legs placed so far; the next one's number.
    pub(crate) placed: Cell<u64>,
    /// The part of the servers, by weight, that looked sick at the last pick.
    pub(crate) sick_share: Cell<f64>,
    pub(crate) longest_guard: f64,
    pub(crate) shortest_message: f64,
    pub(crate) ask_at: Cell<f64>,
}

impl ListSubscription {
    pub fn new(required: bool, subscribe_within: f64) -> ListSubscription {
        ListSubscription { required, subscribe_within, failures: Cell::new(0) }
    }
}

impl TenantShares {
    pub fn new(shops: Vec<Tenant>, beyond: f64) -> TenantShares {
        let held = shops.iter().map(|_| Cell::new(0)).collect();
        TenantShares { standing: shops.iter().map(|s| s.quota_connections).sum(), shops, beyond, held }
    }
}

impl Balancer {
    /// A balancer that knows nothing yet; `start` sets it going.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u128,
        host: Rc<dyn BalancerHost>,
        position: usize,
        siblings: usize,
        traffic: Vec<TrafficType>,
        shares: TenantShares,
        watch: ListSubscription,
        place: Locality,
        locations: usize,
        slow_start: SlowStart,
        legs: LegPolicy,
        group_cost: f64,
        live: bool,
        probes: bool,
    ) -> Rc<Balancer> {
        let longest_guard = traffic.iter().map(|t| t.guard_time).fold(0.0, f64::max);
        let shortest_message = traffic.iter().map(|t| t.message_target).fold(f64::INFINITY, f64::min);
        Rc::new_cyclic(|me| Balancer {
            me: me.clone(),
            host,
            chance: RefCell::new(Rand64::new(seed)),
            position: position as f64,
            siblings: siblings.max(1) as f64,
            traffic,
            shares,
            watch,
            place,
            locations: (0..locations.max(1)).map(|_| ZoneAvailability::default()).collect(),
            slow_start,
            legs,
            shared: Health::new(0.0),
            group_cost,
            live,
            probes,
            servers: RefCell::new(Vec::new()),
            load: Cell::new(0),
            held: Cell::new(0),
            groups: RefCell::new(BTreeMap::new()),
            held_by_weight: Cell::new(0.0),
            picked_at: Cell::new(0.0),
            most_near: Cell::new(0.0),
            began: Cell::new(0.0),
            reported: Cell::new(1.0),
            home_at: Cell::new(f64::INFINITY),
            refused_at: Cell::new(f64::NEG_INFINITY),
            placed: Cell::new(0),
            sick_share: Cell::new(0.0),
            longest_guard,
            shortest_message,
            ask_at: Cell::new(f64::INFINITY),
        })
    }
}
