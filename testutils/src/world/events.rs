//! Events on the simulated network, in the order of time.

use std::collections::BTreeMap;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::key::RequestKey;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::name::Name;

/// An event on the simulated network.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message reaches a process.
    Deliver(Envelope),
    /// A process handles its timers.
    Tick { name: Name, run: Incarnation },
    /// A backend server finishes request `id` with `answer`.
    Done { name: Name, run: Incarnation, id: u64, answer: Answer },
    /// A process has read a version and puts it in force.
    Enforce { name: Name, version: u64 },
    /// A caller sends a request that it has sent `times` times before.
    Send { key: RequestKey, times: u32 },
    /// An answer reaches a caller.
    Answered { key: RequestKey, answer: Answer },
    /// A notification reaches a caller.
    Notified { flow: FlowKey, id: u16, answer: Answer },
}

/// Queue of events, ordered by time, then by insertion.
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

    /// Removes and returns the next event, unless it is after `end`.
    pub fn pop_until(&mut self, end: Moment) -> Option<(Moment, Event)> {
        let entry = self.queue.first_entry()?;
        if entry.key().0 > end {
            return None;
        }
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
