//! All decisions of the balancer.
//!
//! How to call it: build the parts of `state.rs` (`ListSubscription`, `Locality`, `TenantShares`, `SlowStart`, `LegPolicy`) from the few
//! settings each takes, hand them to `Balancer::new` with a seed and the door (`host_interface.rs`), call `start`,
//! then tell it what happens. `accept_call` gives a handle to the call, and all that happens to the call later is a
//! method of that handle. Every method takes the clock; the module has none, and no I/O. Words: `types.rs`.

use crate::refusal::{Refusal, SkipCounts};
use crate::slow_start::{rank, GOLDEN};
use crate::state::{
    Balancer, Call, Health, Leg, ListSubscription, Locality, Server, Stage, TenantShares, ZoneAvailability,
};
use crate::types::{
    CallRequest, Idempotency, LegOutcome, ListUpdate, RepeatScope, ServerEntry, ServerState, TrafficType,
};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// Loads are summed as whole billionths of a core, so that what was added is exactly what is taken off again.
const GRAIN: f64 = 1e9;
/// K of the paper's Eq. 2, in seconds.
const K: f64 = 0.2;
/// A server is judged by its last few outcomes: this many.
const FEW: u32 = 8;
/// A server is overdriven once a message takes this part of the shortest message target.
const SLOW: f64 = 1.0 / 3.0;
/// Work piled up at a server is to be gone in this part of the longest guard time.
const DRAIN: f64 = 1.0;
/// A timer may come this much early, as clocks are rounded on their way; else the next ask was lost.
const EARLY: f64 = 1e-3;
/// A leg not yet answered counts as this many mean connections more.
const WAITING: f64 = 2.0;
/// A server takes new connections up to this part of its limit; the rest is for what changes of itself.
const ROOM: f64 = 0.85;
/// A cut of a limit shows in this part of the longest guard time; until then no further one is made.
const SETTLE: f64 = 0.3;
/// A cut leaves at least this part of the load, as a first delay told may be a chance one.
const LEAST: f64 = 0.3;
/// Connections that break together are more than one in this many of those held.
const APART: u32 = 16;
/// Connections come home where Eq. 1 would have them there at this part of the price of crossing.
const EASE: f64 = 0.7;
/// A server without a group's calls counts as so many mean connections more, and one for each part it ranks lower.
const BASE: f64 = 2.0;
/// A server that holds as many as the mean one counts as this many mean connections more, where the list tells.
const CROWDED: f64 = 2.0;
/// The least that servers are taken to hold a core, the emptiest apart, when they are compared.
const LITTLE: f64 = 0.1;
/// A report is as good as a new one for this part of the longest guard time.
const KNOWN: f64 = 0.5;
/// A call waits for a probe's answer this part of its setup target.
const HEARD: f64 = 0.125;
/// An outcome counts, and a lost trust lasts, for this many of the longest guard times.
const MEMORY: f64 = 4.0;
/// A limit grows back by an e-fold in this many of the longest guard times.
const REGROWN: f64 = 3.0;
/// A group spills over to servers that rank this many parts of it down, and fewer as servers close.
const SPILL: f64 = 3.0;
/// With room nowhere else, a server is relieved once a message takes this many of the shortest message targets.
const LATE: f64 = 3.0;

impl ListSubscription {
    /// The pause after a failed call: doubling, spread out, and never so long that a list ages past its use.
    fn pause(&self, chance: f64) -> f64 {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        self.subscribe_within / 64.0 * f64::from(1u32 << failures.min(4)) * (0.5 + chance)
    }
}

impl Locality {
    /// `price` is what crossing costs a call, and `moving` what a move costs, against 1 for serving it.
    pub fn new(home: usize, price: f64, moving: f64) -> Locality {
        let homecoming = price > 4.0 * moving;
        Locality { home: home as u32, parts: 10.0 * price, abroad: Cell::new(1.0), homecoming }
    }

    /// `home` is the part of all servers, by weight, that stand there. Crossing costs parts of what a server holds of
    /// the whole: in parts of what home alone would hold it grew as home shrank, and home took all until it fell.
    fn settle(&self, home: f64) {
        self.abroad.set((1.0 - self.parts * home) / (1.0 + self.parts * (1.0 - home)));
    }

    pub(crate) fn factor(&self, zone: u32, part_of_price: f64) -> f64 {
        1.0 - f64::from(u8::from(zone != self.home)) * (1.0 - self.abroad.get()) * part_of_price
    }
}

impl ZoneAvailability {
    fn tally(&self, weight: f64, closed: bool) {
        let (all, shut) = self.known.get();
        self.known.set((all + weight, shut + if closed { weight } else { 0.0 }));
    }

    fn settle(&self) {
        let (all, shut) = self.known.replace((0.0, 0.0));
        self.closed.set(if all > 0.0 { shut / all } else { 0.0 });
    }
}

impl TenantShares {
    fn count(&self, shop: Option<usize>, change: i32) {
        if let Some(held) = shop.and_then(|s| self.held.get(s)) {
            held.set(held.get().saturating_add_signed(change));
        }
    }

    /// 1 within the shop's share, less beyond: this balancer's part of it is one of `siblings`.
    fn worth(&self, shop: Option<usize>, siblings: f64) -> f64 {
        match shop
            .and_then(|s| Some((self.shops.get(s)?.quota_connections / siblings, self.held.get(s)?.get())))
        {
            Some((part, held)) if part > 0.0 && f64::from(held) > part => self.beyond,
            _ => 1.0,
        }
    }
}

impl Health {
    fn judge(&self, now: f64, well: bool) {
        self.outcomes.set((self.outcomes.get() << 1 | u32::from(well)) & ((1 << FEW) - 1));
        self.counted.set((self.counted.get() + 1).min(FEW));
        self.judged_at.set(now);
    }

    /// Fewer than half of the last few outcomes, `least` of them or more, were well. Sparse ones age.
    fn sick(&self, now: f64, memory: f64, least: u32) -> bool {
        if now - self.judged_at.get() > memory {
            self.counted.set(0);
            self.outcomes.set(0);
        }
        let (well, counted) = (self.outcomes.get().count_ones(), self.counted.get());
        counted >= least && 2 * well < counted
    }
}

impl Server {
    /// The limit now. It grows back slowly at first, so that a server just cut is not driven at once again,
    /// and faster later, as what is known of it ages: by an e-fold in `growth` seconds.
    fn limit(&self, now: f64, growth: f64) -> f64 {
        if self.limit.get().is_finite() {
            self.limit.get() * ((now - self.cut_at.get()) / growth).powi(2).exp()
        } else {
            f64::INFINITY
        }
    }

    /// Overdriven: what it holds now, less a part, is the most it carries. Far under what it carried since
    /// the last cut, a crowd's set-up is the likelier cause, and so small a limit would turn it away.
    fn cut(&self, now: f64, part: f64, growth: f64, mean: f64) {
        let (load, carried) = (self.load.get() as f64, self.carried.get());
        let most = if load + 2.0 * mean < 0.7 * carried { 0.9 * carried } else { load * part };
        // A limit of nothing would never grow back: the least grows to one mean connection while an outcome counts.
        let least = mean * (-(MEMORY / REGROWN).powi(2)).exp();
        self.limit.set(self.limit(now, growth).min(most.max(least)));
        self.carried.set(self.limit.get());
        self.cut_at.set(now);
    }
}

impl Balancer {
    /// Begins: asks for the list where it must be asked for, and sets the timers that this deployment needs.
    pub fn start(&self, now: f64) {
        self.began.set(now);
        if self.watch.required {
            self.host.subscribe_to_list();
        }
        if self.place.homecoming {
            self.home_at.set(now);
            self.host.set_timer(now);
        }
    }

    fn draw(&self) -> f64 {
        self.chance.borrow_mut().rand_float()
    }

    /// Where this balancer rounds its part of a server up. The golden section spreads the balancers evenly
    /// for each server, so that many small parts, rounded to whole connections, add up to its share.
    fn rounding(&self, server: u64) -> f64 {
        (rank(0, server) + self.position * GOLDEN).fract()
    }

    /// What the list's weight says of a server's size: nothing where it moves with load.
    pub(crate) fn size(&self, server: &Server) -> f64 {
        if self.live {
            1.0
        } else {
            server.weight.get()
        }
    }

    /// How long an outcome counts, and a lost trust lasts: a few of the longest waits a client accepts.
    fn memory(&self) -> f64 {
        MEMORY * self.longest_guard
    }

    pub fn on_timer(&self, now: f64) {
        if now + EARLY >= self.ask_at.get() {
            self.ask_at.set(f64::INFINITY);
            self.host.subscribe_to_list();
        }
        if now + EARLY >= self.home_at.get() {
            self.call_home(now);
        }
    }

    /// Connections that stand abroad, after a spill or from before our start, come home while there is room:
    /// the lightest first, a hundredth of what stands here at a time, none while home is near its limits.
    fn call_home(&self, now: f64) {
        let at = now + 0.05 * self.longest_guard;
        self.home_at.set(at);
        self.host.set_timer(at);
        let (servers, memory) = (self.servers.borrow(), self.memory());
        let mut room =
            servers.iter().filter(|s| s.zone == self.place.home && s.state.get() == ServerState::Ready);
        let roomy = |s: &Rc<Server>| {
            let asked = s.report.get().map_or(0.0, |(asked, _)| asked);
            s.load.get() as f64 <= 0.5 * s.limit(now, memory) && asked < 0.7 && !s.health.sick(now, memory, 2)
        };
        // With less than a connection a server room is not seen: 300 balancers took home for empty, and crowded it.
        let ready = servers.iter().filter(|s| s.state.get() == ServerState::Ready).count();
        let unseen = (self.held.get() as usize) < ready;
        // Called home while others are turned away, connections would only join those.
        if unseen || !room.any(roomy) || now - self.refused_at.get() < self.longest_guard {
            return;
        }
        let mut abroad: Vec<Rc<Call>> = Vec::new();
        for server in servers.iter().filter(|s| s.zone != self.place.home) {
            abroad.extend(server.calls.borrow().values().filter_map(Weak::upgrade));
        }
        abroad.retain(|c| c.stage.get() == Stage::Standing && now - c.taken_at > self.longest_guard);
        abroad.sort_by(|a, b| a.rate.get().total_cmp(&b.rate.get()));
        drop(servers);
        // Only where Eq. 1 would clearly place them at home: with few connections, some server there always seems
        // free, and at the whole price who had come home went abroad again as often (experiment calm).
        let home =
            abroad.first().and_then(|c| self.pick(now, c, EASE)).is_some_and(|s| s.zone == self.place.home);
        for call in abroad.iter().take((self.held.get() as usize).div_ceil(100)).filter(|_| home) {
            self.host.relocate(call.id);
        }
    }

    pub fn on_list_update(&self, now: f64, news: ListUpdate, entries: &[ServerEntry]) {
        if news == ListUpdate::Failed {
            if self.watch.required && self.ask_at.get().is_infinite() {
                let at = now + self.watch.pause(self.draw());
                self.ask_at.set(at);
                self.host.set_timer(at);
            }
            return;
        }
        if news != ListUpdate::Cached {
            self.watch.failures.set(0);
        }
        let mut servers = self.servers.borrow_mut();
        if matches!(news, ListUpdate::Full | ListUpdate::Cached) {
            // A server missing from a whole list is gone.
            servers.iter().for_each(|s| s.state.set(ServerState::Gone));
        }
        for listed in entries {
            match servers.binary_search_by_key(&listed.id, |s| s.id) {
                Ok(at) => {
                    let server = &servers[at];
                    server.state.set(listed.state);
                    server.weight.set(listed.weight);
                    let started = listed.started.unwrap_or(f64::NEG_INFINITY);
                    if started > server.started.get() {
                        server.begins_anew(now, started);
                    }
                }
                Err(at) => servers.insert(at, Server::new(now, listed, self.rounding(listed.id))),
            }
        }
        // To look at all of them for each change would cost what the whole fleet does.
        if news != ListUpdate::Delta || entries.iter().any(|e| e.state == ServerState::Gone) {
            servers.retain(|s| s.state.get() != ServerState::Gone || s.held.get() > 0);
        }
    }

    pub(crate) fn named(&self, id: u64) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        servers.binary_search_by_key(&id, |s| s.id).ok().map(|at| servers[at].clone())
    }

    /// A probe's answer: what is asked of the server over what it can do; none where it did not tell.
    pub fn on_probe_result(&self, now: f64, server: u64, asked: Option<f64>) {
        let Some(server) = self.named(server) else { return };
        if let Some(asked) = asked {
            server.report.set(Some((asked, now)));
        }
        let waiting = server.probing.take();
        waiting.iter().filter_map(Weak::upgrade).for_each(|call| call.go_on(now));
    }

    /// A call has come in. The handle is all that its events need.
    pub fn accept_call(&self, now: f64, id: u64, request: CallRequest) -> Rc<Call> {
        let call = self.handle(now, id, request);
        call.next_leg_or_give_up(now);
        call
    }

    /// A connection that stands already.
    pub fn adopt_connection(&self, now: f64, id: u64, request: CallRequest, server: u64) -> Rc<Call> {
        let call = self.handle(now, id, request);
        // A server that no list has named yet holds it all the same.
        let server = self.named(server).unwrap_or_else(|| {
            let unlisted = ServerEntry::unlisted(server, self.place.home as usize);
            Server::new(now, &unlisted, self.rounding(server))
        });
        call.place(now, server);
        call.legs.borrow_mut().iter_mut().for_each(Leg::answered);
        call.stage.set(Stage::Standing);
        call
    }

    fn handle(&self, now: f64, id: u64, request: CallRequest) -> Rc<Call> {
        let rate = request.load_hint.unwrap_or_else(|| self.mean_load());
        Rc::new(Call {
            balancer: self.me.upgrade().expect("a balancer that is called is alive"),
            id,
            until: Cell::new(request.deadline),
            request,
            taken_at: now,
            stage: Cell::new(Stage::Waiting),
            legs: RefCell::new(Vec::new()),
            may_have_run: Cell::new(None),
            bound: Cell::new(0),
            rate: Cell::new(rate),
            busy: Cell::new(1.0),
            read_at: Cell::new(now),
            probe: Cell::new(None),
            due: Cell::new(f64::INFINITY),
        })
    }

    /// The mean load of a standing connection here; one where nothing stands.
    pub(crate) fn mean_load(&self) -> f64 {
        match self.held.get() {
            0 => 1.0,
            held => self.load.get() as f64 / GRAIN / f64::from(held),
        }
    }

    /// Eq. 1 over the servers that may be sent to now: the most R_i less own predicted load, ties at random.
    /// `price` is the part of the price of crossing that counts.
    fn pick(&self, now: f64, call: &Call, price: f64) -> Option<Rc<Server>> {
        self.select(now, call, price).ok()
    }

    /// As `pick`; where there is no server, the reason that most of them were passed over for.
    fn select(&self, now: f64, call: &Call, price: f64) -> Result<Rc<Server>, Refusal> {
        let mut skipped = SkipCounts::default();
        let servers = self.servers.borrow();
        let (memory, total) = (self.memory(), self.load.get() as f64);
        // Incident iadd0bb: summed up apart, without a branch, the servers come into the cache many at a
        // time; the decisions below would else wait for memory at each of them.
        let (mut home, mut ready, mut count) = (0.0, 0.0, 0.0);
        let (mut emptiest, mut inverse, mut held): (f64, f64, f64) = (0.0, 0.0, 0.0);
        for server in servers.iter() {
            let at_home = f64::from(u8::from(server.zone == self.place.home));
            held += at_home * f64::from(server.held.get());
            let here = f64::from(u8::from(server.state.get() == ServerState::Ready));
            let weight = self.size(server);
            home += here * weight * at_home;
            ready += here * weight;
            count += here;
            emptiest = emptiest.max(here * server.weight.get());
            inverse += here / server.weight.get().max(f64::MIN_POSITIVE);
        }
        self.place.settle(home / f64::max(ready, f64::MIN_POSITIVE));
        let abroad = |part| self.place.factor(u32::MAX, part).max(0.0);
        let (near, ours) = (home + (ready - home) * abroad(price), home + (ready - home) * abroad(1.0));
        held += (f64::from(self.held.get()) - held) * abroad(1.0);
        // What a crowd has just brought is not yet what a server carries: it counts over the warm-up. Not so what comes
        // back to a balancer that has started itself: in a rolling restart none else had a part to fill new servers by.
        let (held, before) = (held / f64::max(ours, f64::MIN_POSITIVE), self.held_by_weight.get());
        let gap = (now - self.picked_at.replace(now)).max(0.0) / self.slow_start.warm_after;
        let young = now - self.began.get() < self.slow_start.warm_after;
        let rise = if young { 0.0 } else { (held - before).max(0.0) * (-gap).exp() };
        self.held_by_weight.set(held - rise);
        self.most_near.set(self.most_near.get().max(ours));
        // Where weights move with load, a weight is a size over one more than what the server holds a core: how much
        // more than the emptiest, against the mean of that over all. All balancers are told the same, so that what
        // one alone can't see, with a few connections on many servers, is seen.
        let crowded = |server: &Server| emptiest / server.weight.get().max(f64::MIN_POSITIVE) - 1.0;
        let crowd = (emptiest * inverse / f64::max(count, 1.0) - 1.0).max(LITTLE);
        let per_weight = total / near.max(f64::MIN_POSITIVE);
        let mean_share = per_weight * ready / f64::max(count, 1.0);
        let (mean, rate) = (self.mean_load() * GRAIN, call.rate.get() * GRAIN);
        let growth = REGROWN * self.longest_guard;
        // A shop beyond its share stops earlier, so that the others keep theirs when there is not enough.
        let room = ROOM * (0.5 + 0.5 * self.shares.worth(call.request.tenant, self.siblings));
        let (legs, part) = (call.legs.borrow(), self.part(call));
        let (mut best, mut ties): (Option<(f64, &Rc<Server>)>, f64) = (None, 0.0);
        let (mut second, mut sick, mut reported) = (None::<(f64, &Rc<Server>)>, 0.0, (0.0, 0.0));
        // When most look sick, the fault may be on our own side, and they are as good as any.
        let suspect_own_side = self.sick_share.get() > 0.5;
        for server in servers.iter() {
            if server.state.get() != ServerState::Ready {
                continue;
            }
            if !call.allows(now, server) {
                skipped.record(Refusal::RepeatForbidden);
                continue;
            }
            let (weight, age) = (self.size(server), now - server.started.get());
            let factor = self.place.factor(server.zone, price);
            let (share, load) = (weight * per_weight, server.load.get() as f64);
            // A server just warmed holds little yet, and a crowd would all go there: it has its pace too.
            let filling = age < 3.0 * self.slow_start.warm_after && load < 0.5 * share;
            let limit = server.limit(now, growth);
            // A server that holds what it can carry is sent nothing: overdriven ones drop what they hold, and
            // the crowd that returns keeps them so. A server that nothing is known of is as likely to be
            // overdriven as those of its location that are known: at full size each balancer else fills
            // servers that the others have closed. Not so one just started, which nobody has filled (ic788f7).
            let location = &self.locations[(server.zone as usize).min(self.locations.len() - 1)];
            let full = now < server.full_until.get();
            let closed = load + (1.0 - server.rounding) * rate > room * limit || full;
            if load > 0.0 || limit.is_finite() {
                location.tally(weight, load + (1.0 - server.rounding) * mean > ROOM * limit || full);
            }
            let unknown = load == 0.0 && limit.is_infinite() && age >= 3.0 * self.slow_start.warm_after;
            if closed || (unknown && server.rounding < location.closed.get()) {
                skipped.record(if closed { Refusal::AtLimit } else { Refusal::UnknownLoad });
                continue;
            }
            // Crossing costs a mean part at the least, and no less than the server's own: the largest abroad
            // else seemed free to each of many balancers.
            let crossing = (1.0 - factor) * share.max(mean_share);
            // Legs not yet answered weigh more: set-up is work, and a server that answers none is slow.
            let waiting = WAITING * mean * f64::from(server.waiting.get());
            let mut left = share.min(limit) - crossing - load - waiting + server.rounding * mean;
            if self.live || self.probes {
                let told = if self.live { crowded(server) / crowd } else { 1.0 };
                // A report tells more than a count, and fades as it ages.
                let (asked, fresh) = server.report.get().map_or((0.0, 0.0), |(asked, at)| {
                    reported = (reported.0 + weight * asked, reported.1 + weight);
                    (asked / self.reported.get().max(LITTLE), (-(now - at) / memory).exp())
                });
                left -= CROWDED * mean * (fresh * asked + (1.0 - fresh) * told);
            }
            // The costly terms, only for a server that may yet be the best.
            if best.as_ref().is_none_or(|(most, _)| left >= *most) {
                let cold = age < self.slow_start.warm_after || filling;
                if cold && !self.within_budget(now, server, age) {
                    skipped.record(Refusal::SlowStart);
                    continue;
                }
                let price = self.group_price(call, server, mean, part * weight * count / ready);
                // Where much is closed, a group that spread further would bring more load than its calls ask. Not so at
                // a cold server with budget left: it is known to have room, and few calls find it.
                let parts = (SPILL * (1.0 - location.closed.get())).max(1.0);
                if !cold && price > (BASE + parts) * mean {
                    skipped.record(Refusal::GroupSpread);
                    continue;
                }
                left -= price;
            }
            let rested = now - server.health.judged_at.get().max(server.tried_at.get()) > self.longest_guard;
            if server.health.sick(now, memory, 2) && !rested {
                sick += weight;
                skipped.record(Refusal::Unhealthy);
                if suspect_own_side {
                    second = second.filter(|(most, _)| left <= *most).or(Some((left, server)));
                }
                continue;
            }
            if legs.iter().any(|l| Rc::ptr_eq(&l.server, server)) {
                skipped.record(Refusal::Unhealthy);
                second = second.filter(|(most, _)| left <= *most).or(Some((left, server)));
                continue;
            }
            match best {
                Some((most, _)) if left < most => {}
                Some((most, _)) if left == most => {
                    ties += 1.0;
                    if self.draw() * ties < 1.0 {
                        best = Some((left, server));
                    }
                }
                _ => (best, ties) = (Some((left, server)), 1.0),
            }
        }
        self.locations.iter().for_each(ZoneAvailability::settle);
        if reported.1 > 0.0 {
            self.reported.set(reported.0 / reported.1);
        }
        self.sick_share.set(sick / ready.max(f64::MIN_POSITIVE));
        best.or(second).map(|(_, server)| server.clone()).ok_or_else(|| skipped.main_reason())
    }

    /// The part of this balancer's connections that a call's group is; one server's at the least.
    fn part(&self, call: &Call) -> f64 {
        let held = call.request.group.and_then(|g| self.groups.borrow().get(&g).copied()).unwrap_or(0);
        let least = 1.0 / self.servers.borrow().len().max(1) as f64;
        (f64::from(held) / f64::from(self.held.get().max(1))).max(least)
    }

    /// A server that holds none of a call's group here pays for the group. Each balancer ranks a group's
    /// servers alike, so that its parts meet on the same few, and on large ones as much oftener as they are larger.
    fn group_price(&self, call: &Call, server: &Server, mean: f64, part: f64) -> f64 {
        match call.request.group {
            Some(group) if self.group_cost > 0.0 && !server.groups.borrow().contains_key(&group) => {
                self.group_cost * mean * (BASE + rank(group, server.id) / part)
            }
            _ => 0.0,
        }
    }

    /// Most set-ups fail, whichever server they are at: what all servers share is at fault, not they.
    fn shared_fault(&self, now: f64) -> bool {
        self.shared.sick(now, self.longest_guard, FEW / 2)
    }

    /// Cuts a server's limit, and ends politely as many own connections as go beyond it; their clients come
    /// again and are placed where there is room. Bounded: once a settling time, a quarter of them at most.
    fn overdriven(&self, now: f64, server: &Rc<Server>, part: f64) {
        if now - server.cut_at.get() < SETTLE * self.longest_guard && server.limit.get().is_finite() {
            return;
        }
        server.cut(now, part, REGROWN * self.longest_guard, self.mean_load() * GRAIN);
        let calls = server.calls.borrow();
        let mut standing: Vec<Rc<Call>> =
            calls.values().filter_map(Weak::upgrade).filter(|c| c.stage.get() == Stage::Standing).collect();
        standing.sort_by(|a, b| a.worth().total_cmp(&b.worth()).then(b.rate.get().total_cmp(&a.rate.get())));
        let mut excess = server.load.get() as f64 - server.limit.get();
        let (most, mut moved) = (standing.len().div_ceil(4), 0);
        let late = server.delay.get().0 > LATE * self.shortest_message;
        for (at, call) in standing.iter().enumerate() {
            let load = call.rate.get() * call.busy.get() * GRAIN;
            // Where few connections stand, none fits the excess: then the lightest goes by chance, so that a
            // server does not stay overdriven because each balancer holds little of what drives it.
            let last = at + 1 == standing.len() && moved == 0 && self.draw() * load < excess;
            if moved < most
                && load > 0.0
                && (load < 1.5 * excess || last)
                && (late || self.pick(now, call, 1.0).is_some_and(|s| !Rc::ptr_eq(&s, server)))
            {
                moved += 1;
                excess -= load;
                self.host.relocate(call.id);
            }
        }
    }

    fn sum(&self, server: &Server, change: i64) {
        server.load.set(server.load.get() + change);
        server.carried.set(server.carried.get().max(server.load.get() as f64));
        self.load.set(self.load.get() + change);
    }
}

impl Leg {
    fn answered(&mut self) {
        if std::mem::take(&mut self.waiting) {
            self.server.waiting.set(self.server.waiting.get() - 1);
        }
    }
}

impl Call {
    /// Rule 2, the servers: where a leg of a referenced call that may have run can be sent again.
    fn allows(&self, now: f64, server: &Server) -> bool {
        let traffic = &self.balancer.traffic[self.request.traffic_type];
        match (traffic.idempotency, self.may_have_run.get()) {
            (Idempotency::Repeatable, _) | (_, None) => true,
            (Idempotency::OnceOnly, Some(_)) => false,
            (Idempotency::Referenced(group), Some((zone, cell, sent_at))) => {
                now - sent_at < 0.9 * traffic.repeat_window
                    && match group {
                        RepeatScope::All => true,
                        RepeatScope::Zone => zone == server.zone,
                        RepeatScope::Cell => cell == server.cell && zone == server.zone,
                    }
            }
        }
    }

    /// Whether a leg whose connection is up may be asked still: what was learned meanwhile counts, as its send does.
    pub fn may_send_now(&self, now: f64, leg: usize) -> bool {
        self.legs.borrow().get(leg).is_some_and(|l| {
            let here = l.server.state.get() == ServerState::Ready && l.server.started.get() == l.started;
            here && now < self.until.get() && self.allows(now, &l.server)
        })
    }

    /// Rule 2, the answer: a reject says that trying again is harmless.
    fn may_reject(&self) -> bool {
        let idempotency = self.balancer.traffic[self.request.traffic_type].idempotency;
        let out = self.legs.borrow().iter().any(|l| l.out);
        match idempotency {
            Idempotency::Repeatable | Idempotency::Referenced(RepeatScope::All) => true,
            _ => self.may_have_run.get().is_none() && !out,
        }
    }

    fn next_leg_or_give_up(self: &Rc<Self>, now: f64) {
        if let Err(why) = self.next_leg(now) {
            self.give_up(now, why);
        }
    }

    /// Sends a further leg, if there is one to send, time for it and a server; else says what there is not.
    fn next_leg(self: &Rc<Self>, now: f64) -> Result<(), Refusal> {
        let balancer = &self.balancer;
        let sent = self.legs.borrow().len() as u32;
        let guard = self.until.get() - now;
        if sent >= balancer.legs.max_legs {
            return Err(Refusal::AttemptsSpent);
        }
        if guard <= 0.0 {
            return Err(Refusal::TimeOver);
        }
        // In a shared fault another leg only adds to what makes them fail.
        if sent > 0 && balancer.shared_fault(now) {
            return Err(Refusal::SharedFault);
        }
        let server = balancer.select(now, self, 1.0)?;
        if sent == 0 && self.probe(now, &server) {
            return Ok(());
        }
        let TrafficType { idempotency, setup_target, .. } = balancer.traffic[self.request.traffic_type];
        let target = self.taken_at + setup_target - now;
        let last = sent + 1 == balancer.legs.max_legs;
        // A leg leaves time for a further one before the setup target, or else before the guard time.
        let limit = match () {
            () if last || balancer.shared_fault(now) => guard,
            () if target > 0.0 => (target / 2.0).max(guard / 8.0).min(guard),
            () => (guard / 2.0).max(guard.min(target.abs())),
        };
        if balancer.legs.two_at_once && idempotency == Idempotency::Repeatable && limit < guard && sent == 0 {
            // Where two may be out, the first leg goes on when the second starts.
            balancer.host.send_leg(self.id, server.id, guard);
            self.wake(now + limit);
        } else {
            balancer.host.send_leg(self.id, server.id, limit);
        }
        balancer.count_sent(now, &server, self.rate.get());
        self.place(now, server);
        Ok(())
    }

    /// Waits for what the server tells of its load, once a call, where that is not known and there is time.
    fn probe(self: &Rc<Self>, now: f64, server: &Rc<Server>) -> bool {
        let balancer = &self.balancer;
        let known = server.report.get().is_some_and(|(_, at)| now - at < KNOWN * balancer.longest_guard);
        let wait = HEARD * balancer.traffic[self.request.traffic_type].setup_target;
        let time = self.until.get() - now > 2.0 * wait;
        if !balancer.probes || known || !time || self.probe.get().is_some() {
            return false;
        }
        // One probe serves all that wait for it. Whoever it was not answered in time no longer does.
        let mut probing = server.probing.borrow_mut();
        probing.retain(|c| c.upgrade().is_some_and(|c| c.probe.get() == Some(true)));
        if probing.is_empty() && !balancer.host.probe(server.id) {
            return false;
        }
        probing.push(Rc::downgrade(self));
        self.probe.set(Some(true));
        self.wake(now + wait);
        true
    }

    fn wake(&self, at: f64) {
        self.due.set(at);
        self.balancer.host.set_call_timer(self.id, at);
    }

    /// The probe is over, answered or not; what comes of it later counts for other calls only.
    fn go_on(self: &Rc<Self>, now: f64) {
        if self.probe.replace(Some(false)) == Some(true) && self.stage.get() == Stage::Waiting {
            self.due.set(f64::INFINITY);
            self.next_leg_or_give_up(now);
        }
    }

    fn place(self: &Rc<Self>, now: f64, server: Rc<Server>) {
        let load = (self.rate.get() * self.busy.get() * GRAIN) as i64;
        self.balancer.sum(&server, load);
        self.balancer.held.set(self.balancer.held.get() + 1);
        self.balancer.shares.count(self.request.tenant, 1);
        server.held.set(server.held.get() + 1);
        if let Some(group) = self.request.group {
            *server.groups.borrow_mut().entry(group).or_insert(0) += 1;
            *self.balancer.groups.borrow_mut().entry(group).or_insert(0) += 1;
        }
        let place = self.balancer.placed.get();
        self.balancer.placed.set(place + 1);
        server.calls.borrow_mut().insert(place, Rc::downgrade(self));
        server.waiting.set(server.waiting.get() + 1);
        self.legs.borrow_mut().push(Leg::out(now, place, server, load));
    }

    /// An ended leg leaves the sums at once.
    fn unplace(&self, leg: usize) -> Option<Rc<Server>> {
        let mut legs = self.legs.borrow_mut();
        let leg = legs.get_mut(leg).filter(|l| l.out)?;
        leg.out = false;
        let server = leg.server.clone();
        self.balancer.sum(&server, -leg.load);
        server.calls.borrow_mut().remove(&leg.place);
        leg.answered();
        self.balancer.held.set(self.balancer.held.get() - 1);
        self.balancer.shares.count(self.request.tenant, -1);
        server.held.set(server.held.get() - 1);
        if let Some(group) = self.request.group {
            for groups in [&server.groups, &self.balancer.groups] {
                let mut groups = groups.borrow_mut();
                if let Some(count) = groups.get_mut(&group) {
                    *count -= 1;
                    if *count == 0 {
                        groups.remove(&group);
                    }
                }
            }
        }
        Some(server)
    }

    fn give_up(&self, now: f64, why: Refusal) {
        if self.stage.replace(Stage::Answered) == Stage::Answered {
            return;
        }
        self.balancer.refused_at.set(now);
        self.balancer.host.note_refusal(self.id, why);
        if self.may_reject() {
            self.balancer.host.reject(self.id, self.balancer.legs.max_retry_after);
        } else {
            self.balancer.host.release(self.id);
        }
    }

    /// Nothing more will be heard of this call, and the handle can go.
    pub fn is_finished(&self) -> bool {
        self.stage.get() == Stage::Answered && !self.legs.borrow().iter().any(|l| l.out)
    }

    /// The connection stands; a second leg still out is called off.
    pub fn on_established(&self, now: f64, leg: usize) {
        if self.stage.get() == Stage::Waiting {
            self.stage.set(Stage::Standing);
            self.bound.set(leg);
        }
        for (at, one) in self.legs.borrow_mut().iter_mut().enumerate() {
            if at == leg {
                one.answered();
                one.server.health.judge(now, true);
                self.balancer.shared.judge(now, true);
            } else if one.out && self.balancer.legs.may_cancel {
                self.balancer.host.cancel_leg(self.id, at as u32);
            }
        }
    }

    /// The connection's present load, smoothed as in Eq. 2; p_j likewise.
    pub fn on_load(&self, now: f64, leg: usize, load: f64) {
        let fade = (-(now - self.read_at.replace(now)).max(0.0) / K).exp();
        let busy = if load > 0.0 { 1.0 } else { 0.0 };
        self.rate.set((1.0 - fade) * load + fade * self.rate.get());
        self.busy.set((1.0 - fade) * busy + fade * self.busy.get());
        let mut legs = self.legs.borrow_mut();
        if let Some(leg) = legs.get_mut(leg).filter(|l| l.out) {
            let load = (self.rate.get() * self.busy.get() * GRAIN) as i64;
            self.balancer.sum(&leg.server, load - leg.load);
            leg.load = load;
        }
    }

    fn worth(&self) -> f64 {
        self.balancer.shares.worth(self.request.tenant, self.balancer.siblings)
    }

    /// How long a message takes at this call's server now.
    pub fn on_message_delay(&self, now: f64, leg: usize, delay: f64) {
        let Some(server) = self.legs.borrow().get(leg).map(|l| l.server.clone()) else { return };
        let balancer = &self.balancer;
        // What a message takes is work piled up: it grows by what is asked beyond what the server can do.
        // Told for the first time, it was under the telling a second ago.
        let (before, at) = server.delay.replace((delay, now));
        let slope = match now - at {
            gap if gap > 0.0 && gap < 2.5 => (delay - before) / gap,
            _ => delay,
        };
        if delay / balancer.shortest_message > SLOW {
            let drain = 1.0 - delay / (DRAIN * balancer.longest_guard);
            balancer.overdriven(now, &server, (drain / (1.0 + slope).max(0.1)).clamp(LEAST, 1.0));
        }
    }

    pub fn on_leg_ended(self: &Rc<Self>, now: f64, leg: usize, ending: LegOutcome, last: bool) {
        let Some(server) = self.unplace(leg) else { return };
        let balancer = &self.balancer;
        match ending {
            LegOutcome::Broken if self.stage.get() == Stage::Standing && self.bound.get() == leg => {
                // Connections that break here and there are the network's doing: what a server sheds, or
                // loses with its process, breaks together. A cut for each turned away what the servers had
                // room for. Of a few held, one is as many as may ever be seen to break.
                let (since, count) = server.dropped.get();
                let together = now - since < SETTLE * balancer.longest_guard;
                let (since, count) = if together { (since, count + 1) } else { (now, 1) };
                server.dropped.set((since, count));
                if count > (server.held.get() + APART - 4) / APART {
                    // What a server drops it has not carried.
                    let dropped = self.rate.get() * self.busy.get() * GRAIN;
                    server.carried.set((server.carried.get() - dropped).max(server.load.get() as f64));
                    server.health.judge(now, false);
                    balancer.overdriven(now, &server, 0.97);
                }
            }
            LegOutcome::Error | LegOutcome::TimedOut | LegOutcome::Unreachable | LegOutcome::Broken => {
                let shared =
                    matches!(ending, LegOutcome::Error | LegOutcome::TimedOut).then_some(&balancer.shared);
                shared.into_iter().chain([&server.health]).for_each(|health| health.judge(now, false));
            }
            // Full is capacity, not sickness.
            LegOutcome::Full => {
                // Incident iadd0bb: a full queue answers at once, and the next calls all went there too.
                server.full_until.set(now + balancer.longest_guard * balancer.draw());
                balancer.overdriven(now, &server, 0.97);
            }
            LegOutcome::Served | LegOutcome::Cancelled | LegOutcome::NotSent => {}
        }
        if ending.may_have_run() && self.may_have_run.get().is_none() {
            let sent_at = self.legs.borrow()[leg].sent_at;
            self.may_have_run.set(Some((server.zone, server.cell, sent_at)));
        }
        if last || (self.stage.get() == Stage::Standing && self.bound.get() == leg) {
            self.stage.set(Stage::Answered);
        } else if self.stage.get() == Stage::Waiting && !self.legs.borrow().iter().any(|l| l.out) {
            // Held back, a call that no leg can serve would only keep its client from trying elsewhere.
            self.next_leg_or_give_up(now);
        }
    }

    /// The client left before an answer, or was cut off; none is owed.
    pub fn on_client_left(&self) {
        self.stage.set(Stage::Answered);
    }

    /// A probe is not waited for any longer; where two legs may be out at once, the second starts when the first takes
    /// long.
    pub fn on_timer(self: &Rc<Self>, now: f64) {
        // The timer of a probe that was answered in time was taken for the second leg's.
        if now + EARLY < self.due.get() {
            return;
        }
        if self.probe.get() == Some(true) {
            return self.go_on(now);
        }
        let one_out = self.legs.borrow().iter().filter(|l| l.out).count() == 1;
        let more = (self.legs.borrow().len() as u32) < self.balancer.legs.max_legs;
        if self.stage.get() == Stage::Waiting && one_out && more {
            // A first leg is out still, and goes on where there is no second.
            let _ = self.next_leg(now);
        }
    }
}
