//! The bandwidth of one VM's link, shared by all its connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep_until;

/// A link that carries a limited number of bytes per second; clones share it.
#[derive(Clone, Debug)]
pub struct NarrowLink {
    bytes_per_second: u64,
    // Time at which the link has carried all that was sent so far.
    free_at: Arc<Mutex<Instant>>,
}

impl NarrowLink {
    /// Opens an idle link that carries `bytes_per_second`.
    pub fn open(bytes_per_second: u64) -> Self {
        Self { bytes_per_second, free_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Returns once the link has carried `length` bytes, after those of earlier calls.
    pub async fn carry(&self, length: usize) {
        let time = Duration::from_micros(length as u64 * 1_000_000 / self.bytes_per_second);
        let done = {
            let mut free_at = self.free_at.lock().unwrap_or_else(|e| e.into_inner());
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(done).await;
    }
}
