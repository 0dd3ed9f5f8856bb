//! A door that keeps book of what a balancer does and fails the moment a rule is broken.

use dewhead::host_interface::BalancerHost;
use dewhead::state::{Balancer, Call, LegPolicy, ListSubscription, Locality, SlowStart, TenantShares};
use dewhead::types::{
    CallRequest, Idempotency, LegOutcome, ListUpdate, RepeatScope, ServerEntry, ServerState, Tenant,
    TrafficType,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct Sent {
    pub server: u64,
    pub at: f64,
    pub until: f64,
    pub ended: Option<LegOutcome>,
}

pub struct Book {
    pub effect: Idempotency,
    pub window: f64,
    pub until: f64,
    pub answers: u32,
    pub standing: bool,
    pub sent: Vec<Sent>,
}

impl Book {
    fn may_have_run(&self) -> Option<&Sent> {
        self.sent.iter().find(|s| s.ended.is_none_or(LegOutcome::may_have_run))
    }
}

#[derive(Default)]
pub struct Watcher {
    pub now: Cell<f64>,
    pub most: Cell<u32>,
    pub two_at_once: Cell<bool>,
    pub books: RefCell<BTreeMap<u64, Book>>,
    pub listed: RefCell<BTreeMap<u64, ServerEntry>>,
    pub moved: RefCell<Vec<u64>>,
    pub wakes: RefCell<Vec<(f64, Option<u64>)>>,
    pub asked: Cell<u32>,
    pub probed: RefCell<Vec<u64>>,
}

impl BalancerHost for Watcher {
    fn send_leg(&self, call: u64, server: u64, limit: f64) {
        let now = self.now.get();
        let mut books = self.books.borrow_mut();
        let book = books.get_mut(&call).expect("a call that was taken");
        let listed = self.listed.borrow();
        let to = &listed[&server];
        assert!(book.answers == 0 && !book.standing, "rule 1: a leg after the answer");
        assert!(now < book.until && limit > 0.0, "rule 1: a leg after the guard time");
        assert!((book.sent.len() as u32) < self.most.get(), "too many legs");
        let out = book.sent.iter().filter(|s| s.ended.is_none()).count();
        assert!(out == 0 || (out == 1 && self.two_at_once.get()), "rule 2: two legs at once");
        if let Some(ran) = book.may_have_run() {
            let from = &listed[&ran.server];
            match book.effect {
                Idempotency::Repeatable => {}
                Idempotency::OnceOnly => panic!("rule 2: a once-only call sent again"),
                Idempotency::Referenced(group) => {
                    assert!(now - ran.at < book.window, "rule 2: sent again after the window");
                    let same = group == RepeatScope::All
                        || from.zone == to.zone && (group == RepeatScope::Zone || from.cell == to.cell);
                    assert!(same, "rule 2: sent again outside the group");
                }
            }
        }
        assert_eq!(to.state, ServerState::Ready, "rule 3: sent to a server that drains or is gone");
        book.sent.push(Sent { server, at: now, until: now + limit, ended: None });
    }

    fn reject(&self, call: u64, _: Option<f64>) {
        let mut books = self.books.borrow_mut();
        let book = books.get_mut(&call).expect("a call that was taken");
        book.answers += 1;
        let harmless =
            matches!(book.effect, Idempotency::Repeatable | Idempotency::Referenced(RepeatScope::All));
        assert!(harmless || book.may_have_run().is_none(), "rule 2: a reject after it may have run");
        assert_eq!(book.answers, 1, "rule 1: two answers");
    }

    fn release(&self, call: u64) {
        let mut books = self.books.borrow_mut();
        let book = books.get_mut(&call).expect("a call that was taken");
        book.answers += 1;
        assert_eq!(book.answers, 1, "rule 1: two answers");
    }

    fn cancel_leg(&self, _: u64, _: u32) {}

    fn relocate(&self, call: u64) {
        self.moved.borrow_mut().push(call);
    }

    fn set_call_timer(&self, call: u64, at: f64) {
        self.wakes.borrow_mut().push((at, Some(call)));
    }

    fn set_timer(&self, at: f64) {
        self.wakes.borrow_mut().push((at, None));
    }

    fn subscribe_to_list(&self) {
        self.asked.set(self.asked.get() + 1);
    }

    fn probe(&self, server: u64) -> bool {
        self.probed.borrow_mut().push(server);
        true
    }

    fn log(&self, _: &str) {}
}

/// A balancer, its watcher and the handles of its calls.
pub struct Stand {
    pub watcher: Rc<Watcher>,
    pub balancer: Rc<Balancer>,
    pub calls: BTreeMap<u64, Rc<Call>>,
    pub traffic: Vec<TrafficType>,
    next: u64,
}

pub fn traffic(effect: Idempotency) -> TrafficType {
    TrafficType {
        idempotency: effect,
        repeat_window: 2.0,
        setup_target: 0.5,
        message_target: 0.1,
        guard_time: 3.0,
        revenue: 1.0,
    }
}

pub fn server(id: u64, zone: usize, weight: f64) -> ServerEntry {
    ServerEntry { id, zone, cell: id % 2, state: ServerState::Ready, weight, started: None }
}

impl Stand {
    /// `price` is that of crossing zones.
    pub fn new(seed: u64, legs: LegPolicy, price: f64, ask: bool, traffic: Vec<TrafficType>) -> Stand {
        Stand::under(seed, legs, price, ask, traffic, (false, false))
    }

    /// Whether the list's weights move with load, and whether probes bring reports.
    pub fn under(
        seed: u64,
        legs: LegPolicy,
        price: f64,
        ask: bool,
        traffic: Vec<TrafficType>,
        told: (bool, bool),
    ) -> Stand {
        Stand::of(vec![40.0; 2], seed, legs, price, ask, traffic, told)
    }

    /// The same, where so many shops may have so many connections standing each; none where nothing was agreed on.
    pub fn of(
        agreed: Vec<f64>,
        seed: u64,
        legs: LegPolicy,
        price: f64,
        ask: bool,
        traffic: Vec<TrafficType>,
        (live, probes): (bool, bool),
    ) -> Stand {
        let watcher = Rc::new(Watcher::default());
        watcher.most.set(legs.max_legs);
        watcher.two_at_once.set(legs.two_at_once);
        watcher.now.set(100.0);
        let shops =
            agreed.into_iter().map(|standing| Tenant { share: 0.5, quota_connections: standing }).collect();
        let slow_start = SlowStart { cold_share: 0.25, warm_after: 8.0, overload_multiple: 3.0, window: 2.0 };
        let balancer = Balancer::new(
            u128::from(seed),
            watcher.clone(),
            seed as usize,
            4,
            traffic.clone(),
            TenantShares::new(shops, 0.1),
            ListSubscription::new(ask, 10.0),
            Locality::new(0, price, 0.01),
            3,
            slow_start,
            legs,
            1.0,
            live,
            probes,
        );
        balancer.start(100.0);
        Stand { watcher, balancer, calls: BTreeMap::new(), traffic, next: 0 }
    }

    /// One leg at a time, one zone's worth of repeatable traffic.
    pub fn plain() -> Stand {
        let legs =
            LegPolicy { max_legs: 3, two_at_once: false, may_cancel: true, max_retry_after: Some(1.0) };
        Stand::new(7, legs, 0.0, false, vec![traffic(Idempotency::Repeatable)])
    }

    pub fn now(&self) -> f64 {
        self.watcher.now.get()
    }

    pub fn list(&self, news: ListUpdate, entries: &[ServerEntry]) {
        let mut listed = self.watcher.listed.borrow_mut();
        if matches!(news, ListUpdate::Full | ListUpdate::Cached) {
            listed.values_mut().for_each(|l| l.state = ServerState::Gone);
        }
        listed.extend(entries.iter().map(|e| (e.id, e.clone())));
        drop(listed);
        self.balancer.on_list_update(self.now(), news, entries);
    }

    pub fn take(&mut self, kind: usize, hint: Option<f64>, group: Option<u64>) -> u64 {
        self.next += 1;
        let (id, now, t) = (self.next, self.now(), &self.traffic[kind]);
        let (effect, window, until) = (t.idempotency, t.repeat_window, now + t.guard_time);
        let book = Book { effect, window, until, answers: 0, standing: false, sent: Vec::new() };
        self.watcher.books.borrow_mut().insert(id, book);
        let shop = Some(id as usize % 2);
        let wanted =
            CallRequest { traffic_type: kind, tenant: shop, deadline: until, load_hint: hint, group };
        let call = self.balancer.accept_call(now, id, wanted);
        self.calls.insert(id, call);
        id
    }

    /// Where the call's last leg went.
    pub fn at(&self, id: u64) -> Option<u64> {
        self.watcher.books.borrow()[&id].sent.last().map(|s| s.server)
    }

    pub fn waits_on(&self, id: u64, leg: usize) -> bool {
        let book = &self.watcher.books.borrow()[&id];
        leg + 1 == book.sent.len() && book.answers == 0
    }

    pub fn establish(&self, id: u64) {
        let leg = self.watcher.books.borrow()[&id].sent.len() - 1;
        self.watcher.books.borrow_mut().get_mut(&id).unwrap().standing = true;
        self.calls[&id].on_established(self.now(), leg);
    }

    /// Ends a leg that is out; the wire's `last` follows from the call's state.
    pub fn end(&self, id: u64, leg: usize, ending: LegOutcome) {
        let mut books = self.watcher.books.borrow_mut();
        let book = books.get_mut(&id).unwrap();
        book.sent[leg].ended = Some(ending);
        let last = book.standing || book.answers > 0;
        book.answers += u32::from(book.standing && book.answers == 0);
        drop(books);
        self.calls[&id].on_leg_ended(self.now(), leg, ending, last);
    }

    /// A call that stands with this load; where it stands.
    pub fn standing(&mut self, load: f64) -> (u64, u64) {
        let id = self.take(0, Some(load), None);
        let at = self.at(id).expect("there is room");
        self.establish(id);
        (id, at)
    }
}
