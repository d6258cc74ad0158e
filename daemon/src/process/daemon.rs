//! Starting and stopping of the CoAP front end's threads.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_lib::value::name::Name;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::admin::Shared;
use super::clock::Clock;
use super::control;
use super::metrics::Metrics;
use super::settings::Role;
use super::settings::Settings;
use super::traffic_queues::QUEUE_CAPACITY;
use super::traffic_queues::Report;
use super::traffic_queues::TrafficOptions;
use super::traffic_queues::TrafficQueues;
use crate::connection::agent;
use crate::connection::entry;
use crate::connection::link::Link;
use crate::request::backend_socket::BackendSocket;
use crate::version::versions::Versions;

/// Why a process could not be started.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A thread could not be started.
    #[display("can't start a thread: {_0}")]
    Thread(std::io::Error),
    /// An address could not be bound.
    #[display("{_0}")]
    Bind(#[error(not(source))] String),
}

/// A running process of the CoAP front end.
#[derive(Debug)]
pub struct Daemon {
    name: Name,
    shared: Arc<Shared>,
    stop: Option<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts the process that `settings` describe and returns once its
    /// addresses are bound.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started or an address can't be
    /// bound.
    pub fn spawn(settings: Settings) -> Result<Self, StartError> {
        let name = settings.name.clone();
        let metrics = Arc::new(Metrics::open());
        let versions = Versions::open(metrics.clone());
        let clock = Clock::open();
        let (reports, report_queue) = mpsc::channel(QUEUE_CAPACITY);
        let count = match settings.role {
            Role::Entry { threads } => threads as usize,
            Role::Agent { .. } => 1,
        };
        let mut queues = Vec::new();
        let mut threads = Vec::new();
        for index in 0..count {
            let (queue, commands) = mpsc::channel(QUEUE_CAPACITY);
            queues.push(queue);
            let traffic =
                TrafficQueues { commands, reports: reports.clone(), current: versions.subscribe() };
            threads.push(spawn_traffic(&settings, index, clock, metrics.clone(), traffic)?);
        }
        let shared = Arc::new(Shared::open(settings, metrics, versions, queues[0].clone()));
        let (stop, stopped) = oneshot::channel();
        let (started, result) = std::sync::mpsc::channel();
        let options = control::Options {
            shared: shared.clone(),
            traffic: queues,
            reports: report_queue,
            stop: stopped,
            clock,
            started,
        };
        threads.push(spawn_control(name.clone(), options)?);
        match result.recv() {
            Ok(Ok(())) => Ok(Self { name, shared, stop: Some(stop), threads }),
            Ok(Err(problem)) => Err(StartError::Bind(problem)),
            Err(_) => Err(StartError::Bind("the control thread ended".to_owned())),
        }
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the status that `/status` shows.
    pub fn status(&self) -> super::status::Status {
        self.shared.status()
    }

    /// Returns the number of control bytes sent to other processes.
    pub fn control_bytes(&self) -> u64 {
        self.shared.metrics.control_bytes.get()
    }

    /// Starts a planned stop without waiting for it.
    pub fn drain(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Starts a planned stop if none has started, and waits until all threads have
    /// ended.
    pub fn join(mut self) {
        self.drain();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                spdlog::error!("thread_panicked", kv: { process = self.name.as_str() });
            }
        }
    }
}

fn spawn_control(name: Name, options: control::Options) -> Result<JoinHandle<()>, StartError> {
    let system = move || {
        let system = ntex::rt::System::new(name.as_str(), ntex::rt::DefaultRuntime);
        system.block_on(control::run(options));
    };
    thread::Builder::new().name("control".to_owned()).spawn(system).map_err(StartError::Thread)
}

/// Starts a traffic thread and returns once its link is bound.
fn spawn_traffic(
    settings: &Settings,
    index: usize,
    clock: Clock,
    metrics: Arc<Metrics>,
    traffic: TrafficQueues,
) -> Result<JoinHandle<()>, StartError> {
    let settings = settings.clone();
    let (bound, result) = std::sync::mpsc::channel();
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        let local = tokio::task::LocalSet::new();
        let ended = local.block_on(&runtime, async {
            // Only the first thread binds the configured port. Answers return to
            // the address that a packet was sent from, so any port does for the
            // others.
            let mut address = settings.link;
            if index > 0 {
                address.set_port(0);
            }
            let (name, run) = (settings.name.clone(), clock.incarnation());
            let key = settings.key.clone();
            let link = match Link::bind(address, name, run, key, metrics.clone()).await {
                Ok(link) => link,
                Err(e) => {
                    let _ = bound.send(Err(format!("can't bind {address}: {e}")));
                    return Ok(());
                }
            };
            let _ = bound.send(Ok(()));
            run_traffic(settings, link, clock, metrics, traffic).await
        });
        if let Err(error) = ended {
            spdlog::error!("traffic_failed", kv: { error: });
        }
    };
    let thread = thread::Builder::new().name(format!("traffic-{index}")).spawn(body);
    let thread = thread.map_err(StartError::Thread)?;
    match result.recv() {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(problem)) => Err(StartError::Bind(problem)),
        Err(_) => Err(StartError::Bind("a traffic thread ended".to_owned())),
    }
}

async fn run_traffic(
    settings: Settings,
    link: Link,
    clock: Clock,
    metrics: Arc<Metrics>,
    traffic: TrafficQueues,
) -> std::io::Result<()> {
    let (name, run) = (settings.name, clock.incarnation());
    let (control, drain) = (settings.control, settings.drain);
    let reports = traffic.reports.clone();
    let options = TrafficOptions { name, run, control, drain, clock, metrics };
    let ended = match settings.role {
        Role::Entry { .. } => entry::run(options, link, traffic).await,
        Role::Agent { backend, .. } => {
            let backend =
                BackendSocket::connect(settings.link.ip(), backend, options.metrics.clone())
                    .await?;
            agent::run(options, link, backend, traffic).await
        }
    };
    // A planned stop waits for a report of every traffic thread.
    if ended.is_err() {
        let _ = reports.send(Report::Drained).await;
    }
    ended
}
