//! Packets of callers to the backend server, and the requests that wait for a slot.

use std::net::SocketAddr;
use std::time::Duration;

use super::LocalBackend;
use super::NotServed;
use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::connection::served_flows::Request;
use crate::connection::served_flows::ServedFlow;
use crate::front::packet::action::Action;
use crate::front::packet::action::Phase;
use crate::front::packet::context::AgentContext;
use crate::front::packet::event::Decision;
use crate::front::packet::event::Event;
use crate::request::request_queue::QueuedRequest;
use crate::value::moment::Moment;
use crate::value::reason::Reason;

/// Allowance for the way from and to the caller and for opening the flow; a
/// request's time limits are shortened by it.
const TRANSIT_TIME: Duration = Duration::from_millis(12);

impl LocalBackend {
    /// Passes a packet of a flow that is served here to the backend server, or queues it.
    ///
    /// # Errors
    ///
    /// Returns why the packet was not passed on.
    pub fn deliver(
        &mut self,
        context: &mut AgentContext,
        packet: &Packet,
        entry: SocketAddr,
        now: Moment,
    ) -> Result<(), NotServed> {
        let segment = &packet.segment;
        self.end_followed(context, segment, now);
        let missing =
            if self.health.is_complete() { NotServed::Absent } else { NotServed::Unknown };
        let open = self.check_new_flow(now).is_ok();
        if segment.is_opening()
            && self.served.get(&segment.flow).is_some()
            && !self.pass_opening(context, &segment.flow, now)
        {
            return Ok(());
        }
        let served = self.served.get_mut(&segment.flow).ok_or(missing)?;
        match served {
            // It may open only now, by a copy of a packet that was lost.
            ServedFlow::Opening(_) if segment.is_opening() && !open => return Err(missing),
            ServedFlow::Opening(flow) => flow.entry = Some(entry),
            ServedFlow::Answered(flow) if segment.is_opening() => flow.entry = Some(entry),
            ServedFlow::Answered(flow) if segment.completes_handshake(flow.state.isn) => {
                *served = flow.establish(now).into();
            }
            // The caller chose another backend server that answered too.
            ServedFlow::Answered(_) => return Err(NotServed::Absent),
            ServedFlow::Established(flow) => {
                let other = |isn| segment.flags.acks && segment.acked_bytes(isn).is_none();
                if flow.state.isn.is_some_and(other) || !flow.may_continue_with(segment) {
                    return Err(NotServed::Absent);
                }
            }
        }
        if let ServedFlow::Established(flow) = served {
            flow.entry = Some(entry);
            let begins = flow.from_caller(segment, now);
            if segment.flags.aborts {
                self.end(context, &segment.flow, now);
            } else if segment.flags.closes && self.waiting.add_packet(packet) {
                // The caller may still wait for the answer to its queued request.
                return Ok(());
            } else if segment.flags.closes {
                self.cancel_request(&segment.flow, now);
            } else if begins && self.enqueue(context, packet, now) {
                self.start_queued(context, now);
                return Ok(());
            } else if segment.len > 0 && self.waiting.add_packet(packet) {
                return Ok(());
            }
        }
        context.act(Action::Backend(packet.clone()));
        Ok(())
    }

    /// Counts an opening packet that is about to be passed to the backend server; returns
    /// false if the warm-up limit does not allow it, which drops the packet: the caller's next
    /// copy follows.
    pub(super) fn pass_opening(
        &mut self,
        context: &mut AgentContext,
        flow: &FlowKey,
        now: Moment,
    ) -> bool {
        if !self.warm_up.wait(now).is_zero() {
            context.record(Event::of(Decision::Dropped).reason(Reason::Cold).flow(*flow));
            return false;
        }
        self.warm_up.record_opening(now);
        true
    }

    /// Cancels the request of a flow that gets no answer.
    pub(super) fn cancel_request(&mut self, flow: &FlowKey, now: Moment) {
        let Some(ServedFlow::Established(f)) = self.served.get_mut(flow) else { return };
        match f.state.request.take() {
            Some(Request::Started(_)) => self.waiting.abandon(now),
            Some(Request::Waiting) => self.waiting.cancel(flow),
            None => {}
        }
    }

    /// Queues a request until a slot is free; returns false if it can't be queued.
    pub(super) fn enqueue(&mut self, context: &AgentContext, packet: &Packet, now: Moment) -> bool {
        let flow = packet.segment.flow;
        let Some(route) = context.view.routes.route(flow.service) else {
            self.begin_request(&flow, now);
            return false;
        };
        // Only the first request of a flow can have waited for its opening.
        let waited = match self.served.get_mut(&flow) {
            Some(ServedFlow::Established(f)) => std::mem::take(&mut f.waited) + TRANSIT_TIME,
            _ => TRANSIT_TIME,
        };
        let request = QueuedRequest {
            packets: vec![packet.clone()],
            since: now,
            priority: route.priority,
            target: now + route.target_latency.saturating_sub(waited),
            deadline: now + route.timeout.saturating_sub(waited),
            work: self.waiting.expected_work(&flow.service),
        };
        let queued = self.waiting.push(flow, request);
        if !queued {
            self.begin_request(&flow, now);
        }
        queued
    }

    /// Records that a request is passed to the backend server.
    pub(super) fn begin_request(&mut self, flow: &FlowKey, now: Moment) {
        if let Some(ServedFlow::Established(flow)) = self.served.get_mut(flow) {
            flow.start(now);
            self.waiting.begin(now);
        }
    }

    /// Passes queued requests to the backend server while it has free slots.
    pub(super) fn start_queued(&mut self, context: &mut AgentContext, now: Moment) {
        while let Some((flow, request)) = self.waiting.next(self.health.slots(), now) {
            self.begin_request(&flow, now);
            let held = now.since(request.since);
            context.act(Action::Measured(Phase::Held, held));
            if now + request.work > request.target {
                let event = Event::of(Decision::Late).reason(Reason::Deadline).flow(flow);
                context.record(event.value(held.as_micros() as u64));
            }
            for packet in request.packets {
                context.act(Action::Backend(packet));
            }
        }
    }
}
