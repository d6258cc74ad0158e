//! A stand-in of the platform's routers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Time between two checks of a node.
const INTERVAL: Duration = Duration::from_millis(500);
/// Misses after which a node is out of rotation.
const MISSES: u32 = 2;

struct Node {
    packets: SocketAddrV4,
    misses: u32,
}

/// The routers of one zone; clones share them.
#[derive(Clone, Default)]
pub struct Fabric {
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl Fabric {
    /// Adds a node, which is in rotation once it is ready.
    pub fn add(&self, name: &str, packets: SocketAddrV4, ready: SocketAddrV4, record: &Record) {
        let mut nodes = self.nodes.lock().unwrap();
        let index = nodes.len();
        nodes.push(Node { packets, misses: MISSES });
        drop(nodes);
        let (nodes, record, name) = (self.nodes.clone(), record.clone(), name.to_owned());
        thread::spawn(move || {
            loop {
                let is_ready = check(ready);
                let mut nodes = nodes.lock().unwrap();
                let node = &mut nodes[index];
                let before = node.misses < MISSES;
                node.misses = if is_ready { 0 } else { node.misses + 1 };
                let after = node.misses < MISSES;
                drop(nodes);
                if before != after {
                    let state = if after { "in" } else { "out of" };
                    record.line(format!("ROUTERS {name} is {state} rotation"));
                }
                thread::sleep(INTERVAL);
            }
        });
    }

    /// Returns the number of nodes in rotation.
    pub fn ready(&self) -> usize {
        self.nodes.lock().unwrap().iter().filter(|n| n.misses < MISSES).count()
    }

    /// Returns the node that gets a packet, by `hash_scheme` `mod`.
    pub fn pick(&self, src: SocketAddrV4, dst: SocketAddrV4) -> Option<SocketAddrV4> {
        let nodes = self.nodes.lock().unwrap();
        let in_rotation: Vec<_> = nodes.iter().filter(|n| n.misses < MISSES).collect();
        let used =
            if in_rotation.len() * 2 < nodes.len() { nodes.iter().collect() } else { in_rotation };
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for end in [src, dst] {
            for byte in end.ip().octets().into_iter().chain(end.port().to_le_bytes()) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
        }
        let at = ((hash >> 20) as usize).checked_rem(used.len())?;
        Some(used[at].packets)
    }
}

/// Returns whether a node answers that it is ready.
pub fn check(ready: SocketAddrV4) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&ready.into(), INTERVAL)?;
        stream.set_read_timeout(Some(INTERVAL))?;
        // The path that deploy/wire.toml gives to the platform's check.
        write!(stream, "GET /ready HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}
