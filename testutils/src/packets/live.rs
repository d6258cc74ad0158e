//! Backend servers and callers that exchange packets over real sockets.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
use lagoonhollow_lib::connection::segment::Packet;
use lagoonhollow_lib::value::moment::Moment;
use lagoonhollow_lib::version::member::Member;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::backend::Backend;
use super::backend::BackendAction;
use super::caller::Caller;
use super::caller::End;
use super::caller::Plan;
use super::monitor::Monitor;
use super::wire;

/// Size of the receive buffer in bytes; no packet is longer.
const MAX_PACKET: usize = 2_048;
/// Number of times that an address which is still in use is tried again.
const BIND_RETRIES: u32 = 1_000;
/// Delay before an address in use is tried again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(1);

/// A backend server on a loopback address. Its TCP listener only accepts the agent's
/// keep-alive connections.
#[derive(Debug)]
pub struct LiveBackend {
    /// Model with its flows and requests.
    pub backend: Arc<Mutex<Backend>>,
    socket: Arc<UdpSocket>,
    task: JoinHandle<()>,
    listener: JoinHandle<()>,
}

/// Keeps the socket of a crashed backend server bound, so that packets to its address
/// are ignored; once it is dropped, they are refused.
#[derive(Debug)]
pub struct SilentAddress {
    _socket: Arc<UdpSocket>,
}

impl LiveBackend {
    /// Binds a backend server to its member's address. It sends its packets to `outbound`
    /// and reports the packets that it receives to `monitor`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        member: Member,
        outbound: SocketAddr,
        seed: u64,
        monitor: Monitor,
    ) -> std::io::Result<Self> {
        let socket = Arc::new(bind_free(member.address).await?);
        let tcp = TcpListener::bind(member.address).await?;
        let backend = Arc::new(Mutex::new(Backend::open(member)));
        let task = tokio::spawn(serve(socket.clone(), outbound, backend.clone(), seed, monitor));
        let listener = tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = tcp.accept().await {
                open.push(stream);
            }
        });
        Ok(Self { backend, socket, task, listener })
    }

    /// Returns the number of flows that it holds.
    pub fn flows(&self) -> usize {
        lock(&self.backend).held.len()
    }

    /// Sets the factor applied to normal service times.
    pub fn set_slowdown(&self, by: f64) {
        lock(&self.backend).slowdown = by;
    }

    /// Crashes the backend server. With `silent`, packets to its address are ignored
    /// instead of refused while the result is held.
    pub fn crash(self, silent: bool) -> Option<SilentAddress> {
        self.task.abort();
        self.listener.abort();
        silent.then_some(SilentAddress { _socket: self.socket })
    }
}

async fn serve(
    socket: Arc<UdpSocket>,
    outbound: SocketAddr,
    backend: Arc<Mutex<Backend>>,
    seed: u64,
    monitor: Monitor,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut buffer = vec![0; MAX_PACKET];
    let (done_sender, mut done) = mpsc::unbounded_channel();
    loop {
        let actions = tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // The error reports an earlier packet that a stopped agent refused.
                let Ok((length, _)) = received else { continue };
                let packet = match wire::decode(&buffer[..length], true) {
                    Ok(packet) => packet,
                    Err(problem) => {
                        monitor.report(format!("a backend server received a corrupted packet: {problem}"));
                        continue;
                    }
                };
                let actions = handle_packet(&mut lock(&backend), packet, &mut rng, &monitor);
                if actions.iter().any(|a| matches!(a, BackendAction::Return(_))) {
                    let _ = socket.send_to(&wire::mark_returned(&buffer[..length]), outbound).await;
                }
                actions
            }
            Some(flow) = done.recv() => lock(&backend).finish_request(&flow),
        };
        for action in actions {
            match action {
                BackendAction::Send(packet) => {
                    let _ = socket.send_to(&wire::encode(&packet, false), outbound).await;
                }
                BackendAction::Return(_) => {}
                BackendAction::Begin(flow, work) => {
                    let done_sender = done_sender.clone();
                    tokio::spawn(async move {
                        sleep(work).await;
                        // The receiver is gone once the backend server has crashed.
                        let _ = done_sender.send(flow);
                    });
                }
            }
        }
    }
}

fn handle_packet(
    backend: &mut Backend,
    packet: Packet,
    rng: &mut Pcg64Mcg,
    monitor: &Monitor,
) -> Vec<BackendAction> {
    let segment = packet.segment;
    monitor.check_delivery(backend, &segment);
    let before = backend.progress(&segment.flow);
    let actions = backend.handle_packet(packet, rng);
    monitor.record_progress(backend, &segment, before);
    actions
}

fn lock(backend: &Mutex<Backend>) -> MutexGuard<'_, Backend> {
    backend.lock().unwrap_or_else(|e| e.into_inner())
}

/// Binds an address whose earlier socket is closed. A process that another test starts at
/// that moment holds a copy of the socket until it runs its program.
async fn bind_free(address: SocketAddr) -> std::io::Result<UdpSocket> {
    for _ in 0..BIND_RETRIES {
        match UdpSocket::bind(address).await {
            Err(e) if e.kind() == ErrorKind::AddrInUse => sleep(BIND_RETRY_DELAY).await,
            result => return result,
        }
    }
    UdpSocket::bind(address).await
}

/// Runs one call from a new socket at `local`; returns how it ended and the latency of
/// each answered request. Each packet goes to the entry that `pick_entry` returns; it is
/// lost if there is none.
///
/// # Errors
///
/// Returns an error if the address can't be bound or a packet was changed on its way.
pub async fn call(
    local: SocketAddr,
    mut pick_entry: impl FnMut() -> Option<SocketAddr>,
    flow: FlowKey,
    plan: Plan,
) -> std::io::Result<(End, Vec<Duration>)> {
    let socket = bind_free(local).await?;
    let start = Instant::now();
    let now = || Moment::from_millis(1_000) + start.elapsed();
    let mut caller = Caller::open(flow, plan, now());
    let mut out = vec![caller.opening(0)];
    let mut buffer = vec![0; MAX_PACKET];
    loop {
        for packet in out.drain(..) {
            if let Some(entry) = pick_entry() {
                // A packet to an entry that has stopped is lost.
                let _ = socket.send_to(&wire::encode(&packet, true), entry).await;
            }
        }
        let Some(wait) = caller.timer() else { break };
        let due = Instant::now() + wait;
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let packet = wire::decode(&buffer[..length], false);
                let packet = packet.map_err(std::io::Error::other)?;
                // Other flows' packets are late ones of an earlier call from this address.
                if packet.segment.flow == flow {
                    out = caller.handle_segment(&packet.segment, now());
                }
            }
            () = sleep_until(due) => out = caller.handle_timer(now()),
        }
    }
    Ok((caller.end().unwrap_or(End::Late), caller.latencies))
}
