//! Recent answers of an agent that could not tell whether its backend server has a flow.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::value::moment::Moment;

/// Time for which an answer is remembered; a home still holds what it asked for then.
const RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of answers.
const MAX_ANSWERS: usize = 4_096;

/// A question that was answered by [`super::message::Message::Unsure`].
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// The home that asked.
    pub home: SocketAddr,
    /// The flow.
    pub flow: FlowKey,
    /// Acknowledgement number of the caller's packet, if it has one.
    pub ack: Option<u32>,
}

/// The last questions that were answered so, oldest first. Answers the load after a loss of
/// power, when an agent is asked for dead flows before its table counts as complete.
#[derive(Debug, Default)]
pub struct UnsureAnswers {
    recent: VecDeque<(Moment, Question)>,
}

impl UnsureAnswers {
    /// Records an answer; the oldest one is forgotten beyond the limit.
    pub fn add(&mut self, question: Question, now: Moment) {
        while self.recent.len() >= MAX_ANSWERS
            || self.recent.front().is_some_and(|(at, _)| now.since(*at) >= RETENTION)
        {
            self.recent.pop_front();
        }
        self.recent.push_back((now, question));
    }

    /// Takes the questions of the last seconds.
    pub fn take(&mut self, now: Moment) -> impl Iterator<Item = Question> {
        let recent = std::mem::take(&mut self.recent);
        recent.into_iter().filter(move |(at, _)| now.since(*at) < RETENTION).map(|(_, q)| q)
    }
}
