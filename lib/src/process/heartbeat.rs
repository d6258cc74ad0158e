//! Heartbeats among the agents of a service.

use super::context::Context;
use super::message::Message;
use super::peers::HEARTBEAT;
use super::peers::Peers;
use crate::value::moment::Moment;

/// Schedule of an agent's heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Heartbeat {
    last: Option<Moment>,
}

impl Heartbeat {
    /// Opens with a heartbeat that is due at once.
    pub fn open() -> Self {
        Self::default()
    }

    /// Makes the next heartbeat due at once, so that peers learn of a change.
    pub fn trigger(&mut self) {
        self.last = None;
    }

    /// Sends the heartbeat if it is due.
    pub fn send_due(&mut self, context: &mut Context, now: Moment) {
        if self.last.is_some_and(|t| now.since(t) < HEARTBEAT) {
            return;
        }
        self.last = Some(now);
        let mut names = context.joint.members();
        names.extend(context.peers.names().cloned());
        names.insert(context.me.clone());
        let revision = context.joint.current().revision;
        let health = context.reported_health();
        for peer in Peers::targets(&names, &context.me) {
            context.send(&peer, Message::Heartbeat { revision, health });
        }
    }
}
