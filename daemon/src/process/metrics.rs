//! Counters and gauges of a process of the CoAP front end.

use std::sync::atomic::AtomicU64;

use lagoonhollow_lib::process::gauges::Gauges;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::value::tally::Tally;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Labels = [(&'static str, String); 1];

/// Counters of refusals, drops and retries by reason.
#[derive(Debug)]
pub struct Reasons(Vec<Counter<u64, AtomicU64>>);

impl Reasons {
    /// Registers a counter for each reason, starting at zero.
    pub fn open(registry: &mut Registry) -> Self {
        let family = Family::<Labels, Counter>::default();
        registry.register("reasons", "Refusals, drops and retries by reason", family.clone());
        let label = |r: Reason| [("reason", r.to_string())];
        Self(Reason::ALL.map(|r| family.get_or_create(&label(r)).clone()).into())
    }

    /// Counts one refusal, drop or retry.
    pub fn count(&self, reason: Reason) {
        self.0[reason as usize].inc();
    }

    /// Adds the counts of a tally, which is emptied.
    pub fn add(&self, tally: &mut Tally) {
        for (reason, count) in tally.drain() {
            self.0[reason as usize].inc_by(count);
        }
    }

    /// Returns the counts that are not zero.
    pub fn nonzero(&self) -> Vec<(Reason, u64)> {
        let counts = Reason::ALL.into_iter().zip(self.0.iter().map(|c| c.get()));
        counts.filter(|(_, n)| *n > 0).collect()
    }
}

/// All metrics of a process; the handles are atomics, so updates take no lock.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    reasons: Reasons,
    /// Packets received from callers.
    pub received: Counter,
    /// Answers and notifications sent to callers.
    pub answered: Counter,
    /// Datagrams sent to other processes for control.
    pub control_sent: Counter,
    /// Bytes sent to other processes for control.
    pub control_bytes: Counter,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Bytes read from the platform.
    pub platform_bytes: Counter,
    /// Version of the manifest in force.
    pub version: Gauge,
    /// Whether the process accepts new work.
    pub ready: Gauge,
    flows: Gauge,
    redirects: Gauge,
    lookups: Gauge,
    channels: Gauge,
    requests: Gauge,
    exchanges: Gauge,
    grants: Gauge,
    recovering: Gauge,
    settled: Gauge,
}

impl Metrics {
    /// Registers the metrics, starting at zero.
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix("lagoonhollow");
        let reasons = Reasons::open(&mut registry);
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let received = counter("received_packets", "Packets taken from callers");
        let answered = counter("answered_packets", "Packets sent to callers");
        let control_sent = counter("control_datagrams", "Control datagrams sent");
        let control_bytes = counter("control_bytes", "Control bytes sent");
        let platform_calls = counter("platform_calls", "Calls to the platform");
        let platform_bytes = counter("platform_bytes", "Bytes read from the platform");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            reasons,
            received,
            answered,
            control_sent,
            control_bytes,
            platform_calls,
            platform_bytes,
            version: gauge("manifest_version", "Version of the manifest in force"),
            ready: gauge("ready", "Whether new work is taken"),
            flows: gauge("flows", "Flows owned"),
            redirects: gauge("redirects", "Flows known to be owned elsewhere"),
            lookups: gauge("lookups", "Flows whose owner is looked for"),
            channels: gauge("channels", "Standing channels served"),
            requests: gauge("requests", "Requests not answered yet"),
            exchanges: gauge("exchanges", "Requests kept for retransmissions"),
            grants: gauge("grants", "Grants remembered as a witness"),
            recovering: gauge("recovering", "Whether new requests are abstained on"),
            settled: gauge("settled", "Whether every peer has told its flows"),
            registry,
        }
    }

    /// Counts one refusal, drop or retry.
    pub fn count(&self, reason: Reason) {
        self.reasons.count(reason);
    }

    /// Adds the counts of a tally, which is emptied.
    pub fn add(&self, tally: &mut Tally) {
        self.reasons.add(tally);
    }

    /// Sets the gauges of an agent.
    pub fn set_gauges(&self, gauges: &Gauges) {
        self.flows.set(gauges.flows as i64);
        self.redirects.set(gauges.redirects as i64);
        self.lookups.set(gauges.lookups as i64);
        self.channels.set(gauges.channels as i64);
        self.requests.set(gauges.requests as i64);
        self.exchanges.set(gauges.exchanges as i64);
        self.grants.set(gauges.grants as i64);
        self.recovering.set(gauges.recovering.into());
        self.settled.set(gauges.settled.into());
    }

    /// Returns an agent's gauges as they were last set.
    pub fn gauges(&self) -> Gauges {
        let number = |g: &Gauge| usize::try_from(g.get()).unwrap_or_default();
        Gauges {
            flows: number(&self.flows),
            redirects: number(&self.redirects),
            lookups: number(&self.lookups),
            channels: number(&self.channels),
            requests: number(&self.requests),
            exchanges: number(&self.exchanges),
            grants: number(&self.grants),
            recovering: self.recovering.get() != 0,
            settled: self.settled.get() != 0,
        }
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
