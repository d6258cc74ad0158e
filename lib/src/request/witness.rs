//! A witness, which grants each request to the first agent that asks for it.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::freshness::Freshness;
use super::grant::Grant;
use super::grant::Holder;
use super::key::RequestKey;
use crate::value::moment::Moment;

/// Maximum number of grants kept. The witness abstains on further requests; no
/// grant is removed early.
pub const MAX_GRANTS: usize = 200_000;

/// The witness has just started and has lost its earlier grants, so it grants only
/// requests that were sent since.
#[derive(Clone, Copy, Debug)]
pub struct Abstaining {
    start: Moment,
}

/// The witness has run for long enough, or every peer has reported its grants.
#[derive(Clone, Copy, Debug)]
pub struct Granting;

/// A witness's answer to an agent that asks for a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Vote {
    /// The agent may run the request as far as this witness is concerned.
    Granted,
    /// Another agent, or an earlier run of this one, may run it.
    Held(Holder),
    /// The witness can't tell.
    Abstained,
}

/// A witness in life cycle state `S`.
#[derive(Debug)]
pub struct Witness<S> {
    state: S,
    table: GrantTable,
}

#[derive(Debug, Default)]
struct GrantTable {
    grants: HashMap<RequestKey, (Holder, bool)>,
    order: VecDeque<(Moment, RequestKey)>,
}

impl Witness<Abstaining> {
    /// Creates a witness that has lost its earlier grants.
    pub fn open(now: Moment) -> Self {
        Self { state: Abstaining { start: now }, table: GrantTable::default() }
    }

    /// Votes on a request that an entry received at `seen`.
    pub fn vote(
        &mut self,
        key: RequestKey,
        holder: &Holder,
        seen: Moment,
        freshness: Freshness,
        now: Moment,
    ) -> Vote {
        if self.can_vote(freshness, seen) {
            self.table.vote(key, holder, now)
        } else {
            Vote::Abstained
        }
    }

    /// Returns whether the witness can vote on a request that an entry received at
    /// `seen`.
    pub fn can_vote(&self, freshness: Freshness, seen: Moment) -> bool {
        freshness.began_after(self.state.start, seen)
    }

    /// Adds a grant that a peer reported.
    ///
    /// A holder's own report of its majority takes precedence over grants that
    /// other agents reported. If those disagree, one of the holders may have run
    /// the request and died, so the request is no longer granted to any agent.
    pub fn learn(&mut self, grant: &Grant, now: Moment) {
        let holder = match self.table.grants.get(&grant.key) {
            Some((_, true)) => return,
            Some((known, false)) if !grant.held && *known != grant.holder => Holder::nobody(),
            _ => grant.holder.clone(),
        };
        self.table.insert(grant.key, holder, grant.held, now);
    }

    /// Returns whether requests sent before the start can no longer be handled.
    pub fn may_grant(&self, freshness: Freshness, now: Moment) -> bool {
        now.since(self.state.start) > freshness.retention()
    }

    /// Ends the abstention.
    pub fn start_granting(self) -> Witness<Granting> {
        Witness { state: Granting, table: self.table }
    }
}

impl Witness<Granting> {
    /// Votes on a request.
    pub fn vote(&mut self, key: RequestKey, holder: &Holder, now: Moment) -> Vote {
        self.table.vote(key, holder, now)
    }
}

impl<S> Witness<S> {
    /// Returns the grants that `wanted` selects.
    pub fn grants(&self, wanted: impl Fn(&RequestKey) -> bool) -> Vec<Grant> {
        let grants = self.table.grants.iter().filter(|(key, _)| wanted(key));
        let mut grants: Vec<_> = grants
            .map(|(key, (holder, held))| Grant { key: *key, holder: holder.clone(), held: *held })
            .collect();
        grants.sort_by_key(|g| g.key);
        grants
    }

    /// Removes grants that no transmission can need any more.
    pub fn expire(&mut self, freshness: Freshness, now: Moment) {
        while let Some((at, key)) = self.table.order.front() {
            if now.since(*at) <= freshness.retention() {
                break;
            }
            self.table.grants.remove(key);
            self.table.order.pop_front();
        }
    }

    /// Returns the number of grants kept.
    pub fn len(&self) -> usize {
        self.table.grants.len()
    }

    /// Returns whether no grant is kept.
    pub fn is_empty(&self) -> bool {
        self.table.grants.is_empty()
    }
}

impl GrantTable {
    fn vote(&mut self, key: RequestKey, holder: &Holder, now: Moment) -> Vote {
        match self.grants.get(&key) {
            Some((first, _)) if first == holder => Vote::Granted,
            Some((first, _)) => Vote::Held(first.clone()),
            None if self.grants.len() >= MAX_GRANTS => Vote::Abstained,
            None => {
                self.insert(key, holder.clone(), false, now);
                Vote::Granted
            }
        }
    }

    fn insert(&mut self, key: RequestKey, holder: Holder, held: bool, now: Moment) {
        if self.grants.insert(key, (holder, held)).is_none() {
            self.order.push_back((now, key));
        }
    }
}
