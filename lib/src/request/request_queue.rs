//! Requests that wait at an agent for a slot of its backend server.
//!
//! Answers the load pattern of callers that all come back at once after a
//! failure, and of bursts above what the slots can do: in the backend server's
//! own queue, the first in line makes everybody behind it late. Here, what can
//! still be answered in time goes before what can't, by priority and then by
//! the time left; what is late goes when there is room.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::value::moment::Moment;

/// Requests that wait at most; more pass without waiting.
const MAX_WAITING: usize = 4_096;
/// Packets kept of one request: both ends have 16 in flight at most.
const MAX_PACKETS: usize = 16;

/// One request that waits.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Its packets.
    pub packets: Vec<Packet>,
    /// When it came.
    pub since: Moment,
    /// Rank of its route; 0 goes first.
    pub priority: u8,
    /// When its caller wants the answer.
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
    /// Lets a request wait; returns false if too many do.
    pub fn push(&mut self, flow: FlowKey, request: QueuedRequest) -> bool {
        let room = self.flows.len() < MAX_WAITING;
        if room {
            self.flows.insert(flow, request);
        }
        room
    }

    /// Adds a packet to a request that waits; returns false if none does.
    pub fn add_packet(&mut self, packet: &Packet) -> bool {
        let Some(request) = self.flows.get_mut(&packet.segment.flow) else { return false };
        let again = |p: &Packet| p.segment.seq == packet.segment.seq;
        if request.packets.len() < MAX_PACKETS && !request.packets.iter().any(again) {
            request.packets.push(packet.clone());
        }
        true
    }

    /// Takes out the request that is best started now, if it takes `service_time`.
    pub fn pop(&mut self, service_time: Duration, now: Moment) -> Option<(FlowKey, QueuedRequest)> {
        let rank = |w: &QueuedRequest| {
            let late = now + service_time > w.target;
            (late, w.priority, if late { w.deadline } else { w.target })
        };
        let best = self.flows.iter().min_by_key(|(flow, w)| (rank(w), **flow));
        let flow = best.map(|(flow, _)| *flow)?;
        self.flows.remove_entry(&flow)
    }

    /// Takes out a request whose flow has ended.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<QueuedRequest> {
        self.flows.remove(flow)
    }

    /// Takes out the requests that their callers have given up.
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        self.flows.extract_if(|_, w| w.deadline <= now).map(|(flow, _)| flow).collect()
    }

    /// Forgets all requests.
    pub fn clear(&mut self) {
        self.flows.clear();
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
