//! The channels that one agent serves.

use std::collections::HashMap;

use super::channel::Channel;
use super::channel::MovedChannel;
use super::channel::Registration;
use super::channel::Retry;
use super::flow::FlowKey;
use crate::process::action::Action;
use crate::process::context::Context;
use crate::process::message::Via;
use crate::request::answer::Answer;
use crate::request::message::Request;
use crate::request::token::Token;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Maximum number of channels that one agent serves.
pub const MAX_CHANNELS: usize = 16_384;

/// A channel with the state that is needed to send on it.
#[derive(Debug)]
struct ServedChannel {
    channel: Channel,
    via: Via,
    // Message ID of the request that opens the channel, until it is answered.
    opening: Option<u16>,
    // Message ID and answer of that request, for its retransmissions.
    opened: Option<(u16, Answer)>,
}

/// Channels by the number that identifies them towards the backend server.
#[derive(Debug, Default)]
pub struct Channels {
    served: HashMap<u64, ServedChannel>,
    by_flow: HashMap<FlowKey, Vec<(Token, u64)>>,
}

impl Channels {
    /// Opens an empty table.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the number of channels.
    pub fn len(&self) -> usize {
        self.served.len()
    }

    /// Returns whether there is no channel.
    pub fn is_empty(&self) -> bool {
        self.served.is_empty()
    }

    /// Returns whether one more channel fits.
    pub fn has_room(&self) -> bool {
        self.served.len() < MAX_CHANNELS
    }

    /// Opens a channel for a caller's request, under number `id`.
    ///
    /// Returns false if the request repeats one that has already opened a channel.
    pub fn register(
        &mut self,
        context: &mut Context,
        flow: FlowKey,
        request: Request,
        via: Via,
        id: u64,
        now: Moment,
    ) -> bool {
        if let Some(known) = self.find(&flow, &request.token) {
            self.replay(context, known, request.id, via);
            return false;
        }
        let token = request.token.clone();
        let path = request.path.clone();
        let registration = Registration { flow, token, path, sequence: 0 };
        let opening = Some(request.id);
        let channel = Channel::open(registration);
        self.insert(id, ServedChannel { channel, via, opening, opened: None });
        let deadline = now + crate::version::doc::DEFAULT_DEADLINE;
        context.act(Action::Run { id, request, deadline });
        true
    }

    /// Answers a retransmission of the request that opened a channel, if that
    /// request has been answered.
    fn replay(&mut self, context: &mut Context, known: u64, id: u16, via: Via) {
        let Some(served) = self.served.get_mut(&known) else { return };
        served.via = via.clone();
        match served.opened.as_ref().filter(|(first, _)| *first == id) {
            Some((_, answer)) => {
                context.count(Reason::Replayed);
                let (flow, answer) = (served.channel.registration.flow, answer.clone());
                context.act(Action::Answer { via, flow, id, answer });
            }
            None => context.count(Reason::Duplicate),
        }
    }

    /// Returns whether a flow has a channel with this token.
    pub fn has(&self, flow: &FlowKey, token: &Token) -> bool {
        self.find(flow, token).is_some()
    }

    /// Serves a channel that another agent served before; returns false if this
    /// agent already serves it.
    pub fn adopt(
        &mut self,
        context: &mut Context,
        registration: Registration,
        waiting: Vec<Answer>,
        via: Via,
        id: u64,
        now: Moment,
    ) -> bool {
        if self.find(&registration.flow, &registration.token).is_some() {
            return false;
        }
        let request = registration.request();
        let channel = Channel::adopt(registration, waiting);
        self.insert(id, ServedChannel { channel, via, opening: None, opened: None });
        let deadline = now + crate::version::doc::DEFAULT_DEADLINE;
        context.act(Action::Run { id, request, deadline });
        self.send(context, id, now);
        true
    }

    /// Handles an answer or notification of the backend server for number `id`;
    /// returns false if `id` is not a channel.
    pub fn notified(
        &mut self,
        context: &mut Context,
        id: u64,
        mut answer: Answer,
        now: Moment,
    ) -> bool {
        let Some(served) = self.served.get_mut(&id) else {
            return false;
        };
        answer.token = served.channel.registration.token.clone();
        if let Some(request) = served.opening.take() {
            answer.observe = Some(served.channel.registration.sequence);
            let (via, flow) = (served.via.clone(), served.channel.registration.flow);
            served.opened = Some((request, answer.clone()));
            context.act(Action::Answer { via, flow, id: request, answer });
            return true;
        }
        if !served.channel.push(answer) {
            context.count(Reason::NotifyLost);
        }
        self.send(context, id, now);
        true
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
        let mut ids: Vec<_> = self.of_flow(&flow);
        ids.retain(|id| {
            let served = self.served.get_mut(id);
            served.is_some_and(|s| {
                s.via = via.clone();
                s.channel.acknowledge(message)
            })
        });
        for id in ids {
            self.send(context, id, now);
        }
    }

    /// Closes the channel whose notification the caller answered with a reset.
    pub fn reset(&mut self, context: &mut Context, flow: FlowKey, message: u16) -> bool {
        let sent = |s: &ServedChannel| s.channel.in_flight_id() == Some(message);
        let mut ids = self.of_flow(&flow).into_iter();
        let id = ids.find(|id| self.served.get(id).is_some_and(sent));
        id.is_some_and(|id| self.close(context, id))
    }

    /// Closes the channel that a caller deregistered.
    pub fn deregister(&mut self, context: &mut Context, flow: FlowKey, token: &Token) -> bool {
        let id = self.find(&flow, token);
        id.is_some_and(|id| self.close(context, id))
    }

    /// Retransmits unacknowledged notifications; returns the flows of the channels
    /// that were closed because their callers are considered gone.
    pub fn sweep(&mut self, context: &mut Context, now: Moment) -> Vec<FlowKey> {
        let mut ids: Vec<_> = self.served.keys().copied().collect();
        ids.sort_unstable();
        let mut closed = Vec::new();
        for id in ids {
            let Some(served) = self.served.get_mut(&id) else { continue };
            let flow = served.channel.registration.flow;
            match served.channel.retry(now) {
                Retry::Wait => {}
                Retry::Resend(message, answer) => {
                    context.count(Reason::RetryNotify);
                    // The entry may have failed, so another one is tried.
                    served.via = context.other_entry(&served.via);
                    let via = served.via.clone();
                    context.act(Action::Notify { via, flow, id: message, answer });
                }
                Retry::CallerGone => {
                    context.count(Reason::NotifyLost);
                    self.close(context, id);
                    closed.push(flow);
                }
            }
        }
        closed
    }

    /// Returns the flows that have channels.
    pub fn flows(&self) -> Vec<FlowKey> {
        let mut flows: Vec<_> = self.by_flow.keys().copied().collect();
        flows.sort();
        flows
    }

    /// Removes the channels of a flow so that another agent can serve them.
    pub fn hand_over(
        &mut self,
        context: &mut Context,
        flow: &FlowKey,
    ) -> Option<(Vec<MovedChannel>, Via)> {
        let mut channels = Vec::new();
        let mut last = None;
        for id in self.of_flow(flow) {
            let Some(served) = self.remove(id) else { continue };
            context.act(Action::Cancel { id });
            channels.push(served.channel.into_moved());
            last = Some(served.via);
        }
        last.map(|via| (channels, via))
    }

    fn of_flow(&self, flow: &FlowKey) -> Vec<u64> {
        let on_flow = self.by_flow.get(flow).into_iter().flatten();
        on_flow.map(|(_, id)| *id).collect()
    }

    fn find(&self, flow: &FlowKey, token: &Token) -> Option<u64> {
        let mut on_flow = self.by_flow.get(flow)?.iter();
        on_flow.find(|(t, _)| t == token).map(|(_, id)| *id)
    }

    fn insert(&mut self, id: u64, served: ServedChannel) {
        let registration = &served.channel.registration;
        let on_flow = self.by_flow.entry(registration.flow).or_default();
        on_flow.push((registration.token.clone(), id));
        self.served.insert(id, served);
    }

    fn remove(&mut self, id: u64) -> Option<ServedChannel> {
        let served = self.served.remove(&id)?;
        let flow = served.channel.registration.flow;
        if let Some(on_flow) = self.by_flow.get_mut(&flow) {
            on_flow.retain(|(_, i)| *i != id);
            if on_flow.is_empty() {
                self.by_flow.remove(&flow);
            }
        }
        Some(served)
    }

    fn send(&mut self, context: &mut Context, id: u64, now: Moment) {
        let Some(served) = self.served.get_mut(&id) else { return };
        if let Some((message, answer)) = served.channel.next(now) {
            let (via, flow) = (served.via.clone(), served.channel.registration.flow);
            context.act(Action::Notify { via, flow, id: message, answer });
        }
    }

    fn close(&mut self, context: &mut Context, id: u64) -> bool {
        let closed = self.remove(id).is_some();
        if closed {
            context.act(Action::Cancel { id });
        }
        closed
    }
}
