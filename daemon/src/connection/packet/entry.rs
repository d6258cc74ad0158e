//! The traffic thread of an entry.

use std::io;
use std::time::Duration;

use lagoonhollow_lib::front::packet::entry::Entry;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_platform::packet;
use lagoonhollow_platform::packet::Sender;
use lagoonhollow_wire::relay;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::executor::Executor;
use crate::process::packet::settings::PacketSettings;
use crate::process::packet::traffic_queues::Command;
use crate::process::packet::traffic_queues::Report;
use crate::process::packet::traffic_queues::TrafficContext;

/// Interval between two rounds of timed work while something is pending.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Interval between two rounds while nothing is pending.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Packets read from a socket before the other event sources get their turn.
const BATCH: usize = 32;

/// The sockets of an entry.
#[derive(Debug)]
pub struct Sockets {
    callers: UdpSocket,
    link: UdpSocket,
}

/// Binds the sockets of an entry.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn bind(settings: &PacketSettings) -> io::Result<Sockets> {
    let callers = UdpSocket::bind(settings.callers).await?;
    let link = UdpSocket::bind(settings.link).await?;
    Ok(Sockets { callers, link })
}

/// Runs the traffic thread until a planned stop is complete.
///
/// # Errors
///
/// Returns an error if a socket fails.
pub async fn run(
    settings: &PacketSettings,
    sockets: Sockets,
    traffic: TrafficContext,
) -> io::Result<()> {
    let TrafficContext { mut commands, reports, mut view, clock, metrics, decision_log, drain } =
        traffic;
    let Sockets { callers, link } = sockets;
    let Incarnation(run) = clock.incarnation();
    let agents = settings.advertised.port();
    let mut entry = Entry::open(settings.domain.clone(), agents, run, clock.now());
    let caller_port = settings.callers.port();
    let shared_metrics = metrics.clone();
    let mut executor = Executor {
        link,
        backend: None,
        caller_port,
        reports: reports.clone(),
        metrics,
        decision_log,
    };
    let metrics = shared_metrics;
    let mut buffer = vec![0; relay::MAX_DATAGRAM];
    let mut next_tick = Instant::now();
    let mut stop_at = None;
    entry.update_view(view.borrow_and_update().clone());
    loop {
        tokio::select! {
            ready = callers.readable() => {
                ready?;
                for _ in 0..BATCH {
                    let Ok((length, _)) = callers.try_recv_from(&mut buffer) else { break };
                    metrics.received.inc();
                    match packet::decode(&buffer[..length], Sender::Caller) {
                        Some(packet) => entry.handle_packet(packet, clock.now()),
                        None => metrics.count(Reason::Malformed),
                    }
                }
            }
            ready = executor.link.readable() => {
                ready?;
                for _ in 0..BATCH {
                    let Ok((length, from)) = executor.link.try_recv_from(&mut buffer) else { break };
                    match relay::decode(&buffer[..length]) {
                        Ok((known, message, _)) => entry.handle_message(from, known, message, clock.now()),
                        Err(_) => metrics.count(Reason::Malformed),
                    }
                }
            }
            changed = view.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                entry.update_view(view.borrow_and_update().clone());
            }
            command = commands.recv() => match command {
                Some(Command::Explain { flow, reply }) => {
                    // The receiver is gone if the request has timed out.
                    let _ = reply.send(entry.hint(&flow));
                }
                // The network fabric stops routing packets here once it sees
                // that the entry is not ready. Until then all are served.
                Some(Command::Drain) => stop_at = Some(Instant::now() + drain),
                // An entry has no backend server.
                Some(Command::KeepAlive(_)) => {}
                None => return Ok(()),
            },
            _ = sleep_until(next_tick) => {
                let now = clock.now();
                entry.tick(now);
                executor.decision_log.renew_budget(now);
                metrics.add(entry.tally());
                metrics.flows.set(entry.hints() as i64);
                next_tick = Instant::now() + IDLE_TICK;
            }
        }
        let actions = entry.take_actions();
        executor.execute(actions, entry.known(), clock.now());
        if entry.has_pending() {
            next_tick = next_tick.min(Instant::now() + BUSY_TICK);
        }
        if stop_at.is_some_and(|at| Instant::now() >= at) {
            let _ = reports.send(Report::Drained).await;
            return Ok(());
        }
    }
}
