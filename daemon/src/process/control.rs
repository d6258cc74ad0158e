//! The control thread of the CoAP front end: manifest versions, control
//! connections, the platform and admin HTTP.

use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::process::lifecycle::Draining;
use lagoonhollow_lib::process::lifecycle::Lifecycle;
use lagoonhollow_lib::process::lifecycle::Stopped;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_wire::control::ControlCall;
use lagoonhollow_wire::control::ControlReply;
use ntex::client::Client;
use ntex::rt::spawn;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::admin;
use super::admin::Shared;
use super::clock::Clock;
use super::report_handler::ReportHandler;
use super::settings::Role;
use super::traffic_queues::Command;
use super::traffic_queues::Report;
use crate::connection::control_endpoint;
use crate::connection::control_endpoint::ControlEndpoint;
use crate::connection::control_endpoint::EndpointError;
use crate::connection::link::unseal;
use crate::request::health;
use crate::request::health::HealthState;
use crate::version::platform::Platform;
use crate::version::watch;

/// Time beyond the drain time after which a planned stop no longer waits for
/// traffic threads.
const DRAIN_SLACK: Duration = Duration::from_secs(2);
/// Longest time between two reads of the list of live VMs; the shortest is half
/// of it.
const LIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Pause between two queries of the backend server's health.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
/// Unanswered queries in a row after which the backend server gets no new work.
const HEALTH_MISSES: u32 = 4;

/// Arguments of the control thread.
pub struct Options {
    /// State shared with the admin server.
    pub shared: Arc<Shared>,
    /// Queues to the traffic threads.
    pub traffic: Vec<mpsc::Sender<Command>>,
    /// Reports of the traffic threads.
    pub reports: mpsc::Receiver<Report>,
    /// Resolves once a planned stop is requested.
    pub stop: oneshot::Receiver<()>,
    /// The process's clock.
    pub clock: Clock,
    /// Receives the result of the start.
    pub started: std::sync::mpsc::Sender<Result<(), String>>,
}

/// Runs the control thread until a planned stop is complete.
pub async fn run(options: Options) {
    let Options { shared, traffic, mut reports, mut stop, started, clock } = options;
    let life = Lifecycle::open(clock.now());
    shared.set_state(&life);
    let settings = shared.settings.clone();
    let control = match bind_endpoints(&shared).await {
        Ok(control) => control,
        Err(problem) => {
            let _ = started.send(Err(problem));
            return;
        }
    };
    let _ = started.send(Ok(()));
    let life = life.recover(clock.now());
    shared.set_state(&life);
    let versions = shared.versions.clone();
    let metrics = shared.metrics.clone();
    spawn(accept(control.clone(), shared.clone(), traffic.clone()));
    watch::pull_from_peers(&control, &settings.peers, &versions, &metrics, settings.start_wait)
        .await;
    let platform = Platform::open(&settings.platform, metrics.clone()).await;
    spawn(watch::follow(platform.clone(), versions, metrics));
    if let Role::Agent { health, .. } = &settings.role {
        spawn(poll_live_vms(platform, shared.clone(), traffic.clone()));
        if let Some(url) = health.clone() {
            spawn(poll_health(url, traffic.clone()));
        }
    }
    let life = life.serve(clock.now());
    shared.set_state(&life);
    let mut handler = ReportHandler::open(control.clone(), shared.clone(), traffic.len());
    loop {
        tokio::select! {
            Some(report) = reports.recv() => handler.handle(report),
            // A dropped sender is a request to stop as well.
            _ = &mut stop => break,
        }
    }
    let life = life.drain(clock.now(), settings.drain + DRAIN_SLACK);
    shared.set_state(&life);
    for queue in &traffic {
        let _ = queue.send(Command::Drain).await;
    }
    let life = wait_drained(life, &mut reports, &mut handler, clock).await;
    shared.set_state(&life);
    control.close();
}

/// Waits until all traffic threads have drained or the deadline has passed.
async fn wait_drained(
    mut life: Lifecycle<Draining>,
    reports: &mut mpsc::Receiver<Report>,
    handler: &mut ReportHandler,
    clock: Clock,
) -> Lifecycle<Stopped> {
    loop {
        life = match life.finish(clock.now(), handler.running()) {
            Ok(life) => return life,
            Err(life) => life,
        };
        if let Ok(Some(report)) = tokio::time::timeout(DRAIN_SLACK, reports.recv()).await {
            handler.handle(report);
        }
    }
}

async fn bind_endpoints(shared: &Arc<Shared>) -> Result<ControlEndpoint, String> {
    let settings = &shared.settings;
    let control =
        ControlEndpoint::bind(settings.control, &settings.key).map_err(|e| e.to_string())?;
    admin::bind(shared.clone()).map_err(|e| format!("can't bind {}: {e}", settings.admin))?;
    Ok(control)
}

async fn accept(
    control: ControlEndpoint,
    shared: Arc<Shared>,
    traffic: Vec<mpsc::Sender<Command>>,
) {
    while let Some(incoming) = control.accept().await {
        let shared = shared.clone();
        let traffic = traffic.clone();
        spawn(async move {
            let handle = async |call| handle_call(&shared, &traffic, call);
            match control_endpoint::serve(incoming, handle).await {
                Ok(()) => {}
                Err(EndpointError::Untrusted(error)) => {
                    shared.metrics.count(Reason::Forged);
                    spdlog::warn!("connection_refused", kv: { error });
                }
                Err(error) => {
                    shared.metrics.count(Reason::PeerUnreachable);
                    spdlog::debug!("connection_failed", kv: { error: });
                }
            }
        });
    }
}

fn handle_call(
    shared: &Shared,
    traffic: &[mpsc::Sender<Command>],
    call: ControlCall,
) -> ControlReply {
    match call {
        ControlCall::Pull { known } => shared.versions.delta_since(known),
        ControlCall::Deliver { sealed } => {
            match unseal(&shared.settings.key, &shared.settings.name, &sealed) {
                Ok(envelope) => broadcast(shared, traffic, || Command::Envelope(envelope.clone())),
                Err(reason) => shared.metrics.count(reason),
            }
            ControlReply::Done
        }
    }
}

fn broadcast(shared: &Shared, traffic: &[mpsc::Sender<Command>], command: impl Fn() -> Command) {
    for queue in traffic {
        if queue.try_send(command()).is_err() {
            shared.metrics.count(Reason::ChannelFull);
        }
    }
}

async fn poll_live_vms(
    platform: Platform,
    shared: Arc<Shared>,
    traffic: Vec<mpsc::Sender<Command>>,
) {
    loop {
        sleep(LIVE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        let service = shared.versions.current().and_then(|m| {
            let service = m.service_of(&shared.settings.name)?;
            Some(service.doc.service.clone())
        });
        let Some(service) = service else { continue };
        match platform.live(&service).await {
            Ok(list) => broadcast(&shared, &traffic, || Command::LiveVms(list.clone())),
            Err(_) => shared.metrics.count(Reason::PlatformDown),
        }
    }
}

async fn poll_health(url: String, traffic: Vec<mpsc::Sender<Command>>) {
    let client = Client::new().await;
    let mut misses = 0;
    loop {
        match health::query(&client, &url).await {
            Some(answer) => {
                misses = 0;
                let leaving = answer.state == HealthState::Draining;
                let cold = answer.state == HealthState::Cold;
                for queue in &traffic {
                    let _ = queue.try_send(Command::Health { leaving, cold });
                }
            }
            None => {
                misses += 1;
                if misses == HEALTH_MISSES {
                    spdlog::warn!("backend_silent");
                    for queue in &traffic {
                        let _ = queue.try_send(Command::Health { leaving: true, cold: false });
                    }
                }
            }
        }
        sleep(HEALTH_INTERVAL).await;
    }
}
