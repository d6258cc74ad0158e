//! Authenticated datagrams between processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonhollow_lib::process::message::Envelope;
use lagoonhollow_lib::process::message::Message;
use lagoonhollow_lib::value::incarnation::Incarnation;
use lagoonhollow_lib::value::name::Name;
use lagoonhollow_lib::value::reason::Reason;
use lagoonhollow_wire::seal::FleetKey;
use lagoonhollow_wire::seal::SealError;
use tokio::net::UdpSocket;

use crate::process::metrics::Metrics;

/// Size of a receive buffer in bytes, which holds the longest datagram.
pub const MAX_DATAGRAM: usize = 65_535;

/// A socket for sealed envelopes, owned by one traffic thread.
#[derive(Debug)]
pub struct Link {
    socket: UdpSocket,
    me: Name,
    run: Incarnation,
    key: FleetKey,
    metrics: Arc<Metrics>,
}

impl Link {
    /// Binds the socket of the process `me`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        me: Name,
        run: Incarnation,
        key: FleetKey,
        metrics: Arc<Metrics>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, me, run, key, metrics })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Seals a message of this process. Returns `None` if it can't be encoded.
    pub fn seal(&self, to: &Name, version: u64, message: Message) -> Option<Vec<u8>> {
        let envelope =
            Envelope { from: self.me.clone(), run: self.run, to: to.clone(), version, message };
        self.key.seal(&envelope).ok()
    }

    /// Sends a message. It is dropped if the socket buffer is full, as a congested
    /// network would drop it.
    pub fn send(&self, to: &Name, address: SocketAddr, version: u64, message: Message) {
        let control = !matches!(message, Message::Forward(_) | Message::Reply { .. });
        let Some(sealed) = self.seal(to, version, message) else { return };
        if control {
            self.metrics.control_sent.inc();
            self.metrics.control_bytes.inc_by(sealed.len() as u64);
        }
        if self.socket.try_send_to(&sealed, address).is_err() {
            self.metrics.count(Reason::ChannelFull);
        }
    }

    /// Waits for the next envelope addressed to this process and returns it with
    /// its source address. Counts and drops all other datagrams.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails.
    pub async fn receive(&self, buffer: &mut [u8]) -> io::Result<(Envelope, SocketAddr)> {
        loop {
            let (length, source) = self.socket.recv_from(buffer).await?;
            match self.open(&buffer[..length]) {
                Ok(envelope) => return Ok((envelope, source)),
                Err(reason) => self.metrics.count(reason),
            }
        }
    }

    /// Authenticates and decodes a sealed envelope.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is forged, malformed or addressed to another process.
    pub fn open(&self, sealed: &[u8]) -> Result<Envelope, Reason> {
        unseal(&self.key, &self.me, sealed)
    }
}

/// Authenticates and decodes a sealed envelope for the process `me`.
///
/// # Errors
///
/// Returns the reason if it is forged, malformed or addressed to another process.
pub fn unseal(key: &FleetKey, me: &Name, sealed: &[u8]) -> Result<Envelope, Reason> {
    let envelope = key.unseal(sealed).map_err(|e| match e {
        SealError::Forged => Reason::Forged,
        SealError::Malformed => Reason::Malformed,
    })?;
    if envelope.to == *me { Ok(envelope) } else { Err(Reason::WrongService) }
}
