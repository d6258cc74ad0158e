//! A proxy between processes that carries their datagrams and disturbs them.

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

/// Longest datagram.
const MAX_DATAGRAM: usize = 4_096;

/// One process behind the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointPair {
    /// Address at which others reach it, which the proxy holds.
    pub public: SocketAddr,
    /// Address that it binds.
    pub private: SocketAddr,
}

/// How datagrams are disturbed.
#[derive(Debug)]
struct Impairments {
    // Ordered pairs of private addresses.
    cut: HashSet<(SocketAddr, SocketAddr)>,
    loss: f64,
    delay: Duration,
    rng: Pcg64Mcg,
}

/// A running proxy.
#[derive(Debug)]
pub struct UdpProxy {
    impairments: Arc<Mutex<Impairments>>,
    tasks: Vec<JoinHandle<()>>,
}

impl UdpProxy {
    /// Binds the public addresses of `ports`; `seed` is for what is lost.
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

    /// Loses all datagrams from one process to another.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        lock(&self.impairments).cut.insert((from, to));
    }

    /// Carries datagrams from one process to another again.
    pub fn heal(&self, from: SocketAddr, to: SocketAddr) {
        lock(&self.impairments).cut.remove(&(from, to));
    }

    /// Loses this share of all datagrams.
    pub fn set_loss(&self, share: f64) {
        lock(&self.impairments).loss = share;
    }

    /// Delays all datagrams.
    pub fn set_delay(&self, by: Duration) {
        lock(&self.impairments).delay = by;
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Carries datagrams to the process at `to`. Each goes out from its sender's
/// public address, so that the receiver answers through the proxy.
async fn relay(
    to: SocketAddr,
    sockets: Arc<HashMap<SocketAddr, Arc<UdpSocket>>>,
    impairments: Arc<Mutex<Impairments>>,
) {
    let Some(own) = sockets.get(&to) else { return };
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // An error is that of an earlier datagram to a process that stopped.
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
