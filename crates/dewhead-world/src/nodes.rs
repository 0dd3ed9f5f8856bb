//! A node's machine: work that comes in, piles up and is done, as a fluid. No connections here, only what they ask.

use crate::chance::Chance;
use crate::experiment::{Machine, NodeWays, Rules};
use std::collections::VecDeque;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Up,
    /// Serves what it has, takes nothing new.
    Draining,
    /// The process is gone: connects are refused.
    Dead,
    /// The machine has vanished: nothing comes back.
    Silent,
}

/// A connection being set up: done once all work that was there before it, and its own, is done.
struct SetUp<C> {
    mark: f64,
    /// One core takes so long for it at the least.
    earliest: f64,
    connection: C,
}

pub struct Node<C> {
    pub zone: usize,
    pub cell: u64,
    pub state: State,
    /// When the process last started; long ago at the beginning.
    pub started: f64,
    /// The part of the machine that a neighbour takes.
    pub neighbour: f64,
    /// The part of new connections that it answers with an error at once.
    pub errors: f64,
    /// What all warm cores do, and one of them, in standard cores.
    pub warm: f64,
    pub core: f64,
    pub most: usize,
    /// Connections held, those being set up among them.
    pub held: usize,
    cold_share: f64,
    warm_after: f64,
    /// Load asked by what stands.
    load: f64,
    /// Worth of what stands and is counted, by traffic type.
    worth: Vec<f64>,
    /// Work asked since the start, and how much of it is not done yet, in core-seconds.
    asked: f64,
    pile: f64,
    at: f64,
    set_ups: VecDeque<SetUp<C>>,
    /// While cold: what was asked by when, what could be done by then, and who brought how much.
    cold: VecDeque<(f64, f64, f64)>,
    pub brought: VecDeque<(f64, usize, f64)>,
    able: f64,
}

impl<C> Node<C> {
    pub fn new(
        machine: &Machine,
        ways: &NodeWays,
        zone: usize,
        cell: u64,
        kinds: usize,
        chance: &mut Chance,
    ) -> Node<C> {
        let core = chance.within(machine.speed);
        Node {
            zone,
            cell,
            state: State::Up,
            started: f64::NEG_INFINITY,
            neighbour: 0.0,
            errors: 0.0,
            warm: core * machine.cores,
            core,
            most: (ways.connections_a_core * machine.cores) as usize,
            held: 0,
            cold_share: chance.within(machine.cold_share),
            warm_after: chance.within(machine.warm_after),
            load: 0.0,
            worth: vec![0.0; kinds],
            asked: 0.0,
            pile: 0.0,
            at: 0.0,
            set_ups: VecDeque::new(),
            cold: VecDeque::new(),
            brought: VecDeque::new(),
            able: 0.0,
        }
    }

    /// The process starts anew: cold, with nothing in hand.
    pub fn start(&mut self, now: f64) {
        self.state = State::Up;
        self.started = now;
        self.forget(now);
    }

    /// All that it held is gone with its process.
    pub fn forget(&mut self, now: f64) {
        self.held = 0;
        self.load = 0.0;
        self.worth.iter_mut().for_each(|w| *w = 0.0);
        self.pile = 0.0;
        self.at = now;
        self.set_ups.clear();
        self.cold.clear();
        self.brought.clear();
    }

    pub fn is_cold(&self, now: f64) -> bool {
        now - self.started < self.warm_after
    }

    /// What it can do now.
    pub fn capacity(&self, now: f64) -> f64 {
        let age = ((now - self.started) / self.warm_after).clamp(0.0, 1.0);
        self.warm * (self.cold_share + (1.0 - self.cold_share) * age) * (1.0 - self.neighbour)
    }

    pub fn load(&self) -> f64 {
        self.load
    }

    /// Moves its work on to `now`.
    pub fn advance(&mut self, now: f64) {
        let gap = now - self.at;
        if gap <= 0.0 {
            return;
        }
        let able = self.capacity((self.at + now) / 2.0);
        self.at = now;
        self.asked += self.load * gap;
        self.able += able * gap;
        self.pile = (self.pile + (self.load - able) * gap).max(0.0);
    }

    /// How long what is asked now waits until it is done.
    pub fn delay(&self, now: f64) -> f64 {
        self.pile / self.capacity(now).max(1e-9)
    }

    /// The load of what stands changes.
    pub fn change(&mut self, now: f64, by: f64) {
        self.advance(now);
        self.load = (self.load + by).max(0.0);
    }

    /// A connection stands here from now on as far as clients are served, or no longer.
    pub fn count(&mut self, kind: usize, worth: f64) {
        self.worth[kind] = (self.worth[kind] + worth).max(0.0);
    }

    /// The worth of what stands, by traffic type.
    pub fn worth(&self) -> &[f64] {
        &self.worth
    }

    /// A new connection's set-up begins.
    pub fn set_up(&mut self, now: f64, work: f64, connection: C) {
        self.advance(now);
        self.asked += work;
        self.pile += work;
        self.set_ups.push_back(SetUp { mark: self.asked, earliest: now + work / self.core, connection });
    }

    /// When the next set-up is done, as things stand.
    pub fn next_set_up(&self) -> Option<f64> {
        let first = self.set_ups.front()?;
        let left = (first.mark - (self.asked - self.pile)).max(0.0);
        Some((self.at + left / self.capacity(self.at).max(1e-9)).max(first.earliest))
    }

    /// The next set-up, if it is done by now.
    pub fn done(&mut self, now: f64) -> Option<C> {
        self.advance(now);
        let first = self.set_ups.front()?;
        let left = first.mark - (self.asked - self.pile);
        if left > 1e-6 * self.warm || first.earliest > now + 1e-9 {
            return None;
        }
        self.set_ups.pop_front().map(|s| s.connection)
    }

    /// Whether a cold process falls over: asked more, within the rule's time, than so many times what it could do.
    pub fn falls(&mut self, now: f64, rules: &Rules) -> bool {
        if !self.is_cold(now) {
            self.cold.clear();
            self.brought.clear();
            return false;
        }
        self.advance(now);
        self.cold.push_back((now, self.asked, self.able));
        while self.cold.get(1).is_some_and(|(at, ..)| *at <= now - rules.fall_after) {
            self.cold.pop_front();
        }
        while self.brought.front().is_some_and(|(at, ..)| *at < now - rules.fall_after) {
            self.brought.pop_front();
        }
        let Some((since, asked, able)) = self.cold.front() else { return false };
        let whole = now - since >= rules.fall_after * 0.99;
        // A little slack for chance: a tenth of a second of a warm machine's work.
        whole && self.asked - asked > rules.fall_multiple * (self.able - able) + 0.1 * self.warm
    }
}
