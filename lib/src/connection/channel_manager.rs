//! The channels of an agent, from opening to handover.

use super::channel::MovedChannel;
use super::channels::Channels;
use super::claims::Claim;
use super::flow::FlowKey;
use super::handover::Handover;
use super::ownership::Ownership;
use super::router::Router;
use crate::process::action::Action;
use crate::process::context::Context;
use crate::process::message::Forward;
use crate::process::message::Message;
use crate::process::message::Via;
use crate::request::answer::Answer;
use crate::request::answer::Code;
use crate::request::message::Request;
use crate::request::requests::Requests;
use crate::request::token::Token;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Channels that are served here, and those that are handed over to other agents.
#[derive(Debug, Default)]
pub struct ChannelManager {
    channels: Channels,
    handover: Handover,
}

impl ChannelManager {
    /// Opens without channels.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the number of channels that are served here.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// Returns whether no channel is served here.
    pub fn is_empty(&self) -> bool {
        self.channels.is_empty()
    }

    /// Opens a channel for a caller, or answers with the reason for a refusal.
    pub fn register<C>(
        &mut self,
        context: &mut Context,
        router: &mut Router<C>,
        requests: &mut Requests,
        forward: Forward,
        request: Request,
        now: Moment,
    ) {
        let flow = forward.header.flow;
        let known = self.channels.has(&flow, &request.token);
        let refusal = if known {
            None
        } else if context.reported_health().leaving {
            Some(Reason::Leaving)
        } else if !self.channels.has_room() {
            Some(Reason::FlowsFull)
        } else {
            None
        };
        if let Some(reason) = refusal {
            context.count(reason);
            let answer = Answer::bare(request.token, Code::NotRun(reason));
            context.act(Action::Answer { via: forward.via, flow, id: request.id, answer });
            return;
        }
        let id = requests.next_id();
        if self.channels.register(context, flow, request, forward.via, id, now) {
            router.flows().pin(&flow, true);
        }
    }

    /// Handles an answer or notification of the backend server for number `id`;
    /// returns false if `id` is not a channel.
    pub fn notified(
        &mut self,
        context: &mut Context,
        id: u64,
        answer: Answer,
        now: Moment,
    ) -> bool {
        self.channels.notified(context, id, answer, now)
    }

    /// Handles a caller's acknowledgement and sends the next notification through
    /// the entry that it came through.
    pub fn acknowledged(
        &mut self,
        context: &mut Context,
        flow: FlowKey,
        message: u16,
        via: Via,
        now: Moment,
    ) {
        self.channels.acknowledged(context, flow, message, via, now);
    }

    /// Closes the channel whose notification the caller answered with a reset.
    pub fn reset<C>(
        &mut self,
        context: &mut Context,
        router: &mut Router<C>,
        flow: FlowKey,
        message: u16,
    ) {
        if self.channels.reset(context, flow, message) {
            router.flows().pin(&flow, false);
        }
    }

    /// Closes the channel that a caller deregistered.
    pub fn deregister<C>(
        &mut self,
        context: &mut Context,
        router: &mut Router<C>,
        flow: FlowKey,
        token: &Token,
    ) {
        if self.channels.deregister(context, flow, token) {
            router.flows().pin(&flow, false);
        }
    }

    /// Serves channels that another agent hands over.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message and its receiver")]
    pub fn adopt<C>(
        &mut self,
        context: &mut Context,
        router: &mut Router<C>,
        requests: &mut Requests,
        from: &Name,
        ownership: Ownership,
        channels: Vec<MovedChannel>,
        via: Via,
        now: Moment,
    ) {
        let Some(flow) = channels.first().map(|(r, _)| r.flow) else { return };
        if let Err(reason) = router.adopt(context, flow, ownership, now) {
            context.count(reason);
            return;
        }
        for (registration, waiting) in channels {
            let id = requests.next_id();
            if self.channels.adopt(context, registration, waiting, via.clone(), id, now) {
                router.flows().pin(&flow, true);
            }
        }
        context.send(from, Message::Adopted { flow });
    }

    /// Handles the confirmation by `peer` that it owns a flow now.
    pub fn confirmed(&mut self, peer: &Name, flow: &FlowKey) {
        self.handover.confirmed(peer, flow);
    }

    /// Hands every channel over to a peer that accepts new work; returns whether all
    /// handovers are confirmed.
    pub fn hand_over<C>(
        &mut self,
        context: &mut Context,
        router: &mut Router<C>,
        now: Moment,
    ) -> bool {
        let done = self.handover.is_empty() && self.channels.is_empty();
        for flow in self.channels.flows() {
            let names = context.candidates();
            let best = context.peers.better_of_two(&names, &mut context.rng);
            let ownership = best.and_then(|(peer, _)| router.hand_over(&flow, &peer, now));
            let channels = ownership.as_ref().and_then(|_| self.channels.hand_over(context, &flow));
            if let Some((ownership, (channels, via))) = ownership.zip(channels) {
                self.handover.send(context, flow, ownership, channels, via, now);
            }
        }
        done
    }

    /// Hands the channels of flows that this agent gave up to their owners.
    pub fn give_up(&mut self, context: &mut Context, yielded: Vec<Claim>, now: Moment) {
        for (flow, ownership) in yielded {
            if let Some((channels, via)) = self.channels.hand_over(context, &flow) {
                self.handover.send(context, flow, ownership, channels, via, now);
            }
        }
    }

    /// Repeats unacknowledged notifications and unconfirmed transfers, and closes
    /// the channels of callers that are considered gone.
    pub fn sweep<C>(
        &mut self,
        context: &mut Context,
        router: &mut Router<C>,
        requests: &mut Requests,
        now: Moment,
    ) {
        for flow in self.channels.sweep(context, now) {
            router.flows().pin(&flow, false);
        }
        // Flows whose receiver is presumed dead go to another one, or stay here.
        for (flow, ownership, channels, via) in self.handover.sweep(context, now) {
            let names = context.candidates();
            let best = context.peers.better_of_two(&names, &mut context.rng);
            let owner = best.map_or(context.me.clone(), |(peer, _)| peer);
            let ownership = Ownership { owner, moves: ownership.moves + 1, ..ownership };
            if ownership.owner == context.me {
                let me = ownership.owner.clone();
                self.adopt(context, router, requests, &me, ownership, channels, via, now);
            } else {
                router.flows().redirect(flow, ownership.clone(), now);
                self.handover.send(context, flow, ownership, channels, via, now);
            }
        }
    }
}
