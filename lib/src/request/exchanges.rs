//! The requests that one agent keeps, and what finds them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::exchange::Exchange;
use super::exchange::Stage;
use super::key::RequestKey;
use super::run::Asking;
use super::run::Held;
use super::run::Run;
use super::run::Started;
use crate::process::message::Mode;
use crate::process::message::Pass;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;

/// Requests kept at most; further ones are dropped, none is forgotten early.
pub const MAX_EXCHANGES: usize = 65_536;

/// Requests by key, and by the number under which the backend server has them.
#[derive(Debug)]
pub struct Exchanges {
    all: HashMap<RequestKey, Exchange>,
    order: VecDeque<(Moment, RequestKey)>,
    active: BTreeSet<RequestKey>,
    numbers: HashMap<u64, RequestKey>,
    next: u64,
}

impl Exchanges {
    /// Opens without requests.
    ///
    /// Numbers start from the incarnation, so no run uses one of an earlier run.
    pub fn open(run: Incarnation) -> Self {
        Self {
            all: HashMap::new(),
            order: VecDeque::new(),
            active: BTreeSet::new(),
            numbers: HashMap::new(),
            next: run.0 << 8,
        }
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns whether no further request fits.
    pub fn is_full(&self) -> bool {
        self.all.len() >= MAX_EXCHANGES
    }

    /// Returns the requests that this agent still has to answer.
    pub fn active(&self) -> &BTreeSet<RequestKey> {
        &self.active
    }

    /// Returns all requests.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &Exchange)> {
        self.all.iter()
    }

    /// Returns a request.
    pub fn get(&self, key: &RequestKey) -> Option<&Exchange> {
        self.all.get(key)
    }

    /// Returns a request to change.
    pub fn get_mut(&mut self, key: &RequestKey) -> Option<&mut Exchange> {
        self.all.get_mut(key)
    }

    /// Adds a request, or starts it over.
    pub fn insert(&mut self, key: RequestKey, stage: Stage, pass: Pass, now: Moment) {
        self.mark(key, &stage);
        let lent = pass.mode == Mode::Lend;
        let exchange = Exchange { stage, pass, lent };
        if self.all.insert(key, exchange).is_none() {
            self.order.push_back((now, key));
        }
    }

    /// Moves a request to another stage.
    pub fn put(&mut self, key: RequestKey, stage: Stage) {
        self.mark(key, &stage);
        if let Some(exchange) = self.all.get_mut(&key) {
            exchange.stage = stage;
        }
    }

    /// Returns a request that gathers votes.
    pub fn asking(&self, key: &RequestKey) -> Option<Run<Asking>> {
        match &self.all.get(key)?.stage {
            Stage::Asking(run) => Some(run.clone()),
            _ => None,
        }
    }

    /// Returns a request that waits for a slot.
    pub fn queued(&self, key: &RequestKey) -> Option<Run<Held>> {
        match &self.all.get(key)?.stage {
            Stage::Queued(run) => Some(run.clone()),
            _ => None,
        }
    }

    /// Returns a request that the backend server works on.
    pub fn running(&self, key: &RequestKey) -> Option<Run<Started>> {
        match &self.all.get(key)?.stage {
            Stage::Running(run) => Some(run.clone()),
            _ => None,
        }
    }

    /// Changes each request that gathers votes.
    pub fn each_asking(&mut self, mut change: impl FnMut(&mut Run<Asking>)) {
        for key in &self.active {
            if let Some(Stage::Asking(run)) = self.all.get_mut(key).map(|e| &mut e.stage) {
                change(run);
            }
        }
    }

    /// Draws a number that was never used.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Remembers the number under which the backend server has a request.
    pub fn set_number(&mut self, id: u64, key: RequestKey) {
        self.numbers.insert(id, key);
    }

    /// Takes the request that the backend server has under a number.
    pub fn take_number(&mut self, id: u64) -> Option<RequestKey> {
        self.numbers.remove(&id)
    }

    /// Forgets requests that are older than `memory` and answered.
    pub fn forget(&mut self, memory: Duration, now: Moment) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.since(at) <= memory || self.active.contains(&key) {
                break;
            }
            self.all.remove(&key);
            self.order.pop_front();
        }
    }

    fn mark(&mut self, key: RequestKey, stage: &Stage) {
        if matches!(stage, Stage::Lent(_) | Stage::Done(_)) {
            self.active.remove(&key);
        } else {
            self.active.insert(key);
        }
    }
}
