//! Flow table of one agent: its own flows, and the known owners of others.

use std::collections::HashMap;
use std::time::Duration;

use super::flow::FlowKey;
use super::lookup::Lookup;
use super::ownership::Ownership;
use super::redirect::Redirect;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Maximum number of flows that one agent owns.
pub const MAX_FLOWS: usize = 65_536;
/// Maximum number of lookups in progress.
pub const MAX_LOOKUPS: usize = 4_096;
/// Time without packets after which a flow ends, unless a channel or request
/// keeps it open.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time after which a peer that has not replied is asked again.
pub const ASK_RETRY: Duration = Duration::from_millis(200);
/// Time after which a lookup is abandoned.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_secs(4);

/// A flow that this agent owns.
#[derive(Clone, Debug)]
pub struct Owned {
    /// This agent's ownership.
    pub ownership: Ownership,
    /// Time of the last packet in either direction.
    pub used: Moment,
    /// Number of channels and requests that keep the flow open.
    pub pins: u32,
}

/// What an agent knows of a flow's owner without asking its peers.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerState {
    /// The agent owns the flow itself.
    Local,
    /// This other agent owns the flow.
    Remote(Name),
    /// A lookup is in progress.
    Searching,
    /// No owner is known.
    Unknown,
}

/// The outcome of another agent's claim to own a flow.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimOutcome {
    /// The claim is accepted; this agent did not own the flow.
    Accepted,
    /// The claim is accepted; this agent gave up its own ownership.
    Yielded,
    /// This known ownership prevails; the claimant has to be told.
    Refused(Ownership),
}

/// Flow table of one agent; `P` is the type of held packets.
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

    /// Returns what is known of the owner of `flow`, and marks the flow as used.
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

    /// Returns the ownership of a flow, if it is known.
    pub fn ownership(&self, flow: &FlowKey) -> Option<&Ownership> {
        let owned = self.owned.get(flow).map(|o| &o.ownership);
        owned.or_else(|| self.redirects.get(flow).map(|r| &r.ownership))
    }

    /// Takes ownership of a flow.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::FlowsFull`] if the table is full.
    pub fn own(&mut self, flow: FlowKey, ownership: Ownership, now: Moment) -> Result<(), Reason> {
        if self.owned.len() >= MAX_FLOWS && !self.owned.contains_key(&flow) {
            return Err(Reason::FlowsFull);
        }
        self.redirects.remove(&flow);
        self.owned.entry(flow).or_insert(Owned { ownership, used: now, pins: 0 });
        Ok(())
    }

    /// Records another agent as the owner of a flow, which this agent gives up.
    pub fn redirect(&mut self, flow: FlowKey, ownership: Ownership, now: Moment) {
        self.owned.remove(&flow);
        if self.redirects.len() < MAX_FLOWS || self.redirects.contains_key(&flow) {
            self.redirects.insert(flow, Redirect { ownership, used: now });
        }
    }

    /// Handles another agent's claim to own `flow`.
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

    /// Removes the redirect of a flow if it points to `owner`.
    pub fn forget(&mut self, flow: &FlowKey, owner: &Name) {
        if self.redirects.get(flow).is_some_and(|r| r.ownership.owner == *owner) {
            self.redirects.remove(flow);
        }
    }

    /// Removes all redirects to an agent that has lost its flows.
    pub fn forget_owner(&mut self, owner: &Name) {
        self.redirects.retain(|_, r| r.ownership.owner != *owner);
    }

    /// Ends a flow; returns whether this agent owned it.
    pub fn end(&mut self, flow: &FlowKey) -> bool {
        self.owned.remove(flow).is_some()
    }

    /// Counts one more channel or request that keeps a flow open if `up`, or else
    /// one less.
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
    /// Returns [`Reason::HeldFull`] if too many are in progress.
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
    /// Returns [`Reason::HeldFull`] if too many packets of the flow are held.
    pub fn hold(&mut self, flow: &FlowKey, packet: P) -> Result<(), Reason> {
        let lookup = self.lookups.get_mut(flow);
        let held = lookup.is_some_and(|l| l.hold(packet));
        if held { Ok(()) } else { Err(Reason::HeldFull) }
    }

    /// Handles a peer's reply to a lookup; returns the lookup if it is over.
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

    /// Stops waiting for a peer in all lookups; returns those that are over.
    pub fn give_up(&mut self, peer: &Name) -> Vec<(FlowKey, Lookup<P>)> {
        self.lookups.values_mut().for_each(|l| l.give_up(peer));
        self.take_lookups(|l| l.is_over())
    }

    /// Takes out the lookups that have timed out.
    pub fn expire_lookups(&mut self, now: Moment) -> Vec<(FlowKey, Lookup<P>)> {
        self.take_lookups(|l| now.since(l.started) >= LOOKUP_TIMEOUT)
    }

    /// Returns the peers to ask again, with the flow that each is asked about.
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

    /// Removes flows and redirects that have not been used for [`IDLE_TIMEOUT`];
    /// returns the flows.
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        // Owners repeat their claims more often than this, which keeps the
        // redirects of live flows.
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

    /// Returns the owned flows that `wanted` selects, with their ownerships.
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
