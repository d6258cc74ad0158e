//! An idle TCP connection to the backend server, which closes when the backend
//! server ends.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::process::liveness::KEEP_ALIVE_TIMEOUT;
use lagoonhollow_lib::process::liveness::KeepAlive;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::process::packet::traffic_queues::Command;

/// Idle time before the first keep-alive probe, and interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a closed or failed connection is opened again.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Keeps a connection to the backend server at `address` open and reports its
/// state to the traffic thread, until that thread ends.
///
/// No request is sent on the connection, so it takes no slot of the backend
/// server.
pub async fn maintain(address: SocketAddr, traffic: mpsc::Sender<Command>) {
    loop {
        let state = match timeout(KEEP_ALIVE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                if let Err(error) = enable_probes(&stream) {
                    spdlog::warn!("lifeline_not_probed", kv: { error: });
                }
                if traffic.send(Command::KeepAlive(KeepAlive::Open)).await.is_err() {
                    return;
                }
                wait_for_end(stream).await;
                KeepAlive::Closed
            }
            Ok(Err(error)) => {
                spdlog::debug!("lifeline_failed", kv: { error: });
                match error.kind() {
                    ErrorKind::ConnectionRefused => KeepAlive::Refused,
                    _ => KeepAlive::Closed,
                }
            }
            Err(_) => {
                spdlog::debug!("lifeline_timeout");
                KeepAlive::Closed
            }
        };
        if traffic.send(Command::KeepAlive(state)).await.is_err() {
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Waits until the connection ends. The backend server is not expected to send
/// anything; what it sends is discarded.
async fn wait_for_end(mut stream: TcpStream) {
    let mut buffer = [0; 64];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => {
                spdlog::debug!("lifeline_ended", kv: { error: });
                return;
            }
        }
    }
}

/// Makes the kernel close the connection when keep-alive probes go unanswered.
fn enable_probes(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(1);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(KEEP_ALIVE_TIMEOUT))
}
