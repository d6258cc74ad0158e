//! A long-lived channel over which a backend server notifies a caller.

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

/// Maximum number of notifications queued on one channel.
const MAX_WAITING: usize = 32;
/// Time until an unacknowledged notification is first retransmitted; it doubles
/// with every retransmission.
const FIRST_RETRY: Duration = Duration::from_millis(500);
/// Retransmissions of a notification before its caller is considered gone.
const MAX_RETRIES: u32 = 6;

/// Identity of a channel, whichever agent serves it.
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

/// A channel that moves to another agent, with the notifications that its
/// caller has not acknowledged.
pub type MovedChannel = (Registration, Vec<Answer>);

/// A channel that this agent serves.
#[derive(Clone, Debug)]
pub struct Channel {
    /// Identity of the channel.
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
    /// No retransmission is due.
    Wait,
    /// Retransmit the notification under this message ID.
    Resend(u16, Answer),
    /// No retransmission was acknowledged; the caller is considered gone.
    CallerGone,
}

impl Channel {
    /// Opens a channel without notifications.
    pub fn open(registration: Registration) -> Self {
        Self { registration, waiting: VecDeque::new(), in_flight: None }
    }

    /// Opens a channel that another agent served, with the notifications that its
    /// caller has not acknowledged.
    pub fn adopt(registration: Registration, waiting: Vec<Answer>) -> Self {
        Self { waiting: waiting.into(), ..Self::open(registration) }
    }

    /// Queues a notification; returns false if an older one had to be dropped.
    pub fn push(&mut self, mut answer: Answer) -> bool {
        self.registration.sequence += 1;
        answer.observe = Some(self.registration.sequence);
        let room = self.waiting.len() < MAX_WAITING;
        if !room {
            // The first one may be in flight, so the second one is dropped.
            self.waiting.remove(1);
        }
        self.waiting.push_back(answer);
        room
    }

    /// Returns the notification to send now with its message ID; none while
    /// another one is in flight.
    pub fn next(&mut self, now: Moment) -> Option<(u16, Answer)> {
        if self.in_flight.is_some() {
            return None;
        }
        let answer = self.waiting.front()?.clone();
        let id = self.message_id(answer.observe.unwrap_or_default());
        self.in_flight = Some(InFlight { id, retries: 0, due: now + FIRST_RETRY });
        Some((id, answer))
    }

    /// Returns the message ID of the notification in flight.
    pub fn in_flight_id(&self) -> Option<u16> {
        self.in_flight.as_ref().map(|f| f.id)
    }

    /// Handles the caller's acknowledgement; returns whether it matches the
    /// notification in flight.
    pub fn acknowledge(&mut self, id: u16) -> bool {
        let matches = self.in_flight_id() == Some(id);
        if matches {
            self.in_flight = None;
            self.waiting.pop_front();
        }
        matches
    }

    /// Returns what to do about the notification in flight, and counts its
    /// retransmission.
    pub fn retry(&mut self, now: Moment) -> Retry {
        let Some(in_flight) = self.in_flight.as_mut().filter(|f| now >= f.due) else {
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

    // The message ID does not depend on the agent that serves the channel, so
    // that the caller recognises a retransmission after the channel has moved.
    fn message_id(&self, sequence: u32) -> u16 {
        xxh3_64(&self.registration.token.0).wrapping_add(u64::from(sequence)) as u16
    }

    /// Returns the channel in the form in which it moves to another agent.
    pub fn into_moved(self) -> MovedChannel {
        (self.registration, self.waiting.into())
    }
}
