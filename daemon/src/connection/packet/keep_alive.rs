//! An idle TCP connection to the backend server, which closes when the backend
//! server ends.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::process::liveness::KEEP_ALIVE_INTERVAL;
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

/// Interval between two reports that the connection is open. The later the last one is,
/// the more flows of a run that has ended are known to be its own.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a closed or failed connection is opened again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before a connection that was open is opened again. An agent may be stopped shortly
/// after its backend server has ended, and must know by then that the address refuses.
const REOPEN_DELAY: Duration = Duration::from_millis(20);

/// Keeps a connection to the backend server at `address` open and reports its
/// state to the traffic thread, until that thread ends.
///
/// No request is sent on the connection, so it takes no slot of the backend
/// server.
pub async fn maintain(address: SocketAddr, traffic: mpsc::Sender<Command>) {
    loop {
        let mut delay = RETRY_DELAY;
        let state = match timeout(KEEP_ALIVE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                if let Err(error) = enable_probes(&stream) {
                    spdlog::warn!("lifeline_not_probed", kv: { error: });
                }
                if report_open(stream, &traffic).await.is_err() {
                    return;
                }
                delay = REOPEN_DELAY;
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
        sleep(delay).await;
    }
}

/// Reports that the connection is open until it ends. The backend server is not expected
/// to send anything; what it sends is discarded.
///
/// # Errors
///
/// Returns an error if the traffic thread has ended.
async fn report_open(
    mut stream: TcpStream,
    traffic: &mpsc::Sender<Command>,
) -> Result<(), mpsc::error::SendError<Command>> {
    let mut buffer = [0; 64];
    loop {
        traffic.send(Command::KeepAlive(KeepAlive::Open)).await?;
        match timeout(REPORT_INTERVAL, stream.read(&mut buffer)).await {
            Ok(Ok(0)) => return Ok(()),
            Ok(Ok(_)) | Err(_) => {}
            Ok(Err(error)) => {
                spdlog::debug!("lifeline_ended", kv: { error: });
                return Ok(());
            }
        }
    }
}

/// Makes the kernel close the connection when keep-alive probes go unanswered.
fn enable_probes(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    let keep_alive =
        TcpKeepalive::new().with_time(KEEP_ALIVE_INTERVAL).with_interval(KEEP_ALIVE_INTERVAL);
    let keep_alive = keep_alive.with_retries(1);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(KEEP_ALIVE_TIMEOUT))
}
