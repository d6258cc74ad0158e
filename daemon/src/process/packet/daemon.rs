//! Starting and stopping of the packet front end's threads.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use lagoonhollow_lib::value::name::Name;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::control;
use super::decision_log::DecisionLog;
use super::metrics::PacketMetrics;
use super::settings::PacketSettings;
use super::settings::Role;
use super::shared::Shared;
use super::traffic_queues::QUEUE_CAPACITY;
use super::traffic_queues::Report;
use super::traffic_queues::TrafficContext;
use crate::connection::packet::agent;
use crate::connection::packet::entry;
use crate::process::clock::Clock;
use crate::process::daemon::StartError;
use crate::process::status::Status;

/// A running process of the packet front end.
#[derive(Debug)]
pub struct PacketDaemon {
    name: Name,
    shared: Arc<Shared>,
    stop: Option<oneshot::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
}

impl PacketDaemon {
    /// Starts the process that `settings` describe and returns once its
    /// addresses are bound.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started or an address can't be
    /// bound.
    pub fn spawn(settings: PacketSettings) -> Result<Self, StartError> {
        let name = settings.name.clone();
        let metrics = Arc::new(PacketMetrics::open());
        let clock = Clock::open();
        let (queue, commands) = mpsc::channel(QUEUE_CAPACITY);
        let (reports, report_queue) = mpsc::channel(QUEUE_CAPACITY);
        let shared = Arc::new(Shared::open(settings.clone(), metrics.clone(), clock, queue));
        let traffic = TrafficContext {
            commands,
            reports,
            view: shared.knowledge.subscribe(),
            clock,
            metrics,
            decision_log: DecisionLog::default(),
            drain: settings.drain,
        };
        let traffic = spawn_traffic(settings, traffic)?;
        let (stop, stopped) = oneshot::channel();
        let (started, result) = std::sync::mpsc::channel();
        let control_shared = shared.clone();
        let options = control::Options {
            shared: control_shared,
            reports: report_queue,
            stop: stopped,
            started,
        };
        let system_name = name.clone();
        let system = move || {
            let system = ntex::rt::System::new(system_name.as_str(), ntex::rt::DefaultRuntime);
            system.block_on(control::run(options));
        };
        let control = thread::Builder::new().name("control".to_owned()).spawn(system);
        let threads = vec![traffic, control.map_err(StartError::Thread)?];
        match result.recv() {
            Ok(Ok(())) => Ok(Self { name, shared, stop: Some(stop), threads }),
            Ok(Err(problem)) => Err(StartError::Bind(problem)),
            Err(_) => Err(StartError::Bind("the control thread ended".to_owned())),
        }
    }

    /// Returns the status that `/status` shows.
    pub fn status(&self) -> Status {
        self.shared.status()
    }

    /// Returns the numbers of control datagrams and control bytes sent so far.
    pub fn control_sent(&self) -> (u64, u64) {
        let metrics = &self.shared.metrics;
        (metrics.control_sent.get(), metrics.control_bytes.get())
    }

    /// Starts a planned stop without waiting for it.
    pub fn drain(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails only if the control thread has ended.
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

/// Starts the traffic thread and returns once its sockets are bound.
fn spawn_traffic(
    settings: PacketSettings,
    traffic: TrafficContext,
) -> Result<JoinHandle<()>, StartError> {
    let (bound, result) = std::sync::mpsc::channel();
    let body = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(e) => return drop(bound.send(Err(e.to_string()))),
        };
        let reports = traffic.reports.clone();
        let ended = runtime.block_on(async {
            match &settings.role {
                Role::Entry => {
                    let sockets = entry::bind(&settings).await;
                    let Some(sockets) = report_bound(&bound, sockets) else { return Ok(()) };
                    entry::run(&settings, sockets, traffic).await
                }
                Role::Agent(role) => {
                    let sockets = agent::bind(&settings, role).await;
                    let Some(sockets) = report_bound(&bound, sockets) else { return Ok(()) };
                    agent::run(&settings, role, sockets, traffic).await
                }
            }
        });
        if let Err(error) = ended {
            spdlog::error!("traffic_failed", kv: { error: });
        }
        // Stops the control thread too if the traffic thread ends by itself.
        let _ = reports.blocking_send(Report::Drained);
    };
    let thread = thread::Builder::new().name("traffic".to_owned()).spawn(body);
    let thread = thread.map_err(StartError::Thread)?;
    match result.recv() {
        Ok(Ok(())) => Ok(thread),
        Ok(Err(problem)) => Err(StartError::Bind(problem)),
        Err(_) => Err(StartError::Bind("the traffic thread ended".to_owned())),
    }
}

/// Reports to the starting thread whether sockets were bound.
fn report_bound<T>(
    bound: &std::sync::mpsc::Sender<Result<(), String>>,
    sockets: std::io::Result<T>,
) -> Option<T> {
    let result = sockets.as_ref().map(|_| ()).map_err(|e| format!("can't bind a socket: {e}"));
    // The starting thread waits for the result, so sending does not fail.
    let _ = bound.send(result);
    sockets.ok()
}
