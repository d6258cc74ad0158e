//! Errors of transfers.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// Why a transfer failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TransferError {
    /// The request could not be sent.
    #[display("request failed: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// No answer began in time.
    #[display("no answer within {} ms", waited.as_millis())]
    Unanswered {
        /// The time that it was waited for.
        waited: Duration,
    },
    /// The answer made too little progress.
    #[display("answer given up after {} ms with {received} bytes received", waited.as_millis())]
    Stalled {
        /// Number of bytes that were received and discarded.
        received: usize,
        /// Time since the answer began.
        waited: Duration,
    },
    /// The connection ended before the answer was complete.
    #[display("answer broke off after {received} bytes: {reason}")]
    Broken {
        /// Number of bytes that were received and discarded.
        received: usize,
        /// What the connection reported.
        reason: String,
    },
    /// The answer is longer than the receiver accepts.
    #[display("answer is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

impl TransferError {
    /// Returns the number of bytes that were received in vain.
    pub fn received(&self) -> usize {
        match self {
            Self::Unreachable(_) | Self::Unanswered { .. } => 0,
            Self::Stalled { received, .. } | Self::Broken { received, .. } => *received,
            Self::TooLong { limit } => *limit,
        }
    }
}
