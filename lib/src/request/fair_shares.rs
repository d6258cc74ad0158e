//! Virtual time of the callers whose requests wait for one backend server.
//!
//! The load that it answers: one caller opens many flows at the peak, and its requests
//! would fill the queue before those of all others. Each caller and route advances by the
//! expected work of its requests; the one that got the least goes first.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::flow::FlowKey;

/// The caller's address and the route's address.
type Caller = (IpAddr, SocketAddr);

/// The waiting requests of one caller.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    count: usize,
    // Virtual time at which the last of them ends.
    end: u64,
}

/// Shares of the callers that have requests waiting.
#[derive(Debug, Default)]
pub struct FairShares {
    // Work in microseconds that each waiting caller has got or could have got.
    served: u64,
    callers: HashMap<Caller, Backlog>,
}

impl FairShares {
    /// Adds a request; returns the virtual time of its start.
    pub fn enter(&mut self, flow: &FlowKey, work: Duration) -> u64 {
        let new = Backlog { count: 0, end: self.served };
        let backlog = self.callers.entry(caller(flow)).or_insert(new);
        let start = backlog.end.max(self.served);
        backlog.end = start + work.as_micros() as u64;
        backlog.count += 1;
        start
    }

    /// Removes a request.
    pub fn leave(&mut self, flow: &FlowKey) {
        if let Some(backlog) = self.callers.get_mut(&caller(flow)) {
            backlog.count -= 1;
            if backlog.count == 0 {
                self.callers.remove(&caller(flow));
            }
        }
    }

    /// Records that a request starts, before it is removed.
    pub fn serve(&mut self, work: Duration) {
        self.served += work.as_micros() as u64 / self.callers.len().max(1) as u64;
    }

    /// Returns how much the caller of a request with this start is ahead of its share, in
    /// microseconds of work; 0 if it is not.
    pub fn excess(&self, start: u64) -> u64 {
        start.saturating_sub(self.served)
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.callers.clear();
    }
}

fn caller(flow: &FlowKey) -> Caller {
    (flow.caller.ip(), flow.service)
}
