//! What happens on the fake network, in the order of time.

use std::collections::BTreeMap;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message reaches a process.
    Deliver(Envelope),
    /// A process does what is due by time.
    Tick { name: Name, run: Incarnation },
    /// A backend server answers.
    Done { name: Name, run: Incarnation, id: u64, answer: Answer },
    /// A version is read.
    Enforce { name: Name, version: u64 },
    /// A caller sends a request, for the n-th time.
    Send { key: RequestKey, times: u32 },
    /// An answer reaches a caller.
    Answered { key: RequestKey, answer: Answer },
    /// A notification reaches a caller.
    Notified { flow: FlowKey, id: u16, answer: Answer },
}

/// Events in the order of their time, then of their making.
#[derive(Debug, Default)]
pub struct Events {
    queue: BTreeMap<(Moment, u64), Event>,
    sequence: u64,
}

impl Events {
    /// Adds an event.
    pub fn push(&mut self, at: Moment, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Takes the next event that is not after `end`.
    pub fn pop_until(&mut self, end: Moment) -> Option<(Moment, Event)> {
        let entry = self.queue.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
