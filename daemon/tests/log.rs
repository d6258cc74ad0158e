//! Writing a log line never blocks the calling thread, even if the output does.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;

use lagoonhollow_daemon::process::log_queue::LogQueue;

/// Many more lines than the queue holds.
const LINES: usize = 10_000;

/// A writer that blocks until the sender of `gate` is dropped.
struct BlockedWriter {
    gate: Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, `recv` fails at once and so no longer blocks.
        let _ = self.gate.recv();
        self.text.lock().unwrap().extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_writer_loses_lines_and_says_how_many() {
    let (open, gate) = mpsc::channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let mut queue = LogQueue::spawn(BlockedWriter { gate, text: text.clone() }).unwrap();
    for i in 0..LINES {
        queue.write_all(format!("event=n{i}\n").as_bytes()).unwrap();
    }
    // `flush` gives up while the writer is blocked.
    queue.flush().unwrap();
    drop(open);
    // Each flush waits for a limited time, so a slow machine may need several.
    let all_counted = || {
        let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
        let lost = text.lines().filter_map(|l| l.split_once("event=lines_lost count="));
        let lost: usize = lost.map(|(_, n)| n.parse::<usize>().unwrap()).sum();
        let written = text.lines().filter(|l| l.starts_with("event=n")).count();
        assert!(written <= LINES, "{written} lines");
        (lost > 0).then_some(lost + written) == Some(LINES)
    };
    while !all_counted() {
        queue.flush().unwrap();
        std::thread::yield_now();
    }
}
