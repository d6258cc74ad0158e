//! The control thread: versions, control connections, the platform, admin HTTP.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::process::reason::Reason;
use lagoonhollow_wire::control::Call;
use lagoonhollow_wire::control::Return;
use ntex::client::Client;
use ntex::rt::spawn;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::admin;
use super::admin::Shared;
use super::bridge::Command;
use super::bridge::Report;
use super::settings::Role;
use crate::connection::endpoint;
use crate::connection::endpoint::Control;
use crate::connection::endpoint::EndpointError;
use crate::connection::link::unseal;
use crate::request::health;
use crate::request::health::HealthState;
use crate::version::platform::Platform;
use crate::version::watch;

/// Time between two reads of the live list.
const LIVE: Duration = Duration::from_secs(30);
/// Time between two questions for the backend server's health.
const HEALTH: Duration = Duration::from_millis(500);
/// Questions without answer after which the backend server takes no new work.
const HEALTH_MISSES: u32 = 4;

/// What the control thread works with.
pub struct Options {
    /// What the process's threads share.
    pub shared: Arc<Shared>,
    /// The queues to the traffic threads.
    pub traffic: Vec<mpsc::Sender<Command>>,
    /// The reports of the traffic threads.
    pub reports: mpsc::Receiver<Report>,
    /// The order for a planned stop.
    pub stop: oneshot::Receiver<()>,
    /// Where the result of the start goes.
    pub started: std::sync::mpsc::Sender<Result<(), String>>,
}

/// Runs the control thread until a planned stop is complete.
pub async fn run(options: Options) {
    let Options { shared, traffic, mut reports, stop, started } = options;
    let settings = shared.settings.clone();
    let control = match open(&shared).await {
        Ok(control) => control,
        Err(problem) => {
            let _ = started.send(Err(problem));
            return;
        }
    };
    let _ = started.send(Ok(()));
    let versions = shared.versions.clone();
    let metrics = shared.metrics.clone();
    spawn(accept(control.clone(), shared.clone(), traffic.clone()));
    watch::ask_peers(&control, &settings.peers, &versions, &metrics, settings.start_wait).await;
    let platform = Platform::open(&settings.platform, metrics.clone()).await;
    spawn(watch::follow(platform.clone(), versions, metrics));
    if let Role::Agent { health, .. } = &settings.role {
        spawn(read_live(platform, shared.clone(), traffic.clone()));
        if let Some(url) = health.clone() {
            spawn(ask_health(url, traffic.clone()));
        }
    }
    shared.set_state("serving");
    spawn(drain(stop, shared.clone(), traffic.clone()));
    carry(&mut reports, &control, &shared, traffic.len()).await;
    shared.set_state("stopped");
    control.close();
    spdlog::info!("stopped");
}

async fn open(shared: &Arc<Shared>) -> Result<Control, String> {
    let settings = &shared.settings;
    let control = Control::bind(settings.control, &settings.key).map_err(|e| e.to_string())?;
    admin::bind(shared.clone()).map_err(|e| format!("can't bind {}: {e}", settings.admin))?;
    shared.set_state("starting");
    Ok(control)
}

async fn accept(control: Control, shared: Arc<Shared>, traffic: Vec<mpsc::Sender<Command>>) {
    while let Some(incoming) = control.accept().await {
        let shared = shared.clone();
        let traffic = traffic.clone();
        spawn(async move {
            let answer = async |call| answer(&shared, &traffic, call);
            match endpoint::serve(incoming, answer).await {
                Ok(()) => {}
                Err(EndpointError::Stranger(error)) => {
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

fn answer(shared: &Shared, traffic: &[mpsc::Sender<Command>], call: Call) -> Return {
    match call {
        Call::Pull { have } => shared.versions.difference(have),
        Call::Deliver { sealed } => {
            match unseal(&shared.settings.key, &shared.settings.name, &sealed) {
                Ok(envelope) => tell(shared, traffic, || Command::Envelope(envelope.clone())),
                Err(reason) => shared.metrics.count(reason),
            }
            Return::Done
        }
    }
}

fn tell(shared: &Shared, traffic: &[mpsc::Sender<Command>], command: impl Fn() -> Command) {
    for queue in traffic {
        if queue.try_send(command()).is_err() {
            shared.metrics.count(Reason::ChannelFull);
        }
    }
}

/// Carries the traffic threads' reports until all of them have drained.
async fn carry(
    reports: &mut mpsc::Receiver<Report>,
    control: &Control,
    shared: &Arc<Shared>,
    threads: usize,
) {
    let pulling = Rc::new(Cell::new(false));
    let mut drained = 0;
    while let Some(report) = reports.recv().await {
        match report {
            Report::Bulk { control: peer, sealed } => {
                shared.metrics.control_bytes.inc_by(sealed.len() as u64);
                let (control, shared) = (control.clone(), shared.clone());
                spawn(async move {
                    if control.call(peer, &Call::Deliver { sealed }).await.is_err() {
                        shared.metrics.count(Reason::PeerUnreachable);
                    }
                });
            }
            // One pull at a time is enough: the sender keeps showing its version.
            Report::Newer(peer) if !pulling.replace(true) => {
                let (control, shared) = (control.clone(), shared.clone());
                let pulling = pulling.clone();
                spawn(async move {
                    watch::pull(&control, peer, &shared.versions, &shared.metrics).await;
                    pulling.set(false);
                });
            }
            Report::Newer(_) => {}
            Report::Drained => drained += 1,
        }
        if drained == threads {
            return;
        }
    }
}

async fn drain(
    stop: oneshot::Receiver<()>,
    shared: Arc<Shared>,
    traffic: Vec<mpsc::Sender<Command>>,
) {
    // A dropped sender is an order to stop as well.
    let _ = stop.await;
    shared.set_state("draining");
    spdlog::info!("draining");
    for queue in &traffic {
        let _ = queue.send(Command::Drain).await;
    }
}

async fn read_live(platform: Platform, shared: Arc<Shared>, traffic: Vec<mpsc::Sender<Command>>) {
    loop {
        sleep(LIVE.mul_f64(rand::rng().random_range(0.5..1.0))).await;
        let service = shared.versions.current().and_then(|m| {
            let service = m.service_of(&shared.settings.name)?;
            Some(service.doc.service.clone())
        });
        let Some(service) = service else { continue };
        match platform.live(&service).await {
            Ok(list) => tell(&shared, &traffic, || Command::Live(list.clone())),
            Err(_) => shared.metrics.count(Reason::PlatformDown),
        }
    }
}

async fn ask_health(url: String, traffic: Vec<mpsc::Sender<Command>>) {
    let client = Client::new().await;
    let mut misses = 0;
    loop {
        match health::ask(&client, &url).await {
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
        sleep(HEALTH).await;
    }
}
