//! The traffic thread of an agent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::front::packet::agent::Agent;
use lagoonhollow_lib::front::packet::context::Identity;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_platform::packet;
use lagoonhollow_platform::packet::Sender;
use lagoonhollow_wire::relay;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::executor::Executor;
use crate::process::packet::settings::AgentRole;
use crate::process::packet::settings::PacketSettings;
use crate::process::packet::traffic_queues::Command;
use crate::process::packet::traffic_queues::Report;
use crate::process::packet::traffic_queues::TrafficContext;

/// Interval between two rounds of timed work while something is pending.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Interval between two rounds while nothing is pending.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Packets read from a socket before the other event sources get their turn.
const BATCH: usize = 32;

/// The sockets of an agent.
#[derive(Debug)]
pub struct Sockets {
    link: UdpSocket,
    outbound: UdpSocket,
    backend: UdpSocket,
}

/// Binds the sockets of an agent.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn bind(settings: &PacketSettings, role: &AgentRole) -> io::Result<Sockets> {
    let link = UdpSocket::bind(settings.link).await?;
    let outbound = UdpSocket::bind(role.outbound).await?;
    // A connected socket reports an error when the address refuses packets.
    let socket = UdpSocket::bind(SocketAddr::new(settings.link.ip(), 0)).await?;
    socket.connect(role.backend).await?;
    Ok(Sockets { link, outbound, backend: socket })
}

/// Runs the traffic thread until a planned stop is complete.
///
/// # Errors
///
/// Returns an error if a socket fails.
pub async fn run(
    settings: &PacketSettings,
    role: &AgentRole,
    sockets: Sockets,
    traffic: TrafficContext,
) -> io::Result<()> {
    let TrafficContext { mut commands, reports, mut view, clock, metrics, decision_log, drain } =
        traffic;
    let Sockets { link, outbound, backend: socket } = sockets;
    let identity = Identity {
        link: settings.advertised,
        domain: settings.domain.clone(),
        run: clock.incarnation(),
        backend: role.backend,
        service: role.service.clone(),
        reuse_delay: role.reuse_delay,
        entry_ttl: role.entry_ttl,
        first_start: settings.first_start,
        allowance: role.allowance,
    };
    let mut agent = Agent::open(identity, clock.now());
    let (started, at) = clock.started();
    agent.track_start(started, at);
    agent.update_clock(clock.wall(), clock.now());
    let caller_port = settings.callers.port();
    let mut executor = Executor {
        link,
        backend: Some(socket),
        caller_port,
        reports: reports.clone(),
        metrics: metrics.clone(),
        decision_log,
    };
    let mut buffer = vec![0; relay::MAX_DATAGRAM];
    let mut next_tick = Instant::now();
    let mut stop_at = None;
    agent.update_view(view.borrow_and_update().clone(), clock.now());
    loop {
        tokio::select! {
            ready = executor.link.readable() => {
                ready?;
                for _ in 0..BATCH {
                    let Ok((length, from)) = executor.link.try_recv_from(&mut buffer) else { break };
                    handle_datagram(&mut agent, from, &buffer[..length], &metrics, clock.now());
                }
            }
            ready = outbound.readable() => {
                ready?;
                for _ in 0..BATCH {
                    let Ok((length, _)) = outbound.try_recv_from(&mut buffer) else { break };
                    metrics.received.inc();
                    match packet::decode(&buffer[..length], Sender::Backend) {
                        Some(packet) => agent.handle_backend_packet(packet, clock.now()),
                        None => metrics.count(Reason::Malformed),
                    }
                }
            }
            refused = receive_refusal(&executor) => {
                if refused {
                    agent.handle_refusal(clock.now());
                    agent.tick(clock.now());
                }
            }
            changed = view.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
                agent.update_view(view.borrow_and_update().clone(), clock.now());
            }
            command = commands.recv() => match command {
                Some(Command::Explain { flow, reply }) => {
                    // The receiver is gone if the request has timed out.
                    let _ = reply.send(agent.owner(&flow));
                }
                Some(Command::KeepAlive(state)) => agent.update_keep_alive(state, clock.now()),
                Some(Command::Drain) => {
                    agent.leave(clock.now());
                    stop_at = Some(Instant::now() + drain);
                }
                None => return Ok(()),
            },
            _ = sleep_until(next_tick) => {
                let now = clock.now();
                agent.update_clock(clock.wall(), now);
                agent.tick(now);
                executor.decision_log.renew_budget(now);
                metrics.add(agent.tally());
                metrics.flows.set(agent.flows() as i64);
                metrics.records.set(agent.records() as i64);
                metrics.set_cold(agent.cold(now).map(|(rate, until)| (rate, until.since(now))));
                next_tick = Instant::now() + IDLE_TICK;
            }
        }
        let actions = agent.take_actions();
        executor.execute(actions, agent.known(), clock.now());
        if agent.has_pending() {
            next_tick = next_tick.min(Instant::now() + BUSY_TICK);
        }
        if stop_at.is_some_and(|at| Instant::now() >= at) {
            let _ = reports.send(Report::Drained).await;
            return Ok(());
        }
    }
}

/// Decodes a datagram from another process and hands it to the agent.
fn handle_datagram(
    agent: &mut Agent,
    from: SocketAddr,
    bytes: &[u8],
    metrics: &crate::process::packet::metrics::PacketMetrics,
    now: lagoonhollow_lib::value::moment::Moment,
) {
    let Ok((known, message, raw)) = relay::decode(bytes) else {
        metrics.count(Reason::Malformed);
        return;
    };
    let packet = if raw.is_empty() { None } else { packet::decode(raw, Sender::Caller) };
    if packet.is_none() && !raw.is_empty() {
        metrics.count(Reason::Malformed);
        return;
    }
    agent.handle_message(from, known, message, packet, now);
}

/// Waits for a packet or an error on the socket to the backend server; returns
/// whether the backend server's address refused a packet.
async fn receive_refusal(executor: &Executor) -> bool {
    let Some(socket) = &executor.backend else { return std::future::pending().await };
    let mut buffer = [0; 1];
    match socket.recv(&mut buffer).await {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    }
}
