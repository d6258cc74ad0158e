//! The flows that one agent owns, and those it knows the owner of.

use std::collections::HashMap;
use std::time::Duration;

use super::flow::FlowKey;
use super::lookup::Lookup;
use super::ownership::Ownership;
use super::redirect::Redirect;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Flows owned at most by one agent.
pub const MAX_FLOWS: usize = 65_536;
/// Lookups open at most.
pub const MAX_LOOKUPS: usize = 4_096;
/// Time after which a flow without packets or channels ends.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after which a silent peer is asked again.
pub const ASK_RETRY: Duration = Duration::from_millis(200);
/// Time after which a lookup is given up.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_secs(4);

/// A flow that this agent owns.
#[derive(Clone, Debug)]
pub struct Owned {
    /// Age of the ownership.
    pub ownership: Ownership,
    /// Last packet in either direction.
    pub used: Moment,
    /// Channels and requests that keep the flow open.
    pub pins: u32,
}

/// What an agent knows of a flow without asking anyone.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerState {
    /// It owns the flow.
    Local,
    /// Another agent owns it.
    Remote(Name),
    /// A lookup is under way.
    Searching,
    /// Nothing.
    Unknown,
}

/// A change of a flow's owner that an agent has to act on.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// Nothing to do.
    Accepted,
    /// This agent's ownership gave way.
    Yielded,
    /// The claimant's ownership is younger; its agent has to be told.
    Refused(Ownership),
}

/// Flow table of one agent; `P` is a packet as the front end holds it.
#[derive(Debug)]
pub struct Flows<P> {
    owned: HashMap<FlowKey, Owned>,
    redirects: HashMap<FlowKey, Redirect>,
    lookups: HashMap<FlowKey, Lookup<P>>,
}

impl<P> Flows<P> {
    /// Opens an empty table.
    pub fn open() -> Self {
        Self { owned: HashMap::new(), redirects: HashMap::new(), lookups: HashMap::new() }
    }

    /// Returns what is known of `flow`, and marks it as used.
    pub fn find(&mut self, flow: &FlowKey, now: Moment) -> OwnerState {
        if let Some(owned) = self.owned.get_mut(flow) {
            owned.used = now;
            return OwnerState::Local;
        }
        if let Some(redirect) = self.redirects.get_mut(flow) {
            redirect.used = now;
            return OwnerState::Remote(redirect.ownership.owner.clone());
        }
        if self.lookups.contains_key(flow) { OwnerState::Searching } else { OwnerState::Unknown }
    }

    /// Returns the stamp of the flow's owner, if it is known.
    pub fn ownership(&self, flow: &FlowKey) -> Option<&Ownership> {
        let owned = self.owned.get(flow).map(|o| &o.ownership);
        owned.or_else(|| self.redirects.get(flow).map(|r| &r.ownership))
    }

    /// Takes ownership of a flow.
    ///
    /// # Errors
    ///
    /// Returns the reason if the table is full.
    pub fn own(&mut self, flow: FlowKey, ownership: Ownership, now: Moment) -> Result<(), Reason> {
        if self.owned.len() >= MAX_FLOWS && !self.owned.contains_key(&flow) {
            return Err(Reason::FlowsFull);
        }
        self.redirects.remove(&flow);
        self.owned.entry(flow).or_insert(Owned { ownership, used: now, pins: 0 });
        Ok(())
    }

    /// Remembers another agent as the owner of a flow.
    pub fn redirect(&mut self, flow: FlowKey, ownership: Ownership, now: Moment) {
        self.owned.remove(&flow);
        if self.redirects.len() < MAX_FLOWS || self.redirects.contains_key(&flow) {
            self.redirects.insert(flow, Redirect { ownership, used: now });
        }
    }

    /// Takes in another agent's claim to own `flow`.
    pub fn claim(&mut self, flow: FlowKey, theirs: &Ownership, now: Moment) -> ClaimOutcome {
        let known = self.ownership(&flow).cloned();
        match known {
            Some(s) if s.owner != theirs.owner && s.prevails(theirs) => ClaimOutcome::Refused(s),
            _ => {
                let mine = self.owned.contains_key(&flow);
                self.redirect(flow, theirs.clone(), now);
                if mine { ClaimOutcome::Yielded } else { ClaimOutcome::Accepted }
            }
        }
    }

    /// Forgets where a flow's owner is if that is `owner`.
    pub fn forget(&mut self, flow: &FlowKey, owner: &Name) {
        if self.redirects.get(flow).is_some_and(|r| r.ownership.owner == *owner) {
            self.redirects.remove(flow);
        }
    }

    /// Forgets all redirects to an agent that lost its flows in a restart.
    pub fn forget_owner(&mut self, owner: &Name) {
        self.redirects.retain(|_, r| r.ownership.owner != *owner);
    }

    /// Ends a flow; returns whether this agent owned it.
    pub fn end(&mut self, flow: &FlowKey) -> bool {
        self.owned.remove(flow).is_some()
    }

    /// Keeps a flow open for one more channel or request, or for one less.
    pub fn pin(&mut self, flow: &FlowKey, up: bool) {
        if let Some(owned) = self.owned.get_mut(flow) {
            let pins = owned.pins;
            owned.pins = if up { pins + 1 } else { pins.saturating_sub(1) };
        }
    }

    /// Starts a lookup.
    ///
    /// # Errors
    ///
    /// Returns the reason if too many are open.
    pub fn search(&mut self, flow: FlowKey, lookup: Lookup<P>) -> Result<(), Reason> {
        if self.lookups.len() >= MAX_LOOKUPS {
            return Err(Reason::HeldFull);
        }
        self.lookups.insert(flow, lookup);
        Ok(())
    }

    /// Holds a packet until the lookup of its flow is over.
    ///
    /// # Errors
    ///
    /// Returns the reason if too many packets of the flow are held.
    pub fn hold(&mut self, flow: &FlowKey, packet: P) -> Result<(), Reason> {
        let lookup = self.lookups.get_mut(flow);
        let held = lookup.is_some_and(|l| l.hold(packet));
        if held { Ok(()) } else { Err(Reason::HeldFull) }
    }

    /// Takes in a peer's answer to a lookup; returns the lookup if it is over.
    pub fn answer(
        &mut self,
        flow: &FlowKey,
        peer: &Name,
        owner: Option<Ownership>,
    ) -> Option<Lookup<P>> {
        let lookup = self.lookups.get_mut(flow)?;
        lookup.answer(peer, owner);
        let over = lookup.is_over();
        over.then(|| self.lookups.remove(flow)).flatten()
    }

    /// Gives up waiting for a peer in all lookups; returns those that are over.
    pub fn give_up(&mut self, peer: &Name) -> Vec<(FlowKey, Lookup<P>)> {
        self.lookups.values_mut().for_each(|l| l.give_up(peer));
        self.take_lookups(|l| l.is_over())
    }

    /// Returns the lookups that have waited too long.
    pub fn expire_lookups(&mut self, now: Moment) -> Vec<(FlowKey, Lookup<P>)> {
        self.take_lookups(|l| now.since(l.started) >= LOOKUP_TIMEOUT)
    }

    /// Returns the peers to ask again, with the flow each is asked for.
    pub fn due_asks(&mut self, now: Moment) -> Vec<(Name, FlowKey)> {
        let late = |l: &Lookup<P>| now.since(l.asked) >= ASK_RETRY;
        let mut asks = Vec::new();
        for (flow, lookup) in self.lookups.iter_mut().filter(|(_, l)| late(l)) {
            lookup.asked = now;
            asks.extend(lookup.waiting.iter().map(|peer| (peer.clone(), *flow)));
        }
        asks.sort();
        asks
    }

    /// Ends flows and redirects that nothing has used for [`IDLE_TIMEOUT`].
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        // The owner confirms its redirects before they get this old.
        self.redirects.retain(|_, r| now.since(r.used) < IDLE_TIMEOUT);
        let idle = |o: &Owned| o.pins == 0 && now.since(o.used) >= IDLE_TIMEOUT;
        let mut ended: Vec<_> =
            self.owned.iter().filter(|(_, o)| idle(o)).map(|(f, _)| *f).collect();
        ended.sort();
        for flow in &ended {
            self.owned.remove(flow);
        }
        ended
    }

    /// Returns the owned flows that `wanted` selects, with their stamps.
    pub fn claims(&self, wanted: impl Fn(&FlowKey) -> bool) -> Vec<(FlowKey, Ownership)> {
        let owned = self.owned.iter().filter(|(f, _)| wanted(f));
        let mut claims: Vec<_> = owned.map(|(f, o)| (*f, o.ownership.clone())).collect();
        claims.sort_by_key(|(f, _)| *f);
        claims
    }

    /// Returns the numbers of owned flows, redirects and lookups.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.owned.len(), self.redirects.len(), self.lookups.len())
    }

    fn take_lookups(&mut self, over: impl Fn(&Lookup<P>) -> bool) -> Vec<(FlowKey, Lookup<P>)> {
        let mut keys: Vec<_> =
            self.lookups.iter().filter(|(_, l)| over(l)).map(|(f, _)| *f).collect();
        keys.sort();
        let take = |f| self.lookups.remove(&f).map(|l| (f, l));
        keys.into_iter().filter_map(take).collect()
    }
}
