//! Requests of callers on the simulated network, and their outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::token::Token;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;

/// Path of requests with a long service time.
pub const LONG_PATH: &str = "firmware";
/// Factor by which their service time is longer.
pub const LONG_FACTOR: u32 = 40;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub(super) request: Request,
    pub(super) opens: bool,
    /// When it was first sent.
    pub sent: Moment,
    /// When its first answer reached the caller.
    pub answered: Option<Moment>,
    /// Agents whose backend server ran it, one entry per run.
    pub runs: Vec<Name>,
    /// Answers that reached the caller, in order.
    pub answers: Vec<Answer>,
}

/// All requests and notifications.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// Requests by flow and message ID.
    pub all: BTreeMap<RequestKey, Call>,
    /// Bodies of the notifications that reached each flow, without duplicates.
    pub notifications: BTreeMap<FlowKey, Vec<String>>,
    // Message IDs of received notifications, by which a caller discards duplicates.
    pub(super) seen_ids: BTreeSet<(FlowKey, u16)>,
    // Requests, indexed by the number in their token.
    pub(super) by_number: Vec<RequestKey>,
    pub(super) last_id: BTreeMap<FlowKey, u16>,
}

impl Calls {
    /// Returns the POST requests that ran more than once.
    pub fn double_runs(&self) -> Vec<RequestKey> {
        let twice = |c: &Call| c.request.method == Method::Post && c.runs.len() > 1;
        self.all.iter().filter(|(_, c)| twice(c)).map(|(k, _)| *k).collect()
    }

    /// Returns the POST requests that ran although an answer said that they had not.
    pub fn false_not_run(&self) -> Vec<RequestKey> {
        let refused = |a: &Answer| matches!(a.code, Code::NotRun(_));
        let wrong = |c: &Call| !c.runs.is_empty() && c.answers.iter().any(refused);
        let posts = self.all.iter().filter(|(_, c)| c.request.method == Method::Post);
        posts.filter(|(_, c)| wrong(c)).map(|(k, _)| *k).collect()
    }

    /// Returns the requests that received the answer of another request.
    pub fn wrong_answers(&self) -> Vec<RequestKey> {
        let text = |c: &Call| format!("done:{}", String::from_utf8_lossy(&c.request.body));
        let wrong = |c: &Call, a: &Answer| {
            a.token != c.request.token
                || (a.code == Code::Content && *a.body != *text(c).as_bytes())
        };
        let any = |c: &Call| c.answers.iter().any(|a| wrong(c, a));
        self.all.iter().filter(|(_, c)| any(c)).map(|(k, _)| *k).collect()
    }

    pub(super) fn by_token(&mut self, token: &Token) -> Option<&mut Call> {
        let number = u32::from_be_bytes((&*token.0).try_into().ok()?);
        let key = self.by_number.get(number as usize)?;
        self.all.get_mut(key)
    }

    /// Returns the number of requests that satisfy `predicate`.
    pub fn count(&self, predicate: impl Fn(&Call) -> bool) -> usize {
        self.all.values().filter(|c| predicate(c)).count()
    }
}

impl Call {
    /// Returns whether its path is `path`.
    pub fn is_for(&self, path: &str) -> bool {
        self.request.path.as_str() == path
    }

    /// Returns the time from its first transmission to its first answer.
    pub fn waited(&self) -> Option<Duration> {
        self.answered.map(|t| t.since(self.sent))
    }

    /// Returns the code of its first answer.
    pub fn outcome(&self) -> Option<Code> {
        self.answers.first().map(|a| a.code)
    }
}
