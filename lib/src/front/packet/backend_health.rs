//! What an agent knows of its backend server's registration and condition.

use std::sync::Arc;
use std::time::Duration;

use super::context::AgentContext;
use super::event::Decision;
use super::event::Event;
use crate::process::liveness::Condition;
use crate::process::liveness::DEAD_AFTER;
use crate::process::liveness::KeepAlive;
use crate::process::liveness::Liveness;
use crate::process::own_entry::OwnEntry;
use crate::process::run_evidence::RunEvidence;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;
use crate::version::member::Member;
use crate::version::member::MemberState;

/// Registration and condition of the backend server beside an agent.
#[derive(Debug)]
pub struct BackendHealth {
    member: Option<Arc<Member>>,
    own_entry: OwnEntry,
    evidence: RunEvidence,
    liveness: Liveness,
    // Whether the flow table has every flow of the backend server.
    complete: bool,
    // State of the keep-alive connection to the backend server.
    keep_alive: KeepAlive,
    // When the last packet of the backend server came, or this agent started.
    last_heard: Moment,
    // Whether no packet of the backend server has come since this agent started.
    unheard: bool,
    // Since when the fresh roster has not listed the backend server.
    missing_since: Option<Moment>,
    leaving: bool,
}

impl BackendHealth {
    /// Opens for a backend server that is not known yet. `complete` tells that it has no
    /// flows.
    pub fn open(complete: bool, now: Moment) -> Self {
        Self {
            member: None,
            own_entry: OwnEntry::default(),
            evidence: RunEvidence::default(),
            liveness: Liveness::open(now),
            complete,
            keep_alive: KeepAlive::Closed,
            last_heard: now,
            unheard: true,
            missing_since: None,
            leaving: false,
        }
    }

    /// Returns the service of the backend server.
    pub fn service<'a>(&'a self, context: &'a AgentContext) -> &'a Name {
        self.member.as_ref().map_or(&context.me.service, |m| &m.service)
    }

    /// Returns the entry of the backend server, if it has registered itself.
    pub fn member(&self) -> Option<&Arc<Member>> {
        self.member.as_ref()
    }

    /// Returns the state of the keep-alive connection.
    pub fn keep_alive(&self) -> KeepAlive {
        self.keep_alive
    }

    /// Returns the number of requests that the backend server works on at once.
    pub fn slots(&self) -> u32 {
        self.member.as_ref().map_or(1, |m| m.slots)
    }

    /// Returns whether the backend server accepts new flows.
    pub fn accepts_flows(&self, now: Moment) -> bool {
        let ready = self.member.as_ref().is_some_and(|m| m.standing == MemberState::Ready);
        ready && !self.leaving && self.liveness.takes_work(now)
    }

    /// Returns whether the flow table has every flow of the backend server.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Begins a planned stop of the agent: no new flows are accepted.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Applies the roster's entry of the backend server. If it is that of another run,
    /// returns the time before which its flows certainly opened at an earlier one, if that
    /// is known.
    pub fn update_member(&mut self, context: &mut AgentContext, now: Moment) -> Option<Moment> {
        let confirmed = self.own_entry.is_confirmed();
        let before = self.own_entry.accepted().cloned();
        let (me, view) = (&context.me, &context.view);
        let listed = view.roster.holder(me.backend);
        let member = self.own_entry.check(listed, &me.service, view, me.entry_ttl, now);
        let mut ended = None;
        match (before, &member) {
            (Some(old), Some(new)) if !old.same_run(new) => {
                // If the entry before was not confirmed, the flows may be those of the run
                // that was there all the while; if not, the backend server returns their
                // packets.
                // This process has forwarded all flows of a run that began after it.
                self.complete |= confirmed && self.evidence.precedes_next();
                // The refusal was before this run.
                if self.keep_alive == KeepAlive::Refused {
                    self.keep_alive = KeepAlive::Closed;
                }
                ended = self.evidence.advance().filter(|_| confirmed);
                self.liveness = Liveness::open(now);
            }
            (_, Some(_)) if self.member.is_none() => self.liveness = Liveness::open(now),
            _ => {}
        }
        let changed = match (&self.member, &member) {
            (Some(old), Some(new)) => !old.same_run(new) || old.standing != new.standing,
            (old, new) => old.is_some() != new.is_some(),
        };
        if changed {
            let reason = match &member {
                Some(m) if m.standing == MemberState::Ready => None,
                _ => Some(Reason::Leaving),
            };
            let event =
                Event::of(Decision::Registered).value(context.view.roster.revision().number);
            context.record(Event { reason, ..event });
        }
        // A backend server that a stale roster lacks may come back, so its last
        // entry still applies.
        if member.is_some() || context.view.fresh {
            self.member = member;
        }
        ended
    }

    /// Records a packet that any run of the backend server may have sent.
    pub fn heard(&mut self, now: Moment) {
        (self.last_heard, self.unheard) = (now, false);
        self.liveness.heard(now);
    }

    /// Records a packet that only the run which accepted its flow can have sent.
    pub fn heard_run(&mut self, context: &mut AgentContext, now: Moment) {
        (self.last_heard, self.unheard) = (now, false);
        self.mark_working(context, now);
    }

    /// Records an opening packet that was not answered in time; returns whether forwarding
    /// is paused by that.
    pub fn missed(&mut self, now: Moment) -> bool {
        self.liveness.missed(now)
    }

    /// Updates the state of the keep-alive connection; returns whether it shows that the
    /// backend server is dead.
    pub fn update_keep_alive(&mut self, keep_alive: KeepAlive, now: Moment) -> bool {
        self.keep_alive = keep_alive;
        match keep_alive {
            KeepAlive::Open => {
                self.evidence.connected(now);
                self.liveness.connected(now);
                return false;
            }
            KeepAlive::Refused | KeepAlive::Closed => self.evidence.disconnected(),
        }
        // A backend server that still sends packets has merely too many connections.
        let silent = now.since(self.last_heard) >= DEAD_AFTER;
        let refused = keep_alive == KeepAlive::Refused;
        if refused && (silent || self.unheard) {
            self.evidence.refused();
        }
        refused && silent && self.refused(now)
    }

    /// Handles a refusal of packets by the backend server's address; returns whether it
    /// shows that the backend server is dead.
    pub fn refused(&mut self, now: Moment) -> bool {
        self.liveness.refused(now)
    }

    /// Records proof that the flow table has every flow of the registered run.
    pub fn prove_complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether the run `last`, the last one that was registered since the agent
    /// started, has ended: the address refuses connections, or the entry is gone and the
    /// keep-alive connection closed. Of a backend server that was not registered, only a
    /// refusal tells.
    ///
    /// An agent is stopped after its backend server, or alone, and then the connection stays
    /// open. So a refusal that follows its end needs no time without packets.
    pub fn has_ended(&self, last: Option<&Member>, now: Moment) -> bool {
        let dead = self.liveness.condition() == Condition::Dead;
        let replaced = |last: &Member| self.member.as_ref().is_none_or(|m| !m.same_run(last));
        let gone = last.is_some_and(replaced) && now.since(self.last_heard) >= DEAD_AFTER;
        match self.keep_alive {
            KeepAlive::Open => false,
            KeepAlive::Closed => dead || gone,
            KeepAlive::Refused => true,
        }
    }

    /// Returns whether the agent stops.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that the backend server is dead, and with it all its flows.
    pub fn bury(&mut self) {
        self.complete = true;
    }

    /// Leaves a time in which this process did not run out of the backend server's
    /// silence.
    pub fn stalled(&mut self, time: Duration, now: Moment) {
        self.liveness.stalled(time, now);
    }

    /// Restarts timeouts after a pause of this process.
    pub fn woke(&mut self, now: Moment) {
        self.liveness.woke(now);
    }

    /// Handles timeouts; returns whether the backend server is found dead.
    pub fn tick(&mut self, context: &mut AgentContext, now: Moment) -> bool {
        if self.keep_alive == KeepAlive::Open {
            self.liveness.connected(now);
        }
        let view = &context.view;
        let listed = view.roster.holder(context.me.backend);
        let listed = listed.zip(self.own_entry.accepted()).is_some_and(|(l, own)| l.same_run(own));
        if view.fresh && listed {
            self.evidence.listed(view.read_at, context.me.entry_ttl);
        }
        let mut dead = self.has_vanished(context, now);
        if self.liveness.tick(context.me.reuse_delay, now) {
            match self.liveness.condition() {
                Condition::Dead => dead = true,
                _ => context.record(Event::of(Decision::BackendUnproven)),
            }
        }
        // The entry of a dead backend server is removed after `entry_ttl`, so
        // one that is still there belongs to a running backend server.
        let expired = |since: Moment| context.view.read_at >= since + context.me.entry_ttl;
        let renewed = self.liveness.suspect_since().is_some_and(expired);
        if renewed && context.view.fresh && self.member.is_some() {
            self.mark_working(context, now);
        }
        dead
    }

    /// Returns whether the backend server's entry was removed and did not come back, and
    /// nothing else shows that it runs.
    fn has_vanished(&mut self, context: &AgentContext, now: Moment) -> bool {
        let absent = context.view.fresh && context.view.roster.holder(context.me.backend).is_none();
        let Some(since) = absent.then(|| *self.missing_since.get_or_insert(now)) else {
            self.missing_since = None;
            return false;
        };
        let silent = self.last_heard <= since && self.keep_alive != KeepAlive::Open;
        silent && !self.complete && now.since(since) >= context.me.entry_ttl
    }

    /// Records proof that the registered run of the backend server works.
    fn mark_working(&mut self, context: &mut AgentContext, now: Moment) {
        if self.liveness.condition() != Condition::Working {
            context.record(Event::of(Decision::BackendBack));
        }
        self.liveness.proven(now);
    }
}
