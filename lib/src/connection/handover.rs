//! Flows on their way from this agent to another.

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

/// Time after which a silent receiver is sent a flow again.
const TRANSFER_RETRY: Duration = Duration::from_millis(300);

/// A flow with its channels, until its new owner has confirmed it.
#[derive(Clone, Debug)]
struct Transfer {
    ownership: Ownership,
    channels: Vec<MovedChannel>,
    via: Via,
    sent: Moment,
}

/// All flows on their way.
#[derive(Debug, Default)]
pub struct Handover {
    transfers: BTreeMap<FlowKey, Transfer>,
}

impl Handover {
    /// Opens without flows.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns whether no flow is on its way.
    pub fn is_empty(&self) -> bool {
        self.transfers.is_empty()
    }

    /// Sends a flow with its channels to the owner that `stamp` names.
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

    /// Takes in that `peer` has taken a flow.
    pub fn confirmed(&mut self, peer: &Name, flow: &FlowKey) {
        if self.transfers.get(flow).is_some_and(|p| p.ownership.owner == *peer) {
            self.transfers.remove(flow);
        }
    }

    /// Sends again what was not confirmed; returns the flows whose receiver is
    /// presumed dead, for another receiver.
    pub fn sweep(
        &mut self,
        context: &mut Context,
        now: Moment,
    ) -> Vec<(FlowKey, Ownership, Vec<MovedChannel>, Via)> {
        let dead = |p: &Transfer| !context.peers.is_alive(&p.ownership.owner);
        let undeliverable: Vec<_> =
            self.transfers.iter().filter(|(_, p)| dead(p)).map(|(f, _)| *f).collect();
        for transfer in self.transfers.values_mut() {
            if now.since(transfer.sent) >= TRANSFER_RETRY {
                transfer.sent = now;
                context.count(Reason::RetryClaim);
                transfer.send(context);
            }
        }
        let take =
            |flow| self.transfers.remove(&flow).map(|p| (flow, p.ownership, p.channels, p.via));
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
