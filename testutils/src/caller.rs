//! A CoAP client with retransmission and channels (CoAP observations).

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lagoonhollow_lib::request::answer::Answer;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_lib::request::message::Block;
use lagoonhollow_lib::request::message::Method;
use lagoonhollow_lib::request::message::Request;
use lagoonhollow_lib::request::token::Token;
use lagoonhollow_wire::caller;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::backend::BLOCKS;

/// Time until the first retransmission; it doubles with each further one.
const RETRY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of transmissions of a request.
const MAX_SENDS: u32 = 4;

/// A caller with one flow to one service.
#[derive(Debug)]
pub struct Caller {
    socket: UdpSocket,
    last_id: u16,
    notifications: VecDeque<Answer>,
    seen_ids: VecDeque<u16>,
    /// Answers that matched no outstanding request.
    pub unmatched: u64,
}

impl Caller {
    /// Opens a flow from the address `from` to the service at `service`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub async fn connect(from: std::net::IpAddr, service: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind((from, 0)).await?;
        socket.connect(service).await?;
        let last_id = socket.local_addr()?.port();
        let (notifications, seen_ids) = (VecDeque::new(), VecDeque::new());
        Ok(Self { socket, last_id, notifications, seen_ids, unmatched: 0 })
    }

    /// Returns the caller's address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's local address can't be read.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a POST request; returns `None` if no answer arrived.
    pub async fn post(&mut self, path: &str, body: &str) -> Option<Answer> {
        let mut request = self.request(Method::Post, path);
        request.body = body.as_bytes().into();
        self.exchange(request).await
    }

    /// Opens a channel; returns its first answer, or `None` if none arrived.
    pub async fn observe(&mut self, path: &str) -> Option<Answer> {
        let mut request = self.request(Method::Get, path);
        request.observe = Some(true);
        self.exchange(request).await
    }

    /// Downloads a file block by block; returns `None` if a block was missing or
    /// answered with an error.
    pub async fn download(&mut self, path: &str) -> Option<String> {
        let mut text = String::new();
        for number in 0..BLOCKS {
            let mut request = self.request(Method::Get, path);
            request.block = Some(Block { number, more: false, size: 2 });
            let answer = self.exchange(request).await?;
            if answer.code != Code::Content || answer.block?.number != number {
                return None;
            }
            text.push_str(&String::from_utf8_lossy(&answer.body));
        }
        Some(text)
    }

    /// Waits for at most `limit` for the next notification on any of the flow's
    /// channels.
    pub async fn notification(&mut self, limit: Duration) -> Option<Answer> {
        let end = Instant::now() + limit;
        while self.notifications.is_empty() {
            let left = end.checked_duration_since(Instant::now())?;
            let answer = timeout(left, self.receive()).await.ok()??;
            if answer.1.observe.is_none() {
                self.unmatched += 1;
            }
        }
        self.notifications.pop_front()
    }

    fn request(&mut self, method: Method, path: &str) -> Request {
        self.last_id = self.last_id.wrapping_add(1);
        Request {
            id: self.last_id,
            token: Token(self.last_id.to_be_bytes().as_slice().into()),
            method,
            path: path.into(),
            observe: None,
            block: None,
            body: [].into(),
        }
    }

    async fn exchange(&mut self, request: Request) -> Option<Answer> {
        let raw = caller::encode_request(&request).ok()?;
        for sends in 0..MAX_SENDS {
            let _ = self.socket.send(&raw).await;
            let end = Instant::now() + RETRY_TIMEOUT * 2u32.pow(sends);
            while let Some(left) = end.checked_duration_since(Instant::now()) {
                let Ok(Some((id, answer))) = timeout(left, self.receive()).await else { break };
                if id == request.id && answer.token == request.token {
                    return Some(answer);
                }
                // A retransmitted request can be answered twice, the second time
                // during a later exchange.
                self.unmatched += 1;
            }
        }
        None
    }

    /// Receives one answer; new notifications are also acknowledged and queued.
    /// Returns `None` if a datagram can't be decoded.
    async fn receive(&mut self) -> Option<(u16, Answer)> {
        let mut buffer = [0; 2048];
        loop {
            let Ok(length) = self.socket.recv(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let (id, confirm, answer) = caller::decode_answer(&buffer[..length]).ok()?;
            if !confirm {
                return Some((id, answer));
            }
            if let Ok(raw) = caller::encode_ack(id) {
                let _ = self.socket.send(&raw).await;
            }
            if !self.seen_ids.contains(&id) {
                self.seen_ids.push_back(id);
                self.seen_ids.truncate(64);
                self.notifications.push_back(answer.clone());
                return Some((id, answer));
            }
        }
    }
}
