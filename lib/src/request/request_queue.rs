//! Requests that wait at an agent for a slot of its backend server.
//!
//! The queue is made for callers that all reconnect at once after a failure, and
//! for bursts above the capacity of the slots. In the backend server's own queue,
//! the first requests would make all requests behind them late. Here, requests that
//! can still be answered in time go first, by priority and then by the time left;
//! late requests start when no other request waits.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::value::moment::Moment;

/// Maximum number of requests that wait; further ones pass without waiting.
const MAX_WAITING: usize = 4_096;
/// Maximum number of packets kept per request: each end has at most 16 in flight.
const MAX_PACKETS: usize = 16;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Its packets.
    pub packets: Vec<Packet>,
    /// When it arrived.
    pub since: Moment,
    /// Priority of its route; 0 goes first.
    pub priority: u8,
    /// When its answer is due by the latency target of its route.
    pub target: Moment,
    /// When its caller gives up.
    pub deadline: Moment,
}

/// The requests that wait for one backend server.
#[derive(Debug, Default)]
pub struct RequestQueue {
    flows: HashMap<FlowKey, QueuedRequest>,
}

impl RequestQueue {
    /// Queues a request; returns false if the queue is full.
    pub fn push(&mut self, flow: FlowKey, request: QueuedRequest) -> bool {
        let room = self.flows.len() < MAX_WAITING;
        if room {
            self.flows.insert(flow, request);
        }
        room
    }

    /// Adds a packet to the queued request of its flow; returns false if there is none.
    pub fn add_packet(&mut self, packet: &Packet) -> bool {
        let Some(request) = self.flows.get_mut(&packet.segment.flow) else { return false };
        let duplicate = |p: &Packet| p.segment.seq == packet.segment.seq;
        if request.packets.len() < MAX_PACKETS && !request.packets.iter().any(duplicate) {
            request.packets.push(packet.clone());
        }
        true
    }

    /// Removes the request to start next, assuming that it takes `service_time`.
    pub fn pop(&mut self, service_time: Duration, now: Moment) -> Option<(FlowKey, QueuedRequest)> {
        let rank = |w: &QueuedRequest| {
            let late = now + service_time > w.target;
            (late, w.priority, if late { w.deadline } else { w.target })
        };
        let best = self.flows.iter().min_by_key(|(flow, w)| (rank(w), **flow));
        let flow = best.map(|(flow, _)| *flow)?;
        self.flows.remove_entry(&flow)
    }

    /// Removes a request whose flow has ended.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<QueuedRequest> {
        self.flows.remove(flow)
    }

    /// Removes the requests that their callers have given up, and returns their flows.
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        self.flows.extract_if(|_, w| w.deadline <= now).map(|(flow, _)| flow).collect()
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.flows.clear();
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
