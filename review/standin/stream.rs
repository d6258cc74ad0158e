//! The sending half of one end of a flow.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::wire::MAX_DATA;

/// Packets in flight.
const WINDOW: usize = 16;
const FIRST_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_millis(1_600);

/// Bytes to send, in order, with a FIN at the end if the stream is closed.
pub struct Stream {
    // Sequence number of the first byte that is not acknowledged.
    base: u32,
    bytes: VecDeque<u8>,
    // Number of bytes sent and not acknowledged.
    sent: usize,
    closed: bool,
    fin_sent: bool,
    fin_acked: bool,
    due: Option<Instant>,
    pub tries: u32,
}

/// A part to put in one packet.
pub struct Part {
    pub seq: u32,
    pub data: Vec<u8>,
    pub fin: bool,
}

impl Stream {
    pub fn open(base: u32) -> Self {
        Self {
            base,
            bytes: VecDeque::new(),
            sent: 0,
            closed: false,
            fin_sent: false,
            fin_acked: false,
            due: None,
            tries: 0,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether everything, the FIN too, was acknowledged.
    pub fn is_finished(&self) -> bool {
        self.fin_acked
    }

    /// Sequence number after everything that was sent.
    pub fn next(&self) -> u32 {
        self.base.wrapping_add(self.sent as u32).wrapping_add(u32::from(self.fin_sent))
    }

    pub fn acked(&mut self, ack: u32) {
        let count = ack.wrapping_sub(self.base) as usize;
        if count == 0 || count > self.sent + usize::from(self.fin_sent) {
            return;
        }
        let bytes = count.min(self.sent);
        self.bytes.drain(..bytes);
        self.base = self.base.wrapping_add(bytes as u32);
        self.sent -= bytes;
        self.fin_acked |= count > bytes;
        self.tries = 0;
        let waits = self.sent > 0 || (self.fin_sent && !self.fin_acked);
        self.due = waits.then(|| Instant::now() + FIRST_RETRY);
    }

    /// Takes the parts that may be sent now for the first time.
    pub fn take(&mut self) -> Vec<Part> {
        let mut parts = Vec::new();
        while self.sent < self.bytes.len() && self.sent / MAX_DATA + 1 < WINDOW {
            let length = (self.bytes.len() - self.sent).min(MAX_DATA);
            parts.push(self.part(self.sent, length));
            self.sent += length;
        }
        if self.closed && !self.fin_sent && self.sent == self.bytes.len() {
            self.fin_sent = true;
            let seq = self.base.wrapping_add(self.sent as u32);
            parts.push(Part { seq, data: Vec::new(), fin: true });
        }
        if !parts.is_empty() && self.due.is_none() {
            self.due = Some(Instant::now() + FIRST_RETRY);
        }
        parts
    }

    /// Takes the first part that is not acknowledged, if its retransmission is due.
    pub fn retry(&mut self) -> Option<Part> {
        self.due.filter(|due| *due <= Instant::now())?;
        self.tries += 1;
        let wait = FIRST_RETRY * 2u32.pow(self.tries.min(3));
        self.due = Some(Instant::now() + wait.min(MAX_RETRY));
        if self.sent > 0 {
            return Some(self.part(0, self.sent.min(MAX_DATA)));
        }
        (self.fin_sent && !self.fin_acked).then(|| Part { seq: self.base, data: vec![], fin: true })
    }

    fn part(&self, from: usize, length: usize) -> Part {
        let data = self.bytes.iter().skip(from).take(length).copied().collect();
        Part { seq: self.base.wrapping_add(from as u32), data, fin: false }
    }
}
