//! A request and everything this agent knows of its outcome.

use super::answer::Answer;
use super::execution::Execution;
use super::execution::Held;
use super::execution::Started;
use super::execution::Voting;
use super::key::RequestKey;
use crate::process::action::Action;
use crate::process::context::Context;
use crate::process::message::Forward;
use crate::process::message::Message;
use crate::process::message::Mode;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Where a request stands.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Votes are being gathered.
    Voting(Execution<Voting>),
    /// It waits for a slot.
    Queued(Execution<Held>),
    /// The backend server works on it.
    Running(Execution<Started>),
    /// A peer has it.
    Delegated(Name),
    /// It is answered; the answer is kept for retransmissions.
    Done(Answer),
}

/// A request, kept for as long as a transmission of it may be handled.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Where it stands.
    pub stage: Stage,
    /// Its last transmission.
    pub forward: Forward,
    /// Whether it was handed over by a peer, and so is not handed on.
    pub delegated: bool,
}

impl Exchange {
    /// Returns whether the peer that took the request is presumed dead, so that
    /// a retransmission has to be served anew; grants keep it from running twice.
    pub fn is_orphaned(&self, context: &Context) -> bool {
        match &self.stage {
            Stage::Delegated(peer) => !self.delegated && !context.peers.is_alive(peer),
            _ => false,
        }
    }

    /// Takes in a retransmission: its answer is sent again, or it is passed
    /// on to the peer that has it.
    pub fn handle_retransmission(
        &mut self,
        context: &mut Context,
        key: RequestKey,
        forward: Forward,
    ) {
        match &self.stage {
            Stage::Done(answer) => {
                context.count(Reason::Replayed);
                let (via, answer) = (forward.via.clone(), answer.clone());
                context.act(Action::Answer { via, flow: key.flow, id: key.id, answer });
            }
            // Both agents believe that the other one has it.
            Stage::Delegated(_) if forward.mode == Mode::Delegate => {
                context.count(Reason::HeldElsewhere)
            }
            Stage::Delegated(peer) => {
                let hops = forward.hops + 1;
                let delegated = Forward { mode: Mode::Delegate, hops, ..forward.clone() };
                context.send(&peer.clone(), Message::Forward(delegated));
            }
            _ => context.count(Reason::Duplicate),
        }
        self.forward = forward;
    }
}
