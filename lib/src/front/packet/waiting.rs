//! Requests that wait at an agent, and those that its backend server works on.

use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::request::load_meter::Load;
use crate::request::load_meter::LoadMeter;
use crate::request::request_queue::QueuedRequest;
use crate::request::request_queue::RequestQueue;
use crate::value::moment::Moment;

/// Requests passed to the backend server beyond its slots, so that a slot is
/// used again at once when it becomes free.
const QUEUE_AHEAD: u32 = 1;

/// The requests of one backend server: those that wait, and the number in progress.
#[derive(Debug)]
pub struct Waiting {
    queue: RequestQueue,
    meter: LoadMeter,
}

impl Waiting {
    /// Opens without any request.
    pub fn open(now: Moment) -> Self {
        Self { queue: RequestQueue::default(), meter: LoadMeter::open(now) }
    }

    /// Returns the load of a backend server with `slots` slots and `flows` flows.
    pub fn load(&mut self, slots: u32, flows: usize, now: Moment) -> Load {
        self.meter.load(slots, self.queue.count(), flows, now)
    }

    /// Returns the service time of one request in a free slot.
    pub fn service_time(&self) -> Duration {
        self.meter.service_time()
    }

    /// Queues a request; returns false if the queue is full.
    pub fn push(&mut self, flow: FlowKey, request: QueuedRequest) -> bool {
        self.queue.push(flow, request)
    }

    /// Adds a packet to the queued request of its flow; returns false if there is none.
    pub fn add_packet(&mut self, packet: &Packet) -> bool {
        self.queue.add_packet(packet)
    }

    /// Removes the request to start next, if one of `slots` slots is free for it.
    pub fn next(&mut self, slots: u32, now: Moment) -> Option<(FlowKey, QueuedRequest)> {
        if self.meter.busy() >= slots.saturating_add(QUEUE_AHEAD) {
            return None;
        }
        self.queue.pop(self.meter.service_time(), now)
    }

    /// Removes the queued request of a flow that gets no answer.
    pub fn cancel(&mut self, flow: &FlowKey) {
        self.queue.remove(flow);
    }

    /// Records that a request is passed to the backend server.
    pub fn begin(&mut self, now: Moment) {
        self.meter.begin(now);
    }

    /// Records the end of a request without an answer.
    pub fn abandon(&mut self, now: Moment) {
        self.meter.abandon(now);
    }

    /// Records the answer to a request after `took`.
    pub fn end(&mut self, took: Duration, slots: u32, now: Moment) {
        self.meter.end(took, slots, now);
    }

    /// Removes the requests that their callers have given up, and returns their flows.
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        self.queue.expire(now)
    }

    /// Discards all requests after the backend server has lost them.
    pub fn clear(&mut self, now: Moment) {
        self.meter.clear(now);
        self.queue.clear();
    }
}
