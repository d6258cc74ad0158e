//! Reception of long answers in chunks, limited by progress.

use std::fmt::Display;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::transfer_error::TransferError;

/// Longest time without any data in the middle of an answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Lowest average rate in bytes per second, so that a sender can't hold a connection
/// forever with a few bytes at a time.
const MIN_RATE: u32 = 32 * 1_024;

/// Receives all chunks that `next` returns, at most `limit` bytes in total.
///
/// How long that may take depends on the length: an answer is given up only once it
/// stalls or is slower than 32 KB/s.
///
/// # Errors
///
/// Returns an error if the answer is too long, breaks off or is too slow.
pub async fn receive_all<C, E>(
    mut next: impl AsyncFnMut() -> Option<Result<C, E>>,
    limit: usize,
) -> Result<Vec<u8>, TransferError>
where
    C: AsRef<[u8]>,
    E: Display,
{
    let started = Instant::now();
    let mut body = Vec::new();
    loop {
        let received = body.len();
        let slowest = Duration::from_secs(received as u64) / MIN_RATE;
        let deadline = (started + slowest).min(Instant::now()) + STALL_TIMEOUT;
        let chunk = timeout_at(deadline, next()).await;
        let waited = started.elapsed();
        match chunk.map_err(|_| TransferError::Stalled { received, waited })? {
            Some(Ok(chunk)) if received + chunk.as_ref().len() > limit => {
                return Err(TransferError::TooLong { limit });
            }
            Some(Ok(chunk)) => body.extend_from_slice(chunk.as_ref()),
            Some(Err(e)) => {
                return Err(TransferError::Broken { received, reason: e.to_string() });
            }
            None => return Ok(body),
        }
    }
}
