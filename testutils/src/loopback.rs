//! Loopback addresses for tests, each used by one test only.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is handed out once in this process.
///
/// It contains low bits of the process ID, so that concurrent test processes use
/// different addresses.
pub fn next() -> IpAddr {
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let high = 1 + (pid >> 8 & 0x3f) as u8 + (count / 250 * 64 % 192) as u8;
    let low = 1 + (count % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, high, pid as u8, low))
}
