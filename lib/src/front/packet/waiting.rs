//! Requests that wait at an agent, and those that its backend server works on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::request::load_meter::Load;
use crate::request::load_meter::LoadMeter;
use crate::request::pace::Pace;
use crate::request::request_queue::QueuedRequest;
use crate::request::request_queue::RequestQueue;
use crate::request::work_times::WorkTimes;
use crate::value::moment::Moment;

/// Requests passed to the backend server beyond its slots, so that a slot is
/// used again at once when it becomes free.
const QUEUE_AHEAD: u32 = 1;

/// Requests beyond the slots from which on a new flow had better go elsewhere. With 0, a
/// third more offers are declined and callers gain nothing.
const BUSY_AHEAD: u32 = 2;
/// Time after a flow's acceptance in which its first request is expected: a caller sends
/// it one round trip later, which is less than 10 ms.
const EXPECT_TIME: Duration = Duration::from_millis(50);

/// The requests of one backend server: those that wait, and the number in progress.
#[derive(Debug)]
pub struct Waiting {
    queue: RequestQueue,
    meter: LoadMeter,
    work: WorkTimes,
    pace: Pace,
    // Flows that were accepted and have not sent a request, with the time.
    expected: HashMap<FlowKey, Moment>,
}

impl Waiting {
    /// Opens without any request or bound.
    pub fn open(now: Moment) -> Self {
        let (queue, expected) = (RequestQueue::default(), HashMap::new());
        let (meter, work) = (LoadMeter::open(now), WorkTimes::default());
        Self { queue, meter, work, pace: Pace::open(), expected }
    }

    /// Returns the load of a backend server with `slots` slots and `flows` flows.
    pub fn load(&mut self, slots: u32, flows: usize, now: Moment) -> Load {
        let waiting = self.queue.count() + self.expected(now);
        let bound = self.pace.bound(slots, now).min(u32::from(u16::MAX)) as u16;
        Load { bound, ..self.meter.load(slots, waiting, flows, now) }
    }

    /// Begins the pace of a backend server that has started.
    pub fn restart(&mut self, now: Moment) {
        self.pace.restart(now);
    }

    /// Records that the backend server refused a flow or did not answer in time.
    pub fn lost(&mut self, slots: u32, now: Moment) {
        self.pace.lost(slots, now);
    }

    /// Records that a flow was accepted, whose first request follows.
    ///
    /// The load that it answers: many homes offer flows within one round trip of their
    /// callers, in which none of the flows has sent its request.
    pub fn expect(&mut self, flow: FlowKey, now: Moment) {
        self.expected.insert(flow, now);
    }

    /// Returns whether more requests are here than the backend server bears, which is at
    /// most `slots`, and others wait.
    pub fn is_busy(&self, slots: u32, now: Moment) -> bool {
        let ahead = self.queue.count() + self.expected(now);
        self.meter.busy().saturating_add(ahead as u32) >= self.pace.bound(slots, now) + BUSY_AHEAD
    }

    /// Returns the number of accepted flows whose first request is still to come.
    fn expected(&self, now: Moment) -> usize {
        self.expected.values().filter(|at| now.since(**at) < EXPECT_TIME).count()
    }

    /// Returns the expected time of a request of a route in a free slot.
    pub fn expected_work(&self, route: &SocketAddr) -> Duration {
        self.work.expected(route, self.meter.service_time())
    }

    /// Queues a request; returns false if the queue is full.
    pub fn push(&mut self, flow: FlowKey, request: QueuedRequest) -> bool {
        self.expected.remove(&flow);
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
        self.expected.remove(flow);
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

    /// Records the answer to a request of a route after `took`.
    pub fn end(&mut self, route: SocketAddr, took: Duration, slots: u32, now: Moment) {
        let work = self.meter.in_slot(took, slots);
        self.pace.answered(work, self.work.expected(&route, work), slots, now);
        self.work.record(route, work);
        self.meter.end(took, slots, now);
    }

    /// Removes the requests that their callers have given up, and returns their flows.
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        self.expected.retain(|_, at| now.since(*at) < EXPECT_TIME);
        self.queue.expire(now)
    }

    /// Discards all requests after the backend server has lost them, and begins its pace.
    pub fn clear(&mut self, now: Moment) {
        self.meter.clear(now);
        self.work.clear();
        self.pace.restart(now);
        self.queue.clear();
        self.expected.clear();
    }
}
