//! Detection of removed VMs from the platform's list of live VMs, which lags.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::value::moment::Moment;
use crate::value::name::Name;

/// Consecutive reads that must lack a VM which was listed before.
const ABSENT_READS: u32 = 2;
/// Time for which a VM that was never listed must be absent.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(60);

/// Presence of VMs in successive reads of the live list.
#[derive(Clone, Debug, Default)]
pub struct LiveVms {
    listed: BTreeSet<Name>,
    absent: BTreeMap<Name, (u32, Moment)>,
}

impl LiveVms {
    /// Processes one read of the list; returns those of `silent` whose VM was
    /// removed.
    ///
    /// Only peers that are presumed dead are `silent`: the list lags, so it never
    /// overrules a peer that answers.
    pub fn read(
        &mut self,
        list: &BTreeSet<Name>,
        silent: &BTreeSet<Name>,
        now: Moment,
    ) -> Vec<Name> {
        self.listed.extend(list.iter().cloned());
        self.absent.retain(|name, _| silent.contains(name) && !list.contains(name));
        let mut gone = Vec::new();
        for name in silent.iter().filter(|n| !list.contains(*n)) {
            let (reads, since) = self.absent.entry(name.clone()).or_insert((0, now));
            *reads += 1;
            let dropped = self.listed.contains(name) && *reads >= ABSENT_READS;
            if dropped || now.since(*since) >= UNLISTED_TIMEOUT {
                gone.push(name.clone());
            }
        }
        for name in &gone {
            self.listed.remove(name);
            self.absent.remove(name);
        }
        gone
    }
}
