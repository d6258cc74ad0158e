//! Backend servers and callers that speak packets over sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use lagoonhollow_lib::connection::flow::FlowKey;
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

use super::backend::Act;
use super::backend::Backend;
use super::caller::Caller;
use super::caller::End;
use super::caller::Plan;
use super::wire;

/// Longest packet.
const MAX_PACKET: usize = 2_048;

/// A backend server on a loopback address.
#[derive(Debug)]
pub struct LiveBackend {
    /// Its model, with what it holds.
    pub backend: Arc<Mutex<Backend>>,
    task: JoinHandle<()>,
    listener: JoinHandle<()>,
}

impl LiveBackend {
    /// Binds a backend server to its member's address; it sends its packets to
    /// `outbound`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(member: Member, outbound: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(member.address).await?;
        let tcp = TcpListener::bind(member.address).await?;
        let backend = Arc::new(Mutex::new(Backend::open(member)));
        let task = tokio::spawn(serve(socket, outbound, backend.clone(), seed));
        let listener = tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = tcp.accept().await {
                open.push(stream);
            }
        });
        Ok(Self { backend, task, listener })
    }

    /// Returns the number of flows that it holds.
    pub fn flows(&self) -> usize {
        lock(&self.backend).held.len()
    }

    /// Ends the backend server as a crash does.
    pub fn crash(self) {
        self.task.abort();
        self.listener.abort();
    }
}

async fn serve(socket: UdpSocket, outbound: SocketAddr, backend: Arc<Mutex<Backend>>, seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut buffer = vec![0; MAX_PACKET];
    let (done, mut finished) = mpsc::unbounded_channel();
    loop {
        let acts = tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // An error here is that of an earlier packet to an agent that stopped.
                let Ok((length, _)) = received else { continue };
                let Ok(packet) = wire::decode(&buffer[..length], true) else { continue };
                let acts = lock(&backend).take(packet, &mut rng);
                if acts.iter().any(|a| matches!(a, Act::Return(_))) {
                    let _ = socket.send_to(&wire::give_back(&buffer[..length]), outbound).await;
                }
                acts
            }
            Some(flow) = finished.recv() => lock(&backend).finish(&flow),
        };
        for act in acts {
            match act {
                Act::Send(packet) => {
                    let _ = socket.send_to(&wire::encode(&packet, false), outbound).await;
                }
                Act::Return(_) => {}
                Act::Begin(flow, work) => {
                    let done = done.clone();
                    tokio::spawn(async move {
                        sleep(work).await;
                        // Nobody listens once the backend server has crashed.
                        let _ = done.send(flow);
                    });
                }
            }
        }
    }
}

fn lock(backend: &Mutex<Backend>) -> MutexGuard<'_, Backend> {
    backend.lock().unwrap_or_else(|e| e.into_inner())
}

/// Runs one call from a socket of its own at `local`, through `entries` in
/// turn, and returns how it ended.
///
/// # Errors
///
/// Returns an error if the address can't be bound or a packet is not as its
/// sender wrote it.
pub async fn call(
    local: SocketAddr,
    entries: &[SocketAddr],
    flow: FlowKey,
    plan: Plan,
) -> std::io::Result<(End, Vec<Duration>)> {
    let socket = UdpSocket::bind(local).await?;
    let start = Instant::now();
    let now = || Moment::from_millis(1_000) + start.elapsed();
    let mut caller = Caller::open(flow, plan, now());
    let mut out = vec![caller.opening(0)];
    let mut buffer = vec![0; MAX_PACKET];
    let mut sent = 0;
    loop {
        for packet in out.drain(..) {
            let entry = entries[sent % entries.len()];
            sent += 1;
            // An entry that has stopped loses the packet.
            let _ = socket.send_to(&wire::encode(&packet, true), entry).await;
        }
        let Some(wait) = caller.timer() else { break };
        let due = Instant::now() + wait;
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let packet = wire::decode(&buffer[..length], false);
                let packet = packet.map_err(std::io::Error::other)?;
                out = caller.take(&packet.segment, now());
            }
            () = sleep_until(due) => out = caller.wake(now()),
        }
    }
    Ok((caller.end().unwrap_or(End::Late), caller.took))
}
