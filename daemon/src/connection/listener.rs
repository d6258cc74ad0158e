//! The socket of one service address.

use std::io;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::UdpSocket;

/// Receive buffer in bytes, which holds the packets of one second at peak load.
const RECEIVE_BUFFER: usize = 4 << 20;

/// Binds a service address with `SO_REUSEPORT`, since other entries may bind it
/// as well.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
