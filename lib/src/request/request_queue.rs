//! Requests that wait at an agent for a slot of its backend server.
//!
//! The queue is made for callers that all reconnect at once after a failure, and
//! for bursts above the capacity of the slots. In the backend server's own queue,
//! the first requests would make all requests behind them late. Here, requests that
//! can still be answered in time go first, by priority, then those of callers that got
//! less than their share, then by the time left; late requests start when no other
//! request waits.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::flow::FlowKey;
use crate::connection::segment::Packet;
use crate::request::fair_shares::FairShares;
use crate::value::moment::Moment;

/// Maximum number of requests that wait; further ones pass without waiting.
const MAX_WAITING: usize = 4_096;
/// Share of the mean work up to which a request counts as short.
const SHORT_SHARE: f64 = 0.25;
/// Of this many starts, one may be that of a short request of any priority. It delays the
/// others by a sixteenth at most, and short requests don't wait for long ones to run out.
const SHORT_INTERVAL: u32 = 4;
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
    /// Expected work.
    pub work: Duration,
}

/// A waiting request and the virtual time of its start.
#[derive(Clone, Debug)]
struct Place {
    request: QueuedRequest,
    start: u64,
}

/// The requests that wait for one backend server.
#[derive(Debug, Default)]
pub struct RequestQueue {
    flows: HashMap<FlowKey, Place>,
    shares: FairShares,
    // Starts since the last one of a short request out of turn.
    starts: u32,
}

impl RequestQueue {
    /// Queues a request; returns false if the queue is full.
    pub fn push(&mut self, flow: FlowKey, request: QueuedRequest) -> bool {
        self.remove(&flow);
        let room = self.flows.len() < MAX_WAITING;
        if room {
            let start = self.shares.enter(&flow, request.work);
            self.flows.insert(flow, Place { request, start });
        }
        room
    }

    /// Adds a packet to the queued request of its flow; returns false if there is none.
    pub fn add_packet(&mut self, packet: &Packet) -> bool {
        let Some(place) = self.flows.get_mut(&packet.segment.flow) else { return false };
        let packets = &mut place.request.packets;
        let duplicate = |p: &Packet| p.segment.seq == packet.segment.seq;
        if packets.len() < MAX_PACKETS && !packets.iter().any(duplicate) {
            packets.push(packet.clone());
        }
        true
    }

    /// Removes the request to start next; `mean` is the mean work of all requests.
    pub fn pop(&mut self, mean: Duration, now: Moment) -> Option<(FlowKey, QueuedRequest)> {
        let short = mean.mul_f64(SHORT_SHARE);
        let turn = self.starts + 1 >= SHORT_INTERVAL;
        let rank = |place: &Place| {
            let w = &place.request;
            let out_of_turn = turn && w.work <= short;
            if now + w.work > w.target {
                return (true, !out_of_turn, w.priority, 0, w.deadline);
            }
            (false, !out_of_turn, w.priority, self.shares.excess(place.start), w.target)
        };
        let best = self.flows.iter().min_by_key(|(flow, place)| (rank(place), **flow));
        let (flow, work) = best.map(|(flow, place)| (*flow, place.request.work))?;
        self.starts = if turn && work <= short { 0 } else { self.starts.saturating_add(1) };
        self.shares.serve(work);
        self.remove(&flow).map(|request| (flow, request))
    }

    /// Removes a request whose flow has ended.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<QueuedRequest> {
        let place = self.flows.remove(flow)?;
        self.shares.leave(flow);
        Some(place.request)
    }

    /// Removes the requests that their callers have given up, and returns their flows.
    pub fn expire(&mut self, now: Moment) -> Vec<FlowKey> {
        let given_up = self.flows.iter().filter(|(_, p)| p.request.deadline <= now);
        let flows: Vec<_> = given_up.map(|(flow, _)| *flow).collect();
        for flow in &flows {
            self.remove(flow);
        }
        flows
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.flows.clear();
        self.shares.clear();
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.flows.len()
    }
}
