//! A door that keeps book of what a balancer does and fails the moment a rule is broken.

use dewhead::outward::Outward;
use dewhead::state::{Balancer, Call, Legs, Place, Shares, SlowStart, Watch};
use dewhead::terms::{Effect, Ending, Group, Listed, News, Shop, State, TrafficType, Wanted};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct Sent {
    pub server: u64,
    pub at: f64,
    pub until: f64,
    pub ended: Option<Ending>,
}

pub struct Book {
    pub effect: Effect,
    pub window: f64,
    pub until: f64,
    pub answers: u32,
    pub standing: bool,
    pub sent: Vec<Sent>,
}

impl Book {
    fn may_have_run(&self) -> Option<&Sent> {
        self.sent.iter().find(|s| s.ended.is_none_or(Ending::may_have_run))
    }
}

#[derive(Default)]
pub struct Watcher {
    pub now: Cell<f64>,
    pub most: Cell<u32>,
    pub two_at_once: Cell<bool>,
    pub books: RefCell<BTreeMap<u64, Book>>,
    pub listed: RefCell<BTreeMap<u64, Listed>>,
    pub moved: RefCell<Vec<u64>>,
    pub wakes: RefCell<Vec<(f64, Option<u64>)>>,
    pub asked: Cell<u32>,
    pub probed: RefCell<Vec<u64>>,
}

impl Outward for Watcher {
    fn send(&self, call: u64, server: u64, limit: f64) {
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
                Effect::Repeatable => {}
                Effect::OnceOnly => panic!("rule 2: a once-only call sent again"),
                Effect::Referenced(group) => {
                    assert!(now - ran.at < book.window, "rule 2: sent again after the window");
                    let same = group == Group::All
                        || from.zone == to.zone && (group == Group::Zone || from.cell == to.cell);
                    assert!(same, "rule 2: sent again outside the group");
                }
            }
        }
        assert_eq!(to.state, State::Ready, "rule 3: sent to a server that drains or is gone");
        book.sent.push(Sent { server, at: now, until: now + limit, ended: None });
    }

    fn reject(&self, call: u64, _: Option<f64>) {
        let mut books = self.books.borrow_mut();
        let book = books.get_mut(&call).expect("a call that was taken");
        book.answers += 1;
        let harmless = matches!(book.effect, Effect::Repeatable | Effect::Referenced(Group::All));
        assert!(harmless || book.may_have_run().is_none(), "rule 2: a reject after it may have run");
        assert_eq!(book.answers, 1, "rule 1: two answers");
    }

    fn release(&self, call: u64) {
        let mut books = self.books.borrow_mut();
        let book = books.get_mut(&call).expect("a call that was taken");
        book.answers += 1;
        assert_eq!(book.answers, 1, "rule 1: two answers");
    }

    fn withdraw(&self, _: u64, _: u32) {}

    fn relocate(&self, call: u64) {
        self.moved.borrow_mut().push(call);
    }

    fn wake_call(&self, call: u64, at: f64) {
        self.wakes.borrow_mut().push((at, Some(call)));
    }

    fn wake(&self, at: f64) {
        self.wakes.borrow_mut().push((at, None));
    }

    fn follow_list(&self) {
        self.asked.set(self.asked.get() + 1);
    }

    fn probe(&self, server: u64) -> bool {
        self.probed.borrow_mut().push(server);
        true
    }

    fn remark(&self, _: &str) {}
}

/// A balancer, its watcher and the handles of its calls.
pub struct Stand {
    pub watcher: Rc<Watcher>,
    pub balancer: Rc<Balancer>,
    pub calls: BTreeMap<u64, Rc<Call>>,
    pub traffic: Vec<TrafficType>,
    next: u64,
}

pub fn traffic(effect: Effect) -> TrafficType {
    TrafficType { effect, window: 2.0, setup_target: 0.5, message_target: 0.1, guard_time: 3.0, revenue: 1.0 }
}

pub fn server(id: u64, zone: usize, weight: f64) -> Listed {
    Listed { id, zone, cell: id % 2, state: State::Ready, weight, started: None }
}

impl Stand {
    /// `price` is that of crossing zones.
    pub fn new(seed: u64, legs: Legs, price: f64, ask: bool, traffic: Vec<TrafficType>) -> Stand {
        Stand::under(seed, legs, price, ask, traffic, (false, false))
    }

    /// Whether the list's weights move with load, and whether probes bring reports.
    pub fn under(
        seed: u64,
        legs: Legs,
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
        legs: Legs,
        price: f64,
        ask: bool,
        traffic: Vec<TrafficType>,
        (live, probes): (bool, bool),
    ) -> Stand {
        let watcher = Rc::new(Watcher::default());
        watcher.most.set(legs.most);
        watcher.two_at_once.set(legs.two_at_once);
        watcher.now.set(100.0);
        let shops = agreed.into_iter().map(|standing| Shop { share: 0.5, standing }).collect();
        let slow_start = SlowStart { cold_share: 0.25, warm_after: 8.0, multiple: 3.0, window: 2.0 };
        let balancer = Balancer::new(
            u128::from(seed),
            watcher.clone(),
            seed as usize,
            4,
            traffic.clone(),
            Shares::new(shops, 0.1),
            Watch::new(ask, 10.0),
            Place::new(0, price, 0.01),
            3,
            slow_start,
            legs,
            1.0,
            live,
            probes,
        );
        balancer.begin(100.0);
        Stand { watcher, balancer, calls: BTreeMap::new(), traffic, next: 0 }
    }

    /// One leg at a time, one zone's worth of repeatable traffic.
    pub fn plain() -> Stand {
        let legs = Legs { most: 3, two_at_once: false, may_withdraw: true, stay_away: Some(1.0) };
        Stand::new(7, legs, 0.0, false, vec![traffic(Effect::Repeatable)])
    }

    pub fn now(&self) -> f64 {
        self.watcher.now.get()
    }

    pub fn list(&self, news: News, entries: &[Listed]) {
        let mut listed = self.watcher.listed.borrow_mut();
        if matches!(news, News::Whole | News::Remembered) {
            listed.values_mut().for_each(|l| l.state = State::Gone);
        }
        listed.extend(entries.iter().map(|e| (e.id, e.clone())));
        drop(listed);
        self.balancer.list(self.now(), news, entries);
    }

    pub fn take(&mut self, kind: usize, hint: Option<f64>, group: Option<u64>) -> u64 {
        self.next += 1;
        let (id, now, t) = (self.next, self.now(), &self.traffic[kind]);
        let (effect, window, until) = (t.effect, t.window, now + t.guard_time);
        let book = Book { effect, window, until, answers: 0, standing: false, sent: Vec::new() };
        self.watcher.books.borrow_mut().insert(id, book);
        let shop = Some(id as usize % 2);
        let wanted = Wanted { traffic: kind, shop, until, hint, group };
        let call = self.balancer.take(now, id, wanted);
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
        self.calls[&id].established(self.now(), leg);
    }

    /// Ends a leg that is out; the wire's `last` follows from the call's state.
    pub fn end(&self, id: u64, leg: usize, ending: Ending) {
        let mut books = self.watcher.books.borrow_mut();
        let book = books.get_mut(&id).unwrap();
        book.sent[leg].ended = Some(ending);
        let last = book.standing || book.answers > 0;
        book.answers += u32::from(book.standing && book.answers == 0);
        drop(books);
        self.calls[&id].ended(self.now(), leg, ending, last);
    }

    /// A call that stands with this load; where it stands.
    pub fn standing(&mut self, load: f64) -> (u64, u64) {
        let id = self.take(0, Some(load), None);
        let at = self.at(id).expect("there is room");
        self.establish(id);
        (id, at)
    }
}
