//! Counters, gauges and histograms of a process of the packet front end.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use lagoonhollow_lib::front::packet::action::Phase;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::value::tally::Tally;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::process::metrics::Reasons;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 9] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0];

/// All metrics of a process; the handles are atomics, so updates take no lock.
#[derive(Debug)]
pub struct PacketMetrics {
    registry: Registry,
    reasons: Reasons,
    /// Packets received from callers or from the backend server.
    pub received: Counter,
    /// Packets sent to callers or to the backend server.
    pub sent: Counter,
    /// TCP resets sent to callers.
    pub resets: Counter,
    /// Messages with a packet sent to other processes.
    pub forwarded: Counter,
    /// Messages without a packet sent to other processes.
    pub control_sent: Counter,
    /// Bytes of messages without a packet sent to other processes.
    pub control_bytes: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Bytes read from the store.
    pub store_bytes: Counter,
    /// Reads of other processes' knowledge.
    pub pulls: Counter,
    /// Watches given up because another process knew later versions.
    pub abandoned_watches: Counter,
    /// Bytes of answers that were given up before they were complete.
    pub discarded_bytes: Counter,
    /// Version of the routes in force.
    pub routes: Gauge,
    /// Revision of the roster.
    pub roster: Gauge,
    /// Epoch of the store.
    pub epoch: Gauge,
    /// Registered backend servers.
    pub members: Gauge,
    /// Whether the process observes the store for the others.
    pub observer: Gauge,
    /// Time in milliseconds since a change of the store may be missing.
    pub confirmation_age: Gauge,
    /// Whether packets are accepted.
    pub ready: Gauge,
    /// Flows whose owner is remembered, or that are served.
    pub flows: Gauge,
    /// Flows that this process records as their home.
    pub records: Gauge,
    /// Evacuated failure domains.
    pub evacuations: Gauge,
    // Time in milliseconds for which the backend server is still cold and limited.
    cold: Gauge,
    // Requests a second that it bears meanwhile.
    warm_up_rate: Gauge<f64, AtomicU64>,
    opening: Histogram,
    held: Histogram,
    service: Histogram,
}

impl PacketMetrics {
    /// Registers the metrics, starting at zero.
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("lagoonhollow");
        let reasons = Reasons::open(&mut registry);
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let received = counter("received_packets", "Packets taken from callers or backend server");
        let sent = counter("sent_packets", "Packets sent to callers or backend server");
        let resets = counter("resets", "Resets sent to callers");
        let forwarded = counter("passed_packets", "Packets passed to other processes");
        let control_sent = counter("control_datagrams", "Control datagrams sent");
        let control_bytes = counter("control_bytes", "Control bytes sent");
        let store_calls = counter("store_calls", "Calls to the store");
        let store_failures = counter("store_failures", "Calls to the store that failed");
        let store_bytes = counter("store_bytes", "Bytes read from the store");
        let pulls = counter("pulls", "Reads from other processes");
        let abandoned_watches = counter("abandoned_watches", "Watches given up for a later peer");
        let discarded_bytes = counter("discarded_bytes", "Bytes of answers that were given up");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let routes = gauge("routes_version", "Version of the routes in force");
        let roster = gauge("roster_revision", "Revision of the roster");
        let epoch = gauge("store_epoch", "How often the store came back from an older copy");
        let members = gauge("members", "Registered backend servers");
        let observer = gauge("observer", "Whether the process observes the store for others");
        let confirmation_age =
            gauge("confirmation_age_ms", "Time since a change of the store may be missing");
        let ready = gauge("ready", "Whether packets are taken");
        let flows = gauge("flows", "Flows remembered or served");
        let records = gauge("records", "Flows recorded as their home");
        let evacuations = gauge("evacuations", "Evacuated failure domains");
        let cold = gauge("cold_milliseconds", "Time for which the backend server is still cold");
        let warm_up_rate = Gauge::default();
        let help = "Requests a second that the cold backend server bears";
        registry.register("warm_up_rate", help, warm_up_rate.clone());
        let mut histogram = |name: &str, help: &str| {
            let histogram = Histogram::new(BUCKETS);
            registry.register(name, help, histogram.clone());
            histogram
        };
        let opening = histogram("opening_seconds", "Time from an opening packet to its answer");
        let held = histogram("held_seconds", "Time that a request waited for a slot");
        let service = histogram("service_seconds", "Time from its slot to the first answer");
        Self {
            registry,
            reasons,
            received,
            sent,
            resets,
            forwarded,
            control_sent,
            control_bytes,
            store_calls,
            store_failures,
            store_bytes,
            pulls,
            abandoned_watches,
            discarded_bytes,
            routes,
            roster,
            epoch,
            members,
            observer,
            confirmation_age,
            ready,
            flows,
            records,
            evacuations,
            cold,
            warm_up_rate,
            opening,
            held,
            service,
        }
    }

    /// Counts one refusal, drop or retry.
    pub fn count(&self, reason: Reason) {
        self.reasons.count(reason);
    }

    /// Records the duration of a phase.
    pub fn observe(&self, phase: Phase, took: Duration) {
        let histogram = match phase {
            Phase::Opening => &self.opening,
            Phase::Held => &self.held,
            Phase::Service => &self.service,
        };
        histogram.observe(took.as_secs_f64());
    }

    /// Records the rate that the backend server bears and how long it is still cold, if it is.
    pub fn set_cold(&self, cold: Option<(f64, Duration)>) {
        let (rate, left) = cold.unwrap_or_default();
        self.warm_up_rate.set(rate);
        self.cold.set(left.as_millis() as i64);
    }

    /// Returns the rate that the backend server bears and the time in milliseconds for which
    /// it is still cold, if it is.
    pub fn cold(&self) -> Option<(f64, u64)> {
        let left = u64::try_from(self.cold.get()).ok().filter(|ms| *ms > 0)?;
        Some((self.warm_up_rate.get(), left))
    }

    /// Adds the counts of a tally, which is emptied.
    pub fn add(&self, tally: &mut Tally) {
        self.reasons.add(tally);
    }

    /// Returns the counts per reason that are not zero.
    pub fn reasons(&self) -> Vec<(Reason, u64)> {
        self.reasons.nonzero()
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
