//! State shared by the control thread and the admin server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;

use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::process::lifecycle::Lifecycle;
use lagoonhollow_lib::process::lifecycle::Serving;
use lagoonhollow_lib::process::lifecycle::Starting;
use lagoonhollow_lib::process::lifecycle::State as LifeState;
use lagoonhollow_lib::process::observers::Observers;
use lagoonhollow_lib::process::view::View;
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
    /// Notified when this process becomes an observer or ceases to be one.
    pub role_changed: Notify,
    /// Held while an answer with operators' orders is received, so that a second one does not share
    /// the link with it.
    pub orders_transfer: tokio::sync::Mutex<()>,
    /// Held while an answer with backend servers is received.
    pub members_transfer: tokio::sync::Mutex<()>,
    /// Queue to the traffic thread.
    pub traffic: mpsc::Sender<Command>,
    // Notified when another process knows later versions than the watch has returned.
    newer_orders: Notify,
    newer_members: Notify,
    observes: AtomicBool,
    confirmed: AtomicBool,
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
        let knowledge = Knowledge::open(settings.drain_limit, clock.incarnation().0);
        let state = Mutex::new(Starting::NAME);
        let (newer_orders, newer_members) = (Notify::new(), Notify::new());
        Self {
            settings,
            metrics,
            knowledge,
            clock,
            role_changed: Notify::new(),
            orders_transfer: tokio::sync::Mutex::default(),
            members_transfer: tokio::sync::Mutex::default(),
            traffic,
            newer_orders,
            newer_members,
            observes: AtomicBool::new(false),
            confirmed: AtomicBool::new(false),
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

    /// Returns whether the process accepts packets: it knows the routes, the evacuations and
    /// some backend server.
    pub fn is_ready(&self) -> bool {
        let state = self.state();
        let view = self.knowledge.view();
        let known = view.routes.version() > 0 && view.evacuations.is_known();
        state == Serving::NAME && known && !view.roster.members().is_empty()
    }

    /// Returns whether the process is an observer of the store.
    pub fn observes(&self) -> bool {
        self.observes.load(Relaxed)
    }

    /// Returns what is notified when another process has long known a later version of `part`
    /// than the watch has returned.
    pub fn newer(&self, part: Part) -> &Notify {
        match part {
            Part::Orders => &self.newer_orders,
            Part::Members => &self.newer_members,
        }
    }

    /// Returns the lock that is held while an answer with `part` is received.
    pub fn transfer(&self, part: Part) -> &tokio::sync::Mutex<()> {
        match part {
            Part::Orders => &self.orders_transfer,
            Part::Members => &self.members_transfer,
        }
    }

    /// Puts routes in force if they are later; `source` is logged.
    pub fn apply_routes(&self, published: Published, source: &str) {
        let version = published.version;
        if self.knowledge.apply_routes(published) {
            let (in_force, first) = {
                let routes = self.knowledge.view().routes;
                (routes.count(), routes.first_version())
            };
            spdlog::info!("version_in_force", kv: { version, first, routes = in_force, source });
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
        self.update_role(&view);
        self.update_confirmation(&view);
        self.metrics.evacuations.set(view.evacuations.domains().count() as i64);
        self.lock_evacuations().update(&view.evacuations, self.clock.now());
        self.update_readiness();
    }

    /// Determines whether the process is an observer.
    fn update_role(&self, view: &View) {
        let link = self.settings.advertised;
        let agent = matches!(self.settings.role, Role::Agent(_));
        let observer = agent && Observers::of(&view.roster, link.port()).include(link);
        if self.observes.swap(observer, Relaxed) != observer {
            self.metrics.observer.set(observer.into());
            self.role_changed.notify_waiters();
            spdlog::info!("role", kv: { observer });
        }
    }

    /// Shows what confirms the process's knowledge; logs if that begins or ends.
    fn update_confirmation(&self, view: &View) {
        let age_ms = self.clock.now().since(view.read_at).as_millis() as u64;
        let Some((by, _)) = self.knowledge.confirmation() else { return };
        self.metrics.confirmation_age.set(age_ms as i64);
        let confirmed = view.fresh || view.partial;
        if self.confirmed.swap(confirmed, Relaxed) != confirmed {
            spdlog::info!("confirmation", kv: { confirmed, by:, age_ms });
        }
    }

    /// Counts a failed read of `what` from the store, and logs the first failure in a
    /// row.
    pub fn store_failed(&self, what: Part, error: &StoreError, failing: &mut bool) {
        self.metrics.store_failures.inc();
        self.metrics.discarded_bytes.inc_by(error.received() as u64);
        self.metrics.count(Reason::PlatformDown);
        if !std::mem::replace(failing, true) {
            spdlog::warn!("store_lost", kv: { what:, error: });
        }
    }

    /// Logs and counts that a watch of `what` was given up, since another process knows
    /// later versions than it has returned.
    pub fn watch_abandoned(&self, what: Part) {
        self.metrics.abandoned_watches.inc();
        spdlog::info!("watch_abandoned", kv: { what: });
    }

    /// Records the store's epoch; logs if it has changed since the last answer.
    pub fn record_epoch(&self, epoch: u32) {
        let before = self.metrics.epoch.set(epoch.into());
        if before != 0 && before != i64::from(epoch) {
            spdlog::warn!("store_restored", kv: { before, epoch });
        }
    }

    /// Logs that the store answers again after failures.
    pub fn store_recovered(&self, what: Part, failing: &mut bool) {
        if std::mem::take(failing) {
            spdlog::info!("store_regained", kv: { what: });
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
        let confirmation = self.knowledge.confirmation();
        let now = self.clock.now();
        let cold = self.metrics.cold().map(|(rate, left_ms)| ColdStatus { rate, left_ms });
        Status {
            name: self.settings.name.to_string(),
            role: role.to_owned(),
            domain: self.settings.domain.to_string(),
            state: state.to_owned(),
            version: self.knowledge.known().routes,
            ready,
            observer: self.observes(),
            confirmed_by: confirmation.map(|(by, _)| by.to_string()),
            confirmation_ms: confirmation.map(|(_, at)| now.since(at).as_millis() as u64),
            held: held.map(|(name, n)| (name.to_owned(), n)).into(),
            reasons: reasons.into_iter().map(|(r, n)| (r.to_string(), n)).collect(),
            evacuations: self.lock_evacuations().status(now),
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
