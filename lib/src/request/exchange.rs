//! A request and what this agent knows of its outcome.

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

/// Processing stage of a request at this agent.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Votes are being collected.
    Voting(Execution<Voting>),
    /// It waits for a slot.
    Queued(Execution<Held>),
    /// The backend server is processing it.
    Running(Execution<Started>),
    /// It was delegated to this peer.
    Delegated(Name),
    /// It is answered; the answer is kept for retransmissions.
    Done(Answer),
}

/// A request, kept for as long as a transmission of it may be handled.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Its processing stage.
    pub stage: Stage,
    /// Its last transmission.
    pub forward: Forward,
    /// Whether a peer delegated it to this agent, which then does not delegate it again.
    pub delegated: bool,
}

impl Exchange {
    /// Returns whether the request was delegated to a peer that is presumed dead.
    ///
    /// In that case a retransmission is handled like a new request; grants prevent
    /// it from running twice.
    pub fn is_orphaned(&self, context: &Context) -> bool {
        match &self.stage {
            Stage::Delegated(peer) => !self.delegated && !context.peers.is_alive(peer),
            _ => false,
        }
    }

    /// Handles a retransmission: sends the answer again, or forwards it to the
    /// peer that has the request.
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
            // Each of the two agents assumes that the other one has the request.
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
