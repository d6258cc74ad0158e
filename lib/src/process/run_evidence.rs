//! Evidence of the end of a backend server's run, from connections to it.

use std::time::Duration;

use crate::process::liveness::SILENT_END_TIMEOUT;
use crate::value::moment::Moment;

/// A connection to the backend server's address, accepted by exactly one run.
#[derive(Clone, Copy, Debug)]
struct Connection {
    since: Moment,
    // When it was last reported to be open.
    open_at: Moment,
    // Whether the run that is known from the registry certainly accepted it.
    proven: bool,
}

/// What the agent's connections to its backend server prove about the end of the run that
/// it knows from the registry. The time of day, and thus the start that a run states,
/// proves nothing, as clocks step.
#[derive(Debug, Default)]
pub struct RunEvidence {
    connection: Option<Connection>,
    // When the last connection that the known run accepted was last reported to be open.
    ended: Option<Moment>,
    // Whether the address has refused connections, so that no run was there.
    refused: bool,
}

impl RunEvidence {
    /// Records that a connection was opened, or is still open.
    pub fn connected(&mut self, now: Moment) {
        let opened = Connection { since: now, open_at: now, proven: false };
        self.connection.get_or_insert(opened).open_at = now;
    }

    /// Records that the connection has ended.
    ///
    /// The process that watches the connection may have stalled before it noticed, while
    /// flows were opened at a new run. So what counts is not the present time but that of
    /// the last report that the connection is open.
    pub fn disconnected(&mut self) {
        if let Some(connection) = self.connection.take().filter(|c| c.proven) {
            self.ended = Some(connection.open_at);
        }
    }

    /// Records that the address refused a connection, so that no run was there.
    pub fn refused(&mut self) {
        self.refused = true;
    }

    /// Returns whether a run that registers itself now began after this process did: it saw
    /// a connection to an earlier run end, or the address refuse one.
    pub fn precedes_next(&self) -> bool {
        self.ended.is_some() || self.refused
    }

    /// Records that the source listed the known run at `read_at`. A later run registers
    /// itself within `ttl` of its start, so it has not accepted a connection that was open
    /// for longer.
    pub fn listed(&mut self, read_at: Moment, ttl: Duration) {
        if let Some(connection) = &mut self.connection {
            connection.proven |= read_at >= connection.since + ttl;
        }
    }

    /// Moves on to a later run, whose entry was read. Returns the time before which the
    /// earlier run certainly had not ended, if this process saw a connection to it end.
    pub fn advance(&mut self) -> Option<Moment> {
        if let Some(connection) = &mut self.connection {
            connection.proven = false;
        }
        self.refused = false;
        self.ended.take().map(|open_at| open_at - SILENT_END_TIMEOUT)
    }
}
