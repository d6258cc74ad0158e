//! When a backend server is cold, from what its agent has seen and read.

use std::time::Duration;

use crate::value::moment::Moment;
use crate::value::name::Name;
use crate::version::member::Member;

/// The time for which a backend server counts as cold. The steady clock alone decides, as
/// clocks of VMs may step.
#[derive(Debug)]
pub struct ColdPeriod {
    // When the present run began at the latest.
    began: Moment,
    // Whether `began` is only the agent's start, before which the run may have begun.
    presumed: bool,
    // Whether nothing listened at the address when it was last tried, or the connection
    // ended, so that the next sign of life may be that of a new run.
    absent: bool,
    // Name and start of the run whose entry was read last, with the time that it stated.
    entry: Option<(Name, u64, Duration)>,
    // Until when the last entries say that it is cold.
    stated: Moment,
}

impl ColdPeriod {
    /// Opens at the start of the agent, which can't tell since when the backend server runs.
    pub fn open(now: Moment) -> Self {
        Self { began: now, presumed: true, absent: false, entry: None, stated: Moment::default() }
    }

    /// Records that a run began, or may have begun. Without a sign that none was there when
    /// the agent started, the first one may have begun before.
    pub fn record_start(&mut self, now: Moment) {
        if !self.presumed || self.absent {
            (self.began, self.presumed) = (now, false);
        }
        self.absent = false;
    }

    /// Records that no process listens at the address, or that one may have ended.
    pub fn record_absence(&mut self) {
        self.absent = true;
    }

    /// Returns whether the next sign of life may be that of a new run.
    pub fn is_absent(&self) -> bool {
        self.absent
    }

    /// Records a registry entry.
    pub fn read_entry(&mut self, member: &Member, now: Moment) {
        let Member { name, born, warming, .. } = member;
        let read = (name.clone(), *born, *warming);
        match &self.entry {
            Some(before) if *before == read => return,
            Some((name, born, _)) if (name, born) == (&read.0, &read.1) => {}
            // The run may have begun just before its entry was read.
            Some(_) => (self.began, self.presumed) = (now, false),
            None => {}
        }
        if self.presumed && !self.absent && warming.is_zero() {
            (self.began, self.presumed) = (Moment::default(), false);
        }
        self.stated = self.stated.max(now + *warming);
        self.entry = Some(read);
    }

    /// Returns the end of the time for which the backend server is cold, if every run is cold
    /// for `period`.
    pub fn until(&self, period: Duration) -> Moment {
        let began = self.began;
        let unknown = began == Moment::default();
        self.stated.max(if unknown { began } else { began + period })
    }
}
