//! Life cycle of one request at the agent that may run it.
//!
//! The types hold the promise: only a [`Execution<Held>`] can be refused as not run,
//! and only a [`Execution<Held>`] can be started.

use super::answer::Answer;
use super::answer::Code;
use super::message::Request;
use super::vote_set::VoteSet;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Votes are being gathered.
#[derive(Clone, Debug)]
pub struct Voting {
    /// The votes so far.
    pub votes: VoteSet,
    /// When the silent witnesses were last asked.
    pub asked: Moment,
}

/// This agent and no other may run the request, and it has not started it.
#[derive(Clone, Debug)]
pub struct Held;

/// The request was handed to the backend server.
#[derive(Clone, Debug)]
pub struct Started {
    /// Number that matches the answer; never used twice.
    pub id: u64,
    /// When it was handed over.
    pub at: Moment,
}

/// A request in life cycle state `S`.
#[derive(Clone, Debug)]
pub struct Execution<S> {
    /// The request.
    pub request: Request,
    /// When an entry took its first transmission that came here.
    pub seen: Moment,
    /// When its answer stops being of use.
    pub deadline: Moment,
    /// Where it stands.
    pub state: S,
}

impl Execution<Voting> {
    /// Opens a request that needs a majority of its witnesses.
    pub fn open(
        request: Request,
        seen: Moment,
        deadline: Moment,
        votes: VoteSet,
        now: Moment,
    ) -> Self {
        Self { request, seen, deadline, state: Voting { votes, asked: now } }
    }

    /// Moves on once every open membership's majority is there.
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

    /// Gives up without a majority: nobody can tell what became of it.
    pub fn abandon(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::Unknown(reason))
    }
}

impl Execution<Held> {
    /// Opens an idempotent request, which needs no votes.
    pub fn idempotent(request: Request, seen: Moment, deadline: Moment) -> Self {
        Self { request, seen, deadline, state: Held }
    }

    /// Refuses the request; nobody will run it.
    pub fn refuse(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::NotRun(reason))
    }

    /// Hands the request to the backend server under number `id`.
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

    /// Ends without an answer.
    pub fn answer_lost(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::Unknown(reason))
    }

    /// Takes the request back: the backend server says that it did not start it.
    pub fn return_unstarted(self) -> Execution<Held> {
        Execution { request: self.request, seen: self.seen, deadline: self.deadline, state: Held }
    }
}
