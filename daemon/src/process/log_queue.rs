//! Bounded queue of log lines for a writer that may block.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of queued lines: some seconds' worth at the rate that the
/// decision log is limited to.
const QUEUE_CAPACITY: usize = 1_024;
/// Longest time that a flush delays the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a flush checks whether the lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Counts of lines, shared with the writer thread.
#[derive(Debug, Default)]
struct Counts {
    accepted: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// Queues lines without blocking; a writer thread takes them from the queue.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl LogQueue {
    /// Spawns the writer thread, which writes lines to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn spawn(target: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = mpsc::sync_channel(QUEUE_CAPACITY);
        let counts = Arc::new(Counts::default());
        let shared = counts.clone();
        let body = move || write_lines(target, queue, &shared);
        thread::Builder::new().name("log".to_owned()).spawn(body)?;
        Ok(Self { lines, counts })
    }
}

impl Write for LogQueue {
    /// Queues one line, or counts it as dropped if the queue is full.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Counted before it is queued, so that a flush never misses a queued line.
        self.counts.accepted.fetch_add(1, Ordering::SeqCst);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.counts.accepted.fetch_sub(1, Ordering::SeqCst);
            self.counts.dropped.fetch_add(1, Ordering::SeqCst);
        }
        Ok(line.len())
    }

    /// Waits for a limited time until the lines queued so far are written.
    fn flush(&mut self) -> io::Result<()> {
        let start = Instant::now();
        let accepted = self.counts.accepted.load(Ordering::SeqCst);
        while self.counts.written.load(Ordering::SeqCst) < accepted
            && start.elapsed() < FLUSH_TIMEOUT
        {
            thread::sleep(FLUSH_INTERVAL);
        }
        Ok(())
    }
}

/// Writes lines until all senders are dropped. After dropped lines, a line with
/// their number follows the next line written.
fn write_lines(mut target: impl Write, queue: Receiver<Vec<u8>>, counts: &Counts) {
    for mut line in queue {
        let dropped = counts.dropped.swap(0, Ordering::SeqCst);
        if dropped > 0 {
            line.extend(format!("level=warn event=lines_lost count={dropped}\n").into_bytes());
        }
        // If standard output fails, there is nowhere to report it.
        let _ = target.write_all(&line).and_then(|()| target.flush());
        counts.written.fetch_add(1, Ordering::SeqCst);
    }
}
