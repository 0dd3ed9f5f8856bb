//! The decisions of the balancer: where calls are sent, when server limits are cut and which connections are relocated.
//!
//! To use it, build the settings of `state.rs` (`ListSubscription`, `Locality`, `TenantShares`, `SlowStart`,
//! `LegPolicy`), pass them to `Balancer::new` with a seed and the host (`host_interface.rs`), call `start` and then
//! report events. `accept_call` returns a handle to the call; later events of the call are reported by the handle's
//! methods. Every method takes the present time, as the module has no clock and does no I/O. The data types are in
//! `types.rs`.

use crate::refusal::{Refusal, SkipCounts};
use crate::slow_start::{rank, GOLDEN_RATIO};
use crate::state::{
    Balancer, Call, Health, Leg, ListSubscription, Locality, Server, Stage, TenantShares, ZoneAvailability,
};
use crate::types::{
    CallRequest, Idempotency, LegOutcome, ListUpdate, RepeatScope, ServerEntry, ServerState, TrafficType,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// Loads are summed as whole nanocores, so that removing a load undoes exactly what adding it did.
const NANOCORES_PER_CORE: f64 = 1e9;
/// K of the paper's Eq. 2, the time constant of the smoothing, in seconds.
const SMOOTHING_TIME: f64 = 0.2;
/// The number of latest outcomes by which health is judged.
const HEALTH_OUTCOMES: u32 = 8;
/// The message delay from which a server is treated as overloaded, in multiples of the shortest message target.
const OVERLOAD_DELAY: f64 = 1.0 / 3.0;
/// The time in which a server should work off its backlog, in multiples of the longest guard time.
const BACKLOG_DRAIN_TIME: f64 = 1.0;
/// How early a timer may fire, in seconds, as hosts round times. Without it the retry of a subscription was lost.
const TIMER_TOLERANCE: f64 = 1e-3;
/// The additional cost of a leg without an answer, in mean connections.
const PENDING_LEG_COST: f64 = 2.0;
/// The share of a server's limit that new connections may fill; the rest is for load changes of existing ones.
const NEW_CONNECTION_SHARE: f64 = 0.85;
/// The time after which a cut limit shows its effect, in multiples of the longest guard time. No further cut before.
const CUT_SETTLE_TIME: f64 = 0.3;
/// The share of a server's load that a cut leaves at least, as a first high delay may be chance.
const MIN_CUT_FACTOR: f64 = 0.3;
/// Breaks are attributed to the server if more than one in this many of the connections there break together.
const CONNECTIONS_PER_BREAK: u32 = 16;
/// The share of the crossing cost at which Eq. 1 must prefer the home zone for connections to be relocated there.
const RELOCATE_HOME_CROSSING_SHARE: f64 = 0.7;
/// The cost of a server without a group's calls, in mean connections. Rank adds one for each multiple of the group's
/// share.
const NEW_GROUP_COST: f64 = 2.0;
/// The cost of a server of mean occupancy, in mean connections, where weights or probes reveal the occupancy.
const OCCUPANCY_COST: f64 = 2.0;
/// The lowest mean that servers are compared with: of occupancy, as load per core beyond that of the emptiest server,
/// and of reported load, relative to capacity.
const MIN_MEAN_OCCUPANCY: f64 = 0.1;
/// How long a load report makes a probe unnecessary, in multiples of the longest guard time.
const REPORT_FRESH_TIME: f64 = 0.5;
/// How long a call waits for a probe's answer, in multiples of its setup target.
const PROBE_WAIT: f64 = 0.125;
/// How long an outcome counts, and an unhealthy server stays so by it, in multiples of the longest guard time.
const OUTCOME_MEMORY: f64 = 4.0;
/// The time in which a cut limit first grows by a factor of e, in multiples of the longest guard time.
const LIMIT_GROWTH_TIME: f64 = 3.0;
/// The rank down to which a group spreads, in multiples of the group's share; less as servers close.
const GROUP_SPREAD: f64 = 3.0;
/// The message delay from which connections are relocated even if no other server has room, in multiples of the
/// shortest message target.
const FORCED_RELOCATION_DELAY: f64 = 3.0;

impl ListSubscription {
    /// The delay before a failed request is repeated. It doubles with each failure, is spread by `jitter` (0 to 1), and
    /// stays short enough for the list not to become too old to be used.
    fn retry_delay(&self, jitter: f64) -> f64 {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        self.subscribe_within / 64.0 * f64::from(1u32 << failures.min(4)) * (0.5 + jitter)
    }
}

impl Locality {
    /// `crossing_price` is what it costs to serve a call in another zone, and `move_price` what a relocation costs,
    /// both relative to the call's revenue.
    pub fn new(home_zone: usize, crossing_price: f64, move_price: f64) -> Locality {
        let relocates_home = crossing_price > 4.0 * move_price;
        Locality {
            home_zone: home_zone as u32,
            crossing_cost: 10.0 * crossing_price,
            remote_factor: Cell::new(1.0),
            relocates_home,
        }
    }

    /// `home_share` is the home zone's share of the ready servers' weight. The cost of crossing is relative to a
    /// server's share of the whole load. Relative to its share if the home zone held everything, the cost grew as the
    /// home zone shrank, and the home zone received all calls until it failed.
    fn update_remote_factor(&self, home_share: f64) {
        self.remote_factor
            .set((1.0 - self.crossing_cost * home_share) / (1.0 + self.crossing_cost * (1.0 - home_share)));
    }

    /// The factor on R_i for a server in `zone` if this share of the crossing cost counts.
    pub(crate) fn factor(&self, zone: u32, crossing_share: f64) -> f64 {
        1.0 - f64::from(u8::from(zone != self.home_zone)) * (1.0 - self.remote_factor.get()) * crossing_share
    }
}

impl ZoneAvailability {
    /// Counts a server with known load in the current pass.
    fn count(&self, weight: f64, closed: bool) {
        let (total, closed_weight) = self.counted.get();
        self.counted.set((total + weight, closed_weight + if closed { weight } else { 0.0 }));
    }

    /// Computes the closed share from the current pass and starts a new one.
    fn finish_pass(&self) {
        let (total, closed_weight) = self.counted.replace((0.0, 0.0));
        self.closed_share.set(if total > 0.0 { closed_weight / total } else { 0.0 });
    }
}

impl TenantShares {
    fn add_connections(&self, tenant: Option<usize>, change: i32) {
        if let Some(connections) = tenant.and_then(|t| self.connections.get(t)) {
            connections.set(connections.get().saturating_add_signed(change));
        }
    }

    /// 1 within the tenant's quota, less beyond it. This balancer's part of the quota is one of `balancer_count`.
    fn revenue_factor(&self, tenant: Option<usize>, balancer_count: f64) -> f64 {
        match tenant.and_then(|t| {
            Some((self.tenants.get(t)?.quota_connections / balancer_count, self.connections.get(t)?.get()))
        }) {
            Some((quota, connections)) if quota > 0.0 && f64::from(connections) > quota => {
                self.overage_revenue
            }
            _ => 1.0,
        }
    }
}

impl Health {
    /// Adds an outcome.
    fn record(&self, now: f64, success: bool) {
        self.outcomes.set((self.outcomes.get() << 1 | u32::from(success)) & ((1 << HEALTH_OUTCOMES) - 1));
        self.outcome_count.set((self.outcome_count.get() + 1).min(HEALTH_OUTCOMES));
        self.last_outcome_at.set(now);
    }

    /// Whether fewer than half of the latest outcomes, of which there must be `min_outcomes`, were successes. After
    /// `memory` seconds without an outcome all are discarded.
    fn is_unhealthy(&self, now: f64, memory: f64, min_outcomes: u32) -> bool {
        if now - self.last_outcome_at.get() > memory {
            self.outcome_count.set(0);
            self.outcomes.set(0);
        }
        let (successes, count) = (self.outcomes.get().count_ones(), self.outcome_count.get());
        count >= min_outcomes && 2 * successes < count
    }
}

impl Server {
    /// The limit now. It grows by a factor of e within `growth_time` seconds: slowly at first, so that a server whose
    /// limit was just cut is not overloaded again at once, and faster later, as what is known of the server ages.
    fn limit(&self, now: f64, growth_time: f64) -> f64 {
        if self.limit.get().is_finite() {
            self.limit.get() * ((now - self.limit_cut_at.get()) / growth_time).powi(2).exp()
        } else {
            f64::INFINITY
        }
    }

    /// Cuts the limit of an overloaded server to `factor` times its present load. If the load is far below its peak
    /// since the last cut, the cause is more likely the set-up of many connections at once, and a limit that low would
    /// refuse them; the limit then follows the peak. `mean_load` is the mean connection's, in nanocores.
    fn cut_limit(&self, now: f64, factor: f64, growth_time: f64, mean_load: f64) {
        let (load, peak_load) = (self.load.get() as f64, self.peak_load.get());
        let target = if load + 2.0 * mean_load < 0.7 * peak_load { 0.9 * peak_load } else { load * factor };
        // A limit of zero would never grow back. The lowest one grows to one mean connection while an outcome counts.
        let lowest = mean_load * (-(OUTCOME_MEMORY / LIMIT_GROWTH_TIME).powi(2)).exp();
        self.limit.set(self.limit(now, growth_time).min(target.max(lowest)));
        self.peak_load.set(self.limit.get());
        self.limit_cut_at.set(now);
    }
}

impl Balancer {
    /// Starts the balancer: subscribes to the list of servers and sets timers, where the settings require it.
    pub fn start(&self, now: f64) {
        self.started_at.set(now);
        if self.list_subscription.required {
            self.host.subscribe_to_list();
        }
        if self.locality.relocates_home {
            self.relocate_home_at.set(now);
            self.host.set_timer(now);
        }
    }

    /// A random number from 0 to 1.
    fn random(&self) -> f64 {
        self.rng.borrow_mut().rand_float()
    }

    /// The point at which this balancer rounds its part of a server up. The golden ratio spreads the balancers' points
    /// evenly for each server, so that many small parts, rounded to whole connections, add up to the server's share.
    fn rounding_offset(&self, server: u64) -> f64 {
        (rank(0, server) + self.position * GOLDEN_RATIO).fract()
    }

    /// A server's relative size as far as the list's weight shows it; 1 where weights follow load.
    pub(crate) fn server_size(&self, server: &Server) -> f64 {
        if self.weights_follow_load {
            1.0
        } else {
            server.weight.get()
        }
    }

    /// How long an outcome counts, in seconds.
    fn outcome_memory(&self) -> f64 {
        OUTCOME_MEMORY * self.longest_guard
    }

    /// Handles the timer that the balancer requested.
    pub fn on_timer(&self, now: f64) {
        if now + TIMER_TOLERANCE >= self.resubscribe_at.get() {
            self.resubscribe_at.set(f64::INFINITY);
            self.host.subscribe_to_list();
        }
        if now + TIMER_TOLERANCE >= self.relocate_home_at.get() {
            self.relocate_home(now);
        }
    }

    /// Relocates connections from other zones, placed there when home was full or before this balancer started, to the
    /// home zone while it has room: the lightest first, a hundredth of this balancer's connections at a time.
    fn relocate_home(&self, now: f64) {
        let at = now + 0.05 * self.longest_guard;
        self.relocate_home_at.set(at);
        self.host.set_timer(at);
        let (servers, memory) = (self.servers.borrow(), self.outcome_memory());
        let mut home_servers = servers
            .iter()
            .filter(|s| s.zone == self.locality.home_zone && s.state.get() == ServerState::Ready);
        let has_room = |s: &Rc<Server>| {
            let reported_load = s.load_report.get().map_or(0.0, |(reported_load, _)| reported_load);
            s.load.get() as f64 <= 0.5 * s.limit(now, memory)
                && reported_load < 0.7
                && !s.health.is_unhealthy(now, memory, 2)
        };
        // With fewer connections than servers, a balancer can't tell whether there is room: 300 balancers judged the
        // home zone empty and overfilled it.
        let ready_count = servers.iter().filter(|s| s.state.get() == ServerState::Ready).count();
        let too_few_to_tell = (self.connections.get() as usize) < ready_count;
        // While calls are being refused, relocated connections would only be refused as well.
        if too_few_to_tell
            || !home_servers.any(has_room)
            || now - self.last_refusal_at.get() < self.longest_guard
        {
            return;
        }
        let mut remote_calls: Vec<Rc<Call>> = Vec::new();
        for server in servers.iter().filter(|s| s.zone != self.locality.home_zone) {
            remote_calls.extend(server.calls.borrow().values().filter_map(Weak::upgrade));
        }
        remote_calls
            .retain(|c| c.stage.get() == Stage::Established && now - c.accepted_at > self.longest_guard);
        remote_calls.sort_by(|a, b| a.smoothed_load.get().total_cmp(&b.smoothed_load.get()));
        drop(servers);
        // Only if Eq. 1 clearly prefers the home zone. With few connections some server there always appears free, and
        // at the full crossing cost as many connections left the home zone again as were relocated to it (experiment
        // calm).
        let prefers_home = remote_calls
            .first()
            .and_then(|c| self.find_server(now, c, RELOCATE_HOME_CROSSING_SHARE))
            .is_some_and(|s| s.zone == self.locality.home_zone);
        for call in
            remote_calls.iter().take((self.connections.get() as usize).div_ceil(100)).filter(|_| prefers_home)
        {
            self.host.relocate(call.id);
        }
    }

    /// Applies an update of the list of servers.
    pub fn on_list_update(&self, now: f64, update: ListUpdate, entries: &[ServerEntry]) {
        if update == ListUpdate::Failed {
            if self.list_subscription.required && self.resubscribe_at.get().is_infinite() {
                let at = now + self.list_subscription.retry_delay(self.random());
                self.resubscribe_at.set(at);
                self.host.set_timer(at);
            }
            return;
        }
        if update != ListUpdate::Cached {
            self.list_subscription.failures.set(0);
        }
        let mut servers = self.servers.borrow_mut();
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            // A server that is missing from a complete list is gone.
            servers.iter().for_each(|s| s.state.set(ServerState::Gone));
        }
        for entry in entries {
            match servers.binary_search_by_key(&entry.id, |s| s.id) {
                Ok(index) => {
                    let server = &servers[index];
                    server.state.set(entry.state);
                    server.weight.set(entry.weight);
                    let started = entry.started.unwrap_or(f64::NEG_INFINITY);
                    if started > server.started.get() {
                        server.reset_for_restart(now, started);
                    }
                }
                Err(index) => servers.insert(index, Server::new(now, entry, self.rounding_offset(entry.id))),
            }
        }
        // Looking at all servers for each delta would take time in proportion to the fleet's size.
        if update != ListUpdate::Delta || entries.iter().any(|e| e.state == ServerState::Gone) {
            servers.retain(|s| s.state.get() != ServerState::Gone || s.connections.get() > 0);
        }
    }

    pub(crate) fn server_by_id(&self, id: u64) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        servers.binary_search_by_key(&id, |s| s.id).ok().map(|index| servers[index].clone())
    }

    /// Handles a probe's answer. `reported_load` is the server's offered load over its capacity; `None` if the answer
    /// had none.
    pub fn on_probe_result(&self, now: f64, server: u64, reported_load: Option<f64>) {
        let Some(server) = self.server_by_id(server) else { return };
        if let Some(reported_load) = reported_load {
            server.load_report.set(Some((reported_load, now)));
        }
        let waiters = server.probe_waiters.take();
        waiters.iter().filter_map(Weak::upgrade).for_each(|call| call.finish_probe(now));
    }

    /// Accepts a new call and starts to serve it. All later events of the call are reported through the handle.
    pub fn accept_call(&self, now: f64, id: u64, request: CallRequest) -> Rc<Call> {
        let call = self.new_call(now, id, request);
        call.send_leg_or_refuse(now);
        call
    }

    /// Adds a connection that is already established at `server`.
    pub fn adopt_connection(&self, now: f64, id: u64, request: CallRequest, server: u64) -> Rc<Call> {
        let call = self.new_call(now, id, request);
        // The connection counts even if no list has named its server yet.
        let server = self.server_by_id(server).unwrap_or_else(|| {
            let unlisted = ServerEntry::unlisted(server, self.locality.home_zone as usize);
            Server::new(now, &unlisted, self.rounding_offset(server))
        });
        call.add_leg(now, server);
        call.legs.borrow_mut().iter_mut().for_each(Leg::mark_answered);
        call.stage.set(Stage::Established);
        call
    }

    fn new_call(&self, now: f64, id: u64, request: CallRequest) -> Rc<Call> {
        let load = request.load_hint.unwrap_or_else(|| self.mean_load());
        Rc::new(Call {
            balancer: self.weak_self.upgrade().expect("the balancer exists while its methods run"),
            id,
            deadline: Cell::new(request.deadline),
            request,
            accepted_at: now,
            stage: Cell::new(Stage::Pending),
            legs: RefCell::new(Vec::new()),
            may_have_run: Cell::new(None),
            established_leg: Cell::new(0),
            smoothed_load: Cell::new(load),
            smoothed_busy_share: Cell::new(1.0),
            load_updated_at: Cell::new(now),
            awaits_probe: Cell::new(None),
            timer_due_at: Cell::new(f64::INFINITY),
        })
    }

    /// The mean load of this balancer's connections, in cores; 1 if there are none.
    pub(crate) fn mean_load(&self) -> f64 {
        match self.connections.get() {
            0 => 1.0,
            connections => self.load.get() as f64 / NANOCORES_PER_CORE / f64::from(connections),
        }
    }

    /// The server by Eq. 1 among those that may be sent to now: the one with the highest R_i less this balancer's
    /// predicted load there, at random among equals. `crossing_share` is the share of the crossing cost that counts.
    fn find_server(&self, now: f64, call: &Call, crossing_share: f64) -> Option<Rc<Server>> {
        self.select_server(now, call, crossing_share).ok()
    }

    /// The same as `find_server`, or if there is no server the reason for which most were skipped.
    fn select_server(&self, now: f64, call: &Call, crossing_share: f64) -> Result<Rc<Server>, Refusal> {
        let mut skipped = SkipCounts::default();
        let servers = self.servers.borrow();
        let (memory, total_load) = (self.outcome_memory(), self.load.get() as f64);
        // Incident iadd0bb: this pass computes the sums without branches, so that the processor loads many servers into
        // its cache at a time. Otherwise the decisions below wait for memory at each server.
        let (mut home_weight, mut ready_weight, mut ready_count) = (0.0, 0.0, 0.0);
        let (mut highest_weight, mut inverse_weights, mut near_connections): (f64, f64, f64) =
            (0.0, 0.0, 0.0);
        for server in servers.iter() {
            let at_home = f64::from(u8::from(server.zone == self.locality.home_zone));
            near_connections += at_home * f64::from(server.connections.get());
            let ready = f64::from(u8::from(server.state.get() == ServerState::Ready));
            let size = self.server_size(server);
            home_weight += ready * size * at_home;
            ready_weight += ready * size;
            ready_count += ready;
            highest_weight = highest_weight.max(ready * server.weight.get());
            inverse_weights += ready / server.weight.get().max(f64::MIN_POSITIVE);
        }
        self.locality.update_remote_factor(home_weight / f64::max(ready_weight, f64::MIN_POSITIVE));
        let remote_factor = |share| self.locality.factor(u32::MAX, share).max(0.0);
        let (effective_weight, near_weight) = (
            home_weight + (ready_weight - home_weight) * remote_factor(crossing_share),
            home_weight + (ready_weight - home_weight) * remote_factor(1.0),
        );
        near_connections += (f64::from(self.connections.get()) - near_connections) * remote_factor(1.0);
        // A sudden rise in connections counts only gradually, over the warm-up time, as it is not yet what servers
        // carry. A balancer that has just started counts its returning connections at once: otherwise no balancer had a
        // share by which to fill new servers during a rolling restart.
        let (connections_per_weight, previous) =
            (near_connections / f64::max(near_weight, f64::MIN_POSITIVE), self.connections_per_weight.get());
        let elapsed = (now - self.last_selection_at.replace(now)).max(0.0) / self.slow_start.warm_after;
        let just_started = now - self.started_at.get() < self.slow_start.warm_after;
        let uncounted_rise =
            if just_started { 0.0 } else { (connections_per_weight - previous).max(0.0) * (-elapsed).exp() };
        self.connections_per_weight.set(connections_per_weight - uncounted_rise);
        self.peak_near_weight.set(self.peak_near_weight.get().max(near_weight));
        // Where weights follow load, a weight is the server's size over one more than its load per core. Occupancy is
        // how much more load a server has than the emptiest one, and is compared with the mean over all servers. Every
        // balancer receives the same weights, so they show load that one balancer with few connections can't see.
        let occupancy = |server: &Server| highest_weight / server.weight.get().max(f64::MIN_POSITIVE) - 1.0;
        let mean_occupancy =
            (highest_weight * inverse_weights / f64::max(ready_count, 1.0) - 1.0).max(MIN_MEAN_OCCUPANCY);
        let load_per_weight = total_load / effective_weight.max(f64::MIN_POSITIVE);
        let mean_share = load_per_weight * ready_weight / f64::max(ready_count, 1.0);
        let (mean_load, call_load) =
            (self.mean_load() * NANOCORES_PER_CORE, call.smoothed_load.get() * NANOCORES_PER_CORE);
        let growth_time = LIMIT_GROWTH_TIME * self.longest_guard;
        // Calls beyond their tenant's quota are refused earlier, so that the other tenants keep theirs in a shortage.
        let usable_share = NEW_CONNECTION_SHARE
            * (0.5 + 0.5 * self.tenant_shares.revenue_factor(call.request.tenant, self.balancer_count));
        let (legs, group_share) = (call.legs.borrow(), self.group_share(call));
        let (mut best, mut ties): (Option<(f64, &Rc<Server>)>, f64) = (None, 0.0);
        let (mut fallback, mut unhealthy_weight, mut reports) = (None::<(f64, &Rc<Server>)>, 0.0, (0.0, 0.0));
        // If most servers appear unhealthy, the fault may be on this side, and one of them is used if no other is left.
        let suspect_own_side = self.unhealthy_share.get() > 0.5;
        for server in servers.iter() {
            if server.state.get() != ServerState::Ready {
                continue;
            }
            if !call.may_repeat_at(now, server) {
                skipped.record(Refusal::RepeatForbidden);
                continue;
            }
            let (size, age) = (self.server_size(server), now - server.started.get());
            let factor = self.locality.factor(server.zone, crossing_share);
            let (share, load) = (size * load_per_weight, server.load.get() as f64);
            // A server that has just warmed up has few connections, and a burst of calls would all go there. It stays
            // under the slow-start budget for a while.
            let filling = age < 3.0 * self.slow_start.warm_after && load < 0.5 * share;
            let limit = server.limit(now, growth_time);
            // A server at its limit is sent nothing: an overloaded server drops connections, and the clients that come
            // back keep it overloaded. A server with unknown load is as likely to be overloaded as those with known
            // load in its zone; if it were always used, each balancer of a large fleet would fill servers that the
            // others have closed. One that has just started is not affected, as no balancer has filled it (ic788f7).
            let zone = &self.zones[(server.zone as usize).min(self.zones.len() - 1)];
            let queue_full = now < server.full_until.get();
            let closed =
                load + (1.0 - server.rounding_offset) * call_load > usable_share * limit || queue_full;
            if load > 0.0 || limit.is_finite() {
                zone.count(
                    size,
                    load + (1.0 - server.rounding_offset) * mean_load > NEW_CONNECTION_SHARE * limit
                        || queue_full,
                );
            }
            let unknown = load == 0.0 && limit.is_infinite() && age >= 3.0 * self.slow_start.warm_after;
            if closed || (unknown && server.rounding_offset < zone.closed_share.get()) {
                skipped.record(if closed { Refusal::AtLimit } else { Refusal::UnknownLoad });
                continue;
            }
            // Crossing is charged on a mean server's share at least, and on the server's own if that is larger: the
            // largest servers of other zones otherwise appeared free to each of many balancers.
            let crossing_cost = (1.0 - factor) * share.max(mean_share);
            // Legs without an answer cost more: set-up is work, and a server that answers none is slow.
            let pending_cost = PENDING_LEG_COST * mean_load * f64::from(server.pending_legs.get());
            let mut score =
                share.min(limit) - crossing_cost - load - pending_cost + server.rounding_offset * mean_load;
            if self.weights_follow_load || self.has_probes {
                let relative_occupancy =
                    if self.weights_follow_load { occupancy(server) / mean_occupancy } else { 1.0 };
                // A load report is more accurate than a weight, and is weighted less as it ages.
                let (relative_load, freshness) =
                    server.load_report.get().map_or((0.0, 0.0), |(reported_load, at)| {
                        reports = (reports.0 + size * reported_load, reports.1 + size);
                        (
                            reported_load / self.mean_reported_load.get().max(MIN_MEAN_OCCUPANCY),
                            (-(now - at) / memory).exp(),
                        )
                    });
                score -= OCCUPANCY_COST
                    * mean_load
                    * (freshness * relative_load + (1.0 - freshness) * relative_occupancy);
            }
            // The remaining terms are expensive, and computed only for a server that may still be the best.
            if best.as_ref().is_none_or(|(highest, _)| score >= *highest) {
                let cold = age < self.slow_start.warm_after || filling;
                if cold && !self.within_slow_start_budget(now, server, age) {
                    skipped.record(Refusal::SlowStart);
                    continue;
                }
                let group_cost = self.server_group_cost(
                    call,
                    server,
                    mean_load,
                    group_share * size * ready_count / ready_weight,
                );
                // Where much is closed, a group that spread further would add more load than its calls need. This does
                // not hold for a cold server with budget left: it has room, and few calls reach it.
                let spread = (GROUP_SPREAD * (1.0 - zone.closed_share.get())).max(1.0);
                if !cold && group_cost > (NEW_GROUP_COST + spread) * mean_load {
                    skipped.record(Refusal::GroupSpread);
                    continue;
                }
                score -= group_cost;
            }
            let retry_due =
                now - server.health.last_outcome_at.get().max(server.last_sent_at.get()) > self.longest_guard;
            if server.health.is_unhealthy(now, memory, 2) && !retry_due {
                unhealthy_weight += size;
                skipped.record(Refusal::Unhealthy);
                if suspect_own_side {
                    fallback = fallback.filter(|(highest, _)| score <= *highest).or(Some((score, server)));
                }
                continue;
            }
            if legs.iter().any(|l| Rc::ptr_eq(&l.server, server)) {
                skipped.record(Refusal::Unhealthy);
                fallback = fallback.filter(|(highest, _)| score <= *highest).or(Some((score, server)));
                continue;
            }
            match best {
                Some((highest, _)) if score < highest => {}
                Some((highest, _)) if score == highest => {
                    ties += 1.0;
                    if self.random() * ties < 1.0 {
                        best = Some((score, server));
                    }
                }
                _ => (best, ties) = (Some((score, server)), 1.0),
            }
        }
        self.zones.iter().for_each(ZoneAvailability::finish_pass);
        if reports.1 > 0.0 {
            self.mean_reported_load.set(reports.0 / reports.1);
        }
        self.unhealthy_share.set(unhealthy_weight / ready_weight.max(f64::MIN_POSITIVE));
        best.or(fallback).map(|(_, server)| server.clone()).ok_or_else(|| skipped.main_reason())
    }

    /// The share of this balancer's connections that belong to the call's group, and at least one server's share.
    fn group_share(&self, call: &Call) -> f64 {
        let connections =
            call.request.group.and_then(|g| self.group_connections.borrow().get(&g).copied()).unwrap_or(0);
        let lowest = 1.0 / self.servers.borrow().len().max(1) as f64;
        (f64::from(connections) / f64::from(self.connections.get().max(1))).max(lowest)
    }

    /// The cost of serving the call's group at a server where this balancer has none of it. All balancers rank the
    /// servers alike for a group, so that its calls go to the same few, and to large ones proportionally more often.
    fn server_group_cost(&self, call: &Call, server: &Server, mean_load: f64, group_share: f64) -> f64 {
        match call.request.group {
            Some(group)
                if self.group_cost > 0.0 && !server.group_connections.borrow().contains_key(&group) =>
            {
                self.group_cost * mean_load * (NEW_GROUP_COST + rank(group, server.id) / group_share)
            }
            _ => 0.0,
        }
    }

    /// Whether most set-ups fail across all servers, so that the fault is in something that the servers share.
    fn shared_fault(&self, now: f64) -> bool {
        self.overall_health.is_unhealthy(now, self.longest_guard, HEALTH_OUTCOMES / 2)
    }

    /// Handles an overloaded server: cuts its limit to `factor` times its load and relocates the connections beyond it,
    /// whose clients connect again where there is room. Relocates at most a quarter of this balancer's connections
    /// there per settling time.
    fn on_overload(&self, now: f64, server: &Rc<Server>, factor: f64) {
        if now - server.limit_cut_at.get() < CUT_SETTLE_TIME * self.longest_guard
            && server.limit.get().is_finite()
        {
            return;
        }
        server.cut_limit(
            now,
            factor,
            LIMIT_GROWTH_TIME * self.longest_guard,
            self.mean_load() * NANOCORES_PER_CORE,
        );
        let calls = server.calls.borrow();
        let mut established: Vec<Rc<Call>> = calls
            .values()
            .filter_map(Weak::upgrade)
            .filter(|c| c.stage.get() == Stage::Established)
            .collect();
        established.sort_by(|a, b| {
            a.revenue_factor()
                .total_cmp(&b.revenue_factor())
                .then(b.smoothed_load.get().total_cmp(&a.smoothed_load.get()))
        });
        let mut excess = server.load.get() as f64 - server.limit.get();
        let (max_moves, mut moves) = (established.len().div_ceil(4), 0);
        let forced = server.message_delay.get().0 > FORCED_RELOCATION_DELAY * self.shortest_message_target;
        for (index, call) in established.iter().enumerate() {
            let load = call.smoothed_load.get() * call.smoothed_busy_share.get() * NANOCORES_PER_CORE;
            // With few connections, each may be larger than the excess. The lightest is then relocated with the
            // probability excess / load, so that a server does not stay overloaded because each of many balancers holds
            // only little of its load.
            let last_resort = index + 1 == established.len() && moves == 0 && self.random() * load < excess;
            if moves < max_moves
                && load > 0.0
                && (load < 1.5 * excess || last_resort)
                && (forced || self.find_server(now, call, 1.0).is_some_and(|s| !Rc::ptr_eq(&s, server)))
            {
                moves += 1;
                excess -= load;
                self.host.relocate(call.id);
            }
        }
    }

    /// Adds to the load of a server and of this balancer, in nanocores.
    fn add_load(&self, server: &Server, change: i64) {
        server.load.set(server.load.get() + change);
        server.peak_load.set(server.peak_load.get().max(server.load.get() as f64));
        self.load.set(self.load.get() + change);
    }
}

impl Leg {
    /// Records that the leg has its answer, or needs none any more.
    fn mark_answered(&mut self) {
        if std::mem::take(&mut self.pending) {
            self.server.pending_legs.set(self.server.pending_legs.get() - 1);
        }
    }
}

impl Call {
    /// Rule 2 for servers: whether this call may be sent to `server`, given an earlier leg that may have run.
    fn may_repeat_at(&self, now: f64, server: &Server) -> bool {
        let traffic_type = &self.balancer.traffic_types[self.request.traffic_type];
        match (traffic_type.idempotency, self.may_have_run.get()) {
            (Idempotency::Repeatable, _) | (_, None) => true,
            (Idempotency::OnceOnly, Some(_)) => false,
            (Idempotency::Referenced(scope), Some((zone, cell, sent_at))) => {
                now - sent_at < 0.9 * traffic_type.repeat_window
                    && match scope {
                        RepeatScope::All => true,
                        RepeatScope::Zone => zone == server.zone,
                        RepeatScope::Cell => cell == server.cell && zone == server.zone,
                    }
            }
        }
    }

    /// Whether the request of a leg whose connection has come up may still be sent. This checks again what may have
    /// changed since the leg was started.
    pub fn may_send_now(&self, now: f64, leg: usize) -> bool {
        self.legs.borrow().get(leg).is_some_and(|l| {
            let same_and_ready =
                l.server.state.get() == ServerState::Ready && l.server.started.get() == l.server_started;
            same_and_ready && now < self.deadline.get() && self.may_repeat_at(now, &l.server)
        })
    }

    /// Rule 2 for answers: whether the call may be rejected, which means that the client can safely try again.
    fn may_reject(&self) -> bool {
        let idempotency = self.balancer.traffic_types[self.request.traffic_type].idempotency;
        let any_active = self.legs.borrow().iter().any(|l| l.active);
        match idempotency {
            Idempotency::Repeatable | Idempotency::Referenced(RepeatScope::All) => true,
            _ => self.may_have_run.get().is_none() && !any_active,
        }
    }

    /// Sends a further leg, or refuses the call if there can be none.
    fn send_leg_or_refuse(self: &Rc<Self>, now: f64) {
        if let Err(reason) = self.send_next_leg(now) {
            self.refuse(now, reason);
        }
    }

    /// Sends a further leg, or first a probe, if the call may have another one and there are time and a server for it.
    /// Otherwise returns the reason.
    fn send_next_leg(self: &Rc<Self>, now: f64) -> Result<(), Refusal> {
        let balancer = &self.balancer;
        let sent = self.legs.borrow().len() as u32;
        let time_left = self.deadline.get() - now;
        if sent >= balancer.leg_policy.max_legs {
            return Err(Refusal::AttemptsSpent);
        }
        if time_left <= 0.0 {
            return Err(Refusal::TimeOver);
        }
        // During a shared fault, further legs only add to the load that makes them fail.
        if sent > 0 && balancer.shared_fault(now) {
            return Err(Refusal::SharedFault);
        }
        let server = balancer.select_server(now, self, 1.0)?;
        if sent == 0 && self.start_probe(now, &server) {
            return Ok(());
        }
        let TrafficType { idempotency, setup_target, .. } = balancer.traffic_types[self.request.traffic_type];
        let target_left = self.accepted_at + setup_target - now;
        let last = sent + 1 == balancer.leg_policy.max_legs;
        // A leg leaves time for a further one before the setup target or, if that has passed, before the deadline.
        let timeout = match () {
            () if last || balancer.shared_fault(now) => time_left,
            () if target_left > 0.0 => (target_left / 2.0).max(time_left / 8.0).min(time_left),
            () => (time_left / 2.0).max(time_left.min(target_left.abs())),
        };
        if balancer.leg_policy.two_at_once
            && idempotency == Idempotency::Repeatable
            && timeout < time_left
            && sent == 0
        {
            // Where two legs may be active, the first continues when the second starts.
            balancer.host.send_leg(self.id, server.id, time_left);
            self.set_timer(now + timeout);
        } else {
            balancer.host.send_leg(self.id, server.id, timeout);
        }
        balancer.record_sent(now, &server, self.smoothed_load.get());
        self.add_leg(now, server);
        Ok(())
    }

    /// Requests the server's load, once per call, if no recent report of it exists and there is time. Returns whether
    /// the call waits for the answer.
    fn start_probe(self: &Rc<Self>, now: f64, server: &Rc<Server>) -> bool {
        let balancer = &self.balancer;
        let report_is_fresh = server
            .load_report
            .get()
            .is_some_and(|(_, at)| now - at < REPORT_FRESH_TIME * balancer.longest_guard);
        let wait = PROBE_WAIT * balancer.traffic_types[self.request.traffic_type].setup_target;
        let has_time = self.deadline.get() - now > 2.0 * wait;
        if !balancer.has_probes || report_is_fresh || !has_time || self.awaits_probe.get().is_some() {
            return false;
        }
        // One probe serves all calls that wait for it. Calls whose wait has timed out are removed.
        let mut waiters = server.probe_waiters.borrow_mut();
        waiters.retain(|c| c.upgrade().is_some_and(|c| c.awaits_probe.get() == Some(true)));
        if waiters.is_empty() && !balancer.host.probe(server.id) {
            return false;
        }
        waiters.push(Rc::downgrade(self));
        self.awaits_probe.set(Some(true));
        self.set_timer(now + wait);
        true
    }

    fn set_timer(&self, at: f64) {
        self.timer_due_at.set(at);
        self.balancer.host.set_call_timer(self.id, at);
    }

    /// Continues after a probe, answered or not. A later answer serves other calls only.
    fn finish_probe(self: &Rc<Self>, now: f64) {
        if self.awaits_probe.replace(Some(false)) == Some(true) && self.stage.get() == Stage::Pending {
            self.timer_due_at.set(f64::INFINITY);
            self.send_leg_or_refuse(now);
        }
    }

    /// Adds a leg at `server` to all counts.
    fn add_leg(self: &Rc<Self>, now: f64, server: Rc<Server>) {
        let load = (self.smoothed_load.get() * self.smoothed_busy_share.get() * NANOCORES_PER_CORE) as i64;
        self.balancer.add_load(&server, load);
        self.balancer.connections.set(self.balancer.connections.get() + 1);
        self.balancer.tenant_shares.add_connections(self.request.tenant, 1);
        server.connections.set(server.connections.get() + 1);
        if let Some(group) = self.request.group {
            *server.group_connections.borrow_mut().entry(group).or_insert(0) += 1;
            *self.balancer.group_connections.borrow_mut().entry(group).or_insert(0) += 1;
        }
        let key = self.balancer.next_leg_key.get();
        self.balancer.next_leg_key.set(key + 1);
        server.calls.borrow_mut().insert(key, Rc::downgrade(self));
        server.pending_legs.set(server.pending_legs.get() + 1);
        self.legs.borrow_mut().push(Leg::sent(now, key, server, load));
    }

    /// Removes an ended leg from all counts. Returns its server, or `None` if the leg had ended before.
    fn remove_leg(&self, leg: usize) -> Option<Rc<Server>> {
        let mut legs = self.legs.borrow_mut();
        let leg = legs.get_mut(leg).filter(|l| l.active)?;
        leg.active = false;
        let server = leg.server.clone();
        self.balancer.add_load(&server, -leg.load);
        server.calls.borrow_mut().remove(&leg.key);
        leg.mark_answered();
        self.balancer.connections.set(self.balancer.connections.get() - 1);
        self.balancer.tenant_shares.add_connections(self.request.tenant, -1);
        server.connections.set(server.connections.get() - 1);
        if let Some(group) = self.request.group {
            for group_connections in [&server.group_connections, &self.balancer.group_connections] {
                let mut group_connections = group_connections.borrow_mut();
                if let Some(count) = group_connections.get_mut(&group) {
                    *count -= 1;
                    if *count == 0 {
                        group_connections.remove(&group);
                    }
                }
            }
        }
        Some(server)
    }

    /// Gives the final answer to a call that can't be served, unless it is finished already.
    fn refuse(&self, now: f64, reason: Refusal) {
        if self.stage.replace(Stage::Finished) == Stage::Finished {
            return;
        }
        self.balancer.last_refusal_at.set(now);
        self.balancer.host.note_refusal(self.id, reason);
        if self.may_reject() {
            self.balancer.host.reject(self.id, self.balancer.leg_policy.max_retry_after);
        } else {
            self.balancer.host.release(self.id);
        }
    }

    /// Whether no further events can come for this call, so that its handle can be dropped.
    pub fn is_finished(&self) -> bool {
        self.stage.get() == Stage::Finished && !self.legs.borrow().iter().any(|l| l.active)
    }

    /// Handles the establishment of the connection on `leg`. Another active leg is cancelled, if legs can be cancelled.
    pub fn on_established(&self, now: f64, leg: usize) {
        if self.stage.get() == Stage::Pending {
            self.stage.set(Stage::Established);
            self.established_leg.set(leg);
        }
        for (index, sent_leg) in self.legs.borrow_mut().iter_mut().enumerate() {
            if index == leg {
                sent_leg.mark_answered();
                sent_leg.server.health.record(now, true);
                self.balancer.overall_health.record(now, true);
            } else if sent_leg.active && self.balancer.leg_policy.may_cancel {
                self.balancer.host.cancel_leg(self.id, index as u32);
            }
        }
    }

    /// Handles a report of the connection's present load, in cores. r_j and p_j are smoothed as in Eq. 2.
    pub fn on_load(&self, now: f64, leg: usize, load: f64) {
        let decay = (-(now - self.load_updated_at.replace(now)).max(0.0) / SMOOTHING_TIME).exp();
        let busy = if load > 0.0 { 1.0 } else { 0.0 };
        self.smoothed_load.set((1.0 - decay) * load + decay * self.smoothed_load.get());
        self.smoothed_busy_share.set((1.0 - decay) * busy + decay * self.smoothed_busy_share.get());
        let mut legs = self.legs.borrow_mut();
        if let Some(leg) = legs.get_mut(leg).filter(|l| l.active) {
            let load =
                (self.smoothed_load.get() * self.smoothed_busy_share.get() * NANOCORES_PER_CORE) as i64;
            self.balancer.add_load(&leg.server, load - leg.load);
            leg.load = load;
        }
    }

    fn revenue_factor(&self) -> f64 {
        self.balancer.tenant_shares.revenue_factor(self.request.tenant, self.balancer.balancer_count)
    }

    /// Handles a report of how long a message takes at the server of `leg`, in seconds.
    pub fn on_message_delay(&self, now: f64, leg: usize, delay: f64) {
        let Some(server) = self.legs.borrow().get(leg).map(|l| l.server.clone()) else { return };
        let balancer = &self.balancer;
        // The delay of messages is a server's backlog, which grows by the load beyond its capacity. Without a report in
        // the last 2.5 s, the delay was too short to be reported; it is assumed to have been zero one second earlier.
        let (previous, at) = server.message_delay.replace((delay, now));
        let slope = match now - at {
            elapsed if elapsed > 0.0 && elapsed < 2.5 => (delay - previous) / elapsed,
            _ => delay,
        };
        if delay / balancer.shortest_message_target > OVERLOAD_DELAY {
            let spare_share = 1.0 - delay / (BACKLOG_DRAIN_TIME * balancer.longest_guard);
            balancer.on_overload(
                now,
                &server,
                (spare_share / (1.0 + slope).max(0.1)).clamp(MIN_CUT_FACTOR, 1.0),
            );
        }
    }

    /// Handles the end of a leg. `is_last`: the call has ended with it.
    pub fn on_leg_ended(self: &Rc<Self>, now: f64, leg: usize, outcome: LegOutcome, is_last: bool) {
        let Some(server) = self.remove_leg(leg) else { return };
        let balancer = &self.balancer;
        match outcome {
            LegOutcome::Broken
                if self.stage.get() == Stage::Established && self.established_leg.get() == leg =>
            {
                // Scattered breaks come from the network; connections that a server drops, or loses with its process,
                // break together. A cut for each break refused calls that the servers had room for. With only a few
                // connections, a single break counts, as no second one may follow.
                let (since, count) = server.recent_breaks.get();
                let together = now - since < CUT_SETTLE_TIME * balancer.longest_guard;
                let (since, count) = if together { (since, count + 1) } else { (now, 1) };
                server.recent_breaks.set((since, count));
                if count > (server.connections.get() + CONNECTIONS_PER_BREAK - 4) / CONNECTIONS_PER_BREAK {
                    // The server has not carried the load of a connection that it dropped.
                    let dropped_load =
                        self.smoothed_load.get() * self.smoothed_busy_share.get() * NANOCORES_PER_CORE;
                    server
                        .peak_load
                        .set((server.peak_load.get() - dropped_load).max(server.load.get() as f64));
                    server.health.record(now, false);
                    balancer.on_overload(now, &server, 0.97);
                }
            }
            LegOutcome::Error | LegOutcome::TimedOut | LegOutcome::Unreachable | LegOutcome::Broken => {
                let overall_health = matches!(outcome, LegOutcome::Error | LegOutcome::TimedOut)
                    .then_some(&balancer.overall_health);
                overall_health
                    .into_iter()
                    .chain([&server.health])
                    .for_each(|health| health.record(now, false));
            }
            // A full queue shows a lack of capacity, not a fault.
            LegOutcome::Full => {
                // Incident iadd0bb: a server with a full queue answers at once, and the next calls were all sent there.
                server.full_until.set(now + balancer.longest_guard * balancer.random());
                balancer.on_overload(now, &server, 0.97);
            }
            LegOutcome::Served | LegOutcome::Cancelled | LegOutcome::NotSent => {}
        }
        if outcome.may_have_run() && self.may_have_run.get().is_none() {
            let sent_at = self.legs.borrow()[leg].sent_at;
            self.may_have_run.set(Some((server.zone, server.cell, sent_at)));
        }
        if is_last || (self.stage.get() == Stage::Established && self.established_leg.get() == leg) {
            self.stage.set(Stage::Finished);
        } else if self.stage.get() == Stage::Pending && !self.legs.borrow().iter().any(|l| l.active) {
            // If no leg can serve the call, it is refused at once, so that its client can try elsewhere.
            self.send_leg_or_refuse(now);
        }
    }

    /// Handles a client that has left before an answer, or that the host has cut off. It is sent no answer.
    pub fn on_client_left(&self) {
        self.stage.set(Stage::Finished);
    }

    /// Handles the call's timer: ends the wait for a probe, or starts a second leg, where two may be active, if the
    /// first takes long.
    pub fn on_timer(self: &Rc<Self>, now: f64) {
        // The timer of a probe that has been answered must not start a second leg.
        if now + TIMER_TOLERANCE < self.timer_due_at.get() {
            return;
        }
        if self.awaits_probe.get() == Some(true) {
            return self.finish_probe(now);
        }
        let one_active = self.legs.borrow().iter().filter(|l| l.active).count() == 1;
        let may_send_more = (self.legs.borrow().len() as u32) < self.balancer.leg_policy.max_legs;
        if self.stage.get() == Stage::Pending && one_active && may_send_more {
            // If no second leg can be sent, the first one continues.
            let _ = self.send_next_leg(now);
        }
    }
}
