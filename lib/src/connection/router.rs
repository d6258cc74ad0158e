//! Routes the packets that reach an agent to the owners of their flows.

use std::collections::BTreeSet;
use std::time::Duration;

use super::arrival::Arrival;
use super::flow::FlowKey;
use super::flow::Header;
use super::flows::Flows;
use super::flows::OwnerState;
use super::lookup::Lookup;
use super::ownership::Ownership;
use super::reconciliation::Reconciliation;
use crate::process::context::Context;
use crate::process::message::Forward;
use crate::process::message::Message;
use crate::process::message::Mode;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Maximum number of processes that a packet passes: entry, home, former owner,
/// owner.
pub const MAX_HOPS: u8 = 4;
/// Time between two scans for idle flows.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How a packet that was not forwarded, held or dropped has to be served.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<C> {
    /// This agent owns the packet's flow.
    Deliver(Arrival<C>),
    /// The owner of the packet's flow is presumed dead, so this agent serves the
    /// packet without owning the flow.
    OwnerDown(Arrival<C>),
}

/// Routing decisions of one agent.
#[derive(Debug)]
pub struct Router<C> {
    flows: Flows<Arrival<C>>,
    reconciliation: Reconciliation,
    last_expiry: Moment,
}

impl<C> Router<C> {
    /// Opens a router that is not reconciled with any peer.
    pub fn open(context: &Context, now: Moment) -> Self {
        Self {
            flows: Flows::open(),
            reconciliation: Reconciliation::open(context, now),
            last_expiry: now,
        }
    }

    /// Returns the flow table.
    pub fn flows(&mut self) -> &mut Flows<Arrival<C>> {
        &mut self.flows
    }

    /// Returns the reconciliation with the peers.
    pub fn reconciliation(&self) -> &Reconciliation {
        &self.reconciliation
    }

    /// Returns the reconciliation with the peers and the flow table.
    pub fn parts_mut(&mut self) -> (&mut Reconciliation, &mut Flows<Arrival<C>>) {
        (&mut self.reconciliation, &mut self.flows)
    }

    /// Routes a packet to the owner of its flow.
    ///
    /// Returns how this agent has to serve the packet, or none if it was forwarded,
    /// held or dropped.
    pub fn route(
        &mut self,
        context: &mut Context,
        from: &Name,
        arrival: Arrival<C>,
        now: Moment,
    ) -> Option<Outcome<C>> {
        let flow = arrival.forward.header.flow;
        match self.flows.find(&flow, now) {
            OwnerState::Local => Some(Outcome::Deliver(arrival)),
            OwnerState::Remote(owner) => self.follow_redirect(context, arrival, &owner, now),
            OwnerState::Searching => {
                let held = self.flows.hold(&flow, arrival);
                held.unwrap_or_else(|reason| context.count(reason));
                None
            }
            OwnerState::Unknown => self.find_owner(context, from, arrival, now),
        }
    }

    fn follow_redirect(
        &mut self,
        context: &mut Context,
        arrival: Arrival<C>,
        owner: &Name,
        now: Moment,
    ) -> Option<Outcome<C>> {
        if context.peers.is_alive(owner) || !arrival.may_open {
            self.forward(context, arrival, owner, Mode::Route);
            return None;
        }
        let flow = arrival.forward.header.flow;
        if context.backend(owner).is_none() {
            self.flows.forget(&flow, owner);
            return self.place(context, arrival, now);
        }
        // The owner may recover, so it keeps the flow, and only new work is served
        // here.
        Some(Outcome::OwnerDown(arrival))
    }

    fn find_owner(
        &mut self,
        context: &mut Context,
        from: &Name,
        arrival: Arrival<C>,
        now: Moment,
    ) -> Option<Outcome<C>> {
        let flow = arrival.forward.header.flow;
        if let Mode::Place(ownership) = &arrival.forward.mode {
            let ownership = ownership.clone();
            return self.own(context, arrival, ownership, now);
        }
        if context.peers.get(from).is_some() {
            context.send(from, Message::NotOwner { flow });
        }
        let Some(home) = context.home(&flow) else {
            context.count(Reason::NoService);
            return None;
        };
        let service = context.manifest.route(flow.service).map(|s| s.doc.service.clone());
        if service.as_ref() != Some(&context.joint.current().service) {
            self.forward(context, arrival, &home, Mode::Route);
            return None;
        }
        if home == context.me {
            let waiting = self.reconciliation.unsynced().clone();
            return self.search(context, arrival, waiting, now);
        }
        match self.live_agent(context, &flow) {
            Some(agent) if agent != context.me => {
                self.forward(context, arrival, &agent, Mode::Route);
                None
            }
            _ => {
                let waiting = context.peers.names().cloned().collect();
                self.search(context, arrival, waiting, now)
            }
        }
    }

    /// Returns the first agent in the flow's ranks that is not presumed dead.
    fn live_agent(&self, context: &Context, flow: &FlowKey) -> Option<Name> {
        let membership = context.joint.current();
        let ranks = membership.ranks(flow.hash(), membership.members.len());
        let usable = |name: &Name| *name == context.me || context.peers.is_alive(name);
        ranks.into_iter().map(|b| b.name.clone()).find(usable)
    }

    /// Asks the live peers in `waiting` for the flow's owner; if there are none,
    /// places the flow or drops the packet at once.
    fn search(
        &mut self,
        context: &mut Context,
        arrival: Arrival<C>,
        waiting: BTreeSet<Name>,
        now: Moment,
    ) -> Option<Outcome<C>> {
        let alive = context.peers.alive_names();
        let incomplete = !waiting.is_subset(&alive);
        let waiting: BTreeSet<_> = waiting.intersection(&alive).cloned().collect();
        let flow = arrival.forward.header.flow;
        let mut lookup = Lookup::open(waiting, incomplete, now);
        if lookup.is_over() {
            return self.place_or_drop(context, arrival, incomplete, now);
        }
        lookup.hold(arrival);
        let asked = lookup.waiting.clone();
        if let Err(reason) = self.flows.search(flow, lookup) {
            context.count(reason);
            return None;
        }
        for peer in &asked {
            context.send(peer, Message::OwnerQuery { flow });
        }
        None
    }

    /// Places the flow of a packet for which no owner was found, or drops the packet
    /// if it may not open a flow.
    fn place_or_drop(
        &mut self,
        context: &mut Context,
        arrival: Arrival<C>,
        incomplete: bool,
        now: Moment,
    ) -> Option<Outcome<C>> {
        if arrival.may_open {
            return self.place(context, arrival, now);
        }
        context.count(if incomplete { Reason::OwnerUnknown } else { Reason::NotHere });
        None
    }

    /// Places a new flow here, or on the better of two random peers.
    fn place(
        &mut self,
        context: &mut Context,
        arrival: Arrival<C>,
        now: Moment,
    ) -> Option<Outcome<C>> {
        let here = context.takes_work();
        let ownership = |owner: Name| Ownership { placed_at: now.0, moves: 0, owner };
        if !here || context.health.cold {
            let mine = if here { context.health.completion() } else { u64::MAX };
            let names = context.candidates();
            let best = context.peers.better_of_two(&names, &mut context.rng);
            if let Some((peer, _)) = best.filter(|(_, theirs)| *theirs < mine) {
                let ownership = ownership(peer.clone());
                self.flows.redirect(arrival.forward.header.flow, ownership.clone(), now);
                self.forward(context, arrival, &peer, Mode::Place(ownership));
                return None;
            }
        }
        if context.reported_health().leaving {
            context.count(Reason::Leaving);
            return None;
        }
        let ownership = ownership(context.me.clone());
        self.own(context, arrival, ownership, now)
    }

    fn own(
        &mut self,
        context: &mut Context,
        arrival: Arrival<C>,
        ownership: Ownership,
        now: Moment,
    ) -> Option<Outcome<C>> {
        let flow = arrival.forward.header.flow;
        if let Err(reason) = self.flows.own(flow, ownership, now) {
            context.count(reason);
            return None;
        }
        self.reconciliation.claim(context, &self.flows, &[flow], now);
        Some(Outcome::Deliver(arrival))
    }

    /// Takes ownership of a flow that another agent hands over.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::FlowsFull`] if the flow table is full.
    pub fn adopt(
        &mut self,
        context: &mut Context,
        flow: FlowKey,
        ownership: Ownership,
        now: Moment,
    ) -> Result<(), Reason> {
        self.flows.own(flow, ownership, now)?;
        self.reconciliation.claim(context, &self.flows, &[flow], now);
        Ok(())
    }

    /// Takes ownership of a flow whose owner is presumed dead, because its caller
    /// opens a channel on it.
    pub fn take_over(
        &mut self,
        context: &mut Context,
        arrival: Arrival<C>,
        now: Moment,
    ) -> Option<Outcome<C>> {
        let ownership = Ownership { placed_at: now.0, moves: 0, owner: context.me.clone() };
        self.own(context, arrival, ownership, now)
    }

    /// Ends the flow if the packet with `header` closes it.
    pub fn close(&mut self, context: &mut Context, header: &Header) {
        if header.closes && self.flows.end(&header.flow) {
            self.reconciliation.release(context, &header.flow);
        }
    }

    /// Moves a flow to another agent; returns the new ownership.
    pub fn hand_over(&mut self, flow: &FlowKey, to: &Name, now: Moment) -> Option<Ownership> {
        let ownership = self.flows.ownership(flow)?;
        let ownership = Ownership {
            moves: ownership.moves + 1,
            owner: to.clone(),
            placed_at: ownership.placed_at,
        };
        self.flows.redirect(*flow, ownership.clone(), now);
        self.reconciliation.drop_flow(flow);
        Some(ownership)
    }

    /// Replies to a peer that asks for the owner of a flow.
    pub fn owner_query(&mut self, context: &mut Context, peer: &Name, flow: FlowKey) {
        let owner = self.flows.ownership(&flow).filter(|s| s.owner != *peer).cloned();
        context.send(peer, Message::OwnerReply { flow, owner });
    }

    /// Handles a peer's reply to a lookup.
    pub fn owner_reply(
        &mut self,
        context: &mut Context,
        peer: &Name,
        flow: FlowKey,
        owner: Option<Ownership>,
        now: Moment,
    ) -> Vec<Outcome<C>> {
        match self.flows.answer(&flow, peer, owner) {
            Some(lookup) => self.finish_lookup(context, flow, lookup, now),
            None => Vec::new(),
        }
    }

    fn finish_lookup(
        &mut self,
        context: &mut Context,
        flow: FlowKey,
        lookup: Lookup<Arrival<C>>,
        now: Moment,
    ) -> Vec<Outcome<C>> {
        if let Some(ownership) = lookup.owner {
            self.flows.redirect(flow, ownership, now);
        }
        let mut outcomes = Vec::new();
        for arrival in lookup.held {
            let outcome = match self.flows.find(&flow, now) {
                OwnerState::Local => Some(Outcome::Deliver(arrival)),
                OwnerState::Remote(owner) => self.follow_redirect(context, arrival, &owner, now),
                _ => self.place_or_drop(context, arrival, lookup.incomplete, now),
            };
            outcomes.extend(outcome);
        }
        outcomes
    }

    /// Handles a peer's message that it does not own a flow whose packet was
    /// forwarded to it.
    pub fn not_owner(&mut self, peer: &Name, flow: &FlowKey) {
        self.flows.forget(flow, peer);
    }

    /// Finishes the lookups in which only a peer that is presumed dead was left to
    /// reply.
    pub fn peer_down(
        &mut self,
        context: &mut Context,
        peer: &Name,
        now: Moment,
    ) -> Vec<Outcome<C>> {
        let over = self.flows.give_up(peer);
        let finish_lookup = |(flow, lookup)| self.finish_lookup(context, flow, lookup, now);
        over.into_iter().flat_map(finish_lookup).collect()
    }

    /// Repeats unanswered questions and claims, and ends timed-out lookups and idle
    /// flows.
    pub fn sweep(&mut self, context: &mut Context, now: Moment) {
        for (peer, flow) in self.flows.due_asks(now) {
            context.send(&peer, Message::OwnerQuery { flow });
        }
        for (_, lookup) in self.flows.expire_lookups(now) {
            lookup.held.iter().for_each(|_| context.count(Reason::HeldTimeout));
        }
        if now.since(self.last_expiry) >= EXPIRY_INTERVAL {
            self.last_expiry = now;
            for flow in self.flows.expire(now) {
                self.reconciliation.release(context, &flow);
            }
        }
        self.reconciliation.sweep(context, &self.flows, now);
    }

    fn forward(&mut self, context: &mut Context, arrival: Arrival<C>, to: &Name, mode: Mode) {
        let forward = arrival.forward;
        if forward.hops >= MAX_HOPS {
            context.count(Reason::Looping);
            return;
        }
        let hops = forward.hops + 1;
        context.send(to, Message::Forward(Forward { mode, hops, ..forward }));
    }
}
