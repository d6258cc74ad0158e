//! Admission control for the slots of one backend server.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use super::costs::Costs;
use super::key::RequestKey;
use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::value::reason::Reason;

/// Maximum number of queued requests per slot.
const QUEUED_PER_SLOT: usize = 64;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
struct Work {
    key: RequestKey,
    path: Name,
    expected: Duration,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct Running {
    path: Name,
    long: bool,
    since: Moment,
    expected: Duration,
}

/// What to do with the next queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatch {
    /// Start it.
    Start(RequestKey),
    /// Refuse it, as it can no longer meet its deadline.
    Expire(RequestKey),
}

/// Queued requests by deadline and then by arrival.
type Queue = BTreeMap<(Moment, u64), Work>;

/// Admission control by expected service time.
///
/// Short requests start in the order of their deadlines, long requests hold only
/// some of the slots, and a request that can't meet its deadline is refused.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: usize,
    costs: Costs,
    short: Queue,
    long: Queue,
    running: HashMap<RequestKey, Running>,
    arrivals: u64,
}

impl Admission {
    /// Creates the admission control for `slots` slots.
    pub fn open(slots: u32) -> Self {
        Self {
            slots: slots.max(1) as usize,
            costs: Costs::default(),
            short: BTreeMap::new(),
            long: BTreeMap::new(),
            running: HashMap::new(),
            arrivals: 0,
        }
    }

    /// Expects the same service time of all requests from now on.
    #[cfg(feature = "variants")]
    pub fn charge_by_count(&mut self) {
        self.costs.ignore_paths();
    }

    /// Changes the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1) as usize;
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the queue is full or the deadline can't be met.
    pub fn offer(
        &mut self,
        key: RequestKey,
        path: &Name,
        deadline: Moment,
        now: Moment,
    ) -> Result<(), Reason> {
        if self.short.len() + self.long.len() >= self.slots * QUEUED_PER_SLOT {
            return Err(Reason::QueueFull);
        }
        let expected = self.costs.expected(path);
        if now + self.wait(path, deadline, now) + expected > deadline {
            return Err(Reason::Deadline);
        }
        self.arrivals += 1;
        let work = Work { key, path: path.clone(), expected };
        let queue = if self.costs.is_long(path) { &mut self.long } else { &mut self.short };
        queue.insert((deadline, self.arrivals), work);
        Ok(())
    }

    /// Returns what to do with the next queued request, if a slot is free.
    pub fn next(&mut self, now: Moment) -> Option<Dispatch> {
        if self.running.len() >= self.slots {
            return None;
        }
        // The request with the least slack goes first, so long requests wait
        // until a load peak has passed, but not past their own deadline.
        let slack = |(key, work): (&(Moment, u64), &Work)| key.0 - work.expected;
        let short = self.short.first_key_value().map(slack);
        let long = self.long.first_key_value().map(slack);
        let long = long.filter(|_| self.running_long() < self.long_slots(now));
        let long = long.is_some_and(|l| short.is_none_or(|s| l < s));
        let queue = if long { &mut self.long } else { &mut self.short };
        let ((deadline, _), work) = queue.pop_first()?;
        if now + work.expected > deadline {
            return Some(Dispatch::Expire(work.key));
        }
        let Work { key, path, expected } = work;
        self.running.insert(key, Running { path, long, since: now, expected });
        Some(Dispatch::Start(key))
    }

    /// Frees the slot of a finished request.
    ///
    /// `measured` is false if the elapsed time is not a service time of the path,
    /// as for a request that the backend server refused.
    pub fn done(&mut self, key: &RequestKey, measured: bool, now: Moment) {
        if let Some(work) = self.running.remove(key).filter(|_| measured) {
            self.costs.learn(&work.path, now.since(work.since));
        }
    }

    /// Returns the expected time until a request for `path` queued now completes.
    pub fn completion(&self, path: &Name, now: Moment) -> Duration {
        // The latest possible deadline puts the request behind all that are queued.
        self.wait(path, Moment(u64::MAX), now) + self.costs.expected(path)
    }

    /// Returns the expected time for which a short request queued now waits.
    pub fn backlog(&self, now: Moment) -> Duration {
        self.wait_short(Moment(u64::MAX), now)
    }

    /// Returns the median service time of a request.
    pub fn service_time(&self) -> Duration {
        self.costs.typical()
    }

    fn wait(&self, path: &Name, deadline: Moment, now: Moment) -> Duration {
        if self.costs.is_long(path) {
            self.wait_long(deadline, now)
        } else {
            self.wait_short(deadline, now)
        }
    }

    fn wait_short(&self, deadline: Moment, now: Moment) -> Duration {
        let slots = self.slots - self.running_long().min(self.slots - 1);
        self.wait_in(&self.short, slots, false, deadline, now)
    }

    fn wait_long(&self, deadline: Moment, now: Moment) -> Duration {
        self.wait_in(&self.long, self.max_long_slots(), true, deadline, now)
    }

    fn wait_in(
        &self,
        queue: &Queue,
        slots: usize,
        long: bool,
        deadline: Moment,
        now: Moment,
    ) -> Duration {
        let running = self.running.values().filter(|r| r.long == long);
        let busy = running.clone().count();
        let left: Duration = running.map(|r| r.expected.saturating_sub(now.since(r.since))).sum();
        let ahead: Duration = queue.range(..(deadline, u64::MAX)).map(|(_, w)| w.expected).sum();
        if ahead.is_zero() && busy < slots {
            return Duration::ZERO;
        }
        (left + ahead) / slots as u32
    }

    fn running_long(&self) -> usize {
        self.running.values().filter(|r| r.long).count()
    }

    /// Returns the maximum number of slots for long requests, which leaves one
    /// for short requests if there are at least two slots.
    fn max_long_slots(&self) -> usize {
        (self.slots - 1).max(1)
    }

    /// Returns the number of slots that long requests may hold now: half of all,
    /// or the maximum if the next one must start soon to meet its deadline.
    fn long_slots(&self, now: Moment) -> usize {
        let urgent = |(key, work): (&(Moment, u64), &Work)| now + work.expected * 2 > key.0;
        let urgent = self.long.first_key_value().is_some_and(urgent);
        if urgent { self.max_long_slots() } else { (self.slots / 2).max(1) }
    }
}
