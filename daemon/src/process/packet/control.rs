//! The control thread of the packet front end.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::process::confirmation::Part;
use lagoonhollow_lib::process::lifecycle::Draining;
use lagoonhollow_lib::process::lifecycle::Lifecycle;
use lagoonhollow_lib::process::lifecycle::Stopped;
use lagoonhollow_lib::value::incarnation::Incarnation;
use ntex::client::Client;
use ntex::rt::spawn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::interval;
use tokio::time::timeout;

use super::admin;
use super::settings::Role;
use super::shared::Shared;
use super::traffic_queues::Command;
use super::traffic_queues::Report;
use crate::connection::packet::keep_alive;
use crate::version::packet::follow;
use crate::version::packet::pull;

/// Time beyond the drain time after which a planned stop no longer waits for the
/// traffic thread.
const DRAIN_SLACK: Duration = Duration::from_millis(500);
/// Time between two checks for lapsed registry entries that did not come back.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Arguments of the control thread.
pub struct Options {
    /// State shared with the admin server.
    pub shared: Arc<Shared>,
    /// Reports of the traffic thread.
    pub reports: mpsc::Receiver<Report>,
    /// Resolves once a planned stop is requested.
    pub stop: oneshot::Receiver<()>,
    /// Receives the result of the start.
    pub started: std::sync::mpsc::Sender<Result<(), String>>,
}

/// Runs the control thread until a planned stop is complete.
pub async fn run(options: Options) {
    let Options { shared, mut reports, mut stop, started } = options;
    let clock = shared.clock;
    let life = Lifecycle::open(clock.now());
    shared.set_state(&life);
    if let Err(error) = admin::bind(shared.clone()) {
        let _ = started.send(Err(format!("can't bind the admin server: {error}")));
        return;
    }
    let _ = started.send(Ok(()));
    let life = life.recover(clock.now());
    shared.set_state(&life);
    spawn(follow::follow(Part::Orders, shared.clone()));
    spawn(follow::follow(Part::Members, shared.clone()));
    let client = Client::new().await;
    let peers = shared.settings.peers.clone();
    spawn(pull::pull_from_peers(client.clone(), peers, shared.clone()));
    if let Role::Agent(role) = &shared.settings.role {
        spawn(keep_alive::maintain(role.backend, shared.traffic.clone()));
    }
    let life = life.serve(clock.now());
    shared.set_state(&life);
    let Incarnation(run) = clock.incarnation();
    spdlog::info!("started", kv: { run, first_start = shared.settings.first_start });
    let pulling = Rc::new(Cell::new(false));
    let (confirming, wanted) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let mut check = interval(EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            Some(report) = reports.recv() => match report {
                // One pull at a time is enough: peers repeat their version, and a later
                // report starts the next pull.
                Report::Behind { peer, known } if !pulling.replace(true) => {
                    let (client, shared) = (client.clone(), shared.clone());
                    let pulling = pulling.clone();
                    spawn(async move {
                        pull::catch_up(&client, peer, known, &shared).await;
                        pulling.set(false);
                    });
                }
                Report::Behind { .. } => {}
                Report::Answered { peer, known, sent, age: Some(age) } => {
                    shared.knowledge.vouch(peer, known, sent, age, clock.now());
                    shared.publish();
                }
                Report::Answered { .. } => {}
                Report::Confirm => {
                    wanted.set(true);
                    if !confirming.replace(true) {
                        let (shared, wanted) = (shared.clone(), wanted.clone());
                        let confirming = confirming.clone();
                        spawn(async move {
                            // What is wanted during a read needs another one.
                            while wanted.replace(false) {
                                follow::confirm_members(&shared).await;
                            }
                            confirming.set(false);
                        });
                    }
                }
                Report::Drained => break,
            },
            _ = check.tick() => shared.publish(),
            // A dropped sender is a request to stop as well.
            _ = &mut stop => break,
        }
    }
    let life = life.drain(clock.now(), shared.settings.drain + DRAIN_SLACK);
    shared.set_state(&life);
    if shared.traffic.send(Command::Drain).await.is_err() {
        spdlog::warn!("traffic_ended_early");
    }
    let life = wait_drained(life, &mut reports, &shared).await;
    shared.set_state(&life);
}

/// Waits until the traffic thread has drained or the deadline has passed.
async fn wait_drained(
    mut life: Lifecycle<Draining>,
    reports: &mut mpsc::Receiver<Report>,
    shared: &Shared,
) -> Lifecycle<Stopped> {
    let mut open = 1;
    loop {
        life = match life.finish(shared.clock.now(), open) {
            Ok(life) => return life,
            Err(life) => life,
        };
        match timeout(DRAIN_SLACK, reports.recv()).await {
            Ok(Some(Report::Drained) | None) => open = 0,
            Ok(Some(Report::Behind { .. } | Report::Answered { .. } | Report::Confirm))
            | Err(_) => {}
        }
    }
}
