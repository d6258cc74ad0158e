//! Life cycle of one request at the agent that may run it.
//!
//! The types enforce that only an [`Execution<Held>`] can be refused as not run,
//! and that only an [`Execution<Held>`] can be started.

use super::answer::Answer;
use super::answer::Code;
use super::message::Request;
use super::vote_set::VoteSet;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Votes are being collected.
#[derive(Clone, Debug)]
pub struct Voting {
    /// The votes collected so far.
    pub votes: VoteSet,
    /// When missing votes were last requested.
    pub asked: Moment,
}

/// This agent and no other may run the request, and it has not started it.
#[derive(Clone, Debug)]
pub struct Held;

/// The request was sent to the backend server.
#[derive(Clone, Debug)]
pub struct Started {
    /// ID that matches the answer to the request; never used twice.
    pub id: u64,
    /// When it was sent.
    pub at: Moment,
}

/// A request in life cycle state `S`.
#[derive(Clone, Debug)]
pub struct Execution<S> {
    /// The request.
    pub request: Request,
    /// When an entry received the first transmission that reached this agent.
    pub seen: Moment,
    /// When its answer is no longer of use.
    pub deadline: Moment,
    /// Life cycle state.
    pub state: S,
}

impl Execution<Voting> {
    /// Creates an execution that needs a majority of the request's witnesses.
    pub fn open(
        request: Request,
        seen: Moment,
        deadline: Moment,
        votes: VoteSet,
        now: Moment,
    ) -> Self {
        Self { request, seen, deadline, state: Voting { votes, asked: now } }
    }

    /// Moves to [`Held`] once every open membership has a majority.
    ///
    /// # Errors
    ///
    /// Returns the request unchanged while votes are missing.
    pub fn hold(self) -> Result<Execution<Held>, Box<Self>> {
        if self.state.votes.has_majority() {
            Ok(Execution {
                request: self.request,
                seen: self.seen,
                deadline: self.deadline,
                state: Held,
            })
        } else {
            Err(Box::new(self))
        }
    }

    /// Ends without a majority. Whether another agent ran the request is unknown.
    pub fn abandon(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::Unknown(reason))
    }
}

impl Execution<Held> {
    /// Creates an execution of an idempotent request, which needs no votes.
    pub fn idempotent(request: Request, seen: Moment, deadline: Moment) -> Self {
        Self { request, seen, deadline, state: Held }
    }

    /// Refuses the request; no agent will run it.
    pub fn refuse(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::NotRun(reason))
    }

    /// Moves to [`Started`] when the request is sent to the backend server as `id`.
    pub fn start(self, id: u64, now: Moment) -> Execution<Started> {
        let state = Started { id, at: now };
        Execution { request: self.request, seen: self.seen, deadline: self.deadline, state }
    }
}

impl Execution<Started> {
    /// Ends with the backend server's answer.
    pub fn finish(self, mut answer: Answer) -> Answer {
        answer.token = self.request.token;
        answer
    }

    /// Ends without an answer. Whether the request ran is unknown.
    pub fn answer_lost(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::Unknown(reason))
    }

    /// Moves back to [`Held`] after the backend server refused to start the request.
    pub fn return_unstarted(self) -> Execution<Held> {
        Execution { request: self.request, seen: self.seen, deadline: self.deadline, state: Held }
    }
}
