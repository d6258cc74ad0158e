//! Reconciliation of flow ownership between an agent and its peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::claims::Claim;
use super::claims::Claims;
use super::flow::FlowKey;
use super::flows::ClaimOutcome;
use super::flows::Flows;
use crate::process::context::Context;
use crate::process::message::Message;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Time after which all claims are repeated, so that the redirects of other
/// agents to this one don't expire.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(60);

/// Peers that have not reported their flows to this agent, and claims that they
/// have not acknowledged.
#[derive(Debug)]
pub struct Reconciliation {
    // Peers that have not reported under this manifest version which flows they
    // own.
    unsynced: BTreeSet<Name>,
    claims: Claims,
    last_confirm: Moment,
}

impl Reconciliation {
    /// Opens with every peer unsynced.
    pub fn open(context: &Context, now: Moment) -> Self {
        let unsynced = context.peers.names().cloned().collect();
        Self { unsynced, claims: Claims::open(), last_confirm: now }
    }

    /// Starts again under a manifest version that was just put in force.
    pub fn enforce<P>(&mut self, context: &mut Context, flows: &Flows<P>, now: Moment) {
        self.unsynced = context.peers.names().cloned().collect();
        self.claim_all(context, flows, now);
    }

    /// Returns the peers that have not reported which flows they own.
    pub fn unsynced(&self) -> &BTreeSet<Name> {
        &self.unsynced
    }

    /// Adds peers that were not known before.
    pub fn add_unsynced(&mut self, peers: Vec<Name>) {
        self.unsynced.extend(peers);
    }

    /// Handles a peer's claims; returns the flows that this agent gave up, with
    /// the ownership that prevails.
    pub fn claimed_by<P>(
        &mut self,
        context: &mut Context,
        flows: &mut Flows<P>,
        peer: &Name,
        claims: Vec<Claim>,
        now: Moment,
    ) -> Vec<Claim> {
        let keys = claims.iter().map(|(flow, _)| *flow).collect();
        let (yielded, refused) = apply_claims(context, flows, claims, now);
        context.send(peer, Message::Claimed { flows: keys, refused });
        yielded
    }

    /// Handles a home's reply to claims; returns the flows that this agent gave
    /// up, with the ownership that prevails.
    pub fn acknowledged<P>(
        &mut self,
        context: &mut Context,
        flows: &mut Flows<P>,
        peer: &Name,
        keys: &[FlowKey],
        refused: Vec<Claim>,
        now: Moment,
    ) -> Vec<Claim> {
        self.claims.acknowledged(peer, keys);
        apply_claims(context, flows, refused, now).0
    }

    /// Handles a peer's report of the flows that it owns; returns the flows that
    /// this agent gave up, with the ownership that prevails.
    pub fn synced<P>(
        &mut self,
        context: &mut Context,
        flows: &mut Flows<P>,
        peer: &Name,
        claims: Vec<Claim>,
        now: Moment,
    ) -> Vec<Claim> {
        self.unsynced.remove(peer);
        let (yielded, refused) = apply_claims(context, flows, claims, now);
        if !refused.is_empty() {
            context.send(peer, Message::Claimed { flows: Vec::new(), refused });
        }
        yielded
    }

    /// Handles a peer's restart, in which it lost the flows that it owned and the
    /// claims that it knew.
    pub fn restarted<P>(
        &mut self,
        context: &mut Context,
        flows: &mut Flows<P>,
        peer: &Name,
        now: Moment,
    ) {
        flows.forget_owner(peer);
        let claims = claims_for(context, flows, peer);
        self.claims.send(context, peer, claims, now);
    }

    /// Handles the removal of a peer's VM from the live list.
    pub fn removed<P>(&mut self, flows: &mut Flows<P>, peer: &Name) {
        flows.forget_owner(peer);
        self.unsynced.remove(peer);
        self.claims.drop_home(peer);
    }

    /// Repeats unacknowledged claims, and from time to time all claims.
    pub fn sweep<P>(&mut self, context: &mut Context, flows: &Flows<P>, now: Moment) {
        if now.since(self.last_confirm) >= CONFIRM_INTERVAL {
            self.last_confirm = now;
            self.claim_all(context, flows, now);
        }
        for (home, keys) in self.claims.due(now) {
            if context.backend(&home).is_none() {
                continue;
            }
            let mine = |flow: FlowKey| {
                let ownership = flows.ownership(&flow).filter(|s| s.owner == context.me);
                ownership.map(|s| (flow, s.clone()))
            };
            let claims: Vec<_> = keys.into_iter().filter_map(mine).collect();
            claims.iter().for_each(|_| context.count(Reason::RetryClaim));
            self.claims.send(context, &home, claims, now);
        }
    }

    /// Claims flows that this agent owns at their homes.
    pub fn claim<P>(
        &mut self,
        context: &mut Context,
        flows: &Flows<P>,
        keys: &[FlowKey],
        now: Moment,
    ) {
        let mut by_home: BTreeMap<Name, Vec<Claim>> = BTreeMap::new();
        for flow in keys {
            let Some(ownership) = flows.ownership(flow) else { continue };
            for home in context.homes(flow) {
                by_home.entry(home).or_default().push((*flow, ownership.clone()));
            }
        }
        for (home, claims) in by_home {
            self.claims.send(context, &home, claims, now);
        }
    }

    /// Tells the homes of a flow that it has ended.
    pub fn release(&mut self, context: &mut Context, flow: &FlowKey) {
        self.claims.drop_flow(flow);
        for home in context.homes(flow) {
            context.send(&home, Message::NotOwner { flow: *flow });
        }
    }

    /// Removes the claims of a flow that is handed over.
    pub fn drop_flow(&mut self, flow: &FlowKey) {
        self.claims.drop_flow(flow);
    }

    fn claim_all<P>(&mut self, context: &mut Context, flows: &Flows<P>, now: Moment) {
        let has_home = |flow: &FlowKey| !context.homes(flow).is_empty();
        let keys: Vec<_> = flows.claims(has_home).into_iter().map(|(f, _)| f).collect();
        self.claim(context, flows, &keys, now);
    }
}

/// Returns claims for the flows that are owned here and have `peer` as a home.
pub fn claims_for<P>(context: &Context, flows: &Flows<P>, peer: &Name) -> Vec<Claim> {
    flows.claims(|flow| context.homes(flow).contains(peer))
}

/// Applies claims to the flow table; returns the flows that this agent gave up and
/// the flows whose known ownership prevails over the claim.
fn apply_claims<P>(
    context: &mut Context,
    flows: &mut Flows<P>,
    claims: Vec<Claim>,
    now: Moment,
) -> (Vec<Claim>, Vec<Claim>) {
    let (mut yielded, mut refused) = (Vec::new(), Vec::new());
    for (flow, ownership) in claims {
        match flows.claim(flow, &ownership, now) {
            ClaimOutcome::Accepted => {}
            ClaimOutcome::Yielded => {
                context.count(Reason::OwnerYielded);
                yielded.push((flow, ownership));
            }
            ClaimOutcome::Refused(prevailing) => refused.push((flow, prevailing)),
        }
    }
    (yielded, refused)
}
