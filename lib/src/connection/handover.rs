//! Flows on their way from this agent to another.

use std::collections::BTreeMap;
use std::time::Duration;

use super::channel::Moved;
use super::flow::FlowKey;
use super::stamp::Stamp;
use crate::process::context::Context;
use crate::process::message::Message;
use crate::process::message::Via;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Time after which a silent receiver is sent a flow again.
const SEND_AGAIN: Duration = Duration::from_millis(300);

/// A flow with its channels, until its new owner has confirmed it.
#[derive(Clone, Debug)]
struct Parcel {
    stamp: Stamp,
    channels: Vec<Moved>,
    via: Via,
    sent: Moment,
}

/// All flows on their way.
#[derive(Debug, Default)]
pub struct Handover {
    parcels: BTreeMap<FlowKey, Parcel>,
}

impl Handover {
    /// Opens without flows.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns whether no flow is on its way.
    pub fn is_empty(&self) -> bool {
        self.parcels.is_empty()
    }

    /// Sends a flow with its channels to the owner that `stamp` names.
    pub fn send(
        &mut self,
        context: &mut Context,
        flow: FlowKey,
        stamp: Stamp,
        channels: Vec<Moved>,
        via: Via,
        now: Moment,
    ) {
        let parcel = Parcel { stamp, channels, via, sent: now };
        parcel.send(context);
        self.parcels.insert(flow, parcel);
    }

    /// Takes in that `peer` has taken a flow.
    pub fn confirmed(&mut self, peer: &Name, flow: &FlowKey) {
        if self.parcels.get(flow).is_some_and(|p| p.stamp.owner == *peer) {
            self.parcels.remove(flow);
        }
    }

    /// Sends again what was not confirmed; returns the flows whose receiver is
    /// presumed dead, for another receiver.
    pub fn sweep(
        &mut self,
        context: &mut Context,
        now: Moment,
    ) -> Vec<(FlowKey, Stamp, Vec<Moved>, Via)> {
        let dead = |p: &Parcel| !context.peers.alive(&p.stamp.owner);
        let stranded: Vec<_> =
            self.parcels.iter().filter(|(_, p)| dead(p)).map(|(f, _)| *f).collect();
        for parcel in self.parcels.values_mut() {
            if now.since(parcel.sent) >= SEND_AGAIN {
                parcel.sent = now;
                context.count(Reason::RetryClaim);
                parcel.send(context);
            }
        }
        let take = |flow| self.parcels.remove(&flow).map(|p| (flow, p.stamp, p.channels, p.via));
        stranded.into_iter().filter_map(take).collect()
    }
}

impl Parcel {
    fn send(&self, context: &mut Context) {
        let (stamp, channels) = (self.stamp.clone(), self.channels.clone());
        let message = Message::Adopt { stamp, channels, via: self.via.clone() };
        context.send(&self.stamp.owner, message);
    }
}
