//! Requests and answers between an agent and its backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_wire::backend;
use tokio::net::UdpSocket;

use crate::process::metrics::Metrics;

/// Pause after a socket error, which means that no process listens on the backend
/// server's port.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A UDP socket connected to the backend server.
#[derive(Debug)]
pub struct BackendSocket {
    socket: UdpSocket,
    metrics: Arc<Metrics>,
}

impl BackendSocket {
    /// Connects to the backend server at `address` from the IP address `local`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub async fn connect(
        local: std::net::IpAddr,
        address: SocketAddr,
        metrics: Arc<Metrics>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind((local, 0)).await?;
        socket.connect(address).await?;
        Ok(Self { socket, metrics })
    }

    /// Sends a request with number `id`, which has the time `remaining` left.
    pub fn run(&self, id: u64, request: &Request, remaining: Duration) {
        match backend::encode_request(id, request, remaining) {
            Ok(raw) => self.send(&raw),
            Err(_) => self.metrics.count(Reason::Malformed),
        }
    }

    /// Cancels the request or channel with number `id`.
    pub fn cancel(&self, id: u64) {
        if let Ok(raw) = backend::encode_cancel(id) {
            self.send(&raw);
        }
    }

    /// Waits for the next answer and returns it with the number of its request.
    pub async fn receive(&self, buffer: &mut [u8]) -> (u64, Answer) {
        loop {
            match self.socket.recv(buffer).await {
                Ok(length) => match backend::decode_answer(&buffer[..length]) {
                    Ok(answer) => return answer,
                    Err(_) => self.metrics.count(Reason::Malformed),
                },
                Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
            }
        }
    }

    fn send(&self, raw: &[u8]) {
        if self.socket.try_send(raw).is_err() {
            self.metrics.count(Reason::ChannelFull);
        }
    }
}
