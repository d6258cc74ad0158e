//! A TCP proxy that injects faults into the connections it forwards.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::narrow_link::NarrowLink;

/// Size of the forwarding buffer in bytes.
const CHUNK: usize = 16 * 1_024;

/// Fault that is injected. A change also applies to connections that are already open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// None.
    #[default]
    Open,
    /// Open connections are closed, and new ones are closed at once.
    Reset,
    /// Connections stay open, but nothing is forwarded in either direction.
    Silent,
    /// Data from the client is forwarded; answers are dropped.
    OneWay,
    /// Data is delayed in both directions.
    Slow(Duration),
}

/// A running proxy in front of one address; dropping it stops accepting connections.
#[derive(Debug)]
pub struct TcpProxy {
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Binds `address` and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        Self::bind_link(address, target, None).await
    }

    /// Binds `address` and forwards connections to `target`, whose answers pass
    /// through `link`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind_narrow(
        address: SocketAddr,
        target: SocketAddr,
        link: NarrowLink,
    ) -> std::io::Result<Self> {
        Self::bind_link(address, target, Some(link)).await
    }

    async fn bind_link(
        address: SocketAddr,
        target: SocketAddr,
        link: Option<NarrowLink>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (mode, modes) = watch::channel(ProxyMode::Open);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connect(stream, target, modes.clone(), link.clone()));
            }
        });
        Ok(Self { mode, task })
    }

    /// Changes the fault that is injected.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards one connection until either side closes it or the mode becomes
/// [`ProxyMode::Reset`].
async fn connect(
    stream: TcpStream,
    target: SocketAddr,
    mut modes: watch::Receiver<ProxyMode>,
    link: Option<NarrowLink>,
) {
    // Closing the connection tells the client that the target refused it.
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let (from_client, to_client) = stream.into_split();
    let (from_target, to_target) = upstream.into_split();
    let requests = relay(from_client, to_target, modes.clone(), false, None);
    let answers = relay(from_target, to_client, modes.clone(), true, link);
    let reset = async {
        if modes.wait_for(|m| *m == ProxyMode::Reset).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = reset => {}
        () = requests => {}
        () = answers => {}
    }
}

/// Forwards bytes in one direction until the connection ends. `answers` is set for
/// the direction from the target to the client.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    answers: bool,
    link: Option<NarrowLink>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        let mode = *modes.borrow_and_update();
        match mode {
            ProxyMode::Open | ProxyMode::Reset => {}
            ProxyMode::OneWay if !answers => {}
            // Once bytes are lost, the rest of the stream must not be forwarded either.
            ProxyMode::Silent | ProxyMode::OneWay => std::future::pending().await,
            ProxyMode::Slow(by) => sleep(by).await,
        }
        if let Some(link) = &link {
            link.carry(length).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
