//! A proxy that carries TCP connections and disturbs them.

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

/// Bytes carried at once.
const CHUNK: usize = 16 * 1_024;

/// How connections are disturbed; a change applies to those that are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// They are not.
    #[default]
    Open,
    /// Open ones end, and new ones end at once.
    Reset,
    /// Nothing is carried, in either direction; connections stay open.
    Silent,
    /// What the caller sends arrives; answers are lost.
    OneWay,
    /// Everything is delayed.
    Slow(Duration),
}

/// A running proxy in front of one address.
#[derive(Debug)]
pub struct TcpProxy {
    mode: watch::Sender<ProxyMode>,
    task: JoinHandle<()>,
}

impl TcpProxy {
    /// Binds `address` and carries connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (mode, modes) = watch::channel(ProxyMode::Open);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connect(stream, target, modes.clone()));
            }
        });
        Ok(Self { mode, task })
    }

    /// Changes how connections are disturbed.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Carries one connection until an end closes it or it is reset.
async fn connect(stream: TcpStream, target: SocketAddr, mut modes: watch::Receiver<ProxyMode>) {
    // The end of the connection tells the caller that it was refused.
    let Ok(other) = TcpStream::connect(target).await else { return };
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = other.into_split();
    let there = relay(from_caller, to_target, modes.clone(), false);
    let back = relay(from_target, to_caller, modes.clone(), true);
    let reset = async {
        if modes.wait_for(|m| *m == ProxyMode::Reset).await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = reset => {}
        () = there => {}
        () = back => {}
    }
}

/// Carries bytes in one direction until the connection ends.
async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    answers: bool,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else { return };
        let mode = *modes.borrow_and_update();
        match mode {
            ProxyMode::Open | ProxyMode::Reset => {}
            ProxyMode::OneWay if !answers => {}
            // A connection that lost bytes carries nothing any more.
            ProxyMode::Silent | ProxyMode::OneWay => std::future::pending().await,
            ProxyMode::Slow(by) => sleep(by).await,
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
