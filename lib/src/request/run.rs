//! Life cycle of one request at the agent that may run it.
//!
//! The types hold the promise: only a [`Run<Held>`] can be refused as not run,
//! and only a [`Run<Held>`] can be started.

use super::answer::Answer;
use super::answer::Code;
use super::ballot::Ballot;
use super::message::Request;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Votes are being gathered.
#[derive(Clone, Debug)]
pub struct Asking {
    /// The votes so far.
    pub ballot: Ballot,
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
pub struct Run<S> {
    /// The request.
    pub request: Request,
    /// When an entry took its first transmission that came here.
    pub seen: Moment,
    /// When its answer stops being of use.
    pub deadline: Moment,
    /// Where it stands.
    pub state: S,
}

impl Run<Asking> {
    /// Opens a request that needs a majority of its witnesses.
    pub fn open(
        request: Request,
        seen: Moment,
        deadline: Moment,
        ballot: Ballot,
        now: Moment,
    ) -> Self {
        Self { request, seen, deadline, state: Asking { ballot, asked: now } }
    }

    /// Moves on once every open membership's majority is there.
    ///
    /// # Errors
    ///
    /// Returns the request unchanged while votes are missing.
    pub fn hold(self) -> Result<Run<Held>, Box<Self>> {
        if self.state.ballot.is_held() {
            Ok(Run { request: self.request, seen: self.seen, deadline: self.deadline, state: Held })
        } else {
            Err(Box::new(self))
        }
    }

    /// Gives up without a majority: nobody can tell what became of it.
    pub fn give_up(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::Unknown(reason))
    }
}

impl Run<Held> {
    /// Opens an idempotent request, which needs no votes.
    pub fn idempotent(request: Request, seen: Moment, deadline: Moment) -> Self {
        Self { request, seen, deadline, state: Held }
    }

    /// Refuses the request; nobody will run it.
    pub fn refuse(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::NotRun(reason))
    }

    /// Hands the request to the backend server under number `id`.
    pub fn start(self, id: u64, now: Moment) -> Run<Started> {
        let state = Started { id, at: now };
        Run { request: self.request, seen: self.seen, deadline: self.deadline, state }
    }
}

impl Run<Started> {
    /// Ends with the backend server's answer.
    pub fn finish(self, mut answer: Answer) -> Answer {
        answer.token = self.request.token;
        answer
    }

    /// Ends without an answer.
    pub fn lose(self, reason: Reason) -> Answer {
        Answer::bare(self.request.token, Code::Unknown(reason))
    }

    /// Takes the request back: the backend server says that it did not start it.
    pub fn take_back(self) -> Run<Held> {
        Run { request: self.request, seen: self.seen, deadline: self.deadline, state: Held }
    }
}
