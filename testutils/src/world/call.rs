//! Requests of callers on the fake network, and what became of them.

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

/// Path of work that takes much longer.
pub const LONG_PATH: &str = "firmware";
/// How many times longer it takes.
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
    /// Agents whose backend server ran it.
    pub runs: Vec<Name>,
    /// Answers that reached the caller.
    pub answers: Vec<Answer>,
}

/// All requests and notifications.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// Requests by their identity.
    pub all: BTreeMap<RequestKey, Call>,
    /// Notifications that reached each flow.
    pub notifications: BTreeMap<FlowKey, Vec<String>>,
    // Message IDs of notifications that were seen, as a caller keeps them.
    pub(super) seen_ids: BTreeSet<(FlowKey, u16)>,
    // Requests by the number in their token.
    pub(super) by_number: Vec<RequestKey>,
    pub(super) last_id: BTreeMap<FlowKey, u16>,
}

impl Calls {
    /// Returns the requests that ran more than once.
    pub fn double_runs(&self) -> Vec<RequestKey> {
        let twice = |c: &Call| c.request.method == Method::Post && c.runs.len() > 1;
        self.all.iter().filter(|(_, c)| twice(c)).map(|(k, _)| *k).collect()
    }

    /// Returns the requests that were refused as not run, but ran.
    pub fn false_not_run(&self) -> Vec<RequestKey> {
        let refused = |a: &Answer| matches!(a.code, Code::NotRun(_));
        let wrong = |c: &Call| !c.runs.is_empty() && c.answers.iter().any(refused);
        let posts = self.all.iter().filter(|(_, c)| c.request.method == Method::Post);
        posts.filter(|(_, c)| wrong(c)).map(|(k, _)| *k).collect()
    }

    /// Returns the requests that were answered with another request's answer.
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

    /// Counts the calls that `predicate` selects.
    pub fn count(&self, predicate: impl Fn(&Call) -> bool) -> usize {
        self.all.values().filter(|c| predicate(c)).count()
    }
}

impl Call {
    /// Returns whether it asked for work on `path`.
    pub fn is_for(&self, path: &str) -> bool {
        self.request.path.as_str() == path
    }

    /// Returns the time that its caller waited for the first answer.
    pub fn waited(&self) -> Option<Duration> {
        self.answered.map(|t| t.since(self.sent))
    }

    /// Returns the outcome that its caller learned first.
    pub fn outcome(&self) -> Option<Code> {
        self.answers.first().map(|a| a.code)
    }
}
