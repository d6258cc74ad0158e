//! Admin HTTP server: metrics, status and explanations of flows.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::flow::Protocol;
use lagoonhollow_lib::process::flow_location::FlowLocation;
use lagoonhollow_lib::process::lifecycle::Lifecycle;
use lagoonhollow_lib::process::lifecycle::Serving;
use lagoonhollow_lib::process::lifecycle::Starting;
use lagoonhollow_lib::process::lifecycle::State as LifeState;
use ntex::web;
use ntex::web::HttpResponse;
use ntex::web::types::Query;
use ntex::web::types::State;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::metrics::Metrics;
use super::settings::Role;
use super::settings::Settings;
use super::status::Explanation;
use super::status::Status;
use super::traffic_queues::Command;
use crate::version::versions::Versions;

/// Number of ranks in an explanation.
const SHOWN_RANKS: usize = 4;
/// Time limit for the traffic thread's part of an explanation.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by the admin server and the control thread.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Versions of the manifest.
    pub versions: Versions,
    /// Queue to the first traffic thread.
    pub traffic: mpsc::Sender<Command>,
    // Only the control thread and the admin server take this lock.
    state: Mutex<&'static str>,
}

impl Shared {
    /// Opens the shared state of a process that starts.
    pub fn open(
        settings: Settings,
        metrics: Arc<Metrics>,
        versions: Versions,
        traffic: mpsc::Sender<Command>,
    ) -> Self {
        Self { settings, metrics, versions, traffic, state: Mutex::new(Starting::NAME) }
    }

    /// Stores and logs the state that the life cycle has entered.
    pub fn set_state<S: LifeState>(&self, life: &Lifecycle<S>) {
        let state = life.name();
        *self.state.lock().unwrap_or_else(|e| e.into_inner()) = state;
        self.metrics.ready.set((state == Serving::NAME).into());
        spdlog::info!("state", kv: { state });
    }

    /// Returns the status that `/status` shows.
    pub fn status(&self) -> Status {
        let role = match self.settings.role {
            Role::Entry { .. } => "entry",
            Role::Agent { .. } => "agent",
        };
        let gauges = self.metrics.gauges();
        let held = [
            ("flows", gauges.flows),
            ("redirects", gauges.redirects),
            ("lookups", gauges.lookups),
            ("channels", gauges.channels),
            ("requests", gauges.requests),
            ("exchanges", gauges.exchanges),
            ("grants", gauges.grants),
            ("recovering", gauges.recovering.into()),
            ("settled", gauges.settled.into()),
        ];
        let state = *self.state.lock().unwrap_or_else(|e| e.into_inner());
        let version = self.versions.number();
        let reasons = self.metrics.reasons();
        Status {
            name: self.settings.name.to_string(),
            role: role.to_owned(),
            domain: self.settings.domain.to_string(),
            state: state.to_owned(),
            version,
            ready: state == Serving::NAME && version > 0,
            observer: false,
            confirmed_by: None,
            confirmation_ms: None,
            held: held.map(|(name, n)| (name.to_owned(), n as u64)).into(),
            reasons: reasons.into_iter().map(|(r, n)| (r.to_string(), n)).collect(),
            evacuations: Vec::new(),
            cold: None,
        }
    }

    async fn explain(&self, flow: FlowKey) -> Explanation {
        let location = self.query_traffic(flow).await;
        let manifest = self.versions.current();
        let service = manifest.as_ref().and_then(|m| m.route(flow.service));
        let ranks = service.map(|s| s.membership.ranks(flow.hash(), SHOWN_RANKS));
        let ranks: Vec<_> = ranks.into_iter().flatten().map(|b| b.name.to_string()).collect();
        let home = ranks.first().cloned();
        let owner = location.as_ref().and_then(|l| l.owner.as_ref());
        let reason = match (&home, owner, &location) {
            (None, _, _) => "no service holds the address".to_owned(),
            (Some(home), Some(o), _) if o.owner.as_str() == home => {
                format!("{home} has the first rank and owns the flow")
            }
            (Some(home), Some(o), _) => format!(
                "{home} has the first rank; {} has owned the flow since {} us, {} moves",
                o.owner, o.placed_at, o.moves
            ),
            (Some(home), None, Some(_)) => {
                format!("{home} has the first rank; this agent knows no owner")
            }
            (Some(home), None, None) => {
                format!("{home} has the first rank; an entry keeps no flows, so ask its agent")
            }
        };
        Explanation {
            flow: format!("{} {}", flow.caller, flow.service),
            version: self.versions.number(),
            service: service.map(|s| s.doc.service.to_string()),
            ranks,
            owner: owner.map(|o| o.owner.to_string()),
            reason,
        }
    }

    async fn query_traffic(&self, flow: FlowKey) -> Option<FlowLocation> {
        if !matches!(self.settings.role, Role::Agent { .. }) {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        self.traffic.try_send(Command::Explain { flow, reply }).ok()?;
        tokio::time::timeout(EXPLAIN_TIMEOUT, answer).await.ok()?.ok()
    }
}

/// Query of `/explain`: the flow's addresses.
#[derive(Clone, Copy, Debug, Deserialize)]
struct FlowQuery {
    caller: SocketAddr,
    service: SocketAddr,
}

/// Binds and starts the admin server of a process.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(shared: Arc<Shared>) -> io::Result<()> {
    let address = shared.settings.admin;
    let app = async move || {
        web::App::new()
            .state(shared.clone())
            .service(web::resource("/metrics").route(web::get().to(metrics)))
            .service(web::resource("/status").route(web::get().to(status)))
            .service(web::resource("/explain").route(web::get().to(explain)))
    };
    web::server(app).workers(1).disable_signals().bind(address)?.run();
    Ok(())
}

async fn metrics(shared: State<Arc<Shared>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(shared.metrics.text())
}

async fn status(shared: State<Arc<Shared>>) -> HttpResponse {
    HttpResponse::Ok().json(&shared.status())
}

async fn explain(shared: State<Arc<Shared>>, query: Query<FlowQuery>) -> HttpResponse {
    let FlowQuery { caller, service } = *query;
    let flow = FlowKey { protocol: Protocol::Udp, caller, service };
    HttpResponse::Ok().json(&shared.explain(flow).await)
}
