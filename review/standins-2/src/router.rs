//! The platform's routers: an entry for each packet, by a hash over the entries in rotation.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::packet::Flow;

#[derive(Clone)]
struct Entry {
    callers: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

#[derive(Clone)]
pub struct Router {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Router {
    /// Asks each entry twice a second whether it is ready; after two misses it is out.
    pub fn open(entries: &[(SocketAddr, SocketAddr)]) -> Self {
        let entry = |(callers, ready): &(SocketAddr, SocketAddr)| Entry {
            callers: *callers,
            ready: *ready,
            misses: 2,
        };
        let router = Self { entries: Arc::new(Mutex::new(entries.iter().map(entry).collect())) };
        let probing = router.clone();
        thread::spawn(move || {
            loop {
                let list = probing.entries.lock().unwrap().clone();
                for (i, entry) in list.iter().enumerate() {
                    let ready = is_ready(entry.ready);
                    let mut entries = probing.entries.lock().unwrap();
                    entries[i].misses = if ready { 0 } else { (entries[i].misses + 1).min(2) };
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
        router
    }

    /// Returns the entry for a packet; all are used if fewer than half are in rotation.
    pub fn pick(&self, flow: &Flow) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap();
        let mut list: Vec<_> = entries.iter().filter(|e| e.misses < 2).map(|e| e.callers).collect();
        if list.len() * 2 < entries.len() {
            list = entries.iter().map(|e| e.callers).collect();
        }
        let key = u32::from(flow.client.0)
            .wrapping_mul(31)
            .wrapping_add(u32::from(flow.client.1))
            .wrapping_mul(0x9e37_79b1);
        list.get((key >> 8) as usize % list.len().max(1)).copied()
    }

    pub fn ready(&self) -> usize {
        self.entries.lock().unwrap().iter().filter(|e| e.misses == 0).count()
    }
}

/// Returns whether the node at `address` answers 200 when asked whether it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let wait = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, wait) else { return false };
    let _ = stream.set_read_timeout(Some(wait));
    // The path that the deploy files give to the platform's question.
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut buffer = [0; 64];
    matches!(stream.read(&mut buffer), Ok(n) if buffer[..n].starts_with(b"HTTP/1.1 200"))
}
