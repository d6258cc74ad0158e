//! State shared by the control thread and the admin server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use lagoonhollow_lib::process::lifecycle::Lifecycle;
use lagoonhollow_lib::process::lifecycle::Serving;
use lagoonhollow_lib::process::lifecycle::Starting;
use lagoonhollow_lib::process::lifecycle::State as LifeState;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_lib::version::routes::Published;
use lagoonhollow_platform::error::StoreError;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use super::evacuation_log::EvacuationLog;
use super::metrics::PacketMetrics;
use super::settings::PacketSettings;
use super::settings::Role;
use super::traffic_queues::Command;
use crate::process::clock::Clock;
use crate::process::status::ColdStatus;
use crate::process::status::Status;
use crate::version::packet::knowledge::Knowledge;

/// Shared state of a process.
#[derive(Debug)]
pub struct Shared {
    /// Settings that the process was started with.
    pub settings: PacketSettings,
    /// Metrics of the process.
    pub metrics: Arc<PacketMetrics>,
    /// Routes and backend servers that the process knows.
    pub knowledge: Knowledge,
    /// Clock of the process.
    pub clock: Clock,
    /// Notified when another process knows later routes than the watch has returned.
    pub newer_routes: Notify,
    /// Notified when another process knows a later roster than the watch has returned.
    pub newer_members: Notify,
    /// Held while an answer with routes is received, so that a second one does not share
    /// the link with it.
    pub routes_transfer: tokio::sync::Mutex<()>,
    /// Held while an answer with backend servers is received.
    pub members_transfer: tokio::sync::Mutex<()>,
    /// Queue to the traffic thread.
    pub traffic: mpsc::Sender<Command>,
    // Only the control thread and the admin server take this lock.
    state: Mutex<&'static str>,
    evacuations: Mutex<EvacuationLog>,
}

impl Shared {
    /// Opens the shared state of a process that starts.
    pub fn open(
        settings: PacketSettings,
        metrics: Arc<PacketMetrics>,
        clock: Clock,
        traffic: mpsc::Sender<Command>,
    ) -> Self {
        let knowledge = Knowledge::open();
        let state = Mutex::new(Starting::NAME);
        let (newer_routes, newer_members) = (Notify::new(), Notify::new());
        Self {
            settings,
            metrics,
            knowledge,
            clock,
            newer_routes,
            newer_members,
            routes_transfer: tokio::sync::Mutex::default(),
            members_transfer: tokio::sync::Mutex::default(),
            traffic,
            state,
            evacuations: Mutex::default(),
        }
    }

    /// Stores and logs the state that the life cycle has entered.
    pub fn set_state<S: LifeState>(&self, life: &Lifecycle<S>) {
        let state = life.name();
        *self.state.lock().unwrap_or_else(|e| e.into_inner()) = state;
        self.update_readiness();
        spdlog::info!("state", kv: { state, name = self.settings.name.as_str() });
    }

    /// Returns whether the process accepts packets.
    pub fn is_ready(&self) -> bool {
        let state = self.state();
        let view = self.knowledge.view();
        state == Serving::NAME && view.routes.version() > 0 && !view.roster.members().is_empty()
    }

    /// Puts routes in force if they are later; `source` is logged.
    pub fn apply_routes(&self, published: Published, source: &str) {
        let version = published.version;
        if self.knowledge.apply_routes(published) {
            let routes = self.knowledge.view().routes.count();
            spdlog::info!("version_in_force", kv: { version, routes, source });
            self.publish();
        }
        self.metrics.routes.set(self.knowledge.known().routes as i64);
        self.update_readiness();
    }

    /// Publishes changes of backend servers to the traffic thread.
    pub fn publish(&self) {
        self.knowledge.publish(self.clock.now());
        let view = self.knowledge.view();
        self.metrics.roster.set(view.roster.revision().number as i64);
        self.metrics.members.set(view.roster.members().len() as i64);
        self.metrics.evacuations.set(view.evacuations.domains().count() as i64);
        self.lock_evacuations().update(&view.evacuations, self.clock.now());
        self.update_readiness();
    }

    /// Counts a failed read of `what` from the store, and logs the first failure in a
    /// row.
    pub fn store_failed(&self, what: &str, error: &StoreError, failing: &mut bool) {
        self.metrics.store_failures.inc();
        self.metrics.discarded_bytes.inc_by(error.received() as u64);
        self.metrics.count(Reason::PlatformDown);
        if !std::mem::replace(failing, true) {
            spdlog::warn!("store_lost", kv: { what, error: });
        }
    }

    /// Logs and counts that a watch of `what` was given up, since another process knows
    /// later versions than it has returned.
    pub fn watch_abandoned(&self, what: &str) {
        self.metrics.abandoned_watches.inc();
        spdlog::info!("watch_abandoned", kv: { what });
    }

    /// Records the store's epoch; logs if it has changed since the last answer.
    pub fn record_epoch(&self, epoch: u32) {
        let before = self.metrics.epoch.set(epoch.into());
        if before != 0 && before != i64::from(epoch) {
            spdlog::warn!("store_restored", kv: { before, epoch });
        }
    }

    /// Logs that the store answers again after failures.
    pub fn store_recovered(&self, what: &str, failing: &mut bool) {
        if std::mem::take(failing) {
            spdlog::info!("store_regained", kv: { what });
        }
    }

    /// Returns the status that `/status` shows.
    pub fn status(&self) -> Status {
        let role = match self.settings.role {
            Role::Entry => "entry",
            Role::Agent(_) => "agent",
        };
        let number = |n: i64| u64::try_from(n).unwrap_or_default();
        let held = [
            ("flows", number(self.metrics.flows.get())),
            ("records", number(self.metrics.records.get())),
            ("members", number(self.metrics.members.get())),
        ];
        let reasons = self.metrics.reasons();
        let (state, ready) = (self.state(), self.is_ready());
        let (now, view) = (self.clock.now(), self.knowledge.view());
        let cold = self.metrics.cold().map(|(rate, left_ms)| ColdStatus { rate, left_ms });
        let known = view.read_at > Moment::default();
        Status {
            name: self.settings.name.to_string(),
            role: role.to_owned(),
            domain: self.settings.domain.to_string(),
            state: state.to_owned(),
            version: self.knowledge.known().routes,
            ready,
            held: held.map(|(name, n)| (name.to_owned(), n)).into(),
            reasons: reasons.into_iter().map(|(r, n)| (r.to_string(), n)).collect(),
            evacuations: self.lock_evacuations().status(now),
            knowledge_age_ms: known.then(|| now.since(view.read_at).as_millis() as u64),
            cold,
        }
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, EvacuationLog> {
        self.evacuations.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn state(&self) -> &'static str {
        *self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn update_readiness(&self) {
        self.metrics.ready.set(self.is_ready().into());
    }
}
