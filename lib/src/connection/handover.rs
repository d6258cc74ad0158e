//! Handover of flows from this agent to others.

use std::collections::BTreeMap;
use std::time::Duration;

use super::channel::MovedChannel;
use super::flow::FlowKey;
use super::ownership::Ownership;
use crate::process::context::Context;
use crate::process::message::Message;
use crate::process::message::Via;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Time after which an unconfirmed transfer is sent again.
const TRANSFER_RETRY: Duration = Duration::from_millis(300);

/// A flow with its channels, kept until its new owner has confirmed it.
#[derive(Clone, Debug)]
struct Transfer {
    ownership: Ownership,
    channels: Vec<MovedChannel>,
    via: Via,
    sent: Moment,
}

/// Transfers that their receivers have not confirmed.
#[derive(Debug, Default)]
pub struct Handover {
    transfers: BTreeMap<FlowKey, Transfer>,
}

impl Handover {
    /// Opens without transfers.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns whether all transfers are confirmed.
    pub fn is_empty(&self) -> bool {
        self.transfers.is_empty()
    }

    /// Sends a flow with its channels to the owner that `ownership` names.
    pub fn send(
        &mut self,
        context: &mut Context,
        flow: FlowKey,
        ownership: Ownership,
        channels: Vec<MovedChannel>,
        via: Via,
        now: Moment,
    ) {
        let transfer = Transfer { ownership, channels, via, sent: now };
        transfer.send(context);
        self.transfers.insert(flow, transfer);
    }

    /// Handles the confirmation by `peer` that it owns a flow now.
    pub fn confirmed(&mut self, peer: &Name, flow: &FlowKey) {
        if self.transfers.get(flow).is_some_and(|t| t.ownership.owner == *peer) {
            self.transfers.remove(flow);
        }
    }

    /// Sends unconfirmed transfers again; takes out those whose receiver is
    /// presumed dead, so that they can go to another one.
    pub fn sweep(
        &mut self,
        context: &mut Context,
        now: Moment,
    ) -> Vec<(FlowKey, Ownership, Vec<MovedChannel>, Via)> {
        let dead = |t: &Transfer| !context.peers.is_alive(&t.ownership.owner);
        let undeliverable: Vec<_> =
            self.transfers.iter().filter(|(_, t)| dead(t)).map(|(f, _)| *f).collect();
        for transfer in self.transfers.values_mut() {
            if now.since(transfer.sent) >= TRANSFER_RETRY {
                transfer.sent = now;
                context.count(Reason::RetryClaim);
                transfer.send(context);
            }
        }
        let take =
            |flow| self.transfers.remove(&flow).map(|t| (flow, t.ownership, t.channels, t.via));
        undeliverable.into_iter().filter_map(take).collect()
    }
}

impl Transfer {
    fn send(&self, context: &mut Context) {
        let (ownership, channels) = (self.ownership.clone(), self.channels.clone());
        let message = Message::Adopt { ownership, channels, via: self.via.clone() };
        context.send(&self.ownership.owner, message);
    }
}
