//! A standing channel over which a backend server notifies a caller.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::flow::FlowKey;
use crate::request::answer::Answer;
use crate::request::message::Method;
use crate::request::message::Request;
use crate::request::token::Token;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Notifications that wait for the caller at most.
const MAX_WAITING: usize = 32;
/// Time after which an unacknowledged notification is first sent again.
const FIRST_RETRY: Duration = Duration::from_millis(500);
/// Times a notification is sent again.
const MAX_RETRIES: u32 = 6;

/// What identifies a channel wherever it is served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The caller's flow.
    pub flow: FlowKey,
    /// The caller's token.
    pub token: Token,
    /// The observed path.
    pub path: Name,
    /// Sequence number of the last notification.
    pub sequence: u32,
}

impl Registration {
    /// Returns the request that opens the channel at a backend server.
    pub fn request(&self) -> Request {
        Request {
            id: 0,
            token: self.token.clone(),
            method: Method::Get,
            path: self.path.clone(),
            observe: Some(true),
            block: None,
            body: [].into(),
        }
    }
}

/// A channel on its way to another agent, with the notifications that its
/// caller has not acknowledged.
pub type MovedChannel = (Registration, Vec<Answer>);

/// A channel that this agent serves.
#[derive(Clone, Debug)]
pub struct Channel {
    /// What identifies it.
    pub registration: Registration,
    waiting: VecDeque<Answer>,
    in_flight: Option<InFlight>,
}

#[derive(Clone, Debug)]
struct InFlight {
    id: u16,
    retries: u32,
    due: Moment,
}

/// What to do about an unacknowledged notification.
#[derive(Clone, Debug, PartialEq)]
pub enum Retry {
    /// Nothing yet.
    Wait,
    /// Send it again.
    Resend(u16, Answer),
    /// The caller is gone.
    CallerGone,
}

impl Channel {
    /// Opens a channel.
    pub fn open(registration: Registration) -> Self {
        Self { registration, waiting: VecDeque::new(), in_flight: None }
    }

    /// Opens a channel that another agent served, with what its caller has not
    /// acknowledged.
    pub fn adopt(registration: Registration, waiting: Vec<Answer>) -> Self {
        Self { waiting: waiting.into(), ..Self::open(registration) }
    }

    /// Queues a notification; returns false if an older one had to be dropped.
    pub fn push(&mut self, mut answer: Answer) -> bool {
        self.registration.sequence += 1;
        answer.observe = Some(self.registration.sequence);
        let room = self.waiting.len() < MAX_WAITING;
        if !room {
            // The first may be on its way, so the one behind it goes.
            self.waiting.remove(1);
        }
        self.waiting.push_back(answer);
        room
    }

    /// Returns the notification to send now with its message ID, if any.
    pub fn next(&mut self, now: Moment) -> Option<(u16, Answer)> {
        if self.in_flight.is_some() {
            return None;
        }
        let answer = self.waiting.front()?.clone();
        let id = self.message_id(answer.observe.unwrap_or_default());
        self.in_flight = Some(InFlight { id, retries: 0, due: now + FIRST_RETRY });
        Some((id, answer))
    }

    /// Returns the message ID of the notification on its way.
    pub fn in_flight_id(&self) -> Option<u16> {
        self.in_flight.as_ref().map(|s| s.id)
    }

    /// Takes in the caller's acknowledgement; returns whether it fits.
    pub fn acknowledge(&mut self, id: u16) -> bool {
        let fits = self.in_flight_id() == Some(id);
        if fits {
            self.in_flight = None;
            self.waiting.pop_front();
        }
        fits
    }

    /// Returns what to do about an unacknowledged notification.
    pub fn retry(&mut self, now: Moment) -> Retry {
        let Some(in_flight) = self.in_flight.as_mut().filter(|s| now >= s.due) else {
            return Retry::Wait;
        };
        if in_flight.retries >= MAX_RETRIES {
            return Retry::CallerGone;
        }
        in_flight.retries += 1;
        in_flight.due = now + FIRST_RETRY * 2u32.pow(in_flight.retries);
        let id = in_flight.id;
        self.waiting.front().map_or(Retry::CallerGone, |a| Retry::Resend(id, a.clone()))
    }

    // A notification keeps its message ID wherever the channel is served, so
    // that its caller can tell a repeated one.
    fn message_id(&self, sequence: u32) -> u16 {
        xxh3_64(&self.registration.token.0).wrapping_add(u64::from(sequence)) as u16
    }

    /// Takes the notifications that the caller has not acknowledged.
    pub fn into_moved(self) -> MovedChannel {
        (self.registration, self.waiting.into())
    }
}
