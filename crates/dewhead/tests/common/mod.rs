//! A host that records what a balancer does and panics as soon as one of the rules 1 to 3 is broken, and a fixture of a
//! balancer with that host.

use dewhead::host_interface::BalancerHost;
use dewhead::state::{Balancer, Call, LegPolicy, ListSubscription, Locality, SlowStart, TenantShares};
use dewhead::types::{
    CallRequest, Idempotency, LegOutcome, ListUpdate, RepeatScope, ServerEntry, ServerState, Tenant,
    TrafficType,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A leg that the balancer has sent.
pub struct SentLeg {
    pub server: u64,
    pub sent_at: f64,
    pub times_out_at: f64,
    /// `None` while the leg is active.
    pub outcome: Option<LegOutcome>,
}

/// What has happened to one call.
pub struct CallRecord {
    pub idempotency: Idempotency,
    pub repeat_window: f64,
    pub deadline: f64,
    /// The number of final answers.
    pub answers: u32,
    pub established: bool,
    pub legs: Vec<SentLeg>,
}

impl CallRecord {
    /// The first leg that may have run the call.
    fn may_have_run(&self) -> Option<&SentLeg> {
        self.legs.iter().find(|l| l.outcome.is_none_or(LegOutcome::may_have_run))
    }
}

/// Records the balancer's requests and checks them against the rules 1 to 3.
#[derive(Default)]
pub struct CheckingHost {
    pub now: Cell<f64>,
    pub max_legs: Cell<u32>,
    pub two_at_once: Cell<bool>,
    /// All calls by id.
    pub records: RefCell<BTreeMap<u64, CallRecord>>,
    pub listed: RefCell<BTreeMap<u64, ServerEntry>>,
    /// Calls whose connection the balancer has relocated.
    pub relocated: RefCell<Vec<u64>>,
    /// Requested timers: when they are due, and the call; `None` for the balancer's own.
    pub timers: RefCell<Vec<(f64, Option<u64>)>>,
    /// The number of requests for the list of servers.
    pub list_requests: Cell<u32>,
    pub probed_servers: RefCell<Vec<u64>>,
}

impl BalancerHost for CheckingHost {
    fn send_leg(&self, call: u64, server: u64, timeout: f64) {
        let now = self.now.get();
        let mut records = self.records.borrow_mut();
        let record = records.get_mut(&call).expect("the call has been accepted");
        let listed = self.listed.borrow();
        let target = &listed[&server];
        assert!(record.answers == 0 && !record.established, "rule 1: a leg after the answer");
        assert!(now < record.deadline && timeout > 0.0, "rule 1: a leg after the guard time");
        assert!((record.legs.len() as u32) < self.max_legs.get(), "too many legs");
        let active = record.legs.iter().filter(|l| l.outcome.is_none()).count();
        assert!(active == 0 || (active == 1 && self.two_at_once.get()), "rule 2: two legs at once");
        if let Some(earlier) = record.may_have_run() {
            let first_target = &listed[&earlier.server];
            match record.idempotency {
                Idempotency::Repeatable => {}
                Idempotency::OnceOnly => panic!("rule 2: a once-only call was sent again"),
                Idempotency::Referenced(scope) => {
                    assert!(
                        now - earlier.sent_at < record.repeat_window,
                        "rule 2: sent again after the repeat window"
                    );
                    let in_scope = scope == RepeatScope::All
                        || first_target.zone == target.zone
                            && (scope == RepeatScope::Zone || first_target.cell == target.cell);
                    assert!(in_scope, "rule 2: sent again outside the repeat scope");
                }
            }
        }
        assert_eq!(target.state, ServerState::Ready, "rule 3: sent to a server that is draining or gone");
        record.legs.push(SentLeg { server, sent_at: now, times_out_at: now + timeout, outcome: None });
    }

    fn reject(&self, call: u64, _: Option<f64>) {
        let mut records = self.records.borrow_mut();
        let record = records.get_mut(&call).expect("the call has been accepted");
        record.answers += 1;
        let harmless =
            matches!(record.idempotency, Idempotency::Repeatable | Idempotency::Referenced(RepeatScope::All));
        assert!(
            harmless || record.may_have_run().is_none(),
            "rule 2: rejected although the call may have run"
        );
        assert_eq!(record.answers, 1, "rule 1: two answers");
    }

    fn release(&self, call: u64) {
        let mut records = self.records.borrow_mut();
        let record = records.get_mut(&call).expect("the call has been accepted");
        record.answers += 1;
        assert_eq!(record.answers, 1, "rule 1: two answers");
    }

    fn cancel_leg(&self, _: u64, _: u32) {}

    fn relocate(&self, call: u64) {
        self.relocated.borrow_mut().push(call);
    }

    fn set_call_timer(&self, call: u64, at: f64) {
        self.timers.borrow_mut().push((at, Some(call)));
    }

    fn set_timer(&self, at: f64) {
        self.timers.borrow_mut().push((at, None));
    }

    fn subscribe_to_list(&self) {
        self.list_requests.set(self.list_requests.get() + 1);
    }

    fn probe(&self, server: u64) -> bool {
        self.probed_servers.borrow_mut().push(server);
        true
    }

    fn log(&self, _: &str) {}
}

/// A balancer, its host and the handles of its calls.
pub struct Fixture {
    pub host: Rc<CheckingHost>,
    pub balancer: Rc<Balancer>,
    pub calls: BTreeMap<u64, Rc<Call>>,
    pub traffic_types: Vec<TrafficType>,
    last_call_id: u64,
}

/// A traffic type with a guard time of 3 s.
pub fn traffic_type(idempotency: Idempotency) -> TrafficType {
    TrafficType {
        idempotency,
        repeat_window: 2.0,
        setup_target: 0.5,
        message_target: 0.1,
        guard_time: 3.0,
        revenue: 1.0,
    }
}

/// A ready server that started long ago.
pub fn ready_server(id: u64, zone: usize, weight: f64) -> ServerEntry {
    ServerEntry { id, zone, cell: id % 2, state: ServerState::Ready, weight, started: None }
}

impl Fixture {
    /// A fixture whose weights don't follow load and which has no probes. `crossing_price` is the price of crossing
    /// zones; `must_subscribe` says that the list is sent only on request.
    pub fn new(
        seed: u64,
        leg_policy: LegPolicy,
        crossing_price: f64,
        must_subscribe: bool,
        traffic_types: Vec<TrafficType>,
    ) -> Fixture {
        Fixture::with_load_sources(
            seed,
            leg_policy,
            crossing_price,
            must_subscribe,
            traffic_types,
            (false, false),
        )
    }

    /// `load_sources` says whether the list's weights follow load, and whether probes bring load reports.
    pub fn with_load_sources(
        seed: u64,
        leg_policy: LegPolicy,
        crossing_price: f64,
        must_subscribe: bool,
        traffic_types: Vec<TrafficType>,
        load_sources: (bool, bool),
    ) -> Fixture {
        Fixture::with_quotas(
            vec![40.0; 2],
            seed,
            leg_policy,
            crossing_price,
            must_subscribe,
            traffic_types,
            load_sources,
        )
    }

    /// The same with a quota of connections for each tenant; 0 if none is configured.
    pub fn with_quotas(
        quotas: Vec<f64>,
        seed: u64,
        leg_policy: LegPolicy,
        crossing_price: f64,
        must_subscribe: bool,
        traffic_types: Vec<TrafficType>,
        (weights_follow_load, has_probes): (bool, bool),
    ) -> Fixture {
        let host = Rc::new(CheckingHost::default());
        host.max_legs.set(leg_policy.max_legs);
        host.two_at_once.set(leg_policy.two_at_once);
        host.now.set(100.0);
        let tenants =
            quotas.into_iter().map(|quota| Tenant { share: 0.5, quota_connections: quota }).collect();
        let slow_start = SlowStart { cold_share: 0.25, warm_after: 8.0, overload_multiple: 3.0, window: 2.0 };
        let balancer = Balancer::new(
            u128::from(seed),
            host.clone(),
            seed as usize,
            4,
            traffic_types.clone(),
            TenantShares::new(tenants, 0.1),
            ListSubscription::new(must_subscribe, 10.0),
            Locality::new(0, crossing_price, 0.01),
            3,
            slow_start,
            leg_policy,
            1.0,
            weights_follow_load,
            has_probes,
        );
        balancer.start(100.0);
        Fixture { host, balancer, calls: BTreeMap::new(), traffic_types, last_call_id: 0 }
    }

    /// One leg at a time, repeatable traffic, and no price for crossing zones.
    pub fn with_defaults() -> Fixture {
        let leg_policy =
            LegPolicy { max_legs: 3, two_at_once: false, may_cancel: true, max_retry_after: Some(1.0) };
        Fixture::new(7, leg_policy, 0.0, false, vec![traffic_type(Idempotency::Repeatable)])
    }

    pub fn now(&self) -> f64 {
        self.host.now.get()
    }

    /// Applies an update of the list of servers, at the host and at the balancer.
    pub fn update_list(&self, update: ListUpdate, entries: &[ServerEntry]) {
        let mut listed = self.host.listed.borrow_mut();
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            listed.values_mut().for_each(|l| l.state = ServerState::Gone);
        }
        listed.extend(entries.iter().map(|e| (e.id, e.clone())));
        drop(listed);
        self.balancer.on_list_update(self.now(), update, entries);
    }

    /// Passes a new call to the balancer and returns its id. Calls belong to the two tenants in turn.
    pub fn accept_call(&mut self, type_index: usize, load_hint: Option<f64>, group: Option<u64>) -> u64 {
        self.last_call_id += 1;
        let (id, now, traffic_type) = (self.last_call_id, self.now(), &self.traffic_types[type_index]);
        let (idempotency, repeat_window, deadline) =
            (traffic_type.idempotency, traffic_type.repeat_window, now + traffic_type.guard_time);
        let record = CallRecord {
            idempotency,
            repeat_window,
            deadline,
            answers: 0,
            established: false,
            legs: Vec::new(),
        };
        self.host.records.borrow_mut().insert(id, record);
        let tenant = Some(id as usize % 2);
        let request = CallRequest { traffic_type: type_index, tenant, deadline, load_hint, group };
        let call = self.balancer.accept_call(now, id, request);
        self.calls.insert(id, call);
        id
    }

    /// The server that the call's last leg was sent to.
    pub fn last_server(&self, id: u64) -> Option<u64> {
        self.host.records.borrow()[&id].legs.last().map(|l| l.server)
    }

    /// Whether the call has no answer yet and `leg` is its last leg.
    pub fn awaits_leg(&self, id: u64, leg: usize) -> bool {
        let record = &self.host.records.borrow()[&id];
        leg + 1 == record.legs.len() && record.answers == 0
    }

    /// Establishes the connection on the call's last leg.
    pub fn establish(&self, id: u64) {
        let leg = self.host.records.borrow()[&id].legs.len() - 1;
        self.host.records.borrow_mut().get_mut(&id).unwrap().established = true;
        self.calls[&id].on_established(self.now(), leg);
    }

    /// Ends an active leg. Whether the call has ended with it follows from the call's record.
    pub fn end_leg(&self, id: u64, leg: usize, outcome: LegOutcome) {
        let mut records = self.host.records.borrow_mut();
        let record = records.get_mut(&id).unwrap();
        record.legs[leg].outcome = Some(outcome);
        let is_last = record.established || record.answers > 0;
        record.answers += u32::from(record.established && record.answers == 0);
        drop(records);
        self.calls[&id].on_leg_ended(self.now(), leg, outcome, is_last);
    }

    /// Establishes the connection of a new call with this load. Returns the call and its server.
    pub fn connect(&mut self, load: f64) -> (u64, u64) {
        let id = self.accept_call(0, Some(load), None);
        let server = self.last_server(id).expect("there is room");
        self.establish(id);
        (id, server)
    }
}
