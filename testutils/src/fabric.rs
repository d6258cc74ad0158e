//! The network fabric in front of the entries: it sprays packets, so that each
//! datagram goes to a random entry regardless of its flow.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;

use nix::libc;
use nix::sys::socket::AddressFamily;
use nix::sys::socket::SockFlag;
use nix::sys::socket::SockType;
use nix::sys::socket::SockaddrStorage;
use nix::sys::socket::bind;
use nix::sys::socket::setsockopt;
use nix::sys::socket::socket;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use nix::sys::socket::sockopt::ReusePort;

/// Offset from which classic BPF loads a random number: Linux's `SKF_AD_OFF` plus
/// `SKF_AD_RANDOM`.
const SKF_AD_RANDOM: u32 = 0xffff_f000 + 56;

/// The first socket in the `SO_REUSEPORT` group of a service address.
///
/// It holds the filter that distributes datagrams; the filter never selects it.
#[derive(Debug)]
pub struct Fabric {
    socket: UdpSocket,
}

impl Fabric {
    /// Opens the fabric of a service address.
    ///
    /// It must be opened before any entry binds the address, to be first in the group.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let flags = SockFlag::SOCK_CLOEXEC;
        let fd = socket(AddressFamily::Inet, SockType::Datagram, flags, None)?;
        setsockopt(&fd, ReusePort, &true)?;
        bind(std::os::fd::AsRawFd::as_raw_fd(&fd), &SockaddrStorage::from(address))?;
        Ok(Self { socket: UdpSocket::from(fd) })
    }

    /// Distributes datagrams at random over the `entries` sockets that entries have
    /// bound to the address.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel refuses the filter.
    pub fn spray(&self, entries: u32) -> io::Result<()> {
        let instruction =
            |code: u32, k: u32| libc::sock_filter { code: code as u16, jt: 0, jf: 0, k };
        // Index 0 of the group is this socket, so entries start at index 1.
        let mut program = [
            instruction(libc::BPF_LD | libc::BPF_W | libc::BPF_ABS, SKF_AD_RANDOM),
            instruction(libc::BPF_ALU | libc::BPF_MOD | libc::BPF_K, entries.max(1)),
            instruction(libc::BPF_ALU | libc::BPF_ADD | libc::BPF_K, 1),
            instruction(libc::BPF_RET | libc::BPF_A, 0),
        ];
        let filter = libc::sock_fprog { len: program.len() as u16, filter: program.as_mut_ptr() };
        setsockopt(&self.socket, AttachReusePortCbpf, &filter)?;
        Ok(())
    }
}
