//! A UDP proxy between processes that can lose, delay and block their datagrams.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Size of the receive buffer in bytes; longer datagrams are truncated.
const MAX_DATAGRAM: usize = 4_096;

/// Addresses of one process behind the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointPair {
    /// Address to which other processes send, bound by the proxy.
    pub public: SocketAddr,
    /// Address that the process itself binds.
    pub private: SocketAddr,
}

/// Impairments of the simulated links.
#[derive(Debug)]
struct Impairments {
    // Blocked directions, as sender and receiver by their private addresses.
    cut: HashSet<(SocketAddr, SocketAddr)>,
    loss: f64,
    delay: Duration,
    rng: Pcg64Mcg,
}

/// A running proxy; dropping it stops the forwarding.
#[derive(Debug)]
pub struct UdpProxy {
    impairments: Arc<Mutex<Impairments>>,
    tasks: Vec<JoinHandle<()>>,
}

impl UdpProxy {
    /// Binds the public addresses of `pairs`. `seed` determines which datagrams are lost.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn bind(pairs: &[EndpointPair], seed: u64) -> std::io::Result<Self> {
        let impairments = Impairments {
            cut: HashSet::new(),
            loss: 0.0,
            delay: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        let impairments = Arc::new(Mutex::new(impairments));
        let mut sockets = HashMap::new();
        for pair in pairs {
            sockets.insert(pair.private, Arc::new(UdpSocket::bind(pair.public).await?));
        }
        let sockets = Arc::new(sockets);
        let relay =
            |p: &EndpointPair| tokio::spawn(relay(p.private, sockets.clone(), impairments.clone()));
        let tasks = pairs.iter().map(relay).collect();
        Ok(Self { impairments, tasks })
    }

    /// Drops all datagrams from one process to another, given by private addresses.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        lock(&self.impairments).cut.insert((from, to));
    }

    /// Reverts [`Self::cut`] for this direction.
    pub fn heal(&self, from: SocketAddr, to: SocketAddr) {
        lock(&self.impairments).cut.remove(&(from, to));
    }

    /// Sets the share of datagrams that are lost, from 0 to 1.
    pub fn set_loss(&self, share: f64) {
        lock(&self.impairments).loss = share;
    }

    /// Sets the delay of all datagrams.
    pub fn set_delay(&self, by: Duration) {
        lock(&self.impairments).delay = by;
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Forwards datagrams to the process at `to`. Each is sent from its sender's public
/// address, so that answers pass through the proxy as well.
async fn relay(
    to: SocketAddr,
    sockets: Arc<HashMap<SocketAddr, Arc<UdpSocket>>>,
    impairments: Arc<Mutex<Impairments>>,
) {
    let Some(own) = sockets.get(&to) else { return };
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // The error reports an earlier datagram that a stopped process refused.
        let Ok((length, from)) = own.recv_from(&mut buffer).await else { continue };
        let Some(sender) = sockets.get(&from) else { continue };
        let delay = {
            let mut impairments = lock(&impairments);
            let loss = impairments.loss;
            if impairments.cut.contains(&(from, to)) || impairments.rng.random_bool(loss) {
                continue;
            }
            impairments.delay
        };
        if delay.is_zero() {
            let _ = sender.send_to(&buffer[..length], to).await;
        } else {
            let (sender, datagram) = (sender.clone(), buffer[..length].to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = sender.send_to(&datagram, to).await;
            });
        }
    }
}

fn lock(impairments: &Mutex<Impairments>) -> MutexGuard<'_, Impairments> {
    impairments.lock().unwrap_or_else(|e| e.into_inner())
}
