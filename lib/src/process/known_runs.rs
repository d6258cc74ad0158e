//! Processes of other agents that this one has heard of.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::value::incarnation::Incarnation;
use crate::value::moment::Moment;

/// Time for which a process is remembered after it was last heard from: as long as a home
/// keeps the records of its flows.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of agents.
const MAX_AGENTS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Known {
    run: Incarnation,
    // Whether an earlier process than `run` had been heard of.
    earlier: bool,
    heard: Moment,
}

/// The processes of other agents, so that one which starts can ask whether there was one
/// before it.
#[derive(Debug, Default)]
pub struct KnownRuns {
    by_link: HashMap<SocketAddr, Known>,
}

impl KnownRuns {
    /// Records a message of the process `run` at `link`; returns whether an earlier process
    /// was heard of there.
    pub fn heard(&mut self, link: SocketAddr, run: Incarnation, now: Moment) -> bool {
        if let Some(known) = self.by_link.get_mut(&link) {
            known.earlier |= known.run != run;
            (known.run, known.heard) = (run, now);
            return known.earlier;
        }
        // What can't be recorded counts as heard of.
        let full = self.by_link.len() >= MAX_AGENTS;
        if !full {
            self.by_link.insert(link, Known { run, earlier: false, heard: now });
        }
        full
    }

    /// Forgets processes that were not heard from for long.
    pub fn expire(&mut self, now: Moment) {
        self.by_link.retain(|_, known| now.since(known.heard) < RETENTION);
    }
}
