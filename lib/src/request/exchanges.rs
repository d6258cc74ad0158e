//! The requests that one agent keeps, with their indexes.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::exchange::Exchange;
use super::exchange::Stage;
use super::execution::Execution;
use super::execution::Held;
use super::execution::Started;
use super::execution::Voting;
use super::key::RequestKey;
use crate::process::message::Forward;
use crate::process::message::Mode;
use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;

/// Maximum number of requests kept. Further ones are dropped; none is removed
/// before its retention period ends.
pub const MAX_EXCHANGES: usize = 65_536;

/// Requests by key, and by the ID under which the backend server has them.
#[derive(Debug)]
pub struct Exchanges {
    all: HashMap<RequestKey, Exchange>,
    order: VecDeque<(Moment, RequestKey)>,
    active: BTreeSet<RequestKey>,
    ids: HashMap<u64, RequestKey>,
    last_id: u64,
}

impl Exchanges {
    /// Creates an empty table.
    ///
    /// IDs start from the incarnation, so no run uses an ID of an earlier run.
    pub fn open(run: Incarnation) -> Self {
        Self {
            all: HashMap::new(),
            order: VecDeque::new(),
            active: BTreeSet::new(),
            ids: HashMap::new(),
            last_id: run.0 << 8,
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

    /// Returns the request with `key`.
    pub fn get(&self, key: &RequestKey) -> Option<&Exchange> {
        self.all.get(key)
    }

    /// Returns the request with `key` for modification.
    pub fn get_mut(&mut self, key: &RequestKey) -> Option<&mut Exchange> {
        self.all.get_mut(key)
    }

    /// Adds a request, or replaces the one with the same key.
    pub fn insert(&mut self, key: RequestKey, stage: Stage, forward: Forward, now: Moment) {
        self.update_active(key, &stage);
        let delegated = forward.mode == Mode::Delegate;
        let exchange = Exchange { stage, forward, delegated };
        if self.all.insert(key, exchange).is_none() {
            self.order.push_back((now, key));
        }
    }

    /// Moves a request to another stage.
    pub fn set_stage(&mut self, key: RequestKey, stage: Stage) {
        self.update_active(key, &stage);
        if let Some(exchange) = self.all.get_mut(&key) {
            exchange.stage = stage;
        }
    }

    /// Returns the execution of a request that collects votes.
    pub fn voting(&self, key: &RequestKey) -> Option<Execution<Voting>> {
        match &self.all.get(key)?.stage {
            Stage::Voting(execution) => Some(execution.clone()),
            _ => None,
        }
    }

    /// Returns the execution of a request that waits for a slot.
    pub fn queued(&self, key: &RequestKey) -> Option<Execution<Held>> {
        match &self.all.get(key)?.stage {
            Stage::Queued(execution) => Some(execution.clone()),
            _ => None,
        }
    }

    /// Returns the execution of a request that the backend server is processing.
    pub fn running(&self, key: &RequestKey) -> Option<Execution<Started>> {
        match &self.all.get(key)?.stage {
            Stage::Running(execution) => Some(execution.clone()),
            _ => None,
        }
    }

    /// Calls `change` on each request that collects votes.
    pub fn for_each_voting(&mut self, mut change: impl FnMut(&mut Execution<Voting>)) {
        for key in &self.active {
            if let Some(Stage::Voting(execution)) = self.all.get_mut(key).map(|e| &mut e.stage) {
                change(execution);
            }
        }
    }

    /// Returns an ID that has never been used.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Records the ID under which the backend server has a request.
    pub fn assign_id(&mut self, id: u64, key: RequestKey) {
        self.ids.insert(id, key);
    }

    /// Removes an ID and returns the request that the backend server has under it.
    pub fn take_id(&mut self, id: u64) -> Option<RequestKey> {
        self.ids.remove(&id)
    }

    /// Removes requests that are older than `retention` and answered.
    pub fn expire(&mut self, retention: Duration, now: Moment) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.since(at) <= retention || self.active.contains(&key) {
                break;
            }
            self.all.remove(&key);
            self.order.pop_front();
        }
    }

    fn update_active(&mut self, key: RequestKey, stage: &Stage) {
        if matches!(stage, Stage::Delegated(_) | Stage::Done(_)) {
            self.active.remove(&key);
        } else {
            self.active.insert(key);
        }
    }
}
