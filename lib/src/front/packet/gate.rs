//! The last check before a new flow opens at the backend server beside an agent.

use std::time::Duration;

use super::decline::Decline;
use crate::process::resumption::Resumption;
use crate::process::view::View;
use crate::value::moment::Moment;
use crate::value::name::Name;

/// Keeps new flows from a backend server while its failure domain is evacuated. All opening
/// packets pass through the agent, so this holds whatever the homes that offer them know.
#[derive(Debug)]
pub struct Gate {
    evacuated: bool,
    read_at: Moment,
    resumption: Resumption,
}

impl Gate {
    /// Opens at the start of the agent. Until the evacuations are known, any domain may be
    /// evacuated.
    pub fn open(now: Moment) -> Self {
        let (evacuated, read_at) = (true, Moment::default());
        Self { evacuated, read_at, resumption: Resumption::open(now) }
    }

    /// Applies a view; `domains` are those that the agent and its backend server state.
    pub fn update<'a>(&mut self, view: &View, domains: impl IntoIterator<Item = &'a Name>) {
        let covered = domains.into_iter().any(|d| view.evacuations.covers(d));
        self.evacuated = covered || !view.evacuations.is_known();
        self.read_at = view.read_at;
    }

    /// Records that the agent runs; returns the time for which it did not run.
    pub fn record_run(&mut self, now: Moment) -> Duration {
        self.resumption.record_run(now)
    }

    /// Checks whether new flows may open.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub fn check(&self, now: Moment) -> Result<(), Decline> {
        if self.evacuated {
            return Err(Decline::Evacuated);
        }
        // The home of an offer that arrived during a stall has long offered the flow elsewhere.
        match self.resumption.is_doubtful(self.read_at, now) {
            true => Err(Decline::Leaving),
            false => Ok(()),
        }
    }
}
