//! Packets between callers, entries, agents and backend servers.

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::connection::segment::Segment;
use lagoonhollow_lib::value::moment::Moment;

use super::BACKEND_DELAY;
use super::CALLER_DELAY;
use super::DRAIN_BOUND;
use super::SimEvent;
use super::World;
use crate::packets::backend::BackendAction;

impl World {
    pub(super) fn send_from_caller(&mut self, flow: FlowKey, packets: Vec<Packet>) {
        for packet in packets {
            let ready: Vec<_> =
                (0..self.entries.len()).filter(|i| self.entries[*i].process.is_some()).collect();
            if let Some(i) = ready.get(flow.hash() as usize % ready.len().max(1)) {
                self.schedule(CALLER_DELAY, SimEvent::ToEntry(*i, packet));
            }
        }
        if let Some(wait) = self.calls.get(&flow).and_then(|c| c.timer()) {
            self.schedule(wait, SimEvent::Wake(flow, self.scheduled + 1));
            self.timers.insert(flow, self.scheduled);
        }
    }

    pub(super) fn deliver_to_caller(&mut self, segment: Segment) {
        let now = self.now;
        let holder = self.holder(&segment.flow);
        if let Some(lost) = self.lost.get_mut(&segment.flow).filter(|_| segment.flags.aborts) {
            lost.record_reset(now);
        }
        let Some(caller) = self.calls.get_mut(&segment.flow) else { return };
        if segment.flags.aborts && caller.is_open() && holder.is_some() {
            let flow = segment.flow;
            self.checks
                .report(now, format!("{flow:?} was reset while backend {holder:?} holds it"));
        }
        let sent = caller.handle_segment(&segment, now);
        self.send_from_caller(segment.flow, sent);
    }

    pub(super) fn deliver_to_backend(&mut self, i: usize, packet: Packet) {
        let segment = packet.segment;
        if !self.backends[i].up {
            if !self.backends[i].silent && self.refusals {
                self.schedule(BACKEND_DELAY, SimEvent::Refused(i));
            }
            return;
        }
        if segment.is_opening() {
            self.check_opening(i, &segment);
        } else if let Some(holder) = self.holder(&segment.flow) {
            self.checks.record_delivery(segment.flow, holder == i, self.now);
        }
        let actions = self.backends[i].handle_packet(packet, &mut self.rng);
        self.schedule_actions(i, actions);
    }

    pub(super) fn check_opening(&mut self, i: usize, segment: &Segment) {
        let member = &self.backends[i].member;
        let route = self.routes.route(segment.flow.service);
        if !route.is_some_and(|r| r.holders().any(|s| *s == member.service)) {
            let problem = format!("{:?} was opened at {}", segment.flow, member.service);
            self.checks.report(self.now, problem);
        }
        self.checks.check_evacuation(&segment.flow, member, self.now);
        self.checks.check_warm_up(&member.name, self.now);
        let late = |at: &Moment| self.now.since(*at) > DRAIN_BOUND;
        if self.leaving.get(&member.name).is_some_and(late) {
            let problem =
                format!("{:?} was opened at {}, which is leaving", segment.flow, member.name);
            self.checks.report(self.now, problem);
        }
    }

    pub(super) fn schedule_actions(&mut self, i: usize, actions: Vec<BackendAction>) {
        for action in actions {
            match action {
                BackendAction::Send(packet) => {
                    self.schedule(
                        BACKEND_DELAY,
                        SimEvent::FromBackend { agent: i, packet, returned: false },
                    );
                }
                BackendAction::Return(packet) => {
                    self.schedule(
                        BACKEND_DELAY,
                        SimEvent::FromBackend { agent: i, packet, returned: true },
                    );
                }
                BackendAction::Begin(flow, work) => {
                    let born = self.backends[i].member.born;
                    self.schedule(work, SimEvent::Finish { backend: i, flow, born });
                }
            }
        }
    }
}
