//! Control connections between processes, over QUIC.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use lagoonhollow_wire::chunks::receive_all;
use lagoonhollow_wire::control::ControlCall;
use lagoonhollow_wire::control::ControlReply;
use lagoonhollow_wire::control::MAX_MESSAGE;
use lagoonhollow_wire::control::decode;
use lagoonhollow_wire::control::encode;
use lagoonhollow_wire::seal::FleetKey;
use quinn::Chunk;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;

use super::tls_identity::SERVER_NAME;
use super::tls_identity::TlsIdentity;

/// Time within which the reply to a call has to begin, including the handshake if
/// there is no connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest piece of a reply that is read at a time, in bytes.
const CHUNK: usize = 64 * 1_024;

/// Limit of cached connections; unused ones are closed by QUIC's idle timeout.
const MAX_CONNECTIONS: usize = 64;

/// Why the endpoint could not be opened or a call failed.
#[derive(Debug, Display, Error)]
pub enum EndpointError {
    /// The endpoint could not be opened.
    #[display("can't open the control endpoint: {_0}")]
    Open(#[error(not(source))] String),
    /// The peer can't be reached or broke the protocol.
    #[display("peer can't be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The peer did not authenticate itself with the fleet's TLS identity.
    #[display("peer is not a member of the fleet: {_0}")]
    Untrusted(#[error(not(source))] String),
}

/// The QUIC endpoint of a process for control calls.
#[derive(Clone, Debug)]
pub struct ControlEndpoint {
    endpoint: Endpoint,
    // A handshake costs far more than a call, so connections are reused.
    connections: Rc<RefCell<HashMap<SocketAddr, Connection>>>,
}

impl ControlEndpoint {
    /// Binds the endpoint to `address` and accepts only peers that hold `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or TLS can't be set up.
    pub fn bind(address: SocketAddr, key: &FleetKey) -> Result<Self, EndpointError> {
        let identity = TlsIdentity::open(key).map_err(open_error)?;
        let server = identity.server_config().map_err(open_error)?;
        let mut endpoint = Endpoint::server(server, address).map_err(open_error)?;
        endpoint.set_default_client_config(identity.client_config().map_err(open_error)?);
        Ok(Self { endpoint, connections: Rc::default() })
    }

    /// Waits for the next connection. Returns `None` once the endpoint is closed.
    pub async fn accept(&self) -> Option<Incoming> {
        self.endpoint.accept().await
    }

    /// Calls the process at `peer` and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached or does not answer in time.
    pub async fn call(
        &self,
        peer: SocketAddr,
        call: &ControlCall,
    ) -> Result<ControlReply, EndpointError> {
        let begun = tokio::time::timeout(CALL_TIMEOUT, self.begin(peer, call)).await;
        let (mut first, mut receive) =
            begun.map_err(|_| EndpointError::Unreachable("timeout".to_owned()))??;
        let next = async || match first.take() {
            Some(chunk) => Some(Ok(chunk.bytes)),
            None => receive.read_chunk(CHUNK, true).await.map(|c| c.map(|c| c.bytes)).transpose(),
        };
        let bytes = receive_all(next, MAX_MESSAGE).await.map_err(peer_error)?;
        decode(&bytes).map_err(peer_error)
    }

    /// Closes the endpoint and all its connections.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
    }

    /// Sends a call; returns the first piece of the reply, none if it is empty, with
    /// the stream of the rest.
    async fn begin(
        &self,
        peer: SocketAddr,
        call: &ControlCall,
    ) -> Result<(Option<Chunk>, RecvStream), EndpointError> {
        let connection = self.connect(peer).await?;
        let (mut send, mut receive) = connection.open_bi().await.map_err(peer_error)?;
        send.write_all(&encode(call).map_err(peer_error)?).await.map_err(peer_error)?;
        send.finish().map_err(peer_error)?;
        let first = receive.read_chunk(CHUNK, true).await.map_err(peer_error)?;
        Ok((first, receive))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection, EndpointError> {
        let cached = self.connections.borrow().get(&peer).cloned();
        if let Some(connection) = cached.filter(|c| c.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(peer, SERVER_NAME).map_err(peer_error)?;
        let connection = connecting.await.map_err(peer_error)?;
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, c| c.close_reason().is_none());
        if connections.len() < MAX_CONNECTIONS {
            connections.insert(peer, connection.clone());
        }
        Ok(connection)
    }
}

/// Serves the calls of one connection with `answer` until it is closed.
///
/// # Errors
///
/// Returns an error if the handshake or a stream fails or a call can't be decoded.
pub async fn serve(
    incoming: Incoming,
    answer: impl AsyncFn(ControlCall) -> ControlReply,
) -> Result<(), EndpointError> {
    let connection = incoming.await.map_err(|e| match e {
        ConnectionError::TransportError(_) => EndpointError::Untrusted(e.to_string()),
        _ => peer_error(e),
    })?;
    while let Some((mut send, mut receive)) = accept_call(&connection).await {
        let bytes = receive.read_to_end(MAX_MESSAGE).await.map_err(peer_error)?;
        let call = decode(&bytes).map_err(peer_error)?;
        let bytes = encode(&answer(call).await).map_err(peer_error)?;
        send.write_all(&bytes).await.map_err(peer_error)?;
        send.finish().map_err(peer_error)?;
    }
    Ok(())
}

async fn accept_call(connection: &Connection) -> Option<(quinn::SendStream, RecvStream)> {
    connection.accept_bi().await.ok()
}

fn open_error(e: impl std::fmt::Display) -> EndpointError {
    EndpointError::Open(e.to_string())
}

fn peer_error(e: impl std::fmt::Display) -> EndpointError {
    EndpointError::Unreachable(e.to_string())
}
